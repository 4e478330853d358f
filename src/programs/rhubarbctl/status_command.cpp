#include <fmt/format.h>

#include "command.hpp"
#include "entry_options.hpp"
#include "http_caller.hpp"
#include "rhubarbpath/protocol/api_json.hpp"
#include "store_options.hpp"

namespace rhubarbpath::ctl {

namespace {

std::string describe_entry(const std::string& address, const entry_status& status) {
  std::string text = fmt::format(
      "{}: {}, {} version {}, view {} with {} members, store {}{}\n", address, status.vm.value(),
      status.environment, status.version.value(), status.view.value(), status.view_members,
      status.store_reachable ? "reachable" : "not reachable", status.draining ? ", draining" : "");
  for (const auto& domain : status.failure_domains) {
    const auto owner = domain.owner.empty() ? std::string{"no owner"}
                                            : fmt::format("owner {} (epoch {})", domain.owner.value(),
                                                          domain.owner_epoch.value());
    text += fmt::format(
        "  failure domain {}: {}, {} of {} accelerators free, {} jobs running, {} waiting, {} workers set "
        "aside, "
        "{} guarantee instances uncovered\n",
        domain.id.value(), owner, domain.free_accelerators, domain.accelerators, domain.running_jobs,
        domain.waiting_jobs, domain.workers_set_aside, domain.uncovered_guarantees);
  }
  for (const auto& service : status.services) {
    text +=
        fmt::format("  service {}: {} targets, {} set aside, {} idle slots here, {} requests queued here\n",
                    service.id.value(), service.targets, service.targets_set_aside, service.idle_slots,
                    service.queued_requests);
  }
  return text;
}

/// Collects the status of the store and of the entry VMs, and the errors of those that do not answer.
class status_report {
 public:
  void add_store(http_caller& caller, const store_options& options) {
    auto store = options.connect(caller);
    for (const std::string environment : {"trial", "production"}) {
      const auto found = store.read(environment);
      if (const auto* problem = std::get_if<store_error>(&found)) {
        fail(problem->reason);
        // A second read would most likely time out for the same reason.
        return;
      }
      const auto& stored = std::get<stored_document>(found);
      result_.text += fmt::format("{}: {}\n", environment, describe_row(stored));
      result_.object[environment] = row_to_json(stored);
    }
  }

  void add_entry(http_caller& caller, const std::string& address, duration timeout) {
    entry_client client{caller, {address}, timeout};
    const auto answer =
        client.call({.method = "GET", .path = "/v1/status", .query = {}, .headers = {}, .body = {}},
                    repeatable::yes, duration::zero(), "the status");
    if (const auto* failed = std::get_if<outcome>(&answer)) {
      fail(failed->reason);
      return;
    }
    const auto& response = std::get<entry_answer>(answer).response;
    const auto status = decode_status(response.body);
    if (response.status != http_status(answer_kind::done) || !status.ok()) {
      fail(fmt::format("{}: invalid status response with HTTP status {}: {}", address, response.status,
                       std::string{status.status().message()}));
      return;
    }
    result_.text += describe_entry(address, *status);
    entries_.push_back({{"address", address}, {"status", json::parse(encode_status(*status))}});
  }

  command_result take() {
    result_.object["entries"] = std::move(entries_);
    return std::move(result_);
  }

 private:
  void fail(const std::string& reason) {
    result_.code = exit_code::not_run;
    result_.error += reason + "\n";
  }

  command_result result_;
  json entries_ = json::array();
};

}  // namespace

command_result run_status(command_line& line, const std::vector<std::string>& args) {
  const store_options store_option{line, false};
  const entry_options entry_option{line, false};
  line.parse(args);
  if (!store_option.is_set() && entry_option.addresses().empty()) {
    throw TCLAP::ArgParseException("expected --store, --entry or both", "--store");
  }
  http_caller caller;
  status_report report;
  if (store_option.is_set()) {
    report.add_store(caller, store_option);
  }
  for (const auto& address : entry_option.addresses()) {
    report.add_entry(caller, address, entry_option.timeout());
  }
  return report.take();
}

}  // namespace rhubarbpath::ctl

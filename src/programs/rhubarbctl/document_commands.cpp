#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <utility>

#include "command.hpp"
#include "document_file.hpp"
#include "http_caller.hpp"
#include "rhubarbpath/protocol/digest.hpp"
#include "rhubarbpath/protocol/document_row.hpp"
#include "store_client.hpp"
#include "store_options.hpp"

namespace rhubarbpath::ctl {

namespace {

constexpr std::size_t min_digest_length = 8;
constexpr std::size_t max_author_bytes = 100;
// Change name to accept when the production document cannot be parsed and so cannot be compared.
constexpr std::string_view replace_unreadable_change = "replace-unreadable-document:production";

std::string current_time() {
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(std::time(nullptr)));
}

std::string user_name() {
  // Safe because the program is single-threaded.
  const char* user = std::getenv("USER");  // NOLINT(concurrency-mt-unsafe)
  return user != nullptr && *user != '\0' ? user : "unknown";
}

command_result not_written_result(const std::string& reason) {
  command_result result;
  result.code = exit_code::not_run;
  result.error = fmt::format("nothing was written: {}\n", reason);
  return result;
}

command_result conflict_result(const std::string& environment, const stored_document& other) {
  command_result result;
  result.code = exit_code::conflict;
  result.error =
      fmt::format("nothing was written: {} was changed concurrently: {}\n", environment, describe_row(other));
  result.object["other"] = row_to_json(other);
  return result;
}

command_result report_write(const std::string& environment, const document_row& row,
                            const write_outcome& written) {
  command_result result;
  switch (written.result) {
    case write_result::written:
      result.text = fmt::format("{}: {}\n", environment, describe_row({{}, {}, row}));
      result.object[environment] = row_to_json({{}, {}, row});
      return result;
    case write_result::conflict:
      return conflict_result(environment, written.other);
    case write_result::not_written:
      return not_written_result(written.reason);
    case write_result::unknown:
      break;
  }
  result.code = exit_code::may_have_run;
  result.error =
      fmt::format("it is not known whether version {} of {} was written: {}; run rhubarbctl status\n",
                  row.document.version.value(), environment, written.reason);
  if (written.other.row) {
    result.error += fmt::format("the store now holds {}\n", describe_row(written.other));
    result.object["other"] = row_to_json(written.other);
  }
  return result;
}

/// The option that sets the recorded author of a change.
class author_option {
 public:
  explicit author_option(command_line& line)
      : name_{"",
              "by",
              "Name recorded with the change (default: $USER)",
              false,
              user_name(),
              "NAME",
              line.arguments()} {}

  [[nodiscard]] std::string name() const {
    if (name_.getValue().empty() || name_.getValue().size() > max_author_bytes) {
      throw TCLAP::ArgParseException(fmt::format("expected a name of 1 to {} bytes", max_author_bytes),
                                     name_.toString());
    }
    return name_.getValue();
  }

 private:
  TCLAP::ValueArg<std::string> name_;
};

document_row next_row(const stored_document& before, const std::string& bytes, const std::string& author) {
  return {{before.version().next(), sha256_hex(bytes), bytes}, author, current_time()};
}

/// The changes of a promotion, or why the documents cannot be compared.
struct promotion_plan {
  std::vector<document_change> changes;
  std::vector<std::string> missing_acceptances;
  std::string comparison_error;
};

promotion_plan plan_promotion(const stored_document& production, const environment_document& next,
                              const std::vector<std::string>& accepted) {
  promotion_plan plan;
  environment_document current;
  if (production.row) {
    auto parsed = parse_document(production.row->document.bytes, "production");
    if (!parsed.ok()) {
      plan.comparison_error = fmt::format("the production document cannot be compared: {}\n",
                                          format_problem("production", parsed.problems.front()));
      if (std::find(accepted.begin(), accepted.end(), replace_unreadable_change) == accepted.end()) {
        plan.missing_acceptances.emplace_back(replace_unreadable_change);
      }
      return plan;
    }
    current = std::move(parsed.document);
  }
  plan.changes = diff_documents(current, next);
  for (const auto& change : unaccepted_changes(plan.changes, accepted)) {
    plan.missing_acceptances.push_back(change.name());
  }
  return plan;
}

command_result refuse_unaccepted(const promotion_plan& plan) {
  command_result result;
  result.code = exit_code::not_accepted;
  result.text = describe_changes(plan.changes);
  result.error = plan.comparison_error +
                 "nothing was written; these changes break a guarantee, stop work or weaken a "
                 "promise and must be accepted:\n";
  auto names = json::array();
  for (const auto& name : plan.missing_acceptances) {
    result.error += fmt::format("  --accept {}\n", name);
    names.push_back(name);
  }
  result.object = {{"changes", changes_to_json(plan.changes)}, {"must_accept", std::move(names)}};
  return result;
}

/// Returns an accepted name that matches no change. It suggests that the operator reviewed other documents.
std::optional<std::string> find_unknown_change_name(const promotion_plan& plan,
                                                    const std::vector<std::string>& accepted) {
  for (const auto& name : accepted) {
    const bool known = name == replace_unreadable_change ||
                       std::any_of(plan.changes.begin(), plan.changes.end(),
                                   [&](const auto& change) { return change.name() == name; });
    if (!known) {
      return name;
    }
  }
  return std::nullopt;
}

command_result usage_error(std::string message) {
  command_result result;
  result.code = exit_code::usage;
  result.error = std::move(message);
  return result;
}

/// The arguments of `promote` after parsing.
struct promotion_request {
  std::string digest;
  std::uint64_t expected_version{0};
  std::vector<std::string> accepted;
  std::string author;
};

command_result promote_row(store_client& store, const promotion_request& request, const document_row& trial,
                           const stored_document& production) {
  auto checked = check_document_text(trial.document.bytes, "trial", "production");
  if (auto* failed = std::get_if<command_result>(&checked)) {
    return std::move(*failed);
  }
  const auto plan =
      plan_promotion(production, std::get<checked_document>(checked).document, request.accepted);
  if (const auto name = find_unknown_change_name(plan, request.accepted)) {
    return usage_error(fmt::format("nothing was written: --accept {} matches no change of this promotion\n{}",
                                   *name, describe_changes(plan.changes)));
  }
  if (!plan.missing_acceptances.empty()) {
    return refuse_unaccepted(plan);
  }
  const auto row = next_row(production, trial.document.bytes, request.author);
  auto result = report_write("production", row, store.write("production", production, row));
  if (result.code == exit_code::done) {
    result.text = describe_changes(plan.changes) + result.text;
    result.object["changes"] = changes_to_json(plan.changes);
  }
  return result;
}

command_result promote(store_client& store, const promotion_request& request) {
  const auto trial = store.read("trial");
  if (const auto* problem = std::get_if<store_error>(&trial)) {
    return not_written_result(problem->reason);
  }
  const auto& trial_row = std::get<stored_document>(trial);
  if (!trial_row.row || !trial_row.row->document.digest.starts_with(request.digest)) {
    auto result = conflict_result("trial", trial_row);
    result.error = fmt::format("nothing was written: expected trial document {}, found {}\n", request.digest,
                               describe_row(trial_row));
    return result;
  }
  const auto production = store.read("production");
  if (const auto* problem = std::get_if<store_error>(&production)) {
    return not_written_result(problem->reason);
  }
  const auto& current = std::get<stored_document>(production);
  if (current.version().value() != request.expected_version) {
    return conflict_result("production", current);
  }
  return promote_row(store, request, *trial_row.row, current);
}

}  // namespace

command_result run_trial(command_line& line, const std::vector<std::string>& args) {
  TCLAP::UnlabeledValueArg<std::string> file{"FILE", "Document to store", true, "", "FILE", line.arguments()};
  const store_options store_option{line, true};
  const author_option author{line};
  line.parse(args);
  auto bytes = read_text_file(file.getValue());
  if (auto* failed = std::get_if<command_result>(&bytes)) {
    return std::move(*failed);
  }
  auto checked = check_document_text(std::get<std::string>(std::move(bytes)), file.getValue(), "trial");
  if (auto* failed = std::get_if<command_result>(&checked)) {
    return std::move(*failed);
  }
  const auto& document = std::get<checked_document>(checked);
  http_caller caller;
  auto store = store_option.connect(caller);
  const auto found = store.read("trial");
  if (const auto* problem = std::get_if<store_error>(&found)) {
    return not_written_result(problem->reason);
  }
  const auto& before = std::get<stored_document>(found);
  if (before.row && before.row->document.digest == document.digest) {
    command_result result;
    result.text = fmt::format("trial: identical document already stored: {}\n", describe_row(before));
    result.object["trial"] = row_to_json(before);
    return result;
  }
  const auto row = next_row(before, document.bytes, author.name());
  return report_write("trial", row, store.write("trial", before, row));
}

command_result run_promote(command_line& line, const std::vector<std::string>& args) {
  const store_options store_option{line, true};
  TCLAP::ValueArg<std::string> digest{
      "",
      "digest",
      "Digest of the trial document, as trial and status print it; at least 8 digits",
      true,
      "",
      "DIGEST",
      line.arguments()};
  TCLAP::ValueArg<std::uint64_t> expected{
      "",        "expected-version", "Production version that status showed; 0 when there is none", true, 0,
      "VERSION", line.arguments()};
  TCLAP::MultiArg<std::string> accepted{
      "",
      "accept",
      "Name of a change that breaks a guarantee, stops work or weakens a promise; repeatable",
      false,
      "NAME",
      line.arguments()};
  const author_option author{line};
  line.parse(args);
  if (digest.getValue().size() < min_digest_length) {
    return usage_error(fmt::format("--digest has {} digits; expected at least {}\n", digest.getValue().size(),
                                   min_digest_length));
  }
  http_caller caller;
  auto store = store_option.connect(caller);
  return promote(store, {digest.getValue(), expected.getValue(), accepted.getValue(), author.name()});
}

}  // namespace rhubarbpath::ctl

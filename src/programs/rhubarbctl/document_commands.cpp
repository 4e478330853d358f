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

constexpr std::size_t shortest_digest = 8;
constexpr std::size_t longest_name = 100;
// Names the case that the production document cannot be compared, so that it can be replaced.
constexpr std::string_view unreadable_change = "replace-unreadable-document:production";

std::string current_time() {
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(std::time(nullptr)));
}

std::string user_name() {
  // The program has one thread, so nothing changes the environment meanwhile.
  const char* user = std::getenv("USER");  // NOLINT(concurrency-mt-unsafe)
  return user != nullptr && *user != '\0' ? user : "unknown";
}

command_result unreachable_store(const std::string& reason) {
  command_result result;
  result.code = exit_code::not_run;
  result.error = fmt::format("nothing was written: {}\n", reason);
  return result;
}

command_result lost_race(const std::string& environment, const stored_document& other) {
  command_result result;
  result.code = exit_code::conflict;
  result.error = fmt::format("nothing was written: another change of {} was made first: {}\n", environment,
                             describe_row(other));
  result.object["other"] = row_to_json(other);
  return result;
}

command_result report_write(const std::string& environment, const document_row& row,
                            const write_report& written) {
  command_result result;
  switch (written.result) {
    case write_result::written:
      result.text = fmt::format("{}: {}\n", environment, describe_row({{}, {}, row}));
      result.object[environment] = row_to_json({{}, {}, row});
      return result;
    case write_result::conflict:
      return lost_race(environment, written.other);
    case write_result::not_written:
      return unreachable_store(written.reason);
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

/// Who is recorded as the author of a change.
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
    if (name_.getValue().empty() || name_.getValue().size() > longest_name) {
      throw TCLAP::ArgParseException(fmt::format("accepted: a name of 1 to {} bytes", longest_name),
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

/// What a promotion changes, or why it cannot be told.
struct promotion_plan {
  std::vector<document_change> changes;
  std::vector<std::string> must_name;
  std::string note;
};

promotion_plan plan_promotion(const stored_document& production, const environment_document& next,
                              const std::vector<std::string>& accepted) {
  promotion_plan plan;
  environment_document current;
  if (production.row) {
    auto parsed = parse_document(production.row->document.bytes, "production");
    if (!parsed.ok()) {
      plan.note = fmt::format("the production document cannot be compared: {}\n",
                              format_problem("production", parsed.problems.front()));
      if (std::find(accepted.begin(), accepted.end(), unreadable_change) == accepted.end()) {
        plan.must_name.emplace_back(unreadable_change);
      }
      return plan;
    }
    current = std::move(parsed.document);
  }
  plan.changes = diff_documents(current, next);
  for (const auto& change : unaccepted_changes(plan.changes, accepted)) {
    plan.must_name.push_back(change.name());
  }
  return plan;
}

command_result refuse_unaccepted(const promotion_plan& plan) {
  command_result result;
  result.code = exit_code::not_accepted;
  result.text = describe_changes(plan.changes);
  result.error = plan.note +
                 "nothing was written; these changes break a guarantee, stop work or weaken a "
                 "promise and must be named:\n";
  auto names = json::array();
  for (const auto& name : plan.must_name) {
    result.error += fmt::format("  --accept {}\n", name);
    names.push_back(name);
  }
  result.object = {{"changes", changes_to_json(plan.changes)}, {"must_accept", std::move(names)}};
  return result;
}

/// An accepted name that no change has is a sign that the operator looked at other documents.
std::optional<std::string> unknown_name(const promotion_plan& plan,
                                        const std::vector<std::string>& accepted) {
  for (const auto& name : accepted) {
    const bool known =
        name == unreadable_change || std::any_of(plan.changes.begin(), plan.changes.end(),
                                                 [&](const auto& change) { return change.name() == name; });
    if (!known) {
      return name;
    }
  }
  return std::nullopt;
}

command_result usage_problem(std::string message) {
  command_result result;
  result.code = exit_code::usage;
  result.error = std::move(message);
  return result;
}

/// The arguments of `promote` after parsing.
struct promotion {
  std::string digest;
  std::uint64_t expected_version{0};
  std::vector<std::string> accepted;
  std::string author;
};

command_result promote_row(store_client& store, const promotion& wanted, const document_row& trial,
                           const stored_document& production) {
  auto checked = check_text(trial.document.bytes, "trial", "production");
  if (auto* failed = std::get_if<command_result>(&checked)) {
    return std::move(*failed);
  }
  const auto plan = plan_promotion(production, std::get<checked_document>(checked).document, wanted.accepted);
  if (const auto name = unknown_name(plan, wanted.accepted)) {
    return usage_problem(fmt::format("nothing was written: --accept {} names no change of this promotion\n{}",
                                     *name, describe_changes(plan.changes)));
  }
  if (!plan.must_name.empty()) {
    return refuse_unaccepted(plan);
  }
  const auto row = next_row(production, trial.document.bytes, wanted.author);
  auto result = report_write("production", row, store.write("production", production, row));
  if (result.code == exit_code::done) {
    result.text = describe_changes(plan.changes) + result.text;
    result.object["changes"] = changes_to_json(plan.changes);
  }
  return result;
}

command_result promote(store_client& store, const promotion& wanted) {
  const auto trial = store.read("trial");
  if (const auto* problem = std::get_if<store_problem>(&trial)) {
    return unreachable_store(problem->reason);
  }
  const auto& trial_row = std::get<stored_document>(trial);
  if (!trial_row.row || !trial_row.row->document.digest.starts_with(wanted.digest)) {
    auto result = lost_race("trial", trial_row);
    result.error = fmt::format("nothing was written: the trial document is not {} but {}\n", wanted.digest,
                               describe_row(trial_row));
    return result;
  }
  const auto production = store.read("production");
  if (const auto* problem = std::get_if<store_problem>(&production)) {
    return unreachable_store(problem->reason);
  }
  const auto& current = std::get<stored_document>(production);
  if (current.version().value() != wanted.expected_version) {
    return lost_race("production", current);
  }
  return promote_row(store, wanted, *trial_row.row, current);
}

}  // namespace

command_result run_trial(command_line& line, const std::vector<std::string>& words) {
  TCLAP::UnlabeledValueArg<std::string> file{"FILE", "Document to store", true, "", "FILE", line.arguments()};
  const store_options store_option{line, true};
  const author_option author{line};
  line.parse(words);
  auto bytes = read_text_file(file.getValue());
  if (auto* failed = std::get_if<command_result>(&bytes)) {
    return std::move(*failed);
  }
  auto checked = check_text(std::get<std::string>(std::move(bytes)), file.getValue(), "trial");
  if (auto* failed = std::get_if<command_result>(&checked)) {
    return std::move(*failed);
  }
  const auto& document = std::get<checked_document>(checked);
  http_caller caller;
  auto store = store_option.connect(caller);
  const auto found = store.read("trial");
  if (const auto* problem = std::get_if<store_problem>(&found)) {
    return unreachable_store(problem->reason);
  }
  const auto& before = std::get<stored_document>(found);
  if (before.row && before.row->document.digest == document.digest) {
    command_result result;
    result.text = fmt::format("trial: these bytes are stored already: {}\n", describe_row(before));
    result.object["trial"] = row_to_json(before);
    return result;
  }
  const auto row = next_row(before, document.bytes, author.name());
  return report_write("trial", row, store.write("trial", before, row));
}

command_result run_promote(command_line& line, const std::vector<std::string>& words) {
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
  line.parse(words);
  if (digest.getValue().size() < shortest_digest) {
    return usage_problem(fmt::format("--digest has {} digits; accepted: at least {}\n",
                                     digest.getValue().size(), shortest_digest));
  }
  http_caller caller;
  auto store = store_option.connect(caller);
  return promote(store, {digest.getValue(), expected.getValue(), accepted.getValue(), author.name()});
}

}  // namespace rhubarbpath::ctl

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

#include "command.hpp"
#include "entry_options.hpp"
#include "http_caller.hpp"
#include "rhubarbpath/protocol/api_json.hpp"
#include "rhubarbpath/protocol/document_yaml.hpp"

namespace rhubarbpath::ctl {

namespace {

// Shorter than the idle timeout of most load balancers, so that they do not close the connection.
constexpr duration max_poll_wait = std::chrono::seconds{20};
// Avoids polling in a busy loop when the entry VM answers at once.
constexpr duration min_poll_interval = std::chrono::milliseconds{200};
constexpr duration retry_delay = std::chrono::seconds{1};

using job_call_result = std::variant<job_answer, command_result>;

exit_code exit_code_for(verdict value) {
  switch (value) {
    case verdict::ran:
      return exit_code::done;
    case verdict::not_run:
      return exit_code::not_run;
    case verdict::may_have_run:
      return exit_code::may_have_run;
  }
  return exit_code::may_have_run;
}

exit_code exit_code_for(job_state state) {
  const bool negative =
      state == job_state::failed || state == job_state::cancelled || state == job_state::refused;
  return negative ? exit_code::found : exit_code::done;
}

json outcome_to_json(const outcome& value) {
  return json::parse(encode_outcome(value));
}

std::string retry_hint(const outcome& value) {
  return value.retry_after ? fmt::format("; repeat after {}", format_duration(*value.retry_after))
                           : std::string{};
}

command_result failure_result(const outcome& failure) {
  command_result result;
  result.code = exit_code_for(failure.result);
  result.error = fmt::format("{}: {}{}\n", to_string(failure.result), failure.reason, retry_hint(failure));
  result.object = outcome_to_json(failure);
  return result;
}

/// Decodes an answer about a job. If it holds no job record, the result describes the failure.
job_call_result read_answer(const std::variant<entry_answer, outcome>& called) {
  if (const auto* failure = std::get_if<outcome>(&called)) {
    return failure_result(*failure);
  }
  const auto& [entry, response] = std::get<entry_answer>(called);
  auto answer = decode_job_answer(response.body);
  if (!answer.ok()) {
    // The answer may come from a load balancer after an entry VM received the request.
    return failure_result({verdict::may_have_run,
                           fmt::format("{} answered with status {} and no verdict: {}", entry,
                                       response.status, std::string{answer.status().message()}),
                           std::nullopt});
  }
  if (!answer->job) {
    auto result = failure_result(answer->result);
    if (response.status == http_status(answer_kind::unknown)) {
      result.code = exit_code::found;
    }
    return result;
  }
  return *std::move(answer);
}

std::string format_time(instant at) {
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(at.time_since_epoch()).count();
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(static_cast<std::time_t>(seconds)));
}

std::string describe_job(const job_record& job) {
  if (job.spec.team.empty()) {
    return fmt::format("job {}\n", job.id.value());
  }
  auto text = fmt::format("job {}: {}{}{}\n", job.id.value(), to_string(job.state),
                          job.reason.empty() ? "" : ", ", job.reason);
  text +=
      fmt::format("  team {}, class {}, {} x {} accelerators, attempt {}, accepted at {}\n",
                  job.spec.team.value(), job.spec.job_class.value(), job.spec.shape.members,
                  job.spec.shape.accelerators_per_member, job.attempt.value(), format_time(job.accepted_at));
  std::vector<std::string> workers;
  for (const auto& member : job.placement) {
    workers.push_back(member.worker.value());
  }
  if (!workers.empty()) {
    text += fmt::format("  on {}\n", fmt::join(workers, ", "));
  }
  return text;
}

command_result job_result(const job_answer& answer) {
  command_result result;
  result.code = answer.result.result == verdict::ran ? exit_code_for(answer.job->state)
                                                     : exit_code_for(answer.result.result);
  result.text = describe_job(*answer.job);
  if (answer.result.result != verdict::ran) {
    result.error = fmt::format("{}: {}{}\n", to_string(answer.result.result), answer.result.reason,
                               retry_hint(answer.result));
  }
  result.object = json::parse(encode_job_answer(answer));
  return result;
}

std::string job_path(const std::string& id) {
  const auto allowed = [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.';
  };
  if (id.empty() || id.size() > max_id_bytes || !std::all_of(id.begin(), id.end(), allowed)) {
    throw TCLAP::ArgParseException("expected a job id as printed by submit, for example j-0123", "JOB");
  }
  return "/v1/jobs/" + id;
}

job_call_result query(entry_client& client, const std::string& id, duration wait,
                      const std::string& last_state) {
  const auto wait_ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  const http_request request{.method = "GET",
                             .path = job_path(id),
                             .query = wait_ms > 0 ? fmt::format("wait_ms={}", wait_ms) : std::string{},
                             .headers = {},
                             .body = {}};
  return read_answer(client.call(request, repeatable::yes, wait, fmt::format("job {}{}", id, last_state)));
}

bool is_settled(const job_call_result& result) {
  if (const auto* answer = std::get_if<job_answer>(&result)) {
    return is_final(answer->job->state);
  }
  // Waiting does not help if the job is unknown, but an unreachable entry VM may come back.
  return std::get<command_result>(result).code == exit_code::found;
}

/// Polls until the job is in a final state, is unknown, or the wait is over.
job_call_result wait_for_job(entry_client& client, const std::string& id, duration wait) {
  auto& caller = client.caller();
  const auto deadline = caller.now() + wait;
  std::string last_state;
  for (;;) {
    const auto queried_at = caller.now();
    const auto left = std::max(duration::zero(), duration{deadline - queried_at});
    auto result = query(client, id, std::min(left, max_poll_wait), last_state);
    if (is_settled(result) || caller.now() >= deadline) {
      return result;
    }
    const auto* answer = std::get_if<job_answer>(&result);
    if (answer != nullptr) {
      last_state = fmt::format(" ({}{}{})", to_string(answer->job->state),
                               answer->job->reason.empty() ? "" : ": ", answer->job->reason);
    }
    const auto period = answer != nullptr ? min_poll_interval : retry_delay;
    const auto pause =
        std::min(duration{queried_at + period - caller.now()}, duration{deadline - caller.now()});
    if (pause > duration::zero()) {
      caller.pause(pause);
    }
  }
}

/// The arguments that describe a job.
class job_arguments {
 public:
  explicit job_arguments(command_line& line)
      : team_{"", "team", "Team that submits", true, "", "TEAM", line.arguments()},
        job_class_{"", "class", "Job class", true, "", "CLASS", line.arguments()},
        accelerators_{"",  "accelerators",  "Accelerators per member: 1, 2, 4 or 8", true, 1,
                      "N", line.arguments()},
        members_{"", "members", "Members of the gang (default 1)", false, 1, "N", line.arguments()},
        within_{"",
                "within",
                "Place that holds all members: worker (default), rack or failure_domain",
                false,
                "worker",
                &proximity_constraint_,
                line.arguments()},
        run_time_{"",         "run-time",      "Estimated run time, for example 2h", true, "",
                  "DURATION", line.arguments()},
        guaranteed_{"", "guaranteed", "Use the team's guarantee", line.arguments()},
        not_checkpointable_{"", "not-checkpointable", "The job cannot be resumed", line.arguments()},
        key_{"",
             "key",
             "Idempotency key; repeat a submission with the same key (default: a new one)",
             false,
             "",
             "KEY",
             line.arguments()},
        command_{"COMMAND", "Command that each member runs, after --", true, "COMMAND", line.arguments()} {}

  [[nodiscard]] job_spec spec() const {
    job_spec spec;
    spec.team = team_id{team_.getValue()};
    spec.job_class = class_id{job_class_.getValue()};
    spec.shape.accelerators_per_member = accelerators_.getValue();
    spec.shape.members = members_.getValue();
    const auto place = std::find(proximities_.begin(), proximities_.end(), within_.getValue());
    spec.shape.within = static_cast<proximity>(place - proximities_.begin());
    spec.guaranteed = guaranteed_.getValue();
    spec.checkpointable = !not_checkpointable_.getValue();
    spec.declared_run_time = parse_duration_argument(run_time_);
    spec.command = fmt::format("{}", fmt::join(command_.getValue(), " "));
    return spec;
  }
  [[nodiscard]] const std::string& key() const { return key_.getValue(); }

 private:
  // In the order of the enumerators of `proximity`.
  std::vector<std::string> proximities_{"worker", "rack", "failure_domain"};
  TCLAP::ValuesConstraint<std::string> proximity_constraint_{proximities_};
  TCLAP::ValueArg<std::string> team_;
  TCLAP::ValueArg<std::string> job_class_;
  TCLAP::ValueArg<int> accelerators_;
  TCLAP::ValueArg<int> members_;
  TCLAP::ValueArg<std::string> within_;
  TCLAP::ValueArg<std::string> run_time_;
  TCLAP::SwitchArg guaranteed_;
  TCLAP::SwitchArg not_checkpointable_;
  TCLAP::ValueArg<std::string> key_;
  TCLAP::UnlabeledMultiArg<std::string> command_;
};

/// The option that waits for the end of a job.
class wait_option {
 public:
  explicit wait_option(command_line& line)
      : wait_{"",
              "wait",
              "Wait until the job ends, at most this long (default 0s)",
              false,
              "0s",
              "DURATION",
              line.arguments()} {}
  [[nodiscard]] duration value() const { return parse_duration_argument(wait_); }

 private:
  TCLAP::ValueArg<std::string> wait_;
};

command_result submit(entry_client& client, const job_spec& spec, const std::string& key, duration wait) {
  const http_request request{.method = "POST",
                             .path = "/v1/jobs",
                             .query = {},
                             .headers = {{"Content-Type", "application/json"},
                                         {"Idempotency-Key", key},
                                         {"Rhubarb-Team", spec.team.value()}},
                             .body = encode_job_submission(spec)};
  auto submitted = read_answer(client.call(request, repeatable::yes, duration::zero(), "the submission"));
  if (const auto* answer = std::get_if<job_answer>(&submitted)) {
    const bool still_active = answer->result.result == verdict::ran && !is_final(answer->job->state);
    if (still_active && wait > duration::zero()) {
      submitted = wait_for_job(client, answer->job->id.value(), wait);
    }
  }
  auto* failed = std::get_if<command_result>(&submitted);
  auto result = failed != nullptr ? std::move(*failed) : job_result(std::get<job_answer>(submitted));
  result.object["key"] = key;
  // Printed because a retry without the key would submit a second job.
  result.text += fmt::format("key {}\n", key);
  return result;
}

}  // namespace

command_result run_submit(command_line& line, const std::vector<std::string>& args) {
  const entry_options entries{line, true};
  const wait_option wait{line};
  const job_arguments arguments{line};
  line.parse(args);
  const auto spec = arguments.spec();
  const auto accepted = parse_job_submission(encode_job_submission(spec));
  if (!accepted.ok()) {
    throw TCLAP::ArgParseException(std::string{accepted.status().message()}, "submission");
  }
  http_caller caller;
  auto client = entries.connect(caller);
  const auto key = arguments.key().empty() ? trace_id_text(new_trace(caller.random())) : arguments.key();
  if (const auto valid = parse_caller_headers({{"Idempotency-Key", key}}); !valid.ok()) {
    throw TCLAP::ArgParseException(std::string{valid.status().message()}, "--key");
  }
  return submit(client, spec, key, wait.value());
}

command_result run_job(command_line& line, const std::vector<std::string>& args) {
  TCLAP::UnlabeledValueArg<std::string> id{"JOB", "Id of the job", true, "", "JOB", line.arguments()};
  const entry_options entries{line, true};
  const wait_option wait{line};
  line.parse(args);
  http_caller caller;
  auto client = entries.connect(caller);
  auto result = wait_for_job(client, id.getValue(), wait.value());
  if (auto* failed = std::get_if<command_result>(&result)) {
    return std::move(*failed);
  }
  return job_result(std::get<job_answer>(result));
}

command_result run_cancel(command_line& line, const std::vector<std::string>& args) {
  TCLAP::UnlabeledValueArg<std::string> id{"JOB", "Id of the job", true, "", "JOB", line.arguments()};
  const entry_options entries{line, true};
  line.parse(args);
  http_caller caller;
  auto client = entries.connect(caller);
  const http_request request{
      .method = "DELETE", .path = job_path(id.getValue()), .query = {}, .headers = {}, .body = {}};
  // Cancellation is idempotent.
  auto called = read_answer(client.call(request, repeatable::yes, duration::zero(), "the cancellation"));
  if (auto* failed = std::get_if<command_result>(&called)) {
    return std::move(*failed);
  }
  const auto& answer = std::get<job_answer>(called);
  auto result = job_result(answer);
  const auto state = answer.job->state;
  if (answer.result.result == verdict::ran) {
    const bool ended_otherwise = is_final(state) && state != job_state::cancelled;
    result.code = ended_otherwise ? exit_code::found : exit_code::done;
  }
  return result;
}

namespace {

std::string explain(const job_record& job) {
  if (job.spec.team.empty()) {
    return fmt::format("Only the id of job {} is known now.\n", job.id.value());
  }
  constexpr std::array<std::string_view, 8> state_phrases{
      "waits",    "is being started",         "runs",          "is being stopped",
      "finished", "failed and ends for good", "was cancelled", "was refused"};
  auto text = fmt::format("Job {} {}", job.id.value(), state_phrases.at(static_cast<std::size_t>(job.state)));
  text += job.reason.empty() ? "." : fmt::format(": {}.", job.reason);
  if (job.preemptions > 0 || job.failures > 0) {
    text += fmt::format(" It was preempted {} times and failed {} times.", job.preemptions, job.failures);
  }
  if (job.state == job_state::waiting) {
    text += job.spec.guaranteed ? " It takes part of its team's guarantee."
                                : " It is preemptible and starts when space beside the guarantees is free.";
  }
  if (job.attained_service > duration::zero()) {
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(job.attained_service);
    text += fmt::format(" It has run for {} so far.", format_duration(seconds));
  }
  return text + "\n";
}

}  // namespace

command_result run_why(command_line& line, const std::vector<std::string>& args) {
  TCLAP::UnlabeledValueArg<std::string> id{"JOB", "Id of the job", true, "", "JOB", line.arguments()};
  const entry_options entries{line, true};
  line.parse(args);
  http_caller caller;
  auto client = entries.connect(caller);
  auto called = query(client, id.getValue(), duration::zero(), "");
  if (auto* failed = std::get_if<command_result>(&called)) {
    return std::move(*failed);
  }
  const auto& answer = std::get<job_answer>(called);
  auto result = job_result(answer);
  const auto explanation = explain(*answer.job);
  // This command reports the reason, so a failed or cancelled job is not a negative finding here.
  result.code = exit_code_for(answer.result.result);
  result.text = explanation;
  result.object["explanation"] = explanation.substr(0, explanation.size() - 1);
  return result;
}

}  // namespace rhubarbpath::ctl

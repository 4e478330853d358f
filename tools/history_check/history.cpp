#include "history.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <tuple>

#include "rhubarbpath/state/worker_api.hpp"

namespace rhubarbpath::history_check {

namespace {

using violations = std::vector<std::string>;

/// Longest time in which only a part of a gang may run: the worker lease of design section 5.1.
constexpr duration partial_gang_bound = std::chrono::seconds{15};

instant instant_of(const nlohmann::json& value) {
  return instant{duration{value.get<std::int64_t>()}};
}

std::map<std::string, int> count_runs(const platform_history& platform) {
  std::map<std::string, int> runs;
  for (const auto& run : platform.requests) {
    ++runs[run.body];  // The body of each request is its key, also when no key was sent to the target.
  }
  return runs;
}

void check_request(const request_history& request, int runs, violations& out) {
  const auto answered = [&](verdict result) {
    return std::any_of(request.tries.begin(), request.tries.end(),
                       [&](const auto& attempt) { return attempt.answered && attempt.result == result; });
  };
  const bool all_not_run =
      !request.tries.empty() &&
      std::all_of(request.tries.begin(), request.tries.end(), [](const auto& attempt) {
        return attempt.unsent || (attempt.answered && attempt.result == verdict::not_run);
      });
  if (request.non_idempotent && runs > 1) {
    out.push_back(fmt::format("P5: request {} is not idempotent and ran {} times", request.key, runs));
  }
  if (all_not_run && runs > 0) {
    out.push_back(fmt::format("P4: request {} was answered not_run and ran {} times", request.key, runs));
  }
  if (answered(verdict::ran) && runs == 0) {
    out.push_back(fmt::format("P3: request {} was answered ran and ran nowhere", request.key));
  }
  for (const auto& attempt : request.tries) {
    if (attempt.answered && !attempt.echo_matches) {
      out.push_back(fmt::format("P3: request {} got a partial or foreign answer", request.key));
    }
    if (attempt.overdue) {
      out.push_back(fmt::format("P3: request {} got no answer on an open connection", request.key));
    }
  }
}

bool overlap(const task_run& left, const task_run& right, instant end) {
  const auto left_end = left.ended == instant{} ? end : left.ended;
  const auto right_end = right.ended == instant{} ? end : right.ended;
  return left.started < right_end && right.started < left_end;
}

void check_overlaps(const platform_history& platform, instant end, violations& out) {
  std::map<std::string, std::vector<const task_run*>> by_worker;
  for (const auto& task : platform.tasks) {
    by_worker[task.worker].push_back(&task);
  }
  for (const auto& [worker, tasks] : by_worker) {
    for (std::size_t i = 0; i < tasks.size(); ++i) {
      for (std::size_t j = i + 1; j < tasks.size(); ++j) {
        if ((tasks[i]->accelerators & tasks[j]->accelerators) != 0 && overlap(*tasks[i], *tasks[j], end)) {
          out.push_back(fmt::format("P2: worker {} ran jobs {} and {} on the same accelerators", worker,
                                    tasks[i]->job, tasks[j]->job));
        }
      }
    }
  }
}

using attempt_key = std::tuple<std::string, std::uint64_t>;

std::map<attempt_key, std::vector<const task_run*>> by_attempt(const platform_history& platform) {
  std::map<attempt_key, std::vector<const task_run*>> attempts;
  for (const auto& task : platform.tasks) {
    attempts[{task.job, task.attempt}].push_back(&task);
  }
  return attempts;
}

/// The states of a job's tasks by attempt, for the message of a violation.
std::string describe(const std::string& job,
                     const std::map<attempt_key, std::vector<const task_run*>>& attempts) {
  std::string text;
  for (const auto& [key, members] : attempts) {
    if (std::get<0>(key) != job) {
      continue;
    }
    text += fmt::format(" [attempt {}:", std::get<1>(key));
    for (const auto* task : members) {
      text += fmt::format(" member {} state {} ran {} ms", task->member, task->state,
                          (task->ended - task->started).count() / 1000);
    }
    text += "]";
  }
  return text;
}

/// Longest single stretch in which some members ran and others did not.
duration longest_partial(const std::vector<const task_run*>& members, int expected, instant end) {
  std::set<instant> edges;
  for (const auto* task : members) {
    edges.insert(task->started);
    edges.insert(task->ended == instant{} ? end : task->ended);
  }
  duration longest{};
  duration current{};
  for (auto it = edges.begin(); it != edges.end() && std::next(it) != edges.end(); ++it) {
    const auto running = std::count_if(members.begin(), members.end(), [&](const auto* task) {
      return task->started <= *it && (task->ended == instant{} || task->ended > *it);
    });
    current = running > 0 && running < expected ? current + (*std::next(it) - *it) : duration::zero();
    longest = std::max(longest, current);
  }
  return longest;
}

void check_job(const job_history& job, const std::map<attempt_key, std::vector<const task_run*>>& attempts,
               instant end, violations& out) {
  int whole_attempts = 0;
  bool started = false;
  for (const auto& [key, members] : attempts) {
    if (std::get<0>(key) != job.job) {
      continue;
    }
    started = true;
    const auto finished = std::count_if(members.begin(), members.end(), [](const auto* task) {
      return task->state == static_cast<int>(task_state::finished);
    });
    whole_attempts += finished >= job.members ? 1 : 0;
    if (const auto partial = longest_partial(members, job.members, end); partial > partial_gang_bound) {
      out.push_back(fmt::format("P2: job {} attempt {} ran partly for {} ms", job.job, std::get<1>(key),
                                partial.count() / 1000));
    }
  }
  if (job.refused && started) {
    out.push_back(fmt::format("P4: job {} was answered not_run and its tasks ran", job.job));
  }
  if (job.accepted && job.final_state.empty()) {
    out.push_back(fmt::format("P3: job {} was accepted and reached no final state", job.job));
  }
  if (job.final_state == "finished" && whole_attempts == 0) {
    out.push_back(fmt::format("P2: job {} is finished and no attempt ran whole:{}", job.job,
                              describe(job.job, attempts)));
  }
  if (whole_attempts > 1) {
    out.push_back(fmt::format("P5: job {} ran whole {} times", job.job, whole_attempts));
  }
}

}  // namespace

absl::StatusOr<platform_history> parse_history(std::string_view body) {
  const auto parsed = nlohmann::json::parse(body, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("requests") || !parsed.contains("tasks")) {
    return absl::InvalidArgumentError("the body is not a history");
  }
  platform_history history;
  for (const auto& run : parsed["requests"]) {
    history.requests.push_back(
        {.worker = run.value("worker", ""), .key = run.value("key", ""), .body = run.value("body", "")});
  }
  for (const auto& task : parsed["tasks"]) {
    history.tasks.push_back({.worker = task.value("worker", ""),
                             .job = task.value("job", ""),
                             .attempt = task.value("attempt", std::uint64_t{0}),
                             .member = task.value("member", 0),
                             .accelerators = task.value("accelerators", 0U),
                             .state = task.value("state", 0),
                             .started = instant_of(task["started_us"]),
                             .ended = instant_of(task["ended_us"])});
  }
  if (parsed.contains("store_calls")) {
    history.store_calls = parsed["store_calls"].get<std::map<std::string, std::uint64_t>>();
  }
  return history;
}

std::vector<std::string> find_violations(const std::vector<request_history>& requests,
                                         const std::vector<job_history>& jobs,
                                         const platform_history& platform, instant end) {
  violations found;
  const auto runs = count_runs(platform);
  for (const auto& request : requests) {
    const auto count = runs.find(request.key);
    check_request(request, count == runs.end() ? 0 : count->second, found);
  }
  const auto attempts = by_attempt(platform);
  for (const auto& job : jobs) {
    check_job(job, attempts, end, found);
  }
  check_overlaps(platform, end, found);
  return found;
}

std::vector<std::string> find_uncertain(const std::vector<request_history>& requests) {
  violations found;
  for (const auto& request : requests) {
    for (const auto& attempt : request.tries) {
      const bool cut = attempt.answered ? attempt.result == verdict::may_have_run : !attempt.unsent;
      if (cut) {
        found.push_back(fmt::format("P7: request {} of class {} was cut: {}", request.key,
                                    request.request_class, attempt.reason));
      }
    }
  }
  return found;
}

}  // namespace rhubarbpath::history_check

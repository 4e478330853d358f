#include "rhubarbpath/coordination/worker_health.hpp"

#include <algorithm>

namespace rhubarbpath {
namespace {

/// Failed jobs kept per worker, and failed workers kept per job. More would not change a decision.
constexpr std::size_t max_tracked_failures = 8;

}  // namespace

worker_health::set_aside_state::set_aside_state(instant now, duration next_backoff, const options& bounds)
    : until{now + std::min(next_backoff, bounds.max_backoff)},
      backoff{std::min(next_backoff, bounds.max_backoff)} {}

void worker_health::handle(const event& input, instant now, std::vector<action>& out) {
  std::visit([&](const auto& concrete) { on(concrete, now, out); }, input);
}

std::optional<instant> worker_health::next_deadline() const {
  std::optional<instant> next;
  for (const auto& [worker, state] : set_aside_workers_) {
    next = std::min(next.value_or(state.until), state.until);
  }
  return next;
}

std::vector<worker_id> worker_health::failed_on(const job_id& job) const {
  std::vector<worker_id> result;
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) {
    return result;
  }
  for (const auto& worker : found->second) {
    const auto history = workers_.find(worker);
    const bool at_fault = history != workers_.end() && worker_at_fault(history->second);
    if (!set_aside_workers_.contains(worker) && !at_fault) {
      result.push_back(worker);
    }
  }
  return result;
}

void worker_health::on(const fleet_changed& input, instant /*now*/, std::vector<action>& /*out*/) {
  limit_ = static_cast<int>(input.set_aside_share * input.workers);
  if (limit_ == 0 && input.set_aside_share > 0 && input.workers > 1) {
    limit_ = 1;
  }
}

void worker_health::on(const task_finished& input, instant /*now*/, std::vector<action>& out) {
  workers_.erase(input.worker);
  probation_.erase(input.worker);
  const auto aside = set_aside_workers_.find(input.worker);
  if (aside == set_aside_workers_.end() || !aside->second.trial) {
    return;
  }
  set_aside_workers_.erase(aside);
  out.emplace_back(restore{input.worker});
}

void worker_health::on(const task_failed& input, instant now, std::vector<action>& out) {
  auto& workers = jobs_[input.job];
  if (workers.size() < max_tracked_failures &&
      std::find(workers.begin(), workers.end(), input.worker) == workers.end()) {
    workers.push_back(input.worker);
  }
  auto& history = workers_[input.worker];
  if (history.failed_jobs.size() >= max_tracked_failures) {
    history.failed_jobs.erase(history.failed_jobs.begin());
  }
  history.failed_jobs.push_back(input.job);
  const auto aside = set_aside_workers_.find(input.worker);
  if (aside != set_aside_workers_.end()) {
    if (aside->second.trial) {
      aside->second = {now, 2 * aside->second.backoff, options_};
      out.emplace_back(set_aside{input.worker, "the trial task failed as well"});
    }
    return;
  }
  if (const auto probation = probation_.find(input.worker);
      probation != probation_.end() && set_aside_count() < limit_) {
    set_aside_workers_.emplace(input.worker, set_aside_state{now, 2 * probation->second, options_});
    probation_.erase(probation);
    out.emplace_back(set_aside{input.worker, "the first task after the worker was restored failed"});
    return;
  }
  if (worker_at_fault(history)) {
    set_worker_aside(input.worker, now, out);
    return;
  }
  const auto healthy_workers = failed_on(input.job);
  if (static_cast<int>(healthy_workers.size()) >= options_.workers_to_fail_job) {
    std::string reason = "the job failed on " + std::to_string(healthy_workers.size()) +
                         " different workers, last on " + input.worker.value() + "; check its command";
    out.emplace_back(fail_job{input.job, std::move(reason)});
  }
}

void worker_health::on(const worker_removed& input, instant /*now*/, std::vector<action>& /*out*/) {
  workers_.erase(input.worker);
  set_aside_workers_.erase(input.worker);
  probation_.erase(input.worker);
}

void worker_health::on(const job_removed& input, instant /*now*/, std::vector<action>& /*out*/) {
  jobs_.erase(input.job);
}

void worker_health::on(const was_set_aside& input, instant now, std::vector<action>& /*out*/) {
  set_aside_workers_.try_emplace(input.worker, now, options_.initial_backoff, options_);
}

void worker_health::on(const trial_needed& input, instant now, std::vector<action>& out) {
  const auto aside = set_aside_workers_.find(input.worker);
  if (aside == set_aside_workers_.end() || aside->second.trial) {
    return;
  }
  aside->second.trial = true;
  aside->second.until = now + aside->second.backoff;
  out.emplace_back(begin_trial{input.worker});
}

void worker_health::on(const tick& /*input*/, instant now, std::vector<action>& out) {
  for (auto each = set_aside_workers_.begin(); each != set_aside_workers_.end();) {
    auto& [worker, state] = *each;
    if (state.until > now) {
      ++each;
    } else if (!state.trial) {
      state.trial = true;
      state.until = now + state.backoff;
      out.emplace_back(begin_trial{worker});
      ++each;
    } else {
      // Either no task was placed on the worker or one still runs, which a faulty worker would have failed by
      // now. If the worker stayed set aside, a gang that needs it could wait for a trial task that is never
      // submitted.
      probation_[worker] = state.backoff;
      workers_.erase(worker);
      out.emplace_back(restore{worker});
      each = set_aside_workers_.erase(each);
    }
  }
}

bool worker_health::worker_at_fault(const worker_history& history) const {
  // With the default limit of 3 workers, a job that failed on 2 or more other workers is more likely at fault
  // than this worker.
  int failures = 0;
  std::vector<job_id> distinct;
  for (const auto& job : history.failed_jobs) {
    const auto found = jobs_.find(job);
    const auto others = found == jobs_.end() ? 0 : static_cast<int>(found->second.size()) - 1;
    if (others + 1 >= options_.workers_to_fail_job) {
      continue;
    }
    ++failures;
    if (std::find(distinct.begin(), distinct.end(), job) == distinct.end()) {
      distinct.push_back(job);
    }
  }
  return failures >= options_.failures_to_set_aside && distinct.size() >= 2;
}

void worker_health::set_worker_aside(const worker_id& worker, instant now, std::vector<action>& out) {
  if (set_aside_count() >= limit_) {
    return;
  }
  set_aside_workers_.emplace(worker, set_aside_state{now, options_.initial_backoff, options_});
  const auto failures = workers_[worker].failed_jobs.size();
  out.emplace_back(set_aside{worker, "the last " + std::to_string(failures) +
                                         " tasks on the worker failed, and the jobs do not fail elsewhere"});
}

}  // namespace rhubarbpath

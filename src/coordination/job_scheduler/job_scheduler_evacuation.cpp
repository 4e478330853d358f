#include "absl/strings/str_cat.h"
#include "job_scheduler_impl.hpp"

namespace rhubarbpath {

using detail::job_state;
using detail::member;
using detail::unit;
using detail::unit_phase;
using detail::worker_state;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// The run time that is left by the progress so far, from the last report on. Nothing if there is too little
/// progress to tell.
std::optional<milliseconds> measured_time_left(const member& one) {
  constexpr int least_progress = 5;  // percent
  const int gained = one.percent - one.first_percent;
  if (gained < least_progress) {
    return std::nullopt;
  }
  return (one.listed_at - one.first_listed_at) * (100 - one.percent) / gained;
}

}  // namespace

void job_scheduler::implementation::note_drain(worker_state& worker, const worker_entry& entry,
                                               instant now) const {
  const bool was_draining = std::exchange(worker.was_draining, entry.draining);
  if (!entry.draining || (was_draining && entry.stays_for == worker.entry.stays_for)) {
    return;
  }
  // The previous list did not contain this entry yet, so it was written after that list was requested.
  const auto written_after = registry_requested.value_or(now - opts.heartbeat_interval);
  const auto leaves_at = written_after + (entry.stays_for ? duration{*entry.stays_for} : opts.drain_time);
  worker.leaves_at = was_draining ? std::max(worker.leaves_at, leaves_at) : leaves_at;
}

std::optional<instant> job_scheduler::implementation::expected_end(const unit& target, instant now) const {
  auto latest = now;
  for (const auto& one : target.members) {
    const auto left = measured_time_left(one);
    if (!left) {
      return std::nullopt;
    }
    const auto since_report = worker_clock(*one.worker, now) - one.listed_at;
    latest = std::max(latest, now + duration_cast<duration>(*left - since_report));
  }
  return latest;
}

bool job_scheduler::implementation::must_move(const worker_state& worker, const job_state& job,
                                              const unit& target, instant now) const {
  // Time for an order or a report to arrive.
  constexpr duration message_time{milliseconds{300}};
  const auto usable_until = worker.leaves_at - message_time;
  const bool last_chance = now + stop_grace() >= usable_until;
  const auto& step = step_of(job, target);
  if (step.long_running) {
    return last_chance ||
           stoppable_lasting_tasks(job, target.occurrence, target.step) >= target.members.size();
  }
  const auto end = expected_end(target, now);
  if (end && *end <= usable_until) {
    return false;
  }
  // What a checkpointing run does until then is kept.
  return last_chance || (end && !step.checkpointing);
}

void job_scheduler::implementation::evacuate_leaving_workers(instant now) {
  for (auto& [id, worker] : workers) {
    if (!worker.was_draining || worker.tasks.empty()) {
      continue;
    }
    const auto tasks = worker.tasks;
    for (const auto& [job, target, index] : tasks) {
      if (target->phase != unit_phase::active || !must_move(worker, *job, *target, now)) {
        continue;
      }
      record("unit_evacuated", job->job.id, "the worker leaves",
             {{"worker", id.value()},
              {"step", absl::StrCat(target->occurrence, ".", target->step, ".", target->number)},
              {"percent", absl::StrCat(target->members[index].percent)},
              {"leaves_in_ms", absl::StrCat(duration_cast<milliseconds>(worker.leaves_at - now).count())}});
      end_unit(*job, *target, now);
    }
  }
}

}  // namespace rhubarbpath

#include "absl/strings/str_cat.h"
#include "job_scheduler_impl.hpp"

// How fast workers are, and which of them a unit gets first.
namespace rhubarbpath {

using detail::job_state;
using detail::member;
using detail::member_phase;
using detail::prefers_rack;
using detail::unit;
using detail::unit_phase;
using detail::worker_state;

namespace {

/// How often the age of the evidence about a worker is looked at.
constexpr duration level_lifetime{std::chrono::milliseconds{1000}};
/// Number of judgements of workers that are logged in a second.
constexpr int max_logged_judgements = 5;

/// The workers of a unit of which all members run.
std::vector<worker_speed::estimate*> workers_of(const unit& running) {
  std::vector<worker_speed::estimate*> found;
  found.reserve(running.members.size());
  for (const auto& one : running.members) {
    if (one.phase != member_phase::running || one.run != running.run) {
      return {};
    }
    found.push_back(&one.worker->speed);
  }
  return found;
}

}  // namespace

log_ratio job_scheduler::implementation::remote_slowness() const {
  constexpr std::chrono::milliseconds unit{1000};
  const auto longer = std::chrono::duration_cast<duration>(unit * opts.remote_factor);
  return std::max<log_ratio>(0, log_of(longer) - log_of(unit));
}

worker_speed::run_facts job_scheduler::implementation::run_facts_of(const job_state& job,
                                                                    const unit& running) const {
  const auto& step = step_of(job, running);
  const auto& first = running.members.front().worker->entry.rack;
  const bool remote = std::any_of(running.members.begin(), running.members.end(), [&](const member& one) {
    const auto& rack = one.worker->entry.rack;
    return (!step.data_rack.empty() && rack.value() != step.data_rack) ||
           (step.gang && step.same_rack && rack != first);
  });
  return {
      .queue = job.job.queue, .caller_estimate = step.estimate, .explained = remote ? remote_slowness() : 0};
}

void job_scheduler::implementation::note_progress(job_state& job, unit& running, instant now) {
  auto* step = job.units.find_step(running.occurrence, running.step);
  if (step == nullptr || running.phase != unit_phase::active || step_of(job, running).long_running) {
    return;
  }
  const auto at_work = workers_of(running);
  const auto& listed = running.members.front();
  if (!at_work.empty() && speeds.progressed(at_work, run_facts_of(job, running), running.speed_track,
                                            step->run_length, listed.percent, listed.listed_at, now)) {
    for (auto& one : running.members) {
      judge_speed(*one.worker, now);
    }
  }
}

void job_scheduler::implementation::note_end(job_state& job, unit& ending, instant now) {
  auto* step = job.units.find_step(ending.occurrence, ending.step);
  if (step == nullptr || ending.phase != unit_phase::active || step_of(job, ending).long_running) {
    return;
  }
  const auto at_work = workers_of(ending);
  // A gang is at work once its last member has started. What an earlier owner started, or what went on from a
  // checkpoint, did an unknown part of its work.
  instant began{};
  for (const auto& one : ending.members) {
    if (one.start_answered_at == instant{}) {
      return;
    }
    began = std::max(began, one.start_answered_at);
  }
  if (at_work.empty() || !ending.checkpoint.empty()) {
    return;
  }
  if (speeds.ended(at_work, run_facts_of(job, ending), ending.speed_track, step->run_length, now - began,
                   now)) {
    for (auto& one : ending.members) {
      judge_speed(*one.worker, now);
    }
  }
}

void job_scheduler::implementation::judge_speed(worker_state& worker, instant now) {
  worker.level_due = now + level_lifetime;
  if (!opts.weigh_worker_speed) {
    return;
  }
  const auto before = std::exchange(worker.level, speeds.level_of(worker.speed, now));
  const bool was_slow = before > speed_level::normal;
  const bool is_slow = worker.level > speed_level::normal;
  if (was_slow == is_slow) {
    return;
  }
  slow_workers += is_slow ? 1 : -1;
  if (now - judgements_since >= std::chrono::seconds{1}) {
    judgements_since = now;
    judgements_logged = 0;
  }
  if (++judgements_logged > max_logged_judgements) {
    ++judgements_not_logged;
    return;
  }
  const auto current = speeds.aged(worker.speed, now);
  constexpr std::chrono::milliseconds unit{100};
  const auto percent = [&](log_ratio ratio) { return absl::StrCat(scaled(unit, ratio) / (unit / 100)); };
  record(is_slow ? "worker_slow" : "worker_speed_normal", {},
         is_slow ? "its runs take longer than others of their step or queue" : "its runs, or no recent ones",
         {{"worker", worker.entry.id.value()},
          {"level", std::string{speed_level_name(worker.level)}},
          {"time_percent", percent(current.slowness)},
          {"uncertainty_percent", percent(worker_speed::deviation(current))},
          {"observations", absl::StrCat(current.observations)},
          {"slow_workers", absl::StrCat(slow_workers)},
          {"not_logged", absl::StrCat(std::exchange(judgements_not_logged, 0))}});
}

speed_order job_scheduler::implementation::order_for(const job_state& job, const unit& placed,
                                                     instant now) const {
  const auto& step = step_of(job, placed);
  if (job.queue->priority == 0) {
    return fast_first;
  }
  if (step.long_running || !opts.weigh_worker_speed) {
    return normal_first;
  }
  const auto expected = speeds.expected(job.job.queue, step.estimate);
  // The steps that wait for this one need their time too.
  const auto allowed = job.objective - now - job.time_after[placed.step];
  if (allowed < expected && allowed + (job.objective - job.added_at) * 2 >= expected) {
    return fast_first;
  }
  return slow_first(expected, allowed);
}

log_ratio job_scheduler::implementation::slowness_on(const std::vector<worker_state*>& where,
                                                     instant now) const {
  log_ratio slowest = 0;
  for (const auto* worker : where) {
    if (worker->level > speed_level::normal) {
      slowest = std::max(slowest, speeds.aged(worker->speed, now).slowness);
    }
  }
  return slowest;
}

}  // namespace rhubarbpath

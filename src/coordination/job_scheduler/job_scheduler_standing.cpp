#include <algorithm>

#include "absl/strings/str_cat.h"
#include "job_scheduler_impl.hpp"

// Jobs that stand: nothing of them runs although the turn of a task has come.
namespace rhubarbpath {

using detail::job_state;
using detail::member;
using detail::member_phase;
using detail::unit;
using detail::unit_phase;
using detail::worker_state;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// `stands_since` may be late by this.
constexpr duration stand_check_interval{milliseconds{100}};
/// A job with nothing running for this long breaks a promise if the fleet has room for it.
constexpr duration reported_stand{milliseconds{3000}};
/// In a fleet that is half full or more, jobs wait for their turn; only long waits are logged.
constexpr duration reported_stand_if_full{milliseconds{15000}};
constexpr std::int64_t full_percent = 50;
constexpr int max_reports_per_check = 2;

bool runs_on_answering_worker(const member& one) {
  return one.phase == member_phase::running && one.worker->failed_renewals == 0;
}

/// Whether a member runs. What a silent worker runs may be lost.
bool runs(const unit& each) {
  return std::any_of(each.members.begin(), each.members.end(), runs_on_answering_worker);
}

/// The last report of a silent worker that ran a member; nothing if there is none.
std::optional<instant> last_report_of_silent_worker(const unit& each) {
  std::optional<instant> last;
  for (const auto& one : each.members) {
    if (one.phase == member_phase::running && !runs_on_answering_worker(one)) {
      last = std::max(last.value_or(one.worker->clock_at), one.worker->clock_at);
    }
  }
  return last;
}

/// The share of the resource that is used most, in percent.
std::int64_t used_percent(const resource_amounts& used, const resource_amounts& capacity) {
  constexpr std::int64_t whole = 100;
  const auto percent = [](std::int64_t part, std::int64_t of) { return of <= 0 ? 0 : part * whole / of; };
  return std::max({percent(used.cpu_millicores, capacity.cpu_millicores),
                   percent(used.memory_mb, capacity.memory_mb),
                   percent(used.accelerators, capacity.accelerators)});
}

}  // namespace

std::optional<job_scheduler::implementation::standing_unit> job_scheduler::implementation::find_standing_unit(
    job_state& job, bool has_running_task) {
  if (has_running_task && !job.lasts) {
    return std::nullopt;
  }
  for (auto& [occurrence_number, occurrence] : job.units.open_occurrences()) {
    for (std::uint32_t step = 0; step < occurrence.left.size(); ++step) {
      const bool lasting = job.job.graph.steps[step].long_running;
      // Each task that lasts must run, whatever else of the job does.
      if (occurrence.left[step] == 0 || (has_running_task && !lasting) ||
          !step_ready(job, occurrence, step)) {
        continue;
      }
      const auto* state = occurrence.find(step);
      if (state == nullptr) {
        return standing_unit{.occurrence = &occurrence, .step = step, .number = 0};
      }
      for (auto number = state->next_open(0); number < state->unit_count;
           number = state->next_open(number + 1)) {
        const auto found = state->units.find(number);
        if (found == state->units.end() || !runs(found->second)) {
          return standing_unit{.occurrence = &occurrence, .step = step, .number = number};
        }
      }
    }
  }
  return std::nullopt;
}

const unit* job_scheduler::implementation::standing_unit::unit_if_any() const {
  const auto* state = std::as_const(*occurrence).find(step);
  if (state == nullptr) {
    return nullptr;
  }
  const auto found = state->units.find(number);
  return found == state->units.end() ? nullptr : &found->second;
}

detail::unit_wait job_scheduler::implementation::wait_of(const job_state& job,
                                                         const standing_unit& standing) const {
  if (job.queue == nullptr) {
    return detail::unknown_queue{};
  }
  const auto* found = standing.unit_if_any();
  if (found != nullptr) {
    const auto& each = *found;
    const auto assigned = std::find_if(each.members.begin(), each.members.end(),
                                       [](const member& one) { return one.phase != member_phase::none; });
    if (assigned != each.members.end()) {
      const auto& worker = assigned->worker->entry.id;
      switch (each.phase) {
        case unit_phase::reserved:
          if (const auto wait = wait_for_advice(job, each)) {
            return *wait;
          }
          if (assigned->worker->report_wanted) {
            return detail::report_awaited{.worker = worker};
          }
          return detail::stops_unfinished{.worker = worker};
        case unit_phase::active:
          if (assigned->phase == member_phase::running) {
            return detail::earlier_run_unfinished{.worker = worker};
          }
          return detail::start_unconfirmed{.worker = worker};
        default:
          return detail::earlier_run_unfinished{.worker = worker};
      }
    }
  }
  if (standing.occurrence->inherited && recovery) {
    return detail::recovery_unfinished{.silent_workers = unreported_workers.size()};
  }
  if (starts_held) {
    return detail::starts_are_held{};
  }
  return found == nullptr ? detail::unit_wait{} : found->wait;
}

void job_scheduler::implementation::report_standing_jobs(instant now) {
  if (now < next_stand_check) {
    return;
  }
  next_stand_check = now + stand_check_interval;
  absl::flat_hash_set<const job_state*> running;
  absl::flat_hash_map<const job_state*, instant> last_reports;
  for (const auto& [job, each] : active_units) {
    if (runs(*each)) {
      running.insert(job);
    } else if (const auto last = last_report_of_silent_worker(*each)) {
      auto& latest = last_reports.try_emplace(job, *last).first->second;
      latest = std::max(latest, *last);
    }
  }
  int reports = 0;
  for (auto& [id, open] : open_jobs) {
    auto& job = *open;
    const auto standing =
        is_terminal(job.phase) ? std::nullopt : find_standing_unit(job, running.contains(&job));
    if (!standing) {
      job.stands_since.reset();
      continue;
    }
    if (!job.stands_since) {
      const auto last_report = last_reports.find(&job);
      job.stands_since = last_report == last_reports.end() ? now : last_report->second;
      job.next_stand_report = *job.stands_since + reported_stand;
    }
    if (now >= job.next_stand_report && reports < max_reports_per_check) {
      ++reports;
      report_standing(job, *standing, now);
    }
  }
}

void job_scheduler::implementation::report_standing(job_state& job, const standing_unit& standing,
                                                    instant now) {
  const auto stands = now - *job.stands_since;
  const auto& step = job.job.graph.steps[standing.step];
  const auto need = occupied(step);
  resource_amounts capacity;
  resource_amounts used;
  std::size_t listed = 0;
  std::size_t usable_count = 0;
  std::size_t with_room = 0;
  std::size_t held = 0;
  std::size_t aside = 0;
  std::size_t evacuated = 0;
  std::size_t rack_usable = 0;
  std::size_t rack_with_room = 0;
  for (const auto& [id, worker] : workers) {
    if (job.queue == nullptr || worker.entry.service != job.queue->service || !worker.listed) {
      continue;
    }
    ++listed;
    if (detail::in_reach(worker)) {
      capacity += worker.entry.capacity;
      used += worker.used;
    }
    aside += worker.set_aside ? 1 : 0;
    evacuated += worker.evacuated ? 1 : 0;
    if (!usable(worker, now) || !detail::has_required_label(worker, step)) {
      continue;
    }
    const auto free = worker.entry.capacity - worker.used - worker.reserved;
    const auto kept = held_back.find(&worker);
    const bool has_room = free.covers(need);
    const bool is_held = has_room && kept != held_back.end() && !(free - kept->second).covers(need);
    const bool in_rack = worker.entry.rack.value() == step.data_rack;
    ++usable_count;
    with_room += has_room ? 1 : 0;
    held += is_held ? 1 : 0;
    rack_usable += in_rack ? 1 : 0;
    rack_with_room += in_rack && has_room && !is_held ? 1 : 0;
  }
  const auto in_use = used_percent(used, capacity);
  if (in_use >= full_percent && stands < reported_stand_if_full) {
    job.next_stand_report = *job.stands_since + reported_stand_if_full;
    return;
  }
  // Doubles, so that the volume is bounded for each job.
  job.next_stand_report = now + stands;
  const auto* found = standing.unit_if_any();
  const auto wait = usable_count == 0 && evacuated > 0 ? detail::unit_wait{detail::only_evacuated_workers{}}
                                                       : wait_of(job, standing);
  record("job_stands", job.job.id, describe(wait),
         {{"step", absl::StrCat(standing.occurrence->number, ".", standing.step, ".", standing.number)},
          {"runs", absl::StrCat(found == nullptr ? 0 : found->run.value())},
          {"stands_ms", absl::StrCat(duration_cast<milliseconds>(stands).count())},
          {"in_use_percent", absl::StrCat(in_use)},
          {"workers", absl::StrCat(listed)},
          {"usable", absl::StrCat(usable_count)},
          {"with_room", absl::StrCat(with_room)},
          {"held_back", absl::StrCat(held)},
          {"set_aside", absl::StrCat(aside)},
          {"evacuated", absl::StrCat(evacuated)},
          {"rack", step.data_rack},
          {"rack_usable", absl::StrCat(rack_usable)},
          {"rack_with_room", absl::StrCat(rack_with_room)}});
}

}  // namespace rhubarbpath

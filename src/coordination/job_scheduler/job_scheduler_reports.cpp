#include "absl/strings/str_cat.h"
#include "job_scheduler_impl.hpp"

namespace rhubarbpath {

using detail::member;
using detail::member_phase;
using detail::unit_phase;
using detail::worker_state;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

std::string_view failure_name(renewal_failure failure) {
  switch (failure) {
    case renewal_failure::unanswered:
      return "unanswered";
    case renewal_failure::refused:
      return "refused";
    case renewal_failure::other_instance:
      return "other_instance";
  }
  return "unanswered";
}

}  // namespace

void job_scheduler::set_workers(const std::vector<worker_entry>& entries, instant requested, instant now) {
  auto& self = *implementation_;
  for (auto& [id, worker] : self.workers) {
    worker.listed = false;
  }
  for (const auto& entry : entries) {
    auto& worker = self.workers[entry.id];
    const bool restarted_or_moved = worker.entry.address != entry.address || worker.entry.born != entry.born;
    if (restarted_or_moved) {
      worker.replaced = false;
      worker.renew_at = now;
    }
    if (worker.entry.draining != entry.draining || worker.entry.id.empty()) {
      self.record(entry.draining ? "worker_draining" : "worker_listed", {}, "registry",
                  {{"worker", entry.id.value()},
                   {"address", entry.address},
                   {"born", absl::StrCat(entry.born.value())}});
      self.placement_due = true;
    }
    if (restarted_or_moved && worker.reported && entry.born != incarnation{} && entry.born != worker.born) {
      self.expect_unknown_lease(worker, false, now);
    }
    if (restarted_or_moved && worker.reported) {
      worker.doubted_at = now;
    }
    self.note_drain(worker, entry, now);
    self.index_worker(worker, entry);
    worker.stored = worker.stored || self.stored_workers.contains(entry.id);
    worker.stored_as_leaving =
        self.stored_leaving.contains(entry.id) || self.leaving_being_stored.contains(entry.id);
    worker.listed = true;
    if (restarted_or_moved && worker.reported && worker.born < entry.born) {
      self.end_runs_of_earlier_incarnations(worker, entry.born, now);
    }
  }
  // A fifth of the workers at most, because the judgement may be wrong.
  constexpr double set_aside_share = 0.2;
  self.update_health(worker_health::fleet_changed{.workers = static_cast<int>(entries.size()),
                                                  .set_aside_share = set_aside_share},
                     now);
  self.registry_requested = requested;
  self.record_evacuations();
  self.empty_rack_fits.clear();
  self.store_worker_set(now);
  self.renew_workers(now);
}

void job_scheduler::worker_unreachable(const renew_order& order, renewal_failure failure, instant now) {
  auto& self = *implementation_;
  const auto& id = order.worker;
  const auto found = self.workers.find(id);
  if (found == self.workers.end()) {
    return;
  }
  auto& worker = found->second;
  worker.renewing = false;
  worker.report_wanted.reset();
  if (failure == renewal_failure::unanswered && order.lease_until) {
    worker.lease_order_open_until = now + detail::max_order_delay;
  }
  if (order.address != worker.entry.address) {
    // The worker has moved since; what answers or fails at its earlier address says nothing about it.
    worker.renew_at = now;
    self.renew_worker(worker, now);
    return;
  }
  ++worker.failed_renewals;
  constexpr duration longest_pause{std::chrono::milliseconds{600}};
  worker.renew_at = now + std::min(longest_pause, detail::renew_pause * worker.failed_renewals);
  self.worker_set_due =
      self.worker_set_due || worker.failed_renewals == detail::out_of_use_after_failed_renewals;
  if (worker.failed_renewals == 1) {
    self.doubt_rack_of(worker, now);
    self.record("worker_silent", {}, std::string{failure_name(failure)},
                {{"worker", id.value()}, {"tasks", absl::StrCat(worker.tasks.size())}});
  }
  if (failure == renewal_failure::other_instance) {
    self.instance_replaced(worker, order.address, now);
  }
  // A refused connection does not show that the worker has left, even if it was draining and its entry is
  // gone: it may be cut off and run its tasks under their lease.
}

void job_scheduler::implementation::instance_replaced(worker_state& worker, const std::string& address,
                                                      instant now) {
  const auto& id = worker.entry.id;
  if (address != worker.entry.address) {
    return;
  }
  if (!std::exchange(worker.replaced, true)) {
    record("worker_replaced", {}, "another instance responds at the address",
           {{"worker", id.value()},
            {"address", address},
            {"answered_at", worker.answered_at},
            {"tasks", absl::StrCat(worker.tasks.size())}});
  }
  worker.failed_renewals = std::max(worker.failed_renewals, 1);
  worker.renew_at = now + detail::replaced_pause;
  unreported_workers.erase(id);
  unblock_tasks_of(id);
  if (address == worker.answered_at) {
    end_all_runs(worker, detail::address_taken_over{.address = address}, now);
  }
}

/// Takes over the worker's incarnation and clock. A new incarnation knows nothing of what ran before.
void job_scheduler::implementation::note_incarnation(worker_state& worker, const lease_report& report,
                                                     instant now) {
  const bool first_of_term = !std::exchange(worker.reported, true);
  const bool new_incarnation = first_of_term || worker.born != report.born;
  if (new_incarnation) {
    worker.seen_through = worker.flushing_through = 0;
    worker.unstored_ends.clear();
    worker.acknowledged_through = worker.acknowledged_confirmed = 0;
    // An earlier owner may have granted the longest lease.
    worker.lease_until = report.clock + duration_cast<milliseconds>(opts.max_lease);
  } else {
    worker.acknowledged_confirmed = std::max(worker.acknowledged_confirmed, worker.acknowledging);
  }
  worker.born = report.born;
  worker.clock = report.clock;
  worker.clock_at = now;
  if (first_of_term) {
    worker.first_report_at = now;
    worker_set_due = true;
    if (expected_workers.erase(worker.entry.id) > 0) {
      // A stop order of the previous owner may still be in progress. Its run is in neither list until it
      // ends.
      recovery_not_before = now + stop_grace();
    }
    placement_due = true;
  } else if (new_incarnation) {
    update_health(worker_health::worker_removed{worker.entry.id}, now);
    speeds.restarted(worker.speed, now);
    worker.set_aside = worker.trial = false;
    record("worker_restarted", {}, "new incarnation",
           {{"worker", worker.entry.id.value()}, {"born", absl::StrCat(report.born.value())}});
    expect_unknown_lease(worker, true, now);
    repeat_stops_of_late_starts(worker, now);
  }
}

void job_scheduler::implementation::expect_unknown_lease(worker_state& worker, bool has_reported,
                                                         instant now) {
  std::erase_if(worker.late_starts, [&](const detail::late_start& late) { return now >= late.expires_at; });
  const bool open_starts = !worker.late_starts.empty() ||
                           std::any_of(worker.tasks.begin(), worker.tasks.end(), [](const auto& task) {
                             return task.parent->members[task.index].open_starts > 0;
                           });
  const auto latest_start = open_starts || worker.renewing ? now + detail::max_order_delay : now;
  // Until the incarnation knows the term of this owner, it may carry out an order of the previous one.
  const auto latest_of_previous_owner = has_reported ? now : started_at + detail::max_order_delay;
  const auto latest_order = std::max({latest_start, worker.lease_order_open_until, latest_of_previous_owner});
  const auto lease_over = latest_order + on_slow_clock(opts.max_lease) + stop_grace();
  // All orders that may extend the lease after the report are known, so an earlier bound is obsolete.
  worker.lease_unknown_until = has_reported ? lease_over : std::max(worker.lease_unknown_until, lease_over);
}

void job_scheduler::implementation::repeat_stops_of_late_starts(worker_state& worker, instant now) {
  std::erase_if(worker.late_starts, [&](const detail::late_start& late) { return now >= late.expires_at; });
  for (const auto& late : worker.late_starts) {
    actions.emplace_back(stop_order{
        .worker = worker.entry.id, .address = worker.entry.address, .task = late.task, .run = late.run});
  }
}

void job_scheduler::worker_reported(const renew_order& order, const lease_report& report, instant sent,
                                    instant now) {
  auto& self = *implementation_;
  const auto& id = order.worker;
  const auto found = self.workers.find(id);
  if (found == self.workers.end()) {
    return;
  }
  auto& worker = found->second;
  worker.renewing = worker.replaced = false;
  if (std::exchange(worker.report_wanted, std::nullopt)) {
    self.placement_due = true;
  }
  worker.answered_at = order.address;
  if (std::exchange(worker.failed_renewals, 0) > 0) {
    self.record("worker_answers", {}, "renewal answered", {{"worker", id.value()}});
    self.placement_due = true;
    self.worker_set_due = self.worker_set_due || worker.stored_as_leaving;
  }
  self.note_incarnation(worker, report, now);
  worker.has_strays = false;
  for (const auto& end : report.ended) {
    if (end.number > worker.seen_through) {
      self.process_ended_run(worker, end, now);
      worker.seen_through = end.number;
      worker.unstored_ends[end.number] = end.task;
      if (!std::exchange(worker.has_unacknowledged_ends, true)) {
        self.workers_with_ends.push_back(&worker);
      }
    }
  }
  for (const auto& run : report.running) {
    self.process_active_run(worker, run, now);
    std::uint32_t index = 0;
    if (auto* parent = self.find_unit(run.task, &index);
        parent != nullptr && detail::is_run(parent->members[index], id, run.run)) {
      auto& seen = parent->members[index];
      const bool still_running_after_stop =
          seen.phase == member_phase::stopping && seen.confirmed_at != instant{} && sent > seen.confirmed_at;
      if (still_running_after_stop) {
        self.order_stop(self.jobs.at(run.task.job), *parent, index);
      } else if (seen.phase != member_phase::stopping) {
        seen.confirmed_at = std::max(seen.confirmed_at, sent);
      }
    }
  }
  if (report.complete) {
    worker.has_complete_report = true;
    self.check_unlisted_runs(worker, report, sent, now);
    self.unreported_workers.erase(id);
    self.unblock_reported_tasks(now);
    self.finish_recovery(now);
  }
  self.flush(now);
  const bool ends_unstored = worker.seen_through > worker.acknowledged_through;
  // `stored` makes the renewal due earlier; until then the lease is renewed at a longer interval.
  worker.renew_at = ends_unstored       ? now + detail::renew_pause * 3
                    : worker.has_strays ? now + detail::renew_pause
                                        : now;
  self.renew_worker(worker, now);
}

void job_scheduler::implementation::process_active_run(worker_state& worker, const active_run& run,
                                                       instant now) {
  std::uint32_t index = 0;
  auto* parent = find_reported_unit(run.task, &index, now);
  if (parent == nullptr) {
    stop_stray(worker, run, nullptr, 0, now);
    return;
  }
  auto& job = jobs.at(run.task.job);
  auto& tracked = parent->members[index];
  if (tracked.phase != member_phase::none && tracked.phase != member_phase::reserved &&
      tracked.worker == &worker && tracked.run == run.run) {
    if (tracked.phase == member_phase::starting) {
      set_phase(job, tracked, member_phase::running);
      tracked.answer_pending = false;
      job.has_started_task = true;
    }
    if (tracked.percent != run.percent || tracked.progress_at == milliseconds{0}) {
      tracked.percent = run.percent;
      tracked.progress_at = worker.clock;
    }
    if (tracked.listed_at == milliseconds{0}) {
      tracked.first_percent = run.percent;
      tracked.first_listed_at = worker.clock;
    }
    tracked.listed_at = worker.clock;
    tracked.checkpoint = run.checkpoint;
    tracked.started_on = worker.born;
    if (index == 0) {
      note_progress(job, *parent, now);
    }
    return;
  }
  const bool gang = step_of(job, *parent).gang;
  const bool unit_open = parent->phase == unit_phase::waiting ||
                         (recovery && parent->phase == unit_phase::active && parent->run == run.run);
  const bool adoptable = !is_terminal(job.phase) && unit_open && tracked.phase == member_phase::none &&
                         run.run >= parent->run && (!gang || recovery);
  if (!adoptable) {
    stop_stray(worker, run, parent, index, now);
    return;
  }
  if (parent->run != run.run) {
    parent->speed_track = {};
  }
  parent->phase = unit_phase::active;
  parent->run = run.run;
  tracked = member{.phase = member_phase::running,
                   .worker = &worker,
                   .run = run.run,
                   .confirmed_at = now,
                   .started_on = worker.born,
                   .percent = run.percent,
                   .first_percent = run.percent,
                   .first_listed_at = worker.clock,
                   .listed_at = worker.clock,
                   .progress_at = worker.clock,
                   .checkpoint = run.checkpoint};
  assign_member(job, *parent, index);
  job.has_started_task = true;
  job.phase = job.phase == job_phase::queued ? job_phase::running : job.phase;
  record("run_adopted", run.task.job, "listed by its worker",
         {{"worker", worker.entry.id.value()}, {"run", absl::StrCat(run.run.value())}});
}

void job_scheduler::implementation::stop_stray(worker_state& worker, const active_run& run,
                                               detail::unit* parent, std::size_t index, instant now) {
  const auto& id = worker.entry.id;
  record("stray_run_stopped", run.task.job, parent == nullptr ? "unknown task" : "not the current run",
         {{"worker", id.value()}, {"run", absl::StrCat(run.run.value())}});
  worker.has_strays = true;
  if (parent != nullptr && parent->phase == unit_phase::reserved) {
    end_unit(jobs.at(run.task.job), *parent, now);
  }
  if (parent == nullptr || parent->members[index].phase != member_phase::none) {
    actions.emplace_back(
        stop_order{.worker = id, .address = worker.entry.address, .task = run.task, .run = run.run});
    return;
  }
  auto& job = jobs.at(run.task.job);
  parent->phase = parent->phase == unit_phase::waiting ? unit_phase::ending : parent->phase;
  parent->members[index] = member{.phase = member_phase::running,
                                  .worker = &worker,
                                  .run = run.run,
                                  .started_on = worker.born,
                                  .percent = run.percent,
                                  .checkpoint = run.checkpoint};
  assign_member(job, *parent, index);
  order_stop(job, *parent, index);
}

void job_scheduler::implementation::process_ended_run(worker_state& worker, const ended_run& end,
                                                      instant now) {
  std::uint32_t index = 0;
  auto* parent = find_reported_unit(end.task, &index, now);
  if (parent == nullptr) {
    return;
  }
  auto& job = jobs.at(end.task.job);
  auto& tracked = parent->members[index];
  const detail::end_listed listed{.outcome = end.outcome};
  record("run_ended", end.task.job, describe(listed),
         {{"worker", worker.entry.id.value()},
          {"task", absl::StrCat(end.task.occurrence, ".", end.task.step, ".", end.task.index)},
          {"run", absl::StrCat(end.run.value())}});
  const bool current =
      tracked.worker == &worker && tracked.run == end.run && tracked.phase != member_phase::none;
  if (current && end.outcome == run_outcome::done) {
    note_end(job, *parent, now);
  }
  if (current) {
    end_run(job, *parent, index, listed, now);
  }
  if (end.outcome == run_outcome::done) {
    worker.consecutive_failures = 0;
    worker.suspect_until = instant{};
    update_health(worker_health::task_finished{worker.entry.id, {}}, now);
    complete_unit(job, *parent, now);
    return;
  }
  if (!end.checkpoint.empty() && end.run >= parent->run && parent->phase != unit_phase::done) {
    parent->checkpoint = end.checkpoint;
  }
  parent->run = std::max(parent->run, end.run);
  if (end.outcome == run_outcome::failed) {
    ++worker.consecutive_failures;
    worker.suspect_until = now + opts.suspect_duration * std::min(worker.consecutive_failures, 3);
    update_health(worker_health::task_failed{worker.entry.id, detail::health_key(job, *parent)}, now);
    record_failed_run(job, *parent, end.run, now);
  }
  if (parent->phase == unit_phase::active && end.run == parent->run) {
    end_unit(job, *parent, now);
  }
  requeue_if_ended(job, *parent, now);
}

std::optional<detail::run_end> job_scheduler::implementation::end_of_unlisted_run(const worker_state& worker,
                                                                                  const member& run) {
  if (run.phase == member_phase::stopping && run.stopped_by == worker.born) {
    return detail::stopped_before_start{.acknowledged_by = worker.born};
  }
  if (run.started_on != worker.born && run.open_starts == 0) {
    return detail::incarnation_over{.successor = worker.born};
  }
  return std::nullopt;
}

void job_scheduler::implementation::check_unlisted_runs(worker_state& worker, const lease_report& report,
                                                        instant sent, instant now) {
  absl::flat_hash_set<std::pair<task_ref, run_number>> listed;
  for (const auto& run : report.running) {
    listed.emplace(run.task, run.run);
  }
  // Iterates over a copy, because ending runs changes the list.
  const auto tasks = worker.tasks;
  for (const auto& [job, parent, index] : tasks) {
    const auto& one = parent->members[index];
    const bool past_starting = one.phase == member_phase::running || one.phase == member_phase::stopping;
    if (one.worker != &worker || !past_starting ||
        listed.contains({task_of(*job, *parent, index), one.run})) {
      continue;
    }
    // What an earlier incarnation ran is over, whatever becomes of a stop that is on its way. A run that no
    // report has listed may have been started by this incarnation, which does not list it while it stops it.
    const bool was_listed = one.listed_at != milliseconds{0};
    const bool on_earlier_incarnation = one.started_on != worker.born && one.open_starts == 0 &&
                                        one.start_answered_at < sent &&
                                        (was_listed || one.phase == member_phase::running);
    const bool confirmed_before =
        !one.answer_pending && one.confirmed_at != instant{} && one.confirmed_at < sent;
    if (!on_earlier_incarnation && !confirmed_before) {
      continue;
    }
    if (const auto end = end_of_unlisted_run(worker, one)) {
      end_run(*job, *parent, index, *end, now);
    } else {
      // The worker must refuse attempts of the start that may still arrive.
      record("run_missing", job->job.id, "not listed by its worker",
             {{"worker", worker.entry.id.value()}, {"run", absl::StrCat(one.run.value())}});
      order_stop(*job, *parent, index);
    }
    if (parent->phase == unit_phase::active) {
      end_unit(*job, *parent, now);
    }
    requeue_if_ended(*job, *parent, now);
  }
}

void job_scheduler::implementation::end_all_runs(worker_state& worker, const detail::run_end& end,
                                                 instant now) {
  const auto tasks = worker.tasks;
  for (const auto& [job, parent, index] : tasks) {
    end_run(*job, *parent, index, end, now);
  }
  // Only after all runs here have ended, so that none of them gets a stop order.
  for (const auto& [job, parent, index] : tasks) {
    end_unit(*job, *parent, now);
    requeue_if_ended(*job, *parent, now);
  }
}

/// Ends what reports of earlier incarnations have listed, although the new one may be out of reach.
void job_scheduler::implementation::end_runs_of_earlier_incarnations(worker_state& worker,
                                                                     incarnation successor, instant now) {
  const auto tasks = worker.tasks;
  for (const auto& [job, parent, index] : tasks) {
    const auto& one = parent->members[index];
    const bool past_starting = one.phase == member_phase::running || one.phase == member_phase::stopping;
    // With an attempt to start it that is still open, the run may be one of the new incarnation.
    if (one.worker != &worker || !past_starting || one.listed_at == milliseconds{0} || one.open_starts > 0 ||
        one.started_on >= successor) {
      continue;
    }
    end_run(*job, *parent, index, detail::incarnation_over{.successor = successor}, now);
    if (parent->phase == unit_phase::active) {
      end_unit(*job, *parent, now);
    }
    requeue_if_ended(*job, *parent, now);
  }
}

void job_scheduler::implementation::detect_stalls(instant now) {
  for (auto& [active_job, active_unit] : active_units) {
    auto& job = *active_job;
    auto& each = *active_unit;
    if (is_terminal(job.phase) || each.phase != unit_phase::active || step_of(job, each).long_running) {
      continue;
    }
    const bool all_running = std::all_of(each.members.begin(), each.members.end(), [](const member& one) {
      return one.phase == member_phase::running;
    });
    if (!std::exchange(each.all_running, all_running) && all_running) {
      // The members of a gang make no progress before all of them run.
      for (auto& one : each.members) {
        one.progress_at = std::max(one.progress_at, worker_clock(*one.worker, now));
      }
    }
    if (!all_running) {
      continue;
    }
    for (const auto& one : each.members) {
      if (one.percent < 100 && one.listed_at - one.progress_at > opts.stall_timeout) {
        one.worker->suspect_until = now + opts.suspect_duration;
        update_health(worker_health::task_failed{one.worker->entry.id, detail::health_key(job, each)}, now);
        record("run_stalled", job.job.id, "no progress",
               {{"worker", one.worker->entry.id.value()}, {"percent", absl::StrCat(one.percent)}});
        end_unit(job, each, now);
        break;
      }
    }
  }
}

}  // namespace rhubarbpath

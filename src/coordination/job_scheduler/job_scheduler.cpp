#include "rhubarbpath/coordination/job_scheduler.hpp"

#include "absl/strings/str_cat.h"
#include "job_scheduler_impl.hpp"

namespace rhubarbpath {

using detail::job_state;
using detail::member;
using detail::member_phase;
using detail::unit;
using detail::unit_phase;
using detail::worker_state;

namespace detail {

std::vector<duration> times_after(const job_graph& graph) {
  std::vector<duration> times(graph.steps.size(), duration::zero());
  for (auto step = graph.steps.size(); step > 0; --step) {
    const auto& waiting = graph.steps[step - 1];
    for (const auto before : waiting.after) {
      // A dependency on a later step is never met.
      if (before < step - 1) {
        times[before] = std::max(times[before], waiting.estimate + times[step - 1]);
      }
    }
  }
  return times;
}

job_state::job_state(const accepted_job& accepted)
    : job{accepted},
      cost{cost_of(accepted.graph)},
      units{accepted.graph},
      time_after{times_after(accepted.graph)},
      payload{std::make_shared<const std::string>(std::move(job.graph.payload))},
      lasts{std::any_of(accepted.graph.steps.begin(), accepted.graph.steps.end(),
                        [](const step_spec& step) { return step.long_running; })} {}

duration job_state::critical_path() const {
  duration longest{};
  for (std::size_t step = 0; step < time_after.size(); ++step) {
    longest = std::max(longest, job.graph.steps[step].estimate + time_after[step]);
  }
  return longest;
}

void job_state::release_graph() {
  units.clear();
  job.graph = {};
  time_after = {};
  payload.reset();
}

}  // namespace detail

// ---- jobs ----

void job_scheduler::implementation::record(std::string_view event, const job_id& job, std::string reason,
                                           std::vector<std::pair<std::string_view, std::string>> inputs,
                                           std::optional<duration> took) {
  if (took) {
    inputs.emplace_back("waited_ms",
                        absl::StrCat(std::chrono::duration_cast<std::chrono::milliseconds>(*took).count()));
  }
  actions.emplace_back(decision_record{
      .event = event, .job = job, .reason = std::move(reason), .inputs = std::move(inputs), .took = took});
}

const queue_config* job_scheduler::implementation::find_queue(const queue_id& id) const {
  if (config == nullptr) {
    return nullptr;
  }
  const auto found = std::find_if(config->queues.begin(), config->queues.end(),
                                  [&](const queue_config& queue) { return queue.id == id; });
  return found == config->queues.end() ? nullptr : &*found;
}

void job_scheduler::implementation::attach_queue(job_state& job) const {
  const auto* found = find_queue(job.job.queue);
  if (found == nullptr && job.queue != nullptr && !job.job.terms) {
    job.job.terms = *job.queue;
  }
  job.queue = found != nullptr ? found : job.job.terms ? &*job.job.terms : nullptr;
}

job_state* job_scheduler::implementation::find_job(const job_id& id) {
  const auto found = jobs.find(id);
  return found == jobs.end() ? nullptr : &found->second;
}

unit* job_scheduler::implementation::find_unit(const task_ref& task, std::uint32_t* member_index) {
  auto* job = find_job(task.job);
  if (job == nullptr || task.step >= job->job.graph.steps.size()) {
    return nullptr;
  }
  const auto& step = job->job.graph.steps[task.step];
  if (task.index >= step.count) {
    return nullptr;
  }
  *member_index = step.gang ? task.index : 0;
  return job->units.find(task.occurrence, task.step, step.gang ? 0 : task.index);
}

unit* job_scheduler::implementation::find_reported_unit(const task_ref& task, std::uint32_t* member_index,
                                                        instant now) {
  if (auto* found = find_unit(task, member_index); found != nullptr) {
    return found;
  }
  auto* job = find_job(task.job);
  if (job == nullptr || is_terminal(job->phase) || task.step >= job->job.graph.steps.size()) {
    return nullptr;
  }
  const auto& step = job->job.graph.steps[task.step];
  if (task.index >= step.count) {
    return nullptr;
  }
  return job->units.find_or_create(task.occurrence, task.step, step.gang ? 0 : task.index,
                                   opens_inherited(*job), now);
}

void job_scheduler::implementation::mark_waiting(job_state& job, const unit& waiting) {
  auto* occurrence = job.units.find_occurrence(waiting.occurrence);
  if (occurrence == nullptr) {
    return;
  }
  if (auto* step = occurrence->find(waiting.step); step != nullptr) {
    step->first_waiting = std::min(step->first_waiting, waiting.number);
    occurrence->first_unplaced = std::min(occurrence->first_unplaced, waiting.step);
  }
}

void job_scheduler::implementation::open_due_occurrences(job_state& job, instant now) const {
  job.units.open_due(due_count(job.job.graph, now), opens_inherited(job), now);
}

void job_scheduler::implementation::apply_progress(job_state& job, const job_progress& progress,
                                                   instant now) const {
  job.phase = progress.phase;
  job.stored_phase = progress.phase;
  job.has_started_task = progress.phase != job_phase::queued;
  if (is_terminal(job.phase)) {
    return;
  }
  for (const auto& range : progress.done_occurrences) {
    job.units.mark_occurrences_done(range);
  }
  for (const auto& done : progress.done) {
    job.units.mark_done(done, opens_inherited(job), now);
  }
  for (const auto& row : progress.units) {
    if (auto* target =
            job.units.find_or_create(row.occurrence, row.step, row.unit, opens_inherited(job), now);
        target != nullptr) {
      target->failed_runs = row.failed_runs;
      target->run = row.last_run;
      target->checkpoint = row.checkpoint;
    }
  }
}

job_progress job_scheduler::implementation::progress_of(const job_state& job) {
  job_progress progress{
      .job = job.job.id, .phase = job.phase, .units = {}, .done = {}, .done_occurrences = {}};
  if (!is_terminal(job.phase)) {
    job.units.describe(progress);
  }
  return progress;
}

void job_scheduler::implementation::forget_unit(const job_state& job, const unit& forgotten, instant now) {
  plans.erase(&forgotten);
  previous_plans.erase(&forgotten);
  update_health(worker_health::job_removed{detail::health_key(job, forgotten)}, now);
}

void job_scheduler::implementation::release_units(instant now) {
  std::vector<std::pair<job_state*, unit*>> done;
  std::erase_if(active_units, [&](const auto& active) {
    auto& [job, each] = active;
    each->tracked = std::any_of(each->members.begin(), each->members.end(),
                                [](const member& one) { return one.phase != member_phase::none; });
    if (!each->tracked && each->phase == unit_phase::done) {
      done.push_back(active);
    }
    return !each->tracked;
  });
  for (const auto& [job, each] : done) {
    forget_unit(*job, *each, now);
    job->units.release(*each);
  }
  std::erase_if(open_jobs, [&](const auto& open) {
    auto& job = *open.second;
    if (!is_terminal(job.phase) || job.assigned_members > 0) {
      return false;
    }
    for (const auto& [number, occurrence] : job.units.open_occurrences()) {
      for (const auto& [step_number, step] : occurrence.steps) {
        for (const auto& [unit_number, each] : step.units) {
          forget_unit(job, each, now);
        }
      }
    }
    release_graph(job);
    return true;
  });
}

void job_scheduler::implementation::release_graph(job_state& job) {
  job.release_graph();
  work.remove(job.job.team, job.counted_bytes - job.cost.ended);
  job.counted_bytes = job.cost.ended;
}

void job_scheduler::implementation::mark_dirty(job_state& job) {
  job.dirty = true;
  dirty.insert(job.job.id);
}

void job_scheduler::implementation::end_job(job_state& job, job_phase phase, instant now) {
  if (is_terminal(job.phase)) {
    return;
  }
  job.phase = phase;
  job.ended_at = now;
  mark_dirty(job);
  tickets.forget(job.job.id);
  record("job_ended", job.job.id, std::string{phase_name(phase)}, {}, now - job.added_at);
  for (auto& [number, occurrence] : job.units.open_occurrences()) {
    for (auto& [step_number, step] : occurrence.steps) {
      for (auto& [unit_number, each] : step.units) {
        update_health(worker_health::job_removed{detail::health_key(job, each)}, now);
        end_unit(job, each, now);
      }
    }
  }
}

void job_scheduler::implementation::complete_unit(job_state& job, unit& done, instant now) {
  if (done.phase == unit_phase::done) {
    return;
  }
  if (done.phase == unit_phase::reserved) {
    release_reservation(job, done);
  }
  job.units.complete(done);
  if (job.units.find_occurrence(done.occurrence)->left[done.step] == 0) {
    tickets.forget(step_ref{.job = job.job.id, .occurrence = done.occurrence, .step = done.step});
  }
  done.checkpoint.clear();
  track(job, done);
  mark_dirty(job);
  placement_due = true;
  for (std::size_t index = 0; index < done.members.size(); ++index) {
    if (!step_of(job, done).gang && done.members[index].phase != member_phase::none) {
      order_stop(job, done, index);
    }
  }
  if (job.units.all_done()) {
    end_job(job, job_phase::complete, now);
  }
}

void job_scheduler::implementation::record_failed_run(job_state& job, unit& failed, run_number run,
                                                      instant now) {
  auto& failed_runs_of_unit = failed.failed_runs;
  if (failed.phase == unit_phase::done ||
      std::find(failed_runs_of_unit.begin(), failed_runs_of_unit.end(), run) != failed_runs_of_unit.end()) {
    return;
  }
  failed_runs_of_unit.push_back(run);
  mark_dirty(job);
  const auto limit = job.queue == nullptr ? 0 : job.queue->max_attempts;
  if (limit > 0 && failed_runs_of_unit.size() >= limit && !step_of(job, failed).long_running) {
    end_job(job, job_phase::failed, now);
  } else if (failed.phase == unit_phase::active && run == failed.run) {
    end_unit(job, failed, now);
  }
}

void job_scheduler::implementation::end_unit(job_state& job, unit& ending, instant now) {
  if (ending.phase == unit_phase::reserved) {
    release_reservation(job, ending);
    ending.phase = unit_phase::waiting;
    mark_waiting(job, ending);
    return;
  }
  if (ending.phase != unit_phase::active && ending.phase != unit_phase::ending) {
    return;
  }
  ending.phase = unit_phase::ending;
  for (std::size_t index = 0; index < ending.members.size(); ++index) {
    if (ending.members[index].phase == member_phase::starting ||
        ending.members[index].phase == member_phase::running) {
      order_stop(job, ending, index);
    }
  }
  requeue_if_ended(job, ending, now);
}

void job_scheduler::implementation::requeue_if_ended(job_state& job, unit& ending, instant now) {
  const bool all_cleared = std::all_of(ending.members.begin(), ending.members.end(),
                                       [](const member& each) { return each.phase == member_phase::none; });
  if (!all_cleared || (ending.phase != unit_phase::ending && ending.phase != unit_phase::active)) {
    return;
  }
  ending.phase = unit_phase::waiting;
  mark_waiting(job, ending);
  ending.not_before = now + detail::placement_pause;
  placement_due = true;
  if (!is_terminal(job.phase) && !ending.checkpoint.empty()) {
    mark_dirty(job);
  }
}

namespace {

/// When the run is last known to have been at work; nothing if it never was.
std::optional<instant> last_at_work(const member& ended, const detail::run_end& end, instant now) {
  if (const auto* listed = std::get_if<detail::end_listed>(&end)) {
    return listed->outcome == run_outcome::gang_incomplete ? std::nullopt : std::optional{now};
  }
  const bool was_listed = ended.listed_at != std::chrono::milliseconds{0};
  return was_listed ? std::optional{ended.worker->clock_at} : std::nullopt;
}

}  // namespace

void job_scheduler::implementation::end_run(job_state& job, unit& parent, std::size_t index,
                                            const detail::run_end& end, instant now) {
  auto& ended = parent.members[index];
  auto& worker = *ended.worker;
  const bool listed = std::holds_alternative<detail::end_listed>(end);
  const bool began = !std::holds_alternative<detail::never_started>(end);
  if (!listed && began) {
    record("run_lost", job.job.id, describe(end),
           {{"worker", worker.entry.id.value()}, {"run", absl::StrCat(ended.run.value())}});
  }
  if (ended.open_starts > 0) {
    worker.late_starts.push_back(
        {.task = task_of(job, parent, index), .run = ended.run, .expires_at = now + detail::max_order_delay});
  }
  if (const auto at = last_at_work(ended, end, now)) {
    parent.waiting_since = std::max(parent.waiting_since, *at);
  }
  worker.used -= occupied(step_of(job, parent));
  std::erase(worker.tasks, detail::assigned_task{.job = &job, .parent = &parent, .index = index});
  --job.assigned_members;
  count_tasks(job, -1);
  placement_due = true;
  set_phase(job, ended, member_phase::none);
  ended = member{};
}

void job_scheduler::implementation::assign_member(job_state& job, unit& parent, std::size_t index) {
  auto& worker = *parent.members[index].worker;
  worker.used += occupied(step_of(job, parent));
  worker.tasks.push_back({.job = &job, .parent = &parent, .index = index});
  ++job.assigned_members;
  count_tasks(job, 1);
  track(job, parent);
}

void job_scheduler::implementation::track(job_state& job, unit& parent) {
  if (!std::exchange(parent.tracked, true)) {
    active_units.emplace_back(&job, &parent);
  }
}

void job_scheduler::implementation::acknowledge_stored_ends(instant now) {
  std::vector<worker_state*> acknowledged;
  std::erase_if(workers_with_ends, [&](worker_state* worker) {
    if (worker->flushing_through > worker->acknowledged_through) {
      worker->acknowledged_through = worker->flushing_through;
      acknowledged.push_back(worker);
    }
    worker->has_unacknowledged_ends = worker->seen_through > worker->acknowledged_through;
    worker->unstored_ends.erase(worker->unstored_ends.begin(),
                                worker->unstored_ends.upper_bound(worker->acknowledged_through));
    return !worker->has_unacknowledged_ends;
  });
  for (auto* worker : acknowledged) {
    worker->renew_at = now;
    renew_worker(*worker, now);
  }
}

void job_scheduler::implementation::flush(instant now) {
  if (storing) {
    return;
  }
  if (dirty.empty()) {
    // Ends that change no progress need no write, so they are acknowledged at once.
    for (auto* worker : workers_with_ends) {
      worker->flushing_through = worker->seen_through;
    }
    acknowledge_stored_ends(now);
    return;
  }
  store_progress write;
  phases_being_stored.clear();
  for (const auto& id : dirty) {
    auto* job = find_job(id);
    if (job == nullptr) {
      continue;
    }
    job->dirty = false;
    write.jobs.push_back(progress_of(*job));
    phases_being_stored.emplace_back(id, job->phase);
  }
  dirty.clear();
  for (auto* worker : workers_with_ends) {
    worker->flushing_through = worker->seen_through;
  }
  storing = true;
  actions.emplace_back(std::move(write));
}

void job_scheduler::implementation::finish_recovery(instant now) {
  // Once the longest lease has passed, a silent worker runs nothing of the previous owner. One that reports
  // may still have to name runs that ended.
  const auto waits_for = [&](const worker_id& id) {
    return now < recovery_ends || report_incomplete(id, now);
  };
  if (!recovery || now < recovery_not_before ||
      std::any_of(unreported_workers.begin(), unreported_workers.end(), waits_for)) {
    return;
  }
  recovery = false;
  placement_due = true;
  record("recovery_finished", {},
         unreported_workers.empty() ? "all workers reported" : "longest possible lease expired",
         {{"silent_workers", absl::StrCat(unreported_workers.size())},
          {"first_silent_worker",
           unreported_workers.empty() ? std::string{} : unreported_workers.begin()->value()},
          {"silent_leaving_workers", absl::StrCat(unreported_leaving.size())},
          {"jobs", absl::StrCat(jobs.size())}},
         now - started_at);
  unreported_workers.clear();
  for (auto& [job, each] : active_units) {
    if (each->phase != unit_phase::active) {
      continue;
    }
    const auto run = each->run;
    const bool all_adopted = std::all_of(each->members.begin(), each->members.end(), [&](const member& one) {
      return one.phase == member_phase::running && one.run == run;
    });
    if (!all_adopted || is_terminal(job->phase)) {
      end_unit(*job, *each, now);
    }
  }
}

// ---- public ----

job_scheduler::job_scheduler(options opts, owner_term term, instant now)
    : implementation_{std::make_unique<implementation>(opts, term, now)} {}

job_scheduler::~job_scheduler() = default;

void job_scheduler::set_config(std::shared_ptr<const fleet_config> config, instant /*now*/) {
  auto& self = *implementation_;
  // Jobs point to queues of the previous configuration, so it must outlive this loop.
  const auto previous = std::exchange(self.config, std::move(config));
  for (auto& [id, job] : self.jobs) {
    self.attach_queue(job);
  }
  self.placement_due = true;
}

void job_scheduler::set_wall_clock(std::chrono::milliseconds wall, instant now) {
  implementation_->wall = wall;
  implementation_->wall_at = now;
}

void job_scheduler::expect_workers(const std::vector<worker_id>& workers,
                                   const std::vector<leaving_worker>& leaving, instant now) {
  auto& self = *implementation_;
  for (const auto& id : workers) {
    const auto found = self.workers.find(id);
    if (found == self.workers.end() || !found->second.reported) {
      self.unreported_workers.insert(id);
      self.expected_workers.insert(id);
    } else {
      self.recovery_not_before =
          std::max(self.recovery_not_before, found->second.first_report_at + self.stop_grace());
    }
    self.stored_workers.insert(id);
    if (found != self.workers.end()) {
      found->second.stored = true;
    }
  }
  for (const auto& each : leaving) {
    self.expected_workers.erase(each.worker);
    if (self.unreported_workers.erase(each.worker) > 0) {
      self.unreported_leaving[each.worker] = each.tasks;
      self.blocked_tasks.insert(each.tasks.begin(), each.tasks.end());
    }
    self.stored_leaving.insert(each.worker);
  }
  for (auto& [id, worker] : self.workers) {
    worker.stored_as_leaving = self.stored_leaving.contains(id);
  }
  self.recovery = true;
  // The lease is measured on the worker's clock, which may run slow, and stopping the runs takes time after
  // it expires.
  self.recovery_ends = now + self.on_slow_clock(self.opts.max_lease) + self.stop_grace();
  self.finish_recovery(now);
}

void job_scheduler::add_job(const accepted_job& job, const std::optional<job_progress>& progress,
                            bool inherited, instant now) {
  auto& self = *implementation_;
  if (self.jobs.contains(job.id)) {
    return;
  }
  auto& state = self.jobs.try_emplace(job.id, job).first->second;
  self.attach_queue(state);
  self.work.add(job.id, job.team, state.cost.open);
  state.counted_bytes = state.cost.open;
  state.added_at = now;
  state.inherited = inherited;
  if (progress) {
    self.apply_progress(state, *progress, now);
  }
  if (!is_terminal(state.phase)) {
    self.open_due_occurrences(state, now);
  }
  const auto waited = self.wall - job.accepted_at + (now - self.wall_at);
  const auto submitted_at = now - std::clamp(std::chrono::duration_cast<duration>(waited), duration::zero(),
                                             duration{std::chrono::minutes{10}});
  const double stretch = state.queue == nullptr ? 1.0 : state.queue->stretch;
  const auto critical_path = static_cast<double>(state.critical_path().count());
  state.objective = submitted_at + duration{static_cast<std::int64_t>(critical_path * stretch)} +
                    (state.queue == nullptr ? duration::zero() : state.queue->target);
  const auto unit_count = state.units.count();
  const auto kind = detail::kind_of(state);
  if (is_terminal(state.phase)) {
    state.ended_at = now;
    self.release_graph(state);
  } else {
    self.open_jobs[job.id] = &state;
    if (!inherited) {
      self.expect_urgent(state, now);
    }
    if (state.units.all_done()) {
      self.end_job(state, job_phase::complete, now);
    }
  }
  self.placement_due = true;
  self.record(
      "job_added", job.id, inherited ? "inherited" : "new",
      {{"queue", job.queue.value()},
       {"team", job.team.value()},
       {"units", absl::StrCat(unit_count)},
       {"phase", std::string{phase_name(state.phase)}},
       {"kind", std::string{kind}},
       {"tasks", absl::StrCat(detail::task_count(job.graph))},
       {"age_ms", detail::millis_text(now - submitted_at)},
       {"chain_ms", absl::StrCat(static_cast<std::int64_t>(critical_path / 1000.0))},
       {"objective_ms", detail::millis_text(state.objective - submitted_at)},
       {"target_ms", detail::millis_text(state.queue == nullptr ? duration::zero() : state.queue->target)}});
}

void job_scheduler::cancel_job(const job_id& id, instant now) {
  if (auto* job = implementation_->find_job(id); job != nullptr) {
    implementation_->end_job(*job, job_phase::cancelled, now);
  }
}

bool job_scheduler::reserve_work(const job_id& job, const team_id& team, std::uint64_t bytes, instant now) {
  auto& self = *implementation_;
  return self.jobs.contains(job) || self.work.reserve(job, team, bytes, now);
}

const std::set<team_id>& job_scheduler::full_teams() const {
  return implementation_->work.full_teams();
}

std::uint64_t job_scheduler::work_bytes() const {
  return implementation_->work.bytes();
}

bool job_scheduler::hold_starts(bool hold) {
  auto& self = *implementation_;
  self.placement_due = self.placement_due || self.starts_held;
  return std::exchange(self.starts_held, hold) != hold;
}

void job_scheduler::stored(instant now) {
  auto& self = *implementation_;
  self.storing = false;
  for (const auto& [id, phase] : self.phases_being_stored) {
    if (auto* job = self.find_job(id); job != nullptr) {
      job->stored_phase = phase;
    }
  }
  self.acknowledge_stored_ends(now);
  self.flush(now);
}

void job_scheduler::workers_stored(instant now) {
  auto& self = *implementation_;
  self.storing_workers = false;
  for (const auto& id : self.worker_set_being_stored) {
    self.stored_workers.insert(id);
    if (const auto found = self.workers.find(id); found != self.workers.end()) {
      found->second.stored = true;
    }
  }
  self.stored_leaving = std::exchange(self.leaving_being_stored, {});
  for (auto& [id, worker] : self.workers) {
    worker.stored_as_leaving = self.stored_leaving.contains(id);
  }
  self.placement_due = true;
  self.renew_workers(now);
  self.store_worker_set(now);
}

void job_scheduler::tick(instant now) {
  auto& self = *implementation_;
  self.finish_recovery(now);
  self.unblock_reported_tasks(now);
  if (now >= self.next_scan) {
    self.next_scan = now + detail::scan_interval;
    self.update_health(worker_health::tick{}, now);
    self.expire_silent_workers(now);
    self.detect_stalls(now);
    self.evacuate_leaving_workers(now);
    self.repeat_orders(now);
    if (self.worker_set_due) {
      self.store_worker_set(now);
    }
    self.renew_workers(now);
  }
  if (self.reserved_units > 0 && !self.starts_held) {
    self.start_reserved(now);
  }
  // Units also become ready without an event: after a delay, at a due time, or when they no longer have to
  // wait for their preferred rack.
  const bool due = self.placement_due || now >= self.next_recheck;
  if (due && now >= self.next_placement && !self.starts_held) {
    self.run_placement_pass(now);
  }
  self.report_standing_jobs(now);
  self.flush(now);
}

std::vector<scheduler_action> job_scheduler::take_actions() {
  return std::exchange(implementation_->actions, {});
}

instant job_scheduler::next_deadline(instant now) const {
  const auto& self = *implementation_;
  const auto scan = std::max(now, self.next_scan);
  return self.placement_due && !self.starts_held ? std::min(scan, std::max(now, self.next_placement)) : scan;
}

std::optional<job_phase> job_scheduler::phase(const job_id& id) const {
  const auto found = implementation_->jobs.find(id);
  if (found == implementation_->jobs.end()) {
    return std::nullopt;
  }
  const auto& job = found->second;
  if (is_terminal(job.stored_phase)) {
    return job.stored_phase;
  }
  return job.has_started_task ? job_phase::running : job_phase::queued;
}

std::map<queue_id, std::uint64_t> job_scheduler::waiting_jobs() const {
  std::map<queue_id, std::uint64_t> counts;
  for (const auto& [id, job] : implementation_->open_jobs) {
    if (!is_terminal(job->phase) && !job->has_started_task) {
      ++counts[job->job.queue];
    }
  }
  return counts;
}

std::size_t job_scheduler::slow_workers() const {
  return implementation_->slow_workers;
}

std::size_t job_scheduler::advised_steps() const {
  return implementation_->tickets.known_steps();
}

std::vector<job_id> job_scheduler::take_expired(instant now) {
  auto& self = *implementation_;
  std::vector<job_id> expired;
  constexpr duration expiry_interval{std::chrono::seconds{5}};
  if (now < self.next_expiry) {
    return expired;
  }
  self.next_expiry = now + expiry_interval;
  self.work.expire(now);
  for (auto found = self.jobs.begin(); found != self.jobs.end();) {
    auto& job = found->second;
    if (is_terminal(job.stored_phase) && !job.dirty && now - job.ended_at > self.opts.ended_job_retention &&
        job.units.empty()) {
      self.work.remove(job.job.team, job.counted_bytes);
      expired.push_back(found->first);
      self.open_jobs.erase(found->first);
      self.jobs.erase(found++);
    } else {
      ++found;
    }
  }
  return expired;
}

std::size_t job_scheduler::job_count() const {
  return implementation_->jobs.size();
}

bool job_scheduler::recovering() const {
  return implementation_->recovery;
}

}  // namespace rhubarbpath

#include "absl/strings/str_cat.h"
#include "job_scheduler_impl.hpp"

namespace rhubarbpath {

using detail::job_state;
using detail::member_phase;
using detail::unit;
using detail::unit_phase;
using detail::worker_state;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

std::string_view refusal_name(start_refusal refusal) {
  switch (refusal) {
    case start_refusal::fenced:
      return "fenced";
    case start_refusal::superseded:
      return "superseded";
    case start_refusal::too_late:
      return "too_late";
    case start_refusal::no_room:
      return "no_room";
    case start_refusal::no_ticket:
      return "no_ticket";
    case start_refusal::unhealthy:
      return "unhealthy";
    case start_refusal::invalid:
      return "invalid";
  }
  return "invalid";
}

bool shares_rack(const worker_state& one, const worker_state& other) {
  return !one.entry.rack.empty() && one.entry.rack == other.entry.rack &&
         one.entry.domain == other.entry.domain;
}

bool runs_something(const worker_state& worker) {
  return std::any_of(worker.tasks.begin(), worker.tasks.end(), [](const auto& task) {
    return task.parent->members[task.index].phase == member_phase::running;
  });
}

}  // namespace

// ---- clocks and leases ----

/// Returns a lower bound of the worker's clock, so that no lease is granted beyond the limit and no lease is
/// considered expired too early.
milliseconds job_scheduler::implementation::worker_clock(const worker_state& worker, instant now) const {
  const auto elapsed = static_cast<double>(duration_cast<milliseconds>(now - worker.clock_at).count());
  return worker.clock + milliseconds{static_cast<std::int64_t>(elapsed * (1.0 - opts.clock_drift))};
}

milliseconds job_scheduler::implementation::lease_end(const worker_state& worker, instant now) const {
  const bool lasting = std::any_of(worker.tasks.begin(), worker.tasks.end(), [](const auto& task) {
    return step_of(*task.job, *task.parent).long_running;
  });
  const auto lease = lasting ? std::min(opts.worker_lease, opts.lasting_task_lease) : opts.worker_lease;
  return worker_clock(worker, now) + duration_cast<milliseconds>(lease);
}

duration job_scheduler::implementation::on_slow_clock(duration span) const {
  return duration{
      static_cast<std::int64_t>(static_cast<double>(span.count()) * (1.0 + 2.0 * opts.clock_drift))};
}

duration job_scheduler::implementation::stop_grace() const {
  // The worker's timers fire a little late.
  constexpr duration timer_lateness{std::chrono::milliseconds{20}};
  return on_slow_clock(opts.stop_timeout) + timer_lateness;
}

bool job_scheduler::implementation::lease_has_passed(const worker_state& worker, instant now) const {
  return worker.reported && worker.failed_renewals > 0 && now >= worker.lease_unknown_until &&
         worker_clock(worker, now) > worker.lease_until + duration_cast<milliseconds>(stop_grace());
}

bool job_scheduler::implementation::report_incomplete(const worker_id& id, instant now) const {
  const auto found = workers.find(id);
  return found != workers.end() && found->second.reported && !found->second.has_complete_report &&
         !lease_has_passed(found->second, now);
}

void job_scheduler::implementation::expire_silent_workers(instant now) {
  for (auto found = workers.begin(); found != workers.end();) {
    auto& worker = found->second;
    if (!worker.tasks.empty() && lease_has_passed(worker, now)) {
      end_all_runs(
          worker, detail::lease_passed{.lease_until = worker.lease_until, .clock = worker_clock(worker, now)},
          now);
    }
    const bool removable =
        !worker.listed && !may_have_work(worker) && worker.reserved == resource_amounts{} &&
        !worker.renewing &&
        (worker.failed_renewals > 0 || worker.seen_through == worker.acknowledged_confirmed);
    if (!removable) {
      ++found;
      continue;
    }
    forget_worker(worker);
    found = workers.erase(found);
  }
}

void job_scheduler::implementation::forget_worker(worker_state& worker) {
  update_health(worker_health::worker_removed{worker.entry.id}, started_at);
  std::erase(workers_with_ends, &worker);
  space_cache.erase(&worker);
  slow_workers -= worker.level > speed_level::normal ? 1 : 0;
  held_back.erase(&worker);
  forget_plans();
  if (worker.slot) {
    auto& space = services[worker.entry.service];
    space.index.remove(*worker.slot);
    space.workers[static_cast<std::uint32_t>(*worker.slot)] = nullptr;
    worker.slot.reset();
  }
}

void job_scheduler::implementation::update_health(const worker_health::event& event, instant now) {
  std::vector<worker_health::action> decisions;
  health.handle(event, now, decisions);
  const auto mark = [&](const worker_id& id, bool set_aside, bool trial) {
    if (const auto found = workers.find(id); found != workers.end()) {
      found->second.set_aside = set_aside;
      found->second.trial = trial;
      placement_due = true;
    }
  };
  for (auto& decision : decisions) {
    if (auto* aside = std::get_if<worker_health::set_aside>(&decision)) {
      mark(aside->worker, true, false);
      record("worker_set_aside", {}, std::move(aside->reason), {{"worker", aside->worker.value()}});
    } else if (const auto* trial = std::get_if<worker_health::begin_trial>(&decision)) {
      mark(trial->worker, true, true);
      record("worker_trial", {}, "the pause is over", {{"worker", trial->worker.value()}});
    } else if (const auto* restored = std::get_if<worker_health::restore>(&decision)) {
      mark(restored->worker, false, false);
      record("worker_restored", {}, "a run ended well, or none was tried",
             {{"worker", restored->worker.value()}});
    }
    // A task that fails on every worker ends its job by the queue's limit of attempts.
  }
}

void job_scheduler::implementation::unblock_reported_tasks(instant now) {
  std::vector<worker_id> known;
  for (const auto& [id, tasks] : unreported_leaving) {
    const auto found = workers.find(id);
    // The first report of the term ends the orders of earlier owners, but a stop takes time, and its run is
    // in neither list meanwhile.
    const bool reported = found != workers.end() && found->second.has_complete_report &&
                          now >= found->second.first_report_at + stop_grace();
    if (reported || (now >= recovery_ends && !report_incomplete(id, now))) {
      known.push_back(id);
    }
  }
  for (const auto& id : known) {
    unblock_tasks_of(id);
  }
}

void job_scheduler::implementation::unblock_tasks_of(const worker_id& worker) {
  if (unreported_leaving.erase(worker) == 0) {
    return;
  }
  blocked_tasks.clear();
  for (const auto& [id, tasks] : unreported_leaving) {
    blocked_tasks.insert(tasks.begin(), tasks.end());
  }
  placement_due = true;
}

bool job_scheduler::implementation::blocked(const job_state& job, const unit& waiting) const {
  for (std::size_t index = 0; index < waiting.members.size() && !blocked_tasks.empty(); ++index) {
    if (blocked_tasks.contains(task_of(job, waiting, index))) {
      return true;
    }
  }
  return false;
}

bool job_scheduler::implementation::is_out_of_use(const worker_state& worker, instant now) const {
  // Only after its first report is it known what runs on a worker.
  if (!may_have_work(worker) || !worker.has_complete_report) {
    return false;
  }
  if (worker.was_draining) {
    return true;
  }
  // A silent worker may have been started again unnoticed, and the new incarnation may carry out late orders
  // of the previous owner, which are not known here.
  const auto orders_of_previous_owner_end =
      started_at + detail::max_order_delay + on_slow_clock(opts.max_lease) + stop_grace();
  return worker.failed_renewals >= detail::out_of_use_after_failed_renewals && !worker.has_strays &&
         now >= std::max(worker.lease_unknown_until, orders_of_previous_owner_end);
}

std::vector<leaving_worker> job_scheduler::implementation::leaving_workers(instant now) const {
  std::vector<leaving_worker> leaving;
  for (const auto& [id, tasks] : unreported_leaving) {
    leaving.push_back({.worker = id, .tasks = tasks});
  }
  for (const auto& [id, worker] : workers) {
    if (!is_out_of_use(worker, now) || unreported_leaving.contains(id)) {
      continue;
    }
    leaving_worker each{.worker = id, .tasks = {}};
    for (const auto& task : worker.tasks) {
      each.tasks.push_back(task_of(*task.job, *task.parent, task.index));
    }
    for (const auto& [number, task] : worker.unstored_ends) {
      each.tasks.push_back(task);
    }
    for (const auto& late : worker.late_starts) {
      each.tasks.push_back(late.task);
    }
    leaving.push_back(std::move(each));
  }
  return leaving;
}

void job_scheduler::implementation::index_worker(worker_state& worker, const worker_entry& entry) {
  worker.evacuated = evacuated_domains.contains(entry.domain);
  const bool in_place =
      worker.slot && worker.entry.service == entry.service && worker.entry.rack == entry.rack;
  if (in_place) {
    worker.entry = entry;
    return;
  }
  if (worker.slot) {
    auto& previous = services[worker.entry.service];
    previous.index.remove(*worker.slot);
    previous.workers[static_cast<std::uint32_t>(*worker.slot)] = nullptr;
  }
  worker.entry = entry;
  auto& space = services[entry.service];
  worker.slot = space.index.add(entry.rack);
  const auto position = static_cast<std::size_t>(*worker.slot);
  space.workers.resize(std::max(space.workers.size(), position + 1));
  space.workers[position] = &worker;
}

bool job_scheduler::implementation::must_report(const worker_state& worker, const unit& waiting,
                                                instant now) {
  if (worker.clock_at <= waiting.start_unanswered_at) {
    return true;
  }
  const bool doubtful =
      worker.clock_at <= worker.doubted_at || now - worker.clock_at > detail::max_report_age;
  return doubtful && !runs_something(worker);
}

void job_scheduler::implementation::request_report(worker_state& worker, instant now) {
  if (worker.report_wanted) {
    return;
  }
  const auto request = [&](worker_state& each) {
    if (!each.report_wanted) {
      each.report_wanted = each.renew_at = now;
    }
    renew_worker(each, now);
  };
  request(worker);
  if (worker.clock_at > worker.doubted_at) {
    return;
  }
  for (auto& [id, each] : workers) {
    if (shares_rack(each, worker) && each.clock_at <= each.doubted_at && usable(each, now)) {
      request(each);
    }
  }
}

void job_scheduler::implementation::doubt_rack_of(worker_state& worker, instant now) {
  worker.doubted_at = now;
  for (auto& [id, each] : workers) {
    if (shares_rack(each, worker)) {
      each.doubted_at = now;
    }
  }
}

void job_scheduler::implementation::renew_workers(instant now) {
  for (auto& [id, worker] : workers) {
    renew_worker(worker, now);
  }
}

milliseconds job_scheduler::implementation::longest_wait(const worker_state& worker, instant now) const {
  auto wait = opts.renew_wait;
  for (const auto& task : worker.tasks) {
    const auto& one = task.parent->members[task.index];
    if (one.phase != member_phase::stopping) {
      continue;
    }
    // A run that was not there ends no poll. Only a report that was requested later shows that it is over.
    const bool stop_is_over = one.confirmed_at != instant{} && now > one.confirmed_at;
    wait = std::min(wait, stop_is_over ? duration::zero() : stop_grace());
  }
  return duration_cast<milliseconds>(wait);
}

void job_scheduler::implementation::renew_worker(worker_state& worker, instant now) {
  const auto& id = worker.entry.id;
  if (worker.renewing || now < worker.renew_at) {
    return;
  }
  const bool ends_unstored = worker.seen_through > worker.acknowledged_through;
  const bool acknowledge = worker.acknowledged_through > worker.acknowledged_confirmed;
  const bool silent = worker.failed_renewals > 0 && worker.listed;
  const bool idle = worker.tasks.empty() && !ends_unstored && !acknowledge && !silent && !worker.has_strays &&
                    !worker.report_wanted;
  if (worker.has_complete_report && idle) {
    return;
  }
  // The first renewal grants nothing and asks whether the worker exists.
  if (!worker.stored && worker.reported && worker.tasks.empty()) {
    return;
  }
  // A worker restarts the numbering of its ended runs when it restarts, so an acknowledgement that reaches a
  // later incarnation makes it drop ended runs that no owner has seen. Each acknowledgement is therefore sent
  // only until it is answered, and not to a worker that did not respond, because it may have restarted.
  worker.acknowledging = acknowledge && worker.failed_renewals == 0 ? worker.acknowledged_through : 0;
  renew_order order{.worker = id,
                    .address = worker.entry.address,
                    .acknowledged_through = worker.acknowledging,
                    .lease_until = std::nullopt,
                    .wait = milliseconds{0}};
  // A renewal to an unresponsive worker may be processed late, so it must not extend the lease and with it
  // the time at which the worker is known to run nothing.
  // Nor may that of a worker that is not stored, because the next owner would not wait for it; it is only
  // asked for runs that have ended.
  if (worker.reported && worker.stored && worker.failed_renewals == 0 && !worker.tasks.empty()) {
    order.lease_until = lease_end(worker, now);
    worker.lease_until = std::max(worker.lease_until, *order.lease_until);
  }
  if (worker.reported && !ends_unstored && !worker.tasks.empty() && worker.failed_renewals == 0 &&
      !worker.report_wanted) {
    order.wait = longest_wait(worker, now);
  }
  worker.renewing = true;
  actions.emplace_back(std::move(order));
}

void job_scheduler::implementation::store_worker_set(instant now) {
  if (storing_workers) {
    return;
  }
  worker_set_due = false;
  std::set<worker_id> to_store;
  bool has_missing = false;
  bool leaving_changed = false;
  for (const auto& [id, worker] : workers) {
    if (may_have_work(worker)) {
      to_store.insert(id);
      has_missing = has_missing || !worker.stored;
      leaving_changed = leaving_changed || is_out_of_use(worker, now) != worker.stored_as_leaving;
    }
  }
  const bool has_extra =
      !recovery && std::any_of(stored_workers.begin(), stored_workers.end(),
                               [&](const worker_id& id) { return !to_store.contains(id); });
  if (!has_missing && !has_extra && !leaving_changed) {
    return;
  }
  if (recovery) {
    to_store.insert(unreported_workers.begin(), unreported_workers.end());
  }
  auto leaving = leaving_workers(now);
  leaving_being_stored.clear();
  for (const auto& each : leaving) {
    to_store.insert(each.worker);
    leaving_being_stored.insert(each.worker);
    // It gets no work while the write is in flight, which does not name that work.
    if (const auto found = workers.find(each.worker); found != workers.end()) {
      found->second.stored_as_leaving = true;
    }
  }
  // Ids that will be removed become unusable before the write, so that none gets work while it is in flight.
  std::erase_if(stored_workers, [&](const worker_id& id) { return !to_store.contains(id); });
  for (auto& [id, worker] : workers) {
    worker.stored = worker.stored && to_store.contains(id);
  }
  worker_set_being_stored = to_store;
  storing_workers = true;
  actions.emplace_back(
      store_workers{.workers = {to_store.begin(), to_store.end()}, .leaving = std::move(leaving)});
}

// ---- orders ----

void job_scheduler::implementation::order_start(job_state& job, unit& parent, std::size_t index,
                                                instant now) {
  auto& starting = parent.members[index];
  auto& worker = *starting.worker;
  // A start that is never answered blocks its unit until the lease has expired, so the first lease is shorter
  // than that of a renewal. It still outlasts a failover to another owner.
  constexpr milliseconds first_lease{4500};
  const auto lease = worker_clock(worker, now) + first_lease;
  worker.lease_until = std::max(worker.lease_until, lease);
  starting.answer_pending = true;
  starting.started_on = worker.born;
  ++starting.attempts;
  ++starting.open_starts;
  actions.emplace_back(start_order{.worker = worker.entry.id,
                                   .address = worker.entry.address,
                                   .task = task_of(job, parent, index),
                                   .run = starting.run,
                                   .payload = job.payload,
                                   .checkpoint = parent.checkpoint,
                                   .ticket = ticket_for(worker, job, parent),
                                   .lease_until = lease});
}

bool job_scheduler::start_still_needed(const start_order& order) const {
  std::uint32_t index = 0;
  const auto* parent = implementation_->find_unit(order.task, &index);
  if (parent == nullptr) {
    return false;
  }
  const auto& started = parent->members[index];
  return started.phase == member_phase::starting && started.worker->entry.id == order.worker &&
         started.run == order.run;
}

void job_scheduler::implementation::order_stop(job_state& job, unit& parent, std::size_t index) {
  auto& stopping = parent.members[index];
  if (stopping.phase != member_phase::stopping) {
    set_phase(job, stopping, member_phase::stopping);
    stopping.attempts = 0;
  }
  stopping.confirmed_at = instant{};
  stopping.answer_pending = true;
  ++stopping.attempts;
  actions.emplace_back(stop_order{.worker = stopping.worker->entry.id,
                                  .address = stopping.worker->entry.address,
                                  .task = task_of(job, parent, index),
                                  .run = stopping.run});
}

void job_scheduler::implementation::repeat_orders(instant now) {
  release_units(now);
  for (auto& [job, each] : active_units) {
    if (each->phase == unit_phase::reserved) {
      continue;
    }
    for (std::size_t index = 0; index < each->members.size(); ++index) {
      const auto& one = each->members[index];
      if (one.answer_pending || now < one.repeat_at) {
        continue;
      }
      if (one.phase == member_phase::starting && one.attempts > 0 && !starts_held) {
        order_start(*job, *each, index, now);
      } else if (one.phase == member_phase::stopping && one.confirmed_at == instant{}) {
        order_stop(*job, *each, index);
      }
    }
  }
}

void job_scheduler::start_answered(const start_order& order, const start_result& result, instant now) {
  auto& self = *implementation_;
  std::uint32_t index = 0;
  auto* parent = self.find_unit(order.task, &index);
  if (parent == nullptr || !detail::is_run(parent->members[index], order.worker, order.run)) {
    return;
  }
  auto& job = self.jobs.at(order.task.job);
  auto& started = parent->members[index];
  if (std::holds_alternative<wrong_instance>(result)) {
    self.instance_replaced(*started.worker, order.address, now);
    if (!detail::is_run(started, order.worker, order.run)) {
      return;
    }
  }
  if (!std::holds_alternative<order_unanswered>(result)) {
    --started.open_starts;
    started.start_answered_at = now;
  }
  const bool accepted = std::holds_alternative<start_accepted>(result);
  const bool unanswered = std::holds_alternative<order_unanswered>(result);
  if (started.phase == member_phase::stopping) {
    // A stop order was sent since. Its response matters unless this one shows that nothing was started.
    const bool never_listed = started.listed_at == milliseconds{0};
    if (!accepted && !unanswered && started.open_starts == 0 && never_listed) {
      self.end_run(job, *parent, index, detail::never_started{}, now);
      self.requeue_if_ended(job, *parent, now);
    }
    return;
  }
  started.answer_pending = false;
  if (unanswered) {
    self.start_unanswered(job, *parent, index, now);
    return;
  }
  if (!accepted) {
    const auto* refused = std::get_if<start_refused>(&result);
    self.start_rejected(job, *parent, index, refused == nullptr ? start_refused{} : *refused, now);
    return;
  }
  set_phase(job, started, member_phase::running);
  started.confirmed_at = now;
  started.worker->answered_at = order.address;
  self.tickets.start_accepted({.job = job.job.id, .occurrence = parent->occurrence, .step = parent->step});
  job.has_started_task = true;
  job.phase = job.phase == job_phase::queued ? job_phase::running : job.phase;
  if (!started.worker->renewing) {
    started.worker->renew_at = now;
  }
}

void job_scheduler::implementation::start_unanswered(job_state& job, unit& parent, std::size_t index,
                                                     instant now) {
  auto& started = parent.members[index];
  started.repeat_at = now + detail::order_repeat_pause;
  if (started.attempts == 1) {
    doubt_rack_of(*started.worker, now);
  }
  if (started.attempts < detail::max_start_attempts) {
    return;
  }
  ++started.worker->failed_renewals;
  parent.start_unanswered_at = now;
  record("start_unanswered", job.job.id, "worker does not respond",
         {{"worker", started.worker->entry.id.value()}});
  end_unit(job, parent, now);
}

void job_scheduler::implementation::start_rejected(job_state& job, unit& parent, std::size_t index,
                                                   const start_refused& refused, instant now) {
  auto& started = parent.members[index];
  auto& worker = *started.worker;
  record("start_refused", job.job.id, std::string{refusal_name(refused.why)},
         {{"worker", worker.entry.id.value()}, {"run", absl::StrCat(started.run.value())}});
  if (refused.why == start_refusal::fenced) {
    actions.emplace_back(owner_superseded{.worker = worker.entry.id});
  }
  if (refused.why == start_refusal::too_late) {
    // The worker's clock is not what the owner takes it for: it was started again, or has not reported for
    // long.
    worker.doubted_at = now;
  }
  if (refused.why == start_refusal::no_ticket) {
    tickets.ticket_refused({.job = job.job.id, .occurrence = parent.occurrence, .step = parent.step},
                           worker.entry.id, now);
  } else {
    constexpr duration full_pause{std::chrono::milliseconds{400}};
    constexpr duration unhealthy_pause{std::chrono::milliseconds{2000}};
    const bool unhealthy = refused.why == start_refusal::unhealthy;
    worker.full_until = now + (unhealthy ? unhealthy_pause : full_pause);
  }
  if (started.open_starts > 0) {
    // The refusal covers only this attempt. An earlier attempt may still be processed; a stop order prevents
    // that.
    order_stop(job, parent, index);
    end_unit(job, parent, now);
    return;
  }
  end_run(job, parent, index, detail::never_started{}, now);
  end_unit(job, parent, now);
  requeue_if_ended(job, parent, now);
}

void job_scheduler::stop_answered(const stop_order& order, stop_result result, instant now) {
  auto& self = *implementation_;
  std::uint32_t index = 0;
  auto* parent = self.find_unit(order.task, &index);
  if (parent == nullptr || !detail::is_run(parent->members[index], order.worker, order.run) ||
      parent->members[index].phase != member_phase::stopping) {
    return;
  }
  auto& stopped = parent->members[index];
  if (result == stop_result::other_instance) {
    self.instance_replaced(*stopped.worker, order.address, now);
    if (!detail::is_run(stopped, order.worker, order.run)) {
      return;
    }
  }
  stopped.answer_pending = false;
  if (result == stop_result::acknowledged) {
    // Until the stop takes effect the run continues, although the worker may not list it.
    stopped.confirmed_at = now + self.stop_grace();
    stopped.stopped_by = stopped.worker->born;
    return;
  }
  constexpr duration stop_pause{std::chrono::milliseconds{100}};
  stopped.repeat_at = now + stop_pause * std::min(stopped.attempts, 5);
}

}  // namespace rhubarbpath

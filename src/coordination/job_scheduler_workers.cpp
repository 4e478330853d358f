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

}  // namespace

// ---- clocks and leases ----

/// A lower bound of the worker's clock, so that no lease is granted beyond its limit and none is taken
/// for expired too early.
milliseconds job_scheduler::implementation::worker_clock(const worker_state& worker, instant now) const {
  const auto passed = static_cast<double>(duration_cast<milliseconds>(now - worker.clock_at).count());
  return worker.clock + milliseconds{static_cast<std::int64_t>(passed * (1.0 - opts.clock_drift))};
}

milliseconds job_scheduler::implementation::lease_end(const worker_state& worker, instant now) const {
  return worker_clock(worker, now) + duration_cast<milliseconds>(opts.worker_lease);
}

void job_scheduler::implementation::expire_silent_workers(instant now) {
  for (auto found = workers.begin(); found != workers.end();) {
    auto& worker = found->second;
    const bool expired =
        worker.reported && !worker.tasks.empty() && worker.failed_renewals > 0 &&
        worker_clock(worker, now) > worker.lease_until + duration_cast<milliseconds>(opts.stop_timeout);
    if (expired) {
      drop_all(worker, "lease expired on a silent worker", now);
    }
    const bool forgotten =
        !worker.listed && worker.tasks.empty() && !worker.renewing &&
        (worker.failed_renewals > 0 || worker.seen_through == worker.acknowledged_confirmed);
    found = forgotten ? workers.erase(found) : std::next(found);
  }
}

void job_scheduler::implementation::renew_workers(instant now) {
  for (auto& [id, worker] : workers) {
    renew_worker(worker, now);
  }
}

void job_scheduler::implementation::renew_worker(worker_state& worker, instant now) {
  const auto& id = worker.entry.id;
  if (worker.renewing || worker.replaced || now < worker.renew_at) {
    return;
  }
  const bool ends_unstored = worker.seen_through > worker.acknowledged_through;
  const bool acknowledge = worker.acknowledged_through > worker.acknowledged_confirmed;
  const bool silent = worker.failed_renewals > 0 && worker.listed;
  if (worker.reported && worker.tasks.empty() && !ends_unstored && !acknowledge && !silent) {
    return;
  }
  if (!stored_workers.contains(id)) {
    return;
  }
  // A worker numbers its ends anew after a restart, so an acknowledgement that reaches a later life makes it
  // forget ends that nobody has seen. Each is therefore sent only until it is answered, and not to a worker
  // that has been silent, because it may have restarted.
  worker.acknowledging = acknowledge && worker.failed_renewals == 0 ? worker.acknowledged_through : 0;
  renew_order order{.worker = id,
                    .address = worker.entry.address,
                    .acknowledged_through = worker.acknowledging,
                    .lease_until = std::nullopt,
                    .wait = milliseconds{0}};
  // A renewal of a silent worker may be carried out late; it must not put off the time at which the
  // worker is known to be empty.
  if (worker.reported && worker.failed_renewals == 0) {
    order.lease_until = lease_end(worker, now);
    worker.lease_until = std::max(worker.lease_until, *order.lease_until);
  }
  if (worker.reported && !ends_unstored && !worker.tasks.empty() && worker.failed_renewals == 0) {
    order.wait = duration_cast<milliseconds>(opts.renew_wait);
  }
  worker.renewing = true;
  actions.emplace_back(std::move(order));
}

void job_scheduler::implementation::store_worker_set() {
  if (storing_workers) {
    return;
  }
  std::set<worker_id> wanted;
  bool missing = false;
  for (const auto& [id, worker] : workers) {
    if (worker.listed || !worker.tasks.empty()) {
      wanted.insert(id);
      missing = missing || !stored_workers.contains(id);
    }
  }
  const bool surplus = !recovery && std::any_of(stored_workers.begin(), stored_workers.end(),
                                                [&](const worker_id& id) { return !wanted.contains(id); });
  if (!missing && !surplus) {
    return;
  }
  if (recovery) {
    wanted.insert(awaited.begin(), awaited.end());
  }
  // Ids that leave the set lose their permission first, so that none gets work while the write is open.
  std::erase_if(stored_workers, [&](const worker_id& id) { return !wanted.contains(id); });
  storing_worker_set = wanted;
  storing_workers = true;
  actions.emplace_back(store_workers{.workers = {wanted.begin(), wanted.end()}});
}

// ---- orders ----

void job_scheduler::implementation::order_start(job_state& job, unit& owner, std::size_t index, instant now) {
  auto& starting = owner.members[index];
  auto& worker = workers.at(starting.worker);
  // A start that is never answered blocks its unit until its lease has passed, so the first lease is
  // shorter than that of a renewal; it still outlasts a change of owner.
  constexpr milliseconds first_lease{4500};
  const auto lease = worker_clock(worker, now) + first_lease;
  worker.lease_until = std::max(worker.lease_until, lease);
  starting.answer_pending = true;
  ++starting.tries;
  actions.emplace_back(start_order{
      .worker = starting.worker,
      .address = worker.entry.address,
      .task = task_of(job, owner, index),
      .run = starting.run,
      .payload = job.job.graph.payload,
      .checkpoint = owner.checkpoint,
      .ticket = job.queue != nullptr && job.queue->adviser ? ticket_for(worker, job, owner) : std::string{},
      .lease_until = lease});
}

bool job_scheduler::wants(const start_order& order) const {
  std::uint32_t index = 0;
  const auto* owner = implementation_->find_unit(order.task, &index);
  if (owner == nullptr) {
    return false;
  }
  const auto& started = owner->members[index];
  return started.phase == member_phase::starting && started.worker == order.worker &&
         started.run == order.run;
}

void job_scheduler::implementation::order_stop(job_state& job, unit& owner, std::size_t index) {
  auto& stopping = owner.members[index];
  const auto found = workers.find(stopping.worker);
  if (found == workers.end()) {
    clear_member(job, owner, index);
    return;
  }
  if (stopping.phase != member_phase::stopping) {
    stopping.phase = member_phase::stopping;
    stopping.tries = 0;
  }
  stopping.known_at = instant{};
  stopping.answer_pending = true;
  ++stopping.tries;
  actions.emplace_back(stop_order{.worker = stopping.worker,
                                  .address = found->second.entry.address,
                                  .task = task_of(job, owner, index),
                                  .run = stopping.run});
}

void job_scheduler::implementation::repeat_orders(instant now) {
  for (auto found = open_jobs.begin(); found != open_jobs.end();) {
    auto& job = *found->second;
    bool settled = is_terminal(job.phase);
    for (auto& each : job.units) {
      if (each.phase == unit_phase::waiting || each.phase == unit_phase::reserved) {
        continue;
      }
      for (std::size_t index = 0; index < each.members.size(); ++index) {
        auto& one = each.members[index];
        settled = settled && one.phase == member_phase::none;
        if (one.answer_pending || now < one.repeat_at) {
          continue;
        }
        if (one.phase == member_phase::starting && one.tries > 0) {
          order_start(job, each, index, now);
        } else if (one.phase == member_phase::stopping && one.known_at == instant{}) {
          order_stop(job, each, index);
        }
      }
    }
    found = settled ? open_jobs.erase(found) : std::next(found);
  }
}

void job_scheduler::start_answered(const worker_id& id, const task_ref& task, run_number run,
                                   const start_result& result, instant now) {
  auto& self = *implementation_;
  std::uint32_t index = 0;
  auto* owner = self.find_unit(task, &index);
  if (owner == nullptr || owner->members[index].worker != id || owner->members[index].run != run) {
    return;
  }
  auto& job = self.jobs.at(task.job);
  auto& started = owner->members[index];
  if (started.phase == member_phase::stopping && !std::holds_alternative<wrong_instance>(result)) {
    // Only the stop's answer counts now.
    return;
  }
  started.answer_pending = false;
  if (std::holds_alternative<order_unanswered>(result)) {
    self.start_unanswered(job, *owner, index, now);
    return;
  }
  if (!std::holds_alternative<start_accepted>(result)) {
    self.start_rejected(job, *owner, index, result, now);
    return;
  }
  started.phase = member_phase::running;
  started.known_at = now;
  started.percent_changed = now;
  job.begun = true;
  job.phase = job.phase == job_phase::queued ? job_phase::running : job.phase;
  const auto found = self.workers.find(id);
  if (found != self.workers.end() && !found->second.renewing) {
    found->second.renew_at = now;
  }
}

void job_scheduler::implementation::start_unanswered(job_state& job, unit& owner, std::size_t index,
                                                     instant now) {
  auto& started = owner.members[index];
  started.repeat_at = now + detail::order_repeat_pause;
  if (started.tries < detail::max_start_tries) {
    return;
  }
  if (const auto found = workers.find(started.worker); found != workers.end()) {
    ++found->second.failed_renewals;
  }
  record("start_unanswered", job.job.id, "worker does not answer", {{"worker", started.worker.value()}});
  end_unit(job, owner, now);
}

void job_scheduler::implementation::start_rejected(job_state& job, unit& owner, std::size_t index,
                                                   const start_result& result, instant now) {
  auto& started = owner.members[index];
  const auto found = workers.find(started.worker);
  const auto* refused = std::get_if<start_refused>(&result);
  if (refused != nullptr) {
    record("start_refused", job.job.id, std::string{refusal_name(refused->why)},
           {{"worker", started.worker.value()}, {"run", absl::StrCat(started.run.value())}});
    if (refused->why == start_refusal::fenced) {
      actions.emplace_back(owner_superseded{.worker = started.worker});
    }
    if (refused->why == start_refusal::no_ticket) {
      tickets.ticket_refused({.job = job.job.id, .occurrence = owner.occurrence, .step = owner.step},
                             started.worker);
    } else if (found != workers.end()) {
      constexpr duration full_pause{std::chrono::milliseconds{400}};
      constexpr duration unhealthy_pause{std::chrono::milliseconds{2000}};
      const bool unhealthy = refused->why == start_refusal::unhealthy;
      found->second.full_until = now + (unhealthy ? unhealthy_pause : full_pause);
    }
  } else if (found != workers.end()) {
    found->second.replaced = true;
  }
  if (refused != nullptr && started.tries > 1) {
    // This refusal tells nothing of an earlier try, which may still be carried out; a stop prevents that.
    order_stop(job, owner, index);
    end_unit(job, owner, now);
    return;
  }
  // The worker did not take the run, now or later.
  clear_member(job, owner, index);
  end_unit(job, owner, now);
  settle_unit(job, owner, now);
}

void job_scheduler::stop_answered(const worker_id& id, const task_ref& task, run_number run, bool answered,
                                  instant now) {
  auto& self = *implementation_;
  std::uint32_t index = 0;
  auto* owner = self.find_unit(task, &index);
  if (owner == nullptr || owner->members[index].worker != id || owner->members[index].run != run ||
      owner->members[index].phase != member_phase::stopping) {
    return;
  }
  auto& stopped = owner->members[index];
  stopped.answer_pending = false;
  if (answered) {
    // While the stop takes effect the run works on, although the worker may list it nowhere.
    stopped.known_at = now + self.opts.stop_timeout;
    return;
  }
  constexpr duration stop_pause{std::chrono::milliseconds{100}};
  stopped.repeat_at = now + stop_pause * std::min(stopped.tries, 5);
}

}  // namespace rhubarbpath

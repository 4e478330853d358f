#include "rhubarbpath/coordination/gang_controller.hpp"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace rhubarbpath {
namespace {

/// Margin added to the transport's timeout, so that the transport normally reports the timeout first.
constexpr duration timeout_margin{200'000};
/// Retry interval for a worker whose command is delayed because too many commands are in flight.
constexpr duration saturated_retry_wait{50'000};
/// Lower bound of the lease in a renewal. A gang with so little time left is already being stopped.
constexpr duration min_lease{1'000};

std::optional<duration> carried_lease(const worker_command& command) {
  if (const auto* start = std::get_if<start_task>(&command)) {
    return start->lease;
  }
  if (const auto* renew = std::get_if<renew_tasks>(&command)) {
    return renew->lease;
  }
  return std::nullopt;
}

/// Replaces the entry of `id` in an index that is ordered by time.
template <class Id>
void reschedule(std::set<std::pair<instant, Id>>& index, const Id& id, std::optional<instant>& current,
                std::optional<instant> due) {
  if (current) {
    index.erase({*current, id});
  }
  current = due;
  if (current) {
    index.emplace(*current, id);
  }
}

template <class Id>
void mark_due(const std::set<std::pair<instant, Id>>& index, instant now, std::set<Id>& dirty) {
  for (const auto& [at, id] : index) {
    if (at > now) {
      return;
    }
    dirty.insert(id);
  }
}

}  // namespace

gang_controller::gang_controller(options opts) : options_{opts}, next_call_{options_.first_call} {}

void gang_controller::handle(const gang_controller_event& event, instant now,
                             std::vector<gang_controller_action>& out) {
  if (superseded_) {
    return;
  }
  std::visit([&](const auto& typed) { on(typed, now, out); }, event);
  if (!superseded_) {
    run(now, out);
  }
}

void gang_controller::on(const gang_start& event, instant now, actions& /*out*/) {
  auto& added = add_gang(event.job, event.attempt, event.spec, event.placement, gang_phase::starting, now);
  for (auto& target : added.members) {
    target.start_pending = true;
  }
}

void gang_controller::on(const gang_adopt& event, instant now, actions& /*out*/) {
  add_gang(event.job, event.attempt, event.spec, event.placement, gang_phase::adopting, now);
  adopting_.insert(event.job);
  for (const auto& at : event.placement) {
    find_or_add_worker(at.worker, now).next_renew = now;  // Requests a report immediately.
  }
}

gang_controller::gang& gang_controller::add_gang(const job_id& job, attempt_number attempt,
                                                 const job_spec& spec,
                                                 const std::vector<member_placement>& placement,
                                                 gang_phase phase, instant now) {
  auto& added = gangs_[job];
  for (const auto& each : added.members) {
    workers_[each.at.worker].gangs.erase(job);
  }
  reschedule(gangs_due_, job, added.due, std::nullopt);
  added = gang{.job = job, .attempt = attempt, .spec = spec, .phase = phase, .phase_since = now};
  for (const auto& at : placement) {
    added.members.push_back({.at = at, .confirmed = now});
    find_or_add_worker(at.worker, now).gangs.insert(job);
  }
  mark_dirty(added);
  return added;
}

void gang_controller::on(const gang_stop& event, instant now, actions& /*out*/) {
  const auto found = gangs_.find(event.job);
  if (found == gangs_.end() || found->second.phase >= gang_phase::checkpointing) {
    return;
  }
  auto& target = found->second;
  target.end = event.end;
  target.reason = event.reason;
  const bool checkpoint =
      event.end == gang_end::preempted && target.spec.checkpointable && target.phase == gang_phase::running;
  if (!checkpoint) {
    begin_stop(target, now);
    return;
  }
  target.phase = gang_phase::checkpointing;
  target.phase_since = now;
  for (auto& each : target.members) {
    each.checkpoint_pending = each.state == member_state::running;
  }
  mark_dirty(target);
}

void gang_controller::on(const gang_release& event, instant /*now*/, actions& /*out*/) {
  const auto found = gangs_.find(event.job);
  if (found == gangs_.end() || found->second.attempt != event.attempt) {
    return;
  }
  auto& target = found->second;
  for (std::size_t i = 0; i < target.members.size(); ++i) {
    auto& worker = workers_[target.members[i].at.worker];
    worker.gangs.erase(event.job);
    const auto state = target.members[i].state;
    if (state == member_state::finished || state == member_state::failed) {
      worker.orphaned_tasks.push_back(
          {.job = event.job, .attempt = event.attempt, .member = static_cast<int>(i)});
    }
    dirty_workers_.insert(target.members[i].at.worker);
  }
  reschedule(gangs_due_, event.job, target.due, std::nullopt);
  adopting_.erase(event.job);
  gangs_.erase(found);
}

void gang_controller::on(const workers_changed& event, instant now, actions& /*out*/) {
  for (auto& [id, worker] : workers_) {
    worker.listed = false;
    dirty_workers_.insert(id);
  }
  for (const auto& id : event.workers) {
    find_or_add_worker(id, now).listed = true;
  }
}

void gang_controller::on(const worker_reported& event, instant now, actions& out) {
  const auto call = calls_.find(event.answers);
  if (call == calls_.end()) {
    return;  // The command already timed out; its retry gets its own report.
  }
  const auto id = call->second;
  calls_.erase(call);
  if (event.report.refused_older_epoch) {
    superseded_ = true;
    out.emplace_back(epoch_superseded{.newer = event.report.highest_epoch});
    return;
  }
  auto& worker = workers_.at(id);
  const auto sent = *std::exchange(worker.in_flight, std::nullopt);
  worker.failing_since.reset();
  worker.last_answer = now;
  worker.queried = true;
  worker.not_before = {};
  command_answered(sent.command);
  apply_report(id, worker, event.report, sent.at);
  collect_orphaned_tasks(worker, id, event.report, sent.command, now);
  set_reachable(id, worker, true, out);
  dirty_workers_.insert(id);
}

void gang_controller::command_answered(const worker_command& command) {
  if (const auto* start = std::get_if<start_task>(&command)) {
    if (auto* target = find_member(start->task)) {
      target->start_pending = false;
    }
  } else if (const auto* stop = std::get_if<stop_task>(&command)) {
    if (auto* target = find_member(stop->task)) {
      target->stop_pending = false;
    }
  } else if (const auto* checkpoint = std::get_if<checkpoint_task>(&command)) {
    if (auto* target = find_member(checkpoint->task)) {
      target->checkpoint_pending = false;
    }
  }
}

gang_controller::member* gang_controller::find_member(const task_ref& task) {
  const auto found = gangs_.find(task.job);
  if (found == gangs_.end() || found->second.attempt != task.attempt || task.member < 0 ||
      static_cast<std::size_t>(task.member) >= found->second.members.size()) {
    return nullptr;
  }
  return &found->second.members[static_cast<std::size_t>(task.member)];
}

void gang_controller::apply_report(const worker_id& id, worker_state& worker, const worker_report& report,
                                   instant sent) {
  for (const auto& job : worker.gangs) {
    auto& owner = gangs_.at(job);
    for (std::size_t i = 0; i < owner.members.size(); ++i) {
      if (owner.members[i].at.worker != id) {
        continue;
      }
      const task_ref task{.job = job, .attempt = owner.attempt, .member = static_cast<int>(i)};
      const auto listed = std::find_if(report.tasks.begin(), report.tasks.end(),
                                       [&](const task_report& each) { return each.task == task; });
      apply_task(owner, owner.members[i], listed == report.tasks.end() ? nullptr : &*listed, sent);
    }
    mark_dirty(owner);
  }
}

/// Queues reported tasks that belong to no gang of this controller for a stop, for example the task of a
/// start command that arrived late.
void gang_controller::collect_orphaned_tasks(worker_state& worker, const worker_id& id,
                                             const worker_report& report, const worker_command& answered,
                                             instant now) {
  const auto* stop = std::get_if<stop_task>(&answered);
  for (const auto& listed : report.tasks) {
    if (stop != nullptr && stop->task == listed.task && listed.state == task_state::running) {
      worker.not_before = now + options_.poll_interval;  // The task is still stopping; delays the next query.
    }
    const auto* owned = find_member(listed.task);
    const bool known = owned != nullptr && owned->at.worker == id;
    const bool forgotten = listed.state == task_state::stopped ||
                           (stop != nullptr && stop->collect && stop->task == listed.task &&
                            listed.state != task_state::running);
    const bool collected = std::find(worker.orphaned_tasks.begin(), worker.orphaned_tasks.end(),
                                     listed.task) != worker.orphaned_tasks.end();
    if (!known && !forgotten && !collected) {
      worker.orphaned_tasks.push_back(listed.task);
    }
  }
}

void gang_controller::apply_task(const gang& owner, member& target, const task_report* report, instant sent) {
  const bool ended = target.state == member_state::finished || target.state == member_state::failed;
  if (ended) {
    return;
  }
  if (report == nullptr) {
    if (!target.start_pending) {
      target.state = member_state::gone;
    }
    return;
  }
  target.start_pending = false;
  target.run_time = report->run_time;
  target.checkpointed = report->checkpointed;
  switch (report->state) {
    case task_state::running:
      target.state = member_state::running;
      target.confirmed = sent;
      target.stop_pending = owner.phase == gang_phase::stopping;
      return;
    case task_state::finished:
      target.state = member_state::finished;
      break;
    case task_state::failed:
      target.state = member_state::failed;
      break;
    case task_state::stopped:
      target.state = member_state::gone;
      break;
  }
  target.stop_pending = false;
  target.checkpoint_pending = false;
}

void gang_controller::on(const worker_call_failed& event, instant now, actions& out) {
  const auto call = calls_.find(event.failed);
  if (call == calls_.end()) {
    return;
  }
  const auto id = call->second;
  command_failed(id, workers_.at(id), now, out);
}

void gang_controller::command_failed(const worker_id& id, worker_state& worker, instant now, actions& out) {
  const auto sent = *std::exchange(worker.in_flight, std::nullopt);
  calls_.erase(sent.call);
  worker.failing_since = worker.failing_since.value_or(sent.at);
  if (now - *worker.failing_since >= options_.unreachable_after) {
    set_reachable(id, worker, false, out);
  }
  worker.not_before = now + (worker.reachable ? options_.retry_wait : options_.renew_interval);
  worker.next_renew = worker.not_before;
  dirty_workers_.insert(id);
}

void gang_controller::set_reachable(const worker_id& id, worker_state& worker, bool reachable, actions& out) {
  if (worker.reachable == reachable) {
    return;
  }
  worker.reachable = reachable;
  out.emplace_back(worker_reachability{.worker = id, .reachable = reachable});
  for (const auto& job : worker.gangs) {
    dirty_gangs_.insert(job);
  }
}

void gang_controller::on(const tick& /*event*/, instant /*now*/, actions& /*out*/) {}

/// Advances all gangs and workers that are due or marked dirty, until none is left. Advancing a gang can mark
/// workers dirty, and the reverse.
void gang_controller::run(instant now, actions& out) {
  mark_due(gangs_due_, now, dirty_gangs_);
  mark_due(workers_due_, now, dirty_workers_);
  while (!dirty_gangs_.empty() || !dirty_workers_.empty()) {
    for (const auto& job : std::exchange(dirty_gangs_, {})) {
      const auto found = gangs_.find(job);
      if (found != gangs_.end()) {
        advance_gang(found->second, now, out);
        reschedule(gangs_due_, job, found->second.due, gang_due(found->second));
      }
    }
    for (const auto& id : std::exchange(dirty_workers_, {})) {
      const auto found = workers_.find(id);
      if (found != workers_.end()) {
        advance_worker(id, found->second, now, out);
      }
    }
  }
  if (adopting_.empty() && !adoption_announced_) {
    adoption_announced_ = true;
    out.emplace_back(adoption_finished{});
  }
}

void gang_controller::advance_gang(gang& target, instant now, actions& out) {
  switch (target.phase) {
    case gang_phase::adopting:
      advance_adopting(target, now, out);
      break;
    case gang_phase::starting:
      advance_starting(target, now, out);
      break;
    case gang_phase::running:
      advance_running(target, now);
      break;
    case gang_phase::checkpointing:
      advance_checkpointing(target, now);
      break;
    case gang_phase::stopping:
    case gang_phase::ended:
      break;
  }
  if (target.phase != gang_phase::adopting) {
    adopting_.erase(target.job);
  }
  const bool finished = std::all_of(target.members.begin(), target.members.end(),
                                    [](const member& each) { return each.state == member_state::finished; });
  if (finished && target.phase != gang_phase::ended) {
    target.end = gang_end::finished;
    target.reason.clear();
    finish(target, out);
  } else if (target.phase == gang_phase::stopping) {
    advance_stopping(target, now, out);
  }
}

void gang_controller::advance_adopting(gang& target, instant now, actions& out) {
  if (fail_on_lost_member(target, now)) {
    return;
  }
  const auto unknown = std::find_if(target.members.begin(), target.members.end(),
                                    [](const member& each) { return each.state == member_state::unknown; });
  if (unknown == target.members.end()) {
    become_running(target, now, out);
  } else if (now - target.phase_since >= options_.adoption_timeout) {
    fail(target, gang_end::worker_lost,
         absl::StrCat("worker ", unknown->at.worker.value(), " did not report after a takeover"),
         unknown->at.worker, now);
  }
}

void gang_controller::advance_starting(gang& target, instant now, actions& out) {
  if (fail_on_lost_member(target, now)) {
    return;
  }
  const auto missing = std::find_if(target.members.begin(), target.members.end(),
                                    [](const member& each) { return each.state == member_state::unknown; });
  if (missing == target.members.end()) {
    become_running(target, now, out);
  } else if (now - target.phase_since >= options_.start_timeout) {
    fail(target, gang_end::worker_lost,
         absl::StrCat("worker ", missing->at.worker.value(), " did not start its member in time"),
         missing->at.worker, now);
  }
}

void gang_controller::become_running(gang& target, instant now, actions& out) {
  target.phase = gang_phase::running;
  target.phase_since = now;
  for (const auto& each : target.members) {
    workers_.at(each.at.worker).next_renew = now;  // Replaces the shorter `unconfirmed_lease`.
    dirty_workers_.insert(each.at.worker);
  }
  out.emplace_back(gang_running{.job = target.job, .attempt = target.attempt});
  advance_running(target, now);
}

void gang_controller::advance_running(gang& target, instant now) {
  if (fail_on_lost_member(target, now)) {
    return;
  }
  const auto finished = std::find_if(target.members.begin(), target.members.end(),
                                     [](const member& each) { return each.state == member_state::finished; });
  if (finished == target.members.end()) {
    return;
  }
  target.first_finished = target.first_finished.value_or(now);
  if (now - *target.first_finished >= options_.finish_spread) {
    fail(target, gang_end::failed,
         absl::StrCat("the member on worker ", finished->at.worker.value(), " ended while others still ran"),
         finished->at.worker, now);
  } else {
    poll_members(target, now);
  }
}

void gang_controller::advance_checkpointing(gang& target, instant now) {
  const bool pending = std::any_of(target.members.begin(), target.members.end(),
                                   [](const member& each) { return each.checkpoint_pending; });
  if (!pending || now - target.phase_since >= options_.checkpoint_timeout) {
    begin_stop(target, now);
  }
}

/// Ends the attempt of the whole gang if a member failed, is missing from a report or is on an unreachable
/// worker.
bool gang_controller::fail_on_lost_member(gang& target, instant now) {
  for (const auto& each : target.members) {
    const auto& id = each.at.worker;
    if (each.state == member_state::failed) {
      fail(target, gang_end::failed, absl::StrCat("the member on worker ", id.value(), " failed"), id, now);
      return true;
    }
    if (each.state == member_state::gone) {
      const auto end = target.phase == gang_phase::adopting ? gang_end::worker_lost : gang_end::failed;
      fail(target, end, absl::StrCat("worker ", id.value(), " does not run its member"), id, now);
      return true;
    }
    if (each.state != member_state::finished && !workers_.at(id).reachable) {
      fail(target, gang_end::worker_lost, absl::StrCat("worker ", id.value(), " is unreachable"), id, now);
      return true;
    }
  }
  return false;
}

void gang_controller::fail(gang& target, gang_end end, std::string reason,
                           std::optional<worker_id> failed_worker, instant now) {
  target.end = end;
  target.reason = std::move(reason);
  target.failed_worker = std::move(failed_worker);
  begin_stop(target, now);
}

void gang_controller::begin_stop(gang& target, instant now) {
  target.phase = gang_phase::stopping;
  target.phase_since = now;
  for (auto& each : target.members) {
    if (each.start_pending && !each.start_sent) {
      each.state = member_state::gone;
    }
    each.start_pending = false;
    each.checkpoint_pending = false;
    each.stop_pending = each.state == member_state::unknown || each.state == member_state::running;
  }
  mark_dirty(target);
}

/// Returns the time after which the member cannot be running, even if its worker never answers. A predecessor
/// renews leases only while all members are reported to it, so the last lease it granted ends at most one
/// `lease` after this stop began.
instant gang_controller::lease_end(const gang& target, const member& gang_member) const {
  return std::max(workers_.at(gang_member.at.worker).lease_until, target.phase_since + options_.lease);
}

void gang_controller::advance_stopping(gang& target, instant now, actions& out) {
  bool ended = true;
  for (auto& each : target.members) {
    const bool runs = each.state == member_state::unknown || each.state == member_state::running;
    if (runs && lease_end(target, each) <= now) {
      each.state = member_state::gone;
      each.stop_pending = false;
    } else if (runs) {
      ended = false;
    }
  }
  if (ended) {
    finish(target, out);
  }
}

void gang_controller::finish(gang& target, actions& out) {
  target.phase = gang_phase::ended;
  gang_ended ended{.job = target.job,
                   .attempt = target.attempt,
                   .end = target.end,
                   .reason = target.reason,
                   .worker = target.failed_worker};
  const auto of_member = [&](const member& each) {
    if (target.end == gang_end::finished) {
      return each.run_time;
    }
    return target.spec.checkpointable ? each.checkpointed : duration{};
  };
  // The next attempt resumes from the oldest checkpoint of the members.
  ended.attained_service = target.members.empty() ? duration{} : of_member(target.members.front());
  for (const auto& each : target.members) {
    ended.attained_service = std::min(ended.attained_service, of_member(each));
  }
  out.emplace_back(std::move(ended));
}

void gang_controller::poll_members(gang& target, instant now) {
  for (const auto& each : target.members) {
    if (each.state != member_state::running) {
      continue;
    }
    auto& worker = workers_.at(each.at.worker);
    worker.next_renew =
        std::min(worker.next_renew, std::max(now, worker.last_answer + options_.poll_interval));
    dirty_workers_.insert(each.at.worker);
  }
}

std::optional<instant> gang_controller::gang_due(const gang& target) const {
  switch (target.phase) {
    case gang_phase::adopting:
      return target.phase_since + options_.adoption_timeout;
    case gang_phase::starting:
      return target.phase_since + options_.start_timeout;
    case gang_phase::running:
      return target.first_finished ? std::optional{*target.first_finished + options_.finish_spread}
                                   : std::nullopt;
    case gang_phase::checkpointing:
      return target.phase_since + options_.checkpoint_timeout;
    case gang_phase::stopping:
      break;
    case gang_phase::ended:
      return std::nullopt;
  }
  std::optional<instant> due;
  for (const auto& each : target.members) {
    if (each.state == member_state::unknown || each.state == member_state::running) {
      const auto at = lease_end(target, each);
      due = due ? std::min(*due, at) : at;
    }
  }
  return due;
}

void gang_controller::advance_worker(const worker_id& id, worker_state& worker, instant now, actions& out) {
  if (worker.in_flight && worker.in_flight->at + options_.command_timeout + timeout_margin <= now) {
    command_failed(id, worker, now, out);
  }
  std::optional<instant> due;
  if (!worker.in_flight && worker.not_before <= now) {
    if (calls_.size() >= options_.max_in_flight) {
      due = now + saturated_retry_wait;
    } else if (auto command = next_command(id, worker, now)) {
      const auto call = next_call_;
      next_call_ = next_call_.next();
      calls_.emplace(call, id);
      if (const auto lease = carried_lease(*command)) {
        worker.lease_until = std::max(worker.lease_until, now + options_.command_timeout + *lease);
      }
      worker.in_flight = sent_command{.call = call, .command = *command, .at = now};
      out.emplace_back(worker_send{.sent = call,
                                   .worker = id,
                                   .sender_epoch = options_.current_epoch,
                                   .command = *std::move(command),
                                   .timeout = options_.command_timeout});
    }
  }
  if (worker.in_flight) {
    due = worker.in_flight->at + options_.command_timeout + timeout_margin;
  } else if (!due && (worker.listed || !worker.gangs.empty() || !worker.orphaned_tasks.empty())) {
    due = std::max(worker.not_before, worker.next_renew);
  }
  reschedule(workers_due_, id, worker.due, due);
  if (!due) {
    workers_.erase(id);
  }
}

duration gang_controller::renew_interval() const {
  constexpr duration second{1'000'000};
  const duration spread = second * static_cast<std::int64_t>(gangs_.size()) / options_.gangs_per_second;
  return std::clamp(spread, options_.min_renew_interval, options_.renew_interval);
}

std::optional<worker_command> gang_controller::next_command(const worker_id& id, worker_state& worker,
                                                            instant now) {
  // A stop has priority over all other commands; while one is pending, the leases of the worker are not
  // renewed.
  if (auto command = member_command(id, worker, now)) {
    return command;
  }
  if (!worker.orphaned_tasks.empty()) {
    const auto task = worker.orphaned_tasks.front();
    worker.orphaned_tasks.pop_front();
    return stop_task{.task = task, .collect = true};
  }
  if (now < worker.next_renew) {
    return std::nullopt;
  }
  worker.next_renew = now + (worker.gangs.empty() ? options_.idle_interval : renew_interval());
  // It is not known when all members of a gang that is being adopted were running last. The leases of the
  // previous owner allow for that; longer ones would let a part of the gang run on for too long.
  const bool adopting = std::any_of(worker.gangs.begin(), worker.gangs.end(), [&](const job_id& job) {
    return gangs_.at(job).phase == gang_phase::adopting;
  });
  return renew_tasks{.lease = adopting ? std::nullopt : std::optional{renewable_lease(id, worker, now)}};
}

std::optional<worker_command> gang_controller::member_command(const worker_id& id, const worker_state& worker,
                                                              instant now) {
  std::optional<worker_command> checkpoint;
  std::optional<worker_command> start;
  member* started = nullptr;
  for (const auto& job : worker.gangs) {
    auto& owner = gangs_.at(job);
    for (std::size_t i = 0; i < owner.members.size(); ++i) {
      auto& each = owner.members[i];
      if (each.at.worker != id) {
        continue;
      }
      const task_ref task{.job = job, .attempt = owner.attempt, .member = static_cast<int>(i)};
      if (each.stop_pending) {
        return stop_task{.task = task};
      }
      if (each.checkpoint_pending && !checkpoint) {
        checkpoint = checkpoint_task{.task = task};
      }
      if (each.start_pending && !start) {
        start = start_task{.task = task,
                           .accelerators = each.at.accelerators,
                           .lease = gang_lease(owner, now),
                           .declared_run_time = owner.spec.declared_run_time,
                           .command = owner.spec.command};
        started = &each;
      }
    }
  }
  if (checkpoint) {
    return checkpoint;
  }
  if (started != nullptr) {
    started->start_sent = true;
  }
  return start;
}

duration gang_controller::renewable_lease(const worker_id& id, const worker_state& worker,
                                          instant now) const {
  // The log contains every gang that may be running, so all tasks on a worker without a gang must end.
  auto lease = worker.gangs.empty() ? min_lease : options_.lease - options_.command_timeout;
  for (const auto& job : worker.gangs) {
    const auto& owner = gangs_.at(job);
    const bool has_active_member =
        std::any_of(owner.members.begin(), owner.members.end(), [&](const member& each) {
          return each.at.worker == id &&
                 (each.state == member_state::running || each.state == member_state::unknown);
        });
    if (has_active_member && owner.phase != gang_phase::ended) {
      lease = std::min(lease, gang_lease(owner, now));
    }
  }
  return lease;
}

/// Returns the lease that a member may be granted now. It ends at most `lease` after the last time at which
/// all members were reported as running.
duration gang_controller::gang_lease(const gang& target, instant now) const {
  const bool unconfirmed = target.phase == gang_phase::adopting || target.phase == gang_phase::starting;
  const auto from = unconfirmed ? options_.unconfirmed_lease : options_.lease - options_.command_timeout;
  auto oldest = now;
  for (const auto& each : target.members) {
    oldest = std::min(oldest, each.confirmed);
  }
  return std::max(min_lease, from - (now - oldest));
}

gang_controller::worker_state& gang_controller::find_or_add_worker(const worker_id& id, instant now) {
  auto [found, added] = workers_.try_emplace(id);
  if (added) {
    found->second.next_renew = now;
    found->second.last_answer = now;
  }
  dirty_workers_.insert(id);
  return found->second;
}

void gang_controller::mark_dirty(const gang& target) {
  dirty_gangs_.insert(target.job);
  if (target.phase == gang_phase::stopping || target.phase == gang_phase::checkpointing ||
      target.phase == gang_phase::starting) {
    for (const auto& each : target.members) {
      dirty_workers_.insert(each.at.worker);
    }
  }
}

std::optional<instant> gang_controller::next_deadline() const {
  if (superseded_) {
    return std::nullopt;
  }
  std::optional<instant> earliest;
  if (!gangs_due_.empty()) {
    earliest = gangs_due_.begin()->first;
  }
  if (!workers_due_.empty() && (!earliest || workers_due_.begin()->first < *earliest)) {
    earliest = workers_due_.begin()->first;
  }
  return earliest;
}

}  // namespace rhubarbpath

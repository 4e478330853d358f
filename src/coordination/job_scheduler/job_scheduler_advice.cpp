#include <algorithm>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "job_scheduler_impl.hpp"

// How units of queues with an adviser get their tickets. The scheduler first learns which workers are
// allowed, then asks for the tickets of just the workers that a unit needs, so that all of them are valid at
// the same time.
namespace rhubarbpath {

using detail::job_state;
using detail::member;
using detail::prefers_rack;
using detail::unit;
using detail::unit_phase;
using detail::worker_state;

namespace {

/// Tickets for workers without free space are renewed only if they are valid for this many times as long as
/// the call takes, so that it leaves the adviser's time to others.
constexpr duration::rep min_calls_per_validity = 4;
/// Space stays reserved for one more call after one that failed, and not while the adviser is away.
constexpr duration reserved_after_failed_call{std::chrono::milliseconds{400}};
/// Steps that are considered in a pass for the next call. Bounds the cost of those about which there is
/// nothing to ask.
constexpr std::size_t max_plans = 8;

/// An idle worker that was started again has not reported since, but its entry tells.
ticket_book::candidate candidate_of(const worker_state& worker) {
  return {.worker = worker.entry.id, .born = std::max(worker.born, worker.entry.born)};
}

step_ref step_ref_of(const job_state& job, const unit& step_unit) {
  return {.job = job.job.id, .occurrence = step_unit.occurrence, .step = step_unit.step};
}

std::vector<worker_state*> each_once(const std::vector<worker_state*>& where) {
  std::vector<worker_state*> workers;
  absl::flat_hash_set<const worker_state*> seen;
  std::copy_if(where.begin(), where.end(), std::back_inserter(workers),
               [&](const worker_state* worker) { return seen.insert(worker).second; });
  return workers;
}

std::vector<worker_state*> workers_of(const unit& reserved) {
  std::vector<worker_state*> workers;
  std::transform(reserved.members.begin(), reserved.members.end(), std::back_inserter(workers),
                 [](const member& one) { return one.worker; });
  return each_once(workers);
}

/// How many members of a gang fit into the space.
std::uint32_t count_fitting(resource_amounts free, const resource_amounts& need, std::size_t most) {
  std::uint32_t count = 0;
  for (; count < most && free.covers(need); ++count) {
    free -= need;
  }
  return count;
}

}  // namespace

// ---- what is known ----

permission job_scheduler::implementation::permission_on(const worker_state& worker, const job_state& job,
                                                        const unit& placed) const {
  return tickets.permission_for(step_ref_of(job, placed), candidate_of(worker));
}

bool job_scheduler::implementation::advice_permits(const worker_state& worker, const job_state& job,
                                                   const unit& placed, advice_level level) const {
  if (!job.queue->adviser) {
    return true;
  }
  switch (level) {
    case advice_level::not_refused:
      return permission_on(worker, job, placed) != permission::refused;
    case advice_level::allowed:
      return permission_on(worker, job, placed) == permission::allowed;
    case advice_level::has_ticket:
      return tickets.has_ticket(step_ref_of(job, placed), candidate_of(worker), pass_time);
  }
  return false;
}

std::string job_scheduler::implementation::ticket_for(const worker_state& worker, const job_state& job,
                                                      const unit& placed) const {
  return job.queue != nullptr && job.queue->adviser
             ? tickets.latest_ticket(step_ref_of(job, placed), candidate_of(worker))
             : std::string{};
}

bool job_scheduler::implementation::all_have_tickets(const job_state& job, const unit& reserved,
                                                     instant now) const {
  const auto step = step_ref_of(job, reserved);
  return !job.queue->adviser ||
         std::all_of(reserved.members.begin(), reserved.members.end(), [&](const member& one) {
           return tickets.has_ticket(step, candidate_of(*one.worker), now);
         });
}

job_scheduler::implementation::placement job_scheduler::implementation::without_ticket(const job_state& job,
                                                                                       const unit& waiting,
                                                                                       const placement& about,
                                                                                       instant until) const {
  const auto step = step_ref_of(job, waiting);
  auto found = each_once(about);
  std::erase_if(found, [&](const worker_state* worker) {
    return tickets.has_ticket(step, candidate_of(*worker), until);
  });
  return found;
}

std::optional<detail::unit_wait> job_scheduler::implementation::wait_for_advice(const job_state& job,
                                                                                const unit& waiting) const {
  const auto step = step_ref_of(job, waiting);
  if (const auto wasted = tickets.wasted_round(step)) {
    return detail::tickets_expire_too_soon{.workers = wasted->workers,
                                           .advice = tickets.round_time(wasted->terms, wasted->workers),
                                           .validity = wasted->terms.validity};
  }
  if (tickets.is_asking(step)) {
    return detail::advice_awaited{};
  }
  return tickets.call_failed(step) ? std::optional<detail::unit_wait>{detail::advice_fails{}} : std::nullopt;
}

detail::unit_wait job_scheduler::implementation::wait_for_workers(const job_state& job, const unit& waiting,
                                                                  instant now) {
  const auto& step = step_of(job, waiting);
  const auto& terms = *job.queue->adviser;
  const auto where = each_once(find_space_in_time(job, waiting, advice_level::allowed, now));
  const auto needed = std::max<std::size_t>(where.size(), 1);
  if (!tickets.can_be_valid_together(terms, needed)) {
    return detail::advice_outlasts_tickets{
        .workers = needed, .advice = tickets.round_time(terms, needed), .validity = terms.validity};
  }
  detail::too_few_allowed_workers few;
  std::size_t members = 0;
  for (const auto* worker : space_for(job)->workers) {
    if (worker == nullptr || !usable(*worker, now) || !detail::has_required_label(*worker, step)) {
      continue;
    }
    ++few.workers;
    if (permission_on(*worker, job, waiting) == permission::allowed) {
      ++few.allowed;
      const auto most = step.max_per_worker == 0 ? waiting.members.size() : step.max_per_worker;
      members += count_fitting(worker->entry.capacity, occupied(step), most);
    }
  }
  return members < waiting.members.size() ? detail::unit_wait{few} : detail::no_free_space{};
}

// ---- what to ask about ----

job_scheduler::implementation::placement job_scheduler::implementation::find_space(const job_state& job,
                                                                                   const unit& waiting,
                                                                                   advice_level level,
                                                                                   instant now) {
  auto where = choose_workers(job, waiting, false, level);
  if (where.empty() && prefers_rack(step_of(job, waiting)) && may_spread(job, waiting, now)) {
    where = choose_workers(job, waiting, true, level);
  }
  return where;
}

job_scheduler::implementation::placement job_scheduler::implementation::find_space_on_few(
    const job_state& job, const unit& waiting, advice_level level, const rack_id& rack) {
  const auto& space = *space_for(job);
  const auto need = occupied(step_of(job, waiting));
  const auto members = waiting.members.size();
  std::vector<std::pair<std::uint32_t, worker_state*>> by_room;
  for (auto* worker : space.workers) {
    if (worker == nullptr || !(rack.value().empty() || worker->entry.rack == rack)) {
      continue;
    }
    const auto& free = space.index.space(*worker->slot);
    const auto most = free.usable ? allowance_on(*worker, job, waiting, level) : 0;
    const auto room = count_fitting(free.free, need, std::min<std::size_t>(most, members));
    by_room.emplace_back(room, worker);
  }
  std::stable_sort(by_room.begin(), by_room.end(),
                   [](const auto& left, const auto& right) { return left.first > right.first; });
  placement where;
  for (const auto& [room, worker] : by_room) {
    where.insert(where.end(), std::min<std::size_t>(room, members - where.size()), worker);
  }
  return where.size() == members ? where : placement{};
}

job_scheduler::implementation::placement job_scheduler::implementation::find_space_in_time(
    const job_state& job, const unit& waiting, advice_level level, instant now) {
  auto where = find_space(job, waiting, level, now);
  const auto needed = each_once(where).size();
  if (needed <= 1 || tickets.in_time(*job.queue->adviser, needed)) {
    return where;
  }
  const bool one_rack = prefers_rack(step_of(job, waiting)) && !may_spread(job, waiting, now);
  auto fewer = find_space_on_few(job, waiting, level, one_rack ? where.front()->entry.rack : rack_id{});
  return fewer.empty() || each_once(fewer).size() >= needed ? where : fewer;
}

std::optional<job_scheduler::implementation::advice_plan> job_scheduler::implementation::plan_gang_tickets(
    const job_state& job, const unit& waiting, instant now) {
  const auto& terms = *job.queue->adviser;
  auto where = find_space_in_time(job, waiting, advice_level::allowed, now);
  const auto needed = each_once(where).size();
  if (needed == 0 || !tickets.can_be_valid_together(terms, needed)) {
    return std::nullopt;
  }
  if (!tickets.in_time(terms, needed)) {
    const auto open = each_once(find_space_in_time(job, waiting, advice_level::not_refused, now));
    if (open.size() < needed) {
      return std::nullopt;  // It may fit on fewer workers, about which the adviser was not asked yet.
    }
  }
  auto renewed = without_ticket(job, waiting, where, now + tickets.round_time(terms, needed));
  return advice_plan{.needed = std::move(renewed),
                     .spare = {},
                     .reserved = std::move(where),
                     .why = ticket_book::purpose::start};
}

void job_scheduler::implementation::add_candidates(const job_state& job, const unit& waiting,
                                                   permission known, std::size_t count, placement& chosen,
                                                   instant now) {
  const auto& step = step_of(job, waiting);
  const auto need = occupied(step);
  for (const bool with_space : {true, false}) {
    for (auto* worker : space_for(job)->workers) {
      if (chosen.size() >= count) {
        return;
      }
      if (worker == nullptr || !usable(*worker, now) || !detail::has_required_label(*worker, step) ||
          !worker->entry.capacity.covers(need) || permission_on(*worker, job, waiting) != known) {
        continue;
      }
      const bool has_space = (worker->entry.capacity - worker->used - worker->reserved).covers(need);
      const bool has_ticket = tickets.has_ticket(step_ref_of(job, waiting), candidate_of(*worker), now);
      const bool is_chosen = std::find(chosen.begin(), chosen.end(), worker) != chosen.end();
      if (has_space == with_space && !has_ticket && !is_chosen) {
        chosen.push_back(worker);
      }
    }
  }
}

job_scheduler::implementation::placement job_scheduler::implementation::workers_to_preempt_on(
    const job_state& job, const unit& waiting, instant now) {
  auto found = find_preemption(job, waiting, false, advice_level::allowed);
  if (!found && prefers_rack(step_of(job, waiting))) {
    found = find_preemption(job, waiting, true, advice_level::allowed);
  }
  auto lacking = found ? without_ticket(job, waiting, found->where, now) : placement{};
  const bool useful = tickets.can_be_valid_together(*job.queue->adviser, lacking.size());
  return useful ? lacking : placement{};
}

job_scheduler::implementation::advice_plan job_scheduler::implementation::plan_advice(const job_state& job,
                                                                                      const unit& waiting,
                                                                                      instant now) {
  const auto& terms = *job.queue->adviser;
  const bool gang = waiting.members.size() > 1;
  if (gang) {
    if (auto plan = plan_gang_tickets(job, waiting, now)) {
      return *std::move(plan);
    }
  }
  advice_plan plan;
  if (!tickets.can_be_valid_together(terms, 1)) {
    return plan;
  }
  if (!gang) {
    plan.needed = find_space(job, waiting, advice_level::allowed, now);
    if (!plan.needed.empty()) {
      // Other tasks of the step may start on further workers.
      const auto tasks = job.units.find_occurrence(waiting.occurrence)->left[waiting.step];
      add_candidates(job, waiting, permission::allowed, tickets.useful_call_size(terms, tasks), plan.needed,
                     now);
    }
  }
  if (plan.needed.empty() && job.queue->priority == 0) {
    plan.needed = workers_to_preempt_on(job, waiting, now);
  }
  if (!plan.needed.empty()) {
    plan.why = ticket_book::purpose::start;
    return plan;
  }
  plan.needed = each_once(find_space_in_time(job, waiting, advice_level::not_refused, now));
  std::erase_if(plan.needed, [&](const worker_state* worker) {
    return permission_on(*worker, job, waiting) != permission::unknown;
  });
  const auto count =
      tickets.call_size(terms, plan.needed.size(), tickets.has_refused(step_ref_of(job, waiting)));
  plan.needed.resize(std::min(plan.needed.size(), count));
  auto all = plan.needed;
  add_candidates(job, waiting, permission::unknown, count, all, now);
  plan.spare.assign(all.begin() + static_cast<std::ptrdiff_t>(plan.needed.size()), all.end());
  plan.why = plan.spare.empty() ? ticket_book::purpose::learn : ticket_book::purpose::learn_spares;
  return plan;
}

// ---- calls ----

void job_scheduler::implementation::want_advice(job_state& job, unit& waiting, int rank, instant now) {
  if (space_for(job) == nullptr) {
    return;
  }
  if (const auto wait = wait_for_advice(job, waiting)) {
    waiting.wait = *wait;
  } else if (std::holds_alternative<detail::no_free_space>(waiting.wait)) {
    waiting.wait = detail::no_space_with_ticket{};
  }
  if (!tickets.is_paused(step_ref_of(job, waiting), now)) {
    advice_wants.push_back({.job = &job, .waiting = &waiting, .rank = rank});
  }
}

void job_scheduler::implementation::ask_adviser(instant now) {
  if (advice_wants.empty() || !tickets.may_call(now)) {
    return;
  }
  std::vector<ticket_book::want> turns;
  turns.reserve(advice_wants.size());
  for (const auto& each : advice_wants) {
    turns.push_back(
        {.step = step_ref_of(*each.job, *each.waiting), .rank = each.rank, .number = turns.size()});
  }
  tickets.sort_by_turn(turns);
  turns.resize(std::min(turns.size(), max_plans));
  for (const auto& turn : turns) {
    const auto& chosen = advice_wants[turn.number];
    if (ask_about(*chosen.job, *chosen.waiting, now)) {
      return;
    }
    tickets.pass_turn(turn.step);
  }
  for (const auto& turn : turns) {
    const auto& chosen = advice_wants[turn.number];
    if (ask_ahead(*chosen.job, *chosen.waiting, now)) {
      return;
    }
  }
}

bool job_scheduler::implementation::ask_about(job_state& job, unit& waiting, instant now) {
  // The space that is held back for the unit is its own.
  const auto held = plans.find(&waiting);
  const auto need = occupied(step_of(job, waiting));
  if (held != plans.end()) {
    set_held(held->second, need, false);
  }
  const auto plan = plan_advice(job, waiting, now);
  if (!plan.reserved.empty()) {
    reserve(job, waiting, plan.reserved, now);
    waiting.reserved_until += tickets.round_time(*job.queue->adviser, plan.needed.size());
  } else if (held != plans.end()) {
    set_held(held->second, need, true);
  }
  if (!plan.needed.empty() || !plan.spare.empty()) {
    begin_round(job, waiting, plan,
                plan.reserved.empty() ? "no worker with a ticket has free space"
                                      : "space is reserved until its tickets are there",
                now);
    return true;
  }
  if (plan.reserved.empty() && !std::holds_alternative<detail::rack_is_full>(waiting.wait)) {
    waiting.wait = wait_for_workers(job, waiting, now);
  }
  return false;
}

bool job_scheduler::implementation::ask_ahead(const job_state& job, const unit& waiting, instant now) {
  const auto& terms = *job.queue->adviser;
  const auto count = tickets.call_size(terms, 1, false);
  if (tickets.round_time(terms, count) * min_calls_per_validity > terms.validity) {
    return false;
  }
  advice_plan plan;
  plan.why = ticket_book::purpose::learn_spares;
  add_candidates(job, waiting, permission::allowed, count, plan.spare, now);
  if (plan.spare.empty()) {
    return false;
  }
  begin_round(job, waiting, plan, "all workers with tickets are full", now);
  return true;
}

void job_scheduler::implementation::renew_tickets(job_state& job, unit& reserved, instant now) {
  const auto step = step_ref_of(job, reserved);
  const auto& terms = *job.queue->adviser;
  if (!tickets.may_call(now) || tickets.is_paused(step, now)) {
    return;
  }
  const auto all = workers_of(reserved);
  const auto time = tickets.round_time(terms, all.size());
  if (!std::exchange(reserved.tickets_renewed, true)) {
    reserved.reserved_until = std::max(reserved.reserved_until, now + time + detail::reservation_timeout);
  }
  begin_round(job, reserved,
              {.needed = without_ticket(job, reserved, all, now + time),
               .spare = {},
               .reserved = {},
               .why = ticket_book::purpose::start},
              "its tickets have expired before a start", now);
}

void job_scheduler::implementation::begin_round(const job_state& job, const unit& asked,
                                                const advice_plan& plan, std::string reason, instant now) {
  std::vector<ticket_book::candidate> candidates;
  candidates.reserve(plan.needed.size() + plan.spare.size());
  for (const auto* part : {&plan.needed, &plan.spare}) {
    std::transform(part->begin(), part->end(), std::back_inserter(candidates),
                   [](const worker_state* worker) { return candidate_of(*worker); });
  }
  record("advice_asked", job.job.id, std::move(reason),
         {{"step", absl::StrCat(asked.occurrence, ".", asked.step)},
          {"workers", absl::StrCat(candidates.size())}});
  actions.emplace_back(
      tickets.ask(step_ref_of(job, asked), *job.queue->adviser, plan.why, std::move(candidates), now));
}

void job_scheduler::advice_answered(const step_ref& step,
                                    const std::optional<std::vector<granted_ticket>>& granted, instant now) {
  auto& self = *implementation_;
  self.placement_due = true;
  self.record("advice_received", step.job, granted ? "answered" : "call failed",
              {{"step", absl::StrCat(step.occurrence, ".", step.step)},
               {"workers", absl::StrCat(granted ? granted->size() : 0)}});
  if (auto next = self.tickets.answered(step, granted, now)) {
    self.actions.emplace_back(*std::move(next));
  }
  self.end_pauses(step, granted.has_value(), now);
}

void job_scheduler::implementation::end_pauses(const step_ref& step, bool answered, instant now) {
  auto* job = find_job(step.job);
  auto* state = job == nullptr ? nullptr : job->units.find_step(step.occurrence, step.step);
  if (state == nullptr) {
    return;
  }
  for (auto& [number, each] : state->units) {
    if (answered) {
      each.not_before = std::min(each.not_before, now);
    } else if (each.phase == unit_phase::reserved) {
      each.reserved_until = std::min(each.reserved_until, now + reserved_after_failed_call);
    }
  }
}

}  // namespace rhubarbpath

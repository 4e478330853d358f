#include "absl/strings/str_cat.h"
#include "job_scheduler_impl.hpp"

namespace rhubarbpath {

using detail::job_state;
using detail::member;
using detail::member_phase;
using detail::prefers_rack;
using detail::unit;
using detail::unit_phase;
using detail::worker_state;

namespace {

/// Minimum interval between placement passes, so that a burst of events causes a single pass.
constexpr duration placement_interval{std::chrono::milliseconds{12}};
/// Interval of placement passes without an event. Bounds how late a unit is placed that becomes ready with
/// time.
constexpr duration recheck_interval{std::chrono::milliseconds{50}};

/// Maximum share of all accelerators that is held back for waiting gangs.
constexpr double max_held_back_share = 0.25;

}  // namespace

// ---- placement order ----

bool job_scheduler::implementation::step_ready(const job_state& job, std::uint32_t occurrence,
                                               std::uint32_t step, instant now) const {
  const auto& graph = job.job.graph;
  if (graph.occurrences > 0) {
    const auto due = graph.first_due + graph.interval * occurrence;
    const auto time_of_day = wall + std::chrono::duration_cast<std::chrono::milliseconds>(now - wall_at);
    if (time_of_day < due) {
      return false;
    }
  }
  const auto& after = graph.steps[step].after;
  return std::all_of(after.begin(), after.end(), [&](std::uint32_t before) {
    return job.steps[occurrence * graph.steps.size() + before].units_left == 0;
  });
}

/// Returns the accelerators that each team's urgent work uses, and the team's guarantee.
const std::map<team_id, job_scheduler::implementation::team_share>&
job_scheduler::implementation::urgent_shares() {
  if (share_cache) {
    return *share_cache;
  }
  auto& shares = share_cache.emplace();
  if (config == nullptr) {
    return shares;
  }
  for (const auto& team : config->teams) {
    shares[team.id].guaranteed = team.guaranteed_accelerators;
  }
  for (const auto& [id, job] : open_jobs) {
    if (job->queue == nullptr || job->queue->priority != 0 || is_terminal(job->phase)) {
      continue;
    }
    for (const auto& each : job->units) {
      if (each.phase == unit_phase::active || each.phase == unit_phase::reserved) {
        shares[job->job.team].used += accelerators_of(*job, each);
      }
    }
  }
  return shares;
}

/// Returns the sort key of a step, which decides what runs when the load exceeds the capacity: first urgent
/// work, then work that can still meet its objective, then work that is late but still useful, and last work
/// that is too late to be useful to its caller.
int job_scheduler::implementation::rank_of(const job_state& job, const step_spec& step, instant now) const {
  const auto priority =
      job.queue == nullptr ? 9 : static_cast<int>(std::min<std::int64_t>(job.queue->priority, 9));
  if (priority == 0) {
    return 0;
  }
  const auto ends = now + step.estimate;
  const auto time_allowed = job.objective - job.added_at;
  constexpr int on_time = 10;
  constexpr int late = 30;
  constexpr int too_late_to_help = 50;
  if (ends <= job.objective) {
    return on_time + priority;
  }
  return (ends <= job.objective + time_allowed * 2 ? late : too_late_to_help) + priority;
}

std::vector<job_scheduler::implementation::waiting_step> job_scheduler::implementation::waiting_steps(
    instant now) {
  std::vector<waiting_step> waiting;
  for (auto& [id, open] : open_jobs) {
    auto& job = *open;
    if (is_terminal(job.phase) || job.queue == nullptr) {
      continue;
    }
    const auto step_count = job.job.graph.steps.size();
    for (std::size_t index = 0; index < job.steps.size(); ++index) {
      auto& step = job.steps[index];
      const auto occurrence = static_cast<std::uint32_t>(index / step_count);
      const auto number = static_cast<std::uint32_t>(index % step_count);
      if (step.first_waiting < step.end && step_ready(job, occurrence, number, now)) {
        const auto& spec = job.job.graph.steps[number];
        waiting.push_back(
            {.job = &job, .step = &step, .rank = rank_of(job, spec, now), .objective = job.objective});
      }
    }
  }
  std::stable_sort(waiting.begin(), waiting.end(), [](const waiting_step& left, const waiting_step& right) {
    return std::tie(left.rank, left.objective) < std::tie(right.rank, right.objective);
  });
  return waiting;
}

void job_scheduler::implementation::run_placement_pass(instant now) {
  next_placement = now + placement_interval;
  next_recheck = now + recheck_interval;
  pass_time = now;
  placement_due = false;
  const auto waiting = waiting_steps(now);
  if (waiting.empty()) {
    return;
  }
  build_pools(now);
  held_back.clear();
  held_back_accelerators = 0;
  space_cache.clear();
  share_cache.reset();
  for (const auto& each : waiting) {
    place_step(each, now);
  }
}

/// Places the waiting units of a step. All units of a step have the same requirements, so the first one that
/// does not fit ends the loop.
void job_scheduler::implementation::place_step(const waiting_step& waiting, instant now) {
  auto& job = *waiting.job;
  auto& step = *waiting.step;
  const auto& spec = step_of(job, job.units[step.begin]);
  bool all_placed = true;
  for (auto index = step.first_waiting; index < step.end; ++index) {
    auto& each = job.units[index];
    if (each.phase != unit_phase::waiting) {
      step.first_waiting += index == step.first_waiting && all_placed ? 1 : 0;
      continue;
    }
    if (now < each.not_before || (each.inherited && recovery)) {
      all_placed = false;
      continue;
    }
    if (!place(job, each, now)) {
      ask_adviser(job, each, now);
      if (spec.gang) {
        hold_back_space(job, each);
      }
      return;
    }
    step.first_waiting += index == step.first_waiting && all_placed ? 1 : 0;
  }
}

// ---- choice of workers ----

bool job_scheduler::implementation::usable(const worker_state& worker, instant now) const {
  return worker.listed && worker.reported && !worker.replaced && !worker.entry.draining &&
         worker.failed_renewals < detail::unusable_after_failed_renewals && now >= worker.full_until &&
         stored_workers.contains(worker.entry.id);
}

namespace {

step_ref step_ref_of(const job_state& job, const unit& step_unit) {
  return {.job = job.job.id, .occurrence = step_unit.occurrence, .step = step_unit.step};
}

}  // namespace

std::string job_scheduler::implementation::ticket_for(const worker_state& worker, const job_state& job,
                                                      const unit& placed) const {
  return tickets.ticket(step_ref_of(job, placed), {.worker = worker.entry.id, .born = worker.born}, pass_time)
      .value_or("");
}

bool job_scheduler::implementation::may_run(const worker_state& worker, const job_state& job,
                                            const unit& placed) const {
  return detail::serves(worker, job, step_of(job, placed)) &&
         (!job.queue->adviser || !ticket_for(worker, job, placed).empty());
}

void job_scheduler::implementation::ask_adviser(const job_state& job, const unit& waiting, instant now) {
  if (!job.queue->adviser) {
    return;
  }
  const auto& step = step_of(job, waiting);
  const auto need = occupied(step);
  // Workers with free space come first. Full workers are included so that their tickets are available once
  // space becomes free.
  std::vector<ticket_book::candidate> with_room;
  std::vector<ticket_book::candidate> full;
  for (const auto* worker : usable_workers.all) {
    if (!detail::serves(*worker, job, step) || !worker->entry.capacity.covers(need)) {
      continue;
    }
    const auto free = worker->entry.capacity - worker->used - worker->reserved;
    (free.covers(need) ? with_room : full).push_back({.worker = worker->entry.id, .born = worker->born});
  }
  with_room.insert(with_room.end(), full.begin(), full.end());
  if (auto request = tickets.ask(step_ref_of(job, waiting), *job.queue->adviser, with_room,
                                 waiting.members.size(), now)) {
    record("advice_asked", job.job.id, "no worker with a valid ticket has free space",
           {{"step", absl::StrCat(waiting.occurrence, ".", waiting.step)},
            {"workers", absl::StrCat(request->workers.size())}});
    actions.emplace_back(*std::move(request));
  }
}

void job_scheduler::advice_answered(const step_ref& step,
                                    const std::optional<std::vector<granted_ticket>>& granted, instant now) {
  auto& self = *implementation_;
  self.tickets.answered(step, granted, now);
  self.placement_due = true;
  self.record("advice_received", step.job, granted ? "answered" : "call failed",
              {{"step", absl::StrCat(step.occurrence, ".", step.step)},
               {"workers", absl::StrCat(granted ? granted->size() : 0)}});
}

void job_scheduler::implementation::build_pools(instant now) {
  unsuspected_workers = {};
  usable_workers = {};
  for (auto& [id, worker] : workers) {
    if (!usable(worker, now)) {
      continue;
    }
    usable_workers.all.push_back(&worker);
    usable_workers.racks[worker.entry.rack].push_back(&worker);
    if (now >= worker.suspect_until) {
      unsuspected_workers.all.push_back(&worker);
      unsuspected_workers.racks[worker.entry.rack].push_back(&worker);
    }
  }
}

std::uint32_t job_scheduler::implementation::tasks_of_step(const worker_state& worker, const job_state& job,
                                                           const unit& placed) const {
  std::uint32_t count = 0;
  for (const auto& [task, run] : worker.tasks) {
    if (task.job == job.job.id && task.occurrence == placed.occurrence && task.step == placed.step) {
      ++count;
    }
  }
  return count;
}

/// Assigns a worker to each member by best fit on accelerators. Returns an empty placement if not all fit.
job_scheduler::implementation::placement job_scheduler::implementation::fit(
    const std::vector<worker_state*>& pool, const job_state& job, const unit& placed) const {
  const auto& step = step_of(job, placed);
  const auto need = occupied(step);
  struct room {
    worker_state* worker;
    resource_amounts free;
    std::uint32_t step_tasks;
  };
  std::vector<room> rooms;
  for (auto* worker : pool) {
    auto free = worker->entry.capacity - worker->used - worker->reserved;
    if (const auto kept = held_back.find(worker); kept != held_back.end()) {
      free -= kept->second;
    }
    if (free.covers(need) && may_run(*worker, job, placed)) {
      rooms.push_back({.worker = worker,
                       .free = free,
                       .step_tasks = step.max_per_worker == 0 ? 0 : tasks_of_step(*worker, job, placed)});
    }
  }
  placement where;
  where.reserve(placed.members.size());
  for (std::size_t index = 0; index < placed.members.size(); ++index) {
    room* best = nullptr;
    for (auto& each : rooms) {
      if (!each.free.covers(need) || (step.max_per_worker > 0 && each.step_tasks >= step.max_per_worker)) {
        continue;
      }
      if (best == nullptr || std::pair{each.free.accelerators, each.free.memory_mb} <
                                 std::pair{best->free.accelerators, best->free.memory_mb}) {
        best = &each;
      }
    }
    if (best == nullptr) {
      return {};
    }
    best->free -= need;
    ++best->step_tasks;
    where.push_back(best->worker);
  }
  return where;
}

/// Fits all members into one rack, preferring the rack with the fewest free accelerators to avoid
/// fragmentation of emptier racks.
job_scheduler::implementation::placement job_scheduler::implementation::fit_in_rack(
    const worker_pool& pool, const job_state& job, const unit& placed) const {
  const auto& step = step_of(job, placed);
  placement best;
  std::int64_t best_free = 0;
  for (const auto& [rack, members] : pool.racks) {
    if (!step.data_rack.empty() && rack.value() != step.data_rack) {
      continue;
    }
    std::int64_t free = 0;
    for (const auto* worker : members) {
      free += (worker->entry.capacity - worker->used - worker->reserved).accelerators;
    }
    if (!best.empty() && free >= best_free) {
      continue;
    }
    if (auto where = fit(members, job, placed); !where.empty()) {
      best = std::move(where);
      best_free = free;
    }
  }
  return best;
}

job_scheduler::implementation::placement job_scheduler::implementation::choose_workers(const job_state& job,
                                                                                       const unit& placed,
                                                                                       bool spread) const {
  const bool rack = prefers_rack(step_of(job, placed)) && !spread;
  for (const auto* pool : {&unsuspected_workers, &usable_workers}) {
    if (auto where = rack ? fit_in_rack(*pool, job, placed) : fit(pool->all, job, placed); !where.empty()) {
      return where;
    }
  }
  return {};
}

job_scheduler::implementation::planned_placement job_scheduler::implementation::plan_future_placement(
    const std::vector<worker_state*>& pool, const job_state& job, const unit& waiting) const {
  struct room {
    worker_state* worker;
    resource_amounts free;
    resource_amounts capacity;
  };
  const auto& step = step_of(job, waiting);
  const auto need = occupied(step);
  std::vector<room> rooms;
  for (auto* worker : pool) {
    if (may_run(*worker, job, waiting) && worker->entry.capacity.covers(need)) {
      auto free = worker->entry.capacity - worker->used - worker->reserved;
      if (const auto kept = held_back.find(worker); kept != held_back.end()) {
        free -= kept->second;
      }
      rooms.push_back({.worker = worker, .free = free, .capacity = worker->entry.capacity});
    }
  }
  planned_placement result;
  for (std::size_t index = 0; index < waiting.members.size(); ++index) {
    room* pick = nullptr;
    std::int64_t pick_missing = 0;
    for (auto& each : rooms) {
      const auto shortfall = std::max<std::int64_t>(0, need.accelerators - each.free.accelerators) +
                             (each.free.covers(need) ? 0 : 1);
      if (each.capacity.covers(need) && (pick == nullptr || shortfall < pick_missing)) {
        pick = &each;
        pick_missing = shortfall;
      }
    }
    if (pick == nullptr) {
      return {};
    }
    result.missing += pick_missing;
    pick->free -= need;
    pick->capacity -= need;
    result.where.push_back(pick->worker);
  }
  return result;
}

/// Holds back space for a gang that does not fit now, so that work behind it in the order cannot use it.
/// Without this, small units take space as it becomes free, and large gangs starve.
void job_scheduler::implementation::hold_back_space(const job_state& job, const unit& waiting) {
  const auto& step = step_of(job, waiting);
  std::int64_t offered = 0;
  for (const auto* worker : usable_workers.all) {
    offered += worker->entry.capacity.accelerators;
  }
  const auto limit = static_cast<std::int64_t>(static_cast<double>(offered) * max_held_back_share);
  if (held_back_accelerators + accelerators_of(job, waiting) > limit) {
    return;
  }
  planned_placement best;
  const auto consider = [&](const std::vector<worker_state*>& pool) {
    auto place = plan_future_placement(pool, job, waiting);
    if (!place.where.empty() && (best.where.empty() || place.missing < best.missing)) {
      best = std::move(place);
    }
  };
  if (prefers_rack(step)) {
    for (const auto& [rack, members] : usable_workers.racks) {
      if (step.data_rack.empty() || rack.value() == step.data_rack) {
        consider(members);
      }
    }
  } else {
    consider(usable_workers.all);
  }
  const auto need = occupied(step);
  for (auto* worker : best.where) {
    held_back[worker] += need;
    held_back_accelerators += need.accelerators;
  }
}

// ---- starts and reservations ----

void job_scheduler::implementation::start_unit(job_state& job, unit& starting, const placement& where,
                                               instant now) {
  // Each term has its own range of run numbers, so that a new run never reuses the number of a start by an
  // earlier owner that this owner does not know of.
  constexpr std::uint64_t runs_per_term = 1000;
  const auto first_of_term = (term.value() - 1) * runs_per_term + 1;
  starting.run = run_number{std::max(starting.run.value() + 1, first_of_term)};
  starting.phase = unit_phase::active;
  starting.all_running_since = instant{};
  std::string worker_names;
  for (std::size_t index = 0; index < starting.members.size(); ++index) {
    auto& worker = *where[index];
    starting.members[index] = member{.phase = member_phase::starting,
                                     .worker = worker.entry.id,
                                     .run = starting.run,
                                     .percent_changed = now,
                                     .checkpoint = {}};
    worker.used += occupied(step_of(job, starting));
    worker.tasks[task_of(job, starting, index)] = starting.run;
    order_start(job, starting, index, now);
    absl::StrAppend(&worker_names, index == 0 ? "" : ",", worker.entry.id.value());
  }
  invalidate_caches(where);
  record("unit_started", job.job.id, "placed",
         {{"step", absl::StrCat(starting.occurrence, ".", starting.step, ".", starting.number)},
          {"run", absl::StrCat(starting.run.value())},
          {"workers", std::move(worker_names)}},
         now - starting.waiting_since);
}

bool job_scheduler::implementation::place(job_state& job, unit& placed, instant now) {
  const auto& step = step_of(job, placed);
  const bool urgent = job.queue->priority == 0;
  if (const auto where = choose_workers(job, placed, false); !where.empty()) {
    start_unit(job, placed, where, now);
    return true;
  }
  if (urgent && preempt(job, placed, false, now)) {
    return true;
  }
  // Outside its rack a task takes `remote_factor` times as long, so waiting for the rack up to that extra
  // time is no slower.
  const auto max_rack_wait = duration{
      static_cast<std::int64_t>(static_cast<double>(step.estimate.count()) * (opts.remote_factor - 1.0))};
  if (prefers_rack(step) && (urgent || now - placed.waiting_since >= max_rack_wait)) {
    if (const auto where = choose_workers(job, placed, true); !where.empty()) {
      start_unit(job, placed, where, now);
      return true;
    }
    if (urgent && preempt(job, placed, true, now)) {
      return true;
    }
  }
  if (urgent) {
    placed.not_before = now + detail::placement_pause;
  }
  return false;
}

void job_scheduler::implementation::release_reservation(unit& placed, const resource_amounts& each) {
  for (auto& one : placed.members) {
    if (one.phase != member_phase::reserved) {
      continue;
    }
    if (const auto found = workers.find(one.worker); found != workers.end()) {
      found->second.reserved -= each;
    }
    one = member{};
  }
  --reserved_units;
  placement_due = true;
}

void job_scheduler::implementation::start_reserved(instant now) {
  for (auto& [id, open] : open_jobs) {
    auto& job = *open;
    for (auto& each : job.units) {
      if (each.phase != unit_phase::reserved) {
        continue;
      }
      const auto& step = step_of(job, each);
      placement where;
      bool free = true;
      bool lost = now > each.reserved_until;
      std::map<worker_state*, resource_amounts> needed;
      for (const auto& one : each.members) {
        const auto found = workers.find(one.worker);
        if (found == workers.end() || !usable(found->second, now)) {
          lost = true;
          break;
        }
        where.push_back(&found->second);
        needed[&found->second] += occupied(step);
        free = free && (found->second.entry.capacity - found->second.used).covers(needed[&found->second]);
      }
      if (lost || free) {
        release_reservation(each, occupied(step));
        each.phase = unit_phase::waiting;
        mark_waiting(job, each);
      }
      if (!lost && free) {
        start_unit(job, each, where, now);
      }
    }
  }
}

}  // namespace rhubarbpath

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

/// Placement passes are at least this far apart, so that a burst of events costs one pass.
constexpr duration placement_interval{std::chrono::milliseconds{12}};
/// Bounds how late a unit is placed that became ready by time alone.
constexpr duration recheck_interval{std::chrono::milliseconds{50}};

/// Accelerators that waiting gangs may keep from later work, as a share of all.
constexpr double max_held_share = 0.25;

}  // namespace

// ---- order ----

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

/// Accelerators that each team's urgent work uses, and what the team is guaranteed.
const std::map<team_id, job_scheduler::implementation::team_share>&
job_scheduler::implementation::urgent_shares() {
  if (shares_of_pass) {
    return *shares_of_pass;
  }
  auto& shares = shares_of_pass.emplace();
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

/// Orders waiting work for a load above capacity: urgent work first, then what can still meet its
/// objective, then what is late but still of use, and last what can no longer be of use to its caller.
int job_scheduler::implementation::rank_of(const job_state& job, const step_spec& step, instant now) const {
  const auto priority =
      job.queue == nullptr ? 9 : static_cast<int>(std::min<std::int64_t>(job.queue->priority, 9));
  if (priority == 0) {
    return 0;
  }
  const auto ends = now + step.estimate;
  const auto allowed = job.objective - job.added_at;
  constexpr int on_time = 10;
  constexpr int late = 30;
  constexpr int hopeless = 50;
  if (ends <= job.objective) {
    return on_time + priority;
  }
  return (ends <= job.objective + allowed * 2 ? late : hopeless) + priority;
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

void job_scheduler::implementation::place_all(instant now) {
  next_placement = now + placement_interval;
  next_recheck = now + recheck_interval;
  pass_time = now;
  placement_due = false;
  const auto waiting = waiting_steps(now);
  if (waiting.empty()) {
    return;
  }
  build_pools(now);
  held.clear();
  held_accelerators = 0;
  spaces_of_pass.clear();
  shares_of_pass.reset();
  for (const auto& each : waiting) {
    place_step(each, now);
  }
}

/// The units of a step are alike, so the first that finds no place ends the step's turn.
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
        hold_space(job, each);
      }
      return;
    }
    step.first_waiting += index == step.first_waiting && all_placed ? 1 : 0;
  }
}

// ---- choice of workers ----

bool job_scheduler::implementation::usable(const worker_state& worker, instant now) const {
  return worker.listed && worker.reported && !worker.replaced && !worker.entry.draining &&
         worker.failed_renewals < detail::failed_renewals_unsafe && now >= worker.full_until &&
         stored_workers.contains(worker.entry.id);
}

namespace {

step_ref step_of_unit(const job_state& job, const unit& of) {
  return {.job = job.job.id, .occurrence = of.occurrence, .step = of.step};
}

}  // namespace

std::string job_scheduler::implementation::ticket_for(const worker_state& worker, const job_state& job,
                                                      const unit& placed) const {
  return tickets
      .ticket(step_of_unit(job, placed), {.worker = worker.entry.id, .born = worker.born}, pass_time)
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
  // Workers with room first; a worker without room now is asked about in time for when it has some.
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
  if (auto request = tickets.ask(step_of_unit(job, waiting), *job.queue->adviser, with_room,
                                 waiting.members.size(), now)) {
    record("advice_asked", job.job.id, "no known worker has room",
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
  self.record("advice_received", step.job, granted ? "answered" : "the call failed",
              {{"step", absl::StrCat(step.occurrence, ".", step.step)},
               {"workers", absl::StrCat(granted ? granted->size() : 0)}});
}

void job_scheduler::implementation::build_pools(instant now) {
  trusted = {};
  usable_workers = {};
  for (auto& [id, worker] : workers) {
    if (!usable(worker, now)) {
      continue;
    }
    usable_workers.all.push_back(&worker);
    usable_workers.racks[worker.entry.rack].push_back(&worker);
    if (now >= worker.suspect_until) {
      trusted.all.push_back(&worker);
      trusted.racks[worker.entry.rack].push_back(&worker);
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

/// Finds a worker for each member by best fit on accelerators, or returns nothing.
job_scheduler::implementation::placement job_scheduler::implementation::fit(
    const std::vector<worker_state*>& pool, const job_state& job, const unit& placed) const {
  const auto& step = step_of(job, placed);
  const auto need = occupied(step);
  struct room {
    worker_state* worker;
    resource_amounts free;
    std::uint32_t of_step;
  };
  std::vector<room> rooms;
  for (auto* worker : pool) {
    auto free = worker->entry.capacity - worker->used - worker->reserved;
    if (const auto kept = held.find(worker); kept != held.end()) {
      free -= kept->second;
    }
    if (free.covers(need) && may_run(*worker, job, placed)) {
      rooms.push_back({.worker = worker,
                       .free = free,
                       .of_step = step.max_per_worker == 0 ? 0 : tasks_of_step(*worker, job, placed)});
    }
  }
  placement where;
  where.reserve(placed.members.size());
  for (std::size_t index = 0; index < placed.members.size(); ++index) {
    room* best = nullptr;
    for (auto& each : rooms) {
      if (!each.free.covers(need) || (step.max_per_worker > 0 && each.of_step >= step.max_per_worker)) {
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
    ++best->of_step;
    where.push_back(best->worker);
  }
  return where;
}

/// The free places in one rack, the fullest rack first, so that empty racks stay whole.
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

job_scheduler::implementation::placement job_scheduler::implementation::choose(const job_state& job,
                                                                               const unit& placed,
                                                                               bool spread) const {
  const bool rack = prefers_rack(step_of(job, placed)) && !spread;
  for (const auto* pool : {&trusted, &usable_workers}) {
    if (auto where = rack ? fit_in_rack(*pool, job, placed) : fit(pool->all, job, placed); !where.empty()) {
      return where;
    }
  }
  return {};
}

job_scheduler::implementation::future_place job_scheduler::implementation::future_place_in(
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
      if (const auto kept = held.find(worker); kept != held.end()) {
        free -= kept->second;
      }
      rooms.push_back({.worker = worker, .free = free, .capacity = worker->entry.capacity});
    }
  }
  future_place result;
  for (std::size_t index = 0; index < waiting.members.size(); ++index) {
    room* pick = nullptr;
    std::int64_t pick_missing = 0;
    for (auto& each : rooms) {
      const auto lacks = std::max<std::int64_t>(0, need.accelerators - each.free.accelerators) +
                         (each.free.covers(need) ? 0 : 1);
      if (each.capacity.covers(need) && (pick == nullptr || lacks < pick_missing)) {
        pick = &each;
        pick_missing = lacks;
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

/// Keeps space for a gang that finds no place now from work that comes after it in the order. Without
/// this, small work fills each gap as it appears, and a gang of many workers never starts.
void job_scheduler::implementation::hold_space(const job_state& job, const unit& waiting) {
  const auto& step = step_of(job, waiting);
  std::int64_t offered = 0;
  for (const auto* worker : usable_workers.all) {
    offered += worker->entry.capacity.accelerators;
  }
  const auto limit = static_cast<std::int64_t>(static_cast<double>(offered) * max_held_share);
  if (held_accelerators + accelerators_of(job, waiting) > limit) {
    return;
  }
  future_place best;
  const auto consider = [&](const std::vector<worker_state*>& pool) {
    auto place = future_place_in(pool, job, waiting);
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
    held[worker] += need;
    held_accelerators += need.accelerators;
  }
}

// ---- start and reservation ----

void job_scheduler::implementation::start_unit(job_state& job, unit& starting, const placement& where,
                                               instant now) {
  // Terms are spaced apart so that a run of an unknown earlier start never gets the same number.
  constexpr std::uint64_t runs_per_term = 1000;
  const auto first_of_term = (term.value() - 1) * runs_per_term + 1;
  starting.run = run_number{std::max(starting.run.value() + 1, first_of_term)};
  starting.phase = unit_phase::active;
  starting.all_running_since = instant{};
  std::string names;
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
    absl::StrAppend(&names, index == 0 ? "" : ",", worker.entry.id.value());
  }
  forget_derived(where);
  record("unit_started", job.job.id, "placed",
         {{"step", absl::StrCat(starting.occurrence, ".", starting.step, ".", starting.number)},
          {"run", absl::StrCat(starting.run.value())},
          {"workers", std::move(names)}},
         now - starting.waiting_since);
}

bool job_scheduler::implementation::place(job_state& job, unit& placed, instant now) {
  const auto& step = step_of(job, placed);
  const bool urgent = job.queue->priority == 0;
  if (const auto where = choose(job, placed, false); !where.empty()) {
    start_unit(job, placed, where, now);
    return true;
  }
  if (urgent && preempt(job, placed, false, now)) {
    return true;
  }
  // Away from its rack a task takes several times as long, so waiting about that long is no worse.
  const auto patience = duration{
      static_cast<std::int64_t>(static_cast<double>(step.estimate.count()) * (opts.remote_factor - 1.0))};
  if (prefers_rack(step) && (urgent || now - placed.waiting_since >= patience)) {
    if (const auto where = choose(job, placed, true); !where.empty()) {
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
        note_waiting(job, each);
      }
      if (!lost && free) {
        start_unit(job, each, where, now);
      }
    }
  }
}

}  // namespace rhubarbpath

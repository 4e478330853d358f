#include <limits>

#include "absl/strings/str_cat.h"
#include "job_scheduler_impl.hpp"
#include "rhubarbpath/coordination/fair_share.hpp"

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
/// A pass looks at this many steps of a job, from the first one with a waiting unit on, to find those that it
/// considers. That first one can always run once the steps before it are done, so none is left behind.
constexpr std::size_t max_steps_scanned = 4096;
/// Bound on the searches in vain for one team during a pass.
constexpr std::size_t max_searches = 4096;
/// Searches of a pass without a pause after it, and the pause for each further one, so that the owner serves
/// others in between.
constexpr std::size_t free_searches = 512;
constexpr duration pause_per_search{std::chrono::microseconds{50}};
/// A worker with as many starts of a team that it has not confirmed gets no further ones of that team. They
/// are sent in order, so the tasks of others would wait behind them.
constexpr std::size_t max_starting = 64;
/// A job with nothing running waits for better space up to this long while half of the fleet is free. The
/// users accept 3 s; the rest is for the start.
constexpr duration max_stand_with_room{std::chrono::milliseconds{2000}};

}  // namespace

// ---- placement order ----

std::uint64_t job_scheduler::implementation::due_count(const job_graph& graph, instant now) const {
  if (graph.occurrences == 0) {
    return 1;
  }
  const auto late =
      wall + std::chrono::duration_cast<std::chrono::milliseconds>(now - wall_at) - graph.first_due;
  if (late.count() < 0) {
    return 0;
  }
  return graph.interval.count() <= 0 ? graph.occurrences
                                     : static_cast<std::uint64_t>(late / graph.interval) + 1;
}

bool job_scheduler::implementation::step_ready(const job_state& job,
                                               const detail::occurrence_state& occurrence,
                                               std::uint32_t step) {
  const auto& after = job.job.graph.steps[step].after;
  return std::all_of(after.begin(), after.end(),
                     [&](std::uint32_t before) { return occurrence.left[before] == 0; });
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
  for (const auto& [job, each] : active_units) {
    const bool urgent = job->queue != nullptr && job->queue->priority == 0 && !is_terminal(job->phase);
    if (urgent && (each->phase == unit_phase::active || each->phase == unit_phase::reserved)) {
      shares[job->job.team].used += accelerators_of(*job, *each);
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

void job_scheduler::implementation::add_waiting_steps(job_state& job, std::vector<waiting_step>& waiting,
                                                      instant now) {
  std::size_t considered = 0;
  std::size_t tasks = 0;
  for (auto& [number, occurrence] : job.units.open_occurrences()) {
    const auto step_count = static_cast<std::uint32_t>(occurrence.left.size());
    auto& first = occurrence.first_unplaced;
    while (first < step_count && !occurrence.has_waiting(first)) {
      ++first;
    }
    const auto end = static_cast<std::uint32_t>(std::min<std::size_t>(step_count, first + max_steps_scanned));
    for (auto step = first; step < end; ++step) {
      if (considered >= job_bounds::considered_steps || tasks >= job_bounds::considered_tasks) {
        return;
      }
      if (!occurrence.has_waiting(step) || !step_ready(job, occurrence, step)) {
        continue;
      }
      auto& state = job.units.open_step(occurrence, step);
      state.ready_since = state.ready_since.value_or(now);
      ++considered;
      tasks += job.units.shape(step).members;
      waiting.push_back({.job = &job,
                         .occurrence = &occurrence,
                         .step = step,
                         .rank = rank_of(job, job.job.graph.steps[step], now),
                         .objective = job.objective});
    }
  }
}

bool job_scheduler::implementation::pass_used_up(const team_id& team) const {
  const auto found = searches_by_team.find(team);
  return found != searches_by_team.end() && found->second >= max_searches;
}

void job_scheduler::implementation::note_search(const job_state& job, std::size_t cost) {
  searches += cost;
  searches_by_team[job.job.team] += cost;
}

std::vector<job_scheduler::implementation::waiting_step> job_scheduler::implementation::waiting_steps(
    instant now) {
  std::vector<waiting_step> waiting;
  for (auto& [id, open] : open_jobs) {
    auto& job = *open;
    if (is_terminal(job.phase) || job.queue == nullptr) {
      continue;
    }
    open_due_occurrences(job, now);
    add_waiting_steps(job, waiting, now);
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
  held_back.clear();
  held_back_total = {};
  unplaceable.clear();
  searches = 0;
  searches_by_team.clear();
  previous_plans = std::exchange(plans, {});
  refresh_spaces(now);
  space_cache.clear();
  share_cache.reset();
  advice_wants.clear();
  bool urgent_placed = false;
  for (const auto& each : waiting) {
    if (each.rank > 0 && !std::exchange(urgent_placed, true)) {
      hold_back_for_urgent(now);
    }
    if (!pass_used_up(each.job->job.team)) {
      place_step(each, now);
    }
  }
  ask_adviser(now);
  if (searches > free_searches) {
    next_placement += pause_per_search * (searches - free_searches);
    next_recheck = std::max(next_recheck, next_placement);
  }
}

/// Places the waiting units of a step. All units that have not run yet are alike, so the first of them that
/// does not fit ends the loop. Those that have run may wait for reasons of their own.
void job_scheduler::implementation::place_step(const waiting_step& waiting, instant now) {
  auto& job = *waiting.job;
  auto& occurrence = *waiting.occurrence;
  auto& step = job.units.open_step(occurrence, waiting.step);
  if (occurrence.inherited && recovery) {
    return;
  }
  bool all_placed = true;
  bool asked = false;
  const auto skip = [&](std::uint32_t to) { step.first_waiting = all_placed ? to : step.first_waiting; };
  for (auto number = step.next_open(step.first_waiting); number < step.unit_count;
       number = step.next_open(number + 1)) {
    auto& each = job.units.create(occurrence, waiting.step, number);
    if (each.phase != unit_phase::waiting) {
      skip(number + 1);
      continue;
    }
    if (now < each.not_before) {
      all_placed = false;
      continue;
    }
    if (each.inherited && blocked(job, each)) {
      each.wait = detail::run_of_previous_owner{};
      all_placed = false;
      continue;
    }
    if (!may_add_tasks(job, each.members.size())) {
      each.wait = detail::team_has_most_tasks{};
      return;
    }
    if (const auto wait = place(job, each, now)) {
      each.wait = *wait;
      if (job.queue->adviser && !std::exchange(asked, true)) {
        want_advice(job, each, waiting.rank, now);
      }
      if (job.job.graph.steps[waiting.step].gang) {
        hold_back_space(job, each, now);
      }
      if (each.run == run_number{} || job.queue->priority == 0) {
        return;
      }
      all_placed = false;
      continue;
    }
    skip(number + 1);
  }
  skip(step.unit_count);
}

// ---- choice of workers ----

bool job_scheduler::implementation::usable(const worker_state& worker, instant now) const {
  return worker.listed && worker.reported && !worker.replaced && !worker.evacuated &&
         !worker.entry.draining && worker.failed_renewals < detail::unusable_after_failed_renewals &&
         now >= worker.full_until && worker.stored && !worker.stored_as_leaving &&
         (!worker.report_wanted || now - *worker.report_wanted <= detail::max_report_wait) &&
         (!worker.set_aside || (worker.trial && worker.tasks.empty()));
}

bool job_scheduler::implementation::starts_enough(const worker_state& worker, const job_state& job) {
  const auto found = worker.starting.find(job.job.team);
  return found != worker.starting.end() && found->second >= max_starting;
}

std::uint32_t job_scheduler::implementation::allowance_on(const worker_state& worker, const job_state& job,
                                                          const unit& placed, advice_level level) const {
  const auto& step = step_of(job, placed);
  // The attempts of a unit are limited, so one that failed before is used for a trial only if it stands.
  const bool no_trial = worker.set_aside && !placed.failed_runs.empty() && !may_risk_trial(job, placed);
  if (starts_enough(worker, job) || !detail::has_required_label(worker, step) || no_trial ||
      !advice_permits(worker, job, placed, level)) {
    return 0;
  }
  if (worker.set_aside) {
    return worker.reserved_tasks.empty() ? 1 : 0;
  }
  if (step.max_per_worker == 0) {
    return std::numeric_limits<std::uint32_t>::max();
  }
  const auto present = tasks_of_step(worker, job, placed);
  return step.max_per_worker > present ? step.max_per_worker - present : 0;
}

detail::service_space* job_scheduler::implementation::space_for(const job_state& job) {
  const auto found = services.find(job.queue->service);
  return found == services.end() ? nullptr : &found->second;
}

std::uint32_t job_scheduler::implementation::tasks_of_step(const worker_state& worker, const job_state& job,
                                                           const unit& placed) const {
  const auto same_step = [&](const detail::assigned_task& task) {
    return task.job == &job && task.parent->occurrence == placed.occurrence &&
           task.parent->step == placed.step;
  };
  return static_cast<std::uint32_t>(
      std::count_if(worker.tasks.begin(), worker.tasks.end(), same_step) +
      std::count_if(worker.reserved_tasks.begin(), worker.reserved_tasks.end(), same_step));
}

bool job_scheduler::implementation::known_unplaceable(const unplaceable_request& request) const {
  return std::any_of(unplaceable.begin(), unplaceable.end(), [&](const unplaceable_request& failed) {
    return failed.in_rack == request.in_rack && request.wanted.each.covers(failed.wanted.each) &&
           request.wanted.members >= failed.wanted.members && failed.service == request.service &&
           failed.required_label == request.required_label && failed.data_rack == request.data_rack;
  });
}

job_scheduler::implementation::placement job_scheduler::implementation::choose_workers(const job_state& job,
                                                                                       const unit& placed,
                                                                                       bool spread,
                                                                                       advice_level level) {
  auto* space = space_for(job);
  if (space == nullptr) {
    return {};
  }
  const auto& step = step_of(job, placed);
  const bool rack = prefers_rack(step) && !spread;
  unplaceable_request request{.service = job.queue->service,
                              .required_label = step.required_label,
                              .data_rack = rack ? step.data_rack : std::string{},
                              .in_rack = rack,
                              .wanted = {.each = occupied(step),
                                         .members = static_cast<std::uint32_t>(placed.members.size()),
                                         .order = order_for(job, placed, pass_time)}};
  if (known_unplaceable(request)) {
    return {};
  }
  bool starts_limited = false;
  const auto allowed = [&](worker_slot at) {
    const auto allowance = allowance_on(space->at(at), job, placed, level);
    starts_limited = starts_limited || (allowance == 0 && starts_enough(space->at(at), job));
    return allowance;
  };
  const auto slots = rack ? space->index.fit_in_rack(request.wanted, step.data_rack, allowed)
                          : space->index.fit(request.wanted, allowed);
  placement where;
  where.reserve(slots.size());
  for (const auto at : slots) {
    where.push_back(&space->at(at));
  }
  if (where.empty()) {
    note_search(job, 1);
  }
  // With an adviser, a limit for each worker or earlier failures, a request fails for reasons of its own, and
  // with many starts for those of its team.
  if (where.empty() && !starts_limited && !job.queue->adviser && step.max_per_worker == 0 &&
      placed.failed_runs.empty()) {
    unplaceable.push_back(std::move(request));
  }
  return where;
}

// ---- starts and reservations ----

namespace {

/// How many of the tasks run outside the rack that the step prefers. A gang without data prefers that of its
/// first task.
std::size_t tasks_outside_rack(const step_spec& step, const std::vector<worker_state*>& where) {
  if (!prefers_rack(step) || where.empty()) {
    return 0;
  }
  const auto& preferred = step.data_rack.empty() ? where.front()->entry.rack.value() : step.data_rack;
  return static_cast<std::size_t>(std::count_if(where.begin(), where.end(), [&](const auto* worker) {
    return worker->entry.rack.value() != preferred;
  }));
}

}  // namespace

void job_scheduler::implementation::start_unit(job_state& job, unit& starting, const placement& where,
                                               instant now) {
  // Each term has its own range of run numbers, so that a new run never reuses the number of a start by an
  // earlier owner that this owner does not know of.
  constexpr std::uint64_t runs_per_term = 1000;
  const auto first_of_term = (term.value() - 1) * runs_per_term + 1;
  starting.run = run_number{std::max(starting.run.value() + 1, first_of_term)};
  starting.phase = unit_phase::active;
  starting.all_running = false;
  starting.reservation_failed = false;
  starting.wait = {};
  starting.speed_track = {};
  std::string worker_names;
  auto& used_of_service = services[job.queue->service].used;
  for (std::size_t index = 0; index < starting.members.size(); ++index) {
    auto& worker = *where[index];
    used_of_service += occupied(step_of(job, starting));
    starting.members[index] =
        member{.phase = member_phase::none, .worker = &worker, .run = starting.run, .checkpoint = {}};
    set_phase(job, starting.members[index], member_phase::starting);
    assign_member(job, starting, index);
    order_start(job, starting, index, now);
    absl::StrAppend(&worker_names, index == 0 ? "" : ",", worker.entry.id.value());
  }
  invalidate_caches(where);
  const auto slowest = std::max_element(where.begin(), where.end(), [](const auto* one, const auto* other) {
    return one->level < other->level;
  });
  record("unit_started", job.job.id, "placed",
         {{"step", absl::StrCat(starting.occurrence, ".", starting.step, ".", starting.number)},
          {"run", absl::StrCat(starting.run.value())},
          {"workers", std::move(worker_names)},
          {"estimate_ms", detail::millis_text(step_of(job, starting).estimate)},
          {"cores_milli", absl::StrCat(step_of(job, starting).each.cpu_millicores)},
          {"saves", step_of(job, starting).checkpointing ? "1" : "0"},
          {"outside_rack", absl::StrCat(tasks_outside_rack(step_of(job, starting), where))},
          {"speed", std::string{speed_level_name((*slowest)->level)}}},
         now - starting.waiting_since);
}

std::optional<detail::unit_wait> job_scheduler::implementation::place(job_state& job, unit& placed,
                                                                      instant now) {
  const auto& step = step_of(job, placed);
  const bool urgent = job.queue->priority == 0;
  if (auto where = choose_workers(job, placed, false); !where.empty()) {
    const auto here = slowness_on(where, now);
    const auto there = remote_slowness();
    if (urgent && prefers_rack(step) && here > there) {
      // Workers so slow that the run may end sooner outside its rack.
      auto others = choose_workers(job, placed, true);
      if (!others.empty() && slowness_on(others, now) + there < here) {
        where = std::move(others);
      }
    }
    start_or_reserve(job, placed, where, now);
    return std::nullopt;
  }
  const bool spread = prefers_rack(step) && may_spread(job, placed, now);
  // After a failed reservation, idle workers elsewhere are better than more stops in the rack.
  const bool elsewhere_first = spread && placed.reservation_failed;
  if (urgent && !elsewhere_first && preempt(job, placed, false, now)) {
    return std::nullopt;
  }
  if (spread) {
    if (const auto where = choose_workers(job, placed, true); !where.empty()) {
      start_or_reserve(job, placed, where, now);
      return std::nullopt;
    }
    if (urgent && preempt(job, placed, true, now)) {
      return std::nullopt;
    }
  }
  if (!held_back.empty() && overdue(job, now)) {
    release_held_back();
    if (const auto where = choose_workers(job, placed, true); !where.empty()) {
      start_or_reserve(job, placed, where, now);
      return std::nullopt;
    }
  }
  if (may_risk_trial(job, placed)) {
    begin_trials(job, placed, now);
  }
  if (urgent) {
    placed.not_before = now + detail::placement_pause;
  }
  if (prefers_rack(step) && !spread) {
    return detail::rack_is_full{.rack = step.data_rack};
  }
  return detail::no_free_space{};
}

bool job_scheduler::implementation::overdue(const job_state& job, instant now) const {
  const auto space = services.find(job.queue->service);
  return space != services.end() && space->second.half_free() && job.stands_since &&
         now - *job.stands_since >= max_stand_with_room;
}

bool job_scheduler::implementation::may_risk_trial(const job_state& job, const unit& placed) const {
  const auto limit = job.queue->max_attempts;
  const bool last_attempt =
      limit > 0 && placed.failed_runs.size() + 1 >= limit && !step_of(job, placed).long_running;
  // Runs that fail at once would use up all attempts before the job is seen to run.
  return !last_attempt && overdue(job, pass_time) && pass_time - placed.waiting_since >= max_stand_with_room;
}

void job_scheduler::implementation::begin_trials(const job_state& job, const unit& placed, instant now) {
  const auto* space = space_for(job);
  const auto& step = step_of(job, placed);
  auto left = placed.members.size();
  for (const auto* worker : space->workers) {
    const bool suited = worker != nullptr && worker->listed && worker->set_aside && !worker->trial &&
                        worker->tasks.empty() && !worker->evacuated && !worker->entry.draining &&
                        worker->failed_renewals == 0 && detail::has_required_label(*worker, step) &&
                        worker->entry.capacity.covers(occupied(step));
    if (suited && left > 0) {
      --left;
      update_health(worker_health::trial_needed{worker->entry.id}, now);
    }
  }
}

bool job_scheduler::implementation::fits_an_empty_rack(const job_state& job, const unit& placed) {
  const auto* space = space_for(job);
  if (space == nullptr) {
    return false;
  }
  const auto& step = step_of(job, placed);
  const auto [known, inserted] = empty_rack_fits.try_emplace({.service = job.queue->service,
                                                              .required_label = step.required_label,
                                                              .data_rack = step.data_rack,
                                                              .max_per_worker = step.max_per_worker,
                                                              .each = occupied(step),
                                                              .members = placed.members.size()});
  if (inserted) {
    known->second = fits_an_empty_rack(*space, step, placed.members.size());
  }
  return known->second;
}

bool job_scheduler::implementation::fits_an_empty_rack(const detail::service_space& space,
                                                       const step_spec& step, std::size_t members) {
  const auto need = occupied(step);
  absl::flat_hash_map<std::string_view, std::size_t> room_by_rack;
  for (const auto* worker : space.workers) {
    if (worker == nullptr || !worker->listed || worker->replaced || worker->evacuated ||
        worker->entry.draining || !detail::has_required_label(*worker, step)) {
      continue;
    }
    const auto& rack = worker->entry.rack.value();
    if (!step.data_rack.empty() && rack != step.data_rack) {
      continue;
    }
    auto& room = room_by_rack[rack];
    auto free = worker->entry.capacity;
    for (std::uint32_t taken = 0;
         room < members && free.covers(need) && (step.max_per_worker == 0 || taken < step.max_per_worker);
         ++taken) {
      free -= need;
      ++room;
    }
    if (room >= members) {
      return true;
    }
  }
  return false;
}

bool job_scheduler::implementation::may_spread(const job_state& job, const unit& placed, instant now) {
  // Outside its rack a task takes `remote_factor` times as long, so waiting for the rack up to that extra
  // time is no slower.
  const auto max_rack_wait = duration{static_cast<std::int64_t>(
      static_cast<double>(step_of(job, placed).estimate.count()) * (opts.remote_factor - 1.0))};
  return job.queue->priority == 0 || now - placed.waiting_since >= max_rack_wait || overdue(job, now) ||
         !fits_an_empty_rack(job, placed);
}

bool job_scheduler::implementation::may_add_tasks(const job_state& job, std::size_t count) const {
  const auto found = task_count_by_team.find(job.job.team);
  const auto own = found == task_count_by_team.end() ? 0 : found->second;
  const auto left = opts.max_tasks - std::min(opts.max_tasks, task_count);
  // The first unit of a team may take all that is left, so that a large gang can run at all.
  return own == 0 ? count <= left : leaves_as_much_for_others(own, count, left);
}

void job_scheduler::implementation::count_tasks(const job_state& job, std::ptrdiff_t change) {
  task_count += static_cast<std::size_t>(change);
  task_count_by_team[job.job.team] += static_cast<std::size_t>(change);
}

void job_scheduler::implementation::start_or_reserve(job_state& job, unit& placed, const placement& where,
                                                     instant now) {
  bool all_reported = true;
  for (auto* worker : where) {
    if (must_report(*worker, placed, now)) {
      all_reported = false;
      request_report(*worker, now);
    }
  }
  if (all_reported) {
    start_unit(job, placed, where, now);
  } else {
    reserve(job, placed, where, now);
  }
}

void job_scheduler::implementation::reserve(job_state& job, unit& placed, const placement& where,
                                            instant now) {
  placed.phase = unit_phase::reserved;
  placed.tickets_renewed = false;
  ++reserved_units;
  placed.reserved_until = now + detail::reservation_timeout;
  const auto need = occupied(step_of(job, placed));
  for (std::size_t index = 0; index < placed.members.size(); ++index) {
    auto& worker = *where[index];
    placed.members[index] =
        member{.phase = member_phase::reserved, .worker = &worker, .run = {}, .checkpoint = {}};
    worker.reserved += need;
    worker.reserved_tasks.push_back({.job = &job, .parent = &placed, .index = index});
  }
  count_tasks(job, static_cast<std::ptrdiff_t>(placed.members.size()));
  track(job, placed);
  invalidate_caches(where);
}

void job_scheduler::implementation::release_reservation(const job_state& job, unit& placed) {
  const auto each = occupied(step_of(job, placed));
  for (auto& one : placed.members) {
    if (one.phase != member_phase::reserved) {
      continue;
    }
    one.worker->reserved -= each;
    std::erase_if(one.worker->reserved_tasks, [&](const auto& task) { return task.parent == &placed; });
    one = member{};
    count_tasks(job, -1);
  }
  --reserved_units;
  placement_due = true;
}

void job_scheduler::implementation::start_reserved(instant now) {
  // Iterates over a copy, because starting a unit changes the list.
  std::vector<std::pair<job_state*, unit*>> reserved;
  std::copy_if(active_units.begin(), active_units.end(), std::back_inserter(reserved),
               [](const auto& active) { return active.second->phase == unit_phase::reserved; });
  for (const auto& [job, each] : reserved) {
    const auto need = occupied(step_of(*job, *each));
    placement where;
    bool free = true;
    bool lost = now > each->reserved_until || job->queue == nullptr;
    absl::flat_hash_map<const worker_state*, resource_amounts> needed;
    for (const auto& one : each->members) {
      if (!usable(*one.worker, now)) {
        lost = true;
        break;
      }
      if (must_report(*one.worker, *each, now)) {
        request_report(*one.worker, now);
        free = false;
      }
      where.push_back(one.worker);
      needed[one.worker] += need;
      free = free && (one.worker->entry.capacity - one.worker->used).covers(needed[one.worker]);
    }
    if (!lost && free && !all_have_tickets(*job, *each, now)) {
      renew_tickets(*job, *each, now);
      free = false;
    }
    if (lost || free) {
      release_reservation(*job, *each);
      each->phase = unit_phase::waiting;
      each->reservation_failed = lost;
      mark_waiting(*job, *each);
    }
    if (!lost && free) {
      start_unit(*job, *each, where, now);
    }
  }
}

}  // namespace rhubarbpath

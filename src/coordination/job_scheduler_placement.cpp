#include "absl/strings/str_cat.h"
#include "job_scheduler_impl.hpp"

namespace rhubarbpath {

using detail::job_state;
using detail::member;
using detail::member_phase;
using detail::unit;
using detail::unit_phase;
using detail::worker_state;

namespace {

/// Placement passes are at least this far apart, so that a burst of events costs one pass.
constexpr duration placement_interval{std::chrono::milliseconds{8}};
/// Bounds how late a unit is placed that became ready by time alone.
constexpr duration recheck_interval{std::chrono::milliseconds{50}};

/// The worker belongs to the queue's service and has the label that the step asks for.
bool serves(const worker_state& worker, const job_state& job, const step_spec& step) {
  const auto& labels = worker.entry.labels;
  return worker.entry.service == job.queue->service &&
         (step.required_label.empty() ||
          std::find(labels.begin(), labels.end(), step.required_label) != labels.end());
}

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
std::map<team_id, job_scheduler::implementation::team_share>
job_scheduler::implementation::urgent_shares() const {
  std::map<team_id, team_share> shares;
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
  placement_due = false;
  const auto waiting = waiting_steps(now);
  if (waiting.empty()) {
    return;
  }
  build_pools(now);
  for (const auto& each : waiting) {
    place_step(each, now);
  }
}

/// The units of a step are alike, so the first that finds no place ends the step's turn.
void job_scheduler::implementation::place_step(const waiting_step& waiting, instant now) {
  auto& job = *waiting.job;
  auto& step = *waiting.step;
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
    const auto free = worker->entry.capacity - worker->used - worker->reserved;
    if (free.covers(need) && serves(*worker, job, step)) {
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

job_scheduler::implementation::placement job_scheduler::implementation::choose(const job_state& job,
                                                                               const unit& placed,
                                                                               instant now) {
  const auto& step = step_of(job, placed);
  const bool urgent = job.queue->priority == 0;
  for (const auto* pool : {&trusted, &usable_workers}) {
    if (!step.data_rack.empty() || (step.gang && step.same_rack)) {
      placement best;
      std::int64_t best_free = 0;
      for (const auto& [rack, members] : pool->racks) {
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
      if (!best.empty()) {
        return best;
      }
    }
    // Away from its rack a task takes several times as long, so waiting about that long is no worse.
    const bool prefers_rack = !step.data_rack.empty() || (step.gang && step.same_rack);
    const auto patience = duration{
        static_cast<std::int64_t>(static_cast<double>(step.estimate.count()) * (opts.remote_factor - 1.0))};
    if (prefers_rack && !urgent && now - placed.waiting_since < patience) {
      continue;
    }
    if (auto where = fit(pool->all, job, placed); !where.empty()) {
      return where;
    }
  }
  return {};
}

// ---- start, reservation, preemption ----

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
                                     .ordered_at = now,
                                     .percent_changed = now,
                                     .checkpoint = {}};
    worker.used += occupied(step_of(job, starting));
    worker.tasks[task_of(job, starting, index)] = starting.run;
    order_start(job, starting, index, now);
    absl::StrAppend(&names, index == 0 ? "" : ",", worker.entry.id.value());
  }
  const auto waited =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - starting.waiting_since).count();
  record("unit_started", job.job.id, "placed",
         {{"step", absl::StrCat(starting.occurrence, ".", starting.step, ".", starting.number)},
          {"run", absl::StrCat(starting.run.value())},
          {"workers", std::move(names)},
          {"waited_ms", absl::StrCat(waited)}});
}

bool job_scheduler::implementation::place(job_state& job, unit& placed, instant now) {
  if (const auto where = choose(job, placed, now); !where.empty()) {
    start_unit(job, placed, where, now);
    return true;
  }
  if (job.queue->priority != 0) {
    return false;
  }
  if (preempt(job, placed, now)) {
    return true;
  }
  placed.not_before = now + detail::placement_pause;
  return false;
}

void job_scheduler::implementation::release_reservation(unit& held, const resource_amounts& each,
                                                        instant /*now*/) {
  for (auto& one : held.members) {
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
        release_reservation(each, occupied(step), now);
        each.phase = unit_phase::waiting;
        note_waiting(job, each);
      }
      if (!lost && free) {
        start_unit(job, each, where, now);
      }
    }
  }
}

/// Frees space for urgent work within its team's guarantee by stopping less urgent units, the ones that
/// lose least work first. The space is reserved until the ends of the stopped runs are listed.
bool job_scheduler::implementation::preempt(job_state& job, unit& placed, instant now) {
  const auto& step = step_of(job, placed);
  auto shares = urgent_shares();
  const auto& own = shares[job.job.team];
  if (own.used >= own.guaranteed) {
    return false;
  }
  // Urgent work of a team above its guarantee runs on what others are guaranteed; it goes only for work
  // that fits wholly into its own team's guarantee.
  const bool whole_claim = own.used + accelerators_of(job, placed) <= own.guaranteed;
  const auto lent = [&](const job_state& owner, const unit& target) {
    if (owner.queue->priority > 0) {
      return true;
    }
    const auto& share = shares[owner.job.team];
    return whole_claim && owner.job.team != job.job.team &&
           share.used - accelerators_of(owner, target) >= share.guaranteed;
  };
  const auto need = occupied(step);
  struct victim {
    job_state* job;
    unit* target;
    double loss;
  };
  struct space {
    worker_state* worker;
    resource_amounts free;
    std::vector<victim> victims;
  };
  std::vector<space> spaces;
  for (auto* worker : usable_workers.all) {
    if (!serves(*worker, job, step)) {
      continue;
    }
    space each{
        .worker = worker, .free = worker->entry.capacity - worker->used - worker->reserved, .victims = {}};
    for (const auto& [task, run] : worker->tasks) {
      std::uint32_t index = 0;
      auto* target = find_unit(task, &index);
      auto* owner = find_job(task.job);
      if (target == nullptr || owner->queue == nullptr) {
        continue;
      }
      const auto& victim_step = step_of(*owner, *target);
      if (target->phase == unit_phase::ending || target->phase == unit_phase::done) {
        each.free += occupied(victim_step);
        continue;
      }
      if (!lent(*owner, *target) || target->phase != unit_phase::active || victim_step.long_running) {
        continue;
      }
      const auto& one = target->members[index];
      const auto done_share = static_cast<double>(one.percent) / 100.0;
      const double per_member = static_cast<double>(victim_step.estimate.count()) * done_share *
                                (victim_step.checkpointing ? 0.3 : 1.0) *
                                static_cast<double>(8 * victim_step.each.accelerators + 1);
      // Urgent work of another team is taken only where nothing else frees the space.
      constexpr double urgent_weight = 100.0;
      const double weight = owner->queue->priority > 0 ? 1.0 : urgent_weight;
      each.victims.push_back(
          {.job = owner,
           .target = target,
           .loss = weight * (per_member + 1.0) * static_cast<double>(target->members.size())});
    }
    std::sort(each.victims.begin(), each.victims.end(),
              [](const victim& left, const victim& right) { return left.loss < right.loss; });
    spaces.push_back(std::move(each));
  }
  std::vector<space*> where;
  std::map<unit*, job_state*> chosen;
  std::map<const worker_state*, std::uint32_t> of_step;
  for (std::size_t index = 0; index < placed.members.size(); ++index) {
    space* best = nullptr;
    double best_loss = 0;
    std::vector<victim> best_victims;
    for (auto& each : spaces) {
      if (step.max_per_worker > 0 &&
          tasks_of_step(*each.worker, job, placed) + of_step[each.worker] >= step.max_per_worker) {
        continue;
      }
      auto free = each.free;
      double loss = 0;
      std::vector<victim> victims;
      for (const auto& one : each.victims) {
        if (free.covers(need)) {
          break;
        }
        if (chosen.contains(one.target) || !lent(*one.job, *one.target)) {
          continue;
        }
        free += occupied(step_of(*one.job, *one.target));
        loss += one.loss;
        victims.push_back(one);
      }
      if (free.covers(need) && (best == nullptr || loss < best_loss)) {
        best = &each;
        best_loss = loss;
        best_victims = std::move(victims);
      }
    }
    if (best == nullptr) {
      return false;
    }
    for (const auto& one : best_victims) {
      if (!chosen.emplace(one.target, one.job).second) {
        continue;
      }
      if (one.job->queue->priority == 0) {
        shares[one.job->job.team].used -= accelerators_of(*one.job, *one.target);
      }
      // All members of the victim leave, on this worker and on others.
      for (const auto& left : one.target->members) {
        for (auto& each : spaces) {
          if (each.worker->entry.id == left.worker) {
            each.free += occupied(step_of(*one.job, *one.target));
          }
        }
      }
    }
    best->free -= need;
    ++of_step[best->worker];
    where.push_back(best);
  }
  for (const auto& [target, owner] : chosen) {
    record("unit_preempted", owner->job.id, absl::StrCat("for ", job.job.id.value()),
           {{"step", absl::StrCat(target->occurrence, ".", target->step, ".", target->number)}});
    end_unit(*owner, *target, now);
  }
  placed.phase = unit_phase::reserved;
  ++reserved_units;
  placed.reserved_until = now + detail::reservation_timeout;
  for (std::size_t index = 0; index < placed.members.size(); ++index) {
    auto& worker = *where[index]->worker;
    placed.members[index] =
        member{.phase = member_phase::reserved, .worker = worker.entry.id, .run = {}, .checkpoint = {}};
    worker.reserved += need;
  }
  return true;
}

}  // namespace rhubarbpath

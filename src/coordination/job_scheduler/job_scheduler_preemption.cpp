#include <limits>

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

/// Weight of an accelerator in the lost work, in cores.
constexpr double cores_per_accelerator = 8.0;
/// Share of its work that a checkpointing task loses when it is stopped.
constexpr double lost_share_with_checkpoint = 0.3;
/// Factor on the lost work of tasks that last until they are cancelled: others are stopped first.
constexpr double lasting_loss_factor = 10.0;
/// Factor on the lost work of urgent units, so that urgent work of another team is preempted only as a last
/// resort.
constexpr double urgent_loss_factor = 100.0;

/// Of one task, with accelerators in cores.
double cores_of(const step_spec& step) {
  return cores_per_accelerator * static_cast<double>(step.each.accelerators) +
         static_cast<double>(step.each.cpu_millicores) / 1000.0;
}

/// Returns the work that is lost when the unit is stopped, in core seconds, estimated from the progress of
/// one of its members.
double lost_work_of(const step_spec& step, const unit& target, const member& one) {
  const double done = static_cast<double>(one.percent) / 100.0;
  const double lost_share = step.checkpointing ? lost_share_with_checkpoint : 1.0;
  const double cores = cores_of(step);
  // A preempted unit must wait and start again, which has a cost even if it has made no progress.
  constexpr double restart_seconds = 0.3;
  const double seconds =
      std::chrono::duration<double>{step.estimate}.count() * done * lost_share + restart_seconds;
  return seconds * cores * static_cast<double>(target.members.size());
}

}  // namespace

const job_scheduler::implementation::preemptible_space& job_scheduler::implementation::preemptible_space_on(
    worker_state& worker) {
  const auto [place, inserted] = space_cache.try_emplace(&worker);
  auto& result = place->second;
  if (!inserted) {
    return result;
  }
  result.worker = &worker;
  if (worker.level > speed_level::normal) {
    constexpr std::chrono::milliseconds unit{1000};
    const auto longer = scaled(unit, speeds.aged(worker.speed, pass_time).slowness) - unit;
    result.delay = std::chrono::duration<double>{longer}.count();
  }
  result.free = worker.entry.capacity - worker.used - worker.reserved;
  for (const auto& [victim_job, target, index] : worker.tasks) {
    if (victim_job->queue == nullptr) {
      continue;
    }
    const auto& step = step_of(*victim_job, *target);
    if (target->phase == unit_phase::ending || target->phase == unit_phase::done) {
      // A stop that had to be repeated may take long.
      const auto& ending = target->members[index];
      const bool ends_soon = ending.phase != member_phase::stopping || ending.attempts <= 1;
      result.free += ends_soon ? occupied(step) : resource_amounts{};
      continue;
    }
    const bool urgent = victim_job->queue->priority == 0;
    if (target->phase != unit_phase::active) {
      continue;
    }
    const double loss_factor =
        (urgent ? urgent_loss_factor : 1.0) * (step.long_running ? lasting_loss_factor : 1.0);
    result.victims.push_back(
        {.job = victim_job,
         .target = target,
         .lost_work = loss_factor * lost_work_of(step, *target, target->members[index])});
  }
  std::sort(result.victims.begin(), result.victims.end(),
            [](const victim& left, const victim& right) { return left.lost_work < right.lost_work; });
  return result;
}

/// Which units may be stopped for one urgent unit. Follows those that have been chosen.
class job_scheduler::implementation::stop_limits {
 public:
  using planned_stops = std::map<const unit*, const job_state*>;

  stop_limits(std::map<team_id, team_share> shares, const job_state& job, const unit& placed)
      : shares_{std::move(shares)}, team_{job.job.team} {
    const auto own = shares_[team_];
    within_guarantee_ = own.used + accelerators_of(job, placed) <= own.guaranteed;
  }

  /// `planned` are the units that would be stopped as well, and are not chosen yet.
  [[nodiscard]] bool allows(const victim& one, const planned_stops& planned) {
    if (is_chosen(one)) {
      return false;
    }
    if (planned.contains(one.target)) {
      return true;
    }
    if (step_of(*one.job, *one.target).long_running && !allows_lasting(one, planned)) {
      return false;
    }
    return one.job->queue->priority > 0 || allows_urgent(one, planned);
  }

  /// Returns whether the unit was not chosen before.
  bool choose(const victim& one) {
    if (is_chosen(one)) {
      return false;
    }
    chosen_.emplace_back(one.target, one.job);
    if (one.job->queue->priority == 0) {
      shares_[one.job->job.team].used -= accelerators_of(*one.job, *one.target);
    }
    if (const auto left = stoppable_.find({one.job, one.target->step}); left != stoppable_.end()) {
      left->second -= one.target->members.size();
    }
    return true;
  }

  [[nodiscard]] std::vector<std::pair<unit*, job_state*>> take_chosen() { return std::move(chosen_); }

 private:
  [[nodiscard]] bool is_chosen(const victim& one) const {
    return std::any_of(chosen_.begin(), chosen_.end(),
                       [&](const auto& chosen) { return chosen.first == one.target; });
  }
  bool allows_lasting(const victim& one, const planned_stops& planned) {
    const auto [left, inserted] = stoppable_.try_emplace({one.job, one.target->step});
    if (inserted) {
      left->second = stoppable_lasting_tasks(*one.job, one.target->occurrence, one.target->step);
    }
    auto stopped = one.target->members.size();
    for (const auto& [target, job] : planned) {
      const bool same_step = job == one.job && target->step == one.target->step;
      stopped += same_step ? target->members.size() : 0;
    }
    return within_guarantee_ && stopped <= left->second;
  }

  /// Urgent work of a team above its guarantee uses capacity that is guaranteed to other teams. It is
  /// stopped only for a unit that fits entirely within its own team's guarantee.
  bool allows_urgent(const victim& one, const planned_stops& planned) {
    const auto& team = one.job->job.team;
    const auto& share = shares_[team];
    auto used = share.used - accelerators_of(*one.job, *one.target);
    for (const auto& [target, job] : planned) {
      const bool same_share = job->queue->priority == 0 && job->job.team == team;
      used -= same_share ? accelerators_of(*job, *target) : 0;
    }
    return within_guarantee_ && team != team_ && used >= share.guaranteed;
  }

  std::map<team_id, team_share> shares_;
  team_id team_;
  bool within_guarantee_{false};
  /// Number of tasks of a lasting step that may still be kept from running.
  std::map<std::pair<const job_state*, std::uint32_t>, std::size_t> stoppable_;
  /// Ordered by choice, not by address, so that a seeded run repeats.
  std::vector<std::pair<unit*, job_state*>> chosen_;
};

job_scheduler::implementation::member_plan job_scheduler::implementation::plan_member(
    const std::vector<const preemptible_space*>& spaces, const free_map& free_by_worker,
    const resource_amounts& need, stop_limits& limits, double delay_cost,
    absl::FunctionRef<bool(const preemptible_space&)> may_use) {
  member_plan best;
  for (const auto* each : spaces) {
    if (!may_use(*each)) {
      continue;
    }
    auto free = free_by_worker.at(each->worker);
    member_plan plan{.where = each, .victims = {}, .cost = {}};
    stop_limits::planned_stops planned;
    for (const auto& one : each->victims) {
      if (free.covers(need)) {
        break;
      }
      if (limits.allows(one, planned)) {
        free += occupied(step_of(*one.job, *one.target));
        plan.cost.first += one.lost_work;
        plan.victims.push_back(one);
        planned.emplace(one.target, one.job);
      }
    }
    plan.cost.first += each->delay * delay_cost;
    plan.cost.second = free.accelerators;
    if (free.covers(need) && (best.where == nullptr || plan.cost < best.cost)) {
      best = std::move(plan);
    }
  }
  return best;
}

std::uint32_t job_scheduler::implementation::stoppable_lasting_tasks(const job_state& job,
                                                                     std::uint32_t occurrence,
                                                                     std::uint32_t step) {
  const auto& spec = job.job.graph.steps[step];
  if (spec.max_unavailable == 0) {
    return std::numeric_limits<std::uint32_t>::max();
  }
  // A step with a task that may be stopped has state.
  const auto& state = job.units.find_occurrence(occurrence)->steps.at(step);
  std::uint32_t available = 0;
  for (const auto& [number, each] : state.units) {
    // A task is at work once it has started up completely.
    constexpr int whole = 100;
    available += static_cast<std::uint32_t>(std::count_if(
        each.members.begin(), each.members.end(),
        [](const member& one) { return one.phase == member_phase::running && one.percent == whole; }));
  }
  const auto unavailable = spec.count - std::min(spec.count, available);
  return spec.max_unavailable - std::min(spec.max_unavailable, unavailable);
}

/// A search that also looks at what runs, in units of one for free space.
constexpr std::size_t preemption_cost = 8;

/// Greedily finds a worker for every member with little lost work. Returns nothing if not all fit.
std::optional<job_scheduler::implementation::preemption> job_scheduler::implementation::plan_preemption(
    const std::vector<const preemptible_space*>& spaces, const job_state& job, const unit& placed) {
  const auto& step = step_of(job, placed);
  const auto need = occupied(step);
  free_map free_by_worker;
  for (const auto* each : spaces) {
    free_by_worker[each->worker] = each->free;
  }
  preemption plan;
  stop_limits limits{urgent_shares(), job, placed};
  std::map<const worker_state*, std::uint32_t> planned_tasks;
  // What a longer run costs, in the same core seconds as the work that stops lose.
  const double delay_cost =
      std::chrono::duration<double>{speeds.expected(job.job.queue, step.estimate)}.count() * cores_of(step);
  const auto may_use = [&](const preemptible_space& each) {
    return step.max_per_worker == 0 ||
           tasks_of_step(*each.worker, job, placed) + planned_tasks[each.worker] < step.max_per_worker;
  };
  for (std::size_t index = 0; index < placed.members.size(); ++index) {
    const auto chosen = plan_member(spaces, free_by_worker, need, limits, delay_cost, may_use);
    if (chosen.where == nullptr) {
      return std::nullopt;
    }
    plan.lost_work += chosen.cost.first;
    for (const auto& one : chosen.victims) {
      if (!limits.choose(one)) {
        continue;
      }
      // Preempting a unit frees the space of all its members, also on other workers.
      for (const auto& stopped : one.target->members) {
        if (const auto found = free_by_worker.find(stopped.worker); found != free_by_worker.end()) {
          found->second += occupied(step_of(*one.job, *one.target));
        }
      }
    }
    free_by_worker[chosen.where->worker] -= need;
    ++planned_tasks[chosen.where->worker];
    plan.where.push_back(chosen.where->worker);
  }
  plan.victims = limits.take_chosen();
  return plan;
}

void job_scheduler::implementation::invalidate_caches(const std::vector<worker_state*>& changed) {
  for (auto* worker : changed) {
    space_cache.erase(worker);
    refresh_space(*worker);
  }
  share_cache.reset();
}

std::optional<job_scheduler::implementation::preemption> job_scheduler::implementation::find_preemption(
    const job_state& job, const unit& placed, bool spread, advice_level level) {
  auto* space = space_for(job);
  if (space == nullptr) {
    return std::nullopt;
  }
  const auto& step = step_of(job, placed);
  const bool in_rack = detail::prefers_rack(step) && !spread;
  const auto racks =
      space->index.emptiest_racks(max_preemption_racks, in_rack ? step.data_rack : std::string{});
  std::optional<preemption> best;
  std::vector<const preemptible_space*> spaces;
  const auto consider = [&] {
    auto plan = plan_preemption(spaces, job, placed);
    if (plan && (!best || plan->lost_work < best->lost_work)) {
      best = std::move(plan);
    }
  };
  for (const auto& rack : racks) {
    for (const auto at : rack) {
      auto& worker = space->at(at);
      if (allowance_on(worker, job, placed, level) > 0) {
        spaces.push_back(&preemptible_space_on(worker));
      }
    }
    if (in_rack) {
      consider();
      spaces.clear();
    }
  }
  if (!in_rack) {
    consider();
  }
  if (!best) {
    note_search(job, preemption_cost);
  }
  return best;
}

/// Frees space for an urgent unit. The space stays reserved until the workers report that the stopped runs
/// have ended.
bool job_scheduler::implementation::preempt(job_state& job, unit& placed, bool spread, instant now) {
  const auto best = find_preemption(job, placed, spread);
  if (!best) {
    return false;
  }
  // The victims may have members on workers outside the plan.
  for (const auto& [target, victim_job] : best->victims) {
    for (const auto& one : target->members) {
      space_cache.erase(one.worker);
    }
  }
  invalidate_caches(best->where);
  for (const auto& [target, victim_job] : best->victims) {
    record("unit_preempted", victim_job->job.id, absl::StrCat("for ", job.job.id.value()),
           {{"step", absl::StrCat(target->occurrence, ".", target->step, ".", target->number)},
            {"percent", absl::StrCat(target->members.front().percent)}});
    end_unit(*victim_job, *target, now);
  }
  reserve(job, placed, best->where, now);
  return true;
}

}  // namespace rhubarbpath

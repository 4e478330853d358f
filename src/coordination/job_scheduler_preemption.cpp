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

/// An accelerator counts as this many cores in the work that is lost.
constexpr double cores_per_accelerator = 8.0;
/// Share of a checkpointing task's work that is lost when it is stopped.
constexpr double lost_with_checkpoint = 0.3;
/// Urgent work of another team is stopped only where nothing else frees the space.
constexpr double urgent_weight = 100.0;

/// Work that is lost when the unit is stopped, judged by one of its members.
double loss_of(const step_spec& step, const unit& target, const member& one) {
  const double done = static_cast<double>(one.percent) / 100.0;
  const double kept = step.checkpointing ? lost_with_checkpoint : 1.0;
  const double cores = cores_per_accelerator * static_cast<double>(step.each.accelerators) +
                       static_cast<double>(step.each.cpu_millicores) / 1000.0;
  // A stopped unit also waits and starts again, which costs even if it has done nothing yet.
  constexpr double restart_seconds = 0.3;
  const double seconds = std::chrono::duration<double>{step.estimate}.count() * done * kept + restart_seconds;
  return seconds * cores * static_cast<double>(target.members.size());
}

}  // namespace

const job_scheduler::implementation::space& job_scheduler::implementation::space_on(worker_state& worker) {
  const auto [place, made] = spaces_of_pass.try_emplace(&worker);
  auto& result = place->second;
  if (!made) {
    return result;
  }
  result.worker = &worker;
  result.free = worker.entry.capacity - worker.used - worker.reserved;
  for (const auto& [task, run] : worker.tasks) {
    std::uint32_t index = 0;
    auto* target = find_unit(task, &index);
    auto* owner = find_job(task.job);
    if (target == nullptr || owner->queue == nullptr) {
      continue;
    }
    const auto& step = step_of(*owner, *target);
    if (target->phase == unit_phase::ending || target->phase == unit_phase::done) {
      result.free += occupied(step);
      continue;
    }
    const bool urgent = owner->queue->priority == 0;
    if (target->phase != unit_phase::active || step.long_running) {
      continue;
    }
    const double weight = urgent ? urgent_weight : 1.0;
    result.victims.push_back(
        {.job = owner, .target = target, .loss = weight * loss_of(step, *target, target->members[index])});
  }
  std::sort(result.victims.begin(), result.victims.end(),
            [](const victim& left, const victim& right) { return left.loss < right.loss; });
  return result;
}

job_scheduler::implementation::member_plan job_scheduler::implementation::plan_member(
    const std::vector<const space*>& spaces, const free_table& free_on, const resource_amounts& need,
    const std::function<bool(const victim&)>& may_stop, const std::function<bool(const space&)>& may_use) {
  member_plan best;
  for (const auto* each : spaces) {
    if (!may_use(*each)) {
      continue;
    }
    auto free = free_on.at(each->worker->entry.id);
    member_plan plan{.where = each, .victims = {}, .cost = {}};
    for (const auto& one : each->victims) {
      if (free.covers(need)) {
        break;
      }
      if (may_stop(one)) {
        free += occupied(step_of(*one.job, *one.target));
        plan.cost.first += one.loss;
        plan.victims.push_back(one);
      }
    }
    plan.cost.second = free.accelerators;
    if (free.covers(need) && (best.where == nullptr || plan.cost < best.cost)) {
      best = std::move(plan);
    }
  }
  return best;
}

/// Finds a place for every member among `spaces` with little lost work, or nothing.
std::optional<job_scheduler::implementation::preemption> job_scheduler::implementation::plan_preemption(
    const std::vector<const space*>& spaces, const job_state& job, const unit& placed) {
  const auto& step = step_of(job, placed);
  const auto need = occupied(step);
  auto shares = urgent_shares();
  const auto own = shares[job.job.team];
  free_table free_on;
  for (const auto* each : spaces) {
    free_on[each->worker->entry.id] = each->free;
  }
  preemption plan;
  // Urgent work of a team above its guarantee runs on what others are guaranteed; it goes only for work
  // that fits wholly into its own team's guarantee.
  const bool whole_claim = own.used + accelerators_of(job, placed) <= own.guaranteed;
  const auto may_stop = [&](const victim& one) {
    if (plan.victims.contains(one.target)) {
      return false;
    }
    if (one.job->queue->priority > 0) {
      return true;
    }
    const auto& share = shares[one.job->job.team];
    return whole_claim && one.job->job.team != job.job.team &&
           share.used - accelerators_of(*one.job, *one.target) >= share.guaranteed;
  };
  std::map<const worker_state*, std::uint32_t> of_step;
  const auto may_use = [&](const space& each) {
    return step.max_per_worker == 0 ||
           tasks_of_step(*each.worker, job, placed) + of_step[each.worker] < step.max_per_worker;
  };
  for (std::size_t index = 0; index < placed.members.size(); ++index) {
    const auto chosen = plan_member(spaces, free_on, need, may_stop, may_use);
    if (chosen.where == nullptr) {
      return std::nullopt;
    }
    plan.loss += chosen.cost.first;
    for (const auto& one : chosen.victims) {
      if (!plan.victims.emplace(one.target, one.job).second) {
        continue;
      }
      if (one.job->queue->priority == 0) {
        shares[one.job->job.team].used -= accelerators_of(*one.job, *one.target);
      }
      // All members of the victim leave, on this worker and on others.
      for (const auto& left : one.target->members) {
        if (const auto found = free_on.find(left.worker); found != free_on.end()) {
          found->second += occupied(step_of(*one.job, *one.target));
        }
      }
    }
    free_on[chosen.where->worker->entry.id] -= need;
    ++of_step[chosen.where->worker];
    plan.where.push_back(chosen.where->worker);
  }
  return plan;
}

void job_scheduler::implementation::forget_derived(const std::vector<worker_state*>& changed) {
  for (const auto* worker : changed) {
    spaces_of_pass.erase(worker);
  }
  shares_of_pass.reset();
}

/// Frees space for urgent work by stopping other units, the ones that lose least work first. The space is
/// reserved until the ends of the stopped runs are listed.
bool job_scheduler::implementation::preempt(job_state& job, unit& placed, bool spread, instant now) {
  const auto& step = step_of(job, placed);
  std::optional<preemption> best;
  const auto consider = [&](const std::vector<worker_state*>& pool) {
    std::vector<const space*> spaces;
    for (auto* worker : pool) {
      if (may_run(*worker, job, placed)) {
        spaces.push_back(&space_on(*worker));
      }
    }
    auto plan = plan_preemption(spaces, job, placed);
    if (plan && (!best || plan->loss < best->loss)) {
      best = std::move(plan);
    }
  };
  if (spread || !detail::prefers_rack(step)) {
    consider(usable_workers.all);
  } else {
    for (const auto& [rack, members] : usable_workers.racks) {
      if (step.data_rack.empty() || rack.value() == step.data_rack) {
        consider(members);
      }
    }
  }
  if (!best) {
    return false;
  }
  // A victim leaves all its workers, which are not known here one by one.
  spaces_of_pass.clear();
  shares_of_pass.reset();
  for (const auto& [target, owner] : best->victims) {
    record("unit_preempted", owner->job.id, absl::StrCat("for ", job.job.id.value()),
           {{"step", absl::StrCat(target->occurrence, ".", target->step, ".", target->number)}});
    end_unit(*owner, *target, now);
  }
  placed.phase = unit_phase::reserved;
  ++reserved_units;
  placed.reserved_until = now + detail::reservation_timeout;
  for (std::size_t index = 0; index < placed.members.size(); ++index) {
    auto& worker = *best->where[index];
    placed.members[index] =
        member{.phase = member_phase::reserved, .worker = worker.entry.id, .run = {}, .checkpoint = {}};
    worker.reserved += occupied(step);
  }
  return true;
}

}  // namespace rhubarbpath

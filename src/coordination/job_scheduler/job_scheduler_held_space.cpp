#include <limits>

#include "job_scheduler_impl.hpp"

// Which free space a placement pass offers, and which it keeps for waiting gangs and for urgent work to come.
namespace rhubarbpath {

using detail::job_state;
using detail::prefers_rack;
using detail::unit;
using detail::worker_state;

namespace {

/// How long the plan of a waiting gang is used before it is made again.
constexpr duration plan_lifetime{std::chrono::milliseconds{120}};
/// How long an urgent arrival stands for the next one, and the share of all resources that is kept free for
/// them at most.
constexpr duration urgent_window{std::chrono::milliseconds{1000}};
constexpr double max_urgent_share = 0.15;
/// The arrivals for which space is kept at most. A plan is made for each of them.
constexpr std::size_t max_urgent_arrivals = 64;
/// Maximum share of all resources that is held back for waiting gangs.
constexpr double max_held_back_share = 0.25;

resource_amounts share_of(const resource_amounts& total, double share) {
  const auto part = [share](std::int64_t amount) {
    return static_cast<std::int64_t>(static_cast<double>(amount) * share);
  };
  return {.cpu_millicores = part(total.cpu_millicores),
          .memory_mb = part(total.memory_mb),
          .accelerators = part(total.accelerators)};
}

resource_amounts needed_by_all(const resource_amounts& each, std::size_t members) {
  const auto count = static_cast<std::int64_t>(members);
  return {.cpu_millicores = each.cpu_millicores * count,
          .memory_mb = each.memory_mb * count,
          .accelerators = each.accelerators * count};
}

}  // namespace

void job_scheduler::implementation::refresh_space(worker_state& worker) {
  if (!worker.slot) {
    return;
  }
  if (pass_time >= worker.level_due) {
    judge_speed(worker, pass_time);
  }
  free_space_index::worker_space space{.free = worker.entry.capacity - worker.used - worker.reserved,
                                       .capacity = worker.entry.capacity,
                                       .usable = usable(worker, pass_time),
                                       .suspect = worker.set_aside || pass_time < worker.suspect_until,
                                       .level = worker.level};
  if (const auto kept = held_back.find(&worker); kept != held_back.end()) {
    space.free -= kept->second;
  }
  services[worker.entry.service].index.set(*worker.slot, space);
}

void job_scheduler::implementation::refresh_spaces(instant now) {
  usable_total = {};
  for (auto& [id, space] : services) {
    space.capacity = space.used = {};
  }
  for (auto& [id, worker] : workers) {
    refresh_space(worker);
    if (detail::in_reach(worker)) {
      auto& space = services[worker.entry.service];
      space.capacity += worker.entry.capacity;
      space.used += worker.used;
    }
    usable_total += usable(worker, now) ? worker.entry.capacity : resource_amounts{};
  }
}

job_scheduler::implementation::kept_plan job_scheduler::implementation::plan_gang(const job_state& job,
                                                                                  const unit& waiting,
                                                                                  instant now) {
  const auto kept = previous_plans.find(&waiting);
  if (kept != previous_plans.end() && now - kept->second.planned_at < plan_lifetime) {
    kept->second.held = false;
    return std::move(kept->second);
  }
  kept_plan plan{.where = {}, .planned_at = now};
  auto* space = space_for(job);
  if (space == nullptr) {
    return plan;
  }
  const auto& step = step_of(job, waiting);
  const free_space_index::request wanted{.each = occupied(step),
                                         .members = static_cast<std::uint32_t>(waiting.members.size()),
                                         .order = order_for(job, waiting, now)};
  const auto allowed = [&](worker_slot at) {
    return allowance_on(space->at(at), job, waiting, advice_level::allowed);
  };
  const auto planned = prefers_rack(step) ? space->index.plan_in_rack(wanted, step.data_rack, allowed)
                                          : space->index.plan(wanted, allowed);
  for (const auto at : planned.where) {
    plan.where.push_back(&space->at(at));
  }
  return plan;
}

void job_scheduler::implementation::expect_urgent(const job_state& job, instant now) {
  if (job.queue == nullptr || job.queue->priority != 0) {
    return;
  }
  drop_old_arrivals(now);
  for (const auto& step : job.job.graph.steps) {
    if (urgent_arrivals.size() >= max_urgent_arrivals) {
      return;
    }
    // More tasks than a gang may have do not arrive at once, and those that take nothing need no space.
    if (step.after.empty() && step.count <= max_gang_members && occupied(step) != resource_amounts{}) {
      urgent_arrivals.push_back(
          {.service = job.queue->service,
           .in_rack = prefers_rack(step),
           .wanted = {.each = occupied(step), .members = step.count, .order = fast_first},
           .at = now,
           .plan = {}});
    }
  }
}

void job_scheduler::implementation::drop_old_arrivals(instant now) {
  while (!urgent_arrivals.empty() && now - urgent_arrivals.front().at > urgent_window) {
    urgent_arrivals.pop_front();
  }
}

void job_scheduler::implementation::hold_back_for_urgent(instant now) {
  drop_old_arrivals(now);
  const auto limit = share_of(usable_total, max_urgent_share);
  resource_amounts held;
  for (auto& expected : urgent_arrivals) {
    const auto& wanted = expected.wanted;
    const auto needed = needed_by_all(wanted.each, wanted.members);
    const auto space = services.find(expected.service);
    if (!(limit - held).covers(needed) || space == services.end()) {
      continue;
    }
    if (expected.plan.where.empty() || now - expected.plan.planned_at >= plan_lifetime) {
      const auto anywhere = [](worker_slot) { return std::numeric_limits<std::uint32_t>::max(); };
      auto& index = space->second.index;
      const auto planned =
          expected.in_rack ? index.plan_in_rack(wanted, {}, anywhere) : index.plan(wanted, anywhere);
      expected.plan = {.where = {}, .planned_at = now};
      for (const auto at : planned.where) {
        expected.plan.where.push_back(&space->second.at(at));
      }
    }
    held += needed;
    for (auto* worker : expected.plan.where) {
      held_back[worker] += wanted.each;
      refresh_space(*worker);
    }
  }
}

void job_scheduler::implementation::release_held_back() {
  const auto released = std::exchange(held_back, {});
  held_back_total = {};
  unplaceable.clear();
  for (auto& [waiting, plan] : plans) {
    plan.held = false;
  }
  for (const auto& [worker, amounts] : released) {
    refresh_space(workers.at(worker->entry.id));
  }
}

void job_scheduler::implementation::set_held(kept_plan& plan, const resource_amounts& need, bool held) {
  if (std::exchange(plan.held, held) == held) {
    return;
  }
  for (auto* worker : plan.where) {
    if (held) {
      held_back[worker] += need;
      held_back_total += need;
    } else {
      held_back[worker] -= need;
      held_back_total -= need;
    }
    refresh_space(*worker);
  }
}

/// Holds back space for a gang that does not fit now, so that work behind it in the order cannot use it.
/// Without this, small units take space as it becomes free, and large gangs starve.
void job_scheduler::implementation::hold_back_space(const job_state& job, const unit& waiting, instant now) {
  const auto need = occupied(step_of(job, waiting));
  if (!(share_of(usable_total, max_held_back_share) - held_back_total)
           .covers(needed_by_all(need, waiting.members.size()))) {
    return;
  }
  auto& plan = plans[&waiting] = plan_gang(job, waiting, now);
  set_held(plan, need, true);
}

}  // namespace rhubarbpath

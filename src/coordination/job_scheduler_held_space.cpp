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
/// How long an urgent arrival stands for the next one, and the share of all accelerators that is kept free
/// for them at most.
constexpr duration urgent_window{std::chrono::milliseconds{1000}};
constexpr double max_urgent_share = 0.15;
/// Maximum share of all accelerators that is held back for waiting gangs.
constexpr double max_held_back_share = 0.25;

}  // namespace

void job_scheduler::implementation::refresh_space(worker_state& worker) {
  if (!worker.slot) {
    return;
  }
  free_space_index::worker_space space{.free = worker.entry.capacity - worker.used - worker.reserved,
                                       .capacity = worker.entry.capacity,
                                       .usable = usable(worker, pass_time),
                                       .suspect = worker.set_aside || pass_time < worker.suspect_until};
  if (const auto kept = held_back.find(&worker); kept != held_back.end()) {
    space.free -= kept->second;
  }
  services[worker.entry.service].index.set(*worker.slot, space);
}

void job_scheduler::implementation::refresh_spaces(instant now) {
  usable_accelerators = 0;
  for (auto& [id, worker] : workers) {
    refresh_space(worker);
    usable_accelerators += usable(worker, now) ? worker.entry.capacity.accelerators : 0;
  }
}

job_scheduler::implementation::kept_plan job_scheduler::implementation::plan_gang(const job_state& job,
                                                                                  const unit& waiting,
                                                                                  instant now) {
  const auto kept = previous_plans.find(&waiting);
  if (kept != previous_plans.end() && now - kept->second.planned_at < plan_lifetime) {
    return std::move(kept->second);
  }
  kept_plan plan{.where = {}, .planned_at = now};
  auto* space = space_for(job);
  if (space == nullptr) {
    return plan;
  }
  const auto& step = step_of(job, waiting);
  const free_space_index::request wanted{.each = occupied(step),
                                         .members = static_cast<std::uint32_t>(waiting.members.size())};
  const auto allowed = [&](worker_slot at) { return allowance_on(space->at(at), job, waiting); };
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
    if (step.after.empty()) {
      urgent_arrivals.push_back({.service = job.queue->service,
                                 .in_rack = prefers_rack(step),
                                 .wanted = {.each = occupied(step), .members = step.count},
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
  const auto limit = static_cast<std::int64_t>(static_cast<double>(usable_accelerators) * max_urgent_share);
  std::int64_t held = 0;
  for (auto& expected : urgent_arrivals) {
    const auto& wanted = expected.wanted;
    const auto needed = wanted.each.accelerators * static_cast<std::int64_t>(wanted.members);
    const auto space = services.find(expected.service);
    if (held + needed > limit || space == services.end()) {
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

/// Holds back space for a gang that does not fit now, so that work behind it in the order cannot use it.
/// Without this, small units take space as it becomes free, and large gangs starve.
void job_scheduler::implementation::hold_back_space(const job_state& job, const unit& waiting, instant now) {
  const auto limit =
      static_cast<std::int64_t>(static_cast<double>(usable_accelerators) * max_held_back_share);
  if (held_back_accelerators + accelerators_of(job, waiting) > limit) {
    return;
  }
  const auto need = occupied(step_of(job, waiting));
  const auto& plan = plans[&waiting] = plan_gang(job, waiting, now);
  for (auto* worker : plan.where) {
    held_back[worker] += need;
    held_back_accelerators += need.accelerators;
    refresh_space(*worker);
  }
}

}  // namespace rhubarbpath

#include "rhubarbpath/coordination/work_budget.hpp"

#include <algorithm>

namespace rhubarbpath {

namespace {

/// The state of a job beside its graph, and of one that has ended.
constexpr std::uint64_t job_bytes = 1024;
/// A step that is looked at for placement with its first unit, and a member of a gang.
constexpr std::uint64_t considered_step_bytes = 768;
constexpr std::uint64_t member_bytes = 224;
/// The last gang that is considered may go beyond the bound.
constexpr std::uint64_t max_members = job_bounds::considered_tasks + max_gang_members;
/// What is kept of a step in each open occurrence.
constexpr std::uint64_t open_step_bytes = 4;
/// A step apart from its specification: its shape, and how long the steps after it take.
constexpr std::uint64_t step_index_bytes = 20;
constexpr std::uint64_t stored_step_bytes = 32;

}  // namespace

work_cost cost_of(const job_graph& graph) {
  const std::uint64_t steps = graph.steps.size();
  std::uint64_t text = graph.payload.size();
  std::uint64_t dependencies = 0;
  std::uint64_t gang_members = 0;
  for (const auto& step : graph.steps) {
    text += step.required_label.size() + step.data_rack.size() + step.image.size();
    dependencies += step.after.size();
    gang_members += step.gang ? step.count : 0;
  }
  const auto occurrences = std::max<std::uint64_t>(1, graph.occurrences);
  const auto open_steps =
      std::max(steps, std::min<std::uint64_t>(steps * occurrences, job_bounds::open_steps));
  const auto stored = job_bytes + text + steps * stored_step_bytes + dependencies * sizeof(std::uint32_t);
  return {.open = stored + steps * (sizeof(step_spec) + step_index_bytes) + open_steps * open_step_bytes +
                  std::min<std::uint64_t>(open_steps, job_bounds::considered_steps) * considered_step_bytes +
                  std::min(gang_members * occurrences, max_members) * member_bytes,
          .ended = stored};
}

bool work_budget::reserve(const job_id& job, const team_id& team, std::uint64_t bytes, instant now) {
  const auto found = reservations_.find(job);
  if (found != reservations_.end() && found->second.team == team && found->second.bytes == bytes) {
    found->second.expires_at = now + reservation_lifetime;
    return true;
  }
  const auto left = max_bytes_ - std::min(max_bytes_, bytes_);
  const auto held = bytes_by_team_.find(team);
  const auto own = held == bytes_by_team_.end() ? 0 : held->second;
  if (bytes > left || own + bytes > left - bytes) {
    return false;
  }
  if (found != reservations_.end()) {
    change(found->second.team, -static_cast<std::int64_t>(found->second.bytes));
  }
  reservations_[job] = {.team = team, .bytes = bytes, .expires_at = now + reservation_lifetime};
  change(team, static_cast<std::int64_t>(bytes));
  return true;
}

void work_budget::add(const job_id& job, const team_id& team, std::uint64_t bytes) {
  if (const auto found = reservations_.find(job); found != reservations_.end()) {
    change(found->second.team, -static_cast<std::int64_t>(found->second.bytes));
    reservations_.erase(found);
  }
  change(team, static_cast<std::int64_t>(bytes));
}

void work_budget::remove(const team_id& team, std::uint64_t bytes) {
  change(team, -static_cast<std::int64_t>(bytes));
}

void work_budget::expire(instant now) {
  std::erase_if(reservations_, [&](const auto& entry) {
    const auto& [job, reserved] = entry;
    if (now < reserved.expires_at) {
      return false;
    }
    change(reserved.team, -static_cast<std::int64_t>(reserved.bytes));
    return true;
  });
}

void work_budget::change(const team_id& team, std::int64_t bytes) {
  bytes_ += static_cast<std::uint64_t>(bytes);
  if ((bytes_by_team_[team] += static_cast<std::uint64_t>(bytes)) == 0) {
    full_teams_.erase(team);
    bytes_by_team_.erase(team);
  }
  const auto left = max_bytes_ - std::min(max_bytes_, bytes_);
  for (const auto& [each, own] : bytes_by_team_) {
    if (own > left) {
      full_teams_.insert(each);
    } else if (own <= left / 4 * 3) {
      full_teams_.erase(each);
    }
  }
}

}  // namespace rhubarbpath

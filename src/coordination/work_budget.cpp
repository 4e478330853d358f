#include "rhubarbpath/coordination/work_budget.hpp"

#include <algorithm>

#include "rhubarbpath/coordination/fair_share.hpp"

namespace rhubarbpath {

bool work_budget::reserve(const job_id& job, const team_id& team, std::uint64_t bytes, instant now) {
  const auto found = reservations_.find(job);
  if (found != reservations_.end() && found->second.team == team && found->second.bytes == bytes) {
    found->second.expires_at = now + reservation_lifetime;
    return true;
  }
  const auto held = bytes_by_team_.find(team);
  const auto own = held == bytes_by_team_.end() ? 0 : held->second;
  if (!leaves_as_much_for_others(own, bytes, bytes_left())) {
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

std::uint64_t work_budget::bytes_left() const noexcept {
  return max_bytes_ - std::min(max_bytes_, bytes_);
}

void work_budget::change(const team_id& team, std::int64_t bytes) {
  bytes_ += static_cast<std::uint64_t>(bytes);
  if ((bytes_by_team_[team] += static_cast<std::uint64_t>(bytes)) == 0) {
    full_teams_.erase(team);
    bytes_by_team_.erase(team);
  }
  const auto left = bytes_left();
  for (const auto& [each, own] : bytes_by_team_) {
    if (own > left) {
      full_teams_.insert(each);
    } else if (own <= left / 4 * 3) {
      full_teams_.erase(each);
    }
  }
}

}  // namespace rhubarbpath

#include "rhubarbpath/transport/connection_budget.hpp"

namespace rhubarbpath {

connection_budget::group connection_budget::add_group(reserve reserved) {
  groups_.push_back({.reserved = reserved});
  return groups_.size() - 1;
}

connection_budget::connection connection_budget::open(group owner) {
  const auto id = ++last_id_;
  auto& state = groups_.at(owner);
  const auto position = state.idle.insert(state.idle.end(), id);
  entries_[id] = {.owner = owner, .bytes = idle_bytes, .idle = true, .position = position};
  state.held += idle_bytes;
  held_ += idle_bytes;
  ++state.connections;
  return id;
}

void connection_budget::close(connection id) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return;
  }
  const auto& kept = found->second;
  auto& state = groups_.at(kept.owner);
  (kept.idle ? state.idle : state.holding).erase(kept.position);
  state.held -= kept.bytes;
  held_ -= kept.bytes;
  --state.connections;
  entries_.erase(found);
}

void connection_budget::hold(connection id, std::uint64_t bytes) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return;
  }
  auto& kept = found->second;
  auto& state = groups_.at(kept.owner);
  state.held += bytes - kept.bytes;
  held_ += bytes - kept.bytes;
  kept.bytes = bytes;
  if (const bool idle = bytes <= idle_bytes; idle != kept.idle) {
    kept.idle = idle;
    auto& from = idle ? state.holding : state.idle;
    auto& into = idle ? state.idle : state.holding;
    into.splice(into.end(), from, kept.position);
  }
}

void connection_budget::progressed(connection id) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return;
  }
  auto& state = groups_.at(found->second.owner);
  auto& list = found->second.idle ? state.idle : state.holding;
  list.splice(list.end(), list, found->second.position);
}

bool connection_budget::admit(group owner, std::uint64_t bytes) {
  auto& state = groups_.at(owner);
  const bool within_reserve = state.admitted + bytes <= state.reserved.bytes / 2;
  const bool within_bound = admitted_ + bytes <= options_.max_bytes / 2;
  if (!within_reserve && !within_bound && state.open_requests > 0) {
    return false;
  }
  ++state.open_requests;
  state.admitted += bytes;
  admitted_ += bytes;
  return true;
}

void connection_budget::finish(group owner, std::uint64_t bytes) {
  auto& state = groups_.at(owner);
  --state.open_requests;
  state.admitted -= bytes;
  admitted_ -= bytes;
}

std::optional<connection_budget::excess> connection_budget::next_excess() const {
  // The group furthest above its reserve gives way. Above a bound at least one group is above its reserve.
  std::optional<excess> found;
  if (bytes() > options_.max_bytes) {
    std::uint64_t furthest = 0;
    for (group owner = 0; owner < groups_.size(); ++owner) {
      const auto& state = groups_[owner];
      const auto used = state.held + state.admitted;
      const auto above = used > state.reserved.bytes ? used - state.reserved.bytes : 0;
      if (above > furthest && !state.holding.empty()) {
        furthest = above;
        found = {.owner = owner, .id = state.holding.front(), .passed = bound::bytes};
      }
    }
  }
  if (!found && connections() > options_.max_connections) {
    std::size_t furthest = 0;
    for (group owner = 0; owner < groups_.size(); ++owner) {
      const auto& state = groups_[owner];
      const auto above =
          state.connections > state.reserved.connections ? state.connections - state.reserved.connections : 0;
      if (above > furthest) {
        furthest = above;
        found = {.owner = owner,
                 .id = state.idle.empty() ? state.holding.front() : state.idle.front(),
                 .passed = bound::connections};
      }
    }
  }
  return found;
}

std::vector<std::pair<connection_budget::group, connection_budget::connection>> connection_budget::holders()
    const {
  std::vector<std::pair<group, connection>> found;
  for (group owner = 0; owner < groups_.size(); ++owner) {
    for (const auto id : groups_[owner].holding) {
      found.emplace_back(owner, id);
    }
  }
  return found;
}

}  // namespace rhubarbpath

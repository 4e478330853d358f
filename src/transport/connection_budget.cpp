#include "rhubarbpath/transport/connection_budget.hpp"

namespace rhubarbpath {

connection_budget::group connection_budget::add_group(reserve reserved) {
  groups_.push_back({.reserved = reserved});
  return groups_.size() - 1;
}

connection_budget::connection connection_budget::open(group owner) {
  const auto id = ++last_id_;
  auto& state = groups_.at(owner);
  const auto position = state.with(load::idle).insert(state.with(load::idle).end(), id);
  entries_[id] = {.owner = owner, .bytes = idle_bytes, .kept = load::idle, .position = position};
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
  state.with(kept.kept).erase(kept.position);
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
  if (const auto next = load_of(bytes); next != kept.kept) {
    auto& into = state.with(next);
    into.splice(into.end(), state.with(kept.kept), kept.position);
    kept.kept = next;
  }
}

void connection_budget::progressed(connection id) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return;
  }
  auto& state = groups_.at(found->second.owner);
  auto& list = state.with(found->second.kept);
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

connection_budget::load connection_budget::load_of(std::uint64_t bytes) noexcept {
  if (bytes <= idle_bytes) {
    return load::idle;
  }
  return bytes <= little_bytes ? load::little : load::much;
}

std::optional<connection_budget::excess> connection_budget::next_excess() const {
  const bool bytes_passed = !within_bytes();
  if (within_bounds()) {
    return std::nullopt;
  }
  // The group furthest above its reserve gives way. Above a bound at least one group is above its reserve.
  const group_state* furthest = nullptr;
  std::uint64_t furthest_above = 0;
  for (const auto& state : groups_) {
    const std::uint64_t used = bytes_passed ? state.held + state.admitted : state.connections;
    const std::uint64_t reserved = bytes_passed ? state.reserved.bytes : state.reserved.connections;
    if (state.connections > 0 && used > reserved && used - reserved > furthest_above) {
      furthest = &state;
      furthest_above = used - reserved;
    }
  }
  if (furthest == nullptr) {
    return std::nullopt;
  }
  const auto first_of = [&](auto begin, auto end) {
    return std::find_if(begin, end, [](const order& each) { return !each.empty(); })->front();
  };
  const auto& lists = furthest->by_load;
  return excess{
      .owner = static_cast<group>(furthest - groups_.data()),
      .id = bytes_passed ? first_of(lists.rbegin(), lists.rend()) : first_of(lists.begin(), lists.end()),
      .passed = bytes_passed ? bound::bytes : bound::connections};
}

std::vector<std::pair<connection_budget::group, connection_budget::connection>> connection_budget::holders()
    const {
  std::vector<std::pair<group, connection>> found;
  for (group owner = 0; owner < groups_.size(); ++owner) {
    for (const auto kept : {load::little, load::much}) {
      for (const auto id : groups_[owner].by_load.at(static_cast<std::size_t>(kept))) {
        found.emplace_back(owner, id);
      }
    }
  }
  return found;
}

}  // namespace rhubarbpath

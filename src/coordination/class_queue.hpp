#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>

#include "absl/container/btree_map.h"

namespace rhubarbpath::detail {

/// Queue of one class: round-robin between teams, and within a team the lowest `order` first.
template <class Item>
class class_queue {
 public:
  void push(int team, std::uint64_t order, Item* item) {
    teams_[team].emplace(order, item);
    ++size_;
  }

  /// Returns false if the item is not in the queue.
  bool remove(int team, std::uint64_t order) {
    const auto found = teams_.find(team);
    if (found == teams_.end() || found->second.erase(order) == 0) {
      return false;
    }
    if (found->second.empty()) {
      teams_.erase(found);
    }
    --size_;
    return true;
  }

  /// The first item of the next team in round-robin order for which `wanted(team)` is true; null if
  /// there is none.
  template <class Predicate>
  [[nodiscard]] Item* front_if(const Predicate& wanted) const {
    const auto find_first = [&](auto begin, auto end) -> Item* {
      for (auto it = begin; it != end; ++it) {
        if (wanted(it->first)) {
          return it->second.begin()->second;
        }
      }
      return nullptr;
    };
    const auto next_team = teams_.upper_bound(last_served_team_);
    auto* found = find_first(next_team, teams_.end());
    return found != nullptr ? found : find_first(teams_.begin(), next_team);
  }

  /// Calls `visit(team, length)` for every team with queued items.
  template <class Visitor>
  void for_each_team(const Visitor& visit) const {
    for (const auto& [team, queue] : teams_) {
      visit(team, queue.size());
    }
  }

  /// Length of the longest team queue.
  [[nodiscard]] std::size_t longest() const {
    std::size_t length = 0;
    for (const auto& [team, queue] : teams_) {
      length = std::max(length, queue.size());
    }
    return length;
  }

  /// Records that an item of `team` was served; the round-robin order continues after this team.
  void mark_served(int team) { last_served_team_ = team; }

  /// The newest item of the team with the most items; null if the queue is empty.
  [[nodiscard]] Item* newest_of_longest_team() const {
    const team_queue* longest = nullptr;
    for (const auto& [team, queue] : teams_) {
      if (longest == nullptr || queue.size() > longest->size()) {
        longest = &queue;
      }
    }
    return longest == nullptr ? nullptr : std::prev(longest->end())->second;
  }

  /// The newest item of one team; null if it has none.
  [[nodiscard]] Item* newest_of(int team) const {
    const auto found = teams_.find(team);
    return found == teams_.end() ? nullptr : std::prev(found->second.end())->second;
  }

  [[nodiscard]] std::size_t size_of(int team) const {
    const auto found = teams_.find(team);
    return found == teams_.end() ? 0 : found->second.size();
  }
  [[nodiscard]] std::size_t size() const noexcept { return size_; }
  [[nodiscard]] bool empty() const noexcept { return size_ == 0; }

 private:
  using team_queue = absl::btree_map<std::uint64_t, Item*>;

  absl::btree_map<int, team_queue> teams_;
  std::size_t size_{0};
  int last_served_team_{-1};
};

}  // namespace rhubarbpath::detail

#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>

#include "absl/container/btree_map.h"

namespace rhubarbpath::detail {

/// Queue of one class: the teams take turns, and within a team the lower order number is first.
template <class Item>
class class_queue {
 public:
  void push(int team, std::uint64_t order, Item* item) {
    teams_[team].emplace(order, item);
    ++size_;
  }

  /// Returns false when the entry is not in the queue.
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

  /// The entry whose turn it is among the teams that `wanted` accepts; null when there is none.
  template <class Predicate>
  [[nodiscard]] Item* front_if(const Predicate& wanted) const {
    const auto first_from = [&](auto begin, auto end) -> Item* {
      for (auto it = begin; it != end; ++it) {
        if (wanted(it->first)) {
          return it->second.begin()->second;
        }
      }
      return nullptr;
    };
    const auto turn = teams_.upper_bound(last_team_);
    auto* found = first_from(turn, teams_.end());
    return found != nullptr ? found : first_from(teams_.begin(), turn);
  }

  /// Calls `visit(team, length)` for every team with entries.
  template <class Visitor>
  void for_each_team(const Visitor& visit) const {
    for (const auto& [team, queue] : teams_) {
      visit(team, queue.size());
    }
  }

  [[nodiscard]] std::size_t longest() const {
    std::size_t length = 0;
    for (const auto& [team, queue] : teams_) {
      length = std::max(length, queue.size());
    }
    return length;
  }

  /// Gives the turn to the team after this one.
  void took_turn(int team) { last_team_ = team; }

  /// The newest entry of the team with the most entries; null when the queue is empty.
  [[nodiscard]] Item* newest_of_longest() const {
    const team_queue* longest = nullptr;
    for (const auto& [team, queue] : teams_) {
      if (longest == nullptr || queue.size() > longest->size()) {
        longest = &queue;
      }
    }
    return longest == nullptr ? nullptr : std::prev(longest->end())->second;
  }

  /// The newest entry of one team; null when it has none.
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
  int last_team_{-1};
};

}  // namespace rhubarbpath::detail

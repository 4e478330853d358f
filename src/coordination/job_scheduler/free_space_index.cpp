#include "rhubarbpath/coordination/free_space_index.hpp"

#include <algorithm>
#include <tuple>

namespace rhubarbpath {

namespace {

/// Number of racks that are examined for a plan. They are in order of free accelerators, so a later one is
/// seldom better, and without a limit a full fleet would be examined whole for each waiting gang.
constexpr int max_planned_racks = 24;

std::int64_t open_accelerators(const free_space_index::worker_space& space) {
  return space.usable ? std::max<std::int64_t>(0, space.free.accelerators) : 0;
}

std::int64_t total_accelerators(const free_space_index::request& wanted) {
  return wanted.each.accelerators * static_cast<std::int64_t>(wanted.members);
}

/// Accelerators that are not free yet for one more member, and one if the member does not fit now.
std::int64_t shortfall(const resource_amounts& need, const resource_amounts& free) {
  return std::max<std::int64_t>(0, need.accelerators - free.accelerators) + (free.covers(need) ? 0 : 1);
}

}  // namespace

free_space_index::fit_key free_space_index::key_of(worker_slot at, const worker_space& space) {
  return {.suspect = space.suspect,
          .level = space.level,
          .accelerators = space.free.accelerators,
          .memory_mb = space.free.memory_mb,
          .at = at};
}

worker_slot free_space_index::add(const rack_id& rack) {
  const auto [number, inserted] =
      rack_numbers_.try_emplace(rack.value(), static_cast<std::uint32_t>(racks_.size()));
  if (inserted) {
    racks_.push_back({.name = rack.value(), .slots = {}});
    racks_by_free_.emplace(0, number->second);
  }
  auto at = static_cast<worker_slot>(entries_.size());
  if (unused_.empty()) {
    entries_.emplace_back();
  } else {
    at = unused_.back();
    unused_.pop_back();
  }
  entry_of(at) = {.rack = number->second, .space = {}};
  racks_[number->second].slots.push_back(at);
  return at;
}

void free_space_index::remove(worker_slot at) {
  set(at, {});
  std::erase(racks_[entry_of(at).rack].slots, at);
  unused_.push_back(at);
}

void free_space_index::set(worker_slot at, const worker_space& space) {
  auto& changed = entry_of(at);
  if (changed.space == space || (!changed.space.usable && !space.usable)) {
    return;
  }
  auto& rack = racks_[changed.rack];
  const auto previous_free = rack.free_accelerators;
  usable_by_level_[static_cast<std::size_t>(changed.space.level)] -= changed.space.usable ? 1 : 0;
  usable_by_level_[static_cast<std::size_t>(space.level)] += space.usable ? 1 : 0;
  rack.free_accelerators += open_accelerators(space) - open_accelerators(changed.space);
  rack.capacity_accelerators += (space.usable ? space.capacity.accelerators : 0) -
                                (changed.space.usable ? changed.space.capacity.accelerators : 0);
  if (rack.free_accelerators != previous_free) {
    auto node = racks_by_free_.extract(rack_key{previous_free, changed.rack});
    node.value() = {rack.free_accelerators, changed.rack};
    racks_by_free_.insert(std::move(node));
  }
  if (changed.space.usable && space.usable) {
    // Moves the node of the tree, which is cheaper than to free one and to allocate another.
    auto node = by_free_.extract(key_of(at, changed.space));
    node.value() = key_of(at, space);
    by_free_.insert(std::move(node));
  } else if (space.usable) {
    by_free_.insert(key_of(at, space));
  } else {
    by_free_.erase(key_of(at, changed.space));
  }
  changed.space = space;
}

std::optional<std::uint32_t> free_space_index::find_rack(const std::string& name) const {
  const auto found = rack_numbers_.find(name);
  return found == rack_numbers_.end() ? std::nullopt : std::optional{found->second};
}

// ---- all workers ----

std::size_t free_space_index::best_rank(const speed_order& order) const {
  std::size_t rank = 0;
  while (rank + 1 < order.size() && usable_by_level_[static_cast<std::size_t>(order[rank])] == 0) {
    ++rank;
  }
  return rank;
}

std::optional<worker_slot> free_space_index::best_worker(const resource_amounts& need,
                                                         const speed_order& order, allowance allowed) {
  for (const bool suspect : {false, true}) {
    for (const auto level : order) {
      if (usable_by_level_[static_cast<std::size_t>(level)] == 0) {
        continue;
      }
      auto found = by_free_.lower_bound({.suspect = suspect,
                                         .level = level,
                                         .accelerators = need.accelerators,
                                         .memory_mb = need.memory_mb});
      while (found != by_free_.end() && found->suspect == suspect && found->level == level) {
        ++visited_;
        if (found->memory_mb < need.memory_mb) {
          found = by_free_.lower_bound({.suspect = suspect,
                                        .level = level,
                                        .accelerators = found->accelerators,
                                        .memory_mb = need.memory_mb});
          continue;
        }
        if (entry_of(found->at).space.free.covers(need) && allowed(found->at) > 0) {
          return found->at;
        }
        ++found;
      }
    }
  }
  return std::nullopt;
}

std::optional<worker_slot> free_space_index::emptiest_worker(const resource_amounts& need,
                                                             const speed_order& order,
                                                             const std::vector<worker_slot>& planned,
                                                             allowance allowed) {
  std::optional<worker_slot> best;
  std::int64_t best_missing = 0;
  const auto consider = [&](worker_slot at) {
    ++visited_;
    const auto& space = entry_of(at).space;
    auto room = space.capacity;
    for (const auto taken : planned) {
      room -= taken == at ? need : resource_amounts{};
    }
    const auto missing = shortfall(need, space.free);
    const bool suitable = room.covers(need) && allowed(at) > 0;
    if (suitable && (!best || missing < best_missing)) {
      best = at;
      best_missing = missing;
    }
    return suitable;
  };
  for (const bool suspect : {false, true}) {
    for (const auto level : order) {
      if (usable_by_level_[static_cast<std::size_t>(level)] == 0) {
        continue;
      }
      // The workers of a level are in order of free accelerators, so the first eligible one has the least
      // shortfall.
      const auto begin =
          by_free_.lower_bound({.suspect = suspect, .level = level, .accelerators = INT64_MIN});
      auto next = by_free_.upper_bound({.suspect = suspect,
                                        .level = level,
                                        .accelerators = INT64_MAX,
                                        .memory_mb = INT64_MAX,
                                        .at = worker_slot{UINT32_MAX}});
      while (next != begin) {
        --next;
        if (consider(next->at)) {
          break;
        }
      }
    }
    if (best) {
      return best;
    }
  }
  return best;
}

free_space_index::placement free_space_index::fit(const request& wanted, allowance allowed) {
  placement where;
  where.reserve(wanted.members);
  const auto allowance_left = [&](worker_slot at) {
    const auto most = allowed(at);
    const auto taken = static_cast<std::uint32_t>(std::count(where.begin(), where.end(), at));
    return most > taken ? most - taken : 0;
  };
  const auto shift = [&](worker_slot at, bool take) {
    auto space = entry_of(at).space;
    take ? space.free -= wanted.each : space.free += wanted.each;
    set(at, space);
  };
  while (where.size() < wanted.members) {
    const auto at = best_worker(wanted.each, wanted.order, allowance_left);
    if (!at) {
      break;
    }
    shift(*at, true);
    where.push_back(*at);
  }
  for (const auto at : where) {
    shift(at, false);
  }
  return where.size() == wanted.members ? where : placement{};
}

free_space_index::planned_placement free_space_index::plan(const request& wanted, allowance allowed) {
  planned_placement result;
  const auto shift = [&](worker_slot at, bool take) {
    auto space = entry_of(at).space;
    take ? space.free -= wanted.each : space.free += wanted.each;
    set(at, space);
  };
  while (result.where.size() < wanted.members) {
    auto at = best_worker(wanted.each, wanted.order, allowed);
    if (!at) {
      at = emptiest_worker(wanted.each, wanted.order, result.where, allowed);
    }
    if (!at) {
      break;
    }
    result.missing += shortfall(wanted.each, entry_of(*at).space.free);
    shift(*at, true);
    result.where.push_back(*at);
  }
  for (const auto at : result.where) {
    shift(at, false);
  }
  return result.where.size() == wanted.members ? result : planned_placement{};
}

// ---- one rack ----

free_space_index::placement free_space_index::fit_one_rack(const rack_space& rack, const request& wanted,
                                                           allowance allowed) {
  struct room {
    worker_slot at;
    bool suspect;
    std::size_t rank;
    resource_amounts free;
    std::uint32_t allowance_left;
  };
  std::vector<room> rooms;
  for (const auto at : rack.slots) {
    ++visited_;
    const auto& space = entry_of(at).space;
    if (!space.usable || !space.free.covers(wanted.each)) {
      continue;
    }
    if (const auto most = allowed(at); most > 0) {
      rooms.push_back({.at = at,
                       .suspect = space.suspect,
                       .rank = rank_in(wanted.order, space.level),
                       .free = space.free,
                       .allowance_left = most});
    }
  }
  placement where;
  while (where.size() < wanted.members) {
    room* best = nullptr;
    for (auto& each : rooms) {
      if (each.allowance_left > 0 && each.free.covers(wanted.each) &&
          (best == nullptr ||
           std::tie(each.suspect, each.rank, each.free.accelerators, each.free.memory_mb) <
               std::tie(best->suspect, best->rank, best->free.accelerators, best->free.memory_mb))) {
        best = &each;
      }
    }
    if (best == nullptr) {
      return {};
    }
    best->free -= wanted.each;
    --best->allowance_left;
    where.push_back(best->at);
  }
  return where;
}

free_space_index::placement free_space_index::fit_in_rack(const request& wanted, const std::string& only_rack,
                                                          allowance allowed) {
  if (!only_rack.empty()) {
    const auto rack = find_rack(only_rack);
    return rack ? fit_one_rack(racks_[*rack], wanted, allowed) : placement{};
  }
  // The slowest member counts only for a unit that wants fast workers; others take the first rack.
  const bool by_speed = wanted.order == fast_first;
  const auto ideal = best_rank(wanted.order);
  std::pair<bool, std::size_t> best_cost{true, SIZE_MAX};
  placement best;
  int fitting = 0;
  for (auto next = racks_by_free_.lower_bound({total_accelerators(wanted), 0});
       next != racks_by_free_.end() && fitting < max_planned_racks; ++next) {
    ++visited_;
    auto where = fit_one_rack(racks_[next->second], wanted, allowed);
    if (where.empty()) {
      continue;
    }
    std::pair<bool, std::size_t> cost{false, 0};
    for (const auto at : where) {
      const auto& space = entry_of(at).space;
      cost.first = cost.first || space.suspect;
      cost.second = by_speed ? std::max(cost.second, rank_in(wanted.order, space.level)) : 0;
    }
    if (!cost.first && cost.second <= (by_speed ? ideal : 0)) {
      return where;
    }
    // Without a choice by speed, all racks are tried for one without suspects.
    fitting += by_speed ? 1 : 0;
    if (cost < best_cost) {
      best_cost = cost;
      best = std::move(where);
    }
  }
  return best;
}

free_space_index::planned_placement free_space_index::plan_one_rack(const rack_space& rack,
                                                                    const request& wanted,
                                                                    allowance allowed) {
  struct room {
    worker_slot at;
    std::size_t rank;
    resource_amounts free;
    resource_amounts capacity;
  };
  std::vector<room> rooms;
  for (const auto at : rack.slots) {
    ++visited_;
    const auto& space = entry_of(at).space;
    if (space.usable && space.capacity.covers(wanted.each) && allowed(at) > 0) {
      rooms.push_back({.at = at,
                       .rank = rank_in(wanted.order, space.level),
                       .free = space.free,
                       .capacity = space.capacity});
    }
  }
  planned_placement result;
  while (result.where.size() < wanted.members) {
    room* best = nullptr;
    std::int64_t best_missing = 0;
    for (auto& each : rooms) {
      const auto missing = shortfall(wanted.each, each.free);
      if (each.capacity.covers(wanted.each) &&
          (best == nullptr || std::tie(missing, each.rank) < std::tie(best_missing, best->rank))) {
        best = &each;
        best_missing = missing;
      }
    }
    if (best == nullptr) {
      return {};
    }
    result.missing += best_missing;
    best->free -= wanted.each;
    best->capacity -= wanted.each;
    result.where.push_back(best->at);
  }
  return result;
}

free_space_index::planned_placement free_space_index::plan_in_rack(const request& wanted,
                                                                   const std::string& only_rack,
                                                                   allowance allowed) {
  if (!only_rack.empty()) {
    const auto rack = find_rack(only_rack);
    return rack ? plan_one_rack(racks_[*rack], wanted, allowed) : planned_placement{};
  }
  planned_placement best;
  int planned = 0;
  for (auto next = racks_by_free_.rbegin(); next != racks_by_free_.rend() && planned < max_planned_racks;
       ++next) {
    ++visited_;
    // No plan in this rack, or in one with less free, can miss fewer accelerators.
    const auto least_missing = std::max<std::int64_t>(0, total_accelerators(wanted) - next->first);
    if (!best.where.empty() && least_missing >= best.missing) {
      break;
    }
    const auto& rack = racks_[next->second];
    if (rack.capacity_accelerators < total_accelerators(wanted)) {
      continue;
    }
    ++planned;
    auto place = plan_one_rack(rack, wanted, allowed);
    if (!place.where.empty() && (best.where.empty() || place.missing < best.missing)) {
      best = std::move(place);
    }
  }
  return best;
}

std::vector<std::vector<worker_slot>> free_space_index::emptiest_racks(std::size_t count,
                                                                       const std::string& only_rack) {
  std::vector<std::vector<worker_slot>> found;
  const auto append = [&](const rack_space& rack) {
    std::vector<worker_slot> usable;
    for (const auto at : rack.slots) {
      ++visited_;
      if (entry_of(at).space.usable) {
        usable.push_back(at);
      }
    }
    if (!usable.empty()) {
      found.push_back(std::move(usable));
    }
  };
  if (!only_rack.empty()) {
    if (const auto rack = find_rack(only_rack)) {
      append(racks_[*rack]);
    }
    return found;
  }
  for (auto next = racks_by_free_.rbegin(); next != racks_by_free_.rend() && found.size() < count; ++next) {
    append(racks_[next->second]);
  }
  return found;
}

}  // namespace rhubarbpath

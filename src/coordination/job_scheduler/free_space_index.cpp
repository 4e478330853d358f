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

std::optional<worker_slot> free_space_index::best_worker(const resource_amounts& need, allowance allowed) {
  for (const bool suspect : {false, true}) {
    auto found = by_free_.lower_bound(
        {.suspect = suspect, .accelerators = need.accelerators, .memory_mb = need.memory_mb});
    while (found != by_free_.end() && found->suspect == suspect) {
      ++visited_;
      if (found->memory_mb < need.memory_mb) {
        found = by_free_.lower_bound(
            {.suspect = suspect, .accelerators = found->accelerators, .memory_mb = need.memory_mb});
        continue;
      }
      if (entry_of(found->at).space.free.covers(need) && allowed(found->at) > 0) {
        return found->at;
      }
      ++found;
    }
  }
  return std::nullopt;
}

std::optional<worker_slot> free_space_index::emptiest_worker(const resource_amounts& need,
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
    if (room.covers(need) && allowed(at) > 0 && (!best || missing < best_missing)) {
      best = at;
      best_missing = missing;
    }
  };
  // The workers are in order of free accelerators within each half of the tree, so the first eligible one has
  // the least shortfall.
  auto end_of_sound = by_free_.lower_bound({.suspect = true, .accelerators = INT64_MIN});
  for (auto next = std::make_reverse_iterator(end_of_sound); next != by_free_.rend() && !best; ++next) {
    consider(next->at);
  }
  for (auto next = by_free_.rbegin(); next != by_free_.rend() && next->suspect && !best; ++next) {
    consider(next->at);
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
    const auto at = best_worker(wanted.each, allowance_left);
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
    auto at = best_worker(wanted.each, allowed);
    if (!at) {
      at = emptiest_worker(wanted.each, result.where, allowed);
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
      rooms.push_back({.at = at, .suspect = space.suspect, .free = space.free, .allowance_left = most});
    }
  }
  placement where;
  while (where.size() < wanted.members) {
    room* best = nullptr;
    for (auto& each : rooms) {
      if (each.allowance_left > 0 && each.free.covers(wanted.each) &&
          (best == nullptr || std::tie(each.suspect, each.free.accelerators, each.free.memory_mb) <
                                  std::tie(best->suspect, best->free.accelerators, best->free.memory_mb))) {
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
  placement with_suspects;
  for (auto next = racks_by_free_.lower_bound({total_accelerators(wanted), 0}); next != racks_by_free_.end();
       ++next) {
    ++visited_;
    auto where = fit_one_rack(racks_[next->second], wanted, allowed);
    if (where.empty()) {
      continue;
    }
    if (std::none_of(where.begin(), where.end(),
                     [&](worker_slot at) { return entry_of(at).space.suspect; })) {
      return where;
    }
    if (with_suspects.empty()) {
      with_suspects = std::move(where);
    }
  }
  return with_suspects;
}

free_space_index::planned_placement free_space_index::plan_one_rack(const rack_space& rack,
                                                                    const request& wanted,
                                                                    allowance allowed) {
  struct room {
    worker_slot at;
    resource_amounts free;
    resource_amounts capacity;
  };
  std::vector<room> rooms;
  for (const auto at : rack.slots) {
    ++visited_;
    const auto& space = entry_of(at).space;
    if (space.usable && space.capacity.covers(wanted.each) && allowed(at) > 0) {
      rooms.push_back({.at = at, .free = space.free, .capacity = space.capacity});
    }
  }
  planned_placement result;
  while (result.where.size() < wanted.members) {
    room* best = nullptr;
    std::int64_t best_missing = 0;
    for (auto& each : rooms) {
      const auto missing = shortfall(wanted.each, each.free);
      if (each.capacity.covers(wanted.each) && (best == nullptr || missing < best_missing)) {
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

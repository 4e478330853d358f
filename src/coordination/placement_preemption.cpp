// Victim selection, reservations, fair sharing, migration and explanations.

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>

#include "placement_engine.hpp"

namespace rhubarbpath {
namespace {

constexpr double infinite = std::numeric_limits<double>::infinity();

/// Cost of stopping, checkpointing and restarting an attempt, in seconds per accelerator.
constexpr double restart_seconds = 30;
/// Each earlier preemption of a job raises its cost as a victim by this share.
constexpr double repeat_preemption_weight = 1.0;
/// Time since acceptance after which the cost of a victim has doubled, so that older jobs are spared.
constexpr double age_seconds = 6 * 3600;
/// Added to the cost of a job that reached the preemption limit. Exceeds any sum of ordinary costs, so that
/// the job is chosen only if nothing else frees enough accelerators.
constexpr double preemption_limit_cost = 1e12;
/// Costs of accelerators that are reserved or held. They are small and only break ties between placements
/// that need no preemption.
constexpr double reserved_cost = 0.25;
constexpr double held_cost = 0.5;
/// Weights of fully open groups of 8 in the rack and of open accelerators on the worker. Far below any other
/// cost, so that they only decide which free accelerators are used.
constexpr double whole_worker_cost = 1e-5;
constexpr double open_accelerator_cost = 1e-6;
/// An attempt is migrated only after this run time, because most short jobs end soon anyway.
constexpr duration shortest_run_before_migration{std::chrono::minutes{2}};
/// Bounds the cost of a tick: number of candidate workers times racks.
constexpr int migration_scan_budget = 20'000;
constexpr int max_migration_candidates = 64;
/// Blocks evaluated when a preemptible job looks for victims. Bounds the cost of a tick.
constexpr int max_victim_evaluations = 1024;

double seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

bool overlap(const std::vector<cell_block>& left, const std::vector<cell_block>& right) {
  return std::any_of(left.begin(), left.end(), [&](const cell_block& one) {
    return std::any_of(right.begin(), right.end(), [&](const cell_block& other) {
      return one.worker == other.worker && (one.mask & other.mask) != 0;
    });
  });
}

}  // namespace

double placement::engine::victim_cost(const job& victim) const {
  if (!victim.preemptible()) {
    return infinite;
  }
  if (victim.stopping) {
    return 1;
  }
  const double run = seconds(now_ - victim.placed_at);
  const double lost = restart_seconds + (victim.record.spec.checkpointable ? 0 : run);
  const double age = 1 + seconds(now_ - victim.record.accepted_at) / age_seconds;
  const double repeats = 1 + repeat_preemption_weight * victim.record.preemptions;
  const double cost = lost * victim.shape().accelerators() * age * repeats;
  return victim.record.preemptions >= options_.preemption_limit ? cost + preemption_limit_cost : cost;
}

double placement::engine::block_cost(const cell_block& block) const {
  double cost = (reserved_[block.worker] & block.mask) != 0 ? reserved_cost : 0;
  cost += (tree_->held(block.worker) & block.mask) != 0 ? held_cost : 0;
  if ((tree_->used(block.worker) & block.mask) == 0) {
    return cost + whole_worker_cost * tree_->whole_groups(topology_->rack_of(block.worker)) +
           open_accelerator_cost * std::popcount(tree_->open(block.worker));
  }
  for (const auto& task : tasks_on_[block.worker]) {
    cost += (task.mask & block.mask) != 0 ? victim_cost(*task.owner) : 0;
  }
  return cost;
}

std::uint32_t placement::engine::reclaimable_mask(int worker) const {
  return tree_->lost(worker)
             ? 0
             : topology_->capacity(worker) & ~pinned_[worker] & ~tree_->held(worker) & ~reserved_[worker];
}

void placement::engine::update_reservations() {
  // Activating a reservation removes it from the list, so the search restarts after each one.
  bool activated = true;
  while (activated) {
    const auto due =
        std::find_if(reservations_.begin(), reservations_.end(), [this](const reservation& each) {
          if (!within_team_limit(*each.owner)) {
            return false;
          }
          // Attempts placed after the reservation are backfill and are preempted. Attempts placed before it
          // are waited for, up to the limit.
          const bool limit_reached = now_ - each.since >= options_.reservation_limit;
          const auto blocking = occupants(each.cells);
          return std::all_of(blocking.begin(), blocking.end(), [&](const job* occupant) {
            return occupant->preemptible() &&
                   (limit_reached || occupant->stopping || occupant->placed_at > each.since);
          });
        });
    activated = due != reservations_.end() && activate_reservation(*due);
  }
}

bool placement::engine::activate_reservation(const reservation& due) {
  auto& owner = *due.owner;
  const auto cells = due.cells;
  dequeue(owner);
  if (occupants(cells).empty()) {
    place(owner, cells);
  } else {
    hold(owner, cells, preemption_cause::reservation);
  }
  return true;
}

int placement::engine::next_search_rack() {
  // A search covers only a part of a large fleet; the next search starts at the following racks.
  constexpr int racks_per_search = 64;
  search_rack_ =
      topology_->racks() <= racks_per_search ? 0 : (search_rack_ + racks_per_search) % topology_->racks();
  return search_rack_;
}

void placement::engine::add_reservations() {
  std::vector<job*> candidates;
  for (const auto& [position, target] : heads_) {
    auto* item = target->jobs.begin()->second;
    if (!target->key.guaranteed && now_ - item->queued_at >= options_.reserve_after &&
        reservation_of(*item) == nullptr && within_team_limit(*item)) {
      candidates.push_back(item);
    }
  }
  for (auto* item : candidates) {
    if (static_cast<int>(reservations_.size()) >= options_.max_reservations) {
      return;
    }
    auto cheapest =
        cheapest_fit(*topology_, {.shape = item->shape(),
                                  .mask_of = [this](int worker) { return reclaimable_mask(worker); },
                                  .cost = [this](const cell_block& block) { return block_cost(block); },
                                  .first_rack = next_search_rack(),
                                  .max_evaluations = max_victim_evaluations,
                                  .strict_limit = true});
    if (!cheapest) {
      continue;
    }
    for (const auto& cell : cheapest->cells) {
      reserved_[cell.worker] |= cell.mask;
    }
    reservations_.push_back({item, std::move(cheapest->cells), now_});
  }
}

const placement::engine::reservation* placement::engine::reservation_of(const job& owner) const {
  const auto found = std::find_if(reservations_.begin(), reservations_.end(),
                                  [&](const reservation& each) { return each.owner == &owner; });
  return found == reservations_.end() ? nullptr : &*found;
}

void placement::engine::drop_reservation(const job& owner) {
  const auto* found = reservation_of(owner);
  if (found == nullptr) {
    return;
  }
  for (const auto& cell : found->cells) {
    reserved_[cell.worker] &= ~cell.mask;
  }
  reservations_.erase(reservations_.begin() + (found - reservations_.data()));
}

void placement::engine::drop_overlapping_reservations(const std::vector<cell_block>& cells) {
  std::vector<const job*> owners;
  for (const auto& each : reservations_) {
    if (overlap(each.cells, cells)) {
      owners.push_back(each.owner);
    }
  }
  for (const auto* owner : owners) {
    drop_reservation(*owner);
  }
}

bool placement::engine::is_fair_share_victim(const job& victim, const job& claimant) const {
  if (!victim.preemptible() || victim.stopping || !victim.record.spec.checkpointable ||
      victim.record.preemptions >= options_.preemption_limit) {
    return false;
  }
  const duration run = now_ - victim.placed_at;
  if (run < options_.fair_share_quantum) {
    return false;
  }
  return order_of(victim, victim.record.attained_service + run) > claimant.order + options_.fair_share_margin;
}

void placement::engine::preempt_for_fair_share() {
  std::vector<job*> claimants;
  for (const auto& [position, target] : heads_) {
    auto* item = target->jobs.begin()->second;
    if (!target->key.guaranteed && within_team_limit(*item)) {
      claimants.push_back(item);
    }
    if (static_cast<int>(claimants.size()) >= options_.fair_share_jobs_per_tick) {
      break;
    }
  }
  for (auto* item : claimants) {
    const auto cost = [&](const cell_block& block) {
      double sum = 0;
      for (const auto& task : tasks_on_[block.worker]) {
        if ((task.mask & block.mask) == 0) {
          continue;
        }
        if (!is_fair_share_victim(*task.owner, *item)) {
          return infinite;
        }
        sum += victim_cost(*task.owner);
      }
      return sum;
    };
    auto found = cheapest_fit(*topology_, {.shape = item->shape(),
                                           .mask_of = [this](int worker) { return reclaimable_mask(worker); },
                                           .cost = cost,
                                           .first_rack = next_search_rack(),
                                           .max_evaluations = max_victim_evaluations,
                                           .strict_limit = true});
    // Accelerators without victims are left to the ordinary pass, which avoids the workers on which the job
    // failed.
    const auto victims = found ? static_cast<double>(occupants(found->cells).size()) : 0.0;
    if (victims == 0) {
      continue;
    }
    if (victims > preemption_tokens_) {
      return;
    }
    preemption_tokens_ -= victims;
    dequeue(*item);
    hold(*item, found->cells, preemption_cause::fair_share);
  }
}

double placement::engine::usable_score() const {
  double score = 0;
  for (const auto& shape : demanded_shapes()) {
    score += tree_->usable_accelerators(shape);
  }
  // Rewards fully open groups of 8 in few racks, even if one move alone makes no room for a larger shape.
  constexpr double concentration = 0.01;
  for (int rack = 0; rack < topology_->racks(); ++rack) {
    score += concentration * tree_->whole_groups(rack) * tree_->whole_groups(rack);
  }
  return score;
}

std::vector<placement::engine::job*> placement::engine::movable_jobs(int worker) const {
  std::vector<job*> movable;
  for (const auto& task : tasks_on_[worker]) {
    auto& item = *task.owner;
    const bool can_move = item.preemptible() && !item.stopping && item.record.spec.checkpointable &&
                          item.record.preemptions < options_.preemption_limit &&
                          now_ - item.placed_at >= shortest_run_before_migration;
    if (!can_move) {
      return {};
    }
    if (std::find(movable.begin(), movable.end(), &item) == movable.end()) {
      movable.push_back(&item);
    }
  }
  return movable;
}

std::optional<double> placement::engine::score_without(int worker, const std::vector<job*>& moved) {
  const auto change = [this](const std::vector<cell_block>& cells, bool use) {
    for (const auto& cell : cells) {
      if (use) {
        tree_->use(cell);
      } else {
        tree_->release(cell);
      }
    }
  };
  for (const auto* item : moved) {
    change(item->cells, false);
  }
  std::vector<std::vector<cell_block>> found;
  for (const auto* item : moved) {
    if (auto cells = tree_->best_fit(item->shape(), [worker](int other) { return other == worker; })) {
      change(*cells, true);
      found.push_back(std::move(*cells));
    }
  }
  std::optional<double> score;
  if (found.size() == moved.size()) {
    score = usable_score();
  }
  for (const auto& cells : found) {
    change(cells, false);
  }
  for (const auto* item : moved) {
    change(item->cells, true);
  }
  return score;
}

void placement::engine::migrate() {
  if (migration_tokens_ < 1 || topology_->racks() == 0) {
    return;
  }
  const int limit = std::clamp(migration_scan_budget / topology_->racks(), 1, max_migration_candidates);
  const double before = usable_score();
  std::optional<double> best;
  std::vector<job*> chosen;
  int candidates = 0;
  for (int step = 0; step < topology_->workers() && candidates < limit; ++step) {
    next_migration_worker_ = (next_migration_worker_ + 1) % topology_->workers();
    const int worker = next_migration_worker_;
    if (tree_->lost(worker) || tree_->held(worker) != 0 || tasks_on_[worker].empty()) {
      continue;
    }
    auto moved = movable_jobs(worker);
    if (moved.empty() || static_cast<double>(moved.size()) > migration_tokens_) {
      continue;
    }
    ++candidates;
    const auto score = score_without(worker, moved);
    double accelerators = 0;
    for (const auto* item : moved) {
      accelerators += item->shape().accelerators();
    }
    // A move must make more accelerators usable for the demanded shapes than the moved jobs occupy.
    if (score && *score - before > accelerators && (!best || *score > *best)) {
      best = score;
      chosen = std::move(moved);
    }
  }
  for (auto* item : chosen) {
    migration_tokens_ -= 1;
    preempt(*item, preemption_cause::migration, "the job moves to leave larger space together");
  }
}

std::string placement::engine::why_waiting(const job_id& id) const {
  const auto found = jobs_.find(id);
  if (found == jobs_.end() || found->second->at == phase::active) {
    return "";
  }
  const auto& item = *found->second;
  if (item.at == phase::holding) {
    const auto victims = occupants(item.cells);
    std::string text = "waits for " + std::to_string(victims.size()) + " preempted ";
    text += victims.size() == 1 ? "attempt" : "attempts";
    return text + " to stop in the space chosen for it";
  }
  if (item.queue == nullptr) {
    return "waits for the configuration to arrive";
  }
  return item.record.spec.guaranteed ? explain_guaranteed(item) : explain_preemptible(item);
}

std::string placement::engine::explain_guaranteed(const job& item) const {
  int fitting = 0;
  int without_cells = 0;
  for (const auto& instance : plan_->instances()) {
    if (instance.guarantee.team == item.record.spec.team && fits_inside(item.shape(), instance.shape)) {
      ++fitting;
      without_cells += instance.bound() ? 0 : 1;
    }
  }
  const std::string team = item.record.spec.team.value();
  if (without_cells == fitting) {
    return "waits for workers to return: none of the " + std::to_string(fitting) +
           " guarantee instances of team " + team + " that can hold it has healthy cells";
  }
  return "waits for a guaranteed job of team " + team + " to end: the " + std::to_string(fitting) +
         " guarantee instances that can hold " + describe(item.shape()) +
         " are in use or have no healthy cells";
}

std::string placement::engine::explain_preemptible(const job& item) const {
  const auto& team = teams_.at(item.record.spec.team);
  if (!within_team_limit(item)) {
    return "waits for other jobs of team " + item.record.spec.team.value() + " to end: the team uses " +
           std::to_string(team.used) + " of its limit of " + std::to_string(*team.limit) + " accelerators";
  }
  if (const auto* own = reservation_of(item)) {
    return "has a reservation and waits for " + std::to_string(occupants(own->cells).size()) +
           " attempts there to end or to be preempted";
  }
  const int usable = tree_->usable_accelerators(item.shape());
  if (usable > 0) {
    return "waits for its turn: " + describe(item.shape()) +
           " would fit, but the free space is kept for a reservation or holds a worker on which the job "
           "failed";
  }
  return "waits for space for " + describe(item.shape()) + ": " + std::to_string(tree_->open_accelerators()) +
         " accelerators are free, but not in this shape";
}

std::optional<job_record> placement::engine::record(const job_id& id) const {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    return std::nullopt;
  }
  job_record result = found->second->record;
  result.reason = why_waiting(id);
  return result;
}

std::vector<accelerator_shape> placement::engine::demanded_shapes() const {
  std::vector<accelerator_shape> shapes;
  const auto add = [&](const accelerator_shape& shape) {
    if (std::find(shapes.begin(), shapes.end(), shape) == shapes.end()) {
      shapes.push_back(shape);
    }
  };
  for (const auto& [key, target] : groups_) {
    add(target.shape);
  }
  for (const auto& share : plan_->shares()) {
    add(share.shape);
  }
  return shapes;
}

double placement::engine::fragmentation() const {
  const int idle = free_accelerators();
  if (tree_ == nullptr || idle == 0) {
    return 0;
  }
  const auto shapes = demanded_shapes();
  double unusable = 0;
  for (const auto& shape : shapes) {
    unusable += 1.0 - static_cast<double>(tree_->usable_accelerators(shape)) / idle;
  }
  return shapes.empty() ? 0 : unusable / static_cast<double>(shapes.size());
}

int placement::engine::free_accelerators() const {
  int free = 0;
  for (int worker = 0; topology_ != nullptr && worker < topology_->workers(); ++worker) {
    free += tree_->lost(worker) ? 0 : std::popcount(topology_->capacity(worker) & ~tree_->used(worker));
  }
  return free;
}

std::vector<placement::uncovered_guarantee> placement::engine::uncovered_guarantees() const {
  std::vector<uncovered_guarantee> result;
  if (plan_ == nullptr) {
    return result;
  }
  for (const auto& share : plan_->shares()) {
    const int uncovered = plan_->uncovered(share.guarantee);
    if (uncovered > 0) {
      result.push_back({share.guarantee, share.shape, uncovered, share.count});
    }
  }
  return result;
}

}  // namespace rhubarbpath

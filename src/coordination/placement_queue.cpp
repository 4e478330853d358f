// Queue of waiting jobs; allocation and release of accelerators.

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>

#include "placement_engine.hpp"

namespace rhubarbpath {
namespace {

/// Weight of the fragmentation cost. Far below the cost of a preemption, so that it only decides between free
/// accelerators.
constexpr double fragmentation_weight = 1e-4;

constexpr duration day{std::chrono::hours{24}};

/// Returns whether `shape` needs at least as much as `blocked` within the same or a narrower proximity. It
/// then fits nowhere if `blocked` fits nowhere.
bool needs_at_least(const accelerator_shape& shape, const accelerator_shape& blocked) {
  return shape.within <= blocked.within && shape.members >= blocked.members &&
         shape.accelerators_per_member >= blocked.accelerators_per_member;
}

duration scaled(duration value, double weight) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::micro>(value) * weight);
}

}  // namespace

std::string placement::engine::impossible_reason(const job_spec& spec) const {
  if (plan_ == nullptr) {
    return "this owner has not received a configuration yet; submit again later";
  }
  if (!is_valid(spec.shape)) {
    return "a member must have 1, 2, 4 or 8 accelerators, and a gang at least 1 member";
  }
  if (!teams_.contains(spec.team)) {
    return "team " + spec.team.value() + " is not in the configuration; ask an operator to add it";
  }
  if (!classes_.contains(spec.job_class)) {
    return "job class " + spec.job_class.value() + " is not in the configuration; choose a listed class";
  }
  return capacity_reason(spec);
}

std::string placement::engine::capacity_reason(const job_spec& spec) const {
  const std::string domain = "failure domain " + domain_.value();
  if (spec.guaranteed) {
    if (plan_->can_ever_hold(spec.team, spec.shape)) {
      return "";
    }
    return "team " + spec.team.value() + " has no guarantee in " + domain + " that can hold " +
           describe(spec.shape) + "; submit the job as preemptible or ask for a larger guarantee";
  }
  if (!empty_tree_->best_fit(spec.shape)) {
    return describe(spec.shape) + " do not fit into " + domain +
           " even when all its workers are free; ask for fewer or smaller members, or a wider place";
  }
  const auto& limit = teams_.at(spec.team).limit;
  if (limit && spec.shape.accelerators() > *limit) {
    return "the job needs " + std::to_string(spec.shape.accelerators()) +
           " accelerators, but the limit of team " + spec.team.value() + " in " + domain + " is " +
           std::to_string(*limit) + "; ask for fewer accelerators or a higher limit";
  }
  return "";
}

instant placement::engine::order_of(const job& item, duration attained) const {
  const auto& record = item.record;
  const auto found = classes_.find(record.spec.job_class);
  const auto declared =
      std::clamp(record.spec.declared_run_time, duration{0}, options_.max_declared_run_time);
  instant order = record.accepted_at + scaled(attained, options_.attained_weight) +
                  scaled(std::max(declared - attained, duration{0}), options_.declared_weight);
  if (found == classes_.end()) {
    return order;
  }
  order += found->second.rank * options_.wait_per_rank;
  if (found->second.finish_by) {
    const duration since_midnight = record.accepted_at.time_since_epoch() % day;
    duration until = *found->second.finish_by % day - since_midnight;
    until += until <= duration{0} ? day : duration{0};
    order = std::min(order, record.accepted_at + until - options_.deadline_slack - options_.deadline_lead);
  }
  return order;
}

void placement::engine::enqueue(job& item) {
  item.order = order_of(item, item.record.attained_service);
  const auto& shape = item.shape();
  const group_key key{item.record.spec.team, shape.accelerators_per_member, shape.members,
                      shape.within,          item.record.spec.guaranteed,   item.record.failures > 0};
  auto [found, created] = groups_.try_emplace(key);
  auto& target = found->second;
  if (created) {
    target.key = key;
    target.shape = shape;
  } else {
    heads_.erase(target.jobs.begin()->first);
  }
  target.jobs.emplace(queue_position{item.order, item.sequence}, &item);
  heads_.emplace(target.jobs.begin()->first, &target);
  item.queue = &target;
  item.at = phase::queued;
  item.record.state = job_state::waiting;
  ++waiting_;
  ++teams_.at(item.record.spec.team).waiting;
}

void placement::engine::dequeue(job& item) {
  auto& source = *item.queue;
  heads_.erase(source.jobs.begin()->first);
  source.jobs.erase(queue_position{item.order, item.sequence});
  if (source.jobs.empty()) {
    groups_.erase(source.key);
  } else {
    // The new first job has not been tried with the current claims.
    source.failed_generation = 0;
    heads_.emplace(source.jobs.begin()->first, &source);
  }
  item.queue = nullptr;
  --waiting_;
  if (const auto team = teams_.find(item.record.spec.team); team != teams_.end()) {
    --team->second.waiting;
  }
  drop_reservation(item);
}

void placement::engine::erase_job(job& item) {
  const job_id id = item.record.id;
  handle_health_event(worker_health::job_removed{id});
  jobs_.erase(id);
}

void placement::engine::refuse(job& item, std::string reason) {
  // The job is in no group, but it is included in the count of waiting jobs.
  --waiting_;
  out_->emplace_back(refuse_job{item.record.id, std::move(reason)});
  erase_job(item);
}

void placement::engine::end(job& item, job_state state, std::string reason) {
  out_->emplace_back(end_job{item.record.id, item.record.attempt, state, std::move(reason)});
  erase_job(item);
}

void placement::engine::place_waiting_jobs() {
  space_changed_ = false;
  blocked_.clear();
  tree_->set_demanded_shapes(demanded_shapes());
  update_reservations();
  auto next = heads_.begin();
  while (next != heads_.end()) {
    const auto position = next->first;
    try_head(*next->second);
    next = heads_.upper_bound(position);
  }
}

bool placement::engine::try_head(group& target) {
  auto& item = *target.jobs.begin()->second;
  if (target.key.guaranteed) {
    const auto generation = claim_generation(target.key.team);
    if (target.failed_generation == generation) {
      return false;
    }
    const group_key key = target.key;
    const bool placed = try_claim(item);
    if (const auto found = groups_.find(key); found != groups_.end() && !placed) {
      found->second.failed_generation = generation;
    }
    return placed;
  }
  return !is_blocked(target.shape) && within_team_limit(item) &&
         (try_trial_worker(item) || try_free_space(item));
}

std::uint64_t placement::engine::claim_generation(const team_id& team) const {
  return claim_generation_ + teams_.at(team).releases;
}

bool placement::engine::is_blocked(const accelerator_shape& shape) const {
  return std::any_of(blocked_.begin(), blocked_.end(),
                     [&](const accelerator_shape& blocked) { return needs_at_least(shape, blocked); });
}

bool placement::engine::within_team_limit(const job& item) const {
  const auto& team = teams_.at(item.record.spec.team);
  return !team.limit || team.used + item.shape().accelerators() <= *team.limit;
}

bool placement::engine::try_free_space(job& item) {
  std::vector<int> failed_on;
  for (const auto& worker : health_.failed_on(item.record.id)) {
    if (const auto index = topology_->find(worker)) {
      failed_on.push_back(*index);
    }
  }
  // After some waiting time, workers on which the job failed are used as well.
  const bool avoid_failed = !failed_on.empty() && now_ - item.queued_at < options_.reserve_after;
  const bool avoid_reserved =
      !item.record.spec.checkpointable || item.record.preemptions >= options_.preemption_limit;
  const auto avoid = [&](int worker) {
    return (avoid_failed && std::find(failed_on.begin(), failed_on.end(), worker) != failed_on.end()) ||
           (avoid_reserved && reserved_[worker] != 0);
  };
  const bool restricted = avoid_failed || (avoid_reserved && !reservations_.empty());
  auto cells = restricted ? tree_->best_fit(item.shape(), avoid) : tree_->best_fit(item.shape());
  if (!cells) {
    if (!restricted) {
      blocked_.push_back(item.shape());
    }
    return false;
  }
  dequeue(item);
  place(item, *cells);
  return true;
}

bool placement::engine::try_trial_worker(job& item) {
  if (item.shape().members != 1 || item.record.failures > 0) {
    return false;
  }
  for (const auto& id : trials_) {
    const auto worker = topology_->find(id);
    if (!worker || down_.contains(id) || !tasks_on_[*worker].empty()) {
      continue;
    }
    std::vector<cell_block> cells;
    if (take_aligned(*worker, topology_->capacity(*worker), item.shape().accelerators_per_member, 1, cells) ==
        1) {
      dequeue(item);
      place(item, cells);
      return true;
    }
  }
  return false;
}

bool placement::engine::try_claim(job& item) {
  auto claim = plan_->find_claim(item.record.spec.team, item.shape(),
                                 {.block = [this](const cell_block& block) { return block_cost(block); },
                                  .place =
                                      [this](const std::vector<cell_block>& cells) {
                                        return fragmentation_weight * tree_->fragmentation_cost(cells);
                                      }});
  if (!claim) {
    return false;
  }
  dequeue(item);
  // Preemptible jobs that hold the same accelerators return to the queue.
  for (const auto& cell : claim->cells) {
    const auto holders = holders_on_[cell.worker];
    for (auto* holder : holders) {
      const bool overlaps = std::any_of(
          holder->cells.begin(), holder->cells.end(),
          [&](const cell_block& held) { return held.worker == cell.worker && (held.mask & cell.mask) != 0; });
      if (overlaps) {
        requeue_held_job(*holder);
      }
    }
  }
  drop_overlapping_reservations(claim->cells);
  plan_->commit(*claim);
  const auto cells = claim->cells;
  item.claim = std::move(*claim);
  set_pinned(item, true);
  if (occupants(cells).empty()) {
    place(item, cells);
  } else {
    hold(item, cells, preemption_cause::guarantee);
  }
  return true;
}

void placement::engine::set_pinned(const job& item, bool pinned) {
  if (!item.claim) {
    return;
  }
  for (const auto& cell : item.claim->cells) {
    auto& mask = pinned_[cell.worker];
    mask = pinned ? mask | cell.mask : mask & ~cell.mask;
  }
}

void placement::engine::place(job& item, const std::vector<cell_block>& cells) {
  item.record.attempt = item.record.attempt.next();
  item.record.state = job_state::starting;
  item.record.placement.clear();
  for (const auto& cell : cells) {
    item.record.placement.push_back({topology_->id(cell.worker), cell.mask});
  }
  item.placed_at = now_;
  allocate_cells(item, cells);
  out_->emplace_back(place_job{item.record.id, item.record.attempt, item.record.placement});
}

void placement::engine::allocate_cells(job& item, const std::vector<cell_block>& cells) {
  item.at = phase::active;
  item.cells = cells;
  set_pinned(item, true);
  for (const auto& cell : item.cells) {
    tree_->use(cell);
    tasks_on_[cell.worker].push_back({&item, cell.mask});
  }
  if (const auto team = teams_.find(item.record.spec.team); team != teams_.end()) {
    team->second.used += item.shape().accelerators();
  }
}

void placement::engine::release_cells(job& item) {
  const auto cells = std::move(item.cells);
  item.cells.clear();
  for (const auto& cell : cells) {
    tree_->release(cell);
    auto& tasks = tasks_on_[cell.worker];
    tasks.erase(std::find_if(tasks.begin(), tasks.end(), [&](const task_on_worker& task) {
      return task.owner == &item && task.mask == cell.mask;
    }));
  }
  release_claim(item);
  if (const auto team = teams_.find(item.record.spec.team); team != teams_.end()) {
    team->second.used -= item.shape().accelerators();
  }
  space_changed_ = true;
  for (const auto& cell : cells) {
    const auto holders = holders_on_[cell.worker];
    for (auto* holder : holders) {
      try_place_held_job(*holder);
    }
  }
}

void placement::engine::release_claim(job& item) {
  if (!item.claim) {
    return;
  }
  set_pinned(item, false);
  plan_->release(*item.claim);
  item.claim.reset();
  if (const auto team = teams_.find(item.record.spec.team); team != teams_.end()) {
    ++team->second.releases;
  }
  plan_changed_ = true;
}

std::vector<placement::engine::job*> placement::engine::occupants(
    const std::vector<cell_block>& cells) const {
  std::vector<job*> found;
  for (const auto& cell : cells) {
    for (const auto& task : tasks_on_[cell.worker]) {
      if ((task.mask & cell.mask) != 0) {
        found.push_back(task.owner);
      }
    }
  }
  std::sort(found.begin(), found.end(),
            [](const job* left, const job* right) { return left->sequence < right->sequence; });
  found.erase(std::unique(found.begin(), found.end()), found.end());
  return found;
}

void placement::engine::hold(job& item, const std::vector<cell_block>& cells, preemption_cause cause) {
  item.at = phase::holding;
  item.cells = cells;
  ++waiting_;
  ++teams_.at(item.record.spec.team).waiting;
  for (const auto& cell : item.cells) {
    tree_->hold(cell);
    auto& holders = holders_on_[cell.worker];
    if (std::find(holders.begin(), holders.end(), &item) == holders.end()) {
      holders.push_back(&item);
    }
  }
  for (auto* victim : occupants(item.cells)) {
    preempt(*victim, cause, "job " + item.record.id.value() + " takes the space");
  }
}

void placement::engine::release_hold(job& item) {
  for (const auto& cell : item.cells) {
    tree_->unhold(cell);
    auto& holders = holders_on_[cell.worker];
    holders.erase(std::remove(holders.begin(), holders.end(), &item), holders.end());
  }
  item.cells.clear();
  --waiting_;
  if (const auto team = teams_.find(item.record.spec.team); team != teams_.end()) {
    --team->second.waiting;
  }
  space_changed_ = true;
}

void placement::engine::try_place_held_job(job& item) {
  const bool free = std::all_of(item.cells.begin(), item.cells.end(), [&](const cell_block& cell) {
    return (tree_->used(cell.worker) & cell.mask) == 0;
  });
  if (!free) {
    return;
  }
  const auto cells = item.cells;
  release_hold(item);
  place(item, cells);
}

void placement::engine::requeue_held_job(job& item) {
  release_hold(item);
  release_claim(item);
  enqueue(item);
}

void placement::engine::preempt(job& item, preemption_cause cause, const std::string& reason) {
  if (item.stopping) {
    return;
  }
  item.stopping = cause;
  item.record.state = job_state::stopping;
  out_->emplace_back(preempt_job{item.record.id, item.record.attempt, cause, reason});
}

}  // namespace rhubarbpath

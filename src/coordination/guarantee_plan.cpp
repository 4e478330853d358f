#include "rhubarbpath/coordination/guarantee_plan.hpp"

#include <algorithm>
#include <bit>
#include <limits>
#include <map>
#include <numeric>
#include <set>
#include <tuple>

namespace rhubarbpath {
namespace {

/// Budget of the packing search after the greedy packing failed: nodes times the square of the workers.
constexpr int packing_search_budget = 400'000;
constexpr int max_packing_nodes = 20'000;

/// Blocks evaluated when a claim looks for cells outside its binding. Keeps a claim far under a millisecond.
constexpr int max_claim_evaluations = 512;

/// Number of teams that the message of one problem lists.
constexpr std::size_t max_named_teams = 5;

/// Order in which instances are packed: the largest members first, then the narrowest proximity, then the
/// most members. Placing aligned groups in decreasing size avoids fragmentation.
bool packs_before(const accelerator_shape& left, const accelerator_shape& right) {
  return std::tuple{-left.accelerators_per_member, left.within, -left.members} <
         std::tuple{-right.accelerators_per_member, right.within, -right.members};
}

/// Packs shapes into a tree: greedy best fit first, then a backtracking search within a budget of nodes.
class packer {
 public:
  packer(cell_tree& tree, int nodes) : tree_{tree}, nodes_{nodes} {}

  /// Places all shapes if it can, otherwise those that the greedy packing places. The result has the cells of
  /// each shape; they are empty for a shape that was not placed.
  std::vector<std::vector<cell_block>> pack(const std::vector<accelerator_shape>& shapes) {
    shapes_ = &shapes;
    placed_.assign(shapes.size(), {});
    std::size_t missing = 0;
    for (std::size_t item = 0; item < shapes.size(); ++item) {
      if (auto cells = tree_.best_fit(shapes[item])) {
        place_item(item, std::move(*cells));
      } else {
        ++missing;
      }
    }
    if (missing == 0) {
      return placed_;
    }
    auto greedy = placed_;
    for (std::size_t item = 0; item < shapes.size(); ++item) {
      remove_item(item);
    }
    if (!search(0)) {
      for (std::size_t item = 0; item < shapes.size(); ++item) {
        remove_item(item);
        place_item(item, greedy[item]);
      }
    }
    return placed_;
  }

 private:
  void place_item(std::size_t item, std::vector<cell_block> cells) {
    for (const auto& cell : cells) {
      tree_.use(cell);
    }
    placed_[item] = std::move(cells);
  }

  void remove_item(std::size_t item) {
    for (const auto& cell : placed_[item]) {
      tree_.release(cell);
    }
    placed_[item].clear();
  }

  // The recursion depth is the number of instances in one failure domain.
  bool search(std::size_t item) {  // NOLINT(misc-no-recursion)
    if (item == shapes_->size()) {
      return true;
    }
    for (auto& cells : places((*shapes_)[item])) {
      if (--nodes_ < 0) {
        return false;
      }
      place_item(item, std::move(cells));
      if (search(item + 1)) {
        return true;
      }
      remove_item(item);
    }
    return false;
  }

  /// Returns one candidate for each kind of worker or rack. Those with the same open groups are
  /// interchangeable.
  std::vector<std::vector<cell_block>> places(const accelerator_shape& shape) const {
    std::vector<std::vector<cell_block>> result;
    const auto& topology = tree_.topology();
    std::set<std::vector<int>> seen;
    const auto add = [&](const std::function<bool(int)>& avoid) {
      if (auto cells = tree_.best_fit(shape, avoid)) {
        result.push_back(std::move(*cells));
      }
    };
    const auto signature = [&](int worker) {
      const auto open = tree_.open(worker);
      return aligned_groups(open, 8) + 8 * (aligned_groups(open, 4) + 16 * (aligned_groups(open, 2))) +
             4096 * std::popcount(open);
    };
    const auto rack_signature = [&](int rack) {
      std::vector<int> value;
      for (const int worker : topology.rack_workers(rack)) {
        value.push_back(signature(worker));
      }
      std::sort(value.begin(), value.end());
      return value;
    };
    if (shape.within == proximity::worker) {
      for (int worker = 0; worker < topology.workers(); ++worker) {
        auto kind = rack_signature(topology.rack_of(worker));
        kind.push_back(-signature(worker));
        if (tree_.open(worker) != 0 && seen.insert(std::move(kind)).second) {
          add([worker](int other) { return other != worker; });
        }
      }
      return result;
    }
    for (int rack = 0; rack < topology.racks() && shape.within == proximity::rack; ++rack) {
      if (seen.insert(rack_signature(rack)).second) {
        add([&topology, rack](int other) { return topology.rack_of(other) != rack; });
      }
    }
    if (shape.within == proximity::failure_domain) {
      add(nullptr);
    }
    return result;
  }

  cell_tree& tree_;
  int nodes_;
  const std::vector<accelerator_shape>* shapes_{nullptr};
  std::vector<std::vector<cell_block>> placed_;
};

int node_budget(int workers) {
  return std::clamp(packing_search_budget / std::max(workers * workers, 1), 20, max_packing_nodes);
}

std::uint32_t aligned_parent(std::uint32_t mask, int size) {
  const int position = std::countr_zero(mask) / size * size;
  return ((std::uint32_t{1} << size) - 1) << position;
}

}  // namespace

struct guarantee_plan::candidate {
  claim taken;
  double cost{0};
};

int guarantee_plan::instance::claimed_accelerators() const noexcept {
  return std::accumulate(claimed.begin(), claimed.end(), 0,
                         [](int sum, std::uint32_t mask) { return sum + std::popcount(mask); });
}

guarantee_plan::guarantee_plan(options opts)
    : topology_{std::move(opts.topology)},
      shares_{std::move(opts.shares)},
      bound_on_(topology_->workers()),
      unbound_{topology_} {
  std::stable_sort(shares_.begin(), shares_.end(),
                   [](const auto& left, const auto& right) { return packs_before(left.shape, right.shape); });
  for (const auto& share : shares_) {
    for (int copy = 0; copy < share.count; ++copy) {
      const int index = static_cast<int>(instances_.size());
      instances_.push_back({share.guarantee, share.shape, {}, {}});
      by_team_[share.guarantee.team].push_back(index);
      pending_rebind_.push_back(index);
    }
  }
}

bool guarantee_plan::covered(const instance& target) const {
  return target.bound() && std::none_of(target.cells.begin(), target.cells.end(),
                                        [&](const cell_block& cell) { return unbound_.lost(cell.worker); });
}

int guarantee_plan::uncovered(const guarantee_ref& guarantee) const {
  const auto found = by_team_.find(guarantee.team);
  if (found == by_team_.end()) {
    return 0;
  }
  return static_cast<int>(std::count_if(found->second.begin(), found->second.end(), [&](int index) {
    return instances_[index].guarantee == guarantee && !covered(instances_[index]);
  }));
}

void guarantee_plan::bind(int index, std::vector<cell_block> cells) {
  for (const auto& cell : cells) {
    unbound_.use(cell);
    bound_on_[cell.worker].push_back(index);
  }
  instances_[index].claimed.assign(cells.size(), 0);
  instances_[index].cells = std::move(cells);
}

void guarantee_plan::unbind(int index) {
  for (const auto& cell : instances_[index].cells) {
    unbound_.release(cell);
    auto& indices = bound_on_[cell.worker];
    indices.erase(std::find(indices.begin(), indices.end(), index));
  }
  instances_[index].cells.clear();
  instances_[index].claimed.clear();
}

void guarantee_plan::set_usable(int worker, bool usable) {
  unbound_.set_unusable(worker, !usable);
  repack_may_help_ = true;
  pending_rebind_.insert(pending_rebind_.end(), bound_on_[worker].begin(), bound_on_[worker].end());
}

bool guarantee_plan::rebind() {
  std::sort(pending_rebind_.begin(), pending_rebind_.end());
  pending_rebind_.erase(std::unique(pending_rebind_.begin(), pending_rebind_.end()), pending_rebind_.end());
  bool changed = false;
  std::vector<int> failed;
  for (const int index : pending_rebind_) {
    if (covered(instances_[index])) {
      continue;
    }
    const bool bound = pinned(index) ? move_unclaimed_members(index) : rebind_unclaimed(index);
    changed = changed || bound;
    if (!bound) {
      failed.push_back(index);
    }
  }
  pending_rebind_ = failed;
  const bool any_unclaimed =
      std::any_of(failed.begin(), failed.end(), [&](int index) { return !pinned(index); });
  if (any_unclaimed && repack_may_help_) {
    repack();
    repack_may_help_ = false;
    changed = true;
    // The new packing may leave out other instances than before.
    pending_rebind_.clear();
    for (int index = 0; index < static_cast<int>(instances_.size()); ++index) {
      if (!covered(instances_[index])) {
        pending_rebind_.push_back(index);
      }
    }
  }
  return changed;
}

bool guarantee_plan::rebind_unclaimed(int index) {
  unbind(index);
  auto cells = unbound_.best_fit(instances_[index].shape);
  if (!cells) {
    return false;
  }
  bind(index, std::move(*cells));
  return true;
}

bool guarantee_plan::move_unclaimed_members(int index) {
  // Claimed members stay with their jobs. The others may move if the proximity of the shape stays satisfied.
  auto& target = instances_[index];
  if (target.shape.within == proximity::worker) {
    return false;
  }
  int anchor = 0;
  for (std::size_t member = 0; member < target.cells.size(); ++member) {
    anchor = target.claimed[member] != 0 ? target.cells[member].worker : anchor;
  }
  const int rack = topology_->rack_of(anchor);
  bool all = true;
  for (std::size_t member = 0; member < target.cells.size(); ++member) {
    auto& cell = target.cells[member];
    if (!unbound_.lost(cell.worker)) {
      continue;
    }
    const accelerator_shape one{target.shape.accelerators_per_member, 1, proximity::worker};
    const auto found = target.claimed[member] != 0 ? std::nullopt : unbound_.best_fit(one, [&](int worker) {
      return target.shape.within == proximity::rack && topology_->rack_of(worker) != rack;
    });
    if (!found) {
      all = false;
      continue;
    }
    unbound_.release(cell);
    auto& indices = bound_on_[cell.worker];
    indices.erase(std::find(indices.begin(), indices.end(), index));
    cell = found->front();
    unbound_.use(cell);
    bound_on_[cell.worker].push_back(index);
  }
  return all;
}

void guarantee_plan::repack() {
  std::vector<int> movable;
  std::vector<accelerator_shape> shapes;
  int demand = 0;
  for (int index = 0; index < static_cast<int>(instances_.size()); ++index) {
    if (!pinned(index)) {
      movable.push_back(index);
      shapes.push_back(instances_[index].shape);
      demand += instances_[index].shape.accelerators();
    }
  }
  for (const int index : movable) {
    unbind(index);
  }
  // If the demand exceeds the open accelerators, the search cannot succeed: only the greedy packing is tried.
  const bool infeasible = demand > unbound_.open_accelerators();
  cell_tree scratch = unbound_;
  auto placed = packer{scratch, infeasible ? 0 : node_budget(topology_->workers())}.pack(shapes);
  for (std::size_t item = 0; item < movable.size(); ++item) {
    if (!placed[item].empty()) {
      bind(movable[item], std::move(placed[item]));
    }
  }
}

bool guarantee_plan::can_ever_hold(const team_id& team, const accelerator_shape& shape) const {
  const auto found = by_team_.find(team);
  return found != by_team_.end() && std::any_of(found->second.begin(), found->second.end(), [&](int index) {
           return fits_inside(shape, instances_[index].shape);
         });
}

namespace {

/// Returns the cheapest blocks for `shape` in the available parts of a binding, given as a mask per worker.
std::optional<cheapest_fit_result> pick_inside(const fleet_topology& topology, const accelerator_shape& shape,
                                               const std::map<int, std::uint32_t>& available,
                                               const guarantee_plan::claim_cost& cost) {
  // Searches only the racks of the binding, which are few; searching the whole failure domain would be slow.
  std::optional<cheapest_fit_result> best;
  std::map<int, std::vector<int>> places;
  for (const auto& [worker, mask] : available) {
    const int place = shape.within == proximity::worker ? worker
                      : shape.within == proximity::rack ? topology.rack_of(worker)
                                                        : 0;
    places[place].push_back(worker);
  }
  for (const auto& [place, workers] : places) {
    auto found = cheapest_fit_in(workers, {.shape = shape,
                                           .mask_of = [&](int worker) { return available.at(worker); },
                                           .cost = cost.block,
                                           .place_cost = cost.place});
    if (found && (!best || found->cost < best->cost)) {
      best = std::move(found);
    }
  }
  return best;
}

}  // namespace

void guarantee_plan::claim_within_binding(int index, const accelerator_shape& shape, const claim_cost& cost,
                                          std::optional<candidate>& best) const {
  const auto& target = instances_[index];
  std::map<int, std::uint32_t> available;
  int unclaimed = 0;
  for (std::size_t member = 0; member < target.cells.size(); ++member) {
    const auto& cell = target.cells[member];
    const std::uint32_t rest = cell.mask & ~target.claimed[member];
    if (rest != 0 && !unbound_.lost(cell.worker)) {
      available[cell.worker] |= rest;
      unclaimed += std::popcount(rest);
    }
  }
  auto found =
      unclaimed < shape.accelerators() ? std::nullopt : pick_inside(*topology_, shape, available, cost);
  if (found && (!best || found->cost < best->cost)) {
    best = candidate{{index, std::move(found->cells), {}}, found->cost};
  }
}

void guarantee_plan::claim_moved(int index, const accelerator_shape& shape, const claim_cost& cost,
                                 std::optional<candidate>& best) const {
  const auto& target = instances_[index];
  next_rack_ = topology_->racks() == 0 ? 0 : (next_rack_ + 1) % topology_->racks();
  const auto own = [&](int worker) {
    std::uint32_t mask = 0;
    for (const auto& cell : target.cells) {
      mask |= cell.worker == worker ? cell.mask : 0;
    }
    return mask;
  };
  const auto place = cheapest_fit(
      *topology_,
      {.shape = target.shape,
       .mask_of =
           [&](int worker) { return unbound_.open(worker) | (unbound_.lost(worker) ? 0 : own(worker)); },
       .cost = cost.block,
       .place_cost = cost.place,
       .first_rack = next_rack_,
       .max_evaluations = max_claim_evaluations});
  if (!place) {
    return;
  }
  std::map<int, std::uint32_t> available;
  for (const auto& cell : place->cells) {
    available[cell.worker] |= cell.mask;
  }
  auto found = pick_inside(*topology_, shape, available, cost);
  if (found && (!best || found->cost < best->cost)) {
    best = candidate{{index, std::move(found->cells), place->cells}, found->cost};
  }
}

std::optional<guarantee_plan::claim> guarantee_plan::find_claim(const team_id& team,
                                                                const accelerator_shape& shape,
                                                                const claim_cost& cost) const {
  const auto found = by_team_.find(team);
  if (found == by_team_.end()) {
    return std::nullopt;
  }
  // Prefers an instance of exactly this shape, then the one with the fewest accelerators left over, so that
  // the other instances stay free for larger jobs of the team. The cost decides between instances of equal
  // rank.
  using rank = std::pair<bool, int>;
  std::vector<std::pair<rank, int>> ranked;
  for (const int index : found->second) {
    const auto& target = instances_[index];
    const int left_over = target.shape.accelerators() - target.claimed_accelerators() - shape.accelerators();
    if (target.bound() && left_over >= 0 && fits_inside(shape, target.shape)) {
      ranked.push_back({{target.shape != shape, left_over}, index});
    }
  }
  std::sort(ranked.begin(), ranked.end());
  std::optional<candidate> best;
  for (auto first = ranked.begin(); first != ranked.end() && !best;) {
    const auto last =
        std::find_if(first, ranked.end(), [&](const auto& each) { return each.first != first->first; });
    for (auto each = first; each != last; ++each) {
      claim_within_binding(each->second, shape, cost, best);
    }
    // Unclaimed instances of one guarantee are interchangeable for a move, so one per guarantee is tried.
    std::set<int> tried;
    for (auto each = first; each != last; ++each) {
      if (!pinned(each->second) && tried.insert(instances_[each->second].guarantee.guarantee).second) {
        claim_moved(each->second, shape, cost, best);
      }
    }
    first = last;
  }
  return best ? std::optional{std::move(best->taken)} : std::nullopt;
}

void guarantee_plan::commit(const claim& taken) {
  if (!taken.moved_binding.empty()) {
    unbind(taken.instance);
    bind(taken.instance, taken.moved_binding);
  }
  auto& target = instances_[taken.instance];
  for (const auto& cell : taken.cells) {
    for (std::size_t member = 0; member < target.cells.size(); ++member) {
      if (target.cells[member].worker == cell.worker) {
        target.claimed[member] |= target.cells[member].mask & cell.mask;
      }
    }
  }
}

void guarantee_plan::release(const claim& taken) {
  auto& target = instances_[taken.instance];
  for (const auto& cell : taken.cells) {
    for (std::size_t member = 0; member < target.cells.size(); ++member) {
      if (target.cells[member].worker == cell.worker) {
        target.claimed[member] &= ~cell.mask;
      }
    }
  }
  pending_rebind_.push_back(taken.instance);
  repack_may_help_ = repack_may_help_ || !pinned(taken.instance);
}

std::optional<std::vector<cell_block>> guarantee_plan::find_binding_containing(
    int index, const std::vector<cell_block>& cells) {
  // The new binding must contain the claimed members and the aligned groups around the job's cells.
  const auto& target = instances_[index];
  std::vector<cell_block> wanted;
  for (std::size_t member = 0; member < target.cells.size(); ++member) {
    if (target.claimed[member] != 0) {
      wanted.push_back(target.cells[member]);
    }
  }
  for (const auto& cell : cells) {
    if (std::popcount(cell.mask) > target.shape.accelerators_per_member) {
      return std::nullopt;
    }
    const cell_block parent{cell.worker, aligned_parent(cell.mask, target.shape.accelerators_per_member)};
    if (std::find(wanted.begin(), wanted.end(), parent) == wanted.end()) {
      wanted.push_back(parent);
    }
  }
  if (static_cast<int>(wanted.size()) > target.shape.members) {
    return std::nullopt;
  }
  const auto same_place = [&](int worker) {
    const int anchor = wanted.front().worker;
    return target.shape.within == proximity::failure_domain ||
           (target.shape.within == proximity::rack &&
            topology_->rack_of(worker) == topology_->rack_of(anchor)) ||
           worker == anchor;
  };
  const auto is_available = [&](const cell_block& block) {
    if ((topology_->capacity(block.worker) & block.mask) != block.mask || !same_place(block.worker)) {
      return false;
    }
    const auto& indices = bound_on_[block.worker];
    return std::all_of(indices.begin(), indices.end(), [&](int other) {
      const auto& bound_cells = instances_[other].cells;
      return other == index || !pinned(other) ||
             std::none_of(bound_cells.begin(), bound_cells.end(), [&](const auto& c) {
               return c.worker == block.worker && (c.mask & block.mask) != 0;
             });
    });
  };
  if (!std::all_of(wanted.begin(), wanted.end(), is_available)) {
    return std::nullopt;
  }
  const int size = target.shape.accelerators_per_member;
  const auto add_members = [&](int worker) {
    for (int position = 0; position + size <= 32; position += size) {
      const cell_block block{worker, ((std::uint32_t{1} << size) - 1) << position};
      if (static_cast<int>(wanted.size()) < target.shape.members && !unbound_.lost(worker) &&
          is_available(block) && std::find(wanted.begin(), wanted.end(), block) == wanted.end()) {
        wanted.push_back(block);
      }
    }
  };
  for (const int worker : topology_->rack_workers(topology_->rack_of(wanted.front().worker))) {
    add_members(worker);
  }
  for (int worker = 0; worker < topology_->workers() && target.shape.within == proximity::failure_domain;
       ++worker) {
    add_members(worker);
  }
  return static_cast<int>(wanted.size()) == target.shape.members ? std::optional{wanted} : std::nullopt;
}

std::optional<int> guarantee_plan::adopt(const team_id& team, const std::vector<cell_block>& cells) {
  const auto found = by_team_.find(team);
  if (found == by_team_.end() || cells.empty()) {
    return std::nullopt;
  }
  const auto inside = [&](const instance& target) {
    return std::all_of(cells.begin(), cells.end(), [&](const cell_block& cell) {
      for (std::size_t member = 0; member < target.cells.size(); ++member) {
        if (target.cells[member].worker == cell.worker &&
            (target.cells[member].mask & ~target.claimed[member] & cell.mask) == cell.mask) {
          return true;
        }
      }
      return false;
    });
  };
  for (const bool claimed_first : {true, false}) {
    for (const int index : found->second) {
      if (pinned(index) == claimed_first && inside(instances_[index])) {
        commit({index, cells, {}});
        return index;
      }
    }
  }
  for (const bool claimed_first : {true, false}) {
    for (const int index : found->second) {
      if (pinned(index) != claimed_first) {
        continue;
      }
      auto binding = find_binding_containing(index, cells);
      if (!binding) {
        continue;
      }
      const auto old_cells = instances_[index].cells;
      const auto old_claims = instances_[index].claimed;
      unbind(index);
      unbind_overlapping(*binding);
      bind(index, std::move(*binding));
      auto& target = instances_[index];
      for (std::size_t member = 0; member < target.cells.size(); ++member) {
        const auto before = std::find(old_cells.begin(), old_cells.end(), target.cells[member]);
        target.claimed[member] = before == old_cells.end() ? 0 : old_claims[before - old_cells.begin()];
      }
      if (!inside(target)) {
        // A claimed member already uses some of the cells. The instance keeps its new binding.
        continue;
      }
      commit({index, cells, {}});
      return index;
    }
  }
  return std::nullopt;
}

void guarantee_plan::unbind_overlapping(const std::vector<cell_block>& cells) {
  for (const auto& cell : cells) {
    const auto indices = bound_on_[cell.worker];
    for (const int other : indices) {
      const auto& other_cells = instances_[other].cells;
      if (std::any_of(other_cells.begin(), other_cells.end(), [&](const cell_block& c) {
            return c.worker == cell.worker && (c.mask & cell.mask) != 0;
          })) {
        unbind(other);
        repack_may_help_ = true;
        pending_rebind_.push_back(other);
      }
    }
  }
}

bool fits_inside(const accelerator_shape& inner, const accelerator_shape& outer) {
  if (inner.accelerators_per_member > outer.accelerators_per_member) {
    return false;
  }
  const int per_member = outer.accelerators_per_member / inner.accelerators_per_member;
  const bool whole_instance = inner.within >= outer.within;
  return inner.members <= (whole_instance ? per_member * outer.members : per_member);
}

namespace {

struct domain_space {
  failure_domain_id id;
  std::shared_ptr<const fleet_topology> topology;
  cell_tree tree;
  std::vector<accelerator_shape> shapes;  ///< Instances assigned so far.
};

struct wanted_guarantee {
  guarantee_ref guarantee;
  const guarantee_spec* spec{nullptr};
};

/// Packs all instances of one failure domain again together with one more. Used when best fit finds no cells
/// for it. Returns false and changes nothing if they do not fit.
bool repack_with(domain_space& domain, const accelerator_shape& shape) {
  auto shapes = domain.shapes;
  shapes.push_back(shape);
  int demand = 0;
  for (const auto& each : shapes) {
    demand += each.accelerators();
  }
  if (demand > domain.topology->accelerators()) {
    return false;
  }
  std::stable_sort(shapes.begin(), shapes.end(), packs_before);
  cell_tree tree{domain.topology};
  const auto placed = packer{tree, node_budget(domain.topology->workers())}.pack(shapes);
  if (std::any_of(placed.begin(), placed.end(), [](const auto& cells) { return cells.empty(); })) {
    return false;
  }
  domain.tree = std::move(tree);
  domain.shapes = std::move(shapes);
  return true;
}

bool assign_to_domain(domain_space& domain, const accelerator_shape& shape) {
  if (const auto cells = domain.tree.best_fit(shape)) {
    for (const auto& cell : *cells) {
      domain.tree.use(cell);
    }
    domain.shapes.push_back(shape);
    return true;
  }
  return repack_with(domain, shape);
}

/// Assigns one instance to a failure domain. Returns the failure domain, or null if the instance fits
/// nowhere.
domain_space* assign(std::vector<domain_space>& domains, const guarantee_spec& spec, bool spread) {
  std::vector<domain_space*> order;
  for (auto& domain : domains) {
    if (!spec.failure_domain || *spec.failure_domain == domain.id) {
      order.push_back(&domain);
    }
  }
  std::stable_sort(order.begin(), order.end(), [spread](const domain_space* left, const domain_space* right) {
    const int left_open = left->tree.open_accelerators();
    const int right_open = right->tree.open_accelerators();
    return spread ? left_open > right_open : left_open < right_open;
  });
  const auto found = std::find_if(order.begin(), order.end(), [&](domain_space* domain) {
    return assign_to_domain(*domain, spec.shape);
  });
  return found == order.end() ? nullptr : *found;
}

std::vector<domain_space> empty_domains(const environment_document& document) {
  std::vector<domain_space> domains;
  for (const auto& domain : document.failure_domains) {
    auto topology = std::make_shared<const fleet_topology>(document, domain.id);
    domains.push_back({domain.id, topology, cell_tree{topology}, {}});
  }
  std::sort(domains.begin(), domains.end(),
            [](const domain_space& left, const domain_space& right) { return left.id < right.id; });
  return domains;
}

/// Returns the valid guarantees in packing order and reports the invalid ones in `result`. Guarantees tied to
/// a failure domain come first, because the others can use any failure domain.
std::vector<wanted_guarantee> packing_order(const environment_document& document, guarantee_check& result) {
  std::vector<wanted_guarantee> order;
  for (const auto& team : document.teams) {
    for (int index = 0; index < static_cast<int>(team.guarantees.size()); ++index) {
      const auto& spec = team.guarantees[index];
      if (is_valid(spec.shape)) {
        order.push_back({{team.id, index}, &spec});
        continue;
      }
      result.problems.push_back({{team.id},
                                 spec.shape.within,
                                 "team " + team.id.value() + ", guarantee " + std::to_string(index + 1) +
                                     ": a member has 1, 2, 4 or 8 accelerators and a shape at least 1 member",
                                 {team.id, index}});
    }
  }
  std::sort(order.begin(), order.end(), [](const wanted_guarantee& left, const wanted_guarantee& right) {
    const bool left_free = !left.spec->failure_domain.has_value();
    const bool right_free = !right.spec->failure_domain.has_value();
    if (left_free != right_free) {
      return right_free;
    }
    if (packs_before(left.spec->shape, right.spec->shape)) {
      return true;
    }
    return !packs_before(right.spec->shape, left.spec->shape) && left.guarantee < right.guarantee;
  });
  return order;
}

/// Returns the teams with instances in the failure domains that the guarantee may use.
std::vector<team_id> competitors(const guarantee_check& result, const wanted_guarantee& wanted) {
  std::set<team_id> teams{wanted.guarantee.team};
  for (const auto& share : result.shares) {
    if (!wanted.spec->failure_domain || *wanted.spec->failure_domain == share.failure_domain) {
      teams.insert(share.guarantee.team);
    }
  }
  return {teams.begin(), teams.end()};
}

void add_problem(const std::vector<domain_space>& domains, const wanted_guarantee& wanted, int missing,
                 guarantee_check& result) {
  const auto& spec = *wanted.spec;
  int open = 0;
  bool fits_alone = false;
  for (const auto& domain : domains) {
    if (!spec.failure_domain || *spec.failure_domain == domain.id) {
      open = std::max(open, domain.tree.open_accelerators());
      fits_alone = fits_alone || cell_tree{domain.topology}.best_fit(spec.shape).has_value();
    }
  }
  const std::string where =
      spec.failure_domain ? "failure domain " + spec.failure_domain->value() : "any failure domain";
  std::string text = "team " + wanted.guarantee.team.value() + ", guarantee " +
                     std::to_string(wanted.guarantee.guarantee + 1) + " (" + describe(spec.shape) + "): ";
  if (!fits_alone) {
    text += "the shape does not fit into " + where +
            " even when all its workers are free; choose a smaller shape";
    result.problems.push_back(
        {{wanted.guarantee.team}, spec.shape.within, std::move(text), wanted.guarantee});
    return;
  }
  text += std::to_string(missing) + " of " + std::to_string(spec.count) + " instances do not fit into " +
          where + " beside the guarantees of ";
  auto teams = competitors(result, wanted);
  for (std::size_t index = 0; index < teams.size() && index < max_named_teams; ++index) {
    text += (index == 0 ? "" : ", ") + teams[index].value();
  }
  if (teams.size() > max_named_teams) {
    text += " and " + std::to_string(teams.size() - max_named_teams) + " more teams";
  }
  text += "; reduce a guarantee or add workers";
  const auto level = open < spec.shape.accelerators() ? proximity::failure_domain : spec.shape.within;
  result.problems.push_back({std::move(teams), level, std::move(text), wanted.guarantee});
}

guarantee_check assign_all(const environment_document& document, bool spread) {
  auto domains = empty_domains(document);
  guarantee_check result;
  std::vector<std::pair<wanted_guarantee, int>> unmet;
  for (const auto& wanted : packing_order(document, result)) {
    std::map<failure_domain_id, int> counts;
    int missing = 0;
    for (int copy = 0; copy < wanted.spec->count; ++copy) {
      const auto* domain = missing > 0 ? nullptr : assign(domains, *wanted.spec, spread);
      if (domain == nullptr) {
        ++missing;
      } else {
        ++counts[domain->id];
      }
    }
    // An instance that fits nowhere is still assigned, so that one owner reports it as uncovered.
    if (missing > 0 && !domains.empty()) {
      unmet.emplace_back(wanted, missing);
      counts[wanted.spec->failure_domain.value_or(domains.front().id)] += missing;
    }
    for (const auto& [id, count] : counts) {
      result.shares.push_back({wanted.guarantee, id, wanted.spec->shape, count});
    }
  }
  for (const auto& [wanted, missing] : unmet) {
    add_problem(domains, wanted, missing, result);
  }
  return result;
}

}  // namespace

guarantee_check check_guarantees(const environment_document& document) {
  auto spread = assign_all(document, true);
  if (spread.problems.empty()) {
    return spread;
  }
  // Filling one failure domain after the other keeps more free accelerators together than spreading does.
  auto compact = assign_all(document, false);
  return compact.problems.size() < spread.problems.size() ? compact : spread;
}

}  // namespace rhubarbpath

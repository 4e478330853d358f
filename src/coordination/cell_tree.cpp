#include "rhubarbpath/coordination/cell_tree.hpp"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>
#include <numeric>
#include <string_view>
#include <tuple>

namespace rhubarbpath {
namespace {

constexpr int mask_bits = 32;
constexpr int whole_worker_level = 3;

constexpr std::uint32_t group_mask(int size) noexcept {
  return (std::uint32_t{1} << size) - 1;
}

int level_of(int size) noexcept {
  return std::countr_zero(static_cast<unsigned>(size));
}

/// Counts the open aligned groups of each size, without those inside a larger open aligned group.
cell_tree::level_counts maximal_groups(std::uint32_t mask) noexcept {
  cell_tree::level_counts counts{};
  for (int level = cell_tree::levels - 1; level >= 0 && mask != 0; --level) {
    const int size = 1 << level;
    for (int position = 0; position < mask_bits; position += size) {
      const std::uint32_t group = group_mask(size) << position;
      if ((mask & group) == group) {
        ++counts[level];
        mask &= ~group;
      }
    }
  }
  return counts;
}

cell_tree::level_counts all_groups(const cell_tree::level_counts& maximal) noexcept {
  cell_tree::level_counts counts = maximal;
  for (int level = cell_tree::levels - 2; level >= 0; --level) {
    counts[level] += 2 * counts[level + 1];
  }
  return counts;
}

/// Returns the mask with one bit per accelerator of a worker.
std::uint32_t capacity_mask(int accelerators) noexcept {
  if (accelerators >= mask_bits) {
    return ~std::uint32_t{0};
  }
  return accelerators <= 0 ? 0 : group_mask(accelerators);
}

std::string_view scope_name(proximity within) noexcept {
  switch (within) {
    case proximity::worker:
      return "one worker";
    case proximity::rack:
      return "one rack";
    case proximity::failure_domain:
      return "one failure domain";
  }
  return "one failure domain";
}

struct candidate_block {
  cell_block block;
  double cost{0};
  int slack{0};  ///< Allowed accelerators of the worker; low values avoid fragmentation.
};

void collect_candidates(const cheapest_fit_request& request, int worker, std::vector<candidate_block>& out) {
  const std::uint32_t mask = request.mask_of(worker);
  const int size = request.shape.accelerators_per_member;
  for (int position = 0; position + size <= mask_bits; position += size) {
    const std::uint32_t group = group_mask(size) << position;
    if ((mask & group) != group) {
      continue;
    }
    const cell_block block{worker, group};
    const double cost = request.cost(block);
    if (std::isfinite(cost)) {
      out.push_back({block, cost, std::popcount(mask)});
    }
  }
}

/// Replaces `best` by the cheapest blocks for all members if there are enough and they cost less.
void keep_cheapest(const cheapest_fit_request& request, std::vector<candidate_block>& blocks,
                   std::optional<cheapest_fit_result>& best) {
  const auto& shape = request.shape;
  const auto members = static_cast<std::size_t>(shape.members);
  if (blocks.size() < members) {
    return;
  }
  const auto cheaper = [](const candidate_block& left, const candidate_block& right) {
    return std::tie(left.cost, left.slack, left.block.worker, left.block.mask) <
           std::tie(right.cost, right.slack, right.block.worker, right.block.mask);
  };
  std::partial_sort(blocks.begin(), blocks.begin() + shape.members, blocks.end(), cheaper);
  double total = 0;
  for (std::size_t member = 0; member < members; ++member) {
    total += blocks[member].cost;
  }
  if (best && best->cost <= total) {
    return;
  }
  std::vector<cell_block> cells;
  for (std::size_t member = 0; member < members; ++member) {
    cells.push_back(blocks[member].block);
  }
  total += request.place_cost ? request.place_cost(cells) : 0;
  if (!best || total < best->cost) {
    best = cheapest_fit_result{std::move(cells), total};
  }
}

}  // namespace

fleet_topology::fleet_topology(const environment_document& document, const failure_domain_id& domain) {
  std::vector<rack_id> racks;
  for (const auto& rack : document.racks) {
    if (rack.failure_domain == domain) {
      racks.push_back(rack.id);
    }
  }
  std::sort(racks.begin(), racks.end());
  absl::flat_hash_map<rack_id, int> rack_index;
  for (const auto& rack : racks) {
    rack_index.emplace(rack, static_cast<int>(rack_index.size()));
  }
  std::vector<const worker_spec*> members;
  for (const auto& worker : document.workers) {
    if (rack_index.contains(worker.rack)) {
      members.push_back(&worker);
    }
  }
  std::sort(members.begin(), members.end(), [](const worker_spec* left, const worker_spec* right) {
    return std::tie(left->rack, left->id) < std::tie(right->rack, right->id);
  });
  rack_workers_.resize(racks.size());
  for (const auto* worker : members) {
    const int rack = rack_index.at(worker->rack);
    const int index = workers();
    if (!index_.emplace(worker->id, index).second) {
      continue;
    }
    worker_ids_.push_back(worker->id);
    rack_of_.push_back(rack);
    capacity_.push_back(capacity_mask(worker->accelerators));
    rack_workers_[rack].push_back(index);
    accelerators_ += std::popcount(capacity_.back());
  }
}

std::optional<int> fleet_topology::find(const worker_id& id) const {
  const auto found = index_.find(id);
  return found == index_.end() ? std::nullopt : std::optional{found->second};
}

cell_tree::cell_tree(std::shared_ptr<const fleet_topology> topology)
    : topology_{std::move(topology)},
      open_(topology_->workers(), 0),
      used_(topology_->workers(), 0),
      held_(topology_->workers(), 0),
      lost_(topology_->workers(), 0),
      worker_groups_(topology_->workers(), level_counts{}),
      worker_maximal_(topology_->workers(), level_counts{}),
      rack_groups_(topology_->racks(), level_counts{}) {
  for (int worker = 0; worker < topology_->workers(); ++worker) {
    update(worker);
  }
}

void cell_tree::update(int worker) {
  const std::uint32_t open =
      lost_[worker] != 0 ? 0 : topology_->capacity(worker) & ~used_[worker] & ~held_[worker];
  if (open == open_[worker]) {
    return;
  }
  open_total_ += std::popcount(open) - std::popcount(open_[worker]);
  open_[worker] = open;
  worker_maximal_[worker] = maximal_groups(open);
  const level_counts groups = all_groups(worker_maximal_[worker]);
  auto& rack = rack_groups_[topology_->rack_of(worker)];
  for (int level = 0; level < levels; ++level) {
    const int change = groups[level] - worker_groups_[worker][level];
    rack[level] += change;
    domain_groups_[level] += change;
  }
  worker_groups_[worker] = groups;
}

void cell_tree::use(const cell_block& block) {
  used_[block.worker] |= block.mask;
  update(block.worker);
}

void cell_tree::release(const cell_block& block) {
  used_[block.worker] &= ~block.mask;
  update(block.worker);
}

void cell_tree::hold(const cell_block& block) {
  held_[block.worker] |= block.mask;
  update(block.worker);
}

void cell_tree::unhold(const cell_block& block) {
  held_[block.worker] &= ~block.mask;
  update(block.worker);
}

void cell_tree::set_unusable(int worker, bool unusable) {
  lost_[worker] = unusable ? 1 : 0;
  update(worker);
}

std::optional<std::vector<cell_block>> cell_tree::best_fit(const accelerator_shape& shape,
                                                           const std::function<bool(int)>& avoid) const {
  if (domain_groups_[level_of(shape.accelerators_per_member)] < shape.members) {
    return std::nullopt;
  }
  switch (shape.within) {
    case proximity::worker:
      return fit_worker(shape, avoid);
    case proximity::rack:
      return fit_rack(shape, avoid);
    case proximity::failure_domain:
      return fit_domain(shape, avoid);
  }
  return std::nullopt;
}

int cell_tree::fragmentation_cost(const std::vector<cell_block>& cells) const {
  if (demanded_shapes_.empty()) {
    return 0;
  }
  // The vectors are searched linearly, because a gang affects few workers and racks.
  std::vector<std::pair<int, std::uint32_t>> masks;
  for (const auto& cell : cells) {
    const auto same = [&](const auto& each) { return each.first == cell.worker; };
    const auto found = std::find_if(masks.begin(), masks.end(), same);
    if (found == masks.end()) {
      masks.emplace_back(cell.worker, cell.mask);
    } else {
      found->second |= cell.mask;
    }
  }
  int total = 0;
  std::vector<std::pair<int, level_counts>> racks;
  for (const auto& [worker, mask] : masks) {
    const level_counts after = all_groups(maximal_groups(open_[worker] & ~mask));
    const int rack = topology_->rack_of(worker);
    auto found =
        std::find_if(racks.begin(), racks.end(), [rack](const auto& each) { return each.first == rack; });
    if (found == racks.end()) {
      racks.emplace_back(rack, rack_groups_[rack]);
      found = racks.end() - 1;
    }
    for (int level = 0; level < levels; ++level) {
      found->second[level] += after[level] - worker_groups_[worker][level];
    }
    for (const auto& shape : demanded_shapes_) {
      const int level = level_of(shape.accelerators_per_member);
      if (shape.within == proximity::worker) {
        const int copies = worker_groups_[worker][level] / shape.members - after[level] / shape.members;
        total += copies * shape.accelerators();
      }
    }
  }
  for (const auto& [rack, after] : racks) {
    for (const auto& shape : demanded_shapes_) {
      const int level = level_of(shape.accelerators_per_member);
      if (shape.within == proximity::rack) {
        const int copies = rack_groups_[rack][level] / shape.members - after[level] / shape.members;
        total += copies * shape.accelerators();
      }
    }
  }
  return total;
}

cell_tree::level_counts cell_tree::demanded_groups(int rack) const {
  level_counts counts{};
  for (const auto& shape : demanded_shapes_) {
    const int level = level_of(shape.accelerators_per_member);
    if (shape.within == proximity::rack) {
      counts[level] = rack_groups_[rack][level];
    }
  }
  return counts;
}

std::optional<std::vector<cell_block>> cell_tree::fit_worker(const accelerator_shape& shape,
                                                             const std::function<bool(int)>& avoid) const {
  const int level = level_of(shape.accelerators_per_member);
  // In each rack, takes the worker that splits the smallest group, then the one with the fewest open
  // accelerators. Compares the racks by fragmentation cost, then by the same criteria, then by the fewest
  // fully open groups of 8.
  using worker_score = std::pair<int, int>;
  using score = std::tuple<int, worker_score, int>;
  std::optional<score> best;
  std::vector<cell_block> best_cells;
  absl::flat_hash_map<std::pair<std::uint32_t, level_counts>, int> cached_costs;
  for (int rack = 0; rack < topology_->racks(); ++rack) {
    if (rack_groups_[rack][level] < shape.members) {
      continue;
    }
    std::optional<std::pair<worker_score, int>> best_in_rack;
    for (const int worker : topology_->rack_workers(rack)) {
      if (worker_groups_[worker][level] < shape.members || (avoid && avoid(worker))) {
        continue;
      }
      int split_level = level;
      while (split_level < levels - 1 && worker_maximal_[worker][split_level] == 0) {
        ++split_level;
      }
      const worker_score candidate{split_level, std::popcount(open_[worker])};
      if (!best_in_rack || candidate < best_in_rack->first) {
        best_in_rack = {candidate, worker};
      }
    }
    if (!best_in_rack) {
      continue;
    }
    const int worker = best_in_rack->second;
    // The fragmentation cost depends only on this key, of which large fleets have few different values.
    const auto key = std::pair{open_[worker], demanded_groups(rack)};
    const auto cached = cached_costs.find(key);
    const int cached_cost = cached == cached_costs.end() ? -1 : cached->second;
    if (cached_cost >= 0 && best &&
        score{cached_cost, best_in_rack->first, rack_groups_[rack][whole_worker_level]} >= *best) {
      continue;
    }
    std::vector<cell_block> cells;
    take_aligned(worker, open_[worker], shape.accelerators_per_member, shape.members, cells);
    const score candidate{cached_cost >= 0 ? cached_cost : fragmentation_cost(cells), best_in_rack->first,
                          rack_groups_[rack][whole_worker_level]};
    cached_costs.emplace(key, std::get<0>(candidate));
    if (!best || candidate < *best) {
      best = candidate;
      best_cells = std::move(cells);
    }
  }
  return best ? std::optional{std::move(best_cells)} : std::nullopt;
}

std::vector<cell_block> cell_tree::cells_in_rack(const accelerator_shape& shape, int rack,
                                                 const std::function<bool(int)>& avoid) const {
  auto workers = topology_->rack_workers(rack);
  std::sort(workers.begin(), workers.end(), [&](int left, int right) {
    return std::pair{std::popcount(open_[left]), left} < std::pair{std::popcount(open_[right]), right};
  });
  std::vector<cell_block> cells;
  int missing = shape.members;
  for (const int worker : workers) {
    if (missing > 0 && !(avoid && avoid(worker))) {
      missing -= take_aligned(worker, open_[worker], shape.accelerators_per_member, missing, cells);
    }
  }
  if (missing > 0) {
    cells.clear();
  }
  return cells;
}

std::optional<std::vector<cell_block>> cell_tree::fit_rack(const accelerator_shape& shape,
                                                           const std::function<bool(int)>& avoid) const {
  const int level = level_of(shape.accelerators_per_member);
  using score = std::tuple<int, int, int>;
  std::optional<score> best;
  std::vector<cell_block> best_cells;
  absl::flat_hash_map<level_counts, int> cached_costs;
  for (int rack = 0; rack < topology_->racks(); ++rack) {
    if (rack_groups_[rack][level] < shape.members) {
      continue;
    }
    // Fully open groups of 8 are interchangeable, so their fragmentation cost depends only on this key.
    const auto key = demanded_groups(rack);
    const auto cached = level == whole_worker_level ? cached_costs.find(key) : cached_costs.end();
    const int cached_cost = cached == cached_costs.end() ? -1 : cached->second;
    const score expected{cached_cost, rack_groups_[rack][whole_worker_level], rack_groups_[rack][level]};
    if (cached_cost >= 0 && best && expected >= *best) {
      continue;
    }
    auto cells = cells_in_rack(shape, rack, avoid);
    if (cells.empty()) {
      continue;
    }
    const score candidate{cached_cost >= 0 ? cached_cost : fragmentation_cost(cells),
                          rack_groups_[rack][whole_worker_level], rack_groups_[rack][level]};
    cached_costs.emplace(key, std::get<0>(candidate));
    if (!best || candidate < *best) {
      best = candidate;
      best_cells = std::move(cells);
    }
  }
  return best ? std::optional{std::move(best_cells)} : std::nullopt;
}

std::optional<std::vector<cell_block>> cell_tree::fit_domain(const accelerator_shape& shape,
                                                             const std::function<bool(int)>& avoid) const {
  const int level = level_of(shape.accelerators_per_member);
  std::vector<std::pair<int, int>> racks;
  for (int rack = 0; rack < topology_->racks(); ++rack) {
    if (rack_groups_[rack][level] > 0) {
      racks.emplace_back(rack_groups_[rack][whole_worker_level], rack);
    }
  }
  std::sort(racks.begin(), racks.end());
  std::vector<cell_block> cells;
  int missing = shape.members;
  for (const auto& [whole, rack] : racks) {
    for (const int worker : topology_->rack_workers(rack)) {
      if (worker_groups_[worker][level] > 0 && !(avoid && avoid(worker))) {
        missing -= take_aligned(worker, open_[worker], shape.accelerators_per_member, missing, cells);
      }
      if (missing == 0) {
        return cells;
      }
    }
  }
  return std::nullopt;
}

int cell_tree::usable_accelerators(const accelerator_shape& shape) const {
  const int level = level_of(shape.accelerators_per_member);
  const auto whole = [&](const level_counts& counts) { return counts[level] / shape.members; };
  const auto sum = [&](const std::vector<level_counts>& places) {
    return std::accumulate(places.begin(), places.end(), 0,
                           [&](int total, const level_counts& counts) { return total + whole(counts); });
  };
  switch (shape.within) {
    case proximity::worker:
      return sum(worker_groups_) * shape.accelerators();
    case proximity::rack:
      return sum(rack_groups_) * shape.accelerators();
    case proximity::failure_domain:
      return whole(domain_groups_) * shape.accelerators();
  }
  return 0;
}

std::optional<cheapest_fit_result> cheapest_fit(const fleet_topology& topology,
                                                const cheapest_fit_request& request) {
  std::optional<cheapest_fit_result> best;
  std::vector<candidate_block> blocks;
  int evaluations = 0;
  for (int step = 0; step < topology.racks(); ++step) {
    const int rack = (request.first_rack + step) % topology.racks();
    for (const int worker : topology.rack_workers(rack)) {
      const auto before = blocks.size();
      collect_candidates(request, worker, blocks);
      evaluations += 1 + static_cast<int>(blocks.size() - before);
      if (request.shape.within == proximity::worker) {
        keep_cheapest(request, blocks, best);
        blocks.clear();
      }
    }
    if (request.shape.within == proximity::rack) {
      keep_cheapest(request, blocks, best);
      blocks.clear();
    }
    const bool enough = best || blocks.size() >= static_cast<std::size_t>(request.shape.members);
    if (evaluations >= request.max_evaluations && (enough || request.strict_limit)) {
      break;
    }
  }
  if (request.shape.within == proximity::failure_domain) {
    keep_cheapest(request, blocks, best);
  }
  return best;
}

std::optional<cheapest_fit_result> cheapest_fit_in(const std::vector<int>& workers,
                                                   const cheapest_fit_request& request) {
  std::vector<candidate_block> blocks;
  for (const int worker : workers) {
    collect_candidates(request, worker, blocks);
  }
  std::optional<cheapest_fit_result> best;
  keep_cheapest(request, blocks, best);
  return best;
}

bool is_valid(const accelerator_shape& shape) noexcept {
  const int size = shape.accelerators_per_member;
  return shape.members >= 1 && (size == 1 || size == 2 || size == 4 || size == 8);
}

std::string describe(const accelerator_shape& shape) {
  std::string text = std::to_string(shape.members);
  text += shape.members == 1 ? " member of " : " members of ";
  text += std::to_string(shape.accelerators_per_member);
  text += shape.accelerators_per_member == 1 ? " accelerator" : " accelerators";
  if (shape.members > 1) {
    text += " in ";
    text += scope_name(shape.within);
  }
  return text;
}

int aligned_groups(std::uint32_t mask, int size) noexcept {
  int groups = 0;
  for (int position = 0; position + size <= mask_bits; position += size) {
    const std::uint32_t group = group_mask(size) << position;
    groups += (mask & group) == group ? 1 : 0;
  }
  return groups;
}

int take_aligned(int worker, std::uint32_t mask, int size, int count, std::vector<cell_block>& out) {
  int taken = 0;
  while (taken < count) {
    // Finds the smallest open aligned group that contains a group of the requested size.
    std::uint32_t chosen = 0;
    int chosen_size = std::numeric_limits<int>::max();
    for (int position = 0; position + size <= mask_bits; position += size) {
      const std::uint32_t group = group_mask(size) << position;
      if ((mask & group) != group) {
        continue;
      }
      int maximal = size;
      while (maximal < (1 << (cell_tree::levels - 1))) {
        const int wider = 2 * maximal;
        const std::uint32_t parent = group_mask(wider) << (position / wider * wider);
        if ((mask & parent) != parent) {
          break;
        }
        maximal = wider;
      }
      if (maximal < chosen_size) {
        chosen = group;
        chosen_size = maximal;
      }
    }
    if (chosen == 0) {
      break;
    }
    out.push_back({worker, chosen});
    mask &= ~chosen;
    ++taken;
  }
  return taken;
}

}  // namespace rhubarbpath

#pragma once

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "rhubarbpath/state/document.hpp"
#include "rhubarbpath/state/ids.hpp"
#include "rhubarbpath/state/job.hpp"

namespace rhubarbpath {

/// Accelerators of one worker, as a bit mask. Workers are numbered by their position in the topology.
struct cell_block {
  int worker{0};
  std::uint32_t mask{0};
  friend bool operator==(const cell_block&, const cell_block&) = default;
};

/// The racks and workers of one failure domain, numbered in the order of their ids. A rack may hold any
/// number of workers and a worker any number of accelerators up to 32.
class fleet_topology {
 public:
  fleet_topology() = default;
  fleet_topology(const environment_document& document, const failure_domain_id& domain);

  [[nodiscard]] int workers() const noexcept { return static_cast<int>(worker_ids_.size()); }
  [[nodiscard]] int racks() const noexcept { return static_cast<int>(rack_workers_.size()); }
  [[nodiscard]] int accelerators() const noexcept { return accelerators_; }
  [[nodiscard]] const worker_id& id(int worker) const { return worker_ids_[worker]; }
  [[nodiscard]] int rack_of(int worker) const { return rack_of_[worker]; }
  [[nodiscard]] const std::vector<int>& rack_workers(int rack) const { return rack_workers_[rack]; }
  [[nodiscard]] std::uint32_t capacity(int worker) const { return capacity_[worker]; }
  /// Returns nothing for a worker outside the failure domain.
  [[nodiscard]] std::optional<int> find(const worker_id& id) const;

 private:
  std::vector<worker_id> worker_ids_;
  std::vector<int> rack_of_;
  std::vector<std::uint32_t> capacity_;
  std::vector<std::vector<int>> rack_workers_;
  absl::flat_hash_map<worker_id, int> index_;
  int accelerators_{0};
};

/// The hierarchy of accelerator, aligned group, worker, rack and failure domain. It tracks which
/// accelerators are open (neither used, held nor lost) and finds the best fit for a shape.
class cell_tree {
 public:
  /// Number of aligned group sizes: 1, 2, 4 and 8 accelerators.
  static constexpr int levels = 4;
  using level_counts = std::array<int, levels>;

  explicit cell_tree(std::shared_ptr<const fleet_topology> topology);

  [[nodiscard]] const fleet_topology& topology() const noexcept { return *topology_; }
  [[nodiscard]] std::uint32_t open(int worker) const { return open_[worker]; }
  [[nodiscard]] std::uint32_t used(int worker) const { return used_[worker]; }
  [[nodiscard]] std::uint32_t held(int worker) const { return held_[worker]; }
  [[nodiscard]] bool lost(int worker) const { return lost_[worker] != 0; }
  /// Workers of the rack whose accelerators are all open, counted in groups of 8.
  [[nodiscard]] int whole_groups(int rack) const { return rack_groups_[rack][levels - 1]; }
  /// Open accelerators of the whole failure domain.
  [[nodiscard]] int open_accelerators() const noexcept { return open_total_; }

  void use(const cell_block& block);
  void release(const cell_block& block);
  /// Withholds accelerators for a gang that waits for the rest of its space.
  void hold(const cell_block& block);
  void unhold(const cell_block& block);
  /// A lost worker has no open accelerators; its used and held masks are kept.
  void set_lost(int worker, bool lost);

  /// Shapes that should stay possible: `best_fit` prefers space that they cannot use.
  void set_wanted(std::vector<accelerator_shape> shapes) { wanted_ = std::move(shapes); }
  /// Accelerators, summed over the wanted shapes, that these could no longer use if the open part of `cells`
  /// were used.
  [[nodiscard]] int loss(const std::vector<cell_block>& cells) const;

  /// Finds open space for all members of a shape, one block per member, with the least `loss` and otherwise
  /// with the smallest groups broken. `avoid` excludes workers. Returns nothing when the shape does not fit.
  [[nodiscard]] std::optional<std::vector<cell_block>> best_fit(
      const accelerator_shape& shape, const std::function<bool(int)>& avoid = nullptr) const;

  /// Open accelerators that disjoint copies of the shape can use, found greedily.
  [[nodiscard]] int usable_accelerators(const accelerator_shape& shape) const;

 private:
  void update(int worker);
  /// The rack's open groups of the sizes that wanted shapes need in one rack.
  [[nodiscard]] level_counts wanted_groups(int rack) const;
  [[nodiscard]] std::vector<cell_block> cells_in_rack(const accelerator_shape& shape, int rack,
                                                      const std::function<bool(int)>& avoid) const;
  [[nodiscard]] std::optional<std::vector<cell_block>> fit_worker(
      const accelerator_shape& shape, const std::function<bool(int)>& avoid) const;
  [[nodiscard]] std::optional<std::vector<cell_block>> fit_rack(const accelerator_shape& shape,
                                                                const std::function<bool(int)>& avoid) const;
  [[nodiscard]] std::optional<std::vector<cell_block>> fit_domain(
      const accelerator_shape& shape, const std::function<bool(int)>& avoid) const;

  std::shared_ptr<const fleet_topology> topology_;
  std::vector<std::uint32_t> open_;
  std::vector<std::uint32_t> used_;
  std::vector<std::uint32_t> held_;
  std::vector<char> lost_;
  std::vector<level_counts> worker_groups_;   ///< Open aligned groups of each size, per worker.
  std::vector<level_counts> worker_maximal_;  ///< Open aligned groups that are part of no larger one.
  std::vector<level_counts> rack_groups_;
  level_counts domain_groups_{};
  std::vector<accelerator_shape> wanted_;
  int open_total_{0};
};

/// Finds space for all members of a shape inside the masks that `mask_of` returns per worker, at the lowest
/// sum of `cost` over the blocks. A block of infinite cost is not used. Looks at about `max_evaluations`
/// blocks from the rack `first_rack` on.
struct cheapest_fit_request {
  accelerator_shape shape;
  std::function<std::uint32_t(int)> mask_of;
  std::function<double(const cell_block&)> cost;
  /// Added once per place, for what its blocks cost together; may be empty.
  std::function<double(const std::vector<cell_block>&)> place_cost{};
  int first_rack{0};
  int max_evaluations{1024};
  /// Stop at `max_evaluations` even if nothing was found; otherwise only a found place ends the search.
  bool give_up{false};
};
struct cheapest_fit_result {
  std::vector<cell_block> cells;
  double cost{0};
};
[[nodiscard]] std::optional<cheapest_fit_result> cheapest_fit(const fleet_topology& topology,
                                                              const cheapest_fit_request& request);
/// The same for workers that are all in one place of the shape's level.
[[nodiscard]] std::optional<cheapest_fit_result> cheapest_fit_in(const std::vector<int>& workers,
                                                                 const cheapest_fit_request& request);

/// Whether the member size is 1, 2, 4 or 8 and there is at least one member.
[[nodiscard]] bool is_valid(const accelerator_shape& shape) noexcept;

/// For example "4 members of 8 accelerators in one rack".
[[nodiscard]] std::string describe(const accelerator_shape& shape);

/// Number of disjoint aligned groups of `size` accelerators inside `mask`.
[[nodiscard]] int aligned_groups(std::uint32_t mask, int size) noexcept;

/// Splits `mask` into up to `count` aligned groups of `size`, taken from the smallest maximal groups
/// first, and appends them to `out`. Returns how many were found.
int take_aligned(int worker, std::uint32_t mask, int size, int count, std::vector<cell_block>& out);

}  // namespace rhubarbpath

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

/// A set of accelerators of one worker, as a bit mask. `worker` is the index in `fleet_topology`.
struct cell_block {
  int worker{0};
  std::uint32_t mask{0};
  friend bool operator==(const cell_block&, const cell_block&) = default;
};

/// Racks and workers of one failure domain, indexed in the order of their ids. A rack has any number of
/// workers, and a worker up to 32 accelerators.
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
  /// Returns the index of the worker, or `std::nullopt` if it is not in the failure domain.
  [[nodiscard]] std::optional<int> find(const worker_id& id) const;

 private:
  std::vector<worker_id> worker_ids_;
  std::vector<int> rack_of_;
  std::vector<std::uint32_t> capacity_;
  std::vector<std::vector<int>> rack_workers_;
  absl::flat_hash_map<worker_id, int> index_;
  int accelerators_{0};
};

/// Tracks the allocatable accelerators of one failure domain and finds the best fit for a shape.
///
/// The hierarchy is accelerator, aligned group (as in a buddy allocator), worker, rack and failure domain. An
/// accelerator is open if it is neither used nor held and its worker is not lost.
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
  /// Number of aligned groups of 8 accelerators in the rack that are completely open.
  [[nodiscard]] int whole_groups(int rack) const { return rack_groups_[rack][levels - 1]; }
  /// Number of open accelerators in the failure domain.
  [[nodiscard]] int open_accelerators() const noexcept { return open_total_; }

  void use(const cell_block& block);
  void release(const cell_block& block);
  /// Withholds accelerators for a gang that waits until the rest of its accelerators are free.
  void hold(const cell_block& block);
  void unhold(const cell_block& block);
  /// Marks the worker as unusable or usable again. A lost worker has no open accelerators; its used and held
  /// masks are kept.
  void set_unusable(int worker, bool unusable);

  /// Sets the shapes that should remain placeable. `best_fit` prefers accelerators that they cannot use.
  void set_demanded_shapes(std::vector<accelerator_shape> shapes) { demanded_shapes_ = std::move(shapes); }
  /// Returns how many accelerators the demanded shapes could no longer use, summed over these shapes, if the
  /// open part of `cells` were used. Shapes that may span the failure domain are not counted.
  [[nodiscard]] int fragmentation_cost(const std::vector<cell_block>& cells) const;

  /// Finds open accelerators for all members of a shape, one block per member. Prefers the lowest
  /// `fragmentation_cost` if the shape needs one worker or one rack, then keeps large aligned groups
  /// together. Workers for which `avoid` returns true are excluded. Returns `std::nullopt` if the shape does
  /// not fit.
  [[nodiscard]] std::optional<std::vector<cell_block>> best_fit(
      const accelerator_shape& shape, const std::function<bool(int)>& avoid = nullptr) const;

  /// Number of open accelerators that disjoint copies of the shape can use, counted in aligned groups.
  [[nodiscard]] int usable_accelerators(const accelerator_shape& shape) const;

 private:
  void update(int worker);
  /// Counts the rack's open groups of the sizes that demanded rack-local shapes need; zero for other sizes.
  [[nodiscard]] level_counts demanded_groups(int rack) const;
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
  std::vector<level_counts> worker_maximal_;  ///< As above, without groups inside a larger open group.
  std::vector<level_counts> rack_groups_;
  level_counts domain_groups_{};
  std::vector<accelerator_shape> demanded_shapes_;
  int open_total_{0};
};

/// Parameters of `cheapest_fit`, which finds accelerators for all members of a shape inside the masks that
/// `mask_of` returns per worker, at the lowest sum of `cost` over the blocks. Blocks of infinite cost are not
/// used. The search starts at the rack `first_rack` and evaluates about `max_evaluations` blocks.
struct cheapest_fit_request {
  accelerator_shape shape;
  std::function<std::uint32_t(int)> mask_of;
  std::function<double(const cell_block&)> cost;
  /// Additional cost of a combination of blocks, added once per result; may be empty.
  std::function<double(const std::vector<cell_block>&)> place_cost{};
  int first_rack{0};
  int max_evaluations{1024};
  /// Stops at `max_evaluations` even if nothing was found. Otherwise the search goes on until it finds
  /// enough blocks.
  bool strict_limit{false};
};
struct cheapest_fit_result {
  std::vector<cell_block> cells;
  double cost{0};
};
[[nodiscard]] std::optional<cheapest_fit_result> cheapest_fit(const fleet_topology& topology,
                                                              const cheapest_fit_request& request);
/// Like `cheapest_fit`, for workers that all satisfy the proximity of the shape among each other. Evaluates
/// all of them.
[[nodiscard]] std::optional<cheapest_fit_result> cheapest_fit_in(const std::vector<int>& workers,
                                                                 const cheapest_fit_request& request);

/// Returns whether the shape has at least one member and 1, 2, 4 or 8 accelerators per member.
[[nodiscard]] bool is_valid(const accelerator_shape& shape) noexcept;

/// Returns a description for messages, for example "4 members of 8 accelerators in one rack".
[[nodiscard]] std::string describe(const accelerator_shape& shape);

/// Returns the number of disjoint aligned groups of `size` accelerators inside `mask`.
[[nodiscard]] int aligned_groups(std::uint32_t mask, int size) noexcept;

/// Takes up to `count` aligned groups of `size` accelerators out of `mask`, from the smallest maximal groups
/// first, and appends them to `out`. Returns the number of groups appended.
int take_aligned(int worker, std::uint32_t mask, int size, int count, std::vector<cell_block>& out);

}  // namespace rhubarbpath

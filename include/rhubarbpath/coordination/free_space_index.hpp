#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/functional/function_ref.h"
#include "rhubarbpath/coordination/worker_speed.hpp"
#include "rhubarbpath/state/ids.hpp"
#include "rhubarbpath/state/job_graph.hpp"

namespace rhubarbpath {

/// Position of a worker in a `free_space_index`.
enum class worker_slot : std::uint32_t {};

/// Free space of the workers of one service, ordered so that the cost of a search follows the number of
/// workers and racks that could hold the answer, not the size of the fleet.
///
/// Answers the heaviest load: hundreds of waiting tasks and gangs that are tried again whenever a run ends.
class free_space_index {
 public:
  struct worker_space {
    resource_amounts free;  ///< May be negative where more is planned than is free.
    resource_amounts capacity;
    bool usable{false};   ///< The worker may get new work.
    bool suspect{false};  ///< Used only for what does not fit on other workers.
    speed_level level{speed_level::normal};
    friend bool operator==(const worker_space&, const worker_space&) = default;
  };
  /// Members of a gang, or a single task, with the same requirements.
  struct request {
    resource_amounts each;
    std::uint32_t members{1};
    speed_order order{normal_first};
  };
  /// Number of members that a worker may take besides what its free space allows; 0 excludes the worker.
  using allowance = absl::FunctionRef<std::uint32_t(worker_slot)>;
  /// One worker for each member; empty if not all members fit.
  using placement = std::vector<worker_slot>;
  /// Workers for a gang that does not fit now. `missing` counts the accelerators that are not free there yet,
  /// and one for each member that does not fit now.
  struct planned_placement {
    placement where;
    std::int64_t missing{0};
  };

  /// Adds a worker that is not usable until `set` is called.
  worker_slot add(const rack_id& rack);
  void remove(worker_slot at);
  /// Costs nothing if `space` is unchanged.
  void set(worker_slot at, const worker_space& space);
  [[nodiscard]] const worker_space& space(worker_slot at) const { return entry_of(at).space; }

  /// Best fit by free accelerators, then by free memory, among the workers of the first level in the order
  /// that has room. Suspect workers come last.
  [[nodiscard]] placement fit(const request& wanted, allowance allowed);
  /// Fits all members into one rack, the one with the fewest free accelerators, so that emptier racks remain
  /// for larger gangs. If the order begins with fast workers, the rack comes first whose slowest member does,
  /// as a gang ends with it. Considers only `only_rack` unless it is empty.
  [[nodiscard]] placement fit_in_rack(const request& wanted, const std::string& only_rack, allowance allowed);
  /// Finds the workers on which the least is missing.
  [[nodiscard]] planned_placement plan(const request& wanted, allowance allowed);
  [[nodiscard]] planned_placement plan_in_rack(const request& wanted, const std::string& only_rack,
                                               allowance allowed);
  /// The usable workers of at most `count` racks, those with the most free accelerators first. Considers only
  /// `only_rack` unless it is empty.
  [[nodiscard]] std::vector<std::vector<worker_slot>> emptiest_racks(std::size_t count,
                                                                     const std::string& only_rack);

  /// Number of workers and racks examined by all searches so far.
  [[nodiscard]] std::uint64_t visited() const noexcept { return visited_; }

 private:
  struct entry {
    std::uint32_t rack{0};
    worker_space space;
  };
  struct rack_space {
    std::string name;
    std::vector<worker_slot> slots;
    std::int64_t free_accelerators{0};  ///< Of usable workers; a negative amount counts as 0.
    std::int64_t capacity_accelerators{0};
  };
  struct fit_key {
    bool suspect{false};
    speed_level level{speed_level::normal};
    std::int64_t accelerators{0};
    std::int64_t memory_mb{0};
    worker_slot at{};
    friend auto operator<=>(const fit_key&, const fit_key&) = default;
  };
  /// Free accelerators of a rack, then its index.
  using rack_key = std::pair<std::int64_t, std::uint32_t>;

  [[nodiscard]] entry& entry_of(worker_slot at) { return entries_[static_cast<std::uint32_t>(at)]; }
  [[nodiscard]] const entry& entry_of(worker_slot at) const {
    return entries_[static_cast<std::uint32_t>(at)];
  }
  [[nodiscard]] static fit_key key_of(worker_slot at, const worker_space& space);
  [[nodiscard]] std::optional<worker_slot> best_worker(const resource_amounts& need, const speed_order& order,
                                                       allowance allowed);
  /// The first rank in the order of which there are usable workers.
  [[nodiscard]] std::size_t best_rank(const speed_order& order) const;
  [[nodiscard]] std::optional<worker_slot> emptiest_worker(const resource_amounts& need,
                                                           const speed_order& order,
                                                           const std::vector<worker_slot>& planned,
                                                           allowance allowed);
  [[nodiscard]] placement fit_one_rack(const rack_space& rack, const request& wanted, allowance allowed);
  [[nodiscard]] planned_placement plan_one_rack(const rack_space& rack, const request& wanted,
                                                allowance allowed);
  /// Returns the index of a rack, or nothing if no worker is in it.
  [[nodiscard]] std::optional<std::uint32_t> find_rack(const std::string& name) const;

  std::vector<entry> entries_;
  std::vector<worker_slot> unused_;
  std::vector<rack_space> racks_;
  absl::flat_hash_map<std::string, std::uint32_t> rack_numbers_;
  std::set<fit_key> by_free_;  ///< Usable workers.
  std::array<std::size_t, speed_levels> usable_by_level_{};
  std::set<rack_key> racks_by_free_;
  std::uint64_t visited_{0};
};

}  // namespace rhubarbpath

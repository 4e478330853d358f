#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "rhubarbpath/coordination/cell_tree.hpp"
#include "rhubarbpath/state/document.hpp"
#include "rhubarbpath/state/ids.hpp"

namespace rhubarbpath {

/// Identifies a guarantee of the document by its team and its position in the team's list.
struct guarantee_ref {
  team_id team;
  int guarantee{0};
  friend bool operator==(const guarantee_ref&, const guarantee_ref&) = default;
  friend bool operator<(const guarantee_ref& left, const guarantee_ref& right) {
    return std::tie(left.team, left.guarantee) < std::tie(right.team, right.guarantee);
  }
};

/// The instances of a guarantee that are assigned to one failure domain.
struct guarantee_share {
  guarantee_ref guarantee;
  failure_domain_id failure_domain;
  accelerator_shape shape;
  int count{0};
  friend bool operator==(const guarantee_share&, const guarantee_share&) = default;
};

/// A guarantee that cannot be met together with the others of the document.
struct guarantee_problem {
  std::vector<team_id> teams;  ///< Teams whose guarantees compete for the accelerators.
  proximity level{proximity::failure_domain};
  std::string reason;       ///< Explanation for the operator who edits the document.
  guarantee_ref guarantee;  ///< The guarantee that does not fit; used to find its line in the file.
  friend bool operator==(const guarantee_problem&, const guarantee_problem&) = default;
};

struct guarantee_check {
  /// Empty if the workers of the document can meet all guarantees together.
  std::vector<guarantee_problem> problems;
  /// Assignment of instances to failure domains. It depends only on the document, so that all owners compute
  /// the same one.
  std::vector<guarantee_share> shares;
};

/// Assigns all guarantee instances to failure domains and reports the guarantees that do not fit.
[[nodiscard]] guarantee_check check_guarantees(const environment_document& document);

/// Returns whether a job of shape `inner` fits into every unclaimed instance of shape `outer`, wherever the
/// members of the instance are.
[[nodiscard]] bool fits_inside(const accelerator_shape& inner, const accelerator_shape& outer);

/// Binds each guarantee instance of one failure domain to accelerators of healthy workers. The bindings are
/// disjoint, and guaranteed jobs run only inside bindings of their own team. Every unclaimed instance can
/// therefore be reclaimed by preempting the jobs that run there outside a guarantee.
class guarantee_plan {
 public:
  struct instance {
    guarantee_ref guarantee;
    accelerator_shape shape;
    std::vector<cell_block> cells;       ///< One block per member; empty while uncovered.
    std::vector<std::uint32_t> claimed;  ///< Accelerators used by guaranteed jobs, per member.
    [[nodiscard]] bool bound() const noexcept { return !cells.empty(); }
    [[nodiscard]] int claimed_accelerators() const noexcept;
  };
  struct options {
    std::shared_ptr<const fleet_topology> topology;
    std::vector<guarantee_share> shares;  ///< Only the shares of this failure domain.
  };
  /// Accelerators for a guaranteed job inside one instance: one block per member of the job.
  struct claim {
    int instance{-1};
    std::vector<cell_block> cells;
    std::vector<cell_block> moved_binding;  ///< New binding of the instance; empty if it stays.
  };
  /// Cost of using an aligned group for a claim, for example the work that would be preempted there.
  using block_cost = std::function<double(const cell_block&)>;
  struct claim_cost {
    block_cost block;
    std::function<double(const std::vector<cell_block>&)> place;  ///< Added once for all cells of the claim.
  };

  explicit guarantee_plan(options opts);

  /// Excludes a worker from new bindings or includes it again. A worker is unusable while it is down, set
  /// aside or on trial; `rebind` moves the unclaimed parts of bindings off it.
  void set_usable(int worker, bool usable);
  /// Moves bindings off unusable workers and binds uncovered instances. Must be called after `set_usable`,
  /// `adopt` and `release`. Returns whether any binding changed.
  bool rebind();

  /// Finds the cheapest accelerators for a guaranteed job of the team, inside the binding of an instance. The
  /// binding of an unclaimed instance may move to other cells if that is cheaper. Nothing changes until
  /// `commit`.
  [[nodiscard]] std::optional<claim> find_claim(const team_id& team, const accelerator_shape& shape,
                                                const claim_cost& cost) const;
  /// Applies a claim that `find_claim` returned. The plan must not change between the two calls.
  void commit(const claim& taken);
  /// Claims the cells of a restored job for an instance of its team. Returns the index of the instance, or
  /// `std::nullopt` if no instance can contain them; the job then runs outside the guarantee and may be
  /// preempted.
  [[nodiscard]] std::optional<int> adopt(const team_id& team, const std::vector<cell_block>& cells);
  void release(const claim& taken);

  [[nodiscard]] const std::vector<instance>& instances() const noexcept { return instances_; }
  /// Returns whether an instance of the team in this failure domain can hold a job of this shape when no part
  /// of it is claimed.
  [[nodiscard]] bool can_ever_hold(const team_id& team, const accelerator_shape& shape) const;
  /// Number of instances of the guarantee without a binding to usable workers.
  [[nodiscard]] int uncovered(const guarantee_ref& guarantee) const;
  [[nodiscard]] const std::vector<guarantee_share>& shares() const noexcept { return shares_; }
  /// Accelerators of the worker that belong to a binding.
  [[nodiscard]] std::uint32_t bound_mask(int worker) const { return unbound_.used(worker); }

 private:
  struct candidate;
  [[nodiscard]] bool covered(const instance& target) const;
  [[nodiscard]] bool pinned(int index) const { return instances_[index].claimed_accelerators() > 0; }
  void claim_within_binding(int index, const accelerator_shape& shape, const claim_cost& cost,
                            std::optional<candidate>& best) const;
  void claim_moved(int index, const accelerator_shape& shape, const claim_cost& cost,
                   std::optional<candidate>& best) const;
  /// Returns a binding for the instance that contains the cells and all claimed members, or `std::nullopt`.
  [[nodiscard]] std::optional<std::vector<cell_block>> find_binding_containing(
      int index, const std::vector<cell_block>& cells);
  void bind(int index, std::vector<cell_block> cells);
  void unbind(int index);
  /// Unbinds every instance that overlaps the cells.
  void unbind_overlapping(const std::vector<cell_block>& cells);
  [[nodiscard]] bool rebind_unclaimed(int index);
  [[nodiscard]] bool move_unclaimed_members(int index);
  void repack();

  std::shared_ptr<const fleet_topology> topology_;
  std::vector<guarantee_share> shares_;
  std::vector<instance> instances_;
  absl::flat_hash_map<team_id, std::vector<int>> by_team_;
  std::vector<std::vector<int>> bound_on_;  ///< Per worker: instances with a member there.
  cell_tree unbound_;                       ///< Bound accelerators are used, unusable workers are lost.
  std::vector<int> pending_rebind_;         ///< Instances that `rebind` has to check.
  bool repack_may_help_{true};              ///< Bindings or workers changed since the last full packing.
  mutable int next_rack_{0};                ///< Where the next search for a moved binding starts.
};

}  // namespace rhubarbpath

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

/// Names one guarantee of the document: the team and the position in its list.
struct guarantee_ref {
  team_id team;
  int guarantee{0};
  friend bool operator==(const guarantee_ref&, const guarantee_ref&) = default;
  friend bool operator<(const guarantee_ref& left, const guarantee_ref& right) {
    return std::tie(left.team, left.guarantee) < std::tie(right.team, right.guarantee);
  }
};

/// `count` instances of a guarantee that one failure domain must keep.
struct guarantee_share {
  guarantee_ref guarantee;
  failure_domain_id failure_domain;
  accelerator_shape shape;
  int count{0};
  friend bool operator==(const guarantee_share&, const guarantee_share&) = default;
};

/// Why guarantees of a document cannot all be met together.
struct guarantee_problem {
  std::vector<team_id> teams;  ///< Teams whose guarantees compete for the space.
  proximity level{proximity::failure_domain};
  std::string reason;       ///< A sentence for the operator who edits the document.
  guarantee_ref guarantee;  ///< The guarantee whose instances have no space; tells its line in a file.
  friend bool operator==(const guarantee_problem&, const guarantee_problem&) = default;
};

struct guarantee_check {
  /// Empty when all guarantees can be met together by the workers that the document lists.
  std::vector<guarantee_problem> problems;
  /// Which failure domain keeps which instances. Depends only on the document, so every owner derives the
  /// same assignment.
  std::vector<guarantee_share> shares;
};

/// Assigns all guarantee instances to failure domains and reports those without space.
[[nodiscard]] guarantee_check check_guarantees(const environment_document& document);

/// Whether a job of shape `inner` always fits into an otherwise unclaimed instance of shape `outer`.
[[nodiscard]] bool fits_inside(const accelerator_shape& inner, const accelerator_shape& outer);

/// Assigns each guarantee instance of one failure domain to concrete healthy cells (its binding). The
/// bindings are disjoint, and guaranteed jobs run only inside bindings of their own team. They are
/// therefore a witness that every unclaimed instance can be reclaimed by preempting lent work.
class guarantee_plan {
 public:
  struct instance {
    guarantee_ref guarantee;
    accelerator_shape shape;
    std::vector<cell_block> cells;       ///< One block per member; empty while uncovered.
    std::vector<std::uint32_t> claimed;  ///< Per member: accelerators that guaranteed jobs use.
    [[nodiscard]] bool bound() const noexcept { return !cells.empty(); }
    [[nodiscard]] int claimed_accelerators() const noexcept;
  };
  struct options {
    std::shared_ptr<const fleet_topology> topology;
    std::vector<guarantee_share> shares;  ///< Those of this failure domain.
  };
  /// Where a guaranteed job may run: one block per member of the job, inside one instance.
  struct claim {
    int instance{-1};
    std::vector<cell_block> cells;
    std::vector<cell_block> moved_binding;  ///< New binding of the instance; empty if it stays.
  };
  /// Cost of taking an aligned group for a claim, for example the work that would be preempted there.
  using block_cost = std::function<double(const cell_block&)>;
  struct claim_cost {
    block_cost block;
    std::function<double(const std::vector<cell_block>&)> place;  ///< Added for all cells of the claim.
  };

  explicit guarantee_plan(options opts);

  /// Workers that are down, set aside or on trial carry no unclaimed part of a binding.
  void set_usable(int worker, bool usable);
  /// Moves bindings off unusable workers and binds uncovered instances. Call after `set_usable`, `adopt` and
  /// `release`. Returns whether any binding changed.
  bool rebind();

  /// Finds the cheapest place for a guaranteed job of the team: an instance's binding, moved to other cells
  /// if that is cheaper. Changes nothing until `commit`.
  [[nodiscard]] std::optional<claim> find_claim(const team_id& team, const accelerator_shape& shape,
                                                const claim_cost& cost) const;
  /// Takes a claim that `find_claim` returned; no other call may come between.
  void commit(const claim& taken);
  /// Claims the cells of a restored job for an instance of its team. Returns the instance, or nothing if no
  /// instance can cover them; the job then runs outside the guarantee and may be preempted.
  [[nodiscard]] std::optional<int> adopt(const team_id& team, const std::vector<cell_block>& cells);
  void release(const claim& taken);

  [[nodiscard]] const std::vector<instance>& instances() const noexcept { return instances_; }
  /// Whether some instance of the team in this failure domain can hold a job of this shape when unclaimed.
  [[nodiscard]] bool can_ever_hold(const team_id& team, const accelerator_shape& shape) const;
  /// Instances of the guarantee without a binding to usable workers.
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
  [[nodiscard]] std::optional<std::vector<cell_block>> cover(int index, const std::vector<cell_block>& cells);
  void bind(int index, std::vector<cell_block> cells);
  void unbind(int index);
  /// Unbinds every instance that overlaps the cells.
  void evict(const std::vector<cell_block>& cells);
  [[nodiscard]] bool rebind_unclaimed(int index);
  [[nodiscard]] bool move_free_members(int index);
  void repack();

  std::shared_ptr<const fleet_topology> topology_;
  std::vector<guarantee_share> shares_;
  std::vector<instance> instances_;
  absl::flat_hash_map<team_id, std::vector<int>> by_team_;
  std::vector<std::vector<int>> bound_on_;  ///< Per worker: instances with a member there.
  cell_tree unbound_;                       ///< Used: bound; lost: unusable.
  std::vector<int> unsettled_;              ///< Instances that `rebind` has to look at.
  bool repack_useful_{true};                ///< Space changed since the last full packing.
  mutable int next_rack_{0};                ///< Spreads searches for other cells over the racks.
};

}  // namespace rhubarbpath

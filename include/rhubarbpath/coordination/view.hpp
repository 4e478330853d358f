#pragma once

#include <absl/status/statusor.h>

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rhubarbpath/state/ids.hpp"

namespace rhubarbpath {

/// One process on an entry VM. A restarted process has another incarnation and is another member.
struct member_id {
  vm_id vm;
  rhubarbpath::incarnation incarnation;
  friend bool operator==(const member_id&, const member_id&) = default;
  friend std::strong_ordering operator<=>(const member_id& left, const member_id& right) noexcept {
    const auto by_vm = left.vm <=> right.vm;
    return by_vm != std::strong_ordering::equal ? by_vm : left.incarnation <=> right.incarnation;
  }
  template <class H>
  friend H AbslHashValue(H state, const member_id& id) {
    return H::combine(std::move(state), id.vm, id.incarnation);
  }
};

/// A member with what peers need to reach and rank it.
struct member_info {
  member_id id;
  failure_domain_id failure_domain;
  std::string address;  ///< IP number and port of the peer link.
  friend bool operator==(const member_info&, const member_info&) = default;
};

/// What changed from view `number - 1` to view `number`.
struct view_change {
  view_number number;
  std::vector<member_info> joined;
  std::vector<member_info> left;
  friend bool operator==(const view_change&, const view_change&) = default;
};

/// The agreed, numbered list of entry VMs. Members are in ascending order of their ids.
struct view {
  view_number number;
  std::vector<member_info> members;
  /// The latest changes, newest first, so that a reader that missed views can rebuild them.
  std::vector<view_change> changes;
  friend bool operator==(const view&, const view&) = default;

  [[nodiscard]] bool contains(const member_id& id) const;
};

/// Changes kept in a view. A VM that missed more views taints the ranges it cannot trace.
inline constexpr std::size_t max_view_changes = 16;
/// Bounds the row at a tenth of the store's value limit for typical names.
inline constexpr std::size_t max_view_members = 2000;

/// Builds the view that follows `current` with the given members.
[[nodiscard]] view next_view(const view& current, std::vector<member_info> members);

/// Members of the older view `number`, or nothing when the changes do not reach back that far.
[[nodiscard]] std::optional<std::vector<member_info>> members_at(const view& current, view_number number);

/// Text form of the store row. Ids and addresses must be free of white space.
[[nodiscard]] std::string encode_view(const view& value);
/// Fails with `kInvalidArgument` on a malformed row.
[[nodiscard]] absl::StatusOr<view> decode_view(std::string_view text);

/// Position of the member in the ring order that ranks proposers and store watchers; nothing for others.
[[nodiscard]] std::optional<std::size_t> rank_of(const std::vector<member_info>& members, const vm_id& vm);

/// Number of key ranges. Each range has its own registrars, readiness and taint.
inline constexpr std::uint32_t key_range_count = 1024;

[[nodiscard]] std::uint32_t key_range_of(const idempotency_key& key);

/// The two registrars of a range by rendezvous hash, in different failure domains where possible.
/// With one member there is one registrar; the second is then empty.
struct registrar_pair {
  std::array<member_info, 2> members;
  std::size_t count{0};
  [[nodiscard]] std::optional<std::size_t> position_of(const member_id& id) const;
  friend bool operator==(const registrar_pair&, const registrar_pair&) = default;
};
[[nodiscard]] registrar_pair registrars_of(const std::vector<member_info>& members, std::uint32_t range);

/// The registrars of every range of one view.
class registrar_table {
 public:
  registrar_table() = default;
  explicit registrar_table(std::vector<member_info> members);

  [[nodiscard]] registrar_pair at(std::uint32_t range) const;
  /// True when the member is a registrar of the range.
  [[nodiscard]] bool holds(std::uint32_t range, const member_id& id) const;
  [[nodiscard]] const std::vector<member_info>& members() const noexcept { return members_; }

 private:
  std::vector<member_info> members_;
  std::size_t count_{0};  ///< Registrars per range.
  std::vector<std::array<std::uint32_t, 2>> indices_;
};

}  // namespace rhubarbpath

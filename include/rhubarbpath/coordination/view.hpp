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

/// Identifies one process on an entry VM. A restarted process has a new incarnation and is a new member.
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

/// A member with its failure domain and the address at which peers reach it.
struct member_info {
  member_id id;
  failure_domain_id failure_domain;
  std::string address;  ///< IP address and port of the peer link.
  friend bool operator==(const member_info&, const member_info&) = default;
};

/// The members that joined and left between view `number - 1` and view `number`.
struct view_change {
  view_number number;
  std::vector<member_info> joined;
  std::vector<member_info> left;
  friend bool operator==(const view_change&, const view_change&) = default;
};

/// The agreed list of entry VMs, with a number that grows by one with every change. Members are in
/// ascending order of their ids.
struct view {
  view_number number;
  std::vector<member_info> members;
  /// The latest changes, newest first. A reader that missed views reconstructs them from these.
  std::vector<view_change> changes;
  friend bool operator==(const view&, const view&) = default;

  [[nodiscard]] bool contains(const member_id& id) const;
};

/// Number of changes kept in a view. A VM that missed more views taints the key ranges whose earlier
/// registrars it cannot determine.
inline constexpr std::size_t max_view_changes = 16;
/// Limits the stored row to a tenth of the store's maximum value size for names of typical length.
inline constexpr std::size_t max_view_members = 2000;

/// Returns the view that follows `current` and has the given members.
[[nodiscard]] view next_view(const view& current, std::vector<member_info> members);

/// Returns the members of view `number`, or nothing if it is newer than `current` or older than the
/// changes kept in it.
[[nodiscard]] std::optional<std::vector<member_info>> members_at(const view& current, view_number number);

/// Encodes the view as the text of its store row. Ids and addresses must not contain white space.
[[nodiscard]] std::string encode_view(const view& value);
/// Decodes the text of a store row. Returns `kInvalidArgument` if it is malformed.
[[nodiscard]] absl::StatusOr<view> decode_view(std::string_view text);

/// Returns the zero-based position of the VM in the hash order that ranks proposers and store watchers,
/// or nothing if the VM is not a member.
[[nodiscard]] std::optional<std::size_t> rank_of(const std::vector<member_info>& members, const vm_id& vm);

/// Number of key ranges. Registrars, readiness and taint are tracked per range.
inline constexpr std::uint32_t key_range_count = 1024;

[[nodiscard]] std::uint32_t key_range_of(const idempotency_key& key);

/// The two registrars of a key range, chosen by rendezvous hashing and in different failure domains if
/// possible. A view with one member has one registrar, and the second element is empty.
struct registrar_pair {
  std::array<member_info, 2> members;
  std::size_t count{0};
  [[nodiscard]] std::optional<std::size_t> position_of(const member_id& id) const;
  friend bool operator==(const registrar_pair&, const registrar_pair&) = default;
};
[[nodiscard]] registrar_pair registrars_of(const std::vector<member_info>& members, std::uint32_t range);

/// The registrars of every key range in one view.
class registrar_table {
 public:
  registrar_table() = default;
  explicit registrar_table(std::vector<member_info> members);

  [[nodiscard]] registrar_pair at(std::uint32_t range) const;
  /// Returns true if the member is a registrar of the range.
  [[nodiscard]] bool is_registrar(std::uint32_t range, const member_id& id) const;
  [[nodiscard]] const std::vector<member_info>& members() const noexcept { return members_; }

 private:
  std::vector<member_info> members_;
  std::size_t count_{0};  ///< Registrars per range.
  std::vector<std::array<std::uint32_t, 2>> indices_;
};

}  // namespace rhubarbpath

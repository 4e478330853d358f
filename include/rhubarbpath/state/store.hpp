#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "rhubarbpath/state/ids.hpp"
#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath {

/// A lease in the key-value service; keys attached to it are deleted when it expires.
using store_lease_id = number_id<struct store_lease_id_tag>;

/// One row of the key-value service.
struct store_row {
  std::string key;
  std::string value;
  revision at;          ///< Revision of the last write to this key.
  write_id written_by;  ///< Identifies the write that produced this value.
  friend bool operator==(const store_row&, const store_row&) = default;
};

struct store_get {
  std::string key;
};

/// Writes only if the key's revision equals `expected`; zero creates the key only if it is absent.
struct store_put {
  std::string key;
  std::string value;
  revision expected;
  write_id id;
  store_lease_id lease;  ///< Zero attaches the key to no lease.
};

struct store_erase {
  std::string key;
  revision expected;
};

/// Lists at most `limit` rows whose key starts with `prefix`, in key order, beginning at `start`.
struct store_list {
  std::string prefix;
  std::string start;
  int limit{1000};
};

struct store_lease_grant {
  duration time_to_live{};
};

struct store_lease_renew {
  store_lease_id lease;
};

/// Waits, at most for `wait`, until the revision of the key exceeds `after`.
struct store_watch {
  std::string key;
  revision after;
  duration wait{};
};

using store_request = std::variant<store_get, store_put, store_erase, store_list, store_lease_grant,
                                   store_lease_renew, store_watch>;

/// Why a store call failed. Each kind has its own delay before a retry.
enum class store_failure {
  conflict,     ///< The expected revision did not match; nothing was written.
  limited,      ///< The store enforced its rate limit; nothing was written.
  unavailable,  ///< The call did not reach the store; nothing was written.
  unknown,      ///< No answer came; a write may have taken effect.
  invalid,      ///< The store rejects the call as such, for example a value over one megabyte.
};

/// Rows found by a get or list; an empty answer to a get means that the key does not exist.
struct store_rows {
  std::vector<store_row> rows;
  bool more{false};  ///< The list reached its limit before its last row.
};

struct store_written {
  revision at;
};

struct store_lease_granted {
  store_lease_id lease;
  duration time_to_live{};
};

/// A watch reached its time limit without a change.
struct store_unchanged {};

using store_response =
    std::variant<store_rows, store_written, store_lease_granted, store_unchanged, store_failure>;

/// Largest value of one row, in bytes.
inline constexpr std::size_t max_store_value_bytes = 1'000'000;

[[nodiscard]] constexpr std::string_view to_string(store_failure failure) noexcept {
  switch (failure) {
    case store_failure::conflict:
      return "conflict";
    case store_failure::limited:
      return "limited";
    case store_failure::unavailable:
      return "unavailable";
    case store_failure::unknown:
      return "unknown";
    case store_failure::invalid:
      return "invalid";
  }
  return "unknown";
}

}  // namespace rhubarbpath

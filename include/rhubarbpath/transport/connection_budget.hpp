#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"

namespace rhubarbpath {

/// Bounds what a process keeps for the clients of all its servers together, in bytes and in connections, and
/// names the connection to close when a bound is passed. Each call takes constant time; reads no clock and no
/// socket.
///
/// A connection makes progress when a request arrives whole or an answer is taken; bytes alone are none, so a
/// client that sends slowly without end does not stay ahead of the others. Above a bound, the connection that
/// is longest without progress is named first. For the bound in bytes, those that keep much go before those
/// that keep little, so that an ordinary caller who waits for the store stays; for the bound in connections,
/// the idle ones go first.
class connection_budget {
 public:
  struct options {
    std::uint64_t max_bytes{0};
    std::size_t max_connections{0};
  };
  /// The part of the bounds that other groups cannot use up. The sum over all groups is at most the whole.
  struct reserve {
    std::uint64_t bytes{0};
    std::size_t connections{0};
  };
  using group = std::size_t;
  using connection = std::uint64_t;

  /// Why a connection is to be closed.
  enum class bound { bytes, connections };
  struct excess {
    group owner{0};
    connection id{0};
    bound passed{bound::bytes};
  };

  explicit connection_budget(options opts) : options_{opts} {}

  [[nodiscard]] group add_group(reserve reserved);
  [[nodiscard]] connection open(group owner);
  void close(connection id);
  /// Sets the bytes that are kept for the connection.
  void hold(connection id, std::uint64_t bytes);
  void progressed(connection id);

  /// Whether a request that keeps `bytes` until its answer may begin. The bytes then count until `finish`.
  /// Open requests may take half of the bound, as closing their connection does not end them. The only open
  /// request of a group is always admitted.
  [[nodiscard]] bool admit(group owner, std::uint64_t bytes);
  void finish(group owner, std::uint64_t bytes);

  /// Changes the bound on connections, for example because the process opened more of its own.
  void set_max_connections(std::size_t count) { options_.max_connections = count; }

  [[nodiscard]] bool within_bounds() const noexcept {
    return within_bytes() && connections() <= options_.max_connections;
  }
  /// The connection to close next; none while the bounds are kept.
  [[nodiscard]] std::optional<excess> next_excess() const;

  [[nodiscard]] std::uint64_t bytes() const noexcept { return held_ + admitted_; }
  [[nodiscard]] std::size_t connections() const noexcept { return entries_.size(); }
  /// Connections that keep more than `idle_bytes`, with their groups.
  [[nodiscard]] std::vector<std::pair<group, connection>> holders() const;

  /// What evhttp and the kernel keep for a connection between two requests.
  static constexpr std::uint64_t idle_bytes = 4U << 10U;
  /// A connection that keeps at most this much keeps little, as one with an ordinary open request does.
  static constexpr std::uint64_t little_bytes = 16U << 10U;

 private:
  /// Longest without progress first.
  using order = std::list<connection>;
  enum class load : std::uint8_t { idle, little, much };
  static constexpr std::size_t load_count = 3;
  struct entry {
    group owner{0};
    std::uint64_t bytes{0};
    load kept{load::idle};
    order::iterator position;
  };
  struct group_state {
    reserve reserved;
    std::uint64_t held{0};
    std::uint64_t admitted{0};
    std::size_t open_requests{0};
    std::size_t connections{0};
    std::array<order, load_count> by_load;

    [[nodiscard]] order& with(load kept) { return by_load.at(static_cast<std::size_t>(kept)); }
  };

  [[nodiscard]] static load load_of(std::uint64_t bytes) noexcept;
  /// Open requests cannot be closed, so they count at most with what they may take.
  [[nodiscard]] bool within_bytes() const noexcept {
    return held_ + std::min(admitted_, options_.max_bytes / 2) <= options_.max_bytes;
  }

  options options_;
  std::vector<group_state> groups_;
  absl::flat_hash_map<connection, entry> entries_;
  connection last_id_{0};
  std::uint64_t held_{0};
  std::uint64_t admitted_{0};
};

}  // namespace rhubarbpath

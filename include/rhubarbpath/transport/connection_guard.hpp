#pragma once

#include <cstdint>
#include <functional>
#include <string_view>

#include "rhubarbpath/transport/connection_budget.hpp"

namespace rhubarbpath {

/// What an HTTP server tells of its connections, and asks before it serves a request. Keeps the server free
/// of what decides, so that it can be linked without.
class connection_guard {
 public:
  using group = connection_budget::group;
  using connection = connection_budget::connection;

  /// How a server closes and measures its connections.
  struct server_calls {
    std::function<void(connection)> close;
    /// Counts the bytes that wait in the kernel.
    std::function<void(connection)> measure;
  };

  connection_guard() = default;
  connection_guard(const connection_guard&) = delete;
  connection_guard(connection_guard&&) = delete;
  connection_guard& operator=(const connection_guard&) = delete;
  connection_guard& operator=(connection_guard&&) = delete;
  virtual ~connection_guard() = default;

  /// Adds a server with a share of the bounds that is its own, from 0 to 1.
  [[nodiscard]] virtual group add_server(double reserved_share, server_calls calls) = 0;
  /// Call when the server ends.
  virtual void remove_server(group server) = 0;

  [[nodiscard]] virtual connection open(group server) = 0;
  virtual void close(connection id) = 0;
  /// Sets the bytes that are kept for the connection.
  virtual void hold(connection id, std::uint64_t bytes) = 0;
  virtual void progressed(connection id) = 0;
  /// Whether a request that keeps `bytes` until its answer may begin; `finish` ends it.
  [[nodiscard]] virtual bool admit(group server, std::uint64_t bytes) = 0;
  virtual void finish(group server, std::uint64_t bytes) = 0;
  /// Counts a refusal.
  virtual void note(std::string_view reason) = 0;
};

}  // namespace rhubarbpath

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "rhubarbpath/transport/connection_budget.hpp"
#include "rhubarbpath/transport/connection_guard.hpp"
#include "rhubarbpath/transport/event_loop.hpp"

namespace rhubarbpath {

/// How many of a process's descriptors sockets may use; the others are for files.
[[nodiscard]] std::size_t sockets_of(std::size_t descriptors);

/// Bounds what all HTTP servers of a process together keep for their clients, and closes connections above
/// the bounds. Its servers share it.
class client_limits : public connection_guard, public std::enable_shared_from_this<client_limits> {
 public:
  struct options {
    /// Bytes received, in work and to be sent, over all connections.
    std::uint64_t max_bytes{128U << 20U};
    /// Sockets that the process may open, for clients and for its own calls; 0 for the limit of the process.
    std::size_t max_sockets{0};
    /// Number of connections that the process has opened itself.
    std::function<std::size_t()> own_connections;
    /// Counts each connection that is closed and each request that is refused.
    std::function<void(std::string_view reason)> count;
  };
  client_limits(event_loop& loop, options opts);

  [[nodiscard]] group add_server(double reserved_share, server_calls calls) override;
  void remove_server(group server) override;

  [[nodiscard]] connection open(group server) override;
  void close(connection id) override;
  void hold(connection id, std::uint64_t bytes) override;
  void progressed(connection id) override;
  [[nodiscard]] bool admit(group server, std::uint64_t bytes) override;
  void finish(group server, std::uint64_t bytes) override;
  /// Counts a refusal; the log gets one line a second for each reason.
  void note(std::string_view reason) override;

 private:
  /// Closes connections on the next pass of the loop if a bound is passed.
  void check();
  [[nodiscard]] std::size_t max_client_connections() const;
  void enforce();
  void sweep();

  event_loop& loop_;
  options options_;
  connection_budget budget_;
  std::vector<server_calls> servers_;
  std::map<std::string, std::int64_t, std::less<>> noted_;
  bool check_posted_{false};
  timer_handle sweep_timer_;
};

}  // namespace rhubarbpath

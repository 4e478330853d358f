#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "rhubarbpath/state/units.hpp"
#include "rhubarbpath/transport/connection_guard.hpp"
#include "rhubarbpath/transport/event_loop.hpp"
#include "rhubarbpath/transport/http.hpp"

namespace rhubarbpath {

namespace detail {
struct pending_reply;
struct tracked_connection;
}  // namespace detail

/// Sends the response to one request, immediately or later, at most once. Copies share the same pending
/// response.
class http_responder {
 public:
  explicit http_responder(std::shared_ptr<detail::pending_reply> pending) : pending_{std::move(pending)} {}

  /// Does nothing if the client has disconnected or a response was already sent.
  void send(const http_response& response) const;
  /// False once the client's connection has closed or the response was sent.
  [[nodiscard]] bool open() const noexcept;

 private:
  std::shared_ptr<detail::pending_reply> pending_;
};

/// HTTP/1.1 server built on evhttp. The handler may store the responder and respond asynchronously.
class http_server {
 public:
  using handler = std::function<void(http_request, http_responder)>;

  struct options {
    std::string address{"127.0.0.1"};
    std::uint16_t port{0};
    std::uint64_t max_body_bytes{1U << 20U};
    /// Maximum total size of header names and values; larger requests are rejected with status 431.
    std::size_t max_header_bytes{16U << 10U};
    duration idle_timeout{std::chrono::seconds{60}};
    /// Shared by the servers of a process; null for a server without limits.
    std::shared_ptr<connection_guard> limits;
    /// Share of the limits that only this server uses, from 0 to 1. The sum over the servers is at most 1.
    double reserved_share{0};
  };

  http_server(event_loop& loop, options opts, handler handle);
  http_server(const http_server&) = delete;
  http_server(http_server&&) = delete;
  http_server& operator=(const http_server&) = delete;
  http_server& operator=(http_server&&) = delete;
  ~http_server();

  /// Returns `kUnavailable` if the address cannot be bound, for example because it is in use.
  [[nodiscard]] absl::Status listen();
  /// Changes the limit for bodies. A larger one holds for connections that are accepted from now on.
  void set_max_body_bytes(std::uint64_t bytes);
  /// Stops accepting connections. Established connections stay open.
  void stop_listening();
  /// Number of requests without a response, excluding those whose connection has closed.
  [[nodiscard]] std::size_t in_progress() const noexcept;
  /// Number of the most recently accepted connection. Connections are numbered from 1.
  [[nodiscard]] std::uint64_t last_connection() const noexcept;

 private:
  friend struct detail::tracked_connection;
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace rhubarbpath

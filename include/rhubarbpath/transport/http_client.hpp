#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "rhubarbpath/state/units.hpp"
#include "rhubarbpath/transport/event_loop.hpp"
#include "rhubarbpath/transport/http.hpp"

namespace rhubarbpath {

/// Error result of a call that did not receive a complete response.
struct http_call_failed {
  /// False only if no byte of the request was written to the socket, so the server cannot have executed it.
  bool bytes_sent{true};
  bool timed_out{false};
  std::string reason;
};

using http_result = std::variant<http_response, http_call_failed>;

/// HTTP/1.1 client built on evhttp, with one connection pool per address. Requests are never retried.
class http_client {
 public:
  using callback = std::function<void(http_result)>;

  struct options {
    int max_connections_per_address{60};
    int max_idle_connections_per_address{16};
    /// A connection that was idle for longer is closed instead of reused. A middlebox may have dropped its
    /// state, in which case a request sent on it would be lost with the verdict "may have run".
    duration max_idle_age{std::chrono::seconds{1}};
    std::size_t max_body_bytes{4U << 20U};
    /// A call whose answer is arriving when its timeout expires may take this much longer, as long as more
    /// bytes arrive. Repeating a large transfer from its start over a busy link may never finish.
    duration max_transfer_extension{duration::zero()};
  };

  http_client(event_loop& loop, options opts);
  http_client(const http_client&) = delete;
  http_client(http_client&&) = delete;
  http_client& operator=(const http_client&) = delete;
  http_client& operator=(http_client&&) = delete;
  /// Cancels pending calls without invoking their callbacks.
  ~http_client();

  /// Identifies a pending call for `cancel`.
  using handle = std::uint64_t;

  /// Sends a request to `address`, an IP address and port such as "127.0.0.1:9000". The callback is invoked
  /// exactly once from the loop, never from within this function. `timeout` covers the whole call,
  /// including connecting; `options::max_transfer_extension` may extend it.
  handle call(const std::string& address, const http_request& request, duration timeout, callback done);

  /// Cancels a pending call and closes its connection. The callback is not invoked.
  void cancel(handle pending);

  /// Closes all idle connections to an address, for example after one of them stopped responding.
  void drop_idle(const std::string& address);

  /// Number of connections that are open, in use or idle.
  [[nodiscard]] std::size_t open_connections() const noexcept;

 private:
  struct implementation;
  std::shared_ptr<implementation> implementation_;
};

}  // namespace rhubarbpath

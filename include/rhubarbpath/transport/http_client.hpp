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

/// A call that brought no whole answer.
struct http_call_failed {
  /// False only when no byte of the request was handed to the network, so that it cannot have run.
  bool bytes_sent{true};
  bool timed_out{false};
  std::string reason;
};

using http_result = std::variant<http_response, http_call_failed>;

/// HTTP/1.1 client on evhttp with a pool of connections per address. It never repeats a request.
class http_client {
 public:
  using callback = std::function<void(http_result)>;

  struct options {
    int max_connections_per_address{60};
    int max_idle_connections_per_address{16};
    /// An idle connection older than this is closed instead of reused. A middlebox may have dropped
    /// its state, and a request sent on it would be lost with the verdict "may have run".
    duration max_idle_age{std::chrono::seconds{1}};
    std::size_t max_body_bytes{4U << 20U};
  };

  http_client(event_loop& loop, options opts);
  http_client(const http_client&) = delete;
  http_client(http_client&&) = delete;
  http_client& operator=(const http_client&) = delete;
  http_client& operator=(http_client&&) = delete;
  /// Pending calls are dropped without a callback.
  ~http_client();

  /// Identifies a pending call for `cancel`.
  using handle = std::uint64_t;

  /// `address` is an IP number and port, for example "127.0.0.1:9000". The callback runs once, from
  /// the loop and never from inside this function. `timeout` bounds the whole call.
  handle call(const std::string& address, const http_request& request, duration timeout, callback done);

  /// Drops a pending call and closes its connection; its callback does not run.
  void cancel(handle pending);

  /// Closes the idle connections to an address, for example after one of them went silent.
  void drop_idle(const std::string& address);

 private:
  struct implementation;
  std::shared_ptr<implementation> implementation_;
};

}  // namespace rhubarbpath

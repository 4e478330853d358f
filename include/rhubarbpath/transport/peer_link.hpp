#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "rhubarbpath/state/units.hpp"
#include "rhubarbpath/transport/event_loop.hpp"

namespace rhubarbpath {

/// WebSocket connection to another process. An unresponsive peer is detected with pings, see `options`.
class peer_link : public std::enable_shared_from_this<peer_link> {
 public:
  struct callbacks {
    std::function<void()> on_open;
    std::function<void(std::string)> on_message;
    /// Invoked once from the loop, also if the connection never opened. Not invoked after `close`.
    std::function<void(std::string reason)> on_closed;
  };

  struct options {
    duration ping_idle_time{
        std::chrono::seconds{1}};  ///< Time without received data after which a ping is sent.
    duration pong_timeout{std::chrono::seconds{1}};  ///< Closes the link if no data follows a ping in time.
    std::size_t max_message_bytes{4U << 20U};
    /// A peer that reads too slowly is disconnected, to bound the memory used for unsent data.
    std::size_t max_unsent_bytes{8U << 20U};
  };

  /// Opens a connection to `address`, an IP address and port.
  static std::shared_ptr<peer_link> connect(event_loop& loop, const std::string& address, options opts,
                                            callbacks calls);
  /// Takes ownership of an accepted socket and performs the server side of the handshake.
  static std::shared_ptr<peer_link> accept(event_loop& loop, int socket, options opts, callbacks calls);

  peer_link(const peer_link&) = delete;
  peer_link(peer_link&&) = delete;
  peer_link& operator=(const peer_link&) = delete;
  peer_link& operator=(peer_link&&) = delete;
  ~peer_link();

  /// Returns false if the link is not open; no part of the message was sent in this case.
  bool send(const std::string& message);
  [[nodiscard]] bool open() const;
  /// Closes the link without invoking `on_closed`.
  void close();

 private:
  struct implementation;
  explicit peer_link(std::unique_ptr<implementation> state);
  std::unique_ptr<implementation> implementation_;
};

/// Listens for WebSocket connections from other processes.
class peer_listener {
 public:
  using accept_handler = std::function<void(int socket)>;

  peer_listener(event_loop& loop, std::string address, accept_handler on_accept);
  peer_listener(const peer_listener&) = delete;
  peer_listener(peer_listener&&) = delete;
  peer_listener& operator=(const peer_listener&) = delete;
  peer_listener& operator=(peer_listener&&) = delete;
  ~peer_listener();

  /// Returns `kUnavailable` if the address cannot be bound and `kInvalidArgument` if it is malformed.
  [[nodiscard]] absl::Status listen();

 private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace rhubarbpath

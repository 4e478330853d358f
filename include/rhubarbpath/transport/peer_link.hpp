#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "rhubarbpath/state/units.hpp"
#include "rhubarbpath/transport/event_loop.hpp"

namespace rhubarbpath {

/// One websocket connection to another process. Silence is found by pings, see `options`.
class peer_link : public std::enable_shared_from_this<peer_link> {
 public:
  struct callbacks {
    std::function<void()> on_open;
    std::function<void(std::string)> on_message;
    /// Runs once, from the loop, also when the connection never opened.
    std::function<void(std::string reason)> on_closed;
  };

  struct options {
    duration ping_after{std::chrono::seconds{1}};  ///< Silence after which a ping is sent.
    duration pong_within{std::chrono::seconds{1}};
    std::size_t max_message_bytes{4U << 20U};
    /// A peer that reads too slowly is disconnected instead of filling memory.
    std::size_t max_unsent_bytes{8U << 20U};
  };

  /// `address` is an IP number and port.
  static std::shared_ptr<peer_link> connect(event_loop& loop, const std::string& address, options opts,
                                            callbacks calls);
  /// Takes over an accepted socket.
  static std::shared_ptr<peer_link> accept(event_loop& loop, int socket, options opts, callbacks calls);

  peer_link(const peer_link&) = delete;
  peer_link(peer_link&&) = delete;
  peer_link& operator=(const peer_link&) = delete;
  peer_link& operator=(peer_link&&) = delete;
  ~peer_link();

  /// Returns false when the link is not open; the message was then certainly not sent.
  bool send(const std::string& message);
  [[nodiscard]] bool open() const;
  /// Closes without `on_closed`.
  void close();

 private:
  struct implementation;
  explicit peer_link(std::unique_ptr<implementation> inner);
  std::unique_ptr<implementation> implementation_;
};

/// Accepts websocket connections of other processes.
class peer_listener {
 public:
  using accept_handler = std::function<void(int socket)>;

  peer_listener(event_loop& loop, std::string address, accept_handler on_accept);
  peer_listener(const peer_listener&) = delete;
  peer_listener(peer_listener&&) = delete;
  peer_listener& operator=(const peer_listener&) = delete;
  peer_listener& operator=(peer_listener&&) = delete;
  ~peer_listener();

  /// Fails with `kUnavailable` when the address is in use and `kInvalidArgument` when it is malformed.
  [[nodiscard]] absl::Status listen();

 private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace rhubarbpath

#pragma once

// This header is included by the only C++17 source file of the project and must remain valid C++17.

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace rhubarbpath {

/// One endpoint of a WebSocket connection without I/O: consumes received bytes, produces messages and bytes
/// to send.
class websocket_codec {
 public:
  enum class role { client, server };

  struct callbacks {
    std::function<void()> on_open;
    std::function<void(std::string)> on_message;  ///< Complete binary messages only.
    std::function<void()> on_pong;
    std::function<void()> on_closed;  ///< Handshake failure, protocol error or close frame.
    std::function<void(const char*, std::size_t)> write;
  };

  websocket_codec(role local_role, callbacks calls, std::size_t max_message_bytes);
  websocket_codec(const websocket_codec&) = delete;
  websocket_codec(websocket_codec&&) = delete;
  websocket_codec& operator=(const websocket_codec&) = delete;
  websocket_codec& operator=(websocket_codec&&) = delete;
  ~websocket_codec();

  /// Starts the handshake; a client writes its upgrade request.
  void start(const std::string& host_and_port);
  /// Decodes received bytes and invokes the callbacks for completed messages and control frames.
  void feed(const char* bytes, std::size_t size);
  /// Sends a binary message. Returns false if the connection is not open.
  bool send(const std::string& message);
  void ping();
  void close();
  [[nodiscard]] bool open() const;

 private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace rhubarbpath

#pragma once

// This header is included by the one C++17 file of the project and must stay valid C++17.

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace rhubarbpath {

/// One end of a websocket connection as a pure codec: bytes in, messages and bytes out.
class websocket_codec {
 public:
  enum class role { client, server };

  struct callbacks {
    std::function<void()> on_open;
    std::function<void(std::string)> on_message;  ///< Whole binary messages only.
    std::function<void()> on_pong;
    std::function<void()> on_closed;  ///< Handshake failed, protocol error or close frame.
    std::function<void(const char*, std::size_t)> write;
  };

  websocket_codec(role side, callbacks calls, std::size_t max_message_bytes);
  websocket_codec(const websocket_codec&) = delete;
  websocket_codec(websocket_codec&&) = delete;
  websocket_codec& operator=(const websocket_codec&) = delete;
  websocket_codec& operator=(websocket_codec&&) = delete;
  ~websocket_codec();

  /// Begins the handshake; a client writes its upgrade request.
  void start(const std::string& host_and_port);
  void feed(const char* bytes, std::size_t size);
  /// Returns false when the connection is not open.
  bool send(const std::string& message);
  void ping();
  void close();
  [[nodiscard]] bool open() const;

 private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace rhubarbpath

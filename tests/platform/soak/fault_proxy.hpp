#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "rhubarbpath/transport/event_loop.hpp"

namespace rhubarbpath::soak {

enum class proxy_mode {
  pass,
  delayed,  ///< Bytes in both directions are delayed by 300 ms.
  reset,    ///< Existing connections are closed, new ones as soon as they are accepted.
  silent,   ///< Existing connections stay open but drop all bytes; new ones work.
  blocked,  ///< All bytes are dropped in both directions, on existing and new connections.
  one_way,  ///< Requests are forwarded and answers are dropped.
  refused,  ///< Existing connections are closed, new ones refused.
};

/// A loopback TCP proxy for one address. It forwards bytes without parsing the protocol.
class fault_proxy {
 public:
  fault_proxy(event_loop& loop, std::string address, std::uint16_t port, std::string target_address,
              std::uint16_t target_port);
  fault_proxy(const fault_proxy&) = delete;
  fault_proxy(fault_proxy&&) = delete;
  fault_proxy& operator=(const fault_proxy&) = delete;
  fault_proxy& operator=(fault_proxy&&) = delete;
  ~fault_proxy();

  [[nodiscard]] absl::Status listen();
  void set_mode(proxy_mode mode);
  /// Calls `call` with the bytes that clients send while the mode, or their connection, disturbs them.
  void on_disturbed_bytes(std::function<void(std::string_view)> call);

 private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace rhubarbpath::soak

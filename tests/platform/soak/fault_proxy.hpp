#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "rhubarbpath/transport/event_loop.hpp"

namespace rhubarbpath::soak {

enum class proxy_mode {
  pass,
  delayed,  ///< Bytes of both directions arrive 300 ms later.
  reset,    ///< Connections are closed, new ones as soon as they are accepted.
  silent,   ///< Connections that exist carry nothing any more; new ones work.
  cut,      ///< Nothing passes in either direction, on old and new connections.
  one_way,  ///< Requests arrive and answers do not.
};

/// A loopback proxy for one address. It forwards bytes and knows nothing of the protocol.
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

 private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace rhubarbpath::soak

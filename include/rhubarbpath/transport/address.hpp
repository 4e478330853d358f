#pragma once

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"

namespace rhubarbpath {

/// Host and TCP port of an endpoint.
struct host_port {
  std::string host;
  std::uint16_t port{0};
};

/// Splits "host:port" into its parts, for example "127.0.0.1:8000". Returns `kInvalidArgument` for any other
/// form, a host that is not an IPv4 number, or a port outside 1 to 65535. Names are refused because looking
/// them up would block the event loop.
[[nodiscard]] absl::StatusOr<host_port> parse_address(const std::string& text);

}  // namespace rhubarbpath

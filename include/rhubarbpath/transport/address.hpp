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
/// form or a port outside 1 to 65535. Does not check that the host is an IP address.
[[nodiscard]] absl::StatusOr<host_port> parse_address(const std::string& text);

}  // namespace rhubarbpath

#pragma once

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"

namespace rhubarbpath {

struct host_port {
  std::string host;
  std::uint16_t port{0};
};

/// Splits an IP number and port, for example "127.0.0.1:8000". Fails with `kInvalidArgument` on any other
/// form; whether the host is an IP number is not checked.
[[nodiscard]] absl::StatusOr<host_port> parse_address(const std::string& text);

}  // namespace rhubarbpath

#include "rhubarbpath/transport/address.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>

#include "absl/strings/numbers.h"

namespace rhubarbpath {

absl::StatusOr<host_port> parse_address(const std::string& text) {
  const auto colon = text.rfind(':');
  in_addr number{};
  std::uint32_t port = 0;
  constexpr std::uint32_t max_port = 65535;
  if (colon == std::string::npos || colon == 0 || !absl::SimpleAtoi(text.substr(colon + 1), &port) ||
      port == 0 || port > max_port || inet_pton(AF_INET, text.substr(0, colon).c_str(), &number) != 1) {
    return absl::InvalidArgumentError(
        fmt::format("\"{}\" is not an IP number and port, for example 127.0.0.1:8000", text));
  }
  return host_port{.host = text.substr(0, colon), .port = static_cast<std::uint16_t>(port)};
}

}  // namespace rhubarbpath

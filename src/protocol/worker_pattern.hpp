#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rhubarbpath::detail {

/// IP address and port, for example "127.0.0.1:9001" or "[::1]:9001".
struct socket_address {
  std::string host;  ///< An IPv6 address keeps its brackets.
  std::uint16_t port{0};
};

inline constexpr std::string_view accepted_address =
    "accepted: an IP address and a port from 1 to 65535, for example 127.0.0.1:9001";

/// Returns nullopt for a host name, an invalid IP address, or a port outside 1 to 65535.
[[nodiscard]] std::optional<socket_address> parse_socket_address(std::string_view text);

/// Replaces every "{n}" with the number and every "{rack}" with the id of the rack.
[[nodiscard]] std::string expand_pattern(std::string_view pattern, std::string_view rack, int number);

}  // namespace rhubarbpath::detail

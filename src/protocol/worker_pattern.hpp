#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rhubarbpath::detail {

/// An IP number with a port, for example "127.0.0.1:9001" or "[::1]:9001".
struct socket_address {
  std::string host;  ///< With the brackets of an IPv6 number.
  std::uint16_t port{0};
};

inline constexpr std::string_view accepted_address =
    "accepted: an IP number and a port from 1 to 65535, for example 127.0.0.1:9001";

/// Returns nothing for a host name, an IP number that is not valid, or a port outside 1 to 65535.
[[nodiscard]] std::optional<socket_address> parse_socket_address(std::string_view text);

/// Replaces "{n}" by the number and "{rack}" by the rack's id.
[[nodiscard]] std::string expand_pattern(std::string_view pattern, std::string_view rack, int number);

}  // namespace rhubarbpath::detail

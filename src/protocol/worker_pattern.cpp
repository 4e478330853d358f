#include "worker_pattern.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <array>

#include "yaml_fields.hpp"

namespace rhubarbpath::detail {

namespace {

bool is_ip_address(std::string_view host) {
  const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  const std::string address{bracketed ? host.substr(1, host.size() - 2) : host};
  std::array<unsigned char, sizeof(in6_addr)> parsed{};
  return inet_pton(bracketed ? AF_INET6 : AF_INET, address.c_str(), parsed.data()) == 1;
}

std::string replace_all(std::string_view text, std::string_view from, std::string_view to) {
  std::string result;
  for (auto found = text.find(from); found != std::string_view::npos; found = text.find(from)) {
    result.append(text.substr(0, found)).append(to);
    text.remove_prefix(found + from.size());
  }
  return result.append(text);
}

}  // namespace

std::optional<socket_address> parse_socket_address(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const auto host = text.substr(0, colon);
  const auto port = parse_decimal(text.substr(colon + 1));
  if (!port || *port < 1 || *port > 65535 || !is_ip_address(host)) {
    return std::nullopt;
  }
  return socket_address{std::string{host}, static_cast<std::uint16_t>(*port)};
}

std::string expand_pattern(std::string_view pattern, std::string_view rack, int number) {
  const auto with_rack = replace_all(pattern, "{rack}", rack);
  return replace_all(with_rack, "{n}", fmt::format("{}", number));
}

}  // namespace rhubarbpath::detail

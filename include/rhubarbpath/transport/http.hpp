#pragma once

#include <algorithm>
#include <cctype>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rhubarbpath {

/// Header names and values in order of appearance. Header names are case-insensitive.
using http_headers = std::vector<std::pair<std::string, std::string>>;

/// Returns the first value of a header, or an empty string when the header is absent.
[[nodiscard]] inline std::string_view header_value(const http_headers& headers, std::string_view name) {
  const auto equals_ignoring_case = [](char left, char right) {
    return std::tolower(static_cast<unsigned char>(left)) == std::tolower(static_cast<unsigned char>(right));
  };
  for (const auto& [key, value] : headers) {
    if (std::equal(key.begin(), key.end(), name.begin(), name.end(), equals_ignoring_case)) {
      return value;
    }
  }
  return {};
}

struct http_request {
  std::string method;  ///< Upper case, for example "POST".
  std::string path;    ///< Without the query string.
  std::string query;   ///< Query string without the question mark; empty if absent.
  http_headers headers;
  std::string body;
  /// Number of the server connection that received the request; not used by the client.
  std::uint64_t connection{0};
};

struct http_response {
  int status{200};
  http_headers headers;
  std::string body;
};

}  // namespace rhubarbpath

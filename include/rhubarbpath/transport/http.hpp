#pragma once

#include <algorithm>
#include <cctype>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rhubarbpath {

/// Header names compare without regard to case.
using http_headers = std::vector<std::pair<std::string, std::string>>;

/// Returns the first value of a header, or an empty text.
[[nodiscard]] inline std::string_view header_value(const http_headers& headers, std::string_view name) {
  const auto same = [](char left, char right) {
    return std::tolower(static_cast<unsigned char>(left)) == std::tolower(static_cast<unsigned char>(right));
  };
  for (const auto& [key, value] : headers) {
    if (std::equal(key.begin(), key.end(), name.begin(), name.end(), same)) {
      return value;
    }
  }
  return {};
}

struct http_request {
  std::string method;  ///< Upper case, for example "POST".
  std::string path;    ///< Without the query.
  std::string query;   ///< Without the question mark; empty when there is none.
  http_headers headers;
  std::string body;
  /// Number of the server's connection that it came on; the client does not use it.
  std::uint64_t connection{0};
};

struct http_response {
  int status{200};
  http_headers headers;
  std::string body;
};

}  // namespace rhubarbpath

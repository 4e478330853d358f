#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "rhubarbpath/state/store.hpp"

namespace rhubarbpath {

/// HTTP `POST` request to the store stand-in.
struct store_http_request {
  std::string path;  ///< For example "/kv/put".
  std::string body;  ///< JSON; values are in base64, intervals in microseconds.
};

/// HTTP response of the store stand-in.
struct store_http_response {
  int status{
      200};  ///< 200, or for a failure: conflict 409, limited 429, unavailable 503, unknown 504, invalid 400.
  std::string body;
};

[[nodiscard]] store_http_request encode_store_request(const store_request& request);
/// Fails with `kNotFound` for an unknown path and `kInvalidArgument` for a body that does not match it.
[[nodiscard]] absl::StatusOr<store_request> decode_store_request(std::string_view path,
                                                                 std::string_view body);

[[nodiscard]] store_http_response encode_store_response(const store_response& response);
/// Fails with `kInvalidArgument` if the status or the body is not a valid response of the store.
[[nodiscard]] absl::StatusOr<store_response> decode_store_response(int status, std::string_view body);

}  // namespace rhubarbpath

#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "rhubarbpath/state/store.hpp"

namespace rhubarbpath {

/// One `POST` to the store stand-in.
struct store_call_text {
  std::string path;  ///< For example "/kv/put".
  std::string body;  ///< JSON; values are base64, intervals microseconds.
};

/// One answer of the store stand-in.
struct store_answer_text {
  int status{
      200};  ///< 200, or by failure: conflict 409, limited 429, unavailable 503, unknown 504, invalid 400.
  std::string body;
};

[[nodiscard]] store_call_text encode_store_request(const store_request& request);
/// Fails with `not_found` for an unknown path and `invalid_argument` for a body that does not fit it.
[[nodiscard]] absl::StatusOr<store_request> decode_store_request(std::string_view path,
                                                                 std::string_view body);

[[nodiscard]] store_answer_text encode_store_response(const store_response& response);
/// Fails with `invalid_argument` when status or body are not an answer of the store.
[[nodiscard]] absl::StatusOr<store_response> decode_store_response(int status, std::string_view body);

}  // namespace rhubarbpath

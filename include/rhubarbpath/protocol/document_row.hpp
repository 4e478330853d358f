#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "rhubarbpath/state/document.hpp"

namespace rhubarbpath {

/// The value of the store row `/env/{environment}/document`.
struct document_row {
  versioned_document document;
  std::string promoted_by;
  std::string promoted_at;  ///< UTC in RFC 3339 form, for example "2026-12-04T05:18:53Z".
  friend bool operator==(const document_row&, const document_row&) = default;
};

/// Returns the store key "/env/{environment}/document".
[[nodiscard]] std::string document_key(std::string_view environment);

/// Serializes the row to a JSON object with the members version, digest, promoted_by, promoted_at and bytes.
/// Fails with `kInvalidArgument` when the bytes are not UTF-8 or the value is over `max_store_value_bytes`.
[[nodiscard]] absl::StatusOr<std::string> encode_document_row(const document_row& row);

/// Fails with `kDataLoss` if the value is malformed or the digest does not match the bytes.
[[nodiscard]] absl::StatusOr<document_row> decode_document_row(std::string_view value);

}  // namespace rhubarbpath

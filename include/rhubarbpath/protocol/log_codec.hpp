#pragma once

#include "rhubarbpath/coordination/log_value_codec.hpp"

namespace rhubarbpath {

/// CBOR encoding of log rows and snapshots. An entry is an array that begins with a type number, which keeps
/// rows small. Decoding is strict: it fails with `kInvalidArgument` on a wrong type, a missing or extra
/// field, an unknown enumerator or trailing bytes.
class cbor_log_codec final : public log_value_codec {
 public:
  [[nodiscard]] std::string encode_batch(std::span<const log_entry> entries) const override;
  [[nodiscard]] absl::StatusOr<std::vector<log_entry>> decode_batch(std::string_view value) const override;
  [[nodiscard]] absl::StatusOr<std::vector<std::string>> encode_snapshot(
      const domain_snapshot& snapshot, std::size_t max_bytes) const override;
  [[nodiscard]] absl::StatusOr<domain_snapshot> decode_snapshot(
      std::span<const std::string> parts) const override;
  [[nodiscard]] std::string encode_head(const snapshot_head& head) const override;
  [[nodiscard]] absl::StatusOr<snapshot_head> decode_head(std::string_view value) const override;
};

}  // namespace rhubarbpath

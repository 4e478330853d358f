#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "rhubarbpath/coordination/domain_state.hpp"
#include "rhubarbpath/state/log_entry.hpp"

namespace rhubarbpath {

/// Encodes log rows and snapshots as store values and decodes them. The protocol layer provides the
/// implementation (`cbor_log_codec`), so that the coordination layer does not depend on an encoding.
class log_value_codec {
 public:
  log_value_codec() = default;
  log_value_codec(const log_value_codec&) = delete;
  log_value_codec(log_value_codec&&) = delete;
  log_value_codec& operator=(const log_value_codec&) = delete;
  log_value_codec& operator=(log_value_codec&&) = delete;
  virtual ~log_value_codec() = default;

  [[nodiscard]] virtual std::string encode_batch(std::span<const log_entry> entries) const = 0;
  [[nodiscard]] virtual absl::StatusOr<std::vector<log_entry>> decode_batch(std::string_view value) const = 0;

  /// Encodes the snapshot as values of at most `max_bytes` bytes each. Returns `resource_exhausted` if a
  /// single job does not fit into one value.
  [[nodiscard]] virtual absl::StatusOr<std::vector<std::string>> encode_snapshot(
      const domain_snapshot& snapshot, std::size_t max_bytes) const = 0;
  /// Decodes a snapshot from all of its parts, in order.
  [[nodiscard]] virtual absl::StatusOr<domain_snapshot> decode_snapshot(
      std::span<const std::string> parts) const = 0;

  [[nodiscard]] virtual std::string encode_head(const snapshot_head& head) const = 0;
  [[nodiscard]] virtual absl::StatusOr<snapshot_head> decode_head(std::string_view value) const = 0;
};

}  // namespace rhubarbpath

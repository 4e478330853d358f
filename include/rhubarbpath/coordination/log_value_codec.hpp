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

/// Turns log rows and snapshots into store values. The protocol layer implements it (`cbor_log_codec`);
/// an interface keeps the coordination layer free of encodings.
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

  /// Splits the snapshot into values of at most `max_bytes`. Fails with `resource_exhausted` when a single
  /// job does not fit.
  [[nodiscard]] virtual absl::StatusOr<std::vector<std::string>> encode_snapshot(
      const domain_snapshot& snapshot, std::size_t max_bytes) const = 0;
  /// Needs all parts in order.
  [[nodiscard]] virtual absl::StatusOr<domain_snapshot> decode_snapshot(
      std::span<const std::string> parts) const = 0;

  [[nodiscard]] virtual std::string encode_head(const snapshot_head& head) const = 0;
  [[nodiscard]] virtual absl::StatusOr<snapshot_head> decode_head(std::string_view value) const = 0;
};

}  // namespace rhubarbpath

#pragma once

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbpath::detail {

using json = nlohmann::ordered_json;

inline constexpr std::int64_t max_integer = std::numeric_limits<std::int64_t>::max();

/// Parses a text that holds exactly one JSON object. Fails with `kInvalidArgument` for a text above
/// `max_bytes`, a repeated member or nesting deeper than 8 levels.
[[nodiscard]] absl::StatusOr<json> parse_json_object(std::string_view text, std::size_t max_bytes);

/// Serializes to compact JSON. Invalid UTF-8 is replaced by U+FFFD.
[[nodiscard]] std::string dump_json(const json& value);

/// Reads typed members of a JSON object and records the first problem. Types are not converted: "4",
/// 4.0 and true are rejected where an integer is expected.
class json_fields {
 public:
  /// `path` prefixes the member names in messages, for example `job.spec`; empty for the top level.
  json_fields(const json& object, std::string path);

  /// Reports a problem for every member that is not in the list.
  void allow_only(const std::vector<std::string_view>& keys);

  [[nodiscard]] std::string text(std::string_view key, std::size_t max_bytes);
  [[nodiscard]] std::string text_or(std::string_view key, std::size_t max_bytes, std::string fallback);
  [[nodiscard]] std::int64_t integer(std::string_view key, std::int64_t lowest, std::int64_t highest);
  [[nodiscard]] std::int64_t integer_or(std::string_view key, std::int64_t lowest, std::int64_t highest,
                                        std::int64_t fallback);
  [[nodiscard]] std::uint64_t unsigned_integer(std::string_view key);
  [[nodiscard]] int count(std::string_view key);
  [[nodiscard]] bool flag(std::string_view key);
  [[nodiscard]] bool flag_or(std::string_view key, bool fallback);
  /// Returns the member, or an empty object or array if it is absent or has another type.
  [[nodiscard]] const json& object(std::string_view key);
  [[nodiscard]] const json& array(std::string_view key);

  [[nodiscard]] bool has(std::string_view key) const;
  void problem(std::string_view key, std::string_view found, std::string_view accepted);
  [[nodiscard]] bool ok() const noexcept { return problem_.empty(); }
  [[nodiscard]] absl::Status status() const;

 private:
  [[nodiscard]] const json* find(std::string_view key, std::string_view accepted);

  const json* object_;
  std::string path_;
  std::string problem_;
};

/// Describes a JSON value for an error message, for example `the text "x"` or `a list`.
[[nodiscard]] std::string describe(const json& value);

}  // namespace rhubarbpath::detail

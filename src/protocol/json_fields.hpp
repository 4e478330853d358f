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

inline constexpr std::int64_t max_whole = std::numeric_limits<std::int64_t>::max();

/// Parses a text that must be one JSON object. Rejects texts above `max_bytes`, repeated members and
/// nesting deeper than 8 levels with `kInvalidArgument`.
[[nodiscard]] absl::StatusOr<json> parse_json_object(std::string_view text, std::size_t max_bytes);

/// Writes compact JSON; bytes that are not UTF-8 become replacement characters.
[[nodiscard]] std::string dump_json(const json& value);

/// Reads typed members of a JSON object and keeps the first problem. Types are strict: "4", 4.0 and
/// true are not whole numbers.
class json_fields {
 public:
  json_fields(const json& object, std::string where);

  /// Makes any member outside the list a problem.
  void accept_only(const std::vector<std::string_view>& keys);

  [[nodiscard]] std::string text(std::string_view key, std::size_t max_bytes);
  [[nodiscard]] std::string text_or(std::string_view key, std::size_t max_bytes, std::string fallback);
  [[nodiscard]] std::int64_t whole(std::string_view key, std::int64_t lowest, std::int64_t highest);
  [[nodiscard]] std::int64_t whole_or(std::string_view key, std::int64_t lowest, std::int64_t highest,
                                      std::int64_t fallback);
  [[nodiscard]] std::uint64_t number(std::string_view key);
  [[nodiscard]] int count(std::string_view key);
  [[nodiscard]] bool flag(std::string_view key);
  [[nodiscard]] bool flag_or(std::string_view key, bool fallback);
  /// Returns the member, or an empty object or array after a problem.
  [[nodiscard]] const json& object(std::string_view key);
  [[nodiscard]] const json& array(std::string_view key);

  [[nodiscard]] bool has(std::string_view key) const;
  void problem(std::string_view key, std::string_view found, std::string_view accepted);
  [[nodiscard]] bool ok() const noexcept { return problem_.empty(); }
  [[nodiscard]] absl::Status status() const;

 private:
  [[nodiscard]] const json* find(std::string_view key, std::string_view accepted);

  const json* object_;
  std::string where_;
  std::string problem_;
};

/// Describes a JSON value in a message, for example `the text "x"` or `a list`.
[[nodiscard]] std::string describe(const json& value);

}  // namespace rhubarbpath::detail

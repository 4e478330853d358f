#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rhubarbpath/protocol/document_yaml.hpp"
#include "yaml_tree.hpp"

namespace rhubarbpath::detail {

/// Collects problems in any order and returns the first ones in line order.
class problem_list {
 public:
  void add(int line, std::string message);
  [[nodiscard]] std::vector<document_problem> take();

 private:
  std::vector<document_problem> problems_;
};

/// Inclusive bounds.
struct integer_range {
  int lowest;
  int highest;
};

/// Reads typed members of a YAML map. A malformed, unknown or repeated member is reported as a problem that
/// names the map, the member, the value found and the accepted values; the getter then returns its fallback.
class map_fields {
 public:
  /// `label` names the map in messages, for example `rack "r1"`.
  map_fields(const yaml_node& node, std::string label, std::vector<std::string_view> accepted_keys,
             problem_list& problems);

  [[nodiscard]] int line() const noexcept { return node_->line; }
  [[nodiscard]] int line_of(std::string_view key) const;
  [[nodiscard]] const std::string& label() const noexcept { return label_; }
  void set_label(std::string label) { label_ = std::move(label); }

  [[nodiscard]] bool has(std::string_view key) const { return find(key) != nullptr; }
  [[nodiscard]] const yaml_node* find(std::string_view key) const;

  [[nodiscard]] std::string id(std::string_view key);
  [[nodiscard]] std::optional<std::string> optional_id(std::string_view key);
  [[nodiscard]] std::optional<std::string> text(std::string_view key);
  [[nodiscard]] int integer(std::string_view key, int fallback, integer_range range);
  [[nodiscard]] int required_integer(std::string_view key, int fallback, integer_range range);
  [[nodiscard]] bool flag(std::string_view key, bool fallback);
  [[nodiscard]] std::optional<duration> time_span(std::string_view key, duration lowest, duration highest);
  [[nodiscard]] std::optional<duration> time_of_day(std::string_view key);
  /// Parses a percentage and returns it as a fraction from 0 to 1.
  [[nodiscard]] double percentage(std::string_view key, double fallback);
  [[nodiscard]] int memory_gib(std::string_view key, int fallback);
  /// Returns the items of a list, or an empty list if the member is absent. Absence is a problem only if
  /// `required` is set.
  [[nodiscard]] const std::vector<yaml_node>& list(std::string_view key, bool required);

  /// Reports a problem at the member's line, or at the map's line if the member is absent.
  void problem(std::string_view key, std::string_view found_and_accepted);

 private:
  void check_keys(const std::vector<std::string_view>& accepted);
  [[nodiscard]] const yaml_node* scalar(std::string_view key, std::string_view accepted);
  void require(std::string_view key, std::string_view accepted);

  const yaml_node* node_;
  std::string label_;
  problem_list* problems_;
};

/// True for 1 to 64 letters, digits, '.', '_' and '-', the first of which is a letter or digit.
[[nodiscard]] bool is_valid_id(std::string_view text) noexcept;
inline constexpr std::string_view accepted_id =
    "accepted: 1 to 64 letters, digits, '.', '_' or '-', beginning with a letter or digit";

/// Parses a non-negative decimal integer. Returns nullopt for signs, leading zeros and overflow.
[[nodiscard]] std::optional<int> parse_decimal(std::string_view text) noexcept;

}  // namespace rhubarbpath::detail

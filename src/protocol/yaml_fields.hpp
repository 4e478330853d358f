#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rhubarbpath/protocol/document_yaml.hpp"
#include "yaml_tree.hpp"

namespace rhubarbpath::detail {

/// Collects problems in any order and returns the first ones by line.
class problem_list {
 public:
  void add(int line, std::string message);
  [[nodiscard]] std::vector<document_problem> take();

 private:
  std::vector<document_problem> problems_;
};

struct whole_range {
  int lowest;
  int highest;
};

/// Reads the members of one YAML map. Each malformed, unknown or repeated member becomes a problem that
/// names the map, the member, what was found and what is accepted; the fallback is then returned.
class map_fields {
 public:
  /// `what` names the map in messages, for example `rack "r1"`.
  map_fields(const yaml_node& node, std::string what, std::vector<std::string_view> accepted_keys,
             problem_list& problems);

  [[nodiscard]] int line() const noexcept { return node_->line; }
  [[nodiscard]] int line_of(std::string_view key) const;
  [[nodiscard]] const std::string& what() const noexcept { return what_; }
  void set_what(std::string what) { what_ = std::move(what); }

  [[nodiscard]] bool has(std::string_view key) const { return find(key) != nullptr; }
  [[nodiscard]] const yaml_node* find(std::string_view key) const;

  [[nodiscard]] std::string id(std::string_view key);
  [[nodiscard]] std::optional<std::string> optional_id(std::string_view key);
  [[nodiscard]] std::optional<std::string> text(std::string_view key);
  [[nodiscard]] int whole(std::string_view key, int fallback, whole_range range);
  [[nodiscard]] int required_whole(std::string_view key, int fallback, whole_range range);
  [[nodiscard]] bool flag(std::string_view key, bool fallback);
  [[nodiscard]] std::optional<duration> time_span(std::string_view key, duration lowest, duration highest);
  [[nodiscard]] std::optional<duration> time_of_day(std::string_view key);
  [[nodiscard]] double share(std::string_view key, double fallback);
  [[nodiscard]] int memory_gib(std::string_view key, int fallback);
  /// The items of a list; empty when the member is absent, which is a problem only if `required`.
  [[nodiscard]] const std::vector<yaml_node>& list(std::string_view key, bool required);

  /// Adds a problem at the member's line, or at the map's line when the member is absent.
  void problem(std::string_view key, std::string_view found_and_accepted);

 private:
  void check_keys(const std::vector<std::string_view>& accepted);
  [[nodiscard]] const yaml_node* scalar(std::string_view key, std::string_view accepted);
  void require(std::string_view key, std::string_view accepted);

  const yaml_node* node_;
  std::string what_;
  problem_list* problems_;
};

/// Letters, digits, '.', '_' and '-', beginning with a letter or digit, at most 64 characters.
[[nodiscard]] bool is_valid_id(std::string_view text) noexcept;
inline constexpr std::string_view accepted_id =
    "accepted: 1 to 64 letters, digits, '.', '_' or '-', beginning with a letter or digit";

/// Parses decimal digits without sign or leading zeros.
[[nodiscard]] std::optional<int> parse_whole(std::string_view text) noexcept;

}  // namespace rhubarbpath::detail

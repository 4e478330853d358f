#include "yaml_fields.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <set>
#include <utility>

namespace rhubarbpath::detail {

namespace {

constexpr std::size_t max_problems = 100;
// Bounds the memory of the list. It exceeds max_problems because the list is sorted before it is truncated.
constexpr std::size_t max_kept_problems = 10'000;
constexpr std::size_t max_quoted_bytes = 60;
constexpr std::size_t max_text_bytes = 256;
constexpr int max_memory_gib = 1 << 20;

/// Quotes a value for a message. Long values are truncated at a UTF-8 character boundary.
std::string quoted(std::string_view text) {
  if (text.size() <= max_quoted_bytes) {
    return fmt::format("\"{}\"", text);
  }
  std::size_t cut = max_quoted_bytes;
  while (cut > 0 && (static_cast<unsigned char>(text[cut]) & 0xC0U) == 0x80U) {
    --cut;
  }
  return fmt::format("\"{}...\"", text.substr(0, cut));
}

std::string_view kind_name(yaml_kind kind) {
  switch (kind) {
    case yaml_kind::null:
      return "no value";
    case yaml_kind::scalar:
      return "a single value";
    case yaml_kind::sequence:
      return "a list";
    case yaml_kind::map:
      return "a map";
  }
  return "a value";
}

bool is_id_start(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0;
}

bool is_id_character(char c) {
  return is_id_start(c) || c == '.' || c == '_' || c == '-';
}

}  // namespace

void problem_list::add(int line, std::string message) {
  if (problems_.size() < max_kept_problems) {
    problems_.push_back({line, std::move(message)});
  }
}

std::vector<document_problem> problem_list::take() {
  std::stable_sort(problems_.begin(), problems_.end(),
                   [](const auto& left, const auto& right) { return left.line < right.line; });
  if (problems_.size() > max_problems) {
    const auto line = problems_[max_problems - 1].line;
    problems_.resize(max_problems - 1);
    problems_.push_back(
        {line, fmt::format("more problems follow; the first {} are listed", max_problems - 1)});
  }
  return std::exchange(problems_, {});
}

bool is_valid_id(std::string_view text) noexcept {
  return !text.empty() && text.size() <= 64 && is_id_start(text.front()) &&
         std::all_of(text.begin(), text.end(), is_id_character);
}

std::optional<int> parse_decimal(std::string_view text) noexcept {
  if (text.empty() || text.front() == '-' || (text.front() == '0' && text.size() > 1)) {
    return std::nullopt;
  }
  int number = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc{} || rest != end) {
    return std::nullopt;
  }
  return number;
}

map_fields::map_fields(const yaml_node& node, std::string label, std::vector<std::string_view> accepted_keys,
                       problem_list& problems)
    : node_{&node}, label_{std::move(label)}, problems_{&problems} {
  if (node.kind != yaml_kind::map) {
    problems_->add(node.line, fmt::format("{}: found {}; accepted: a map with the keys {}", label_,
                                          kind_name(node.kind), fmt::join(accepted_keys, ", ")));
    return;
  }
  check_keys(accepted_keys);
}

void map_fields::check_keys(const std::vector<std::string_view>& accepted) {
  std::set<std::string_view> seen;
  for (std::size_t i = 0; i + 1 < node_->items.size(); i += 2) {
    const auto& key = node_->items[i];
    const bool known = std::find(accepted.begin(), accepted.end(), key.text) != accepted.end();
    if (key.kind != yaml_kind::scalar || !known) {
      problems_->add(key.line, fmt::format("{}: unknown key {}; accepted: {}", label_, quoted(key.text),
                                           fmt::join(accepted, ", ")));
    } else if (!seen.insert(key.text).second) {
      problems_->add(key.line, fmt::format("{}: the key {} is given twice; keep one", label_, key.text));
    }
  }
}

const yaml_node* map_fields::find(std::string_view key) const {
  if (node_->kind != yaml_kind::map) {
    return nullptr;
  }
  for (std::size_t i = 0; i + 1 < node_->items.size(); i += 2) {
    if (node_->items[i].kind == yaml_kind::scalar && node_->items[i].text == key) {
      return &node_->items[i + 1];
    }
  }
  return nullptr;
}

int map_fields::line_of(std::string_view key) const {
  if (node_->kind == yaml_kind::map) {
    for (std::size_t i = 0; i + 1 < node_->items.size(); i += 2) {
      if (node_->items[i].text == key) {
        return node_->items[i].line;
      }
    }
  }
  return node_->line;
}

void map_fields::problem(std::string_view key, std::string_view found_and_accepted) {
  problems_->add(line_of(key), fmt::format("{}: {} {}", label_, key, found_and_accepted));
}

void map_fields::require(std::string_view key, std::string_view accepted) {
  // A node that is no map was reported as a whole.
  if (node_->kind == yaml_kind::map && !has(key)) {
    problem(key, fmt::format("is missing; {}", accepted));
  }
}

const yaml_node* map_fields::scalar(std::string_view key, std::string_view accepted) {
  const auto* value = find(key);
  if (value == nullptr) {
    return nullptr;
  }
  if (value->kind != yaml_kind::scalar) {
    problem(key, fmt::format("has {}; {}", kind_name(value->kind), accepted));
    return nullptr;
  }
  return value;
}

std::optional<std::string> map_fields::optional_id(std::string_view key) {
  const auto* value = scalar(key, accepted_id);
  if (value == nullptr) {
    return std::nullopt;
  }
  if (!is_valid_id(value->text)) {
    problem(key, fmt::format("is {}; {}", quoted(value->text), accepted_id));
    return std::nullopt;
  }
  return value->text;
}

std::string map_fields::id(std::string_view key) {
  require(key, accepted_id);
  return optional_id(key).value_or("");
}

std::optional<std::string> map_fields::text(std::string_view key) {
  const auto accepted = fmt::format("accepted: a text of 1 to {} bytes", max_text_bytes);
  const auto* value = scalar(key, accepted);
  if (value == nullptr) {
    return std::nullopt;
  }
  if (value->text.empty() || value->text.size() > max_text_bytes) {
    problem(key, fmt::format("has {} bytes; {}", value->text.size(), accepted));
    return std::nullopt;
  }
  return value->text;
}

int map_fields::integer(std::string_view key, int fallback, integer_range range) {
  const auto accepted = fmt::format("accepted: a whole number from {} to {}", range.lowest, range.highest);
  const auto* value = scalar(key, accepted);
  if (value == nullptr) {
    return fallback;
  }
  const auto number = parse_decimal(value->text);
  if (!number || *number < range.lowest || *number > range.highest) {
    problem(key, fmt::format("is {}; {}", quoted(value->text), accepted));
    return fallback;
  }
  return *number;
}

int map_fields::required_integer(std::string_view key, int fallback, integer_range range) {
  require(key, fmt::format("accepted: a whole number from {} to {}", range.lowest, range.highest));
  return integer(key, fallback, range);
}

bool map_fields::flag(std::string_view key, bool fallback) {
  const auto* value = scalar(key, "accepted: true or false");
  if (value == nullptr) {
    return fallback;
  }
  if (value->text != "true" && value->text != "false") {
    problem(key, fmt::format("is {}; accepted: true or false", quoted(value->text)));
    return fallback;
  }
  return value->text == "true";
}

std::optional<duration> map_fields::time_span(std::string_view key, duration lowest, duration highest) {
  const auto accepted =
      fmt::format("accepted: a whole number with a unit (us, ms, s, min, h, d) from {} to {}",
                  format_duration(lowest), format_duration(highest));
  const auto* value = scalar(key, accepted);
  if (value == nullptr) {
    return std::nullopt;
  }
  const auto span = parse_duration(value->text);
  if (!span || *span < lowest || *span > highest) {
    problem(key, fmt::format("is {}; {}", quoted(value->text), accepted));
    return std::nullopt;
  }
  return span;
}

std::optional<duration> map_fields::time_of_day(std::string_view key) {
  constexpr std::string_view accepted = "accepted: a time of day in UTC from \"00:00\" to \"23:59\"";
  const auto* value = scalar(key, accepted);
  if (value == nullptr) {
    return std::nullopt;
  }
  const std::string_view text = value->text;
  const auto digit = [&](std::size_t i) { return std::isdigit(static_cast<unsigned char>(text[i])) != 0; };
  if (text.size() == 5 && digit(0) && digit(1) && text[2] == ':' && digit(3) && digit(4)) {
    const int hours = (text[0] - '0') * 10 + (text[1] - '0');
    const int minutes = (text[3] - '0') * 10 + (text[4] - '0');
    if (hours < 24 && minutes < 60) {
      return std::chrono::hours{hours} + std::chrono::minutes{minutes};
    }
  }
  problem(key, fmt::format("is {}; {}", quoted(text), accepted));
  return std::nullopt;
}

double map_fields::percentage(std::string_view key, double fallback) {
  constexpr std::string_view accepted = "accepted: a percentage from 0% to 100%, for example 10%";
  const auto* value = scalar(key, accepted);
  if (value == nullptr) {
    return fallback;
  }
  const std::string_view text = value->text;
  double percent = -1;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, percent, std::chars_format::fixed);
  const bool has_unit = error == std::errc{} && rest + 1 == end && *rest == '%';
  // The negated comparison also rejects "nan", which from_chars accepts.
  if (!has_unit || !(percent >= 0 && percent <= 100)) {
    problem(key, fmt::format("is {}; {}", quoted(text), accepted));
    return fallback;
  }
  return percent / 100;
}

int map_fields::memory_gib(std::string_view key, int fallback) {
  constexpr std::string_view accepted =
      "accepted: a whole number with the unit GiB or TiB, for example 128GiB";
  const auto* value = scalar(key, accepted);
  if (value == nullptr) {
    return fallback;
  }
  const std::string_view text = value->text;
  const auto unit_at = text.size() < 3 ? std::string_view::npos : text.size() - 3;
  const auto number = parse_decimal(text.substr(0, unit_at));
  const auto unit = unit_at == std::string_view::npos ? std::string_view{} : text.substr(unit_at);
  const int factor = unit == "GiB" ? 1 : unit == "TiB" ? 1024 : 0;
  if (!number || factor == 0 || *number < 1 || *number > max_memory_gib / factor) {
    problem(key, fmt::format("is {}; {}", quoted(text), accepted));
    return fallback;
  }
  return *number * factor;
}

const std::vector<yaml_node>& map_fields::list(std::string_view key, bool required) {
  static const std::vector<yaml_node> no_items;
  if (required) {
    require(key, "accepted: a list");
  }
  const auto* value = find(key);
  if (value == nullptr) {
    return no_items;
  }
  if (value->kind != yaml_kind::sequence) {
    problem(key, fmt::format("has {}; accepted: a list", kind_name(value->kind)));
    return no_items;
  }
  return value->items;
}

}  // namespace rhubarbpath::detail

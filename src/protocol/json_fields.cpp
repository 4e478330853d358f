#include "json_fields.hpp"

#include <absl/container/flat_hash_set.h>
#include <absl/status/status.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <utility>

namespace rhubarbpath::detail {

namespace {

constexpr std::size_t max_depth = 8;
constexpr std::size_t max_quoted_bytes = 40;

/// Parser callback that rejects input that the library accepts but this API does not: repeated members
/// and deep nesting.
class strict_json_filter {
 public:
  bool operator()(json::parse_event_t event, const json& parsed) {
    // The parser reports no end event for a discarded container, so the stack of open containers is
    // unreliable after the first problem. Discarding the rest also bounds the memory a hostile body takes.
    if (!problem_.empty()) {
      return false;
    }
    switch (event) {
      case json::parse_event_t::object_start:
      case json::parse_event_t::array_start:
        open_containers_.emplace_back();
        if (open_containers_.size() > max_depth) {
          set_problem(fmt::format("the body is nested deeper than {} levels", max_depth));
        }
        break;
      case json::parse_event_t::object_end:
      case json::parse_event_t::array_end:
        open_containers_.pop_back();
        break;
      case json::parse_event_t::key:
        if (!open_containers_.back().insert(parsed.get<std::string>()).second) {
          set_problem(fmt::format("the member \"{}\" is given twice; accepted: each member once",
                                  parsed.get<std::string>()));
        }
        break;
      case json::parse_event_t::value:
        break;
    }
    return problem_.empty();
  }

  [[nodiscard]] const std::string& problem() const noexcept { return problem_; }

 private:
  void set_problem(std::string problem) {
    if (problem_.empty()) {
      problem_ = std::move(problem);
    }
  }

  std::vector<absl::flat_hash_set<std::string>> open_containers_;
  std::string problem_;
};

}  // namespace

std::string describe(const json& value) {
  switch (value.type()) {
    case json::value_t::string: {
      const auto& text = value.get_ref<const std::string&>();
      // A long text is not quoted: truncating it could split a UTF-8 sequence.
      return text.size() <= max_quoted_bytes ? fmt::format("the text \"{}\"", text) : "a long text";
    }
    case json::value_t::object:
      return "an object";
    case json::value_t::array:
      return "a list";
    case json::value_t::null:
      return "null";
    case json::value_t::boolean:
      return value.get<bool>() ? "true" : "false";
    default:
      return fmt::format("the number {}", value.dump());
  }
}

absl::StatusOr<json> parse_json_object(std::string_view text, std::size_t max_bytes) {
  if (text.size() > max_bytes) {
    return absl::InvalidArgumentError(
        fmt::format("the body has {} bytes; accepted: at most {}", text.size(), max_bytes));
  }
  strict_json_filter filter;
  const auto check = [&filter](int /*depth*/, json::parse_event_t event, json& parsed) {
    return filter(event, parsed);
  };
  auto value = json::parse(text.begin(), text.end(), check, false);
  if (!filter.problem().empty()) {
    return absl::InvalidArgumentError(filter.problem());
  }
  if (!value.is_object()) {
    return absl::InvalidArgumentError("the body is not a JSON object; accepted: one object in UTF-8");
  }
  return value;
}

std::string dump_json(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json_fields::json_fields(const json& object, std::string path) : object_{&object}, path_{std::move(path)} {
  if (!object.is_object()) {
    problem_ = fmt::format("{}: found {}; accepted: an object", path_, describe(object));
  }
}

void json_fields::allow_only(const std::vector<std::string_view>& keys) {
  if (!object_->is_object()) {
    return;
  }
  for (const auto& [key, value] : object_->items()) {
    if (std::find(keys.begin(), keys.end(), key) == keys.end()) {
      problem(key, "is not known", fmt::format("the members {}", fmt::join(keys, ", ")));
    }
  }
}

bool json_fields::has(std::string_view key) const {
  return object_->is_object() && object_->find(key) != object_->end();
}

void json_fields::problem(std::string_view key, std::string_view found, std::string_view accepted) {
  if (problem_.empty()) {
    const auto prefix = path_.empty() ? std::string{} : path_ + ".";
    problem_ = fmt::format("{}{} {}; accepted: {}", prefix, key, found, accepted);
  }
}

absl::Status json_fields::status() const {
  return problem_.empty() ? absl::OkStatus() : absl::InvalidArgumentError(problem_);
}

const json* json_fields::find(std::string_view key, std::string_view accepted) {
  if (!object_->is_object()) {
    return nullptr;
  }
  const auto found = object_->find(key);
  if (found == object_->end()) {
    problem(key, "is missing", accepted);
    return nullptr;
  }
  return &*found;
}

std::string json_fields::text(std::string_view key, std::size_t max_bytes) {
  const auto accepted = fmt::format("a text of 1 to {} bytes", max_bytes);
  const auto* value = find(key, accepted);
  if (value == nullptr) {
    return {};
  }
  if (!value->is_string()) {
    problem(key, fmt::format("is {}", describe(*value)), accepted);
    return {};
  }
  const auto& text = value->get_ref<const std::string&>();
  if (text.empty() || text.size() > max_bytes) {
    problem(key, fmt::format("has {} bytes", text.size()), accepted);
    return {};
  }
  return text;
}

std::string json_fields::text_or(std::string_view key, std::size_t max_bytes, std::string fallback) {
  const auto accepted = fmt::format("a text of at most {} bytes", max_bytes);
  if (!has(key)) {
    return fallback;
  }
  const auto* value = find(key, accepted);
  if (!value->is_string() || value->get_ref<const std::string&>().size() > max_bytes) {
    problem(key, fmt::format("is {}", describe(*value)), accepted);
    return fallback;
  }
  return value->get<std::string>();
}

std::int64_t json_fields::integer(std::string_view key, std::int64_t lowest, std::int64_t highest) {
  const auto accepted = highest == max_integer ? fmt::format("a whole number of at least {}", lowest)
                                               : fmt::format("a whole number from {} to {}", lowest, highest);
  const auto* value = find(key, accepted);
  if (value == nullptr) {
    return lowest;
  }
  const bool fits =
      value->is_number_integer() && (!value->is_number_unsigned() ||
                                     value->get<std::uint64_t>() <= static_cast<std::uint64_t>(max_integer));
  if (!fits || value->get<std::int64_t>() < lowest || value->get<std::int64_t>() > highest) {
    problem(key, fmt::format("is {}", describe(*value)), accepted);
    return lowest;
  }
  return value->get<std::int64_t>();
}

std::int64_t json_fields::integer_or(std::string_view key, std::int64_t lowest, std::int64_t highest,
                                     std::int64_t fallback) {
  return has(key) ? integer(key, lowest, highest) : fallback;
}

std::uint64_t json_fields::unsigned_integer(std::string_view key) {
  return static_cast<std::uint64_t>(integer(key, 0, max_integer));
}

int json_fields::count(std::string_view key) {
  return static_cast<int>(integer(key, 0, std::numeric_limits<int>::max()));
}

bool json_fields::flag(std::string_view key) {
  const auto* value = find(key, "true or false");
  if (value == nullptr) {
    return false;
  }
  if (!value->is_boolean()) {
    problem(key, fmt::format("is {}", describe(*value)), "true or false");
    return false;
  }
  return value->get<bool>();
}

bool json_fields::flag_or(std::string_view key, bool fallback) {
  return has(key) ? flag(key) : fallback;
}

const json& json_fields::object(std::string_view key) {
  static const json empty_value = json::object();
  const auto* value = find(key, "an object");
  if (value != nullptr && !value->is_object()) {
    problem(key, fmt::format("is {}", describe(*value)), "an object");
    return empty_value;
  }
  return value != nullptr ? *value : empty_value;
}

const json& json_fields::array(std::string_view key) {
  static const json empty_value = json::array();
  const auto* value = find(key, "a list");
  if (value != nullptr && !value->is_array()) {
    problem(key, fmt::format("is {}", describe(*value)), "a list");
    return empty_value;
  }
  return value != nullptr ? *value : empty_value;
}

}  // namespace rhubarbpath::detail

#include <fmt/format.h>

#include <array>
#include <charconv>
#include <cstdint>

#include "rhubarbpath/protocol/document_yaml.hpp"

namespace rhubarbpath {

namespace {

struct time_unit {
  std::string_view name;
  std::int64_t microseconds;
};

// In descending order, so that format_duration finds the largest exact unit.
constexpr std::array<time_unit, 6> time_units{{{"d", 86'400'000'000},
                                               {"h", 3'600'000'000},
                                               {"min", 60'000'000},
                                               {"s", 1'000'000},
                                               {"ms", 1'000},
                                               {"us", 1}}};
constexpr std::int64_t max_microseconds = 366 * time_units[0].microseconds;

}  // namespace

std::optional<duration> parse_duration(std::string_view text) {
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc{} || number < 0) {
    return std::nullopt;
  }
  const std::string_view name{rest, static_cast<std::size_t>(end - rest)};
  for (const auto& unit : time_units) {
    if (unit.name == name && number <= max_microseconds / unit.microseconds) {
      return duration{number * unit.microseconds};
    }
  }
  return std::nullopt;
}

std::string format_duration(duration value) {
  for (const auto& unit : time_units) {
    if (value.count() != 0 && value.count() % unit.microseconds == 0) {
      return fmt::format("{}{}", value.count() / unit.microseconds, unit.name);
    }
  }
  return "0s";
}

}  // namespace rhubarbpath

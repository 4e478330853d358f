#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace rhubarbpath {

enum class log_level { debug, info, warning, error };

/// Name and value of one field of a log line.
using log_value = std::variant<std::string, std::int64_t, double, bool>;
struct log_field {
  std::string_view name;
  log_value value;
};

/// Sets what every line of this process carries, and the lowest level that is written.
void configure_log(std::string program, std::string vm, log_level lowest);

/// Sends the lines to standard output through a bounded buffer instead of to standard error. A reader
/// that does not keep up never blocks the process: lines are dropped, and a line says how many.
void log_to_standard_output();

/// What this process has logged so far.
struct log_totals {
  std::uint64_t lines{0};
  std::uint64_t bytes{0};
  std::uint64_t dropped_lines{0};
};
[[nodiscard]] log_totals logged();

/// Reads a level's name: debug, info, warning or error.
[[nodiscard]] std::optional<log_level> parse_log_level(std::string_view name);

/// Writes one JSON line: time, level, program, vm, message and the fields.
void log(log_level level, std::string_view message, std::span<const log_field> fields);
inline void log(log_level level, std::string_view message, std::initializer_list<log_field> fields = {}) {
  log(level, message, std::span<const log_field>{fields.begin(), fields.size()});
}

}  // namespace rhubarbpath

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

/// Value of a log field.
using log_value = std::variant<std::string, std::int64_t, double, bool>;
/// Name and value of one field of a log line.
struct log_field {
  std::string_view name;
  log_value value;
};

/// Sets the program and VM names that are included in every line, and the minimum level that is written.
void configure_log(std::string program, std::string vm, log_level min_level);

/// Writes lines to standard output through a bounded buffer instead of to standard error. A slow reader
/// never blocks the process: excess lines are dropped, and a "log_lines_dropped" line reports their count.
void log_to_standard_output();

/// Lines and bytes logged by this process, and lines dropped because the output buffer was full.
struct log_totals {
  std::uint64_t lines{0};
  std::uint64_t bytes{0};
  std::uint64_t dropped_lines{0};
};
[[nodiscard]] log_totals logged();

/// Parses a level name: debug, info, warning or error. Returns no value for any other name.
[[nodiscard]] std::optional<log_level> parse_log_level(std::string_view name);

/// Writes one JSON line with time, level, program, vm, message and the given fields.
void log(log_level level, std::string_view message, std::span<const log_field> fields);
inline void log(log_level level, std::string_view message, std::initializer_list<log_field> fields = {}) {
  log(level, message, std::span<const log_field>{fields.begin(), fields.size()});
}

}  // namespace rhubarbpath

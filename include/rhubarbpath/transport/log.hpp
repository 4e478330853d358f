#pragma once

#include <cstdint>
#include <initializer_list>
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

/// Writes one JSON line to standard error: time, level, program, vm, message and the fields.
void log(log_level level, std::string_view message, std::initializer_list<log_field> fields = {});

}  // namespace rhubarbpath

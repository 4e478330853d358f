#pragma once

#include <span>
#include <string_view>

namespace rhubarbpath {

/// One event type in the log of `rhubarb-edge`. Names and fields are stable and listed in
/// docs/OPERATIONS.md.
struct log_event {
  std::string_view name;     ///< Value of the field `message`.
  std::string_view meaning;  ///< When the line is written.
  std::string_view fields;   ///< Fields other than time, level, program, vm and message; separated by ", ".
};

/// Returns all event types in the order of docs/OPERATIONS.md.
[[nodiscard]] std::span<const log_event> log_events();

}  // namespace rhubarbpath

#pragma once

#include <span>
#include <string_view>

namespace rhubarbpath {

/// One kind of line in the log of `rhubarb-edge`. Names and fields are stable; docs/OPERATIONS.md lists them.
struct log_event {
  std::string_view name;     ///< Value of the field `message`.
  std::string_view meaning;  ///< When the line is written.
  std::string_view fields;   ///< Fields beside time, level, program, vm and message; separated by ", ".
};

/// All kinds, in the order of the operators' page.
[[nodiscard]] std::span<const log_event> log_events();

}  // namespace rhubarbpath

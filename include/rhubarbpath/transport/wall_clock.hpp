#pragma once

#include <chrono>

namespace rhubarbpath {

/// Time since the Unix epoch (1970). The wall clock may jump, so compare it only with absolute times that
/// callers provide.
[[nodiscard]] inline std::chrono::milliseconds wall_clock() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

}  // namespace rhubarbpath

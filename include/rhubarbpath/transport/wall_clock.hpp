#pragma once

#include <chrono>

namespace rhubarbpath {

/// Time of day since 1970. It may jump, so only what callers state as a time of day is compared with it.
[[nodiscard]] inline std::chrono::milliseconds wall_clock() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

}  // namespace rhubarbpath

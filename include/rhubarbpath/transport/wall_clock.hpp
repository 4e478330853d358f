#pragma once

#include <chrono>
#include <ctime>

#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath {

/// Time since the Unix epoch (1970). The wall clock may jump, so compare it only with absolute times that
/// callers provide.
[[nodiscard]] inline std::chrono::milliseconds wall_clock() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

/// Time since boot, which includes the time during which the VM was suspended. The clock of `event_loop` does
/// not, so permissions and knowledge that expire are measured with this one.
[[nodiscard]] inline instant boot_clock_now() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return instant{std::chrono::duration_cast<duration>(std::chrono::seconds{time.tv_sec} +
                                                      std::chrono::nanoseconds{time.tv_nsec})};
}

}  // namespace rhubarbpath

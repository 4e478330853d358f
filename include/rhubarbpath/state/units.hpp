#pragma once

#include <chrono>
#include <cstdint>

namespace rhubarbpath {

/// Unit of all time intervals in the library: microseconds.
using duration = std::chrono::microseconds;

/// Clock type of the components that do no I/O. It has no `now()`; callers pass in the current time.
struct logical_clock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<logical_clock>;
  static constexpr bool is_steady = true;
};

/// A point in time, in microseconds. Daemons pass in monotonic time since the Unix epoch.
using instant = logical_clock::time_point;

}  // namespace rhubarbpath

#pragma once

#include <chrono>
#include <cstdint>

namespace rhubarbpath {

/// All intervals in the library, in microseconds.
using duration = std::chrono::microseconds;

/// The clock of the pure parts. It has no `now()`: callers pass the time in.
struct logical_clock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<logical_clock>;
  static constexpr bool is_steady = true;
};

/// A point in time, in microseconds; daemons feed monotonic time since the Unix epoch.
using instant = logical_clock::time_point;

}  // namespace rhubarbpath

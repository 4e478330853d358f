#pragma once

#include <algorithm>

#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath {

/// A time limit that doubles with each time-out, for answers whose size is not known: a configuration of
/// 1,600 queues takes 0.4 s on a link of 10 Mbit/s, and longer beside other answers. A fixed limit below
/// the transfer time would repeat the transfer for ever.
class growing_timeout {
 public:
  struct options {
    duration first{std::chrono::milliseconds{700}};
    /// A read that hangs on a lost path delays the next one by this much; a configuration must be in
    /// force 2 s after its acknowledgement.
    duration longest{std::chrono::milliseconds{2100}};
  };

  explicit growing_timeout(options opts) : opts_{opts}, current_{opts.first} {}

  [[nodiscard]] duration current() const noexcept { return current_; }
  void timed_out() noexcept { current_ = std::min(current_ * 2, opts_.longest); }
  void answered() noexcept { current_ = opts_.first; }

 private:
  options opts_;
  duration current_;
};

}  // namespace rhubarbpath

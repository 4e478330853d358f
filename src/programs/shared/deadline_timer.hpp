#pragma once

#include <algorithm>
#include <functional>
#include <optional>
#include <utility>

#include "rhubarbpath/transport/event_loop.hpp"

namespace rhubarbpath {

/// Calls back when a pure part's next deadline has passed.
class deadline_timer {
 public:
  deadline_timer(event_loop& loop, std::function<void()> due) : loop_{loop}, due_{std::move(due)} {}

  /// Replaces the deadline; nothing stops the timer.
  void set(std::optional<instant> deadline) {
    if (deadline == deadline_) {
      return;
    }
    deadline_ = deadline;
    timer_.cancel();
    if (!deadline) {
      return;
    }
    // One millisecond bounds the rate of ticks of a part that keeps naming the present as its deadline.
    constexpr duration shortest = std::chrono::milliseconds{1};
    timer_ = loop_.run_after(std::max(*deadline - loop_.now(), shortest), [this] {
      deadline_.reset();
      due_();
    });
  }

 private:
  event_loop& loop_;
  std::function<void()> due_;
  std::optional<instant> deadline_;
  timer_handle timer_;
};

}  // namespace rhubarbpath

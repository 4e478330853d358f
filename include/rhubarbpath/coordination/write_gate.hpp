#pragma once

#include <optional>

#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath {

/// Decides whether a new write may be sent to a store that may be out of reach.
///
/// A write without an answer may have been done, so its caller must be told so and cannot safely try again. A
/// write that was never sent can be refused, and the caller comes back. Answers the load of an outage: each
/// caller that arrives during it would otherwise wait for its deadline and then not know.
class write_gate {
 public:
  enum class advice {
    send,
    wait,    ///< The store has just failed to answer; it may be a single lost answer.
    refuse,  ///< The store has not answered for longer than that.
  };

  /// Any call to the store was answered.
  void answered() noexcept { failing_since_.reset(); }
  /// A call to the store was refused or not answered.
  void failed(instant now) noexcept { failing_since_ = failing_since_.value_or(now); }

  [[nodiscard]] advice new_write(instant now) const noexcept {
    if (!failing_since_) {
      return advice::send;
    }
    return now - *failing_since_ < max_wait ? advice::wait : advice::refuse;
  }

 private:
  /// Calls that are made all the time are repeated every 0.2 s, so a lost answer is followed by another.
  static constexpr duration max_wait{std::chrono::milliseconds{300}};

  std::optional<instant> failing_since_;  ///< First failure since the last answer.
};

}  // namespace rhubarbpath

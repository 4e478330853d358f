#pragma once

#include <map>

#include "rhubarbpath/state/ids.hpp"
#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath {

/// Bounds the calls to the store that a VM makes for its callers, so that those of the owner and of other VMs
/// stay within the rate that the store takes from all VMs together. Additive increase, multiplicative
/// decrease: the VMs do not know how many others have callers. Reads no clock.
class caller_rate_limit {
 public:
  /// `max_rate` and `rate` are calls in a second.
  explicit caller_rate_limit(double max_rate);

  /// Takes one call of a team, within its share of this second as `leaves_as_much_for_others` has it. Returns
  /// false if the call must not be made.
  [[nodiscard]] bool take(const team_id& team, instant now);
  /// The store refused a call because of its rate. Returns true if that lowers the rate for callers.
  bool exceeded(instant now);

  [[nodiscard]] double rate() const noexcept { return rate_; }

 private:
  void advance(instant now);

  double max_rate_;
  double min_rate_;
  double rate_;
  instant changed_at_{};
  instant lowered_at_{};
  instant second_began_at_{};
  double taken_{0};  ///< In this second, by all teams.
  std::map<team_id, double> taken_by_team_;
};

}  // namespace rhubarbpath

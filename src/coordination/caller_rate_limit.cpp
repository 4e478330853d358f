#include "rhubarbpath/coordination/caller_rate_limit.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "rhubarbpath/coordination/fair_share.hpp"

namespace rhubarbpath {

namespace {

constexpr duration period{std::chrono::seconds{1}};
/// From the lowest rate to the highest.
constexpr duration recovery_time{std::chrono::seconds{10}};
/// Calls that were on the way when the rate was lowered are refused too.
constexpr duration decrease_interval{std::chrono::milliseconds{250}};
constexpr double lowest_share = 0.02;
/// With fewer calls in a second the share of the second team is none.
constexpr double lowest_rate = 4.0;

}  // namespace

caller_rate_limit::caller_rate_limit(double max_rate)
    : max_rate_{std::max(max_rate, lowest_rate)},
      min_rate_{std::max(max_rate_ * lowest_share, lowest_rate)},
      rate_{max_rate_} {}

void caller_rate_limit::advance(instant now) {
  const auto passed = std::chrono::duration<double>{now - std::exchange(changed_at_, now)};
  const auto recovered = max_rate_ * (passed / std::chrono::duration<double>{recovery_time});
  rate_ = std::min(max_rate_, rate_ + recovered);
  if (now - second_began_at_ >= period) {
    second_began_at_ = now;
    taken_ = 0;
    taken_by_team_.clear();
  }
}

bool caller_rate_limit::take(const team_id& team, instant now) {
  advance(now);
  auto& own = taken_by_team_[team];
  if (!leaves_as_much_for_others(own, 1.0, rate_ - taken_)) {
    return false;
  }
  ++own;
  ++taken_;
  return true;
}

bool caller_rate_limit::exceeded(instant now) {
  advance(now);
  if (now - lowered_at_ < decrease_interval) {
    return false;
  }
  lowered_at_ = now;
  rate_ = std::max(min_rate_, rate_ / 2);
  return true;
}

}  // namespace rhubarbpath

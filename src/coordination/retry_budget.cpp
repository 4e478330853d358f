#include "rhubarbpath/coordination/retry_budget.hpp"

#include <algorithm>

namespace rhubarbpath {

retry_budget::retry_budget(options opts) : options_{opts}, credits_{opts.share > 0.0 ? opts.burst : 0.0} {}

void retry_budget::set_share(double share) {
  const bool was_off = options_.share <= 0.0;
  options_.share = share;
  if (share <= 0.0) {
    credits_ = 0.0;
  } else if (was_off) {
    credits_ = options_.burst;
  }
}

void retry_budget::count_first_send() {
  credits_ = std::min(options_.burst, credits_ + options_.share);
}

bool retry_budget::try_spend() {
  if (credits_ < 1.0) {
    return false;
  }
  credits_ -= 1.0;
  return true;
}

}  // namespace rhubarbpath

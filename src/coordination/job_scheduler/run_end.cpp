#include "run_end.hpp"

#include "absl/strings/str_cat.h"

namespace rhubarbpath::detail {

namespace {

std::string_view outcome_name(run_outcome outcome) {
  switch (outcome) {
    case run_outcome::done:
      return "done";
    case run_outcome::failed:
      return "failed";
    case run_outcome::stopped:
      return "stopped";
    case run_outcome::lease_expired:
      return "lease_expired";
    case run_outcome::gang_broken:
      return "gang_broken";
    case run_outcome::gang_incomplete:
      return "gang_incomplete";
  }
  return "failed";
}

struct description {
  std::string operator()(const end_listed& end) const { return std::string{outcome_name(end.outcome)}; }
  std::string operator()(const lease_passed& end) const {
    return absl::StrCat("the lease until ", end.lease_until.count(),
                        " ms has passed; the worker's clock shows ", end.clock.count(), " ms or more");
  }
  std::string operator()(const incarnation_over& end) const {
    return absl::StrCat("the worker was started again at ", end.successor.value());
  }
  std::string operator()(const address_taken_over& end) const {
    return absl::StrCat("another instance responds at ", end.address);
  }
  std::string operator()(const never_started& /*end*/) const { return "no start was carried out"; }
  std::string operator()(const stopped_before_start& /*end*/) const {
    return "stopped, and not listed by its worker";
  }
};

}  // namespace

std::string describe(const run_end& end) {
  return std::visit(description{}, end);
}

}  // namespace rhubarbpath::detail

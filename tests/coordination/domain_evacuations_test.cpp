#include "rhubarbpath/coordination/domain_evacuations.hpp"

#include <catch2/catch.hpp>

namespace rhubarbpath {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const failure_domain_id domain_a{"a"};
const failure_domain_id domain_b{"b"};
constexpr instant begin{seconds{1000}};
constexpr duration limit{seconds{5}};
constexpr duration order_timeout{milliseconds{400}};

TEST_CASE("evacuations_that_were_never_read_allow_no_start") {
  // Guards against starts of a new owner that does not know of a request made before its term.
  domain_evacuations evacuations{limit, order_timeout};
  CHECK_FALSE(evacuations.may_start(begin));
  evacuations.confirm(begin);
  CHECK_FALSE(evacuations.may_start(begin));
  evacuations.read_all({}, begin);
  CHECK(evacuations.may_start(begin));
}

TEST_CASE("evacuations_known_for_too_long_allow_no_start_until_they_are_confirmed") {
  // Guards against an order that arrives later than the limit after a request that its sender missed.
  domain_evacuations evacuations{limit, order_timeout};
  evacuations.read_all({}, begin);
  CHECK(evacuations.may_start(begin + limit - order_timeout));
  CHECK_FALSE(evacuations.may_start(begin + limit - order_timeout + milliseconds{1}));
  evacuations.confirm(begin + limit);
  CHECK(evacuations.may_start(begin + limit));
}

TEST_CASE("evacuations_confirmed_out_of_order_keep_the_latest_time") {
  domain_evacuations evacuations{limit, order_timeout};
  evacuations.read_all({}, begin + seconds{2});
  evacuations.confirm(begin);
  CHECK(evacuations.may_start(begin + seconds{2} + evacuations.max_age()));
}

TEST_CASE("evacuations_with_a_limit_below_the_time_of_an_order_can_still_start") {
  const domain_evacuations evacuations{milliseconds{300}, order_timeout};
  CHECK(evacuations.max_age() == milliseconds{150});
  CHECK(evacuations.watch_wait() > duration::zero());
}

TEST_CASE("evacuation_requested_twice_or_taken_back_twice_changes_nothing_the_second_time") {
  domain_evacuations evacuations{limit, order_timeout};
  evacuations.read_all({domain_a}, begin);
  CHECK_FALSE(evacuations.apply({.domain = domain_a, .evacuated = true}));
  CHECK(evacuations.apply({.domain = domain_b, .evacuated = true}));
  CHECK(evacuations.apply({.domain = domain_a, .evacuated = false}));
  CHECK_FALSE(evacuations.apply({.domain = domain_a, .evacuated = false}));
  CHECK(evacuations.domains() == std::set{domain_b});
}

TEST_CASE("changed_domains_names_those_in_one_set_only") {
  CHECK(changed_domains({domain_a}, {domain_b}) ==
        std::vector<domain_evacuations::change>{{.domain = domain_b, .evacuated = true},
                                                {.domain = domain_a, .evacuated = false}});
  CHECK(changed_domains({domain_a}, {domain_a}).empty());
}

}  // namespace
}  // namespace rhubarbpath

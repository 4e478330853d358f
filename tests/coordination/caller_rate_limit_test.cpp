#include "rhubarbpath/coordination/caller_rate_limit.hpp"

#include <catch2/catch.hpp>
#include <chrono>

namespace rhubarbpath {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const team_id first{"first"};
const team_id second{"second"};
const instant start{seconds{100}};

class rate_fixture {
 public:
  /// Takes calls until one is refused. Returns how many were taken.
  int take_all(const team_id& team, instant now) {
    int taken = 0;
    while (limit.take(team, now)) {
      ++taken;
    }
    return taken;
  }

  caller_rate_limit limit{100};
};

TEST_CASE_METHOD(rate_fixture, "caller_rate_limit_team_that_takes_all_leaves_half_for_others") {
  // Guards against one team's callers that use up what the callers of all teams share.
  CHECK(take_all(first, start) == 50);
  CHECK(take_all(second, start) == 25);
}

TEST_CASE_METHOD(rate_fixture, "caller_rate_limit_next_second_begins_anew") {
  // Guards against teams that stay refused after a burst.
  CHECK(take_all(first, start) == 50);
  CHECK(take_all(first, start + milliseconds{999}) == 0);
  CHECK(take_all(first, start + seconds{1}) == 50);
}

TEST_CASE_METHOD(rate_fixture, "caller_rate_limit_refusals_of_the_store_lower_the_rate_until_it_recovers") {
  // Guards against VMs that together keep the store at its rate, so that it refuses the owner's calls.
  limit.exceeded(start);
  CHECK(limit.rate() == Approx(50));
  // Calls that were sent before tell nothing new.
  limit.exceeded(start + milliseconds{100});
  CHECK(limit.rate() == Approx(51));
  static_cast<void>(limit.take(first, start + seconds{5}));
  CHECK(limit.rate() == Approx(100));
}

TEST_CASE_METHOD(rate_fixture, "caller_rate_limit_lowest_rate_serves_two_teams") {
  // Guards against a rate so low that nobody is served while the store refuses all calls of this VM.
  for (int i = 0; i < 100; ++i) {
    limit.exceeded(start + i * milliseconds{250});
  }
  const auto later = start + milliseconds{25'000};
  CHECK(limit.rate() < 10);
  CHECK(take_all(first, later) > 0);
  CHECK(take_all(second, later) > 0);
}

}  // namespace
}  // namespace rhubarbpath

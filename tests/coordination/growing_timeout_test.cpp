#include "rhubarbpath/coordination/growing_timeout.hpp"

#include <catch2/catch.hpp>

namespace rhubarbpath {
namespace {

using std::chrono::milliseconds;

TEST_CASE("growing_timeout_slow_transfer_succeeds_after_a_few_attempts") {
  // With a fixed timeout of 700 ms, a response that takes 2 s on a slow link never arrives.
  growing_timeout limit{{}};
  constexpr milliseconds transfer_time{2000};
  int attempts = 1;
  while (limit.current() < transfer_time) {
    limit.timed_out();
    ++attempts;
    REQUIRE(attempts < 10);
  }
  CHECK(attempts == 3);
  limit.answered();
  CHECK(limit.current() == milliseconds{700});
  for (int round = 0; round < 20; ++round) {
    limit.timed_out();
  }
  CHECK(limit.current() == milliseconds{2100});
}

}  // namespace
}  // namespace rhubarbpath

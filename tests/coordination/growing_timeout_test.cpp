#include "rhubarbpath/coordination/growing_timeout.hpp"

#include <catch2/catch.hpp>

namespace rhubarbpath {
namespace {

using std::chrono::milliseconds;

TEST_CASE("growing_timeout_slow_transfer_is_received_after_a_few_tries") {
  // A fixed limit of 700 ms would never receive an answer that takes 2 s on a slow link.
  growing_timeout limit{{}};
  constexpr milliseconds transfer{2000};
  int tries = 1;
  while (limit.current() < transfer) {
    limit.timed_out();
    ++tries;
    REQUIRE(tries < 10);
  }
  CHECK(tries == 3);
  limit.answered();
  CHECK(limit.current() == milliseconds{700});
  for (int round = 0; round < 20; ++round) {
    limit.timed_out();
  }
  CHECK(limit.current() == milliseconds{2100});
}

}  // namespace
}  // namespace rhubarbpath

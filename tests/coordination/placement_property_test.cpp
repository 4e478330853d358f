#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "placement_machine.hpp"

namespace rhubarbpath::testing {

// Checks random event sequences for violated guarantees, partial gangs, accelerators used twice, jobs that
// are lost, placed twice or wrongly refused, and jobs that wait forever.
TEST_CASE("placement_any_event_order_keeps_all_invariants") {
#ifdef __SANITIZE_ADDRESS__
  constexpr int cases =
      100;  // The first cases of the same sequence: sanitized code and its oracle are far slower.
#else
  constexpr int cases = 3000;
#endif
  constexpr int longest = 400;
  rc::detail::TestParams params;
  params.seed = 20261204;
  params.maxSuccess = cases;
  params.maxSize = longest;
  const auto result = rc::detail::checkTestable(
      [] {
        const auto bytes =
            *rc::gen::container<std::vector<std::uint8_t>>(rc::gen::inRange<std::uint8_t>(0, 255));
        placement_machine{bytes}.run();
      },
      rc::detail::TestMetadata{}, params);
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  INFO(text.str());
  CHECK(result.is<rc::detail::SuccessResult>());
}

// Guards against a takeover that places a waiting job on the accelerators of an attempt whose record is
// restored later.
TEST_CASE("placement_takeover_shares_no_accelerator_between_restored_records") {
  const std::vector<std::uint8_t> bytes{0, 0, 1, 88,  219, 0, 0, 0, 0, 0, 0,  0, 0, 92, 0,
                                        0, 0, 0, 0,   0,   0, 0, 0, 0, 0, 1,  0, 0, 0,  0,
                                        0, 0, 0, 253, 78,  0, 0, 0, 0, 0, 12, 0, 0, 0,  15};
  CHECK_NOTHROW(placement_machine{bytes}.run());
}

}  // namespace rhubarbpath::testing

#include "rhubarbpath/state/verdict.hpp"

#include <catch2/catch.hpp>

namespace rhubarbpath {

// Guards against a verdict that is encoded and decoded as another one.
TEST_CASE("verdict_to_text_and_back_is_unchanged") {
  for (const auto value : {verdict::ran, verdict::not_run, verdict::may_have_run}) {
    CHECK(verdict_from_string(to_string(value)) == value);
  }
  CHECK_FALSE(verdict_from_string("maybe").has_value());
}

}  // namespace rhubarbpath

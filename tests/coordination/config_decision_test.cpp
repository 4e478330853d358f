#include "rhubarbpath/coordination/config_decision.hpp"

#include <catch2/catch.hpp>
#include <chrono>

namespace rhubarbpath {
namespace {

using std::chrono::milliseconds;
using standing = version_tracker::standing;

TEST_CASE("confirmed_version_decides_at_once") {
  CHECK(decide(standing::confirmed, false, {.allowed = true}) == config_decision::proceed);
  CHECK(decide(standing::confirmed, false, {.allowed = false}) == config_decision::refuse);
}

TEST_CASE("version_known_to_be_replaced_refuses_no_queue_that_the_newer_one_may_have") {
  CHECK(decide(standing::confirmed, true, {.allowed = true}) == config_decision::proceed);
  CHECK(decide(standing::confirmed, true, {.allowed = false}) == config_decision::wait);
  CHECK(decide(standing::confirmed, true, {.allowed = false, .waited = max_newer_version_wait}) ==
        config_decision::cannot_tell);
}

// Callers see a version go back when a call is served by a newer version 0.25 s before a later call is not.
TEST_CASE("call_that_waited_for_a_newer_version_is_decided_before_an_older_one_decides_later_calls") {
  constexpr duration visible_regression{milliseconds{250}};
  CHECK(max_newer_version_wait < visible_regression);
}

TEST_CASE("version_being_checked_decides_nothing_until_the_check_is_over") {
  for (const bool allowed : {false, true}) {
    for (const bool changes_state : {false, true}) {
      CHECK(decide(standing::checking, false, {.allowed = allowed, .changes_state = changes_state}) ==
            config_decision::wait);
    }
  }
}

TEST_CASE("new_job_does_not_wait_for_a_check_while_the_store_takes_no_writes") {
  CHECK(decide(standing::checking, false,
               {.allowed = true, .changes_state = true, .store_refuses_writes = true}) ==
        config_decision::cannot_tell);
}

TEST_CASE("unconfirmed_version_refuses_nobody_and_changes_nothing_but_answers_queries") {
  for (const auto held : {standing::checking, standing::unconfirmed}) {
    const auto waited = max_check_wait;
    CHECK(decide(held, false, {.allowed = false, .waited = waited}) == config_decision::cannot_tell);
    CHECK(decide(held, false, {.allowed = false, .changes_state = true, .waited = waited}) ==
          config_decision::cannot_tell);
    CHECK(decide(held, false, {.allowed = true, .changes_state = true, .waited = waited}) ==
          config_decision::cannot_tell);
    CHECK(decide(held, false, {.allowed = true, .waited = waited}) == config_decision::proceed);
  }
}

}  // namespace
}  // namespace rhubarbpath

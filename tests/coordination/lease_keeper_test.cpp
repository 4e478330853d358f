#include "rhubarbpath/coordination/lease_keeper.hpp"

#include <catch2/catch.hpp>
#include <vector>

namespace rhubarbpath {
namespace {

constexpr duration second{1'000'000};

/// A keeper that holds the lease. The test supplies the result of each store call.
struct holding_keeper {
  holding_keeper() {
    feed(schedulers_changed{.live = {vm_id{"self"}}});
    answer(store_rows{});
    answer(store_lease_granted{.lease = store_lease_id{1}, .time_to_live = 5 * second});
    answer(store_written{.at = revision{1}});
  }
  void feed(const lease_keeper_event& event) {
    actions.clear();
    keeper.handle(event, now, actions);
    for (const auto& action : actions) {
      if (const auto* call = std::get_if<store_call>(&action)) {
        last_call = *call;
      }
    }
  }
  void answer(const store_response& response) {
    feed(store_call_result{.id = last_call.id, .response = response});
  }
  template <class Action>
  [[nodiscard]] bool first_is() const {
    return !actions.empty() && std::holds_alternative<Action>(actions.front());
  }
  /// Advances the time with ticks at each deadline but leaves renewals unanswered.
  void wait(duration interval) {
    const auto until = now + interval;
    for (auto due = keeper.next_deadline(); due && *due <= until; due = keeper.next_deadline()) {
      now = *due;
      feed(tick{});
      uncertain |= first_is<lease_uncertain>();
    }
    now = until;
  }

  random_source random{1};
  lease_keeper keeper{{.prefix = "/d", .failure_domain = failure_domain_id{"fd"}, .self = vm_id{"self"}},
                      random};
  instant now{};
  store_call last_call;
  std::vector<lease_keeper_action> actions;
  bool uncertain{false};
};

}  // namespace

// Guards against a process that was paused until its lease expired and acts before it detects the expiry.
TEST_CASE("lease_keeper_paused_past_lease_reports_loss_first") {
  holding_keeper test;
  REQUIRE(test.keeper.holds());
  test.now += 6 * second;
  test.feed(tick{});
  const bool cancelled_or_lost = test.first_is<lease_lost>() || test.first_is<store_call_cancelled>();
  CHECK(cancelled_or_lost);
  CHECK_FALSE(test.keeper.holds());
}

// Guards against an owner that gives up ownership during a store outage, in which no other process can take
// over.
TEST_CASE("lease_keeper_without_answers_is_uncertain_and_reacquires_lease") {
  holding_keeper test;
  test.wait(20 * second);
  CHECK(test.uncertain);
  CHECK(test.keeper.holds());
  SECTION("no other scheduler acquired the lease") {
    test.answer(store_failure::conflict);
    test.answer(store_lease_granted{.lease = store_lease_id{2}, .time_to_live = 5 * second});
    test.answer(store_written{.at = revision{9}});
    CHECK(test.first_is<lease_confirmed>());
    CHECK(test.keeper.holds());
  }
  SECTION("another scheduler acquired the lease") {
    test.answer(store_failure::conflict);
    test.answer(store_lease_granted{.lease = store_lease_id{2}, .time_to_live = 5 * second});
    test.answer(store_failure::conflict);
    CHECK(test.first_is<lease_lost>());
    CHECK_FALSE(test.keeper.holds());
  }
}

}  // namespace rhubarbpath

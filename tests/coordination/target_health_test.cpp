#include "rhubarbpath/coordination/target_health.hpp"

#include <catch2/catch.hpp>

#include "rhubarbpath/coordination/retry_budget.hpp"

namespace rhubarbpath {

namespace {

struct health_fixture {
  random_source random{1};
  target_health subject{{}, random};
  instant now{};

  health_fixture() {
    feed(health::targets_changed{{worker_id{"a"}, worker_id{"b"}, worker_id{"c"}}});
    feed(health::set_aside_limit_changed{1});
  }
  std::vector<target_health_action> feed(const target_health_event& event) {
    std::vector<target_health_action> out;
    subject.handle(event, now, out);
    return out;
  }
  void fail(const char* target, int times) {
    for (int i = 0; i < times; ++i) {
      feed(health::call_failed{worker_id{target}});
    }
  }
};

}  // namespace

// Guards against a failing target that stays in use, and against setting aside more targets than the
// limit allows.
TEST_CASE_METHOD(health_fixture, "target_health_third_failure_sets_aside_up_to_limit") {
  fail("a", 2);
  CHECK(subject.usable(worker_id{"a"}));
  fail("a", 1);
  CHECK_FALSE(subject.usable(worker_id{"a"}));
  fail("b", 5);
  CHECK(subject.usable(worker_id{"b"}));
  CHECK(subject.suspect(worker_id{"b"}));
  feed(health::set_aside_limit_changed{0});
  CHECK(subject.usable(worker_id{"a"}));
}

// Guards against overloading a recovering target: it receives one ping, then one trial call, and
// ordinary calls only after the trial succeeds.
TEST_CASE_METHOD(health_fixture, "target_health_recovery_allows_one_trial") {
  const worker_id target{"a"};
  fail("a", 3);
  now = *subject.next_deadline();
  auto actions = feed(health::tick{});
  REQUIRE(actions.size() == 1);
  CHECK(std::get<health::send_probe>(actions[0]).target == target);
  CHECK_FALSE(subject.trial_open(target));
  feed(health::probe_ended{target, true});
  CHECK(subject.trial_open(target));
  feed(health::trial_started{target});
  CHECK_FALSE(subject.trial_open(target));
  CHECK_FALSE(subject.usable(target));
  SECTION("a failed trial extends the backoff") {
    feed(health::call_failed{target});
    CHECK(*subject.next_deadline() - now >= std::chrono::seconds{1});
    CHECK_FALSE(subject.usable(target));
  }
  SECTION("a successful trial restores the target") {
    feed(health::call_succeeded{target});
    CHECK(subject.usable(target));
    CHECK(subject.set_aside_count() == 0);
  }
}

// Guards against retries that exceed the configured share of first sends and so amplify an overload.
TEST_CASE("retry_budget_many_failures_stays_within_share") {
  retry_budget budget{{.share = 0.1, .burst = 5.0}};
  int spent = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.count_first_send();
    spent += budget.try_spend() ? 1 : 0;
  }
  CHECK(spent <= 105);
  CHECK(spent >= 95);
  budget.set_share(0.0);
  CHECK_FALSE(budget.try_spend());
}

}  // namespace rhubarbpath

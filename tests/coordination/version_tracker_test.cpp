#include "rhubarbpath/coordination/version_tracker.hpp"

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>

namespace rhubarbpath {
namespace {

using std::chrono::milliseconds;
using standing = version_tracker::standing;

const instant start{std::chrono::hours{1}};
const document_version old_version{3};
const document_version new_version{5};

struct version_tracker_fixture {
  version_tracker_fixture() {
    tracker.hold(old_version, start);
    tracker.confirm(start);
  }

  version_tracker::options options;
  version_tracker tracker{options};
};

TEST_CASE_METHOD(version_tracker_fixture, "version_held_too_long_without_confirmation_may_not_decide") {
  CHECK(tracker.standing_at(start + options.max_age) == standing::confirmed);
  const auto outdated = start + options.max_age + milliseconds{1};
  CHECK(tracker.standing_at(outdated) == standing::checking);
  CHECK(tracker.standing_at(outdated + options.check_limit) == standing::unconfirmed);
}

TEST_CASE_METHOD(version_tracker_fixture, "version_of_a_process_that_was_paused_is_checked_first") {
  const auto woken = start + std::chrono::seconds{30};
  CHECK(tracker.standing_at(woken) == standing::checking);
  tracker.confirm(woken);
  CHECK(tracker.standing_at(woken) == standing::confirmed);
  // The next outage gets its own time for a check.
  CHECK(tracker.standing_at(woken + std::chrono::seconds{10}) == standing::checking);
}

TEST_CASE_METHOD(version_tracker_fixture, "confirmation_that_arrives_late_does_not_renew_the_version") {
  const auto now = start + options.max_age + milliseconds{1};
  tracker.confirm(start - milliseconds{500});
  CHECK(tracker.age(now) == options.max_age + milliseconds{1});
  CHECK(tracker.standing_at(now) == standing::checking);
}

TEST_CASE_METHOD(version_tracker_fixture,
                 "peer_with_the_same_version_confirms_it_as_of_its_own_confirmation") {
  const auto now = start + std::chrono::seconds{10};
  tracker.announced({.peer = "peer", .version = old_version, .confirmed_at = now - milliseconds{300}}, now);
  CHECK(tracker.age(now) == milliseconds{300});
  CHECK_FALSE(tracker.newer_announced());
}

TEST_CASE_METHOD(version_tracker_fixture, "peer_with_an_older_version_neither_confirms_nor_is_fetched_from") {
  const auto now = start + std::chrono::seconds{10};
  tracker.announced({.peer = "peer", .version = document_version{1}, .confirmed_at = now}, now);
  CHECK(tracker.standing_at(now) == standing::checking);
  CHECK_FALSE(tracker.fetch_due(now + options.announcement_grace));
}

TEST_CASE_METHOD(version_tracker_fixture, "announced_version_is_fetched_when_the_watch_does_not_bring_it") {
  tracker.announced({.peer = "peer-1", .version = new_version}, start);
  CHECK(tracker.newer_announced());
  CHECK_FALSE(tracker.fetch_due(start + options.announcement_grace - milliseconds{1}));
  // The VM that announced it last is the most likely one to answer.
  tracker.announced({.peer = "peer-2", .version = new_version}, start + milliseconds{100});
  const auto due = start + options.announcement_grace;
  CHECK(tracker.fetch_due(due) == "peer-2");
  CHECK_FALSE(tracker.fetch_due(due));
  tracker.fetch_failed(due);
  CHECK(tracker.fetch_due(due + options.fetch_retry_pause) == "peer-2");
}

TEST_CASE_METHOD(version_tracker_fixture, "announced_version_that_the_watch_brings_is_not_fetched") {
  tracker.announced({.peer = "peer", .version = new_version}, start);
  tracker.hold(new_version, start + milliseconds{20});
  CHECK_FALSE(tracker.newer_announced());
  CHECK_FALSE(tracker.fetch_due(start + options.announcement_grace));
}

TEST_CASE_METHOD(version_tracker_fixture, "announcements_in_close_succession_do_not_delay_the_fetch") {
  for (std::uint64_t i = 0; i < 10; ++i) {
    tracker.announced({.peer = "peer", .version = document_version{new_version.value() + i}},
                      start + milliseconds{100} * static_cast<int>(i));
  }
  CHECK(tracker.fetch_due(start + options.announcement_grace));
}

TEST_CASE_METHOD(version_tracker_fixture,
                 "announced_version_that_is_still_in_transfer_is_not_fetched_as_well") {
  const duration transfer{milliseconds{400}};
  tracker.announced({.peer = "peer", .version = new_version, .transfer = transfer}, start);
  CHECK_FALSE(tracker.fetch_due(start + transfer));
  CHECK(tracker.fetch_due(start + options.announcement_grace + transfer));
}

TEST_CASE_METHOD(version_tracker_fixture, "announced_version_that_its_announcer_does_not_hold_is_dropped") {
  tracker.announced({.peer = "peer", .version = document_version{~std::uint64_t{0}}}, start);
  REQUIRE(tracker.fetch_due(start + options.announcement_grace));
  tracker.fetched();
  CHECK_FALSE(tracker.newer_announced());
}

TEST_CASE_METHOD(version_tracker_fixture, "version_announced_during_a_fetch_is_fetched_next") {
  tracker.announced({.peer = "peer", .version = new_version}, start);
  const auto due = start + options.announcement_grace;
  REQUIRE(tracker.fetch_due(due));
  tracker.announced({.peer = "other", .version = new_version.next()}, due);
  tracker.hold(new_version, due);
  tracker.fetched();
  CHECK(tracker.fetch_due(due + options.announcement_grace) == "other");
}

TEST_CASE_METHOD(version_tracker_fixture, "announced_version_whose_announcer_is_gone_is_dropped") {
  tracker.announced({.peer = "peer", .version = new_version}, start);
  auto now = start + options.announcement_grace;
  for (int i = 0; i < options.max_failed_fetches; ++i) {
    REQUIRE(tracker.fetch_due(now));
    tracker.fetch_failed(now);
    now += options.fetch_retry_pause;
  }
  CHECK_FALSE(tracker.newer_announced());
  // Another VM that holds it is asked.
  tracker.announced({.peer = "other", .version = new_version}, now);
  CHECK(tracker.newer_announced());
}

TEST_CASE("watch_and_check_are_due_before_the_version_may_no_longer_decide_on_sites_of_all_limits") {
  for (const int limit_ms : {800, 1000, 2000, 3000, 4000, 9000}) {
    const duration limit{milliseconds{limit_ms}};
    const auto opts = version_tracker::options_for(limit);
    CHECK(opts.max_age < limit);
    CHECK(opts.check_after < opts.max_age);
    CHECK(version_tracker{opts}.watch_wait() < opts.check_after);
    CHECK(version_tracker{opts}.watch_wait() >= milliseconds{300});
  }
}

TEST_CASE("version_that_was_never_confirmed_has_no_age_to_tell_others") {
  version_tracker tracker{{}};
  tracker.hold(old_version, start);
  CHECK_FALSE(tracker.age(start));
  CHECK(tracker.standing_at(start) == standing::checking);
}

TEST_CASE_METHOD(version_tracker_fixture, "checks_are_rare_during_a_long_outage") {
  const auto outdated = start + options.max_age + milliseconds{1};
  static_cast<void>(tracker.standing_at(outdated));
  const auto later = outdated + options.check_limit;
  REQUIRE(tracker.check_due(later));
  CHECK_FALSE(tracker.check_due(later + options.check_interval));
  CHECK(tracker.check_due(later + options.outage_check_interval));
}

TEST_CASE("vm_without_a_configuration_fetches_an_announced_version_at_once") {
  version_tracker tracker{{}};
  tracker.announced({.peer = "peer", .version = new_version}, start);
  CHECK(tracker.fetch_due(start) == "peer");
}

TEST_CASE("version_fetched_from_a_peer_that_is_cut_off_itself_may_not_decide") {
  version_tracker tracker{{}};
  const auto now = start + std::chrono::seconds{20};
  tracker.hold(old_version, now);
  tracker.announced({.peer = "peer", .version = old_version, .confirmed_at = start}, now);
  CHECK(tracker.standing_at(now) == standing::checking);
}

TEST_CASE_METHOD(version_tracker_fixture, "checks_begin_before_the_version_may_no_longer_decide_and_repeat") {
  CHECK(options.check_after < options.max_age);
  CHECK_FALSE(tracker.check_due(start + options.check_after - milliseconds{1}));
  const auto due = start + options.check_after;
  CHECK(tracker.check_due(due));
  CHECK_FALSE(tracker.check_due(due + milliseconds{1}));
  CHECK(tracker.check_due(due + options.check_interval));
}

}  // namespace
}  // namespace rhubarbpath

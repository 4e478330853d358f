#include "rhubarbpath/coordination/owner_election.hpp"

#include <catch2/catch.hpp>

#include "rhubarbpath/coordination/peer_directory.hpp"

namespace rhubarbpath {
namespace {

using std::chrono::milliseconds;

class election_fixture {
 protected:
  random_source random{7};
  instant now{std::chrono::seconds{100}};
  owner_election election{{.self = vm_id{"a"}}, random};
  ownership_view nobody{
      .owner = std::nullopt, .owner_changed = {}, .term = owner_term{4}, .term_changed = revision{9}};

  template <class Action>
  bool takes() {
    for (const auto& action : election.take_actions()) {
      if (std::holds_alternative<Action>(action)) {
        return true;
      }
    }
    return false;
  }
  void win() {
    election.observed(nobody, now);
    now += milliseconds{100};
    election.tick(now);
    REQUIRE(takes<read_ownership>());
    election.observed(nobody, now);
    REQUIRE(takes<request_lease>());
    election.lease_granted(store_lease{5}, now, now);
    REQUIRE(takes<claim_ownership>());
    election.claimed(revision{12}, now);
    REQUIRE(takes<term_began>());
  }
};

TEST_CASE_METHOD(election_fixture, "election_without_owner_claims_the_duty") {
  win();
  CHECK(election.owns(now));
}

TEST_CASE_METHOD(election_fixture, "election_frozen_owner_wakes_without_the_duty") {
  // A VM that was suspended past its lease must not give another order.
  win();
  now += std::chrono::seconds{5};
  CHECK_FALSE(election.owns(now));
  election.tick(now);
  CHECK(takes<term_ended>());
}

TEST_CASE_METHOD(election_fixture, "election_late_renewal_does_not_revive_an_expired_term") {
  win();
  const auto asked = now;
  now += std::chrono::seconds{4};
  election.renewed(asked, now);
  CHECK_FALSE(election.owns(now));
}

TEST_CASE_METHOD(election_fixture, "election_newer_owner_ends_the_term") {
  win();
  election.observed({.owner = vm_id{"b"},
                     .owner_changed = revision{20},
                     .term = owner_term{6},
                     .term_changed = revision{20}},
                    now);
  CHECK(takes<term_ended>());
  CHECK_FALSE(election.owns(now));
}

TEST_CASE_METHOD(election_fixture, "election_small_vm_waits_for_a_larger_one") {
  // A VM with 0.12 of a core became the owner of 350 workers and left jobs unserved.
  CHECK(claim_handicap(0.5, 0.5, true) == duration::zero());
  CHECK(claim_handicap(0.5, 0.12, false) < claim_handicap(0.12, 0.12, false));
  election.set_claim_handicap(claim_handicap(0.12, 0.5, true));
  election.observed(nobody, now);
  election.tick(now + milliseconds{500});
  CHECK_FALSE(takes<read_ownership>());
  election.tick(now + milliseconds{1000});
  CHECK(takes<read_ownership>());
}

TEST_CASE_METHOD(election_fixture, "election_small_owner_hands_over_to_a_larger_vm_once") {
  // A VM with 0.12 of a core that won the first claim owned the duty for a whole day of 350 workers, lost its
  // lease under load again and again, and left jobs unserved (fresh-34a2 of tutu-loan-grown).
  win();
  election.set_claim_handicap(milliseconds{900});
  election.set_larger_known(true, now);
  now += std::chrono::seconds{1};
  election.renewed(now, now);
  CHECK(election.owns(now));
  now += std::chrono::seconds{2};
  election.tick(now);
  CHECK(takes<release_ownership>());
  CHECK_FALSE(election.owns(now));
  election.observed(nobody, now);
  now += milliseconds{500};
  election.tick(now);
  CHECK_FALSE(takes<read_ownership>());
  // Nobody else claims, for example because the larger VM does not reach the store.
  now += milliseconds{500};
  win();
  for (int i = 0; i < 20; ++i) {
    now += std::chrono::seconds{1};
    election.renewed(now, now);
    CHECK(election.owns(now));
  }
}

TEST_CASE_METHOD(election_fixture, "election_owner_that_appears_while_a_lease_is_asked_is_not_replaced") {
  // A claim used the rows of a watch that had brought the new owner meanwhile, and replaced it.
  election.observed(nobody, now);
  now += milliseconds{100};
  election.tick(now);
  REQUIRE(takes<read_ownership>());
  election.observed(nobody, now);
  REQUIRE(takes<request_lease>());
  election.observed({.owner = vm_id{"b"},
                     .owner_changed = revision{11},
                     .term = owner_term{5},
                     .term_changed = revision{11}},
                    now);
  election.lease_granted(store_lease{5}, now, now);
  CHECK_FALSE(takes<claim_ownership>());
}

TEST_CASE_METHOD(election_fixture, "election_resigned_vm_claims_no_more") {
  win();
  election.resign(now);
  CHECK(takes<term_ended>());
  election.observed(nobody, now);
  election.tick(now + std::chrono::seconds{5});
  CHECK_FALSE(takes<read_ownership>());
}

TEST_CASE("peer_directory_exchanged_lists_reach_all") {
  // A VM that the store refuses must find another VM to relay its calls, beyond its seeds.
  const instant now{std::chrono::seconds{100}};
  random_source random{1};
  peer_directory first{{.self = "a", .processor_cores = 0.12}};
  peer_directory second{{.self = "b", .processor_cores = 0.5}};
  first.set_seeds({"a", "b"}, now);
  second.heard_from("c", now);
  first.merge(second.sightings(now), now);
  CHECK(first.choices(random, now).size() == 2);
  CHECK(first.largest_processor(now) == 0.5);
  first.failed("b", now);
  CHECK(first.choices(random, now).front() == "c");
  CHECK(first.choices(random, now + std::chrono::seconds{11}) == std::vector<std::string>{"b"});
}

}  // namespace
}  // namespace rhubarbpath

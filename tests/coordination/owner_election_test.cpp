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
  ownership_view no_owner{
      .owner = std::nullopt, .owner_revision = {}, .term = owner_term{4}, .term_revision = revision{9}};

  template <class Action>
  bool has_action() {
    for (const auto& action : election.take_actions()) {
      if (std::holds_alternative<Action>(action)) {
        return true;
      }
    }
    return false;
  }
  void acquire_ownership() {
    election.observed(no_owner, now);
    now += milliseconds{100};
    election.tick(now);
    REQUIRE(has_action<read_ownership>());
    election.observed(no_owner, now);
    REQUIRE(has_action<request_lease>());
    election.lease_granted(store_lease{5}, now, now);
    REQUIRE(has_action<claim_ownership>());
    election.claimed(revision{12}, now);
    REQUIRE(has_action<term_began>());
  }
};

TEST_CASE_METHOD(election_fixture, "election_claims_ownership_when_there_is_no_owner") {
  acquire_ownership();
  CHECK(election.owns(now));
}

TEST_CASE_METHOD(election_fixture, "election_owner_suspended_past_its_lease_loses_ownership") {
  // A VM that was suspended past its lease must not send another order.
  acquire_ownership();
  now += std::chrono::seconds{5};
  CHECK_FALSE(election.owns(now));
  election.tick(now);
  CHECK(has_action<term_ended>());
}

TEST_CASE_METHOD(election_fixture, "election_late_renewal_does_not_extend_an_expired_term") {
  acquire_ownership();
  const auto sent_at = now;
  now += std::chrono::seconds{4};
  election.renewed(sent_at, now);
  CHECK_FALSE(election.owns(now));
}

TEST_CASE_METHOD(election_fixture, "election_newer_owner_ends_the_term") {
  acquire_ownership();
  election.observed({.owner = vm_id{"b"},
                     .owner_revision = revision{20},
                     .term = owner_term{6},
                     .term_revision = revision{20}},
                    now);
  CHECK(has_action<term_ended>());
  CHECK_FALSE(election.owns(now));
}

TEST_CASE_METHOD(election_fixture, "election_small_vm_delays_its_claim_for_a_larger_one") {
  // Guards against a VM with 0.12 of a core becoming the owner of 350 workers, which left jobs unscheduled.
  CHECK(claim_delay(0.5, 0.5, true) == duration::zero());
  CHECK(claim_delay(0.5, 0.12, false) < claim_delay(0.12, 0.12, false));
  election.set_claim_delay(claim_delay(0.12, 0.5, true));
  election.observed(no_owner, now);
  election.tick(now + milliseconds{500});
  CHECK_FALSE(has_action<read_ownership>());
  election.tick(now + milliseconds{1000});
  CHECK(has_action<read_ownership>());
}

TEST_CASE_METHOD(election_fixture, "election_small_owner_hands_over_to_a_larger_vm_once") {
  // Guards against a small owner that never hands over: a VM with 0.12 of a core that won the first claim
  // scheduled 350 workers for a whole day, kept losing its lease under load, and left jobs unscheduled
  // (fresh-34a2 of tutu-loan-grown).
  acquire_ownership();
  election.set_claim_delay(milliseconds{900});
  election.set_larger_vm_known(true, now);
  now += std::chrono::seconds{1};
  election.renewed(now, now);
  CHECK(election.owns(now));
  now += std::chrono::seconds{2};
  election.tick(now);
  CHECK(has_action<release_ownership>());
  CHECK_FALSE(election.owns(now));
  election.observed(no_owner, now);
  now += milliseconds{500};
  election.tick(now);
  CHECK_FALSE(has_action<read_ownership>());
  // No other VM claims, for example because the larger VM cannot reach the store.
  now += milliseconds{500};
  acquire_ownership();
  for (int i = 0; i < 20; ++i) {
    now += std::chrono::seconds{1};
    election.renewed(now, now);
    CHECK(election.owns(now));
  }
}

TEST_CASE_METHOD(election_fixture, "election_owner_that_appears_during_a_lease_request_is_not_replaced") {
  // Guards against a claim that is conditional on newer rows than those read before it: a watch had delivered
  // a new owner in the meantime, and the claim replaced that owner.
  election.observed(no_owner, now);
  now += milliseconds{100};
  election.tick(now);
  REQUIRE(has_action<read_ownership>());
  election.observed(no_owner, now);
  REQUIRE(has_action<request_lease>());
  election.observed({.owner = vm_id{"b"},
                     .owner_revision = revision{11},
                     .term = owner_term{5},
                     .term_revision = revision{11}},
                    now);
  election.lease_granted(store_lease{5}, now, now);
  CHECK_FALSE(has_action<claim_ownership>());
}

TEST_CASE_METHOD(election_fixture, "election_resigned_vm_does_not_claim_again") {
  acquire_ownership();
  election.resign(now);
  CHECK(has_action<term_ended>());
  election.observed(no_owner, now);
  election.tick(now + std::chrono::seconds{5});
  CHECK_FALSE(has_action<read_ownership>());
}

TEST_CASE("peer_directory_learns_peers_beyond_its_seeds") {
  // A VM that cannot call the store directly must find a VM to relay its calls, also among peers that are not
  // its seeds.
  const instant now{std::chrono::seconds{100}};
  random_source random{1};
  peer_directory first{{.self = "a", .processor_cores = 0.12}};
  peer_directory second{{.self = "b", .processor_cores = 0.5}};
  first.set_seeds({"a", "b"}, now);
  second.heard_from("c", now);
  first.merge(second.sightings(now), now);
  CHECK(first.candidates(random, now).size() == 2);
  CHECK(first.largest_processor(now) == 0.5);
  first.failed("b", now);
  CHECK(first.candidates(random, now).front() == "c");
  CHECK(first.candidates(random, now + std::chrono::seconds{11}) == std::vector<std::string>{"b"});
}

}  // namespace
}  // namespace rhubarbpath

#include "rhubarbpath/coordination/job_gateway.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <optional>

#include "rhubarbpath/coordination/failure_domain_choice.hpp"

namespace rhubarbpath {

namespace {

constexpr duration second{1'000'000};
const instant start{second};

/// Claim rows of a store that several gateways share. A row can be created but not overwritten.
struct in_memory_claims {
  std::map<std::string, std::string> rows;

  store_response answer(const store_request& request) {
    if (const auto* put = std::get_if<store_put>(&request)) {
      return rows.try_emplace(put->key, put->value).second ? store_response{store_written{.at = revision{1}}}
                                                           : store_response{store_failure::conflict};
    }
    const auto found = rows.find(std::get<store_get>(request).key);
    store_rows result;
    if (found != rows.end()) {
      result.rows.push_back(
          {.key = found->first, .value = found->second, .at = revision{1}, .written_by = {}});
    }
    return result;
  }
};

struct gateway_fixture {
  in_memory_claims& store;
  job_gateway under_test{{.environment = "production"}};
  std::vector<gateway::send_to_owner> sent;
  std::vector<gateway::answer> answers;
  /// Returned instead of the store's answer when set.
  std::optional<store_failure> failure;
  bool drop_store_calls{false};

  void feed(const job_gateway_event& event, instant now = start) {
    std::vector<job_gateway_action> actions;
    under_test.handle(event, now, actions);
    for (const auto& action : actions) {
      if (const auto* call = std::get_if<store_call>(&action); call != nullptr && !drop_store_calls) {
        feed(store_call_result{.id = call->id,
                               .response = failure ? store_response{*failure} : store.answer(call->request),
                               .wait = {}},
             now);
      } else if (const auto* message = std::get_if<gateway::send_to_owner>(&action)) {
        sent.push_back(*message);
      } else if (const auto* answer = std::get_if<gateway::answer>(&action)) {
        answers.push_back(*answer);
      }
    }
  }

  void submit(std::uint64_t id, const char* domain, const char* fingerprint = "f") {
    feed(gateway::submission{.id = request_id{id},
                             .job = job_id{"j"},
                             .spec = {},
                             .fingerprint = fingerprint,
                             .failure_domain = failure_domain_id{domain},
                             .refusal = {},
                             .deadline = start + 10 * second});
  }

  void announce_owner(const char* domain, std::uint64_t owned, const char* vm) {
    feed(gateway::owner_announced{
        .failure_domain = failure_domain_id{domain}, .owned = epoch{owned}, .owner = vm_id{vm}});
  }
};

}  // namespace

// Guards against two failure domains that accept the same job, because each VM chose a different one.
TEST_CASE("job_gateway_key_repeated_at_another_vm_reaches_the_first_domain") {
  in_memory_claims store;
  gateway_fixture first{store};
  gateway_fixture second_vm{store};
  for (auto* vm : {&first, &second_vm}) {
    vm->announce_owner("north", 1, "vm1");
    vm->announce_owner("south", 1, "vm2");
  }
  first.submit(1, "north");
  second_vm.submit(1, "south");
  REQUIRE(first.sent.size() == 1);
  REQUIRE(second_vm.sent.size() == 1);
  CHECK(second_vm.sent[0].failure_domain == failure_domain_id{"north"});
  CHECK(second_vm.sent[0].owner == vm_id{"vm1"});
}

// Guards against answering a submission with a different job that used the same key.
TEST_CASE("job_gateway_key_used_for_another_job_is_refused") {
  in_memory_claims store;
  gateway_fixture vm{store};
  vm.announce_owner("north", 1, "vm1");
  vm.submit(1, "north", "f");
  vm.submit(2, "north", "g");
  REQUIRE(vm.answers.size() == 1);
  CHECK(vm.answers[0].key_conflict);
  CHECK(vm.answers[0].result.result == verdict::not_run);
  CHECK(vm.sent.size() == 1);
}

// Guards against `not_run` when the claim may have been written, and against `may_have_run` when the store
// was not reached.
TEST_CASE("job_gateway_store_failure_decides_the_verdict") {
  in_memory_claims store;
  gateway_fixture vm{store};
  vm.failure = store_failure::unknown;
  vm.submit(1, "north");
  vm.failure = store_failure::unavailable;
  vm.submit(2, "north");
  REQUIRE(vm.answers.size() == 2);
  CHECK(vm.answers[0].result.result == verdict::may_have_run);
  CHECK(vm.answers[1].result.result == verdict::not_run);
  CHECK(vm.answers[1].result.retry_after.has_value());
}

// Guards against a submission that is never sent to the new owner, and against a delayed announcement of the
// old owner that replaces the new one.
TEST_CASE("job_gateway_new_owner_receives_the_submission_again") {
  in_memory_claims store;
  gateway_fixture vm{store};
  vm.announce_owner("north", 1, "vm1");
  vm.submit(1, "north");
  vm.announce_owner("north", 2, "vm2");
  vm.announce_owner("north", 1, "vm1");
  REQUIRE(vm.sent.size() == 2);
  CHECK(vm.sent[1].owner == vm_id{"vm2"});
  CHECK(vm.under_test.owner_of(failure_domain_id{"north"}) == vm_id{"vm2"});
}

// Guards against `not_run` at the deadline for a job that its owner may have logged.
TEST_CASE("job_gateway_deadline_after_a_message_was_sent_answers_may_have_run") {
  in_memory_claims store;
  gateway_fixture vm{store};
  vm.submit(1, "north");
  vm.feed(tick{}, start + 11 * second);
  vm.announce_owner("north", 1, "vm1");
  vm.submit(2, "north");
  vm.feed(gateway::owner_lost{.owner = vm_id{"vm1"}});
  vm.feed(tick{}, start + 11 * second);
  REQUIRE(vm.answers.size() == 2);
  CHECK(vm.answers[0].result.result == verdict::not_run);
  CHECK(vm.answers[1].result.result == verdict::may_have_run);
  CHECK(vm.under_test.requests_in_progress() == 0);
}

// Guards against a query that waits for the end of a job and keeps a draining VM from exiting.
TEST_CASE("job_gateway_draining_asks_for_the_current_state") {
  in_memory_claims store;
  gateway_fixture vm{store};
  vm.announce_owner("north", 1, "vm1");
  vm.submit(1, "north");
  vm.feed(gateway::query{
      .id = request_id{2}, .job = job_id{"j"}, .wait = 5 * second, .deadline = start + 8 * second});
  vm.feed(gateway::drain{});
  REQUIRE(vm.sent.size() == 3);
  CHECK(vm.sent[1].wait == 5 * second);
  CHECK(vm.sent[2].wait == duration::zero());
}

namespace {

/// Two failure domains with one worker each, and a job that needs all accelerators of a worker.
struct two_domains {
  environment_document document;
  job_spec spec{.team = team_id{"t"}, .job_class = class_id{"c"}, .shape = {.accelerators_per_member = 8}};
  std::map<failure_domain_id, failure_domain_load> loads;

  two_domains() {
    document.teams = {{.id = team_id{"t"}, .guarantees = {}}};
    document.job_classes = {{.id = class_id{"c"}, .finish_by = {}}};
    for (const std::string name : {"a", "b"}) {
      document.failure_domains.push_back({failure_domain_id{name}, {}});
      document.racks.push_back({rack_id{"r" + name}, failure_domain_id{name}});
      document.workers.push_back(
          {.id = worker_id{"w" + name}, .rack = rack_id{"r" + name}, .service = {}, .address = {}});
      loads[failure_domain_id{name}] = {.free_accelerators = 8, .waiting_jobs = 0};
    }
  }

  [[nodiscard]] failure_domain_choice choose() const {
    return choose_failure_domains(document, {}, spec, loads);
  }
};

}  // namespace

// Guards against jobs that wait in a failure domain that can never run them, or in a full domain while
// another is idle.
TEST_CASE("failure_domain_choice_prefers_a_domain_that_can_start_the_job") {
  two_domains fleet;
  fleet.loads[failure_domain_id{"a"}].free_accelerators = 4;
  REQUIRE(fleet.choose().candidates.size() == 2);
  CHECK(fleet.choose().candidates.front() == failure_domain_id{"b"});
  fleet.spec.shape.members = 2;
  CHECK_FALSE(fleet.choose().refusal.empty());
  fleet.spec.shape.members = 1;
  fleet.spec.guaranteed = true;
  CHECK_FALSE(fleet.choose().refusal.empty());
}

// Guards against a burst of jobs between two load announcements that all go to one failure domain.
TEST_CASE("failure_domain_choice_burst_of_jobs_is_spread") {
  two_domains fleet;
  std::map<failure_domain_id, int> chosen;
  for (int job = 0; job < 8; ++job) {
    const auto domain = fleet.choose().candidates.front();
    ++chosen[domain];
    count_submission(domain, fleet.spec, fleet.loads);
  }
  CHECK(chosen[failure_domain_id{"a"}] == 4);
  CHECK(chosen[failure_domain_id{"b"}] == 4);
}

}  // namespace rhubarbpath

#include <catch2/catch.hpp>

#include "router_cluster.hpp"

namespace rhubarbpath::testing {

namespace {

/// A router on a single entry VM, which is the home of two targets with two slots each.
struct router_fixture {
  random_source random{1};
  request_router router{{.self = vm_id{"vm0"}, .self_incarnation = incarnation{1}}, random};
  instant now{};
  std::uint64_t next_request{1};
  std::vector<request_router_action> last;

  router_fixture() {
    feed(routing::document_changed{small_document(2, 2)});
    feed(routing::members_changed{{{vm_id{"vm0"}, incarnation{1}, failure_domain_id{"f0"}}}});
    wait(seconds{2});
  }
  void feed(const request_router_event& event) {
    last.clear();
    router.handle(event, now, last);
  }
  void wait(duration time) {
    const auto end = now + time;
    while (now < end) {
      now = std::min(end, std::max(now + microseconds{1}, router.next_deadline().value_or(end)));
      std::vector<request_router_action> seen;
      router.handle(routing::tick{}, now, seen);
      last.insert(last.end(), seen.begin(), seen.end());
    }
  }
  request_id submit(const char* request_class, const char* team = "team0", const char* key = "",
                    bool first_attempt = true, duration time_left = seconds{10}) {
    const request_id id{next_request++};
    feed(routing::request_arrived{.id = id,
                                  .content = {.service = service_id{"lendbook"},
                                              .request_class = class_id{request_class},
                                              .team = team_id{team},
                                              .deadline = now + time_left},
                                  .key = idempotency_key{key},
                                  .first_attempt = first_attempt});
    return id;
  }
  template <class Action>
  std::vector<Action> actions() const {
    std::vector<Action> found;
    for (const auto& action : last) {
      if (const auto* typed = std::get_if<Action>(&action)) {
        found.push_back(*typed);
      }
    }
    return found;
  }
  /// Occupies all four slots and returns the calls.
  std::vector<routing::target_call_id> fill_slots() {
    std::vector<routing::target_call_id> calls;
    for (int i = 0; i < 4; ++i) {
      submit("stock");
      calls.push_back(actions<routing::send_request>().at(0).call);
    }
    return calls;
  }
  void answer(routing::target_call_id call, int status = 200, bool leaving = false) {
    feed(routing::target_answered{call, status, nullptr, leaving});
  }
};

}  // namespace

// Guards against exceeding the slots of a target while both its old and its new home send to it.
TEST_CASE("request_router_new_home_waits_before_sending") {
  random_source random{1};
  request_router router{{.self = vm_id{"vm0"}, .self_incarnation = incarnation{1}}, random};
  std::vector<request_router_action> out;
  const instant start{seconds{100}};
  router.handle(routing::document_changed{small_document(2, 2)}, start, out);
  router.handle(routing::members_changed{{{vm_id{"vm0"}, incarnation{1}, failure_domain_id{"f0"}}}}, start,
                out);
  CHECK(router.load().services[0].idle_slots == 0);
  for (int ms = 500; ms < 2000; ms += 500) {
    router.handle(routing::tick{}, start + milliseconds{ms}, out);
    CHECK(router.load().services[0].idle_slots == 0);
  }
  router.handle(routing::tick{}, start + seconds{2}, out);
  CHECK(router.load().services[0].idle_slots == 4);
  SECTION("a paused process waits again") {
    router.handle(routing::tick{}, start + seconds{4}, out);
    CHECK(router.load().services[0].idle_slots == 0);
  }
}

// Guards against sending new requests to a leaving target, whether the VM list or the target itself
// announces that it is leaving.
TEST_CASE_METHOD(router_fixture, "request_router_leaving_target_receives_no_new_requests") {
  submit("stock");
  const auto sent = actions<routing::send_request>().at(0);
  SECTION("the VM list") {
    feed(routing::target_leaving{sent.target});
  }
  SECTION("its own answer") {
    answer(sent.call, 200, true);
    wait(milliseconds{1});
    CHECK(router.load().leaving == std::vector<worker_id>{sent.target});
  }
  for (int i = 0; i < 5; ++i) {
    submit("stock");
    for (const auto& next : actions<routing::send_request>()) {
      CHECK(next.target != sent.target);
    }
  }
}

// Guards against dropping accepted requests on shutdown, and against reporting `drained` too early.
TEST_CASE_METHOD(router_fixture, "request_router_drain_finishes_accepted_requests") {
  const auto calls = fill_slots();
  const auto queued = submit("stock");
  feed(routing::drain{});
  wait(milliseconds{500});
  answer(calls[0]);
  const auto from_queue = actions<routing::send_request>();
  REQUIRE(from_queue.size() == 1);
  wait(seconds{1});
  CHECK(actions<routing::drained>().empty());
  submit("stock");
  CHECK(actions<routing::answer_caller>().at(0).result.result == verdict::not_run);
  for (std::size_t i = 1; i < calls.size(); ++i) {
    answer(calls[i]);
    CHECK(actions<routing::drained>().empty());
  }
  answer(from_queue[0].call);
  CHECK(actions<routing::answer_caller>().at(0).id == queued);
  CHECK(actions<routing::drained>().size() == 1);
}

// Guards against one team's burst delaying another team, and against violations of the class order.
TEST_CASE_METHOD(router_fixture, "request_router_full_slots_serves_by_class_then_round_robin") {
  auto calls = fill_slots();
  for (int i = 0; i < 10; ++i) {
    submit("preview", "team0");
  }
  submit("stock", "team1");
  submit("preview", "team1");
  submit("hold", "team0");
  feed(routing::intent_settled{.id = request_id{next_request - 1},
                               .settled = routing::intent_result::recorded});
  std::string order;
  for (int i = 0; i < 4; ++i) {
    answer(calls[static_cast<std::size_t>(i)]);
    const auto sent = actions<routing::send_request>().at(0);
    order += sent.content.request_class.value() + "/" + sent.content.team.value() + " ";
  }
  CHECK(order == "hold/team0 preview/team0 preview/team1 preview/team0 ");
}

// Guards against running expired requests, and against dropping requests without an answer.
TEST_CASE_METHOD(router_fixture, "request_router_overload_refuses_with_verdict_and_retry_after") {
  fill_slots();
  submit("preview", "team0", "", true, milliseconds{100});
  wait(milliseconds{100});
  auto answers = actions<routing::answer_caller>();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].result.result == verdict::not_run);
  for (int i = 0; i < 30; ++i) {
    submit("preview", "team0");
  }
  submit("preview", "team0");
  answers = actions<routing::answer_caller>();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].result.result == verdict::not_run);
  CHECK(answers[0].result.retry_after.has_value());
  // Another team is admitted; the newest request of the flooding team is refused instead.
  submit("preview", "team1");
  answers = actions<routing::answer_caller>();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].id != request_id{next_request - 1});
}

// Guards against answering `not_run` without asking the registrars, when an earlier attempt with the same
// key may have run through another entry VM.
TEST_CASE_METHOD(router_fixture, "request_router_unconfirmed_repeated_key_is_not_reported_not_run") {
  const bool first = GENERATE(true, false);
  submit("hold", "team0", "key", first, milliseconds{50});
  CHECK(actions<routing::record_intent>().size() == 1);
  wait(milliseconds{50});
  const auto answers = actions<routing::answer_caller>();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].result.result == (first ? verdict::not_run : verdict::may_have_run));
  CHECK(actions<routing::withdraw_intent>().size() == 1);
}

// Guards against losing the answer when the caller disconnects and repeats its key later.
TEST_CASE_METHOD(router_fixture, "request_router_disconnected_caller_answer_is_stored_with_intent") {
  const auto id = submit("hold", "team0", "key");
  feed(routing::intent_settled{.id = id, .settled = routing::intent_result::recorded});
  const auto call = actions<routing::send_request>().at(0).call;
  const auto repeat = submit("hold", "team0", "key", false);
  CHECK(last.empty());
  feed(routing::caller_gone{id});
  SECTION("a repeated request receives the same answer") {
    answer(call);
    CHECK(actions<routing::answer_caller>().at(0).id == repeat);
  }
  SECTION("no caller is waiting") {
    feed(routing::caller_gone{repeat});
    answer(call);
    CHECK(actions<routing::answer_caller>().empty());
  }
  CHECK(actions<routing::finish_intent>().at(0).result.result == verdict::ran);
}

// Guards against retries above the retry share of the document, and against a failing target that keeps
// receiving requests.
TEST_CASE_METHOD(router_fixture, "request_router_failing_target_is_avoided_within_retry_share") {
  int sends = 0;
  int to_failing = 0;
  const worker_id failing{"w1"};
  for (int i = 0; i < 200; ++i) {
    submit("stock");
    auto sent = actions<routing::send_request>();
    while (!sent.empty()) {
      ++sends;
      to_failing += sent[0].target == failing ? 1 : 0;
      answer(sent[0].call, sent[0].target == failing ? 500 : 200);
      sent = actions<routing::send_request>();
    }
  }
  CHECK(sends <= 200 + 10 + 40);
  CHECK(to_failing <= 3);
}

}  // namespace rhubarbpath::testing

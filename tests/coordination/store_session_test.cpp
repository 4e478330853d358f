#include "rhubarbpath/coordination/store_session.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "rhubarbpath/coordination/lease_keeper.hpp"

namespace rhubarbpath {
namespace {

constexpr duration millisecond{1'000};
constexpr duration second{1'000'000};

store_call put_call(std::uint64_t id, store_priority priority = store_priority::log) {
  return {.id = call_id{id},
          .request = store_put{.key = "/k" + std::to_string(id), .value = "v"},
          .priority = priority};
}

/// One session. The test supplies the response to each request that it sends.
struct session_under_test {
  explicit session_under_test(std::uint64_t seed) : random{seed} {}

  void feed(const store_session_event& event) {
    std::vector<store_session_action> actions;
    session.handle(event, now, actions);
    for (auto& action : actions) {
      if (auto* send = std::get_if<store_send>(&action)) {
        sends.push_back(*send);
      } else {
        results.push_back(std::get<store_call_result>(action));
      }
    }
  }
  /// Responds to the oldest unanswered request and returns that request.
  store_send answer(const store_response& response) {
    const auto sent = sends.at(answered++);
    feed(store_answered{.sent = sent.sent, .response = response});
    return sent;
  }
  void advance(duration interval) {
    const auto until = now + interval;
    for (auto due = session.next_deadline(); due && *due <= until; due = session.next_deadline()) {
      now = std::max(now, *due);
      feed(tick{});
      if (refuses) {
        while (answered < sends.size()) {
          answer(store_failure::unavailable);
        }
      }
    }
    now = until;
  }
  /// Grows the limit on calls in flight to its maximum.
  void warm_up() {
    for (std::uint64_t i = 0; i < 10; ++i) {
      feed(put_call(1'000'000 + i));
      answer(store_written{.at = revision{1}});
    }
    results.clear();
  }

  random_source random;
  store_session session{{.owner = vm_id{"s"}, .owner_incarnation = incarnation{1}}, random};
  instant now{};
  std::vector<store_send> sends;
  std::size_t answered{0};
  std::vector<store_call_result> results;
  bool refuses{false};
};

}  // namespace

// Guards against an unbounded number of calls in flight, and against a lease renewal that is queued behind
// other calls.
TEST_CASE("store_session_many_calls_are_bounded_and_ordered") {
  session_under_test test{1};
  test.warm_up();
  const auto before = test.sends.size();
  for (std::uint64_t i = 1; i <= 100; ++i) {
    test.feed(put_call(i));
  }
  CHECK(test.sends.size() - before == 16);
  test.feed(put_call(200, store_priority::lease));
  test.answer(store_written{.at = revision{1}});
  CHECK(std::get<store_put>(test.sends.back().request).key == "/k200");
}

// Guards against reporting a write as failed, or as the write of another process, when its response was lost.
TEST_CASE("store_session_write_with_lost_answer_is_read_back") {
  session_under_test test{2};
  test.feed(put_call(1));
  const auto first = std::get<store_put>(test.answer(store_failure::unknown).request);
  test.advance(second);
  REQUIRE(std::holds_alternative<store_get>(test.sends.back().request));
  SECTION("the write took effect") {
    test.answer(store_rows{.rows = {{.key = "/k1", .at = revision{7}, .written_by = first.id}}});
    REQUIRE(test.results.size() == 1);
    CHECK(std::get<store_written>(test.results[0].response).at == revision{7});
  }
  SECTION("the write of another process took effect") {
    test.answer(store_rows{.rows = {{.key = "/k1", .at = revision{7}, .written_by = write_id{5}}}});
    REQUIRE(test.results.size() == 1);
    CHECK(std::get<store_failure>(test.results[0].response) == store_failure::conflict);
  }
  SECTION("the write takes effect after the read-back and conflicts with its retry") {
    test.answer(store_rows{});
    CHECK(std::get<store_put>(test.sends.back().request).id == first.id);
    test.answer(store_failure::conflict);
    test.answer(store_rows{.rows = {{.key = "/k1", .at = revision{7}, .written_by = first.id}}});
    REQUIRE(test.results.size() == 1);
    CHECK(std::get<store_written>(test.results[0].response).at == revision{7});
  }
}

// Guards against a retry storm during an outage.
TEST_CASE("store_session_outage_is_probed_by_one_call") {
  session_under_test test{3};
  test.warm_up();
  test.refuses = true;
  for (std::uint64_t i = 1; i <= 100; ++i) {
    test.feed(put_call(i));
  }
  const auto before = test.sends.size();
  test.advance(60 * second);
  CHECK(test.session.in_outage());
  CHECK(test.sends.size() - before <= 70);
  CHECK(test.sends.size() - before >= 15);
}

// Guards against a thundering herd: all processes sending all pending calls when the store becomes available.
TEST_CASE("store_session_many_processes_ramp_up_slowly_after_an_outage") {
  std::deque<session_under_test> processes;  // A session keeps a reference to its random source.
  for (std::uint64_t seed = 0; seed < 60; ++seed) {
    auto& test = processes.emplace_back(seed);
    test.refuses = true;
    for (std::uint64_t i = 1; i <= 50; ++i) {
      test.feed(put_call(i));
    }
  }
  std::size_t sent_at_once = 0;
  for (auto& test : processes) {
    test.advance(60 * second);
    test.refuses = false;
    const auto before = test.sends.size();
    test.advance(100 * millisecond);
    sent_at_once += test.sends.size() - before;
  }
  // With probes spread over the maximum backoff of 1 to 3 s, 60 processes send about 3 probes in 100 ms.
  CHECK(sent_at_once <= 12);
}

// Guards against a common backoff for all faults: a rate limit must not delay lease renewals, a conflict must
// not delay other keys, and every backoff must be bounded.
TEST_CASE("store_session_waits_differ_by_fault_and_are_bounded") {
  session_under_test test{4};
  test.warm_up();
  std::set<duration> waits;
  for (std::uint64_t i = 1; i <= 30; ++i) {
    auto call = put_call(i);
    std::get<store_put>(call.request).key = "/same";
    test.feed(call);
    test.answer(store_failure::conflict);
    REQUIRE(test.results.size() == i);
    CHECK(test.results.back().wait <= duration{1'500'000});
    waits.insert(test.results.back().wait);
  }
  CHECK(waits.size() > 10);
  test.feed(put_call(100));
  test.answer(store_failure::limited);
  const auto before = test.sends.size();
  test.feed(put_call(101));
  CHECK(test.sends.size() == before);
  test.feed(put_call(102, store_priority::lease));
  CHECK(test.sends.size() == before + 1);
  test.advance(10 * second);
  CHECK(test.sends.size() > before + 1);
}

// Guards against leases that concentrate on a few schedulers, and against moving all leases when one
// scheduler leaves.
TEST_CASE("lease_ranking_balances_domains_and_moves_few") {
  std::vector<vm_id> live;
  for (int i = 0; i < 9; ++i) {
    live.emplace_back("scheduler-" + std::to_string(i));
  }
  std::map<std::string, int> domains_of;
  const std::vector<vm_id> fewer{live.begin(), live.end() - 1};
  for (int i = 0; i < 210; ++i) {
    const failure_domain_id domain{"domain-" + std::to_string(i)};
    const auto first = lease_ranking(domain, live).front();
    ++domains_of[first.value()];
    if (first != live.back()) {
      CHECK(lease_ranking(domain, fewer).front() == first);
    }
  }
  CHECK(domains_of.size() == 9);
  for (const auto& [name, count] : domains_of) {
    CHECK(count <= 45);
  }
}

}  // namespace rhubarbpath

#include <catch2/catch.hpp>

#include "history.hpp"

namespace rhubarbpath::history_check {

namespace {

constexpr duration second = std::chrono::seconds{1};

try_record answered(verdict result) {
  return {.answered = true, .result = result, .reason = {}};
}

request_history booking(std::vector<try_record> tries) {
  return {.key = "k",
          .request_class = "hold",
          .non_idempotent = true,
          .tries = std::move(tries),
          .completion = {}};
}

platform_history runs(std::size_t count) {
  platform_history history;
  history.requests.assign(count, worker_run{.worker = "w", .key = "k", .body = "k"});
  return history;
}

task_run member(int number, int state, duration from, duration to, const char* worker) {
  return {.worker = worker,
          .job = "j",
          .attempt = 1,
          .member = number,
          .accelerators = 1,
          .state = state,
          .started = instant{from},
          .ended = instant{to}};
}

std::size_t violations_of(const std::vector<request_history>& requests, const platform_history& history) {
  return find_violations(requests, {}, history, instant{100 * second}).size();
}

}  // namespace

// Guards against a checker that accepts a doubled booking, a false "not run" or a foreign answer.
TEST_CASE("history_with_a_broken_request_promise_is_reported") {
  CHECK(violations_of({booking({answered(verdict::ran)})}, runs(1)) == 0);
  CHECK(violations_of({booking({answered(verdict::may_have_run)})}, runs(1)) == 0);
  CHECK(violations_of({booking({answered(verdict::ran)})}, runs(2)) == 1);
  CHECK(violations_of({booking({answered(verdict::not_run)})}, runs(1)) == 1);
  CHECK(violations_of({booking({answered(verdict::ran)})}, runs(0)) == 1);
  auto foreign = answered(verdict::ran);
  foreign.echo_matches = false;
  CHECK(violations_of({booking({foreign})}, runs(1)) == 1);
  CHECK(violations_of({booking({{.overdue = true, .reason = {}}})}, runs(0)) == 1);
}

// Guards against a checker that accepts a cut request during a graceful shutdown.
TEST_CASE("history_with_a_cut_request_is_reported") {
  CHECK(find_uncertain({booking({answered(verdict::ran)})}).empty());
  CHECK(find_uncertain({booking({{.unsent = true, .reason = {}}})}).empty());
  CHECK(find_uncertain({booking({answered(verdict::may_have_run)})}).size() == 1);
  CHECK(find_uncertain({booking({try_record{}})}).size() == 1);
}

// Guards against a checker that accepts a partial gang, a doubled job or shared accelerators.
TEST_CASE("history_with_a_broken_gang_promise_is_reported") {
  const job_history job{
      .key = "k", .job = "j", .members = 2, .accepted = true, .final_state = "finished", .completion = {}};
  const auto count = [&](const std::vector<task_run>& tasks) {
    platform_history history;
    history.tasks = tasks;
    return find_violations({}, {job}, history, instant{100 * second}).size();
  };
  constexpr int finished = 1;
  const auto left = member(0, finished, 1 * second, 5 * second, "a");
  CHECK(count({left, member(1, finished, 1 * second, 5 * second, "b")}) == 0);
  CHECK(count({left, member(1, finished, 30 * second, 34 * second, "b")}) == 0);
  CHECK(count({left}) == 1);
  CHECK(count({left, member(1, finished, 1 * second, 25 * second, "b")}) == 1);
  CHECK(count({left, member(1, finished, 2 * second, 6 * second, "a")}) == 1);
  auto again = left;
  again.attempt = 2;
  again.started = instant{40 * second};
  again.ended = instant{44 * second};
  auto other = again;
  other.member = 1;
  other.worker = "b";
  CHECK(count({left, member(1, finished, 1 * second, 5 * second, "b"), again, other}) == 1);
}

}  // namespace rhubarbpath::history_check

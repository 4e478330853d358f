#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <functional>
#include <limits>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "crowd_fixture.hpp"

// Callers whose jobs are inside the limit for a body and make the owner keep or compute many times what they
// sent: the process goes on within its memory, refuses truthfully or serves, and another team is served.

namespace rhubarbpath::soak {
namespace {

/// As many tasks without resources as a step may have.
const soak_step endless_tasks{.count = std::numeric_limits<int>::max(), .run_time = std::chrono::hours{1}};
const std::string plain_step = R"({"count":1,"cpu":100,"memMb":1,"estimateMs":900})";

/// What a worker makes of `plain_step`, for as many steps as fit into a body.
const soak_job plain_tasks(20'000, {.count = 1, .cpu = 100, .memory_mb = 1, .run_time = milliseconds{900}});

/// A job with as many steps as fit into the largest body. `members` follow the list of steps.
std::string largest_job(const std::function<std::string(int)>& step, const std::string& members = {}) {
  const std::string end = "]" + members + "}";
  std::string body = R"({"spec":"x","steps":[)" + step(0);
  for (int number = 1;; ++number) {
    const auto next = "," + step(number);
    if (body.size() + next.size() + end.size() > largest_body) {
      return body + end;
    }
    body += next;
  }
}

std::string largest_job(const std::string& step, const std::string& members = {}) {
  return largest_job([&](int) { return step; }, members);
}

class job_crowd_fixture : public crowd_fixture {
 public:
  job_crowd_fixture() { vms.add_worker(); }

  /// Submits a job of the first team. It has to be stored or refused; what is refused must not be known. The
  /// worker runs the tasks of `steps` and rejects those of others.
  int submit(const std::string& body, const soak_job& steps = {}) {
    constexpr int too_large = 413;
    static const std::set<int> allowed{http_status::ok, http_status::bad_request, too_large,
                                       http_status::too_many_requests, http_status::service_unavailable};
    const auto id = fmt::format("5c0e7a21d95b{:04x}", submitted_++);
    vms.workers().register_job(id, steps);
    const auto status = vms.call_job(0, "POST", id, body, seconds{20}, {.timeout_ms = "20000"});
    CAPTURE(id, body.substr(0, 100));
    CHECK(allowed.contains(status));
    if (status != http_status::ok) {
      CHECK(vms.call_job(0, "GET", id, {}, seconds{20}, {.timeout_ms = "20000"}) == http_status::gone);
    }
    return status;
  }

  /// Gives the owner time to take up what was accepted and to place it.
  void settle() {
    constexpr int looks = 60;
    for (int i = 0; i < looks && vms.alive(0); ++i) {
      vms.run_for(milliseconds{50});
      look();
    }
  }

  /// Checks the bounds, and that a job of the other team is stored, runs and ends.
  void check_jobs() {
    settle();
    check();
    const auto id = fmt::format("5c0e7a21d96b{:04x}", submitted_++);
    vms.workers().register_job(id, {{.count = 1, .cpu = 100, .run_time = milliseconds{200}}});
    CHECK(answers([&] {
      return vms.call_job(0, "POST", id, R"({"spec":"y","steps":[{"count":1,"cpu":100,"estimateMs":200}]})",
                          seconds{20},
                          {.key = "key-b", .queue = urgent_queue, .timeout_ms = "20000"}) == http_status::ok;
    }));
    // Long enough for the slowest machine; an owner that hangs never starts it.
    constexpr int most_looks = 1200;
    for (int i = 0; i < most_looks && vms.alive(0) && !vms.workers().all_done(id); ++i) {
      vms.run_for(milliseconds{50});
      look();
    }
    CHECK(vms.workers().all_done(id));
    check();
  }

  /// Restarts the VM, which takes up what the store holds.
  void restart() {
    vms.kill(0);
    vms.start(0);
    REQUIRE(vms.all_use(1, start_limit));
  }

 private:
  int submitted_{0};
};

TEST_CASE_METHOD(job_crowd_fixture, "owner_keeps_its_bounds_under_jobs_with_many_steps") {
  // Guards against accepted work that takes more memory than the owner has, one owner after the other.
  constexpr int jobs = 20;
  const auto body = largest_job(plain_step);
  for (int i = 0; i < jobs; ++i) {
    submit(body, plain_tasks);
  }
  check_jobs();
  restart();
  check_jobs();
}

TEST_CASE_METHOD(job_crowd_fixture, "owner_keeps_its_bounds_under_jobs_of_the_smallest_steps") {
  // Guards against the same where a step takes few bytes of the request.
  constexpr int jobs = 3;
  const auto body = largest_job(R"({"count":1})");
  for (int i = 0; i < jobs; ++i) {
    submit(body);
  }
  check_jobs();
}

TEST_CASE_METHOD(job_crowd_fixture, "vm_keeps_its_bounds_under_a_job_of_empty_steps") {
  // Guards against forms of a request, between its body and its row, that take hundreds of times its bytes.
  submit(largest_job("{}"));
  check_jobs();
}

TEST_CASE_METHOD(job_crowd_fixture, "owner_keeps_its_bounds_under_overlapping_occurrences_of_many_steps") {
  // Guards against steps that are kept once for each occurrence that is due.
  submit(largest_job(plain_step, R"(,"repeatCount":100000,"startAtMs":1000,"intervalMs":1)"));
  check_jobs();
}

TEST_CASE_METHOD(job_crowd_fixture, "owner_keeps_its_bounds_under_many_gangs") {
  // Guards against the members of all gangs that could start, kept before any of them starts.
  submit(largest_job(R"({"count":4096,"cpu":100,"gang":true})"));
  check_jobs();
}

TEST_CASE_METHOD(job_crowd_fixture, "owner_keeps_its_bounds_under_tasks_without_resources") {
  // Guards against tasks that fit into any worker in any number.
  submit(R"({"spec":"x","steps":[{"count":4294967295}]})", {endless_tasks});
  check_jobs();
}

TEST_CASE_METHOD(job_crowd_fixture, "owner_keeps_its_bounds_under_urgent_tasks_without_resources") {
  // Guards against space that is planned for tasks that take none.
  const std::string body = R"({"spec":"x","steps":[{"count":4294967295}]})";
  const std::string id = "5c0e7a21d97b0001";
  vms.workers().register_job(id, {endless_tasks});
  CHECK(vms.call_job(0, "POST", id, body, seconds{20}, {.queue = urgent_queue}) != 0);
  // Plans for urgent work are made when other work waits.
  submit(R"({"spec":"x","steps":[{"count":100,"cpu":8000}]})",
         {{.count = 100, .cpu = 8000, .run_time = std::chrono::hours{1}}});
  check_jobs();
}

TEST_CASE_METHOD(job_crowd_fixture, "owner_keeps_its_bounds_under_steps_that_all_differ") {
  // Guards against placement passes whose cost grows with the square of the steps.
  constexpr int jobs = 3;
  for (int i = 0; i < jobs; ++i) {
    submit(largest_job([&](int number) {
      return fmt::format(R"({{"count":1,"cpu":100,"requiredLabel":"label-{}-{}"}})", i, number);
    }));
  }
  check_jobs();
}

TEST_CASE_METHOD(job_crowd_fixture, "owner_keeps_its_bounds_under_large_payloads_of_many_tasks") {
  // Guards against a payload that is kept once for each of its start orders.
  submit(fmt::format(R"({{"spec":"{}","steps":[{{"count":8000,"cpu":1,"estimateMs":60000}}]}})",
                     std::string(900'000, 'x')));
  check_jobs();
}

TEST_CASE_METHOD(job_crowd_fixture, "owner_keeps_its_bounds_under_large_jobs_cancelled_at_once") {
  // Guards against jobs that have ended and are kept whole until they expire.
  constexpr int jobs = 60;
  const auto body = largest_job(plain_step);
  for (int i = 0; i < jobs; ++i) {
    const auto id = fmt::format("5c0e7a21d98b{:04x}", i);
    vms.workers().register_job(id, plain_tasks);
    if (vms.call_job(0, "POST", id, body, seconds{20}, {.timeout_ms = "20000"}) == http_status::ok) {
      CHECK(answers([&] { return vms.call_job(0, "DELETE", id, {}, seconds{20}) == http_status::ok; }));
    }
    look();
  }
  check_jobs();
  restart();
  check_jobs();
}

TEST_CASE_METHOD(job_crowd_fixture, "owner_keeps_its_bounds_under_reservations_of_invented_teams") {
  // Guards against the port of the other VMs as a way to make the owner keep names, or refuse a team.
  constexpr int reservations = 60;
  const std::string long_name(3 * megabyte, 'x');
  for (int i = 0; i < reservations; ++i) {
    vms.send_as_peer(0, fmt::format("/owner/reserve/invented-{}", i),
                     fmt::format("{} {}{}", i % 2 == 0 ? 100'000 : 1'000'000'000, i, long_name));
    look();
  }
  check_jobs();
}

TEST_CASE_METHOD(job_crowd_fixture, "vm_answers_what_is_stored_with_success_while_its_team_is_refused") {
  // Guards against "never runs" as the answer to a repetition of a job that is stored.
  const auto body = largest_job(plain_step);
  CHECK(submit(body, plain_tasks) == http_status::ok);
  int refused = http_status::ok;
  constexpr int most_jobs = 20;
  for (int i = 0; i < most_jobs && refused == http_status::ok; ++i) {
    refused = submit(body, plain_tasks);
  }
  CHECK(refused == http_status::too_many_requests);
  CHECK(answers([&] {
    return vms.call_job(0, "POST", "5c0e7a21d95b0000", body, seconds{20}, {.timeout_ms = "20000"}) ==
           http_status::ok;
  }));
  check_jobs();
}

TEST_CASE_METHOD(job_crowd_fixture, "team_that_was_refused_is_served_after_it_cancels") {
  // Guards against a team that stays refused when its jobs have ended and expired.
  const auto body = largest_job(plain_step);
  int stored = 0;
  constexpr int most_jobs = 20;
  while (stored < most_jobs && submit(body, plain_tasks) == http_status::ok) {
    ++stored;
  }
  REQUIRE(stored > 0);
  REQUIRE(stored < most_jobs);
  for (int i = 0; i < stored; ++i) {
    CHECK(answers([&] {
      return vms.call_job(0, "DELETE", fmt::format("5c0e7a21d95b{:04x}", i), {}, seconds{20}) ==
             http_status::ok;
    }));
  }
  settle();
  CHECK(answers([&] { return submit(body, plain_tasks) == http_status::ok; }));
  check_jobs();
}

/// A store with small values, so that few tasks make a row too large.
class small_rows_fixture {
 public:
  small_rows_fixture() {
    REQUIRE(vms.all_use(1, start_limit));
    vms.add_worker();
    vms.add_worker();
  }

  edge_processes vms{1, {.memory_mb = 120, .max_descriptors = 400, .value_bytes = 8000}};
};

TEST_CASE_METHOD(small_rows_fixture, "owner_stores_progress_beside_a_job_whose_progress_fits_into_no_row") {
  // Guards against one job whose row the store refuses, and behind which no progress of any job is stored.
  vms.workers().faults(0).failed_starts_percent = 100;
  vms.workers().faults(1).failed_starts_percent = 100;
  const std::string hostile = "5c0e7a21d95c0001";
  vms.workers().register_job(hostile, {{.count = 4000, .cpu = 1, .run_time = seconds{1}}});
  CHECK(vms.call_job(0, "POST", hostile, R"({"spec":"x","steps":[{"count":4000,"cpu":1,"estimateMs":1000}]})",
                     seconds{20}) == http_status::ok);
  vms.run_for(seconds{8});
  vms.workers().faults(0).failed_starts_percent = 0;
  vms.workers().faults(1).failed_starts_percent = 0;
  const std::string id = "5c0e7a21d95c0002";
  vms.workers().register_job(id, {{.count = 1, .cpu = 100, .run_time = milliseconds{200}}});
  CHECK(vms.call_job(0, "POST", id, R"({"steps":[{"count":1,"cpu":100,"estimateMs":200}]})", seconds{20},
                     {.key = "key-b", .queue = urgent_queue}) == http_status::ok);
  constexpr int most_looks = 600;
  for (int i = 0; i < most_looks && vms.alive(0) && vms.job_state(0, id) != "complete"; ++i) {
    vms.run_for(milliseconds{100});
  }
  CHECK(vms.job_state(0, id) == "complete");
  CHECK(memory_of(vms.process_id(0)).highest < memory_limit);
}

/// Three processes of the smallest VM. Jobs reach all of them, and one of them is the owner.
class job_crowds_fixture {
 public:
  job_crowds_fixture() {
    REQUIRE(vms.all_use(1, start_limit));
    vms.add_worker();
  }

  /// Checks all processes, and that a job of the other team is served at each of them.
  void check(const std::string& id_prefix) {
    for (std::size_t vm = 0; vm < vms.size(); ++vm) {
      CAPTURE(vm);
      REQUIRE(vms.alive(vm));
      check_other_team_is_served(vms, id_prefix + fmt::format("{:04x}", vm), [vm](int) { return vm; });
    }
    for (std::size_t vm = 0; vm < vms.size(); ++vm) {
      CAPTURE(vm);
      REQUIRE(vms.alive(vm));
      CHECK(memory_of(vms.process_id(vm)).highest < memory_limit);
      CHECK(open_descriptors(vms.process_id(vm)) < static_cast<std::size_t>(smallest_vm.max_descriptors));
    }
  }

  edge_processes vms{3, smallest_vm};
};

TEST_CASE_METHOD(job_crowds_fixture, "each_next_owner_keeps_its_bounds_under_crowds_at_all_vms") {
  // Guards against a bound that only the owner knows, and against owners that end one after the other.
  std::vector<std::unique_ptr<hostile_crowd>> crowds;
  const auto body = largest_job(plain_step);
  constexpr int rounds = 6;
  constexpr std::size_t clients = 4;
  for (int round = 0; round < rounds; ++round) {
    for (std::size_t vm = 0; vm < vms.size(); ++vm) {
      for (std::size_t client = 0; client < clients; ++client) {
        const auto id = fmt::format("5c0e7a21d9a{:01x}{:02x}{:02x}", round, vm, client);
        vms.workers().register_job(id, plain_tasks);
        hostile_load load{
            .port = caller_port,
            .clients = 1,
            .opening = opening("POST", "/jobs/" + id,
                               fmt::format("Content-Type: application/json\r\nTimeout-Ms: 20000\r\n"
                                           "Content-Length: {}\r\n\r\n{}",
                                           body.size(), body)),
            .repeated = {},
            .bytes_per_client = 2 * megabyte,
            .connections_per_client = 1};
        crowds.push_back(std::make_unique<hostile_crowd>(vms.address(vm), std::move(load)));
      }
    }
    constexpr int steps = 60;
    for (int step = 0; step < steps; ++step) {
      for (auto& crowd : crowds) {
        crowd->step();
      }
      vms.run_for(milliseconds{5});
    }
  }
  check("5c0e7a21d9b0");
  for (std::size_t vm = 0; vm < vms.size(); ++vm) {
    vms.kill(vm);
    vms.run_for(seconds{5});
    vms.start(vm);
    REQUIRE(vms.all_use(1, start_limit));
    check(fmt::format("5c0e7a21d9c{:01x}", vm));
  }
}

TEST_CASE_METHOD(job_crowd_fixture, "owner_in_calm_runs_every_step_of_a_large_job") {
  // Guards against bounds on what is looked at in one pass that leave a part of a job behind for good.
  constexpr int steps = 3000;
  const std::string id = "5c0e7a21d99b0001";
  std::string body = R"({"spec":"x","steps":[)";
  soak_job registered;
  for (int number = 0; number < steps; ++number) {
    // The last step depends on the first one only; the others have no order.
    const bool last = number == steps - 1;
    body += fmt::format(R"({}{{"count":1,"cpu":100,"memMb":1,"estimateMs":50{}}})", number == 0 ? "" : ",",
                        last ? R"(,"after":[0])" : "");
    registered.push_back({.count = 1, .cpu = 100, .memory_mb = 1, .run_time = milliseconds{50}});
  }
  vms.workers().register_job(id, registered);
  CHECK(vms.call_job(0, "POST", id, body + "]}", seconds{20}) == http_status::ok);
  constexpr int most_looks = 2400;
  for (int i = 0; i < most_looks && vms.alive(0) && !vms.workers().all_done(id); ++i) {
    vms.run_for(milliseconds{50});
    look();
  }
  CHECK(vms.workers().all_done(id));
  CHECK(answers([&] { return vms.job_state(0, id) == "complete"; }));
  check_jobs();
}

}  // namespace
}  // namespace rhubarbpath::soak

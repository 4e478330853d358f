#include <catch2/catch.hpp>

#include "simulated_workers.hpp"

namespace rhubarbpath {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::simulated_workers;

/// Nothing of a job may run for at most this long while the fleet has room for it.
constexpr duration longest_stand{seconds{3}};
/// The longest lease on a clock that is 2% slow, and the time of a stop.
constexpr duration longest_lease{milliseconds{10'400 + 250}};

/// 48 workers in 8 racks, "r0" to "r7".
class wait_fixture {
 protected:
  wait_fixture() {
    fleet.add_workers(48);
    fleet.begin_term();
    fleet.advance(milliseconds{200});
  }

  static step_spec one_task(duration estimate = seconds{4}) {
    return {.count = 1, .each = {1000, 1000, 1}, .estimate = estimate};
  }
  static step_spec one_task_on(const std::string& label, duration estimate = seconds{4}) {
    auto step = one_task(estimate);
    step.required_label = label;
    return step;
  }
  [[nodiscard]] std::vector<worker_id> workers_of(const std::string& rack) const {
    std::vector<worker_id> found;
    for (const auto& [id, worker] : fleet.workers) {
      if (worker.entry.rack.value() == rack) {
        found.push_back(id);
      }
    }
    return found;
  }
  [[nodiscard]] std::optional<worker_id> worker_that_runs(const std::string& job) const {
    for (const auto& [id, worker] : fleet.workers) {
      for (const auto& [task, state] : worker.tasks) {
        if (task.job.value() == job) {
          return id;
        }
      }
    }
    return std::nullopt;
  }
  /// Runs the simulation until something of the job runs, at most for `limit`; returns how long that took.
  template <class Meanwhile>
  duration time_until_it_runs(const std::string& job, duration limit, Meanwhile meanwhile) {
    const auto begin = fleet.now;
    while (!worker_that_runs(job) && fleet.now - begin < limit) {
      fleet.advance(milliseconds{20});
      meanwhile();
    }
    return fleet.now - begin;
  }
  duration time_until_it_runs(const std::string& job, duration limit) {
    return time_until_it_runs(job, limit, [] {});
  }

  simulated_workers fleet{20261205};
};

// ---- a change of the owner ----

TEST_CASE_METHOD(wait_fixture, "scheduler_recovery_is_not_delayed_by_workers_that_join_or_flap") {
  // Guards against a recovery that each first report of a worker prolongs, also of one without earlier work.
  fleet.scheduler.reset();
  fleet.submit(simulated_workers::job("a", 1, one_task()));
  fleet.begin_term();
  CHECK(time_until_it_runs("a", seconds{20}, [&] {
          fleet.add_workers(1);
          fleet.list_workers();
        }) <= longest_stand);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(wait_fixture,
                 "scheduler_recovery_waits_for_an_idle_silent_worker_for_its_longest_lease_only") {
  fleet.workers.at(worker_id{"w7"}).disconnected = true;
  fleet.scheduler.reset();
  fleet.submit(simulated_workers::job("a", 1, one_task()));
  fleet.begin_term();
  CHECK(time_until_it_runs("a", seconds{60}) <= longest_lease + milliseconds{500});
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(wait_fixture,
                 "scheduler_jobs_do_not_stand_for_a_worker_that_was_silent_before_the_owner_changed") {
  // Guards against a new owner that lets all jobs wait for a worker of which it is known what it may run.
  // Before, late orders of the owner before that may still run there.
  fleet.advance(seconds{26});
  fleet.submit(simulated_workers::job("b", 1, one_task(seconds{30})));
  fleet.advance(seconds{2});
  const auto silent = worker_that_runs("b");
  REQUIRE(silent);
  fleet.workers.at(*silent).disconnected = true;
  fleet.advance(seconds{3});
  fleet.scheduler.reset();
  fleet.submit(simulated_workers::job("a", 1, one_task()));
  fleet.begin_term();
  CHECK(time_until_it_runs("a", seconds{60}) <= longest_stand);
  fleet.advance(longest_lease + seconds{1});
  CHECK(fleet.starts[{.job = job_id{"b"}}] == 2);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(wait_fixture,
                 "scheduler_worker_being_stored_as_silent_gets_no_work_that_the_row_leaves_out") {
  // Guards against a task that runs twice, because the next owner does not wait for a worker that answered
  // and got work while it was being stored as silent.
  fleet.advance(seconds{26});
  auto& silent = fleet.workers.at(worker_id{"w7"});
  silent.entry.labels.emplace_back("only one");
  fleet.submit(simulated_workers::job("b", 1, one_task_on("only one", seconds{30})));
  fleet.advance(seconds{2});
  REQUIRE(silent.tasks.size() == 1);
  silent.disconnected = true;
  fleet.worker_set_writable = false;
  fleet.advance(seconds{4});
  silent.disconnected = false;
  fleet.submit(simulated_workers::job("a", 1, one_task_on("only one", seconds{30})));
  fleet.advance(seconds{1});
  // A write that names only the first task is in flight.
  CHECK(silent.tasks.size() == 1);
  fleet.worker_set_writable = true;
  fleet.advance(milliseconds{200});
  CHECK(silent.tasks.size() == 2);
}

TEST_CASE_METHOD(wait_fixture, "scheduler_restarted_worker_that_answers_ends_the_wait_of_a_recovery") {
  fleet.workers.at(worker_id{"w7"}).disconnected = true;
  fleet.scheduler.reset();
  fleet.submit(simulated_workers::job("a", 1, one_task()));
  fleet.begin_term();
  fleet.advance(seconds{1});
  REQUIRE(fleet.scheduler->recovering());
  fleet.restart(worker_id{"w7"});
  fleet.workers.at(worker_id{"w7"}).disconnected = false;
  CHECK(time_until_it_runs("a", seconds{60}) <= seconds{2});
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(wait_fixture, "scheduler_second_change_of_the_owner_waits_for_a_silent_worker") {
  fleet.workers.at(worker_id{"w7"}).disconnected = true;
  fleet.scheduler.reset();
  fleet.submit(simulated_workers::job("a", 1, one_task()));
  fleet.begin_term();
  const auto first_change = fleet.now;
  fleet.advance(seconds{5});
  fleet.begin_term();
  time_until_it_runs("a", seconds{60});
  CHECK(fleet.now - first_change <= seconds{5} + longest_lease + milliseconds{500});
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(wait_fixture, "scheduler_run_of_a_worker_that_is_not_stored_ends_while_the_store_is_down") {
  // Guards against an adopted run that is neither renewed nor taken to be over, because its worker is not
  // among the stored ones and the store does not answer.
  fleet.submit(simulated_workers::job("a", 1, one_task(seconds{60})));
  fleet.advance(seconds{1});
  const auto first = worker_that_runs("a");
  REQUIRE(first);
  std::erase(fleet.stored_workers, *first);
  fleet.worker_set_writable = false;
  fleet.begin_term();
  fleet.advance(seconds{1});
  SECTION("worker_answers") {}
  SECTION("worker_has_left") {
    fleet.remove(*first);
  }
  SECTION("worker_is_cut_off") {
    fleet.workers.at(*first).disconnected = true;
  }
  // The lease is 9.5 s.
  fleet.advance(longest_lease);
  CHECK(time_until_it_runs("a", seconds{60}) <= longest_stand);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(wait_fixture, "scheduler_worker_that_restarted_and_fell_silent_is_waited_for_one_lease") {
  // Guards against a wait for late orders of the previous owner, which an incarnation that has reported in
  // this term rejects.
  fleet.begin_term();
  fleet.advance(milliseconds{500});
  auto& first = fleet.workers.at(worker_id{"w7"});
  auto& second = fleet.workers.at(worker_id{"w8"});
  first.entry.labels.emplace_back("one of two");
  fleet.submit(simulated_workers::job("a", 1, one_task_on("one of two", seconds{60})));
  fleet.advance(milliseconds{1500});
  REQUIRE(worker_that_runs("a") == first.entry.id);
  fleet.restart(first.entry.id);
  fleet.advance(milliseconds{1500});
  REQUIRE(worker_that_runs("a") == first.entry.id);
  second.entry.labels.emplace_back("one of two");
  first.disconnected = true;
  const auto silent_since = fleet.now;
  while (second.tasks.empty() && fleet.now - silent_since < seconds{60}) {
    fleet.advance(milliseconds{20});
  }
  CHECK(fleet.now - silent_since <= longest_lease + milliseconds{500});
  CHECK(fleet.violations.empty());
}

// ---- reservations ----

TEST_CASE_METHOD(wait_fixture, "scheduler_urgent_task_does_not_stand_for_stops_without_answer") {
  // Guards against a reservation that is made at the same place again after it has failed, beside idle
  // workers in other racks.
  const auto rack = workers_of("r2");
  fleet.submit(simulated_workers::job(
      "filler", 2, {.count = 6, .each = {32000, 1000, 8}, .estimate = seconds{90}, .required_label = "r2"}));
  fleet.advance(seconds{1});
  REQUIRE(fleet.running_tasks() == rack.size());
  for (const auto& id : rack) {
    fleet.workers.at(id).loses_stops = true;
  }
  auto step = one_task();
  step.data_rack = "r2";
  SECTION("task") {}
  SECTION("gang") {
    step.count = 2;
    step.gang = true;
    step.same_rack = true;
  }
  fleet.submit(simulated_workers::job("a", 0, step));
  CHECK(time_until_it_runs("a", seconds{60}) <= longest_stand);
  CHECK(fleet.violations.empty());
}

// ---- workers that are set aside ----

class set_aside_fixture : public wait_fixture {
 protected:
  /// Lets all workers of a rack fail what they run until each has been set aside several times.
  set_aside_fixture() {
    fails(true);
    // At other times, other workers of the rack are on trial.
    const int jobs = GENERATE(range(30, 46));
    for (int job = 0; job < jobs; ++job) {
      fleet.submit(simulated_workers::job("f" + std::to_string(job), 1, one_task_on("r2", seconds{1})));
      fleet.advance(milliseconds{300});
    }
    for (int job = 0; job < jobs; ++job) {
      fleet.cancel(job_id{"f" + std::to_string(job)});
    }
    fleet.advance(milliseconds{300});
  }
  void fails(bool every_run) {
    for (const auto& id : workers_of("r2")) {
      fleet.workers.at(id).fails_every_run = every_run;
    }
  }
  /// Submits a task that must run in the rack, and lets it fail a number of times there.
  void submit_and_fail(const std::string& name, std::size_t times) {
    fleet.submit(simulated_workers::job(name, 1, one_task_on("r2")));
    const auto failed = [&] {
      return static_cast<std::size_t>(
          std::count_if(fleet.run_outcomes.begin(), fleet.run_outcomes.end(), [&](const auto& each) {
            return each.first.first.job.value() == name && each.second == run_outcome::failed;
          }));
    };
    const auto limit = fleet.now + seconds{60};
    while (failed() < times && fleet.now < limit) {
      fleet.advance(milliseconds{4});
    }
    REQUIRE(failed() == times);
    fails(false);
  }
};

TEST_CASE_METHOD(set_aside_fixture, "scheduler_task_does_not_stand_for_workers_that_are_set_aside") {
  // Guards against a pause of workers that failed runs for as long as no other worker may run a task.
  submit_and_fail("a", 0);
  CHECK(time_until_it_runs("a", seconds{60}) <= longest_stand);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(set_aside_fixture,
                 "scheduler_task_that_failed_does_not_stand_for_workers_that_are_set_aside") {
  // Guards against a task that waits until all workers that may run it are restored, because it has failed.
  submit_and_fail("a", 1);
  CHECK(time_until_it_runs("a", seconds{60}) <= longest_stand);
  fleet.advance(seconds{6});
  CHECK(fleet.phase("a") == job_phase::complete);
}

TEST_CASE_METHOD(set_aside_fixture, "scheduler_last_attempt_of_a_task_waits_until_a_worker_is_restored") {
  // Guards against a job that is given up because its last attempt was made on a worker that fails all runs.
  submit_and_fail("a", 2);
  // The longest pause, and as long again without a trial.
  constexpr duration longest_pause{seconds{12}};
  CHECK(time_until_it_runs("a", seconds{60}) <= 2 * longest_pause + milliseconds{100});
  fleet.advance(seconds{6});
  CHECK(fleet.phase("a") == job_phase::complete);
}

// ---- the adviser ----

class advised_fixture : public wait_fixture {
 protected:
  advised_fixture() { use_adviser(seconds{3}); }

  void use_adviser(duration validity) {
    auto changed = std::make_shared<fleet_config>(*fleet.configuration);
    for (auto& queue : changed->queues) {
      queue.adviser =
          adviser_config{.decision = milliseconds{20}, .per_worker = milliseconds{5}, .validity = validity};
    }
    fleet.configuration = changed;
    fleet.scheduler->set_config(changed, fleet.now);
  }
};

TEST_CASE_METHOD(advised_fixture, "scheduler_asks_again_about_a_worker_that_was_refused_and_restarted") {
  // Guards against a job that stands for good because its workers were refused in an earlier incarnation.
  fleet.submit(simulated_workers::job("a", 1, one_task_on("r2")));
  fleet.advance(seconds{2});
  for (const auto& id : workers_of("r2")) {
    fleet.restart(id);
    fleet.workers_allowed_by_adviser.insert(id);
  }
  CHECK(time_until_it_runs("a", seconds{60}) <= longest_stand);
}

TEST_CASE_METHOD(advised_fixture,
                 "scheduler_task_does_not_stand_for_tickets_that_are_valid_for_a_short_time") {
  // Guards against tickets that are always taken to have expired when they arrive.
  for (const auto& [id, worker] : fleet.workers) {
    fleet.workers_allowed_by_adviser.insert(id);
  }
  use_adviser(milliseconds{540});
  fleet.submit(simulated_workers::job("a", 1, one_task()));
  CHECK(time_until_it_runs("a", seconds{60}) <= longest_stand);
}

TEST_CASE_METHOD(advised_fixture, "scheduler_jobs_that_ended_during_their_call_do_not_block_the_adviser") {
  for (const auto& id : workers_of("r2")) {
    fleet.workers_allowed_by_adviser.insert(id);
  }
  for (int job = 0; job < 8; ++job) {
    const auto name = "c" + std::to_string(job);
    fleet.submit(simulated_workers::job(name, 0, one_task_on("r3")));
    fleet.advance(milliseconds{16});
    fleet.cancel(job_id{name});
  }
  fleet.submit(simulated_workers::job("a", 1, one_task_on("r2")));
  CHECK(time_until_it_runs("a", seconds{60}) <= longest_stand);
}

TEST_CASE_METHOD(advised_fixture,
                 "scheduler_task_behind_one_that_waits_for_the_previous_owner_gets_a_ticket") {
  // Guards against a step whose first task waits for a run of the previous owner, and for which the adviser
  // is not asked meanwhile.
  auto& leaving = fleet.workers.at(worker_id{"w7"});
  auto& other = fleet.workers.at(worker_id{"w8"});
  fleet.workers_allowed_by_adviser = {leaving.entry.id, other.entry.id};
  leaving.entry.labels.emplace_back("one of two");
  auto step = one_task_on("one of two", seconds{40});
  step.count = 2;
  step.max_per_worker = 1;
  fleet.submit(simulated_workers::job("a", 1, step));
  fleet.advance(seconds{2});
  REQUIRE(leaving.tasks.size() == 1);
  leaving.entry.draining = true;
  leaving.entry.stays_for = seconds{60};
  fleet.advance(milliseconds{1500});
  leaving.disconnected = true;
  other.entry.labels.emplace_back("one of two");
  fleet.scheduler.reset();
  fleet.begin_term();
  const auto begin = fleet.now;
  while (other.tasks.empty() && fleet.now - begin < seconds{60}) {
    fleet.advance(milliseconds{20});
  }
  CHECK(fleet.now - begin <= longest_stand);
  CHECK(fleet.violations.empty());
}

}  // namespace
}  // namespace rhubarbpath

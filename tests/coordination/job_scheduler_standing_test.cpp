#include <catch2/catch.hpp>

#include "simulated_workers.hpp"

namespace rhubarbpath {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::simulated_workers;

/// Nothing of a job may run for at most this long while the fleet has room for it.
constexpr duration longest_stand{seconds{3}};

/// 48 workers in 8 racks, "r0" to "r7".
class rack_fixture {
 protected:
  rack_fixture() {
    fleet.add_workers(48);
    fleet.begin_term();
    fleet.advance(milliseconds{200});
  }

  static step_spec task_with_data_in(const std::string& rack) {
    return {.count = 1, .each = {13000, 53000, 1}, .estimate = milliseconds{8500}, .data_rack = rack};
  }
  static step_spec gang_in_one_rack(std::uint32_t members) {
    return {.count = members,
            .each = {13000, 53000, 8},
            .estimate = milliseconds{8500},
            .gang = true,
            .same_rack = true};
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
  [[nodiscard]] bool runs(const std::string& job) const {
    return std::any_of(fleet.workers.begin(), fleet.workers.end(), [&](const auto& each) {
      return std::any_of(each.second.tasks.begin(), each.second.tasks.end(),
                         [&](const auto& task) { return task.first.job.value() == job; });
    });
  }
  /// Runs the simulation until something of the job runs, at most for `limit`; returns how long that took.
  duration time_until_it_runs(const std::string& job, duration limit) {
    const auto begin = fleet.now;
    while (!runs(job) && fleet.now - begin < limit) {
      fleet.advance(milliseconds{20});
    }
    return fleet.now - begin;
  }
  /// Fills the free space of these workers with tasks of another job that take `length`.
  void fill(const std::vector<worker_id>& ids, duration length) {
    for (const auto& id : ids) {
      fleet.workers.at(id).entry.labels.emplace_back("filled");
    }
    fleet.advance(seconds{1});
    fleet.submit(simulated_workers::job("filler", 1,
                                        {.count = static_cast<std::uint32_t>(ids.size()),
                                         .each = {32000, 1000, 8},
                                         .estimate = length,
                                         .required_label = "filled"}));
    fleet.advance(milliseconds{500});
    REQUIRE(fleet.running_tasks() == ids.size());
  }

  simulated_workers fleet{20261205};
};

TEST_CASE_METHOD(rack_fixture, "scheduler_job_that_stands_is_logged_with_its_reason_in_few_lines") {
  // Guards against jobs that wait without a line that says for what, and against a line for each pass.
  auto step = task_with_data_in("r2");
  step.required_label = "missing";
  fleet.submit(simulated_workers::job("a", 1, step));
  fleet.advance(seconds{2});
  CHECK(fleet.standing_jobs.empty());
  fleet.advance(seconds{28});
  REQUIRE(fleet.standing_jobs.size() >= 1);
  CHECK(fleet.standing_jobs.size() <= 4);
  CHECK(fleet.standing_jobs.front().job == job_id{"a"});
  CHECK_FALSE(fleet.standing_jobs.front().reason.empty());
}

TEST_CASE_METHOD(rack_fixture, "scheduler_jobs_that_wait_for_a_full_fleet_are_not_logged_as_standing") {
  // Guards against a line for each job of a long queue.
  fleet.submit(simulated_workers::job("a", 1, {.count = 48, .each = {32000, 1, 8}, .estimate = seconds{12}}));
  fleet.advance(milliseconds{500});
  for (int job = 0; job < 40; ++job) {
    fleet.submit(simulated_workers::job("b" + std::to_string(job), 2,
                                        {.count = 48, .each = {32000, 1, 8}, .estimate = seconds{12}}));
  }
  fleet.advance(seconds{10});
  CHECK(fleet.standing_jobs.empty());
}

TEST_CASE_METHOD(rack_fixture, "scheduler_task_whose_data_rack_has_left_does_not_stand") {
  // Guards against a wait for space in a rack that has no worker.
  for (const auto& id : workers_of("r2")) {
    fleet.remove(id);
  }
  fleet.advance(seconds{1});
  fleet.submit(simulated_workers::job("a", 1, task_with_data_in("r2")));
  CHECK(time_until_it_runs("a", seconds{30}) <= longest_stand);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(rack_fixture, "scheduler_gang_larger_than_any_rack_does_not_stand") {
  // Guards against a wait for one rack of a gang that no rack can hold.
  fleet.submit(simulated_workers::job("a", 1, gang_in_one_rack(7)));
  CHECK(time_until_it_runs("a", seconds{30}) <= longest_stand);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(rack_fixture, "scheduler_task_whose_data_rack_is_full_does_not_stand_in_an_idle_fleet") {
  // Guards against a wait for space in a full rack while most of the fleet is idle.
  fill(workers_of("r2"), seconds{40});
  fleet.submit(simulated_workers::job("a", 1, task_with_data_in("r2")));
  CHECK(time_until_it_runs("a", seconds{30}) <= longest_stand);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(rack_fixture,
                 "scheduler_task_of_a_full_rack_does_not_stand_while_the_reachable_fleet_is_idle") {
  // Guards against a fleet that looks full because of what unreachable workers run.
  std::vector<worker_id> in_use;
  for (const auto* rack : {"r0", "r1", "r2", "r3", "r5"}) {
    const auto more = workers_of(rack);
    in_use.insert(in_use.end(), more.begin(), more.end());
  }
  fill(in_use, seconds{60});
  for (const auto* rack : {"r0", "r1", "r2", "r3"}) {
    for (const auto& id : workers_of(rack)) {
      fleet.workers.at(id).disconnected = true;
    }
  }
  fleet.advance(seconds{2});
  fleet.submit(simulated_workers::job("a", 1, task_with_data_in("r5")));
  CHECK(time_until_it_runs("a", seconds{30}) <= longest_stand);
}

TEST_CASE_METHOD(rack_fixture, "scheduler_task_refused_by_all_of_its_data_rack_does_not_stand") {
  // Guards against a wait for the rack that begins anew after each refused start.
  for (const auto& id : workers_of("r2")) {
    fleet.workers.at(id).refuses_starts = true;
  }
  fleet.submit(simulated_workers::job("a", 1, task_with_data_in("r2")));
  CHECK(time_until_it_runs("a", seconds{60}) <= longest_stand);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(rack_fixture, "scheduler_task_whose_data_rack_was_lost_under_it_waits_for_its_lease_only") {
  // Guards against a wait for the rack that follows the wait for the lease of a lost worker.
  fleet.submit(simulated_workers::job("a", 1, task_with_data_in("r2")));
  fleet.advance(seconds{2});
  REQUIRE(runs("a"));
  for (const auto& id : workers_of("r2")) {
    fleet.remove(id);
  }
  // The longest lease on a clock that is 2% slow, and the time of a stop.
  constexpr duration longest_lease{milliseconds{10'400 + 250}};
  CHECK(time_until_it_runs("a", seconds{60}) <= longest_lease + milliseconds{500});
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(rack_fixture, "scheduler_unit_that_begins_to_wait_for_its_rack_does_not_hold_up_the_next") {
  // Guards against a unit that has run, waits for its rack anew, and ends the pass for the units behind it.
  auto in_use = workers_of("r2");
  const auto last = in_use.back();
  in_use.pop_back();
  for (const auto* rack : {"r0", "r1", "r3", "r4"}) {
    const auto more = workers_of(rack);
    in_use.insert(in_use.end(), more.begin(), more.end());
  }
  fill(in_use, seconds{90});
  auto step = task_with_data_in("r2");
  step.count = 2;
  step.each.cpu_millicores = 20000;
  fleet.submit(simulated_workers::job("a", 1, step));
  fleet.advance(seconds{6});
  REQUIRE(fleet.running_tasks() == in_use.size() + 1);
  fleet.workers.at(last).entry.draining = true;
  // The second task has waited for twice its estimate after 17 s, the first one not before 23 s.
  fleet.advance(seconds{12});
  CHECK(fleet.running_tasks() == in_use.size() + 1);
}

TEST_CASE_METHOD(rack_fixture,
                 "scheduler_refused_starts_do_not_prolong_the_wait_for_the_rack_in_a_busy_fleet") {
  // Guards against a wait for the rack that begins anew after each refused start.
  auto in_use = workers_of("r0");
  for (const auto* rack : {"r1", "r3", "r4", "r5"}) {
    const auto more = workers_of(rack);
    in_use.insert(in_use.end(), more.begin(), more.end());
  }
  fill(in_use, seconds{90});
  for (const auto& id : workers_of("r2")) {
    fleet.workers.at(id).refuses_starts = true;
  }
  fleet.submit(simulated_workers::job("a", 1, task_with_data_in("r2")));
  constexpr duration longest_rack_wait{milliseconds{17'000}};
  CHECK(time_until_it_runs("a", seconds{60}) <= longest_rack_wait + seconds{1});
}

TEST_CASE_METHOD(rack_fixture, "scheduler_task_does_not_stand_for_space_that_is_held_back_for_a_gang") {
  // Guards against idle workers that are kept for a gang whose other places are in use for long.
  const auto labelled = workers_of("r2");
  fill({labelled.front()}, seconds{40});
  auto gang = gang_in_one_rack(6);
  gang.required_label = "r2";
  fleet.submit(simulated_workers::job("gang", 1, gang));
  fleet.advance(milliseconds{200});
  fleet.submit(simulated_workers::job(
      "a", 2, {.count = 1, .each = {1000, 1000, 1}, .estimate = seconds{2}, .required_label = "r2"}));
  CHECK(time_until_it_runs("a", seconds{30}) <= longest_stand);
}

}  // namespace
}  // namespace rhubarbpath

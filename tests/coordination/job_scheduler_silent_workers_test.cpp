#include <catch2/catch.hpp>

#include "simulated_workers.hpp"

namespace rhubarbpath {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::simulated_workers;

/// Nothing of a job may run for at most this long while the fleet has room for it.
constexpr duration longest_stand{seconds{3}};
/// Of one start without an answer: the lease, the time of a stop and of timers, twice the drift of clocks,
/// and the owner's scan.
constexpr duration unanswered_start(milliseconds lease) {
  return (lease + milliseconds{200 + 20}) * 104 / 100 + milliseconds{25};
}
/// What the worker was granted for earlier runs, or by a renewal before the answer, holds for the run as
/// well.
constexpr milliseconds longest_lease{10000};

/// 48 workers in 8 racks, "r0" to "r7", that have been idle since the term began.
class idle_fleet {
 protected:
  idle_fleet() {
    fleet.add_workers(48);
    fleet.begin_term();
    fleet.advance(milliseconds{200});
  }

  static step_spec task_with_data_in(const std::string& rack) {
    return {.count = 1, .each = {13000, 53000, 1}, .estimate = milliseconds{8500}, .data_rack = rack};
  }
  static step_spec gang(std::uint32_t members, const std::string& rack) {
    return {.count = members,
            .each = {13000, 53000, 8},
            .estimate = milliseconds{8500},
            .gang = true,
            .same_rack = true,
            .data_rack = rack};
  }
  template <class Change>
  void change_rack(const std::string& rack, Change change) {
    for (auto& [id, worker] : fleet.workers) {
      if (worker.entry.rack.value() == rack) {
        change(worker);
      }
    }
  }
  void cut_off(const std::string& rack, bool refuses = false) {
    change_rack(rack, [&](simulated_workers::worker& worker) {
      worker.disconnected = true;
      worker.refuses_connections = refuses;
    });
  }
  /// Each worker of the rack starts again under its id, with a clock that shows `clock`.
  void restart(const std::string& rack, milliseconds clock) {
    change_rack(rack, [&](const simulated_workers::worker& worker) {
      fleet.restart(worker.entry.id);
      fleet.workers.at(worker.entry.id).clock_started = fleet.now - clock;
    });
  }
  [[nodiscard]] std::size_t running_tasks_of(const std::string& job) const {
    std::size_t count = 0;
    for (const auto& [id, worker] : fleet.workers) {
      for (const auto& [task, run] : worker.tasks) {
        count += task.job.value() == job ? 1 : 0;
      }
    }
    return count;
  }
  /// Runs the simulation until `tasks` of the job run, at most for `limit`; returns how long that took.
  duration time_until_it_runs(const std::string& job, duration limit, std::size_t tasks = 1) {
    const auto begin = fleet.now;
    while (running_tasks_of(job) < tasks && fleet.now - begin < limit) {
      fleet.advance(milliseconds{20});
    }
    const auto took = fleet.now - begin;
    UNSCOPED_INFO("took " << std::chrono::duration_cast<milliseconds>(took).count() << " ms");
    return took;
  }

  simulated_workers fleet{20261206};
};

TEST_CASE_METHOD(idle_fleet, "scheduler_task_whose_data_rack_was_cut_off_while_idle_runs_elsewhere") {
  // Guards against one start without an answer for each worker that was cut off while idle.
  fleet.advance(seconds{20});
  cut_off("r2");
  fleet.advance(seconds{5});
  fleet.submit(simulated_workers::job("a", 1, task_with_data_in("r2")));
  CHECK(time_until_it_runs("a", seconds{120}) <= longest_stand);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(idle_fleet,
                 "scheduler_task_whose_data_rack_was_cut_off_just_now_waits_for_one_start_at_most") {
  // Guards against starts that follow one without an answer to workers that have not answered since.
  fleet.submit(simulated_workers::job(
      "warm", 1, {.count = 6, .each = {32000, 1000, 8}, .estimate = seconds{3}, .required_label = "r2"}));
  fleet.advance(milliseconds{3200});
  REQUIRE(fleet.phase("warm") == job_phase::complete);
  cut_off("r2");
  fleet.submit(simulated_workers::job("a", 1, task_with_data_in("r2")));
  CHECK(time_until_it_runs("a", seconds{120}) <= unanswered_start(longest_lease) + longest_stand);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(idle_fleet, "scheduler_task_of_a_worker_that_started_again_out_of_reach_runs_elsewhere") {
  // Guards against a run that counts until its lease passes, although the registry shows that its worker has
  // started again since.
  fleet.submit(simulated_workers::job("a", 1, task_with_data_in("")));
  fleet.advance(seconds{2});
  for (auto& [id, worker] : fleet.workers) {
    if (!worker.tasks.empty()) {
      fleet.restart(id);
      worker.disconnected = true;
    }
  }
  REQUIRE(running_tasks_of("a") == 0);
  CHECK(time_until_it_runs("a", seconds{120}) <= longest_stand);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(idle_fleet, "scheduler_start_without_an_answer_costs_no_other_unit_a_start_in_the_rack") {
  // Guards against starts on the neighbours of a silent worker that have not answered since.
  fleet.submit(simulated_workers::job(
      "warm", 1, {.count = 6, .each = {32000, 1000, 8}, .estimate = seconds{3}, .required_label = "r2"}));
  fleet.advance(milliseconds{3200});
  REQUIRE(fleet.phase("warm") == job_phase::complete);
  cut_off("r2");
  fleet.submit(simulated_workers::job("a", 1, task_with_data_in("r2")));
  fleet.advance(milliseconds{500});
  fleet.submit(simulated_workers::job("b", 1, task_with_data_in("r2")));
  CHECK(time_until_it_runs("b", seconds{120}) <= longest_stand);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(idle_fleet, "scheduler_gang_over_workers_that_were_cut_off_while_idle_runs_elsewhere") {
  // Guards against a gang that is placed on one silent worker after the other.
  fleet.advance(seconds{20});
  cut_off("r2");
  cut_off("r5");
  fleet.advance(seconds{5});
  fleet.submit(simulated_workers::job("a", 1, gang(5, "r2")));
  CHECK(time_until_it_runs("a", seconds{120}, 5) <= longest_stand);
  fleet.submit(simulated_workers::job("b", 1, gang(6, "")));
  CHECK(time_until_it_runs("b", seconds{120}, 6) <= longest_stand);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(idle_fleet, "scheduler_gang_of_which_some_workers_were_cut_off_just_now_runs_elsewhere") {
  // Guards against a gang that is placed again on neighbours of silent workers that have not answered since.
  fleet.submit(simulated_workers::job(
      "warm", 1, {.count = 6, .each = {32000, 1000, 8}, .estimate = seconds{3}, .required_label = "r2"}));
  fleet.advance(milliseconds{3200});
  REQUIRE(fleet.phase("warm") == job_phase::complete);
  cut_off("r2");
  fleet.submit(simulated_workers::job("a", 1, gang(5, "r2")));
  CHECK(time_until_it_runs("a", seconds{120}, 5) <= unanswered_start(longest_lease) + longest_stand);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(idle_fleet, "scheduler_task_whose_data_rack_refuses_connections_runs_elsewhere") {
  // Guards against starts on workers that are listed and refuse connections.
  fleet.advance(seconds{20});
  cut_off("r2", true);
  fleet.advance(seconds{5});
  fleet.submit(simulated_workers::job("a", 1, task_with_data_in("r2")));
  CHECK(time_until_it_runs("a", seconds{120}) <= longest_stand);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(idle_fleet, "scheduler_task_runs_on_workers_that_started_again_while_idle") {
  // Guards against starts that are refused as too late, or last too long, by the clock of an earlier
  // incarnation.
  const auto clock = GENERATE(milliseconds{0}, milliseconds{5'000'000});
  fleet.advance(seconds{20});
  for (int rack = 0; rack < 8; ++rack) {
    restart("r" + std::to_string(rack), clock);
  }
  fleet.advance(seconds{GENERATE(0, 2, 20)});
  fleet.submit(simulated_workers::job("a", 1, task_with_data_in("r2")));
  CHECK(time_until_it_runs("a", seconds{60}) <= longest_stand);
  fleet.advance(seconds{10});
  CHECK(fleet.phase("a") == job_phase::complete);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(idle_fleet, "scheduler_task_starts_on_workers_that_have_been_idle_for_long") {
  // Guards against deadlines by an estimate of a worker's clock that ages: it may be 2% slow.
  for (auto& [id, worker] : fleet.workers) {
    worker.clock_rate = 1.0;
  }
  fleet.advance(seconds{400});
  fleet.submit(simulated_workers::job("a", 1, task_with_data_in("r2")));
  CHECK(time_until_it_runs("a", seconds{60}) <= milliseconds{100});
}

TEST_CASE_METHOD(idle_fleet, "scheduler_tasks_on_idle_workers_start_within_one_call_of_each") {
  // Guards against reads of idle workers one after the other, and against two tasks on one worker where their
  // step permits one.
  fleet.advance(seconds{20});
  fleet.submit(simulated_workers::job(
      "a", 1, {.count = 48, .each = {1000, 1000, 1}, .estimate = seconds{4}, .max_per_worker = 1}));
  CHECK(time_until_it_runs("a", seconds{10}, 48) <= milliseconds{100});
  for (const auto& [id, worker] : fleet.workers) {
    CHECK(worker.tasks.size() == 1);
  }
}

}  // namespace
}  // namespace rhubarbpath

#include <algorithm>
#include <catch2/catch.hpp>

#include "simulated_workers.hpp"

namespace rhubarbpath {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::simulated_workers;

/// Nothing of a job may run for at most this long while the fleet has room for it.
constexpr duration longest_stand{seconds{3}};

/// 24 workers in 4 racks, "r0" to "r3".
class faulty_fleet_fixture {
 protected:
  faulty_fleet_fixture() {
    fleet.add_workers(24);
    fleet.begin_term();
    fleet.advance(milliseconds{200});
  }

  static step_spec tasks(std::uint32_t count, std::int64_t accelerators, duration estimate) {
    return {.count = count, .each = {1000, 1000, accelerators}, .estimate = estimate};
  }
  [[nodiscard]] std::vector<worker_id> workers_that_run(const std::string& job) const {
    std::vector<worker_id> found;
    for (const auto& [id, worker] : fleet.workers) {
      if (std::any_of(worker.tasks.begin(), worker.tasks.end(),
                      [&](const auto& task) { return task.first.job.value() == job; })) {
        found.push_back(id);
      }
    }
    return found;
  }
  /// Runs the simulation until something of the job runs, at most for `limit`; returns how long that took.
  duration time_until_it_runs(const std::string& job, duration limit) {
    const auto begin = fleet.now;
    while (workers_that_run(job).empty() && fleet.now - begin < limit) {
      fleet.advance(milliseconds{20});
    }
    return fleet.now - begin;
  }

  simulated_workers fleet{20261205};
};

TEST_CASE_METHOD(faulty_fleet_fixture,
                 "scheduler_tasks_that_wait_for_a_rack_do_not_wait_for_silent_workers_of_their_job") {
  // Guards against a wait for the data rack that goes on because the job seems to run on workers that are
  // lost.
  auto step = tasks(8, 8, seconds{8});
  step.data_rack = "r1";
  fleet.submit(simulated_workers::job("a", 1, step));
  fleet.advance(seconds{1});
  const auto lost = workers_that_run("a");
  REQUIRE(lost.size() == 6);
  for (const auto& id : lost) {
    fleet.crash(id, seconds{30});
  }
  CHECK(time_until_it_runs("a", seconds{20}) <= longest_stand);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(faulty_fleet_fixture, "scheduler_gang_refused_by_a_worker_does_not_wait_for_its_lease") {
  // Guards against a stop that is waited for although all attempts of the start have been refused.
  auto step = tasks(4, 2, seconds{4});
  step.gang = true;
  step.required_label = "r1";
  for (auto& [id, worker] : fleet.workers) {
    worker.refuses_starts = worker.entry.rack.value() == "r1";
  }
  fleet.submit(simulated_workers::job("a", 1, step));
  for (int wait = 0; wait < 500 && !fleet.last_start; ++wait) {
    fleet.advance(milliseconds{4});
  }
  REQUIRE(fleet.last_start);
  fleet.advance(milliseconds{8});
  fleet.workers.at(fleet.last_start->worker).disconnected = true;
  for (auto& [id, worker] : fleet.workers) {
    worker.refuses_starts = false;
  }
  CHECK(time_until_it_runs("a", seconds{30}) <= longest_stand);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(faulty_fleet_fixture,
                 "scheduler_run_being_stopped_on_a_worker_that_starts_again_and_leaves_is_over") {
  // Guards against a run that counts as open although a later incarnation has reported without it.
  fleet.submit(simulated_workers::job("a", 1, tasks(1, 8, seconds{20})));
  fleet.advance(seconds{2});
  const auto runs_on = workers_that_run("a");
  REQUIRE(runs_on.size() == 1);
  const auto& id = runs_on.front();
  auto& worker = fleet.workers.at(id);
  worker.entry.draining = true;
  worker.entry.stays_for = milliseconds{2000};
  fleet.stop_time = milliseconds{2000};
  fleet.list_workers();
  while (!worker.tasks.begin()->second.stops_at) {
    fleet.advance(milliseconds{4});
  }
  fleet.restart(id);
  fleet.advance(milliseconds{1200});
  fleet.crash(id, seconds{30});
  CHECK(time_until_it_runs("a", seconds{40}) <= longest_stand);
  CHECK(fleet.violations.empty());
}

/// The time until a task runs whose start got no answer, after its worker has started again.
class late_proof_fixture : public faulty_fleet_fixture {
 public:
  duration time_to_run_after_restart(duration cut_off_for) {
    const worker_id id{"w1"};
    fleet.workers.at(id).entry.labels.emplace_back("only");
    fleet.advance(seconds{1});
    fleet.workers.at(id).disconnected = true;
    auto step = tasks(1, 1, seconds{8});
    step.required_label = "only";
    fleet.submit(simulated_workers::job("a", 1, step));
    fleet.advance(cut_off_for);
    fleet.restart(id);
    fleet.workers.at(id).disconnected = false;
    step.count = 2;
    fleet.submit(simulated_workers::job("b", 1, step));
    return time_until_it_runs("a", seconds{40});
  }
};

TEST_CASE("scheduler_unanswered_start_on_a_worker_that_starts_again_is_over_within_3_s") {
  // Guards against a proof that takes several long polls after the worker has answered again.
  duration longest{0};
  for (int wait = 0; wait < 40; ++wait) {
    late_proof_fixture fixture;
    longest = std::max(longest, fixture.time_to_run_after_restart(milliseconds{2000 + 40 * wait}));
  }
  CHECK(longest <= longest_stand);
}

}  // namespace
}  // namespace rhubarbpath

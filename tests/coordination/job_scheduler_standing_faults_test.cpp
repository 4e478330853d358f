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

}  // namespace
}  // namespace rhubarbpath

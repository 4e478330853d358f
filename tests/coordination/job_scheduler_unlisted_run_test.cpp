#include <algorithm>
#include <catch2/catch.hpp>

#include "simulated_workers.hpp"

namespace rhubarbpath {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::simulated_workers;

/// Two workers that started again while they were idle, which the owner has not heard of. Each has a label
/// of its own.
class restarted_fleet {
 public:
  restarted_fleet() {
    fleet.add_workers(2);
    for (auto& [id, worker] : fleet.workers) {
      worker.entry.labels = {"on " + id.value()};
    }
    fleet.stop_time = milliseconds{200};
    fleet.begin_term();
    fleet.advance(milliseconds{200});
    for (const auto& [id, worker] : fleet.workers) {
      fleet.restart(id);
    }
  }

  static step_spec task_with(resource_amounts each, duration estimate, const std::string& label) {
    return {.count = 1, .each = each, .estimate = estimate, .required_label = label};
  }
  static step_spec all_accelerators(const std::string& label) {
    return task_with({10000, 1000, 8}, seconds{2}, label);
  }
  /// Starts the job "a" beside short ones, and after `wait` an urgent job that takes its place.
  void preempt_after(duration wait) {
    for (const auto& [id, worker] : fleet.workers) {
      const auto label = worker.entry.labels.front();
      fleet.submit(
          simulated_workers::job("short " + label, 0, task_with({1000, 1000, 0}, milliseconds{100}, label)));
    }
    fleet.submit(simulated_workers::job("a", 1, all_accelerators("")));
    const task_ref task{.job = job_id{"a"}};
    while (fleet.starts[task] == 0) {
      fleet.advance(milliseconds{4});
    }
    const auto holder = std::find_if(fleet.workers.begin(), fleet.workers.end(), [&](const auto& each) {
                          return each.second.tasks.contains(task);
                        })->first;
    fleet.advance(wait);
    fleet.submit(simulated_workers::job("urgent", 0, all_accelerators("on " + holder.value())));
    fleet.advance(seconds{8});
  }

  simulated_workers fleet{20261206};
};

TEST_CASE(
    "scheduler_run_that_a_later_incarnation_carried_out_and_stops_is_not_started_again_before_its_end") {
  // Guards against a task that runs twice: a worker does not list a run while it stops it, which was taken
  // for a run that ended with the incarnation that the start was meant for.
  for (int wait = 0; wait <= 60; wait += 4) {
    INFO("the run is stopped " << wait << " ms after its start");
    restarted_fleet fixture;
    fixture.preempt_after(milliseconds{wait});
    CHECK(fixture.fleet.violations.empty());
    CHECK(fixture.fleet.phase("a") == job_phase::complete);
    CHECK(fixture.fleet.phase("urgent") == job_phase::complete);
  }
}

}  // namespace
}  // namespace rhubarbpath

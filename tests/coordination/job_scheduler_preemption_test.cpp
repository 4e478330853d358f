#include <catch2/catch.hpp>

#include "simulated_workers.hpp"

namespace rhubarbpath {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::simulated_workers;

TEST_CASE("scheduler_reservations_keep_the_limit_of_tasks_for_each_worker") {
  // Guards against more tasks of a step on one worker than its limit, when preemption makes room for several.
  simulated_workers fleet{20261205};
  fleet.add_workers(1);
  fleet.begin_term();
  fleet.advance(milliseconds{200});
  fleet.submit(
      simulated_workers::job("filler", 2, {.count = 4, .each = {1000, 1000, 2}, .estimate = seconds{30}}));
  fleet.advance(seconds{1});
  REQUIRE(fleet.running_tasks() == 4);
  fleet.submit(simulated_workers::job(
      "urgent", 0, {.count = 3, .each = {1000, 1000, 2}, .estimate = seconds{5}, .max_per_worker = 2}));
  const auto& worker = fleet.workers.begin()->second;
  std::ptrdiff_t most = 0;
  for (int step = 0; step < 500; ++step) {
    fleet.advance(milliseconds{4});
    most = std::max(most, std::count_if(worker.tasks.begin(), worker.tasks.end(),
                                        [](const auto& each) { return each.first.job == job_id{"urgent"}; }));
  }
  CHECK(most == 2);
}

}  // namespace
}  // namespace rhubarbpath

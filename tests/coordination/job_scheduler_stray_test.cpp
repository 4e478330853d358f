#include <catch2/catch.hpp>

#include "simulated_workers.hpp"

namespace rhubarbpath {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::simulated_workers;

TEST_CASE("scheduler_run_of_a_cancelled_job_is_stopped_although_the_order_of_a_new_owner_is_lost") {
  // Guards against a run that goes on after its job was cancelled: the new owner does not adopt it, its order
  // to stop is lost, and the worker has no other task for which it would be asked again.
  for (int cut_after = 1; cut_after <= 40; ++cut_after) {
    INFO("the worker is cut off " << cut_after << " ms after the term began");
    simulated_workers fleet{20261205};
    fleet.add_workers(1);
    fleet.begin_term();
    fleet.advance(milliseconds{200});
    const step_spec step{.count = 1, .each = {1000, 1000, 1}, .estimate = seconds{60}};
    fleet.submit(simulated_workers::job("a", 1, step));
    fleet.advance(seconds{1});
    auto& worker = fleet.workers.begin()->second;
    const auto tasks = worker.tasks;
    REQUIRE(tasks.size() == 1);
    fleet.cancel(job_id{"a"});
    fleet.advance(seconds{2});
    REQUIRE(worker.tasks.empty());
    worker.tasks = tasks;
    worker.lease_until = seconds{1'000};
    fleet.begin_term();
    fleet.advance(milliseconds{cut_after});
    worker.disconnected = true;
    fleet.advance(milliseconds{300});
    worker.disconnected = false;
    fleet.advance(seconds{4});
    CHECK(worker.tasks.empty());
  }
}

}  // namespace
}  // namespace rhubarbpath

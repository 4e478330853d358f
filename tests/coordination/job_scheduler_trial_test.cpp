#include <catch2/catch.hpp>

#include "simulated_workers.hpp"

namespace rhubarbpath {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::simulated_workers;

TEST_CASE("scheduler_tasks_reserved_on_a_worker_on_trial_keep_the_limit_of_their_step") {
  // Guards against space that is reserved on a worker on trial for more tasks of a step than may run there:
  // all of them start once the worker, which was started again, is no longer on trial.
  simulated_workers fleet{20261206};
  fleet.simulated.checks_order_and_labels = true;
  fleet.configuration = simulated_workers::config(50);
  fleet.add_workers(8);
  const worker_id w1{"w1"};
  auto& worker = fleet.workers.at(w1);
  worker.entry.labels = {"one"};
  worker.fails_every_run = true;
  fleet.begin_term();
  fleet.advance(milliseconds{200});
  const step_spec failing{
      .count = 1, .each = {1000, 1000, 1}, .estimate = seconds{1}, .required_label = "one"};
  for (const auto* name : {"a", "b", "c"}) {
    fleet.submit(simulated_workers::job(name, 1, failing));
  }
  fleet.advance(milliseconds{500});
  REQUIRE(fleet.starts_on[w1] >= 3);
  for (const auto* name : {"a", "b", "c"}) {
    fleet.cancel(job_id{name});
  }
  worker.fails_every_run = false;
  const auto starts_before = fleet.starts_on[w1];
  auto limited = failing;
  limited.count = 4;
  limited.max_per_worker = 1;
  // The first pause is over, and the last report is too old for a start.
  fleet.advance(milliseconds{3500});
  fleet.restart(w1);
  fleet.submit(simulated_workers::job("d", 1, limited));
  fleet.advance(milliseconds{500});
  CHECK(fleet.starts_on[w1] == starts_before + 1);
  fleet.advance(seconds{6});
  CHECK(fleet.phase("d") == job_phase::complete);
  CHECK(fleet.violations.empty());
}

}  // namespace
}  // namespace rhubarbpath

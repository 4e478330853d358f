#include <catch2/catch.hpp>
#include <chrono>

#include "edge_processes.hpp"
#include "rhubarbpath/protocol/job_rows.hpp"

namespace rhubarbpath::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("job_that_has_ended_is_not_started_again_after_the_history_was_dropped") {
  // Guards against an ended job that runs again: its owner has forgotten it, its rows could not be erased,
  // and after the store dropped its history the owner reads all jobs anew.
  edge_processes vms{1};
  REQUIRE(vms.all_use(1, seconds{20}));
  vms.run_for(seconds{4});
  const job_id job{"5c0e7a21d94b0003"};
  // The watch in progress must end, because it would deliver the row as a new job.
  vms.store().faults.down = true;
  vms.store().faults.leases_paused = true;
  vms.run_for(seconds{1});
  vms.store().put(
      "rhubarb/job/" + job.value(),
      encode_accepted_job({.id = job, .queue = queue_id{"jobs"}, .graph = {.payload = "", .steps = {{}}}}));
  vms.store().put("rhubarb/progress/" + job.value(),
                  encode_job_progress({.job = job, .phase = job_phase::complete, .units = {}}));
  vms.store().compact();
  vms.store().faults.down = false;
  vms.run_for(seconds{3});
  CHECK(vms.job_state(0, job.value()) == "complete");
}

}  // namespace
}  // namespace rhubarbpath::soak

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <chrono>

#include "edge_processes.hpp"
#include "rhubarbpath/protocol/job_rows.hpp"

namespace rhubarbpath::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("owner_starts_large_jobs_that_do_not_fit_one_answer_of_its_watch") {
  // Guards against an owner that never starts jobs again: more large jobs are stored between two watches than
  // one answer may hold.
  edge_processes vms{1};
  vms.add_worker();
  REQUIRE(vms.all_use(1, seconds{20}));
  vms.run_for(seconds{4});
  std::vector<std::string> jobs;
  for (int i = 0; i < 8; ++i) {
    jobs.push_back(fmt::format("5c0e7a21d94b03{:02x}", i));
    vms.workers().register_job(jobs.back(),
                               {{.count = 1, .cpu = 100, .memory_mb = 1, .run_time = milliseconds{500}}});
    const step_spec step{
        .count = 1, .each = {.cpu_millicores = 100, .memory_mb = 1}, .estimate = milliseconds{500}};
    vms.store().put("rhubarb/job/" + jobs.back(),
                    encode_accepted_job({.id = job_id{jobs.back()},
                                         .queue = queue_id{"jobs"},
                                         .graph = {.payload = std::string(900'000, 'x'), .steps = {step}}}));
  }
  vms.run_for(seconds{6});
  for (const auto& job : jobs) {
    INFO(job);
    CHECK(vms.workers().ever_started(job));
  }
}

}  // namespace
}  // namespace rhubarbpath::soak

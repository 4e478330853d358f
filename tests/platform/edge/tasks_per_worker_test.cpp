#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "edge_processes.hpp"
#include "rhubarbpath/transport/http_status.hpp"

namespace rhubarbpath::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("urgent_tasks_that_preempt_keep_the_limit_of_their_step_on_each_worker") {
  // Guards against tasks of one step that all wait for the stops on the same worker.
  edge_processes vms{1};
  for (int i = 0; i < 4; ++i) {
    vms.add_worker();
  }
  REQUIRE(vms.all_use(1, seconds{20}));
  vms.run_for(seconds{4});
  const std::string filling = "5c0e7a21d94b0020";
  const std::string urgent = "5c0e7a21d94b0021";
  constexpr int fill_count = 32;
  vms.workers().register_job(filling,
                             {{.count = fill_count, .cpu = 1000, .memory_mb = 1, .run_time = seconds{60}}});
  vms.workers().register_job(
      urgent, {{.count = 3, .cpu = 600, .memory_mb = 1, .run_time = seconds{2}, .max_per_server = 1}});
  REQUIRE(vms.call_job(0, "POST", filling,
                       R"({"spec":"x","steps":[{"count":32,"cpu":1000,"memMb":1,"estimateMs":60000}]})",
                       seconds{3}) == http_status::ok);
  vms.run_for(seconds{2});
  REQUIRE(vms.workers().runs() == fill_count);
  REQUIRE(vms.call_job(0, "POST", urgent,
                       R"({"spec":"x","steps":[{"count":3,"cpu":600,"memMb":1,"estimateMs":2000,)"
                       R"("maxPerServer":1}]})",
                       seconds{3}, {.queue = urgent_queue}) == http_status::ok);
  vms.run_for(seconds{4});
  CHECK(vms.workers().all_done(urgent));
  CHECK(vms.workers().violations() == std::vector<std::string>{});
}

}  // namespace
}  // namespace rhubarbpath::soak

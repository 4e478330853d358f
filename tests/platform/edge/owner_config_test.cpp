#include <catch2/catch.hpp>
#include <chrono>

#include "edge_processes.hpp"
#include "rhubarbpath/transport/http_status.hpp"

namespace rhubarbpath::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("owner_whose_configuration_may_be_outdated_starts_nothing_until_it_is_confirmed") {
  // Guards against tasks that are started by an older version than the one in force: the owner hears of new
  // jobs, but not of new versions.
  edge_processes vms{1};
  vms.add_worker();
  REQUIRE(vms.all_use(1, seconds{20}));
  vms.run_for(seconds{4});
  const std::string job = "5c0e7a21d94b0004";
  const soak_step step{.count = 1, .cpu = 100, .memory_mb = 1, .run_time = seconds{6}};
  auto second = step;
  second.after = {0};
  vms.workers().register_job(job, {step, second});
  REQUIRE(vms.call_job(0, "POST", job,
                       R"({"spec":"x","steps":[{"count":1,"cpu":100,"memMb":1,"estimateMs":6000},)"
                       R"({"count":1,"cpu":100,"memMb":1,"estimateMs":6000,"after":[0]}]})",
                       seconds{3}) == http_status::ok);
  vms.run_for(seconds{1});
  REQUIRE(vms.workers().running(job));
  vms.store().faults.config_unanswered = true;
  vms.run_for(seconds{7});
  CHECK_FALSE(vms.workers().running(job));
  vms.store().faults.config_unanswered = false;
  vms.run_for(seconds{4});
  CHECK(vms.workers().running(job));
}

}  // namespace
}  // namespace rhubarbpath::soak

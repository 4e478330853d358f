#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <string>

#include "edge_processes.hpp"
#include "rhubarbpath/transport/http_status.hpp"

namespace rhubarbpath::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Nothing of a job may run for at most this long while the fleet has room.
constexpr milliseconds stand_limit{3000};
constexpr milliseconds patience{20'000};
constexpr milliseconds poll_interval{20};
constexpr int all = 100;
const std::string data_rack = "zone-0-r1";
const std::string job = "5c0e7a21d94b0010";
const task_name task{.job = job, .step = 0, .index = 0};

/// One VM and eight workers in four racks of two.
struct racks_fixture {
  racks_fixture() {
    for (int i = 0; i < 8; ++i) {
      vms.add_worker();
    }
    REQUIRE(vms.all_use(1, seconds{20}));
    vms.run_for(seconds{4});
  }
  template <class Condition>
  milliseconds time_until(const Condition& condition) {
    milliseconds waited{0};
    for (; waited < patience && !condition(); waited += poll_interval) {
      vms.run_for(poll_interval);
    }
    return waited;
  }
  void submit() {
    vms.workers().register_job(
        job,
        {{.count = 1, .cpu = 1000, .memory_mb = 1, .run_time = milliseconds{8500}, .data_rack = data_rack}});
    REQUIRE(vms.call_job(0, "POST", job,
                         R"({"spec":"x","steps":[{"count":1,"cpu":1000,"memMb":1,"estimateMs":8500,)"
                         R"("dataRack":"zone-0-r1"}]})",
                         seconds{3}) == http_status::ok);
  }
  /// The first run begins in the rack, and fails.
  void run_once_in_the_rack() {
    for (const auto worker : vms.workers().workers_of_rack(data_rack)) {
      vms.workers().faults(worker).failed_starts_percent = all;
    }
    submit();
    REQUIRE(time_until([&] { return vms.workers().last_run_of(task) != nullptr; }) < stand_limit);
    REQUIRE(vms.workers().last_run_of(task)->rack == data_rack);
  }
  void require_run_elsewhere_in_time() {
    REQUIRE(time_until([&] { return !vms.workers().running(job); }) < stand_limit);
    CHECK(time_until([&] { return vms.workers().running(job); }).count() < stand_limit.count());
    CHECK(vms.workers().last_run_of(task)->rack != data_rack);
  }
  edge_processes vms{1};
};

TEST_CASE_METHOD(racks_fixture, "job_whose_run_failed_in_a_rack_that_refuses_starts_runs_elsewhere_in_time") {
  // Guards against issue 32: a job with nothing running for as long as its data rack refuses its starts.
  run_once_in_the_rack();
  for (const auto worker : vms.workers().workers_of_rack(data_rack)) {
    vms.workers().faults(worker).unhealthy_percent = all;
  }
  require_run_elsewhere_in_time();
}

TEST_CASE_METHOD(racks_fixture, "job_whose_run_failed_in_a_rack_that_left_runs_elsewhere_in_time") {
  // Guards against issue 32: a job that waits for a rack without workers.
  run_once_in_the_rack();
  REQUIRE(time_until([&] { return !vms.workers().running(job); }) < stand_limit);
  for (const auto worker : vms.workers().workers_of_rack(data_rack)) {
    vms.workers().stop(worker, true);
  }
  require_run_elsewhere_in_time();
}

TEST_CASE_METHOD(racks_fixture, "job_whose_data_rack_is_full_runs_elsewhere_in_time") {
  // Guards against issue 32: a job that waits for room in its rack while the fleet is idle.
  const std::string other = "5c0e7a21d94b0011";
  vms.workers().register_job(
      other,
      {{.count = 2, .cpu = 8000, .memory_mb = 1, .run_time = seconds{60}, .required_label = data_rack}});
  REQUIRE(vms.call_job(0, "POST", other,
                       R"({"spec":"x","steps":[{"count":2,"cpu":8000,"memMb":1,"estimateMs":60000,)"
                       R"("requiredLabel":"zone-0-r1"}]})",
                       seconds{3}) == http_status::ok);
  const auto both_run = [&] {
    return vms.workers().running(task_name{.job = other, .step = 0, .index = 0}) &&
           vms.workers().running(task_name{.job = other, .step = 0, .index = 1});
  };
  REQUIRE(time_until(both_run) < stand_limit);
  submit();
  require_run_elsewhere_in_time();
}

}  // namespace
}  // namespace rhubarbpath::soak

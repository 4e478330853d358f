#include <catch2/catch.hpp>
#include <chrono>

#include "edge_processes.hpp"
#include "rhubarbpath/transport/http_status.hpp"

namespace rhubarbpath::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration start_limit{seconds{20}};
constexpr std::string_view job_body =
    R"({"spec":"x","steps":[{"count":1,"cpu":100,"memMb":1,"estimateMs":1000}]})";

struct two_vms_fixture {
  two_vms_fixture() { REQUIRE(vms.all_use(1, start_limit)); }
  edge_processes vms{2};
};

TEST_CASE_METHOD(two_vms_fixture, "job_cancelled_while_its_write_is_on_the_way_is_never_stored") {
  // Guards against a job that runs after its cancellation was answered: the store loses the answer to the
  // job's write and executes it late, and the VM that took the job repeats the write.
  const std::string job = "5c0e7a21d94b0001";
  vms.store().faults.late_writes_percent = 100;
  const auto left = vms.call_job(0, "POST", job, std::string{job_body}, milliseconds{100});
  CHECK(left == 0);
  vms.store().faults.late_writes_percent = 0;
  vms.run_for(milliseconds{350});
  CHECK(vms.call_job(1, "DELETE", job, {}, seconds{3}) == http_status::gone);
  vms.run_for(seconds{6});
  CHECK_FALSE(vms.store().contains("rhubarb/job/" + job));
  // The same request arrives once more, as it may.
  CHECK(vms.call_job(0, "POST", job, std::string{job_body}, seconds{3}) == http_status::gone);
  CHECK_FALSE(vms.store().contains("rhubarb/job/" + job));
}

TEST_CASE_METHOD(two_vms_fixture, "cancellation_of_a_stored_job_is_answered_with_success_each_time") {
  const std::string job = "5c0e7a21d94b0002";
  CHECK(vms.call_job(0, "POST", job, std::string{job_body}, seconds{3}) == http_status::ok);
  CHECK(vms.call_job(1, "DELETE", job, {}, seconds{3}) == http_status::ok);
  CHECK(vms.call_job(0, "DELETE", job, {}, seconds{3}) == http_status::ok);
  CHECK(vms.call_job(1, "POST", job, std::string{job_body}, seconds{3}) == http_status::ok);
}

TEST_CASE_METHOD(two_vms_fixture, "job_of_another_team_is_neither_taken_for_the_callers_own_nor_cancelled") {
  // Guards against a caller who is told that its job is stored while another team's is, and against a team
  // that cancels a job of another.
  const std::string job = "5c0e7a21d94b0005";
  CHECK(vms.call_job(0, "POST", job, std::string{job_body}, seconds{3}) == http_status::ok);
  CHECK(vms.call_job(1, "POST", job, std::string{job_body}, seconds{3}, {.key = "key-b"}) ==
        http_status::conflict);
  CHECK(vms.call_job(1, "DELETE", job, {}, seconds{3}, {.key = "key-b"}) == http_status::gone);
  CHECK_FALSE(vms.store().contains("rhubarb/job/" + job + "/cancel"));
  CHECK(vms.call_job(1, "POST", job, std::string{job_body}, seconds{3}) == http_status::ok);
  CHECK(vms.call_job(1, "DELETE", job, {}, seconds{3}) == http_status::ok);
}

}  // namespace
}  // namespace rhubarbpath::soak

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <chrono>

#include "edge_processes.hpp"
#include "rhubarbpath/transport/http_status.hpp"

namespace rhubarbpath::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

void submit_job(edge_processes& vms, const std::string& job) {
  vms.workers().register_job(job, {{.count = 1, .cpu = 100, .memory_mb = 1, .run_time = seconds{20}}});
  REQUIRE(vms.call_job(0, "POST", job,
                       R"({"spec":"x","steps":[{"count":1,"cpu":100,"memMb":1,"estimateMs":20000}]})",
                       seconds{3}) == http_status::ok);
  vms.run_for(seconds{1});
}

/// Adds a worker, which may get work once the owner has stored its id; returns when the job runs on it.
duration time_until_new_worker_runs(edge_processes& vms, const std::string& job) {
  constexpr duration step{milliseconds{50}};
  constexpr duration limit{seconds{15}};
  vms.add_worker();
  duration waited{0};
  for (; waited < limit && !vms.workers().running(job); waited += step) {
    vms.run_for(step);
  }
  return waited;
}

/// The registry is read every 0.7 s, and nothing may stand for longer than 3 s.
constexpr duration longest_wait{milliseconds{3700}};

TEST_CASE("owner_whose_store_connections_fail_uses_a_new_worker_in_time") {
  // Guards against a write without an answer that keeps new workers from being used.
  const std::string job = "5c0e7a21d94b0005";
  edge_processes vms{1};
  REQUIRE(vms.all_use(1, seconds{20}));
  vms.run_for(seconds{4});
  submit_job(vms, job);
  SECTION("open connections go silent") {
    vms.store_proxy(0).set_mode(proxy_mode::silent);
  }
  SECTION("connections are reset") {
    vms.store_proxy(0).set_mode(proxy_mode::reset);
    vms.run_for(milliseconds{100});
    vms.store_proxy(0).set_mode(proxy_mode::pass);
  }
  CHECK(time_until_new_worker_runs(vms, job) <= longest_wait);
}

TEST_CASE("owner_that_reaches_the_store_through_a_relay_only_uses_a_new_worker_in_time") {
  // Guards against writes that wait for a direct path that is gone.
  const std::string job = "5c0e7a21d94b0006";
  for (std::size_t cut = 0; cut < 2; ++cut) {
    CAPTURE(cut);
    edge_processes vms{2};
    REQUIRE(vms.all_use(1, seconds{20}));
    vms.run_for(seconds{4});
    submit_job(vms, job);
    // Writes are carried out, and their answers are lost.
    vms.store_proxy(cut).set_mode(proxy_mode::one_way);
    CHECK(time_until_new_worker_runs(vms, job) <= longest_wait);
  }
}

TEST_CASE("job_is_stored_when_a_lost_watch_ends_just_before_other_answers_are_lost") {
  // Guards against a watch whose answer was lost seconds ago as evidence that the store does not answer now:
  // with the loss of one more answer, the job was refused.
  edge_processes vms{1};
  REQUIRE(vms.all_use(1, seconds{20}));
  vms.run_for(seconds{2});
  auto& store = vms.store();
  store.faults.unanswered_watches = "rhubarb/owner/";
  constexpr int jobs = 3;
  for (int number = 0; number < jobs; ++number) {
    CAPTURE(number);
    static_cast<void>(store.any_call_given_up());
    constexpr int most_looks = 2000;
    bool given_up = false;
    for (int i = 0; i < most_looks && !given_up; ++i) {
      vms.run_for(milliseconds{5});
      given_up = store.any_call_given_up();
    }
    REQUIRE(given_up);
    store.faults.lost_answers_percent = 100;
    store.run_later(milliseconds{300}, [](store_faults& faults) { faults.lost_answers_percent = 0; });
    CHECK(vms.call_job(0, "POST", fmt::format("5c0e7a21d94b06{:02x}", number),
                       R"({"steps":[{"count":1,"cpu":100,"estimateMs":200}]})", seconds{5},
                       {.timeout_ms = "5000"}) == http_status::ok);
    vms.run_for(seconds{3});
  }
}

}  // namespace
}  // namespace rhubarbpath::soak

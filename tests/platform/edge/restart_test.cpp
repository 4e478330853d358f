#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <nlohmann/json.hpp>

#include "../soak/platform_documents.hpp"
#include "edge_processes.hpp"
#include "rhubarbpath/transport/http_status.hpp"

namespace rhubarbpath::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration start_limit{seconds{20}};
/// The site's bound, as in the settings of the processes.
constexpr duration apply_limit{seconds{2}};
constexpr std::string_view job_body =
    R"({"spec":"x","steps":[{"count":1,"cpu":100,"memMb":1,"estimateMs":1000}]})";

/// Version `number` without the key of the second team.
std::string config_without_key_b(int number) {
  auto config = nlohmann::json::parse(config_text(number));
  config["tenants"][1]["apiKeys"] = nlohmann::json::array();
  return config.dump();
}

TEST_CASE("key_withdrawn_before_a_restart_is_not_accepted_by_a_peers_older_version") {
  // Guards against a withdrawn key that is in use again: a VM restarts, cannot read the configuration, and
  // gets it from a VM that holds the version before.
  edge_processes vms{3};
  REQUIRE(vms.all_use(1, start_limit));
  vms.run_for(seconds{3});
  REQUIRE(vms.call_job(0, "POST", "5c0e7a21d94b0201", std::string{job_body}, seconds{3}, {.key = "key-b"}) ==
          http_status::ok);
  // The answer to its watch would wait for it.
  vms.store_proxy(2).set_mode(proxy_mode::silent);
  vms.send(2, SIGSTOP);
  vms.store().put("op/config", config_without_key_b(2));
  REQUIRE(vms.uses(0, 2, apply_limit));
  CHECK(vms.call_job(0, "POST", "5c0e7a21d94b0202", std::string{job_body}, seconds{3}, {.key = "key-b"}) ==
        http_status::unauthorized);
  vms.send(1, SIGSTOP);
  vms.kill(0);
  vms.run_for(apply_limit);
  vms.store().faults.config_unanswered = true;
  vms.store_proxy(2).set_mode(proxy_mode::pass);
  vms.send(2, SIGCONT);
  vms.start(0);
  REQUIRE(vms.uses(0, 1, start_limit));
  REQUIRE(vms.query_status(0, 2) != http_status::gone);
  for (int i = 0; i < 30; ++i) {
    CHECK(vms.call_job(0, "POST", "5c0e7a21d94b0203", std::string{job_body}, seconds{3}, {.key = "key-b"}) !=
          http_status::ok);
    vms.run_for(milliseconds{100});
  }
  vms.store().faults.config_unanswered = false;
  vms.run_for(apply_limit);
  CHECK(vms.call_job(0, "POST", "5c0e7a21d94b0204", std::string{job_body}, seconds{3}, {.key = "key-b"}) ==
        http_status::unauthorized);
}

TEST_CASE("key_withdrawn_while_its_vm_was_down_is_refused_after_the_start") {
  // Guards against a withdrawn key that is in use again when the VM is refused by the store after its start
  // and reads through another VM that was paused.
  edge_processes vms{2};
  REQUIRE(vms.all_use(1, start_limit));
  vms.run_for(seconds{3});
  vms.kill(0);
  vms.send(1, SIGSTOP);
  vms.store().put("op/config", config_without_key_b(2));
  vms.run_for(apply_limit);
  vms.store_proxy(0).set_mode(proxy_mode::reset);
  vms.send(1, SIGCONT);
  vms.start(0);
  const std::string job = "5c0e7a21d94b0205";
  int status = 0;
  for (int i = 0; i < 100 && status != http_status::unauthorized; ++i) {
    status = vms.call_job(0, "POST", job, std::string{job_body}, seconds{3}, {.key = "key-b"});
    CHECK(status != http_status::ok);
    vms.run_for(milliseconds{100});
  }
  CHECK(status == http_status::unauthorized);
  CHECK_FALSE(vms.store().contains("rhubarb/job/" + job));
}

TEST_CASE("worker_that_left_gets_no_start_after_the_owner_restarts") {
  // Guards against a worker that had left in use again: it is in the rows of the owner before, and still
  // answers at its address.
  edge_processes vms{1};
  vms.add_worker();
  vms.add_worker();
  REQUIRE(vms.all_use(1, start_limit));
  vms.run_for(seconds{4});
  const soak_step whole_worker{.count = 2, .cpu = 8000, .memory_mb = 1, .run_time = seconds{1}};
  const std::string body = R"({"spec":"x","steps":[{"count":2,"cpu":8000,"memMb":1,"estimateMs":1000}]})";
  const auto run_job = [&](const std::string& job, duration limit) {
    vms.workers().register_job(job, {whole_worker});
    REQUIRE(vms.call_job(0, "POST", job, body, seconds{3}) == http_status::ok);
    for (duration passed{}; passed < limit && !vms.workers().all_done(job); passed += milliseconds{100}) {
      vms.run_for(milliseconds{100});
    }
    return vms.workers().workers_of(job);
  };
  REQUIRE(run_job("5c0e7a21d94b0211", seconds{3}).size() == 2);
  vms.workers().drain(0, milliseconds{100});
  vms.workers().faults(0).store_unreachable = true;
  vms.run_for(seconds{4});
  REQUIRE_FALSE(vms.store().contains("servers/w-00"));
  vms.kill(0);
  vms.start(0);
  REQUIRE(vms.uses(0, 1, start_limit));
  CHECK(run_job("5c0e7a21d94b0212", seconds{16}) == std::set<std::string>{"w-01"});
  CHECK(vms.workers().all_done("5c0e7a21d94b0212"));
}

}  // namespace
}  // namespace rhubarbpath::soak

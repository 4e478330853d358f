#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "../edge/edge_processes.hpp"
#include "crowd_fixture.hpp"
#include "reading_crowd.hpp"
#include "rhubarbpath/transport/http_status.hpp"

// Callers that read every answer and send the next request at once, each request inside the limits. The store
// takes a limited number of calls from all VMs together, which the crowd would use up alone.

namespace rhubarbpath::soak {
namespace {

/// A tenth of what the store of a small site takes, so that a small crowd goes far beyond it.
constexpr vm_limits vm_with_slow_store{
    .memory_mb = 120, .max_descriptors = 400, .rates = {.reads = 200, .writes = 40}};

std::string job_number(std::string_view prefix, int number) {
  return fmt::format("{}{:0{}x}", prefix, number, 16 - prefix.size());
}

http_request job_request(std::string method, std::string_view queue, const std::string& id,
                         std::string body = {}) {
  return {.method = std::move(method),
          .path = std::string{queue} + id,
          .query = {},
          .headers = {{"Host", std::string{caller_host}},
                      {"Key", "key-a"},
                      {"Content-Type", "application/json"},
                      {"Timeout-Ms", "300"}},
          .body = std::move(body)};
}

class store_share_fixture {
 public:
  explicit store_share_fixture(int vms_of_site, vm_limits limits = vm_with_slow_store)
      : vms{vms_of_site, limits} {
    REQUIRE(vms.all_use(1, start_limit));
    vms.add_worker();
    // An owner is there, and a worker that it uses.
    run_job("5c0e7a21da000000");
  }

  /// Sends crowds of the same kind to all VMs. While they send, the VMs are ready, and jobs of the other team
  /// are stored, run and end; so is one after it.
  void play_and_check(const std::function<http_request(int)>& request) {
    std::vector<std::unique_ptr<reading_crowd>> crowds;
    for (std::size_t vm = 0; vm < vms.size(); ++vm) {
      const auto first = static_cast<int>(vm) << 20U;
      crowds.push_back(std::make_unique<reading_crowd>(
          vms.loop(), fmt::format("{}:{}", vms.address(vm), caller_port),
          reading_load{.request = [request, first](int number) { return request(first + number); }}));
    }
    constexpr int rounds = 5;
    for (int round = 1; round <= rounds; ++round) {
      vms.run_for(seconds{2});
      run_job(job_number("5c0e7a21da1", round));
      CHECK(all_ready());
    }
    std::string answers;
    for (const auto& crowd : crowds) {
      for (const auto& [status, count] : crowd->answers()) {
        answers += fmt::format("{}: {}  ", status, count);
      }
    }
    crowds.clear();
    CAPTURE(answers);
    for (std::size_t vm = 0; vm < vms.size(); ++vm) {
      CAPTURE(vm);
      REQUIRE(vms.alive(vm));
      CHECK(memory_of(vms.process_id(vm)).highest < memory_limit);
      CHECK(open_descriptors(vms.process_id(vm)) <
            static_cast<std::size_t>(vm_with_slow_store.max_descriptors));
    }
    run_job("5c0e7a21da200000");
    CHECK(vms.workers().violations().empty());
  }

  edge_processes vms;

 private:
  /// Whether the balancer would keep sending callers to each VM, as one that probes a few times.
  bool all_ready() {
    constexpr int tries = 5;
    for (std::size_t vm = 0; vm < vms.size(); ++vm) {
      int status = 0;
      for (int i = 0; i < tries && status != http_status::ok; ++i) {
        vms.run_for(milliseconds{i == 0 ? 0 : 1000});
        status = vms.get_status(vm, ready_port, "/api/ready");
      }
      if (status != http_status::ok) {
        return false;
      }
    }
    return true;
  }

  /// Submits a job of the other team, as a caller that tries again at each VM in turn.
  void run_job(const std::string& id) {
    check_other_team_is_served(vms, id,
                               [this](int number) { return static_cast<std::size_t>(number) % vms.size(); });
  }
};

class one_vm_fixture : public store_share_fixture {
 public:
  one_vm_fixture() : store_share_fixture{1} {}
};

class three_vms_fixture : public store_share_fixture {
 public:
  three_vms_fixture() : store_share_fixture{3} {}
};

/// With the rates of a small site.
class small_site_fixture : public store_share_fixture {
 public:
  small_site_fixture()
      : store_share_fixture{
            1, {.memory_mb = 120, .max_descriptors = 400, .rates = {.reads = 2000, .writes = 400}}} {}
};

http_request query_of_unknown_job(int number) {
  return job_request("GET", normal_queue, job_number("5c0e7a21db", number));
}

http_request query_without_key(int number) {
  auto request = job_request("GET", "/probe-1/", job_number("5c0e7a21db", number));
  std::erase_if(request.headers, [](const auto& header) { return header.first == "Key"; });
  return request;
}

http_request cancellation_of_unknown_job(int number) {
  return job_request("DELETE", normal_queue, job_number("5c0e7a21dc", number));
}

http_request job_for_no_worker(int number) {
  return job_request("POST", normal_queue, job_number("5c0e7a21dd", number),
                     R"({"spec":"x","steps":[{"count":1,"cpu":100,"requiredLabel":"none"}]})");
}

TEST_CASE_METHOD(one_vm_fixture, "owner_serves_other_callers_under_a_flood_of_queries_of_unknown_jobs") {
  // Guards against an owner whose own calls the store refuses, because its callers have used up the rate.
  play_and_check(query_of_unknown_job);
}

TEST_CASE_METHOD(one_vm_fixture, "owner_serves_other_callers_under_a_flood_of_queries_without_a_key") {
  // Guards against the same where the callers of an open queue name no team.
  play_and_check(query_without_key);
}

TEST_CASE_METHOD(one_vm_fixture, "owner_serves_other_callers_under_a_flood_of_cancellations") {
  // Guards against the same for writes: a cancellation of a job that nobody knows is stored too.
  play_and_check(cancellation_of_unknown_job);
}

TEST_CASE_METHOD(one_vm_fixture, "owner_serves_other_callers_under_a_flood_of_small_jobs") {
  // Guards against the same for jobs, each of which costs the owner little.
  play_and_check(job_for_no_worker);
}

TEST_CASE_METHOD(small_site_fixture, "owner_keeps_its_bounds_under_a_flood_of_jobs_below_the_reservation") {
  // Guards against jobs that are stored without asking the owner, faster than it learns that a team is full.
  std::string steps = R"({"count":9,"cpu":100,"requiredLabel":"none"})";
  constexpr int most_steps = 50;
  for (int step = 1; step < most_steps; ++step) {
    steps += "," + steps.substr(0, steps.find('}') + 1);
  }
  play_and_check([&](int number) {
    auto request = job_for_no_worker(number);
    request.body = R"({"spec":"x","steps":[)" + steps + "]}";
    return request;
  });
}

TEST_CASE_METHOD(small_site_fixture, "vm_keeps_its_bounds_under_clients_that_connect_for_each_request") {
  // Guards against connections whose end is noticed later than the next ones come.
  play_and_check([](int number) {
    auto request = query_of_unknown_job(number);
    request.headers.emplace_back("Connection", "close");
    return request;
  });
}

TEST_CASE_METHOD(three_vms_fixture, "vms_serve_other_callers_under_floods_of_queries_at_all_of_them") {
  // Guards against bounds that each VM keeps alone and that together are above what the store takes.
  play_and_check(query_of_unknown_job);
}

TEST_CASE_METHOD(three_vms_fixture, "vms_serve_other_callers_under_floods_of_small_jobs_at_all_of_them") {
  // Guards against the same for writes.
  play_and_check(job_for_no_worker);
}

}  // namespace
}  // namespace rhubarbpath::soak

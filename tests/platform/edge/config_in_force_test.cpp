#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>

#include "edge_processes.hpp"
#include "rhubarbpath/transport/http_status.hpp"

namespace rhubarbpath::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The site's bound, as in the settings of the processes.
constexpr duration apply_limit{seconds{2}};
constexpr duration start_limit{seconds{20}};

struct edge_fleet_fixture {
  /// Waits until all VMs use the first version and know each other.
  void start() {
    REQUIRE(vms.all_use(1, start_limit));
    vms.run_for(seconds{3});
  }
  /// Returns the VM whose number of relayed calls grows.
  std::size_t find_relay() {
    std::vector<int> before;
    for (std::size_t vm = 0; vm < vms.size(); ++vm) {
      before.push_back(vms.relayed_calls(vm));
    }
    vms.run_for(seconds{4});
    std::size_t relay = 0;
    int most = 0;
    for (std::size_t vm = 0; vm < vms.size(); ++vm) {
      const auto grown = vms.relayed_calls(vm) - before[vm];
      if (grown > most) {
        most = grown;
        relay = vm;
      }
    }
    REQUIRE(most > 0);
    return relay;
  }

  edge_processes vms{4};
};

TEST_CASE_METHOD(edge_fleet_fixture, "vm_refused_by_the_store_whose_relay_stops_uses_a_version_in_time") {
  start();
  vms.store_proxy(0).set_mode(proxy_mode::reset);
  const auto relay = find_relay();
  REQUIRE(relay != 0);
  // VM 0 has just been told of version 2, so its next watch has just been relayed.
  vms.put_config(2);
  REQUIRE(vms.all_use(2, apply_limit));
  vms.send(relay, SIGSTOP);
  vms.put_config(3);
  CHECK(vms.uses(0, 3, apply_limit));
}

TEST_CASE_METHOD(edge_fleet_fixture, "vm_cut_off_from_everyone_refuses_no_queue_as_unknown") {
  start();
  vms.store_proxy(0).set_mode(proxy_mode::blocked);
  for (std::size_t vm = 1; vm < vms.size(); ++vm) {
    vms.send(vm, SIGSTOP);
  }
  vms.put_config(2);
  vms.run_for(apply_limit);
  for (int i = 0; i < 10; ++i) {
    const auto result = vms.query_version(0, 2);
    const auto* response = std::get_if<http_response>(&result);
    REQUIRE(response != nullptr);
    CHECK(response->status == http_status::service_unavailable);
    CHECK(header_value(response->headers, "Retry-After") != "");
    vms.run_for(milliseconds{100});
  }
}

TEST_CASE_METHOD(edge_fleet_fixture, "vm_that_was_paused_refuses_no_queue_that_was_added_meanwhile") {
  start();
  vms.send(0, SIGSTOP);
  vms.store_proxy(0).set_mode(proxy_mode::silent);
  vms.put_config(2);
  vms.run_for(apply_limit + seconds{1});
  vms.store_proxy(0).set_mode(proxy_mode::pass);
  vms.send(0, SIGCONT);
  CHECK(vms.query_status(0, 2) == http_status::gone);
}

}  // namespace
}  // namespace rhubarbpath::soak

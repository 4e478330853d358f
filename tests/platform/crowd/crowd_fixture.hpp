#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "../edge/edge_processes.hpp"
#include "hostile_crowd.hpp"
#include "rhubarbpath/transport/http_status.hpp"

namespace rhubarbpath::soak {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr duration start_limit{seconds{20}};
/// Those of the smallest VM that is served, but for the descriptors, which are fewer to keep crowds small.
inline constexpr vm_limits smallest_vm{.memory_mb = 120, .max_descriptors = 400};
inline constexpr std::uint64_t memory_limit = std::uint64_t{120} << 20U;
inline constexpr std::size_t megabyte = 1U << 20U;
inline constexpr std::uint16_t metrics_port = 7001;
/// The limit of the configuration for the body of one request.
inline constexpr std::size_t largest_body = 1'000'000;
inline std::string opening(const std::string& method, const std::string& path, const std::string& headers) {
  return fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nKey: key-a\r\n{}", method, path, caller_host, headers);
}

inline std::string get(const std::string& path) {
  return opening("GET", path, "\r\n");
}

/// Checks that a job of the second team, which no crowd belongs to, is stored, runs and ends. Its caller
/// tries again, each time at the VM that `vm_of_try` names.
inline void check_other_team_is_served(edge_processes& vms, const std::string& id,
                                       const std::function<std::size_t(int)>& vm_of_try) {
  CAPTURE(id);
  vms.workers().register_job(id, {{.count = 1, .cpu = 100, .run_time = milliseconds{200}}});
  constexpr int tries = 20;
  int status = 0;
  for (int i = 0; i < tries && status != http_status::ok; ++i) {
    status = vms.call_job(vm_of_try(i), "POST", id, R"({"steps":[{"count":1,"cpu":100,"estimateMs":200}]})",
                          seconds{20}, {.key = "key-b", .queue = urgent_queue, .timeout_ms = "5000"});
    vms.run_for(milliseconds{status == http_status::ok ? 0 : 500});
  }
  CHECK(status == http_status::ok);
  // Long enough for the slowest machine; an owner that hangs never starts it.
  constexpr int most_looks = 1200;
  for (int i = 0; i < most_looks && !vms.workers().all_done(id); ++i) {
    vms.run_for(milliseconds{50});
  }
  CHECK(vms.workers().all_done(id));
}

/// One `rhubarb-edge` process of the smallest VM, and the crowds that send to it.
class crowd_fixture {
 public:
  crowd_fixture() { REQUIRE(vms.all_use(1, start_limit)); }

  /// Lets the crowd send until it is done, or until the process has taken nothing more for some time.
  void play(hostile_load load) {
    crowds_.push_back(std::make_unique<hostile_crowd>(vms.address(0), std::move(load)));
    auto& crowd = *crowds_.back();
    constexpr int max_idle_steps = 200;
    constexpr int steps_per_look = 10;
    int idle_steps = 0;
    for (int step = 0; idle_steps < max_idle_steps && !crowd.finished() && vms.alive(0); ++step) {
      idle_steps = crowd.step() > 0 ? 0 : idle_steps + 1;
      vms.run_for(milliseconds{5});
      if (step % steps_per_look == 0) {
        look();
      }
    }
    look();
  }

  /// Checks the bounds and that each port still answers an ordinary request.
  void check() {
    look();
    CAPTURE(highest_, unread_at_highest_, memory_of(vms.process_id(0)).highest, most_descriptors_);
    REQUIRE(vms.alive(0));
    CHECK(highest_ < memory_limit);
    CHECK(memory_of(vms.process_id(0)).highest < memory_limit);
    CHECK(most_descriptors_ < static_cast<std::size_t>(smallest_vm.max_descriptors));
    CHECK(answers([this] { return vms.query_status(0, 1) == http_status::gone; }));
    CHECK(answers([this] { return vms.get_status(0, ready_port, "/api/ready") == http_status::ok; }));
    CHECK(answers([this] { return vms.send_as_peer(0, "/greet", {}) == http_status::ok; }));
    CHECK(answers([this] { return vms.get_status(0, metrics_port, "/metrics") == http_status::ok; }));
    CHECK(vms.alive(0));
  }

  edge_processes vms{1, smallest_vm};

 protected:
  /// Measures the process once.
  void look() {
    const auto process = vms.process_id(0);
    const auto unread = unread_bytes(vms.address(0));
    if (const auto kept = memory_of(process).resident + unread; kept > highest_) {
      highest_ = kept;
      unread_at_highest_ = unread;
    }
    most_descriptors_ = std::max(most_descriptors_, open_descriptors(process));
  }

  /// A caller that is refused or cut off tries again a few times.
  template <class Call>
  bool answers(Call call) {
    constexpr int tries = 5;
    for (int i = 0; i < tries; ++i) {
      if (call()) {
        return true;
      }
      vms.run_for(seconds{1});
    }
    return false;
  }

 private:
  std::vector<std::unique_ptr<hostile_crowd>> crowds_;
  std::uint64_t highest_{0};  ///< Resident and unread bytes together.
  std::uint64_t unread_at_highest_{0};
  std::size_t most_descriptors_{0};
};

}  // namespace rhubarbpath::soak

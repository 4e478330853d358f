#include <fmt/format.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

#include "../soak/edge_process.hpp"
#include "hostile_crowd.hpp"
#include "rhubarbpath/transport/http_client.hpp"
#include "rhubarbpath/transport/http_status.hpp"

// Clients that keep to no limit against rhubarb-entry and rhubarb-scheduler: the process goes on, within the
// memory that a daemon may take and the descriptors that it may open, and an ordinary request is answered
// while the crowd stays connected.

namespace rhubarbpath::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// What a daemon may take for control (docs/design.md 1.6).
constexpr std::uint64_t memory_limit = std::uint64_t{128} << 20U;
constexpr std::size_t megabyte = 1U << 20U;
constexpr std::uint16_t entry_port = 8001;
constexpr std::uint16_t scheduler_port = 8003;
/// Few, to keep the crowd small.
constexpr rlim_t descriptor_limit = 600;

std::filesystem::path make_folder() {
  auto pattern = (std::filesystem::temp_directory_path() / "rhubarb-entry-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error{"cannot create a temporary folder"};
  }
  return pattern;
}

std::string program_path(const std::string& program) {
  const char* folder = std::getenv("RHUBARBPATH_BIN");
  return (folder != nullptr ? std::string{folder} : std::string{"build"}) + "/" + program;
}

/// One process of a daemon whose store is out of reach.
class daemon_crowd_fixture {
 public:
  daemon_crowd_fixture(const std::string& program, std::uint16_t port)
      : port_{port},
        process_{program_path(program), (folder_ / "vm.yaml").string(), (folder_ / "vm.log").string()} {
    std::signal(SIGPIPE, SIG_IGN);
    std::ofstream{folder_ / "vm.yaml"} << fmt::format(
        "vm: vm1\nfailure_domain: domain-a\nenvironment: production\nentry_http: {0}:{1}\n"
        "entry_peer: {0}:8002\nscheduler_http: {0}:{2}\nscheduler_peer: {0}:8004\nstore: {0}:8005\n"
        "log_level: info\npeers: []\n",
        address_, entry_port, scheduler_port);
    start_with_few_descriptors();
    REQUIRE(answers(seconds{20}));
  }
  daemon_crowd_fixture(const daemon_crowd_fixture&) = delete;
  daemon_crowd_fixture(daemon_crowd_fixture&&) = delete;
  daemon_crowd_fixture& operator=(const daemon_crowd_fixture&) = delete;
  daemon_crowd_fixture& operator=(daemon_crowd_fixture&&) = delete;
  ~daemon_crowd_fixture() {
    std::error_code error;
    std::filesystem::remove_all(folder_, error);
  }

  /// Lets the crowd send until it is done, or until the process has taken nothing more for some time. Then
  /// checks the bounds, and that an ordinary request is answered.
  void play_and_check(hostile_load load) {
    load.port = port_;
    hostile_crowd crowd{address_, std::move(load)};
    constexpr int max_idle_steps = 200;
    constexpr int steps_per_look = 10;
    int idle_steps = 0;
    for (int step = 0; idle_steps < max_idle_steps && !crowd.finished() && runs(); ++step) {
      idle_steps = crowd.step() > 0 ? 0 : idle_steps + 1;
      run_for(milliseconds{5});
      if (step % steps_per_look == 0) {
        look();
      }
    }
    run_for(seconds{1});
    look();
    CAPTURE(most_descriptors_);
    REQUIRE(runs());
    CHECK(memory_of(process_.id()).highest < memory_limit);
    CHECK(most_descriptors_ < descriptor_limit);
    CHECK(answers(seconds{5}));
    CHECK(runs());
  }

 private:
  void start_with_few_descriptors() {
    rlimit before{};
    REQUIRE(getrlimit(RLIMIT_NOFILE, &before) == 0);
    auto few = before;
    few.rlim_cur = std::min(descriptor_limit, before.rlim_max);
    REQUIRE(setrlimit(RLIMIT_NOFILE, &few) == 0);
    const bool started = process_.start();
    REQUIRE(setrlimit(RLIMIT_NOFILE, &before) == 0);
    REQUIRE(started);
  }

  bool runs() {
    static_cast<void>(process_.reap());
    return process_.alive();
  }

  void look() { most_descriptors_ = std::max(most_descriptors_, open_descriptors(process_.id())); }

  void run_for(duration length) {
    const auto timer = loop_.run_after(length, [this] { loop_.stop(); });
    loop_.run();
  }

  /// Whether an ordinary request is answered; a caller that is cut off tries again until `limit` has passed.
  bool answers(duration limit) {
    for (const auto until = loop_.now() + limit; loop_.now() < until; run_for(milliseconds{100})) {
      std::optional<http_result> answer;
      client_.call(fmt::format("{}:{}", address_, port_),
                   {.method = "GET", .path = "/v1/status", .query = {}, .headers = {}, .body = {}},
                   seconds{3}, [&](http_result result) {
                     answer = std::move(result);
                     loop_.stop();
                   });
      while (!answer) {
        loop_.run();
      }
      if (const auto* response = std::get_if<http_response>(&*answer);
          response != nullptr && response->status == http_status::ok) {
        return true;
      }
    }
    return false;
  }

  std::filesystem::path folder_{make_folder()};
  /// Test programs that run at the same time use different loopback networks.
  std::string address_{fmt::format("127.{}.{}.10", 16 + getpid() % 200, 1 + getpid() / 200 % 250)};
  event_loop loop_;
  http_client client_{loop_, {}};
  std::uint16_t port_;
  edge_process process_;
  std::size_t most_descriptors_{0};
};

class entry_crowd_fixture : public daemon_crowd_fixture {
 public:
  entry_crowd_fixture() : daemon_crowd_fixture{"rhubarb-entry", entry_port} {}
};

class scheduler_crowd_fixture : public daemon_crowd_fixture {
 public:
  scheduler_crowd_fixture() : daemon_crowd_fixture{"rhubarb-scheduler", scheduler_port} {}
};

TEST_CASE_METHOD(entry_crowd_fixture, "entry_keeps_its_bounds_under_requests_sent_ahead") {
  // Guards against requests that are read while the answers before them are unread.
  play_and_check({.opening = {},
                  .repeated = "GET /v1/status HTTP/1.1\r\nHost: entry\r\n\r\n",
                  .bytes_per_client = 8 * megabyte});
}

TEST_CASE_METHOD(entry_crowd_fixture, "entry_keeps_its_bounds_under_chunked_bodies_without_end") {
  // Guards against bodies each of which is inside the limit and that together take more than the daemon may.
  play_and_check({.clients = 200,
                  .opening = "POST /v1/jobs HTTP/1.1\r\nHost: entry\r\nTransfer-Encoding: chunked\r\n\r\n",
                  .repeated = "1000\r\n" + std::string(4096, 'x') + "\r\n",
                  .bytes_per_client = megabyte,
                  .connections_per_client = 1});
}

TEST_CASE_METHOD(entry_crowd_fixture, "entry_keeps_its_bounds_under_idle_connections") {
  // Guards against connections that use up the descriptors, so that the store and callers are out of reach.
  play_and_check(
      {.clients = 700, .opening = {}, .repeated = {}, .bytes_per_client = 1, .connections_per_client = 1});
}

TEST_CASE_METHOD(scheduler_crowd_fixture, "scheduler_keeps_its_bounds_under_requests_sent_ahead") {
  // Guards against requests that are read while the answers before them are unread.
  play_and_check({.opening = {},
                  .repeated = "GET /v1/status HTTP/1.1\r\nHost: scheduler\r\n\r\n",
                  .bytes_per_client = 8 * megabyte});
}

TEST_CASE_METHOD(scheduler_crowd_fixture, "scheduler_keeps_its_bounds_under_chunked_bodies_without_end") {
  // Guards against bodies each of which is inside the limit and that together take more than the daemon may.
  play_and_check(
      {.clients = 200,
       .opening = "POST /nowhere HTTP/1.1\r\nHost: scheduler\r\nTransfer-Encoding: chunked\r\n\r\n",
       .repeated = "1000\r\n" + std::string(4096, 'x') + "\r\n",
       .bytes_per_client = megabyte,
       .connections_per_client = 1});
}

TEST_CASE_METHOD(scheduler_crowd_fixture, "scheduler_keeps_its_bounds_under_idle_connections") {
  // Guards against connections that use up the descriptors, so that the store and callers are out of reach.
  play_and_check(
      {.clients = 700, .opening = {}, .repeated = {}, .bytes_per_client = 1, .connections_per_client = 1});
}

}  // namespace
}  // namespace rhubarbpath::soak

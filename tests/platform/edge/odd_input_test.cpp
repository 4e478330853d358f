#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <chrono>

#include "edge_processes.hpp"
#include "rhubarbpath/transport/http_status.hpp"

namespace rhubarbpath::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration start_limit{seconds{20}};
/// A job must not stand longer while a worker has room for it.
constexpr duration standing_limit{seconds{3}};
/// The site's bound, as in the settings of the processes.
constexpr duration apply_limit{seconds{2}};
constexpr std::string_view job_body =
    R"({"spec":"x","steps":[{"count":1,"cpu":100,"memMb":1,"estimateMs":1000}]})";

std::string nested(std::size_t levels) {
  return std::string(levels, '[') + std::string(levels, ']');
}

/// Texts that are no worker to use, as another writer may leave them.
std::vector<std::string> odd_entries() {
  const std::string fields = R"("service":"render","zone":"zone-0","version":"v1","slots":8,"state":"ready",)"
                             R"("coldRemainingMs":0,"seq":1,"labels":["kind-a","zone-0-r1"])";
  const std::string capacity = R"("capacity":{"cpu":8000,"memMb":16000,"gpu":4})";
  std::vector<std::string> entries{nested(100'000), R"({"address":)" + nested(100'000) + "}",
                                   "\xff\xfe\x00\x80", std::string(1'000'000, 'x'),
                                   "{\"service\":\"" + std::string(1'000'000, 'x') + "\"}"};
  for (const auto* number : {"1e400", "-1e400", "1e300", "-1", "9223372036854775808", "18446744073709551616",
                             "123456789012345678901234567890"}) {
    entries.push_back(
        fmt::format(R"({{{},"address":"127.0.0.1:9","born":1,"capacity":{{"cpu":{},"memMb":1,"gpu":4}}}})",
                    fields, number));
    entries.push_back(
        fmt::format(R"({{{},{},"address":"127.0.0.1:9","born":{}}})", fields, capacity, number));
  }
  for (const auto* address :
       {"127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:18446744073709551695", "worker"}) {
    entries.push_back(fmt::format(R"({{{},{},"address":"{}","born":1}})", fields, capacity, address));
  }
  for (int i = 0; entries.size() < 300; ++i) {
    entries.push_back(nested(static_cast<std::size_t>(i) * 10));
  }
  return entries;
}

TEST_CASE("owner_starts_jobs_beside_hundreds_of_odd_worker_entries") {
  // Guards against a process that ends, or stops following the list of workers, because of an odd entry:
  // present when an owner first reads the list, and written while it follows the list.
  edge_processes vms{2};
  const auto entries = odd_entries();
  for (std::size_t i = 0; i < entries.size() / 2; ++i) {
    vms.store().put(fmt::format("servers/a-{}", i), entries[i]);
  }
  vms.add_worker();
  REQUIRE(vms.all_use(1, start_limit));
  vms.run_for(seconds{4});
  const auto run_job = [&](const std::string& job) {
    vms.workers().register_job(job, {{.count = 1, .cpu = 100, .memory_mb = 1, .run_time = seconds{1}}});
    REQUIRE(vms.call_job(0, "POST", job, std::string{job_body}, seconds{3}) == http_status::ok);
    vms.run_for(standing_limit);
    CHECK(vms.workers().ever_started(job));
  };
  run_job("5c0e7a21d94b0101");
  for (std::size_t i = entries.size() / 2; i < entries.size(); ++i) {
    vms.store().put(fmt::format("servers/a-{}", i), entries[i]);
  }
  vms.run_for(seconds{2});
  vms.add_worker();
  run_job("5c0e7a21d94b0102");
  for (std::size_t vm = 0; vm < vms.size(); ++vm) {
    CHECK(vms.alive(vm));
  }
}

TEST_CASE("vm_uses_the_next_version_after_an_odd_configuration") {
  // Guards against a process that ends, or takes no later version, because of a configuration that is deeply
  // nested or has a version out of range.
  edge_processes vms{1};
  REQUIRE(vms.all_use(1, start_limit));
  int number = 1;
  for (const auto& odd :
       {nested(100'000), R"({"version":)" + nested(100'000) + "}",
        R"({"version":9,"routes":)" + nested(100'000) + "}", std::string{R"({"version":-1,"routes":[]})"},
        std::string{R"({"version":1e18,"routes":7})"}, std::string{R"({"version":1e400})"},
        std::string{R"({"version":9223372036854775808})"}, std::string{"\xff\xfe"}}) {
    INFO(odd.substr(0, 60));
    vms.store().put("op/config", odd);
    vms.run_for(milliseconds{300});
    vms.put_config(++number);
    CHECK(vms.uses(0, number, apply_limit));
    CHECK(vms.alive(0));
  }
}

TEST_CASE("vm_survives_malformed_messages_of_peers") {
  // Guards against one message that ends a process: nested so deeply that the parser's stack overflows, or
  // with a length that makes it throw.
  edge_processes vms{1};
  REQUIRE(vms.all_use(1, start_limit));
  for (const auto& body :
       {std::string(1'000'000, '\x81'), "\x9b" + std::string(8, '\xff'), "\xbb" + std::string(8, '\xff'),
        "\x7b" + std::string(8, '\xff'), std::string(1'000'000, '\x9f'), std::string(1'000'000, '\xc1')}) {
    INFO("first byte " << static_cast<int>(static_cast<unsigned char>(body[0])));
    for (const auto* path : {"/greet", "/config", "/owner/job/5c0e7a21d94b0001", "/relay/api/kv-txn"}) {
      static_cast<void>(vms.send_as_peer(0, path, body));
    }
    CHECK(vms.alive(0));
    CHECK(vms.query_status(0, 1) == http_status::gone);
  }
}

TEST_CASE("vm_refuses_malformed_jobs_and_goes_on") {
  // Guards against a body of a caller that ends a process.
  edge_processes vms{1};
  REQUIRE(vms.all_use(1, start_limit));
  for (const auto& body :
       {nested(400'000), R"({"spec":)" + nested(400'000) + "}",
        R"({"steps":[{"after":)" + nested(400'000) + "}]}",
        R"({"steps":[{"count":)" + nested(400'000) + "}]}", std::string{R"({"steps":[{"count":1e400}]})"},
        std::string{R"({"steps":[{"count":9223372036854775808}]})"},
        std::string{R"({"steps":[{"count":-1}]})"},
        std::string{R"({"startAtMs":1e300,"steps":[{"count":1}]})"},
        std::string{"{\"spec\":\"\xff\",\"steps\":[{}]}"}}) {
    INFO(body.substr(0, 60));
    CHECK(vms.call_job(0, "POST", "5c0e7a21d94b0103", body, seconds{3}) == http_status::bad_request);
    CHECK(vms.alive(0));
  }
}

TEST_CASE("caller_with_a_timeout_out_of_range_is_served_like_a_patient_one") {
  // Guards against a caller whose call counts as late from the start, because its timeout overflows: the
  // store loses the answer to the write, so the call has to be repeated.
  edge_processes vms{1};
  REQUIRE(vms.all_use(1, start_limit));
  vms.run_for(seconds{2});
  int number = 0;
  for (const auto* timeout_ms : {"60000", "9223372036854775807", "9223372036854775"}) {
    INFO(timeout_ms);
    vms.store().faults.lost_answers_percent = 100;
    vms.store().run_later(milliseconds{300}, [](store_faults& faults) { faults.lost_answers_percent = 0; });
    const auto job = fmt::format("5c0e7a21d94b04{:02x}", ++number);
    CHECK(vms.call_job(0, "POST", job, std::string{job_body}, seconds{5}, {.timeout_ms = timeout_ms}) ==
          http_status::ok);
    // New writes wait until the store has answered again for some time.
    vms.run_for(seconds{3});
  }
}

}  // namespace
}  // namespace rhubarbpath::soak

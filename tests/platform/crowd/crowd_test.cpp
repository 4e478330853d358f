#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "crowd_fixture.hpp"

// Clients that keep to no limit: the process goes on, within the memory and the descriptors that its settings
// state, and ordinary callers get answers while the crowd stays connected.

namespace rhubarbpath::soak {
namespace {

const std::string job_path = "/jobs/5c0e7a21d94b0901";

/// A valid job with as many steps as fit into `size` bytes, filled up to exactly that size.
std::string job_of_size(std::size_t size) {
  const std::string step = R"({"count":1,"cpu":100,"memMb":1,"estimateMs":1000})";
  std::string body = R"({"spec":"x","steps":[)" + step;
  while (body.size() + step.size() + 3 <= size) {
    body += "," + step;
  }
  body += "]";
  body.resize(size - 1, ' ');
  return body + "}";
}

TEST_CASE_METHOD(crowd_fixture, "vm_keeps_its_bounds_under_announced_bodies_over_the_limit") {
  // Guards against bodies that are kept until they are whole although the configuration forbids their size.
  play({.port = caller_port,
        .clients = 60,
        .opening = opening("POST", job_path, "Content-Length: 4000000\r\n\r\n"),
        .repeated = std::string(4096, 'x'),
        .bytes_per_client = 3'900'000});
  check();
}

TEST_CASE_METHOD(crowd_fixture, "vm_keeps_its_bounds_under_bodies_far_over_the_limit") {
  // Guards against keeping what arrives of a body whose announced length is refused.
  play({.port = caller_port,
        .opening = opening("POST", job_path, "Content-Length: 4000000000\r\n\r\n"),
        .repeated = std::string(4096, 'x'),
        .bytes_per_client = 8 * megabyte});
  check();
}

TEST_CASE_METHOD(crowd_fixture, "vm_keeps_its_bounds_under_bodies_sent_without_announcement") {
  // Guards against keeping bytes that follow a request and belong to none.
  play({.port = caller_port,
        .opening = opening("POST", job_path, "Content-Length: 4\r\n\r\n"),
        .repeated = std::string(4096, 'x'),
        .bytes_per_client = 8 * megabyte});
  check();
}

TEST_CASE_METHOD(crowd_fixture, "vm_keeps_its_bounds_under_chunked_bodies_without_end") {
  // Guards against chunked bodies that grow until the process ends.
  play({.port = caller_port,
        .clients = 60,
        .opening = opening("POST", job_path, "Transfer-Encoding: chunked\r\n\r\n"),
        .repeated = "1000\r\n" + std::string(4096, 'x') + "\r\n",
        .bytes_per_client = 8 * megabyte});
  check();
}

TEST_CASE_METHOD(crowd_fixture, "vm_keeps_its_bounds_under_one_chunk_without_end") {
  // Guards against one chunk that is larger than any body may be.
  play({.port = caller_port,
        .opening = opening("POST", job_path, "Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n"),
        .repeated = std::string(4096, 'x'),
        .bytes_per_client = 8 * megabyte});
  check();
}

TEST_CASE_METHOD(crowd_fixture, "vm_keeps_its_bounds_under_chunks_of_one_byte") {
  // Guards against chunks whose bookkeeping takes many times their bytes.
  play({.port = caller_port,
        .opening = opening("POST", job_path, "Transfer-Encoding: chunked\r\n\r\n"),
        .repeated = "1\r\nx\r\n",
        .bytes_per_client = 4 * megabyte});
  check();
}

TEST_CASE_METHOD(crowd_fixture, "vm_keeps_its_bounds_under_header_lines_without_end") {
  // Guards against short header lines, each of which takes many times its bytes.
  play({.port = caller_port,
        .clients = 100,
        .opening = opening("GET", job_path, {}),
        .repeated = "a:\r\n",
        .bytes_per_client = 125'000,
        .connections_per_client = 1});
  check();
}

TEST_CASE_METHOD(crowd_fixture, "vm_keeps_its_bounds_under_one_header_line_without_end") {
  // Guards against a line that is kept until its end arrives.
  play({.port = caller_port,
        .opening = opening("GET", job_path, "Long: "),
        .repeated = std::string(4096, 'x'),
        .bytes_per_client = 8 * megabyte});
  check();
}

TEST_CASE_METHOD(crowd_fixture, "vm_keeps_its_bounds_under_a_request_line_without_end") {
  // Guards against a path that is kept until its end arrives.
  play({.port = caller_port,
        .opening = "GET /",
        .repeated = std::string(4096, 'x'),
        .bytes_per_client = 8 * megabyte});
  check();
}

TEST_CASE_METHOD(crowd_fixture, "vm_keeps_its_bounds_under_requests_sent_ahead_without_a_queue") {
  // Guards against requests that are read while the answers before them are unread.
  play({.port = caller_port, .repeated = get("/nowhere"), .bytes_per_client = 8 * megabyte});
  check();
}

TEST_CASE_METHOD(crowd_fixture, "vm_keeps_its_bounds_under_requests_sent_ahead_to_a_queue") {
  // Guards against the same where each request is a call to the store.
  play({.port = caller_port, .repeated = get(job_path), .bytes_per_client = 8 * megabyte});
  check();
}

TEST_CASE_METHOD(crowd_fixture, "vm_keeps_its_bounds_under_requests_sent_ahead_of_a_silent_store") {
  // Guards against requests that are read while the call before them is open.
  vms.store().faults.answer_delay = seconds{2};
  play({.port = caller_port, .repeated = get(job_path), .bytes_per_client = 8 * megabyte});
  vms.store().faults.answer_delay = {};
  check();
}

TEST_CASE_METHOD(crowd_fixture, "vm_keeps_its_bounds_under_large_jobs_and_a_silent_store") {
  // Guards against jobs that are kept in several forms for as long as the store does not confirm them.
  vms.store().faults.answer_delay = seconds{2};
  const auto body = job_of_size(largest_body);
  play({.port = caller_port,
        .clients = 60,
        .opening = opening("POST", job_path,
                           fmt::format("Content-Type: application/json\r\nTimeout-Ms: 600000\r\n"
                                       "Content-Length: {}\r\n\r\n{}",
                                       body.size(), body)),
        .repeated = {},
        .bytes_per_client = 2 * megabyte,
        .connections_per_client = 1});
  vms.run_for(seconds{1});
  vms.store().faults.answer_delay = {};
  check();
}

TEST_CASE_METHOD(crowd_fixture, "vm_keeps_its_bounds_under_bodies_never_finished") {
  // Guards against many bodies each of which is inside the limit.
  play({.port = caller_port,
        .clients = 160,
        .opening = opening("POST", job_path, fmt::format("Content-Length: {}\r\n\r\n", largest_body)),
        .repeated = std::string(4096, 'x'),
        .bytes_per_client = 950'000,
        .connections_per_client = 1});
  check();
}

TEST_CASE_METHOD(crowd_fixture, "vm_keeps_its_bounds_under_metrics_pages_unread") {
  // Guards against large answers that are prepared for clients that do not read.
  play({.port = metrics_port, .repeated = get("/metrics"), .bytes_per_client = 8 * megabyte});
  check();
}

TEST_CASE_METHOD(crowd_fixture, "vm_keeps_its_bounds_under_readiness_probes_sent_ahead") {
  // Guards against a second port that is open to the crowd.
  play({.port = ready_port, .repeated = get("/api/ready"), .bytes_per_client = 8 * megabyte});
  check();
}

TEST_CASE_METHOD(crowd_fixture, "vm_keeps_its_bounds_under_requests_sent_ahead_to_the_peer_port") {
  // Guards against the same on the port of the other VMs.
  play({.port = peer_port, .repeated = get("/nowhere"), .bytes_per_client = 8 * megabyte});
  check();
}

TEST_CASE_METHOD(crowd_fixture, "vm_keeps_its_bounds_under_chunked_bodies_to_the_peer_port") {
  // Guards against bodies without end on the port of the other VMs.
  play({.port = peer_port,
        .clients = 60,
        .opening = opening("POST", "/greet", "Transfer-Encoding: chunked\r\n\r\n"),
        .repeated = "1000\r\n" + std::string(4096, 'x') + "\r\n",
        .bytes_per_client = 8 * megabyte});
  check();
}

TEST_CASE_METHOD(crowd_fixture, "vm_keeps_its_bounds_under_greetings_with_invented_peers") {
  // Guards against a directory of peers that grows with every address that a greeting names.
  constexpr int greetings = 15;
  constexpr int addresses_per_greeting = 100'000;
  for (int greeting = 0; greeting < greetings; ++greeting) {
    auto rows = nlohmann::json::array();
    for (int i = 0; i < addresses_per_greeting; ++i) {
      rows.push_back({fmt::format("invented-{}-{}", greeting, i), 0, 0.0});
    }
    const auto bytes = nlohmann::json::to_cbor(rows);
    static_cast<void>(vms.send_as_peer(0, "/greet", {bytes.begin(), bytes.end()}));
  }
  check();
}

TEST_CASE_METHOD(crowd_fixture, "vm_keeps_its_bounds_under_idle_connections") {
  // Guards against connections that use up the descriptors, so that the store and callers are out of reach.
  play({.port = caller_port,
        .clients = 600,
        .opening = {},
        .repeated = {},
        .bytes_per_client = 1,
        .connections_per_client = 1});
  vms.run_for(seconds{1});
  check();
}

TEST_CASE_METHOD(crowd_fixture, "vm_in_calm_serves_a_request_of_the_largest_size") {
  // Guards against bounds that refuse what the configuration allows.
  const std::string job = "5c0e7a21d94b0902";
  CHECK(vms.call_job(0, "POST", job, job_of_size(largest_body), seconds{10}, {.timeout_ms = "10000"}) ==
        http_status::ok);
  CHECK(vms.job_state(0, job) == "queued");
}

TEST_CASE_METHOD(crowd_fixture, "vm_in_calm_gives_a_slow_reader_the_whole_answer") {
  // Guards against bounds that cut off a client which takes its answer in small pieces.
  constexpr int queues = 2000;
  vms.put_config(queues);
  REQUIRE(vms.uses(0, queues, start_limit));
  const auto answer =
      read_slowly(vms.address(0), peer_port, opening("GET", "/config", "Connection: close\r\n\r\n"));
  const auto end_of_headers = answer.find("\r\n\r\n");
  REQUIRE(end_of_headers != std::string::npos);
  CHECK(answer.substr(end_of_headers + 4) == config_text(queues));
}

TEST_CASE_METHOD(crowd_fixture, "vm_in_calm_refuses_a_body_over_the_limit_with_413") {
  // Guards against a refusal that the caller cannot tell from a loss.
  constexpr int too_large = 413;
  CHECK(vms.call_job(0, "POST", "5c0e7a21d94b0903", job_of_size(largest_body + 1), seconds{10}) == too_large);
}

TEST_CASE_METHOD(crowd_fixture, "vm_in_calm_lets_a_client_read_the_refusal_of_a_body_far_over_the_limit") {
  // Guards against a connection that is reset while the client still sends, which hides the refusal.
  const std::string body(8 * megabyte, 'x');
  const auto answer =
      send_whole(vms.address(0), caller_port,
                 opening("POST", job_path, fmt::format("Content-Length: {}\r\n\r\n", body.size())), body);
  CHECK(answer.substr(0, answer.find(' ', 9)) == "HTTP/1.1 413");
}

}  // namespace
}  // namespace rhubarbpath::soak

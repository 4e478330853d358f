#include <catch2/catch.hpp>
#include <optional>

#include "rhubarbpath/transport/http_client.hpp"
#include "rhubarbpath/transport/http_server.hpp"

namespace rhubarbpath {

namespace {

constexpr std::uint16_t port = 28101;
const std::string address = "127.0.0.1:28101";
constexpr duration second = std::chrono::seconds{1};

/// A server and a client on one loop.
struct http_pair {
  event_loop loop;
  http_server::handler handle;
  http_server server{
      loop, {.port = port, .max_body_bytes = 1000}, [this](http_request request, http_responder reply) {
        handle(std::move(request), std::move(reply));
      }};
  http_client client{loop, {}};
  timer_handle guard{loop.run_after(5 * second, [this] { loop.stop(); })};

  std::optional<http_result> call(const http_request& request, duration timeout = second) {
    std::optional<http_result> result;
    client.call(address, request, timeout, [&](http_result got) {
      result = std::move(got);
      loop.stop();
    });
    loop.run();
    return result;
  }
};

}  // namespace

// Guards against an answer that is lost when the handler answers after it returned.
TEST_CASE("http_request_answered_later_returns_whole_body") {
  http_pair pair;
  REQUIRE(pair.server.listen().ok());
  timer_handle later;
  pair.handle = [&](http_request request, http_responder reply) {
    later = pair.loop.run_after(std::chrono::milliseconds{20}, [reply, body = request.body] {
      reply.send({.status = 200, .headers = {{"X-Echo", "yes"}}, .body = body + "!"});
    });
  };
  for (int round = 0; round < 3; ++round) {
    const auto result =
        pair.call({.method = "POST", .path = "/x", .query = "a=1", .headers = {}, .body = "hello"});
    REQUIRE(result);
    REQUIRE(std::holds_alternative<http_response>(*result));
    CHECK(std::get<http_response>(*result).body == "hello!");
    CHECK(header_value(std::get<http_response>(*result).headers, "x-echo") == "yes");
  }
}

// Guards against a request whose own Host header is hidden by the address of the connection.
TEST_CASE("http_request_with_own_host_sends_that_host_alone") {
  http_pair pair;
  REQUIRE(pair.server.listen().ok());
  std::vector<std::string> hosts;
  pair.handle = [&](const http_request& request, const http_responder& reply) {
    for (const auto& [name, value] : request.headers) {
      if (name == "Host") {
        hosts.push_back(value);
      }
    }
    reply.send({.status = 200, .headers = {}, .body = {}});
  };
  http_request request{
      .method = "GET", .path = "/", .query = {}, .headers = {{"Host", "a.example"}}, .body = {}};
  REQUIRE(pair.call(request));
  request.headers.clear();
  REQUIRE(pair.call(request));
  CHECK(hosts == std::vector<std::string>{"a.example", address});
}

// Guards against "may have run" for a request of which no byte was sent.
TEST_CASE("http_call_to_closed_port_sends_no_bytes") {
  http_pair pair;
  const auto result = pair.call({.method = "POST", .path = "/", .query = {}, .headers = {}, .body = "x"});
  REQUIRE(result);
  REQUIRE(std::holds_alternative<http_call_failed>(*result));
  CHECK_FALSE(std::get<http_call_failed>(*result).bytes_sent);
}

// Guards against "not run" for a request that a server may have read.
TEST_CASE("http_call_without_answer_reports_bytes_sent") {
  http_pair pair;
  REQUIRE(pair.server.listen().ok());
  std::optional<http_responder> kept;
  pair.handle = [&](http_request, http_responder reply) { kept = std::move(reply); };
  const auto result = pair.call({.method = "POST", .path = "/", .query = {}, .headers = {}, .body = "x"},
                                std::chrono::milliseconds{100});
  REQUIRE(result);
  REQUIRE(std::holds_alternative<http_call_failed>(*result));
  CHECK(std::get<http_call_failed>(*result).bytes_sent);
  CHECK(std::get<http_call_failed>(*result).timed_out);
  CHECK(pair.server.in_progress() == 1);
}

// Guards against unbounded memory for one body.
TEST_CASE("http_body_over_limit_is_refused") {
  http_pair pair;
  REQUIRE(pair.server.listen().ok());
  bool handled = false;
  pair.handle = [&](http_request, http_responder) { handled = true; };
  const auto result =
      pair.call({.method = "POST", .path = "/", .query = {}, .headers = {}, .body = std::string(5000, 'x')});
  REQUIRE(result);
  CHECK_FALSE(handled);
  if (const auto* failed = std::get_if<http_call_failed>(&*result)) {
    FAIL(failed->reason);
  }
  CHECK(std::get<http_response>(*result).status == 413);
}

// Guards against unbounded memory for headers.
TEST_CASE("http_headers_over_limit_are_refused_with_431") {
  http_pair pair;
  REQUIRE(pair.server.listen().ok());
  const auto result = pair.call(
      {.method = "GET", .path = "/", .query = {}, .headers = {{"X", std::string(20000, 'x')}}, .body = {}});
  REQUIRE(result);
  if (const auto* failed = std::get_if<http_call_failed>(&*result)) {
    FAIL(failed->reason);
  }
  CHECK(std::get<http_response>(*result).status == 431);
}

}  // namespace rhubarbpath

#include <catch2/catch.hpp>
#include <optional>
#include <thread>

#include "rhubarbpath/transport/http_client.hpp"
#include "rhubarbpath/transport/http_server.hpp"

namespace rhubarbpath {

namespace {

constexpr std::uint16_t port = 28101;
const std::string address = "127.0.0.1:28101";
constexpr duration second = std::chrono::seconds{1};

/// HTTP server and client that share one event loop.
struct client_and_server {
  event_loop loop;
  http_server::handler handle;
  http_server server{
      loop, {.port = port, .max_body_bytes = 1000}, [this](http_request request, http_responder reply) {
        handle(std::move(request), std::move(reply));
      }};
  http_client client{loop, {}};
  timer_handle watchdog_timer{loop.run_after(5 * second, [this] { loop.stop(); })};

  std::optional<http_result> call(const http_request& request, duration timeout = second) {
    std::optional<http_result> result;
    client.call(address, request, timeout, [&](http_result received) {
      result = std::move(received);
      loop.stop();
    });
    loop.run();
    return result;
  }
};

}  // namespace

// Guards against losing a response that is sent after the handler returned.
TEST_CASE("http_response_sent_after_handler_returns_has_complete_body") {
  client_and_server endpoints;
  REQUIRE(endpoints.server.listen().ok());
  timer_handle reply_timer;
  endpoints.handle = [&](http_request request, http_responder reply) {
    reply_timer = endpoints.loop.run_after(std::chrono::milliseconds{20}, [reply, body = request.body] {
      reply.send({.status = 200, .headers = {{"X-Echo", "yes"}}, .body = body + "!"});
    });
  };
  for (int round = 0; round < 3; ++round) {
    const auto result =
        endpoints.call({.method = "POST", .path = "/x", .query = "a=1", .headers = {}, .body = "hello"});
    REQUIRE(result);
    REQUIRE(std::holds_alternative<http_response>(*result));
    CHECK(std::get<http_response>(*result).body == "hello!");
    CHECK(header_value(std::get<http_response>(*result).headers, "x-echo") == "yes");
  }
}

// Guards against replacing or duplicating an explicit Host header with the address of the connection.
TEST_CASE("http_request_with_explicit_host_sends_only_that_host") {
  client_and_server endpoints;
  REQUIRE(endpoints.server.listen().ok());
  std::vector<std::string> hosts;
  endpoints.handle = [&](const http_request& request, const http_responder& reply) {
    for (const auto& [name, value] : request.headers) {
      if (name == "Host") {
        hosts.push_back(value);
      }
    }
    reply.send({.status = 200, .headers = {}, .body = {}});
  };
  http_request request{
      .method = "GET", .path = "/", .query = {}, .headers = {{"Host", "a.example"}}, .body = {}};
  REQUIRE(endpoints.call(request));
  request.headers.clear();
  REQUIRE(endpoints.call(request));
  CHECK(hosts == std::vector<std::string>{"a.example", address});
}

// Guards against reporting "may have run" for a request of which no byte was sent.
TEST_CASE("http_call_to_closed_port_sends_no_bytes") {
  client_and_server endpoints;
  const auto result =
      endpoints.call({.method = "POST", .path = "/", .query = {}, .headers = {}, .body = "x"});
  REQUIRE(result);
  REQUIRE(std::holds_alternative<http_call_failed>(*result));
  CHECK_FALSE(std::get<http_call_failed>(*result).bytes_sent);
}

// Guards against reporting "not run" for a request that the server may have received.
TEST_CASE("http_call_without_response_reports_bytes_sent") {
  client_and_server endpoints;
  REQUIRE(endpoints.server.listen().ok());
  std::optional<http_responder> held_responder;
  endpoints.handle = [&](http_request, http_responder reply) { held_responder = std::move(reply); };
  const auto result = endpoints.call({.method = "POST", .path = "/", .query = {}, .headers = {}, .body = "x"},
                                     std::chrono::milliseconds{100});
  REQUIRE(result);
  REQUIRE(std::holds_alternative<http_call_failed>(*result));
  CHECK(std::get<http_call_failed>(*result).bytes_sent);
  CHECK(std::get<http_call_failed>(*result).timed_out);
  CHECK(endpoints.server.in_progress() == 1);
}

// Guards against unbounded memory use by a request body.
TEST_CASE("http_body_over_limit_is_rejected_with_413") {
  client_and_server endpoints;
  REQUIRE(endpoints.server.listen().ok());
  bool handled = false;
  endpoints.handle = [&](http_request, http_responder) { handled = true; };
  const auto result = endpoints.call(
      {.method = "POST", .path = "/", .query = {}, .headers = {}, .body = std::string(5000, 'x')});
  REQUIRE(result);
  CHECK_FALSE(handled);
  if (const auto* failed = std::get_if<http_call_failed>(&*result)) {
    FAIL(failed->reason);
  }
  CHECK(std::get<http_response>(*result).status == 413);
}

// Guards against unbounded memory use by request headers.
TEST_CASE("http_headers_over_limit_are_rejected_with_431") {
  client_and_server endpoints;
  REQUIRE(endpoints.server.listen().ok());
  const auto result = endpoints.call(
      {.method = "GET", .path = "/", .query = {}, .headers = {{"X", std::string(20000, 'x')}}, .body = {}});
  REQUIRE(result);
  if (const auto* failed = std::get_if<http_call_failed>(&*result)) {
    FAIL(failed->reason);
  }
  CHECK(std::get<http_response>(*result).status == 431);
}

// Guards against a late process that takes its own lateness for a server's silence: its loop was busy for
// longer than the time limit while the answers of all calls had arrived, and most calls were reported as
// unanswered.
TEST_CASE("http_answers_that_arrived_while_the_loop_was_busy_are_delivered") {
  constexpr int batches = 12;
  constexpr int calls = batches * 10;
  constexpr std::chrono::milliseconds batch_interval{5};
  constexpr std::chrono::milliseconds answer_delay{100};
  constexpr std::chrono::milliseconds time_limit{200};
  constexpr std::chrono::milliseconds busy_from{80};
  constexpr std::chrono::milliseconds busy{400};
  event_loop server_loop;
  http_server server{server_loop,
                     {.port = port, .max_body_bytes = 1000},
                     [&](const http_request&, const http_responder& reply) {
                       server_loop.run_detached(answer_delay, [reply] {
                         reply.send({.status = 200, .headers = {}, .body = "done"});
                       });
                     }};
  REQUIRE(server.listen().ok());
  const auto server_end = server_loop.run_after(3 * second, [&] { server_loop.stop(); });
  std::thread server_thread{[&] { server_loop.run(); }};
  event_loop loop;
  http_client client{loop, {.max_connections_per_address = calls}};
  int answered = 0;
  int finished = 0;
  // The calls start one batch after the other, because the loop reads no more sockets in one iteration than
  // were ever ready at once before.
  for (int batch = 0; batch < batches; ++batch) {
    loop.run_detached(batch * batch_interval, [&] {
      for (int call = 0; call < calls / batches; ++call) {
        client.call(address, {.method = "GET", .path = "/", .query = {}, .headers = {}, .body = {}},
                    time_limit, [&](const http_result& result) {
                      answered += std::holds_alternative<http_response>(result) ? 1 : 0;
                      if (++finished == calls) {
                        loop.stop();
                      }
                    });
      }
    });
  }
  const auto busy_timer = loop.run_after(busy_from, [&] { std::this_thread::sleep_for(busy); });
  const auto watchdog = loop.run_after(2 * second, [&] { loop.stop(); });
  loop.run();
  server_thread.join();
  CHECK(answered == calls);
}

// Guards against a grace for lateness that never ends: a server that really is silent must be reported.
TEST_CASE("http_silent_server_is_reported_although_the_loop_was_busy") {
  client_and_server endpoints;
  REQUIRE(endpoints.server.listen().ok());
  std::vector<http_responder> kept;
  endpoints.handle = [&](const http_request&, const http_responder& reply) { kept.push_back(reply); };
  const auto busy_timer = endpoints.loop.run_after(
      std::chrono::milliseconds{30}, [] { std::this_thread::sleep_for(std::chrono::milliseconds{200}); });
  const auto began = endpoints.loop.now();
  const auto result =
      endpoints.call({.method = "GET", .path = "/", .query = {}, .headers = {}, .body = {}}, second / 10);
  REQUIRE(result);
  REQUIRE(std::holds_alternative<http_call_failed>(*result));
  CHECK(std::get<http_call_failed>(*result).timed_out);
  CHECK(endpoints.loop.now() - began < second);
}

}  // namespace rhubarbpath

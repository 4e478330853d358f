#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <thread>

#include "rhubarbpath/transport/http_client.hpp"

namespace rhubarbpath {
namespace {

using std::chrono::milliseconds;

constexpr std::uint16_t port = 28117;
constexpr int piece_count = 20;
constexpr std::size_t piece_size = 100;

/// Server that sends one answer in pieces, with a pause of 50 ms before each.
class slow_server {
 public:
  explicit slow_server(int pieces_sent) {
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0);
    REQUIRE(listen(listener_, 1) == 0);
    thread_ = std::thread{[this, pieces_sent] { serve(pieces_sent); }};
  }
  slow_server(const slow_server&) = delete;
  slow_server(slow_server&&) = delete;
  slow_server& operator=(const slow_server&) = delete;
  slow_server& operator=(slow_server&&) = delete;
  ~slow_server() {
    thread_.join();
    close(listener_);
  }

 private:
  void serve(int pieces_sent) const {
    const int connection = accept(listener_, nullptr, nullptr);
    std::string text =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(piece_count * piece_size) + "\r\n\r\n";
    send(connection, text.data(), text.size(), MSG_NOSIGNAL);
    const std::string piece(piece_size, 'x');
    for (int i = 0; i < pieces_sent; ++i) {
      std::this_thread::sleep_for(milliseconds{50});
      send(connection, piece.data(), piece.size(), MSG_NOSIGNAL);
    }
    // Returns when the client closes the connection.
    while (recv(connection, text.data(), text.size(), 0) > 0) {
    }
    close(connection);
  }

  int listener_{socket(AF_INET, SOCK_STREAM, 0)};
  std::thread thread_;
};

struct slow_answer_fixture {
  http_result call(duration timeout) {
    event_loop loop;
    http_client client{loop, {.max_transfer_extension = std::chrono::seconds{4}}};
    std::optional<http_result> result;
    client.call("127.0.0.1:" + std::to_string(port),
                {.method = "GET", .path = "/", .query = {}, .headers = {}, .body = {}}, timeout,
                [&](http_result received) {
                  result = std::move(received);
                  loop.stop();
                });
    loop.run();
    return *result;
  }
};

TEST_CASE_METHOD(slow_answer_fixture, "http_answer_that_is_arriving_is_not_cut_by_the_timeout") {
  const slow_server server{piece_count};
  const auto result = call(milliseconds{300});
  REQUIRE(std::holds_alternative<http_response>(result));
  CHECK(std::get<http_response>(result).body.size() == piece_count * piece_size);
}

TEST_CASE_METHOD(slow_answer_fixture, "http_answer_that_stops_arriving_is_reported_as_timed_out") {
  const slow_server server{4};
  const auto started_at = std::chrono::steady_clock::now();
  const auto result = call(milliseconds{300});
  REQUIRE(std::holds_alternative<http_call_failed>(result));
  CHECK(std::get<http_call_failed>(result).timed_out);
  CHECK(std::chrono::steady_clock::now() - started_at < std::chrono::seconds{2});
}

}  // namespace
}  // namespace rhubarbpath

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "rhubarbpath/transport/event_loop.hpp"
#include "rhubarbpath/transport/http_server.hpp"

namespace rhubarbpath {
namespace {

using std::chrono::milliseconds;

constexpr std::uint16_t port = 18473;

int connect_to_server() {
  const int client_socket = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(connect(client_socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0);
  const int on = 1;
  setsockopt(client_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return client_socket;
}

/// Runs the loop until the condition is true, for at most two seconds.
template <class Condition>
void run_until(event_loop& loop, Condition condition) {
  constexpr int steps = 2000;
  for (int step = 0; step < steps && !condition(); ++step) {
    const auto stop = loop.run_after(milliseconds{1}, [&] { loop.stop(); });
    loop.run();
  }
}

bool readable(int descriptor) {
  char peeked_byte{};
  return recv(descriptor, &peeked_byte, sizeof(peeked_byte), MSG_PEEK | MSG_DONTWAIT) > 0;
}

TEST_CASE("http_server_request_in_two_segments_keeps_its_path") {
  // Guards against a path that gains a byte where the request is split into two segments: a GET for an
  // accepted job returned "no such job".
  event_loop loop;
  std::vector<std::string> paths;
  http_server server{loop, {.port = port}, [&](const http_request& request, const http_responder& responder) {
                       paths.push_back(request.path + "?" + request.query + " " +
                                       std::string{header_value(request.headers, "Key")} + " " +
                                       request.body);
                       responder.send({.status = 200, .headers = {}, .body = "ok"});
                     }};
  REQUIRE(server.listen().ok());
  const std::string text =
      "POST /davo380/a0e28e3e62e2cbda?x=12 HTTP/1.1\r\nHost: wuzi39.example\r\nKey: abcdef0123\r\n"
      "Content-Length: 6\r\n\r\nsecret";
  const int client = connect_to_server();
  for (std::size_t split = 1; split < text.size(); ++split) {
    REQUIRE(send(client, text.data(), split, 0) == static_cast<ssize_t>(split));
    // One iteration of the loop reads only the first segment.
    int iterations = 0;
    run_until(loop, [&] { return ++iterations > 1; });
    REQUIRE(send(client, text.data() + split, text.size() - split, 0) ==
            static_cast<ssize_t>(text.size() - split));
    run_until(loop, [&] { return readable(client); });
    std::string answer(4096, '\0');
    CHECK(recv(client, answer.data(), answer.size(), MSG_DONTWAIT) > 0);
    INFO("split after byte " << split);
    REQUIRE(paths.size() == split);
    CHECK(paths.back() == "/davo380/a0e28e3e62e2cbda?x=12 abcdef0123 secret");
  }
  close(client);
}

TEST_CASE("http_server_client_disconnect_closes_responder") {
  // Guards against a graceful stop that waits for disconnected clients, and against responses to freed
  // connections.
  event_loop loop;
  std::vector<http_responder> responders;
  http_server server{loop, {.port = port}, [&](const http_request&, const http_responder& responder) {
                       responders.push_back(responder);
                     }};
  REQUIRE(server.listen().ok());
  const int client = connect_to_server();
  const std::string text = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
  REQUIRE(send(client, text.data(), text.size(), 0) == static_cast<ssize_t>(text.size()));
  run_until(loop, [&] { return responders.size() == 1; });
  REQUIRE(responders.size() == 1);
  CHECK(responders.front().open());
  CHECK(server.in_progress() == 1);
  close(client);
  run_until(loop, [&] { return !responders.front().open(); });
  CHECK_FALSE(responders.front().open());
  responders.front().send({.status = 200, .headers = {}, .body = "late"});
  CHECK(server.in_progress() == 0);
}

}  // namespace
}  // namespace rhubarbpath

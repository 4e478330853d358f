#include "rhubarbpath/transport/peer_link.hpp"

#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <vector>

namespace rhubarbpath {

namespace {

const std::string address = "127.0.0.1:28102";

}  // namespace

// Guards against messages that are split or merged in transit between two processes.
TEST_CASE("peer_link_messages_of_all_sizes_arrive_intact") {
  event_loop loop;
  std::vector<std::string> received;
  std::vector<std::shared_ptr<peer_link>> accepted;
  peer_listener listener{loop, address, [&](int socket) {
                           accepted.push_back(peer_link::accept(loop, socket, {},
                                                                {.on_open = [] {},
                                                                 .on_message =
                                                                     [&](std::string message) {
                                                                       received.push_back(std::move(message));
                                                                       if (received.size() == 3) {
                                                                         loop.stop();
                                                                       }
                                                                     },
                                                                 .on_closed = [](std::string) {}}));
                         }};
  REQUIRE(listener.listen().ok());
  const std::vector<std::string> sent{"", std::string(100'000, 'a'), std::string("\0b", 2)};
  std::shared_ptr<peer_link> link;
  link = peer_link::connect(loop, address, {},
                            {.on_open =
                                 [&] {
                                   for (const auto& message : sent) {
                                     CHECK(link->send(message));
                                   }
                                 },
                             .on_message = [](std::string) {},
                             .on_closed = [](std::string) {}});
  const auto watchdog_timer = loop.run_after(std::chrono::seconds{5}, [&] { loop.stop(); });
  loop.run();
  CHECK(received == sent);
}

// Guards against a link that stays open forever after the network dropped the connection's state.
TEST_CASE("peer_link_to_unresponsive_peer_is_closed_within_bound") {
  event_loop loop;
  std::vector<int> unread_sockets;
  // The socket is accepted but never read, as if a middlebox had dropped the connection's state.
  peer_listener listener{loop, address, [&](int socket) { unread_sockets.push_back(socket); }};
  REQUIRE(listener.listen().ok());
  const auto started = loop.now();
  instant closed_at{};
  const auto link = peer_link::connect(
      loop, address,
      {.ping_idle_time = std::chrono::milliseconds{300}, .pong_timeout = std::chrono::milliseconds{300}},
      {.on_open = [] {},
       .on_message = [](std::string) {},
       .on_closed =
           [&](std::string) {
             closed_at = loop.now();
             loop.stop();
           }});
  const auto watchdog_timer = loop.run_after(std::chrono::seconds{5}, [&] { loop.stop(); });
  loop.run();
  CHECK(closed_at > started);
  CHECK(closed_at - started < std::chrono::milliseconds{1500});
  for (const auto socket : unread_sockets) {
    shutdown(socket, SHUT_RDWR);
  }
}

}  // namespace rhubarbpath

#include "fault_proxy.hpp"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <chrono>
#include <cstdio>
#include <list>
#include <utility>

namespace rhubarbpath::soak {

namespace {

constexpr duration forward_delay{std::chrono::milliseconds{300}};

sockaddr_in socket_address(const std::string& address, std::uint16_t port) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(port);
  inet_pton(AF_INET, address.c_str(), &result.sin_addr);
  return result;
}

}  // namespace

struct fault_proxy::implementation {
  /// An accepted connection and the matching connection to the target.
  struct connection {
    implementation* owner{nullptr};
    std::list<std::shared_ptr<connection>>::iterator self;
    bufferevent* client{nullptr};
    bufferevent* target{nullptr};
    bool silent{false};
    bool delayed{false};  ///< Never cleared; otherwise later bytes would overtake delayed ones.
    bool closed{false};

    void close() {
      closed = true;
      bufferevent_free(client);
      bufferevent_free(target);
    }
  };

  event_loop& loop;
  std::string address;
  std::uint16_t port;
  std::string target_address;
  std::uint16_t target_port;
  proxy_mode mode{proxy_mode::pass};
  std::function<void(std::string_view)> disturbed_bytes;
  evconnlistener* listener{nullptr};
  std::list<std::shared_ptr<connection>> connections;

  void accept(evutil_socket_t socket) {
    if (mode == proxy_mode::reset) {
      evutil_closesocket(socket);
      return;
    }
    auto added = std::make_shared<connection>();
    added->owner = this;
    added->client = bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    added->target = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    added->self = connections.insert(connections.end(), added);
    for (auto* each : {added->client, added->target}) {
      bufferevent_setcb(each, &on_read, nullptr, &on_event, added.get());
      bufferevent_enable(each, EV_READ | EV_WRITE);
    }
    const auto to = socket_address(target_address, target_port);
    if (bufferevent_socket_connect(added->target, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
      drop(*added);
    }
  }
  void drop(connection& dropped) {
    const auto keep_alive = *dropped.self;
    connections.erase(dropped.self);
    keep_alive->close();
  }
  static void on_read(bufferevent* from, void* context) {
    auto& at = *static_cast<connection*>(context);
    const bool from_target = from == at.target;
    auto* input = bufferevent_get_input(from);
    const auto mode = at.owner->mode;
    if (!from_target && at.owner->disturbed_bytes && (at.silent || mode != proxy_mode::pass)) {
      const auto length = evbuffer_get_length(input);
      const auto* bytes = evbuffer_pullup(input, -1);
      at.owner->disturbed_bytes({reinterpret_cast<const char*>(bytes), length});
    }
    if (at.silent || mode == proxy_mode::blocked || (mode == proxy_mode::one_way && from_target)) {
      // A stream with missing bytes must not be resumed, so the connection stays silent until it closes.
      at.silent = true;
      evbuffer_drain(input, evbuffer_get_length(input));
      return;
    }
    auto* to = from_target ? at.client : at.target;
    at.delayed = at.delayed || mode == proxy_mode::delayed;
    if (!at.delayed) {
      bufferevent_write_buffer(to, input);
      return;
    }
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    at.owner->loop.run_detached(forward_delay, [held = *at.self, to, bytes = std::move(bytes)] {
      if (!held->closed) {
        bufferevent_write(to, bytes.data(), bytes.size());
      }
    });
  }
  static void on_event(bufferevent* /*from*/, short what, void* context) {
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
      return;
    }
    auto& at = *static_cast<connection*>(context);
    // Flush the bytes that were read before the end of the stream; on loopback one write is enough.
    for (auto* each : {at.client, at.target}) {
      auto* output = bufferevent_get_output(each);
      const auto socket = bufferevent_getfd(each);
      if (socket >= 0 && evbuffer_get_length(output) > 0) {
        evbuffer_write(output, socket);
      }
    }
    at.owner->drop(at);
  }
};

fault_proxy::fault_proxy(event_loop& loop, std::string address, std::uint16_t port,
                         std::string target_address, std::uint16_t target_port)
    : implementation_{new implementation{.loop = loop,
                                         .address = std::move(address),
                                         .port = port,
                                         .target_address = std::move(target_address),
                                         .target_port = target_port,
                                         .disturbed_bytes = {},
                                         .connections = {}}} {}

fault_proxy::~fault_proxy() {
  for (const auto& each : implementation_->connections) {
    each->close();
  }
  if (implementation_->listener != nullptr) {
    evconnlistener_free(implementation_->listener);
  }
}

absl::Status fault_proxy::listen() {
  auto& self = *implementation_;
  const auto at = socket_address(self.address, self.port);
  constexpr int backlog = 128;
  self.listener = evconnlistener_new_bind(
      self.loop.base(),
      [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* context) {
        static_cast<implementation*>(context)->accept(socket);
      },
      // Processes that are started later must not keep the port open.
      &self, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, backlog,
      reinterpret_cast<const sockaddr*>(&at), sizeof at);
  return self.listener != nullptr ? absl::OkStatus()
                                  : absl::UnavailableError("fault proxy: cannot listen on its address");
}

void fault_proxy::on_disturbed_bytes(std::function<void(std::string_view)> call) {
  implementation_->disturbed_bytes = std::move(call);
}

void fault_proxy::set_mode(proxy_mode mode) {
  auto& self = *implementation_;
  self.mode = mode;
  if (mode == proxy_mode::refused && self.listener != nullptr) {
    evconnlistener_free(std::exchange(self.listener, nullptr));
  } else if (mode != proxy_mode::refused && self.listener == nullptr) {
    if (!listen().ok()) {
      std::fprintf(stderr, "fault proxy: cannot listen on %s:%d again\n", self.address.c_str(), self.port);
    }
  }
  if (mode == proxy_mode::reset || mode == proxy_mode::refused) {
    while (!self.connections.empty()) {
      self.drop(*self.connections.front());
    }
  } else if (mode == proxy_mode::silent) {
    for (const auto& each : self.connections) {
      each->silent = true;
    }
  }
}

}  // namespace rhubarbpath::soak

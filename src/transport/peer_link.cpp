#include "rhubarbpath/transport/peer_link.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "rhubarbpath/transport/websocket_codec.hpp"

namespace rhubarbpath {

namespace {

struct bufferevent_deleter {
  void operator()(bufferevent* value) const noexcept { bufferevent_free(value); }
};

struct listener_deleter {
  void operator()(evconnlistener* value) const noexcept { evconnlistener_free(value); }
};

/// Peer messages are small and latency-sensitive, so Nagle's algorithm is disabled.
void disable_nagle(bufferevent* stream) {
  const int enabled = 1;
  setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

constexpr duration keepalive_check_period = std::chrono::milliseconds{250};

}  // namespace

struct peer_link::implementation {
  event_loop* loop{nullptr};
  options opts;
  callbacks calls;
  std::string address;
  websocket_codec::role local_role{websocket_codec::role::client};
  std::unique_ptr<bufferevent, bufferevent_deleter> stream;
  std::unique_ptr<websocket_codec> codec;
  timer_handle watch;
  instant last_received{};
  std::optional<instant> ping_sent;
  bool closed{false};

  void attach(peer_link* owner) {
    const auto on_read = [](bufferevent* /*stream*/, void* argument) {
      const auto self = static_cast<peer_link*>(argument)->shared_from_this();
      self->implementation_->read();
    };
    const auto on_event = [](bufferevent* /*stream*/, short what, void* argument) {
      const auto self = static_cast<peer_link*>(argument)->shared_from_this();
      self->implementation_->on_stream_event(what);
    };
    bufferevent_setcb(stream.get(), on_read, nullptr, on_event, owner);
    bufferevent_enable(stream.get(), EV_READ | EV_WRITE);
    last_received = loop->now();
    watch = loop->run_every(keepalive_check_period, [weak = owner->weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->implementation_->check_keepalive();
      }
    });
  }

  void make_codec() {
    websocket_codec::callbacks codec_calls;
    codec_calls.on_open = [this] { calls.on_open(); };
    codec_calls.on_message = [this](std::string message) { calls.on_message(std::move(message)); };
    codec_calls.on_pong = [] {};
    codec_calls.on_closed = [this] { fail("the peer closed the connection"); };
    codec_calls.write = [this](const char* bytes, std::size_t size) { write(bytes, size); };
    codec = std::make_unique<websocket_codec>(local_role, std::move(codec_calls), opts.max_message_bytes);
  }

  void write(const char* bytes, std::size_t size) {
    if (closed) {
      return;
    }
    auto* output = bufferevent_get_output(stream.get());
    if (evbuffer_get_length(output) + size > opts.max_unsent_bytes) {
      fail("the peer reads too slowly");
      return;
    }
    evbuffer_add(output, bytes, size);
  }

  void read() {
    last_received = loop->now();
    ping_sent.reset();
    std::array<char, 16384> chunk{};
    auto* input = bufferevent_get_input(stream.get());
    while (!closed && evbuffer_get_length(input) > 0) {
      const auto size = evbuffer_remove(input, chunk.data(), chunk.size());
      if (size <= 0) {
        return;
      }
      codec->feed(chunk.data(), static_cast<std::size_t>(size));
    }
  }

  void on_stream_event(short what) {
    if ((what & BEV_EVENT_CONNECTED) != 0) {
      disable_nagle(stream.get());
      codec->start(address);
    } else if ((what & BEV_EVENT_EOF) != 0) {
      fail("the peer closed the connection");
    } else if ((what & (BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0) {
      fail(evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
    }
  }

  /// Detects a connection whose state a middlebox dropped: it neither reports an error nor delivers data.
  void check_keepalive() {
    const auto now = loop->now();
    if (ping_sent) {
      if (now - *ping_sent > opts.pong_timeout) {
        fail("the peer does not respond to pings");
      }
    } else if (now - last_received > opts.ping_idle_time) {
      ping_sent = now;
      if (codec->open()) {
        codec->ping();
      }
    }
  }

  void fail(const std::string& reason) {
    if (std::exchange(closed, true)) {
      return;
    }
    watch.cancel();
    bufferevent_disable(stream.get(), EV_READ | EV_WRITE);
    loop->post([call = calls.on_closed, reason] { call(reason); });
  }
};

peer_link::peer_link(std::unique_ptr<implementation> state) : implementation_{std::move(state)} {}

peer_link::~peer_link() = default;

std::shared_ptr<peer_link> peer_link::connect(event_loop& loop, const std::string& address, options opts,
                                              callbacks calls) {
  auto state = std::make_unique<implementation>();
  state->loop = &loop;
  state->opts = opts;
  state->calls = std::move(calls);
  state->address = address;
  state->local_role = websocket_codec::role::client;
  state->stream.reset(
      bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
  state->make_codec();
  std::shared_ptr<peer_link> link{new peer_link{std::move(state)}};
  auto& self = *link->implementation_;
  self.attach(link.get());
  sockaddr_storage target{};
  int size = sizeof(target);
  auto* socket_address = reinterpret_cast<sockaddr*>(&target);
  if (evutil_parse_sockaddr_port(address.c_str(), socket_address, &size) != 0) {
    self.fail(absl::StrCat("\"", address, "\" is not an IP number and port"));
  } else if (bufferevent_socket_connect(self.stream.get(), socket_address, size) != 0) {
    self.fail("cannot connect");
  }
  return link;
}

std::shared_ptr<peer_link> peer_link::accept(event_loop& loop, int socket, options opts, callbacks calls) {
  auto state = std::make_unique<implementation>();
  state->loop = &loop;
  state->opts = opts;
  state->calls = std::move(calls);
  state->local_role = websocket_codec::role::server;
  state->stream.reset(
      bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
  state->make_codec();
  std::shared_ptr<peer_link> link{new peer_link{std::move(state)}};
  auto& self = *link->implementation_;
  self.attach(link.get());
  disable_nagle(self.stream.get());
  self.codec->start({});
  return link;
}

bool peer_link::send(const std::string& message) {
  return !implementation_->closed && implementation_->codec->send(message);
}

bool peer_link::open() const {
  return !implementation_->closed && implementation_->codec->open();
}

void peer_link::close() {
  auto& self = *implementation_;
  if (std::exchange(self.closed, true)) {
    return;
  }
  self.watch.cancel();
  bufferevent_disable(self.stream.get(), EV_READ | EV_WRITE);
}

struct peer_listener::implementation {
  event_loop* loop{nullptr};
  std::string address;
  accept_handler on_accept;
  std::unique_ptr<evconnlistener, listener_deleter> listener;
};

peer_listener::peer_listener(event_loop& loop, std::string address, accept_handler on_accept)
    : implementation_{std::make_unique<implementation>()} {
  implementation_->loop = &loop;
  implementation_->address = std::move(address);
  implementation_->on_accept = std::move(on_accept);
}

peer_listener::~peer_listener() = default;

absl::Status peer_listener::listen() {
  auto& self = *implementation_;
  sockaddr_storage target{};
  int size = sizeof(target);
  auto* socket_address = reinterpret_cast<sockaddr*>(&target);
  if (evutil_parse_sockaddr_port(self.address.c_str(), socket_address, &size) != 0) {
    return absl::InvalidArgumentError(absl::StrCat("\"", self.address, "\" is not an IP number and port"));
  }
  const auto on_accept = [](evconnlistener* /*listener*/, evutil_socket_t socket, sockaddr* /*from*/,
                            int /*size*/,
                            void* argument) { static_cast<implementation*>(argument)->on_accept(socket); };
  self.listener.reset(evconnlistener_new_bind(self.loop->base(), on_accept, &self,
                                              LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1, socket_address,
                                              size));
  if (self.listener == nullptr) {
    return absl::UnavailableError(absl::StrCat("cannot listen on ", self.address));
  }
  return absl::OkStatus();
}

}  // namespace rhubarbpath

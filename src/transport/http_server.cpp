#include "rhubarbpath/transport/http_server.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>
#include <sys/socket.h>

#include <utility>

#include "absl/container/flat_hash_map.h"

namespace rhubarbpath {

namespace detail {

/// State shared by all copies of a responder.
struct pending_reply {
  evhttp_request* request{nullptr};
  std::shared_ptr<std::size_t> in_progress;
  /// Set while the server is being destroyed, because that frees the requests of its connections.
  std::shared_ptr<bool> destroying;
  bool caller_gone{false};

  pending_reply() = default;
  pending_reply(const pending_reply&) = delete;
  pending_reply(pending_reply&&) = delete;
  pending_reply& operator=(const pending_reply&) = delete;
  pending_reply& operator=(pending_reply&&) = delete;
  /// Closes the connection of a request that was never answered.
  ~pending_reply() {
    if (auto* raw = std::exchange(request, nullptr); raw != nullptr) {
      release(raw);
    }
  }

  void release(evhttp_request* raw) const {
    auto* connection = evhttp_request_get_connection(raw);
    if (!caller_gone) {
      --*in_progress;
    }
    if (connection == nullptr) {
      evhttp_request_free(raw);
      return;
    }
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
    evhttp_connection_free(connection);
  }
};

}  // namespace detail

namespace {

/// evhttp rejects larger headers before the handler is called. Headers below this size that exceed
/// `max_header_bytes` are rejected with status 431.
constexpr ev_ssize_t max_read_header_bytes = 64 << 10;

http_headers copy_headers(const evkeyvalq* source) {
  http_headers headers;
  for (const auto* entry = source->tqh_first; entry != nullptr; entry = entry->next.tqe_next) {
    headers.emplace_back(entry->key, entry->value);
  }
  return headers;
}

std::string method_text(evhttp_cmd_type method) {
  switch (method) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    default:
      return "OTHER";
  }
}

http_request read_request(evhttp_request* raw) {
  http_request request;
  request.method = method_text(evhttp_request_get_command(raw));
  if (const auto* uri = evhttp_request_get_evhttp_uri(raw); uri != nullptr) {
    const char* path = evhttp_uri_get_path(uri);
    const char* query = evhttp_uri_get_query(uri);
    request.path = path == nullptr ? "" : path;
    request.query = query == nullptr ? "" : query;
  }
  request.headers = copy_headers(evhttp_request_get_input_headers(raw));
  auto* body = evhttp_request_get_input_buffer(raw);
  request.body.resize(evbuffer_get_length(body));
  evbuffer_remove(body, request.body.data(), request.body.size());
  return request;
}

std::size_t header_bytes(const http_headers& headers) {
  std::size_t total = 0;
  for (const auto& [name, value] : headers) {
    total += name.size() + value.size();
  }
  return total;
}

void on_closed(evhttp_connection* /*connection*/, void* argument) {
  auto* pending = static_cast<detail::pending_reply*>(argument);
  if (!std::exchange(pending->caller_gone, true)) {
    --*pending->in_progress;
  }
  if (*pending->destroying) {
    pending->request = nullptr;
  }
}

}  // namespace

struct http_server::implementation {
  options opts;
  handler handle;
  evhttp* server{nullptr};
  evhttp_bound_socket* socket{nullptr};
  std::shared_ptr<std::size_t> in_progress{std::make_shared<std::size_t>(0)};
  std::shared_ptr<bool> destroying{std::make_shared<bool>(false)};
  event_base* base{nullptr};
  std::uint64_t last_connection{0};
  /// Connection numbers by bufferevent. A reused bufferevent address is assigned a new number.
  absl::flat_hash_map<bufferevent*, std::uint64_t> connection_numbers;

  static bufferevent* on_accepted(event_base* base, void* argument) {
    auto* self = static_cast<implementation*>(argument);
    auto* buffered = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    self->connection_numbers[buffered] = ++self->last_connection;
    return buffered;
  }

  void on_request(evhttp_request* raw) {
    const auto pending = std::make_shared<detail::pending_reply>();
    pending->request = raw;
    pending->in_progress = in_progress;
    pending->destroying = destroying;
    ++*in_progress;
    auto* connection = evhttp_request_get_connection(raw);
    evhttp_connection_set_closecb(connection, &on_closed, pending.get());
    const http_responder responder{pending};
    auto request = read_request(raw);
    request.connection = connection_numbers[evhttp_connection_get_bufferevent(connection)];
    if (header_bytes(request.headers) > opts.max_header_bytes) {
      responder.send({.status = 431, .headers = {}, .body = "headers are larger than the limit\n"});
    } else {
      handle(std::move(request), responder);
    }
  }
};

void http_responder::send(const http_response& response) const {
  auto* raw = std::exchange(pending_->request, nullptr);
  if (raw == nullptr) {
    return;
  }
  auto* connection = evhttp_request_get_connection(raw);
  if (pending_->caller_gone || connection == nullptr) {
    evhttp_request_free(raw);
    return;
  }
  --*pending_->in_progress;
  evhttp_connection_set_closecb(connection, nullptr, nullptr);
  auto* headers = evhttp_request_get_output_headers(raw);
  for (const auto& [name, value] : response.headers) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  evbuffer_add(evhttp_request_get_output_buffer(raw), response.body.data(), response.body.size());
  evhttp_send_reply(raw, response.status, nullptr, nullptr);
}

bool http_responder::open() const noexcept {
  if (pending_->request == nullptr || pending_->caller_gone) {
    return false;
  }
  auto* connection = evhttp_request_get_connection(pending_->request);
  if (connection == nullptr) {
    return false;
  }
  // evhttp does not read while a response is pending, so peek at the socket to detect a disconnect.
  const auto descriptor = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
  char next{};
  return recv(descriptor, &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT) != 0;
}

http_server::http_server(event_loop& loop, options opts, handler handle)
    : implementation_{std::make_unique<implementation>()} {
  implementation_->opts = std::move(opts);
  implementation_->handle = std::move(handle);
  implementation_->base = loop.base();
  implementation_->server = evhttp_new(loop.base());
  auto* server = implementation_->server;
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(implementation_->opts.idle_timeout).count();
  evhttp_set_timeout(server, static_cast<int>(seconds));
  evhttp_set_max_body_size(server, static_cast<ev_ssize_t>(implementation_->opts.max_body_bytes));
  evhttp_set_max_headers_size(server, max_read_header_bytes);
  evhttp_set_allowed_methods(
      server, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD);
  const auto dispatch = [](evhttp_request* raw, void* argument) {
    static_cast<implementation*>(argument)->on_request(raw);
  };
  evhttp_set_gencb(server, dispatch, implementation_.get());
  evhttp_set_bevcb(server, &implementation::on_accepted, implementation_.get());
}

http_server::~http_server() {
  *implementation_->destroying = true;
  evhttp_free(implementation_->server);
}

absl::Status http_server::listen() {
  const auto& opts = implementation_->opts;
  implementation_->socket =
      evhttp_bind_socket_with_handle(implementation_->server, opts.address.c_str(), opts.port);
  if (implementation_->socket == nullptr) {
    return absl::UnavailableError(fmt::format("cannot listen on {}:{}", opts.address, opts.port));
  }
  return absl::OkStatus();
}

void http_server::stop_listening() {
  if (auto* accepting_socket = std::exchange(implementation_->socket, nullptr); accepting_socket != nullptr) {
    evhttp_del_accept_socket(implementation_->server, accepting_socket);
  }
}

std::uint64_t http_server::last_connection() const noexcept {
  return implementation_->last_connection;
}

std::size_t http_server::in_progress() const noexcept {
  return *implementation_->in_progress;
}

}  // namespace rhubarbpath

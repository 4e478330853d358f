#include "rhubarbpath/transport/http_server.hpp"

#include <event2/buffer.h>
#include <evhtp.h>
#include <evhtp/parser.h>
#include <fmt/format.h>
#include <sys/socket.h>

#include <array>
#include <utility>

#include "absl/container/flat_hash_map.h"

namespace rhubarbpath {

namespace detail {

/// Shared by the copies of a responder; `request` is cleared when libevhtp frees the request.
struct pending_reply {
  evhtp_request_t* request{nullptr};
  std::shared_ptr<std::size_t> in_progress;
  bool in_handler{true};
  bool paused{false};
};

}  // namespace detail

namespace {

/// libevhtp stores hooks of all types as one function pointer type and casts them back.
template <class Hook>
evhtp_hook as_hook(Hook* hook) {
  return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(hook));
}

using pending_pointer = std::shared_ptr<detail::pending_reply>;

int append_header(evhtp_kv_t* header, void* argument) {
  auto* headers = static_cast<http_headers*>(argument);
  headers->emplace_back(std::string{header->key, header->klen}, std::string{header->val, header->vlen});
  return 0;
}

std::string take_body(evbuffer* buffer) {
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, body.data(), body.size());
  return body;
}

http_request read_request(evhtp_request_t* raw) {
  http_request request;
  request.method = htparser_get_methodstr_m(raw->method);
  const auto* uri = raw->uri;
  if (uri != nullptr && uri->path != nullptr && uri->path->full != nullptr) {
    request.path = uri->path->full;
  }
  if (uri != nullptr && uri->query_raw != nullptr) {
    request.query = reinterpret_cast<const char*>(uri->query_raw);
  }
  evhtp_kvs_for_each(raw->headers_in, &append_header, &request.headers);
  request.body = take_body(raw->buffer_in);
  return request;
}

std::size_t header_bytes(const http_headers& headers) {
  std::size_t total = 0;
  for (const auto& [name, value] : headers) {
    total += name.size() + value.size();
  }
  return total;
}

void write_response(evhtp_request_t* raw, const http_response& response) {
  for (const auto& [name, value] : response.headers) {
    evhtp_headers_add_header(raw->headers_out, evhtp_header_new(name.c_str(), value.c_str(), 1, 1));
  }
  evbuffer_add(raw->buffer_out, response.body.data(), response.body.size());
  evhtp_send_reply(raw, static_cast<evhtp_res>(response.status));
}

evhtp_res on_request_finished(evhtp_request_t* /*raw*/, void* argument) {
  const std::unique_ptr<pending_pointer> pending{static_cast<pending_pointer*>(argument)};
  if ((*pending)->request != nullptr) {
    (*pending)->request = nullptr;
    --*(*pending)->in_progress;
  }
  return EVHTP_RES_OK;
}

std::string_view parse_error_answer(evhtp_connection_t* connection) {
  if (connection->request != nullptr && connection->request->status == EVHTP_RES_DATA_TOO_LONG) {
    return "413 Payload Too Large";
  }
  switch (htparser_get_error(connection->parser)) {
    case htparse_error_none:
      return {};
    case htparse_error_too_big:
      return "431 Request Header Fields Too Large";
    default:
      return "400 Bad Request";
  }
}

/// libevhtp drops a connection with a parse error without an answer. This writes one straight to the
/// socket, because the connection's output buffer is discarded with it.
void answer_parse_error(evhtp_connection_t* connection) {
  const auto status = parse_error_answer(connection);
  if (status.empty()) {
    return;
  }
  const auto answer = fmt::format("HTTP/1.1 {}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", status);
  send(connection->sock, answer.data(), answer.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  shutdown(connection->sock, SHUT_WR);
  // Unread input would make the kernel reset the connection and discard the answer.
  constexpr int max_reads = 16;
  std::array<char, 65536> discarded{};
  for (int i = 0; i < max_reads; ++i) {
    if (recv(connection->sock, discarded.data(), discarded.size(), MSG_DONTWAIT) <= 0) {
      break;
    }
  }
}

}  // namespace

struct http_server::implementation {
  options opts;
  handler handle;
  evhtp_t* server{nullptr};
  std::shared_ptr<std::size_t> in_progress{std::make_shared<std::size_t>(0)};
  bool listening{false};
  std::uint64_t last_connection{0};
  absl::flat_hash_map<evhtp_connection_t*, std::uint64_t> connections;

  static evhtp_res on_accepted(evhtp_connection_t* connection, void* argument) {
    auto* self = static_cast<implementation*>(argument);
    self->connections[connection] = ++self->last_connection;
    evhtp_connection_set_hook(connection, evhtp_hook_on_connection_fini, as_hook(&on_finished), self);
    return EVHTP_RES_OK;
  }

  static evhtp_res on_finished(evhtp_connection_t* connection, void* argument) {
    static_cast<implementation*>(argument)->connections.erase(connection);
    answer_parse_error(connection);
    return EVHTP_RES_OK;
  }

  void on_request(evhtp_request_t* raw) {
    const auto pending = std::make_shared<detail::pending_reply>();
    pending->request = raw;
    pending->in_progress = in_progress;
    ++*in_progress;
    // The hook owns this copy until libevhtp frees the request, also when the caller disconnects.
    auto* for_hook = new pending_pointer{pending};
    evhtp_request_set_hook(raw, evhtp_hook_on_request_fini, as_hook(&on_request_finished), for_hook);
    const http_responder responder{pending};
    auto request = read_request(raw);
    request.connection = connections[raw->conn];
    if (header_bytes(request.headers) > opts.max_header_bytes) {
      responder.send({.status = 431, .headers = {}, .body = "headers are larger than the limit\n"});
    } else {
      handle(std::move(request), responder);
    }
    pending->in_handler = false;
    if (pending->request != nullptr) {
      pending->paused = true;
      evhtp_request_pause(raw);
    }
  }
};

void http_responder::send(const http_response& response) const {
  if (!open()) {
    return;
  }
  auto* raw = std::exchange(pending_->request, nullptr);
  --*pending_->in_progress;
  write_response(raw, response);
  if (pending_->paused) {
    evhtp_request_resume(raw);
  }
}

bool http_responder::open() const noexcept {
  return pending_->request != nullptr;
}

http_server::http_server(event_loop& loop, options opts, handler handle)
    : implementation_{std::make_unique<implementation>()} {
  implementation_->opts = std::move(opts);
  implementation_->handle = std::move(handle);
  implementation_->server = evhtp_new(loop.base(), nullptr);
  auto* server = implementation_->server;
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(implementation_->opts.idle_timeout).count();
  const timeval timeout{.tv_sec = seconds, .tv_usec = 0};
  evhtp_set_timeouts(server, &timeout, &timeout);
  evhtp_set_max_body_size(server, implementation_->opts.max_body_bytes);
  const auto dispatch = [](evhtp_request_t* raw, void* argument) {
    static_cast<implementation*>(argument)->on_request(raw);
  };
  evhtp_set_gencb(server, dispatch, implementation_.get());
  evhtp_set_post_accept_cb(server, &implementation::on_accepted, implementation_.get());
}

http_server::~http_server() {
  stop_listening();
  // libevhtp does not free connections with its server, and one with a paused request would stay.
  while (!implementation_->connections.empty()) {
    evhtp_connection_free(implementation_->connections.begin()->first);
  }
  evhtp_free(implementation_->server);
}

absl::Status http_server::listen() {
  constexpr int backlog = 512;
  const auto& opts = implementation_->opts;
  if (evhtp_bind_socket(implementation_->server, opts.address.c_str(), opts.port, backlog) != 0) {
    return absl::UnavailableError(fmt::format("cannot listen on {}:{}", opts.address, opts.port));
  }
  implementation_->listening = true;
  return absl::OkStatus();
}

void http_server::stop_listening() {
  if (std::exchange(implementation_->listening, false)) {
    evhtp_unbind_socket(implementation_->server);
  }
}

std::uint64_t http_server::last_connection() const noexcept {
  return implementation_->last_connection;
}

std::size_t http_server::in_progress() const noexcept {
  return *implementation_->in_progress;
}

}  // namespace rhubarbpath

#include "rhubarbpath/transport/http_server.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "rhubarbpath/transport/http_status.hpp"

namespace rhubarbpath {

namespace detail {

struct tracked_connection;

/// State shared by all copies of a responder.
struct pending_reply {
  evhttp_request* request{nullptr};
  /// Null once the connection has closed or the response was sent.
  tracked_connection* connection{nullptr};
  std::shared_ptr<std::size_t> in_progress;
  std::shared_ptr<connection_guard> limits;
  connection_guard::group server{0};
  std::uint64_t admitted_bytes{0};
  bool admitted{false};

  pending_reply() = default;
  pending_reply(const pending_reply&) = delete;
  pending_reply(pending_reply&&) = delete;
  pending_reply& operator=(const pending_reply&) = delete;
  pending_reply& operator=(pending_reply&&) = delete;
  /// Closes the connection of a request that was never answered.
  ~pending_reply() {
    if (admitted) {
      limits->finish(server, admitted_bytes);
    }
    auto* raw = std::exchange(request, nullptr);
    if (raw == nullptr) {
      return;
    }
    if (auto* open = evhttp_request_get_connection(raw); open != nullptr) {
      evhttp_connection_free(open);
    } else {
      evhttp_request_free(raw);
    }
  }
};

/// What a server knows of one connection. Lives until evhttp closes the connection.
struct tracked_connection {
  http_server::implementation* server{nullptr};
  connection_guard::connection id{0};
  std::uint64_t number{0};  ///< As in `http_request::connection`.
  bufferevent* stream{nullptr};
  evhttp_connection* raw{nullptr};
  pending_reply* pending{nullptr};
  /// What was taken from the input for the request that is arriving, with what evhttp adds to it.
  std::uint64_t parsed_bytes{0};
  std::uint64_t counted_parsed_bytes{0};
  std::uint64_t kernel_bytes{0};
  /// An answer is not taken whole.
  bool answering{false};
  /// The request was open at the last measurement.
  bool measured{false};
  /// This server closes the connection, which frees its request.
  bool closing{false};
};

}  // namespace detail

namespace {

/// evhttp rejects larger headers before the handler is called. Headers below this size that exceed
/// `max_header_bytes` are rejected with status 431.
constexpr ev_ssize_t max_read_header_bytes = 64 << 10;
/// A body that exceeds the limit by less is read whole, so that its sender gets an answer and no reset.
constexpr std::uint64_t body_overrun_bytes = 64U << 10U;
/// What the kernel keeps for a connection whose client sends ahead.
constexpr int receive_buffer_bytes = 64 << 10;
/// evhttp takes memory of this size for each piece of the input that it parses, such as a header line.
constexpr std::uint64_t bytes_per_piece = 256;
constexpr std::uint64_t parsed_step = 4U << 10U;
/// While a request is open, its body is kept in this many forms, such as the parsed job and the store's row.
constexpr std::uint64_t forms_of_body = 8;
/// What evhttp and the handler keep for an open request and for each of its headers.
constexpr std::uint64_t bytes_per_request = 2U << 10U;
constexpr std::uint64_t bytes_per_header = 160;

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

std::uint64_t kept_bytes(const http_request& request) {
  return bytes_per_request + 4 * (request.path.size() + request.query.size()) +
         2 * header_bytes(request.headers) + bytes_per_header * request.headers.size() +
         forms_of_body * request.body.size();
}

}  // namespace

namespace {

/// For a server without limits.
class no_limits final : public connection_guard {
 public:
  group add_server(double /*reserved_share*/, server_calls /*calls*/) override { return 0; }
  void remove_server(group /*server*/) override {}
  connection open(group /*server*/) override { return ++last_id_; }
  void close(connection /*id*/) override {}
  void hold(connection /*id*/, std::uint64_t /*bytes*/) override {}
  void progressed(connection /*id*/) override {}
  bool admit(group /*server*/, std::uint64_t /*bytes*/) override { return true; }
  void finish(group /*server*/, std::uint64_t /*bytes*/) override {}
  void note(std::string_view /*reason*/) override {}

 private:
  connection last_id_{0};
};

}  // namespace

struct http_server::implementation {
  options opts;
  handler handle;
  evhttp* server{nullptr};
  evhttp_bound_socket* socket{nullptr};
  std::shared_ptr<std::size_t> in_progress{std::make_shared<std::size_t>(0)};
  /// Ends with this object; posted callbacks look at it first.
  std::shared_ptr<bool> alive{std::make_shared<bool>(true)};
  event_loop* loop{nullptr};
  bool destroying{false};
  std::uint64_t last_connection{0};
  connection_guard::group group{0};
  absl::flat_hash_map<connection_guard::connection, std::unique_ptr<detail::tracked_connection>> connections;
  absl::flat_hash_map<bufferevent*, detail::tracked_connection*> by_stream;

  [[nodiscard]] std::size_t read_limit() const {
    // evhttp takes a body from the input only when it is whole.
    return static_cast<std::size_t>(opts.max_body_bytes + 2 * body_overrun_bytes) +
           static_cast<std::size_t>(max_read_header_bytes);
  }

  static bufferevent* on_accepted(event_base* base, void* argument) {
    auto* self = static_cast<implementation*>(argument);
    auto* stream = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    if (stream != nullptr) {
      self->track(stream);
    }
    return stream;
  }

  void track(bufferevent* stream) {
    auto added = std::make_unique<detail::tracked_connection>();
    added->server = this;
    added->id = opts.limits->open(group);
    added->number = ++last_connection;
    added->stream = stream;
    by_stream[stream] = added.get();
    evbuffer_add_cb(bufferevent_get_input(stream), &on_input, added.get());
    evbuffer_add_cb(bufferevent_get_output(stream), &on_output, added.get());
    bufferevent_setwatermark(stream, EV_READ, 0, read_limit());
    // evhttp makes its connection after this call and before the loop waits again.
    loop->post([this, id = added->id, token = std::weak_ptr<bool>{alive}] {
      if (!token.expired()) {
        attach(id);
      }
    });
    connections[added->id] = std::move(added);
  }

  /// Learns evhttp's connection, which is the argument of the callbacks that evhttp has set.
  void attach(connection_guard::connection id) {
    const auto found = connections.find(id);
    if (found == connections.end() || found->second->raw != nullptr) {
      return;
    }
    auto* added = found->second.get();
    void* argument = nullptr;
    bufferevent_getcb(added->stream, nullptr, nullptr, nullptr, &argument);
    added->raw = static_cast<evhttp_connection*>(argument);
    evhttp_connection_set_closecb(added->raw, &on_closed, added);
  }

  static void on_closed(evhttp_connection* /*raw*/, void* argument) {
    auto* closed = static_cast<detail::tracked_connection*>(argument);
    auto* self = closed->server;
    if (auto* pending = closed->pending; pending != nullptr) {
      --*pending->in_progress;
      pending->connection = nullptr;
      if (self->destroying || closed->closing) {
        pending->request = nullptr;
      }
    }
    evbuffer_remove_cb(bufferevent_get_input(closed->stream), &on_input, closed);
    evbuffer_remove_cb(bufferevent_get_output(closed->stream), &on_output, closed);
    self->opts.limits->close(closed->id);
    self->by_stream.erase(closed->stream);
    self->connections.erase(closed->id);
  }

  static void on_input(evbuffer* /*input*/, const evbuffer_cb_info* info, void* argument) {
    auto* changed = static_cast<detail::tracked_connection*>(argument);
    if (info->n_deleted > 0 && !changed->answering) {
      changed->parsed_bytes += info->n_deleted + bytes_per_piece;
    }
    if (info->n_added > 0 && changed->answering) {
      // More arrives while the answer is unread; the rest waits in the kernel.
      changed->kernel_bytes = receive_buffer_bytes;
    }
    // Parsing takes many small pieces; they are counted together.
    if (info->n_added > 0 || changed->parsed_bytes >= changed->counted_parsed_bytes + parsed_step) {
      changed->server->count(*changed);
    }
  }

  static void on_output(evbuffer* output, const evbuffer_cb_info* info, void* argument) {
    auto* changed = static_cast<detail::tracked_connection*>(argument);
    const bool unread = evbuffer_get_length(output) > 0;
    if (unread != changed->answering) {
      changed->answering = unread;
      // evhttp reads on while an answer is unread, to see the end of the connection; one byte is enough.
      bufferevent_setwatermark(changed->stream, EV_READ, 0, unread ? 1 : changed->server->read_limit());
      if (!unread) {
        changed->kernel_bytes = 0;
      }
    }
    changed->server->count(*changed);
    if (info->n_deleted > 0) {
      changed->server->opts.limits->progressed(changed->id);
    }
  }

  void count(detail::tracked_connection& connection) const {
    connection.counted_parsed_bytes = connection.parsed_bytes;
    opts.limits->hold(connection.id, connection_budget::idle_bytes +
                                         evbuffer_get_length(bufferevent_get_input(connection.stream)) +
                                         evbuffer_get_length(bufferevent_get_output(connection.stream)) +
                                         connection.parsed_bytes + connection.kernel_bytes +
                                         (connection.pending != nullptr ? bytes_per_request : 0));
  }

  void close(connection_guard::connection id) {
    attach(id);
    if (const auto found = connections.find(id);
        found != connections.end() && found->second->raw != nullptr) {
      found->second->closing = true;
      evhttp_connection_free(found->second->raw);
    }
  }

  /// evhttp does not read while a request is open, so what its client sends meanwhile waits in the kernel.
  void measure(connection_guard::connection id) {
    const auto found = connections.find(id);
    if (found == connections.end()) {
      return;
    }
    auto& connection = *found->second;
    const bool open = connection.pending != nullptr;
    if (open && std::exchange(connection.measured, open)) {
      int waiting = 0;
      ioctl(bufferevent_getfd(connection.stream), FIONREAD, &waiting);
      connection.kernel_bytes = static_cast<std::uint64_t>(std::max(waiting, 0));
      count(connection);
    }
  }

  void on_request(evhttp_request* raw) {
    auto* stream = evhttp_connection_get_bufferevent(evhttp_request_get_connection(raw));
    auto& connection = *by_stream.at(stream);
    attach(connection.id);
    const auto pending = std::make_shared<detail::pending_reply>();
    pending->request = raw;
    pending->connection = &connection;
    pending->in_progress = in_progress;
    pending->limits = opts.limits;
    pending->server = group;
    connection.pending = pending.get();
    connection.measured = false;
    ++*in_progress;
    const http_responder responder{pending};
    auto request = read_request(raw);
    request.connection = connection.number;
    // The open request counts from here on.
    connection.parsed_bytes = 0;
    opts.limits->progressed(connection.id);
    count(connection);
    if (header_bytes(request.headers) > opts.max_header_bytes) {
      opts.limits->note("request refused: headers");
      responder.send({.status = http_status::headers_too_large,
                      .headers = {},
                      .body = "headers are larger than the limit\n"});
    } else if (request.body.size() > opts.max_body_bytes) {
      opts.limits->note("request refused: body");
      responder.send({.status = http_status::body_too_large,
                      .headers = {},
                      .body = "the body is larger than the limit\n"});
    } else if (const auto bytes = kept_bytes(request); !opts.limits->admit(group, bytes)) {
      opts.limits->note("request refused: bytes");
      responder.send({.status = http_status::service_unavailable,
                      .headers = {{"Retry-After", "1"}},
                      .body = "too many requests are open; nothing was done\n"});
    } else {
      pending->admitted = true;
      pending->admitted_bytes = bytes;
      handle(std::move(request), responder);
    }
  }
};

void http_responder::send(const http_response& response) const {
  auto* raw = std::exchange(pending_->request, nullptr);
  if (raw == nullptr) {
    return;
  }
  auto* connection = std::exchange(pending_->connection, nullptr);
  if (connection == nullptr) {
    evhttp_request_free(raw);
    return;
  }
  --*pending_->in_progress;
  connection->pending = nullptr;
  connection->kernel_bytes = 0;
  auto* headers = evhttp_request_get_output_headers(raw);
  for (const auto& [name, value] : response.headers) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  evbuffer_add(evhttp_request_get_output_buffer(raw), response.body.data(), response.body.size());
  evhttp_send_reply(raw, response.status, nullptr, nullptr);
}

bool http_responder::open() const noexcept {
  if (pending_->request == nullptr || pending_->connection == nullptr) {
    return false;
  }
  // evhttp does not read while a response is pending, so peek at the socket to detect a disconnect.
  const auto descriptor = bufferevent_getfd(pending_->connection->stream);
  char next{};
  return recv(descriptor, &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT) != 0;
}

http_server::http_server(event_loop& loop, options opts, handler handle)
    : implementation_{std::make_unique<implementation>()} {
  implementation_->opts = std::move(opts);
  implementation_->handle = std::move(handle);
  implementation_->loop = &loop;
  if (implementation_->opts.limits == nullptr) {
    implementation_->opts.limits = std::make_shared<no_limits>();
  }
  implementation_->group = implementation_->opts.limits->add_server(
      implementation_->opts.reserved_share,
      {.close = [self = implementation_.get()](auto connection) { self->close(connection); },
       .measure = [self = implementation_.get()](auto connection) { self->measure(connection); }});
  implementation_->server = evhttp_new(loop.base());
  auto* server = implementation_->server;
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(implementation_->opts.idle_timeout).count();
  evhttp_set_timeout(server, static_cast<int>(seconds));
  set_max_body_bytes(implementation_->opts.max_body_bytes);
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
  implementation_->destroying = true;
  evhttp_free(implementation_->server);
  implementation_->opts.limits->remove_server(implementation_->group);
}

void http_server::set_max_body_bytes(std::uint64_t bytes) {
  implementation_->opts.max_body_bytes = bytes;
  evhttp_set_max_body_size(implementation_->server, static_cast<ev_ssize_t>(bytes + body_overrun_bytes));
}

absl::Status http_server::listen() {
  const auto& opts = implementation_->opts;
  implementation_->socket =
      evhttp_bind_socket_with_handle(implementation_->server, opts.address.c_str(), opts.port);
  if (implementation_->socket == nullptr) {
    return absl::UnavailableError(fmt::format("cannot listen on {}:{}", opts.address, opts.port));
  }
  // Accepted connections inherit the size. What a client sends ahead waits there.
  setsockopt(evhttp_bound_socket_get_fd(implementation_->socket), SOL_SOCKET, SO_RCVBUF,
             &receive_buffer_bytes, sizeof(receive_buffer_bytes));
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

#include "rhubarbpath/transport/http_client.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <list>
#include <optional>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "rhubarbpath/transport/address.hpp"

namespace rhubarbpath {

namespace {

/// A timer that fires later than this shows that the loop was busy or the process was paused.
constexpr duration late_timer{std::chrono::milliseconds{10}};
/// Time for reading the answers that arrived meanwhile, and its limit after a long pause.
constexpr duration min_late_grace{std::chrono::milliseconds{50}};
constexpr duration max_late_grace{std::chrono::milliseconds{400}};
/// An answer that is arriving must make progress within this time.
constexpr duration transfer_step{std::chrono::milliseconds{300}};

struct connection_deleter {
  void operator()(evhttp_connection* value) const noexcept { evhttp_connection_free(value); }
};

struct pooled_connection {
  std::unique_ptr<evhttp_connection, connection_deleter> raw;
  std::string address;
  instant idle_since{};
  bool bytes_sent{false};
  std::uint64_t bytes_received{0};
};
using connection_pointer = std::unique_ptr<pooled_connection>;

struct pending_call {
  std::uint64_t id{0};
  connection_pointer connection;
  evhttp_request* request{nullptr};
  http_client::callback done;
  timer_handle timeout;
  instant deadline{};
  bool deadline_extended{false};  ///< Because this process was late itself.
  instant last_deadline{};        ///< The deadline is not extended beyond this one while bytes arrive.
  std::uint64_t bytes_seen{0};    ///< `bytes_received` of the connection at the start or the last extension.
  std::optional<evhttp_request_error> error;
};

std::optional<evhttp_cmd_type> method_from_text(const std::string& method) {
  if (method == "GET") {
    return EVHTTP_REQ_GET;
  }
  if (method == "POST") {
    return EVHTTP_REQ_POST;
  }
  if (method == "PUT") {
    return EVHTTP_REQ_PUT;
  }
  if (method == "DELETE") {
    return EVHTTP_REQ_DELETE;
  }
  return std::nullopt;
}

/// Records that bytes were drained from the output buffer; from then on the server may execute the request.
void on_output_changed(evbuffer* /*buffer*/, const evbuffer_cb_info* info, void* argument) {
  if (info->n_deleted > 0) {
    static_cast<pooled_connection*>(argument)->bytes_sent = true;
  }
}

void on_input_changed(evbuffer* /*buffer*/, const evbuffer_cb_info* info, void* argument) {
  static_cast<pooled_connection*>(argument)->bytes_received += info->n_added;
}

std::string_view error_text(evhttp_request_error error) {
  switch (error) {
    case EVREQ_HTTP_TIMEOUT:
      return "the connection timed out";
    case EVREQ_HTTP_EOF:
      return "the connection closed before the answer was whole";
    case EVREQ_HTTP_INVALID_HEADER:
      return "the answer has an invalid header";
    case EVREQ_HTTP_BUFFER_ERROR:
      return "the connection failed";
    case EVREQ_HTTP_REQUEST_CANCEL:
      return "the call was cancelled";
    case EVREQ_HTTP_DATA_TOO_LONG:
      return "the answer is larger than the limit";
  }
  return "the connection failed";
}

http_headers copy_headers(evkeyvalq* source) {
  http_headers headers;
  for (const auto* entry = source->tqh_first; entry != nullptr; entry = entry->next.tqe_next) {
    headers.emplace_back(entry->key, entry->value);
  }
  return headers;
}

/// A response that is delimited only by the end of the connection cannot be told from a truncated one.
bool has_explicit_body_length(const http_response& response) {
  constexpr int no_content = 204;
  return response.status == no_content || !header_value(response.headers, "Content-Length").empty() ||
         !header_value(response.headers, "Transfer-Encoding").empty();
}

}  // namespace

struct http_client::implementation : std::enable_shared_from_this<implementation> {
  implementation(event_loop& loop_ref, options client_options) : loop{loop_ref}, opts{client_options} {}

  event_loop& loop;
  options opts;
  std::uint64_t last_id{0};
  absl::flat_hash_map<std::uint64_t, std::unique_ptr<pending_call>> calls;
  absl::flat_hash_map<std::string, std::list<connection_pointer>> idle;
  absl::flat_hash_map<std::string, int> open_connections;
  std::size_t all_open_connections{0};

  struct request_context {
    std::weak_ptr<implementation> client;
    std::uint64_t id;
  };

  connection_pointer connect(const std::string& address) {
    const auto target = parse_address(address);
    if (!target.ok()) {
      return nullptr;
    }
    auto connection = std::make_unique<pooled_connection>();
    connection->address = address;
    connection->raw.reset(
        evhttp_connection_base_new(loop.base(), nullptr, target->host.c_str(), target->port));
    if (connection->raw == nullptr) {
      return nullptr;
    }
    evhttp_connection_set_max_body_size(connection->raw.get(), static_cast<ev_ssize_t>(opts.max_body_bytes));
    auto* buffers = evhttp_connection_get_bufferevent(connection->raw.get());
    evbuffer_add_cb(bufferevent_get_output(buffers), &on_output_changed, connection.get());
    evbuffer_add_cb(bufferevent_get_input(buffers), &on_input_changed, connection.get());
    ++open_connections[address];
    ++all_open_connections;
    return connection;
  }

  connection_pointer take_idle(const std::string& address) {
    auto& list = idle[address];
    while (!list.empty()) {
      auto connection = std::move(list.back());
      list.pop_back();
      if (loop.now() - connection->idle_since <= opts.max_idle_age) {
        return connection;
      }
      close(std::move(connection));
    }
    return nullptr;
  }

  /// Defers freeing the connection to the loop, because evhttp may still use it in the current callback.
  void close(connection_pointer connection) {
    --open_connections[connection->address];
    --all_open_connections;
    auto shared = std::shared_ptr<pooled_connection>{std::move(connection)};
    loop.post([shared] {});
  }

  void release(connection_pointer connection) {
    auto& list = idle[connection->address];
    if (list.size() >= static_cast<std::size_t>(opts.max_idle_connections_per_address)) {
      close(std::move(connection));
      return;
    }
    connection->idle_since = loop.now();
    list.push_back(std::move(connection));
  }

  void post_failure(std::uint64_t id, callback done, std::string reason) {
    const auto weak = weak_from_this();
    auto pending = std::make_unique<pending_call>();
    pending->id = id;
    pending->done = std::move(done);
    calls[id] = std::move(pending);
    loop.post([weak, id, reason = std::move(reason)] {
      if (const auto self = weak.lock()) {
        self->finish(id, http_call_failed{.bytes_sent = false, .timed_out = false, .reason = reason});
      }
    });
  }

  void finish(std::uint64_t id, http_result result) {
    const auto found = calls.find(id);
    if (found == calls.end()) {
      return;
    }
    auto pending = std::move(found->second);
    calls.erase(found);
    pending->timeout.cancel();
    if (pending->connection != nullptr) {
      const auto* response = std::get_if<http_response>(&result);
      const bool reusable = response != nullptr && header_value(response->headers, "Connection") != "close";
      reusable ? release(std::move(pending->connection)) : close(std::move(pending->connection));
    }
    pending->done(std::move(result));
  }

  http_result read_result(pending_call& pending, evhttp_request* raw) {
    http_call_failed failed{.bytes_sent = pending.connection->bytes_sent, .timed_out = false, .reason = {}};
    if (raw == nullptr || evhttp_request_get_response_code(raw) == 0 || pending.error) {
      failed.reason = pending.error ? error_text(*pending.error) : "the connection failed";
      return failed;
    }
    http_response response{.status = evhttp_request_get_response_code(raw),
                           .headers = copy_headers(evhttp_request_get_input_headers(raw)),
                           .body = {}};
    if (!has_explicit_body_length(response)) {
      failed.reason = "the answer does not mark its end";
      return failed;
    }
    auto* buffer = evhttp_request_get_input_buffer(raw);
    response.body.resize(evbuffer_get_length(buffer));
    evbuffer_remove(buffer, response.body.data(), response.body.size());
    return response;
  }

  static void on_done(evhttp_request* raw, void* argument) {
    const std::unique_ptr<request_context> context{static_cast<request_context*>(argument)};
    const auto self = context->client.lock();
    if (self == nullptr) {
      return;
    }
    const auto found = self->calls.find(context->id);
    if (found != self->calls.end()) {
      found->second->request = nullptr;
      self->finish(context->id, self->read_result(*found->second, raw));
    }
  }

  static void on_error(evhttp_request_error error, void* argument) {
    const auto* context = static_cast<request_context*>(argument);
    const auto self = context->client.lock();
    if (self == nullptr) {
      return;
    }
    if (const auto found = self->calls.find(context->id); found != self->calls.end()) {
      found->second->error = error;
    }
  }

  void set_deadline(pending_call& pending, duration delay) {
    pending.deadline = loop.now() + delay;
    pending.timeout = loop.run_after(delay, [weak = weak_from_this(), id = pending.id] {
      if (const auto self = weak.lock()) {
        self->on_timeout(id);
      }
    });
  }

  void on_timeout(std::uint64_t id) {
    const auto found = calls.find(id);
    if (found == calls.end()) {
      return;
    }
    auto& pending = *found->second;
    // The loop runs timers before it has read all sockets, so after a pause of this process most answers that
    // arrived in time are still unread.
    const auto lateness = loop.now() - pending.deadline;
    if (lateness > late_timer && !std::exchange(pending.deadline_extended, true)) {
      set_deadline(pending, std::clamp(lateness, min_late_grace, max_late_grace));
      return;
    }
    const auto received = pending.connection->bytes_received;
    if (std::exchange(pending.bytes_seen, received) < received && loop.now() < pending.last_deadline) {
      set_deadline(pending, std::min(transfer_step, pending.last_deadline - loop.now()));
      return;
    }
    const bool sent = pending.connection->bytes_sent;
    detach_and_cancel(pending);
    finish(id, http_call_failed{
                   .bytes_sent = sent, .timed_out = true, .reason = "no answer within the time limit"});
  }

  /// Frees the request context, detaches the evhttp request from the call and cancels it.
  static void detach_and_cancel(pending_call& pending) {
    if (auto* raw = std::exchange(pending.request, nullptr); raw != nullptr) {
      delete static_cast<request_context*>(raw->cb_arg);
      evhttp_request_set_error_cb(raw, nullptr);
      raw->cb = nullptr;
      raw->cb_arg = nullptr;
      evhttp_cancel_request(raw);
    }
  }

  void start(std::unique_ptr<pending_call> pending, const http_request& request, evhttp_cmd_type method,
             duration timeout) {
    const auto id = pending->id;
    auto* context = new request_context{.client = weak_from_this(), .id = id};
    auto* raw = evhttp_request_new(&on_done, context);
    evhttp_request_set_error_cb(raw, &on_error);
    auto* headers = evhttp_request_get_output_headers(raw);
    if (header_value(request.headers, "Host").empty()) {
      evhttp_add_header(headers, "Host", pending->connection->address.c_str());
    }
    for (const auto& [name, value] : request.headers) {
      evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(raw), request.body.data(), request.body.size());
    const auto target = request.query.empty() ? request.path : absl::StrCat(request.path, "?", request.query);
    pending->request = raw;
    pending->connection->bytes_sent = false;
    pending->bytes_seen = pending->connection->bytes_received;
    pending->last_deadline = loop.now() + timeout + opts.max_transfer_extension;
    set_deadline(*pending, timeout);
    auto* connection = pending->connection->raw.get();
    calls[id] = std::move(pending);
    if (evhttp_make_request(connection, raw, method, target.c_str()) != 0) {
      // evhttp has already freed the request. The callback is invoked from the loop, as for other failures.
      delete context;
      auto& failed = *calls[id];
      failed.request = nullptr;
      const bool sent = failed.connection->bytes_sent;
      loop.post([weak = weak_from_this(), id, sent] {
        if (const auto self = weak.lock()) {
          self->finish(id,
                       http_call_failed{.bytes_sent = sent, .timed_out = false, .reason = "cannot connect"});
        }
      });
    }
  }
};

http_client::http_client(event_loop& loop, options opts)
    : implementation_{std::make_shared<implementation>(loop, opts)} {}

http_client::~http_client() {
  for (auto& [id, pending] : implementation_->calls) {
    implementation::detach_and_cancel(*pending);
  }
  implementation_->calls.clear();
}

http_client::handle http_client::call(const std::string& address, const http_request& request,
                                      duration timeout, callback done) {
  auto& self = *implementation_;
  const auto id = ++self.last_id;
  const auto method = method_from_text(request.method);
  if (!method) {
    self.post_failure(id, std::move(done), absl::StrCat("method ", request.method, " is not supported"));
    return id;
  }
  auto connection = self.take_idle(address);
  if (connection == nullptr && self.open_connections[address] >= self.opts.max_connections_per_address) {
    self.post_failure(id, std::move(done), absl::StrCat("all connections to ", address, " are in use"));
    return id;
  }
  if (connection == nullptr) {
    connection = self.connect(address);
  }
  if (connection == nullptr) {
    self.post_failure(id, std::move(done), absl::StrCat("\"", address, "\" is not an IP number and port"));
    return id;
  }
  auto pending = std::make_unique<pending_call>();
  pending->id = id;
  pending->connection = std::move(connection);
  pending->done = std::move(done);
  self.start(std::move(pending), request, *method, timeout);
  return id;
}

void http_client::drop_idle(const std::string& address) {
  auto& self = *implementation_;
  for (auto& connection : std::exchange(self.idle[address], {})) {
    self.close(std::move(connection));
  }
}

std::size_t http_client::open_connections() const noexcept {
  return implementation_->all_open_connections;
}

void http_client::cancel(handle pending) {
  auto& self = *implementation_;
  const auto found = self.calls.find(pending);
  if (found == self.calls.end()) {
    return;
  }
  auto call = std::move(found->second);
  self.calls.erase(found);
  implementation::detach_and_cancel(*call);
  if (call->connection != nullptr) {
    self.close(std::move(call->connection));
  }
}

}  // namespace rhubarbpath

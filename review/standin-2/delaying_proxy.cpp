#include "delaying_proxy.hpp"

#include <chrono>

namespace rhubarbpath::review {

namespace {

/// Longer than a worker lets a report wait.
constexpr duration patience{std::chrono::seconds{4}};

}  // namespace

delaying_proxy::delaying_proxy(event_loop& loop, const std::string& address, std::uint16_t port,
                               std::string worker)
    : loop_{loop},
      worker_{std::move(worker)},
      client_{loop, {.max_connections_per_address = 64}},
      server_{loop,
              {.address = address, .port = port},
              [this](const http_request& request, const http_responder& reply) { handle(request, reply); }} {}

void delaying_proxy::handle(const http_request& request, const http_responder& reply) {
  http_request forwarded{
      .method = request.method, .path = request.path, .query = {}, .headers = {}, .body = request.body};
  for (const auto* name : {"Expect-Instance", "Content-Type"}) {
    forwarded.headers.emplace_back(name, header_value(request.headers, name));
  }
  if (held_ && held_(request)) {
    unanswered_.push_back(reply);
    loop_.run_detached(delay_, [this, forwarded] {
      client_.drop_idle(worker_);
      client_.call(worker_, forwarded, patience, [](const http_result&) {});
    });
    return;
  }
  client_.call(worker_, forwarded, patience, [this, reply](const http_result& result) {
    if (const auto* response = std::get_if<http_response>(&result)) {
      reply.send({.status = response->status,
                  .headers = {{"Content-Type", "application/json"}},
                  .body = response->body});
    } else {
      // The connection closes without an answer.
      client_.drop_idle(worker_);
    }
  });
}

}  // namespace rhubarbpath::review

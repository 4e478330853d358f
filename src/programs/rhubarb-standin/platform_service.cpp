#include "platform_service.hpp"

#include <fmt/format.h>

#include "rhubarbpath/protocol/store_codec.hpp"

namespace rhubarbpath::standin {

namespace {

constexpr duration clock_period = std::chrono::milliseconds{20};
constexpr duration one_second = std::chrono::seconds{1};
constexpr std::uint64_t hundred_percent = 100;

bool is_write(const store_request& request) {
  return std::holds_alternative<store_put>(request) || std::holds_alternative<store_erase>(request) ||
         std::holds_alternative<store_lease_grant>(request) ||
         std::holds_alternative<store_lease_renew>(request);
}

}  // namespace

platform_service::platform_service(event_loop& loop, std::string address, std::uint16_t port,
                                   fault_settings& faults, random_source& random, fallback fallback_handler)
    : loop_{loop},
      faults_{faults},
      random_{random},
      fallback_{std::move(fallback_handler)},
      server_{loop,
              {.address = std::move(address), .port = port, .max_body_bytes = 2U << 20U},
              [this](const http_request& request, const http_responder& reply) { handle(request, reply); }},
      clock_timer_{loop.run_every(clock_period, [this] { model_.advance(loop_.now()); })} {}

void platform_service::handle(const http_request& request, const http_responder& reply) {
  if (request.path.starts_with("/kv/") || request.path.starts_with("/lease/")) {
    on_store_call(request, reply);
  } else if (request.path == "/vms") {
    on_vms(request, reply);
  } else {
    fallback_(request, reply);
  }
}

void platform_service::on_store_call(const http_request& request, const http_responder& reply) {
  if (faults_.store.down) {
    answer(store_failure::unavailable, reply);
    return;
  }
  ++call_counts_[request.path];
  const auto decoded = decode_store_request(request.path, request.body);
  if (!decoded.ok()) {
    reply.send({.status = 400, .headers = {}, .body = std::string{decoded.status().message()}});
    return;
  }
  if (const auto* watch = std::get_if<store_watch>(&*decoded)) {
    model_.watch(*watch, loop_.now(),
                 [this, reply](const store_response& response) { answer(response, reply); });
    return;
  }
  if (exceeds_write_limit(*decoded)) {
    answer(store_failure::limited, reply);
    return;
  }
  const auto response = model_.handle(*decoded, loop_.now());
  if (random_.below(hundred_percent) < static_cast<std::uint64_t>(faults_.store.lose_answers_percent)) {
    // The call took effect but its answer is lost. The responder is kept open for 30 s so that the caller
    // times out.
    delayed_answers_[++last_delayed_id_] = loop_.run_after(std::chrono::seconds{30}, [reply] {});
    return;
  }
  answer(response, reply);
}

void platform_service::answer(const store_response& response, const http_responder& reply) {
  const auto text = encode_store_response(response);
  const http_response encoded{
      .status = text.status, .headers = {{"Content-Type", "application/json"}}, .body = text.body};
  if (faults_.store.slow == duration::zero()) {
    reply.send(encoded);
    return;
  }
  const auto id = ++last_delayed_id_;
  delayed_answers_[id] = loop_.run_after(faults_.store.slow, [this, id, reply, encoded] {
    reply.send(encoded);
    delayed_answers_.erase(id);
  });
}

bool platform_service::exceeds_write_limit(const store_request& request) {
  const auto limit = faults_.store.writes_per_second;
  if (limit == 0 || !is_write(request)) {
    return false;
  }
  const auto now = loop_.now();
  while (!recent_writes_.empty() && now - recent_writes_.front() > one_second) {
    recent_writes_.pop_front();
  }
  if (recent_writes_.size() >= static_cast<std::size_t>(limit)) {
    return true;
  }
  recent_writes_.push_back(now);
  return false;
}

void platform_service::on_vms(const http_request& request, const http_responder& reply) {
  const auto now = loop_.now();
  if (request.method == "POST") {
    vm_lists_.emplace_back(now, request.body);
    reply.send({.status = 200, .headers = {}, .body = "{}"});
    return;
  }
  while (vm_lists_.size() > 1 && vm_lists_[1].first <= now - faults_.vm_list_lag) {
    vm_lists_.pop_front();
  }
  const bool has_list = !vm_lists_.empty() && vm_lists_.front().first <= now - faults_.vm_list_lag;
  reply.send({.status = 200, .headers = {}, .body = has_list ? vm_lists_.front().second : "[]"});
}

}  // namespace rhubarbpath::standin

#include "store_access.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

#include "absl/strings/numbers.h"
#include "platform/store_wire.hpp"
#include "rhubarbpath/transport/log.hpp"

namespace rhubarbpath::edge {

namespace {

constexpr int relay_failed_status = 599;
/// Upper bound of a relayed call's time limit. The store allows watches of up to 30 s, but this program
/// uses shorter ones.
constexpr duration max_relay_timeout{std::chrono::seconds{10}};

std::string_view request_name(const kv_request& request) {
  constexpr std::array<std::string_view, std::variant_size_v<kv_request>> names{
      "get", "list", "watch", "commit", "grant", "renew", "release"};
  return names.at(request.index());
}

std::string_view result_name(const kv_result& result) {
  if (std::holds_alternative<kv_unknown>(result)) {
    return "unknown";
  }
  return std::holds_alternative<kv_refused>(result) ? "refused" : "answered";
}

/// Returns true for reads, watches, renewals and releases, which are safe to send a second time.
bool is_idempotent(const kv_request& request) {
  return !std::holds_alternative<kv_commit>(request) && !std::holds_alternative<kv_grant>(request);
}

/// Such a watch tells nothing about the path: the store leaves watches unanswered while it compacts its
/// history, and the answer may have been lost seconds ago, while other calls were answered. The watch's owner
/// then reads the rows again, and that read detects a broken path.
bool is_unanswered_watch(const kv_request& request, const kv_result& result) {
  return std::holds_alternative<kv_watch>(request) && std::holds_alternative<kv_unknown>(result);
}

}  // namespace

struct store_access::pending_call {
  kv_request request;
  callback done;
  instant started_at{};
  std::optional<duration> limit;
  bool direct_tried{false};
  bool peer_tried{false};
  kv_result last_result{kv_refused{.reason = "no path to the store"}};

  [[nodiscard]] duration timeout(const options& opts) const {
    const auto* watch = std::get_if<kv_watch>(&request);
    if (limit) {
      return *limit;
    }
    return watch == nullptr ? opts.call_timeout : duration{watch->wait} + opts.watch_slack;
  }
};

store_access::store_access(event_loop& loop, http_client& client, peer_directory& peers,
                           random_source& random, metrics& counters, options opts)
    : loop_{loop},
      client_{client},
      peers_{peers},
      random_{random},
      counters_{counters},
      opts_{std::move(opts)} {}

void store_access::call(kv_request request, callback done, std::optional<duration> limit) {
  auto call = std::make_shared<pending_call>();
  call->started_at = loop_.now();
  call->limit = limit;
  call->request = std::move(request);
  call->done = std::move(done);
  if (direct_healthy_ || loop_.now() >= direct_retry_at_) {
    // While the direct path is unhealthy, at most one call per `direct_retry_interval` tries it.
    direct_retry_at_ = loop_.now() + opts_.direct_retry_interval;
    attempt_direct(call);
  } else {
    attempt_peer(call);
  }
}

void store_access::set_direct_healthy(bool healthy, const std::string& reason) {
  if (std::exchange(direct_healthy_, healthy) == healthy) {
    return;
  }
  log(healthy ? log_level::info : log_level::warning, healthy ? "store_direct_regained" : "store_direct_lost",
      {{"reason", reason}});
}

void store_access::attempt_direct(const std::shared_ptr<pending_call>& call) {
  call->direct_tried = true;
  const auto address = opts_.store_address;
  client_.call(address, platform::encode_store_request(call->request), call->timeout(opts_),
               [this, call, address](const http_result& raw) {
                 auto result = platform::decode_store_response(call->request, raw);
                 count(call->request, "direct", result);
                 const auto* unknown = std::get_if<kv_unknown>(&result);
                 const auto* refused = std::get_if<kv_refused>(&result);
                 if (unknown == nullptr && refused == nullptr) {
                   set_direct_healthy(true, {});
                   finish(call, std::move(result));
                   return;
                 }
                 if (unknown != nullptr && unknown->timed_out) {
                   client_.drop_idle(address);
                 }
                 if (is_unanswered_watch(call->request, result)) {
                   finish(call, std::move(result));
                   return;
                 }
                 set_direct_healthy(false, unknown != nullptr ? unknown->reason : refused->reason);
                 direct_retry_at_ = loop_.now() + opts_.direct_retry_interval;
                 const bool retry_via_peer = refused != nullptr || is_idempotent(call->request);
                 call->last_result = std::move(result);
                 if (retry_via_peer && !call->peer_tried) {
                   attempt_peer(call);
                 } else {
                   finish(call, std::move(call->last_result));
                 }
               });
}

void store_access::attempt_peer(const std::shared_ptr<pending_call>& call) {
  call->peer_tried = true;
  const auto candidates = peers_.candidates(random_, loop_.now());
  if (candidates.empty()) {
    if (call->direct_tried) {
      finish(call, std::move(call->last_result));
    } else {
      attempt_direct(call);
    }
    return;
  }
  const bool reuse_relay =
      std::find(candidates.begin(), candidates.end(), working_relay_) != candidates.end();
  const auto address = reuse_relay ? working_relay_ : candidates.front();
  auto request = platform::encode_store_request(call->request);
  request.path = std::string{relay_path} + request.path;
  request.headers.emplace_back(peer_header, opts_.self);
  request.headers.emplace_back(relay_timeout_header, fmt::format("{}", call->timeout(opts_).count()));
  client_.call(address, request, call->timeout(opts_) + opts_.watch_slack,
               [this, call, address](const http_result& raw) {
                 const auto* response = std::get_if<http_response>(&raw);
                 const bool relayed = response != nullptr && response->status != relay_failed_status;
                 kv_result result;
                 if (response != nullptr && !relayed) {
                   const auto reason = std::string{header_value(response->headers, relay_failure_header)};
                   result = reason == "not_sent"
                                ? kv_result{kv_refused{.reason = "relay cannot reach the store"}}
                                : kv_result{kv_unknown{.reason = "relay got no answer from the store"}};
                 } else {
                   result = platform::decode_store_response(call->request, raw);
                 }
                 count(call->request, "relay", result);
                 const bool usable = !std::holds_alternative<kv_unknown>(result) &&
                                     !std::holds_alternative<kv_refused>(result);
                 if (usable) {
                   peers_.heard_from(address, loop_.now());
                   working_relay_ = address;
                 } else {
                   working_relay_.clear();
                   peers_.failed(address, loop_.now());
                   if (response == nullptr) {
                     client_.drop_idle(address);
                   }
                 }
                 finish(call, std::move(result));
               });
}

void store_access::finish(const std::shared_ptr<pending_call>& call, kv_result result) {
  // The duration of a watch depends on when events occur, not on the store's latency.
  if (!std::holds_alternative<kv_watch>(call->request)) {
    counters_.observe("rhubarb_store_seconds", fmt::format("call=\"{}\"", request_name(call->request)),
                      loop_.now() - call->started_at);
  }
  if (!std::holds_alternative<kv_unknown>(result) && !std::holds_alternative<kv_refused>(result)) {
    last_answer_ = loop_.now();
    gate_.answered();
  } else if (!is_unanswered_watch(call->request, result)) {
    gate_.failed(loop_.now());
  }
  call->done(std::move(result));
}

void store_access::count(const kv_request& request, std::string_view path, const kv_result& result) {
  counters_.add("rhubarb_store_calls_total", fmt::format("call=\"{}\",path=\"{}\",result=\"{}\"",
                                                         request_name(request), path, result_name(result)));
}

void store_access::relay(const http_request& request, const http_responder& responder) {
  peers_.heard_from(std::string{header_value(request.headers, peer_header)}, loop_.now());
  http_request forwarded{.method = request.method,
                         .path = request.path.substr(relay_path.size()),
                         .query = request.query,
                         .headers = {},
                         .body = request.body};
  if (!request.body.empty()) {
    forwarded.headers.emplace_back("Content-Type", "application/json");
  }
  std::int64_t limit = opts_.call_timeout.count();
  if (!absl::SimpleAtoi(std::string{header_value(request.headers, relay_timeout_header)}, &limit)) {
    log(log_level::debug, "relay_without_time_limit", {});
  }
  client_.call(
      opts_.store_address, forwarded, std::clamp(duration{limit}, duration::zero(), max_relay_timeout),
      [responder](const http_result& raw) {
        if (const auto* response = std::get_if<http_response>(&raw)) {
          responder.send({.status = response->status, .headers = {}, .body = response->body});
          return;
        }
        const bool sent = std::get<http_call_failed>(raw).bytes_sent;
        responder.send({.status = relay_failed_status,
                        .headers = {{std::string{relay_failure_header}, sent ? "unknown" : "not_sent"}},
                        .body = {}});
      });
}

}  // namespace rhubarbpath::edge

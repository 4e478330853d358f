#include "store_stand_in.hpp"

#include <algorithm>
#include <chrono>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

namespace rhubarbpath::soak {

namespace {

using nlohmann::json;

constexpr duration tick_period{std::chrono::milliseconds{25}};
constexpr std::uint64_t percent_range = 100;
constexpr std::size_t page_size = 500;
constexpr std::size_t page_bytes = 1U << 20U;

/// Returns the percent-decoded value of one query parameter, or an empty string when it is absent.
std::string query_value(const std::string& query, const std::string& name) {
  for (const auto part : absl::StrSplit(query, '&')) {
    const std::pair<std::string, std::string> pair = absl::StrSplit(part, absl::MaxSplits('=', 1));
    if (pair.first != name) {
      continue;
    }
    std::string text;
    for (std::size_t i = 0; i < pair.second.size(); ++i) {
      if (pair.second[i] == '%' && i + 2 < pair.second.size()) {
        text += absl::HexStringToBytes(pair.second.substr(i + 1, 2));
        i += 2;
      } else {
        text += pair.second[i];
      }
    }
    return text;
  }
  return {};
}

std::uint64_t query_number(const std::string& query, const std::string& name) {
  std::uint64_t value = 0;
  return absl::SimpleAtoi(query_value(query, name), &value) ? value : 0;
}

http_response json_response(int status, const json& body) {
  return {.status = status, .headers = {{"Content-Type", "application/json"}}, .body = body.dump()};
}

}  // namespace

store_stand_in::store_stand_in(event_loop& loop, const std::string& address, std::uint16_t port,
                               random_source& random)
    : loop_{loop},
      random_{random},
      last_advance_{loop.now()},
      server_{loop,
              {.address = address, .port = port, .max_body_bytes = 8U << 20U},
              [this](const http_request& request, const http_responder& reply) { handle(request, reply); }},
      tick_timer_{loop.run_every(tick_period, [this] { advance(); })} {}

void store_stand_in::put(const std::string& key, const std::string& value) {
  write(key, absl::Base64Escape(value), 0, ++revision_);
  notify();
}

void store_stand_in::erase(const std::string& key) {
  if (rows_.contains(key)) {
    remove(key, ++revision_);
    notify();
  }
}

void store_stand_in::compact() {
  compacted_ = revision_;
  history_.clear();
}

bool store_stand_in::any_call_given_up() {
  return std::erase_if(unanswered_, [](const http_responder& reply) { return !reply.open(); }) > 0;
}

void store_stand_in::limit_rates(store_rates rates) {
  reads_ = {.per_second = static_cast<double>(rates.reads), .left = static_cast<double>(rates.reads)};
  writes_ = {.per_second = static_cast<double>(rates.writes), .left = static_cast<double>(rates.writes)};
  last_refill_ = loop_.now();
}

bool store_stand_in::within_rates(const http_request& request) {
  const auto now = loop_.now();
  const std::chrono::duration<double> passed = now - std::exchange(last_refill_, now);
  for (auto* each : {&reads_, &writes_}) {
    each->left = std::min(each->per_second, each->left + passed.count() * each->per_second);
  }
  // The renewal of a lease counts as a tenth of a read.
  constexpr double renewal = 0.1;
  const bool renews = request.path.starts_with("/api/kv-keep/");
  auto& kind = renews || request.method == "GET" ? reads_ : writes_;
  const double cost = renews ? renewal : 1.0;
  if (kind.per_second > 0 && kind.left < cost) {
    return false;
  }
  kind.left -= cost;
  return true;
}

void store_stand_in::handle(const http_request& request, const http_responder& reply) {
  if (!within_rates(request)) {
    reply.send({.status = 429, .headers = {}, .body = {}});
    return;
  }
  const auto draw_fault = [&](int percent) {
    return percent > 0 && random_.below(percent_range) < static_cast<std::uint64_t>(percent);
  };
  if (faults.down || draw_fault(faults.refused_percent)) {
    reply.send({.status = draw_fault(50) ? 503 : 429, .headers = {}, .body = {}});
    return;
  }
  const auto is_about = [&](std::string_view name) { return request.query.find(name) != std::string::npos; };
  if ((faults.config_unanswered && is_about("config")) ||
      (faults.evacuations_unanswered && is_about("evacuate"))) {
    unanswered_.push_back(reply);
    return;
  }
  if (!faults.unanswered_watches.empty() && request.path == "/api/kv-watch" &&
      query_value(request.query, "prefix") == faults.unanswered_watches) {
    unanswered_.push_back(reply);
    return;
  }
  const bool is_write = request.method != "GET";
  if (is_write && draw_fault(faults.late_writes_percent)) {
    unanswered_.push_back(reply);
    loop_.run_detached(std::chrono::milliseconds{500 + random_.below(3000)}, [this, request] {
      if (!faults.down) {
        static_cast<void>(execute(request));
        notify();
      }
    });
    return;
  }
  const bool lose_answer = draw_fault(faults.lost_answers_percent);
  const auto serve = [this, request, reply, lose_answer] {
    if (lose_answer) {
      unanswered_.push_back(reply);
    }
    if (request.path == "/api/kv-watch") {
      if (!lose_answer) {
        watch(request, reply);
      }
      return;
    }
    const auto response = execute(request);
    if (!lose_answer) {
      reply.send(response);
    }
    notify();
  };
  if (faults.answer_delay > duration::zero()) {
    loop_.run_detached(faults.answer_delay, serve);
  } else {
    serve();
  }
}

store_stand_in::answer store_stand_in::execute(const http_request& request) {
  if (request.path == "/api/kv-key") {
    return read_one(request);
  }
  if (request.path == "/api/kv-range") {
    return read_range(request);
  }
  if (request.path == "/api/kv-txn") {
    return commit(request.body);
  }
  return handle_lease(request);
}

json store_stand_in::encode_item(const std::string& key, const row& stored) const {
  return {{"key", key},
          {"value", stored.value},
          {"revision", stored.changed},
          {"created", stored.created},
          {"lease", stored.lease}};
}

store_stand_in::answer store_stand_in::read_one(const http_request& request) const {
  const auto key = query_value(request.query, "key");
  const auto found = rows_.find(key);
  if (found == rows_.end()) {
    return json_response(404, {{"asOf", revision_}});
  }
  auto body = encode_item(key, found->second);
  body["asOf"] = revision_;
  return json_response(200, body);
}

store_stand_in::answer store_stand_in::read_range(const http_request& request) const {
  const auto prefix = query_value(request.query, "prefix");
  const auto after = query_value(request.query, "after");
  json items = json::array();
  bool has_more = false;
  std::size_t bytes = 0;
  for (auto at = rows_.lower_bound(std::max(prefix, after)); at != rows_.end(); ++at) {
    if (!at->first.starts_with(prefix)) {
      break;
    }
    if (at->first == after) {
      continue;
    }
    if (items.size() == page_size || bytes >= page_bytes) {
      has_more = true;
      break;
    }
    bytes += at->second.value.size();
    items.push_back(encode_item(at->first, at->second));
  }
  return json_response(200, {{"items", std::move(items)}, {"hasMore", has_more}, {"asOf", revision_}});
}

store_stand_in::answer store_stand_in::commit(const std::string& text) {
  const auto body = json::parse(text, nullptr, false);
  if (!body.is_object()) {
    return json_response(400, json::object());
  }
  json current = json::array();
  bool conditions_hold = true;
  for (const auto& each : body.value("expectedRev", json::array())) {
    const auto key = each.value("key", "");
    const auto found = rows_.find(key);
    const auto revision = found == rows_.end() ? 0 : found->second.changed;
    conditions_hold = conditions_hold && revision == each.value("revision", std::uint64_t{0});
    current.push_back(found == rows_.end() ? json{{"key", key}, {"revision", 0}}
                                           : encode_item(key, found->second));
  }
  if (!conditions_hold) {
    return json_response(412, {{"items", std::move(current)}, {"asOf", revision_}});
  }
  for (const auto& each : body.value("put", json::array())) {
    if (each.value("value", "").size() > max_value_bytes / 3 * 4 + 4) {
      return json_response(400, json::object());
    }
    const auto id = each.value("lease", std::uint64_t{0});
    if (id != 0 && !leases_.contains(id)) {
      return json_response(404, json::object());
    }
  }
  const auto at = ++revision_;
  for (const auto& each : body.value("put", json::array())) {
    write(each.value("key", ""), each.value("value", ""), each.value("lease", std::uint64_t{0}), at);
  }
  for (const auto& key : body.value("delete", json::array())) {
    remove(key.get<std::string>(), at);
  }
  return json_response(200, {{"revision", at}});
}

store_stand_in::answer store_stand_in::handle_lease(const http_request& request) {
  if (request.path == "/api/kv-lease") {
    const auto body = json::parse(request.body, nullptr, false);
    const duration ttl = std::chrono::milliseconds{body.is_object() ? body.value("ttlMs", 0) : 0};
    const auto id = ++next_lease_;
    leases_[id] = {.time_to_live = ttl, .expires_at = loop_.now() + ttl, .keys = {}};
    return json_response(
        200, {{"lease", id}, {"ttlMs", std::chrono::duration_cast<std::chrono::milliseconds>(ttl).count()}});
  }
  const auto id_begin = request.path.rfind('/') + 1;
  std::uint64_t id = 0;
  const auto found = absl::SimpleAtoi(request.path.substr(id_begin), &id) ? leases_.find(id) : leases_.end();
  if (found == leases_.end()) {
    return json_response(404, json::object());
  }
  if (request.method == "DELETE") {
    found->second.expires_at = instant{};
    advance();
    return {.status = 200, .headers = {}, .body = {}};
  }
  found->second.expires_at = loop_.now() + found->second.time_to_live;
  return json_response(
      200,
      {{"ttlMs", std::chrono::duration_cast<std::chrono::milliseconds>(found->second.time_to_live).count()}});
}

std::optional<store_stand_in::answer> store_stand_in::events_after(const std::string& prefix,
                                                                   std::uint64_t after) const {
  if (after < compacted_) {
    return json_response(410, {{"asOf", revision_}});
  }
  json events = json::array();
  for (const auto& each : history_) {
    if (each.revision <= after || !each.key.starts_with(prefix)) {
      continue;
    }
    events.push_back(each.written ? encode_item(each.key, *each.written)
                                  : json{{"key", each.key}, {"revision", each.revision}, {"deleted", true}});
  }
  if (events.empty()) {
    return std::nullopt;
  }
  return json_response(200, {{"events", std::move(events)}, {"asOf", revision_}});
}

void store_stand_in::watch(const http_request& request, const http_responder& reply) {
  watchers_.push_back(
      {.prefix = query_value(request.query, "prefix"),
       .after = query_number(request.query, "after"),
       .deadline = loop_.now() + std::chrono::milliseconds{query_number(request.query, "waitMs")},
       .reply = reply});
  notify();
}

void store_stand_in::notify() {
  const auto now = loop_.now();
  std::erase_if(watchers_, [&](const watcher& each) {
    if (const auto events = events_after(each.prefix, each.after)) {
      each.reply.send(*events);
      return true;
    }
    if (each.deadline <= now) {
      each.reply.send(json_response(200, {{"events", json::array()}, {"asOf", revision_}}));
      return true;
    }
    return !each.reply.open();
  });
}

void store_stand_in::advance() {
  const auto now = loop_.now();
  for (auto& [id, held] : leases_) {
    if (faults.down && faults.leases_paused) {
      held.expires_at += now - last_advance_;
    }
  }
  last_advance_ = now;
  for (auto found = leases_.begin(); found != leases_.end();) {
    if (found->second.expires_at > now) {
      ++found;
      continue;
    }
    const auto keys = found->second.keys;
    found = leases_.erase(found);
    if (!keys.empty()) {
      const auto at = ++revision_;
      for (const auto& key : keys) {
        remove(key, at);
      }
    }
  }
  std::erase_if(unanswered_, [](const http_responder& each) { return !each.open(); });
  notify();
}

void store_stand_in::detach_from_lease(const std::string& key, std::uint64_t lease_id) {
  if (const auto held = leases_.find(lease_id); held != leases_.end()) {
    held->second.keys.erase(key);
  }
}

void store_stand_in::write(const std::string& key, std::string value, std::uint64_t lease_id,
                           std::uint64_t at) {
  auto& target = rows_[key];
  detach_from_lease(key, target.lease);
  target.value = std::move(value);
  target.changed = at;
  target.created = target.created == 0 ? at : target.created;
  target.lease = lease_id;
  if (lease_id != 0) {
    leases_[lease_id].keys.insert(key);
  }
  history_.push_back({.revision = at, .key = key, .written = target});
}

void store_stand_in::remove(const std::string& key, std::uint64_t at) {
  const auto found = rows_.find(key);
  if (found == rows_.end()) {
    return;
  }
  detach_from_lease(key, found->second.lease);
  rows_.erase(found);
  history_.push_back({.revision = at, .key = key, .written = std::nullopt});
}

}  // namespace rhubarbpath::soak

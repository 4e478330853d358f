#include "config_feed.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "absl/strings/numbers.h"
#include "platform/config_wire.hpp"
#include "rhubarbpath/transport/http_status.hpp"
#include "rhubarbpath/transport/log.hpp"
#include "rhubarbpath/transport/wall_clock.hpp"

namespace rhubarbpath::edge {

namespace {

/// Wait of the watch after a change. An answer with a change may have been on its way for a whole wait, so a
/// short watch confirms the version.
constexpr std::chrono::milliseconds confirming_wait{250};
/// The store answers at once, with the changes that the unanswered watch did not report.
constexpr std::chrono::milliseconds check_wait{1};
constexpr duration check_timeout{std::chrono::milliseconds{700}};
constexpr duration retry_pause{std::chrono::milliseconds{150}};
constexpr duration tick_interval{std::chrono::milliseconds{100}};
constexpr duration announce_timeout{std::chrono::milliseconds{500}};
/// Collects versions in close succession into one announcement.
constexpr duration announce_pause{std::chrono::milliseconds{50}};
constexpr std::size_t announce_count = 3;

/// 10 Mbit/s, less the encoding of the store's answers.
constexpr std::uint64_t slow_link_bytes_per_microsecond = 1;

constexpr std::string_view version_header = "Rhubarb-Config-Version";
constexpr std::string_view revision_header = "Rhubarb-Config-Revision";
constexpr std::string_view size_header = "Rhubarb-Config-Bytes";
/// Time since the sender knew its version to be the newest, in microseconds.
constexpr std::string_view age_header = "Rhubarb-Config-Age-Us";

/// Returns the number in a header; nothing when it is absent, malformed or negative.
std::optional<std::uint64_t> number_header(const http_headers& headers, std::string_view name) {
  std::int64_t value = 0;
  const bool valid = absl::SimpleAtoi(std::string{header_value(headers, name)}, &value) && value >= 0;
  return valid ? std::optional{static_cast<std::uint64_t>(value)} : std::nullopt;
}

/// Reads the announcement in the headers, without the time of confirmation.
version_tracker::announcement decode_announcement(const std::string& peer, const http_headers& headers) {
  const auto transfer = number_header(headers, size_header).value_or(0) / slow_link_bytes_per_microsecond;
  return {.peer = peer,
          .version = document_version{number_header(headers, version_header).value_or(0)},
          .transfer = duration{static_cast<std::int64_t>(transfer)},
          .confirmed_at = std::nullopt};
}

std::int64_t milliseconds(duration length) {
  return static_cast<std::int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(length).count());
}

}  // namespace

config_feed::config_feed(dependencies deps, std::string self, duration apply_limit, on_change changed)
    : deps_{deps},
      self_{std::move(self)},
      on_change_{std::move(changed)},
      tracker_{version_tracker::options_for(apply_limit)} {}

void config_feed::start() {
  tick_timer_ = deps_.loop.run_every(tick_interval, [this] { tick(); });
  read();
}

version_tracker::standing config_feed::standing() {
  return tracker_.standing_at(boot_clock_now());
}

duration config_feed::age() const {
  return tracker_.age(boot_clock_now()).value_or(duration::zero());
}

// ---- the store ----

void config_feed::read() {
  const auto sent_at = boot_clock_now();
  const auto handle_result = [this, sent_at](const kv_result& result) {
    record_path("read", result, sent_at);
    if (const auto* items = std::get_if<kv_items>(&result)) {
      read_timeout_.answered();
      watch_revision_ = std::max(items->as_of, current_revision_);
      for (const auto& item : items->items) {
        apply(item, "read");
      }
      tracker_.confirm(sent_at);
      run_waiting();
      watch();
      return;
    }
    // Only a timeout suggests that the transfer needs a longer limit; a reset connection does not.
    if (const auto* unknown = std::get_if<kv_unknown>(&result); unknown != nullptr && unknown->timed_out) {
      read_timeout_.timed_out();
    }
    retry_timer_ = deps_.loop.run_after(retry_pause, [this] { read(); });
  };
  deps_.store.call(kv_get{.key = platform::config_key()}, handle_result, read_timeout_.current());
}

void config_feed::watch() {
  const bool changed = std::exchange(changed_in_last_watch_, false);
  const auto longest = std::chrono::duration_cast<std::chrono::milliseconds>(tracker_.watch_wait());
  const auto wait = changed ? std::min(confirming_wait, longest) : longest;
  kv_watch request{.prefix = platform::config_key(), .after = watch_revision_, .wait = wait};
  const auto sent_at = boot_clock_now();
  deps_.store.call(std::move(request), [this, sent_at, wait](const kv_result& result) {
    record_path("watch", result, sent_at);
    if (const auto* events = std::get_if<kv_events>(&result)) {
      watch_revision_ = std::max({watch_revision_, events->as_of, current_revision_});
      changed_in_last_watch_ = !events->events.empty();
      apply_newest(*events, "watch");
      // The store sends an empty answer after the wait, and an answer with changes at any time before.
      tracker_.confirm(changed_in_last_watch_ ? sent_at : std::min(boot_clock_now(), sent_at + wait));
      run_waiting();
      watch();
      return;
    }
    // After compacted history, a lost answer or a refusal the watch cannot resume, so the configuration is
    // read again.
    if (std::holds_alternative<kv_compacted>(result) || std::holds_alternative<kv_unknown>(result)) {
      read();
      return;
    }
    retry_timer_ = deps_.loop.run_after(retry_pause, [this] { read(); });
  });
}

void config_feed::apply_newest(const kv_events& events, std::string_view source) {
  const auto newest = std::find_if(events.events.rbegin(), events.events.rend(), [](const kv_event& event) {
    return !event.deleted && event.item.key == platform::config_key();
  });
  if (newest != events.events.rend()) {
    apply(newest->item, source);
  }
}

void config_feed::tick() {
  const auto now = boot_clock_now();
  // The time for which decisions wait begins when an outdated version is noticed, with or without callers.
  static_cast<void>(tracker_.standing_at(now));
  if (tracker_.check_due(now)) {
    check();
  }
  if (const auto peer = tracker_.fetch_due(now)) {
    fetch(*peer);
  }
  run_waiting();
}

void config_feed::check() {
  announce();
  if (current_ == nullptr || std::exchange(checking_store_, true)) {
    return;
  }
  const auto sent_at = boot_clock_now();
  kv_watch request{.prefix = platform::config_key(), .after = watch_revision_, .wait = check_wait};
  deps_.store.call(
      std::move(request),
      [this, sent_at](const kv_result& result) {
        checking_store_ = false;
        // A failure is left to the watch, which then reads the configuration again.
        if (const auto* events = std::get_if<kv_events>(&result)) {
          apply_newest(*events, "check");
          tracker_.confirm(sent_at);
          run_waiting();
        }
      },
      check_timeout);
}

// ---- other VMs ----

http_headers config_feed::version_headers() const {
  http_headers headers{{std::string{version_header}, fmt::format("{}", tracker_.version().value())},
                       {std::string{revision_header}, fmt::format("{}", current_revision_.value())},
                       {std::string{size_header}, fmt::format("{}", current_text_.size())}};
  if (const auto known_age = tracker_.age(boot_clock_now())) {
    headers.emplace_back(age_header, fmt::format("{}", known_age->count()));
  }
  return headers;
}

void config_feed::announce() {
  auto candidates = deps_.peers.candidates(deps_.random, deps_.loop.now());
  candidates.resize(std::min(candidates.size(), announce_count));
  for (const auto& address : candidates) {
    http_request request{.method = "POST",
                         .path = std::string{config_path},
                         .query = {},
                         .headers = version_headers(),
                         .body = {}};
    request.headers.emplace_back(peer_header, self_);
    const auto sent_at = boot_clock_now();
    deps_.client.call(address, request, announce_timeout,
                      [this, address, sent_at](const http_result& result) {
                        if (const auto* response = std::get_if<http_response>(&result)) {
                          deps_.peers.heard_from(address, deps_.loop.now());
                          note_peer(address, response->headers, sent_at);
                          return;
                        }
                        log(log_level::debug, "announcement_failed",
                            {{"peer", address}, {"reason", std::get<http_call_failed>(result).reason}});
                        deps_.peers.failed(address, deps_.loop.now());
                        deps_.client.drop_idle(address);
                      });
  }
}

void config_feed::note_peer(const std::string& peer, const http_headers& headers, instant sent_at) {
  auto heard = decode_announcement(peer, headers);
  if (const auto age = number_header(headers, age_header)) {
    heard.confirmed_at = sent_at - duration{static_cast<std::int64_t>(*age)};
  }
  tracker_.announced(heard, boot_clock_now());
  run_waiting();
}

void config_feed::serve_peer(const http_request& request, const http_responder& responder) {
  if (request.method == "POST") {
    // The request may have waited in a buffer for any time, so its age says nothing.
    const std::string peer{header_value(request.headers, peer_header)};
    tracker_.announced(decode_announcement(peer, request.headers), boot_clock_now());
    responder.send({.status = http_status::ok, .headers = version_headers(), .body = {}});
    return;
  }
  const bool found = current_ != nullptr;
  responder.send({.status = found ? http_status::ok : http_status::not_found,
                  .headers = version_headers(),
                  .body = found ? current_text_ : std::string{}});
}

void config_feed::fetch(const std::string& peer) {
  const http_request request{
      .method = "GET", .path = std::string{config_path}, .query = {}, .headers = {}, .body = {}};
  const auto sent_at = boot_clock_now();
  deps_.client.call(peer, request, read_timeout_.current(), [this, peer, sent_at](const http_result& result) {
    const auto* response = std::get_if<http_response>(&result);
    if (response == nullptr || response->status != http_status::ok) {
      log(log_level::info, "config_fetch_failed",
          {{"peer", peer},
           {"reason", response == nullptr ? std::get<http_call_failed>(result).reason
                                          : fmt::format("status {}", response->status)}});
      if (response == nullptr) {
        deps_.peers.failed(peer, deps_.loop.now());
        deps_.client.drop_idle(peer);
      }
      tracker_.fetch_failed(boot_clock_now());
      return;
    }
    apply({.key = platform::config_key(),
           .value = response->body,
           .changed = revision{number_header(response->headers, revision_header).value_or(0)}},
          "peer");
    tracker_.fetched();
    note_peer(peer, response->headers, sent_at);
  });
}

// ---- versions ----

void config_feed::record_path(std::string_view call, const kv_result& result, instant sent_at) {
  const auto* refused = std::get_if<kv_refused>(&result);
  const auto* unknown = std::get_if<kv_unknown>(&result);
  const bool failed =
      refused != nullptr || unknown != nullptr || std::holds_alternative<kv_compacted>(result);
  if (!failed) {
    if (const auto failures = std::exchange(path_failures_, 0); failures > 0) {
      log(log_level::info, "config_path_regained",
          {{"call", std::string{call}}, {"failures", failures}, {"config_age_ms", milliseconds(age())}});
    }
    return;
  }
  ++path_failures_;
  deps_.counters.add("rhubarb_config_path_failures_total", fmt::format("call=\"{}\"", call));
  if (path_failures_ == 1) {
    log(log_level::warning, "config_path_lost",
        {{"call", std::string{call}},
         {"reason", refused != nullptr   ? refused->reason
                    : unknown != nullptr ? unknown->reason
                                         : std::string{"history discarded"}},
         {"took_ms", milliseconds(boot_clock_now() - sent_at)},
         {"config_age_ms", milliseconds(age())}});
  }
}

void config_feed::apply(const kv_item& item, std::string_view source) {
  const bool known = item.changed != revision{} && item.changed <= current_revision_;
  if (item.key != platform::config_key() || known) {
    return;
  }
  auto decoded = platform::decode_config(item.value);
  if (!decoded.ok()) {
    log(log_level::error, "config_rejected", {{"reason", std::string{decoded.status().message()}}});
    return;
  }
  if (current_ != nullptr && decoded->version <= current_->version) {
    return;
  }
  log(log_level::info, "config_in_force",
      {{"version", static_cast<std::int64_t>(decoded->version.value())},
       {"revision", static_cast<std::int64_t>(item.changed.value())},
       {"queues", static_cast<std::int64_t>(decoded->queues.size())},
       {"source", std::string{source}}});
  current_ = std::make_shared<const fleet_config>(*std::move(decoded));
  current_text_ = item.value;
  current_revision_ = std::max(current_revision_, item.changed);
  watch_revision_ = std::max(watch_revision_, current_revision_);
  tracker_.hold(current_->version, boot_clock_now());
  on_change_(current_);
  if (!std::exchange(announcement_pending_, true)) {
    deps_.loop.run_detached(announce_pause, [this] {
      announcement_pending_ = false;
      announce();
    });
  }
}

void config_feed::run_waiting() {
  for (const auto& call : std::exchange(waiting_, {})) {
    call();
  }
}

}  // namespace rhubarbpath::edge

#include "config_feed.hpp"

#include <fmt/format.h>

#include <utility>

#include "platform/config_wire.hpp"
#include "rhubarbpath/transport/log.hpp"

namespace rhubarbpath::edge {

namespace {

/// A new configuration must take effect within 2 s of its acknowledgement, and a watch whose connection
/// has gone silent is detected only after this wait.
constexpr std::chrono::milliseconds watch_wait{1500};
constexpr duration retry_pause{std::chrono::milliseconds{150}};

}  // namespace

config_feed::config_feed(event_loop& loop, store_access& store, metrics& counters, on_change changed)
    : loop_{loop}, store_{store}, counters_{counters}, on_change_{std::move(changed)} {}

void config_feed::start() {
  read();
}

void config_feed::read() {
  const auto sent_at = loop_.now();
  const auto handle_result = [this, sent_at](const kv_result& result) {
    record_path("read", result, sent_at);
    if (const auto* items = std::get_if<kv_items>(&result)) {
      read_timeout_.answered();
      watch_revision_ = items->as_of;
      confirmed_at_ = loop_.now();
      for (const auto& item : items->items) {
        apply(item, "read");
      }
      watch();
      return;
    }
    // Only a timeout suggests that the transfer needs a longer limit; a reset connection does not.
    if (const auto* unknown = std::get_if<kv_unknown>(&result); unknown != nullptr && unknown->timed_out) {
      read_timeout_.timed_out();
    }
    retry_timer_ = loop_.run_after(retry_pause, [this] { read(); });
  };
  store_.call(kv_get{.key = platform::config_key()}, handle_result, read_timeout_.current());
}

void config_feed::watch() {
  kv_watch request{.prefix = platform::config_key(), .after = watch_revision_, .wait = watch_wait};
  const auto sent_at = loop_.now();
  store_.call(std::move(request), [this, sent_at](const kv_result& result) {
    record_path("watch", result, sent_at);
    if (const auto* events = std::get_if<kv_events>(&result)) {
      watch_revision_ = std::max(watch_revision_, events->as_of);
      confirmed_at_ = loop_.now();
      for (const auto& event : events->events) {
        if (!event.deleted) {
          apply(event.item, "watch");
        }
      }
      watch();
      return;
    }
    // After compacted history, a lost answer or a refusal the watch cannot resume, so the configuration is
    // read again.
    if (std::holds_alternative<kv_compacted>(result) || std::holds_alternative<kv_unknown>(result)) {
      read();
      return;
    }
    retry_timer_ = loop_.run_after(retry_pause, [this] { read(); });
  });
}

void config_feed::record_path(std::string_view call, const kv_result& result, instant sent_at) {
  const auto milliseconds_since = [this](instant then) {
    return static_cast<std::int64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(loop_.now() - then).count());
  };
  const auto* refused = std::get_if<kv_refused>(&result);
  const auto* unknown = std::get_if<kv_unknown>(&result);
  const bool failed =
      refused != nullptr || unknown != nullptr || std::holds_alternative<kv_compacted>(result);
  if (!failed) {
    if (const auto failures = std::exchange(path_failures_, 0); failures > 0) {
      log(log_level::info, "config_path_regained",
          {{"call", std::string{call}},
           {"failures", failures},
           {"config_age_ms", milliseconds_since(confirmed_at_)}});
    }
    return;
  }
  ++path_failures_;
  counters_.add("rhubarb_config_path_failures_total", fmt::format("call=\"{}\"", call));
  if (path_failures_ == 1) {
    log(log_level::warning, "config_path_lost",
        {{"call", std::string{call}},
         {"reason", refused != nullptr   ? refused->reason
                    : unknown != nullptr ? unknown->reason
                                         : std::string{"history discarded"}},
         {"took_ms", milliseconds_since(sent_at)},
         {"config_age_ms", milliseconds_since(confirmed_at_)}});
  }
}

void config_feed::apply(const kv_item& item, std::string_view source) {
  if (item.key != platform::config_key()) {
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
  on_change_(current_);
}

}  // namespace rhubarbpath::edge

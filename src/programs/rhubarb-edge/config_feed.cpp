#include "config_feed.hpp"

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

config_feed::config_feed(event_loop& loop, store_access& store, on_change changed)
    : loop_{loop}, store_{store}, on_change_{std::move(changed)} {}

void config_feed::start() {
  read();
}

void config_feed::read() {
  const auto handle_result = [this](const kv_result& result) {
    if (const auto* items = std::get_if<kv_items>(&result)) {
      read_timeout_.answered();
      watch_revision_ = items->as_of;
      confirmed_at_ = loop_.now();
      for (const auto& item : items->items) {
        apply(item);
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
  store_.call(std::move(request), [this](const kv_result& result) {
    if (const auto* events = std::get_if<kv_events>(&result)) {
      watch_revision_ = std::max(watch_revision_, events->as_of);
      confirmed_at_ = loop_.now();
      for (const auto& event : events->events) {
        if (!event.deleted) {
          apply(event.item);
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

void config_feed::apply(const kv_item& item) {
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
       {"queues", static_cast<std::int64_t>(decoded->queues.size())}});
  current_ = std::make_shared<const fleet_config>(*std::move(decoded));
  on_change_(current_);
}

}  // namespace rhubarbpath::edge

#include "config_feed.hpp"

#include <utility>

#include "platform/config_wire.hpp"
#include "rhubarbpath/transport/log.hpp"

namespace rhubarbpath::edge {

namespace {

/// A configuration must be in force 2 s after its acknowledgement, and a watch whose connection went
/// silent is noticed only after its wait.
constexpr std::chrono::milliseconds watch_wait{1500};
constexpr duration retry_pause{std::chrono::milliseconds{150}};

}  // namespace

config_feed::config_feed(event_loop& loop, store_access& store, on_change changed)
    : loop_{loop}, store_{store}, changed_{std::move(changed)} {}

void config_feed::start() {
  read();
}

void config_feed::read() {
  const auto take_answer = [this](const kv_result& result) {
    if (const auto* items = std::get_if<kv_items>(&result)) {
      read_limit_.answered();
      seen_ = items->as_of;
      confirmed_at_ = loop_.now();
      for (const auto& item : items->items) {
        take(item);
      }
      watch();
      return;
    }
    // A reset connection says nothing of the transfer's length.
    if (const auto* unknown = std::get_if<kv_unknown>(&result); unknown != nullptr && unknown->timed_out) {
      read_limit_.timed_out();
    }
    retry_ = loop_.run_after(retry_pause, [this] { read(); });
  };
  store_.call(kv_get{.key = platform::config_key()}, take_answer, read_limit_.current());
}

void config_feed::watch() {
  kv_watch request{.prefix = platform::config_key(), .after = seen_, .wait = watch_wait};
  store_.call(std::move(request), [this](const kv_result& result) {
    if (const auto* events = std::get_if<kv_events>(&result)) {
      seen_ = std::max(seen_, events->as_of);
      confirmed_at_ = loop_.now();
      for (const auto& event : events->events) {
        if (!event.deleted) {
          take(event.item);
        }
      }
      watch();
      return;
    }
    // Compacted history, a lost answer or a refusal: the item itself is read again.
    if (std::holds_alternative<kv_compacted>(result) || std::holds_alternative<kv_unknown>(result)) {
      read();
      return;
    }
    retry_ = loop_.run_after(retry_pause, [this] { read(); });
  });
}

void config_feed::take(const kv_item& item) {
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
  changed_(current_);
}

}  // namespace rhubarbpath::edge

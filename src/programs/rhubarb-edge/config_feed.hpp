#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "rhubarbpath/coordination/growing_timeout.hpp"
#include "rhubarbpath/state/fleet.hpp"
#include "rhubarbpath/transport/event_loop.hpp"
#include "rhubarbpath/transport/metrics.hpp"
#include "store_access.hpp"

namespace rhubarbpath::edge {

/// Reads the configuration from the store and watches it for changes. The version of `current` never
/// decreases during the life of the process.
class config_feed {
 public:
  using pointer = std::shared_ptr<const fleet_config>;
  using on_change = std::function<void(const pointer&)>;

  config_feed(event_loop& loop, store_access& store, metrics& counters, on_change changed);
  void start();

  /// Null until a valid configuration has been read.
  [[nodiscard]] const pointer& current() const noexcept { return current_; }
  /// Time of the store's last answer to a read or a watch of the configuration.
  [[nodiscard]] instant confirmed_at() const noexcept { return confirmed_at_; }

 private:
  void read();
  void watch();
  /// Takes a newer version into force; `source` tells the log which call brought it.
  void apply(const kv_item& item, std::string_view source);
  /// Logs the first failed call after an answered one, and the first answered one after that.
  void record_path(std::string_view call, const kv_result& result, instant sent_at);

  event_loop& loop_;
  store_access& store_;
  metrics& counters_;
  on_change on_change_;
  pointer current_;
  revision watch_revision_;
  instant confirmed_at_{};
  growing_timeout read_timeout_{{}};
  std::int64_t path_failures_{0};  ///< Failed calls since the last answered one.
  timer_handle retry_timer_;
};

}  // namespace rhubarbpath::edge

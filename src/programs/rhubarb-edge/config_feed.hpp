#pragma once

#include <functional>
#include <memory>

#include "rhubarbpath/coordination/growing_timeout.hpp"
#include "rhubarbpath/state/fleet.hpp"
#include "rhubarbpath/transport/event_loop.hpp"
#include "store_access.hpp"

namespace rhubarbpath::edge {

/// Reads the configuration from the store and watches it for changes. The version of `current` never
/// decreases during the life of the process.
class config_feed {
 public:
  using pointer = std::shared_ptr<const fleet_config>;
  using on_change = std::function<void(const pointer&)>;

  config_feed(event_loop& loop, store_access& store, on_change changed);
  void start();

  /// Null until a valid configuration has been read.
  [[nodiscard]] const pointer& current() const noexcept { return current_; }
  /// Time of the store's last answer to a read or a watch of the configuration.
  [[nodiscard]] instant confirmed_at() const noexcept { return confirmed_at_; }

 private:
  void read();
  void watch();
  void apply(const kv_item& item);

  event_loop& loop_;
  store_access& store_;
  on_change on_change_;
  pointer current_;
  revision watch_revision_;
  instant confirmed_at_{};
  growing_timeout read_timeout_{{}};
  timer_handle retry_timer_;
};

}  // namespace rhubarbpath::edge

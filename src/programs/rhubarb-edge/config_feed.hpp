#pragma once

#include <functional>
#include <memory>

#include "rhubarbpath/coordination/growing_timeout.hpp"
#include "rhubarbpath/state/fleet.hpp"
#include "rhubarbpath/transport/event_loop.hpp"
#include "store_access.hpp"

namespace rhubarbpath::edge {

/// Keeps the newest configuration. Its version never decreases during the life of a process.
class config_feed {
 public:
  using pointer = std::shared_ptr<const fleet_config>;
  using on_change = std::function<void(const pointer&)>;

  config_feed(event_loop& loop, store_access& store, on_change changed);
  void start();

  /// Null until the first configuration was read.
  [[nodiscard]] const pointer& current() const noexcept { return current_; }
  /// When the store last confirmed that `current` is the newest.
  [[nodiscard]] instant confirmed_at() const noexcept { return confirmed_at_; }

 private:
  void read();
  void watch();
  void take(const kv_item& item);

  event_loop& loop_;
  store_access& store_;
  on_change changed_;
  pointer current_;
  revision seen_;
  instant confirmed_at_{};
  growing_timeout read_limit_{{}};
  timer_handle retry_;
};

}  // namespace rhubarbpath::edge

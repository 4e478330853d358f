#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "rhubarbpath/state/units.hpp"

struct event_base;

namespace rhubarbpath {

/// Owns a timer; destroying the handle cancels the timer.
class timer_handle {
 public:
  timer_handle() = default;
  explicit timer_handle(std::shared_ptr<void> state) : state_{std::move(state)} {}
  [[nodiscard]] bool active() const noexcept { return state_ != nullptr; }
  void cancel() noexcept { state_.reset(); }

 private:
  std::shared_ptr<void> state_;
};

/// A libevent event loop that runs on the thread that calls `run`. A daemon runs all of its work on one loop.
class event_loop {
 public:
  using callback = std::function<void()>;

  event_loop();
  event_loop(const event_loop&) = delete;
  event_loop(event_loop&&) = delete;
  event_loop& operator=(const event_loop&) = delete;
  event_loop& operator=(event_loop&&) = delete;
  ~event_loop();

  /// Monotonic time of this process, offset to match the wall clock when the loop was created.
  [[nodiscard]] instant now() const;

  /// Runs the loop until `stop()` is called, also while no event is pending.
  void run();
  void stop();

  /// Invokes the callback once after `delay`, unless the handle is destroyed first.
  [[nodiscard]] timer_handle run_after(duration delay, callback call);
  /// Invokes the callback once after `delay`. The timer can only be cancelled by destroying the loop.
  void run_detached(duration delay, callback call);
  /// Invokes the callback every `period` until the handle is destroyed.
  [[nodiscard]] timer_handle run_every(duration period, callback call);
  /// Queues the callback to run on the loop after the current callback returns.
  void post(callback call);
  /// Invokes the callback on the loop each time the signal is received, for the lifetime of the loop.
  void on_signal(int signal_number, callback call);

  [[nodiscard]] event_base* base() noexcept;

 private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace rhubarbpath

#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "rhubarbpath/state/units.hpp"

struct event_base;

namespace rhubarbpath {

/// A timer that is cancelled when the handle is destroyed.
class timer_handle {
 public:
  timer_handle() = default;
  explicit timer_handle(std::shared_ptr<void> state) : state_{std::move(state)} {}
  [[nodiscard]] bool active() const noexcept { return state_ != nullptr; }
  void cancel() noexcept { state_.reset(); }

 private:
  std::shared_ptr<void> state_;
};

/// One libevent loop on the calling thread. Everything in a daemon runs on it.
class event_loop {
 public:
  using callback = std::function<void()>;

  event_loop();
  event_loop(const event_loop&) = delete;
  event_loop(event_loop&&) = delete;
  event_loop& operator=(const event_loop&) = delete;
  event_loop& operator=(event_loop&&) = delete;
  ~event_loop();

  /// Monotonic within a process; begins at the wall clock's time when the loop was made.
  [[nodiscard]] instant now() const;

  /// Runs until `stop()`.
  void run();
  void stop();

  /// Calls back once after `delay` unless the handle is destroyed before.
  [[nodiscard]] timer_handle run_after(duration delay, callback call);
  /// Calls back once after `delay`; nothing cancels it but the end of the loop.
  void run_detached(duration delay, callback call);
  /// Calls back every `period` until the handle is destroyed.
  [[nodiscard]] timer_handle run_every(duration period, callback call);
  /// Calls back on the loop after the current callback returned.
  void post(callback call);
  /// Calls back on the loop for each signal of this number, for as long as the loop exists.
  void on_signal(int signal_number, callback call);

  [[nodiscard]] event_base* base() noexcept;

 private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace rhubarbpath

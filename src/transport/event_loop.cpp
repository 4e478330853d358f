#include "rhubarbpath/transport/event_loop.hpp"

#include <event2/event.h>

#include <chrono>
#include <list>
#include <stdexcept>
#include <utility>
#include <vector>

namespace rhubarbpath {

namespace {

struct event_deleter {
  void operator()(event* value) const noexcept { event_free(value); }
};
using event_pointer = std::unique_ptr<event, event_deleter>;

struct timer_state {
  event_pointer timer;
  event_loop::callback call;
};

timeval to_timeval(duration value) {
  const auto microseconds = value.count() < 0 ? 0 : value.count();
  return timeval{.tv_sec = microseconds / 1'000'000, .tv_usec = microseconds % 1'000'000};
}

void on_event(evutil_socket_t /*socket*/, short /*what*/, void* argument) {
  // The callback may destroy its own timer, so a copy keeps it alive during the call.
  const auto call = static_cast<timer_state*>(argument)->call;
  call();
}

std::shared_ptr<timer_state> make_event(event_base* base, int socket, short flags,
                                        event_loop::callback call) {
  auto state = std::make_shared<timer_state>();
  state->call = std::move(call);
  state->timer.reset(event_new(base, socket, flags, &on_event, state.get()));
  if (state->timer == nullptr) {
    throw std::runtime_error{"libevent cannot create an event"};
  }
  return state;
}

}  // namespace

struct event_loop::implementation {
  event_base* base{event_base_new()};
  std::chrono::steady_clock::time_point started{std::chrono::steady_clock::now()};
  duration wall_at_start{
      std::chrono::duration_cast<duration>(std::chrono::system_clock::now().time_since_epoch())};
  std::vector<std::shared_ptr<timer_state>> signals;
  std::list<timer_handle> detached_timers;
  std::vector<event_loop::callback> posted;
  std::shared_ptr<timer_state> wakeup_event;
};

event_loop::event_loop() : implementation_{std::make_unique<implementation>()} {
  if (implementation_->base == nullptr) {
    throw std::runtime_error{"libevent cannot create an event loop"};
  }
  implementation_->wakeup_event = make_event(base(), -1, 0, [this] {
    // Callbacks posted during this pass run in the next loop iteration, after pending I/O events.
    for (const auto& call : std::exchange(implementation_->posted, {})) {
      call();
    }
  });
}

event_loop::~event_loop() {
  implementation_->signals.clear();
  implementation_->detached_timers.clear();
  implementation_->wakeup_event.reset();
  // Objects captured by the callbacks, such as connections, must be released before the event base.
  implementation_->posted.clear();
  event_base_free(implementation_->base);
}

instant event_loop::now() const {
  const auto elapsed = std::chrono::steady_clock::now() - implementation_->started;
  return instant{implementation_->wall_at_start + std::chrono::duration_cast<duration>(elapsed)};
}

void event_loop::run() {
  event_base_loop(implementation_->base, EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::stop() {
  event_base_loopbreak(implementation_->base);
}

timer_handle event_loop::run_after(duration delay, callback call) {
  auto state = make_event(base(), -1, 0, std::move(call));
  const auto interval = to_timeval(delay);
  event_add(state->timer.get(), &interval);
  return timer_handle{std::move(state)};
}

void event_loop::run_detached(duration delay, callback call) {
  auto& pending_timers = implementation_->detached_timers;
  const auto position = pending_timers.emplace(pending_timers.end());
  *position = run_after(delay, [&pending_timers, position, call = std::move(call)] {
    const auto callback_copy = call;
    pending_timers.erase(position);
    callback_copy();
  });
}

timer_handle event_loop::run_every(duration period, callback call) {
  auto state = make_event(base(), -1, EV_PERSIST, std::move(call));
  const auto interval = to_timeval(period);
  event_add(state->timer.get(), &interval);
  return timer_handle{std::move(state)};
}

void event_loop::post(callback call) {
  implementation_->posted.push_back(std::move(call));
  event_active(implementation_->wakeup_event->timer.get(), EV_TIMEOUT, 0);
}

void event_loop::on_signal(int signal_number, callback call) {
  auto state = make_event(base(), signal_number, EV_SIGNAL | EV_PERSIST, std::move(call));
  event_add(state->timer.get(), nullptr);
  implementation_->signals.push_back(std::move(state));
}

event_base* event_loop::base() noexcept {
  return implementation_->base;
}

}  // namespace rhubarbpath

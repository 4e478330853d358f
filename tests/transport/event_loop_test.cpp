#include "rhubarbpath/transport/event_loop.hpp"

#include <catch2/catch.hpp>
#include <memory>
#include <thread>

namespace rhubarbpath {

// Guards against a timer that fires after its owner was destroyed.
TEST_CASE("timer_cancelled_before_expiry_does_not_run") {
  event_loop loop;
  bool cancelled_ran = false;
  auto cancelled = loop.run_after(std::chrono::milliseconds{1}, [&] { cancelled_ran = true; });
  cancelled.cancel();
  const auto stop_timer = loop.run_after(std::chrono::milliseconds{5}, [&] { loop.stop(); });
  loop.run();
  CHECK_FALSE(cancelled_ran);
}

// Guards against a posted callback that is lost or leaked when the loop stops before running it.
TEST_CASE("posted_callback_of_stopped_loop_is_released") {
  const auto captured = std::make_shared<int>(1);
  {
    event_loop loop;
    loop.post([&loop, captured] {
      loop.post([captured] {});
      loop.stop();
    });
    loop.run();
  }
  CHECK(captured.use_count() == 1);
}

// Guards against a timer whose delay counts from the begin of the loop's iteration. When a callback before it
// took long, time limits of calls were cut short by that time.
TEST_CASE("timer_set_after_a_slow_callback_waits_its_whole_delay") {
  constexpr std::chrono::milliseconds slow{60};
  constexpr std::chrono::milliseconds delay{40};
  event_loop loop;
  instant set_at{};
  instant fired_at{};
  timer_handle timer;
  loop.post([&] {
    std::this_thread::sleep_for(slow);
    set_at = loop.now();
    timer = loop.run_after(delay, [&] {
      fired_at = loop.now();
      loop.stop();
    });
  });
  loop.run();
  CHECK(fired_at - set_at >= delay);
}

}  // namespace rhubarbpath

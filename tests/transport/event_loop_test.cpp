#include "rhubarbpath/transport/event_loop.hpp"

#include <catch2/catch.hpp>
#include <memory>

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

}  // namespace rhubarbpath

#include "rhubarbpath/transport/event_loop.hpp"

#include <catch2/catch.hpp>
#include <memory>

namespace rhubarbpath {

// Guards against a timer that still fires after its owner has gone.
TEST_CASE("timer_cancelled_before_expiry_does_not_run") {
  event_loop loop;
  bool cancelled_ran = false;
  auto cancelled = loop.run_after(std::chrono::milliseconds{1}, [&] { cancelled_ran = true; });
  cancelled.cancel();
  const auto stopper = loop.run_after(std::chrono::milliseconds{5}, [&] { loop.stop(); });
  loop.run();
  CHECK_FALSE(cancelled_ran);
}

// Guards against a callback that is lost or leaked when the loop stops before it ran.
TEST_CASE("posted_callback_of_stopped_loop_is_released") {
  const auto held = std::make_shared<int>(1);
  {
    event_loop loop;
    loop.post([&loop, held] {
      loop.post([held] {});
      loop.stop();
    });
    loop.run();
  }
  CHECK(held.use_count() == 1);
}

}  // namespace rhubarbpath

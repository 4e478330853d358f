#include "rhubarbpath/transport/event_loop.hpp"

#include <catch2/catch.hpp>

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

}  // namespace rhubarbpath

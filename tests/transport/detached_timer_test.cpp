#include <catch2/catch.hpp>

#include "rhubarbpath/transport/event_loop.hpp"

namespace rhubarbpath {
namespace {

using std::chrono::milliseconds;

TEST_CASE("event_loop_two_detached_timers_both_run") {
  // Guards against two retries that share one timer handle: scheduling one cancelled the other, and the
  // owner permanently stopped reading the registry.
  event_loop loop;
  int ran = 0;
  loop.run_detached(milliseconds{2}, [&] { ++ran; });
  loop.run_detached(milliseconds{1}, [&] {
    ++ran;
    loop.run_detached(milliseconds{3}, [&] { loop.stop(); });
  });
  loop.run();
  CHECK(ran == 2);
}

}  // namespace
}  // namespace rhubarbpath

#include "rhubarbpath/coordination/request_router.hpp"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "router_cluster.hpp"

namespace rhubarbpath::testing {

namespace {

/// Adds bursts above capacity with idle periods between them; some keys are repeated at another VM.
void add_traffic(router_cluster& cluster, int requests) {
  auto& random = cluster.random();
  for (int i = 0; i < requests; ++i) {
    const auto when = milliseconds{2200 + 800 * random.below(6) + random.below(120)};
    const auto chosen = random.below(3);
    const std::string request_class = chosen == 0 ? "hold" : (chosen == 1 ? "preview" : "stock");
    const auto key = request_class + std::to_string(i);
    const auto time_left = milliseconds{20 + random.below(1500)};
    const int repeats = random.below(4) == 0 ? 2 : 1;
    for (int repeat = 0; repeat < repeats; ++repeat) {
      const auto delay = milliseconds{repeat * static_cast<int>(random.below(1500))};
      cluster.at(when + delay, [&cluster, request_class, key, time_left] {
        cluster.submit(cluster.any_vm(), request_class, key, time_left);
      });
    }
  }
}

cluster_faults random_faults() {
  const auto share = [](int largest) {
    return *rc::gen::weightedOneOf<double>(
        {{1, rc::gen::just(0.0)},
         {1, rc::gen::map(rc::gen::inRange(0, largest), [](int percent) { return percent / 100.0; })}});
  };
  return {.lose_message = share(10),
          .repeat_message = share(30),
          .refuse_connection = share(20),
          .break_connection = share(20),
          .silent_call = share(5),
          .server_error = share(30),
          .intent_unavailable = share(10),
          .crashes = *rc::gen::inRange(0, 3),
          .freezes = *rc::gen::inRange(0, 3)};
}

}  // namespace

// Guards against running a non-idempotent request twice, a wrong `not_run`, a missing answer or that of
// another request, and violations of the slot limit or the class order, while messages are lost or
// repeated, calls fail, and VMs crash or freeze.
TEST_CASE("routers_under_faults_keep_every_guarantee") {
  CHECK(rc::check([] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    router_cluster cluster{*rc::gen::inRange(1, 5), random_faults(), seed};
    add_traffic(cluster, 400);
    cluster.run_until(seconds{25});
    const auto violation = cluster.first_violation();
    RC_LOG(violation);
    RC_ASSERT(violation.empty());
    RC_ASSERT(cluster.in_progress() == 0U);
  }));
}

// Guards against guarantees that hold only because most requests are refused.
TEST_CASE("routers_without_faults_run_nearly_all_requests") {
  router_cluster cluster{4, {}, 7};
  add_traffic(cluster, 300);
  cluster.run_until(seconds{15});
  CHECK(cluster.first_violation().empty());
  CHECK(cluster.answers_with(verdict::may_have_run) < 10);
  CHECK(cluster.answers_with(verdict::ran) > 200);
}

}  // namespace rhubarbpath::testing

#include "rhubarbpath/transport/connection_budget.hpp"

#include <catch2/catch.hpp>

namespace rhubarbpath {
namespace {

constexpr std::uint64_t idle = connection_budget::idle_bytes;

TEST_CASE("connection_budget_above_the_bytes_names_the_holder_longest_without_progress") {
  // Guards against a client that sends slowly and without end while others are closed for it.
  connection_budget budget{{.max_bytes = 100'000, .max_connections = 10}};
  const auto callers = budget.add_group({});
  const auto first = budget.open(callers);
  const auto second = budget.open(callers);
  const auto third = budget.open(callers);
  budget.hold(first, 40'000);
  budget.hold(second, 40'000);
  CHECK_FALSE(budget.next_excess());
  budget.progressed(first);
  budget.hold(first, 70'000);
  REQUIRE(budget.next_excess());
  CHECK(budget.next_excess()->id == second);
  CHECK(budget.next_excess()->passed == connection_budget::bound::bytes);
  budget.close(second);
  CHECK_FALSE(budget.next_excess());
  CHECK(budget.bytes() == 70'000 + idle);
  budget.close(first);
  budget.close(third);
  CHECK(budget.bytes() == 0);
  CHECK(budget.connections() == 0);
}

TEST_CASE("connection_budget_above_the_connections_names_the_idlest") {
  // Guards against closing a connection that is at work while idle ones use up the descriptors.
  connection_budget budget{{.max_bytes = 1'000'000, .max_connections = 2}};
  const auto callers = budget.add_group({});
  const auto working = budget.open(callers);
  const auto idlest = budget.open(callers);
  const auto latest = budget.open(callers);
  budget.hold(working, 2 * idle);
  REQUIRE(budget.next_excess());
  CHECK(budget.next_excess()->id == idlest);
  CHECK(budget.next_excess()->passed == connection_budget::bound::connections);
  budget.progressed(idlest);
  CHECK(budget.next_excess()->id == latest);
}

TEST_CASE("connection_budget_group_within_its_reserve_gives_nothing_up") {
  // Guards against other VMs that are cut off because callers use up the bound.
  connection_budget budget{{.max_bytes = 100'000, .max_connections = 4}};
  const auto callers = budget.add_group({});
  const auto peers = budget.add_group({.bytes = 50'000, .connections = 2});
  const auto peer = budget.open(peers);
  budget.hold(peer, 45'000);
  const auto caller = budget.open(callers);
  budget.hold(caller, 60'000);
  REQUIRE(budget.next_excess());
  CHECK(budget.next_excess()->id == caller);
  budget.hold(caller, idle);
  CHECK(budget.open(peers) > 0);
  CHECK(budget.open(callers) > 0);
  CHECK(budget.open(callers) > 0);
  REQUIRE(budget.next_excess());
  CHECK(budget.next_excess()->owner == callers);
}

TEST_CASE("connection_budget_admits_the_only_request_and_refuses_above_half_of_the_bytes") {
  // Guards against calls to the store that pile up, and against a bound that refuses a single request.
  connection_budget budget{{.max_bytes = 100'000, .max_connections = 10}};
  const auto callers = budget.add_group({});
  const auto peers = budget.add_group({.bytes = 40'000, .connections = 2});
  CHECK(budget.admit(callers, 200'000));
  CHECK_FALSE(budget.admit(callers, 1));
  CHECK(budget.admit(peers, 20'000));
  CHECK_FALSE(budget.admit(peers, 1));
  budget.finish(callers, 200'000);
  CHECK(budget.admit(callers, 30'000));
  CHECK_FALSE(budget.admit(callers, 1));
  budget.finish(callers, 30'000);
  budget.finish(peers, 20'000);
  CHECK(budget.bytes() == 0);
}

TEST_CASE("connection_budget_names_a_large_holder_before_a_caller_that_waits") {
  // Guards against cutting off a caller that waits for the store while others hold megabytes.
  connection_budget budget{{.max_bytes = 100'000, .max_connections = 10}};
  const auto callers = budget.add_group({});
  const auto waiting = budget.open(callers);
  budget.hold(waiting, idle + 2'000);
  const auto large = budget.open(callers);
  budget.hold(large, 200'000);
  REQUIRE(budget.next_excess());
  CHECK(budget.next_excess()->id == large);
}

TEST_CASE("connection_budget_keeps_the_connection_of_a_single_request_above_the_bound") {
  // Guards against closing the connection whose only request was just admitted.
  connection_budget budget{{.max_bytes = 100'000, .max_connections = 10}};
  const auto callers = budget.add_group({});
  const auto id = budget.open(callers);
  budget.hold(id, idle + 2'000);
  CHECK(budget.admit(callers, 500'000));
  CHECK_FALSE(budget.next_excess());
  budget.hold(id, 60'000);
  REQUIRE(budget.next_excess());
  CHECK(budget.next_excess()->id == id);
}

TEST_CASE("connection_budget_ignores_connections_that_were_closed") {
  // Guards against counting a connection after its end.
  connection_budget budget{{.max_bytes = 1, .max_connections = 1}};
  const auto callers = budget.add_group({});
  const auto id = budget.open(callers);
  budget.close(id);
  budget.hold(id, 1'000);
  budget.progressed(id);
  budget.close(id);
  CHECK(budget.bytes() == 0);
  CHECK_FALSE(budget.next_excess());
}

}  // namespace
}  // namespace rhubarbpath

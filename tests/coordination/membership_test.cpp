#include <catch2/catch.hpp>

#include "coordination/simulated_cluster.hpp"

namespace rhubarbpath::test {

namespace {

void start_all(simulated_cluster& cluster) {
  for (std::size_t index = 0; index < cluster.size(); ++index) {
    cluster.start(index);
  }
  cluster.run_for(seconds(8));
}

/// Runs the cluster until the condition is true or the limit has passed. Returns the simulated time.
template <class Condition>
duration time_until(simulated_cluster& cluster, duration limit, Condition condition) {
  duration elapsed{};
  while (elapsed < limit && !condition()) {
    cluster.run_for(milliseconds(10));
    elapsed += milliseconds(10);
  }
  return elapsed;
}

}  // namespace

// Guards against a crashed VM that takes more than 1.5 s to be detected, or more than 3 s to be removed
// from the view (design section 8.3).
TEST_CASE("membership_crash_without_loss_is_detected_by_all_within_the_time_limit") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const std::size_t count = 3 + seed % 7;
    simulated_cluster cluster{count, seed};
    start_all(cluster);
    REQUIRE(cluster.live_lists_agree());
    REQUIRE(cluster.views_agree());
    cluster.run_for(milliseconds(static_cast<std::int64_t>(seed * 37 % 250)));
    cluster.crash(seed % count);
    const auto detected = time_until(cluster, seconds(5), [&] { return cluster.live_lists_agree(); });
    CHECK(detected <= milliseconds(1500));
    const auto view_changed = time_until(cluster, seconds(5), [&] { return cluster.views_agree(); });
    CHECK(detected + view_changed <= seconds(3));
    CHECK(cluster.violations.empty());
  }
}

// Guards against lost heartbeats that remove a live VM, and so its intents, from the view.
TEST_CASE("membership_heartbeat_loss_is_refuted_within_one_incarnation") {
  simulated_cluster cluster{9, 4};
  start_all(cluster);
  cluster.loss = 0.1;
  cluster.run_for(seconds(30));
  cluster.heal();
  cluster.run_for(seconds(3));
  CHECK(cluster.live_lists_agree());
  CHECK(cluster.views_agree());
}

// Guards against a VM that resumes after a pause and acts on its outdated view, document and live list.
TEST_CASE("membership_resumed_vm_reports_that_it_is_stale") {
  random_source random{1};
  const member_info self{.id = {vm_id{"a"}, incarnation{1}}, .failure_domain = {}, .address = "127.0.0.1:1"};
  membership detector{{.self = self}, random};
  std::vector<membership_action> out;
  instant now{seconds(1)};
  detector.handle(membership_tick{}, now, out);
  out.clear();
  detector.handle(membership_tick{}, now + seconds(4), out);
  const bool reported_stale = std::any_of(out.begin(), out.end(), [](const auto& action) {
    const auto* const change = std::get_if<staleness_changed>(&action);
    return change != nullptr && change->stale && change->gap == seconds(4);
  });
  CHECK(reported_stale);
  CHECK(detector.stale());
}

// Guards against outdated news that marks a dead process as alive or its replacement as dead.
TEST_CASE("membership_news_of_an_older_incarnation_is_ignored") {
  random_source random{1};
  membership detector{{.self = {.id = {vm_id{"a"}, incarnation{1}}, .failure_domain = {}, .address = "a"}},
                      random};
  std::vector<membership_action> out;
  const auto news = [](std::uint64_t process, peer::member_state state) {
    return peer::member_update{
        .member = {.id = {vm_id{"b"}, incarnation{process}}, .failure_domain = {}, .address = "b"},
        .round = 0,
        .state = state,
        .draining = false};
  };
  const instant now{seconds(1)};
  peer::heartbeat content;
  content.sender = news(7, peer::member_state::alive);
  detector.handle(heartbeat_received{.from = vm_id{"b"}, .content = content}, now, out);
  content.sender = {.member = {.id = {vm_id{"c"}, incarnation{1}}, .failure_domain = {}, .address = "c"},
                    .round = 0,
                    .state = peer::member_state::alive,
                    .draining = false};
  content.news = {news(6, peer::member_state::dead), news(6, peer::member_state::left)};
  detector.handle(heartbeat_received{.from = vm_id{"c"}, .content = content}, now, out);
  CHECK(detector.live().size() == 3);
}

// Guards against two sides of a partition that stay separate after it heals.
TEST_CASE("membership_partition_heals_and_all_lists_and_views_agree") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    simulated_cluster cluster{6, seed};
    start_all(cluster);
    cluster.partition({0, 0, 0, 0, 1, 1});
    cluster.run_for(seconds(20));
    cluster.heal();
    cluster.run_for(seconds(10));
    CHECK(cluster.live_lists_agree());
    CHECK(cluster.views_agree());
    CHECK(cluster.violations.empty());
  }
}

// Guards against a draining VM that stays a registrar, or exits before its intents are transferred.
TEST_CASE("view_keeper_draining_vm_leaves_the_view_after_its_ranges_are_held_elsewhere") {
  simulated_cluster cluster{5, 3};
  start_all(cluster);
  cluster.drain(2);
  cluster.run_for(seconds(3));
  CHECK(cluster.views_agree());
  CHECK(cluster.ranges_are_ready());
  CHECK(cluster.at(2).intents->untransferred_ranges() == 0);
}

// Guards against different views that result from a write whose answer was lost, or from a stale read.
TEST_CASE("view_keeper_lost_answers_and_stale_reads_end_in_one_view") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    simulated_cluster cluster{5, seed};
    cluster.lost_answers = 0.3;
    cluster.stale_reads = 0.3;
    start_all(cluster);
    cluster.crash(seed % 5);
    cluster.run_for(seconds(10));
    cluster.heal();
    cluster.run_for(seconds(4));
    CHECK(cluster.views_agree());
    CHECK(cluster.violations.empty());
  }
}

// Guards against a row that a faulty or malicious writer stored.
TEST_CASE("view_row_round_trip_is_unchanged_and_malformed_text_is_rejected") {
  const member_info member_a{.id = {vm_id{"a"}, incarnation{3}},
                             .failure_domain = failure_domain_id{"tas-hba"},
                             .address = "127.0.0.1:1"};
  auto member_b = member_a;
  member_b.id.vm = vm_id{"b"};
  const auto first = next_view({}, {member_b, member_a});
  const auto second = next_view(first, {member_a});
  CHECK(decode_view(encode_view(second)).value() == second);
  CHECK(members_at(second, view_number{1}).value() == first.members);
  CHECK(members_at(second, view_number{0}).value().empty());
  for (const auto* const text : {"", "view", "view x\n", "view 1\nm a\n", "view 1\nm b 1 d x\nm a 1 d x\n",
                                 "view 1\nj a 1 d x\n", "view 1\nc 3\n", "view 1\nm a 1 d x"}) {
    CHECK_FALSE(decode_view(text).ok());
  }
}

}  // namespace rhubarbpath::test

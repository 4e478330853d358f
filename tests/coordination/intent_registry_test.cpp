#include <catch2/catch.hpp>

#include "coordination/simulated_cluster.hpp"

namespace rhubarbpath::test {

namespace {

void start_all(simulated_cluster& cluster) {
  for (std::size_t index = 0; index < cluster.size(); ++index) {
    cluster.start(index);
  }
  cluster.run_for(seconds(6));
}

/// Returns the key with the given zero-based number among those whose registrars in the current view are
/// the two given nodes.
idempotency_key key_held_by(simulated_cluster& cluster, std::size_t first, std::size_t second, int number) {
  const auto& members = cluster.at(first).views->current().members;
  for (int attempt = 0;; ++attempt) {
    idempotency_key key{"k" + std::to_string(attempt)};
    const auto pair = registrars_of(members, key_range_of(key));
    const bool matches =
        pair.position_of(cluster.at(first).info.id) && pair.position_of(cluster.at(second).info.id);
    if (matches && number-- == 0) {
      return key;
    }
  }
}

std::optional<verdict> last_verdict(const simulated_cluster& cluster) {
  return cluster.requests.rbegin()->second.answered;
}

member_info member(const std::string& name) {
  return {.id = {vm_id{name}, incarnation{1}}, .failure_domain = failure_domain_id{name}, .address = name};
}

/// A registry without a cluster. Its view and live list contain two other members.
struct standalone_registry {
  intent_registry registry{{.self = member("a")}};
  view current = next_view({}, {member("a"), member("b"), member("c")});
  std::vector<intent_registry_action> out;
  instant now{seconds(1)};

  standalone_registry() {
    live_list_changed live;
    for (const auto& view_member : current.members) {
      live.members.push_back({.info = view_member, .draining = false, .suspected = false});
    }
    registry.handle(live, now, out);
    registry.handle(view_adopted{.adopted = current}, now, out);
  }
  template <class Message>
  Message exchange(const std::string& from, const intent_message& message) {
    out.clear();
    registry.handle(intent_message_received{.from = member(from).id, .message = message}, now, out);
    for (const auto& action : out) {
      const auto* const sent = std::get_if<send_intent_message>(&action);
      if (sent != nullptr && std::holds_alternative<Message>(sent->message)) {
        return std::get<Message>(sent->message);
      }
    }
    FAIL("the registry did not answer");
    return {};
  }
  idempotency_key key_of_pair(const std::string& first, const std::string& second) const {
    for (int attempt = 0;; ++attempt) {
      idempotency_key key{"k" + std::to_string(attempt)};
      const auto pair = registrars_of(current.members, key_range_of(key));
      if (pair.position_of(member(first).id) && pair.position_of(member(second).id)) {
        return key;
      }
    }
  }
  peer::record_intent record(const std::string& from, std::uint64_t sequence,
                             std::uint64_t in_view = 1) const {
    return {.key = key_of_pair("a", "b"),
            .dispatch = {.dispatcher = member(from).id, .sequence = sequence},
            .view = view_number{in_view},
            .first_attempt = false};
  }
};

}  // namespace

// Guards against an acknowledgement for a view that the registrar has not adopted or has left.
TEST_CASE("intent_registrar_record_of_another_view_is_not_acknowledged") {
  standalone_registry standalone;
  using peer::intent_status;
  CHECK(standalone.exchange<peer::intent_answer>("b", standalone.record("b", 1, 2)).status ==
        intent_status::wrong_view);
  CHECK(standalone.exchange<peer::intent_answer>("b", standalone.record("b", 1)).status ==
        intent_status::acknowledged);
  // The dispatcher sends the same record again if the answer was lost.
  CHECK(standalone.exchange<peer::intent_answer>("b", standalone.record("b", 1)).status ==
        intent_status::acknowledged);
  const auto repeat = standalone.exchange<peer::intent_answer>("c", standalone.record("c", 1));
  CHECK(repeat.status == intent_status::in_progress);
  CHECK(repeat.holder->dispatcher == member("b").id);
}

// Guards against a delayed copy of a record that arrives after the withdrawal and holds the key.
TEST_CASE("intent_registrar_delayed_record_of_a_withdrawn_dispatch_does_not_hold_the_key") {
  standalone_registry standalone;
  const auto record = standalone.record("b", 1);
  standalone.exchange<peer::intent_answer>(
      "b", peer::withdraw_intent{.key = record.key, .dispatch = record.dispatch});
  CHECK(standalone.exchange<peer::intent_answer>("b", record).status == peer::intent_status::withdrawn);
  CHECK(standalone.exchange<peer::intent_answer>("c", standalone.record("c", 1)).status ==
        peer::intent_status::acknowledged);
}

// Guards against a transfer from a registrar that can still acknowledge in the source view.
TEST_CASE("intent_registrar_transfer_waits_until_the_source_has_left_its_view") {
  standalone_registry standalone;
  peer::transfer_intents request;
  request.range = key_range_of(standalone.key_of_pair("a", "b"));
  request.source = view_number{1};
  request.target = view_number{2};
  CHECK(standalone.exchange<peer::transfer_intents>("c", request).kind == peer::transfer_kind::retry);
  standalone.registry.handle(
      view_adopted{.adopted = next_view(standalone.current, {member("a"), member("c")})}, standalone.now,
      standalone.out);
  CHECK(standalone.exchange<peer::transfer_intents>("c", request).kind == peer::transfer_kind::entries);
}

// Guards against a registrar that acknowledges right after a pause, with an outdated live list.
TEST_CASE("intent_registrar_paused_process_acknowledges_nothing_until_its_live_list_is_current") {
  standalone_registry standalone;
  standalone.now += seconds(30);
  CHECK(standalone.exchange<peer::intent_answer>("b", standalone.record("b", 1)).status ==
        peer::intent_status::not_ready);
}

// Guards against unbounded memory use, and against intents that are dropped to limit it.
TEST_CASE("intent_registrar_full_table_refuses_new_keys_and_keeps_the_old_until_their_lifetime_ends") {
  standalone_registry standalone;
  standalone.registry = intent_registry{{.self = member("a"), .max_intents = 1, .max_kept_bytes = 10}};
  live_list_changed live;
  for (const auto& each : standalone.current.members) {
    live.members.push_back({.info = each, .draining = false, .suspected = false});
  }
  standalone.registry.handle(live, standalone.now, standalone.out);
  standalone.registry.handle(view_adopted{.adopted = standalone.current}, standalone.now, standalone.out);
  auto other = standalone.record("b", 2);
  other.key = standalone.key_of_pair("a", "c");
  standalone.exchange<peer::intent_answer>("b", standalone.record("b", 1));
  CHECK(standalone.exchange<peer::intent_answer>("b", other).status == peer::intent_status::full);
  const auto first = standalone.record("b", 1);
  peer::kept_answer answer;
  answer.result.result = verdict::ran;
  answer.body = "longer than ten bytes";
  standalone.exchange<peer::intent_answer>(
      "b", peer::finish_intent{.key = first.key, .dispatch = first.dispatch, .answer = answer});
  const auto repeat = standalone.exchange<peer::intent_answer>("c", standalone.record("c", 1));
  CHECK(repeat.status == peer::intent_status::finished);
  CHECK(repeat.answer->body_dropped);
  CHECK(repeat.answer->result.result == verdict::ran);
  for (int tick = 0; tick < 901; ++tick) {
    standalone.now += seconds(1);
    standalone.registry.handle(intent_registry_tick{}, standalone.now, standalone.out);
  }
  CHECK(standalone.registry.intents() == 0);
}

// Guards against a repeat that is dispatched again, and against one that does not get the kept answer.
TEST_CASE("intent_registry_repeat_at_another_vm_gets_the_answer_of_the_first_dispatch") {
  simulated_cluster cluster{5, 7};
  start_all(cluster);
  for (int number = 0; number < 40; ++number) {
    const idempotency_key key{"repeat" + std::to_string(number)};
    cluster.request(0, key, true, seconds(3));
    cluster.run_for(milliseconds(number * 3));
    cluster.request(1 + static_cast<std::size_t>(number) % 4, key, false, seconds(3));
    cluster.run_for(seconds(4));
    REQUIRE(last_verdict(cluster).has_value());
  }
  CHECK(cluster.violations.empty());
  CHECK(cluster.verdicts[verdict::ran] >= 25);
}

// Guards against a deadlock of two dispatchers that are each recorded at one of the key's registrars.
TEST_CASE("intent_registry_two_copies_at_once_end_with_one_dispatch_before_the_deadline") {
  simulated_cluster cluster{5, 8};
  start_all(cluster);
  for (int number = 0; number < 60; ++number) {
    const idempotency_key key{"race" + std::to_string(number)};
    cluster.request(0, key, false, seconds(5));
    cluster.request(1, key, false, seconds(5));
    cluster.run_for(seconds(2));
    REQUIRE(last_verdict(cluster).has_value());
  }
  CHECK(cluster.violations.empty());
}

// Guards against a key that is dispatched again after both of its registrars were lost.
TEST_CASE("intent_registry_both_registrars_lost_taints_the_range") {
  simulated_cluster cluster{7, 9};
  start_all(cluster);
  const auto key = key_held_by(cluster, 0, 1, 0);
  const auto unused = key_held_by(cluster, 0, 1, 1);
  cluster.request(2, key, false, seconds(2));
  cluster.run_for(seconds(1));
  const auto before = cluster.dispatch_counts[key];
  cluster.crash(0);
  cluster.crash(1);
  cluster.run_for(seconds(20));
  REQUIRE(cluster.ranges_are_ready());
  cluster.request(3, key, false, seconds(3));
  cluster.run_for(seconds(4));
  CHECK(last_verdict(cluster) == verdict::may_have_run);
  CHECK(cluster.dispatch_counts[key] == before);
  cluster.request(3, unused, true, seconds(3));
  cluster.run_for(seconds(4));
  CHECK(last_verdict(cluster).has_value());
  CHECK(cluster.dispatch_counts[unused] == 1);
  CHECK(cluster.violations.empty());
}

// Guards against key ranges that stay unavailable forever after all processes were killed at once: the
// new processes have the same VM ids, so the platform's list never shows that a VM was removed.
TEST_CASE("intent_registry_all_processes_restarted_at_once_serve_first_attempts_again") {
  simulated_cluster cluster{4, 11};
  start_all(cluster);
  const auto key = key_held_by(cluster, 0, 1, 0);
  const auto unused = key_held_by(cluster, 0, 1, 1);
  cluster.request(2, key, false, seconds(2));
  cluster.run_for(seconds(1));
  const auto before = cluster.dispatch_counts[key];
  for (std::size_t index = 0; index < 4; ++index) {
    cluster.crash(index);
  }
  for (std::size_t index = 0; index < 4; ++index) {
    cluster.start(index);
  }
  cluster.run_for(seconds(20));
  REQUIRE(cluster.ranges_are_ready());
  cluster.request(3, key, false, seconds(3));
  cluster.run_for(seconds(4));
  CHECK(last_verdict(cluster) == verdict::may_have_run);
  CHECK(cluster.dispatch_counts[key] == before);
  cluster.request(3, unused, true, seconds(3));
  cluster.run_for(seconds(4));
  CHECK(cluster.dispatch_counts[unused] == 1);
  CHECK(cluster.violations.empty());
}

// Guards against two sides of a partition that both serve a range: one by its old registrars, the
// other as a tainted range, which accepts first attempts.
TEST_CASE("intent_registry_registrars_cut_off_together_do_not_serve_beside_a_tainted_range") {
  simulated_cluster cluster{7, 10};
  start_all(cluster);
  cluster.partition({1, 1, 1, 0, 0, 0, 0});
  cluster.isolated_from_store = {true, true, true, false, false, false, false};
  for (int number = 0; number < 200; ++number) {
    const auto key = key_held_by(cluster, 0, 1, number);
    cluster.request(3, key, true, seconds(2));
    cluster.run_for(milliseconds(50));
    cluster.request(2, key, false, seconds(2));
    cluster.run_for(milliseconds(50));
  }
  cluster.run_for(seconds(3));
  CHECK(cluster.violations.empty());
  CHECK_FALSE(cluster.dispatch_counts.empty());
}

}  // namespace rhubarbpath::test

#include <catch2/catch.hpp>

#include "placement_machine.hpp"
#include "rhubarbpath/coordination/worker_health.hpp"
#include "rhubarbpath/state/random.hpp"

namespace rhubarbpath::testing {
namespace {

constexpr duration minute{std::chrono::minutes{1}};
const failure_domain_id fd{"fd"};
const instant start{std::chrono::hours{1000}};

/// Creates a document with one failure domain. `racks` lists the number of workers with 8 accelerators in
/// each rack.
environment_document make_document(const std::vector<int>& racks) {
  environment_document document;
  document.failure_domains = {{fd, region_id{"r"}}};
  for (std::size_t rack = 0; rack < racks.size(); ++rack) {
    const rack_id id{"rack" + std::to_string(rack)};
    document.racks.push_back({id, fd});
    for (int worker = 0; worker < racks[rack]; ++worker) {
      worker_spec spec;
      spec.id = worker_id{id.value() + "-" + std::to_string(worker)};
      spec.rack = id;
      document.workers.push_back(spec);
    }
  }
  document.job_classes = {{class_id{"normal"}, 0, {}}};
  return document;
}

team_spec make_team(const char* id, accelerator_shape shape, int count) {
  team_spec team;
  team.id = team_id{id};
  team.guarantees = {{shape, count, {}}};
  return team;
}

template <class Action, class Actions>
int count_of(const Actions& actions) {
  int count = 0;
  for (const auto& action : actions) {
    count += std::holds_alternative<Action>(action) ? 1 : 0;
  }
  return count;
}

}  // namespace

// Guards against a small job that splits a completely free worker although a partly used one has room.
TEST_CASE("cell_tree_places_small_job_on_partly_used_worker") {
  const auto document = make_document({2, 2});
  cell_tree tree{std::make_shared<const fleet_topology>(document, fd)};
  tree.use({3, 0x01});
  const auto cells = tree.best_fit({2, 1, proximity::worker});
  REQUIRE(cells.has_value());
  CHECK(cells->front() == cell_block{3, 0x0c});
}

// Guards against using a worker that a demanded shape with rack proximity needs.
TEST_CASE("cell_tree_avoids_the_rack_that_a_demanded_shape_needs") {
  const auto document = make_document({4, 5});
  cell_tree tree{std::make_shared<const fleet_topology>(document, fd)};
  tree.set_demanded_shapes({{8, 4, proximity::rack}});
  const auto cells = tree.best_fit({8, 1, proximity::worker});
  REQUIRE(cells.has_value());
  CHECK(tree.topology().rack_of(cells->front().worker) == 1);
}

// Guards against accepting a document whose guarantees cannot be met, in racks whose number of workers is not
// a power of two.
TEST_CASE("check_guarantees_reports_guarantees_that_do_not_fit_racks_of_six") {
  auto document = make_document({6, 6});
  document.teams = {make_team("a", {8, 4, proximity::rack}, 2), make_team("b", {8, 2, proximity::rack}, 2)};
  CHECK(check_guarantees(document).problems.empty());
  document.teams = {make_team("a", {8, 4, proximity::rack}, 2), make_team("b", {8, 3, proximity::rack}, 1)};
  const auto check = check_guarantees(document);
  REQUIRE(check.problems.size() == 1);
  CHECK(check.problems[0].teams == std::vector{team_id{"a"}, team_id{"b"}});
  CHECK(check.problems[0].level == proximity::rack);
}

// Guards against an assignment that depends on the order of the teams: two owners could then differ.
TEST_CASE("check_guarantees_any_team_order_gives_the_same_shares") {
  auto document = make_document({4, 4});
  document.failure_domains.push_back({failure_domain_id{"other"}, region_id{"r"}});
  document.racks[1].failure_domain = failure_domain_id{"other"};
  document.teams = {make_team("a", {8, 2, proximity::rack}, 2), make_team("b", {8, 2, proximity::rack}, 2)};
  const auto first = check_guarantees(document);
  std::swap(document.teams[0], document.teams[1]);
  CHECK(first.problems.empty());
  CHECK(check_guarantees(document).shares == first.shares);
}

// Guards against a reported problem where the greedy packing fails although another packing exists.
TEST_CASE("check_guarantees_small_fleets_agree_with_brute_force") {
  random_source random{20261204};
  int feasible = 0;
  for (int round = 0; round < 400; ++round) {
    auto document =
        make_document({1 + static_cast<int>(random.below(3)), 1 + static_cast<int>(random.below(3))});
    std::vector<placement_oracle::worker> workers;
    for (const auto& worker : document.workers) {
      workers.push_back({worker.rack.value().back() - '0', 0xff});
    }
    std::vector<placement_oracle::shape_request> shapes;
    for (const char* id : {"a", "b", "c"}) {
      const accelerator_shape shape{1 << (1 + random.below(3)), 1 + static_cast<int>(random.below(3)),
                                    static_cast<proximity>(random.below(3))};
      document.teams.push_back(make_team(id, shape, 1));
      shapes.push_back({shape, {}});
    }
    const bool fits = placement_oracle::fits(workers, shapes);
    feasible += fits ? 1 : 0;
    INFO("round " << round);
    CHECK(check_guarantees(document).problems.empty() == fits);
  }
  CHECK(feasible > 100);
}

// Guards against a faulty worker that stays in use, and against a faulty job that causes healthy workers to
// be set aside.
TEST_CASE("worker_health_distinguishes_faulty_worker_from_faulty_job") {
  worker_health health{{}};
  std::vector<worker_health_action> actions;
  health.handle(worker_health::fleet_changed{10, 0.2}, start, actions);
  for (const char* job : {"a", "b", "c"}) {
    health.handle(worker_health::task_failed{worker_id{"bad"}, job_id{job}}, start, actions);
  }
  REQUIRE(count_of<worker_health::set_aside>(actions) == 1);
  actions.clear();
  for (const char* worker : {"w1", "w2", "w3"}) {
    health.handle(worker_health::task_failed{worker_id{worker}, job_id{"broken"}}, start, actions);
  }
  CHECK(count_of<worker_health::fail_job>(actions) == 1);
  CHECK(count_of<worker_health::set_aside>(actions) == 0);
}

// Guards against setting aside more workers than the document allows.
TEST_CASE("worker_health_sets_aside_no_more_than_the_allowed_share") {
  worker_health health{{}};
  std::vector<worker_health_action> actions;
  health.handle(worker_health::fleet_changed{10, 0.2}, start, actions);
  for (int worker = 0; worker < 5; ++worker) {
    for (int failure = 0; failure < 4; ++failure) {
      const job_id job{std::to_string(worker) + "-" + std::to_string(failure)};
      health.handle(worker_health::task_failed{worker_id{std::to_string(worker)}, job}, start, actions);
    }
  }
  CHECK(health.set_aside_count() == 2);
}

// Guards against a worker that is restored after a failed trial, and against one that never gets another
// trial.
TEST_CASE("worker_health_failed_trial_doubles_the_backoff") {
  worker_health health{{}};
  std::vector<worker_health_action> actions;
  health.handle(worker_health::fleet_changed{10, 0.2}, start, actions);
  for (const char* job : {"a", "b", "c"}) {
    health.handle(worker_health::task_failed{worker_id{"bad"}, job_id{job}}, start, actions);
  }
  health.handle(worker_health::tick{}, start + 5 * minute, actions);
  CHECK(count_of<worker_health::begin_trial>(actions) == 1);
  health.handle(worker_health::task_failed{worker_id{"bad"}, job_id{"d"}}, start + 6 * minute, actions);
  CHECK(health.next_deadline() == start + 16 * minute);
  health.handle(worker_health::tick{}, start + 16 * minute, actions);
  health.handle(worker_health::task_finished{worker_id{"bad"}, job_id{"e"}}, start + 17 * minute, actions);
  CHECK(count_of<worker_health::restore>(actions) == 1);
  CHECK_FALSE(health.is_set_aside(worker_id{"bad"}));
}

namespace {

/// A `placement` with its clock and the actions of the last event.
struct small_fleet {
  explicit small_fleet(environment_document document) {
    send(placement::document_changed{std::make_shared<environment_document>(std::move(document)), fd});
  }
  void send(const placement_event& event) {
    actions.clear();
    subject.handle(event, now, actions);
  }
  void submit(const char* id, const char* team, accelerator_shape shape, bool guaranteed) {
    job_spec spec;
    spec.team = team_id{team};
    spec.job_class = class_id{"normal"};
    spec.shape = shape;
    spec.guaranteed = guaranteed;
    send(placement::job_submitted{job_id{id}, spec});
  }
  void end(const char* id, placement::end_cause cause) {
    send(placement::attempt_ended{job_id{id}, subject.record(job_id{id})->attempt, cause, {}, minute});
  }
  placement subject{placement::options{}};
  std::vector<placement_action> actions;
  instant now{start};
};

}  // namespace

// Guards against starvation of a waiting gang by a stream of small jobs.
TEST_CASE("placement_gang_under_a_stream_of_small_jobs_starts_within_the_reservation_limit") {
  auto document = make_document({2});
  document.teams = {team_spec{team_id{"a"}, {}, 0, 1000, 1000}};
  small_fleet fleet{document};
  std::vector<std::string> running;
  int next = 0;
  const auto fill = [&] {
    while (fleet.subject.free_accelerators() > 0 && fleet.subject.waiting_jobs() <= 1) {
      const auto id = "small" + std::to_string(next++);
      fleet.submit(id.c_str(), "a", {1, 1, proximity::worker}, false);
      running.push_back(id);
    }
  };
  fill();
  fleet.submit("gang", "a", {8, 2, proximity::rack}, false);
  bool placed = false;
  // The reservation is made after 10 minutes and preempts after 60 more; the victims need another round.
  for (int round = 0; round < 75 && !placed; ++round) {
    fleet.now += minute;
    fleet.send(placement::tick{});
    for (const auto& id : std::vector(running)) {
      const auto record = fleet.subject.record(job_id{id});
      const bool stopping = record && record->state == job_state::stopping;
      if (stopping || (record && !record->placement.empty() && round % 20 == next % 20)) {
        fleet.end(id.c_str(), stopping ? placement::end_cause::preempted : placement::end_cause::finished);
      }
    }
    fill();
    placed = !fleet.subject.record(job_id{"gang"})->placement.empty();
  }
  CHECK(placed);
}

// Guards against a guaranteed job that waits although a preemptible job uses its accelerators, and against
// choosing the victim that loses more work.
TEST_CASE("placement_guaranteed_job_preempts_the_cheapest_victim_at_once") {
  auto document = make_document({2});
  document.teams = {make_team("owner", {8, 1, proximity::worker}, 1),
                    team_spec{team_id{"guest"}, {}, 0, 1000, 1000}};
  small_fleet fleet{document};
  fleet.submit("old", "guest", {8, 1, proximity::worker}, false);
  fleet.now += 60 * minute;
  fleet.submit("young", "guest", {8, 1, proximity::worker}, false);
  fleet.submit("claim", "owner", {8, 1, proximity::worker}, true);
  REQUIRE(fleet.actions.size() == 1);
  const auto* preempted = std::get_if<placement::preempt_job>(&fleet.actions[0]);
  REQUIRE(preempted != nullptr);
  CHECK(preempted->id == job_id{"young"});
  CHECK(fleet.subject.why_waiting(job_id{"claim"}) ==
        "waits for 1 preempted attempt to stop in the space chosen for it");
  fleet.end("young", placement::end_cause::preempted);
  CHECK(count_of<placement::place_job>(fleet.actions) == 1);
}

// Guards against a cost per event that grows with the number of waiting jobs.
TEST_CASE("placement_cancelling_many_waiting_jobs_takes_linear_time") {
  auto document = make_document({2});
  document.teams = {team_spec{team_id{"a"}, {}, 0, 1'000'000, 1000}};
  const auto seconds_for = [&](int jobs) {
    small_fleet fleet{document};
    const auto before = std::clock();
    for (int job = 0; job < jobs; ++job) {
      fleet.submit(std::to_string(job).c_str(), "a", {8, 1, proximity::worker}, false);
    }
    for (int job = 0; job < jobs; ++job) {
      fleet.send(placement::job_cancelled{job_id{std::to_string(job)}});
    }
    return static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
  };
  const double small = seconds_for(4000);
  // Quadratic work would take 64 times as long for 8 times as many jobs.
  CHECK(seconds_for(32000) < 24 * small);
}

}  // namespace rhubarbpath::testing

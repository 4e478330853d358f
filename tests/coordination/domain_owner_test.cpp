#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "simulated_domain.hpp"

namespace rhubarbpath {
namespace {

using simulation::domain_simulation;
using simulation::second;

constexpr int workers_in_domain = simulation::workers_per_domain;

constexpr duration takeover_bound = 8 * second;

/// A simulated domain in which a process has already become the owner.
struct owned_domain : domain_simulation {
  explicit owned_domain(std::uint64_t seed, bool use_placement_engine = false)
      : domain_simulation{seed, 3, use_placement_engine} {
    REQUIRE(wait_for_owner(epoch{}, takeover_bound));
  }
  [[nodiscard]] std::string owner_name() { return owner()->vm().value(); }
};

/// Injects faults of every kind at random times, followed by a period without faults in which all jobs must
/// end.
void run_random_domain(std::uint64_t seed, bool use_placement_engine) {
  domain_simulation world{seed, 3, use_placement_engine};
  world.store.faults = {
      .answer_lost = 0.03, .request_lost = 0.02, .delayed = 0.03, .limited = 0.02, .stale_list = 0.3};
  world.worker_loss = 0.02;
  const std::vector<std::string> names{"s0", "s1", "s2"};
  int jobs = 0;
  for (int step = 0; step < 120; ++step) {
    const auto name = names[world.random.below(names.size())];
    auto& process = *world.processes.at(name);
    const auto choice = world.random.below(100);
    const auto any_job = "j" + std::to_string(world.random.below(static_cast<std::uint64_t>(jobs) + 1));
    if (choice < 30) {
      const auto target = world.owner() == nullptr ? name : world.owner()->vm().value();
      const auto members = 1 + static_cast<int>(world.random.below(3));
      const auto run_time = duration{static_cast<std::int64_t>(world.random.below(20'000'000))};
      world.submit(target, "j" + std::to_string(++jobs), members, run_time);
    } else if (choice < 40) {
      world.query(name, any_job);
    } else if (choice < 45) {
      world.cancel(world.owner() == nullptr ? name : world.owner()->vm().value(), any_job);
    } else if (choice < 50) {
      world.crash(name);
      world.run(duration{static_cast<std::int64_t>(world.random.below(3'000'000))});
      world.start(name);
    } else if (choice < 60) {
      process.frozen() ? process.resume() : process.freeze();
      world.announce_schedulers();
    } else if (choice < 62) {
      world.store.down = !world.store.down;
    } else if (choice < 64) {
      process.cut_off = !process.cut_off;
    } else if (choice < 67) {
      auto& worker = world.workers.at(worker_id{"w" + std::to_string(world.random.below(6))});
      worker.unreachable = !worker.unreachable;
    } else {
      world.run(duration{static_cast<std::int64_t>(world.random.below(2'500'000))});
    }
    world.run(duration{static_cast<std::int64_t>(world.random.below(200'000))});
  }
  world.store.down = false;
  world.store.faults = {};
  world.worker_loss = 0;
  for (auto& [id, worker] : world.workers) {
    worker.unreachable = false;
  }
  for (const auto& [name, process] : world.processes) {
    process->cut_off = false;
    process->resume();
  }
  world.announce_schedulers();
  world.run(300 * second);
  auto* owner = world.owner();
  RC_ASSERT(owner != nullptr);
  // A domain that refuses all submissions or starts no job would pass all other checks.
  world.submit(owner->vm().value(), "last", 2, second);
  world.run(10 * second);
  RC_ASSERT(world.state_of("last") == job_state::finished);
  const auto& committed = owner->part().committed()->jobs;
  for (const auto& job : world.accepted) {
    RC_ASSERT(committed.contains(job));
    RC_ASSERT(is_final(committed.at(job).state));
  }
  for (const auto& [job, state] : world.final_states) {
    RC_ASSERT(committed.at(job).state == state);
  }
  RC_ASSERT(world.answered_requests.size() == world.answers);
}

}  // namespace

// Guards against two owners of one epoch, a lost or duplicated job, a gang that keeps running with missing
// members, a start or an answer before its log entry, and a job that never ends, under random faults.
TEST_CASE("domain_owner_under_random_faults_preserves_invariants") {
  REQUIRE(rc::check([] { run_random_domain(*rc::gen::arbitrary<std::uint64_t>(), false); }));
}

// Guards against a new owner that extends the leases of a gang that was incomplete before the takeover.
TEST_CASE("domain_owner_gang_with_missing_members_is_stopped_within_15_s") {
  for (const std::uint64_t input :
       {104792539UL, 433607UL, 57670201656265251UL, 1018599402128095265UL, 3475UL, 443224UL}) {
    for (const bool with_engine : {false, true}) {
      INFO("input " << input << ", with the placement engine: " << with_engine);
      run_random_domain(input, with_engine);
    }
  }
}

// Guards against the same failures with the placement engine, and against a job state that differs between
// the owner and the engine.
TEST_CASE("domain_owner_with_placement_engine_preserves_invariants") {
  REQUIRE(rc::check([] { run_random_domain(*rc::gen::arbitrary<std::uint64_t>(), true); }));
}

// Guards against a domain that has no owner for longer than 8 s after a crash, and against a takeover that
// stops running gangs.
TEST_CASE("domain_owner_crash_is_taken_over_within_8_s_and_gangs_keep_running") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    owned_domain world{seed, seed % 2 == 0};
    world.submit(world.owner_name(), "long", 3, 60 * second);
    world.run(duration{static_cast<std::int64_t>(2'000'000 + seed * 173'000)});
    REQUIRE(world.state_of("long") == job_state::running);
    const auto before = world.owner()->part().current_epoch();
    world.crash(world.owner_name());
    const auto taken = world.wait_for_owner(before, takeover_bound);
    REQUIRE(taken);
    world.run(5 * second);
    CHECK(world.state_of("long") == job_state::running);
    CHECK(world.logged_placed.size() == 1);
    world.run(60 * second);
    CHECK(world.state_of("long") == job_state::finished);
  }
}

// Guards against an owner that continues after a pause during which another process took over.
TEST_CASE("domain_owner_paused_past_lease_stops_before_it_acts") {
  owned_domain world{30};
  auto& paused = *world.owner();
  paused.freeze();
  world.announce_schedulers();
  REQUIRE(world.wait_for_owner(paused.part().current_epoch(), takeover_bound));
  world.submit(paused.vm().value(), "late", 1, second);
  const auto answers = world.answers;
  paused.resume();
  CHECK_FALSE(paused.part().owns());
  CHECK(world.answers == answers + 1);
  CHECK(world.accepted.empty());
}

// Guards against a gap in ownership when a process drains.
TEST_CASE("domain_owner_drain_hands_over_without_a_gap") {
  owned_domain world{31};
  world.submit(world.owner_name(), "long", 2, 30 * second);
  world.run(3 * second);
  const auto before = world.owner()->part().current_epoch();
  const auto first = world.owner_name();
  world.processes.at(first)->send(drain_requested{});
  for (int i = 0; i < 200 && world.owner()->part().current_epoch() == before; ++i) {
    REQUIRE(world.owner() != nullptr);
    world.run(duration{10'000});
  }
  CHECK(world.owner()->part().current_epoch() > before);
  world.run(second);
  CHECK(world.processes.at(first)->drained());
  CHECK(world.state_of("long") == job_state::running);
}

// Guards against starting a job during a store outage, and against an outage that stops running gangs.
TEST_CASE("domain_owner_store_outage_keeps_gangs_and_starts_nothing") {
  owned_domain world{32};
  const auto name = world.owner_name();
  world.submit(name, "running", 2, 60 * second);
  world.run(3 * second);
  world.store.down = true;
  world.run(second);
  world.submit(name, "new", 1, second);
  world.run(3 * second);
  world.submit(name, "newer", 1, second);
  world.run(30 * second);
  CHECK(world.owner() != nullptr);
  CHECK(world.accepted.size() == 1);
  CHECK(world.answers == 3);
  CHECK(world.logged_placed.size() == 1);
  world.store.down = false;
  world.run(8 * second);
  CHECK(world.state_of("running") == job_state::running);
  CHECK(world.owner_name() == name);
  CHECK(world.state_of("new") == job_state::finished);
  CHECK(world.longest_partial <= second);
}

// Guards against an owner that continues alongside its successor when only this owner is disconnected from
// the store and its peers.
TEST_CASE("domain_owner_cut_off_alone_is_replaced_and_stops") {
  owned_domain world{34};
  world.submit(world.owner_name(), "long", 2, 60 * second);
  world.run(3 * second);
  auto& cut = *world.owner();
  const auto before = cut.part().current_epoch();
  cut.cut_off = true;
  REQUIRE(world.wait_for_owner(before, takeover_bound));
  world.run(5 * second);
  CHECK_FALSE(cut.part().owns());
  CHECK(world.state_of("long") == job_state::running);
  CHECK(world.longest_partial <= second);
}

// Guards against creating, running or cancelling a job twice when a message is repeated.
TEST_CASE("domain_owner_repeated_messages_are_idempotent") {
  owned_domain world{33};
  const auto name = world.owner_name();
  for (int i = 0; i < 3; ++i) {
    world.submit(name, "job", 1, 5 * second);
  }
  world.run(2 * second);
  world.submit(name, "job", 1, 5 * second);
  world.cancel(name, "job");
  world.cancel(name, "job");
  world.run(2 * second);
  world.cancel(name, "job");
  world.run(second);
  CHECK(world.answers == 7);
  CHECK(world.logged_placed.size() == 1);
  CHECK(world.state_of("job") == job_state::cancelled);
}

// Guards against accepted jobs that take all memory of one owner after the other, and against a team's jobs
// that leave none for those of others.
TEST_CASE("domain_owner_team_with_many_jobs_is_refused_by_the_next_owner_too") {
  constexpr std::uint64_t bytes_of_twenty_jobs = 20 * 1027;
  domain_simulation world{37, 3, false};
  world.max_job_bytes = bytes_of_twenty_jobs;
  for (const auto* name : {"s0", "s1", "s2"}) {
    world.crash(name);
    world.start(name);
  }
  REQUIRE(world.wait_for_owner(epoch{}, takeover_bound));
  const auto submit_many = [&](const std::string& prefix, const team_id& team) {
    const auto before = world.accepted.size();
    for (int i = 0; i < 30; ++i) {
      world.submit(world.owner()->vm().value(), prefix + std::to_string(i), 1, 5 * second, team);
    }
    world.run(10 * second);
    return world.accepted.size() - before;
  };
  CHECK(submit_many("first", team_id{"t"}) == 11);
  const auto before = world.owner()->part().current_epoch();
  world.crash(world.owner()->vm().value());
  REQUIRE(world.wait_for_owner(before, takeover_bound));
  CHECK(submit_many("again", team_id{"t"}) == 0);
  CHECK(submit_many("other", team_id{"u"}) == 5);
}

// Guards against a job that is refused for good by a document that may be outdated, although the newest one
// has its team.
TEST_CASE("domain_owner_refuses_no_job_by_a_document_that_may_be_outdated") {
  for (const bool document_comes_first : {false, true}) {
    owned_domain world{35, true};
    auto& owner = *world.owner();
    owner.send(document_standing_changed{.may_be_outdated = true});
    const job_spec spec{.team = team_id{"new team"},
                        .job_class = class_id{"batch"},
                        .shape = {.accelerators_per_member = 8, .members = 1, .within = proximity::rack},
                        .declared_run_time = second,
                        .command = "run"};
    world.gang_sizes[job_id{"job"}] = 1;
    owner.send(job_submitted{
        .from = {.peer = vm_id{"client"}, .request = request_id{1}}, .job = job_id{"job"}, .spec = spec});
    world.run(3 * second);
    CHECK(world.accepted.contains(job_id{"job"}));
    CHECK(world.state_of("job") == job_state::waiting);
    world.document.teams.push_back({.id = team_id{"new team"}});
    const document_changed newer{.version = document_version{2},
                                 .document = std::make_shared<environment_document>(world.document)};
    if (document_comes_first) {
      owner.send(newer);
      owner.send(document_standing_changed{.may_be_outdated = false});
    } else {
      owner.send(document_standing_changed{.may_be_outdated = true});
      owner.send(newer);
      world.run(second);
      CHECK(world.state_of("job") == job_state::waiting);
      owner.send(document_standing_changed{.may_be_outdated = false});
    }
    world.run(5 * second);
    CHECK(world.state_of("job") == job_state::finished);
  }
}

// Guards against a new owner that stops a running gang, because its document is older than the one by which
// the gang was placed and lacks a worker.
TEST_CASE("domain_owner_takeover_with_an_outdated_document_stops_no_gang") {
  owned_domain world{36, true};
  const auto first = world.owner_name();
  world.submit(first, "long", workers_in_domain, 60 * second);
  world.run(3 * second);
  REQUIRE(world.state_of("long") == job_state::running);
  auto older = world.document;
  older.workers.resize(2);
  for (const auto& [name, process] : world.processes) {
    if (name != first) {
      process->send(document_standing_changed{.may_be_outdated = true});
      process->send(document_changed{.version = document_version{0},
                                     .document = std::make_shared<environment_document>(older)});
    }
  }
  const auto before = world.owner()->part().current_epoch();
  world.crash(first);
  REQUIRE(world.wait_for_owner(before, takeover_bound));
  world.run(10 * second);
  CHECK(world.state_of("long") == job_state::running);
  world.owner()->send(document_changed{.version = document_version{1},
                                       .document = std::make_shared<environment_document>(world.document)});
  world.owner()->send(document_standing_changed{.may_be_outdated = false});
  world.run(60 * second);
  CHECK(world.state_of("long") == job_state::finished);
  CHECK(world.logged_placed.size() == 1);
}

// Guards against a gang that is placed on a worker that became unreachable while the document was checked.
TEST_CASE("domain_owner_places_nothing_on_workers_lost_while_its_document_was_checked") {
  owned_domain world{37, true};
  auto& owner = *world.owner();
  owner.send(document_standing_changed{.may_be_outdated = true});
  for (int i = 0; i + 1 < workers_in_domain; ++i) {
    world.workers.at(worker_id{"w" + std::to_string(i)}).unreachable = true;
  }
  world.run(20 * second);
  owner.send(document_standing_changed{.may_be_outdated = false});
  world.submit(owner.vm().value(), "job", 1, second);
  world.run(5 * second);
  CHECK(world.state_of("job") == job_state::finished);
}

}  // namespace rhubarbpath

#include "rhubarbpath/coordination/gang_controller.hpp"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "simulated_domain.hpp"

namespace rhubarbpath {
namespace {

using simulation::domain_simulation;
using simulation::second;
using simulation::simulated_worker;

constexpr duration run_time = 60 * second;

/// A controller with three workers that answer immediately, or not at all if they are unreachable.
struct gang_under_test {
  gang_under_test() {
    for (const auto* name : {"w0", "w1", "w2"}) {
      workers[worker_id{name}].id = worker_id{name};
    }
    feed(workers_changed{.workers = {worker_id{"w0"}, worker_id{"w1"}, worker_id{"w2"}}});
  }
  void start(std::uint64_t attempt = 1) { feed(gang(attempt)); }
  static gang_start gang(std::uint64_t attempt) {
    return {.job = job_id{"job"},
            .attempt = attempt_number{attempt},
            .spec = {.checkpointable = true, .declared_run_time = run_time},
            .placement = {{.worker = worker_id{"w0"}, .accelerators = 1},
                          {.worker = worker_id{"w1"}, .accelerators = 1},
                          {.worker = worker_id{"w2"}, .accelerators = 1}}};
  }
  void feed(const gang_controller_event& event) {
    std::vector<gang_controller_action> actions;
    controller.handle(event, now, actions);
    for (auto& action : actions) {
      if (auto* send = std::get_if<worker_send>(&action)) {
        commands.push_back(*send);
        deliver(*send);
      } else if (auto* gang_end_seen = std::get_if<gang_ended>(&action)) {
        ended = *gang_end_seen;
        ended_at = now;
      } else if (std::holds_alternative<gang_running>(action)) {
        ++running;
      } else if (std::holds_alternative<epoch_superseded>(action)) {
        superseded = true;
      }
    }
  }
  void deliver(const worker_send& send) {
    auto& worker = workers.at(send.worker);
    if (worker.unreachable) {
      return;
    }
    feed(
        worker_reported{.answers = send.sent, .report = worker.handle(send.sender_epoch, send.command, now)});
  }
  void advance(duration interval) {
    const auto until = now + interval;
    for (auto due = controller.next_deadline(); due && *due <= until; due = controller.next_deadline()) {
      now = std::max(now, *due);
      feed(tick{});
    }
    now = until;
  }
  int running_tasks() {
    int count = 0;
    for (auto& [id, worker] : workers) {
      worker.update(now);
      for (const auto& [key, task] : worker.tasks) {
        count += task.report.state == task_state::running ? 1 : 0;
      }
    }
    return count;
  }

  std::map<worker_id, simulated_worker> workers;
  instant now{};
  gang_controller controller{{.current_epoch = epoch{5}}};
  std::vector<worker_send> commands;
  std::optional<gang_ended> ended;
  instant ended_at{};
  int running{0};
  bool superseded{false};
};

}  // namespace

// Guards against members that keep running after another member failed.
TEST_CASE("gang_controller_member_failure_stops_all_members") {
  gang_under_test test;
  test.workers[worker_id{"w1"}].fails_tasks = true;
  test.start();
  test.advance(6 * second);
  REQUIRE(test.ended);
  CHECK(test.ended->end == gang_end::failed);
  CHECK(test.ended->worker == worker_id{"w1"});
  CHECK(test.running_tasks() == 0);
}

// Guards against reporting a gang as ended while a member on an unreachable worker may still be running.
TEST_CASE("gang_controller_unreachable_worker_ends_gang_when_its_lease_has_expired") {
  gang_under_test test;
  test.start();
  test.advance(5 * second);
  CHECK(test.running == 1);
  test.workers[worker_id{"w2"}].unreachable = true;
  const auto lost = test.now;
  test.advance(9 * second);
  CHECK(test.running_tasks() <= 1);
  CHECK_FALSE(test.ended);
  test.advance(15 * second);
  REQUIRE(test.ended);
  CHECK(test.ended->end == gang_end::worker_lost);
  CHECK(test.running_tasks() == 0);
  CHECK(test.ended_at - lost <= 25 * second);
}

// Guards against running a whole gang twice: a member finishes while its worker is unreachable, and the stop
// command makes the worker discard the result (fault_worker_faults, seed 7).
TEST_CASE("gang_controller_member_finished_while_unreachable_counts_when_its_stop_is_answered") {
  gang_under_test test;
  test.start();
  test.advance(run_time - second);
  test.workers[worker_id{"w2"}].unreachable = true;
  test.advance(5 * second);
  CHECK_FALSE(test.ended);
  CHECK(test.running_tasks() == 0);
  test.workers[worker_id{"w2"}].unreachable = false;
  test.advance(5 * second);
  REQUIRE(test.ended);
  CHECK(test.ended->end == gang_end::finished);
  test.feed(gang_release{.job = job_id{"job"}, .attempt = attempt_number{1}});
  test.advance(15 * second);
  for (const auto& [id, worker] : test.workers) {
    CHECK(worker.tasks.empty());
  }
}

// Guards against an owner that keeps renewing the lease of one member although the others are gone, and then
// crashes.
TEST_CASE("gang_controller_member_lease_ends_15_s_after_the_whole_gang_ran") {
  gang_under_test test;
  test.start();
  test.advance(5 * second);
  const auto lost = test.now;
  for (const auto* name : {"w0", "w1"}) {
    test.workers[worker_id{name}].unreachable = true;
    test.workers[worker_id{name}].tasks.clear();
  }
  for (int i = 0; i < 50; ++i) {
    test.advance(duration{100'000});
    for (const auto& [key, task] : test.workers[worker_id{"w2"}].tasks) {
      CHECK(task.lease_until <= lost + 15 * second);
    }
  }
}

// Guards against a preemption without a checkpoint, and against a preemption that takes longer than 2 s.
TEST_CASE("gang_controller_preemption_checkpoints_then_stops_within_2_s") {
  gang_under_test test;
  test.start();
  test.advance(10 * second);
  SECTION("all workers answer") {
    test.feed(gang_stop{.job = job_id{"job"}, .end = gang_end::preempted});
    REQUIRE(test.ended);
    CHECK(test.ended->end == gang_end::preempted);
    CHECK(test.ended->attained_service == 10 * second);
  }
  SECTION("one worker does not answer") {
    test.workers[worker_id{"w0"}].unreachable = true;
    test.feed(gang_stop{.job = job_id{"job"}, .end = gang_end::preempted});
    test.advance(2 * second);
    CHECK(test.running_tasks() == 1);
  }
}

// Guards against a late report of an older attempt that changes the current attempt, and against a task of
// the older attempt that keeps running.
TEST_CASE("gang_controller_task_of_older_attempt_is_stopped_and_ignored") {
  gang_under_test test;
  test.start(2);
  test.advance(second);
  auto& worker = test.workers[worker_id{"w0"}];
  worker.tasks[{job_id{"job"}, 9}] = {.report = {.task = {job_id{"job"}, attempt_number{1}, 9}},
                                      .started = test.now,
                                      .lease_until = test.now + 15 * second,
                                      .run_time = run_time};
  test.advance(6 * second);
  CHECK(test.running_tasks() == 3);
  CHECK_FALSE(test.ended);
}

// Guards against a takeover that stops complete gangs or adopts incomplete ones.
TEST_CASE("gang_controller_adoption_keeps_only_complete_gangs") {
  gang_under_test test;
  test.start();
  test.advance(second);
  const auto start = gang_under_test::gang(1);
  const gang_adopt adopt{
      .job = start.job, .attempt = start.attempt, .spec = start.spec, .placement = start.placement};
  gang_under_test successor;
  successor.workers = test.workers;
  successor.now = test.now;
  SECTION("all members report") {
    successor.feed(adopt);
    successor.advance(8 * second);
    CHECK(successor.running_tasks() == 3);
    CHECK_FALSE(successor.ended);
  }
  SECTION("one member is missing") {
    successor.workers[worker_id{"w1"}].tasks.clear();
    successor.feed(adopt);
    successor.advance(8 * second);
    CHECK(successor.running_tasks() == 0);
    REQUIRE(successor.ended);
    CHECK(successor.ended->end == gang_end::worker_lost);
  }
}

// Guards against a new owner that keeps members alive whose gang was incomplete before the takeover.
TEST_CASE("gang_controller_adoption_extends_no_lease_of_an_incomplete_gang") {
  gang_under_test predecessor;
  predecessor.workers.at(worker_id{"w2"}).unreachable = true;
  predecessor.start();
  const auto lease_until = predecessor.workers.at(worker_id{"w0"}).tasks.begin()->second.lease_until;
  gang_under_test successor;
  successor.workers = predecessor.workers;
  successor.advance(2 * second);
  successor.feed(gang_adopt{.job = job_id{"job"},
                            .attempt = attempt_number{1},
                            .spec = gang_under_test::gang(1).spec,
                            .placement = gang_under_test::gang(1).placement});
  REQUIRE(successor.running_tasks() == 2);
  for (const auto* name : {"w0", "w1"}) {
    CHECK(successor.workers.at(worker_id{name}).tasks.begin()->second.lease_until == lease_until);
  }
}

// Guards against a superseded owner that continues to send commands to workers.
TEST_CASE("gang_controller_stops_sending_after_worker_reports_newer_epoch") {
  gang_under_test test;
  test.start();
  test.advance(second);
  test.workers[worker_id{"w1"}].highest = epoch{6};
  test.advance(6 * second);
  CHECK(test.superseded);
  const auto sent = test.commands.size();
  test.advance(20 * second);
  CHECK(test.commands.size() == sent);
}

}  // namespace rhubarbpath

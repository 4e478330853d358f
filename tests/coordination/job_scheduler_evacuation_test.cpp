#include <algorithm>
#include <catch2/catch.hpp>

#include "simulated_workers.hpp"

namespace rhubarbpath {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::simulated_workers;

/// Six workers of eight accelerators; one of them is drained, and leaves 3.5 s after it must stay.
class leaving_worker_fixture {
 protected:
  leaving_worker_fixture() {
    fleet.add_workers(6);
    fleet.begin_term();
    fleet.advance(milliseconds{200});
  }

  static step_spec tasks(std::uint32_t count, std::int64_t accelerators, duration estimate) {
    return {.count = count, .each = {1000, 1000, accelerators}, .estimate = estimate};
  }

  /// The first worker that runs a task.
  [[nodiscard]] worker_id busy_worker() const {
    for (const auto& [id, worker] : fleet.workers) {
      if (!worker.tasks.empty()) {
        return id;
      }
    }
    FAIL("no worker runs a task");
    return {};
  }
  void drain(const worker_id& id, milliseconds stays) {
    auto& worker = fleet.workers.at(id);
    worker.entry.draining = true;
    worker.entry.stays_for = stays;
    fleet.list_workers();
  }
  /// The worker leaves without a word: its entry is gone, and orders to it vanish.
  void leave(const worker_id& id) {
    fleet.remove(id);
    fleet.list_workers();
  }
  [[nodiscard]] int starts_of(const std::string& job) const {
    int count = 0;
    for (const auto& [task, times] : fleet.starts) {
      count += task.job == job_id{job} ? times : 0;
    }
    return count;
  }

  static constexpr milliseconds must_stay{3000};
  simulated_workers fleet{20261205};
};

TEST_CASE_METHOD(leaving_worker_fixture,
                 "scheduler_task_that_cannot_end_before_its_worker_leaves_is_moved_in_time") {
  // Guards against a job of which nothing runs until the lease of a worker that has left has expired.
  fleet.submit(simulated_workers::job("a", 1, tasks(1, 1, seconds{12})));
  fleet.advance(seconds{2});
  const auto leaving = busy_worker();
  drain(leaving, must_stay);
  fleet.advance(must_stay);
  leave(leaving);
  fleet.advance(milliseconds{500});
  CHECK(fleet.running_tasks() == 1);
  CHECK(starts_of("a") == 2);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(leaving_worker_fixture, "scheduler_task_that_ends_before_its_worker_leaves_is_not_moved") {
  // Guards against work that is thrown away although it would have ended in time.
  fleet.submit(simulated_workers::job("a", 1, tasks(1, 1, seconds{4})));
  fleet.advance(seconds{2});
  const auto leaving = busy_worker();
  drain(leaving, must_stay);
  fleet.advance(must_stay);
  leave(leaving);
  CHECK(fleet.phase("a") == job_phase::complete);
  CHECK(starts_of("a") == 1);
}

TEST_CASE_METHOD(leaving_worker_fixture, "scheduler_worker_whose_entry_is_read_late_is_left_in_time") {
  // Guards against a time to stay that is counted from when the registry was read, not from when it was
  // written.
  fleet.submit(simulated_workers::job("a", 1, tasks(1, 1, milliseconds{5200})));
  fleet.advance(seconds{2});
  const auto leaving = busy_worker();
  fleet.list_workers();
  auto& entry = fleet.workers.at(leaving).entry;
  entry.draining = true;
  entry.stays_for = must_stay;
  fleet.advance(must_stay);
  leave(leaving);
  fleet.advance(milliseconds{500});
  CHECK(fleet.running_tasks() == 1);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(leaving_worker_fixture,
                 "scheduler_task_with_a_wrong_estimate_is_moved_only_if_its_progress_shows_that_it_must") {
  // Guards against a decision by the declared run time, which is often far off.
  fleet.real_duration[job_id{"short"}] = seconds{4};
  fleet.submit(simulated_workers::job("short", 1, tasks(1, 8, seconds{40})));
  fleet.real_duration[job_id{"long"}] = seconds{40};
  fleet.submit(simulated_workers::job("long", 1, tasks(1, 8, seconds{4})));
  fleet.advance(seconds{2});
  for (const auto& [id, worker] : fleet.workers) {
    if (!worker.tasks.empty()) {
      drain(id, must_stay);
    }
  }
  fleet.advance(must_stay);
  CHECK(fleet.phase("short") == job_phase::complete);
  CHECK(starts_of("short") == 1);
  CHECK(starts_of("long") == 2);
}

TEST_CASE_METHOD(leaving_worker_fixture,
                 "scheduler_checkpointing_task_works_on_until_its_worker_is_about_to_leave") {
  // Guards against processor time of a leaving worker that is left unused, although nothing of it is lost.
  auto step = tasks(1, 1, seconds{12});
  step.checkpointing = true;
  fleet.submit(simulated_workers::job("a", 1, step));
  fleet.advance(seconds{2});
  const auto leaving = busy_worker();
  drain(leaving, must_stay);
  fleet.advance(must_stay - milliseconds{700});
  CHECK(fleet.workers.at(leaving).tasks.size() == 1);
  fleet.advance(milliseconds{700});
  CHECK(fleet.workers.at(leaving).tasks.empty());
  CHECK(fleet.running_tasks() == 1);
}

TEST_CASE_METHOD(leaving_worker_fixture, "scheduler_gang_with_a_member_on_a_leaving_worker_is_moved_whole") {
  // Guards against a gang of which one member is moved, or that breaks when its worker leaves.
  auto gang = tasks(3, 8, seconds{12});
  gang.gang = true;
  fleet.submit(simulated_workers::job("a", 1, gang));
  fleet.advance(seconds{2});
  const auto leaving = busy_worker();
  drain(leaving, must_stay);
  fleet.advance(must_stay);
  leave(leaving);
  fleet.advance(milliseconds{500});
  CHECK(fleet.running_tasks() == 3);
  CHECK(starts_of("a") == 6);
  CHECK(fleet.incomplete_gang_runs == 0);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(leaving_worker_fixture,
                 "scheduler_gang_with_a_slow_member_elsewhere_is_moved_from_a_leaving_worker") {
  // Guards against a gang that is expected to end with its fastest member.
  auto gang = tasks(2, 8, seconds{4});
  gang.gang = true;
  fleet.submit(simulated_workers::job("a", 1, gang));
  fleet.advance(milliseconds{100});
  const auto leaving = busy_worker();
  for (auto& [id, worker] : fleet.workers) {
    worker.speed = id == leaving || worker.tasks.empty() ? 1.0 : 0.3;
  }
  fleet.advance(seconds{2});
  drain(leaving, must_stay);
  fleet.advance(must_stay);
  leave(leaving);
  fleet.advance(milliseconds{500});
  CHECK(fleet.running_tasks() == 2);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(leaving_worker_fixture,
                 "scheduler_lasting_tasks_of_leaving_workers_are_moved_within_what_may_be_unavailable") {
  // Guards against tasks that are away until a lease has expired, and against moving more of them at a time
  // than the step permits while there is time left.
  auto step = tasks(8, 4, seconds{600});
  step.long_running = true;
  step.max_unavailable = 1;
  fleet.submit(simulated_workers::job("a", 1, step));
  fleet.advance(seconds{4});
  REQUIRE(fleet.running_tasks() == 8);
  const auto leaving = busy_worker();
  REQUIRE(fleet.workers.at(leaving).tasks.size() == 2);
  drain(leaving, must_stay);
  std::size_t fewest = 8;
  for (int passed = 0; passed < 700; ++passed) {
    fleet.advance(milliseconds{4});
    fewest = std::min(fewest, fleet.running_tasks());
  }
  CHECK(fewest == 7);
  CHECK(fleet.workers.at(leaving).tasks.empty());
  CHECK(fleet.running_tasks() == 8);
}

TEST_CASE_METHOD(leaving_worker_fixture,
                 "scheduler_task_of_a_leaving_worker_that_names_no_time_is_moved_in_time") {
  // Guards against a worker that does not say how long it stays: it stays for the site's time.
  fleet.submit(simulated_workers::job("a", 1, tasks(1, 1, seconds{12})));
  fleet.advance(seconds{2});
  const auto leaving = busy_worker();
  fleet.workers.at(leaving).entry.draining = true;
  fleet.list_workers();
  fleet.advance(job_scheduler::options{}.drain_time);
  leave(leaving);
  fleet.advance(milliseconds{500});
  CHECK(fleet.running_tasks() == 1);
}

TEST_CASE_METHOD(leaving_worker_fixture,
                 "scheduler_stopped_task_of_a_silent_leaving_worker_waits_for_its_lease") {
  // Guards against a task that runs twice: the order to stop it never arrives, and it works on.
  fleet.submit(simulated_workers::job("a", 1, tasks(1, 1, seconds{30})));
  fleet.advance(seconds{2});
  const auto leaving = busy_worker();
  fleet.workers.at(leaving).disconnected = true;
  drain(leaving, must_stay);
  fleet.advance(seconds{6});
  CHECK(starts_of("a") == 1);
  fleet.advance(seconds{6});
  CHECK(starts_of("a") == 2);
  CHECK(fleet.violations.empty());
}

}  // namespace
}  // namespace rhubarbpath

#include <catch2/catch.hpp>
#include <limits>
#include <string>

#include "simulated_workers.hpp"

// Jobs that a caller may submit and that must not make the owner keep, start or search without bound.
namespace rhubarbpath {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::simulated_workers;

constexpr std::size_t max_tasks = 100;

/// Tasks that need no resources, so that any number of them fits into a worker.
accepted_job endless_job(const std::string& id, const std::string& team) {
  auto job = simulated_workers::job(
      id, 1, {.count = std::numeric_limits<std::uint32_t>::max(), .estimate = seconds{60}});
  job.team = team_id{team};
  return job;
}

class bounded_fleet_fixture {
 public:
  bounded_fleet_fixture() {
    fleet.add_workers(6);
    fleet.begin_term({.max_tasks = max_tasks, .max_work_bytes = 1U << 20U});
    fleet.advance(milliseconds{200});
  }

  /// Tasks of the job that run.
  [[nodiscard]] std::size_t running(const std::string& job) const {
    std::size_t count = 0;
    for (const auto& [id, worker] : fleet.workers) {
      for (const auto& [task, run] : worker.tasks) {
        count += task.job == job_id{job} ? 1 : 0;
      }
    }
    return count;
  }

  simulated_workers fleet{20261207};
};

TEST_CASE_METHOD(bounded_fleet_fixture, "scheduler_endless_tasks_of_one_team_take_half_of_all_tasks") {
  // Guards against a team whose tasks are all that the owner may keep.
  fleet.submit(endless_job("a", "first"));
  fleet.advance(seconds{2});
  CHECK(running("a") == max_tasks / 2);
  fleet.submit(endless_job("b", "second"));
  fleet.advance(seconds{2});
  CHECK(running("b") == max_tasks / 4);
  CHECK(running("a") == max_tasks / 2);
}

TEST_CASE_METHOD(bounded_fleet_fixture, "scheduler_task_of_another_team_starts_beside_endless_ones") {
  // Guards against starts that wait behind those of a team which always has more.
  fleet.submit(endless_job("a", "first"));
  fleet.advance(seconds{1});
  fleet.submit(simulated_workers::job("b", 2, {.count = 1, .each = {100, 1, 0}, .estimate = seconds{1}}));
  fleet.advance(seconds{3});
  CHECK(fleet.phase("b") == job_phase::complete);
}

TEST_CASE_METHOD(bounded_fleet_fixture, "scheduler_team_with_too_much_work_is_full_until_it_is_cancelled") {
  // Guards against a team that is refused for what it no longer has.
  constexpr std::size_t steps = 700;
  auto job = simulated_workers::job("a", 1, {.each = {100, 1, 0}, .estimate = seconds{60}});
  job.graph.steps.resize(steps, job.graph.steps.front());
  fleet.submit(job);
  fleet.advance(milliseconds{100});
  auto& scheduler = *fleet.scheduler;
  CHECK(scheduler.full_teams().contains(job.team));
  CHECK_FALSE(scheduler.reserve_work(job_id{"b"}, job.team, cost_of(job.graph).open, fleet.now));
  CHECK(scheduler.reserve_work(job_id{"c"}, team_id{"second"}, 1000, fleet.now));
  scheduler.cancel_job(job.id, fleet.now);
  fleet.advance(seconds{5});
  CHECK(scheduler.full_teams().empty());
}

TEST_CASE_METHOD(bounded_fleet_fixture, "scheduler_occurrences_of_many_steps_end_one_after_the_other") {
  // Guards against occurrences that are not opened any more because too many steps were open before.
  constexpr std::size_t steps = 300;
  constexpr std::uint32_t occurrences = 4;
  auto job = simulated_workers::job("a", 1, {.each = {1000, 1, 0}, .estimate = milliseconds{100}});
  job.graph.steps.resize(steps, job.graph.steps.front());
  job.graph.occurrences = occurrences;
  job.graph.interval = milliseconds{1};
  fleet.submit(job);
  fleet.advance(seconds{60});
  CHECK(fleet.phase("a") == job_phase::complete);
  CHECK(fleet.violations.empty());
}

}  // namespace
}  // namespace rhubarbpath

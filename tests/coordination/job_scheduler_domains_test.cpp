#include <algorithm>
#include <catch2/catch.hpp>

#include "simulated_workers.hpp"

namespace rhubarbpath {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::simulated_workers;

/// Three failure domains, a to c, of six workers with eight accelerators, each in a rack of its own: r0 to
/// r2.
class three_domains_fixture {
 protected:
  three_domains_fixture() {
    fleet.add_workers(18);
    for (auto& [id, worker] : fleet.workers) {
      const auto rack = worker.entry.rack.value();
      worker.entry.domain = failure_domain_id{rack == "r0" ? "a" : rack == "r1" ? "b" : "c"};
      worker.entry.labels = {worker.entry.domain.value(), rack};
    }
    fleet.begin_term();
    fleet.advance(milliseconds{200});
  }

  static step_spec tasks(std::uint32_t count, std::int64_t accelerators, duration estimate) {
    return {.count = count, .each = {1000, 1000, accelerators}, .estimate = estimate};
  }
  static step_spec gang(std::uint32_t count, duration estimate) {
    auto step = tasks(count, 8, estimate);
    step.gang = true;
    return step;
  }
  [[nodiscard]] std::size_t running_in(const std::string& domain) const {
    std::size_t count = 0;
    for (const auto& [id, worker] : fleet.workers) {
      count += worker.entry.domain == failure_domain_id{domain} ? worker.tasks.size() : 0;
    }
    return count;
  }
  [[nodiscard]] int starts_in(const std::string& domain) const {
    int count = 0;
    for (const auto& [id, times] : fleet.starts_on) {
      count += fleet.workers.at(id).entry.domain == failure_domain_id{domain} ? times : 0;
    }
    return count;
  }
  [[nodiscard]] int starts_of(const std::string& job) const {
    int count = 0;
    for (const auto& [task, times] : fleet.starts) {
      count += task.job == job_id{job} ? times : 0;
    }
    return count;
  }
  void evacuate_all() {
    for (const auto* domain : {"a", "b", "c"}) {
      fleet.evacuate(domain);
    }
  }

  simulated_workers fleet{20261206};
};

TEST_CASE_METHOD(three_domains_fixture, "scheduler_tasks_are_not_started_in_an_evacuated_failure_domain") {
  // Guards against work for a failure domain that its operator is emptying.
  fleet.evacuate("a");
  fleet.submit(simulated_workers::job("j", 1, tasks(18, 8, seconds{4})));
  fleet.advance(seconds{2});
  CHECK(running_in("a") == 0);
  CHECK(fleet.running_tasks() == 12);
  fleet.advance(seconds{8});
  CHECK(fleet.phase("j") == job_phase::complete);
  CHECK(starts_in("a") == 0);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(three_domains_fixture, "scheduler_runs_in_an_evacuated_failure_domain_go_on_to_their_end") {
  // Guards against work that is thrown away although its worker stays.
  fleet.submit(simulated_workers::job("j", 1, tasks(18, 8, seconds{12})));
  fleet.advance(seconds{2});
  REQUIRE(running_in("a") == 6);
  fleet.evacuate("a");
  fleet.advance(seconds{12});
  CHECK(fleet.phase("j") == job_phase::complete);
  CHECK(starts_of("j") == 18);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(three_domains_fixture,
                 "scheduler_failed_run_of_an_evacuated_failure_domain_starts_again_elsewhere") {
  fleet.submit(simulated_workers::job("j", 1, tasks(18, 8, seconds{4})));
  fleet.advance(seconds{2});
  fleet.evacuate("a");
  fleet.fail_runs(job_id{"j"});
  fleet.advance(seconds{2});
  CHECK(running_in("a") == 0);
  CHECK(running_in("b") > 0);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(three_domains_fixture,
                 "scheduler_gang_is_placed_whole_outside_an_evacuated_failure_domain") {
  // Guards against a gang with a member in the failure domain, and one that waits for its workers.
  fleet.evacuate("b");
  fleet.submit(simulated_workers::job("j", 1, gang(12, seconds{4})));
  fleet.advance(seconds{1});
  CHECK(fleet.running_tasks() == 12);
  CHECK(running_in("b") == 0);
  CHECK(fleet.incomplete_gang_runs == 0);
}

TEST_CASE_METHOD(three_domains_fixture,
                 "scheduler_task_with_its_data_in_an_evacuated_failure_domain_goes_elsewhere_at_once") {
  // Guards against a wait of twice the estimate for a rack that is not coming back by itself.
  fleet.evacuate("a");
  auto step = tasks(1, 8, seconds{30});
  step.data_rack = "r0";
  fleet.submit(simulated_workers::job("j", 1, step));
  fleet.advance(milliseconds{500});
  CHECK(fleet.running_tasks() == 1);
  CHECK(starts_in("a") == 0);
}

TEST_CASE_METHOD(three_domains_fixture,
                 "scheduler_task_that_waits_for_a_full_rack_goes_elsewhere_once_the_rack_is_evacuated") {
  // Guards against a rack that is remembered as one that could hold the task.
  fleet.submit(simulated_workers::job("first", 1, tasks(18, 8, seconds{60})));
  fleet.advance(seconds{1});
  auto step = tasks(1, 8, seconds{30});
  step.data_rack = "r0";
  fleet.submit(simulated_workers::job("j", 1, step));
  fleet.advance(seconds{1});
  fleet.evacuate("a");
  fleet.cancel(job_id{"first"});
  fleet.advance(seconds{1});
  CHECK(starts_of("j") == 1);
  CHECK(running_in("a") == 0);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(three_domains_fixture, "scheduler_gang_for_one_rack_goes_to_a_rack_that_is_not_evacuated") {
  fleet.evacuate("a");
  auto step = gang(6, seconds{4});
  step.same_rack = true;
  fleet.submit(simulated_workers::job("j", 1, step));
  fleet.advance(milliseconds{500});
  CHECK(std::max(running_in("b"), running_in("c")) == 6);
}

TEST_CASE_METHOD(three_domains_fixture,
                 "scheduler_urgent_work_stops_none_in_an_evacuated_failure_domain_for_its_place") {
  // Guards against work that is stopped for urgent work, which then may not start there.
  fleet.submit(simulated_workers::job("low", 2, tasks(18, 8, seconds{60})));
  fleet.advance(seconds{1});
  REQUIRE(running_in("a") == 6);
  fleet.evacuate("a");
  fleet.submit(simulated_workers::job("urgent", 0, tasks(2, 8, seconds{4})));
  fleet.advance(seconds{2});
  CHECK(starts_of("urgent") == 2);
  CHECK(running_in("a") == 6);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(three_domains_fixture,
                 "scheduler_reserved_space_in_an_evacuated_failure_domain_is_released_at_once") {
  // Guards against an urgent task that waits for preempted runs to end where it may not start any more.
  fleet.stop_time = milliseconds{200};
  fleet.evacuate("b");
  fleet.evacuate("c");
  fleet.submit(simulated_workers::job("low", 2, tasks(6, 8, seconds{60})));
  fleet.advance(seconds{1});
  fleet.submit(simulated_workers::job("urgent", 0, tasks(2, 8, seconds{4})));
  fleet.advance(milliseconds{60});
  REQUIRE(starts_of("urgent") == 0);
  fleet.evacuate("b", false);
  fleet.evacuate("a");
  fleet.advance(milliseconds{160});
  CHECK(running_in("b") >= 2);
  CHECK(starts_of("urgent") == 2);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(three_domains_fixture,
                 "scheduler_start_that_is_queued_when_its_failure_domain_is_evacuated_is_never_sent") {
  // Guards against orders that wait behind unanswered ones and start their tasks long after the request.
  fleet.max_orders_in_flight = 1;
  fleet.evacuate("b");
  fleet.evacuate("c");
  for (auto& [id, worker] : fleet.workers) {
    worker.disconnected = worker.entry.domain == failure_domain_id{"a"};
  }
  fleet.submit(simulated_workers::job("j", 1, tasks(24, 2, seconds{4})));
  fleet.advance(milliseconds{100});
  REQUIRE(fleet.running_tasks() == 0);
  fleet.evacuate("a");
  fleet.evacuate("b", false);
  for (auto& [id, worker] : fleet.workers) {
    worker.disconnected = false;
  }
  fleet.advance(seconds{3});
  CHECK(starts_in("a") == 0);
  CHECK(running_in("b") == 24);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(three_domains_fixture,
                 "scheduler_unanswered_start_is_not_repeated_in_an_evacuated_failure_domain") {
  // Guards against the repeat of an order whose answer was lost with the order.
  fleet.evacuate("b");
  fleet.evacuate("c");
  fleet.submit(simulated_workers::job("j", 1, tasks(1, 8, seconds{4})));
  for (int passed = 0; passed < 100 && !fleet.last_start; ++passed) {
    fleet.advance(milliseconds{4});
    for (auto& [id, worker] : fleet.workers) {
      worker.disconnected = fleet.last_start && id == fleet.last_start->worker;
    }
  }
  REQUIRE(fleet.last_start);
  const auto worker = fleet.last_start->worker;
  fleet.evacuate("a");
  fleet.evacuate("b", false);
  fleet.workers.at(worker).disconnected = false;
  fleet.advance(seconds{2});
  CHECK(starts_in("a") <= 1);
  CHECK(running_in("a") == 0);
  CHECK(running_in("b") == 1);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(
    three_domains_fixture,
    "scheduler_gang_of_which_a_start_is_unconfirmed_is_withdrawn_whole_from_an_evacuated_domain") {
  // Guards against a gang of which one member is never started, so that the others wait for it.
  fleet.evacuate("b");
  fleet.evacuate("c");
  fleet.advance(milliseconds{100});
  fleet.workers.at(worker_id{"w1"}).disconnected = true;
  fleet.submit(simulated_workers::job("j", 1, gang(6, seconds{4})));
  fleet.advance(milliseconds{300});
  fleet.evacuate("a");
  fleet.evacuate("b", false);
  fleet.workers.at(worker_id{"w1"}).disconnected = false;
  fleet.advance(seconds{2});
  CHECK(running_in("a") == 0);
  CHECK(running_in("b") == 6);
  CHECK(fleet.incomplete_gang_runs == 0);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(three_domains_fixture, "scheduler_two_failure_domains_are_evacuated_at_the_same_time") {
  fleet.evacuate("a");
  fleet.evacuate("c");
  fleet.submit(simulated_workers::job("j", 1, tasks(18, 8, seconds{2})));
  fleet.advance(seconds{10});
  CHECK(fleet.phase("j") == job_phase::complete);
  CHECK(starts_in("b") == 18);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(three_domains_fixture,
                 "scheduler_with_all_failure_domains_evacuated_keeps_jobs_waiting_and_logs_why") {
  evacuate_all();
  fleet.submit(simulated_workers::job("j", 1, tasks(2, 8, seconds{2})));
  fleet.advance(seconds{5});
  CHECK(fleet.phase("j") == job_phase::queued);
  CHECK(fleet.running_tasks() == 0);
  REQUIRE_FALSE(fleet.standing_jobs.empty());
  CHECK(fleet.standing_jobs.front().reason == "all workers for it are in evacuated failure domains");
  fleet.evacuate("b", false);
  fleet.advance(seconds{4});
  CHECK(fleet.phase("j") == job_phase::complete);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(three_domains_fixture,
                 "scheduler_workers_of_a_failure_domain_are_used_at_once_when_its_evacuation_is_taken_back") {
  fleet.evacuate("a");
  fleet.submit(simulated_workers::job("j", 1, tasks(18, 8, seconds{60})));
  fleet.advance(seconds{1});
  REQUIRE(fleet.running_tasks() == 12);
  fleet.evacuate("a", false);
  fleet.advance(milliseconds{400});
  CHECK(running_in("a") == 6);
}

TEST_CASE_METHOD(three_domains_fixture,
                 "scheduler_evacuation_that_is_taken_back_while_starts_are_withdrawn_loses_no_task") {
  // Guards against a task that waits for ever, or runs twice, after a request that lasted for moments.
  fleet.evacuate("b");
  fleet.evacuate("c");
  fleet.workers.at(worker_id{"w1"}).disconnected = true;
  fleet.submit(simulated_workers::job("j", 1, tasks(6, 8, seconds{2})));
  fleet.advance(milliseconds{40});
  fleet.evacuate("a");
  fleet.advance(milliseconds{40});
  fleet.evacuate("a", false);
  fleet.workers.at(worker_id{"w1"}).disconnected = false;
  fleet.advance(seconds{8});
  CHECK(fleet.phase("j") == job_phase::complete);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(three_domains_fixture,
                 "scheduler_new_owner_adopts_the_runs_of_an_evacuated_failure_domain_and_starts_none_there") {
  fleet.submit(simulated_workers::job("j", 1, tasks(24, 8, seconds{6})));
  fleet.advance(seconds{2});
  REQUIRE(running_in("a") == 6);
  fleet.evacuate("a");
  const auto before = starts_in("a");
  fleet.begin_term();
  fleet.advance(seconds{20});
  CHECK(fleet.phase("j") == job_phase::complete);
  CHECK(starts_in("a") == before);
  CHECK(starts_of("j") == 24);
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(
    three_domains_fixture,
    "scheduler_worker_that_is_listed_during_the_evacuation_of_its_failure_domain_gets_no_start") {
  fleet.evacuate("new");
  fleet.add_workers(6);
  for (auto& [id, worker] : fleet.workers) {
    if (worker.entry.rack == rack_id{"r3"}) {
      worker.entry.domain = failure_domain_id{"new"};
    }
  }
  fleet.submit(simulated_workers::job("j", 1, tasks(24, 8, seconds{60})));
  fleet.advance(seconds{3});
  CHECK(fleet.running_tasks() == 18);
  CHECK(starts_in("new") == 0);
}

TEST_CASE_METHOD(three_domains_fixture,
                 "scheduler_evacuations_at_random_under_faults_start_nothing_there_and_lose_no_job") {
  // Guards against combinations: requests that come and go while orders are lost and owners change.
  random_source choices{7};
  fleet.injected_faults = {.lost_answer = 0.02, .failing_task = 0.0};
  for (int round = 0; round < 40; ++round) {
    const std::string domain{static_cast<char>('a' + choices.below(3))};
    fleet.evacuate(domain, !fleet.evacuated_since.contains(failure_domain_id{domain}));
    if (round % 10 == 9) {
      fleet.begin_term();
    }
    auto step = round % 2 == 0 ? gang(4, seconds{1}) : tasks(8, 2, seconds{1});
    step.same_rack = step.gang;
    fleet.submit(simulated_workers::job("j" + std::to_string(round), round % 3, step));
    fleet.advance(milliseconds{300 + static_cast<std::int64_t>(choices.below(700))});
  }
  for (const auto* domain : {"a", "b", "c"}) {
    fleet.evacuate(domain, false);
  }
  fleet.advance(seconds{60});
  for (int round = 0; round < 40; ++round) {
    CHECK(fleet.phase("j" + std::to_string(round)) == job_phase::complete);
  }
  CHECK(fleet.violations.empty());
}

}  // namespace
}  // namespace rhubarbpath

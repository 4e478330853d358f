#include "rhubarbpath/protocol/missed_objectives.hpp"

#include <fmt/format.h>

#include <catch2/catch.hpp>

namespace rhubarbpath {
namespace {

/// Writes the log lines of a fleet, with times in milliseconds.
class log_writer {
 public:
  void add_job(const std::string& job, int at, int chain, const std::string& queue = "q",
               const std::string& team = "t", int tasks = 1) {
    line(
        at, "job_added",
        fmt::format(R"("job":"{}","term":1,"queue":"{}","team":"{}","kind":"once","tasks":"{}","age_ms":"0",)"
                    R"("chain_ms":"{}","objective_ms":"{}","target_ms":"500")",
                    job, queue, team, tasks, chain, chain * 3 / 2 + 500));
  }
  void start(const std::string& job, int at, const std::string& unit, int run, const std::string& workers,
             int estimate, int outside = 0) {
    line(at, "unit_started",
         fmt::format(R"("job":"{}","term":1,"step":"{}","run":"{}","workers":"{}","estimate_ms":"{}",)"
                     R"("cores_milli":"2000","saves":"0","outside_rack":"{}")",
                     job, unit, run, workers, estimate, outside));
  }
  void end_run(const std::string& job, int at, const std::string& task, int run, const std::string& worker,
               const std::string& outcome = "done") {
    line(at, "run_ended",
         fmt::format(R"("job":"{}","term":1,"reason":"{}","worker":"{}","task":"{}","run":"{}")", job,
                     outcome, worker, task, run));
  }
  void end_job(const std::string& job, int at, const std::string& phase = "complete") {
    line(at, "job_ended", fmt::format(R"("job":"{}","term":1,"reason":"{}")", job, phase));
  }
  /// A job of one task that runs without a wait.
  void run_alone(const std::string& job, int at, int took, const std::string& worker) {
    add_job(job, at, 1000);
    start(job, at, "0.0.0", 1, worker, 1000);
    end_run(job, at + took, "0.0.0", 1, worker);
    end_job(job, at + took);
  }
  void line(int at, const std::string& event, const std::string& fields) {
    misses.add_line(fmt::format(
        R"(  1.2 vm-1 {{"time":"2026-12-06T10:{:02}:{:02}.{:03}Z","vm":"vm-1","message":"{}",{}}})",
        at / 60000, at / 1000 % 60, at % 1000, event, fields));
  }

  missed_objectives misses;
};

const missed_job& only_miss(const missed_objectives_report& report, const std::string& job) {
  REQUIRE(report.missed.size() == 1);
  REQUIRE(report.missed[0].job == job);
  return report.missed[0];
}

double lost(const missed_job& job, miss_cause cause) {
  return job.lost_ms[static_cast<std::size_t>(cause)];
}

// Guards against an objective that follows the owner's wait or the caller's wrong estimate.
TEST_CASE_METHOD(log_writer, "misses_of_jobs_in_time_are_none") {
  run_alone("a", 0, 1000, "w1");
  run_alone("b", 0, 1900, "w2");
  add_job("half", 0, 400);
  start("half", 0, "0.0.0", 1, "w3", 400);
  end_run("half", 1300, "0.0.0", 1, "w3");
  end_job("half", 1300);
  const auto report = misses.report();
  CHECK(report.missed.empty());
  CHECK(report.queues.at("q").jobs == 3);
  CHECK(report.queues.at("q").missed_by_estimate == 1);
}

TEST_CASE_METHOD(log_writer, "misses_of_job_that_waited_name_who_held_the_space") {
  add_job("holder", 0, 8000, "batch", "large");
  start("holder", 0, "0.0.0", 1, "w1", 8000);
  end_run("holder", 8000, "0.0.0", 1, "w1");
  end_job("holder", 8000);
  add_job("late", 1000, 1000);
  start("late", 8000, "0.0.0", 1, "w1", 1000);
  end_run("late", 9000, "0.0.0", 1, "w1");
  end_job("late", 9000);
  const auto report = misses.report();
  const auto& late = only_miss(report, "late");
  CHECK(late.cause == miss_cause::no_room);
  CHECK(lost(late, miss_cause::no_room) == Approx(7000));
  CHECK(late.late_ms == 6000);
  CHECK(report.held_by_queue.at("q").at("batch") == Approx(14));
  CHECK(report.held_by_team.at("q").at("large") == Approx(14));
}

// Guards against calling work long that only ran on a slow worker.
TEST_CASE_METHOD(log_writer, "misses_on_worker_slower_than_others_name_it_slow") {
  for (int job = 0; job < 4; ++job) {
    const auto id = fmt::format("wide{}", job);
    add_job(id, job * 4000, 1000, "batch", "t", 5);
    for (int task = 0; task < 5; ++task) {
      const int took = task == 4 ? 2000 : 1000;
      start(id, job * 4000, fmt::format("0.0.{}", task), 1, fmt::format("w{}", task), 1000);
      end_run(id, job * 4000 + took, fmt::format("0.0.{}", task), 1, fmt::format("w{}", task));
    }
    end_job(id, job * 4000 + 2000);
  }
  const auto report = misses.report();
  CHECK(report.slow_workers == 1);
  CHECK(report.judged_workers == 5);
  CHECK(report.missed.empty());  // 2,000 ms are all that these jobs may take.
}

TEST_CASE_METHOD(log_writer, "misses_on_slow_worker_and_of_straggler_are_told_apart") {
  for (int job = 0; job < 5; ++job) {
    const auto id = fmt::format("wide{}", job);
    const int began = job * 10000;
    add_job(id, began, 1000, "batch", "t", 5);
    for (int task = 0; task < 5; ++task) {
      // Worker 4 takes 4 times as long in each job but the last, in which worker 1 does so once.
      const bool is_slow = job < 4 ? task == 4 : task == 1;
      const auto worker = fmt::format("w{}", job == 4 && task == 4 ? 5 : task);
      start(id, began, fmt::format("0.0.{}", task), 1, worker, 1000);
      end_run(id, began + (is_slow ? 4000 : 1000), fmt::format("0.0.{}", task), 1, worker);
    }
    end_job(id, began + 4000);
  }
  const auto report = misses.report();
  REQUIRE(report.missed.size() == 5);
  for (int job = 0; job < 4; ++job) {
    CHECK(report.missed[static_cast<std::size_t>(job)].cause == miss_cause::slow_worker);
  }
  CHECK(report.missed[4].cause == miss_cause::straggler);
  CHECK(lost(report.missed[4], miss_cause::straggler) == Approx(3000));
}

TEST_CASE_METHOD(log_writer, "misses_of_preempted_job_count_work_and_wait_until_it_runs_again") {
  add_job("urgent", 1500, 1000, "now");
  add_job("late", 0, 2000);
  start("late", 0, "0.0.0", 1, "w1,w2", 2000);
  line(1500, "unit_preempted",
       R"("job":"late","reason":"for urgent","term":1,"step":"0.0.0","percent":"75")");
  end_run("late", 1600, "0.0.1", 1, "w2", "stopped");
  start("late", 4000, "0.0.0", 2, "w1,w3", 2000);
  end_run("late", 5900, "0.0.0", 2, "w1");
  end_run("late", 6000, "0.0.1", 2, "w3");
  end_job("late", 6000);
  end_job("urgent", 1600, "cancelled");
  const auto report = misses.report();
  const auto& late = only_miss(report, "late");
  CHECK(late.cause == miss_cause::stopped);
  CHECK(lost(late, miss_cause::stopped) == Approx(4000));
  CHECK(report.stopped.at("preempted").runs == 1);
  CHECK(report.stopped.at("preempted").core_seconds == Approx(6));
  CHECK(report.stopped_for.at({"q", "now"}) == 1);
}

TEST_CASE_METHOD(log_writer, "misses_of_lost_and_of_failed_runs_are_told_apart") {
  add_job("lost", 0, 1000);
  start("lost", 0, "0.0.0", 1, "w1", 1000);
  line(5000, "run_lost", R"("job":"lost","reason":"lease","term":1,"worker":"w1","run":"1")");
  start("lost", 5000, "0.0.0", 2, "w2", 1000);
  end_run("lost", 6000, "0.0.0", 2, "w2");
  end_job("lost", 6000);
  add_job("failed", 1, 1000);
  start("failed", 1, "0.0.0", 1, "w3", 1000);
  end_run("failed", 900, "0.0.0", 1, "w3", "failed");
  end_job("failed", 900, "failed");
  const auto report = misses.report();
  REQUIRE(report.missed.size() == 2);
  CHECK(report.missed[0].cause == miss_cause::lost);
  CHECK(report.missed[1].cause == miss_cause::failed_run);
}

// Guards against blaming a lack of space on the time in which no owner was there; a killed one logs no end.
TEST_CASE_METHOD(log_writer, "misses_while_owner_was_away_are_not_called_lack_of_space") {
  line(0, "term_began", R"("term":1)");
  line(10, "recovery_finished", R"("term":1)");
  add_job("late", 100, 1000);
  line(5000, "term_began", R"("term":2)");
  line(7000, "recovery_finished", R"("term":2)");
  start("late", 7100, "0.0.0", 1001, "w1", 1000);
  end_run("late", 8100, "0.0.0", 1001, "w1");
  end_job("late", 8100);
  const auto report = misses.report();
  const auto& late = only_miss(report, "late");
  CHECK(late.cause == miss_cause::owner_away);
  CHECK(lost(late, miss_cause::owner_away) == Approx(6900));
  CHECK(lost(late, miss_cause::no_room) == Approx(100));
}

// Guards against a first term that counts as absent to its end, because it has nothing to recover.
TEST_CASE_METHOD(log_writer, "misses_in_term_without_recovery_are_not_blamed_on_the_owner") {
  line(0, "term_began", R"("term":1)");
  run_alone("first", 100, 1000, "w1");
  add_job("late", 2000, 1000);
  start("late", 9000, "0.0.0", 1, "w1", 1000);
  end_run("late", 10000, "0.0.0", 1, "w1");
  end_job("late", 10000);
  CHECK(only_miss(misses.report(), "late").cause == miss_cause::no_room);
}

// Guards against a gang whose last reports come after the end of its job and are left out.
TEST_CASE_METHOD(log_writer, "misses_of_gang_that_ends_with_its_first_report_count_its_run") {
  add_job("late", 0, 1000);
  start("late", 0, "0.0.0", 1, "w1,w2", 1000);
  line(1, "unit_preempted", R"("job":"late","reason":"for x","term":1,"step":"0.0.0","percent":"0")");
  start("late", 6000, "0.0.0", 2, "w1,w2", 1000);
  end_run("late", 7000, "0.0.0", 2, "w1");
  end_job("late", 7000);
  end_run("late", 7050, "0.0.1", 2, "w2");
  const auto report = misses.report();
  const auto& late = only_miss(report, "late");
  CHECK(late.cause == miss_cause::stopped);
  CHECK(late.late_ms == 5000);
}

TEST_CASE_METHOD(log_writer, "misses_of_refused_submissions_are_counted_with_and_without_a_later_job") {
  const auto refuse = [&](int at, const std::string& job) {
    line(at, "caller_answered",
         fmt::format(R"("job":"{}","method":"POST","status":503,"reason":"x","queue":"q","team":"t")", job));
  };
  refuse(0, "never");
  refuse(0, "late");
  add_job("late", 4000, 1000);
  start("late", 4000, "0.0.0", 1, "w1", 1000);
  end_run("late", 5000, "0.0.0", 1, "w1");
  end_job("late", 5000);
  const auto report = misses.report();
  REQUIRE(report.missed.size() == 2);
  CHECK(report.missed[0].cause == miss_cause::refused);
  CHECK(report.missed[1].cause == miss_cause::refused);
  CHECK(report.queues.at("q").never_accepted == 1);
  CHECK(report.queues.at("q").jobs == 1);
}

TEST_CASE_METHOD(log_writer, "misses_outside_preferred_rack_are_no_stragglers") {
  for (int job = 0; job < 5; ++job) {
    run_alone(fmt::format("near{}", job), job * 1000, 1000, "w1");
  }
  add_job("far", 6000, 1000);
  start("far", 6000, "0.0.0", 1, "w2", 1000, 1);
  end_run("far", 10000, "0.0.0", 1, "w2");
  end_job("far", 10000);
  CHECK(only_miss(misses.report(), "far").cause == miss_cause::away_from_data);
}

// A crash can leave a truncated line, and lines of other events are passed over unread.
TEST_CASE_METHOD(log_writer, "misses_of_unreadable_lines_are_counted") {
  misses.add_line("");
  misses.add_line(R"({"time":"2026-12-06T10:00:00.000Z","message":"job_ended","job":"a)");
  misses.add_line("no object");
  misses.add_line(R"({"traceId":"1","name":"entry.request"})");
  const auto report = misses.report();
  CHECK(report.unreadable_lines == 2);
  CHECK(report.missed.empty());
}

}  // namespace
}  // namespace rhubarbpath

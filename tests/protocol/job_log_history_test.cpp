#include "rhubarbpath/protocol/job_log_history.hpp"

#include <catch2/catch.hpp>

namespace rhubarbpath {
namespace {

/// Log lines of rhubarb-edge around the loss of an owner, with an unrelated line of a third VM.
std::vector<std::string> takeover_lines() {
  return {
      R"({"time":"2026-12-04T11:00:02.000Z","level":"info","program":"rhubarb-edge","vm":"b","message":"run_adopted","job":"j1","reason":"listed by its worker","term":2,"worker":"w1","run":"1"})",
      R"({"time":"2026-12-04T11:00:00.100Z","level":"info","program":"rhubarb-edge","vm":"a","message":"job_added","job":"j1","reason":"new","term":1,"queue":"q","team":"t","units":"1","phase":"queued"})",
      R"(   0.3 a {"time":"2026-12-04T11:00:00.300Z","level":"info","program":"rhubarb-edge","vm":"a","message":"unit_started","job":"j1","reason":"placed","term":1,"step":"0.0.0","run":"1","workers":"w1,w2","waited_ms":"200"})",
      R"({"time":"2026-12-04T11:00:01.500Z","level":"info","program":"rhubarb-edge","vm":"b","message":"term_began","term":2,"revision":9})",
      R"({"time":"2026-12-04T11:00:02.500Z","level":"info","program":"rhubarb-edge","vm":"b","message":"worker_silent","reason":"unanswered","term":2,"worker":"w2","tasks":"1"})",
      R"({"time":"2026-12-04T11:00:02.500Z","level":"info","program":"rhubarb-edge","vm":"b","message":"worker_silent","reason":"unanswered","term":2,"worker":"w9","tasks":"1"})",
      R"({"time":"2026-12-04T11:00:03.000Z","level":"info","program":"rhubarb-edge","vm":"b","message":"run_lost","job":"j1","reason":"lease expired on a silent worker","term":2,"worker":"w2","run":"1"})",
      R"({"time":"2026-12-04T11:00:09.000Z","level":"info","program":"rhubarb-edge","vm":"b","message":"job_ended","job":"j1","reason":"complete","term":2,"waited_ms":"7000"})",
      R"({"time":"2026-12-04T11:00:30.000Z","level":"info","program":"rhubarb-edge","vm":"c","message":"term_began","term":3,"revision":12})",
      R"({"time":"2026-12-04T11:00:04.000Z","level":"info","program":"rhu)",
      "",
  };
}

// Guards against a history without the change of owner, or with lines that are not relevant to the job.
TEST_CASE("job_log_of_killed_owner_holds_takeover_and_own_workers_in_order") {
  const auto history = collect_job_log(takeover_lines(), "j1");
  std::vector<std::string> events;
  for (const auto& entry : history.entries) {
    events.push_back(entry.event);
  }
  CHECK(events == std::vector<std::string>{"job_added", "unit_started", "term_began", "run_adopted",
                                           "worker_silent", "run_lost", "job_ended"});
  CHECK(history.unreadable_lines == 1);
  CHECK(history.findings ==
        std::vector<std::string>{
            "its first task or gang waited 200 ms for space",
            "run_lost on worker w2 at 2026-12-04T11:00:03.000Z: lease expired on a silent worker",
            "it ended as complete at 2026-12-04T11:00:09.000Z, 7000 ms after the owner b learned of it"});
}

TEST_CASE("job_log_of_refused_job_tells_status_and_reason") {
  const auto history = collect_job_log(
      {R"({"time":"2026-12-04T11:00:00.700Z","vm":"a","message":"caller_answered","job":"j2","method":"POST","status":503,"reason":"the store refuses calls; nothing was done","config_version":7,"config_age_ms":900,"took_ms":612})"},
      "j2");
  REQUIRE(history.findings.size() == 1);
  CHECK(history.findings[0] ==
        "a answered 503 at 2026-12-04T11:00:00.700Z: the store refuses calls; nothing was done "
        "(configuration 7, 900 ms after it was confirmed; took 612 ms)");
}

// Guards against a history that shows a long gap without its reason.
TEST_CASE("job_log_of_standing_job_names_what_it_waits_for") {
  const auto history = collect_job_log(
      {R"({"time":"2026-12-05T13:39:12.500Z","vm":"a","message":"job_stands","job":"j4","reason":"rack r2 of its data has no space","term":1,"step":"0.0.0","runs":"1","stands_ms":"3000","in_use_percent":"4","workers":"48","usable":"42","with_room":"41","held_back":"0","set_aside":"0","rack":"r2","rack_usable":"0","rack_with_room":"0"})"},
      "j4");
  REQUIRE(history.findings.size() == 1);
  CHECK(history.findings[0] ==
        "nothing of it had run for 3000 ms at 2026-12-05T13:39:12.500Z: rack r2 of its data has no space "
        "(step 0.0.0; 4% of the service in use, 41 of 48 workers with space)");
}

// Guards against a job whose place or wait looks strange because an operator emptied a failure domain.
TEST_CASE("job_log_names_the_evacuations_that_stood_while_the_job_was_open") {
  const auto line = [](const std::string& second, const std::string& message, const std::string& fields) {
    return R"({"time":"2026-12-06T11:00:)" + second + R"(.000Z","vm":"a","message":")" + message + "\",\"" +
           fields + "\"}";
  };
  const auto history = collect_job_log({line("01", "domain_evacuated", R"(failure_domain":"west-a)"),
                                        line("02", "domain_evacuated", R"(failure_domain":"west-b)"),
                                        line("03", "domain_evacuation_ended", R"(failure_domain":"west-a)"),
                                        line("05", "start_withdrawn", R"(job":"j5","worker":"w1)"),
                                        line("06", "domain_evacuated", R"(failure_domain":"west-c)"),
                                        line("07", "start_refused", R"(job":"j5","worker":"w1)"),
                                        line("08", "domain_evacuated", R"(failure_domain":"west-d)")},
                                       "j5");
  CHECK(history.findings ==
        std::vector<std::string>{
            "failure domain west-b was evacuated at 2026-12-06T11:00:02.000Z: nothing was started there",
            "failure domain west-c was evacuated at 2026-12-06T11:00:06.000Z: nothing was started there",
            "1 starts of it were withdrawn from evacuated failure domains"});
}

// Guards against attributing the failures of one bad worker to the job, and the reverse.
TEST_CASE("job_log_of_failed_runs_names_worker_or_job") {
  const std::string one =
      R"({"time":"2026-12-04T11:00:01.000Z","vm":"a","message":"run_ended","job":"j3","reason":"failed","worker":"w1","task":"0.0.0","run":"1"})";
  auto two = one;
  two.replace(two.find("w1"), 2, "w2");
  CHECK(collect_job_log({one, one}, "j3").findings ==
        std::vector<std::string>{"all 2 failed runs were on worker w1: look at that worker"});
  CHECK(collect_job_log({one, two}, "j3").findings ==
        std::vector<std::string>{
            "runs failed on 2 workers, so the job itself is the likely cause: w1 (1), w2 (1)"});
}

TEST_CASE("job_log_without_the_job_is_empty") {
  const auto history = collect_job_log(takeover_lines(), "unknown");
  CHECK(history.entries.empty());
  CHECK(history.findings.empty());
}

}  // namespace
}  // namespace rhubarbpath

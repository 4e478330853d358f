#include <catch2/catch.hpp>
#include <map>

#include "rhubarbpath/coordination/job_scheduler.hpp"

namespace rhubarbpath {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Fields of the log line about a job that the owner learns of `age` after it was accepted.
std::map<std::string, std::string> added_line(const job_graph& graph, milliseconds age) {
  const instant now{seconds{100}};
  job_scheduler scheduler{{}, owner_term{1}, now};
  fleet_config config;
  config.queues.push_back({.id = queue_id{"q"},
                           .host = {},
                           .path_prefix = {},
                           .service = service_id{"s"},
                           .stretch = 1.5,
                           .target = milliseconds{250},
                           .adviser = {}});
  scheduler.set_config(std::make_shared<fleet_config>(config), now);
  scheduler.set_wall_clock(milliseconds{5000}, now);
  scheduler.add_job({.id = job_id{"j1"},
                     .queue = queue_id{"q"},
                     .team = team_id{"t"},
                     .accepted_at = milliseconds{5000} - age,
                     .graph = graph,
                     .terms = {}},
                    std::nullopt, false, now);
  std::map<std::string, std::string> fields;
  for (const auto& action : scheduler.take_actions()) {
    const auto* decision = std::get_if<decision_record>(&action);
    if (decision != nullptr && decision->event == "job_added") {
      for (const auto& [name, value] : decision->inputs) {
        fields.emplace(name, value);
      }
    }
  }
  return fields;
}

// Guards against a log from which `rhubarbctl misses` judges jobs by a wrong objective.
TEST_CASE("scheduler_log_of_added_job_tells_its_age_and_objective") {
  job_graph graph;
  graph.steps.push_back({.count = 3, .each = {1000, 1000, 1}, .estimate = seconds{4}});
  graph.steps.push_back({.count = 2, .each = {1000, 1000, 1}, .estimate = seconds{2}, .after = {0}});
  auto fields = added_line(graph, milliseconds{40});
  CHECK(fields["kind"] == "once");
  CHECK(fields["tasks"] == "5");
  CHECK(fields["age_ms"] == "40");
  CHECK(fields["chain_ms"] == "6000");
  CHECK(fields["target_ms"] == "250");
  CHECK(fields["objective_ms"] == "9250");
}

// Such jobs have no objective as a whole, so the split has to be able to pass them over.
TEST_CASE("scheduler_log_of_added_job_names_timed_and_lasting_ones") {
  job_graph graph;
  graph.steps.push_back({.count = 1, .each = {1000, 1000, 1}, .estimate = seconds{4}});
  graph.steps.front().long_running = true;
  CHECK(added_line(graph, {})["kind"] == "lasting");
  graph.occurrences = 3;
  graph.interval = seconds{10};
  CHECK(added_line(graph, {})["kind"] == "timed");
}

}  // namespace
}  // namespace rhubarbpath

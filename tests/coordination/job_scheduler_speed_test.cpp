#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "simulated_workers.hpp"

namespace rhubarbpath {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::simulated_workers;

struct outcome {
  int urgent{0};
  int urgent_on_time{0};
  int relaxed{0};
  int relaxed_on_time{0};
  std::map<worker_id, int> starts_on;
  std::vector<std::string> violations;
};

/// Plays a load at which the fast workers hold all urgent work if the rest leaves them free. Callers'
/// estimates are off.
outcome play(bool uneven, bool weigh_speed, std::uint64_t seed, bool varied = true) {
  simulated_workers fleet{seed};
  random_source random{seed + 1};
  fleet.add_workers(36);
  int number = 0;
  for (auto& [id, worker] : fleet.workers) {
    // Every third worker is fast, so each rack has fast ones.
    worker.speed = !uneven ? 1.0 : ++number % 3 == 0 ? 1.6 : 0.6;
  }
  job_scheduler::options options;
  options.weigh_worker_speed = weigh_speed;
  fleet.begin_term(options);
  fleet.advance(milliseconds{200});
  struct submitted {
    std::string id;
    bool urgent;
    instant objective;
    std::optional<instant> done;
  };
  std::vector<submitted> jobs;
  constexpr seconds traffic{30};
  // The first seconds give the evidence.
  constexpr seconds counted_from{8};
  constexpr milliseconds slice{100};
  const auto began = fleet.now;
  while (fleet.now < began + traffic + seconds{15}) {
    const auto submit = [&](bool urgent, step_spec step, duration work, duration objective) {
      const auto id = "j" + std::to_string(jobs.size() + 1);
      fleet.real_duration[job_id{id}] = work;
      fleet.submit(simulated_workers::job(id, urgent ? 0 : 2, std::move(step)));
      jobs.push_back({.id = id, .urgent = urgent, .objective = fleet.now + objective, .done = {}});
    };
    const auto work_of = [&](milliseconds mean) {
      return duration{mean} * (varied ? 70 + static_cast<int>(random.below(61)) : 100) / 100;
    };
    if (fleet.now < began + traffic && random.below(100) < 15) {
      const auto work = work_of(milliseconds{1500});
      const auto estimate = work * (varied ? 10 + static_cast<int>(random.below(181)) : 100) / 100;
      submit(true, {.count = 3, .each = {4000, 16000, 2}, .estimate = estimate, .gang = true}, work,
             work * 5 / 4 + milliseconds{250});
    }
    if (fleet.now < began + traffic && random.below(100) < 9) {
      const auto work = work_of(milliseconds{4000});
      submit(false, {.count = 20, .each = {1000, 4000, 1}, .estimate = work}, work, work * 3 + seconds{1});
    }
    fleet.advance(slice);
    for (auto& each : jobs) {
      if (!each.done && fleet.phase(each.id) == job_phase::complete) {
        each.done = fleet.now;
      }
    }
  }
  outcome result;
  for (const auto& each : jobs) {
    if (each.objective < began + counted_from) {
      continue;
    }
    const int on_time = each.done && *each.done <= each.objective ? 1 : 0;
    (each.urgent ? result.urgent : result.relaxed) += 1;
    (each.urgent ? result.urgent_on_time : result.relaxed_on_time) += on_time;
  }
  result.starts_on = fleet.starts_on;
  result.violations = fleet.violations;
  return result;
}

}  // namespace

// Urgent work missed its objective on slow workers while fast ones carried work that had time.
TEST_CASE("job_scheduler_uneven_workers_urgent_jobs_end_within_their_objective") {
  for (const std::uint64_t seed : {1, 2, 3}) {
    const auto without = play(true, false, seed);
    const auto with = play(true, true, seed);
    INFO("seed " << seed << ": urgent on time " << without.urgent_on_time << " of " << without.urgent
                 << " without, " << with.urgent_on_time << " of " << with.urgent << " with; relaxed "
                 << without.relaxed_on_time << " of " << without.relaxed << " without, "
                 << with.relaxed_on_time << " of " << with.relaxed << " with");
    CHECK(with.violations.empty());
    CHECK(with.urgent_on_time * 10 >= with.urgent * 7);
    CHECK(with.urgent_on_time * 2 >= without.urgent_on_time * 3);
    CHECK(with.relaxed_on_time * 10 >= with.relaxed * 9);
  }
}

// On a fleet of even workers nothing may change.
TEST_CASE("job_scheduler_even_workers_placement_is_the_same_with_and_without_speed") {
  for (const std::uint64_t seed : {1, 2}) {
    CHECK(play(false, true, seed, false).starts_on == play(false, false, seed, false).starts_on);
  }
}

}  // namespace rhubarbpath

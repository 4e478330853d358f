#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <chrono>
#include <cmath>

#include "coordination/simulated_workers.hpp"

/// Plays the arrivals of a heavy day on simulated fleets and prints what callers get and what the scheduler
/// costs. The load grows with the fleet: urgent gangs, larger gangs that prefer one rack, and many
/// single-accelerator tasks; at load 1.6 together a little above what the fleet can carry.
namespace rhubarbpath {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct result {
  std::size_t workers{0};
  double scheduler_seconds{0};
};

struct kind {
  const char* name;
  int priority;
  double per_second;
  double width;
  duration work;
  resource_amounts each;
  bool gang;
  bool random_accelerators;
  double same_rack_share;
};

struct tally {
  int jobs{0};
  int on_time{0};
  int late{0};
  int unfinished{0};
  std::vector<double> waits;  ///< Time beyond the work of jobs that finished, in seconds.
};

double percentile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

std::uint32_t draw_width(random_source& random, double mean) {
  // Log-normal with a spread of 0.8, cut at six times the mean.
  constexpr double spread = 0.8;
  std::normal_distribution<double> normal{0.0, spread};
  const double drawn = mean * std::exp(normal(random.engine()) - spread * spread / 2.0);
  return static_cast<std::uint32_t>(std::clamp(std::round(drawn), 1.0, 6.0 * mean));
}

/// What is played.
struct scenario {
  std::size_t workers{350};
  double load{1.6};
  std::uint64_t seed{0};
  std::optional<adviser_config> adviser;  ///< Of all queues; it allows two thirds of the workers.
};

result run(const scenario& played) {
  const auto& [workers, load, seed, adviser] = played;
  testing::simulated_workers fleet{seed};
  // Arrivals have a random source of their own, so that they do not depend on the scheduler's decisions.
  random_source random{seed + 1};
  fleet.add_workers(workers);
  auto config = testing::simulated_workers::config();
  config->teams.front().guaranteed_accelerators = static_cast<std::int64_t>(workers) * 5;
  for (auto& queue : config->queues) {
    queue.adviser = adviser;
  }
  constexpr std::size_t one_refused_of = 3;
  std::size_t number = 0;
  for (const auto& [id, worker] : fleet.workers) {
    if (++number % one_refused_of != 0) {
      fleet.workers_allowed_by_adviser.insert(id);
    }
  }
  fleet.configuration = config;
  fleet.begin_term();
  fleet.advance(milliseconds{200});
  const double scale = load * static_cast<double>(workers) / 350.0;
  const std::vector<kind> kinds{
      {"urgent", 0, 8.9, 5, milliseconds{2500}, {3700, 20000, 0}, true, true, 0.8},
      {"large", 1, 2.4, 10, milliseconds{11000}, {13000, 68000, 0}, true, true, 0.6},
      {"small", 2, 3.6, 30, milliseconds{6100}, {2800, 11000, 1}, false, false, 0.0}};
  struct submitted {
    std::size_t kind;
    std::string id;
    instant at;
    duration work;
    std::optional<instant> done;
  };
  std::vector<submitted> jobs;
  constexpr seconds traffic{30};
  constexpr milliseconds step{20};
  std::chrono::nanoseconds wall{0};
  for (duration passed{}; passed < traffic + seconds{30}; passed += step) {
    for (std::size_t index = 0; index < kinds.size() && passed < traffic; ++index) {
      const auto& each = kinds[index];
      if (random.fraction() >= each.per_second * scale * std::chrono::duration<double>{step}.count()) {
        continue;
      }
      step_spec spec{.count = draw_width(random, each.width),
                     .each = each.each,
                     .estimate = each.work,
                     .gang = each.gang,
                     .same_rack = random.fraction() < each.same_rack_share};
      if (each.random_accelerators) {
        constexpr std::array<std::int64_t, 5> sizes{1, 2, 4, 8, 8};
        spec.each.accelerators = sizes.at(random.below(sizes.size()));
      }
      const auto id = fmt::format("{:016x}", jobs.size() + 1);
      fleet.submit(testing::simulated_workers::job(id, each.priority, spec));
      jobs.push_back({.kind = index, .id = id, .at = fleet.now, .work = each.work, .done = std::nullopt});
    }
    const auto begin = std::chrono::steady_clock::now();
    fleet.advance(step);
    wall += std::chrono::steady_clock::now() - begin;
    for (auto& each : jobs) {
      if (!each.done && fleet.phase(each.id) == job_phase::complete) {
        each.done = fleet.now;
      }
    }
  }
  std::vector<tally> tallies(kinds.size());
  for (const auto& each : jobs) {
    auto& counted = tallies[each.kind];
    ++counted.jobs;
    const auto objective = each.work * 3 + seconds{1};
    if (!each.done) {
      ++counted.unfinished;
    } else {
      ++(*each.done - each.at <= objective ? counted.on_time : counted.late);
      counted.waits.push_back(std::chrono::duration<double>{*each.done - each.at - each.work}.count());
    }
  }
  const auto scheduler_seconds = std::chrono::duration<double>{fleet.scheduler_time}.count();
  fmt::print(
      "{} workers, load {:.2f}, seed {}: {:.2f} s for 60 s, scheduler {:.2f} s; a call p50 {:.3f} ms, "
      "p99 {:.3f} ms, most {:.3f} ms\n",
      workers, load, seed, std::chrono::duration<double>{wall}.count(), scheduler_seconds,
      fleet.scheduler_call_ms(0.5), fleet.scheduler_call_ms(0.99), fleet.scheduler_call_ms(1.0));
  for (std::size_t index = 0; index < kinds.size(); ++index) {
    const auto& counted = tallies[index];
    fmt::print(
        "  {:8} jobs {:5} on time {:5.3f} late {:5.3f} unfinished {}; wait p50 {:.2f} s, p95 {:.2f} s\n",
        kinds[index].name, counted.jobs, static_cast<double>(counted.on_time) / std::max(1, counted.jobs),
        static_cast<double>(counted.late) / std::max(1, counted.jobs), counted.unfinished,
        percentile(counted.waits, 0.5), percentile(counted.waits, 0.95));
  }
  const auto stopped =
      std::count_if(fleet.run_outcomes.begin(), fleet.run_outcomes.end(),
                    [](const auto& outcome) { return outcome.second == run_outcome::stopped; });
  fmt::print("  {} runs, {} stopped; {} calls for advice, {} tickets refused\n", fleet.run_outcomes.size(),
             stopped, fleet.advice_calls, fleet.refused_tickets);
  return {.workers = workers, .scheduler_seconds = scheduler_seconds};
}

/// Exponent of the scheduler's cost as a power of the number of workers.
double growth(const result& small, const result& large) {
  return std::log(large.scheduler_seconds / small.scheduler_seconds) /
         std::log(static_cast<double>(large.workers) / static_cast<double>(small.workers));
}

}  // namespace
}  // namespace rhubarbpath

int main(int argc, char** argv) {
  TCLAP::CmdLine command{"Cost and results of the job scheduler on a simulated heavy day"};
  TCLAP::MultiArg<std::size_t> sizes{"w",   "workers", "Number of workers; may be repeated",
                                     false, "N",       command};
  TCLAP::ValueArg<double> load{"l", "load", "Arrivals; 1.6 is a little above capacity", false, 1.6,
                               "X", command};
  TCLAP::ValueArg<std::uint64_t> seed{"s", "seed", "First seed", false, 20261204, "N", command};
  TCLAP::ValueArg<std::uint64_t> plays{"p", "plays", "Number of seeds for each size", false, 1, "N", command};
  TCLAP::ValueArg<int> decision{"",   "decision", "Time of the adviser for a call, in ms", false, 5,
                                "MS", command};
  TCLAP::ValueArg<int> per_worker{"",   "per-worker", "Its time for each worker of a call, in ms", false, 1,
                                  "MS", command};
  TCLAP::ValueArg<int> validity{"",   "validity", "Lifetime of its tickets in ms; 0 for no adviser", false, 0,
                                "MS", command};
  command.parse(argc, argv);
  std::optional<rhubarbpath::adviser_config> adviser;
  if (validity.getValue() > 0) {
    adviser = rhubarbpath::adviser_config{.decision = std::chrono::milliseconds{decision.getValue()},
                                          .per_worker = std::chrono::milliseconds{per_worker.getValue()},
                                          .validity = std::chrono::milliseconds{validity.getValue()}};
  }
  const auto chosen = sizes.getValue().empty() ? std::vector<std::size_t>{350} : sizes.getValue();
  std::vector<rhubarbpath::result> results;
  for (const auto workers : chosen) {
    for (std::uint64_t play = 0; play < plays.getValue(); ++play) {
      results.push_back(rhubarbpath::run(
          {.workers = workers, .load = load.getValue(), .seed = seed.getValue() + play, .adviser = adviser}));
    }
  }
  if (chosen.size() > 1) {
    fmt::print("scheduler cost grows with power {:.2f} of the number of workers\n",
               rhubarbpath::growth(results.front(), results.back()));
  }
  return 0;
}

#include <fmt/format.h>

#include <chrono>
#include <cmath>

#include "coordination/simulated_workers.hpp"

/// Plays the arrivals of a heavy day on a simulated fleet and prints what callers get and what the
/// scheduler costs. The load: 350 workers of 8 accelerators; urgent gangs, larger gangs that prefer one
/// rack, and many single-accelerator tasks, together a little above what the fleet can carry.
namespace rhubarbpath {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

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
};

std::uint32_t draw_width(random_source& random, double mean) {
  // Log-normal with a spread of 0.8, cut at six times the mean.
  constexpr double spread = 0.8;
  std::normal_distribution<double> normal{0.0, spread};
  const double drawn = mean * std::exp(normal(random.engine()) - spread * spread / 2.0);
  return static_cast<std::uint32_t>(std::clamp(std::round(drawn), 1.0, 6.0 * mean));
}

int run(std::size_t workers, double load) {
  testing::simulated_workers fleet{20261204};
  fleet.add_workers(workers);
  auto config = testing::simulated_workers::config();
  config->teams.front().guaranteed_accelerators = static_cast<std::int64_t>(workers) * 5;
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
  auto& random = fleet.random;
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
    }
  }
  fmt::print("{} workers, load {:.2f}: {:.2f} s of processor for 60 s, scheduler {:.2f} s\n", workers, load,
             std::chrono::duration<double>{wall}.count(),
             std::chrono::duration<double>{fleet.scheduler_time}.count());
  for (std::size_t index = 0; index < kinds.size(); ++index) {
    const auto& counted = tallies[index];
    fmt::print("  {:8} jobs {:5} on time {:5.3f} late {:5.3f} unfinished {}\n", kinds[index].name,
               counted.jobs, static_cast<double>(counted.on_time) / std::max(1, counted.jobs),
               static_cast<double>(counted.late) / std::max(1, counted.jobs), counted.unfinished);
  }
  return 0;
}

}  // namespace
}  // namespace rhubarbpath

int main(int argc, char** argv) {
  const std::size_t workers = argc > 1 ? std::stoul(argv[1]) : 350;
  const double load = argc > 2 ? std::stod(argv[2]) : 1.0;
  return rhubarbpath::run(workers, load);
}

#include "rhubarbpath/coordination/worker_speed.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "rhubarbpath/state/random.hpp"

namespace rhubarbpath {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Workers that run tasks of a queue, reported on with ends and progress.
class speed_fixture {
 public:
  explicit speed_fixture(std::size_t workers) : estimates(workers), slowness(workers, 1.0) {}

  /// `work` is what the run takes on a worker of normal speed.
  void end(const std::vector<std::size_t>& members, milliseconds work, worker_speed::reference& step,
           milliseconds caller_estimate = milliseconds{2000}, log_ratio explained = 0) {
    auto at = pointers(members);
    worker_speed::run_track track;
    speeds.ended(at, facts(caller_estimate, explained), track, step, took(members, work), now);
  }
  /// One report each second of a run of this length.
  void report(const std::vector<std::size_t>& members, milliseconds work, worker_speed::run_track& track,
              worker_speed::reference& step, double& done) {
    auto at = pointers(members);
    speeds.progressed(at, facts(milliseconds{2000}, 0), track, step, static_cast<int>(done),
                      milliseconds{now.time_since_epoch() / milliseconds{1}}, now);
    now += seconds{1};
    done += 100.0 / static_cast<double>(took(members, work).count() / 1'000'000.0);
  }
  [[nodiscard]] speed_level level(std::size_t worker) const {
    return speeds.level_of(estimates[worker], now);
  }

  worker_speed speeds;
  std::vector<worker_speed::estimate> estimates;
  std::vector<double> slowness;
  instant now{seconds{1000}};

 private:
  static worker_speed::run_facts facts(milliseconds caller_estimate, log_ratio explained) {
    return {.queue = queue_id{"q"}, .caller_estimate = caller_estimate, .explained = explained};
  }
  std::vector<worker_speed::estimate*> pointers(const std::vector<std::size_t>& members) {
    std::vector<worker_speed::estimate*> at;
    for (const auto each : members) {
      at.push_back(&estimates[each]);
    }
    return at;
  }
  [[nodiscard]] duration took(const std::vector<std::size_t>& members, milliseconds work) const {
    double slowest = 0;
    for (const auto each : members) {
      slowest = std::max(slowest, slowness[each]);
    }
    return duration{static_cast<std::int64_t>(static_cast<double>(duration{work}.count()) * slowest)};
  }
};

/// Work that varies by up to `spread` either way.
milliseconds varied(random_source& random, milliseconds mean, int spread_percent) {
  const auto percent = 100 - spread_percent +
                       static_cast<int>(random.below(static_cast<std::uint64_t>(2 * spread_percent + 1)));
  return mean * percent / 100;
}

}  // namespace

// Guards against logarithms that differ between kinds of machine or are off.
TEST_CASE("log_of_durations_is_in_thousandths_of_an_octave") {
  CHECK(log_of(milliseconds{2}) - log_of(milliseconds{1}) == 1000);
  CHECK(log_of(milliseconds{3000}) - log_of(milliseconds{1000}) == 1585);
  CHECK(log_of(duration{0}) == 0);
  CHECK(scaled(milliseconds{1000}, 1000) == milliseconds{2000});
  CHECK(scaled(milliseconds{1000}, -1000) == milliseconds{500});
}

// Even workers must look even, or placement changes on fleets that have no uneven workers.
TEST_CASE("worker_speed_even_workers_with_varying_work_stay_normal") {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
    random_source random{seed};
    constexpr std::size_t count = 100;
    speed_fixture fleet{count};
    std::size_t judged = 0;
    std::size_t checks = 0;
    for (int round = 0; round < 40; ++round) {
      worker_speed::reference step;
      for (std::size_t index = 0; index < 20; ++index) {
        fleet.end({random.below(count)}, varied(random, milliseconds{3000}, 60), step);
      }
      worker_speed::reference gang;
      fleet.end({random.below(count), random.below(count), random.below(count)},
                varied(random, milliseconds{1500}, 80), gang);
      fleet.now += milliseconds{500};
      for (std::size_t worker = 0; worker < count; ++worker) {
        ++checks;
        judged += fleet.level(worker) != speed_level::normal ? 1 : 0;
      }
    }
    CHECK(judged * 100 < checks);
  }
}

// Uneven workers must be found although callers' estimates are off by up to 0.9.
TEST_CASE("worker_speed_slow_workers_are_found_with_wrong_estimates") {
  random_source random{7};
  constexpr std::size_t count = 40;
  speed_fixture fleet{count};
  for (std::size_t worker = 0; worker < count / 4; ++worker) {
    fleet.slowness[worker] = 2.5;
  }
  for (int round = 0; round < 30; ++round) {
    worker_speed::reference step;
    const auto work = varied(random, milliseconds{3000}, 60);
    const auto estimate = varied(random, work, 90);
    for (std::size_t index = 0; index < 20; ++index) {
      fleet.end({random.below(count)}, varied(random, work, 15), step, estimate);
    }
    fleet.now += milliseconds{500};
  }
  for (std::size_t worker = 0; worker < count; ++worker) {
    CHECK((fleet.level(worker) > speed_level::normal) == (worker < count / 4));
  }
}

// A gang shows its slowest member only, so the others must not be judged with it.
TEST_CASE("worker_speed_overlapping_gangs_show_which_member_is_slow") {
  random_source random{9};
  constexpr std::size_t count = 24;
  speed_fixture fleet{count};
  fleet.slowness[3] = 3.0;
  for (int round = 0; round < 150; ++round) {
    worker_speed::reference step;
    std::vector<std::size_t> members;
    while (members.size() < 4) {
      const auto drawn = random.below(count);
      if (std::find(members.begin(), members.end(), drawn) == members.end()) {
        members.push_back(drawn);
      }
    }
    fleet.end(members, varied(random, milliseconds{2000}, 20), step);
    fleet.now += milliseconds{100};
  }
  for (std::size_t worker = 0; worker < count; ++worker) {
    CHECK((fleet.level(worker) > speed_level::normal) == (worker == 3));
  }
}

// A worker that turns slow must be seen in a run in progress, and seen to recover in it.
TEST_CASE("worker_speed_worker_that_turns_slow_is_seen_within_two_seconds_and_recovers") {
  speed_fixture fleet{2};
  worker_speed::reference known;
  for (int round = 0; round < 20; ++round) {
    fleet.end({1}, milliseconds{20000}, known);
  }
  worker_speed::reference step;
  worker_speed::run_track track;
  double done = 0;
  for (int second = 0; second < 4; ++second) {
    fleet.report({0}, milliseconds{20000}, track, step, done);
  }
  CHECK(fleet.level(0) == speed_level::normal);
  fleet.slowness[0] = 5.0;
  for (int second = 0; second < 3; ++second) {
    fleet.report({0}, milliseconds{20000}, track, step, done);
  }
  CHECK(fleet.level(0) > speed_level::normal);
  fleet.slowness[0] = 1.0;
  for (int second = 0; second < 4; ++second) {
    fleet.report({0}, milliseconds{20000}, track, step, done);
  }
  CHECK(fleet.level(0) == speed_level::normal);
}

// A worker that gets no more work must not stay slow for ever, and a restart must not keep the certainty.
TEST_CASE("worker_speed_judgement_without_evidence_returns_to_normal") {
  random_source random{11};
  speed_fixture fleet{10};
  fleet.slowness[0] = 3.0;
  for (int round = 0; round < 20; ++round) {
    worker_speed::reference step;
    for (std::size_t worker = 0; worker < 10; ++worker) {
      fleet.end({worker}, varied(random, milliseconds{2000}, 10), step);
    }
  }
  REQUIRE(fleet.level(0) > speed_level::normal);
  auto restarted = fleet.estimates[0];
  fleet.speeds.restarted(restarted, fleet.now);
  CHECK(fleet.speeds.level_of(restarted, fleet.now) <= fleet.level(0));
  CHECK(restarted.variance > fleet.estimates[0].variance);
  fleet.now += seconds{120};
  CHECK(fleet.level(0) == speed_level::normal);
}

// A run outside its data's rack takes longer for that reason, which must not count against its worker.
TEST_CASE("worker_speed_slowness_that_placement_explains_does_not_count") {
  random_source random{13};
  speed_fixture fleet{10};
  fleet.slowness[0] = 3.0;
  const auto remote = log_of(milliseconds{3000}) - log_of(milliseconds{1000});
  for (int round = 0; round < 20; ++round) {
    worker_speed::reference step;
    for (std::size_t worker = 0; worker < 10; ++worker) {
      fleet.end({worker}, varied(random, milliseconds{2000}, 10), step, milliseconds{2000},
                worker == 0 ? remote : 0);
    }
  }
  CHECK(fleet.level(0) == speed_level::normal);
}

// Work with slack must not be sent where it misses its objective.
TEST_CASE("slow_first_order_leaves_out_levels_that_end_too_late") {
  const auto relaxed = slow_first(seconds{1}, seconds{10});
  CHECK(relaxed.front() == speed_level::slow);
  CHECK(relaxed.back() == speed_level::fast);
  const auto tight = slow_first(seconds{1}, milliseconds{1100});
  CHECK(tight.front() == speed_level::normal);
  CHECK(tight.back() == speed_level::slowest);
}

}  // namespace rhubarbpath

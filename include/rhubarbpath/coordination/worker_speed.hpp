#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "rhubarbpath/state/fleet.hpp"
#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath {

/// A ratio of times on a logarithmic scale, in thousandths of a factor of two. Integers, so that all kinds of
/// machine decide alike.
using log_ratio = std::int64_t;

/// The logarithm of a duration in microseconds; 0 for durations below 1 us.
[[nodiscard]] log_ratio log_of(duration span);
/// `span` times the ratio; exact to 6%.
[[nodiscard]] duration scaled(duration span, log_ratio ratio);

/// How a worker is judged beyond the uncertainty of its estimate. In even fleets every worker is `normal`.
enum class speed_level : std::int8_t { fast, normal, slow, slower, slowest };
constexpr std::size_t speed_levels = 5;
[[nodiscard]] std::string_view speed_level_name(speed_level level);
/// How much longer a run takes on a worker of this level at least.
[[nodiscard]] log_ratio least_slowness(speed_level level);

/// The levels in the order in which a unit uses them.
using speed_order = std::array<speed_level, speed_levels>;
constexpr speed_order normal_first{speed_level::normal, speed_level::fast, speed_level::slow,
                                   speed_level::slower, speed_level::slowest};
constexpr speed_order fast_first{speed_level::fast, speed_level::normal, speed_level::slow,
                                 speed_level::slower, speed_level::slowest};
/// Slow workers first, but not those on which a run that takes `expected` elsewhere would not end within
/// `allowed`; they come last.
[[nodiscard]] speed_order slow_first(duration expected, duration allowed);
[[nodiscard]] std::size_t rank_in(const speed_order& order, speed_level level);

/// Estimates how much longer runs take on a worker than elsewhere, from ends and progress of runs compared
/// with what the same step or queue takes on other workers.
///
/// Pure: takes values and states kept by the caller. An observation costs O(members of the run).
class worker_speed {
 public:
  struct options {
    /// How far workers may differ before anything is known, as a standard deviation.
    log_ratio prior_spread{720};
    /// Evidence of this age counts half.
    duration evidence_lifetime{std::chrono::seconds{30}};
    /// Certainty, in standard deviations, and difference from which a worker is judged.
    log_ratio sure_deviations_tenths{20};
    log_ratio least_difference{200};
  };

  /// Of one worker: the logarithm of its slowness, its variance, and when they were observed last.
  struct estimate {
    log_ratio slowness{0};
    log_ratio variance{log_ratio{720} * 720};
    instant at{};
    std::uint64_t observations{0};
    /// The step of the last run, by its number, and what that run took here.
    std::uint64_t last_step{0};
    log_ratio last_length{0};
    int outlier{0};  ///< Whether the last run was far slower (1) or faster (-1) than expected.
  };
  /// The mean and variance of what runs take on a worker of normal speed.
  struct reference {
    log_ratio mean{0};
    log_ratio variance{log_ratio{1000} * 1000};
    std::int64_t count{0};
    std::uint64_t number{0};   ///< Tells steps apart.
    log_ratio uncertainty{0};  ///< Mean variance of the estimates of the workers that it was taken from.
  };
  /// What is known of a run. It begins with each run.
  struct run_track {
    /// What the run would take on a worker of normal speed. Set by the first observation.
    std::optional<log_ratio> base;
    bool seen{false};
    /// The report that the next interval begins with.
    int percent{0};
    std::chrono::milliseconds clock{0};
  };
  struct run_facts {
    queue_id queue;
    duration caller_estimate{};
    /// Slowdown that the placement explains, such as data in another rack.
    log_ratio explained{0};
  };
  /// The workers of the run: one, or those of a gang, whose progress shows its slowest member.
  using members = std::span<estimate* const>;

  explicit worker_speed(options opts) : opts_{opts} {}
  worker_speed() : worker_speed{options{}} {}

  /// A report listed the run with `percent` at `clock` of its worker. Returns whether an estimate changed.
  bool progressed(members workers, const run_facts& run, run_track& track, reference& step, int percent,
                  std::chrono::milliseconds clock, instant now);
  /// The whole run took `took` and ended well. Returns whether an estimate changed.
  bool ended(members workers, const run_facts& run, run_track& track, reference& step, duration took,
             instant now);
  /// Another incarnation of the worker: the same hardware under another load, so the estimate stays and its
  /// certainty goes.
  void restarted(estimate& worker, instant now) const;

  /// The estimate at `now`: evidence that ages returns towards normal.
  [[nodiscard]] estimate aged(const estimate& worker, instant now) const;
  [[nodiscard]] speed_level level_of(const estimate& worker, instant now) const;
  /// The standard deviation of an estimate.
  [[nodiscard]] static log_ratio deviation(const estimate& worker);
  /// What runs like this take on a worker of normal speed; the caller's estimate if none were seen.
  [[nodiscard]] duration expected(const queue_id& queue, duration caller_estimate) const;

 private:
  /// Of one queue: by the length of runs, and by their ratio to the callers' estimates.
  struct queue_state {
    reference length;
    reference ratio;
    /// Variance of runs of one step.
    log_ratio within_step{log_ratio{500} * 500};
  };
  struct prediction {
    log_ratio mean{0};
    log_ratio variance{0};
  };

  void age(estimate& worker, instant now) const;
  [[nodiscard]] prediction predict(const run_facts& run, const reference& step) const;
  void first_observation(members workers, const run_facts& run, run_track& track, reference& step,
                         log_ratio length, instant now);
  bool later_observation(members workers, const run_facts& run, const run_track& track, log_ratio length,
                         log_ratio noise, instant now) const;
  /// The slowest of `workers` has this slowness, up to `variance`.
  static void attribute(members workers, log_ratio slowness, log_ratio variance);

  options opts_;
  absl::flat_hash_map<queue_id, queue_state> queues_;
  std::uint64_t last_number_{0};
};

}  // namespace rhubarbpath

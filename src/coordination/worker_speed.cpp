#include "rhubarbpath/coordination/worker_speed.hpp"

#include <algorithm>
#include <bit>

namespace rhubarbpath {

namespace {

/// Progress and time of an interval from which a rate is taken; percent are whole numbers.
constexpr int least_progress = 5;
constexpr std::chrono::milliseconds least_interval{300};
/// After this long an interval ends with less progress, so that it soon shows a recovery.
constexpr std::chrono::milliseconds longest_interval{2000};
/// An interval that long with less progress bounds the rate.
constexpr std::chrono::milliseconds long_interval{900};
/// A change of rate within a run from which the worker is taken to have changed, besides rounding.
constexpr log_ratio least_change = 300;
constexpr log_ratio change_variance = log_ratio{150} * 150;
/// A difference that far beyond the deviation, squared, is an outlier.
constexpr log_ratio outlier_square = 9;
/// Bounds of the variance of references, so that neither a few alike runs nor odd ones decide it.
constexpr log_ratio least_variance = log_ratio{100} * 100;
constexpr log_ratio most_variance = log_ratio{2000} * 2000;
/// Runs after which the mean of a queue forgets.
constexpr std::int64_t queue_memory = 64;
constexpr std::int64_t variance_memory = 32;
/// Slowness is kept within a factor of 16 either way.
constexpr log_ratio most_slowness = 4000;

log_ratio square(log_ratio value) {
  return value * value;
}

/// Steps between levels, above the least difference.
constexpr std::array<log_ratio, speed_levels> level_slowness{-200, 0, 200, 600, 1200};

log_ratio slowest_of(worker_speed::members workers) {
  log_ratio slowest = workers.front()->slowness;
  for (const auto* each : workers) {
    slowest = std::max(slowest, each->slowness);
  }
  return slowest;
}

/// The whole part of the square root.
log_ratio root(log_ratio value) {
  log_ratio result = 0;
  for (log_ratio bit = log_ratio{1} << 20; bit > 0; bit >>= 1) {
    if (square(result + bit) <= value) {
      result += bit;
    }
  }
  return result;
}

/// Moves an estimated variance towards what `off` shows. `known` is the variance of `off` that has other
/// causes. Where that is large it tells nothing: to subtract it would make even workers look sure to differ.
void learn_variance(log_ratio& variance, log_ratio off, log_ratio known, std::int64_t weight) {
  if (known > variance / 2) {
    return;
  }
  // A few runs take many times as long as others, which says nothing about the rest.
  const auto counted = std::min(square(off), outlier_square * (variance + known));
  variance = std::clamp(variance + (counted - variance) / weight, least_variance, most_variance);
}

/// `known` is the variance of the value that does not belong to the runs.
void add(worker_speed::reference& to, log_ratio value, log_ratio known, std::int64_t memory) {
  to.count = std::min(to.count + 1, memory);
  const auto off = value - to.mean;
  if (to.count > 1) {
    learn_variance(to.variance, off, known, std::min(to.count, variance_memory));
  }
  to.mean += off / to.count;
  to.uncertainty += (known - to.uncertainty) / to.count;
}

void update(worker_speed::estimate& worker, log_ratio slowness, log_ratio variance) {
  const auto total = worker.variance + variance;
  worker.slowness += (slowness - worker.slowness) * worker.variance / total;
  worker.slowness = std::clamp(worker.slowness, -most_slowness, most_slowness);
  worker.variance = worker.variance * variance / total;
}

}  // namespace

log_ratio log_of(duration span) {
  const auto us = std::chrono::duration_cast<std::chrono::microseconds>(span).count();
  if (us < 1) {
    return 0;
  }
  auto value = static_cast<std::uint64_t>(us);
  const auto whole = static_cast<int>(std::bit_width(value)) - 1;
  constexpr int unit_bits = 30;
  value = whole > unit_bits ? value >> (whole - unit_bits) : value << (unit_bits - whole);
  log_ratio part = 0;
  constexpr int part_bits = 12;
  for (int bit = 0; bit < part_bits; ++bit) {
    value = value * value >> unit_bits;
    const bool over = value >> (unit_bits + 1) != 0;
    part = part * 2 + (over ? 1 : 0);
    value >>= over ? 1 : 0;
  }
  return log_ratio{whole} * 1000 + part * 1000 / (1 << part_bits);
}

duration scaled(duration span, log_ratio ratio) {
  constexpr log_ratio most = 20'000;
  ratio = std::clamp(ratio, -most, most);
  const auto whole = ratio >= 0 ? ratio / 1000 : -((999 - ratio) / 1000);
  const auto part = ratio - whole * 1000;
  auto result = span.count() / 1000 * (1000 + part) + span.count() % 1000;
  result = whole >= 0 ? result * (std::int64_t{1} << whole) : result / (std::int64_t{1} << -whole);
  return duration{result};
}

std::string_view speed_level_name(speed_level level) {
  constexpr std::array<std::string_view, speed_levels> names{"fast", "normal", "slow", "slower", "slowest"};
  return names.at(static_cast<std::size_t>(level));
}

log_ratio least_slowness(speed_level level) {
  return level_slowness.at(static_cast<std::size_t>(level));
}

speed_order slow_first(duration expected, duration allowed) {
  speed_order order{};
  std::size_t used = 0;
  std::array<speed_level, speed_levels> last{};
  std::size_t too_slow = 0;
  for (const auto level : {speed_level::slow, speed_level::slower, speed_level::slowest}) {
    // The level's next bound, as workers of the level are slower than its least.
    constexpr log_ratio level_width = 600;
    if (scaled(expected, least_slowness(level) + level_width) <= allowed) {
      order.at(used++) = level;
    } else {
      last.at(too_slow++) = level;
    }
  }
  order.at(used++) = speed_level::normal;
  order.at(used++) = speed_level::fast;
  std::copy_n(last.begin(), too_slow, order.begin() + static_cast<std::ptrdiff_t>(used));
  return order;
}

std::size_t rank_in(const speed_order& order, speed_level level) {
  return static_cast<std::size_t>(std::find(order.begin(), order.end(), level) - order.begin());
}

worker_speed::estimate worker_speed::aged(const estimate& worker, instant now) const {
  auto result = worker;
  if (worker.at == instant{} || now <= worker.at) {
    return result;
  }
  const auto life = std::chrono::duration_cast<std::chrono::milliseconds>(opts_.evidence_lifetime).count();
  const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(now - worker.at).count();
  const auto prior = square(opts_.prior_spread);
  result.slowness = worker.slowness * life / (life + passed);
  result.variance = worker.variance + (prior - worker.variance) * passed / (life + passed);
  return result;
}

void worker_speed::age(estimate& worker, instant now) const {
  worker = aged(worker, now);
  worker.at = now;
  ++worker.observations;
}

speed_level worker_speed::level_of(const estimate& worker, instant now) const {
  if (worker.observations == 0) {
    return speed_level::normal;
  }
  const auto current = aged(worker, now);
  const auto size = current.slowness < 0 ? -current.slowness : current.slowness;
  // Whether the difference exceeds `least` beyond the uncertainty.
  const auto surely = [&](log_ratio least) {
    return size >= least &&
           square((size - least) * 10) >= square(opts_.sure_deviations_tenths) * current.variance;
  };
  if (!surely(opts_.least_difference)) {
    return speed_level::normal;
  }
  if (current.slowness < 0) {
    return speed_level::fast;
  }
  return surely(least_slowness(speed_level::slowest))  ? speed_level::slowest
         : surely(least_slowness(speed_level::slower)) ? speed_level::slower
                                                       : speed_level::slow;
}

log_ratio worker_speed::deviation(const estimate& worker) {
  return root(worker.variance);
}

void worker_speed::restarted(estimate& worker, instant now) const {
  if (worker.observations == 0) {
    return;
  }
  worker = aged(worker, now);
  worker.at = now;
  worker.variance = std::max(worker.variance, square(opts_.prior_spread) / 2);
}

worker_speed::prediction worker_speed::predict(const run_facts& run, const reference& step) const {
  const auto found = queues_.find(run.queue);
  const auto estimated = log_of(run.caller_estimate);
  if (found == queues_.end() || found->second.length.count == 0) {
    return {.mean = estimated, .variance = most_variance};
  }
  const auto& queue = found->second;
  prediction best{.mean = queue.length.mean,
                  .variance = queue.length.variance + queue.length.variance / queue.length.count};
  if (queue.ratio.variance < queue.length.variance) {
    best = {.mean = estimated + queue.ratio.mean,
            .variance = queue.ratio.variance + queue.ratio.variance / queue.ratio.count};
  }
  if (step.count > 0) {
    const prediction by_step{
        .mean = step.mean,
        .variance = queue.within_step + (queue.within_step + step.uncertainty) / step.count};
    best = by_step.variance < best.variance ? by_step : best;
  }
  return best;
}

duration worker_speed::expected(const queue_id& queue, duration caller_estimate) const {
  const auto found = queues_.find(queue);
  if (found == queues_.end() || found->second.length.count == 0) {
    return caller_estimate;
  }
  const auto guess = predict({.queue = queue, .caller_estimate = caller_estimate, .explained = 0}, {});
  return scaled(duration{std::chrono::microseconds{1}}, std::min<log_ratio>(guess.mean, 20'000)) *
         (guess.mean > 20'000 ? std::int64_t{1} << std::min<log_ratio>((guess.mean - 20'000) / 1000, 20) : 1);
}

void worker_speed::attribute(members workers, log_ratio slowness, log_ratio variance) {
  if (workers.size() == 1) {
    update(*workers.front(), slowness, variance);
    return;
  }
  // How well each member explains the slowness: those that are little known, or known to be about as slow.
  constexpr log_ratio scale = 1000;
  const auto fit_of = [&](const estimate& each) {
    const auto spread = each.variance + variance;
    return each.variance * scale / (scale + square(slowness - each.slowness) * scale / spread);
  };
  log_ratio total = 0;
  for (const auto* each : workers) {
    total += fit_of(*each);
  }
  const auto all = std::max<log_ratio>(total, 1);
  for (auto* each : workers) {
    const auto fit = std::max<log_ratio>(fit_of(*each), 1);
    if (each->slowness > slowness) {
      // No member is slower than the gang.
      update(*each, slowness, variance);
    } else {
      update(*each, slowness, (variance * all + (all - fit) * each->variance) / fit);
    }
  }
}

void worker_speed::first_observation(members workers, const run_facts& run, run_track& track, reference& step,
                                     log_ratio length, instant now) {
  for (auto* each : workers) {
    age(*each, now);
  }
  const auto guess = predict(run, step);
  const bool known = queues_.contains(run.queue);
  auto& queue = queues_[run.queue];
  const auto observed = length - run.explained;
  // The references learn from the estimates as they were, or each would explain away the other's error.
  const auto* slowest =
      *std::max_element(workers.begin(), workers.end(),
                        [](const auto* one, const auto* other) { return one->slowness < other->slowness; });
  const auto normal = observed - slowest->slowness;
  const auto uncertainty = slowest->variance;
  if (known) {
    const auto off = normal - guess.mean;
    const auto most = root(outlier_square * (uncertainty + guess.variance));
    const auto counted = std::clamp(off, -most, most);
    const int sign = off > most ? 1 : off < -most ? -1 : 0;
    // A single outlier may be the task's, a second one in a row is the worker's.
    for (auto* each : workers) {
      if (sign != 0 && each->outlier == sign) {
        each->variance = std::max(each->variance, square(opts_.prior_spread) / 2);
      }
      each->outlier = sign;
    }
    attribute(workers, slowest->slowness + counted, guess.variance);
  }
  track.base = observed - slowest_of(workers);
  add(queue.length, normal, uncertainty, queue_memory);
  add(queue.ratio, normal - log_of(run.caller_estimate), uncertainty, queue_memory);
  step.number = step.number == 0 ? ++last_number_ : step.number;
  if (workers.size() == 1) {
    // Two runs of a step on one worker differ by their work only.
    auto& worker = *workers.front();
    if (worker.last_step == step.number) {
      learn_variance(queue.within_step, root(square(observed - worker.last_length) / 2), 0, variance_memory);
    } else if (step.count > 0) {
      learn_variance(queue.within_step, normal - step.mean, uncertainty, variance_memory);
    }
    worker.last_step = step.number;
    worker.last_length = observed;
  }
  constexpr std::int64_t step_memory = 1000;
  add(step, normal, uncertainty, step_memory);
}

bool worker_speed::later_observation(members workers, const run_facts& run, const run_track& track,
                                     log_ratio length, log_ratio noise, instant now) const {
  const auto slowness = length - run.explained - *track.base;
  log_ratio expected = -most_slowness;
  for (auto* each : workers) {
    expected = std::max(expected, aged(*each, now).slowness);
  }
  const auto off = slowness - expected;
  if ((off < 0 ? -off : off) <= least_change + noise) {
    return false;
  }
  for (auto* each : workers) {
    age(*each, now);
    if (off > 0 || each->slowness > slowness) {
      each->variance = std::max(each->variance, square(opts_.prior_spread) / 2);
    }
  }
  attribute(workers, slowness, change_variance);
  return true;
}

bool worker_speed::progressed(members workers, const run_facts& run, run_track& track, reference& step,
                              int percent, std::chrono::milliseconds clock, instant now) {
  const auto begin_interval = [&] {
    track.seen = true;
    track.percent = percent;
    track.clock = clock;
  };
  // A gang is not at work before all its members run, and a checkpoint has to be restored.
  if (!track.seen || percent < track.percent || (percent == track.percent && !track.base)) {
    begin_interval();
    return false;
  }
  const auto took = clock - track.clock;
  const int gained = percent - track.percent;
  constexpr log_ratio one_percent = 1443;
  const bool complete = gained >= least_progress && took >= least_interval;
  if (complete || (gained > 0 && took >= longest_interval)) {
    const auto length =
        log_of(took) + log_of(std::chrono::microseconds{100}) - log_of(std::chrono::microseconds{gained});
    begin_interval();
    if (!track.base) {
      first_observation(workers, run, track, step, length, now);
      return true;
    }
    return later_observation(workers, run, track, length, one_percent / gained, now);
  }
  if (took < long_interval || !track.base) {
    return false;
  }
  // At least as slow as if the next percent were almost there.
  const auto length =
      log_of(took) + log_of(std::chrono::microseconds{100}) - log_of(std::chrono::microseconds{gained + 1});
  log_ratio expected = -most_slowness;
  for (auto* each : workers) {
    expected = std::max(expected, aged(*each, now).slowness);
  }
  return length - run.explained - *track.base > expected &&
         later_observation(workers, run, track, length, 0, now);
}

bool worker_speed::ended(members workers, const run_facts& run, run_track& track, reference& step,
                         duration took, instant now) {
  if (track.base) {
    return false;
  }
  first_observation(workers, run, track, step, log_of(took), now);
  return true;
}

}  // namespace rhubarbpath

#pragma once

#include <cstdint>
#include <random>

#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath {

/// Seeded random number generator, so that a run can be replayed from its seed.
class random_source {
 public:
  explicit random_source(std::uint64_t seed) : engine_{seed} {}

  /// Uniform in [0, limit); `limit` must be positive.
  [[nodiscard]] std::uint64_t below(std::uint64_t limit) {
    return std::uniform_int_distribution<std::uint64_t>{0, limit - 1}(engine_);
  }

  /// Uniform in [0, 1).
  [[nodiscard]] double fraction() { return std::uniform_real_distribution<double>{0.0, 1.0}(engine_); }

  /// Uniform in [base / 2, base * 3 / 2], to spread out the retries of many processes.
  [[nodiscard]] duration jittered(duration base) {
    const auto half = base.count() / 2;
    return duration{half + static_cast<duration::rep>(below(static_cast<std::uint64_t>(base.count()) + 1))};
  }

  [[nodiscard]] std::mt19937_64& engine() noexcept { return engine_; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace rhubarbpath

#pragma once

#include <string>
#include <utility>
#include <vector>

#include "rhubarbpath/state/random.hpp"
#include "worker_fleet.hpp"

namespace rhubarbpath::soak {

struct placed_job {
  std::string id;
  std::string queue;  ///< Prefix of its path.
  soak_job steps;
  bool cancelled_at_end{false};  ///< It never completes.
};

/// Makes jobs that care where they run: near data, in one rack, on workers with a label, on several workers,
/// with checkpoints, in steps that last, in queues of three priorities. Has a random source of its own.
class placed_jobs {
 public:
  placed_jobs(std::uint64_t seed, std::vector<std::string> racks);
  [[nodiscard]] placed_job next();

 private:
  [[nodiscard]] std::string some_rack();
  [[nodiscard]] duration some_time(std::uint64_t min_ms, std::uint64_t max_ms);

  random_source random_;
  std::vector<std::string> racks_;
  std::uint64_t next_id_{1};
};

}  // namespace rhubarbpath::soak

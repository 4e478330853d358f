#pragma once

#include <algorithm>
#include <cstdint>

#include "rhubarbpath/coordination/job_scheduler.hpp"

namespace rhubarbpath::testing {

/// Whether `is_done` holds for all tasks of a step's earlier steps.
template <class IsDone>
[[nodiscard]] bool turn_has_come(const accepted_job& job, std::uint32_t occurrence, std::uint32_t step,
                                 IsDone is_done) {
  const auto& after = job.graph.steps[step].after;
  return std::all_of(after.begin(), after.end(), [&](std::uint32_t before) {
    for (std::uint32_t index = 0; index < job.graph.steps[before].count; ++index) {
      if (!is_done(task_ref{.job = job.id, .occurrence = occurrence, .step = before, .index = index})) {
        return false;
      }
    }
    return true;
  });
}

}  // namespace rhubarbpath::testing

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rhubarbpath/state/document.hpp"
#include "rhubarbpath/state/ids.hpp"
#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath {

/// A job consists of one gang, whose members run all together or not at all.
struct job_spec {
  team_id team;
  class_id job_class;
  accelerator_shape shape;
  /// Runs within the team's guarantee. Any other job may be preempted.
  bool guaranteed{false};
  bool checkpointable{true};
  /// The caller's estimate; no guarantee depends on it.
  duration declared_run_time{};
  std::string command;
  friend bool operator==(const job_spec&, const job_spec&) = default;
};

enum class job_state { waiting, starting, running, stopping, finished, failed, cancelled, refused };

[[nodiscard]] constexpr std::string_view to_string(job_state state) noexcept {
  constexpr std::string_view names[] = {"waiting",  "starting", "running",   "stopping",
                                        "finished", "failed",   "cancelled", "refused"};
  return names[static_cast<std::size_t>(state)];
}

/// Whether a job in this state never changes state again.
[[nodiscard]] constexpr bool is_final(job_state state) noexcept {
  return state >= job_state::finished;
}

/// Where one member of a gang runs. `accelerators` is a bit mask of an aligned group on the worker.
struct member_placement {
  worker_id worker;
  std::uint32_t accelerators{0};
  friend bool operator==(const member_placement&, const member_placement&) = default;
};

/// The state of one job, rebuilt from the failure domain's log.
struct job_record {
  job_id id;
  job_spec spec;
  job_state state{job_state::waiting};
  attempt_number attempt;
  std::vector<member_placement> placement;  ///< One per member while starting, running or stopping.
  instant accepted_at{};
  duration attained_service{};  ///< Run time so far, summed over attempts.
  int preemptions{0};
  int failures{0};
  std::string reason;  ///< Why the job waits, or why it ended.
  friend bool operator==(const job_record&, const job_record&) = default;
};

}  // namespace rhubarbpath

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "rhubarbpath/state/ids.hpp"
#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath {

/// One member of a gang attempt.
struct task_ref {
  job_id job;
  attempt_number attempt;
  int member{0};
  friend bool operator==(const task_ref&, const task_ref&) = default;
};

/// Commands to a worker. Each is sent with the owner's epoch; a worker refuses an older epoch.
struct start_task {
  task_ref task;
  std::uint32_t accelerators{0};  ///< Bit mask of the worker's accelerators.
  duration lease{};               ///< The worker stops the task unless the lease is renewed in time.
  duration declared_run_time{};
  std::string command;
};
struct stop_task {
  task_ref task;
  /// The sender knows how the task ended, so the worker may drop it from its reports. Without this flag a
  /// task that has already ended stays in them, because its end may not have reached the owner.
  bool collect{false};
};
struct checkpoint_task {
  task_ref task;
};
/// Renews the leases of all tasks of this owner on the worker and asks for a report.
struct renew_tasks {
  std::optional<duration> lease;  ///< Without one, the leases stay as they are.
};
using worker_command = std::variant<start_task, stop_task, checkpoint_task, renew_tasks>;

enum class task_state { running, finished, failed, stopped };

struct task_report {
  task_ref task;
  task_state state{task_state::running};
  std::uint32_t accelerators{0};
  duration run_time{};
  duration checkpointed{};  ///< Run time covered by the last checkpoint.
  friend bool operator==(const task_report&, const task_report&) = default;
};

/// Answer to every command: the tasks on the worker, or its refusal of an older epoch.
struct worker_report {
  worker_id worker;
  bool refused_older_epoch{false};
  epoch highest_epoch;
  std::vector<task_report> tasks;
  friend bool operator==(const worker_report&, const worker_report&) = default;
};

}  // namespace rhubarbpath

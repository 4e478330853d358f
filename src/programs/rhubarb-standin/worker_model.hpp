#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "rhubarbpath/state/document.hpp"
#include "rhubarbpath/state/units.hpp"
#include "rhubarbpath/state/worker_api.hpp"

namespace rhubarbpath::standin {

/// One task as the worker ran it. A history checker compares it with the answers that callers got.
struct task_record {
  task_ref task;
  worker_id worker;
  std::uint32_t accelerators{0};
  instant started{};
  instant ended{};  ///< Zero while the task runs.
  task_state state{task_state::running};
};

/// Simulates a worker that runs tasks under leases and refuses commands with an older epoch. The command of
/// a task sets its outcome: "run 2s" or "run 500ms" sets the run time, "fail" makes it fail at once, and any
/// other command runs for the declared run time.
class worker_model {
 public:
  explicit worker_model(worker_spec spec);

  worker_report handle(epoch sender, const worker_command& command, instant now);
  [[nodiscard]] worker_report report() const;
  /// Finishes tasks whose run time is over and stops tasks whose lease has expired.
  void advance(instant now);
  /// While enabled, every new task fails as soon as it starts.
  void set_fail_all_tasks(bool enabled) noexcept { fail_all_tasks_ = enabled; }
  /// Simulates a machine restart: all tasks are lost.
  void restart(instant now);

  [[nodiscard]] const worker_spec& spec() const noexcept { return spec_; }
  [[nodiscard]] const std::vector<task_record>& history() const noexcept { return history_; }

 private:
  struct running_task {
    task_report report;
    instant started{};
    instant lease_until{};
    duration run_time{};
    bool fails{false};
    std::size_t history_index{0};
  };
  using task_key = std::tuple<job_id, attempt_number, int>;

  void on(const start_task& command, instant now);
  void on(const stop_task& command, instant now);
  void on(const checkpoint_task& command, instant now);
  void on(const renew_tasks& command, instant now);
  void end(running_task& task, task_state state, instant now);
  [[nodiscard]] std::uint32_t busy_accelerators() const;
  [[nodiscard]] static task_key key_of(const task_ref& task) { return {task.job, task.attempt, task.member}; }

  worker_spec spec_;
  epoch highest_epoch_;
  bool fail_all_tasks_{false};
  std::map<task_key, running_task> tasks_;
  /// Tasks for which a stop has arrived. A start that arrives after its stop must not run the task.
  std::set<task_key> stopped_tasks_;
  std::vector<task_record> history_;
};

}  // namespace rhubarbpath::standin

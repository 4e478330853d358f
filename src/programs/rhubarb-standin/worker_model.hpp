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

/// What a worker did with one task, for a checker to compare with what callers were told.
struct task_record {
  task_ref task;
  worker_id worker;
  std::uint32_t accelerators{0};
  instant started{};
  instant ended{};  ///< Zero while it runs.
  task_state state{task_state::running};
};

/// A worker that runs tasks under leases and refuses commands of an older epoch. A task's command
/// says how long it really runs: "run 2s", "run 500ms" or "fail"; otherwise its declared run time.
class worker_model {
 public:
  explicit worker_model(worker_spec spec);

  worker_report handle(epoch sender, const worker_command& command, instant now);
  [[nodiscard]] worker_report report() const;
  /// Ends tasks whose run time or lease is over.
  void advance(instant now);
  /// Every task fails as soon as it starts.
  void fail_every_task(bool enabled) noexcept { fail_every_task_ = enabled; }
  /// Loses all tasks, as a restarted machine does.
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
  bool fail_every_task_{false};
  std::map<task_key, running_task> tasks_;
  /// Tasks that a stop has reached; a start that the stop overtook must not begin.
  std::set<task_key> stopped_;
  std::vector<task_record> history_;
};

}  // namespace rhubarbpath::standin

#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "rhubarbpath/state/ids.hpp"
#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath {

/// Tells a worker that fails every task from a job that fails on every worker.
///
/// A worker is set aside when its last failures, with no finished task in between, come from enough
/// different jobs. A failure of a job that also fails on other workers without a fault of theirs does not
/// count against the worker. At most the document's share of workers is set aside; after a pause one trial
/// task decides whether the worker is restored. A trial without a result lasts as long as the pause; then the
/// worker is restored, and its next failure sets it aside at once.
class worker_health {
 public:
  struct options {
    int failures_to_set_aside{3};  ///< Consecutive failures on one worker.
    int workers_to_blame_job{3};   ///< Different healthy workers on which one job failed.
    duration first_pause{std::chrono::minutes{5}};
    duration longest_pause{std::chrono::hours{1}};
  };

  /// The fleet has `workers` workers, of which at most `set_aside_share` (0 to 1) may be set aside. A share
  /// above zero allows at least one worker, so that small failure domains are protected as well.
  struct fleet_changed {
    int workers{0};
    double set_aside_share{0};
  };
  struct task_finished {
    worker_id worker;
    job_id job;
  };
  struct task_failed {
    worker_id worker;
    job_id job;
  };
  /// The worker left the fleet or was replaced: its history is dropped.
  struct worker_removed {
    worker_id worker;
  };
  struct job_removed {
    job_id job;
  };
  /// The worker was set aside according to the log of an earlier owner.
  struct was_set_aside {
    worker_id worker;
  };
  struct tick {};
  using event = std::variant<fleet_changed, task_finished, task_failed, worker_removed, job_removed,
                             was_set_aside, tick>;

  struct set_aside {
    worker_id worker;
    std::string reason;
  };
  /// One task may be placed on the worker.
  struct begin_trial {
    worker_id worker;
  };
  struct restore {
    worker_id worker;
  };
  /// The job fails on healthy workers as well: more attempts are useless.
  struct blame_job {
    job_id job;
    std::string reason;
  };
  using action = std::variant<set_aside, begin_trial, restore, blame_job>;

  explicit worker_health(options opts) : options_{opts} {}
  void handle(const event& input, instant now, std::vector<action>& out);
  /// When the next pause or trial of a worker that is set aside ends.
  [[nodiscard]] std::optional<instant> next_deadline() const;

  [[nodiscard]] bool is_set_aside(const worker_id& worker) const { return aside_.contains(worker); }
  [[nodiscard]] int set_aside_count() const noexcept { return static_cast<int>(aside_.size()); }
  [[nodiscard]] int set_aside_limit() const noexcept { return limit_; }
  /// Workers on which the job failed and that are not themselves at fault.
  [[nodiscard]] std::vector<worker_id> failed_on(const job_id& job) const;

 private:
  struct worker_history {
    std::vector<job_id> failed_jobs;  ///< Since the last finished task, at most a few.
  };
  struct aside_state {
    aside_state(instant now, duration next_pause, const options& bounds);
    instant until{};  ///< End of the pause or of the trial.
    duration pause{};
    bool trial{false};
  };
  void on(const fleet_changed& input, instant now, std::vector<action>& out);
  void on(const task_finished& input, instant now, std::vector<action>& out);
  void on(const task_failed& input, instant now, std::vector<action>& out);
  void on(const worker_removed& input, instant now, std::vector<action>& out);
  void on(const job_removed& input, instant now, std::vector<action>& out);
  void on(const was_set_aside& input, instant now, std::vector<action>& out);
  void on(const tick& input, instant now, std::vector<action>& out);
  [[nodiscard]] bool worker_at_fault(const worker_history& history) const;
  void set_worker_aside(const worker_id& worker, instant now, std::vector<action>& out);

  options options_;
  int limit_{0};
  absl::flat_hash_map<worker_id, worker_history> workers_;
  absl::flat_hash_map<job_id, std::vector<worker_id>> jobs_;  ///< Workers on which the job failed.
  std::map<worker_id, aside_state> aside_;
  absl::flat_hash_map<worker_id, duration> probation_;  ///< Last pause of workers restored without a trial.
};

using worker_health_event = worker_health::event;
using worker_health_action = worker_health::action;

}  // namespace rhubarbpath

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

/// Distinguishes a worker that fails every task from a job that fails on every worker.
///
/// A worker is set aside after a number of consecutive failures, without a finished task in between, of at
/// least two different jobs. Failures of a job that has failed on several workers do not count against the
/// worker. At most the share of workers that the document allows is set aside. After a backoff, one trial
/// task decides whether the worker is restored: a failure doubles the backoff. A trial without a result ends
/// after another backoff; then the worker is restored, and its next failure sets it aside at once.
class worker_health {
 public:
  struct options {
    int failures_to_set_aside{3};  ///< Consecutive failures on one worker before it is set aside.
    int workers_to_fail_job{3};    ///< Healthy workers on which one job failed before it is given up.
    duration initial_backoff{std::chrono::minutes{5}};
    duration max_backoff{std::chrono::hours{1}};
  };

  /// The fleet has `workers` workers, of which at most the share `set_aside_share` (0 to 1) may be set aside.
  /// A share above zero allows at least one of several workers, so that small failure domains are protected
  /// too.
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
  /// The worker left the fleet or was replaced; its history is deleted.
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
  /// A task stands that only workers that are set aside may run, so the backoff of this one ends now.
  struct trial_needed {
    worker_id worker;
  };
  struct tick {};
  using event = std::variant<fleet_changed, task_finished, task_failed, worker_removed, job_removed,
                             was_set_aside, trial_needed, tick>;

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
  /// The job fails on healthy workers, so that more attempts are useless.
  struct fail_job {
    job_id job;
    std::string reason;
  };
  using action = std::variant<set_aside, begin_trial, restore, fail_job>;

  explicit worker_health(options opts) : options_{opts} {}
  void handle(const event& input, instant now, std::vector<action>& out);
  /// Returns when the next backoff or trial of a worker ends, or `std::nullopt` if no worker is set aside.
  [[nodiscard]] std::optional<instant> next_deadline() const;

  [[nodiscard]] bool is_set_aside(const worker_id& worker) const {
    return set_aside_workers_.contains(worker);
  }
  [[nodiscard]] int set_aside_count() const noexcept { return static_cast<int>(set_aside_workers_.size()); }
  [[nodiscard]] int set_aside_limit() const noexcept { return limit_; }
  /// Returns the workers on which the job failed and that are not themselves at fault.
  [[nodiscard]] std::vector<worker_id> failed_on(const job_id& job) const;

 private:
  struct worker_history {
    std::vector<job_id> failed_jobs;  ///< Latest failures since the last finished task, oldest first.
  };
  struct set_aside_state {
    set_aside_state(instant now, duration next_backoff, const options& bounds);
    instant until{};  ///< End of the backoff or of the trial.
    duration backoff{};
    bool trial{false};
  };
  void on(const fleet_changed& input, instant now, std::vector<action>& out);
  void on(const task_finished& input, instant now, std::vector<action>& out);
  void on(const task_failed& input, instant now, std::vector<action>& out);
  void on(const worker_removed& input, instant now, std::vector<action>& out);
  void on(const job_removed& input, instant now, std::vector<action>& out);
  void on(const was_set_aside& input, instant now, std::vector<action>& out);
  void on(const trial_needed& input, instant now, std::vector<action>& out);
  void on(const tick& input, instant now, std::vector<action>& out);
  [[nodiscard]] bool worker_at_fault(const worker_history& history) const;
  void set_worker_aside(const worker_id& worker, instant now, std::vector<action>& out);

  options options_;
  int limit_{0};
  absl::flat_hash_map<worker_id, worker_history> workers_;
  absl::flat_hash_map<job_id, std::vector<worker_id>> jobs_;  ///< Workers on which the job failed.
  std::map<worker_id, set_aside_state> set_aside_workers_;
  absl::flat_hash_map<worker_id, duration> probation_;  ///< Last backoff of workers restored untested.
};

using worker_health_event = worker_health::event;
using worker_health_action = worker_health::action;

}  // namespace rhubarbpath

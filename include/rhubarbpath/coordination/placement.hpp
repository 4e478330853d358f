#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "rhubarbpath/coordination/guarantee_plan.hpp"
#include "rhubarbpath/coordination/worker_health.hpp"
#include "rhubarbpath/state/document.hpp"
#include "rhubarbpath/state/ids.hpp"
#include "rhubarbpath/state/job.hpp"
#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath {

/// Why an attempt is stopped before it ends by itself.
enum class preemption_cause {
  guarantee,    ///< A guaranteed job reclaims the accelerators.
  reservation,  ///< The accelerators were reserved before the job started, or the reservation timed out.
  fair_share,   ///< A job that is earlier in the queue order, by attained service or deadline, needs the
                ///< space.
  migration,    ///< The job moves to other workers to reduce fragmentation.
  cancelled,    ///< The job itself was cancelled; no checkpoint is needed.
  invalid,      ///< The restored placement is not a complete gang on known, otherwise free accelerators.
};

/// Decides which jobs of one failure domain run on which accelerators.
///
/// The caller passes every event to `handle` and carries out every action in order: a `place_job` is logged
/// before the attempt starts, and every attempt that was placed ends with exactly one `attempt_ended`, also
/// if a worker of one of its members went down. Events of an older attempt and of unknown jobs are ignored.
class placement {
 public:
  struct options {
    worker_health::options health{};
    /// Weight of attained service in the queue order: each unit delays a job by this many units of time.
    double attained_weight{2.0};
    /// Weight of the remaining declared run time. The declared run time is a hint that only orders the queue.
    double declared_weight{1.0};
    /// Longer declared run times count as this.
    duration max_declared_run_time{std::chrono::hours{4}};
    /// Waiting time that makes up for one rank of the job class: a job of rank n is delayed by n times this.
    duration wait_per_rank{std::chrono::minutes{30}};
    /// When only `deadline_slack` is left before its deadline, a job with a deadline goes ahead of all jobs
    /// that have waited less than this.
    duration deadline_lead{std::chrono::hours{6}};
    duration deadline_slack{std::chrono::hours{2}};
    /// A job that does not fit gets a reservation after this waiting time.
    duration reserve_after{std::chrono::minutes{10}};
    /// After this time, a reservation also preempts attempts that were placed before it was made.
    duration reservation_limit{std::chrono::hours{1}};
    int max_reservations{4};
    /// A job preempted this often is chosen as a victim only if nothing else frees enough accelerators.
    int preemption_limit{3};
    /// Minimum run time of an attempt before it can be preempted for another preemptible job.
    duration fair_share_quantum{std::chrono::minutes{10}};
    /// Lead in the queue order that a preemptible job needs to preempt another one.
    duration fair_share_margin{std::chrono::hours{4}};
    /// Number of waiting jobs per tick for which preemptible jobs may be preempted.
    int fair_share_jobs_per_tick{4};
    /// A job ends as failed when this many of its attempts have failed on live workers.
    int max_failures{10};
    /// Time between ticks while jobs wait.
    duration tick_period{std::chrono::seconds{30}};
  };

  // Events.

  /// Must be the first event: jobs submitted before it are refused.
  struct document_changed {
    std::shared_ptr<const environment_document> document;
    failure_domain_id failure_domain;
  };
  struct job_submitted {
    job_id id;
    job_spec spec;
  };
  /// A job from the log or a snapshot. A job with a placement runs there; the others wait. Nothing is placed
  /// until the next event of another kind, so that all records can be sent in a row after `document_changed`,
  /// followed by a `tick`.
  struct job_restored {
    job_record record;
  };
  struct job_cancelled {
    job_id id;
  };
  struct attempt_started {
    job_id id;
    attempt_number attempt;
  };
  enum class end_cause { finished, failed, preempted, cancelled };
  /// `worker` is the worker on which the task failed; empty if the attempt did not fail or the worker is
  /// unknown.
  struct attempt_ended {
    job_id id;
    attempt_number attempt;
    end_cause cause{end_cause::finished};
    worker_id worker;
    duration
        attained_service{};  ///< Service of this attempt that a checkpoint or the end of the job preserved.
  };
  struct worker_up {
    worker_id worker;
  };
  struct worker_down {
    worker_id worker;
  };
  /// A failure that ended no attempt, for example a refused start. Failures that end an attempt are reported
  /// only by `attempt_ended`.
  struct worker_failed_task {
    worker_id worker;
    job_id job;
  };
  /// Restores the set-aside state of a worker after a takeover.
  struct worker_was_set_aside {
    worker_id worker;
  };
  struct tick {};
  using event =
      std::variant<document_changed, job_submitted, job_restored, job_cancelled, attempt_started,
                   attempt_ended, worker_up, worker_down, worker_failed_task, worker_was_set_aside, tick>;

  // Actions.

  struct place_job {
    job_id id;
    attempt_number attempt;
    std::vector<member_placement> placement;
  };
  /// The caller requests a checkpoint if the job supports it, then stops the attempt.
  struct preempt_job {
    job_id id;
    attempt_number attempt;
    preemption_cause cause{preemption_cause::guarantee};
    std::string reason;
  };
  struct refuse_job {
    job_id id;
    std::string reason;
  };
  /// The job reached `finished`, `failed` or `cancelled`.
  struct end_job {
    job_id id;
    attempt_number attempt;
    job_state state{job_state::finished};
    std::string reason;
  };
  /// `uncovered` of the `count` instances assigned to this failure domain have no binding to healthy workers.
  struct guarantee_uncovered {
    guarantee_ref guarantee;
    int uncovered{0};
    int count{0};
  };
  struct guarantee_covered {
    guarantee_ref guarantee;
    int count{0};
  };
  struct set_worker_aside {
    worker_id worker;
    std::string reason;
  };
  struct restore_worker {
    worker_id worker;
  };
  using action = std::variant<place_job, preempt_job, refuse_job, end_job, guarantee_uncovered,
                              guarantee_covered, set_worker_aside, restore_worker>;

  struct uncovered_guarantee {
    guarantee_ref guarantee;
    accelerator_shape shape;
    int uncovered{0};
    int count{0};
  };

  explicit placement(options opts);
  ~placement();
  placement(placement&&) noexcept;
  placement& operator=(placement&&) noexcept;
  placement(const placement&) = delete;
  placement& operator=(const placement&) = delete;

  void handle(const event& input, instant now, std::vector<action>& out);
  /// Returns when the next `tick` is due, or `std::nullopt` if none is needed.
  [[nodiscard]] std::optional<instant> next_deadline() const;

  /// Returns one sentence that explains why the job waits; empty for a job that does not wait.
  [[nodiscard]] std::string why_waiting(const job_id& job) const;
  /// Returns the record of a job, or `std::nullopt` if it is unknown or has ended.
  [[nodiscard]] std::optional<job_record> record(const job_id& job) const;
  /// Returns the share of idle accelerators, 0 to 1, that a shape of a waiting job or a guarantee cannot use,
  /// averaged over the distinct shapes.
  [[nodiscard]] double fragmentation() const;
  /// Number of accelerators of usable workers that no attempt uses.
  [[nodiscard]] int free_accelerators() const;
  [[nodiscard]] std::vector<uncovered_guarantee> uncovered_guarantees() const;
  [[nodiscard]] std::size_t waiting_jobs() const;
  [[nodiscard]] std::size_t running_jobs() const;  ///< Jobs that are starting, running or stopping.

 private:
  class engine;
  std::unique_ptr<engine> engine_;
};

using placement_event = placement::event;
using placement_action = placement::action;

}  // namespace rhubarbpath

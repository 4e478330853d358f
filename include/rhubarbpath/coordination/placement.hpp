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

/// Why an attempt is told to stop.
enum class preemption_cause {
  guarantee,    ///< A guaranteed job reclaims the space.
  reservation,  ///< A large gang reserved the space before the job was placed there, or waited its limit.
  fair_share,   ///< A job with less attained service or a deadline goes first.
  migration,    ///< The job moves to another worker, so that larger space is left together.
  cancelled,    ///< The job itself was cancelled; no checkpoint is needed.
  invalid,      ///< The restored placement is not a whole gang on known, otherwise free accelerators.
};

/// Decides which jobs run where in one failure domain.
///
/// The caller feeds every event and carries out every action in order: a `place_job` is logged before the
/// attempt starts, and every attempt that was placed ends with exactly one `attempt_ended`. An attempt with a
/// member on a worker that went down also ends with `attempt_ended`. Events of an older attempt and of
/// unknown jobs are ignored.
class placement {
 public:
  struct options {
    worker_health::options health{};
    /// Service time that counts as much as one unit of waiting time in the queue order.
    double attained_weight{2.0};
    /// The same for the declared run time, a hint that orders the queue and promises nothing.
    double declared_weight{1.0};
    /// Declared run times above this count as this.
    duration declared_cap{std::chrono::hours{4}};
    /// Waiting time by which a class of the next rank trails.
    duration rank_step{std::chrono::minutes{30}};
    /// A job with a deadline outranks all work that has waited less than this when only
    /// `deadline_slack` is left before its deadline.
    duration deadline_lead{std::chrono::hours{6}};
    duration deadline_slack{std::chrono::hours{2}};
    /// A blocked job gets a reservation after this waiting time.
    duration reserve_after{std::chrono::minutes{10}};
    /// A reservation preempts work that was there before it after this time.
    duration reservation_limit{std::chrono::hours{1}};
    int max_reservations{4};
    /// A job preempted this often is chosen as a victim only if nothing else can free the space.
    int preemption_limit{3};
    /// Shortest run time of an attempt before it can be preempted for another preemptible job.
    duration fair_share_quantum{std::chrono::minutes{10}};
    /// Lead in the queue order that another preemptible job needs before it preempts.
    duration fair_share_margin{std::chrono::hours{4}};
    /// Blocked jobs that one tick may help by preemption.
    int fair_share_jobs_per_tick{4};
    /// Attempts of one job that may fail on live workers before it ends as failed.
    int max_failures{10};
    /// Time between ticks while jobs wait.
    duration tick_period{std::chrono::seconds{30}};
  };

  // Events.

  /// Also the first event; jobs submitted earlier are refused.
  struct document_changed {
    std::shared_ptr<const environment_document> document;
    failure_domain_id failure_domain;
  };
  struct job_submitted {
    job_id id;
    job_spec spec;
  };
  /// A job from the log or a snapshot. One with a placement runs there; others wait. Nothing is placed until
  /// the next event of another kind, so all records are fed in a row after `document_changed`, then a `tick`.
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
  /// `worker` names the worker that failed the task; it may be empty if the cause is unknown.
  struct attempt_ended {
    job_id id;
    attempt_number attempt;
    end_cause cause{end_cause::finished};
    worker_id worker;
    duration attained_service{};  ///< Of this attempt, as far as it is kept by a checkpoint or the end.
  };
  struct worker_up {
    worker_id worker;
  };
  struct worker_down {
    worker_id worker;
  };
  /// A failure that ended no attempt, for example a refused start. Failures that end an attempt are
  /// reported by `attempt_ended` alone.
  struct worker_failed_task {
    worker_id worker;
    job_id job;
  };
  /// Restores the state of `worker_health` after a takeover.
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
  /// Ask for a checkpoint if the job supports it, then stop the attempt.
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
  /// `uncovered` of `count` instances kept by this failure domain have no healthy cells.
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
  /// When to send a `tick`.
  [[nodiscard]] std::optional<instant> next_deadline() const;

  /// One sentence that names what a waiting job waits for; empty for a job that does not wait.
  [[nodiscard]] std::string why_waiting(const job_id& job) const;
  /// Jobs in a final state are forgotten and return nothing.
  [[nodiscard]] std::optional<job_record> record(const job_id& job) const;
  /// Share of idle accelerators, 0 to 1, that a waiting or guaranteed shape cannot use, averaged over the
  /// different shapes.
  [[nodiscard]] double fragmentation() const;
  /// Accelerators of healthy workers that no attempt uses.
  [[nodiscard]] int free_accelerators() const;
  [[nodiscard]] std::vector<uncovered_guarantee> uncovered_guarantees() const;
  [[nodiscard]] std::size_t waiting_jobs() const;
  [[nodiscard]] std::size_t running_jobs() const;  ///< Starting, running or stopping.

 private:
  class engine;
  std::unique_ptr<engine> engine_;
};

using placement_event = placement::event;
using placement_action = placement::action;

}  // namespace rhubarbpath

#pragma once

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "rhubarbpath/coordination/domain_state.hpp"
#include "rhubarbpath/coordination/gang_controller.hpp"
#include "rhubarbpath/state/document.hpp"
#include "rhubarbpath/state/ids.hpp"
#include "rhubarbpath/state/job.hpp"
#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath {

/// Accelerators are allocated for all members of a waiting job. The owner logs the placement, then starts the
/// members.
struct job_placement_decided {
  job_id job;
  attempt_number attempt;  ///< Higher than every earlier attempt of the job.
  std::vector<member_placement> placement;
};

/// An attempt is preempted: its gang must stop and release its accelerators.
struct job_preemption_decided {
  job_id job;
  attempt_number attempt;
  std::string reason;
};

/// A waiting job is refused because it can never run, or fails because its attempts failed too often.
struct job_end_decided {
  job_id job;
  job_state state{job_state::refused};  ///< `refused` or `failed`.
  std::string reason;
};

struct worker_set_aside_decided {
  worker_id worker;
  std::string reason;
};

struct worker_restore_decided {
  worker_id worker;
};

using placement_decision = std::variant<job_placement_decided, job_preemption_decided, job_end_decided,
                                        worker_set_aside_decided, worker_restore_decided>;

/// Interface through which `domain_owner` gets the placement decisions of one failure domain. An
/// implementation holds only state that it can rebuild from the document and the log. Each decision is
/// returned once.
class placement_policy {
 public:
  placement_policy() = default;
  placement_policy(const placement_policy&) = delete;
  placement_policy(placement_policy&&) = delete;
  placement_policy& operator=(const placement_policy&) = delete;
  placement_policy& operator=(placement_policy&&) = delete;
  virtual ~placement_policy() = default;

  /// Discards all state and rebuilds it from the replayed log. Jobs that are starting, running or stopping
  /// occupy the accelerators of their recorded placement.
  virtual void rebuild(std::shared_ptr<const environment_document> document, const domain_state& state,
                       instant now) = 0;
  virtual void document_changed(std::shared_ptr<const environment_document> document, instant now) = 0;
  virtual void job_accepted(const job_record& job, instant now) = 0;
  /// A job was cancelled while it waited.
  virtual void job_cancelled(const job_id& job, instant now) = 0;
  /// Every member of the attempt was reported as running.
  virtual void attempt_started(const job_id& job, attempt_number attempt, instant now) = 0;
  /// The attempt ended and its accelerators are free. The job is final after `finished` and `cancelled` and
  /// waits again otherwise.
  virtual void attempt_ended(const gang_ended& ended, instant now) = 0;
  virtual void worker_reachable(const worker_id& worker, bool reachable, instant now) = 0;

  /// Appends the decisions that are due to `out`. Called only while placements can be logged.
  virtual void decide(instant now, std::vector<placement_decision>& out) = 0;
  [[nodiscard]] virtual std::optional<instant> next_deadline() const = 0;
  /// Returns why a job waits; empty if no reason is known or the job does not wait.
  [[nodiscard]] virtual std::string waiting_reason(const job_id& job) const = 0;
};

}  // namespace rhubarbpath

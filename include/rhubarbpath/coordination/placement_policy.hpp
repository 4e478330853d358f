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

/// The members of a waiting job are reserved; the owner logs the placement and then starts them.
struct job_placement_decided {
  job_id job;
  attempt_number attempt;  ///< Higher than every earlier attempt of the job.
  std::vector<member_placement> placement;
};

/// A running gang must give up its accelerators.
struct job_preemption_decided {
  job_id job;
  attempt_number attempt;
  std::string reason;
};

/// A waiting job is refused, because it can never run, or fails, because its attempts failed too often.
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

/// What `domain_owner` needs from placement in one failure domain. An implementation holds only state that
/// it can rebuild from the document and the log. Each decision is returned once.
class placement_policy {
 public:
  placement_policy() = default;
  placement_policy(const placement_policy&) = delete;
  placement_policy(placement_policy&&) = delete;
  placement_policy& operator=(const placement_policy&) = delete;
  placement_policy& operator=(placement_policy&&) = delete;
  virtual ~placement_policy() = default;

  /// Forgets everything and begins from the replayed log. Jobs that are starting, running or stopping hold
  /// the accelerators of their recorded placement.
  virtual void rebuild(std::shared_ptr<const environment_document> document, const domain_state& state,
                       instant now) = 0;
  virtual void document_changed(std::shared_ptr<const environment_document> document, instant now) = 0;
  virtual void job_accepted(const job_record& job, instant now) = 0;
  /// A waiting job was cancelled.
  virtual void job_cancelled(const job_id& job, instant now) = 0;
  /// Every member of the attempt was reported as running.
  virtual void attempt_started(const job_id& job, attempt_number attempt, instant now) = 0;
  /// The attempt ended and its accelerators are free. The job is final after `finished` and `cancelled` and
  /// waits again otherwise.
  virtual void attempt_ended(const gang_ended& ended, instant now) = 0;
  virtual void worker_reachable(const worker_id& worker, bool reachable, instant now) = 0;

  /// Appends the decisions that are possible now. Called only while placements can be logged.
  virtual void decide(instant now, std::vector<placement_decision>& out) = 0;
  [[nodiscard]] virtual std::optional<instant> next_deadline() const = 0;
  /// Why a waiting job waits; empty when there is nothing to say.
  [[nodiscard]] virtual std::string waiting_reason(const job_id& job) const = 0;
};

}  // namespace rhubarbpath

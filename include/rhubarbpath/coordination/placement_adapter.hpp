#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "rhubarbpath/coordination/placement.hpp"
#include "rhubarbpath/coordination/placement_policy.hpp"

namespace rhubarbpath {

/// Implements `placement_policy` for `domain_owner` on top of `placement`.
class placement_adapter final : public placement_policy {
 public:
  placement_adapter(placement::options opts, failure_domain_id failure_domain);

  void rebuild(std::shared_ptr<const environment_document> document, const domain_state& state,
               instant now) override;
  void document_changed(std::shared_ptr<const environment_document> document, instant now) override;
  void job_accepted(const job_record& job, instant now) override;
  void job_cancelled(const job_id& job, instant now) override;
  void attempt_started(const job_id& job, attempt_number attempt, instant now) override;
  void attempt_ended(const gang_ended& ended, instant now) override;
  void worker_reachable(const worker_id& worker, bool reachable, instant now) override;
  void decide(instant now, std::vector<placement_decision>& out) override;
  [[nodiscard]] std::optional<instant> next_deadline() const override { return engine_.next_deadline(); }
  [[nodiscard]] std::string waiting_reason(const job_id& job) const override {
    return engine_.why_waiting(job);
  }

  /// Gives access to the metrics and the uncovered guarantees.
  [[nodiscard]] const placement& engine() const noexcept { return engine_; }

 private:
  void handle_event(const placement_event& event, instant now);

  placement::options options_;
  failure_domain_id failure_domain_;
  placement engine_;
  std::vector<placement_action> pending_actions_;
};

}  // namespace rhubarbpath

#pragma once

#include <optional>
#include <string>
#include <vector>

#include "rhubarbpath/coordination/placement.hpp"
#include "rhubarbpath/coordination/placement_policy.hpp"

namespace rhubarbpath {

/// Lets `domain_owner` decide by `placement`.
class cell_placement_policy final : public placement_policy {
 public:
  explicit cell_placement_policy(failure_domain_id domain, placement::options opts = {});

  void rebuild(const environment_document& document, const domain_state& state, instant now) override;
  void document_changed(const environment_document& document, instant now) override;
  void job_accepted(const job_record& job, instant now) override;
  void job_cancelled(const job_id& job, instant now) override;
  void attempt_started(const job_id& job, attempt_number attempt, instant now) override;
  void attempt_ended(const gang_ended& ended, instant now) override;
  void worker_reachable(const worker_id& worker, bool reachable, instant now) override;
  void decide(instant now, std::vector<placement_decision>& out) override;
  [[nodiscard]] std::optional<instant> next_deadline() const override { return engine_.next_deadline(); }
  [[nodiscard]] std::string waiting_reason(const job_id& job) const override;

  /// For metrics and status.
  [[nodiscard]] const placement& engine() const noexcept { return engine_; }
  /// Changes of guarantee cover since the last call, for the log.
  [[nodiscard]] std::vector<placement::action> take_cover_changes();

 private:
  void feed(const placement::event& event, instant now);
  void translate(const placement::action& action, std::vector<placement_decision>& out);

  failure_domain_id domain_;
  placement::options options_;
  placement engine_;
  std::vector<placement::action> pending_;
  std::vector<placement::action> cover_changes_;
};

}  // namespace rhubarbpath

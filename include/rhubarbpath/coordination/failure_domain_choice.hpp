#pragma once

#include <map>
#include <string>
#include <vector>

#include "rhubarbpath/coordination/guarantee_plan.hpp"
#include "rhubarbpath/state/document.hpp"
#include "rhubarbpath/state/ids.hpp"
#include "rhubarbpath/state/job.hpp"

namespace rhubarbpath {

/// Load of a failure domain as its owner last announced it.
struct failure_domain_load {
  int free_accelerators{0};
  int waiting_jobs{0};
};

/// The failure domains in which a job can run, or the reason why there are none.
struct failure_domain_choice {
  std::vector<failure_domain_id> candidates;  ///< In order of preference.
  std::string refusal;  ///< Error message for the caller; empty when there are candidates.
};

/// Ranks the failure domains whose queue a new job can join.
///
/// A guaranteed job can only run in a domain that holds a share of a guarantee of its team; any other job
/// can run in a domain whose workers are large enough. Domains that can start the job now come first, then
/// those with fewer waiting jobs, then those with more free accelerators. A domain without an announced
/// load counts as one without waiting jobs that has just enough free accelerators for the job.
[[nodiscard]] failure_domain_choice choose_failure_domains(
    const environment_document& document, const guarantee_check& guarantees, const job_spec& spec,
    const std::map<failure_domain_id, failure_domain_load>& loads);

/// Adds a new job to the announced load of its domain until the next announcement replaces the load.
/// Without this, a burst of jobs between two announcements would all go to the domain that was idle first.
void count_submission(const failure_domain_id& domain, const job_spec& spec,
                      std::map<failure_domain_id, failure_domain_load>& loads);

}  // namespace rhubarbpath

#pragma once

#include <map>
#include <string>
#include <vector>

#include "rhubarbpath/coordination/guarantee_plan.hpp"
#include "rhubarbpath/state/document.hpp"
#include "rhubarbpath/state/ids.hpp"
#include "rhubarbpath/state/job.hpp"

namespace rhubarbpath {

/// What the owner of a failure domain last announced about it.
struct failure_domain_load {
  int free_accelerators{0};
  int waiting_jobs{0};
};

/// The failure domains in which a job can run, the best first, or why there is none.
struct failure_domain_choice {
  std::vector<failure_domain_id> candidates;
  std::string refusal;  ///< A sentence for the caller; empty when there are candidates.
};

/// Chooses where a new job is to wait. A guaranteed job can only go where its team's guarantee is
/// kept. Among the possible domains, one that can start the job now is preferred, then the one with
/// the shortest queue; a load that is not known counts as an empty domain.
[[nodiscard]] failure_domain_choice choose_failure_domains(
    const environment_document& document, const guarantee_check& guarantees, const job_spec& spec,
    const std::map<failure_domain_id, failure_domain_load>& loads);

/// Counts a new job against the announced load of its domain until the next announcement replaces it.
/// Without this, a whole burst of jobs goes to the domain that was idle when it began.
void count_submission(const failure_domain_id& domain, const job_spec& spec,
                      std::map<failure_domain_id, failure_domain_load>& loads);

}  // namespace rhubarbpath

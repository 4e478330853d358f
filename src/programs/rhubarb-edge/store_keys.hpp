#pragma once

#include <string>

#include "rhubarbpath/state/ids.hpp"

/// Keys of the rows that the entry VMs keep in the platform's store.
namespace rhubarbpath::edge::keys {

/// Prefix of the owner row and the term counter.
inline const std::string ownership_prefix = "rhubarb/owner/";
/// The current owner; attached to the owner's lease, so it disappears when the lease ends.
inline const std::string owner = "rhubarb/owner/now";
/// Number of the latest ownership term; not attached to a lease.
inline const std::string term = "rhubarb/owner/term";
/// Teams whose jobs take as much of the owner as they may. Written by the owner, when that changes.
inline const std::string full_teams = "rhubarb/owner/full-teams";
/// Ids of the workers that may be running tasks.
inline const std::string workers = "rhubarb/workers";
/// Those of them that get no new work, with the tasks that may run there. Written together with `workers`,
/// and valid only at the same revision.
inline const std::string leaving_workers = "rhubarb/leaving";
inline const std::string job_prefix = "rhubarb/job/";
inline const std::string progress_prefix = "rhubarb/progress/";
inline const std::string cancel_suffix = "/cancel";

/// Key of a job; written once by the VM that accepts the job.
[[nodiscard]] inline std::string job(const job_id& id) {
  return job_prefix + id.value();
}
/// Key of a job's cancellation; written once by the VM that accepts the cancellation.
[[nodiscard]] inline std::string cancel(const job_id& id) {
  return job(id) + cancel_suffix;
}
/// Key of a job's progress; written only by the owner.
[[nodiscard]] inline std::string progress(const job_id& id) {
  return progress_prefix + id.value();
}

}  // namespace rhubarbpath::edge::keys

#pragma once

#include <string>

#include "rhubarbpath/state/ids.hpp"

/// Keys of this system's rows in the platform's store.
namespace rhubarbpath::edge::keys {

/// The owner row is under the owner's lease; the term counter stays.
inline const std::string ownership_prefix = "rhubarb/owner/";
inline const std::string owner = "rhubarb/owner/now";
inline const std::string term = "rhubarb/owner/term";
/// Ids of the workers that may hold work.
inline const std::string workers = "rhubarb/workers";
inline const std::string job_prefix = "rhubarb/job/";
inline const std::string progress_prefix = "rhubarb/progress/";
inline const std::string cancel_suffix = "/cancel";

/// Written once by the VM that accepts the job.
[[nodiscard]] inline std::string job(const job_id& id) {
  return job_prefix + id.value();
}
/// Written once by the VM that takes the cancellation.
[[nodiscard]] inline std::string cancel(const job_id& id) {
  return job(id) + cancel_suffix;
}
/// Written by the owner only.
[[nodiscard]] inline std::string progress(const job_id& id) {
  return progress_prefix + id.value();
}

}  // namespace rhubarbpath::edge::keys

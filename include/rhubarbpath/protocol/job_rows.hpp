#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "rhubarbpath/coordination/job_scheduler.hpp"

/// CBOR encoding of store rows. Decoding a malformed row fails with `kDataLoss`.
namespace rhubarbpath {

[[nodiscard]] std::string encode_accepted_job(const accepted_job& job);
[[nodiscard]] absl::StatusOr<accepted_job> decode_accepted_job(std::string_view bytes);

[[nodiscard]] std::string encode_job_progress(const job_progress& progress);
[[nodiscard]] absl::StatusOr<job_progress> decode_job_progress(std::string_view bytes);

[[nodiscard]] std::string encode_worker_ids(const std::vector<worker_id>& workers);
[[nodiscard]] absl::StatusOr<std::vector<worker_id>> decode_worker_ids(std::string_view bytes);
[[nodiscard]] std::string encode_team_ids(const std::set<team_id>& teams);
[[nodiscard]] absl::StatusOr<std::set<team_id>> decode_team_ids(std::string_view bytes);
[[nodiscard]] std::string encode_leaving_workers(const std::vector<leaving_worker>& workers);
[[nodiscard]] absl::StatusOr<std::vector<leaving_worker>> decode_leaving_workers(std::string_view bytes);

/// Current owner of the scheduling duty. The owner writes the row when its term begins.
struct owner_row {
  vm_id vm;
  incarnation process;  ///< Start time of the owner's process.
  owner_term term;
  std::string peer_address;
};
[[nodiscard]] std::string encode_owner(const owner_row& owner);
[[nodiscard]] absl::StatusOr<owner_row> decode_owner(std::string_view bytes);

}  // namespace rhubarbpath

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "rhubarbpath/state/document.hpp"
#include "rhubarbpath/state/ids.hpp"
#include "rhubarbpath/state/job.hpp"
#include "rhubarbpath/state/units.hpp"
#include "rhubarbpath/state/verdict.hpp"

namespace rhubarbpath {

/// Limits of the HTTP API for callers; sizes are in bytes.
inline constexpr std::size_t max_submission_bytes = 64U << 10U;
inline constexpr std::size_t max_command_bytes = 16U << 10U;
inline constexpr std::size_t max_answer_bytes = 4U << 20U;
inline constexpr std::size_t max_key_bytes = 128;
inline constexpr std::size_t max_id_bytes = 128;
/// Largest gang that design section 1.6 requires.
inline constexpr int max_gang_members = 64;
inline constexpr duration max_wait{std::chrono::seconds{60}};
inline constexpr duration max_deadline{std::chrono::hours{24}};
inline constexpr duration max_declared_run_time{std::chrono::hours{24 * 366}};

/// Parses the body of `POST /v1/jobs`. Validates each member, but does not check that the team and class
/// exist. Fails with `kInvalidArgument`; the message names the member and the accepted values.
[[nodiscard]] absl::StatusOr<job_spec> parse_job_submission(std::string_view body);

/// Serializes a specification to the body that `parse_job_submission` parses.
[[nodiscard]] std::string encode_job_submission(const job_spec& spec);

/// Derives the job id from the team and the idempotency key, so that a repeated submission gets the same
/// id.
[[nodiscard]] job_id job_id_for(const team_id& team, const idempotency_key& key);

/// Response to the submission, query or cancellation of a job.
struct job_answer {
  outcome result;
  std::optional<job_record> job;  ///< Absent if the job is not known.
  friend bool operator==(const job_answer&, const job_answer&) = default;
};

/// JSON object with the members verdict, reason, retry_after_ms (if set) and job (if known).
[[nodiscard]] std::string encode_job_answer(const job_answer& answer);
[[nodiscard]] absl::StatusOr<job_answer> decode_job_answer(std::string_view body);

/// JSON object of one job. The member spec is omitted while only the job's id is known.
[[nodiscard]] std::string encode_job_record(const job_record& record);
[[nodiscard]] absl::StatusOr<job_record> decode_job_record(std::string_view body);

/// JSON object with the members verdict, reason and retry_after_ms (if set).
[[nodiscard]] std::string encode_outcome(const outcome& value);
[[nodiscard]] absl::StatusOr<outcome> decode_outcome(std::string_view body);

/// Entry of `GET /v1/status` for one failure domain.
struct failure_domain_status {
  failure_domain_id id;
  vm_id owner;  ///< Empty while no scheduler owns the failure domain.
  epoch owner_epoch;
  int accelerators{0};
  int free_accelerators{0};
  int running_jobs{0};
  int waiting_jobs{0};
  int workers_set_aside{0};
  int uncovered_guarantees{0};  ///< Guarantee instances without a binding.
  friend bool operator==(const failure_domain_status&, const failure_domain_status&) = default;
};

/// Entry of `GET /v1/status` for one service.
struct service_status {
  service_id id;
  int targets{0};
  int targets_set_aside{0};
  int idle_slots{0};  ///< Of the targets assigned to the answering VM.
  int queued_requests{0};
  friend bool operator==(const service_status&, const service_status&) = default;
};

/// Body of `GET /v1/status`: the state as one entry VM knows it when it answers.
struct entry_status {
  vm_id vm;
  std::string environment;
  document_version version;
  std::string digest;  ///< Hexadecimal SHA-256 of the document in force; empty if there is none.
  view_number view;
  int view_members{0};
  bool draining{false};
  bool store_reachable{false};
  std::vector<failure_domain_status> failure_domains;
  std::vector<service_status> services;
  friend bool operator==(const entry_status&, const entry_status&) = default;
};

[[nodiscard]] std::string encode_status(const entry_status& status);
[[nodiscard]] absl::StatusOr<entry_status> decode_status(std::string_view body);

/// Request headers of one call that the API evaluates.
struct caller_headers {
  std::optional<idempotency_key> key;
  bool non_idempotent{false};
  bool first_attempt{false};
  std::optional<duration> deadline;
  team_id team;             ///< Empty if the header is absent.
  std::string traceparent;  ///< As received; W3C Trace Context requires invalid values to be ignored.
  friend bool operator==(const caller_headers&, const caller_headers&) = default;
};

/// Parses the headers of design section 3.3; names are case-insensitive. Fails with `kInvalidArgument`
/// for a malformed or repeated header.
[[nodiscard]] absl::StatusOr<caller_headers> parse_caller_headers(
    const std::vector<std::pair<std::string, std::string>>& headers);

/// Parses `wait_ms` from the query of `GET /v1/jobs/{id}`; zero if absent. Fails with `kInvalidArgument`.
[[nodiscard]] absl::StatusOr<duration> parse_wait(std::string_view query);

/// Reason for the HTTP status of a response. Callers evaluate the verdict; the status is for generic HTTP
/// clients.
enum class answer_kind {
  done,           ///< 200
  accepted,       ///< 202: the job is recorded and not yet finished.
  malformed,      ///< 400
  unknown,        ///< 404: no such job, service, class or path.
  wrong_method,   ///< 405
  key_conflict,   ///< 409: the key was used for another job or request.
  too_large,      ///< 413
  refused,        ///< 422: the request can never be accepted as it is.
  shed,           ///< 429: a queue or budget is full; Retry-After is set.
  target_failed,  ///< 502: the connection to the target failed.
  unavailable,    ///< 503: not run, because a required component is unreachable.
  timed_out,      ///< 504: the deadline passed; the verdict says whether it may have run.
};

[[nodiscard]] int http_status(answer_kind kind) noexcept;

}  // namespace rhubarbpath

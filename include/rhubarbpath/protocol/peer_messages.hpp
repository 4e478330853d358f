#pragma once

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "rhubarbpath/coordination/peer_types.hpp"
#include "rhubarbpath/coordination/request_router.hpp"
#include "rhubarbpath/state/job.hpp"

/// Messages between daemons and the codec of all peer messages.
namespace rhubarbpath::peer {

/// First message on a link, in both directions.
struct hello {
  member_info sender;
  std::uint32_t protocol_version{1};
  friend bool operator==(const hello&, const hello&) = default;
};

/// Forwards a service request to another entry VM. The fields have the names used in `routing`.
struct forward_request {
  routing::forward_id id;  ///< Chosen by the sender; the answer repeats it.
  incarnation to_incarnation;
  service_id service;
  class_id request_class;
  team_id team;
  bool non_idempotent{false};
  duration deadline{};  ///< Remaining time when the message was sent.
  std::string body;
  std::string traceparent;
  std::optional<routing::intent_ref> intent;  ///< Set for a non-idempotent request.
  std::optional<worker_id> avoid;
  bool pulled{false};
  friend bool operator==(const forward_request&, const forward_request&) = default;
};

struct forward_answer {
  routing::forward_id id;
  incarnation to_incarnation;  ///< Of the process that chose `id`.
  routing::forward_result result{routing::forward_result::may_have_run};
  std::uint32_t status{0};  ///< HTTP status of the target's answer; 0 when none came.
  std::string body;
  std::optional<worker_id> target;
  std::string reason;
  routing::load_report load;
  friend bool operator==(const forward_answer&, const forward_answer&) = default;
};

/// Asks for queued requests of a service for which the sender has idle slots.
struct pull_work {
  service_id service;
  std::uint32_t count{0};
  std::uint32_t max_rank{0};
  bool short_teams_only{false};
  friend bool operator==(const pull_work&, const pull_work&) = default;
};

/// Reports the sender's idle slots, queues and leaving targets.
struct load {
  routing::load_report report;
  friend bool operator==(const load&, const load&) = default;
};

/// Hands an accepted job to the owner of its failure domain.
struct submit_job {
  request_id id;
  job_id job;
  failure_domain_id failure_domain;
  job_spec spec;
  std::string traceparent;
  friend bool operator==(const submit_job&, const submit_job&) = default;
};

struct query_job {
  request_id id;
  job_id job;
  failure_domain_id failure_domain;
  duration wait{};  ///< Maximum time for which the owner delays its answer until the job ends.
  friend bool operator==(const query_job&, const query_job&) = default;
};

struct cancel_job {
  request_id id;
  job_id job;
  failure_domain_id failure_domain;
  friend bool operator==(const cancel_job&, const cancel_job&) = default;
};

/// Response to `submit_job`, `query_job` and `cancel_job`.
struct job_answer {
  request_id id;
  job_id job;
  outcome result;
  std::optional<job_record> record;  ///< Absent if the answering owner does not know the job.
  friend bool operator==(const job_answer&, const job_answer&) = default;
};

/// Announces that the sender holds the lease of the failure domain.
struct owner_announcement {
  failure_domain_id failure_domain;
  epoch owned;
  std::string address;
  std::uint32_t free_accelerators{0};
  std::uint32_t waiting_jobs{0};
  std::uint32_t running_jobs{0};
  std::uint32_t workers_set_aside{0};
  std::uint32_t uncovered_guarantees{0};  ///< Guarantee instances without healthy cells.
  friend bool operator==(const owner_announcement&, const owner_announcement&) = default;
};

using message =
    std::variant<hello, heartbeat, forward_request, forward_answer, pull_work, load, record_intent,
                 withdraw_intent, intent_answer, finish_intent, transfer_intents, fetch_document, document,
                 submit_job, query_job, cancel_job, job_answer, owner_announcement>;

/// Maximum size of an encoded message in bytes. Fits a transfer part with one body of maximum size.
inline constexpr std::size_t max_message_bytes = 2'500'000;

/// Returns the `type` field of the message, for example "heartbeat".
[[nodiscard]] std::string_view type_name(const message& value);

/// Encodes the message as a CBOR map with a `type` field.
[[nodiscard]] std::string encode(const message& value);

/// Fails with `kInvalidArgument` on malformed CBOR, an unknown type, a missing or invalid field, or a size
/// above its limit. Unknown fields are ignored, so that newer peers can add fields.
[[nodiscard]] absl::StatusOr<message> decode(std::string_view bytes);

}  // namespace rhubarbpath::peer

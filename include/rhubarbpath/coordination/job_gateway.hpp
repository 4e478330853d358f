#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "rhubarbpath/coordination/store_session.hpp"
#include "rhubarbpath/state/ids.hpp"
#include "rhubarbpath/state/job.hpp"
#include "rhubarbpath/state/units.hpp"
#include "rhubarbpath/state/verdict.hpp"

namespace rhubarbpath {

/// The types of the gateway's events and actions.
namespace gateway {

/// A caller submits a job. `id` must be above every earlier id of this process.
struct submission {
  request_id id;
  job_id job;
  job_spec spec;
  /// Digest of the submission; the same key with another digest names another job.
  std::string fingerprint;
  /// Domain chosen for the job if its key is new; empty when none can run it.
  failure_domain_id failure_domain;
  std::string refusal;  ///< Why no failure domain can run the job.
  instant deadline{};
};

/// A caller asks for a job; the answer may wait for its end until the deadline.
struct query {
  request_id id;
  job_id job;
  duration wait{};
  instant deadline{};
};

struct cancellation {
  request_id id;
  job_id job;
  instant deadline{};
};

/// A scheduler announced that it owns the failure domain under this epoch.
struct owner_known {
  failure_domain_id failure_domain;
  epoch owned;
  vm_id owner;
};

/// The link to a scheduler broke; requests sent to it are sent again to the next owner.
struct owner_lost {
  vm_id owner;
};

/// The owner answered a message of this gateway.
struct owner_answered {
  request_id id;
  vm_id from;
  outcome result;
  std::optional<job_record> record;
};

/// This process shuts down: queries that wait for a job's end are answered with its present state.
struct drain {};

// ---- Actions ----

enum class owner_message { submit, query, cancel };

/// Send to the owner; repeating it is safe because the owner answers idempotently by job id.
struct send_to_owner {
  vm_id owner;
  request_id id;
  owner_message kind{owner_message::submit};
  failure_domain_id failure_domain;
  job_id job;
  job_spec spec;    ///< For `submit` only.
  duration wait{};  ///< For `query` only.
};

/// Emitted exactly once for every submission, query and cancellation.
struct answer {
  request_id id;
  job_id job;
  outcome result;
  std::optional<job_record> record;
  bool unknown_job{false};   ///< No claim exists for the job.
  bool key_conflict{false};  ///< The key belongs to a different job.
};

}  // namespace gateway

using job_gateway_event =
    std::variant<gateway::submission, gateway::query, gateway::cancellation, gateway::owner_known,
                 gateway::owner_lost, gateway::owner_answered, gateway::drain, store_call_result, tick>;
using job_gateway_action =
    std::variant<store_call, store_call_cancelled, gateway::send_to_owner, gateway::answer>;

/// Brings jobs from callers to the owner of one failure domain, once per key.
///
/// A job is claimed for a failure domain by a row that is created only if it is absent, before it is
/// sent to the domain's owner. Every repetition of the key, at any entry VM, finds that row and reaches
/// the same domain, whose log holds the job at most once. A claim without a job in the log is harmless:
/// its caller was not told that the job was accepted.
class job_gateway {
 public:
  struct options {
    std::string environment;
    /// First of the call ids of this part.
    call_id first_call{1};
    duration store_patience{std::chrono::seconds{3}};
    /// Interval after which an unanswered message is sent again.
    duration resend_interval{std::chrono::milliseconds{500}};
    duration retry_after{std::chrono::seconds{1}};
    std::size_t max_requests{10'000};
    /// Remembered claims; the oldest is dropped first and then read from the store again.
    std::size_t max_remembered{50'000};
  };

  explicit job_gateway(options opts);
  void handle(const job_gateway_event& event, instant now, std::vector<job_gateway_action>& out);
  [[nodiscard]] std::optional<instant> next_deadline() const;

  /// The key of a job's claim row.
  [[nodiscard]] std::string claim_key(const job_id& job) const;
  [[nodiscard]] std::size_t requests_in_progress() const noexcept { return requests_.size(); }
  /// The owner of a failure domain as far as it was announced; empty when unknown.
  [[nodiscard]] vm_id owner_of(const failure_domain_id& domain) const;
  [[nodiscard]] epoch epoch_of(const failure_domain_id& domain) const;

 private:
  using actions = std::vector<job_gateway_action>;
  enum class phase { claiming, reading, at_owner };
  struct request {
    gateway::owner_message kind{gateway::owner_message::submit};
    phase at{phase::claiming};
    job_id job;
    job_spec spec;
    std::string fingerprint;
    failure_domain_id failure_domain;
    duration wait{};
    instant deadline{};
    instant next_send{};
    call_id call;
    /// A message left for an owner, so that the job may be in its log.
    bool sent{false};
    /// A claim write may have taken effect; only matters for the reason given.
    bool claim_in_doubt{false};
  };
  struct owner {
    epoch owned;
    vm_id vm;
  };

  void on(const gateway::submission& event, instant now, actions& out);
  void on(const gateway::query& event, instant now, actions& out);
  void on(const gateway::cancellation& event, instant now, actions& out);
  void on(const gateway::owner_known& event, instant now, actions& out);
  void on(const gateway::owner_lost& event, instant now, actions& out);
  void on(const gateway::owner_answered& event, instant now, actions& out);
  void on(const gateway::drain& event, instant now, actions& out);
  void on(const store_call_result& event, instant now, actions& out);
  void on(const tick& event, instant now, actions& out);

  bool admit(request_id id, const job_id& job, actions& out);
  void locate(request_id id, request pending, instant now, actions& out);
  void read_claim(request_id id, request& pending, actions& out);
  void on_claim_written(request_id id, const store_response& response, instant now, actions& out);
  void on_claim_read(request_id id, const store_response& response, instant now, actions& out);
  void store_unreachable(request_id id, store_failure failure, actions& out);
  void go_to_owner(request_id id, request& pending, instant now, actions& out);
  void send(request_id id, request& pending, instant now, actions& out);
  void expire(request_id id, actions& out);
  void finish(request_id id, gateway::answer result, actions& out);
  void make_call(request_id id, request& pending, store_request call, actions& out);
  void remember(const job_id& job, const failure_domain_id& domain);

  options options_;
  std::map<request_id, request> requests_;
  std::map<call_id, request_id> calls_;
  std::map<failure_domain_id, owner> owners_;
  std::map<job_id, failure_domain_id> claims_;
  std::deque<job_id> claim_order_;
  bool draining_{false};
  call_id next_call_;
};

}  // namespace rhubarbpath

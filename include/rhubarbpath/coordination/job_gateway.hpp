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

/// Events and actions of `job_gateway`.
namespace gateway {

/// A caller submits a job. `id` must be greater than every earlier id of this process.
struct submission {
  request_id id;
  job_id job;
  job_spec spec;
  /// Digest of the submission. A repeat of the key with another digest is a key conflict.
  std::string fingerprint;
  /// Domain in which to claim the job if its key is new; empty when no domain can run the job.
  failure_domain_id failure_domain;
  std::string refusal;  ///< Why no failure domain can run the job; used when `failure_domain` is empty.
  instant deadline{};
};

/// A caller asks for the state of a job. With a `wait`, the owner delays its answer for at most that long
/// or until the job ends.
struct query {
  request_id id;
  job_id job;
  duration wait{};
  instant deadline{};
};

/// A caller cancels a job.
struct cancellation {
  request_id id;
  job_id job;
  instant deadline{};
};

/// A scheduler announced that it owns the failure domain under this epoch.
struct owner_announced {
  failure_domain_id failure_domain;
  epoch owned;
  vm_id owner;
};

/// The connection to a scheduler was lost; requests sent to it are sent again to the next owner.
struct owner_lost {
  vm_id owner;
};

/// An owner answered a `send_to_owner` message.
struct owner_answered {
  request_id id;
  vm_id from;
  outcome result;
  std::optional<job_record> record;
};

/// This process is shutting down. Queries that wait for the end of a job are sent again without a wait, so
/// that the owner answers with the current state.
struct drain {};

// ---- Actions ----

enum class owner_message { submit, query, cancel };

/// A message to the owner of a failure domain. It may be repeated, because the owner handles it idempotently
/// by job id.
struct send_to_owner {
  vm_id owner;
  request_id id;
  owner_message kind{owner_message::submit};
  failure_domain_id failure_domain;
  job_id job;
  job_spec spec;    ///< For `submit` only.
  duration wait{};  ///< Longest wait for the end of the job; for `query` only.
};

/// The answer to the caller, emitted exactly once for every submission, query and cancellation.
struct answer {
  request_id id;
  job_id job;
  outcome result;
  std::optional<job_record> record;
  bool unknown_job{false};   ///< The store holds no valid claim for the job.
  bool key_conflict{false};  ///< The idempotency key was used for a different job.
};

}  // namespace gateway

using job_gateway_event =
    std::variant<gateway::submission, gateway::query, gateway::cancellation, gateway::owner_announced,
                 gateway::owner_lost, gateway::owner_answered, gateway::drain, store_call_result, tick>;
using job_gateway_action =
    std::variant<store_call, store_call_cancelled, gateway::send_to_owner, gateway::answer>;

/// Routes jobs from callers to the owner of one failure domain, at most once per idempotency key.
///
/// Before a job is sent to the owner of a failure domain, a claim row that names the domain is created in the
/// store, on condition that the row does not exist. Every repeat of the key, at any entry VM, finds that row
/// and reaches the same domain, whose log holds the job at most once. A claim without a job in the log is
/// harmless: its caller was not told that the job was accepted.
class job_gateway {
 public:
  struct options {
    std::string environment;
    /// First call id for store calls; the gateway numbers its calls upwards from it.
    call_id first_call{1};
    /// Time for which a failed store call is retried.
    duration store_retry_timeout{std::chrono::seconds{3}};
    /// Interval after which an unanswered message to an owner is sent again.
    duration resend_interval{std::chrono::milliseconds{500}};
    /// Interval after which a caller is told to repeat a request that was not completed.
    duration retry_after{std::chrono::seconds{1}};
    /// Requests in progress; further ones are refused.
    std::size_t max_requests{10'000};
    /// Size of the claim cache. The oldest claim is evicted first and read from the store when needed again.
    std::size_t max_cached_claims{50'000};
  };

  explicit job_gateway(options opts);
  /// Appends the resulting actions to `out`.
  void handle(const job_gateway_event& event, instant now, std::vector<job_gateway_action>& out);
  /// Latest time by which `handle` must be called with a `tick`; empty when nothing is pending.
  [[nodiscard]] std::optional<instant> next_deadline() const;

  /// Store key of the job's claim row.
  [[nodiscard]] std::string claim_key(const job_id& job) const;
  [[nodiscard]] std::size_t requests_in_progress() const noexcept { return requests_.size(); }
  /// The last announced owner of a failure domain; empty when it is unknown or its connection was lost.
  [[nodiscard]] vm_id owner_of(const failure_domain_id& domain) const;
  /// The highest announced epoch of a failure domain; zero when unknown.
  [[nodiscard]] epoch epoch_of(const failure_domain_id& domain) const;

 private:
  using actions = std::vector<job_gateway_action>;
  enum class phase { claiming, reading, at_owner };
  struct request {
    gateway::owner_message kind{gateway::owner_message::submit};
    phase current_phase{phase::claiming};
    job_id job;
    job_spec spec;
    std::string fingerprint;
    failure_domain_id failure_domain;
    duration wait{};
    instant deadline{};
    instant next_send{};
    call_id call;
    /// A message was sent to an owner, so the job may be in the owner's log.
    bool sent{false};
    /// The claim write may have taken effect; affects only the reason in the answer.
    bool claim_in_doubt{false};
  };
  struct owner {
    epoch owned;
    vm_id vm;
  };

  void on(const gateway::submission& event, instant now, actions& out);
  void on(const gateway::query& event, instant now, actions& out);
  void on(const gateway::cancellation& event, instant now, actions& out);
  void on(const gateway::owner_announced& event, instant now, actions& out);
  void on(const gateway::owner_lost& event, instant now, actions& out);
  void on(const gateway::owner_answered& event, instant now, actions& out);
  void on(const gateway::drain& event, instant now, actions& out);
  void on(const store_call_result& event, instant now, actions& out);
  void on(const tick& event, instant now, actions& out);

  bool admit(request_id id, const job_id& job, actions& out);
  /// Finds the failure domain of an existing job in the cache or the store.
  void find_claim(request_id id, request pending, instant now, actions& out);
  void read_claim(request_id id, request& pending, actions& out);
  void on_claim_written(request_id id, const store_response& response, instant now, actions& out);
  void on_claim_read(request_id id, const store_response& response, instant now, actions& out);
  void answer_store_failure(request_id id, store_failure failure, actions& out);
  void forward_to_owner(request_id id, request& pending, instant now, actions& out);
  void send(request_id id, request& pending, instant now, actions& out);
  void expire(request_id id, actions& out);
  void finish(request_id id, gateway::answer result, actions& out);
  void call_store(request_id id, request& pending, store_request call, actions& out);
  void cache_claim(const job_id& job, const failure_domain_id& domain);

  options options_;
  std::map<request_id, request> requests_;
  std::map<call_id, request_id> calls_;
  std::map<failure_domain_id, owner> owners_;
  std::map<job_id, failure_domain_id> claims_;  ///< Cache of claim rows.
  std::deque<job_id> claim_order_;              ///< Keys of `claims_`, oldest first.
  bool draining_{false};
  call_id next_call_;
};

}  // namespace rhubarbpath

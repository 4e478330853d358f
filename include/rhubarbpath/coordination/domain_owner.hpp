#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "rhubarbpath/coordination/domain_log.hpp"
#include "rhubarbpath/coordination/gang_controller.hpp"
#include "rhubarbpath/coordination/lease_keeper.hpp"
#include "rhubarbpath/coordination/log_value_codec.hpp"
#include "rhubarbpath/coordination/placement_policy.hpp"
#include "rhubarbpath/coordination/store_session.hpp"
#include "rhubarbpath/coordination/tick.hpp"
#include "rhubarbpath/coordination/work_budget.hpp"
#include "rhubarbpath/state/document.hpp"
#include "rhubarbpath/state/ids.hpp"
#include "rhubarbpath/state/job.hpp"
#include "rhubarbpath/state/random.hpp"
#include "rhubarbpath/state/units.hpp"
#include "rhubarbpath/state/verdict.hpp"

namespace rhubarbpath {

/// The sender of a job message, to which the answer is sent.
struct job_message_origin {
  vm_id peer;
  request_id request;  ///< Chosen by the peer.
  friend bool operator==(const job_message_origin&, const job_message_origin&) = default;
};

struct job_submitted {
  job_message_origin from;
  job_id job;
  job_spec spec;
};

struct job_queried {
  job_message_origin from;
  job_id job;
  duration wait{};  ///< Long poll: the answer waits at most this long for a final state of the job.
};

struct job_cancel_requested {
  job_message_origin from;
  job_id job;
};

struct document_changed {
  document_version version;
  std::shared_ptr<const environment_document> document;  ///< Shared by all failure domains of a process.
};

/// Whether the document may no longer be the newest one. Confirmed until this is sent.
struct document_standing_changed {
  bool may_be_outdated{false};
};

/// A process, possibly this one, owns the failure domain under this epoch. Announced when the epoch is opened
/// and periodically afterwards.
struct owner_announced {
  failure_domain_id failure_domain;
  epoch current_epoch;
  vm_id owner;
  incarnation owner_incarnation;
  friend bool operator==(const owner_announced&, const owner_announced&) = default;
};

using domain_owner_event =
    std::variant<job_submitted, job_queried, job_cancel_requested, document_changed,
                 document_standing_changed, schedulers_changed, owner_announced, drain_requested,
                 store_call_result, worker_reported, worker_call_failed, tick>;

/// Answer to a job message. `result.result` is `ran` if the message took effect, `not_run` if it definitely
/// did not, and `may_have_run` if the outcome is unknown and the caller must repeat the message to learn it.
struct job_answered {
  job_message_origin to;
  job_id job;
  outcome result;
  std::optional<job_record> record;  ///< Set if the job is in the committed state.
};

/// The hand-over after `drain_requested` is complete, or this process owned nothing.
struct owner_drained {};

using domain_owner_action =
    std::variant<store_call, store_call_cancelled, worker_send, job_answered, owner_announced, owner_drained>;

/// State machine of one scheduler for one failure domain, as a candidate for the lease or as the owner.
///
/// A submission is answered as accepted only after its `job_accepted` entry is committed, and a start command
/// is sent only after its `job_placed` entry is committed. All other messages, including repeats, are
/// answered from the committed state.
///
/// A document that may be outdated refuses no job, starts none and stops no gang, because a refusal is final
/// and the newest document may have the team or the worker.
class domain_owner {
 public:
  struct options {
    failure_domain_id failure_domain;
    std::string environment;
    vm_id self;
    incarnation self_incarnation;
    /// First of the 2^34 call ids that this object uses. The ranges of the failure domains of a process must
    /// not overlap.
    call_id first_call{1};
    std::size_t max_pending_submissions{1000};
    std::size_t max_command_bytes{65'536};
    duration answer_timeout{2'000'000};  ///< After this time a submission is answered `may_have_run`.
    /// No new placements while an uncommitted append is older than this.
    duration log_stall_limit{1'000'000};
    duration announce_interval{2'000'000};
    duration adoption_grace{1'000'000};  ///< No new placements until adoption is finished, at most this long.
    duration hand_over_timeout{10'000'000};
    /// Retry interval sent with refusals, for example by a process that is not the owner.
    duration retry_after{500'000};
    /// Delay before the next attempt to read a log that cannot be decoded.
    duration corrupt_log_wait{30'000'000};
    int max_failures{8};             ///< Number of failed attempts after which a job fails.
    domain_log::options log;         ///< `domain_owner` sets the prefix, the owner and the call ids.
    lease_keeper::options lease;     ///< `domain_owner` sets the prefix, the owner and the call ids.
    gang_controller::options gangs;  ///< The epoch and the call ids are set when the log is opened.
  };

  /// `kept_jobs` bounds the jobs of all failure domains of a process together.
  domain_owner(options opts, const log_value_codec& codec, placement_policy& placement, random_source& random,
               work_budget& kept_jobs);
  void handle(const domain_owner_event& event, instant now, std::vector<domain_owner_action>& out);
  [[nodiscard]] std::optional<instant> next_deadline() const;

  /// True while this process acts as the owner.
  [[nodiscard]] bool owns() const noexcept { return gangs_.has_value(); }
  /// The epoch under which this process acts as the owner; zero if it does not.
  [[nodiscard]] epoch current_epoch() const noexcept;
  /// The committed state; null if this process is not the owner.
  [[nodiscard]] const domain_state* committed() const noexcept;

 private:
  /// Actions that are carried out when an append is committed.
  struct accepted_effect {
    job_id job;
  };
  struct ended_effect {
    job_id job;
    attempt_number attempt;
  };
  struct placed_effect {
    gang_start start;
  };
  using commit_effect = std::variant<accepted_effect, ended_effect, placed_effect>;
  struct pending_effect {
    std::uint64_t append{0};
    commit_effect effect;
  };
  enum class message { submission, query, cancellation };
  struct pending_answer {
    job_message_origin to;
    message kind{message::query};
    instant deadline{};
  };
  using actions = std::vector<domain_owner_action>;

  void on(const job_submitted& event, instant now, actions& out);
  void on(const job_queried& event, instant now, actions& out);
  void on(const job_cancel_requested& event, instant now, actions& out);
  void on(const document_changed& event, instant now, actions& out);
  void on(const document_standing_changed& event, instant now, actions& out);
  void on(const schedulers_changed& event, instant now, actions& out);
  void on(const owner_announced& event, instant now, actions& out);
  void on(const drain_requested& event, instant now, actions& out);
  void on(const store_call_result& event, instant now, actions& out);
  void on(const worker_reported& event, instant now, actions& out);
  void on(const worker_call_failed& event, instant now, actions& out);
  void on(const tick& event, instant now, actions& out);
  void run_timers(instant now, actions& out);

  void dispatch_to_lease(const lease_keeper_event& event, instant now, actions& out);
  void dispatch_to_log(const domain_log_event& event, instant now, actions& out);
  void dispatch_to_gangs(const gang_controller_event& event, instant now, actions& out);

  void on_lease(const lease_acquired& event, instant now, actions& out);
  void on_lease(const lease_uncertain& event, instant now, actions& out);
  void on_lease(const lease_confirmed& event, instant now, actions& out);
  void on_lease(const lease_lost& event, instant now, actions& out);
  void on_lease(const lease_released& event, instant now, actions& out);
  void on_log(const log_opened& event, instant now, actions& out);
  void on_log(const log_committed& event, instant now, actions& out);
  void on_log(const log_lost& event, instant now, actions& out);
  void on_gangs(const gang_running& event, instant now, actions& out);
  void on_gangs(const gang_ended& event, instant now, actions& out);
  void on_gangs(const worker_reachability& event, instant now, actions& out);
  void on_gangs(const adoption_finished& event, instant now, actions& out);
  void on_gangs(const epoch_superseded& event, instant now, actions& out);

  void end_ownership(const std::string& reason, bool appends_settled, instant now, actions& out);
  void resign(const std::string& reason, bool appends_settled, duration wait, instant now, actions& out);
  void finish_drain(actions& out);
  void end_waiting_job(const job_id& job, job_state state, std::string reason, instant now, actions& out);
  void initialize_placement(instant now);
  void run_placement(instant now, actions& out);
  void apply_decision(const job_placement_decided& decision, instant now, actions& out);
  void apply_decision(const job_preemption_decided& decision, instant now, actions& out);
  void apply_decision(const job_end_decided& decision, instant now, actions& out);
  void apply_decision(const worker_set_aside_decided& decision, instant now, actions& out);
  void apply_decision(const worker_restore_decided& decision, instant now, actions& out);
  /// Replaces the projected state, and counts its jobs in place of those before.
  void project(domain_state state);
  /// Forgets the jobs that ended before `horizon`.
  void forget_old_jobs(instant horizon);
  /// Why a new job is refused at once; empty if it is not.
  [[nodiscard]] std::string_view reason_to_refuse(const job_spec& spec) const;
  void append(const log_entry& entry, std::optional<commit_effect> effect, instant now, actions& out);
  void run_effect(const accepted_effect& effect, instant now, actions& out);
  void run_effect(const ended_effect& effect, instant now, actions& out);
  void run_effect(const placed_effect& effect, instant now, actions& out);

  void add_pending_answer(const job_id& job, pending_answer answer);
  void answer_pending(const job_id& job, actions& out);
  void expire_answers(instant now, actions& out);
  void answer(const job_message_origin& to, const job_id& job, outcome result, actions& out) const;
  void answer_from_record(const job_message_origin& to, const job_id& job, actions& out) const;
  [[nodiscard]] const job_record* committed_job(const job_id& job) const;
  [[nodiscard]] bool log_stalled(duration limit, instant now) const;
  [[nodiscard]] bool may_place(instant now) const;
  [[nodiscard]] std::vector<worker_id> domain_workers() const;
  [[nodiscard]] outcome not_owner() const;
  [[nodiscard]] outcome refusal(std::string reason) const;

  options options_;
  const log_value_codec* codec_;
  placement_policy* placement_;
  random_source* random_;
  work_budget* kept_jobs_;
  lease_keeper lease_;
  std::optional<domain_log> log_;
  std::optional<gang_controller> gangs_;
  std::optional<document_changed> document_;
  domain_state projected_state_;  ///< The committed state with all uncommitted appends applied.
  std::uint64_t next_append_{1};
  std::deque<pending_effect> pending_effects_;
  std::map<job_id, std::vector<pending_answer>> pending_answers_;
  std::optional<instant> next_answer_deadline_;
  std::map<job_id, gang_stop> requested_stops_;  ///< Requested stops of attempts that still hold workers.
  bool lease_uncertain_{false};
  /// The placement policy was initialized with the replayed state. False while the document may be outdated.
  bool placement_initialized_{false};
  bool document_may_be_outdated_{false};
  std::set<worker_id> unreachable_workers_;  ///< As reported since the log was opened.
  bool adoption_done_{false};                ///< Adoption is finished or `adoption_grace` has passed.
  bool draining_{false};
  bool drained_{false};
  std::optional<instant> hand_over_deadline_;
  instant owner_since_{};
  instant last_event_at_{};
  instant next_announcement_{};
  call_id next_log_call_;
  call_id next_worker_call_;
};

}  // namespace rhubarbpath

#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "rhubarbpath/coordination/retry_budget.hpp"
#include "rhubarbpath/coordination/target_health.hpp"
#include "rhubarbpath/state/document.hpp"
#include "rhubarbpath/state/ids.hpp"
#include "rhubarbpath/state/random.hpp"
#include "rhubarbpath/state/units.hpp"
#include "rhubarbpath/state/verdict.hpp"

namespace rhubarbpath {

/// Types of the events and actions of `request_router`.
namespace routing {

/// Opaque request or answer body, shared by all copies. May be null.
using shared_body = std::shared_ptr<const std::string>;

/// Sequence number of a forward, from 1 without gaps within one sending process.
using forward_id = number_id<struct forward_id_tag>;
/// Number of a call to a target, from 1 within one process.
using target_call_id = number_id<struct target_call_id_tag>;

/// The part of a request that is the same on every hop.
struct request_content {
  service_id service;
  class_id request_class;
  team_id team;
  bool non_idempotent{false};
  instant deadline{};  ///< Local time; messages carry the remaining time instead.
  shared_body body;
  std::string traceparent;  ///< Trace context of the previous hop, passed on unparsed.
};

/// Identifies the intent of one non-idempotent request, which both registrars record before it is sent.
struct intent_ref {
  team_id team;
  service_id service;
  idempotency_key key;
  vm_id dispatcher;  ///< The entry VM at which the request arrived.
  incarnation dispatcher_incarnation;
  request_id request;  ///< Unique within the dispatcher's incarnation.

  friend bool operator==(const intent_ref&, const intent_ref&) = default;
};

/// A live entry VM.
struct member {
  vm_id vm;
  incarnation vm_incarnation;
  failure_domain_id failure_domain;
  /// A draining VM is not the home of any target, unless every VM drains.
  bool draining{false};

  friend bool operator==(const member&, const member&) = default;
};

/// Rank under which the requests of flooding teams are reported; they are served after all classes of
/// the other teams. See `request_router`.
inline constexpr int flooding_rank = std::numeric_limits<int>::max();

/// Queue length of one class rank of a service.
struct rank_queue {
  int rank{0};  ///< `flooding_rank` for all requests of flooding teams.
  int length{0};
  /// How many of these belong to teams whose queue is at most half as long as the longest team's. Peers
  /// fetch them first, because their teams are not the cause of the overload.
  int short_teams{0};
  friend bool operator==(const rank_queue&, const rank_queue&) = default;
};

struct service_load {
  service_id service;
  int idle_slots{0};               ///< Free slots of targets whose home this VM is.
  std::vector<rank_queue> queues;  ///< Non-empty queues only, lowest rank first.
  int set_aside{0};                ///< Targets that this home has set aside.
  friend bool operator==(const service_load&, const service_load&) = default;
};

/// Load of an entry VM, sent to its peers in heartbeats, load messages and forward answers.
struct load_report {
  /// Increases with each report of one incarnation; receivers ignore reports with a lower number than
  /// the last. Zero means no report.
  std::uint64_t sequence{0};
  bool draining{false};
  /// Services that are missing are unchanged: a forward answer reports only its own service.
  std::vector<service_load> services;
  /// Targets that announced in an answer that they are leaving.
  std::vector<worker_id> leaving;
  friend bool operator==(const load_report&, const load_report&) = default;
};

/// How a forwarded request ended at the home VM.
enum class forward_result {
  answered,      ///< The complete answer of the target is attached.
  not_sent,      ///< No byte was sent to a target, and none will be for this forward.
  may_have_run,  ///< Bytes were sent, but no complete answer was received.
};

// ---- Events ----

/// A document came into force. Queued requests whose class it no longer contains are refused as `not_run`.
struct document_changed {
  std::shared_ptr<const environment_document> document;
};

/// The live entry VMs, including this one. A peer that is missing or has a new incarnation is treated
/// as lost.
struct members_changed {
  std::vector<member> members;
};

/// A request from a caller. `id` must be higher than every earlier id of this process.
struct request_arrived {
  request_id id;
  request_content content;  ///< A zero deadline selects that of the class, or the default.
  idempotency_key key;      ///< May be empty for an idempotent request.
  /// No earlier attempt with this key exists, because the caller states so or the key was generated on
  /// arrival. Only then may a request be answered with `not_run` before its intent was recorded.
  bool first_attempt{false};
};

/// A peer forwarded a request.
struct forward_arrived {
  vm_id from;
  incarnation from_incarnation;
  incarnation to_incarnation;  ///< Intended receiver; any other incarnation ignores the forward.
  forward_id id;
  request_content content;
  std::optional<intent_ref> intent;  ///< Set for a non-idempotent request.
  std::optional<worker_id> avoid;    ///< Target of an earlier, failed attempt.
  bool pulled{false};                ///< Sent in answer to a pull of this VM, so it may be queued here.
};

/// A peer sent a load report.
struct peer_load {
  vm_id from;
  incarnation from_incarnation;
  load_report load;
};

/// A peer asks for queued requests of a service.
struct pull_arrived {
  vm_id from;
  incarnation from_incarnation;
  service_id service;
  int count{0};                  ///< Maximum number of requests.
  int max_rank{0};               ///< Highest class rank to send.
  bool short_teams_only{false};  ///< Send only requests counted in `rank_queue::short_teams`.
};

/// Result of `record_intent`.
enum class intent_result {
  recorded,     ///< Acknowledged by both registrars; the request may be sent.
  in_progress,  ///< Another request holds the key; `duplicate` follows once its answer is known.
  duplicate,    ///< The key was used before; `result` and the answer are final.
  unavailable,  ///< Not acknowledged by both registrars; `result` is final. Nothing was sent.
};

/// Reply to `record_intent`.
struct intent_settled {
  request_id id;
  intent_result settled{intent_result::unavailable};
  /// Set for `duplicate` and `unavailable`.
  outcome result;
  int status{0};
  shared_body body;
};

/// The complete answer of a target was received.
struct target_answered {
  target_call_id call;
  int status{0};
  shared_body body;
  bool leaving{false};  ///< The target announced that it is leaving.
};

/// A call ended without a complete answer.
struct target_call_failed {
  target_call_id call;
  /// False only if it is certain that no byte of the request left this process.
  bool bytes_sent{true};
};

/// The target refused the request because its slots were in use, before doing any work.
struct target_refused {
  target_call_id call;
  bool leaving{false};
};

/// The `/ping` sent for `probe_target` was answered or failed.
struct probe_answered {
  worker_id target;
  bool answered{false};
};

/// A peer reported the result of a forward.
struct forward_answered {
  vm_id from;
  incarnation from_incarnation;
  /// The incarnation that sent the forward. Forward ids restart at 1 with each incarnation, so an answer
  /// to an earlier incarnation could otherwise be delivered to the wrong caller.
  incarnation to_incarnation;
  forward_id id;
  forward_result result{forward_result::may_have_run};
  int status{0};
  shared_body body;
  std::optional<worker_id> target;  ///< The target that was tried, if any.
  std::string reason;               ///< Why there is no answer.
  load_report load;
};

/// The link to the peer broke, or the membership protocol declared it dead.
struct peer_lost {
  vm_id vm;
};

/// The caller closed its connection before it was answered.
struct caller_gone {
  request_id id;
};

/// Stop accepting requests, finish the accepted ones, then emit `drained`.
struct drain {};

/// The platform's VM list reports that a target is leaving, or no longer is.
struct target_leaving {
  worker_id target;
  bool leaving{true};
};

struct tick {};

// ---- Actions ----

/// Ask both registrars to record the intent; the result arrives as `intent_settled`.
struct record_intent {
  intent_ref intent;
  instant deadline{};
};

/// Ask the registrars to forget the intent of a request that will not be sent, so that its key can be
/// used again.
struct withdraw_intent {
  intent_ref intent;
};

/// Report the outcome of a request to the registrars. Sent again with a better outcome if a late answer
/// arrives.
struct finish_intent {
  intent_ref intent;
  outcome result;
  int status{0};
  shared_body body;
};

/// Send the request to the target.
struct send_request {
  target_call_id call;
  worker_id target;
  attempt_number attempt;  ///< Number of this send, from 1 per request and process.
  request_content content;
  std::optional<intent_ref> intent;
};

/// Send `/ping` on a separate connection; the result arrives as `probe_answered`.
struct probe_target {
  worker_id target;
};

/// Close the connection of the call; its end arrives as `target_call_failed`.
struct cancel_call {
  target_call_id call;
};

/// Received by the peer as `forward_arrived`. Dropped when the link is down, which is reported as
/// `peer_lost`.
struct forward_request {
  vm_id to;
  incarnation to_incarnation;
  forward_id id;
  request_content content;
  std::optional<intent_ref> intent;
  std::optional<worker_id> avoid;
  bool pulled{false};
};

/// Received by the peer as `forward_answered`.
struct answer_peer {
  vm_id to;
  incarnation to_incarnation;
  forward_id id;
  forward_result result{forward_result::may_have_run};
  int status{0};
  shared_body body;
  std::optional<worker_id> target;
  std::string reason;
  load_report load;
};

/// Received by the peer as `pull_arrived`.
struct pull_from_peer {
  vm_id to;
  service_id service;
  int count{0};
  int max_rank{0};
  bool short_teams_only{false};
};

/// Emitted exactly once for every `request_arrived` that was not followed by `caller_gone`.
struct answer_caller {
  request_id id;
  outcome result;
  int status{0};     ///< HTTP status of the target; 0 without an answer.
  shared_body body;  ///< Answer of the target; null without one.
};

/// Received by peers as `peer_load`.
struct advertise_load {
  std::optional<vm_id> to;  ///< All peers if empty.
  load_report load;
};

/// All requests accepted before or during the drain have ended.
struct drained {};

}  // namespace routing

using request_router_event =
    std::variant<routing::document_changed, routing::members_changed, routing::request_arrived,
                 routing::forward_arrived, routing::peer_load, routing::pull_arrived, routing::intent_settled,
                 routing::target_answered, routing::target_call_failed, routing::target_refused,
                 routing::probe_answered, routing::forward_answered, routing::peer_lost, routing::caller_gone,
                 routing::drain, routing::target_leaving, routing::tick>;

using request_router_action =
    std::variant<routing::record_intent, routing::withdraw_intent, routing::finish_intent,
                 routing::send_request, routing::probe_target, routing::cancel_call, routing::forward_request,
                 routing::answer_peer, routing::pull_from_peer, routing::answer_caller,
                 routing::advertise_load, routing::drained>;

/// Routes requests from callers to targets; one instance per entry VM.
///
/// Each target has one home VM, chosen by rendezvous hashing among the members that do not drain. Only
/// the home sends to the target, so a single local counter enforces its slot and connection limits. A
/// request that finds no free slot of a local target is forwarded to a peer that reported idle slots.
/// Otherwise it is queued by class rank, round-robin between teams within a class, until a slot becomes
/// free here or a peer pulls it.
///
/// A team floods if the load it offers to this VM, summed from its most urgent class on, exceeds both an
/// equal share of the VM's part of all slots and what the other teams leave of that part. Its requests
/// of the class at which the sum exceeds the limit, and of less urgent classes, are then served after
/// those of all other teams, in class order among themselves. With strict class order alone, one team's
/// flood would starve the less urgent classes of every other team.
///
/// Verdicts: `not_run` is returned only if every send to a target failed before its first byte or was
/// refused before any work, and every forward was reported as `not_sent`. The VM at which a
/// non-idempotent request arrived (the dispatcher) records its intent, and sends or forwards it again
/// only once the earlier attempt is known not to have been sent. Forwards carry sequence numbers, and a
/// home ignores a number that it has seen.
///
/// Memory limits, and what happens when they are reached:
/// - Queued requests: `queue_limit` per class and `max_queued_requests` per team. If a class queue is
///   full, the newest request of the team with the longest queue is refused with Retry-After. At the
///   limit of a team, it is the newest request in that team's least urgent class.
/// - Requests whose intent is being recorded: `max_waiting_intents`; the new request is refused.
/// - Calls and forwards in progress: limited by slots, and by `max_requests` in total, which includes
///   callers that repeat a key; the new request is refused.
/// - Requests answered before their target, kept to receive its late answer: `max_late_requests`; the
///   oldest is dropped, and its late answer is then ignored.
/// - Sequence numbers of received forwards: a window of `forward_window` per peer; lower numbers are
///   ignored.
/// - Windows of lost peers: `max_lost_peers`; the window of the peer lost first is dropped.
class request_router {
 public:
  struct options {
    vm_id self;
    incarnation self_incarnation;
    failure_domain_id failure_domain;
    /// Delay before the first send to a target whose home was another VM. By then a former home that was
    /// paused knows that it is no longer the home, or its calls have ended.
    duration takeover_delay{std::chrono::seconds{2}};
    /// A process that handled no event for this long treats itself as having been paused: it sends
    /// nothing to targets for `takeover_delay`, in which it learns whether it still is their home.
    duration pause_threshold{std::chrono::seconds{1}};
    duration default_deadline{std::chrono::seconds{30}};
    /// Later deadlines are reduced to this, which limits how long a request is remembered.
    duration max_deadline{std::chrono::minutes{10}};
    /// How long a non-idempotent call may continue after its deadline, so that its answer can still be
    /// stored for a caller that repeats the key.
    duration late_answer_grace{std::chrono::seconds{2}};
    /// How long the slot of a cancelled call stays in use, because a target does not notice a closed
    /// connection immediately.
    duration cancelled_slot_release_delay{std::chrono::seconds{1}};
    /// How long nothing is sent to a target that refused a request because its slots were in use, and
    /// how long a peer that refused a forward receives no unsolicited one.
    duration refusal_backoff{std::chrono::milliseconds{50}};
    /// Interval between load reports to all peers while requests are in progress, and the minimum
    /// interval, which applies when a service gains or loses its idle slots or queued requests. At these
    /// values, reports of 120 bytes to 8 peers use up to 5 KB/s of the 9 KB/s allowed for all control
    /// traffic.
    duration max_load_interval{std::chrono::milliseconds{500}};
    duration min_load_interval{std::chrono::milliseconds{200}};
    /// A pull no longer counts as outstanding after this long.
    duration pull_timeout{std::chrono::milliseconds{20}};
    /// How long a draining VM keeps sending to its targets. Shorter than `takeover_delay`, so that it
    /// stops before the new home starts.
    duration drain_send_time{std::chrono::seconds{1}};
    /// How long a draining VM accepts new requests, because the load balancer sees the change of
    /// `/readyz` with a delay.
    duration drain_accept_time{std::chrono::seconds{1}};
    /// Minimum delay before a hedge.
    duration min_hedge_delay{std::chrono::milliseconds{20}};
    /// Retry-After of requests that are refused because of load.
    duration retry_after{std::chrono::seconds{1}};
    int max_attempts{3};          ///< Sends of one request to targets, hedges included.
    int max_refused_forwards{3};  ///< Refused forwards after which a request is only sent when pulled.
    std::size_t max_requests{20'000};
    std::size_t max_waiting_intents{2'000};
    std::size_t max_late_requests{1'000};
    std::size_t forward_window{8'192};
    std::size_t max_lost_peers{256};
    target_health::options health{};
  };

  request_router(options opts, random_source& random);
  request_router(const request_router&) = delete;
  request_router(request_router&&) noexcept;
  request_router& operator=(const request_router&) = delete;
  request_router& operator=(request_router&&) noexcept;
  ~request_router();

  /// Handles one event and appends the resulting actions to `out`. `now` must not decrease.
  void handle(const request_router_event& event, instant now, std::vector<request_router_action>& out);
  /// When the next `tick` event is due; empty before the first event.
  [[nodiscard]] std::optional<instant> next_deadline() const;

  /// The home VM of a target among `members`; empty if there are no members.
  [[nodiscard]] static vm_id home_of(const worker_id& target, const std::vector<routing::member>& members);

  /// The load report of this VM, for heartbeats and `/v1/status`.
  [[nodiscard]] routing::load_report load() const;
  /// Number of requests from callers that are not answered yet.
  [[nodiscard]] std::size_t requests_in_progress() const noexcept;
  /// Number of calls to targets that have not ended.
  [[nodiscard]] std::size_t calls_in_progress() const noexcept;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace rhubarbpath

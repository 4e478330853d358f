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

/// The types of the router's events and actions.
namespace routing {

/// Bytes that the router passes on without reading them. Copies share the bytes. May be null.
using shared_body = std::shared_ptr<const std::string>;

/// Numbers the forwards of one origin process from 1 without gaps.
using forward_id = number_id<struct forward_id_tag>;
/// Numbers the calls to targets of one process from 1.
using target_call_id = number_id<struct target_call_id_tag>;

/// What a request does, the same on every hop.
struct request_content {
  service_id service;
  class_id request_class;
  team_id team;
  bool non_idempotent{false};
  instant deadline{};  ///< Absolute. The shells send the remaining time and convert it.
  shared_body body;
  std::string traceparent;  ///< Trace context of the hop before; passed on unread.
};

/// Names the intent of one non-idempotent request.
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
  /// A draining VM is home of no target, unless every VM drains.
  bool draining{false};

  friend bool operator==(const member&, const member&) = default;
};

/// Stands for the requests of flooding teams, which are served after every class of other teams.
inline constexpr int flooding_rank = std::numeric_limits<int>::max();

/// Queue length of one class rank of a service.
struct rank_queue {
  int rank{0};  ///< `flooding_rank` for all requests of flooding teams.
  int length{0};
  /// Of these, requests of teams whose queue is at most half as long as the longest team's. They
  /// wait although their teams do not flood this VM, so peers fetch them first.
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

/// What an entry VM tells its peers; carried by heartbeats, load messages and forward answers.
struct load_report {
  /// Grows with the reports of one incarnation; the receiver ignores a lower one. Zero: no report.
  std::uint64_t sequence{0};
  bool draining{false};
  /// A forward answer reports only the forward's service; those not named are unchanged.
  std::vector<service_load> services;
  /// Targets that said themselves, in an answer, that they are leaving.
  std::vector<worker_id> leaving;
  friend bool operator==(const load_report&, const load_report&) = default;
};

/// How a forwarded request ended at the home VM.
enum class forward_result {
  answered,      ///< The target's whole answer is attached.
  not_sent,      ///< No byte reached a target and none will for this forward.
  may_have_run,  ///< Bytes left and no whole answer came back.
};

// ---- Events ----

/// A document came into force. Queued requests whose class is gone are refused as `not_run`.
struct document_changed {
  std::shared_ptr<const environment_document> document;
};

/// The live entry VMs, this one included. A peer that is missing, or has a new incarnation, is
/// treated as lost.
struct members_changed {
  std::vector<member> members;
};

/// A caller's request. `id` must be above every earlier id of this process.
struct request_arrived {
  request_id id;
  request_content content;  ///< A deadline of zero means the class's, or the default, deadline.
  idempotency_key key;      ///< Empty when an idempotent request carries none.
  /// No earlier attempt with this key exists: the caller says so, or the shell made the key. Only
  /// then may a request that was refused before its intent was recorded be called `not_run`.
  bool first_attempt{false};
};

/// A peer forwarded a request.
struct forward_arrived {
  vm_id from;
  incarnation from_incarnation;
  incarnation to_incarnation;  ///< The incarnation the sender meant; another one ignores the forward.
  forward_id id;
  request_content content;
  std::optional<intent_ref> intent;  ///< Set for a non-idempotent request.
  std::optional<worker_id> avoid;    ///< Target that failed an earlier attempt.
  bool pulled{false};                ///< Sent because this VM pulled; it may wait in the queue here.
};

struct peer_load {
  vm_id from;
  incarnation from_incarnation;
  load_report load;
};

/// A peer has idle slots and asks for queued work of a service.
struct pull_arrived {
  vm_id from;
  incarnation from_incarnation;
  service_id service;
  int count{0};                  ///< At most this many requests.
  int max_rank{0};               ///< Only classes of this rank or a lower one.
  bool short_teams_only{false};  ///< Only requests counted in `rank_queue::short_teams`.
};

/// What became of `record_intent`.
enum class intent_result {
  recorded,     ///< Both registrars acknowledged; the request may be sent.
  in_progress,  ///< Another dispatcher holds the key; `duplicate` follows when its answer is known.
  duplicate,    ///< The key was used before; `result` and the answer are final.
  unavailable,  ///< No acknowledgement of both registrars; `result` is final. Nothing was sent.
};

struct intent_settled {
  request_id id;
  intent_result settled{intent_result::unavailable};
  /// For `duplicate` and `unavailable`.
  outcome result;
  int status{0};
  shared_body body;
};

/// The whole answer of a target arrived.
struct target_answered {
  target_call_id call;
  int status{0};
  shared_body body;
  bool leaving{false};  ///< The target announced that it leaves.
};

struct target_call_failed {
  target_call_id call;
  /// False only if the shell knows that no byte of the request left this process.
  bool bytes_sent{true};
};

/// The target refused above its slots, before any work.
struct target_refused {
  target_call_id call;
  bool leaving{false};
};

struct probe_answered {
  worker_id target;
  bool answered{false};
};

/// A peer reported the end of a forward.
struct forward_answered {
  vm_id from;
  incarnation from_incarnation;
  /// The incarnation that sent the forward. Forward ids begin again after a restart, so that an
  /// answer meant for the predecessor could otherwise reach another caller.
  incarnation to_incarnation;
  forward_id id;
  forward_result result{forward_result::may_have_run};
  int status{0};
  shared_body body;
  std::optional<worker_id> target;  ///< The target that was tried, if any.
  std::string reason;               ///< Why it did not run.
  load_report load;
};

/// The link to the peer broke or the membership declared it dead.
struct peer_lost {
  vm_id vm;
};

/// The caller closed its connection before the answer.
struct caller_gone {
  request_id id;
};

/// Stop taking requests, finish those accepted, then report `drained`.
struct drain {};

/// The platform's VM list says that a target leaves, or no longer leaves.
struct target_leaving {
  worker_id target;
  bool leaving{true};
};

struct tick {};

// ---- Actions ----

/// Ask both registrars; the result comes back as `intent_settled`.
struct record_intent {
  intent_ref intent;
  instant deadline{};
};

/// The request will never be sent: registrars forget the intent, so that the key may be used again.
struct withdraw_intent {
  intent_ref intent;
};

/// The request ended. May be repeated with a better outcome when a late answer arrives.
struct finish_intent {
  intent_ref intent;
  outcome result;
  int status{0};
  shared_body body;
};

struct send_request {
  target_call_id call;
  worker_id target;
  attempt_number attempt;  ///< Counts the sends of this request by this process.
  request_content content;
  std::optional<intent_ref> intent;
};

/// Send `/ping` on a connection of its own; answer with `probe_answered`.
struct probe_target {
  worker_id target;
};

/// Close the call's connection. The shell reports the end as `target_call_failed`.
struct cancel_call {
  target_call_id call;
};

/// The peer receives it as `forward_arrived`. The shell drops it when the link is down; the
/// router learns of that from `peer_lost`.
struct forward_request {
  vm_id to;
  incarnation to_incarnation;
  forward_id id;
  request_content content;
  std::optional<intent_ref> intent;
  std::optional<worker_id> avoid;
  bool pulled{false};
};

/// The peer receives it as `forward_answered`.
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

/// The peer receives it as `pull_arrived`.
struct pull_from_peer {
  vm_id to;
  service_id service;
  int count{0};
  int max_rank{0};
  bool short_teams_only{false};
};

/// Emitted exactly once for every `request_arrived` whose caller did not go.
struct answer_caller {
  request_id id;
  outcome result;
  int status{0};     ///< The target's status; 0 when there is no answer.
  shared_body body;  ///< The target's answer; null when there is none.
};

/// Received by peers as `peer_load`.
struct advertise_load {
  std::optional<vm_id> to;  ///< All peers when not set.
  load_report load;
};

/// Everything accepted before or during the drain has ended.
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

/// Routes requests of callers to targets; one per entry VM.
///
/// Each target has one home VM, the highest in rendezvous hash order among the members that do not
/// drain. Only the home sends to the target, so its slots and connections are hard limits kept by
/// one counter. A request that arrives where no own slot is free is forwarded to a peer that
/// reported idle slots, or is queued in class order, teams in turn within a class, until a slot
/// frees here or a peer pulls it.
///
/// A team floods when the load it offers to this VM, counted from its most urgent class, is above
/// what the other teams leave of the VM's part of all slots, and above an equal share. Its requests
/// of the class with which it exceeds them, and of less urgent ones, then come after those of all
/// other teams, in class order among themselves. Strict class order alone would let one team's flood
/// starve every other team's less urgent classes.
///
/// Verdicts: `not_run` is given only when no send to a target left, or each one failed before its
/// first byte or was refused before work, and each forward was reported as `not_sent`. The VM at
/// which a non-idempotent request arrived (the dispatcher) records its intent, and sends or
/// forwards it again only after the earlier try is known as not sent. Forwards are numbered, and a
/// home ignores a number that it has seen.
///
/// Memory bounds, and what is dropped first:
/// - Queued requests: `queue_limit` per class and `max_queued_requests` per team. At a full class
///   queue the newest request of the team with the longest queue is refused with Retry-After; at
///   the team's limit it is the team's newest request in its least urgent class.
/// - Requests that wait for an intent: `max_waiting_intents`; the new request is refused.
/// - Calls and forwards in progress: bounded by slots, and by `max_requests` in total (callers that
///   repeat a key count as well); the new request is refused.
/// - Requests answered without a target's answer, kept for a late one: `max_late`; the oldest is
///   dropped first, after which its late answer is ignored.
/// - Numbers of seen forwards: a window of `forward_window` per peer. Lower numbers are ignored.
/// - Windows of lost peers: `max_lost_peers`; the one lost first is dropped.
class request_router {
 public:
  struct options {
    vm_id self;
    incarnation self_incarnation;
    failure_domain_id failure_domain;
    /// Wait before the first send to a target whose home was another VM. A former home that was
    /// paused has then learned that it is no longer the home, or its calls have ended.
    duration takeover_wait{std::chrono::seconds{2}};
    /// Time without any event after which this process counts as paused: it then sends nothing to
    /// targets for `takeover_wait`, in which it learns whether it still is their home.
    duration pause_limit{std::chrono::seconds{1}};
    duration default_deadline{std::chrono::seconds{30}};
    /// Deadlines further away are cut to this, which bounds the time a request is remembered.
    duration longest_deadline{std::chrono::minutes{10}};
    /// How long a non-idempotent call may go on past its deadline, so that its answer can still be
    /// kept for a caller that repeats the key.
    duration late_answer_grace{std::chrono::seconds{2}};
    /// How long the slot of a cancelled call stays counted: a target does not notice a closed
    /// connection at once.
    duration cancelled_slot_hold{std::chrono::seconds{1}};
    /// How long a target that refused above its slots, or a peer that refused a forward which might
    /// have waited there, is left alone.
    duration refusal_wait{std::chrono::milliseconds{50}};
    /// Longest and shortest interval between two load reports to all peers. At these values a report
    /// of 120 bytes to 8 peers costs up to 5 KB/s, of 9 KB/s allowed for control in all. The shortest
    /// applies when idle slots or queues appear or vanish.
    duration load_interval{std::chrono::milliseconds{500}};
    duration shortest_load_interval{std::chrono::milliseconds{200}};
    /// A pull that brought nothing for this long no longer counts as outstanding.
    duration pull_timeout{std::chrono::milliseconds{20}};
    /// How long a draining VM keeps sending to its targets: shorter than `takeover_wait`, so that
    /// it ends before the new home begins.
    duration drain_home_time{std::chrono::seconds{1}};
    /// How long a draining VM accepts new requests: the load balancer notices `/readyz` late.
    duration drain_accept_time{std::chrono::seconds{1}};
    /// Never hedge earlier than this.
    duration shortest_hedge_wait{std::chrono::milliseconds{20}};
    /// Told to callers that are refused for load.
    duration retry_after{std::chrono::seconds{1}};
    int max_attempts{3};       ///< Sends of one request to targets, hedges included.
    int max_forward_tries{3};  ///< Forwards that a peer refused, before the request only waits for pulls.
    std::size_t max_requests{20'000};
    std::size_t max_waiting_intents{2'000};
    std::size_t max_late{1'000};
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

  /// Appends the actions to `out`. `now` must not decrease.
  void handle(const request_router_event& event, instant now, std::vector<request_router_action>& out);
  /// When to send a tick event.
  [[nodiscard]] std::optional<instant> next_deadline() const;

  /// The home VM of a target among `members`; empty when there is none.
  [[nodiscard]] static vm_id home_of(const worker_id& target, const std::vector<routing::member>& members);

  /// What this VM reports to its peers, for heartbeats and `/v1/status`.
  [[nodiscard]] routing::load_report load() const;
  /// Requests of callers that are not answered yet.
  [[nodiscard]] std::size_t requests_in_progress() const noexcept;
  /// Calls to targets that have not ended.
  [[nodiscard]] std::size_t calls_in_progress() const noexcept;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace rhubarbpath

#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "absl/container/inlined_vector.h"
#include "absl/container/node_hash_map.h"
#include "class_queue.hpp"
#include "forward_window.hpp"
#include "rhubarbpath/coordination/request_router.hpp"

namespace rhubarbpath {

namespace detail {

struct routed_service;
struct routed_class;

struct routed_team {
  int index{0};
  int max_queued{0};
  int queued{0};
  int request_count{0};  ///< Requests in any phase that refer to this entry.
  bool in_document{true};
};

struct routed_target {
  worker_id id;
  failure_domain_id failure_domain;
  routed_service* service{nullptr};
  bool in_document{true};
  bool own{false};                       ///< This VM is the target's home.
  bool leaving_listed{false};            ///< Listed as leaving by the platform.
  bool leaving_announced{false};         ///< Announced by the target in an answer.
  bool leaving_reported_by_peer{false};  ///< Announced by the target to a peer.
  bool healthy{true};                    ///< Copied from `target_health` to avoid a lookup in `pick_target`.
  bool suspect{false};
  bool trial_open{false};
  bool new_in_document{false};    ///< Had no home before, so no `takeover_delay` applies.
  instant usable_from{};          ///< End of `takeover_delay`, or of `refusal_backoff`.
  instant trial_allowed_since{};  ///< When a trial call was allowed.
  int slots_used{0};
  int connections_used{0};
};

struct attempt {
  bool forwarded{false};
  std::uint64_t id{0};  ///< `forward_id` or `target_call_id`.
};

enum class request_phase {
  waiting_intent,
  queued,
  in_flight,
  late,  ///< Answered before its target, whose answer may still arrive.
};

/// The peer that forwarded a request, and its id of the forward.
struct forward_source {
  vm_id vm;
  incarnation vm_incarnation;
  routing::forward_id id;
  bool lost{false};
};

struct kept_answer {
  int status{0};
  routing::shared_body body;
};

/// A request from a caller of this VM, or one forwarded by a peer, for which `source` is set.
struct routed_request {
  std::uint64_t number{0};
  request_phase phase{request_phase::queued};
  routing::request_content content;
  routed_class* request_class{nullptr};
  routed_team* team{nullptr};  ///< Null for a forwarded request, which its sender counts.
  absl::InlinedVector<request_id, 1> callers;
  request_id first_caller;  ///< Identifies the request to the registrars.
  std::string coalescing_key;
  std::optional<routing::intent_ref> intent;
  std::optional<forward_source> source;
  std::optional<worker_id> avoid;
  std::optional<kept_answer> fallback;  ///< Server error to return if no retry succeeds.
  absl::InlinedVector<attempt, 2> attempts;
  instant arrived_at{};
  instant timer_at{};  ///< Time of the `deadline` timer; zero if none is set.
  std::uint64_t order{0};
  int sends{0};
  int refused_forwards{0};
  bool first_attempt{false};
  bool intent_requested{false};
  bool intent_recorded{false};
  bool counted_as_first_send{false};  ///< Counted as a first send for the retry budget.
  bool pulled{false};                 ///< Is in the class's `pulled` queue.
  bool maybe_ran{false};              ///< An earlier attempt ended without a complete answer.
};

/// Exponentially decaying arrival rate, in arrivals per microsecond.
struct decaying_rate {
  double sum{0};
  instant updated{};

  [[nodiscard]] double decayed(instant now, duration window) const {
    return sum *
           std::exp(-static_cast<double>((now - updated).count()) / static_cast<double>(window.count()));
  }
  [[nodiscard]] double at(instant now, duration window) const {
    return decayed(now, window) / static_cast<double>(window.count());
  }
  void count(instant now, duration window) {
    sum = decayed(now, window) + 1.0;
    updated = now;
  }
};

struct routed_class {
  request_class_spec spec;
  routed_service* service{nullptr};
  bool in_document{true};
  int request_count{0};  ///< Requests in any phase that refer to this entry.
  class_queue<routed_request> queue;
  std::deque<routed_request*> pulled;            ///< Forwarded requests that wait here, oldest first.
  absl::btree_map<int, decaying_rate> arrivals;  ///< By team index.
  double mean_attempt_time{0};  ///< Microseconds; exponential moving average over answered attempts.
  double attempt_time_p95{0};   ///< Microseconds; running estimate over answered attempts.
};

/// Last reported load of a peer for one service, adjusted for what was sent to it since.
struct peer_service {
  int idle{0};
  std::vector<routing::rank_queue> queues;
  int set_aside{0};
  std::optional<instant> pull_expires_at;  ///< Set while a pull is outstanding.
  int outstanding_pull{0};
  instant refusal_backoff_until{};  ///< Set after a refused forward, because the peer is full.
};

struct routed_service {
  service_spec spec;
  bool in_document{true};
  std::vector<std::unique_ptr<routed_class>> classes;  ///< By rank, then id.
  std::vector<routed_target*> own;                     ///< Targets whose home is this VM.
  int targets_in_document{0};
  int slots_used{0};  ///< Sum over all targets of the service.
  target_health health;
  /// Index of each flooding team and the lowest rank at which its requests are served last.
  absl::InlinedVector<std::pair<int, int>, 2> flooding;
  instant flooding_at{};  ///< When `flooding` was determined.
  bool dirty{false};      ///< Slots or queues changed since the last dispatch.
  // Contents of the last load report to all peers.
  bool reported_idle{false};
  bool reported_queue{false};

  [[nodiscard]] bool floods(int team, int rank) const {
    return std::any_of(flooding.begin(), flooding.end(),
                       [&](const auto& entry) { return entry.first == team && entry.second <= rank; });
  }

  routed_service(target_health::options opts, random_source& random) : health{opts, random} {}
};

struct routed_peer {
  vm_id vm;
  incarnation vm_incarnation;
  failure_domain_id failure_domain;
  bool member{false};
  bool link_lost{false};
  bool draining{false};
  std::uint64_t load_sequence{0};
  std::uint64_t lost_sequence{0};
  absl::btree_map<service_id, peer_service> services;
  std::vector<worker_id> leaving;
  forward_window seen;

  explicit routed_peer(std::size_t window) : seen{window} {}
  [[nodiscard]] bool live() const noexcept { return member && !link_lost; }
};

struct target_call {
  routed_target* target{nullptr};
  std::uint64_t request_number{0};  ///< Zero if no request waits for the answer.
  instant started{};
  bool trial{false};
  std::optional<instant> slot_release_at;  ///< Set once the call is cancelled.
};

struct outgoing_forward {
  std::uint64_t request_number{0};
  vm_id to;
  incarnation to_incarnation;
  instant started{};
};

enum class timer_kind {
  deadline,  ///< Deadline of a request.
  hedge,
  slot_release,
  wakeup,
  caller_deadline,  ///< Deadline of a caller that joined a running request.
  abandoned_call,   ///< End of a call whose answer no request waits for.
};

struct timer {
  instant at{};
  timer_kind kind{timer_kind::wakeup};
  std::uint64_t id{0};
  friend bool operator<(const timer& left, const timer& right) {
    return std::tie(left.at, left.kind, left.id) < std::tie(right.at, right.kind, right.id);
  }
};

}  // namespace detail

class request_router::implementation {
 public:
  implementation(options opts, random_source& random);
  void handle(const request_router_event& event, instant now, std::vector<request_router_action>& out);
  [[nodiscard]] std::optional<instant> next_deadline() const;
  [[nodiscard]] routing::load_report load() const;
  [[nodiscard]] std::size_t requests_in_progress() const noexcept { return callers_.size(); }
  [[nodiscard]] std::size_t calls_in_progress() const noexcept { return calls_.size(); }

 private:
  using routed_request = detail::routed_request;
  using routed_service = detail::routed_service;
  using routed_class = detail::routed_class;
  using routed_target = detail::routed_target;
  using routed_peer = detail::routed_peer;

  // Events: request_router.cpp, and request_router_targets.cpp for the document and the members.
  void on(const routing::document_changed& event);
  void on(const routing::members_changed& event);
  void on(const routing::request_arrived& event);
  void on(const routing::forward_arrived& event);
  void on(const routing::peer_load& event);
  void on(const routing::pull_arrived& event);
  void on(const routing::intent_settled& event);
  void on(const routing::target_answered& event);
  void on(const routing::target_call_failed& event);
  void on(const routing::target_refused& event);
  void on(const routing::probe_answered& event);
  void on(const routing::forward_answered& event);
  void on(const routing::peer_lost& event);
  void on(const routing::caller_gone& event);
  void on(const routing::drain& event);
  void on(const routing::target_leaving& event);
  void on(const routing::tick& event);

  // Document, members, targets and peers: request_router_targets.cpp.
  void apply_service(const service_spec& spec);
  void apply_workers(const environment_document& document);
  void apply_teams(const environment_document& document);
  void remove_unused_entries();
  void refuse_removed_classes();
  void recompute_homes();
  void update_set_aside_limit(routed_service& service);
  void update_health(routed_service& service, const target_health_event& event);
  void apply_load(routed_peer& peer, const routing::load_report& load);
  void update_leaving();
  void handle_lost_peer(routed_peer& peer);
  void drop_oldest_lost_peer();
  [[nodiscard]] routed_peer* find_or_add_peer(const vm_id& vm, incarnation vm_incarnation);
  [[nodiscard]] bool accepts_calls(const routed_target& target) const;
  [[nodiscard]] static int free_slots(const routed_target& target);
  [[nodiscard]] int idle_slots(const routed_service& service) const;
  [[nodiscard]] routing::service_load service_report(const routed_service& service) const;
  [[nodiscard]] routing::load_report partial_report(const routed_service& service);
  void reply(const detail::forward_source& source, routed_service* service, routing::answer_peer answer);
  void fill_reply_loads();
  [[nodiscard]] std::vector<worker_id> leaving_targets() const;
  void report_load();
  void send_load(std::optional<vm_id> to);
  [[nodiscard]] bool sends_paused() const;

  // Lifecycle of a request: request_router_work.cpp.
  routed_request& add_request(routing::request_content content, routed_class& request_class,
                              detail::routed_team* team);
  void erase_request(routed_request& request);
  void set_timer(routed_request& request, instant at);
  void refuse_arrival(const routing::request_arrived& event, const std::string& reason, bool overload);
  [[nodiscard]] bool coalesce(const routing::request_arrived& event, const std::string& key);
  void ask_intent(routed_request& request);
  void admit(routed_request& request);
  [[nodiscard]] std::optional<std::string> admission_refusal(const routed_request& request);
  [[nodiscard]] static routed_request* newest_less_urgent_of_team(const routed_request& request);
  void enqueue(routed_request& request);
  void dequeue(routed_request& request);
  void finish(routed_request& request, const outcome& result, int status, const routing::shared_body& body);
  void end_without_answer(routed_request& request, const std::string& reason,
                          std::optional<duration> retry_after);
  void end_forwarded(routed_request& request, routing::forward_result result, const std::string& reason,
                     std::optional<worker_id> target);
  void keep_for_late_answer(routed_request& request);
  void attempt_answered(routed_request& request, int status, const routing::shared_body& body,
                        std::optional<worker_id> target);
  void attempt_failed(routed_request& request, bool maybe_ran, std::optional<worker_id> target,
                      const std::string& reason);
  [[nodiscard]] bool may_send_again(const routed_request& request) const;
  void forward_refused(routed_request& request);
  void deadline_passed(routed_request& request);
  void cancel_local_calls(routed_request& request);
  void cancel(routing::target_call_id id, detail::target_call& call, const routed_class* request_class);
  void release_slot(routed_target& target);
  void release_slot_later(routed_target& target, instant until);
  void hedge(routed_request& request);
  void answer(request_id caller, const outcome& result, int status, const routing::shared_body& body);
  [[nodiscard]] verdict unsent_verdict(const routed_request& request) const;
  [[nodiscard]] routed_request* find_request(std::uint64_t number);
  static void remove_attempt(routed_request& request, bool forwarded, std::uint64_t id);
  static void observe_attempt_time(routed_class& request_class, duration time);

  // Selection of requests, targets and peers: request_router_dispatch.cpp.
  void dispatch(routed_service& service);
  void dispatch_dirty();
  [[nodiscard]] routed_request* next_request(routed_service& service, int max_rank, bool local_only);
  [[nodiscard]] routed_request* next_of_short_teams(routed_service& service, int max_rank);
  /// The next request of the teams for which `wanted(team)` is true. Requests that are too near their
  /// deadline are refused.
  template <class Predicate>
  [[nodiscard]] routed_request* next_of_class(routed_class& request_class, const Predicate& wanted);
  void find_flooding_teams(routed_service& service) const;
  [[nodiscard]] static duration arrival_window(const routed_class& request_class);
  [[nodiscard]] bool too_near_deadline(const routed_request& request) const;
  [[nodiscard]] routed_target* pick_target(const routed_service& service,
                                           const routed_request& request) const;
  [[nodiscard]] bool eligible_for_trial(const routed_target& target, const routed_request& request) const;
  [[nodiscard]] routed_peer* pick_peer(const routed_service& service);
  [[nodiscard]] routed_peer* pick_lower_priority_peer(const routed_service& service,
                                                      const routed_request& request);
  [[nodiscard]] bool may_queue_unsolicited(const routed_service& service,
                                           const routed_request& request) const;
  [[nodiscard]] static int prefetch_slots(const routed_service& service);
  void send(routed_request& request, routed_target& target);
  void forward(routed_request& request, routed_peer& peer, bool pulled);
  void count_send(routed_request& request);
  void pull(routed_service& service);
  /// The most urgent part of the queues of a VM, ordered by rank and then `long_teams`, lowest first.
  struct queue_head {
    int rank{0};
    bool long_teams{false};  ///< All requests of this rank belong to teams with long queues.
    int length{0};           ///< Number of these requests; -1 if all queues are empty.
    friend bool operator==(const queue_head&, const queue_head&) = default;
  };
  [[nodiscard]] static queue_head head_of(const std::vector<routing::rank_queue>& queues);
  void pull_from(routed_service& service, routed_peer& peer, int count, const queue_head& head);
  [[nodiscard]] int outstanding_pulls(const routed_service& service);

  void run_timers();
  void check_drained();
  void add_wakeup(instant at) { timers_.insert({at, detail::timer_kind::wakeup, 0}); }
  [[nodiscard]] routed_service* find_service(const service_id& id);
  [[nodiscard]] routed_class* find_class(const service_id& service, const class_id& request_class);

  template <class Action>
  void emit(Action&& action) {
    out_->emplace_back(std::forward<Action>(action));
  }

  options options_;
  random_source* random_;
  instant now_{};
  std::optional<instant> last_event_;
  instant paused_until_{};
  std::vector<request_router_action>* out_{nullptr};
  /// Indexes in `out_` of the answers to peers, each with its service. Their load report is filled in
  /// after the dispatch, because a slot that an answer freed is often used again at once.
  std::vector<std::pair<std::size_t, routed_service*>> pending_replies_;

  std::shared_ptr<const environment_document> document_;
  std::map<service_id, std::unique_ptr<routed_service>> services_;
  absl::flat_hash_map<service_id, routed_service*> service_index_;
  std::map<worker_id, std::unique_ptr<routed_target>> targets_;
  absl::node_hash_map<team_id, detail::routed_team> teams_;
  int next_team_{0};
  std::vector<routing::member> members_;
  bool self_is_member_{false};
  std::map<vm_id, std::unique_ptr<routed_peer>> peers_;

  absl::flat_hash_map<std::uint64_t, std::unique_ptr<routed_request>> requests_;
  absl::flat_hash_map<request_id, std::uint64_t> callers_;
  absl::flat_hash_map<request_id, instant>
      caller_deadlines_;  ///< Only callers that joined a running request.
  absl::flat_hash_map<std::string, std::uint64_t> coalescing_index_;
  absl::flat_hash_map<request_id, std::uint64_t> intents_waiting_;
  absl::flat_hash_map<routing::target_call_id, detail::target_call> calls_;
  absl::flat_hash_map<routing::forward_id, detail::outgoing_forward> forwards_;
  absl::flat_hash_map<std::uint64_t, routed_target*> delayed_releases_;
  std::deque<std::uint64_t> late_requests_;  ///< Oldest first; may contain requests that have ended.
  std::size_t late_request_count_{0};
  absl::btree_set<detail::timer> timers_;
  retry_budget retries_;
  retry_budget hedges_;

  std::uint64_t next_request_number_{1};
  std::uint64_t next_order_{1};
  std::uint64_t next_call_{1};
  std::uint64_t next_forward_{1};
  std::uint64_t next_lost_sequence_{1};
  std::uint64_t next_delayed_release_{1};
  std::uint64_t load_sequence_{0};
  std::optional<instant> last_report_;
  bool report_due_{false};
  std::optional<instant> draining_since_;
  bool drained_{false};
};

}  // namespace rhubarbpath

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
  int works{0};  ///< Works of any phase that point here.
  bool in_document{true};
};

struct routed_target {
  worker_id id;
  failure_domain_id failure_domain;
  routed_service* service{nullptr};
  bool in_document{true};
  bool own{false};              ///< This VM is the target's home.
  bool leaving_listed{false};   ///< The VM list says so.
  bool leaving_said{false};     ///< The target's own answer said so.
  bool leaving_at_peer{false};  ///< A peer heard it from the target.
  bool healthy{true};           ///< Mirrors `target_health`, so that a choice needs no look-up.
  bool suspect{false};
  bool trial_open{false};
  bool new_in_document{false};  ///< Had no home before, so that no takeover wait is needed.
  instant usable_from{};        ///< End of the takeover wait or of the wait after a refusal.
  instant trial_since{};        ///< Since when one trial call is allowed.
  int slots_used{0};
  int connections_used{0};
};

struct attempt {
  bool forwarded{false};
  std::uint64_t id{0};  ///< `forward_id` or `target_call_id`.
};

enum class work_phase {
  waiting_intent,
  queued,
  in_flight,
  late,  ///< Answered without a target's answer, which may still come.
};

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

/// A request of a caller of this VM, or one that a peer forwarded here (`source` is set).
struct work {
  std::uint64_t number{0};
  work_phase phase{work_phase::queued};
  routing::request_content content;
  routed_class* request_class{nullptr};
  routed_team* team{nullptr};  ///< Null for a forwarded request: its origin counts it.
  absl::InlinedVector<request_id, 1> callers;
  request_id primary;  ///< The first caller's; names the request towards the registrars.
  std::string attach_key;
  std::optional<routing::intent_ref> intent;
  std::optional<forward_source> source;
  std::optional<worker_id> avoid;
  std::optional<kept_answer> fallback;  ///< A server error that is returned when no retry does better.
  absl::InlinedVector<attempt, 2> attempts;
  instant arrived_at{};
  instant timer_at{};  ///< The entry in the timer set, zero when there is none.
  std::uint64_t order{0};
  int sends{0};
  int refused_forwards{0};
  bool first_attempt{false};
  bool intent_asked{false};
  bool intent_recorded{false};
  bool counted{false};    ///< Counted as a first send for the retry budget.
  bool pulled{false};     ///< Waits in the class's `pulled` queue.
  bool maybe_ran{false};  ///< An earlier attempt ended without a whole answer.
};

/// Arrivals per microsecond, with older ones counting exponentially less.
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
  int works{0};  ///< Works of any phase that point here.
  class_queue<work> queue;
  std::deque<work*> pulled;
  absl::btree_map<int, decaying_rate> arrivals;  ///< By team index.
  double mean_attempt_time{0};                   ///< Microseconds; moving average over ended attempts.
  double attempt_time_p95{0};                    ///< Microseconds; estimate over ended attempts.
};

struct peer_service {
  int idle{0};
  std::vector<routing::rank_queue> queues;
  int set_aside{0};
  std::optional<instant> pull_ends;  ///< While a pull is outstanding.
  int pull_outstanding{0};
  instant refuses_until{};  ///< It refused a forward lately, so it is full.
};

struct routed_service {
  service_spec spec;
  bool in_document{true};
  std::vector<std::unique_ptr<routed_class>> classes;  ///< By rank, then id.
  std::vector<routed_target*> own;
  int targets_in_document{0};
  int slots_used{0};  ///< Over the own targets.
  target_health health;
  /// Flooding teams' indexes, with the rank of the class from which on they come last.
  absl::InlinedVector<std::pair<int, int>, 2> flooding;
  instant flooding_at{};  ///< When `flooding` was determined.
  bool dirty{false};      ///< Slots or queues changed since the last dispatch.
  // What the last report to all peers said.
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
  std::uint64_t lost_order{0};
  absl::btree_map<service_id, peer_service> services;
  std::vector<worker_id> leaving;
  forward_window seen;

  explicit routed_peer(std::size_t window) : seen{window} {}
  [[nodiscard]] bool live() const noexcept { return member && !link_lost; }
};

struct target_call {
  routed_target* target{nullptr};
  std::uint64_t work{0};  ///< Zero when nobody waits for the answer.
  instant started{};
  bool trial{false};
  std::optional<instant> held_until;  ///< Set when the call was cancelled.
};

struct sent_forward {
  std::uint64_t work{0};
  vm_id to;
  incarnation to_incarnation;
  instant started{};
};

enum class timer_kind {
  deadline,  ///< Of a work.
  hedge,
  slot_release,
  wake,
  caller_deadline,  ///< Of an attached caller.
  call_end,         ///< Of a call whose answer nobody waits for.
};

struct timer {
  instant at{};
  timer_kind kind{timer_kind::wake};
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
  using work = detail::work;
  using routed_service = detail::routed_service;
  using routed_class = detail::routed_class;
  using routed_target = detail::routed_target;
  using routed_peer = detail::routed_peer;

  // Events, request_router.cpp.
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

  // Document, members, targets and peers, request_router_targets.cpp.
  void apply_service(const service_spec& spec);
  void apply_workers(const environment_document& document);
  void apply_teams(const environment_document& document);
  void remove_retired();
  void refuse_removed_classes();
  void recompute_homes();
  void update_set_aside_limit(routed_service& service);
  void feed_health(routed_service& service, const target_health_event& event);
  void apply_load(routed_peer& peer, const routing::load_report& load);
  void update_leaving();
  void lose_peer(routed_peer& peer);
  void drop_oldest_lost_peer();
  [[nodiscard]] routed_peer* known_peer(const vm_id& vm, incarnation vm_incarnation);
  [[nodiscard]] bool target_open(const routed_target& target) const;
  [[nodiscard]] static int free_slots(const routed_target& target);
  [[nodiscard]] int idle_slots(const routed_service& service) const;
  [[nodiscard]] routing::service_load service_report(const routed_service& service) const;
  [[nodiscard]] routing::load_report partial_report(const routed_service& service);
  void reply(const detail::forward_source& source, routed_service* service, routing::answer_peer answer);
  void fill_replies();
  [[nodiscard]] std::vector<worker_id> leaving_targets() const;
  void report_load();
  void send_load(std::optional<vm_id> to);
  [[nodiscard]] bool homes_held() const;

  // Life of one request, request_router_work.cpp.
  work& add_work(routing::request_content content, routed_class& request_class, detail::routed_team* team);
  void erase_work(work& item);
  void set_timer(work& item, instant at);
  void refuse_arrival(const routing::request_arrived& event, const std::string& reason, bool overload);
  [[nodiscard]] bool attach_to_running(const routing::request_arrived& event, const std::string& key);
  void ask_intent(work& item);
  void admit(work& item);
  [[nodiscard]] std::optional<std::string> admission_refusal(const work& item);
  [[nodiscard]] static work* less_urgent_of_team(const work& item);
  void enqueue(work& item);
  void unqueue(work& item);
  void finish(work& item, const outcome& result, int status, const routing::shared_body& body);
  void end_without_answer(work& item, const std::string& reason, std::optional<duration> retry_after);
  void end_forwarded(work& item, routing::forward_result result, const std::string& reason,
                     std::optional<worker_id> target);
  void keep_for_late_answer(work& item);
  void attempt_answered(work& item, int status, const routing::shared_body& body,
                        std::optional<worker_id> target);
  void attempt_failed(work& item, bool maybe_ran, std::optional<worker_id> target, const std::string& reason);
  [[nodiscard]] bool may_send_again(const work& item) const;
  void forward_refused(work& item);
  void deadline_passed(work& item);
  void cancel_local_calls(work& item);
  void cancel(routing::target_call_id id, detail::target_call& call, const routed_class* request_class);
  void release_slot(routed_target& target);
  void hold_slot(routed_target& target, instant until);
  void hedge(work& item);
  void answer(request_id caller, const outcome& result, int status, const routing::shared_body& body);
  [[nodiscard]] verdict unsent_verdict(const work& item) const;
  [[nodiscard]] work* find_work(std::uint64_t number);
  static void remove_attempt(work& item, bool forwarded, std::uint64_t id);
  static void observe_attempt_time(routed_class& request_class, duration time);

  // Choice of targets and peers, request_router_dispatch.cpp.
  void dispatch(routed_service& service);
  void dispatch_dirty();
  [[nodiscard]] work* next_work(routed_service& service, int max_rank, bool own_only);
  [[nodiscard]] work* next_of_short_teams(routed_service& service, int max_rank);
  /// The next request of teams that `wanted` accepts; refuses those with too little time left.
  template <class Predicate>
  [[nodiscard]] work* next_of_class(routed_class& request_class, const Predicate& wanted);
  void find_flooding_teams(routed_service& service) const;
  [[nodiscard]] static duration arrival_window(const routed_class& request_class);
  [[nodiscard]] bool too_near_deadline(const work& item) const;
  [[nodiscard]] routed_target* pick_target(const routed_service& service, const work& item) const;
  [[nodiscard]] bool trial_fits(const routed_target& target, const work& item) const;
  [[nodiscard]] routed_peer* pick_peer(const routed_service& service);
  [[nodiscard]] routed_peer* pick_yielding_peer(const routed_service& service, const work& item);
  [[nodiscard]] bool yields_to(const routed_service& service, const work& item) const;
  [[nodiscard]] static int prefetch_slots(const routed_service& service);
  void send(work& item, routed_target& target);
  void forward(work& item, routed_peer& peer, bool pulled);
  void count_send(work& item);
  void pull(routed_service& service);
  /// What waits here, seen as a bid for slots: work with a lower bid is served first.
  struct queue_bid {
    int rank{0};
    bool long_teams{false};  ///< Only teams with long queues wait in this rank.
    int length{0};
    friend bool operator==(const queue_bid&, const queue_bid&) = default;
  };
  [[nodiscard]] static queue_bid bid_of(const std::vector<routing::rank_queue>& queues);
  void pull_from(routed_service& service, routed_peer& peer, int count, const queue_bid& bid);
  [[nodiscard]] int outstanding_pulls(const routed_service& service);

  void run_timers();
  void check_drained();
  void add_wake(instant at) { timers_.insert({at, detail::timer_kind::wake, 0}); }
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
  /// Answers to peers of this event: their load is filled in after the dispatch, because the slot
  /// that an answer freed is often used again at once.
  std::vector<std::pair<std::size_t, routed_service*>> replies_;

  std::shared_ptr<const environment_document> document_;
  std::map<service_id, std::unique_ptr<routed_service>> services_;
  absl::flat_hash_map<service_id, routed_service*> service_index_;
  std::map<worker_id, std::unique_ptr<routed_target>> targets_;
  absl::node_hash_map<team_id, detail::routed_team> teams_;
  int next_team_{0};
  std::vector<routing::member> members_;
  bool self_is_member_{false};
  std::map<vm_id, std::unique_ptr<routed_peer>> peers_;

  absl::flat_hash_map<std::uint64_t, std::unique_ptr<work>> works_;
  absl::flat_hash_map<request_id, std::uint64_t> callers_;
  absl::flat_hash_map<request_id, instant> caller_deadlines_;  ///< Of attached callers only.
  absl::flat_hash_map<std::string, std::uint64_t> attach_;
  absl::flat_hash_map<request_id, std::uint64_t> intents_waiting_;
  absl::flat_hash_map<routing::target_call_id, detail::target_call> calls_;
  absl::flat_hash_map<routing::forward_id, detail::sent_forward> forwards_;
  absl::flat_hash_map<std::uint64_t, routed_target*> held_slots_;
  std::deque<std::uint64_t> late_;  ///< Oldest first; may name works that are gone.
  std::size_t late_count_{0};
  absl::btree_set<detail::timer> timers_;
  retry_budget retries_;
  retry_budget hedges_;

  std::uint64_t next_work_{1};
  std::uint64_t next_order_{1};
  std::uint64_t next_call_{1};
  std::uint64_t next_forward_{1};
  std::uint64_t next_lost_{1};
  std::uint64_t next_hold_{1};
  std::uint64_t load_sequence_{0};
  std::optional<instant> last_report_;
  bool report_due_{false};
  std::optional<instant> draining_since_;
  bool drained_{false};
};

}  // namespace rhubarbpath

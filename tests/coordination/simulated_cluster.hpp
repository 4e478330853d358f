#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "rhubarbpath/coordination/config_distributor.hpp"
#include "rhubarbpath/coordination/intent_registry.hpp"
#include "rhubarbpath/coordination/membership.hpp"
#include "rhubarbpath/coordination/view_keeper.hpp"
#include "rhubarbpath/state/random.hpp"

namespace rhubarbpath::test {

constexpr duration milliseconds(std::int64_t count) {
  return duration{count * 1000};
}
constexpr duration seconds(std::int64_t count) {
  return duration{count * 1'000'000};
}

using wire_message = std::variant<peer::heartbeat, intent_message, peer::fetch_document, peer::document>;

/// The components of one entry VM and the state of its simulated process.
struct node {
  explicit node(std::uint64_t seed) : random{seed} {}
  random_source random;
  member_info info;
  bool up{false};
  instant frozen_until{};
  std::vector<std::function<void()>> deferred_events;  ///< Events that arrived while the process was frozen.
  std::optional<membership> members;
  std::optional<view_keeper> views;
  std::optional<config_distributor> config;
  std::optional<intent_registry> intents;
  std::vector<live_member> live;
  bool draining{false};
  std::optional<instant> deadline;  ///< Earliest deadline of the components; unset after an event.
};

/// A caller's request and its answer, recorded for the checks.
struct caller_request {
  idempotency_key key;
  std::size_t node_index{0};
  incarnation process;
  instant arrived{};
  instant deadline{};
  std::optional<verdict> answered;
};

/// Simulates nodes that are connected by an in-memory message queue, and a store. The seed determines all
/// random faults.
class simulated_cluster {
 public:
  explicit simulated_cluster(std::size_t count, std::uint64_t seed);

  void start(std::size_t index);
  void crash(std::size_t index) { nodes_[index]->up = false; }
  void freeze(std::size_t index, duration length);
  void drain(std::size_t index);
  /// Nodes in different groups cannot reach each other.
  void partition(std::vector<int> groups) { groups_ = std::move(groups); }
  void promote();
  void request(std::size_t index, idempotency_key key, bool first_attempt, duration deadline);
  void run_for(duration length);
  void heal();

  [[nodiscard]] node& at(std::size_t index) { return *nodes_[index]; }
  [[nodiscard]] std::size_t size() const { return nodes_.size(); }
  [[nodiscard]] instant now() const { return now_; }
  [[nodiscard]] bool running(std::size_t index) const {
    return nodes_[index]->up && nodes_[index]->frozen_until <= now_;
  }
  [[nodiscard]] std::set<vm_id> expected_live() const;
  [[nodiscard]] static std::set<vm_id> live_vms(const node& current_node);
  /// The next four functions return true if every running node has, in this order: the expected live
  /// list, the expected view, the newest document, and all ranges of which it is a registrar.
  [[nodiscard]] bool live_lists_agree() const;
  [[nodiscard]] bool views_agree() const;
  [[nodiscard]] bool documents_are_newest() const;
  [[nodiscard]] bool ranges_are_ready() const;

  // Faults.
  double loss{0};
  double duplication{0};
  duration max_delay{milliseconds(2)};
  bool store_down{false};
  double lost_answers{0};
  double stale_reads{0};
  double silent_watches{0};
  std::vector<bool> isolated_from_store;
  // Maximum duration of a dispatch. The VM holds the key until the dispatch ends.
  duration max_dispatch_time{milliseconds(300)};

  // Observations. Every violated invariant is described in `violations`.
  std::vector<std::string> violations;
  std::map<idempotency_key, int> dispatch_counts;
  std::map<idempotency_key, instant> dispatched_at;
  std::map<request_id, caller_request> requests;
  std::map<verdict, int> verdicts;
  int late_not_run{0};  ///< Number of `not_run` answers for keys that were dispatched later.
  std::size_t store_calls{0};
  std::size_t messages{0};

 private:
  struct waiting_watch {
    std::size_t node;
    incarnation process;
    call_id call;
    store_watch watch;
    instant until;
    bool silent;
  };
  template <class Event>
  void handle_event(std::size_t index, const Event& event);
  template <class Action>
  void execute_all(std::size_t index, const std::vector<Action>& actions);
  void execute(std::size_t index, const send_heartbeat& action);
  void execute(std::size_t index, const live_list_changed& action);
  void execute(std::size_t index, const staleness_changed& action);
  void execute(std::size_t index, const superseded& action);
  void execute(std::size_t index, const view_adopted& action);
  void execute(std::size_t index, const send_fetch& action);
  void execute(std::size_t index, const send_document& action);
  void execute(std::size_t index, const document_adopted& action);
  void execute(std::size_t index, const document_conflict& action);
  void execute(std::size_t index, const send_intent_message& action);
  void execute(std::size_t index, const dispatch_permitted& action);
  void execute(std::size_t index, const intent_answered& action);
  void call_store(std::size_t index, bool for_view, const store_row_call& action);
  void answer_store(std::size_t index, incarnation process, bool for_view, call_id call,
                    store_response response);
  store_response apply(const store_request& request);
  void answer_watches();
  void send(std::size_t from, const vm_id& to, std::optional<incarnation> process, wire_message message);
  void deliver(std::size_t to, const member_id& from, const wire_message& message);
  void update_status(std::size_t index);
  void run_after(duration delay, std::function<void()> action) {
    queue_.emplace(now_ + delay, std::move(action));
  }
  void run_on_process(std::size_t index, incarnation process, const std::function<void()>& action);
  [[nodiscard]] std::size_t index_of(const vm_id& vm) const { return index_.at(vm); }
  [[nodiscard]] bool chance(double probability) { return random_.fraction() < probability; }

  random_source random_;
  instant now_{seconds(1000)};
  std::multimap<instant, std::function<void()>> queue_;
  std::vector<std::unique_ptr<node>> nodes_;
  std::map<vm_id, std::size_t> index_;
  std::vector<int> groups_;
  std::uint64_t next_incarnation_{1};
  std::uint64_t next_request_{1};
  std::uint64_t next_revision_{1};
  std::map<std::string, std::vector<store_row>> rows_;  ///< All revisions of each row.
  std::vector<waiting_watch> watches_;
  std::map<view_number, std::vector<member_info>> views_seen_;
  std::map<member_id, document_version> versions_;
  std::map<member_id, view_number> view_numbers_;
};

}  // namespace rhubarbpath::test

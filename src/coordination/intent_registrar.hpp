#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "rhubarbpath/coordination/intent_registry.hpp"

namespace rhubarbpath::detail {

using intent_actions = std::vector<intent_registry_action>;

/// The registrar role: holds intents and moves key ranges between views.
///
/// Invariant: a ready registrar of a range in view n holds every key that was dispatched with
/// acknowledgements of a view below n, unless its lifetime is over or the range is tainted.
class intent_registrar {
 public:
  explicit intent_registrar(const intent_registry::options& opts);

  void on_message(const member_id& from, const intent_message& message, instant now, intent_actions& out);
  void adopt(const view& adopted, instant now, intent_actions& out);
  void set_live(const std::vector<live_member>& members, instant now);
  void set_vm_list(const std::vector<vm_hint>& vms);
  /// Acknowledges nothing before `until`.
  void fence(instant until);
  void tick(instant now, intent_actions& out);

  [[nodiscard]] bool busy() const noexcept { return !pending_.empty(); }
  [[nodiscard]] std::size_t untransferred_ranges() const;
  [[nodiscard]] std::size_t intents() const noexcept { return intents_; }
  [[nodiscard]] std::size_t owned_ranges() const;
  [[nodiscard]] std::size_t ready_ranges() const;

 private:
  struct intent {
    peer::dispatch_id dispatch;
    peer::intent_state state{peer::intent_state::recorded};
    instant expires{};
    peer::kept_answer answer;
    std::vector<peer::dispatch_id> waiters;  ///< Records of other dispatches that wait for the outcome.
  };
  enum class phase { none, pending, ready };
  /// Where a pending range comes from: the registrars of the latest view that may have dispatched.
  struct range_source {
    view_number number;
    std::vector<member_info> registrars;
    std::vector<member_id> unable;  ///< Registrars that answered that they do not hold the range.
  };
  struct range_state {
    phase state{phase::none};
    /// Latest view in which this VM was ready for the range; zero for none.
    view_number ready_in;
    bool dropped{false};     ///< The intents were dropped after the new registrars confirmed them.
    view_number pending_in;  ///< Latest view in which this VM waited for the range from `source`.
    instant tainted_until{};
    range_source source;
    std::optional<member_info> asked;  ///< The VM that sends the range.
    idempotency_key cursor;
    std::size_t next_candidate{0};
    instant next_ask{};
    instant next_check{};
    duration ask_wait{};  ///< Grows while no source answers with the range.
    std::optional<instant> gone_since;
    view_number confirmed_view;
    std::vector<member_id> confirmed;  ///< Registrars of `confirmed_view` that hold the range.
    absl::btree_map<idempotency_key, intent> intents;
  };
  struct expiry {
    instant at{};
    std::uint32_t range{0};
    idempotency_key key;
    friend bool operator>(const expiry& left, const expiry& right) { return left.at > right.at; }
  };

  void on(const member_id& from, const peer::record_intent& message, instant now, intent_actions& out);
  void on(const member_id& from, const peer::withdraw_intent& message, instant now, intent_actions& out);
  void on(const member_id& from, const peer::finish_intent& message, instant now, intent_actions& out);
  void on(const member_id& from, const peer::transfer_intents& message, instant now, intent_actions& out);
  void on(const member_id& from, const peer::intent_answer& message, instant now, intent_actions& out);

  /// Status for a key that this VM holds no intent for; records it when it acknowledges.
  peer::intent_status record_new(range_state& range, const peer::record_intent& message, instant now);
  void answer_held(intent& held, const peer::record_intent& message, const range_state& range, instant now,
                   peer::intent_answer& answer);
  void release_waiters(intent& held, const idempotency_key& key, intent_actions& out) const;
  void keep(std::uint32_t range, const idempotency_key& key, intent& held, peer::kept_answer answer);
  void insert(std::uint32_t range, const idempotency_key& key, intent value);
  void erase(range_state& range, absl::btree_map<idempotency_key, intent>::iterator it);
  void bound_kept_bytes();
  void bound_expiries();
  void expire(instant now);

  void enter_range(std::uint32_t index, instant now, intent_actions& out);
  void announce_held(std::uint32_t index, const registrar_pair& before, intent_actions& out);
  /// The latest view below `below` in which the range may have been used. A view in which this VM was
  /// a registrar that never became ready is passed over: nothing can have been dispatched in it.
  [[nodiscard]] range_source trace_source(std::uint32_t index, view_number below);
  /// Nothing for a view before the known changes.
  [[nodiscard]] const std::optional<registrar_table>& table_at(view_number number);
  [[nodiscard]] registrar_pair current_registrars(std::uint32_t index);
  [[nodiscard]] static bool has_range(const range_state& range, view_number used);
  void become_ready(std::uint32_t index, intent_actions& out);
  void become_tainted(std::uint32_t index, instant now, intent_actions& out);
  void drive(std::uint32_t index, instant now, intent_actions& out);
  [[nodiscard]] std::vector<member_info> candidates(std::uint32_t index);
  void ask(std::uint32_t index, instant now, intent_actions& out);
  /// Asks again as soon as possible, because a source may have become available.
  void restart_asking(std::uint32_t index, instant now);
  void on_request(const member_id& from, const peer::transfer_intents& message, instant now,
                  intent_actions& out);
  void on_entries(const peer::transfer_intents& message, instant now, intent_actions& out);
  void on_redirect(const peer::transfer_intents& message, instant now, intent_actions& out);
  void on_completed(const member_id& from, const peer::transfer_intents& message);
  /// Drops a range that this VM left once all registrars of the current view hold it.
  void drop_if_confirmed(std::uint32_t index);
  [[nodiscard]] peer::transfer_intents make_part(const peer::transfer_intents& request, instant now) const;
  /// False when the entry does not fit.
  bool merge(std::uint32_t index, const peer::intent_entry& entry, instant now);
  [[nodiscard]] bool sources_gone(const range_source& source) const;
  [[nodiscard]] bool superseded(const member_id& id) const;
  [[nodiscard]] bool others_cannot_acknowledge(const range_source& source);
  [[nodiscard]] bool serves(const range_state& range, instant now) const;
  void count_majority();

  const intent_registry::options& options_;
  view view_;
  bool majority_{false};  ///< The live list holds a majority of the current view.
  /// Registrars of the current view and of the older ones that were asked about.
  std::map<view_number, std::optional<registrar_table>> tables_;
  std::vector<range_state> ranges_;
  std::vector<std::uint32_t> pending_;
  absl::flat_hash_set<member_id> live_;
  absl::flat_hash_map<vm_id, incarnation> live_incarnations_;
  std::optional<absl::flat_hash_set<vm_id>> listed_;
  instant fenced_until_{};
  std::size_t intents_{0};
  std::size_t kept_bytes_{0};
  std::deque<std::pair<std::uint32_t, idempotency_key>> kept_order_;
  std::priority_queue<expiry, std::vector<expiry>, std::greater<>> expiries_;
};

}  // namespace rhubarbpath::detail

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

/// The registrar side of the intent registry: stores intents and transfers key ranges between views.
///
/// Invariant: a ready registrar of a range in view n holds every key that was dispatched with
/// acknowledgements of a view below n, unless the key has expired or the range is tainted.
class intent_registrar {
 public:
  explicit intent_registrar(const intent_registry::options& opts);

  void on_message(const member_id& from, const intent_message& message, instant now, intent_actions& out);
  void adopt(const view& adopted, instant now, intent_actions& out);
  void set_live(const std::vector<live_member>& members, instant now);
  void set_vm_list(const std::vector<vm_list_entry>& vms);
  /// Disables acknowledgements until the given time.
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
    std::vector<peer::dispatch_id> waiters;  ///< Other dispatches of the key that wait for the outcome.
  };
  enum class phase { none, pending, ready };
  /// Source of a pending range: the latest view in which keys of the range may have been dispatched, and
  /// its registrars.
  struct range_source {
    view_number number;
    std::vector<member_info> registrars;
    std::vector<member_id> unable;  ///< Registrars that answered that they do not hold the range.
  };
  struct range_state {
    phase state{phase::none};
    /// Latest view in which this VM had the range; zero for none.
    view_number ready_in;
    bool dropped{false};     ///< The intents were deleted after the new registrars confirmed them.
    view_number pending_in;  ///< Latest view in which this VM waited for the range from `source`.
    instant tainted_until{};
    range_source source;
    std::optional<member_info> requested_from;  ///< The VM that was asked for the range.
    idempotency_key cursor;
    std::size_t next_candidate{0};
    instant next_request{};
    instant next_check{};
    duration request_backoff{};  ///< Delay between requests; grows while no source sends the range.
    std::optional<instant> sources_gone_since;
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

  /// Returns the status for a key without a stored intent. Stores the intent if the status is
  /// `acknowledged`.
  peer::intent_status record_new(range_state& range, const peer::record_intent& message, instant now);
  void answer_held(intent& held, const peer::record_intent& message, const range_state& range, instant now,
                   peer::intent_answer& answer);
  void notify_waiters(intent& held, const idempotency_key& key, intent_actions& out) const;
  void store_answer(std::uint32_t range, const idempotency_key& key, intent& held, peer::kept_answer answer);
  void insert(std::uint32_t range, const idempotency_key& key, intent value);
  void erase(range_state& range, absl::btree_map<idempotency_key, intent>::iterator it);
  void limit_kept_bytes();
  void compact_expiries();
  void expire(instant now);

  void enter_range(std::uint32_t index, instant now, intent_actions& out);
  void notify_former_registrars(std::uint32_t index, const registrar_pair& before, intent_actions& out);
  /// Returns the latest view before `below` in which keys of the range may have been dispatched. Skips
  /// views in which this VM was a registrar and never became ready, because they allow no dispatch.
  [[nodiscard]] range_source find_source(std::uint32_t index, view_number below);
  /// Returns nothing for a view that is older than the known changes.
  [[nodiscard]] const std::optional<registrar_table>& table_at(view_number number);
  [[nodiscard]] registrar_pair current_registrars(std::uint32_t index);
  [[nodiscard]] static bool has_range(const range_state& range, view_number source_view);
  void become_ready(std::uint32_t index, intent_actions& out);
  void become_tainted(std::uint32_t index, instant now, intent_actions& out);
  void advance_transfer(std::uint32_t index, instant now, intent_actions& out);
  [[nodiscard]] std::vector<member_info> candidates(std::uint32_t index);
  void request_range(std::uint32_t index, instant now, intent_actions& out);
  /// Requests the range again as soon as possible, because a source may have become available.
  void reset_request_backoff(std::uint32_t index, instant now);
  void on_request(const member_id& from, const peer::transfer_intents& message, instant now,
                  intent_actions& out);
  void on_entries(const peer::transfer_intents& message, instant now, intent_actions& out);
  void on_redirect(const peer::transfer_intents& message, instant now, intent_actions& out);
  void on_completed(const member_id& from, const peer::transfer_intents& message);
  /// Deletes a range of which this VM is no longer a registrar once all registrars of the current view
  /// have it.
  void drop_if_confirmed(std::uint32_t index);
  [[nodiscard]] peer::transfer_intents make_part(const peer::transfer_intents& request, instant now) const;
  /// Returns false if the table has no room for the entry.
  bool merge(std::uint32_t index, const peer::intent_entry& entry, instant now);
  [[nodiscard]] bool sources_gone(const range_source& source) const;
  [[nodiscard]] bool has_newer_incarnation(const member_id& id) const;
  [[nodiscard]] bool others_cannot_acknowledge(const range_source& source);
  [[nodiscard]] bool serves(const range_state& range, instant now) const;
  void update_majority();

  const intent_registry::options& options_;
  view view_;
  bool has_majority_{false};  ///< The live list contains a majority of the current view.
  /// Registrars of the current view and of the older views that were looked up.
  std::map<view_number, std::optional<registrar_table>> tables_;
  std::vector<range_state> ranges_;
  std::vector<std::uint32_t> pending_;
  absl::flat_hash_set<member_id> live_;
  absl::flat_hash_map<vm_id, incarnation> live_incarnations_;
  std::optional<absl::flat_hash_set<vm_id>> listed_vms_;
  instant fenced_until_{};
  std::size_t intents_{0};
  std::size_t kept_bytes_{0};
  std::deque<std::pair<std::uint32_t, idempotency_key>> kept_order_;
  std::priority_queue<expiry, std::vector<expiry>, std::greater<>> expiries_;
};

}  // namespace rhubarbpath::detail

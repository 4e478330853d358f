#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "intent_registrar.hpp"
#include "rhubarbpath/coordination/intent_registry.hpp"

namespace rhubarbpath::detail {

enum class slot_state { unanswered, acknowledged, full, held };
/// State of one registrar of the attempt's view.
struct registrar_slot {
  slot_state state{slot_state::unanswered};
  instant next_send{};
};
/// A repeat of a request that arrived while this VM was already handling the same key.
struct duplicate_request {
  request_id id;
  instant deadline{};
};
/// A request that waits for acknowledgements or has been permitted.
struct attempt {
  request_id id;
  bool first_attempt{false};
  bool permitted{false};
  instant started{};
  instant record_deadline{};
  instant deadline{};
  std::uint64_t sequence{0};
  registrar_pair registrars;
  std::array<registrar_slot, 2> slots;
  std::vector<member_info> contacted;  ///< Registrars that may have recorded this sequence.
  std::optional<peer::dispatch_id> holder;
  bool saw_holder{false};
  std::optional<instant> holder_gone_since;
  std::vector<duplicate_request> duplicates;
};

/// The dispatcher side of the intent registry: collects acknowledgements for the requests of this VM.
///
/// Invariant: a dispatch sequence that was withdrawn is never permitted, and a permitted sequence is
/// withdrawn only after its request ended as not run.
class intent_dispatcher {
 public:
  explicit intent_dispatcher(const intent_registry::options& opts) : options_{opts} {}

  void request(const intent_requested& event, instant now, intent_actions& out);
  void end(const dispatch_ended& event, instant now, intent_actions& out);
  void on_answer(const member_id& from, const peer::intent_answer& answer, instant now, intent_actions& out);
  void adopt(const view& adopted, instant now, intent_actions& out);
  void set_live(const std::vector<live_member>& members);
  void tick(instant now, intent_actions& out);

  [[nodiscard]] bool busy() const noexcept {
    return !recording_.empty() || !deliveries_.empty() || !duplicated_.empty();
  }

 private:
  /// A `withdraw_intent` or `finish_intent` message that is resent until every registrar has answered.
  struct delivery {
    std::variant<peer::withdraw_intent, peer::finish_intent> message;
    std::vector<member_info> pending;
    std::vector<member_id> done;
    instant next_send{};
    instant expires{};
  };
  using attempt_map = absl::btree_map<idempotency_key, attempt>;
  using delivery_key = std::pair<idempotency_key, std::uint64_t>;

  void start_attempt(const idempotency_key& key, attempt new_attempt, instant now, intent_actions& out);
  void send_records(const idempotency_key& key, attempt& current, instant now, intent_actions& out);
  void permit(const idempotency_key& key, instant now, intent_actions& out);
  void on_key_held(const idempotency_key& key, attempt& current, std::size_t position,
                   const peer::intent_answer& answer, instant now);
  /// Ends an attempt that was not dispatched. The answer is `not_run` only if no VM can have dispatched
  /// the key, and `may_have_run` otherwise.
  void refuse(const idempotency_key& key, std::string_view reason, instant now, intent_actions& out);
  /// Ends an attempt with a result that also answers its duplicates.
  void resolve(const idempotency_key& key, const peer::kept_answer& answer, instant now, intent_actions& out);
  /// Removes the attempt and withdraws its sequence from registrars that may have recorded it.
  attempt remove_attempt(const idempotency_key& key, instant now);
  void restart_duplicates(const idempotency_key& key, const std::vector<duplicate_request>& duplicates,
                          instant now, intent_actions& out);
  void withdraw(const idempotency_key& key, attempt& current, instant now);
  void deliver(const delivery_key& key, delivery value, instant now);
  void send_delivery(delivery& value, instant now, intent_actions& out) const;
  void expire_duplicates(instant now, intent_actions& out);
  void check_attempt(const idempotency_key& key, instant now, intent_actions& out);
  [[nodiscard]] static bool cannot_have_run(const attempt& current);
  [[nodiscard]] peer::kept_answer may_have_run(std::string_view reason) const;
  [[nodiscard]] peer::dispatch_id dispatch_of(const attempt& current) const;

  const intent_registry::options& options_;
  view view_;
  absl::flat_hash_set<member_id> live_;
  attempt_map attempts_;
  absl::btree_set<idempotency_key> recording_;   ///< Keys of attempts that are not permitted yet.
  absl::btree_set<idempotency_key> duplicated_;  ///< Keys of attempts with duplicates.
  absl::flat_hash_map<request_id, idempotency_key> permitted_;
  absl::btree_map<delivery_key, delivery> deliveries_;
  std::size_t requests_{0};  ///< Number of attempts and duplicates.
  std::uint64_t next_sequence_{1};
};

}  // namespace rhubarbpath::detail

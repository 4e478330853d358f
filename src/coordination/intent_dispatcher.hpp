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
/// One registrar of the attempt's view.
struct registrar_slot {
  slot_state state{slot_state::unanswered};
  instant next_send{};
};
/// A repeat that arrived at this VM while the key's request was in progress here.
struct follower {
  request_id id;
  instant deadline{};
};
/// One request that waits for acknowledgements or was permitted.
struct attempt {
  request_id id;
  bool first_attempt{false};
  bool permitted{false};
  instant started{};
  instant give_up{};
  instant deadline{};
  std::uint64_t sequence{0};
  registrar_pair registrars;
  std::array<registrar_slot, 2> slots;
  std::vector<member_info> contacted;  ///< VMs that may hold this sequence.
  std::optional<peer::dispatch_id> holder;
  bool saw_holder{false};
  std::optional<instant> holder_gone_since;
  std::vector<follower> followers;
};

/// The dispatcher role: collects acknowledgements for the requests of this VM.
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
    return !recording_.empty() || !deliveries_.empty() || !followed_.empty();
  }

 private:
  /// A withdrawal or finish that is repeated until every registrar answered.
  struct delivery {
    std::variant<peer::withdraw_intent, peer::finish_intent> message;
    std::vector<member_info> pending;
    std::vector<member_id> done;
    instant next_send{};
    instant expires{};
  };
  using attempt_map = absl::btree_map<idempotency_key, attempt>;
  using delivery_key = std::pair<idempotency_key, std::uint64_t>;

  void begin(const idempotency_key& key, attempt fresh, instant now, intent_actions& out);
  void drive(const idempotency_key& key, attempt& current, instant now, intent_actions& out);
  void permit(const idempotency_key& key, instant now, intent_actions& out);
  void on_held(const idempotency_key& key, attempt& current, std::size_t position,
               const peer::intent_answer& answer, instant now);
  /// Ends an attempt that never left; `not_run` only where that is certain.
  void refuse(const idempotency_key& key, std::string_view reason, instant now, intent_actions& out);
  /// Ends an attempt with a result that also answers its followers.
  void resolve(const idempotency_key& key, const peer::kept_answer& answer, instant now, intent_actions& out);
  /// Takes the attempt out and withdraws its sequence where that may be recorded.
  attempt take(const idempotency_key& key, instant now);
  void restart_followers(const idempotency_key& key, const std::vector<follower>& followers, instant now,
                         intent_actions& out);
  void withdraw(const idempotency_key& key, attempt& current, instant now);
  void deliver(const delivery_key& key, delivery value, instant now);
  void send_delivery(delivery& value, instant now, intent_actions& out) const;
  void expire_followers(instant now, intent_actions& out);
  void check_attempt(const idempotency_key& key, instant now, intent_actions& out);
  [[nodiscard]] static bool certainly_not_run(const attempt& current);
  [[nodiscard]] peer::kept_answer may_have_run(std::string_view reason) const;
  [[nodiscard]] peer::dispatch_id dispatch_of(const attempt& current) const;

  const intent_registry::options& options_;
  view view_;
  absl::flat_hash_set<member_id> live_;
  attempt_map attempts_;
  absl::btree_set<idempotency_key> recording_;  ///< Attempts that are not permitted yet.
  absl::btree_set<idempotency_key> followed_;   ///< Attempts with followers.
  absl::flat_hash_map<request_id, idempotency_key> permitted_;
  absl::btree_map<delivery_key, delivery> deliveries_;
  std::size_t requests_{0};  ///< Attempts and followers.
  std::uint64_t next_sequence_{1};
};

}  // namespace rhubarbpath::detail

#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "rhubarbpath/coordination/membership.hpp"
#include "rhubarbpath/coordination/peer_types.hpp"
#include "rhubarbpath/coordination/view_keeper.hpp"

namespace rhubarbpath {

/// Asks for permission to dispatch a non-idempotent request from this VM.
struct intent_requested {
  request_id id;
  idempotency_key key;
  /// The caller stated that it has not sent this key before, or this VM generated the key.
  bool first_attempt{false};
  instant deadline{};
};

/// A permitted dispatch ended. `not_run` releases the key; any other result is kept to answer repeats.
struct dispatch_ended {
  request_id id;
  peer::kept_answer answer;
};

using intent_message = std::variant<peer::record_intent, peer::withdraw_intent, peer::intent_answer,
                                    peer::finish_intent, peer::transfer_intents>;

/// A message from a peer. `from` is the process at the other end of the link, as stated in its hello.
struct intent_message_received {
  member_id from;
  intent_message message;
};

struct intent_registry_tick {};

using intent_registry_event =
    std::variant<intent_requested, dispatch_ended, intent_message_received, view_adopted, live_list_changed,
                 vm_list_changed, intent_registry_tick>;

struct send_intent_message {
  member_info to;  ///< The address is empty in answers, which go to a connected peer.
  intent_message message;
};

/// The request may be sent, at most once and before `send_by`. The caller must then report
/// `dispatch_ended`.
struct dispatch_permitted {
  request_id id;
  idempotency_key key;
  instant send_by{};
};

/// The request is answered without a dispatch from this VM, because it is refused or repeats an earlier
/// one. `not_run` means that no VM had dispatched the key when the request arrived.
struct intent_answered {
  request_id id;
  peer::kept_answer answer;
};

using intent_registry_action = std::variant<send_intent_message, dispatch_permitted, intent_answered>;

namespace detail {
class intent_registrar;
class intent_dispatcher;
}  // namespace detail

/// Ensures that a request marked non-idempotent is sent at most once across all entry VMs. Every key has
/// two registrars in the current view; a dispatch needs the acknowledgements of both in the same view.
class intent_registry {
 public:
  struct options {
    member_info self;
    /// How long intents and kept answers are stored. A dispatch must end sooner.
    duration key_lifetime{900'000'000};
    /// Maximum time between the request for a dispatch and its first byte.
    duration permit_validity{60'000'000};
    /// Time after which a request without all acknowledgements is refused.
    duration record_timeout{2'000'000};
    duration retry_interval{100'000};
    /// Interval at which a repeat polls for the outcome of the dispatch that holds its key.
    duration poll_interval{500'000};
    /// How long the dispatcher that holds a key may be absent from the live list before the outcome of
    /// its dispatch counts as unknown.
    duration holder_grace_period{2'000'000};
    /// Delay after which a refused caller should try again. A view change takes at most 3 s.
    duration retry_after{1'000'000};
    /// How long a withdrawal rejects a delayed `record_intent` of the same dispatch.
    duration withdrawal_lifetime{60'000'000};
    /// A longer gap between two events counts as a pause of this process.
    duration pause_threshold{1'200'000};
    /// After a pause, a registrar acknowledges nothing for this long, so that its live list is up to
    /// date again.
    duration pause_fence_duration{5'000'000};
    /// How long both registrars of a range are absent before it is tainted. Exceeds the time in which a
    /// registrar that is partitioned from the majority detects this and stops acknowledging.
    duration taint_delay{10'000'000};
    std::size_t max_intents{100'000};        ///< Intents stored as a registrar.
    std::size_t max_kept_bytes{16'000'000};  ///< Bodies of kept answers stored as a registrar.
    std::size_t max_requests{20'000};        ///< Requests and unanswered messages stored as a dispatcher.
  };

  explicit intent_registry(options opts);
  intent_registry(const intent_registry&) = delete;
  intent_registry(intent_registry&&) noexcept;
  intent_registry& operator=(const intent_registry&) = delete;
  intent_registry& operator=(intent_registry&&) noexcept;
  ~intent_registry();

  void handle(const intent_registry_event& event, instant now, std::vector<intent_registry_action>& out);
  [[nodiscard]] std::optional<instant> next_deadline() const;

  /// Number of ranges that this VM held before it left the view and whose new registrars have not
  /// confirmed them. A draining process exits when this is zero, or at the end of its drain time.
  [[nodiscard]] std::size_t untransferred_ranges() const;
  /// Number of intents stored as a registrar.
  [[nodiscard]] std::size_t intents() const;
  /// Number of ranges of which this VM is a registrar in its view, and number of those that it has
  /// received.
  [[nodiscard]] std::size_t owned_ranges() const;
  [[nodiscard]] std::size_t ready_ranges() const;

 private:
  void receive(const intent_message_received& event, instant now, std::vector<intent_registry_action>& out);
  /// Removes the messages to this VM from `out`, starting at index `first`, and handles them locally.
  void deliver_to_self(std::size_t first, instant now, std::vector<intent_registry_action>& out);

  std::unique_ptr<const options> options_;
  std::unique_ptr<detail::intent_registrar> registrar_;
  std::unique_ptr<detail::intent_dispatcher> dispatcher_;
  instant last_event_{};
  instant next_tick_{};
};

}  // namespace rhubarbpath

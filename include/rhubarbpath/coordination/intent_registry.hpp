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

/// A non-idempotent request wants to be dispatched from this VM.
struct intent_requested {
  request_id id;
  idempotency_key key;
  /// The caller stated that it never sent this key, or this VM made the key.
  bool first_attempt{false};
  instant deadline{};
};

/// A permitted dispatch ended. `not_run` frees the key; any other result is kept for repeats.
struct dispatch_ended {
  request_id id;
  peer::kept_answer answer;
};

using intent_message = std::variant<peer::record_intent, peer::withdraw_intent, peer::intent_answer,
                                    peer::finish_intent, peer::transfer_intents>;

/// A message from a peer. `from` is the process at the other end of the link, from its hello.
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

/// The request may leave, at most once and before `send_by`. `dispatch_ended` must follow.
struct dispatch_permitted {
  request_id id;
  idempotency_key key;
  instant send_by{};
};

/// The request is answered without a dispatch from this VM: refused, or a repeat of an earlier one.
/// `not_run` means that the key had not left any VM when the request arrived.
struct intent_answered {
  request_id id;
  peer::kept_answer answer;
};

using intent_registry_action = std::variant<send_intent_message, dispatch_permitted, intent_answered>;

namespace detail {
class intent_registrar;
class intent_dispatcher;
}  // namespace detail

/// Lets a request marked non-idempotent leave at most once across all entry VMs. Every key has two
/// registrars in the current view; a dispatch needs the acknowledgement of both in one view.
class intent_registry {
 public:
  struct options {
    member_info self;
    /// Intents and kept answers live this long. A dispatch must end sooner.
    duration key_lifetime{900'000'000};
    /// Longest time between the request for a dispatch and its first byte.
    duration permit_validity{60'000'000};
    /// Time after which an incomplete set of acknowledgements is given up.
    duration record_patience{2'000'000};
    duration retry_interval{100'000};
    /// Interval at which a repeat asks for the outcome of the dispatch that holds its key.
    duration poll_interval{500'000};
    /// How long a dispatcher may be absent from the live list before its outcome is given up.
    duration holder_grace{2'000'000};
    /// Time a caller should wait after a refusal: a view change takes at most 3 s.
    duration retry_after{1'000'000};
    /// How long a withdrawal rejects a delayed record of the same dispatch.
    duration withdrawal_lifetime{60'000'000};
    /// A gap between two events above this counts as a pause of this process.
    duration pause_threshold{1'200'000};
    /// A paused registrar acknowledges nothing for this long, until its live list is true again.
    duration pause_fence{5'000'000};
    /// Absence of both registrars after which a range is tainted. Exceeds the time in which a
    /// registrar that is cut off from the majority notices and stops acknowledging.
    duration taint_delay{10'000'000};
    std::size_t max_intents{100'000};        ///< Intents held as a registrar.
    std::size_t max_kept_bytes{16'000'000};  ///< Bodies of kept answers held as a registrar.
    std::size_t max_requests{20'000};        ///< Requests and unanswered messages held as a dispatcher.
  };

  explicit intent_registry(options opts);
  intent_registry(const intent_registry&) = delete;
  intent_registry(intent_registry&&) noexcept;
  intent_registry& operator=(const intent_registry&) = delete;
  intent_registry& operator=(intent_registry&&) noexcept;
  ~intent_registry();

  void handle(const intent_registry_event& event, instant now, std::vector<intent_registry_action>& out);
  [[nodiscard]] std::optional<instant> next_deadline() const;

  /// Ranges that this VM held before it left the view and that the new registrars have not confirmed.
  /// A draining process exits when this is zero, or when its patience ends.
  [[nodiscard]] std::size_t untransferred_ranges() const;
  /// Intents held as a registrar.
  [[nodiscard]] std::size_t intents() const;
  /// Ranges of which this VM is a registrar in its view, and those of them that it serves.
  [[nodiscard]] std::size_t owned_ranges() const;
  [[nodiscard]] std::size_t ready_ranges() const;

 private:
  void receive(const intent_message_received& event, instant now, std::vector<intent_registry_action>& out);
  /// Handles the messages from `first` on that this VM sent to itself.
  void deliver_to_self(std::size_t first, instant now, std::vector<intent_registry_action>& out);

  std::unique_ptr<const options> options_;
  std::unique_ptr<detail::intent_registrar> registrar_;
  std::unique_ptr<detail::intent_dispatcher> dispatcher_;
  instant last_event_{};
  instant next_tick_{};
};

}  // namespace rhubarbpath

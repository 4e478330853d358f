#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "rhubarbpath/coordination/tick.hpp"
#include "rhubarbpath/state/ids.hpp"
#include "rhubarbpath/state/random.hpp"
#include "rhubarbpath/state/store.hpp"
#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath {

/// Order in which waiting calls are sent; the first is the most urgent.
enum class store_priority { lease, log, read, background };

/// A call that a part wants made. The session assigns the `write_id` of a put.
struct store_call {
  call_id id;  ///< Unique within the process until its result was delivered.
  store_request request;
  store_priority priority{store_priority::read};
  /// After this interval the session stops retrying and delivers the last failure. Zero retries until
  /// the call is cancelled.
  duration retry_for{};
};

/// Withdraws a call. No result follows; a put that was already sent may still take effect.
struct store_call_cancelled {
  call_id id;
};

/// The transport's answer to one `store_send`. A time-out or a broken connection after the first byte
/// is `store_failure::unknown`; a refused connection is `store_failure::unavailable`.
struct store_answered {
  call_id sent;
  store_response response;
};

/// Asks the transport to send one request; it must report `unknown` after `timeout` at the latest.
struct store_send {
  call_id sent;  ///< Differs from `store_call::id`; each retry and read-back has its own.
  store_request request;
  duration timeout{};
};

/// The settled result of a `store_call`.
///
/// `store_written` means that this very write took effect, also when its answer was lost.
/// `store_failure::conflict` means that the key holds another write. `store_failure::unknown` is delivered
/// for a put only when `retry_for` ran out before the read-back settled it, or when a repeat was invalid.
struct store_call_result {
  call_id id;
  store_response response;
  /// After a conflict: how long to wait before repeating a call on this key; bounded and jittered.
  duration wait{};
};

using store_session_event = std::variant<store_call, store_call_cancelled, store_answered, tick>;
using store_session_action = std::variant<store_send, store_call_result>;

/// All store calls of one process.
///
/// Keeps the calls in flight within bounds, settles writes whose answer was lost by reading them back, and
/// waits separately for conflicts, the rate limit and outages. During an outage a single call probes the
/// store; afterwards the number of calls in flight doubles with each success, so that many processes that
/// wait for the store do not overload it when it returns.
class store_session {
 public:
  struct options {
    vm_id owner;
    incarnation owner_incarnation;  ///< With `owner` makes write ids unique across processes.
    std::size_t max_in_flight{16};  ///< Watches are counted apart.
    std::size_t max_watches{64};
    std::size_t max_background_in_flight{2};
    duration call_timeout{1'000'000};
    duration conflict_wait{20'000};  ///< First wait; doubles up to the limit below.
    duration max_conflict_wait{1'000'000};
    duration limited_wait{200'000};
    duration max_limited_wait{5'000'000};
    duration outage_wait{100'000};
    duration max_outage_wait{2'000'000};
    /// Lost answers in a row that count as an outage; a single one may be chance.
    int lost_answers_for_outage{3};
  };

  store_session(options opts, random_source& random);
  void handle(const store_session_event& event, instant now, std::vector<store_session_action>& out);
  [[nodiscard]] std::optional<instant> next_deadline() const;

  /// True from the first failed call to reach the store until a call succeeds.
  [[nodiscard]] bool in_outage() const noexcept { return outage_failures_ > 0; }
  [[nodiscard]] std::size_t in_flight() const noexcept { return sent_.size(); }
  [[nodiscard]] std::size_t pending() const noexcept { return calls_.size(); }
  /// Requests sent since the start, for the store's call count.
  [[nodiscard]] std::uint64_t sends() const noexcept { return sends_; }

 private:
  enum class phase { waiting, sent, waiting_to_read_back, reading_back };
  struct pending_call {
    store_call call;
    phase at{phase::waiting};
    instant give_up{};  ///< Meaningful when `call.retry_for` is not zero.
    instant not_before{};
    bool write_in_doubt{false};  ///< An earlier send of this put may have taken effect.
    store_failure last_failure{store_failure::unavailable};
    call_id sent;
  };
  struct sent_request {
    call_id call;
    instant deadline;
    bool watch{false};
    store_priority priority{store_priority::read};
  };

  void on(const store_call& call, instant now, std::vector<store_session_action>& out);
  void on(const store_call_cancelled& cancelled, instant now, std::vector<store_session_action>& out);
  void on(const store_answered& answered, instant now, std::vector<store_session_action>& out);
  void on(const tick& event, instant now, std::vector<store_session_action>& out);
  void settle(pending_call& pending, const store_response& response, instant now,
              std::vector<store_session_action>& out);
  void settle_read_back(pending_call& pending, const store_response& response, instant now,
                        std::vector<store_session_action>& out);
  void settle_failure(pending_call& pending, store_failure failure, instant now,
                      std::vector<store_session_action>& out);
  void deliver(call_id id, const store_response& response, duration wait,
               std::vector<store_session_action>& out);
  void expire(instant now, std::vector<store_session_action>& out);
  void send_ready(instant now, std::vector<store_session_action>& out);
  void send(pending_call& pending, instant now, std::vector<store_session_action>& out);
  [[nodiscard]] bool may_send(const pending_call& pending, instant now) const;
  void note_reached();
  void note_outage(instant now);
  void note_limited(instant now);
  void give_up(pending_call& pending, std::vector<store_session_action>& out);
  [[nodiscard]] duration conflict_wait(const std::string& key);
  [[nodiscard]] std::size_t in_flight_calls(bool watches) const;

  options options_;
  random_source* random_;
  std::map<call_id, pending_call> calls_;
  std::map<call_id, sent_request> sent_;
  std::map<std::string, int> conflicts_;  ///< Consecutive conflicts per key.
  std::uint64_t next_send_{1};
  std::uint64_t next_write_{1};
  std::uint64_t write_prefix_{0};
  std::uint64_t sends_{0};
  std::size_t window_{0};   ///< Calls now permitted in flight; at most `max_in_flight`.
  int outage_failures_{0};  ///< Consecutive; zero outside an outage.
  int lost_answers_{0};     ///< Consecutive; several of them count as an outage.
  int limited_failures_{0};
  instant outage_until_{};
  instant limited_until_{};
  instant last_now_{};
};

}  // namespace rhubarbpath

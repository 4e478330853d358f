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

/// Order in which queued calls are sent; `lease` has the highest priority.
enum class store_priority { lease, log, read, background };

/// A store operation that a component requests. The session assigns the `write_id` of a put.
struct store_call {
  call_id id;  ///< Unique within the process until the result is delivered.
  store_request request;
  store_priority priority{store_priority::read};
  /// Retry time limit. When it expires, the session delivers the last failure. Zero means that the session
  /// retries until the call is cancelled.
  duration retry_for{};
};

/// Cancels a call. No result is delivered; a put that was already sent may still take effect.
struct store_call_cancelled {
  call_id id;
};

/// The transport's response to one `store_send`. A timeout, or a connection that breaks after the first byte
/// was sent, is `store_failure::unknown`; a refused connection is `store_failure::unavailable`.
struct store_answered {
  call_id sent;
  store_response response;
};

/// Asks the transport to send one request. The transport must report `unknown` within `timeout` if there is
/// no response.
struct store_send {
  /// Identifies one attempt: differs from `store_call::id`, and each retry and read-back gets a new one.
  call_id sent;
  store_request request;
  duration timeout{};
};

/// The final result of a `store_call`.
///
/// `store_written` means that this write took effect, even if the response to it was lost.
/// `store_failure::conflict` means that the key holds a different write. A put results in
/// `store_failure::unknown` only if `retry_for` expired before a read-back determined the outcome, or if a
/// retry was rejected as invalid.
struct store_call_result {
  call_id id;
  store_response response;
  /// After a conflict: backoff before the next call on this key, bounded and jittered.
  duration wait{};
};

using store_session_event = std::variant<store_call, store_call_cancelled, store_answered, tick>;
using store_session_action = std::variant<store_send, store_call_result>;

/// Schedules, retries and resolves all store calls of one process.
///
/// The session limits the number of calls in flight, resolves writes whose response was lost by reading the
/// key back, and applies separate backoffs to conflicts, rate limiting and outages. During an outage a
/// single call probes the store. After the outage the limit on calls in flight starts at one and doubles
/// with each success, so that many processes do not overload the store when it becomes available again.
class store_session {
 public:
  struct options {
    vm_id owner;
    incarnation owner_incarnation;  ///< Together with `owner`, makes write ids unique across processes.
    std::size_t max_in_flight{16};  ///< Does not include watches.
    std::size_t max_watches{64};
    std::size_t max_background_in_flight{2};
    duration call_timeout{1'000'000};
    duration conflict_wait{20'000};  ///< Initial backoff; doubles up to `max_conflict_wait`.
    duration max_conflict_wait{1'000'000};
    duration limited_wait{200'000};
    duration max_limited_wait{5'000'000};
    duration outage_wait{100'000};
    duration max_outage_wait{2'000'000};
    /// Consecutive calls without a response that count as an outage. A single lost response does not indicate
    /// one.
    int lost_answers_for_outage{3};
  };

  store_session(options opts, random_source& random);
  void handle(const store_session_event& event, instant now, std::vector<store_session_action>& out);
  [[nodiscard]] std::optional<instant> next_deadline() const;

  /// True from the first call that fails to reach the store until the store responds again.
  [[nodiscard]] bool in_outage() const noexcept { return outage_failures_ > 0; }
  [[nodiscard]] std::size_t in_flight() const noexcept { return sent_.size(); }
  [[nodiscard]] std::size_t pending() const noexcept { return calls_.size(); }
  /// Number of requests sent since the session was created, for the store call metric.
  [[nodiscard]] std::uint64_t sends() const noexcept { return sends_; }

 private:
  enum class phase { waiting, sent, waiting_to_read_back, reading_back };
  struct pending_call {
    store_call call;
    phase at{phase::waiting};
    instant retry_until{};  ///< Only used if `call.retry_for` is not zero.
    instant not_before{};
    bool write_in_doubt{false};  ///< An earlier attempt of this put may have taken effect.
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
  void handle_response(pending_call& pending, const store_response& response, instant now,
                       std::vector<store_session_action>& out);
  void handle_read_back(pending_call& pending, const store_response& response, instant now,
                        std::vector<store_session_action>& out);
  void handle_failure(pending_call& pending, store_failure failure, instant now,
                      std::vector<store_session_action>& out);
  void deliver(call_id id, const store_response& response, duration wait,
               std::vector<store_session_action>& out);
  void expire(instant now, std::vector<store_session_action>& out);
  void send_ready(instant now, std::vector<store_session_action>& out);
  void send(pending_call& pending, instant now, std::vector<store_session_action>& out);
  [[nodiscard]] bool may_send(const pending_call& pending, instant now) const;
  void record_store_reached();
  void record_outage(instant now);
  void record_rate_limit(instant now);
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
  std::size_t window_{0};   ///< Current limit on calls in flight; at most `max_in_flight`.
  int outage_failures_{0};  ///< Consecutive failures to reach the store; zero outside an outage.
  int lost_answers_{0};     ///< Consecutive; compared with `lost_answers_for_outage`.
  int limited_failures_{0};
  instant outage_until_{};
  instant limited_until_{};
  instant last_now_{};
};

}  // namespace rhubarbpath

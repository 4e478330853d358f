#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "rhubarbpath/coordination/peer_directory.hpp"
#include "rhubarbpath/coordination/write_gate.hpp"
#include "rhubarbpath/state/kv.hpp"
#include "rhubarbpath/transport/event_loop.hpp"
#include "rhubarbpath/transport/http_client.hpp"
#include "rhubarbpath/transport/http_server.hpp"
#include "rhubarbpath/transport/metrics.hpp"

namespace rhubarbpath::edge {

/// The process's only client of the platform's store. Calls go to the store directly; while the store
/// refuses this VM's calls or is unreachable from it, they are relayed through another VM.
class store_access {
 public:
  using callback = std::function<void(kv_result)>;

  struct options {
    std::string store_address;
    std::string self;  ///< This VM's peer address.
    /// Time limit of one attempt. The store answers within 4 ms normally and within 340 ms when slow.
    duration call_timeout{std::chrono::milliseconds{700}};
    /// Added to a watch's wait, and to the time limit of a relayed call, to get the time limit of the HTTP
    /// call.
    duration watch_slack{std::chrono::milliseconds{450}};
    /// Time after a failed direct call until the next direct attempt.
    duration direct_retry_interval{std::chrono::milliseconds{1500}};
  };

  store_access(event_loop& loop, http_client& client, peer_directory& peers, random_source& random,
               metrics& counters, options opts);

  void set_store_address(std::string address) { opts_.store_address = std::move(address); }

  /// Executes `request` and runs `done` once, on the event loop. `limit` overrides the default time limit of
  /// one attempt.
  void call(kv_request request, callback done, std::optional<duration> limit = std::nullopt);
  /// Relays another VM's request to the store. A relayed request is never relayed again.
  void relay(const http_request& request, const http_responder& responder);
  /// Time of the store's last answer, received directly or through another VM.
  [[nodiscard]] instant last_answer() const noexcept { return last_answer_; }
  /// Whether a new write may be sent, by how the latest calls went.
  [[nodiscard]] write_gate::advice new_write_advice() const { return gate_.new_write(loop_.now()); }

 private:
  struct pending_call;
  /// Calls the store directly; on failure tries a relay if the request is safe to send again.
  void attempt_direct(const std::shared_ptr<pending_call>& call);
  /// Calls the store through another VM, or directly when no other VM is known.
  void attempt_peer(const std::shared_ptr<pending_call>& call);
  void finish(const std::shared_ptr<pending_call>& call, kv_result result);
  void count(const kv_request& request, std::string_view path, const kv_result& result);
  /// Records whether the direct path works and logs each change.
  void set_direct_healthy(bool healthy, const std::string& reason);

  event_loop& loop_;
  http_client& client_;
  peer_directory& peers_;
  random_source& random_;
  metrics& counters_;
  options opts_;
  bool direct_healthy_{true};
  instant direct_retry_at_{};
  instant last_answer_{};
  write_gate gate_;
  std::string working_relay_;  ///< Peer address of the last relay that worked; empty after a failure.
};

/// Path prefix of calls that a VM relays to the store.
constexpr std::string_view relay_path = "/relay";
/// Response header with the reason why a relay got no answer from the store: `not_sent` or `unknown`.
constexpr std::string_view relay_failure_header = "Rhubarb-Relay-Failure";
/// Request header with the time limit of a relayed call, in microseconds.
constexpr std::string_view relay_timeout_header = "Rhubarb-Relay-Timeout-Us";
/// Request header with the sender's peer address.
constexpr std::string_view peer_header = "Rhubarb-Peer";

}  // namespace rhubarbpath::edge

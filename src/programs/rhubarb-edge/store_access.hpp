#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "rhubarbpath/coordination/peer_directory.hpp"
#include "rhubarbpath/state/kv.hpp"
#include "rhubarbpath/transport/event_loop.hpp"
#include "rhubarbpath/transport/http_client.hpp"
#include "rhubarbpath/transport/http_server.hpp"
#include "rhubarbpath/transport/metrics.hpp"

namespace rhubarbpath::edge {

/// The process's one client of the platform's store. Calls go to the store directly; while the store
/// refuses this VM or cannot be reached from it, they go through another VM, which relays them.
class store_access {
 public:
  using callback = std::function<void(kv_result)>;

  struct options {
    std::string store_address;
    std::string self;  ///< This VM's peer address.
    /// The store answers in 4 ms, in 340 ms while it is slow.
    duration call_timeout{std::chrono::milliseconds{700}};
    /// Added to the wait of a watch; a watch that went silent is noticed after it.
    duration watch_slack{std::chrono::milliseconds{450}};
    /// After a failed direct call the store is tried directly again this much later.
    duration direct_pause{std::chrono::milliseconds{1500}};
  };

  store_access(event_loop& loop, http_client& client, peer_directory& peers, random_source& random,
               metrics& counters, options opts);

  void set_store_address(std::string address) { opts_.store_address = std::move(address); }

  /// The callback runs once, from the loop. `limit` replaces the usual time limit of one try.
  void call(kv_request request, callback done, std::optional<duration> limit = std::nullopt);
  /// Passes a request of another VM to the store; it is never passed on to a third.
  void relay(const http_request& request, const http_responder& responder);
  /// When the store last answered, directly or through another VM.
  [[nodiscard]] instant last_answer() const noexcept { return last_answer_; }

 private:
  struct pending;
  void attempt_direct(const std::shared_ptr<pending>& call);
  void attempt_peer(const std::shared_ptr<pending>& call);
  void finish(const std::shared_ptr<pending>& call, kv_result result);
  void count(const kv_request& request, std::string_view path, const kv_result& result);
  void note_direct(bool healthy, const std::string& reason);

  event_loop& loop_;
  http_client& client_;
  peer_directory& peers_;
  random_source& random_;
  metrics& counters_;
  options opts_;
  bool direct_healthy_{true};
  instant direct_retry_at_{};
  instant last_answer_{};
  std::string working_relay_;  ///< The VM through which the last relayed call was answered.
};

/// Path under which a VM relays calls to the store, and the header that reports a relay's own failure.
constexpr std::string_view relay_path = "/relay";
constexpr std::string_view relay_failure_header = "Rhubarb-Relay-Failure";
/// Time limit of a relayed call in microseconds.
constexpr std::string_view relay_timeout_header = "Rhubarb-Relay-Timeout-Us";
/// Carries the sender's peer address.
constexpr std::string_view peer_header = "Rhubarb-Peer";

}  // namespace rhubarbpath::edge

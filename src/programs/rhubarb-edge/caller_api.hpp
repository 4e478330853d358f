#pragma once

#include <functional>
#include <memory>
#include <string>

#include "config_feed.hpp"
#include "rhubarbpath/protocol/job_rows.hpp"
#include "rhubarbpath/transport/http_client.hpp"
#include "rhubarbpath/transport/http_server.hpp"
#include "rhubarbpath/transport/metrics.hpp"
#include "store_access.hpp"

namespace rhubarbpath::edge {

class owner_session;

/// Serves callers: takes jobs into the store, cancels them, and tells their phase. Every VM does this
/// alike; only questions about progress go to the owner, and to the store when it does not answer.
class caller_api {
 public:
  struct dependencies {
    event_loop& loop;
    store_access& store;
    http_client& peers;
    metrics& counters;
    config_feed& config;
    /// The session when this process is the owner.
    std::function<owner_session*()> own_session;
    /// Peer address of the owner; empty when unknown.
    std::function<std::string()> owner_address;
    std::function<bool()> stopping;
  };

  explicit caller_api(dependencies uses) : uses_{std::move(uses)} {}

  void handle(const http_request& request, const http_responder& responder);
  /// Answers another VM's question to the owner.
  void handle_peer(const http_request& request, const http_responder& responder);

 private:
  struct submission;
  struct exchange;
  using exchange_pointer = std::shared_ptr<exchange>;

  void submit(const exchange_pointer& call, const http_request& request);
  void try_submit(const std::shared_ptr<submission>& job);
  void cancel(const exchange_pointer& call);
  void try_cancel(const exchange_pointer& call);
  void tell_phase(const exchange_pointer& call);
  void tell_phase_from_store(const exchange_pointer& call);
  void tell_phase_from_job_row(const exchange_pointer& call);
  void tell_waiting(const exchange_pointer& call);
  void answer(const exchange_pointer& call, int status, std::string body, std::string_view reason,
              int retry_after_seconds = 0);
  /// Repeats `call` after a pause, or answers when the caller's time is up.
  void retry_or_give_up(const exchange_pointer& call, std::function<void()> again);

  dependencies uses_;
};

/// Path of the questions between VMs.
constexpr std::string_view owner_path = "/owner/";

}  // namespace rhubarbpath::edge

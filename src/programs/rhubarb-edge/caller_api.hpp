#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "config_feed.hpp"
#include "rhubarbpath/coordination/caller_rate_limit.hpp"
#include "rhubarbpath/protocol/job_rows.hpp"
#include "rhubarbpath/transport/http_client.hpp"
#include "rhubarbpath/transport/http_server.hpp"
#include "rhubarbpath/transport/metrics.hpp"
#include "store_access.hpp"

namespace rhubarbpath::edge {

class owner_session;

/// Serves the callers' HTTP API: stores submitted jobs and cancellations, and answers queries for a job's
/// phase. Every VM accepts every request. Queries are forwarded to the owner; a query for a phase falls
/// back to the store when the owner does not answer.
class caller_api {
 public:
  struct dependencies {
    event_loop& loop;
    store_access& store;
    http_client& peers;
    metrics& counters;
    config_feed& config;
    /// Returns the current session when this process is the owner, else null.
    std::function<owner_session*()> own_session;
    /// Returns the owner's peer address, or an empty string when it is unknown.
    std::function<std::string()> owner_address;
    std::size_t max_row_bytes{0};  ///< Largest value that the store takes.
    /// Calls to the store for callers, in a second.
    double max_read_rate{0};
    double max_write_rate{0};
    /// Teams whose jobs take as much of the owner as they may.
    std::function<const std::set<team_id>&()> full_teams;
    /// Returns true once the process is shutting down; responses then close their connections.
    std::function<bool()> stopping;
  };

  explicit caller_api(dependencies deps)
      : deps_{std::move(deps)}, reads_{deps_.max_read_rate}, writes_{deps_.max_write_rate} {}

  /// Serves one request of a caller.
  void handle(const http_request& request, const http_responder& responder);
  /// Serves a query that another VM forwarded to this VM as the owner.
  void handle_peer(const http_request& request, const http_responder& responder);

 private:
  struct submission;
  struct pending_call;
  using pending_call_ptr = std::shared_ptr<pending_call>;

  /// Finds the queue and the team of a call, and starts or refuses it once the configuration can decide that.
  void route(const pending_call_ptr& call, const http_request& request);
  void start(const pending_call_ptr& call, const http_request& request);
  void submit(const pending_call_ptr& call, const http_request& request);
  /// Asks the owner for room before a large job is stored. What small jobs take is known soon enough.
  void reserve_and_submit(const std::shared_ptr<submission>& job);
  void reservation_answered(const std::shared_ptr<submission>& job, std::optional<bool> granted);
  void try_submit(const std::shared_ptr<submission>& job);
  /// Answers the submission of a job whose id has a row.
  void answer_stored(const pending_call_ptr& call, const kv_item& row);
  /// Refuses a job with 429, unless an earlier attempt has stored it. `reason` as for `answer`.
  void refuse_unless_stored(const pending_call_ptr& call, std::string_view reason);
  void cancel(const pending_call_ptr& call);
  /// Stores the cancellation. `known` says whether the job is stored; if not, it never will be.
  void try_cancel(const pending_call_ptr& call, bool known);
  void answer_phase(const pending_call_ptr& call);
  void answer_phase_from_store(const pending_call_ptr& call);
  void answer_phase_from_job_row(const pending_call_ptr& call);
  void answer_waiting_count(const pending_call_ptr& call);
  /// Calls the store for a caller. Returns false, without a call, if its team has made too many.
  [[nodiscard]] bool try_call_store(const pending_call_ptr& call, kv_request request,
                                    store_access::callback done);
  /// The same, and answers the caller if its team has made too many.
  void call_store(const pending_call_ptr& call, kv_request request, store_access::callback done);
  [[nodiscard]] bool knows_team(const team_id& team) const;
  /// Sends the response to a caller, with its log line and metrics. `reason` must be from a fixed set of
  /// texts unless `status` is 400, because it becomes a metric label.
  void answer(const pending_call_ptr& call, int status, std::string body, std::string_view reason,
              int retry_after_seconds = 0);
  /// Runs `retry` after a pause, or sends an error response when the caller's timeout is near or, while no
  /// write can have reached the store, after `refusal_timeout`.
  void retry_or_fail(const pending_call_ptr& call, std::function<void()> retry);

  dependencies deps_;
  caller_rate_limit reads_;
  caller_rate_limit writes_;
};

/// Path prefix of the queries that VMs forward to the owner.
constexpr std::string_view owner_path = "/owner/";

}  // namespace rhubarbpath::edge

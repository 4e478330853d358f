#pragma once

#include <memory>
#include <string>

#include "absl/status/status.h"
#include "caller_api.hpp"
#include "config_feed.hpp"
#include "owner_session.hpp"
#include "rhubarbpath/coordination/owner_election.hpp"
#include "rhubarbpath/coordination/peer_directory.hpp"
#include "rhubarbpath/state/random.hpp"
#include "rhubarbpath/state/vm_settings.hpp"
#include "rhubarbpath/transport/client_limits.hpp"
#include "rhubarbpath/transport/http_server.hpp"
#include "store_access.hpp"

namespace rhubarbpath::edge {

/// The daemon of one entry VM on the users' platform. Every VM runs the same daemon; at most one of them at
/// a time is the owner, which schedules the jobs.
class edge_daemon {
 public:
  edge_daemon(event_loop& loop, vm_settings settings, std::string settings_file);

  /// Opens the listening sockets and starts the timers. Fails with `kUnavailable` when an address is in use.
  [[nodiscard]] absl::Status start();

 private:
  void limit_bodies(const fleet_config& config);
  void serve_peer(const http_request& request, const http_responder& responder);
  void serve_ready(const http_responder& responder) const;
  [[nodiscard]] bool ready() const;
  void greet_peers();
  void greet(const std::string& address);
  void merge_sightings(const std::string& body);
  void read_ownership();
  void watch_ownership();
  void apply_ownership(const std::vector<kv_item>& items);
  /// Records by how much the election timer fired late.
  void measure_lateness();
  void election_tick();
  void run_election();
  void perform(const request_lease& action);
  void perform(const rhubarbpath::read_ownership& action);
  void perform(const claim_ownership& action);
  void perform(const renew_ownership& action);
  void perform(const release_ownership& action);
  void perform(const term_began& action);
  void perform(const term_ended& action);
  void check_settings();
  void begin_stop();
  void finish_stop();

  event_loop& loop_;
  vm_settings settings_;
  std::string settings_file_;
  metrics counters_;
  random_source random_;
  http_client platform_client_;
  http_client worker_client_;
  peer_directory peers_;
  store_access store_;
  config_feed config_;
  owner_election election_;
  caller_api callers_;
  std::shared_ptr<client_limits> limits_;
  std::unique_ptr<http_server> caller_server_;
  std::unique_ptr<http_server> ready_server_;
  std::unique_ptr<http_server> peer_server_;
  std::unique_ptr<http_server> metrics_server_;
  std::shared_ptr<owner_session> session_;
  ownership_view ownership_;
  bool initial_ownership_reported_{
      false};  ///< Whether rows read before the first configuration were reported.
  std::string owner_address_;
  std::set<team_id> full_teams_;  ///< As the owner has published them.
  incarnation incarnation_;
  instant started_at_;
  instant last_tick_;  ///< Last run of the election timer.
  revision ownership_revision_;
  bool running_election_{false};
  bool stopping_{false};
  instant stop_deadline_{};
  timer_handle election_timer_;
  timer_handle ownership_timer_;
  timer_handle greet_timer_;
  timer_handle settings_timer_;
  timer_handle stop_timer_;
};

}  // namespace rhubarbpath::edge

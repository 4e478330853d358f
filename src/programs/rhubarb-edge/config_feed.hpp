#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "rhubarbpath/coordination/growing_timeout.hpp"
#include "rhubarbpath/coordination/peer_directory.hpp"
#include "rhubarbpath/coordination/version_tracker.hpp"
#include "rhubarbpath/state/fleet.hpp"
#include "rhubarbpath/transport/event_loop.hpp"
#include "rhubarbpath/transport/http_client.hpp"
#include "rhubarbpath/transport/http_server.hpp"
#include "rhubarbpath/transport/metrics.hpp"
#include "store_access.hpp"

namespace rhubarbpath::edge {

/// Keeps the configuration: watches it in the store, tells other VMs of new versions, and fetches from them
/// those that the watch does not bring in time. The version of `current` never decreases during the life of
/// the process.
class config_feed {
 public:
  using pointer = std::shared_ptr<const fleet_config>;
  using on_change = std::function<void(const pointer&)>;

  struct dependencies {
    event_loop& loop;
    store_access& store;
    http_client& client;
    peer_directory& peers;
    random_source& random;
    metrics& counters;
  };

  /// `apply_limit` is the time within which a version must be in force.
  config_feed(dependencies deps, std::string self, duration apply_limit, on_change changed);
  void start();

  /// Null until a valid configuration has been read.
  [[nodiscard]] const pointer& current() const noexcept { return current_; }
  /// Whether `current` may decide about a request.
  [[nodiscard]] version_tracker::standing standing();
  /// Whether another VM is known to hold a newer version.
  [[nodiscard]] bool outdated() const noexcept { return tracker_.newer_announced(); }
  /// Time since `current` was known to be the newest version; zero if it never was.
  [[nodiscard]] duration age() const;
  /// Runs `call` once, when the standing may have changed.
  void when_checked(std::function<void()> call) { waiting_.push_back(std::move(call)); }

  /// Serves the configuration to another VM (GET), or takes its announcement of a version (POST). Both
  /// responses say which version this VM holds and when that was confirmed.
  void serve_peer(const http_request& request, const http_responder& responder);

 private:
  void read();
  void watch();
  void tick();
  /// Asks the store and other VMs for the newest version while the watch is unanswered.
  void check();
  /// Tells some VMs which version this VM holds, and learns theirs from the responses.
  void announce();
  void fetch(const std::string& peer);
  /// Takes note of the version that another VM reports in the headers of its response.
  void note_peer(const std::string& peer, const http_headers& headers, instant sent_at);
  [[nodiscard]] http_headers version_headers() const;
  /// Takes a newer version into force; `source` tells the log which call brought it.
  void apply(const kv_item& item, std::string_view source);
  void apply_newest(const kv_events& events, std::string_view source);
  /// Logs the first failed call after an answered one, and the first answered one after that.
  void record_path(std::string_view call, const kv_result& result, instant sent_at);
  void run_waiting();

  dependencies deps_;
  std::string self_;
  on_change on_change_;
  pointer current_;
  std::string current_text_;  ///< As it was read from the store.
  revision current_revision_;
  revision watch_revision_;
  version_tracker tracker_;
  growing_timeout read_timeout_{{}};
  std::int64_t path_failures_{0};  ///< Failed calls since the last answered one.
  bool checking_store_{false};
  bool announcement_pending_{false};
  bool changed_in_last_watch_{false};
  std::vector<std::function<void()>> waiting_;
  timer_handle retry_timer_;
  timer_handle tick_timer_;
};

/// Path of the configuration that VMs serve each other.
constexpr std::string_view config_path = "/config";

}  // namespace rhubarbpath::edge

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "platform_documents.hpp"
#include "rhubarbpath/state/random.hpp"
#include "rhubarbpath/transport/event_loop.hpp"
#include "rhubarbpath/transport/http_server.hpp"

namespace rhubarbpath::soak {

/// The faults that the store currently simulates. Percentages are the share of calls that are affected.
struct store_faults {
  bool down{false};
  bool leases_paused{false};  ///< Leases do not expire while the store is down.
  duration answer_delay{};
  int lost_answers_percent{0};         ///< Executed immediately, never answered.
  int late_writes_percent{0};          ///< Executed up to 3.5 s later, never answered.
  bool config_unanswered{false};       ///< Calls for the configuration get no answer; others do.
  bool evacuations_unanswered{false};  ///< The same for requests to evacuate a failure domain.
  std::string unanswered_watches;      ///< Watches of this prefix get no answer; none if empty.
  int refused_percent{0};              ///< Answered with 429 or 503 and not executed.
};

/// In-memory stand-in for the platform's store, with rows, revisions, leases, watches and transactions.
class store_stand_in {
 public:
  store_stand_in(event_loop& loop, const std::string& address, std::uint16_t port, random_source& random);

  [[nodiscard]] absl::Status listen() { return server_.listen(); }
  /// Writes a row directly, without a lease and without faults, as the platform itself does.
  void put(const std::string& key, const std::string& value);
  void erase(const std::string& key);
  /// Discards the event history, so that watches from an earlier revision are answered with 410.
  void compact();
  /// Refuses calls above these rates with 429; none are refused for a rate of 0.
  void limit_rates(store_rates rates);
  /// Whether the client of an unanswered call has closed its connection since this was asked last.
  [[nodiscard]] bool any_call_given_up();
  [[nodiscard]] bool contains(const std::string& key) const { return rows_.contains(key); }

  /// The largest value in bytes; base64 lengthens it by a third on the wire.
  std::size_t max_value_bytes{std::size_t{1} << 20U};
  store_faults faults;
  /// Changes the faults after `delay`.
  void run_later(duration delay, std::function<void(store_faults&)> change) {
    loop_.run_detached(delay, [this, change = std::move(change)] { change(faults); });
  }

 private:
  struct row {
    std::string value;  ///< Base64, as on the wire.
    std::uint64_t changed{0};
    std::uint64_t created{0};
    std::uint64_t lease{0};
  };
  struct event {
    std::uint64_t revision{0};
    std::string key;
    std::optional<row> written;  ///< Absent for a removal.
  };
  struct lease {
    duration time_to_live{};
    instant expires_at{};
    std::set<std::string> keys;
  };
  struct watcher {
    std::string prefix;
    std::uint64_t after{0};
    instant deadline{};
    http_responder reply;
  };
  using answer = http_response;

  /// Calls of one kind that may still be served at once.
  struct allowance {
    double per_second{0};  ///< 0 for no limit.
    double left{0};
  };

  void handle(const http_request& request, const http_responder& reply);
  /// Counts a call. Returns false if there have been too many.
  [[nodiscard]] bool within_rates(const http_request& request);
  [[nodiscard]] answer execute(const http_request& request);
  [[nodiscard]] answer read_one(const http_request& request) const;
  [[nodiscard]] answer read_range(const http_request& request) const;
  [[nodiscard]] answer commit(const std::string& body);
  [[nodiscard]] answer handle_lease(const http_request& request);
  void watch(const http_request& request, const http_responder& reply);
  [[nodiscard]] std::optional<answer> events_after(const std::string& prefix, std::uint64_t after) const;
  /// Expires leases and answers watches that are due.
  void advance();
  void notify();
  void write(const std::string& key, std::string value, std::uint64_t lease_id, std::uint64_t at);
  void remove(const std::string& key, std::uint64_t at);
  void detach_from_lease(const std::string& key, std::uint64_t lease_id);
  [[nodiscard]] nlohmann::json encode_item(const std::string& key, const row& stored) const;

  event_loop& loop_;
  random_source& random_;
  std::map<std::string, row> rows_;
  std::uint64_t revision_{1};
  std::uint64_t compacted_{0};
  std::deque<event> history_;
  std::map<std::uint64_t, lease> leases_;
  std::uint64_t next_lease_{100};
  std::vector<watcher> watchers_;
  allowance reads_;
  allowance writes_;
  instant last_refill_{};
  std::vector<http_responder> unanswered_;  ///< Keeps the connections of unanswered calls open.
  instant last_advance_{};
  http_server server_;
  timer_handle tick_timer_;
};

}  // namespace rhubarbpath::soak

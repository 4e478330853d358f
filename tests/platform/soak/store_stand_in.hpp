#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rhubarbpath/state/random.hpp"
#include "rhubarbpath/transport/event_loop.hpp"
#include "rhubarbpath/transport/http_server.hpp"

namespace rhubarbpath::soak {

/// What the store does wrong at the moment; percentages are of calls.
struct store_faults {
  bool down{false};
  bool leases_pause{false};  ///< While it is down; otherwise they go on to expire.
  duration answer_delay{};
  int lost_answers_percent{0};  ///< Executed at once, never answered.
  int late_writes_percent{0};   ///< Executed seconds later, never answered.
  int refused_percent{0};       ///< Answered 429 or 503, nothing done.
};

/// The platform's store: rows, revisions, leases, watches and transactions in memory.
class store_stand_in {
 public:
  store_stand_in(event_loop& loop, const std::string& address, std::uint16_t port, random_source& random);

  [[nodiscard]] absl::Status listen() { return server_.listen(); }
  /// Writes a row as the platform itself does, without a lease or a fault.
  void put(const std::string& key, const std::string& value);
  void erase(const std::string& key);
  /// Forgets all events, so that watches that are behind are answered 410.
  void compact();
  [[nodiscard]] bool contains(const std::string& key) const { return rows_.contains(key); }

  store_faults faults;

 private:
  struct row {
    std::string value;  ///< Base64, as it is on the wire.
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
    instant ends{};
    std::set<std::string> keys;
  };
  struct watcher {
    std::string prefix;
    std::uint64_t after{0};
    instant until{};
    http_responder reply;
  };
  using answer = http_response;

  void handle(const http_request& request, const http_responder& reply);
  [[nodiscard]] answer execute(const http_request& request);
  [[nodiscard]] answer read_one(const http_request& request) const;
  [[nodiscard]] answer read_range(const http_request& request) const;
  [[nodiscard]] answer commit(const std::string& body);
  [[nodiscard]] answer lease_call(const http_request& request);
  void watch(const http_request& request, const http_responder& reply);
  [[nodiscard]] std::optional<answer> events_after(const std::string& prefix, std::uint64_t after) const;
  void advance();
  void notify();
  void write(const std::string& key, std::string value, std::uint64_t lease_id, std::uint64_t at);
  void remove(const std::string& key, std::uint64_t at);
  void detach(const std::string& key, std::uint64_t lease_id);
  [[nodiscard]] nlohmann::json item(const std::string& key, const row& of) const;

  event_loop& loop_;
  random_source& random_;
  std::map<std::string, row> rows_;
  std::uint64_t revision_{1};
  std::uint64_t compacted_{0};
  std::deque<event> history_;
  std::map<std::uint64_t, lease> leases_;
  std::uint64_t next_lease_{100};
  std::vector<watcher> watchers_;
  std::vector<http_responder> unanswered_;  ///< Kept, so that their connections stay open.
  instant advanced_{};
  http_server server_;
  timer_handle clock_;
};

}  // namespace rhubarbpath::soak

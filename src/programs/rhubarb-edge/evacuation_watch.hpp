#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "rhubarbpath/coordination/domain_evacuations.hpp"
#include "rhubarbpath/transport/event_loop.hpp"
#include "rhubarbpath/transport/metrics.hpp"
#include "store_access.hpp"

namespace rhubarbpath::edge {

/// Follows the operator's requests to evacuate failure domains during one ownership term.
class evacuation_watch : public std::enable_shared_from_this<evacuation_watch> {
 public:
  using list_handler = std::function<void(std::vector<kv_item>, revision)>;
  struct dependencies {
    event_loop& loop;
    store_access& store;
    metrics& counters;
    /// Reads all rows with a prefix; tries again until it succeeds.
    std::function<void(std::string prefix, list_handler done)> list_all;
    /// Called when the set of domains may have changed.
    std::function<void()> changed;
  };

  /// No start may happen later than `limit` after a request. An order takes up to `order_timeout`.
  evacuation_watch(duration limit, duration order_timeout, dependencies deps);
  evacuation_watch(const evacuation_watch&) = delete;
  evacuation_watch(evacuation_watch&&) = delete;
  evacuation_watch& operator=(const evacuation_watch&) = delete;
  evacuation_watch& operator=(evacuation_watch&&) = delete;
  ~evacuation_watch();

  /// Reads all requests and follows them from then on.
  void start();
  [[nodiscard]] const domain_evacuations& evacuations() const noexcept { return evacuations_; }

 private:
  void read_all();
  void watch();
  void take(const kv_events& events, instant sent);
  void report_change();

  domain_evacuations evacuations_;
  dependencies deps_;
  revision revision_;
  int cut_watches_{0};  ///< In a row, the watches whose answer ended early.
};

}  // namespace rhubarbpath::edge

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fault_proxy.hpp"
#include "rhubarbpath/state/random.hpp"
#include "rhubarbpath/transport/event_loop.hpp"
#include "worker_fleet.hpp"

namespace rhubarbpath::soak {

/// Disturbs all workers of a rack at once: they refuse starts, are cut off and stay listed, crash, or leave.
class rack_changes {
 public:
  struct dependencies {
    event_loop& loop;
    worker_fleet& fleet;
    std::vector<std::unique_ptr<fault_proxy>>& proxies;  ///< One for each worker.
    std::function<void(const std::string&)> trace;
    /// Called before a worker is lost or out of reach for that long.
    std::function<void(std::size_t, duration)> disturbed;
  };

  rack_changes(dependencies deps, std::uint64_t seed);
  /// Plans changes from `begin` on, for `length`.
  void plan(duration begin, duration length);
  /// Ends all changes; every worker is back and in touch.
  void clear();

 private:
  void change(std::uint64_t kind, const std::string& rack, duration length);
  void refuse_starts(std::size_t worker, duration length);
  void cut(std::size_t worker, duration length, proxy_mode mode);
  void take_away(std::size_t worker, duration length, bool left);
  void come_back(std::size_t worker, bool same_id);
  void schedule(duration delay, std::function<void()> call);

  dependencies deps_;
  random_source random_;
  bool cleared_{false};
};

}  // namespace rhubarbpath::soak

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fault_proxy.hpp"
#include "rhubarbpath/state/random.hpp"
#include "rhubarbpath/transport/event_loop.hpp"
#include "store_stand_in.hpp"
#include "worker_fleet.hpp"

namespace rhubarbpath::soak {

/// Lets workers drain and leave, crash, come back under their id or a new one at the same address, and be cut
/// off with refused connections, in series and overlapping. Writes rows of workers that nobody can use.
class worker_changes {
 public:
  struct dependencies {
    event_loop& loop;
    worker_fleet& fleet;
    store_stand_in& store;
    std::vector<std::unique_ptr<fault_proxy>>& proxies;  ///< One for each worker.
    std::function<void(const std::string&)> trace;
    /// Called before a worker is lost or out of reach for that long.
    std::function<void(std::size_t, duration)> disturbed;
  };

  worker_changes(dependencies deps, std::uint64_t seed);
  /// Plans changes from `begin` on, for `length`.
  void plan(duration begin, duration length);
  /// Ends all changes: every worker is back and in touch.
  void clear();

 private:
  void change(std::uint64_t kind, std::size_t worker, duration length);
  void drain(std::size_t worker, duration length);
  void crash(std::size_t worker, duration length);
  void cut(std::size_t worker, duration length);
  void refuse_starts(std::size_t worker, duration length);
  void write_odd_row();
  void come_back(std::size_t worker, bool same_id);
  void schedule(duration delay, std::function<void()> call);

  dependencies deps_;
  random_source random_;
  bool cleared_{false};
  int odd_rows_{0};
};

}  // namespace rhubarbpath::soak

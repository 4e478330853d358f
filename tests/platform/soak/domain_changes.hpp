#pragma once

#include <functional>
#include <string>

#include "rhubarbpath/state/random.hpp"
#include "rhubarbpath/transport/event_loop.hpp"
#include "worker_fleet.hpp"

namespace rhubarbpath::soak {

/// Requests the evacuation of failure domains, sometimes of several at a time, and takes it back. Some
/// requests last for moments only.
class domain_changes {
 public:
  struct dependencies {
    event_loop& loop;
    worker_fleet& fleet;
    std::function<void(const std::string&)> trace;
  };

  domain_changes(dependencies deps, std::uint64_t seed);
  /// Plans changes from `begin` on, for `length`.
  void plan(duration begin, duration length);
  /// Takes back all requests.
  void clear();

 private:
  void evacuate(const std::string& zone, duration length);
  void schedule(duration delay, std::function<void()> call);

  dependencies deps_;
  random_source random_;
  bool cleared_{false};
};

}  // namespace rhubarbpath::soak

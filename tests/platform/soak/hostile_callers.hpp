#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "../crowd/hostile_crowd.hpp"
#include "../crowd/reading_crowd.hpp"
#include "rhubarbpath/state/random.hpp"
#include "rhubarbpath/transport/event_loop.hpp"

namespace rhubarbpath::soak {

/// A few clients that keep to no limit, at random VMs for a few seconds each: requests sent ahead whose
/// answers stay unread, chunked bodies without end, idle connections, and floods of queries and cancellations
/// of unknown jobs whose answers are read. Has a random source of its own, so that the load and the faults of
/// a seed stay the same.
class hostile_callers {
 public:
  /// `addresses` are the IP numbers of the VMs.
  hostile_callers(event_loop& loop, std::vector<std::string> addresses, std::uint64_t seed);

  void begin();
  /// Closes all connections.
  void stop();

 private:
  struct visit {
    std::unique_ptr<hostile_crowd> crowd;    ///< Null while others visit.
    std::unique_ptr<reading_crowd> readers;  ///< Likewise.
    instant until{};
  };

  void act();
  void step();

  event_loop& loop_;
  std::vector<std::string> addresses_;
  random_source random_;
  std::vector<visit> visits_;
  timer_handle act_timer_;
  timer_handle step_timer_;
};

}  // namespace rhubarbpath::soak

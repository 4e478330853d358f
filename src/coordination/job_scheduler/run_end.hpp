#pragma once

#include <chrono>
#include <string>
#include <variant>

#include "rhubarbpath/state/fleet.hpp"

// What shows that a run is over: that it neither runs nor can begin to run. Its task may be started again
// only after that. That a run was not seen, or that its worker does not answer, shows nothing.
namespace rhubarbpath::detail {

/// The worker lists the end of the run.
struct end_listed {
  run_outcome outcome{run_outcome::failed};
};
/// The worker's clock has passed all leases that any owner may have granted, and the time of a stop.
struct lease_passed {
  std::chrono::milliseconds lease_until{0};  ///< On the worker's clock, as `clock`.
  std::chrono::milliseconds clock{0};
};
/// A later incarnation of the worker names the run in no complete report, and all attempts to start the run
/// were answered before. It is not stopping the run: an earlier incarnation listed the run, no stop was
/// ordered, or the time that a stop takes has passed. Or an earlier incarnation listed the run, all attempts
/// to start it were answered, and the registry names a later one.
struct incarnation_over {
  incarnation successor;
};
/// Another instance answers at the address at which the worker answered last.
struct address_taken_over {
  std::string address;
};
/// Every attempt to start the run was refused or not sent.
struct never_started {};
/// The worker's incarnation has acknowledged a stop, and names the run in no complete report that was
/// requested after the time that a stop takes. It refuses attempts that arrive later.
struct stopped_before_start {
  incarnation acknowledged_by;
};

using run_end = std::variant<end_listed, lease_passed, incarnation_over, address_taken_over, never_started,
                             stopped_before_start>;

/// The reason for the log.
[[nodiscard]] std::string describe(const run_end& end);

}  // namespace rhubarbpath::detail

#pragma once

#include <cstddef>
#include <string>
#include <variant>

#include "rhubarbpath/state/fleet.hpp"
#include "rhubarbpath/state/units.hpp"

// Why a unit that could run is not running. The scheduler logs it for jobs that stand.
namespace rhubarbpath::detail {

/// The owner starts nothing, because cancellations, evacuations or a configuration may be unknown.
struct starts_are_held {};
/// The configuration does not have the job's queue, and the job was stored without its terms.
struct unknown_queue {};
/// The previous owner may have started the unit, and not all of its workers have reported.
struct recovery_unfinished {
  std::size_t silent_workers{0};
};
/// The previous owner may have started the task on a leaving worker that has not reported.
struct run_of_previous_owner {};
/// Not considered by a placement pass yet, or in the pause after an attempt.
struct not_considered {};
/// The preferred rack has no free space, and the time to wait for it is not over.
struct rack_is_full {
  std::string rack;  ///< Of the data; empty for a gang that may use any one rack.
};
/// All workers that may run it are in evacuated failure domains.
struct only_evacuated_workers {};
/// No allowed worker has free space that is not held back.
struct no_free_space {};
/// The owner keeps as many tasks of the team on workers as the team may have.
struct team_has_most_tasks {};
/// Space is reserved on this worker, where preempted runs have not ended yet.
struct stops_unfinished {
  worker_id worker;
};
/// Space is reserved on this worker, which has to report before a start.
struct report_awaited {
  worker_id worker;
};
/// No worker for which it has a ticket has free space. Others may have some.
struct no_space_with_ticket {};
/// The adviser has not said yet on which workers it may run, or has not issued its tickets.
struct advice_awaited {};
/// Calls to the adviser about it fail.
struct advice_fails {};
/// The adviser has refused so many workers that the others cannot hold it.
struct too_few_allowed_workers {
  std::size_t allowed{0};
  std::size_t workers{0};
};
/// Tickets for all of its workers cannot be valid at the same time.
struct advice_outlasts_tickets {
  std::size_t workers{0};
  duration advice{};    ///< What the calls about them take.
  duration validity{};  ///< Of a ticket.
};
/// Its tickets, although they were just issued, are refused by workers or expire before they can be used.
struct tickets_expire_too_soon {
  std::size_t workers{0};
  duration advice{};
  duration validity{};
};
/// A start was ordered, and the worker has not confirmed it.
struct start_unconfirmed {
  worker_id worker;
};
/// An earlier run on this worker is not known to be over.
struct earlier_run_unfinished {
  worker_id worker;
};

using unit_wait =
    std::variant<not_considered, starts_are_held, unknown_queue, recovery_unfinished, run_of_previous_owner,
                 rack_is_full, only_evacuated_workers, no_free_space, team_has_most_tasks, stops_unfinished,
                 report_awaited, no_space_with_ticket, advice_awaited, advice_fails, too_few_allowed_workers,
                 advice_outlasts_tickets, tickets_expire_too_soon, start_unconfirmed, earlier_run_unfinished>;

/// The reason for the log.
[[nodiscard]] std::string describe(const unit_wait& wait);

}  // namespace rhubarbpath::detail

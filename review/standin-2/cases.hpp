#pragma once

#include <string>

namespace rhubarbpath::review {

/// The rule of the case was broken, it held, or the case could not run.
enum class verdict { held = 0, broken = 1, not_run = 2 };

// Each case writes its record to `folder`. Without `trouble` it does the same without the disruption.

/// A large urgent gang is accepted while the service is full of small tasks.
[[nodiscard]] verdict run_gang_case(const std::string& folder, bool trouble);
/// The worker of a task that lasts leaves while a gang waits for room.
[[nodiscard]] verdict run_lasting_case(const std::string& folder, bool trouble);
/// The worker of a task that lasts leaves at short notice, and the owner is killed before it has moved the
/// task.
[[nodiscard]] verdict run_takeover_case(const std::string& folder, bool trouble);
/// An idle worker starts again under its id while an order to start that it left unanswered is on its way.
[[nodiscard]] verdict run_incarnation_case(const std::string& folder, bool trouble);
/// A worker drains while half of the orders to start get no answer.
[[nodiscard]] verdict run_drain_case(const std::string& folder, bool trouble);

/// Not one of the five: the owner is killed, a job that fills workers without `admissionControl` is
/// cancelled.
[[nodiscard]] verdict run_limit_case(const std::string& folder, bool trouble);

}  // namespace rhubarbpath::review

#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "rhubarbpath/state/ids.hpp"
#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath::standin {

struct store_faults {
  bool down{false};             ///< Every call is answered with 503 and has no effect.
  duration slow{};              ///< Added to every answer.
  int lose_answers_percent{0};  ///< Percentage of calls that take effect but get no answer.
  int writes_per_second{0};     ///< Writes above this rate are refused with 429; 0 means no limit.
};

struct worker_faults {
  bool fail_tasks{false};      ///< Every task fails at once.
  bool fail_requests{false};   ///< Every request is answered with 500.
  bool paused{false};          ///< Requests are held back until the switch is off.
  bool down{false};            ///< Requests are refused with 503 and not run.
  bool leaving{false};         ///< Answers carry the header Rhubarb-Leaving.
  duration slow{};             ///< Added to the duration of every service request.
  int cut_answers_percent{0};  ///< Percentage of requests that run but return only half of the body.
};

struct fault_settings {
  store_faults store;
  duration vm_list_lag{};
  std::map<worker_id, worker_faults> workers;
  /// Set by the switch "silence": requests on existing connections get no answer; new connections work.
  bool silence_connections{false};
};

/// Applies a JSON body to the settings, for example
/// `{"store":{"down":true,"slow_ms":50},"workers":{"hba-r1-w1":{"fail_tasks":true}},"vm_list_lag_ms":2000}`.
/// Absent members keep their values; the worker id "*" stands for all of `known_workers`. Returns
/// `kInvalidArgument` and leaves the settings unchanged on an unknown or mistyped member.
[[nodiscard]] absl::Status apply_faults(std::string_view body, const std::vector<worker_id>& known_workers,
                                        fault_settings& settings);

}  // namespace rhubarbpath::standin

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
  bool down{false};          ///< Connections are answered with 503 before anything happens.
  duration slow{};           ///< Added to every answer.
  int lose_answers{0};       ///< Percentage of calls that take effect and are never answered.
  int writes_per_second{0};  ///< More writes are refused with 429; 0 means no limit.
};

struct worker_faults {
  bool fail_tasks{false};     ///< Every task fails at once.
  bool fail_requests{false};  ///< Every request is answered with 500.
  bool paused{false};         ///< Nothing is answered until the switch goes off.
  bool down{false};           ///< Requests are refused with 503 before any work.
  bool leaving{false};        ///< Answers announce that the worker leaves.
  duration slow{};            ///< Added to every service request.
  int cut_answers{0};         ///< Percentage of requests that run and are answered with half a body.
};

struct fault_settings {
  store_faults store;
  duration vm_list_lag{};
  std::map<worker_id, worker_faults> workers;
  /// Set by the switch "silence": connections that exist now carry nothing any more, new ones work.
  bool silence_connections{false};
};

/// Changes the settings by a JSON body, for example
/// `{"store":{"down":true,"slow_ms":50},"workers":{"hba-r1-w1":{"fail_tasks":true}},"vm_list_lag_ms":2000}`.
/// Members that are absent keep their value; the worker id "*" stands for all of `known`. Fails with
/// `kInvalidArgument` on an unknown member.
[[nodiscard]] absl::Status apply_faults(std::string_view body, const std::vector<worker_id>& known,
                                        fault_settings& settings);

}  // namespace rhubarbpath::standin

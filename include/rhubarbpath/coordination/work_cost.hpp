#pragma once

#include <cstddef>
#include <cstdint>

#include "rhubarbpath/state/job_graph.hpp"

namespace rhubarbpath {

/// Bounds on what an owner keeps of one job at a time.
struct job_bounds {
  /// Steps, and tasks in them, that one placement pass considers.
  static constexpr std::size_t considered_steps = 1024;
  static constexpr std::size_t considered_tasks = 8192;
  /// Steps of all open occurrences together, as far as more than one is open.
  static constexpr std::size_t open_steps = 65'536;
};

/// What a job makes its owner keep, in bytes.
struct work_cost {
  std::uint64_t open{0};   ///< While it has not ended.
  std::uint64_t ended{0};  ///< Until it expires. Its row stays, and each next owner reads it.
};
[[nodiscard]] work_cost cost_of(const job_graph& graph);

}  // namespace rhubarbpath

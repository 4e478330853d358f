#include "rhubarbpath/coordination/work_cost.hpp"

#include <algorithm>

namespace rhubarbpath {

namespace {

/// The state of a job beside its graph, and of one that has ended.
constexpr std::uint64_t job_bytes = 1024;
/// A step that is looked at for placement with its first unit, and a member of a gang.
constexpr std::uint64_t considered_step_bytes = 768;
constexpr std::uint64_t member_bytes = 224;
/// The last gang that is considered may go beyond the bound.
constexpr std::uint64_t max_members = job_bounds::considered_tasks + max_gang_members;
/// What is kept of a step in each open occurrence.
constexpr std::uint64_t open_step_bytes = 4;
/// A step apart from its specification: its shape, and how long the steps after it take.
constexpr std::uint64_t step_index_bytes = 20;
constexpr std::uint64_t stored_step_bytes = 32;

}  // namespace

work_cost cost_of(const job_graph& graph) {
  const std::uint64_t steps = graph.steps.size();
  std::uint64_t text = graph.payload.size();
  std::uint64_t dependencies = 0;
  std::uint64_t gang_members = 0;
  for (const auto& step : graph.steps) {
    text += step.required_label.size() + step.data_rack.size() + step.image.size();
    dependencies += step.after.size();
    gang_members += step.gang ? step.count : 0;
  }
  const auto occurrences = std::max<std::uint64_t>(1, graph.occurrences);
  const auto open_steps =
      std::max(steps, std::min<std::uint64_t>(steps * occurrences, job_bounds::open_steps));
  const auto stored = job_bytes + text + steps * stored_step_bytes + dependencies * sizeof(std::uint32_t);
  return {.open = stored + steps * (sizeof(step_spec) + step_index_bytes) + open_steps * open_step_bytes +
                  std::min<std::uint64_t>(open_steps, job_bounds::considered_steps) * considered_step_bytes +
                  std::min(gang_members * occurrences, max_members) * member_bytes,
          .ended = stored};
}

}  // namespace rhubarbpath

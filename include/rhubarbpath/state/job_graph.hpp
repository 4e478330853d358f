#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "rhubarbpath/state/ids.hpp"
#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath {

/// Resources that a task needs or that a worker has.
struct resource_amounts {
  std::int64_t cpu_millicores{0};
  std::int64_t memory_mb{0};
  std::int64_t accelerators{0};

  friend bool operator==(const resource_amounts&, const resource_amounts&) = default;

  resource_amounts& operator+=(const resource_amounts& other) noexcept {
    cpu_millicores += other.cpu_millicores;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    return *this;
  }
  resource_amounts& operator-=(const resource_amounts& other) noexcept {
    cpu_millicores -= other.cpu_millicores;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    return *this;
  }
  [[nodiscard]] friend resource_amounts operator-(resource_amounts left, const resource_amounts& right) {
    return left -= right;
  }
  /// Whether `wanted` fits into these amounts in every dimension.
  [[nodiscard]] bool covers(const resource_amounts& wanted) const noexcept {
    return cpu_millicores >= wanted.cpu_millicores && memory_mb >= wanted.memory_mb &&
           accelerators >= wanted.accelerators;
  }
};

/// One step of a job: `count` identical tasks that may start when the steps in `after` are complete.
struct step_spec {
  std::uint32_t count{1};
  resource_amounts each;             ///< Resources of one task.
  duration estimate{};               ///< The caller's estimate of the run time of a task; often far off.
  std::vector<std::uint32_t> after;  ///< Indices of earlier steps.
  bool checkpointing{false};
  bool gang{false};         ///< All tasks start together and end together.
  bool same_rack{false};    ///< Tasks slow down by `vm_settings::remote_factor` when spread over racks.
  bool speculative{false};  ///< Copies of a task may run in parallel.
  bool long_running{false};
  bool fills{false};                ///< Uses only processor time that other tasks leave idle.
  std::string required_label;       ///< Label of the allowed workers; empty allows any worker.
  std::string data_rack;            ///< Rack that holds the input; tasks are slower in other racks.
  std::uint32_t max_per_worker{};   ///< 0 means no limit.
  std::uint32_t max_unavailable{};  ///< Number of tasks that the system may keep from running at a time.
  std::string image;
  duration target_latency{};
};

/// A submitted job. `occurrences` above 0 repeats the steps at fixed times.
struct job_graph {
  std::string payload;  ///< Passed to the workers without interpretation.
  std::vector<step_spec> steps;
  std::uint32_t occurrences{0};
  std::chrono::milliseconds first_due{0};  ///< Since the Unix epoch.
  std::chrono::milliseconds interval{0};
};

/// Members of a gang, at most. All of them must start at the same time.
constexpr std::uint32_t max_gang_members = 4096;

/// What a caller may submit. Stored jobs may exceed it, as earlier versions accepted more.
constexpr std::size_t max_payload_bytes = 4000;
constexpr std::size_t max_label_bytes = 256;
/// No more fit into a row of the store, which takes 19 bytes for the smallest step.
constexpr std::size_t max_steps = 55'000;

/// Returns `kResourceExhausted` if a part of the job is larger than a caller may submit.
[[nodiscard]] absl::Status check_size(const job_graph& graph);

/// Returns `kInvalidArgument` unless the job can be scheduled: steps depend on earlier steps only, and
/// counts, resources and times are in range.
[[nodiscard]] absl::Status check(const job_graph& graph);

using queue_id = string_id<struct queue_id_tag>;
/// Strictly increasing number of the process that owns scheduling; workers reject orders with a lower one.
using owner_term = number_id<struct owner_term_tag>;
/// Number of the start of a task or gang; a higher one supersedes a lower one.
using run_number = number_id<struct run_number_tag>;

/// One task of one occurrence of a step.
struct task_ref {
  job_id job;
  std::uint32_t occurrence{0};
  std::uint32_t step{0};
  std::uint32_t index{0};

  friend bool operator==(const task_ref&, const task_ref&) = default;
  friend auto operator<=>(const task_ref&, const task_ref&) = default;
  template <class H>
  friend H AbslHashValue(H state, const task_ref& ref) {
    return H::combine(std::move(state), ref.job, ref.occurrence, ref.step, ref.index);
  }
};

enum class job_phase { queued, running, complete, failed, cancelled };

[[nodiscard]] constexpr bool is_terminal(job_phase phase) noexcept {
  return phase == job_phase::complete || phase == job_phase::failed || phase == job_phase::cancelled;
}

[[nodiscard]] constexpr std::string_view phase_name(job_phase phase) noexcept {
  switch (phase) {
    case job_phase::queued:
      return "queued";
    case job_phase::running:
      return "running";
    case job_phase::complete:
      return "complete";
    case job_phase::failed:
      return "failed";
    case job_phase::cancelled:
      return "cancelled";
  }
  return "queued";
}

/// Capacity of a worker that one task of a step occupies.
[[nodiscard]] inline resource_amounts occupied(const step_spec& step) noexcept {
  auto amounts = step.each;
  if (step.fills) {
    amounts.cpu_millicores = 0;
  }
  return amounts;
}

}  // namespace rhubarbpath

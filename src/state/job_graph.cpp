#include "rhubarbpath/state/job_graph.hpp"

#include <algorithm>
#include <string>

#include "absl/strings/str_cat.h"

namespace rhubarbpath {

namespace {

/// Above what any worker or fleet has, and small enough that sums of them do not overflow.
constexpr std::int64_t max_amount = std::int64_t{1} << 40;
constexpr std::chrono::hours max_time{10 * 365 * 24};

bool in_range(std::int64_t amount) {
  return amount >= 0 && amount <= max_amount;
}

bool in_range(duration time) {
  return time >= duration::zero() && time <= max_time;
}

absl::Status check(const step_spec& step, std::size_t number) {
  const auto error = [number](const std::string& text) {
    return absl::InvalidArgumentError(absl::StrCat("steps[", number, "].", text));
  };
  if (std::any_of(step.after.begin(), step.after.end(),
                  [&](std::uint32_t before) { return before >= number; })) {
    return error("after must contain only indices of earlier steps");
  }
  if (step.gang && step.count > max_gang_members) {
    return error(absl::StrCat("count must be at most ", max_gang_members, " for tasks that start together"));
  }
  if (!in_range(step.each.cpu_millicores) || !in_range(step.each.memory_mb) ||
      !in_range(step.each.accelerators)) {
    return error("cpu, memory and accelerators must not be negative or out of range");
  }
  if (!in_range(step.estimate) || !in_range(step.target_latency)) {
    return error("estimate and target must not be negative or out of range");
  }
  return absl::OkStatus();
}

}  // namespace

absl::Status check(const job_graph& graph) {
  if (graph.steps.empty()) {
    return absl::InvalidArgumentError("a job needs at least one step");
  }
  if (graph.interval < std::chrono::milliseconds{0} || graph.interval > max_time) {
    return absl::InvalidArgumentError("the interval must not be negative or out of range");
  }
  for (std::size_t number = 0; number < graph.steps.size(); ++number) {
    if (auto status = check(graph.steps[number], number); !status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

absl::Status check_size(const job_graph& graph) {
  const auto error = [](const std::string& what, std::size_t most) {
    return absl::ResourceExhaustedError(absl::StrCat(what, " must not be longer than ", most));
  };
  if (graph.payload.size() > max_payload_bytes) {
    return error("the payload", max_payload_bytes);
  }
  if (graph.steps.size() > max_steps) {
    return error("the list of steps", max_steps);
  }
  const bool long_label = std::any_of(graph.steps.begin(), graph.steps.end(), [](const step_spec& step) {
    return std::max({step.required_label.size(), step.data_rack.size(), step.image.size()}) > max_label_bytes;
  });
  return long_label ? error("a label, rack or image", max_label_bytes) : absl::OkStatus();
}

}  // namespace rhubarbpath

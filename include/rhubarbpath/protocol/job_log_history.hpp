#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbpath {

/// One log line that is relevant to a job: it names the job, or concerns an owner or a worker of the job.
struct job_log_entry {
  std::string time;
  std::string vm;
  std::string event;
  bool own{true};  ///< The line names the job; otherwise it concerns its owner or one of its workers.
  nlohmann::ordered_json fields;  ///< Without time, level, program, vm and message.
};

/// History of one job, collected from the logs of all VMs.
struct job_log_history {
  std::vector<job_log_entry> entries;  ///< Sorted by time.
  std::vector<std::string> findings;   ///< Conclusions from the entries, one sentence each.
  std::size_t unreadable_lines{0};     ///< Lines without a JSON object; a crash can leave a truncated one.
};

/// Builds the history of a job from the log lines of any number of processes, in any order. Text before the
/// first brace of a line is ignored, because log collectors may add a prefix.
[[nodiscard]] job_log_history collect_job_log(const std::vector<std::string>& lines, std::string_view job);

}  // namespace rhubarbpath

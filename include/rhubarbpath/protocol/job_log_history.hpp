#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbpath {

/// One log line that concerns a job: its own, or one of an owner or worker that its course depended on.
struct job_log_entry {
  std::string time;
  std::string vm;
  std::string event;
  bool own{true};  ///< The line names the job; otherwise it tells of its owner or of one of its workers.
  nlohmann::ordered_json fields;  ///< Without time, level, program, vm and message.
};

/// What the logs of all VMs tell of one job.
struct job_log_history {
  std::vector<job_log_entry> entries;  ///< By time.
  std::vector<std::string> findings;   ///< The deciding facts as sentences, in order.
  std::size_t unreadable_lines{0};     ///< Lines that hold no JSON object; a crash can leave one.
};

/// Collects the lines of a job from the log lines of any number of processes, in any order. Text before
/// the first brace of a line is ignored, so lines with a prefix of a log collector can be read.
[[nodiscard]] job_log_history collect_job_log(const std::vector<std::string>& lines, std::string_view job);

}  // namespace rhubarbpath

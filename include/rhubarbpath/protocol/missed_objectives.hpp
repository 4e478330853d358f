#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbpath {

/// What a job that missed its objective lost time to.
enum class miss_cause {
  no_room,         ///< Waited for space.
  slow_worker,     ///< Its run took longer than the same queue's runs take on other workers.
  straggler,       ///< Its run took far longer than its peers, on a worker that is not slow.
  away_from_data,  ///< Its run was outside the rack that it prefers.
  stopped,         ///< Preempted or moved: the work until then, and the wait for the next start.
  lost,            ///< A run was lost, stalled or not started: as above.
  failed_run,      ///< A run failed: as above.
  refused,         ///< Refused at first, or never accepted.
  owner_away,      ///< No owner placed tasks, or the owner did not know of it.
  unexplained,     ///< Less than half of the excess is in any of these, as when its own work was long.
};

constexpr std::size_t miss_cause_count = 10;

/// The word for tables and JSON.
[[nodiscard]] std::string_view to_string(miss_cause cause) noexcept;

/// One job that missed its objective. Times are in milliseconds.
struct missed_job {
  std::string job;
  std::string queue;
  std::string team;
  std::uint64_t tasks{0};
  std::string phase;  ///< At its end; empty if the log does not show it.
  std::int64_t late_ms{0};
  miss_cause cause{miss_cause::unexplained};
  /// Along the chain of runs and waits that ended last.
  std::array<double, miss_cause_count> lost_ms{};
};

/// Runs that were stopped or lost, with the core seconds until then.
struct stopped_runs {
  std::size_t runs{0};
  double core_seconds{0};
  double core_seconds_of_saving{0};  ///< Of runs that save checkpoints, which lose only a part of it.
};

/// Jobs of one queue whose end is known.
struct queue_outcome {
  std::size_t jobs{0};
  std::size_t missed{0};
  /// Against the objective that the owner computed from the caller's estimates.
  std::size_t missed_by_estimate{0};
  std::size_t cancelled{0};
  std::size_t never_accepted{0};
};

/// Of the jobs whose work happened on time or not, in the logs of all VMs.
struct missed_objectives_report {
  std::vector<missed_job> missed;  ///< By submission.
  std::map<std::string, queue_outcome> queues;
  std::size_t runs{0};                          ///< Starts of a task or gang.
  std::map<std::string, stopped_runs> stopped;  ///< By how they ended.
  /// Stops for urgent work, by the queue that was stopped and the one it was stopped for.
  std::map<std::pair<std::string, std::string>, std::size_t> stopped_for;
  /// While missed jobs of a queue waited for space: core seconds that runs of each queue held, and of each
  /// team.
  std::map<std::string, std::map<std::string, double>> held_by_queue;
  std::map<std::string, std::map<std::string, double>> held_by_team;
  std::size_t slow_workers{0};  ///< Take at least `slow_from` times as long as the median worker.
  std::size_t judged_workers{0};
  std::size_t unreadable_lines{0};
};

/// Splits the jobs that missed their objective by cause, from the log lines of any number of processes in any
/// order.
///
/// A job's objective is its queue's stretch times its longest chain of work, and its target more. The chain
/// is measured from the job's own runs, less what slow workers, stragglers and distance added, because
/// estimates of callers can be far off; without runs the estimate counts. Jobs with fixed times, and those
/// that last until they are cancelled, are passed over.
class missed_objectives {
 public:
  missed_objectives();
  ~missed_objectives();
  missed_objectives(const missed_objectives&) = delete;
  missed_objectives(missed_objectives&&) = delete;
  missed_objectives& operator=(const missed_objectives&) = delete;
  missed_objectives& operator=(missed_objectives&&) = delete;

  /// Text before the first brace is ignored, because log collectors may add a prefix.
  void add_line(std::string_view line);
  [[nodiscard]] missed_objectives_report report();

  /// A worker that takes this many times as long as the median one counts as slow.
  static constexpr double slow_from = 1.25;
  /// A run that takes this many times as long as the median of its step counts as a straggler.
  static constexpr double straggler_from = 1.5;
  /// Without peers in its step, against the median of its queue, whose jobs differ in size.
  static constexpr double straggler_in_queue_from = 3.0;

 private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

/// The report as tables: by cause, queue, team and number of tasks, and what was stopped.
[[nodiscard]] std::string format_report(const missed_objectives_report& report);

}  // namespace rhubarbpath

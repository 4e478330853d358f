#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "rhubarbpath/coordination/ticket_book.hpp"
#include "rhubarbpath/coordination/work_budget.hpp"
#include "rhubarbpath/coordination/work_cost.hpp"
#include "rhubarbpath/state/fleet.hpp"

namespace rhubarbpath {

/// The numbers from `first` to `last`.
struct number_range {
  std::uint32_t first{0};
  std::uint32_t last{0};

  friend bool operator==(const number_range&, const number_range&) = default;
};

/// Units (tasks or gangs) of a step that are done.
struct done_units {
  std::uint32_t occurrence{0};
  std::uint32_t step{0};
  number_range units;

  friend bool operator==(const done_units&, const done_units&) = default;
};

/// A progress row names up to this many done units one by one, as earlier versions read them. Above it, the
/// row names ranges, because a row that grows with the job would become too large for the store.
constexpr std::uint64_t max_done_units_listed_singly = 512;

/// Stored progress of one unit that is not done. Fields with their default value are not stored.
struct unit_progress {
  std::uint32_t occurrence{0};
  std::uint32_t step{0};
  std::uint32_t unit{0};
  /// Runs that ended as failed. Each counts once, no matter how often and in which order workers report it.
  std::vector<run_number> failed_runs;
  run_number last_run;
  std::string checkpoint;

  friend bool operator==(const unit_progress&, const unit_progress&) = default;
};

/// Stored progress of one job.
struct job_progress {
  job_id job;
  job_phase phase{job_phase::queued};
  std::vector<unit_progress> units;
  std::vector<done_units> done;
  /// Occurrences of which all units are done and not in `done`.
  std::vector<number_range> done_occurrences;
};

/// Start `task` on a worker. The order is idempotent.
struct start_order {
  worker_id worker;
  std::string address;
  task_ref task;
  run_number run;
  std::shared_ptr<const std::string> payload;
  std::string checkpoint;
  std::string ticket;                        ///< From the adviser, for queues that need one.
  std::chrono::milliseconds lease_until{0};  ///< On the worker's clock.
};
/// Stop a run, or prevent it from starting if its start order has not arrived yet.
struct stop_order {
  worker_id worker;
  std::string address;
  task_ref task;
  run_number run;
};
/// Renew the lease of all runs on a worker and read its lists of running and ended runs.
struct renew_order {
  worker_id worker;
  std::string address;
  std::uint64_t acknowledged_through{0};  ///< The worker may drop ended runs up to this number; 0 for none.
  std::optional<std::chrono::milliseconds> lease_until;  ///< On the worker's clock; empty to only read.
  std::chrono::milliseconds wait{0};                     ///< Long poll: how long to wait for a run to end.
};
/// Store these rows, then call `stored`.
struct store_progress {
  std::vector<job_progress> jobs;
};
/// A worker that gets no new work, and the tasks that may still run there.
struct leaving_worker {
  worker_id worker;
  std::vector<task_ref> tasks;
  friend bool operator==(const leaving_worker&, const leaving_worker&) = default;
};
/// Store the ids of all workers that may have work. No worker starts anything before its id is stored, so
/// that the next owner knows which workers to wait for. Of a worker in `leaving`, only the tasks listed there
/// must wait for it.
struct store_workers {
  std::vector<worker_id> workers;
  std::vector<leaving_worker> leaving;
};
/// A worker rejected an order because it has seen orders of a newer owner.
struct owner_superseded {
  worker_id worker;
};
/// One decision, for the log. `inputs` are name-value pairs.
struct decision_record {
  std::string_view event;
  job_id job;
  std::string reason;
  std::vector<std::pair<std::string_view, std::string>> inputs;
  /// How long the decision was waited for: a placement, the end of a job, or the end of recovery.
  std::optional<duration> took;
};

using scheduler_action = std::variant<start_order, stop_order, renew_order, store_progress, store_workers,
                                      owner_superseded, advice_request, decision_record>;

enum class renewal_failure {
  unanswered,      ///< The worker may still process the renewal.
  refused,         ///< Connection refused.
  other_instance,  ///< Another instance responds at the address.
};

enum class stop_result {
  acknowledged,    ///< The run ends within the worker's stop time, or will never start.
  unanswered,      ///< The worker may still process the order.
  other_instance,  ///< Another instance responds at the address.
};

using start_result = std::variant<start_accepted, start_refused, order_unanswered, wrong_instance>;

/// Schedules the jobs of all queues onto all workers during one ownership term. Only the current owner sends
/// orders. The workers' lists are authoritative for what runs, so a new owner rebuilds its state from the
/// stored rows and one report of each worker.
///
/// A state machine without I/O: it takes time and events as input, and the caller carries out the actions
/// that `take_actions` returns.
class job_scheduler {
 public:
  struct options {
    /// Lease that each renewal grants. It outlasts a failover to another owner (about 4 s) and a typical
    /// network partition of a worker (6 s). The platform's upper limit is 10 s.
    duration worker_lease{std::chrono::milliseconds{9500}};
    /// The same for a worker with tasks that last, which must run again 9 s after their worker has died.
    duration lasting_task_lease{std::chrono::milliseconds{8000}};
    /// Longest lease that any owner may have granted. An unreachable worker runs nothing once it has passed.
    duration max_lease{std::chrono::seconds{10}};
    /// Maximum rate at which a worker's clock runs slow, as a share of real time.
    double clock_drift{0.02};
    /// How long a renewal waits on the worker for a run to end. Bounds the age of the last report.
    duration renew_wait{std::chrono::milliseconds{1000}};
    /// Maximum time that a worker takes to stop a run.
    duration stop_timeout{std::chrono::milliseconds{200}};
    /// A draining worker stays for at least this long if its entry names no time.
    duration drain_time{std::chrono::milliseconds{2000}};
    /// Workers write their entries in the registry about this often.
    duration heartbeat_interval{std::chrono::milliseconds{1500}};
    /// Slowdown of a task that runs outside the rack of its data, or of a gang spread over racks.
    double remote_factor{3.0};
    /// A run without progress for this long is considered stalled.
    duration stall_timeout{std::chrono::milliseconds{2500}};
    /// After a first failed run, a worker is used only as a last resort for this long.
    duration suspect_duration{std::chrono::milliseconds{3000}};
    /// Whether placement weighs how fast workers are. Without it all of them count as even.
    bool weigh_worker_speed{true};
    /// Tasks on workers, reserved ones included, that the owner keeps the state of. The share of each team is
    /// as `leaves_as_much_for_others` has it; its first unit needs room only.
    std::size_t max_tasks{65'536};
    /// What jobs that have not expired may make the owner keep, by `cost_of`. Jobs that were stored are taken
    /// up in any case.
    std::uint64_t max_work_bytes{30U << 20U};
    /// How long ended jobs can be queried before they are deleted.
    duration ended_job_retention{std::chrono::seconds{150}};
  };

  job_scheduler(options opts, owner_term term, instant now);
  job_scheduler(const job_scheduler&) = delete;
  job_scheduler(job_scheduler&&) = delete;
  job_scheduler& operator=(const job_scheduler&) = delete;
  job_scheduler& operator=(job_scheduler&&) = delete;
  ~job_scheduler();

  void set_config(std::shared_ptr<const fleet_config> config, instant now);
  /// `wall` is the wall clock at `now`, since the Unix epoch. It determines when occurrences are due.
  void set_wall_clock(std::chrono::milliseconds wall, instant now);

  /// Starts recovery: `workers` may run work of the previous owner. Jobs that it may have started are not
  /// placed until each of these workers has reported or its longest lease has passed. For those in `leaving`,
  /// only the tasks listed there wait.
  void expect_workers(const std::vector<worker_id>& workers, const std::vector<leaving_worker>& leaving,
                      instant now);
  /// Updates the workers from a list of the registry that was requested at `requested`. Workers that are no
  /// longer listed are kept while they have work.
  void set_workers(const std::vector<worker_entry>& entries, instant requested, instant now);
  /// The failure domains in which nothing is started until they are taken out again. What runs there goes on;
  /// starts that a worker there has not confirmed are withdrawn.
  void evacuate_domains(std::set<failure_domain_id> domains, instant now);
  /// Adds an accepted job. `inherited` is true if a previous owner may have started it. Repeated calls for
  /// the same job are ignored.
  void add_job(const accepted_job& job, const std::optional<job_progress>& progress, bool inherited,
               instant now);
  void cancel_job(const job_id& id, instant now);
  /// Sets aside what a job costs that is about to be stored, as `work_budget::reserve`.
  [[nodiscard]] bool reserve_work(const job_id& job, const team_id& team, std::uint64_t bytes, instant now);
  /// Teams whose jobs take as much as they may. Further jobs of theirs should not be accepted.
  [[nodiscard]] const std::set<team_id>& full_teams() const;
  /// Bytes that the jobs cost that have not expired.
  [[nodiscard]] std::uint64_t work_bytes() const;
  /// While held, no task is started and no unanswered start is repeated, because cancellations may be
  /// unknown; renewals and stops go on. Returns whether this changes anything.
  bool hold_starts(bool hold);

  /// Takes the response to a renewal that was sent at `sent`.
  void worker_reported(const renew_order& order, const lease_report& report, instant sent, instant now);
  /// A renewal failed without a report.
  void worker_unreachable(const renew_order& order, renewal_failure failure, instant now);
  void start_answered(const start_order& order, const start_result& result, instant now);
  void stop_answered(const stop_order& order, stop_result result, instant now);
  /// Takes the adviser's answer to an `advice_request`; `granted` has no value if the call failed.
  void advice_answered(const step_ref& step, const std::optional<std::vector<granted_ticket>>& granted,
                       instant now);
  /// The last `store_progress` was committed.
  void stored(instant now);
  /// The last `store_workers` was committed.
  void workers_stored(instant now);
  /// Places waiting units, retries unanswered orders and renews leases that are due.
  void tick(instant now);

  [[nodiscard]] std::vector<scheduler_action> take_actions();
  /// Whether a queued start order must still be sent. If the run has ended in the meantime, a restarted
  /// worker would start it again.
  [[nodiscard]] bool start_still_needed(const start_order& order) const;
  /// When `tick` must be called next if no other event occurs.
  [[nodiscard]] instant next_deadline(instant now) const;

  /// The phase to report to callers (a terminal phase only once it is stored), or nothing for an unknown job.
  [[nodiscard]] std::optional<job_phase> phase(const job_id& id) const;
  /// Number of accepted jobs by queue for which no task has started.
  [[nodiscard]] std::map<queue_id, std::uint64_t> waiting_jobs() const;
  /// Number of workers that are judged slow.
  [[nodiscard]] std::size_t slow_workers() const;
  /// Number of steps of which the adviser's answers are kept: those that were asked about and are not done.
  [[nodiscard]] std::size_t advised_steps() const;
  /// Removes and returns the jobs that ended more than `ended_job_retention` ago, so that the caller can
  /// delete their rows.
  [[nodiscard]] std::vector<job_id> take_expired(instant now);
  [[nodiscard]] std::size_t job_count() const;
  /// Whether recovery after a change of owner is still in progress.
  [[nodiscard]] bool recovering() const;

 private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace rhubarbpath

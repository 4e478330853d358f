#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "rhubarbpath/coordination/ticket_book.hpp"
#include "rhubarbpath/state/fleet.hpp"

namespace rhubarbpath {

/// What is stored about one task or gang beyond its specification; defaults are not stored.
struct unit_progress {
  std::uint32_t occurrence{0};
  std::uint32_t step{0};
  std::uint32_t unit{0};
  bool done{false};
  /// Runs that ended as failed. Each counts once, however often and in which order the workers' lists
  /// tell of it.
  std::vector<run_number> failed_runs;
  run_number last_run;
  std::string checkpoint;

  friend bool operator==(const unit_progress&, const unit_progress&) = default;
};

/// The stored progress of one job.
struct job_progress {
  job_id job;
  job_phase phase{job_phase::queued};
  std::vector<unit_progress> units;
};

/// Start `task` on a worker. Repeating the same order is harmless.
struct start_order {
  worker_id worker;
  std::string address;
  task_ref task;
  run_number run;
  std::string payload;
  std::string checkpoint;
  std::string ticket;                        ///< The adviser's, for queues that need one.
  std::chrono::milliseconds lease_until{0};  ///< On the worker's clock.
};
/// Stop a run, or prevent it from starting if the start has not arrived yet.
struct stop_order {
  worker_id worker;
  std::string address;
  task_ref task;
  run_number run;
};
/// Renew the lease of everything on a worker and read its lists.
struct renew_order {
  worker_id worker;
  std::string address;
  std::uint64_t acknowledged_through{0};
  std::optional<std::chrono::milliseconds> lease_until;  ///< On the worker's clock.
  std::chrono::milliseconds wait{0};
};
/// Store these rows, then call `stored`.
struct store_progress {
  std::vector<job_progress> jobs;
};
/// Store the ids of all workers that may hold work, before any of them gets an order.
struct store_workers {
  std::vector<worker_id> workers;
};
/// A worker has seen orders of a newer owner.
struct owner_superseded {
  worker_id worker;
};
/// One decision, for the log. `inputs` are name and value pairs.
struct decision_record {
  std::string_view event;
  job_id job;
  std::string reason;
  std::vector<std::pair<std::string_view, std::string>> inputs;
  /// The wait that this decision ended: for space, for the end of a job, or for workers.
  std::optional<duration> took;
};

using scheduler_action = std::variant<start_order, stop_order, renew_order, store_progress, store_workers,
                                      owner_superseded, advice_request, decision_record>;

enum class renewal_failure {
  unanswered,      ///< It may be carried out later.
  refused,         ///< Nothing listens at the address.
  other_instance,  ///< Another instance answers at the address.
};

using start_result = std::variant<start_accepted, start_refused, order_unanswered, wrong_instance>;

/// Schedules the jobs of all queues onto all workers during one ownership term. It is the only giver of
/// orders while its term lasts; the workers' own lists are the truth about what runs, so a new owner
/// rebuilds everything from the stored rows and one report of each worker.
///
/// Pure: time and events go in, actions come out through `take_actions`.
class job_scheduler {
 public:
  struct options {
    /// Lease that each order grants on a worker. It survives a change of owner (about 4 s) and the usual
    /// cut of a worker (6 s); the platform's upper limit is 10 s.
    duration worker_lease{std::chrono::milliseconds{9500}};
    /// Longest lease that any owner may have granted; an unreachable worker is empty after it.
    duration longest_lease{std::chrono::seconds{10}};
    /// A worker's clock may lose this share of real time.
    double clock_drift{0.02};
    /// Wait of a lease renewal for an end; bounds how old the knowledge of a worker is.
    duration renew_wait{std::chrono::milliseconds{1000}};
    /// A stop takes at most this long on a worker.
    duration stop_timeout{std::chrono::milliseconds{200}};
    /// Factor on a task's duration away from its data or from its gang's rack.
    double remote_factor{3.0};
    /// Progress that has not moved for this long means that the worker stands still.
    duration stall_timeout{std::chrono::milliseconds{2500}};
    /// A first failure on a worker makes it the last choice for this long.
    duration suspicion{std::chrono::milliseconds{3000}};
    /// Ended jobs are shown for this long before they are forgotten.
    duration keep_ended{std::chrono::seconds{150}};
  };

  job_scheduler(options opts, owner_term term, instant now);
  job_scheduler(const job_scheduler&) = delete;
  job_scheduler(job_scheduler&&) = delete;
  job_scheduler& operator=(const job_scheduler&) = delete;
  job_scheduler& operator=(job_scheduler&&) = delete;
  ~job_scheduler();

  void set_config(std::shared_ptr<const fleet_config> config, instant now);
  /// `wall` is the time of day that belongs to `now`; occurrences are due by it.
  void set_wall_clock(std::chrono::milliseconds wall, instant now);

  /// Workers that the previous owner may have given work to. Jobs that it may have started are held
  /// back until each of them has reported or its longest lease has passed.
  void expect_workers(const std::vector<worker_id>& workers, instant now);
  /// Takes the registry's list; workers that are missing are kept while they hold work.
  void set_workers(const std::vector<worker_entry>& entries, instant now);
  /// `inherited` is true when the previous owner may have started the job. Repeated calls are ignored.
  void add_job(const accepted_job& job, const std::optional<job_progress>& progress, bool inherited,
               instant now);
  void cancel_job(const job_id& id, instant now);

  /// The answer to a renewal that was sent at `sent`.
  void worker_reported(const worker_id& id, const lease_report& report, instant sent, instant now);
  /// A renewal that brought no report.
  void worker_unreachable(const worker_id& id, renewal_failure failure, instant now);
  void start_answered(const worker_id& id, const task_ref& task, run_number run, const start_result& result,
                      instant now);
  void stop_answered(const worker_id& id, const task_ref& task, run_number run, bool answered, instant now);
  /// The adviser's answer to an `advice_request`; without a value the call failed.
  void advice_answered(const step_ref& step, const std::optional<std::vector<granted_ticket>>& granted,
                       instant now);
  /// The last `store_progress` is stored.
  void stored(instant now);
  /// The last `store_workers` is stored.
  void workers_stored(instant now);
  /// Places waiting work, repeats orders and renews leases that are due.
  void tick(instant now);

  [[nodiscard]] std::vector<scheduler_action> take_actions();
  /// Whether a start that has not been sent yet is still to be sent. A worker that restarts would carry out
  /// a start of a run that has ended since.
  [[nodiscard]] bool wants(const start_order& order) const;
  /// When `tick` is needed next if nothing else happens.
  [[nodiscard]] instant next_deadline(instant now) const;

  /// The phase that callers may be shown, or nothing for an unknown job.
  [[nodiscard]] std::optional<job_phase> phase(const job_id& id) const;
  /// Accepted jobs of a queue for which no task has started.
  [[nodiscard]] std::map<queue_id, std::uint64_t> waiting_jobs() const;
  /// Jobs that ended long ago; their rows may be deleted. Each is returned once.
  [[nodiscard]] std::vector<job_id> take_expired(instant now);
  [[nodiscard]] std::size_t job_count() const;
  [[nodiscard]] bool recovering() const;

 private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace rhubarbpath

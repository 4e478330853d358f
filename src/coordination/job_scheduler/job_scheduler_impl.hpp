#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/node_hash_map.h"
#include "absl/functional/function_ref.h"
#include "absl/strings/str_cat.h"
#include "job_units.hpp"
#include "rhubarbpath/coordination/free_space_index.hpp"
#include "rhubarbpath/coordination/job_scheduler.hpp"
#include "rhubarbpath/coordination/worker_health.hpp"
#include "rhubarbpath/coordination/worker_speed.hpp"
#include "run_end.hpp"

namespace rhubarbpath {

namespace detail {

/// Delay before an unanswered order is retried.
constexpr duration order_repeat_pause{std::chrono::milliseconds{30}};
/// Number of unanswered attempts after which a start is abandoned. At the transport's timeout of 400 ms per
/// attempt, this is well before the other members of a gang time out.
constexpr int max_start_attempts = 4;
/// How long an order without an answer is taken to be still on its way.
constexpr duration max_order_delay{std::chrono::seconds{15}};
/// Delay between renewals while ended runs wait to be stored, or after a failed renewal.
constexpr duration renew_pause{std::chrono::milliseconds{150}};
/// Delay before a gang or task that could not be started is placed again.
constexpr duration placement_pause{std::chrono::milliseconds{60}};
/// A reservation is released if its space has not become free within this time.
constexpr duration reservation_timeout{std::chrono::milliseconds{1200}};
/// Interval of renewals to a worker whose address answers as another instance, while it is still listed.
constexpr duration replaced_pause{std::chrono::seconds{2}};
/// A worker that has not reported for longer is read before it gets a start: it may be cut off, and the
/// owner's idea of its clock ages. Idle workers are not called.
constexpr duration max_report_age{std::chrono::seconds{3}};
/// How long a start waits for the report of its worker before it is placed on others. The call goes on.
constexpr duration max_report_wait{std::chrono::milliseconds{100}};
/// Interval of the checks for expired leases, retries, stalls and due renewals; bounds how late they act.
constexpr duration scan_interval{std::chrono::milliseconds{25}};
/// Number of consecutive failed renewals after which a worker gets no new work.
constexpr int unusable_after_failed_renewals = 1;
/// Number after which it is stored as out of use. Until that is revoked in the store it gets no work, so a
/// single lost answer does not count.
constexpr int out_of_use_after_failed_renewals = 3;

/// By step, how long the longest chain of steps takes that wait for it, by their estimates.
[[nodiscard]] std::vector<duration> times_after(const job_graph& graph);

struct job_state {
  explicit job_state(const accepted_job& accepted);

  /// The least time that an occurrence takes, by the estimates of its steps.
  [[nodiscard]] duration critical_path() const;
  /// Drops what only a job needs that has not ended.
  void release_graph();

  accepted_job job;
  work_cost cost;
  std::uint64_t counted_bytes{0};  ///< What of `cost` the budget of the scheduler counts now.
  const queue_config* queue{nullptr};
  job_units units;
  std::vector<duration> time_after;            ///< By step, as `times_after` has it.
  std::shared_ptr<const std::string> payload;  ///< Shared by all its start orders.
  bool lasts{false};                           ///< Has tasks that last until the job is cancelled.
  job_phase phase{job_phase::queued};
  job_phase stored_phase{job_phase::queued};
  bool has_started_task{false};
  bool dirty{false};
  instant added_at{};
  instant objective{};  ///< When the job should be complete.
  instant ended_at{};
  std::size_t assigned_members{0};  ///< Members that are starting, running or stopping.
  bool inherited{false};            ///< A previous owner may have started it.
  /// Since when it has had nothing running although a task's turn has come.
  std::optional<instant> stands_since;
  instant next_stand_report{};
};

/// A task that is starting, running or stopping on a worker.
struct assigned_task {
  job_state* job{nullptr};
  unit* parent{nullptr};
  std::size_t index{0};  ///< Of the member in its unit.

  friend bool operator==(const assigned_task&, const assigned_task&) = default;
};

/// A start that may still be carried out on a worker, although the run was stopped there. A later incarnation
/// of the worker does not know of the stop.
struct late_start {
  task_ref task;
  run_number run;
  instant expires_at{};
};

struct worker_state {
  worker_entry entry;
  bool listed{false};
  bool evacuated{false};  ///< It is in one of `evacuated_domains` of the scheduler.
  /// The first report of this term has arrived, so the worker rejects orders of earlier owners.
  bool reported{false};
  incarnation born;
  std::string answered_at;  ///< Address at which it last reported, or accepted a start.
  std::chrono::milliseconds clock{0};
  instant clock_at{};
  std::chrono::milliseconds lease_until{0};
  resource_amounts used;
  resource_amounts reserved;
  std::vector<assigned_task> tasks;
  /// How many of them the worker has not confirmed, by team.
  absl::flat_hash_map<team_id, std::size_t> starting;
  std::vector<assigned_task> reserved_tasks;  ///< For which `reserved` is.
  /// Position in the index of its service; empty until the worker is listed.
  std::optional<worker_slot> slot;
  bool stored{false};  ///< Its id is in the stored set of workers, so it may get orders.
  /// The stored row says that the worker gets no new work. Before it gets some, the row is written again.
  bool stored_as_leaving{false};
  bool set_aside{false};  ///< Its runs fail, by `worker_health`.
  bool trial{false};      ///< One run may show whether a worker that is set aside works again.
  /// The worker announced that it is draining, so it is expected to leave.
  bool was_draining{false};
  /// While it drains: it does not leave before this time.
  instant leaves_at{};
  /// Highest number of the worker's ended runs that was processed, is being stored, and is stored and thus
  /// may be acknowledged.
  std::uint64_t seen_through{0};
  std::uint64_t flushing_through{0};
  std::uint64_t acknowledged_through{0};
  /// The worker has answered a renewal that acknowledged ended runs up to this number.
  std::uint64_t acknowledged_confirmed{0};
  std::uint64_t acknowledging{0};       ///< What the renewal in flight acknowledges.
  bool has_unacknowledged_ends{false};  ///< Is in `workers_with_ends` of the scheduler.
  /// Tasks whose ends are not stored yet, by number of the end. The next owner must ask this worker for them.
  std::map<std::uint64_t, task_ref> unstored_ends;
  bool renewing{false};
  instant renew_at{};
  /// An order to it or to a worker in its rack had no answer, or its entry names another incarnation or
  /// address: it gets no start before it has reported after this time.
  instant doubted_at{};
  std::optional<instant> report_wanted;  ///< Since when a start waits for its report.
  int failed_renewals{0};
  bool replaced{false};       ///< Another instance responds at the worker's address.
  instant first_report_at{};  ///< Of this term.
  bool has_complete_report{false};
  /// The last report listed runs that no unit tracks.
  bool has_strays{false};
  /// Leases are not known to have passed before this time, because the worker was started again.
  instant lease_unknown_until{};
  std::vector<late_start> late_starts;
  /// A renewal without an answer may still extend the lease until then, also that of a later incarnation.
  instant lease_order_open_until{};
  int consecutive_failures{0};
  instant suspect_until{};  ///< Used only as a last resort until then, after a failed or stalled run.
  instant full_until{};     ///< Gets no new work until then, after it refused a start.
  worker_speed::estimate speed;
  speed_level level{speed_level::normal};  ///< By `speed`.
  instant level_due{};                     ///< When the age of the evidence is to be looked at again.
};

/// Whether the member has this run on this worker.
inline bool is_run(const member& one, const worker_id& worker, run_number run) {
  return one.worker != nullptr && one.run == run && one.worker->entry.id == worker;
}

/// Changes the phase of a member of the job that is on a worker.
inline void set_phase(const job_state& job, member& one, member_phase phase) {
  const bool was_starting = one.phase == member_phase::starting;
  one.phase = phase;
  if (was_starting == (phase == member_phase::starting)) {
    return;
  }
  auto& starting = one.worker->starting;
  if (!was_starting) {
    ++starting[job.job.team];
  } else if (--starting[job.job.team] == 0) {
    starting.erase(job.job.team);
  }
}

/// Whole milliseconds, for the log.
inline std::string millis_text(duration value) {
  return absl::StrCat(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

/// "timed" jobs and "lasting" ones, whose steps last until they are cancelled, have no objective as a whole.
inline std::string_view kind_of(const job_state& job) {
  return job.job.graph.occurrences > 0 ? "timed" : job.lasts ? "lasting" : "once";
}

/// Tasks of one occurrence.
inline std::uint64_t task_count(const job_graph& graph) {
  std::uint64_t count = 0;
  for (const auto& step : graph.steps) {
    count += step.count;
  }
  return count;
}

/// Whether the step runs slower outside the rack of its data, or as a gang spread over racks.
inline bool prefers_rack(const step_spec& step) {
  return !step.data_rack.empty() || (step.gang && step.same_rack);
}

/// Identifies a unit for `worker_health`, which tells faulty workers from tasks that fail everywhere. A job
/// would be too coarse: the tasks of a wide one run on several faulty workers at a time.
inline job_id health_key(const job_state& job, const unit& each) {
  return job_id{absl::StrCat(job.job.id.value(), "/", each.occurrence, ".", each.step, ".", each.number)};
}

/// Whether the worker's capacity, and what is used of it, counts when the use of its service is judged. What
/// an unreachable worker runs, or one in an evacuated failure domain, is out of use for everyone else.
inline bool in_reach(const worker_state& worker) {
  return worker.listed && !worker.replaced && !worker.evacuated &&
         worker.failed_renewals < unusable_after_failed_renewals;
}

inline bool has_required_label(const worker_state& worker, const step_spec& step) {
  const auto& labels = worker.entry.labels;
  return step.required_label.empty() ||
         std::find(labels.begin(), labels.end(), step.required_label) != labels.end();
}

/// The workers of one service. `workers` is ordered by slot.
struct service_space {
  free_space_index index;
  std::vector<worker_state*> workers;
  /// Of all workers that are in reach. Ends of runs count from the next placement pass on.
  resource_amounts capacity;
  resource_amounts used;
  /// Whether at most half of every resource is in use.
  [[nodiscard]] bool half_free() const { return (capacity - used).covers(used); }
  [[nodiscard]] worker_state& at(worker_slot slot) const {
    return *workers[static_cast<std::uint32_t>(slot)];
  }
};

}  // namespace detail

struct job_scheduler::implementation {
  implementation(options chosen, owner_term own_term, instant now)
      : opts{chosen}, term{own_term}, started_at{now}, recovery_ends{now}, work{chosen.max_work_bytes} {}

  options opts;
  owner_term term;
  instant started_at;
  std::shared_ptr<const fleet_config> config;
  std::chrono::milliseconds wall{0};
  instant wall_at{};
  absl::node_hash_map<job_id, detail::job_state> jobs;
  /// Jobs that have not ended, or that may still have runs that are stopping. Scans cover only these.
  std::map<job_id, detail::job_state*> open_jobs;
  /// Units with a member that is reserved, starting, running or stopping. Units that no longer have one are
  /// dropped by `repeat_orders`. Scans cover only these, because most units of a long queue wait.
  std::vector<std::pair<detail::job_state*, detail::unit*>> active_units;
  std::map<worker_id, detail::worker_state> workers;
  std::map<service_id, detail::service_space> services;
  std::set<failure_domain_id> evacuated_domains;
  /// Those of them that are not logged yet, because the registry has not been read.
  std::set<failure_domain_id> unrecorded_evacuations;
  /// Workers with ended runs that are not acknowledged yet.
  std::vector<detail::worker_state*> workers_with_ends;
  std::set<worker_id> unreported_workers;  ///< Workers whose first complete report recovery waits for.
  /// Leaving workers of the previous owner that have not reported, with the tasks that may run there.
  std::map<worker_id, std::vector<task_ref>> unreported_leaving;
  /// All tasks in `unreported_leaving`. They are not placed.
  absl::flat_hash_set<task_ref> blocked_tasks;
  /// Workers that may have runs of the previous owner and have not reported in this term, without leaving
  /// ones.
  std::set<worker_id> expected_workers;
  bool recovery{false};
  instant recovery_ends;
  work_budget work;
  instant recovery_not_before{};
  std::set<job_id> dirty;
  bool storing{false};
  std::vector<std::pair<job_id, job_phase>> phases_being_stored;
  std::set<worker_id> stored_workers;
  std::set<worker_id> worker_set_being_stored;
  std::set<worker_id> stored_leaving;
  std::set<worker_id> leaving_being_stored;
  bool storing_workers{false};
  /// A worker has reported for the first time, so it may get work once stored, or was found to be silent, or
  /// answers again.
  bool worker_set_due{false};
  bool placement_due{true};
  bool starts_held{false};
  std::optional<instant> registry_requested;  ///< When the last list of the registry was requested.
  instant next_placement{};
  instant next_recheck{};
  instant next_scan{};
  instant next_expiry{};
  instant next_stand_check{};
  std::size_t reserved_units{0};
  /// Members in every phase but `none`.
  std::size_t task_count{0};
  absl::flat_hash_map<team_id, std::size_t> task_count_by_team;
  ticket_book tickets{{}};
  worker_health health{{.failures_to_set_aside = 3,
                        .workers_to_fail_job = 3,
                        .initial_backoff = std::chrono::seconds{3},
                        .max_backoff = std::chrono::seconds{12}}};
  worker_speed speeds;
  std::size_t slow_workers{0};
  /// Judgements are logged up to `max_logged_judgements` for each second; the others are counted.
  instant judgements_since{};
  int judgements_logged{0};
  int judgements_not_logged{0};
  std::vector<scheduler_action> actions;

  // job_scheduler.cpp
  [[nodiscard]] const queue_config* find_queue(const queue_id& id) const;
  /// Points the job to its queue in the configuration, or to its terms if the queue was removed.
  void attach_queue(detail::job_state& job) const;
  [[nodiscard]] detail::job_state* find_job(const job_id& id);
  [[nodiscard]] detail::unit* find_unit(const task_ref& task, std::uint32_t* member_index);
  /// As `find_unit`, for a task that a worker names: creates the unit if the job has not ended.
  [[nodiscard]] detail::unit* find_reported_unit(const task_ref& task, std::uint32_t* member_index,
                                                 instant now);
  static void mark_waiting(detail::job_state& job, const detail::unit& unit);
  [[nodiscard]] static const step_spec& step_of(const detail::job_state& job, const detail::unit& unit) {
    return job.job.graph.steps[unit.step];
  }
  [[nodiscard]] static task_ref task_of(const detail::job_state& job, const detail::unit& unit,
                                        std::size_t index) {
    return {.job = job.job.id,
            .occurrence = unit.occurrence,
            .step = unit.step,
            .index = unit.first_index + static_cast<std::uint32_t>(index)};
  }
  /// Whether units that are opened now may have been started by a previous owner.
  [[nodiscard]] bool opens_inherited(const detail::job_state& job) const {
    return job.inherited && (recovery || !unreported_leaving.empty());
  }
  /// Opens the occurrences that are due.
  void open_due_occurrences(detail::job_state& job, instant now) const;
  void apply_progress(detail::job_state& job, const job_progress& progress, instant now) const;
  /// Drops what only a job needs that has not ended.
  void release_graph(detail::job_state& job);
  void mark_dirty(detail::job_state& job);
  void end_job(detail::job_state& job, job_phase phase, instant now);
  void complete_unit(detail::job_state& job, detail::unit& unit, instant now);
  /// Counts a failed run once; fails the job when the queue's limit of attempts is reached.
  void record_failed_run(detail::job_state& job, detail::unit& unit, run_number run, instant now);
  /// Stops all members of a unit. The unit returns to waiting once all of them have ended.
  void end_unit(detail::job_state& job, detail::unit& unit, instant now);
  /// Returns an ending unit to waiting if all its members have ended.
  void requeue_if_ended(detail::job_state& job, detail::unit& unit, instant now);
  /// Assigns a task to the worker of its member.
  void assign_member(detail::job_state& job, detail::unit& unit, std::size_t index);
  /// Frees a member whose run is over. The only way in which a run leaves its worker.
  void end_run(detail::job_state& job, detail::unit& unit, std::size_t index, const detail::run_end& end,
               instant now);
  void track(detail::job_state& job, detail::unit& unit);
  void finish_recovery(instant now);
  /// Stores what has changed, or acknowledges the ended runs that change nothing.
  void flush(instant now);
  /// Lets the workers drop the ended runs whose outcome is stored.
  void acknowledge_stored_ends(instant now);
  [[nodiscard]] static job_progress progress_of(const detail::job_state& job);
  /// Deletes units that are done, and all units of jobs that have ended, once nothing of them is left on a
  /// worker.
  void release_units(instant now);
  void forget_unit(const detail::job_state& job, const detail::unit& forgotten, instant now);
  void record(std::string_view event, const job_id& job, std::string reason,
              std::vector<std::pair<std::string_view, std::string>> inputs = {},
              std::optional<duration> took = std::nullopt);

  // job_scheduler_workers.cpp
  /// Whether the worker is silent and its runs are over, because their lease has passed.
  [[nodiscard]] bool lease_has_passed(const detail::worker_state& worker, instant now) const;
  /// Whether the worker has reported in this term, but may still have to name runs of an earlier owner.
  [[nodiscard]] bool report_incomplete(const worker_id& id, instant now) const;
  /// A duration as the owner's clock shows it when a worker's clock, which may run slow, has measured it.
  [[nodiscard]] duration on_slow_clock(duration span) const;
  /// Time after the answer to a stop from which the run is not running any more.
  [[nodiscard]] duration stop_grace() const;
  [[nodiscard]] std::chrono::milliseconds worker_clock(const detail::worker_state& worker, instant now) const;
  [[nodiscard]] std::chrono::milliseconds lease_end(const detail::worker_state& worker, instant now) const;
  void order_start(detail::job_state& job, detail::unit& unit, std::size_t index, instant now);
  void start_unanswered(detail::job_state& job, detail::unit& unit, std::size_t index, instant now);
  void start_rejected(detail::job_state& job, detail::unit& unit, std::size_t index,
                      const start_refused& refused, instant now);
  void order_stop(detail::job_state& job, detail::unit& unit, std::size_t index);
  /// Whether the worker has to report before it gets a start. An idle one may be cut off without notice; one
  /// that runs something is called all the time.
  [[nodiscard]] static bool must_report(const detail::worker_state& worker, const detail::unit& unit,
                                        instant now);
  /// Reads the worker's lists without granting a lease. If it is doubted, so are the other doubted workers of
  /// its rack: a rack that is out of reach then costs the time of one unanswered call, not one for each.
  void request_report(detail::worker_state& worker, instant now);
  /// An order to the worker had no answer: what it shares its rack with may be out of reach as well.
  void doubt_rack_of(detail::worker_state& worker, instant now);
  void renew_workers(instant now);
  void renew_worker(detail::worker_state& worker, instant now);
  /// How long a renewal may wait on the worker for a run to end.
  [[nodiscard]] std::chrono::milliseconds longest_wait(const detail::worker_state& worker, instant now) const;
  void expire_silent_workers(instant now);
  /// Another instance responds at `address`. If the worker itself answered there before, it runs nothing any
  /// more. Runs of a worker that answered elsewhere are kept until it reports or its lease expires.
  void instance_replaced(detail::worker_state& worker, const std::string& address, instant now);
  void forget_worker(detail::worker_state& worker);
  /// Reports an outcome or the passing of time to `worker_health` and applies what it decides.
  void update_health(const worker_health::event& event, instant now);
  /// The worker has reported all that runs there, or nothing can run there any more.
  void unblock_tasks_of(const worker_id& worker);
  /// Unblocks the tasks of leaving workers on which no stop of an earlier owner is in progress any more.
  void unblock_reported_tasks(instant now);
  [[nodiscard]] bool blocked(const detail::job_state& job, const detail::unit& unit) const;
  [[nodiscard]] std::vector<leaving_worker> leaving_workers(instant now) const;
  /// Keeps the worker in the index of its service and rack.
  void index_worker(detail::worker_state& worker, const worker_entry& entry);
  void repeat_orders(instant now);
  /// Whether the next owner must wait for what the worker reports. A worker that has never answered in this
  /// term got no work, and may not exist: another writer may have left its entry.
  [[nodiscard]] static bool may_have_work(const detail::worker_state& worker) {
    return (worker.listed && worker.reported) || !worker.tasks.empty() || !worker.unstored_ends.empty();
  }
  /// Whether the worker gets no new work and all that may run there is known, so that the next owner needs to
  /// let only this wait. That holds for a draining worker, and for one that has not answered for a while.
  [[nodiscard]] bool is_out_of_use(const detail::worker_state& worker, instant now) const;
  void store_worker_set(instant now);

  // job_scheduler_reports.cpp
  void note_incarnation(detail::worker_state& worker, const lease_report& report, instant now);
  /// Updates, adopts or stops a run that the worker lists as running.
  void process_active_run(detail::worker_state& worker, const active_run& run, instant now);
  /// Stops a listed run that cannot be adopted. If its task is waiting, it waits until the run is over.
  void stop_stray(detail::worker_state& worker, const active_run& run, detail::unit* parent,
                  std::size_t index, instant now);
  void process_ended_run(detail::worker_state& worker, const ended_run& end, instant now);
  /// Ends or stops the runs that the worker should be running but does not name in a complete report that was
  /// requested at `sent`.
  void check_unlisted_runs(detail::worker_state& worker, const lease_report& report, instant sent,
                           instant now);
  /// What shows that a run is over which its worker does not name in a complete report. Nothing if a stop
  /// must be ordered first.
  [[nodiscard]] static std::optional<detail::run_end> end_of_unlisted_run(const detail::worker_state& worker,
                                                                          const detail::member& run);
  /// Ends all runs of a worker that runs nothing any more.
  void end_all_runs(detail::worker_state& worker, const detail::run_end& end, instant now);
  void end_runs_of_earlier_incarnations(detail::worker_state& worker, incarnation successor, instant now);
  /// A new incarnation may have carried out orders with a deadline on its predecessor's clock, and those of
  /// an earlier owner until it has reported in this term.
  void expect_unknown_lease(detail::worker_state& worker, bool has_reported, instant now);
  /// Prevents that a new incarnation carries out starts of runs that were stopped on an earlier one.
  void repeat_stops_of_late_starts(detail::worker_state& worker, instant now);
  void detect_stalls(instant now);

  // job_scheduler_domains.cpp
  /// Logs the evacuations that began, once the workers are known.
  void record_evacuations();
  /// Space that is held back may be in a failure domain whose use has changed.
  void forget_plans();
  /// Stops the units that a worker in an evacuated failure domain has not confirmed, and releases what is
  /// reserved there. An order may still be on its way.
  void withdraw_starts(instant now);

  // job_scheduler_speed.cpp
  [[nodiscard]] worker_speed::run_facts run_facts_of(const detail::job_state& job,
                                                     const detail::unit& unit) const;
  /// The first member of a running unit was listed with progress.
  void note_progress(detail::job_state& job, detail::unit& unit, instant now);
  /// The unit is about to end well, and its members are still assigned.
  void note_end(detail::job_state& job, detail::unit& unit, instant now);
  /// How much longer runs take outside the rack that they prefer.
  [[nodiscard]] log_ratio remote_slowness() const;
  /// Judges the worker by its estimate.
  void judge_speed(detail::worker_state& worker, instant now);
  /// The order in which a unit uses workers of different speed: urgent work and work with no time to spare
  /// the fast ones, work with slack the slow ones.
  [[nodiscard]] speed_order order_for(const detail::job_state& job, const detail::unit& unit,
                                      instant now) const;
  /// How much longer than on workers of normal speed a unit takes there.
  [[nodiscard]] log_ratio slowness_on(const std::vector<detail::worker_state*>& where, instant now) const;

  // job_scheduler_evacuation.cpp
  /// Takes over whether the worker drains, and when it may leave at the earliest.
  void note_drain(detail::worker_state& worker, const worker_entry& entry, instant now) const;
  /// Stops what runs on leaving workers and cannot end before they leave, so that it can start elsewhere. A
  /// task of a worker that has left waits until its lease has expired.
  void evacuate_leaving_workers(instant now);
  [[nodiscard]] bool must_move(const detail::worker_state& worker, const detail::job_state& job,
                               const detail::unit& unit, instant now) const;
  /// When all members of a unit will have ended, by their progress so far. The fast members of a gang wait
  /// for the slow ones. Nothing if a member has made too little progress to tell.
  [[nodiscard]] std::optional<instant> expected_end(const detail::unit& unit, instant now) const;

  // job_scheduler_standing.cpp
  /// The first unit that should be running of a job that stands.
  struct standing_unit {
    detail::occurrence_state* occurrence{nullptr};
    std::uint32_t step{0};
    std::uint32_t number{0};

    /// Null if the unit has not been considered yet.
    [[nodiscard]] const detail::unit* unit_if_any() const;
  };
  /// Logs why jobs stand: they have nothing running although a task's turn has come.
  void report_standing_jobs(instant now);
  [[nodiscard]] static std::optional<standing_unit> find_standing_unit(detail::job_state& job,
                                                                       bool has_running_task);
  [[nodiscard]] detail::unit_wait wait_of(const detail::job_state& job, const standing_unit& standing) const;
  void report_standing(detail::job_state& job, const standing_unit& standing, instant now);

  // job_scheduler_placement.cpp
  /// A step with waiting units, and its sort key for placement.
  struct waiting_step {
    detail::job_state* job{nullptr};
    detail::occurrence_state* occurrence{nullptr};
    std::uint32_t step{0};
    int rank{0};
    instant objective{};
  };
  using placement = std::vector<detail::worker_state*>;
  /// What the adviser must have said about a worker for a placement, on queues that have an adviser.
  enum class advice_level {
    not_refused,  ///< The placement needs an answer first.
    allowed,      ///< The placement needs new tickets first.
    has_ticket    ///< The placement may start now.
  };
  /// Number of occurrences that are due.
  [[nodiscard]] std::uint64_t due_count(const job_graph& graph, instant now) const;
  [[nodiscard]] static bool step_ready(const detail::job_state& job,
                                       const detail::occurrence_state& occurrence, std::uint32_t step);
  [[nodiscard]] std::vector<waiting_step> waiting_steps(instant now);
  /// Adds the job's steps whose turn has come, within the bounds for one job.
  void add_waiting_steps(detail::job_state& job, std::vector<waiting_step>& waiting, instant now);
  /// Whether the team's units that did not fit have taken as much of the pass as they may.
  [[nodiscard]] bool pass_used_up(const team_id& team) const;
  void note_search(const detail::job_state& job, std::size_t cost);
  [[nodiscard]] int rank_of(const detail::job_state& job, const step_spec& step, instant now) const;
  void run_placement_pass(instant now);
  void place_step(const waiting_step& waiting, instant now);
  /// Starts the unit or reserves space for it. Returns why not if neither is possible.
  [[nodiscard]] std::optional<detail::unit_wait> place(detail::job_state& job, detail::unit& unit,
                                                       instant now);
  /// Whether the worker may get new work.
  [[nodiscard]] bool usable(const detail::worker_state& worker, instant now) const;
  /// Number of members of the unit's step that the worker may take, apart from its free space.
  [[nodiscard]] std::uint32_t allowance_on(const detail::worker_state& worker, const detail::job_state& job,
                                           const detail::unit& unit,
                                           advice_level level = advice_level::has_ticket) const;
  /// Whether the worker has as many starts of the job's team to confirm as it may have.
  [[nodiscard]] static bool starts_enough(const detail::worker_state& worker, const detail::job_state& job);
  [[nodiscard]] detail::service_space* space_for(const detail::job_state& job);
  /// Number of tasks of the unit's step that the worker has or that have reserved space there.
  [[nodiscard]] std::uint32_t tasks_of_step(const detail::worker_state& worker, const detail::job_state& job,
                                            const detail::unit& unit) const;
  /// `spread` allows several racks, or a rack without the data.
  [[nodiscard]] placement choose_workers(const detail::job_state& job, const detail::unit& unit, bool spread,
                                         advice_level level = advice_level::has_ticket);
  /// Whether the unit has waited long enough for its preferred rack.
  [[nodiscard]] bool may_spread(const detail::job_state& job, const detail::unit& unit, instant now);
  /// Whether a listed rack could hold the whole unit if all of the rack were free.
  [[nodiscard]] bool fits_an_empty_rack(const detail::job_state& job, const detail::unit& unit);
  [[nodiscard]] static bool fits_an_empty_rack(const detail::service_space& space, const step_spec& step,
                                               std::size_t members);
  /// Whether the job has stood for as long as it may in a fleet with room.
  [[nodiscard]] bool overdue(const detail::job_state& job, instant now) const;
  /// Whether the unit stands and may be tried on a worker that is set aside, although it has failed before.
  [[nodiscard]] bool may_risk_trial(const detail::job_state& job, const detail::unit& unit) const;
  /// Lets workers that are set aside try the unit, which has no other place.
  void begin_trials(const detail::job_state& job, const detail::unit& unit, instant now);
  /// Starts the unit, or reserves the space until all workers have reported that must do so before.
  void start_or_reserve(detail::job_state& job, detail::unit& unit, const placement& where, instant now);
  /// Reserves the space of the unit until `start_reserved` can start it.
  void reserve(detail::job_state& job, detail::unit& unit, const placement& where, instant now);
  void start_unit(detail::job_state& job, detail::unit& unit, const placement& where, instant now);
  void start_reserved(instant now);
  void release_reservation(const detail::job_state& job, detail::unit& unit);
  /// Whether the job's team may have that many tasks more on workers.
  [[nodiscard]] bool may_add_tasks(const detail::job_state& job, std::size_t count) const;
  void count_tasks(const detail::job_state& job, std::ptrdiff_t change);

  // job_scheduler_advice.cpp
  /// What to ask the adviser about for a unit. Each worker is in one of the first two lists at most.
  struct advice_plan {
    placement needed;    ///< That the unit lacks for a place.
    placement spare;     ///< In case that others are refused, or for more units of the step.
    placement reserved;  ///< Where the unit starts with the tickets, one worker for each member; or empty.
    ticket_book::purpose why{ticket_book::purpose::learn};
  };
  /// A unit that could not be placed in this pass, of a queue that has an adviser.
  struct advice_want {
    detail::job_state* job{nullptr};
    detail::unit* waiting{nullptr};
    int rank{0};
  };
  [[nodiscard]] permission permission_on(const detail::worker_state& worker, const detail::job_state& job,
                                         const detail::unit& unit) const;
  [[nodiscard]] bool advice_permits(const detail::worker_state& worker, const detail::job_state& job,
                                    const detail::unit& unit, advice_level level) const;
  /// The ticket for a start; empty for queues without an adviser.
  [[nodiscard]] std::string ticket_for(const detail::worker_state& worker, const detail::job_state& job,
                                       const detail::unit& unit) const;
  /// Whether each member of a unit that has reserved space may be started, as far as tickets go.
  [[nodiscard]] bool all_have_tickets(const detail::job_state& job, const detail::unit& unit,
                                      instant now) const;
  void want_advice(detail::job_state& job, detail::unit& unit, int rank, instant now);
  /// Asks the adviser about one of `advice_wants`, at the end of a placement pass.
  void ask_adviser(instant now);
  /// Asks for what keeps the unit from being placed. A gang reserves its space while it waits for its
  /// tickets. Returns false, and sets the unit's `wait`, if there is nothing to ask.
  bool ask_about(detail::job_state& job, detail::unit& unit, instant now);
  /// Renews tickets for workers without free space, so that the unit starts at once when there is some.
  bool ask_ahead(const detail::job_state& job, const detail::unit& unit, instant now);
  /// Asks for the tickets that a unit with reserved space lacks, because they expired while it waited.
  void renew_tickets(detail::job_state& job, detail::unit& unit, instant now);
  void begin_round(const detail::job_state& job, const detail::unit& unit, const advice_plan& plan,
                   std::string reason, instant now);
  /// After an answer the units of the step are placed at once, while their tickets are fresh. After a call
  /// that failed, space is not reserved for long.
  void end_pauses(const step_ref& step, bool answered, instant now);
  [[nodiscard]] advice_plan plan_advice(const detail::job_state& job, const detail::unit& unit, instant now);
  /// The tickets for a gang that has space on workers that are known to be allowed.
  [[nodiscard]] std::optional<advice_plan> plan_gang_tickets(const detail::job_state& job,
                                                             const detail::unit& unit, instant now);
  /// Allowed workers that lack a ticket, on which an urgent unit fits if others are stopped.
  [[nodiscard]] placement workers_to_preempt_on(const detail::job_state& job, const detail::unit& unit,
                                                instant now);
  /// Workers for the unit that have free space, in its rack or, if it may, elsewhere.
  [[nodiscard]] placement find_space(const detail::job_state& job, const detail::unit& unit,
                                     advice_level level, instant now);
  /// As few workers for the unit as possible. All are in the rack unless it is empty.
  [[nodiscard]] placement find_space_on_few(const detail::job_state& job, const detail::unit& unit,
                                            advice_level level, const rack_id& rack);
  /// As `find_space`, but on few workers if the tickets for so many would not come in time.
  [[nodiscard]] placement find_space_in_time(const detail::job_state& job, const detail::unit& unit,
                                             advice_level level, instant now);
  /// Adds workers that may suit the unit until there are `count`, those with free space first.
  void add_candidates(const detail::job_state& job, const detail::unit& unit, permission known,
                      std::size_t count, placement& chosen, instant now);
  /// Keeps each worker once, without those that have a ticket that is valid until `until`.
  [[nodiscard]] placement without_ticket(const detail::job_state& job, const detail::unit& unit,
                                         const placement& about, instant until) const;
  /// Which answer the unit waits for; nothing if it waits for none.
  [[nodiscard]] std::optional<detail::unit_wait> wait_for_advice(const detail::job_state& job,
                                                                 const detail::unit& unit) const;
  /// Why the unit has no place, once there is nothing more to ask.
  [[nodiscard]] detail::unit_wait wait_for_workers(const detail::job_state& job, const detail::unit& unit,
                                                   instant now);

  // job_scheduler_held_space.cpp
  /// Brings the indexes up to date with all workers at the begin of a pass.
  void refresh_spaces(instant now);
  void refresh_space(detail::worker_state& worker);
  /// The workers whose space is held back for a waiting gang. Kept from pass to pass for `plan_lifetime`,
  /// because planning all waiting gangs again in each pass would dominate its cost.
  struct kept_plan {
    placement where;
    instant planned_at{};
    bool held{false};  ///< In this pass, for a member on each worker of `where`.
  };
  [[nodiscard]] kept_plan plan_gang(const detail::job_state& job, const detail::unit& unit, instant now);
  void hold_back_space(const detail::job_state& job, const detail::unit& unit, instant now);
  /// Holds back the space of a gang's plan, or offers it to the rest of the pass.
  void set_held(kept_plan& plan, const resource_amounts& need, bool held);
  /// Offers all space that is held back to the rest of the pass.
  void release_held_back();
  /// Keeps space free for urgent work, which is expected to arrive as it did during the last second. Urgent
  /// jobs then start at once; otherwise each must wait until preempted runs have stopped, and their work is
  /// lost.
  void hold_back_for_urgent(instant now);
  void expect_urgent(const detail::job_state& job, instant now);
  void drop_old_arrivals(instant now);
  /// An urgent unit that arrived recently.
  struct urgent_arrival {
    service_id service;
    bool in_rack{false};
    free_space_index::request wanted;
    instant at{};
    kept_plan plan;
  };

  // job_scheduler_preemption.cpp
  /// A unit that may be preempted, and the work that would be lost, in core seconds.
  struct victim {
    detail::job_state* job{nullptr};
    detail::unit* target{nullptr};
    double lost_work{0};
  };
  /// A worker's free space, and the units that could be preempted there, least lost work first.
  struct preemptible_space {
    detail::worker_state* worker{nullptr};
    resource_amounts free;
    std::vector<victim> victims;
    double delay{0};  ///< How much longer runs take here, as a share.
  };
  struct preemption {
    std::vector<detail::worker_state*> where;
    std::vector<std::pair<detail::unit*, detail::job_state*>> victims;  ///< In the order of their choice.
    double lost_work{0};
  };
  [[nodiscard]] const preemptible_space& preemptible_space_on(detail::worker_state& worker);
  /// The worker with the lowest preemption cost for one more member.
  struct member_plan {
    const preemptible_space* where{nullptr};
    std::vector<victim> victims;
    std::pair<double, std::int64_t> cost;  ///< Lost work, then the accelerators that remain free.
  };
  class stop_limits;
  using free_map = absl::flat_hash_map<const detail::worker_state*, resource_amounts>;
  [[nodiscard]] static member_plan plan_member(const std::vector<const preemptible_space*>& spaces,
                                               const free_map& free_by_worker, const resource_amounts& need,
                                               stop_limits& limits, double delay_cost,
                                               absl::FunctionRef<bool(const preemptible_space&)> may_use);
  [[nodiscard]] std::optional<preemption> plan_preemption(const std::vector<const preemptible_space*>& spaces,
                                                          const detail::job_state& job,
                                                          const detail::unit& unit);
  /// Number of tasks of a lasting step that may be stopped, so that no more are unavailable than it permits.
  [[nodiscard]] static std::uint32_t stoppable_lasting_tasks(const detail::job_state& job,
                                                             std::uint32_t occurrence, std::uint32_t step);
  /// Finds space for an urgent unit by stopping other units with the least lost work.
  [[nodiscard]] std::optional<preemption> find_preemption(const detail::job_state& job,
                                                          const detail::unit& unit, bool spread,
                                                          advice_level level = advice_level::has_ticket);
  /// Invalidates what is cached for the placement pass about these workers and about urgent work.
  void invalidate_caches(const std::vector<detail::worker_state*>& changed);
  [[nodiscard]] bool preempt(detail::job_state& job, detail::unit& unit, bool spread, instant now);
  struct team_share {
    std::int64_t used{0};
    std::int64_t guaranteed{0};
  };
  [[nodiscard]] const std::map<team_id, team_share>& urgent_shares();
  /// Number of racks that preemption considers, those with the most free accelerators first. Bounds its cost
  /// in large fleets.
  static constexpr std::size_t max_preemption_racks = 256;
  [[nodiscard]] static std::int64_t accelerators_of(const detail::job_state& job, const detail::unit& unit) {
    return step_of(job, unit).each.accelerators * static_cast<std::int64_t>(unit.members.size());
  }

  /// A request that did not fit during this pass. Space only shrinks within a pass, so a request that needs
  /// at least as much does not fit either.
  struct unplaceable_request {
    service_id service;
    std::string required_label;
    std::string data_rack;
    bool in_rack{false};
    free_space_index::request wanted;
  };
  [[nodiscard]] bool known_unplaceable(const unplaceable_request& request) const;

  /// Which units need the same of a rack.
  struct rack_need {
    service_id service;
    std::string required_label;
    std::string data_rack;
    std::uint32_t max_per_worker{0};
    resource_amounts each;
    std::size_t members{0};

    friend bool operator==(const rack_need&, const rack_need&) = default;
    template <typename H>
    friend H AbslHashValue(H state, const rack_need& need) {
      return H::combine(std::move(state), need.service.value(), need.required_label, need.data_rack,
                        need.max_per_worker, need.each.cpu_millicores, need.each.memory_mb,
                        need.each.accelerators, need.members);
    }
  };
  /// Results of `fits_an_empty_rack`, until the next list of workers.
  absl::flat_hash_map<rack_need, bool> empty_rack_fits;

  /// Searches for space in vain during this pass, weighed by their cost.
  std::size_t searches{0};
  absl::flat_hash_map<team_id, std::size_t> searches_by_team;
  instant pass_time{};  ///< When the last placement pass began. Tickets must be usable at this time.
  std::vector<unplaceable_request> unplaceable;
  /// Space that is held back for waiting gangs during one placement pass.
  absl::flat_hash_map<const detail::worker_state*, resource_amounts> held_back;
  resource_amounts held_back_total;
  resource_amounts usable_total;
  std::deque<urgent_arrival> urgent_arrivals;                 ///< Oldest first.
  absl::flat_hash_map<const detail::unit*, kept_plan> plans;  ///< Of the current pass.
  absl::flat_hash_map<const detail::unit*, kept_plan> previous_plans;
  std::vector<advice_want> advice_wants;
  /// Computed at most once per pass, because each waiting urgent unit needs all of them.
  absl::node_hash_map<const detail::worker_state*, preemptible_space> space_cache;
  std::optional<std::map<team_id, team_share>> share_cache;
};

}  // namespace rhubarbpath

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "rhubarbpath/coordination/tick.hpp"
#include "rhubarbpath/state/ids.hpp"
#include "rhubarbpath/state/job.hpp"
#include "rhubarbpath/state/units.hpp"
#include "rhubarbpath/state/worker_api.hpp"

namespace rhubarbpath {

/// Starts all members of a gang. Sent only after the `job_placed` entry of the attempt is committed.
struct gang_start {
  job_id job;
  attempt_number attempt;
  job_spec spec;
  std::vector<member_placement> placement;
};

/// Adopts a gang that may be running according to the replayed log. The gang continues if every member is
/// reported; otherwise all of its members are stopped.
struct gang_adopt {
  job_id job;
  attempt_number attempt;
  job_spec spec;
  std::vector<member_placement> placement;
};

enum class gang_end { finished, failed, worker_lost, preempted, cancelled };

/// Stops all members. If `end` is `preempted` and the job is checkpointable, the members write a checkpoint
/// first.
struct gang_stop {
  job_id job;
  gang_end end{gang_end::cancelled};
  std::string reason;
};

/// The end of the attempt is committed, so the workers may discard its tasks.
struct gang_release {
  job_id job;
  attempt_number attempt;
};

/// The workers of the failure domain. After a takeover all of them are queried for their tasks.
struct workers_changed {
  std::vector<worker_id> workers;
};

/// A worker's answer to the command with the id `answers`.
struct worker_reported {
  call_id answers;
  worker_report report;
};

/// The command was not answered; it may have taken effect.
struct worker_call_failed {
  call_id failed;
};

using gang_controller_event = std::variant<gang_start, gang_adopt, gang_stop, gang_release, workers_changed,
                                           worker_reported, worker_call_failed, tick>;

/// Asks the transport to send one command and to report an answer or a failure within `timeout`. At most one
/// command per worker is in flight, so that a stop cannot overtake the corresponding start.
struct worker_send {
  call_id sent;
  worker_id worker;
  epoch sender_epoch;
  worker_command command;
  duration timeout{};
};

/// Every member is reported as running.
struct gang_running {
  job_id job;
  attempt_number attempt;
};

/// No member is running any more: each was reported as ended, or its lease on the worker has expired.
struct gang_ended {
  job_id job;
  attempt_number attempt;
  gang_end end{gang_end::finished};
  std::string reason;
  std::optional<worker_id> worker;  ///< The worker whose member failed, or the unreachable worker.
  duration attained_service{};      ///< Run time of this attempt that the next attempt does not repeat.
};

struct worker_reachability {
  worker_id worker;
  bool reachable{true};
};

/// Every gang passed in `gang_adopt` was adopted or is being stopped.
struct adoption_finished {};

/// A worker has seen a newer epoch. The controller sends no further commands.
struct epoch_superseded {
  epoch newer;
};

using gang_controller_action = std::variant<worker_send, gang_running, gang_ended, worker_reachability,
                                            adoption_finished, epoch_superseded>;

/// Starts, monitors and stops the gangs of one failure domain under one epoch.
///
/// The lease of a member on its worker never extends beyond `lease` after the last time at which every member
/// of the gang was reported as running. After a member is lost, the remaining members therefore run for at
/// most `lease`, even if neither the controller nor another lease holder can reach their workers.
class gang_controller {
 public:
  struct options {
    epoch current_epoch;
    call_id first_call{1};
    /// Longest time for which only some members of a gang may run. Workers are granted `command_timeout`
    /// less, because a worker's lease starts when the command arrives.
    duration lease{15'000'000};
    /// Renewal interval for workers that run tasks. The end of a job is detected at the next report, so a
    /// controller with few gangs renews more often, down to the minimum interval below.
    duration renew_interval{4'000'000};
    duration min_renew_interval{500'000};
    int gangs_per_second{50};            ///< Reports cost processor time; this limits their rate.
    duration idle_interval{10'000'000};  ///< Interval for workers without tasks; detects unreachable workers.
    duration command_timeout{1'000'000};
    duration retry_wait{500'000};
    duration unreachable_after{4'000'000};  ///< Time without an answer after the first failed command.
    duration start_timeout{5'000'000};      ///< From the first start command until all members run.
    duration adoption_timeout{3'000'000};
    /// Lease of members while it is not confirmed that the whole gang is running: during start and adoption.
    duration unconfirmed_lease{8'000'000};
    /// After this time members are stopped even without a checkpoint, so that a preemption takes at most 2 s.
    duration checkpoint_timeout{1'500'000};
    /// If members finish further apart than this, the attempt fails.
    duration finish_spread{2'000'000};
    /// Interval between reports while the members of a gang are in different states.
    duration poll_interval{500'000};
    std::size_t max_in_flight{128};
  };

  explicit gang_controller(options opts);
  void handle(const gang_controller_event& event, instant now, std::vector<gang_controller_action>& out);
  [[nodiscard]] std::optional<instant> next_deadline() const;
  [[nodiscard]] call_id next_call() const noexcept { return next_call_; }

 private:
  enum class member_state { unknown, running, finished, failed, gone };
  enum class gang_phase { adopting, starting, running, checkpointing, stopping, ended };
  struct member {
    member_placement at;
    member_state state{member_state::unknown};
    bool start_pending{false};
    bool start_sent{false};
    bool checkpoint_pending{false};
    bool stop_pending{false};
    instant confirmed{};  ///< Send time of the last command whose answer reported the member as running.
    duration run_time{};
    duration checkpointed{};
  };
  struct gang {
    job_id job;
    attempt_number attempt;
    job_spec spec;
    std::vector<member> members;
    gang_phase phase{gang_phase::starting};
    instant phase_since{};
    gang_end end{gang_end::finished};
    std::string reason;
    std::optional<worker_id> failed_worker;
    std::optional<instant> first_finished;
    std::optional<instant> due;
  };
  struct sent_command {
    call_id call;
    worker_command command;
    instant at{};
  };
  struct worker_state {
    bool listed{false};
    std::optional<sent_command> in_flight;
    std::optional<instant> failing_since;  ///< Send time of the first command without an answer.
    instant last_answer{};
    bool reachable{true};
    bool queried{false};    ///< Has answered in this epoch and therefore refuses older epochs.
    instant lease_until{};  ///< Upper bound of the task leases granted by this controller.
    instant next_renew{};
    instant not_before{};                 ///< Earliest time of the next command after a failure.
    std::deque<task_ref> orphaned_tasks;  ///< To stop or discard; they belong to no gang of this controller.
    std::set<job_id> gangs;
    std::optional<instant> due;
  };
  using actions = std::vector<gang_controller_action>;

  void on(const gang_start& event, instant now, actions& out);
  void on(const gang_adopt& event, instant now, actions& out);
  void on(const gang_stop& event, instant now, actions& out);
  void on(const gang_release& event, instant now, actions& out);
  void on(const workers_changed& event, instant now, actions& out);
  void on(const worker_reported& event, instant now, actions& out);
  void on(const worker_call_failed& event, instant now, actions& out);
  void on(const tick& event, instant now, actions& out);

  gang& add_gang(const job_id& job, attempt_number attempt, const job_spec& spec,
                 const std::vector<member_placement>& placement, gang_phase phase, instant now);
  void command_answered(const worker_command& command);
  [[nodiscard]] member* find_member(const task_ref& task);
  void apply_report(const worker_id& id, worker_state& worker, const worker_report& report, instant sent);
  void collect_orphaned_tasks(worker_state& worker, const worker_id& id, const worker_report& report,
                              const worker_command& answered, instant now);
  static void apply_task(const gang& owner, member& target, const task_report* report, instant sent);
  void command_failed(const worker_id& id, worker_state& worker, instant now, actions& out);
  void set_reachable(const worker_id& id, worker_state& worker, bool reachable, actions& out);

  void run(instant now, actions& out);
  void advance_gang(gang& target, instant now, actions& out);
  void advance_adopting(gang& target, instant now, actions& out);
  void advance_starting(gang& target, instant now, actions& out);
  void advance_running(gang& target, instant now);
  void advance_checkpointing(gang& target, instant now);
  void advance_stopping(gang& target, instant now, actions& out);
  [[nodiscard]] bool fail_on_lost_member(gang& target, instant now);
  void become_running(gang& target, instant now, actions& out);
  void fail(gang& target, gang_end end, std::string reason, std::optional<worker_id> failed_worker,
            instant now);
  void begin_stop(gang& target, instant now);
  void finish(gang& target, actions& out);
  void poll_members(gang& target, instant now);
  [[nodiscard]] duration renew_interval() const;
  [[nodiscard]] std::optional<instant> gang_due(const gang& target) const;
  [[nodiscard]] instant lease_end(const gang& target, const member& gang_member) const;

  void advance_worker(const worker_id& id, worker_state& worker, instant now, actions& out);
  [[nodiscard]] std::optional<worker_command> next_command(const worker_id& id, worker_state& worker,
                                                           instant now);
  [[nodiscard]] std::optional<worker_command> member_command(const worker_id& id, const worker_state& worker,
                                                             instant now);
  [[nodiscard]] duration renewable_lease(const worker_id& id, const worker_state& worker, instant now) const;
  [[nodiscard]] duration gang_lease(const gang& target, instant now) const;
  [[nodiscard]] worker_state& find_or_add_worker(const worker_id& id, instant now);
  void mark_dirty(const gang& target);

  options options_;
  std::map<job_id, gang> gangs_;
  std::map<worker_id, worker_state> workers_;
  std::map<call_id, worker_id> calls_;
  std::set<job_id> dirty_gangs_;
  std::set<worker_id> dirty_workers_;
  std::set<std::pair<instant, job_id>> gangs_due_;
  std::set<std::pair<instant, worker_id>> workers_due_;
  std::set<job_id> adopting_;
  bool adoption_announced_{false};
  bool superseded_{false};
  call_id next_call_;
};

}  // namespace rhubarbpath

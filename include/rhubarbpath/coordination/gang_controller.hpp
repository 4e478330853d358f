#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
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

/// Starts all members. Sent only after the attempt's `job_placed` entry is in the log.
struct gang_start {
  job_id job;
  attempt_number attempt;
  job_spec spec;
  std::vector<member_placement> placement;
};

/// A gang that the replayed log says may be running. It is kept if every member is reported, and otherwise
/// ended as a whole.
struct gang_adopt {
  job_id job;
  attempt_number attempt;
  job_spec spec;
  std::vector<member_placement> placement;
};

enum class gang_end { finished, failed, worker_lost, preempted, cancelled };

/// Stops all members; with `end` preempted and a checkpointable job, after a checkpoint.
struct gang_stop {
  job_id job;
  gang_end end{gang_end::cancelled};
  std::string reason;
};

/// The end of the attempt is in the log, so that the workers may forget its tasks.
struct gang_release {
  job_id job;
  attempt_number attempt;
};

/// The workers of the failure domain; all of them are asked for their tasks after a takeover.
struct workers_changed {
  std::vector<worker_id> workers;
};

/// The answer to the command `answers`.
struct worker_reported {
  call_id answers;
  worker_report report;
};

/// No answer came back; the command may have taken effect.
struct worker_call_failed {
  call_id failed;
};

using gang_controller_event = std::variant<gang_start, gang_adopt, gang_stop, gang_release, workers_changed,
                                           worker_reported, worker_call_failed, tick>;

/// Asks the transport to send one command; it must answer or fail within `timeout`. At most one command per
/// worker is in flight, so that a stop never overtakes its start.
struct worker_send {
  call_id sent;
  worker_id worker;
  epoch sender_epoch;
  worker_command command;
  duration timeout{};
};

/// Every member was reported as running.
struct gang_running {
  job_id job;
  attempt_number attempt;
};

/// No member runs any more: each was reported as ended, or its worker's lease has expired.
struct gang_ended {
  job_id job;
  attempt_number attempt;
  gang_end end{gang_end::finished};
  std::string reason;
  std::optional<worker_id> worker;  ///< The worker whose member failed or that is unreachable.
  duration attained_service{};      ///< Run time of this attempt that need not be repeated.
};

struct worker_reachability {
  worker_id worker;
  bool reachable{true};
};

/// Every gang given by `gang_adopt` was kept or is being ended.
struct adoption_finished {};

/// A worker follows a newer epoch. The controller sends nothing more.
struct epoch_superseded {
  epoch newer;
};

using gang_controller_action = std::variant<worker_send, gang_running, gang_ended, worker_reachability,
                                            adoption_finished, epoch_superseded>;

/// Runs the gangs of one failure domain under one epoch.
///
/// A member's lease on its worker never reaches beyond `lease` after the last moment at which every member
/// of its gang was reported as running. A gang of which a part is lost therefore runs partly for at most
/// `lease`, even when the controller cannot reach a worker that another holder cannot reach either.
class gang_controller {
 public:
  struct options {
    epoch current_epoch;
    call_id first_call{1};
    duration lease{15'000'000};
    duration renew_interval{4'000'000};
    duration command_timeout{1'000'000};
    duration retry_wait{500'000};
    duration unreachable_after{5'000'000};  ///< Without an answer while commands are outstanding.
    duration start_timeout{5'000'000};      ///< From the first start command until all members run.
    duration adoption_timeout{3'000'000};
    duration adoption_lease{6'000'000};      ///< Lease granted before a gang is known to be whole.
    duration checkpoint_timeout{1'500'000};  ///< Then members are stopped, so that 2 s suffice in all.
    /// Members that finish further apart than this end the attempt as failed.
    duration finish_spread{2'000'000};
    duration poll_interval{500'000};  ///< Between reports while a gang's members disagree.
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
    bool checkpoint_pending{false};
    bool stop_pending{false};
    instant confirmed{};  ///< When it was last reported as running; the send time of the command answered.
    duration run_time{};
    duration checkpointed{};
  };
  struct gang {
    job_id job;
    attempt_number attempt;
    job_spec spec;
    std::vector<member> members;
    gang_phase phase{gang_phase::starting};
    instant phase_deadline{};
    bool announced_running{false};
    gang_end end{gang_end::finished};
    std::string reason;
    std::optional<worker_id> blamed;
    std::optional<instant> first_finished;
  };
  struct worker_state {
    bool listed{false};
    std::optional<call_id> in_flight;
    worker_command command;
    instant sent{};
    instant last_answer{};
    instant waiting_since{};  ///< Since when commands go unanswered; meaningful when `failures` > 0.
    int failures{0};
    bool reachable{true};
    bool queried{false};    ///< Has answered in this epoch.
    instant lease_until{};  ///< Upper bound of every task lease granted in this epoch.
    instant next_renew{};
    instant not_before{};          ///< Earliest next send after a failure.
    std::deque<task_ref> cleanup;  ///< Tasks that the worker is to stop or forget and no gang here owns.
  };

  void on(const gang_start& event, instant now, std::vector<gang_controller_action>& out);
  void on(const gang_adopt& event, instant now, std::vector<gang_controller_action>& out);
  void on(const gang_stop& event, instant now, std::vector<gang_controller_action>& out);
  void on(const gang_release& event, instant now, std::vector<gang_controller_action>& out);
  void on(const workers_changed& event, instant now, std::vector<gang_controller_action>& out);
  void on(const worker_reported& event, instant now, std::vector<gang_controller_action>& out);
  void on(const worker_call_failed& event, instant now, std::vector<gang_controller_action>& out);
  void on(const tick& event, instant now, std::vector<gang_controller_action>& out);

  void apply_report(const worker_id& id, worker_state& worker, const worker_report& report, instant sent);
  void apply_task(gang& owner, member& target, const task_report* report, const worker_state& worker,
                  instant sent);
  void command_failed(const worker_id& id, worker_state& worker, instant now,
                      std::vector<gang_controller_action>& out);
  void advance(instant now, std::vector<gang_controller_action>& out);
  void advance_gang(gang& target, instant now, std::vector<gang_controller_action>& out);
  void advance_adopting(gang& target, instant now);
  void advance_starting(gang& target, instant now, std::vector<gang_controller_action>& out);
  void advance_running(gang& target, instant now);
  void advance_stopping(gang& target, instant now, std::vector<gang_controller_action>& out);
  void fail(gang& target, gang_end end, std::string reason, std::optional<worker_id> blamed, instant now);
  void begin_stop(gang& target);
  void send_commands(instant now, std::vector<gang_controller_action>& out);
  [[nodiscard]] std::optional<worker_command> next_command(const worker_id& id, worker_state& worker,
                                                           instant now);
  [[nodiscard]] duration renewable_lease(const worker_id& id, instant now) const;
  [[nodiscard]] worker_state& state_of(const worker_id& id, instant now);

  options options_;
  std::map<job_id, gang> gangs_;
  std::map<worker_id, worker_state> workers_;
  std::map<worker_id, std::vector<job_id>> gangs_on_;
  std::map<call_id, worker_id> calls_;
  call_id next_call_;
  bool adopting_{false};
  bool superseded_{false};
};

}  // namespace rhubarbpath

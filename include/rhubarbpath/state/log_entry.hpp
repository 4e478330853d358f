#pragma once

#include <string>
#include <variant>
#include <vector>

#include "rhubarbpath/state/ids.hpp"
#include "rhubarbpath/state/job.hpp"
#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath {

/// First entry of a new owner; no entry of an older epoch can follow it.
struct epoch_opened {
  epoch opened;
  vm_id owner;
  incarnation owner_incarnation;
  friend bool operator==(const epoch_opened&, const epoch_opened&) = default;
};

struct job_accepted {
  job_id job;
  job_spec spec;
  instant at;
  friend bool operator==(const job_accepted&, const job_accepted&) = default;
};

/// Written before the first start command of an attempt is sent.
struct job_placed {
  job_id job;
  attempt_number attempt;
  std::vector<member_placement> placement;
  instant at;
  friend bool operator==(const job_placed&, const job_placed&) = default;
};

/// Every member of the gang has reported that it is running.
struct job_started {
  job_id job;
  attempt_number attempt;
  instant at;
  friend bool operator==(const job_started&, const job_started&) = default;
};

/// The attempt ended before the job finished; the job waits again.
struct job_requeued {
  job_id job;
  attempt_number attempt;
  bool preempted{false};
  std::string reason;
  duration attained_service{};
  instant at;
  friend bool operator==(const job_requeued&, const job_requeued&) = default;
};

/// The job reached a final state.
struct job_ended {
  job_id job;
  attempt_number attempt;
  job_state state{job_state::finished};
  std::string reason;
  instant at;
  friend bool operator==(const job_ended&, const job_ended&) = default;
};

struct worker_set_aside {
  worker_id worker;
  std::string reason;
  instant at;
  friend bool operator==(const worker_set_aside&, const worker_set_aside&) = default;
};

struct worker_restored {
  worker_id worker;
  instant at;
  friend bool operator==(const worker_restored&, const worker_restored&) = default;
};

using log_entry = std::variant<epoch_opened, job_accepted, job_placed, job_started, job_requeued, job_ended,
                               worker_set_aside, worker_restored>;

}  // namespace rhubarbpath

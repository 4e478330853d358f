#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rhubarbpath/state/ids.hpp"
#include "rhubarbpath/state/job.hpp"
#include "rhubarbpath/state/log_entry.hpp"
#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath {

/// What the log of one failure domain says: the fold of all its entries.
struct domain_state {
  epoch current_epoch;
  vm_id owner;
  incarnation owner_incarnation;
  std::map<job_id, job_record> jobs;
  std::map<job_id, instant> ended;             ///< When each job in a final state reached it.
  std::map<worker_id, std::string> set_aside;  ///< With the reason.
  friend bool operator==(const domain_state&, const domain_state&) = default;
};

/// Applies one entry. An entry that repeats or contradicts the state, for example a placement with an
/// attempt that is not newer, changes nothing and returns false.
bool apply(const log_entry& entry, domain_state& state);

/// Drops jobs that ended before `horizon`, so that snapshots stay bounded.
void forget_ended_jobs(domain_state& state, instant horizon);

/// A state together with the last log row that it includes.
struct domain_snapshot {
  log_index covers;
  domain_state state;
  friend bool operator==(const domain_snapshot&, const domain_snapshot&) = default;
};

/// The row that names the current snapshot.
struct snapshot_head {
  log_index covers;  ///< Rows up to and including this one are covered and may be deleted.
  int parts{0};
  friend bool operator==(const snapshot_head&, const snapshot_head&) = default;
};

}  // namespace rhubarbpath

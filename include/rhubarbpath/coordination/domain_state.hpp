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

/// State of one failure domain, obtained by applying all entries of its log in order.
struct domain_state {
  epoch current_epoch;
  vm_id owner;
  incarnation owner_incarnation;
  std::map<job_id, job_record> jobs;
  std::map<job_id, instant> ended;  ///< Time at which each job in a final state reached that state.
  std::map<worker_id, std::string> set_aside;  ///< Workers excluded from placement, with the reason.
  friend bool operator==(const domain_state&, const domain_state&) = default;
};

/// Applies one entry to `state`. Returns false and changes nothing if the entry repeats or contradicts the
/// state, for example if a placement has an attempt number that is not newer.
bool apply(const log_entry& entry, domain_state& state);

/// Removes jobs that ended before `horizon`, so that the size of snapshots stays bounded. Returns them.
std::vector<job_record> forget_ended_jobs(domain_state& state, instant horizon);

/// A state and the last log row that is applied in it.
struct domain_snapshot {
  log_index covers;
  domain_state state;
  friend bool operator==(const domain_snapshot&, const domain_snapshot&) = default;
};

/// Content of the row that identifies the current snapshot.
struct snapshot_head {
  log_index covers;  ///< Rows up to and including this one are covered and may be deleted.
  int parts{0};      ///< Number of rows that hold the snapshot.
  friend bool operator==(const snapshot_head&, const snapshot_head&) = default;
};

}  // namespace rhubarbpath

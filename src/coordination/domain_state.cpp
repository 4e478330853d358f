#include "rhubarbpath/coordination/domain_state.hpp"

#include <iterator>
#include <utility>
#include <variant>

namespace rhubarbpath {
namespace {

bool holds_accelerators(job_state state) {
  return state == job_state::starting || state == job_state::running || state == job_state::stopping;
}

/// Returns the job if the entry refers to its current attempt and the job is not in a final state, otherwise
/// null.
template <class Entry>
job_record* find_attempt(const Entry& entry, domain_state& state) {
  const auto found = state.jobs.find(entry.job);
  if (found == state.jobs.end() || is_final(found->second.state) || found->second.attempt != entry.attempt) {
    return nullptr;
  }
  return &found->second;
}

struct entry_applier {
  domain_state* state;

  bool operator()(const epoch_opened& entry) const {
    if (entry.opened <= state->current_epoch) {
      return false;
    }
    state->current_epoch = entry.opened;
    state->owner = entry.owner;
    state->owner_incarnation = entry.owner_incarnation;
    return true;
  }
  bool operator()(const job_accepted& entry) const {
    job_record record{.id = entry.job, .spec = entry.spec, .accepted_at = entry.at};
    return state->jobs.emplace(entry.job, std::move(record)).second;
  }
  bool operator()(const job_placed& entry) const {
    const auto found = state->jobs.find(entry.job);
    if (found == state->jobs.end() || found->second.state != job_state::waiting ||
        entry.attempt <= found->second.attempt) {
      return false;
    }
    found->second.state = job_state::starting;
    found->second.attempt = entry.attempt;
    found->second.placement = entry.placement;
    found->second.reason.clear();
    return true;
  }
  bool operator()(const job_started& entry) const {
    auto* job = find_attempt(entry, *state);
    if (job == nullptr || job->state != job_state::starting) {
      return false;
    }
    job->state = job_state::running;
    return true;
  }
  bool operator()(const job_requeued& entry) const {
    auto* job = find_attempt(entry, *state);
    if (job == nullptr || !holds_accelerators(job->state)) {
      return false;
    }
    job->state = job_state::waiting;
    job->placement.clear();
    job->reason = entry.reason;
    job->attained_service += entry.attained_service;
    ++(entry.preempted ? job->preemptions : job->failures);
    return true;
  }
  bool operator()(const job_ended& entry) const {
    auto* job = find_attempt(entry, *state);
    if (job == nullptr || !is_final(entry.state)) {
      return false;
    }
    job->state = entry.state;
    job->placement.clear();
    job->reason = entry.reason;
    state->ended[entry.job] = entry.at;
    return true;
  }
  bool operator()(const worker_set_aside& entry) const {
    return state->set_aside.emplace(entry.worker, entry.reason).second;
  }
  bool operator()(const worker_restored& entry) const { return state->set_aside.erase(entry.worker) > 0; }
};

}  // namespace

bool apply(const log_entry& entry, domain_state& state) {
  return std::visit(entry_applier{&state}, entry);
}

std::vector<job_record> forget_ended_jobs(domain_state& state, instant horizon) {
  std::vector<job_record> forgotten;
  for (auto ended = state.ended.begin(); ended != state.ended.end();) {
    if (ended->second >= horizon) {
      ++ended;
      continue;
    }
    if (auto job = state.jobs.extract(ended->first); !job.empty()) {
      forgotten.push_back(std::move(job.mapped()));
    }
    ended = state.ended.erase(ended);
  }
  return forgotten;
}

}  // namespace rhubarbpath

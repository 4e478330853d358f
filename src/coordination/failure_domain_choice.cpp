#include "rhubarbpath/coordination/failure_domain_choice.hpp"

#include <algorithm>
#include <optional>
#include <set>
#include <tuple>

namespace rhubarbpath {

namespace {

/// Number of members of the shape that fit on one worker with `accelerators` accelerators.
int members_per_worker(const accelerator_shape& shape, int accelerators) {
  return accelerators / shape.accelerators_per_member;
}

/// Whether the shape fits into the domain when all of its workers are healthy and idle.
bool fits_when_idle(const environment_document& document, const failure_domain_id& domain,
                    const accelerator_shape& shape) {
  std::map<rack_id, int> members_by_rack;
  int members_in_domain = 0;
  int max_members_on_worker = 0;
  for (const auto& rack : document.racks) {
    if (rack.failure_domain == domain) {
      members_by_rack[rack.id] = 0;
    }
  }
  for (const auto& worker : document.workers) {
    const auto rack = members_by_rack.find(worker.rack);
    if (rack != members_by_rack.end()) {
      const int members = members_per_worker(shape, worker.accelerators);
      rack->second += members;
      members_in_domain += members;
      max_members_on_worker = std::max(max_members_on_worker, members);
    }
  }
  switch (shape.within) {
    case proximity::worker:
      return max_members_on_worker >= shape.members;
    case proximity::rack:
      return std::any_of(members_by_rack.begin(), members_by_rack.end(),
                         [&](const auto& entry) { return entry.second >= shape.members; });
    case proximity::failure_domain:
      return members_in_domain >= shape.members;
  }
  return false;
}

/// Domains that hold a share of a guarantee of the job's team into which the job's shape fits.
std::set<failure_domain_id> guaranteed_domains(const guarantee_check& guarantees, const job_spec& spec) {
  std::set<failure_domain_id> domains;
  for (const auto& share : guarantees.shares) {
    if (share.guarantee.team == spec.team && share.count > 0 && fits_inside(spec.shape, share.shape)) {
      domains.insert(share.failure_domain);
    }
  }
  return domains;
}

const team_spec* find_team(const environment_document& document, const team_id& team) {
  const auto found = std::find_if(document.teams.begin(), document.teams.end(),
                                  [&](const auto& spec) { return spec.id == team; });
  return found == document.teams.end() ? nullptr : &*found;
}

/// Returns why the job cannot run in any domain, or an empty string if nothing rules it out.
std::string refusal_reason(const environment_document& document, const job_spec& spec) {
  const auto* team = find_team(document, spec.team);
  if (team == nullptr) {
    return "team \"" + spec.team.value() + "\" is not in the document in force";
  }
  const bool known_class = std::any_of(document.job_classes.begin(), document.job_classes.end(),
                                       [&](const auto& job_class) { return job_class.id == spec.job_class; });
  if (!known_class) {
    return "job class \"" + spec.job_class.value() + "\" is not in the document in force";
  }
  if (team->max_accelerators > 0 && spec.shape.accelerators() > team->max_accelerators) {
    return "the gang needs " + std::to_string(spec.shape.accelerators()) +
           " accelerators and the limit of team \"" + spec.team.value() + "\" is " +
           std::to_string(team->max_accelerators);
  }
  return {};
}

}  // namespace

failure_domain_choice choose_failure_domains(const environment_document& document,
                                             const guarantee_check& guarantees, const job_spec& spec,
                                             const std::map<failure_domain_id, failure_domain_load>& loads) {
  failure_domain_choice choice;
  choice.refusal = refusal_reason(document, spec);
  if (!choice.refusal.empty()) {
    return choice;
  }
  const auto guaranteed = guaranteed_domains(guarantees, spec);
  for (const auto& domain : document.failure_domains) {
    const bool allowed =
        spec.guaranteed ? guaranteed.contains(domain.id) : fits_when_idle(document, domain.id, spec.shape);
    if (allowed) {
      choice.candidates.push_back(domain.id);
    }
  }
  if (choice.candidates.empty()) {
    choice.refusal = spec.guaranteed
                         ? "no guarantee of team \"" + spec.team.value() + "\" holds a gang of this shape"
                         : "no failure domain can hold a gang of this shape, even when it is idle";
    return choice;
  }
  const auto sort_key = [&](const failure_domain_id& domain) {
    const auto found = loads.find(domain);
    const auto load = found == loads.end()
                          ? failure_domain_load{.free_accelerators = spec.shape.accelerators()}
                          : found->second;
    const bool starts_now = load.waiting_jobs == 0 && load.free_accelerators >= spec.shape.accelerators();
    return std::tuple{!starts_now, load.waiting_jobs, -load.free_accelerators};
  };
  std::stable_sort(choice.candidates.begin(), choice.candidates.end(),
                   [&](const auto& left, const auto& right) { return sort_key(left) < sort_key(right); });
  return choice;
}

void count_submission(const failure_domain_id& domain, const job_spec& spec,
                      std::map<failure_domain_id, failure_domain_load>& loads) {
  const auto found = loads.find(domain);
  if (found == loads.end()) {
    return;
  }
  auto& load = found->second;
  const int wanted = spec.shape.accelerators();
  if (load.waiting_jobs == 0 && load.free_accelerators >= wanted) {
    load.free_accelerators -= wanted;
  } else {
    ++load.waiting_jobs;
  }
}

}  // namespace rhubarbpath

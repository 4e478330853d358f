#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "job_scheduler_impl.hpp"
#include "rhubarbpath/coordination/domain_evacuations.hpp"

// Failure domains that an operator evacuates.
namespace rhubarbpath {

using detail::member;
using detail::member_phase;
using detail::unit_phase;

void job_scheduler::evacuate_domains(std::set<failure_domain_id> domains, instant now) {
  auto& self = *implementation_;
  const auto changes = changed_domains(self.evacuated_domains, domains);
  if (changes.empty()) {
    return;
  }
  self.evacuated_domains = std::move(domains);
  for (auto& [id, worker] : self.workers) {
    worker.evacuated = self.evacuated_domains.contains(worker.entry.domain);
  }
  for (const auto& each : changes) {
    self.unrecorded_evacuations.erase(each.domain);
    if (each.evacuated) {
      self.unrecorded_evacuations.insert(each.domain);
    } else {
      self.record("domain_evacuation_ended", {}, "taken back", {{"failure_domain", each.domain.value()}});
    }
  }
  self.record_evacuations();
  self.forget_plans();
  self.empty_rack_fits.clear();
  self.placement_due = true;
  self.withdraw_starts(now);
}

void job_scheduler::implementation::record_evacuations() {
  if (!registry_requested) {
    return;
  }
  for (const auto& domain : std::exchange(unrecorded_evacuations, {})) {
    std::size_t listed = 0;
    std::size_t tasks = 0;
    for (const auto& [id, worker] : workers) {
      if (worker.entry.domain == domain) {
        listed += worker.listed ? 1 : 0;
        tasks += worker.tasks.size();
      }
    }
    record("domain_evacuated", {}, listed == 0 ? "requested, but no worker is listed there" : "requested",
           {{"failure_domain", domain.value()},
            {"workers", absl::StrCat(listed)},
            {"tasks", absl::StrCat(tasks)}});
  }
}

void job_scheduler::implementation::forget_plans() {
  plans.clear();
  previous_plans.clear();
  for (auto& expected : urgent_arrivals) {
    expected.plan = {};
  }
}

void job_scheduler::implementation::withdraw_starts(instant now) {
  const auto is_unconfirmed = [](const member& one) {
    return one.worker != nullptr && one.worker->evacuated &&
           (one.phase == member_phase::starting || one.phase == member_phase::reserved);
  };
  // Iterates over a copy, because ending a unit may change the list.
  const auto units = active_units;
  for (const auto& [job, each] : units) {
    const auto found = std::find_if(each->members.begin(), each->members.end(), is_unconfirmed);
    if (found == each->members.end() ||
        (each->phase != unit_phase::active && each->phase != unit_phase::reserved)) {
      continue;
    }
    if (each->phase == unit_phase::active) {
      record("start_withdrawn", job->job.id, "the failure domain is evacuated",
             {{"worker", found->worker->entry.id.value()},
              {"step", absl::StrCat(each->occurrence, ".", each->step, ".", each->number)},
              {"run", absl::StrCat(each->run.value())}});
    }
    end_unit(*job, *each, now);
  }
}

}  // namespace rhubarbpath

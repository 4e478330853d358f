#include "rhubarbpath/coordination/cell_placement_policy.hpp"

#include <memory>
#include <utility>
#include <variant>

namespace rhubarbpath {

namespace {

placement::end_cause cause_of(gang_end end) {
  switch (end) {
    case gang_end::finished:
      return placement::end_cause::finished;
    case gang_end::preempted:
      return placement::end_cause::preempted;
    case gang_end::cancelled:
      return placement::end_cause::cancelled;
    case gang_end::failed:
    case gang_end::worker_lost:
      return placement::end_cause::failed;
  }
  return placement::end_cause::failed;
}

}  // namespace

cell_placement_policy::cell_placement_policy(failure_domain_id domain, placement::options opts)
    : domain_{std::move(domain)}, options_{opts}, engine_{opts} {}

void cell_placement_policy::rebuild(const environment_document& document, const domain_state& state,
                                    instant now) {
  engine_ = placement{options_};
  pending_.clear();
  document_changed(document, now);
  for (const auto& [worker, reason] : state.set_aside) {
    feed(placement::worker_was_set_aside{.worker = worker}, now);
  }
  for (const auto& [id, job] : state.jobs) {
    if (!is_final(job.state)) {
      feed(placement::job_restored{.record = job}, now);
    }
  }
}

void cell_placement_policy::document_changed(const environment_document& document, instant now) {
  feed(placement::document_changed{.document = std::make_shared<const environment_document>(document),
                                   .failure_domain = domain_},
       now);
}

void cell_placement_policy::job_accepted(const job_record& job, instant now) {
  feed(placement::job_submitted{.id = job.id, .spec = job.spec}, now);
}

void cell_placement_policy::job_cancelled(const job_id& job, instant now) {
  feed(placement::job_cancelled{.id = job}, now);
}

void cell_placement_policy::attempt_started(const job_id& job, attempt_number attempt, instant now) {
  feed(placement::attempt_started{.id = job, .attempt = attempt}, now);
}

void cell_placement_policy::attempt_ended(const gang_ended& ended, instant now) {
  feed(placement::attempt_ended{.id = ended.job,
                                .attempt = ended.attempt,
                                .cause = cause_of(ended.end),
                                .worker = ended.worker.value_or(worker_id{}),
                                .attained_service = ended.attained_service},
       now);
}

void cell_placement_policy::worker_reachable(const worker_id& worker, bool reachable, instant now) {
  if (reachable) {
    feed(placement::worker_up{.worker = worker}, now);
  } else {
    feed(placement::worker_down{.worker = worker}, now);
  }
}

void cell_placement_policy::decide(instant now, std::vector<placement_decision>& out) {
  feed(placement::tick{}, now);
  for (const auto& action : std::exchange(pending_, {})) {
    translate(action, out);
  }
}

std::string cell_placement_policy::waiting_reason(const job_id& job) const {
  return engine_.why_waiting(job);
}

std::vector<placement::action> cell_placement_policy::take_cover_changes() {
  return std::exchange(cover_changes_, {});
}

void cell_placement_policy::feed(const placement::event& event, instant now) {
  engine_.handle(event, now, pending_);
}

void cell_placement_policy::translate(const placement::action& action, std::vector<placement_decision>& out) {
  if (const auto* place = std::get_if<placement::place_job>(&action)) {
    out.emplace_back(
        job_placement_decided{.job = place->id, .attempt = place->attempt, .placement = place->placement});
  } else if (const auto* preempt = std::get_if<placement::preempt_job>(&action)) {
    // The owner stops a cancelled job by itself.
    if (preempt->cause != preemption_cause::cancelled) {
      out.emplace_back(
          job_preemption_decided{.job = preempt->id, .attempt = preempt->attempt, .reason = preempt->reason});
    }
  } else if (const auto* refuse = std::get_if<placement::refuse_job>(&action)) {
    out.emplace_back(
        job_end_decided{.job = refuse->id, .state = job_state::refused, .reason = refuse->reason});
  } else if (const auto* end = std::get_if<placement::end_job>(&action)) {
    // The owner itself ends finished and cancelled jobs.
    if (end->state == job_state::failed) {
      out.emplace_back(job_end_decided{.job = end->id, .state = job_state::failed, .reason = end->reason});
    }
  } else if (const auto* aside = std::get_if<placement::set_worker_aside>(&action)) {
    out.emplace_back(worker_set_aside_decided{.worker = aside->worker, .reason = aside->reason});
  } else if (const auto* restore = std::get_if<placement::restore_worker>(&action)) {
    out.emplace_back(worker_restore_decided{.worker = restore->worker});
  } else {
    cover_changes_.push_back(action);
  }
}

}  // namespace rhubarbpath

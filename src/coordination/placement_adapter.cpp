#include "rhubarbpath/coordination/placement_adapter.hpp"

#include <utility>
#include <variant>

namespace rhubarbpath {
namespace {

placement::end_cause to_end_cause(gang_end end) {
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

/// Converts actions of the engine to decisions for the owner. Drops actions that only report what the owner
/// already knows, for example a cancellation.
struct translator {
  std::vector<placement_decision>* out;

  void operator()(const placement::place_job& action) const {
    out->emplace_back(
        job_placement_decided{.job = action.id, .attempt = action.attempt, .placement = action.placement});
  }
  void operator()(const placement::preempt_job& action) const {
    if (action.cause != preemption_cause::cancelled) {
      out->emplace_back(
          job_preemption_decided{.job = action.id, .attempt = action.attempt, .reason = action.reason});
    }
  }
  void operator()(const placement::refuse_job& action) const {
    out->emplace_back(
        job_end_decided{.job = action.id, .state = job_state::refused, .reason = action.reason});
  }
  void operator()(const placement::end_job& action) const {
    if (action.state == job_state::failed) {
      out->emplace_back(
          job_end_decided{.job = action.id, .state = job_state::failed, .reason = action.reason});
    }
  }
  void operator()(const placement::set_worker_aside& action) const {
    out->emplace_back(worker_set_aside_decided{.worker = action.worker, .reason = action.reason});
  }
  void operator()(const placement::restore_worker& action) const {
    out->emplace_back(worker_restore_decided{.worker = action.worker});
  }
  void operator()(const placement::guarantee_uncovered& /*action*/) const {}
  void operator()(const placement::guarantee_covered& /*action*/) const {}
};

}  // namespace

placement_adapter::placement_adapter(placement::options opts, failure_domain_id failure_domain)
    : options_{opts}, failure_domain_{std::move(failure_domain)}, engine_{opts} {}

void placement_adapter::rebuild(std::shared_ptr<const environment_document> document,
                                const domain_state& state, instant now) {
  engine_ = placement{options_};
  pending_actions_.clear();
  document_changed(std::move(document), now);
  for (const auto& [worker, reason] : state.set_aside) {
    handle_event(placement::worker_was_set_aside{.worker = worker}, now);
  }
  // Jobs that occupy accelerators are restored first, so that no waiting job is placed on these.
  for (const bool holding : {true, false}) {
    for (const auto& [id, job] : state.jobs) {
      if (!is_final(job.state) && job.placement.empty() != holding) {
        handle_event(placement::job_restored{.record = job}, now);
      }
    }
  }
}

void placement_adapter::document_changed(std::shared_ptr<const environment_document> document, instant now) {
  handle_event(
      placement::document_changed{.document = std::move(document), .failure_domain = failure_domain_}, now);
}

void placement_adapter::job_accepted(const job_record& job, instant now) {
  handle_event(placement::job_submitted{.id = job.id, .spec = job.spec}, now);
}

void placement_adapter::job_cancelled(const job_id& job, instant now) {
  handle_event(placement::job_cancelled{.id = job}, now);
}

void placement_adapter::attempt_started(const job_id& job, attempt_number attempt, instant now) {
  handle_event(placement::attempt_started{.id = job, .attempt = attempt}, now);
}

void placement_adapter::attempt_ended(const gang_ended& ended, instant now) {
  handle_event(placement::attempt_ended{.id = ended.job,
                                        .attempt = ended.attempt,
                                        .cause = to_end_cause(ended.end),
                                        .worker = ended.worker.value_or(worker_id{}),
                                        .attained_service = ended.attained_service},
               now);
}

void placement_adapter::worker_reachable(const worker_id& worker, bool reachable, instant now) {
  if (reachable) {
    handle_event(placement::worker_up{.worker = worker}, now);
  } else {
    handle_event(placement::worker_down{.worker = worker}, now);
  }
}

void placement_adapter::decide(instant now, std::vector<placement_decision>& out) {
  const auto due = engine_.next_deadline();
  if (due && *due <= now) {
    handle_event(placement::tick{}, now);
  }
  for (const auto& action : std::exchange(pending_actions_, {})) {
    std::visit(translator{&out}, action);
  }
}

void placement_adapter::handle_event(const placement_event& event, instant now) {
  engine_.handle(event, now, pending_actions_);
}

}  // namespace rhubarbpath

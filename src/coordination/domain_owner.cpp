#include "rhubarbpath/coordination/domain_owner.hpp"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace rhubarbpath {
namespace {

/// Offsets from the first call id at which the call ids of the log and of worker commands start.
constexpr std::uint64_t log_call_offset = std::uint64_t{1} << 32;
constexpr std::uint64_t worker_call_offset = std::uint64_t{1} << 33;

call_id offset_call(call_id first, std::uint64_t offset) {
  return call_id{first.value() + offset};
}

bool holds_workers(job_state state) {
  return state == job_state::starting || state == job_state::running || state == job_state::stopping;
}

/// What a job takes beside its command.
constexpr std::uint64_t job_bytes = 1024;

std::uint64_t kept_bytes(const job_spec& spec) {
  return job_bytes + spec.command.size();
}

domain_owner::options with_derived_options(domain_owner::options opts) {
  const auto prefix = absl::StrCat("/env/", opts.environment, "/domains/", opts.failure_domain.value());
  opts.log.prefix = prefix;
  opts.log.owner = opts.self;
  opts.log.owner_incarnation = opts.self_incarnation;
  opts.lease.prefix = prefix;
  opts.lease.failure_domain = opts.failure_domain;
  opts.lease.self = opts.self;
  opts.lease.self_incarnation = opts.self_incarnation;
  opts.lease.first_call = opts.first_call;
  return opts;
}

}  // namespace

domain_owner::domain_owner(options opts, const log_value_codec& codec, placement_policy& placement,
                           random_source& random, work_budget& kept_jobs)
    : options_{with_derived_options(std::move(opts))},
      codec_{&codec},
      placement_{&placement},
      random_{&random},
      kept_jobs_{&kept_jobs},
      lease_{options_.lease, random},
      next_log_call_{offset_call(options_.first_call, log_call_offset)},
      next_worker_call_{offset_call(options_.first_call, worker_call_offset)} {}

void domain_owner::handle(const domain_owner_event& event, instant now,
                          std::vector<domain_owner_action>& out) {
  last_event_at_ = now;
  // Checks the lease first, because a process that was paused until its lease expired must not act on the
  // event.
  dispatch_to_lease(tick{}, now, out);
  if (hand_over_deadline_ && *hand_over_deadline_ <= now) {
    end_ownership("no other scheduler took over in time", false, now, out);
  }
  std::visit([&](const auto& typed) { on(typed, now, out); }, event);
  run_timers(now, out);
}

void domain_owner::run_timers(instant now, actions& out) {
  adoption_done_ = adoption_done_ || now - owner_since_ >= options_.adoption_grace;
  dispatch_to_log(tick{}, now, out);
  dispatch_to_gangs(tick{}, now, out);
  run_placement(now, out);
  expire_answers(now, out);
  if (gangs_ && next_announcement_ <= now) {
    next_announcement_ = now + options_.announce_interval;
    forget_old_jobs(now - options_.log.ended_job_retention);
    out.emplace_back(owner_announced{.failure_domain = options_.failure_domain,
                                     .current_epoch = current_epoch(),
                                     .owner = options_.self,
                                     .owner_incarnation = options_.self_incarnation});
  }
}

// Jobs that are kept.

void domain_owner::project(domain_state state) {
  for (const auto& [id, job] : projected_state_.jobs) {
    kept_jobs_->remove(job.spec.team, kept_bytes(job.spec));
  }
  projected_state_ = std::move(state);
  for (const auto& [id, job] : projected_state_.jobs) {
    kept_jobs_->add(id, job.spec.team, kept_bytes(job.spec));
  }
}

void domain_owner::forget_old_jobs(instant horizon) {
  for (const auto& job : forget_ended_jobs(projected_state_, horizon)) {
    kept_jobs_->remove(job.spec.team, kept_bytes(job.spec));
  }
}

std::string_view domain_owner::reason_to_refuse(const job_spec& spec) const {
  if (spec.command.size() > options_.max_command_bytes) {
    return "the command is too long";
  }
  if (kept_jobs_->full_teams().contains(spec.team)) {
    return "the team has as many jobs as are kept for it";
  }
  return {};
}

// Job messages.

void domain_owner::on(const job_submitted& event, instant now, actions& out) {
  if (!gangs_) {
    answer(event.from, event.job, not_owner(), out);
    return;
  }
  if (committed_job(event.job) != nullptr) {
    answer_from_record(event.from, event.job, out);
    return;
  }
  const bool pending = projected_state_.jobs.contains(event.job);
  const auto reason = pending ? std::string_view{} : reason_to_refuse(event.spec);
  if (!reason.empty()) {
    auto refused = refusal(std::string{reason});
    refused.retry_after.reset();
    answer(event.from, event.job, std::move(refused), out);
    return;
  }
  if (!pending && log_stalled(options_.answer_timeout, now)) {
    answer(event.from, event.job, refusal("the store does not answer"), out);
    return;
  }
  if (!pending && pending_effects_.size() >= options_.max_pending_submissions) {
    answer(event.from, event.job, refusal("too many submissions wait for the store"), out);
    return;
  }
  add_pending_answer(
      event.job, {.to = event.from, .kind = message::submission, .deadline = now + options_.answer_timeout});
  if (pending) {
    return;
  }
  append(job_accepted{.job = event.job, .spec = event.spec, .at = now}, accepted_effect{event.job}, now, out);
  kept_jobs_->add(event.job, event.spec.team, kept_bytes(event.spec));
  if (placement_initialized_) {
    placement_->job_accepted(projected_state_.jobs.at(event.job), now);
  }
}

void domain_owner::on(const job_queried& event, instant now, actions& out) {
  if (!gangs_) {
    answer(event.from, event.job, not_owner(), out);
    return;
  }
  const auto* known = committed_job(event.job);
  if (known == nullptr && !projected_state_.jobs.contains(event.job)) {
    answer(event.from, event.job, refusal("the job is not known"), out);
  } else if (known != nullptr && (is_final(known->state) || event.wait <= duration{})) {
    answer_from_record(event.from, event.job, out);
  } else {
    add_pending_answer(event.job, {.to = event.from, .kind = message::query, .deadline = now + event.wait});
  }
}

void domain_owner::on(const job_cancel_requested& event, instant now, actions& out) {
  if (!gangs_) {
    answer(event.from, event.job, not_owner(), out);
    return;
  }
  const auto* known = committed_job(event.job);
  if (known != nullptr && is_final(known->state)) {
    answer_from_record(event.from, event.job, out);
    return;
  }
  const auto found = projected_state_.jobs.find(event.job);
  if (found == projected_state_.jobs.end()) {
    answer(event.from, event.job, refusal("the job is not known"), out);
    return;
  }
  add_pending_answer(
      event.job,
      {.to = event.from, .kind = message::cancellation, .deadline = now + options_.answer_timeout});
  const auto state = found->second.state;
  if (state == job_state::waiting) {
    end_waiting_job(event.job, job_state::cancelled, "cancelled by the caller", now, out);
    if (placement_initialized_) {
      placement_->job_cancelled(event.job, now);
    }
  } else if (holds_workers(state)) {
    const gang_stop stop{.job = event.job, .end = gang_end::cancelled, .reason = "cancelled by the caller"};
    requested_stops_.insert_or_assign(event.job, stop);
    dispatch_to_gangs(stop, now, out);
  }
}

// Other events.

void domain_owner::on(const document_changed& event, instant now, actions& out) {
  document_ = event;
  if (!gangs_) {
    return;
  }
  if (placement_initialized_) {
    placement_->document_changed(event.document, now);
  } else {
    initialize_placement(now);
  }
  dispatch_to_gangs(workers_changed{.workers = domain_workers()}, now, out);
}

void domain_owner::on(const document_standing_changed& event, instant now, actions& /*out*/) {
  document_may_be_outdated_ = event.may_be_outdated;
  if (!gangs_) {
    return;
  }
  if (document_may_be_outdated_) {
    // What was decided by this document and not yet carried out is decided anew.
    placement_initialized_ = false;
  } else if (!placement_initialized_) {
    initialize_placement(now);
  }
}

void domain_owner::on(const schedulers_changed& event, instant now, actions& out) {
  dispatch_to_lease(event, now, out);
}

void domain_owner::on(const owner_announced& event, instant now, actions& out) {
  if (gangs_ && event.failure_domain == options_.failure_domain && event.current_epoch > current_epoch()) {
    resign("another process announced a newer epoch", false, {}, now, out);
  }
}

void domain_owner::on(const drain_requested& event, instant now, actions& out) {
  draining_ = true;
  dispatch_to_lease(event, now, out);
  if (!log_) {
    finish_drain(out);
  }
}

void domain_owner::on(const store_call_result& event, instant now, actions& out) {
  dispatch_to_lease(event, now, out);
  dispatch_to_log(event, now, out);
}

void domain_owner::on(const worker_reported& event, instant now, actions& out) {
  dispatch_to_gangs(event, now, out);
}

void domain_owner::on(const worker_call_failed& event, instant now, actions& out) {
  dispatch_to_gangs(event, now, out);
}

void domain_owner::on(const tick& /*event*/, instant /*now*/, actions& /*out*/) {}

// Event dispatch. The actions of a component are carried out after it returns, because they may destroy the
// component.

void domain_owner::dispatch_to_lease(const lease_keeper_event& event, instant now, actions& out) {
  std::vector<lease_keeper_action> produced;
  lease_.handle(event, now, produced);
  for (auto& action : produced) {
    std::visit(
        [&](auto& typed) {
          using type = std::decay_t<decltype(typed)>;
          if constexpr (std::is_same_v<type, store_call> || std::is_same_v<type, store_call_cancelled>) {
            out.emplace_back(std::move(typed));
          } else {
            on_lease(typed, now, out);
          }
        },
        action);
  }
}

void domain_owner::dispatch_to_log(const domain_log_event& event, instant now, actions& out) {
  if (!log_) {
    return;
  }
  std::vector<domain_log_action> produced;
  log_->handle(event, now, produced);
  next_log_call_ = log_->next_call();
  for (auto& action : produced) {
    std::visit(
        [&](auto& typed) {
          using type = std::decay_t<decltype(typed)>;
          if constexpr (std::is_same_v<type, store_call> || std::is_same_v<type, store_call_cancelled>) {
            out.emplace_back(std::move(typed));
          } else if (log_) {
            on_log(typed, now, out);
          }
        },
        action);
  }
}

void domain_owner::dispatch_to_gangs(const gang_controller_event& event, instant now, actions& out) {
  if (!gangs_) {
    return;
  }
  std::vector<gang_controller_action> produced;
  gangs_->handle(event, now, produced);
  next_worker_call_ = gangs_->next_call();
  for (auto& action : produced) {
    std::visit(
        [&](auto& typed) {
          using type = std::decay_t<decltype(typed)>;
          if constexpr (std::is_same_v<type, worker_send>) {
            out.emplace_back(std::move(typed));
          } else if (gangs_) {
            on_gangs(typed, now, out);
          }
        },
        action);
  }
}

// Lease.

void domain_owner::on_lease(const lease_acquired& /*event*/, instant now, actions& out) {
  lease_uncertain_ = false;
  if (log_) {
    // No other scheduler took over after this process released the lease, so it continues under its epoch.
    hand_over_deadline_.reset();
    dispatch_to_log(log_successor_expected{.expected = false}, now, out);
    return;
  }
  auto opts = options_.log;
  opts.first_call = next_log_call_;
  log_.emplace(std::move(opts), *codec_, *random_);
  dispatch_to_log(log_open_requested{}, now, out);
}

void domain_owner::on_lease(const lease_uncertain& /*event*/, instant /*now*/, actions& /*out*/) {
  lease_uncertain_ = true;
}

void domain_owner::on_lease(const lease_confirmed& /*event*/, instant /*now*/, actions& /*out*/) {
  lease_uncertain_ = false;
}

void domain_owner::on_lease(const lease_lost& event, instant now, actions& out) {
  end_ownership(event.reason, false, now, out);
}

void domain_owner::on_lease(const lease_released& /*event*/, instant now, actions& out) {
  if (!gangs_) {
    end_ownership("the lease was released", true, now, out);
    return;
  }
  hand_over_deadline_ = now + options_.hand_over_timeout;
  dispatch_to_log(log_successor_expected{}, now, out);
}

// Log.

void domain_owner::on_log(const log_opened& event, instant now, actions& out) {
  project(log_->state());
  auto opts = options_.gangs;
  opts.current_epoch = event.opened;
  opts.first_call = next_worker_call_;
  gangs_.emplace(opts);
  owner_since_ = now;
  next_announcement_ = now;
  adoption_done_ = false;
  unreachable_workers_.clear();
  initialize_placement(now);
  const auto jobs = projected_state_.jobs;  // A copy, because adoption may change the state.
  for (const auto& [id, job] : jobs) {
    if (holds_workers(job.state)) {
      dispatch_to_gangs(
          gang_adopt{.job = id, .attempt = job.attempt, .spec = job.spec, .placement = job.placement}, now,
          out);
    }
  }
  dispatch_to_gangs(workers_changed{.workers = domain_workers()}, now, out);
}

void domain_owner::on_log(const log_committed& event, instant now, actions& out) {
  while (!pending_effects_.empty() && pending_effects_.front().append <= event.through) {
    const auto due = std::move(pending_effects_.front());
    pending_effects_.pop_front();
    std::visit([&](const auto& effect) { run_effect(effect, now, out); }, due.effect);
  }
}

void domain_owner::on_log(const log_lost& event, instant now, actions& out) {
  resign(event.reason, event.appends_settled, event.corrupt ? options_.corrupt_log_wait : duration{}, now,
         out);
}

void domain_owner::append(const log_entry& entry, std::optional<commit_effect> effect, instant now,
                          actions& out) {
  apply(entry, projected_state_);
  const auto id = next_append_++;
  if (effect) {
    pending_effects_.push_back({.append = id, .effect = *std::move(effect)});
  }
  dispatch_to_log(log_append{.id = id, .entries = {entry}}, now, out);
}

void domain_owner::run_effect(const accepted_effect& effect, instant /*now*/, actions& out) {
  const auto found = pending_answers_.find(effect.job);
  if (found == pending_answers_.end()) {
    return;
  }
  const auto submissions =
      std::stable_partition(found->second.begin(), found->second.end(),
                            [](const pending_answer& each) { return each.kind != message::submission; });
  for (auto each = submissions; each != found->second.end(); ++each) {
    answer_from_record(each->to, effect.job, out);
  }
  found->second.erase(submissions, found->second.end());
  if (found->second.empty()) {
    pending_answers_.erase(found);
  }
}

void domain_owner::run_effect(const ended_effect& effect, instant now, actions& out) {
  dispatch_to_gangs(gang_release{.job = effect.job, .attempt = effect.attempt}, now, out);
  const auto* job = committed_job(effect.job);
  if (job != nullptr && is_final(job->state)) {
    answer_pending(effect.job, out);
  }
}

void domain_owner::run_effect(const placed_effect& effect, instant now, actions& out) {
  const auto stop = requested_stops_.find(effect.start.job);
  if (stop == requested_stops_.end()) {
    dispatch_to_gangs(effect.start, now, out);
    return;
  }
  // The attempt was stopped before its placement was committed, so no task has started.
  on_gangs(gang_ended{.job = effect.start.job,
                      .attempt = effect.start.attempt,
                      .end = stop->second.end,
                      .reason = stop->second.reason},
           now, out);
}

// Gangs.

void domain_owner::on_gangs(const gang_running& event, instant now, actions& out) {
  const auto found = projected_state_.jobs.find(event.job);
  if (found == projected_state_.jobs.end() || found->second.attempt != event.attempt ||
      found->second.state != job_state::starting) {
    return;
  }
  append(job_started{.job = event.job, .attempt = event.attempt, .at = now}, std::nullopt, now, out);
  if (placement_initialized_) {
    placement_->attempt_started(event.job, event.attempt, now);
  }
}

void domain_owner::on_gangs(const gang_ended& event, instant now, actions& out) {
  const auto found = projected_state_.jobs.find(event.job);
  if (found == projected_state_.jobs.end() || found->second.attempt != event.attempt ||
      !holds_workers(found->second.state)) {
    return;
  }
  auto ended = event;
  const auto stop = requested_stops_.find(event.job);
  if (stop != requested_stops_.end() && event.end != gang_end::finished) {
    ended.end = stop->second.end;
  }
  requested_stops_.erase(event.job);
  const ended_effect effect{.job = event.job, .attempt = event.attempt};
  if (ended.end == gang_end::finished || ended.end == gang_end::cancelled) {
    const auto state = ended.end == gang_end::finished ? job_state::finished : job_state::cancelled;
    append(
        job_ended{
            .job = event.job, .attempt = event.attempt, .state = state, .reason = ended.reason, .at = now},
        effect, now, out);
  } else {
    append(job_requeued{.job = event.job,
                        .attempt = event.attempt,
                        .preempted = ended.end == gang_end::preempted,
                        .reason = ended.reason,
                        .attained_service = ended.attained_service,
                        .at = now},
           effect, now, out);
  }
  if (placement_initialized_) {
    placement_->attempt_ended(ended, now);
  }
}

void domain_owner::on_gangs(const worker_reachability& event, instant now, actions& /*out*/) {
  if (event.reachable) {
    unreachable_workers_.erase(event.worker);
  } else {
    unreachable_workers_.insert(event.worker);
  }
  if (placement_initialized_) {
    placement_->worker_reachable(event.worker, event.reachable, now);
  }
}

void domain_owner::on_gangs(const adoption_finished& /*event*/, instant /*now*/, actions& /*out*/) {
  adoption_done_ = true;
}

void domain_owner::on_gangs(const epoch_superseded& event, instant now, actions& out) {
  resign(absl::StrCat("a worker follows epoch ", event.newer.value()), false, {}, now, out);
}

// Placement.

void domain_owner::initialize_placement(instant now) {
  placement_initialized_ = document_ && !document_may_be_outdated_;
  if (!placement_initialized_) {
    return;
  }
  placement_->rebuild(document_->document, projected_state_, now);
  for (const auto& worker : unreachable_workers_) {
    placement_->worker_reachable(worker, false, now);
  }
}

void domain_owner::run_placement(instant now, actions& out) {
  if (!may_place(now)) {
    return;
  }
  std::vector<placement_decision> decisions;
  placement_->decide(now, decisions);
  // Carrying out a decision can end an attempt immediately, which enables further decisions.
  while (!decisions.empty()) {
    for (const auto& decision : std::exchange(decisions, {})) {
      std::visit([&](const auto& typed) { apply_decision(typed, now, out); }, decision);
    }
    placement_->decide(now, decisions);
  }
}

void domain_owner::apply_decision(const job_placement_decided& decision, instant now, actions& out) {
  const auto found = projected_state_.jobs.find(decision.job);
  if (found == projected_state_.jobs.end() || found->second.state != job_state::waiting ||
      decision.attempt <= found->second.attempt) {
    placement_->attempt_ended({.job = decision.job, .attempt = decision.attempt, .end = gang_end::cancelled},
                              now);
    return;
  }
  const gang_start start{.job = decision.job,
                         .attempt = decision.attempt,
                         .spec = found->second.spec,
                         .placement = decision.placement};
  append(
      job_placed{
          .job = decision.job, .attempt = decision.attempt, .placement = decision.placement, .at = now},
      placed_effect{start}, now, out);
}

void domain_owner::apply_decision(const job_preemption_decided& decision, instant now, actions& out) {
  const auto found = projected_state_.jobs.find(decision.job);
  if (found == projected_state_.jobs.end() || found->second.attempt != decision.attempt ||
      !holds_workers(found->second.state)) {
    return;
  }
  const gang_stop stop{.job = decision.job, .end = gang_end::preempted, .reason = decision.reason};
  requested_stops_.try_emplace(decision.job, stop);
  dispatch_to_gangs(stop, now, out);
}

void domain_owner::apply_decision(const job_end_decided& decision, instant now, actions& out) {
  end_waiting_job(decision.job, decision.state, decision.reason, now, out);
}

void domain_owner::apply_decision(const worker_set_aside_decided& decision, instant now, actions& out) {
  append(worker_set_aside{.worker = decision.worker, .reason = decision.reason, .at = now}, std::nullopt, now,
         out);
}

void domain_owner::apply_decision(const worker_restore_decided& decision, instant now, actions& out) {
  append(worker_restored{.worker = decision.worker, .at = now}, std::nullopt, now, out);
}

void domain_owner::end_waiting_job(const job_id& job, job_state state, std::string reason, instant now,
                                   actions& out) {
  const auto found = projected_state_.jobs.find(job);
  if (found == projected_state_.jobs.end() || found->second.state != job_state::waiting) {
    return;
  }
  const auto attempt = found->second.attempt;
  append(job_ended{.job = job, .attempt = attempt, .state = state, .reason = std::move(reason), .at = now},
         ended_effect{.job = job, .attempt = attempt}, now, out);
}

bool domain_owner::may_place(instant now) const {
  return gangs_ && placement_initialized_ && adoption_done_ && !lease_uncertain_ && !hand_over_deadline_ &&
         !log_stalled(options_.log_stall_limit, now);
}

bool domain_owner::log_stalled(duration limit, instant now) const {
  const auto oldest = log_ ? log_->oldest_uncommitted() : std::nullopt;
  return oldest && now - *oldest > limit;
}

std::vector<worker_id> domain_owner::domain_workers() const {
  std::vector<worker_id> workers;
  if (!document_) {
    return workers;
  }
  std::map<rack_id, bool> racks;
  for (const auto& rack : document_->document->racks) {
    racks[rack.id] = rack.failure_domain == options_.failure_domain;
  }
  for (const auto& worker : document_->document->workers) {
    if (racks[worker.rack]) {
      workers.push_back(worker.id);
    }
  }
  return workers;
}

// End of ownership.

void domain_owner::end_ownership(const std::string& reason, bool appends_settled, instant now, actions& out) {
  dispatch_to_log(log_closed{}, now, out);
  log_.reset();
  gangs_.reset();
  pending_effects_.clear();
  requested_stops_.clear();
  project({});
  hand_over_deadline_.reset();
  placement_initialized_ = false;
  lease_uncertain_ = false;
  for (const auto& [job, answers] : std::exchange(pending_answers_, {})) {
    for (const auto& each : answers) {
      auto result = refusal(reason);
      if (each.kind == message::cancellation || (each.kind == message::submission && !appends_settled)) {
        result.result = verdict::may_have_run;
        result.reason = absl::StrCat(reason, "; repeat with the same key");
      }
      answer(each.to, job, std::move(result), out);
    }
  }
  next_answer_deadline_.reset();
  if (draining_) {
    finish_drain(out);
  }
}

void domain_owner::resign(const std::string& reason, bool appends_settled, duration wait, instant now,
                          actions& out) {
  end_ownership(reason, appends_settled, now, out);
  dispatch_to_lease(lease_resigned{.wait = wait}, now, out);
}

void domain_owner::finish_drain(actions& out) {
  if (!std::exchange(drained_, true)) {
    out.emplace_back(owner_drained{});
  }
}

// Answers.

void domain_owner::add_pending_answer(const job_id& job, pending_answer answer) {
  next_answer_deadline_ = std::min(next_answer_deadline_.value_or(answer.deadline), answer.deadline);
  pending_answers_[job].push_back(std::move(answer));
}

void domain_owner::answer_pending(const job_id& job, actions& out) {
  const auto found = pending_answers_.find(job);
  if (found == pending_answers_.end()) {
    return;
  }
  for (const auto& each : found->second) {
    answer_from_record(each.to, job, out);
  }
  pending_answers_.erase(found);
}

void domain_owner::expire_answers(instant now, actions& out) {
  if (!next_answer_deadline_ || *next_answer_deadline_ > now) {
    return;
  }
  next_answer_deadline_.reset();
  for (auto job = pending_answers_.begin(); job != pending_answers_.end();) {
    auto& answers = job->second;
    for (const auto& each : answers) {
      if (each.deadline > now) {
        next_answer_deadline_ = std::min(next_answer_deadline_.value_or(each.deadline), each.deadline);
      } else if (each.kind == message::query && committed_job(job->first) != nullptr) {
        answer_from_record(each.to, job->first, out);
      } else {
        outcome result{.result = verdict::may_have_run,
                       .reason = each.kind == message::cancellation
                                     ? "the cancellation is in progress; repeat it"
                                     : "not yet accepted; repeat with the same key",
                       .retry_after = options_.retry_after};
        answer(each.to, job->first, std::move(result), out);
      }
    }
    answers.erase(std::remove_if(answers.begin(), answers.end(),
                                 [&](const pending_answer& each) { return each.deadline <= now; }),
                  answers.end());
    job = answers.empty() ? pending_answers_.erase(job) : std::next(job);
  }
}

void domain_owner::answer(const job_message_origin& to, const job_id& job, outcome result,
                          actions& out) const {
  out.emplace_back(job_answered{.to = to, .job = job, .result = std::move(result)});
}

void domain_owner::answer_from_record(const job_message_origin& to, const job_id& job, actions& out) const {
  const auto* known = committed_job(job);
  if (known == nullptr) {
    answer(to, job, refusal("the job is not known"), out);
    return;
  }
  job_answered answered{.to = to, .job = job, .result = {.result = verdict::ran}, .record = *known};
  if (known->state == job_state::waiting && placement_initialized_) {
    auto reason = placement_->waiting_reason(job);
    if (!reason.empty()) {
      answered.record->reason = std::move(reason);
    }
  }
  out.emplace_back(std::move(answered));
}

const job_record* domain_owner::committed_job(const job_id& job) const {
  if (!log_) {
    return nullptr;
  }
  const auto found = log_->state().jobs.find(job);
  return found == log_->state().jobs.end() ? nullptr : &found->second;
}

outcome domain_owner::refusal(std::string reason) const {
  return {.result = verdict::not_run, .reason = std::move(reason), .retry_after = options_.retry_after};
}

outcome domain_owner::not_owner() const {
  return refusal(absl::StrCat("this process does not own failure domain ", options_.failure_domain.value()));
}

epoch domain_owner::current_epoch() const noexcept {
  return gangs_ && log_ ? log_->opened_epoch() : epoch{};
}

const domain_state* domain_owner::committed() const noexcept {
  return gangs_ && log_ ? &log_->state() : nullptr;
}

std::optional<instant> domain_owner::next_deadline() const {
  std::optional<instant> earliest = lease_.next_deadline();
  const auto consider = [&](std::optional<instant> at) {
    if (at && (!earliest || *at < *earliest)) {
      earliest = at;
    }
  };
  consider(next_answer_deadline_);
  if (log_) {
    consider(log_->next_deadline());
  }
  if (gangs_) {
    consider(gangs_->next_deadline());
    consider(next_announcement_);
    consider(hand_over_deadline_);
    if (!adoption_done_) {
      consider(owner_since_ + options_.adoption_grace);
    }
    if (may_place(last_event_at_)) {
      consider(placement_->next_deadline());
    }
  }
  return earliest;
}

}  // namespace rhubarbpath

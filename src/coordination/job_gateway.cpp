#include "rhubarbpath/coordination/job_gateway.hpp"

#include <algorithm>
#include <utility>

namespace rhubarbpath {

namespace {

/// Content of a claim row. Encoded as two lines: the failure domain and the fingerprint.
struct claim {
  failure_domain_id failure_domain;
  std::string fingerprint;
};

std::string encode_claim(const claim& value) {
  return value.failure_domain.value() + "\n" + value.fingerprint + "\n";
}

/// Returns nothing if a line is missing.
std::optional<claim> decode_claim(const std::string& text) {
  const auto first = text.find('\n');
  if (first == std::string::npos) {
    return std::nullopt;
  }
  const auto second = text.find('\n', first + 1);
  if (second == std::string::npos) {
    return std::nullopt;
  }
  return claim{.failure_domain = failure_domain_id{text.substr(0, first)},
               .fingerprint = text.substr(first + 1, second - first - 1)};
}

outcome not_run(std::string reason, std::optional<duration> retry_after = std::nullopt) {
  return {.result = verdict::not_run, .reason = std::move(reason), .retry_after = retry_after};
}

}  // namespace

job_gateway::job_gateway(options opts) : options_{std::move(opts)}, next_call_{options_.first_call} {}

void job_gateway::handle(const job_gateway_event& event, instant now, actions& out) {
  std::visit([&](const auto& typed) { on(typed, now, out); }, event);
}

std::optional<instant> job_gateway::next_deadline() const {
  std::optional<instant> earliest;
  for (const auto& [id, pending] : requests_) {
    const auto due = pending.current_phase == phase::at_owner ? std::min(pending.next_send, pending.deadline)
                                                              : pending.deadline;
    earliest = earliest ? std::min(*earliest, due) : due;
  }
  return earliest;
}

std::string job_gateway::claim_key(const job_id& job) const {
  return "/env/" + options_.environment + "/jobs/" + job.value();
}

vm_id job_gateway::owner_of(const failure_domain_id& domain) const {
  const auto found = owners_.find(domain);
  return found == owners_.end() ? vm_id{} : found->second.vm;
}

epoch job_gateway::epoch_of(const failure_domain_id& domain) const {
  const auto found = owners_.find(domain);
  return found == owners_.end() ? epoch{} : found->second.owned;
}

void job_gateway::on(const gateway::submission& event, instant /*now*/, actions& out) {
  if (!admit(event.id, event.job, out)) {
    return;
  }
  if (event.failure_domain.empty()) {
    out.emplace_back(
        gateway::answer{.id = event.id, .job = event.job, .result = not_run(event.refusal), .record = {}});
    return;
  }
  request pending{.kind = gateway::owner_message::submit,
                  .current_phase = phase::claiming,
                  .job = event.job,
                  .spec = event.spec,
                  .fingerprint = event.fingerprint,
                  .failure_domain = event.failure_domain,
                  .deadline = event.deadline};
  auto& stored = requests_[event.id] = std::move(pending);
  const claim content{.failure_domain = stored.failure_domain, .fingerprint = stored.fingerprint};
  call_store(
      event.id, stored,
      store_put{
          .key = claim_key(event.job), .value = encode_claim(content), .expected = {}, .id = {}, .lease = {}},
      out);
}

void job_gateway::on(const gateway::query& event, instant now, actions& out) {
  if (admit(event.id, event.job, out)) {
    find_claim(event.id,
               {.kind = gateway::owner_message::query,
                .job = event.job,
                .wait = event.wait,
                .deadline = event.deadline},
               now, out);
  }
}

void job_gateway::on(const gateway::cancellation& event, instant now, actions& out) {
  if (admit(event.id, event.job, out)) {
    find_claim(event.id,
               {.kind = gateway::owner_message::cancel, .job = event.job, .deadline = event.deadline}, now,
               out);
  }
}

void job_gateway::on(const gateway::owner_announced& event, instant now, actions& out) {
  auto& known = owners_[event.failure_domain];
  if (event.owned < known.owned) {
    return;  // Delayed announcement of an earlier owner.
  }
  const bool changed = known.vm != event.owner || known.owned != event.owned;
  known = {.owned = event.owned, .vm = event.owner};
  if (!changed) {
    return;
  }
  for (auto& [id, pending] : requests_) {
    if (pending.current_phase == phase::at_owner && pending.failure_domain == event.failure_domain) {
      send(id, pending, now, out);
    }
  }
}

void job_gateway::on(const gateway::owner_lost& event, instant /*now*/, actions& /*out*/) {
  // The epoch is kept, so that a delayed announcement of an earlier owner is still ignored.
  for (auto& [domain, known] : owners_) {
    if (known.vm == event.owner) {
      known.vm = {};
    }
  }
}

void job_gateway::on(const gateway::owner_answered& event, instant now, actions& out) {
  const auto found = requests_.find(event.id);
  if (found == requests_.end() || found->second.current_phase != phase::at_owner) {
    return;
  }
  auto& pending = found->second;
  const bool conclusive = event.result.result == verdict::ran || !event.result.retry_after;
  if (conclusive) {
    finish(event.id, {.id = event.id, .job = pending.job, .result = event.result, .record = event.record},
           out);
    return;
  }
  // The process no longer owns the failure domain, or has no result yet. The message is repeated until
  // the deadline; the owner answers repeats with the same result. `sent` stays set, because an earlier
  // owner may have logged the job before it lost the failure domain.
  pending.next_send = now + std::min(*event.result.retry_after, options_.resend_interval);
}

void job_gateway::on(const gateway::drain& /*event*/, instant now, actions& out) {
  draining_ = true;
  for (auto& [id, pending] : requests_) {
    if (pending.current_phase == phase::at_owner && pending.wait > duration::zero()) {
      send(id, pending, now, out);
    }
  }
}

void job_gateway::on(const store_call_result& event, instant now, actions& out) {
  const auto call = calls_.find(event.id);
  if (call == calls_.end()) {
    return;
  }
  const auto id = call->second;
  calls_.erase(call);
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  if (found->second.current_phase == phase::claiming) {
    on_claim_written(id, event.response, now, out);
  } else if (found->second.current_phase == phase::reading) {
    on_claim_read(id, event.response, now, out);
  }
}

void job_gateway::on(const tick& /*event*/, instant now, actions& out) {
  std::vector<request_id> expired;
  for (auto& [id, pending] : requests_) {
    if (pending.deadline <= now) {
      expired.push_back(id);
    } else if (pending.current_phase == phase::at_owner && pending.next_send <= now) {
      send(id, pending, now, out);
    }
  }
  for (const auto id : expired) {
    expire(id, out);
  }
}

bool job_gateway::admit(request_id id, const job_id& job, actions& out) {
  if (requests_.size() < options_.max_requests) {
    return true;
  }
  out.emplace_back(gateway::answer{
      .id = id,
      .job = job,
      .result = not_run("too many job requests are in progress at this VM", options_.retry_after),
      .record = {}});
  return false;
}

void job_gateway::find_claim(request_id id, request pending, instant now, actions& out) {
  auto& stored = requests_[id] = std::move(pending);
  const auto known = claims_.find(stored.job);
  if (known == claims_.end()) {
    read_claim(id, stored, out);
    return;
  }
  stored.failure_domain = known->second;
  forward_to_owner(id, stored, now, out);
}

void job_gateway::read_claim(request_id id, request& pending, actions& out) {
  pending.current_phase = phase::reading;
  call_store(id, pending, store_get{.key = claim_key(pending.job)}, out);
}

void job_gateway::on_claim_written(request_id id, const store_response& response, instant now, actions& out) {
  auto& pending = requests_.at(id);
  if (std::holds_alternative<store_written>(response)) {
    forward_to_owner(id, pending, now, out);
    return;
  }
  const auto* failure = std::get_if<store_failure>(&response);
  if (failure != nullptr && *failure == store_failure::conflict) {
    read_claim(id, pending, out);  // The key was already used, possibly at another VM.
    return;
  }
  answer_store_failure(id, failure != nullptr ? *failure : store_failure::invalid, out);
}

void job_gateway::on_claim_read(request_id id, const store_response& response, instant now, actions& out) {
  auto& pending = requests_.at(id);
  const auto* rows = std::get_if<store_rows>(&response);
  if (rows == nullptr) {
    const auto* failure = std::get_if<store_failure>(&response);
    answer_store_failure(id, failure != nullptr ? *failure : store_failure::invalid, out);
    return;
  }
  const auto found = rows->rows.empty() ? std::nullopt : decode_claim(rows->rows.front().value);
  gateway::answer refusal{.id = id, .job = pending.job, .result = {}, .record = {}};
  if (!found) {
    refusal.result = not_run("no job with this id was submitted");
    refusal.unknown_job = true;
    finish(id, std::move(refusal), out);
    return;
  }
  if (pending.kind == gateway::owner_message::submit && found->fingerprint != pending.fingerprint) {
    refusal.result = not_run("the idempotency key was used for a different job");
    refusal.key_conflict = true;
    finish(id, std::move(refusal), out);
    return;
  }
  pending.failure_domain = found->failure_domain;
  forward_to_owner(id, pending, now, out);
}

void job_gateway::answer_store_failure(request_id id, store_failure failure, actions& out) {
  const auto& pending = requests_.at(id);
  gateway::answer result{.id = id, .job = pending.job, .result = {}, .record = {}};
  if (pending.kind == gateway::owner_message::submit && failure == store_failure::unknown) {
    result.result = {.result = verdict::may_have_run,
                     .reason = "not yet accepted; repeat with the same key",
                     .retry_after = options_.retry_after};
  } else {
    result.result = not_run("the platform's store cannot be reached (" + std::string{to_string(failure)} +
                                "); repeat with the same key",
                            options_.retry_after);
  }
  finish(id, std::move(result), out);
}

void job_gateway::forward_to_owner(request_id id, request& pending, instant now, actions& out) {
  pending.current_phase = phase::at_owner;
  cache_claim(pending.job, pending.failure_domain);
  send(id, pending, now, out);
}

void job_gateway::send(request_id id, request& pending, instant now, actions& out) {
  pending.next_send = now + options_.resend_interval;
  const auto holder = owner_of(pending.failure_domain);
  if (holder.empty()) {
    return;
  }
  pending.sent = true;
  const auto remaining = std::max(pending.deadline - now, duration::zero());
  out.emplace_back(
      gateway::send_to_owner{.owner = holder,
                             .id = id,
                             .kind = pending.kind,
                             .failure_domain = pending.failure_domain,
                             .job = pending.job,
                             .spec = pending.spec,
                             .wait = draining_ ? duration::zero() : std::min(pending.wait, remaining)});
}

void job_gateway::expire(request_id id, actions& out) {
  const auto& pending = requests_.at(id);
  gateway::answer result{.id = id, .job = pending.job, .result = {}, .record = {}};
  if (pending.kind == gateway::owner_message::submit && pending.sent) {
    result.result = {.result = verdict::may_have_run,
                     .reason = "the owner of failure domain " + pending.failure_domain.value() +
                               " has not answered; repeat with the same key",
                     .retry_after = options_.retry_after};
  } else if (pending.kind == gateway::owner_message::cancel && pending.sent) {
    result.result = {.result = verdict::may_have_run,
                     .reason = "the cancellation was sent and not confirmed; repeat it",
                     .retry_after = options_.retry_after};
  } else {
    result.result = not_run(pending.current_phase == phase::at_owner
                                ? "failure domain " + pending.failure_domain.value() +
                                      " has no owner that answers; repeat with the same key"
                                : "the platform's store has not answered; repeat with the same key",
                            options_.retry_after);
  }
  if (pending.kind == gateway::owner_message::submit && pending.current_phase == phase::claiming) {
    result.result.result = verdict::may_have_run;
    result.result.reason = "not yet accepted; repeat with the same key";
  }
  if (pending.call.value() != 0 && pending.current_phase != phase::at_owner) {
    out.emplace_back(store_call_cancelled{.id = pending.call});
    calls_.erase(pending.call);
  }
  finish(id, std::move(result), out);
}

void job_gateway::finish(request_id id, gateway::answer result, actions& out) {
  requests_.erase(id);
  out.emplace_back(std::move(result));
}

void job_gateway::call_store(request_id id, request& pending, store_request call, actions& out) {
  pending.call = std::exchange(next_call_, next_call_.next());
  calls_[pending.call] = id;
  out.emplace_back(store_call{.id = pending.call,
                              .request = std::move(call),
                              .priority = store_priority::read,
                              .retry_for = options_.store_retry_timeout});
}

void job_gateway::cache_claim(const job_id& job, const failure_domain_id& domain) {
  if (!claims_.insert_or_assign(job, domain).second) {
    return;
  }
  claim_order_.push_back(job);
  if (claim_order_.size() > options_.max_cached_claims) {
    claims_.erase(claim_order_.front());
    claim_order_.pop_front();
  }
}

}  // namespace rhubarbpath

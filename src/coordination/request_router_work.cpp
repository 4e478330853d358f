#include <algorithm>
#include <utility>

#include "request_router_impl.hpp"

namespace rhubarbpath {

using namespace routing;
using detail::request_phase;
using detail::timer_kind;

namespace {

/// A call cancelled at its deadline counts as a failure of the target only if it took more than this many
/// times the 95% quantile of the attempt time, because a caller may set a deadline that no healthy target
/// can meet.
constexpr double slow_call_factor = 2.0;
/// Step size of the quantile estimate, relative to its value.
constexpr double estimate_step = 0.05;
constexpr double estimated_quantile = 0.95;
/// Weight of a new sample in the moving average.
constexpr double mean_step = 0.02;

constexpr bool is_server_error(int status) {
  return status >= 500;
}

}  // namespace

detail::routed_request& request_router::implementation::add_request(request_content content,
                                                                    routed_class& request_class,
                                                                    detail::routed_team* team) {
  auto request = std::make_unique<routed_request>();
  request->number = next_request_number_++;
  request->order = next_order_++;
  request->content = std::move(content);
  request->request_class = &request_class;
  request->team = team;
  request->arrived_at = now_;
  ++request_class.request_count;
  if (team != nullptr) {
    ++team->request_count;
  }
  auto& added = *request;
  requests_[added.number] = std::move(request);
  return added;
}

void request_router::implementation::erase_request(routed_request& request) {
  dequeue(request);
  if (request.timer_at != instant{}) {
    timers_.erase({request.timer_at, timer_kind::deadline, request.number});
  }
  for (const auto& each : request.attempts) {
    if (each.forwarded) {
      forwards_.erase(forward_id{each.id});
    } else if (const auto call = calls_.find(target_call_id{each.id}); call != calls_.end()) {
      call->second.request_number = 0;
      timers_.insert({std::max(now_, request.content.deadline) + options_.late_answer_grace,
                      timer_kind::abandoned_call, each.id});
    }
  }
  if (!request.coalescing_key.empty()) {
    coalescing_index_.erase(request.coalescing_key);
  }
  if (request.phase == request_phase::waiting_intent) {
    intents_waiting_.erase(request.first_caller);
  }
  late_request_count_ -= request.phase == request_phase::late ? 1 : 0;
  --request.request_class->request_count;
  if (request.team != nullptr) {
    --request.team->request_count;
  }
  requests_.erase(request.number);
}

detail::routed_request* request_router::implementation::find_request(std::uint64_t number) {
  const auto found = requests_.find(number);
  return found == requests_.end() ? nullptr : found->second.get();
}

void request_router::implementation::set_timer(routed_request& request, instant at) {
  if (request.timer_at != instant{}) {
    timers_.erase({request.timer_at, timer_kind::deadline, request.number});
  }
  request.timer_at = at;
  timers_.insert({at, timer_kind::deadline, request.number});
}

void request_router::implementation::answer(request_id caller, const outcome& result, int status,
                                            const shared_body& body) {
  callers_.erase(caller);
  caller_deadlines_.erase(caller);
  emit(answer_caller{.id = caller, .result = result, .status = status, .body = body});
}

void request_router::implementation::refuse_arrival(const request_arrived& event, const std::string& reason,
                                                    bool overload) {
  const auto* request_class = find_class(event.content.service, event.content.request_class);
  const bool non_idempotent =
      event.content.non_idempotent || (request_class != nullptr && request_class->spec.non_idempotent);
  const bool earlier_attempt_possible = non_idempotent && !event.key.empty() && !event.first_attempt;
  outcome result{.result = earlier_attempt_possible ? verdict::may_have_run : verdict::not_run,
                 .reason = reason};
  if (earlier_attempt_possible) {
    result.reason += "; an earlier attempt with this key may have run";
  }
  if (overload) {
    result.retry_after = options_.retry_after;
  }
  emit(answer_caller{.id = event.id, .result = std::move(result)});
}

bool request_router::implementation::coalesce(const request_arrived& event, const std::string& key) {
  const auto found = coalescing_index_.find(key);
  if (found == coalescing_index_.end()) {
    return false;
  }
  auto& request = *requests_.at(found->second);
  // A non-idempotent request must not join an idempotent one in progress, which may be sent twice.
  const bool non_idempotent = event.content.non_idempotent || request.request_class->spec.non_idempotent;
  if (non_idempotent && !request.content.non_idempotent) {
    return false;
  }
  request.callers.push_back(event.id);
  callers_[event.id] = request.number;
  if (event.content.deadline != instant{} && event.content.deadline < request.content.deadline) {
    caller_deadlines_[event.id] = event.content.deadline;
    timers_.insert({event.content.deadline, timer_kind::caller_deadline, event.id.value()});
  }
  return true;
}

void request_router::implementation::ask_intent(routed_request& request) {
  // A request without an earlier attempt can be refused immediately. Otherwise the registrars are asked
  // first, because `not_run` would be wrong if the earlier attempt ran.
  if (request.first_attempt) {
    if (const auto refusal = admission_refusal(request)) {
      end_without_answer(request, *refusal, options_.retry_after);
      return;
    }
  }
  if (intents_waiting_.size() >= options_.max_waiting_intents) {
    end_without_answer(request, "too many requests wait for their intent", options_.retry_after);
    return;
  }
  request.intent_requested = true;
  intents_waiting_[request.first_caller] = request.number;
  emit(record_intent{.intent = *request.intent, .deadline = request.content.deadline});
}

/// The newest queued request of the same team in its least urgent class; null if no class with queued
/// requests is less urgent than that of `request`.
detail::routed_request* request_router::implementation::newest_less_urgent_of_team(
    const routed_request& request) {
  auto& classes = request.request_class->service->classes;
  for (auto it = classes.rbegin(); it != classes.rend(); ++it) {
    if ((*it)->spec.rank <= request.request_class->spec.rank) {
      return nullptr;
    }
    if (auto* newest = (*it)->queue.newest_of(request.team->index)) {
      return newest;
    }
  }
  return nullptr;
}

std::optional<std::string> request_router::implementation::admission_refusal(const routed_request& request) {
  if (request.team->queued >= request.team->max_queued && newest_less_urgent_of_team(request) == nullptr) {
    return "the team's queue limit is reached";
  }
  const auto& request_class = *request.request_class;
  if (request_class.queue.size() < static_cast<std::size_t>(std::max(0, request_class.spec.queue_limit))) {
    return std::nullopt;
  }
  const auto* newest = request_class.queue.newest_of_longest_team();
  if (newest != nullptr && request_class.queue.size_of(newest->team->index) >
                               request_class.queue.size_of(request.team->index) + 1) {
    return std::nullopt;
  }
  return "the class's queue limit is reached";
}

/// Queues a new request, or refuses it because a queue limit is reached.
void request_router::implementation::admit(routed_request& request) {
  if (const auto refusal = admission_refusal(request)) {
    // With a queue limit of zero, a request that can be sent immediately is still admitted.
    if (request.request_class->spec.queue_limit > 0 ||
        pick_target(*request.request_class->service, request) == nullptr) {
      end_without_answer(request, *refusal, options_.retry_after);
      return;
    }
  }
  if (request.team->queued >= request.team->max_queued) {
    if (auto* dropped = newest_less_urgent_of_team(request)) {
      end_without_answer(*dropped, "the team's queue limit is reached", options_.retry_after);
    }
  }
  auto& queue = request.request_class->queue;
  const auto limit = static_cast<std::size_t>(std::max(1, request.request_class->spec.queue_limit));
  if (queue.size() >= limit) {
    end_without_answer(*queue.newest_of_longest_team(), "the class's queue limit is reached",
                       options_.retry_after);
  }
  enqueue(request);
}

void request_router::implementation::enqueue(routed_request& request) {
  request.phase = request_phase::queued;
  request.request_class->queue.push(request.team->index, request.order, &request);
  ++request.team->queued;
  request.request_class->service->dirty = true;
}

void request_router::implementation::dequeue(routed_request& request) {
  if (request.phase != request_phase::queued) {
    return;
  }
  auto& request_class = *request.request_class;
  if (request.pulled) {
    auto& pulled = request_class.pulled;
    pulled.erase(std::remove(pulled.begin(), pulled.end(), &request), pulled.end());
    request.pulled = false;
  } else if (request.team != nullptr && request_class.queue.remove(request.team->index, request.order)) {
    --request.team->queued;
  }
}

verdict request_router::implementation::unsent_verdict(const routed_request& request) const {
  const bool no_earlier_attempt =
      !request.content.non_idempotent || request.first_attempt || request.intent_recorded;
  return no_earlier_attempt ? verdict::not_run : verdict::may_have_run;
}

/// Ends a request from a caller of this VM.
void request_router::implementation::finish(routed_request& request, const outcome& result, int status,
                                            const shared_body& body) {
  const auto callers = request.callers;
  request.callers.clear();
  for (const auto caller : callers) {
    answer(caller, result, status, body);
  }
  if (request.intent && request.intent_requested) {
    if (request.intent_recorded && result.result != verdict::not_run) {
      emit(finish_intent{.intent = *request.intent, .result = result, .status = status, .body = body});
    } else {
      emit(withdraw_intent{.intent = *request.intent});
    }
  }
  if (request.content.non_idempotent && result.result == verdict::may_have_run && !request.attempts.empty()) {
    keep_for_late_answer(request);
  } else {
    erase_request(request);
  }
}

void request_router::implementation::end_without_answer(routed_request& request, const std::string& reason,
                                                        std::optional<duration> retry_after) {
  if (request.fallback) {
    const auto kept = *request.fallback;
    finish(request, {.result = verdict::ran}, kept.status, kept.body);
    return;
  }
  outcome result{.result = unsent_verdict(request), .reason = reason, .retry_after = retry_after};
  if (request.maybe_ran || !request.attempts.empty()) {
    result.result = verdict::may_have_run;
  } else if (result.result == verdict::may_have_run) {
    result.reason += "; an earlier attempt with this key may have run";
  }
  finish(request, result, 0, nullptr);
}

/// Ends a request that a peer forwarded here.
void request_router::implementation::end_forwarded(routed_request& request, forward_result result,
                                                   const std::string& reason,
                                                   std::optional<worker_id> target) {
  reply(*request.source, request.request_class->service,
        {.result = result, .target = std::move(target), .reason = reason});
  // The dispatcher is lost, so this VM reports the outcome to the registrars instead.
  if (request.source->lost && request.intent && result == forward_result::may_have_run) {
    emit(finish_intent{.intent = *request.intent, .result = {verdict::may_have_run, reason, {}}});
  }
  erase_request(request);
}

void request_router::implementation::keep_for_late_answer(routed_request& request) {
  if (!request.coalescing_key.empty()) {
    coalescing_index_.erase(request.coalescing_key);
    request.coalescing_key.clear();
  }
  request.phase = request_phase::late;
  set_timer(request, std::max(now_, request.content.deadline) + options_.late_answer_grace);
  late_requests_.push_back(request.number);
  ++late_request_count_;
  while (late_request_count_ > options_.max_late_requests ||
         (!late_requests_.empty() && find_request(late_requests_.front()) == nullptr)) {
    auto* oldest = find_request(late_requests_.front());
    late_requests_.pop_front();
    if (oldest != nullptr) {
      cancel_local_calls(*oldest);
      erase_request(*oldest);
    }
  }
}

bool request_router::implementation::may_send_again(const routed_request& request) const {
  return request.sends < options_.max_attempts && now_ < request.content.deadline &&
         request.request_class->in_document;
}

void request_router::implementation::attempt_answered(routed_request& request, int status,
                                                      const shared_body& body,
                                                      std::optional<worker_id> target) {
  if (request.source) {
    reply(*request.source, request.request_class->service,
          {.result = forward_result::answered, .status = status, .body = body, .target = std::move(target)});
    if (request.source->lost && request.intent) {
      emit(finish_intent{
          .intent = *request.intent, .result = {.result = verdict::ran}, .status = status, .body = body});
    }
    erase_request(request);
    return;
  }
  if (request.phase == request_phase::late) {
    emit(finish_intent{
        .intent = *request.intent, .result = {.result = verdict::ran}, .status = status, .body = body});
    erase_request(request);
    return;
  }
  if (is_server_error(status) && !request.content.non_idempotent) {
    request.fallback = detail::kept_answer{status, body};
    request.avoid = std::move(target);
    if (!request.attempts.empty()) {
      return;
    }
    if (may_send_again(request) && retries_.try_spend()) {
      enqueue(request);
      return;
    }
  }
  finish(request, {.result = verdict::ran}, status, body);
}

void request_router::implementation::attempt_failed(routed_request& request, bool maybe_ran,
                                                    std::optional<worker_id> target,
                                                    const std::string& reason) {
  if (request.phase == request_phase::late) {
    if (request.attempts.empty()) {
      erase_request(request);
    }
    return;
  }
  if (request.source) {
    end_forwarded(request, maybe_ran ? forward_result::may_have_run : forward_result::not_sent, reason,
                  std::move(target));
    return;
  }
  request.maybe_ran = request.maybe_ran || maybe_ran;
  if (target) {
    request.avoid = std::move(target);
  }
  if (maybe_ran && request.content.non_idempotent) {
    finish(request, {verdict::may_have_run, reason, {}}, 0, nullptr);
    return;
  }
  if (!request.attempts.empty()) {
    return;
  }
  if (may_send_again(request) && retries_.try_spend()) {
    enqueue(request);
    return;
  }
  end_without_answer(request, reason, options_.retry_after);
}

/// A peer refused a forward without sending it to a target. The request is queued again without spending
/// a retry credit.
void request_router::implementation::forward_refused(routed_request& request) {
  --request.sends;
  ++request.refused_forwards;
  if (!request.attempts.empty()) {
    return;
  }
  if (!request.request_class->in_document) {
    end_without_answer(request, "the class is no longer in the document", {});
    return;
  }
  enqueue(request);
}

void request_router::implementation::deadline_passed(routed_request& request) {
  const std::string reason = "the deadline passed before the answer came";
  if (request.phase == request_phase::late) {
    cancel_local_calls(request);
    erase_request(request);
    return;
  }
  const bool unsent = request.phase != request_phase::in_flight;
  if (request.source) {
    if (unsent) {
      end_forwarded(request, forward_result::not_sent, "the deadline passed in the home VM's queue", {});
    } else if (request.content.non_idempotent) {
      reply(*request.source, request.request_class->service,
            {.result = forward_result::may_have_run, .reason = reason});
      keep_for_late_answer(request);
    } else {
      cancel_local_calls(request);
      end_forwarded(request, forward_result::may_have_run, reason, {});
    }
    return;
  }
  if (unsent) {
    end_without_answer(request, "the deadline passed before the request was sent", options_.retry_after);
    return;
  }
  if (!request.content.non_idempotent) {
    request.maybe_ran = true;
    cancel_local_calls(request);
  }
  end_without_answer(request, reason, {});
}

void request_router::implementation::cancel_local_calls(routed_request& request) {
  for (const auto& each : request.attempts) {
    const auto found = each.forwarded ? calls_.end() : calls_.find(target_call_id{each.id});
    if (found == calls_.end()) {
      continue;
    }
    cancel(found->first, found->second, request.request_class);
  }
}

void request_router::implementation::cancel(target_call_id id, detail::target_call& call,
                                            const routed_class* request_class) {
  if (call.slot_release_at) {
    return;
  }
  call.request_number = 0;
  call.slot_release_at = now_ + options_.cancelled_slot_release_delay;
  emit(cancel_call{id});
  const auto elapsed = static_cast<double>((now_ - call.started).count());
  const bool slow = request_class != nullptr && elapsed > slow_call_factor * request_class->attempt_time_p95;
  if (call.trial || slow) {
    update_health(*call.target->service, health::call_failed{call.target->id});
  }
}

void request_router::implementation::release_slot_later(routed_target& target, instant until) {
  delayed_releases_[next_delayed_release_] = &target;
  timers_.insert({std::max(now_, until), timer_kind::slot_release, next_delayed_release_++});
}

void request_router::implementation::release_slot(routed_target& target) {
  --target.slots_used;
  --target.service->slots_used;
  target.service->dirty = true;
}

void request_router::implementation::hedge(routed_request& request) {
  const bool has_single_attempt = request.phase == request_phase::in_flight && request.attempts.size() == 1;
  if (!has_single_attempt || request.source || !may_send_again(request) || hedges_.credits() < 1.0) {
    return;
  }
  auto& service = *request.request_class->service;
  if (!request.attempts.front().forwarded) {
    request.avoid = calls_.at(target_call_id{request.attempts.front().id}).target->id;
  }
  auto* target = pick_target(service, request);
  if (target != nullptr && target->id != request.avoid && hedges_.try_spend()) {
    send(request, *target);
    return;
  }
  auto* peer = pick_peer(service);
  if (peer != nullptr && hedges_.try_spend()) {
    forward(request, *peer, false);
  }
}

void request_router::implementation::remove_attempt(routed_request& request, bool forwarded,
                                                    std::uint64_t id) {
  for (auto it = request.attempts.begin(); it != request.attempts.end(); ++it) {
    if (it->forwarded == forwarded && it->id == id) {
      request.attempts.erase(it);
      return;
    }
  }
}

void request_router::implementation::observe_attempt_time(routed_class& request_class, duration time) {
  const auto value = static_cast<double>(time.count());
  auto& estimate = request_class.attempt_time_p95;
  if (estimate <= 0.0) {
    estimate = value;
  } else if (value > estimate) {
    estimate += estimate * estimate_step * estimated_quantile;
  } else {
    estimate -= estimate * estimate_step * (1.0 - estimated_quantile);
  }
  auto& mean = request_class.mean_attempt_time;
  mean = mean <= 0.0 ? value : mean + mean_step * (value - mean);
}

}  // namespace rhubarbpath

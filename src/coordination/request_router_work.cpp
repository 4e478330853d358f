#include <algorithm>
#include <utility>

#include "request_router_impl.hpp"

namespace rhubarbpath {

using namespace routing;
using detail::timer_kind;
using detail::work_phase;

namespace {

/// A call that is cancelled at its deadline counts against its target only when it took this many
/// times the usual time: a caller may set a deadline that no healthy target can meet.
constexpr double slow_call_factor = 2.0;
/// Step of the quantile estimate, as a share of its value.
constexpr double estimate_step = 0.05;
constexpr double estimated_quantile = 0.95;
constexpr double mean_step = 0.02;

constexpr bool is_server_error(int status) {
  return status >= 500;
}

}  // namespace

detail::work& request_router::implementation::add_work(request_content content, routed_class& request_class,
                                                       detail::routed_team* team) {
  auto item = std::make_unique<work>();
  item->number = next_work_++;
  item->order = next_order_++;
  item->content = std::move(content);
  item->request_class = &request_class;
  item->team = team;
  item->arrived_at = now_;
  ++request_class.works;
  if (team != nullptr) {
    ++team->works;
  }
  auto& added = *item;
  works_[added.number] = std::move(item);
  return added;
}

void request_router::implementation::erase_work(work& item) {
  unqueue(item);
  if (item.timer_at != instant{}) {
    timers_.erase({item.timer_at, timer_kind::deadline, item.number});
  }
  for (const auto& each : item.attempts) {
    if (each.forwarded) {
      forwards_.erase(forward_id{each.id});
    } else if (const auto call = calls_.find(target_call_id{each.id}); call != calls_.end()) {
      call->second.work = 0;
      timers_.insert({std::max(now_, item.content.deadline) + options_.late_answer_grace,
                      timer_kind::call_end, each.id});
    }
  }
  if (!item.attach_key.empty()) {
    attach_.erase(item.attach_key);
  }
  if (item.phase == work_phase::waiting_intent) {
    intents_waiting_.erase(item.primary);
  }
  late_count_ -= item.phase == work_phase::late ? 1 : 0;
  --item.request_class->works;
  if (item.team != nullptr) {
    --item.team->works;
  }
  works_.erase(item.number);
}

detail::work* request_router::implementation::find_work(std::uint64_t number) {
  const auto found = works_.find(number);
  return found == works_.end() ? nullptr : found->second.get();
}

void request_router::implementation::set_timer(work& item, instant at) {
  if (item.timer_at != instant{}) {
    timers_.erase({item.timer_at, timer_kind::deadline, item.number});
  }
  item.timer_at = at;
  timers_.insert({at, timer_kind::deadline, item.number});
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
  const bool maybe_earlier = non_idempotent && !event.key.empty() && !event.first_attempt;
  outcome result{.result = maybe_earlier ? verdict::may_have_run : verdict::not_run, .reason = reason};
  if (maybe_earlier) {
    result.reason += "; an earlier attempt with this key may have run";
  }
  if (overload) {
    result.retry_after = options_.retry_after;
  }
  emit(answer_caller{.id = event.id, .result = std::move(result)});
}

bool request_router::implementation::attach_to_running(const request_arrived& event, const std::string& key) {
  const auto found = attach_.find(key);
  if (found == attach_.end()) {
    return false;
  }
  auto& item = *works_.at(found->second);
  // A request in progress that may be sent twice must not stand for one that must not.
  const bool non_idempotent = event.content.non_idempotent || item.request_class->spec.non_idempotent;
  if (non_idempotent && !item.content.non_idempotent) {
    return false;
  }
  item.callers.push_back(event.id);
  callers_[event.id] = item.number;
  if (event.content.deadline != instant{} && event.content.deadline < item.content.deadline) {
    caller_deadlines_[event.id] = event.content.deadline;
    timers_.insert({event.content.deadline, timer_kind::caller_deadline, event.id.value()});
  }
  return true;
}

void request_router::implementation::ask_intent(work& item) {
  // A key without an earlier attempt can be refused at once. Otherwise the registrars are asked
  // first, because a refusal as `not_run` would be false if the earlier attempt ran.
  if (item.first_attempt) {
    if (const auto refusal = admission_refusal(item)) {
      end_without_answer(item, *refusal, options_.retry_after);
      return;
    }
  }
  if (intents_waiting_.size() >= options_.max_waiting_intents) {
    end_without_answer(item, "too many requests wait for their intent", options_.retry_after);
    return;
  }
  item.intent_asked = true;
  intents_waiting_[item.primary] = item.number;
  emit(record_intent{.intent = *item.intent, .deadline = item.content.deadline});
}

/// The newest queued request of the item's team in the least urgent class below the item's.
detail::work* request_router::implementation::less_urgent_of_team(const work& item) {
  auto& classes = item.request_class->service->classes;
  for (auto it = classes.rbegin(); it != classes.rend(); ++it) {
    if ((*it)->spec.rank <= item.request_class->spec.rank) {
      return nullptr;
    }
    if (auto* newest = (*it)->queue.newest_of(item.team->index)) {
      return newest;
    }
  }
  return nullptr;
}

std::optional<std::string> request_router::implementation::admission_refusal(const work& item) {
  if (item.team->queued >= item.team->max_queued && less_urgent_of_team(item) == nullptr) {
    return "the team's queue limit is reached";
  }
  const auto& request_class = *item.request_class;
  if (request_class.queue.size() < static_cast<std::size_t>(std::max(0, request_class.spec.queue_limit))) {
    return std::nullopt;
  }
  const auto* newest = request_class.queue.newest_of_longest_team();
  if (newest != nullptr &&
      request_class.queue.size_of(newest->team->index) > request_class.queue.size_of(item.team->index) + 1) {
    return std::nullopt;
  }
  return "the class's queue limit is reached";
}

/// Queues a new request, or refuses it for load.
void request_router::implementation::admit(work& item) {
  if (const auto refusal = admission_refusal(item)) {
    // An empty queue limit still admits what can be sent at once.
    if (item.request_class->spec.queue_limit > 0 ||
        pick_target(*item.request_class->service, item) == nullptr) {
      end_without_answer(item, *refusal, options_.retry_after);
      return;
    }
  }
  if (item.team->queued >= item.team->max_queued) {
    if (auto* dropped = less_urgent_of_team(item)) {
      end_without_answer(*dropped, "the team's queue limit is reached", options_.retry_after);
    }
  }
  auto& queue = item.request_class->queue;
  const auto limit = static_cast<std::size_t>(std::max(1, item.request_class->spec.queue_limit));
  if (queue.size() >= limit) {
    end_without_answer(*queue.newest_of_longest_team(), "the class's queue limit is reached",
                       options_.retry_after);
  }
  enqueue(item);
}

void request_router::implementation::enqueue(work& item) {
  item.phase = work_phase::queued;
  item.request_class->queue.push(item.team->index, item.order, &item);
  ++item.team->queued;
  item.request_class->service->dirty = true;
}

void request_router::implementation::unqueue(work& item) {
  if (item.phase != work_phase::queued) {
    return;
  }
  auto& request_class = *item.request_class;
  if (item.pulled) {
    auto& pulled = request_class.pulled;
    pulled.erase(std::remove(pulled.begin(), pulled.end(), &item), pulled.end());
    item.pulled = false;
  } else if (item.team != nullptr && request_class.queue.remove(item.team->index, item.order)) {
    --item.team->queued;
  }
}

verdict request_router::implementation::unsent_verdict(const work& item) const {
  const bool no_earlier = !item.content.non_idempotent || item.first_attempt || item.intent_recorded;
  return no_earlier ? verdict::not_run : verdict::may_have_run;
}

/// Ends a request of a caller of this VM.
void request_router::implementation::finish(work& item, const outcome& result, int status,
                                            const shared_body& body) {
  const auto callers = item.callers;
  item.callers.clear();
  for (const auto caller : callers) {
    answer(caller, result, status, body);
  }
  if (item.intent && item.intent_asked) {
    if (item.intent_recorded && result.result != verdict::not_run) {
      emit(finish_intent{.intent = *item.intent, .result = result, .status = status, .body = body});
    } else {
      emit(withdraw_intent{.intent = *item.intent});
    }
  }
  if (item.content.non_idempotent && result.result == verdict::may_have_run && !item.attempts.empty()) {
    keep_for_late_answer(item);
  } else {
    erase_work(item);
  }
}

void request_router::implementation::end_without_answer(work& item, const std::string& reason,
                                                        std::optional<duration> retry_after) {
  if (item.fallback) {
    const auto kept = *item.fallback;
    finish(item, {.result = verdict::ran}, kept.status, kept.body);
    return;
  }
  outcome result{.result = unsent_verdict(item), .reason = reason, .retry_after = retry_after};
  if (item.maybe_ran || !item.attempts.empty()) {
    result.result = verdict::may_have_run;
  } else if (result.result == verdict::may_have_run) {
    result.reason += "; an earlier attempt with this key may have run";
  }
  finish(item, result, 0, nullptr);
}

/// Ends a request that a peer forwarded here.
void request_router::implementation::end_forwarded(work& item, forward_result result,
                                                   const std::string& reason,
                                                   std::optional<worker_id> target) {
  reply(*item.source, item.request_class->service,
        {.result = result, .target = std::move(target), .reason = reason});
  // The dispatcher is gone, so this VM tells the registrars in its place.
  if (item.source->lost && item.intent && result == forward_result::may_have_run) {
    emit(finish_intent{.intent = *item.intent, .result = {verdict::may_have_run, reason, {}}});
  }
  erase_work(item);
}

void request_router::implementation::keep_for_late_answer(work& item) {
  if (!item.attach_key.empty()) {
    attach_.erase(item.attach_key);
    item.attach_key.clear();
  }
  item.phase = work_phase::late;
  set_timer(item, std::max(now_, item.content.deadline) + options_.late_answer_grace);
  late_.push_back(item.number);
  ++late_count_;
  while (late_count_ > options_.max_late || (!late_.empty() && find_work(late_.front()) == nullptr)) {
    auto* oldest = find_work(late_.front());
    late_.pop_front();
    if (oldest != nullptr) {
      cancel_local_calls(*oldest);
      erase_work(*oldest);
    }
  }
}

bool request_router::implementation::may_send_again(const work& item) const {
  return item.sends < options_.max_attempts && now_ < item.content.deadline &&
         item.request_class->in_document;
}

void request_router::implementation::attempt_answered(work& item, int status, const shared_body& body,
                                                      std::optional<worker_id> target) {
  if (item.source) {
    reply(*item.source, item.request_class->service,
          {.result = forward_result::answered, .status = status, .body = body, .target = std::move(target)});
    if (item.source->lost && item.intent) {
      emit(finish_intent{
          .intent = *item.intent, .result = {.result = verdict::ran}, .status = status, .body = body});
    }
    erase_work(item);
    return;
  }
  if (item.phase == work_phase::late) {
    emit(finish_intent{
        .intent = *item.intent, .result = {.result = verdict::ran}, .status = status, .body = body});
    erase_work(item);
    return;
  }
  if (is_server_error(status) && !item.content.non_idempotent) {
    item.fallback = detail::kept_answer{status, body};
    item.avoid = std::move(target);
    if (!item.attempts.empty()) {
      return;
    }
    if (may_send_again(item) && retries_.try_spend()) {
      enqueue(item);
      return;
    }
  }
  finish(item, {.result = verdict::ran}, status, body);
}

void request_router::implementation::attempt_failed(work& item, bool maybe_ran,
                                                    std::optional<worker_id> target,
                                                    const std::string& reason) {
  if (item.phase == work_phase::late) {
    if (item.attempts.empty()) {
      erase_work(item);
    }
    return;
  }
  if (item.source) {
    end_forwarded(item, maybe_ran ? forward_result::may_have_run : forward_result::not_sent, reason,
                  std::move(target));
    return;
  }
  item.maybe_ran = item.maybe_ran || maybe_ran;
  if (target) {
    item.avoid = std::move(target);
  }
  if (maybe_ran && item.content.non_idempotent) {
    finish(item, {verdict::may_have_run, reason, {}}, 0, nullptr);
    return;
  }
  if (!item.attempts.empty()) {
    return;
  }
  if (may_send_again(item) && retries_.try_spend()) {
    enqueue(item);
    return;
  }
  end_without_answer(item, reason, options_.retry_after);
}

/// A peer refused a forward without a try at a target. That costs no retry credit: no target saw it.
void request_router::implementation::forward_refused(work& item) {
  --item.sends;
  ++item.refused_forwards;
  if (!item.attempts.empty()) {
    return;
  }
  if (!item.request_class->in_document) {
    end_without_answer(item, "the class is no longer in the document", {});
    return;
  }
  enqueue(item);
}

void request_router::implementation::deadline_passed(work& item) {
  const std::string reason = "the deadline passed before the answer came";
  if (item.phase == work_phase::late) {
    cancel_local_calls(item);
    erase_work(item);
    return;
  }
  const bool unsent = item.phase != work_phase::in_flight;
  if (item.source) {
    if (unsent) {
      end_forwarded(item, forward_result::not_sent, "the deadline passed in the home VM's queue", {});
    } else if (item.content.non_idempotent) {
      reply(*item.source, item.request_class->service,
            {.result = forward_result::may_have_run, .reason = reason});
      keep_for_late_answer(item);
    } else {
      cancel_local_calls(item);
      end_forwarded(item, forward_result::may_have_run, reason, {});
    }
    return;
  }
  if (unsent) {
    end_without_answer(item, "the deadline passed before the request was sent", options_.retry_after);
    return;
  }
  if (!item.content.non_idempotent) {
    item.maybe_ran = true;
    cancel_local_calls(item);
  }
  end_without_answer(item, reason, {});
}

void request_router::implementation::cancel_local_calls(work& item) {
  for (const auto& each : item.attempts) {
    const auto found = each.forwarded ? calls_.end() : calls_.find(target_call_id{each.id});
    if (found == calls_.end()) {
      continue;
    }
    cancel(found->first, found->second, item.request_class);
  }
}

void request_router::implementation::cancel(target_call_id id, detail::target_call& call,
                                            const routed_class* request_class) {
  if (call.held_until) {
    return;
  }
  call.work = 0;
  call.held_until = now_ + options_.cancelled_slot_hold;
  emit(cancel_call{id});
  const auto took = static_cast<double>((now_ - call.started).count());
  const bool slow = request_class != nullptr && took > slow_call_factor * request_class->attempt_time_p95;
  if (call.trial || slow) {
    feed_health(*call.target->service, health::call_failed{call.target->id});
  }
}

void request_router::implementation::hold_slot(routed_target& target, instant until) {
  held_slots_[next_hold_] = &target;
  timers_.insert({std::max(now_, until), timer_kind::slot_release, next_hold_++});
}

void request_router::implementation::release_slot(routed_target& target) {
  --target.slots_used;
  --target.service->slots_used;
  target.service->dirty = true;
}

void request_router::implementation::hedge(work& item) {
  const bool waits_for_one = item.phase == work_phase::in_flight && item.attempts.size() == 1;
  if (!waits_for_one || item.source || !may_send_again(item) || hedges_.credits() < 1.0) {
    return;
  }
  auto& service = *item.request_class->service;
  if (!item.attempts.front().forwarded) {
    item.avoid = calls_.at(target_call_id{item.attempts.front().id}).target->id;
  }
  auto* target = pick_target(service, item);
  if (target != nullptr && target->id != item.avoid && hedges_.try_spend()) {
    send(item, *target);
    return;
  }
  auto* peer = pick_peer(service);
  if (peer != nullptr && hedges_.try_spend()) {
    forward(item, *peer, false);
  }
}

void request_router::implementation::remove_attempt(work& item, bool forwarded, std::uint64_t id) {
  for (auto it = item.attempts.begin(); it != item.attempts.end(); ++it) {
    if (it->forwarded == forwarded && it->id == id) {
      item.attempts.erase(it);
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

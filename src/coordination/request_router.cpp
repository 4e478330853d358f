#include "rhubarbpath/coordination/request_router.hpp"

#include <algorithm>
#include <utility>

#include "request_router_impl.hpp"

namespace rhubarbpath {

using namespace routing;

namespace {

std::string make_coalescing_key(const request_arrived& event) {
  std::string key = event.content.team.value();
  key += '\0';
  key += event.content.service.value();
  key += '\0';
  key += event.content.request_class.value();
  key += '\0';
  key += event.key.value();
  return key;
}

constexpr bool is_server_error(int status) {
  return status >= 500;
}

}  // namespace

request_router::request_router(options opts, random_source& random)
    : implementation_{std::make_unique<implementation>(std::move(opts), random)} {}
request_router::request_router(request_router&&) noexcept = default;
request_router& request_router::operator=(request_router&&) noexcept = default;
request_router::~request_router() = default;

void request_router::handle(const request_router_event& event, instant now,
                            std::vector<request_router_action>& out) {
  implementation_->handle(event, now, out);
}

std::optional<instant> request_router::next_deadline() const {
  return implementation_->next_deadline();
}
load_report request_router::load() const {
  return implementation_->load();
}
std::size_t request_router::requests_in_progress() const noexcept {
  return implementation_->requests_in_progress();
}
std::size_t request_router::calls_in_progress() const noexcept {
  return implementation_->calls_in_progress();
}

request_router::implementation::implementation(options opts, random_source& random)
    : options_{std::move(opts)}, random_{&random}, retries_{{}}, hedges_{{.share = 0.0}} {}

void request_router::implementation::handle(const request_router_event& event, instant now,
                                            std::vector<request_router_action>& out) {
  out_ = &out;
  now_ = now;
  // While this process was paused, its targets may have been given to other homes.
  if (last_event_ && now - *last_event_ > options_.pause_threshold) {
    paused_until_ = now + options_.takeover_delay;
    add_wakeup(paused_until_);
  }
  last_event_ = now;
  run_timers();
  std::visit([this](const auto& typed) { on(typed); }, event);
  dispatch_dirty();
  fill_reply_loads();
  report_load();
  check_drained();
  out_ = nullptr;
}

std::optional<instant> request_router::implementation::next_deadline() const {
  if (!last_event_) {
    return std::nullopt;
  }
  // Ticks at regular intervals, so that a gap between two events means that the process was paused.
  instant next = *last_event_ + options_.pause_threshold / 2;
  if (!timers_.empty()) {
    next = std::min(next, timers_.begin()->at);
  }
  for (const auto& [id, service] : services_) {
    if (const auto due = service->health.next_deadline()) {
      next = std::min(next, *due);
    }
  }
  return next;
}

void request_router::implementation::run_timers() {
  while (!timers_.empty() && timers_.begin()->at <= now_) {
    const auto due = *timers_.begin();
    timers_.erase(timers_.begin());
    switch (due.kind) {
      case detail::timer_kind::deadline:
        if (auto* request = find_request(due.id)) {
          request->timer_at = instant{};
          deadline_passed(*request);
        }
        break;
      case detail::timer_kind::hedge:
        if (auto* request = find_request(due.id)) {
          hedge(*request);
        }
        break;
      case detail::timer_kind::slot_release: {
        const auto delayed = delayed_releases_.find(due.id);
        auto* target = delayed->second;
        delayed_releases_.erase(delayed);
        release_slot(*target);
        break;
      }
      case detail::timer_kind::caller_deadline: {
        const request_id caller{due.id};
        const auto found = callers_.find(caller);
        if (found != callers_.end() && caller_deadlines_.contains(caller)) {
          auto& callers = requests_.at(found->second)->callers;
          callers.erase(std::remove(callers.begin(), callers.end(), caller), callers.end());
          answer(caller, {verdict::may_have_run, "the request with this key is still in progress", {}}, 0,
                 nullptr);
        }
        break;
      }
      case detail::timer_kind::abandoned_call:
        if (const auto call = calls_.find(target_call_id{due.id}); call != calls_.end()) {
          cancel(call->first, call->second, nullptr);
        }
        break;
      case detail::timer_kind::wakeup:
        if (draining_since_) {
          recompute_homes();
        }
        for (auto& [id, service] : services_) {
          service->dirty = true;
        }
        break;
    }
  }
  for (auto& [id, service] : services_) {
    if (service->health.set_aside_count() > 0) {
      update_health(*service, health::tick{});
    }
  }
}

void request_router::implementation::on(const tick& /*event*/) {}

void request_router::implementation::on(const request_arrived& event) {
  if (callers_.contains(event.id)) {
    return;
  }
  std::string key = event.key.empty() ? std::string{} : make_coalescing_key(event);
  if (std::max(callers_.size(), requests_.size()) >= options_.max_requests) {
    refuse_arrival(event, "too many requests in progress at this entry VM", true);
    return;
  }
  if (!key.empty() && coalesce(event, key)) {
    return;
  }
  auto* request_class = find_class(event.content.service, event.content.request_class);
  if (request_class == nullptr) {
    refuse_arrival(event, "the service or class is not in the document", false);
    return;
  }
  const auto team = teams_.find(event.content.team);
  if (team == teams_.end() || !team->second.in_document) {
    refuse_arrival(event, "the team is not in the document", false);
    return;
  }
  if (draining_since_ && now_ >= *draining_since_ + options_.drain_accept_time) {
    refuse_arrival(event, "this entry VM is shutting down", true);
    return;
  }
  request_class->arrivals[team->second.index].count(now_, arrival_window(*request_class));
  auto& request = add_request(event.content, *request_class, &team->second);
  auto& content = request.content;
  content.non_idempotent = content.non_idempotent || request_class->spec.non_idempotent;
  if (content.deadline == instant{}) {
    content.deadline = now_ + request_class->spec.deadline.value_or(options_.default_deadline);
  }
  content.deadline = std::min(content.deadline, now_ + options_.max_deadline);
  request.first_caller = event.id;
  request.first_attempt = event.first_attempt || (content.non_idempotent && event.key.empty());
  request.callers.push_back(event.id);
  callers_[event.id] = request.number;
  if (!key.empty() && coalescing_index_.try_emplace(key, request.number).second) {
    request.coalescing_key = std::move(key);
  }
  if (content.non_idempotent) {
    request.phase = detail::request_phase::waiting_intent;
    request.intent = intent_ref{content.team,  content.service,           event.key,
                                options_.self, options_.self_incarnation, event.id};
  }
  set_timer(request, content.deadline);
  if (content.deadline <= now_) {
    end_without_answer(request, "the deadline passed before the request arrived", {});
    return;
  }
  if (content.non_idempotent) {
    ask_intent(request);
  } else {
    admit(request);
  }
}

void request_router::implementation::on(const forward_arrived& event) {
  if (event.to_incarnation != options_.self_incarnation) {
    return;
  }
  auto* peer = find_or_add_peer(event.from, event.from_incarnation);
  if (peer == nullptr || !peer->seen.accept(event.id.value())) {
    return;
  }
  auto* request_class = find_class(event.content.service, event.content.request_class);
  const detail::forward_source source{event.from, event.from_incarnation, event.id};
  const auto refuse = [&](const char* reason) {
    reply(source, request_class == nullptr ? nullptr : request_class->service,
          {.result = forward_result::not_sent, .reason = reason});
  };
  if (request_class == nullptr) {
    refuse("the service or class is not in the home VM's document");
    return;
  }
  if (event.pulled) {
    auto& state = peer->services[event.content.service];
    state.outstanding_pull = std::max(0, state.outstanding_pull - 1);
  }
  if (event.content.deadline <= now_) {
    refuse("the deadline passed on the way to the home VM");
    return;
  }
  // Without an intent the registrars cannot prevent the key from running twice.
  if (event.content.non_idempotent && !event.intent) {
    refuse("the forward carries no intent");
    return;
  }
  auto& request = add_request(event.content, *request_class, nullptr);
  request.intent = event.intent;
  request.source = source;
  request.avoid = event.avoid;
  auto* target = sends_paused() ? nullptr : pick_target(*request_class->service, request);
  const auto pulled_limit = request_class->service->own.size() *
                            static_cast<std::size_t>(request_class->service->spec.slots_per_target);
  const bool requested = event.pulled && request_class->pulled.size() < pulled_limit;
  const bool may_wait =
      !draining_since_ && (requested || may_queue_unsolicited(*request_class->service, request));
  if (target == nullptr && !may_wait) {
    erase_request(request);
    refuse("no free slot at the home VM");
    return;
  }
  set_timer(request, request.content.deadline);
  if (target != nullptr) {
    send(request, *target);
    return;
  }
  request.pulled = true;
  request.phase = detail::request_phase::queued;
  request_class->pulled.push_back(&request);
  request_class->service->dirty = true;
}

void request_router::implementation::on(const peer_load& event) {
  if (auto* peer = find_or_add_peer(event.from, event.from_incarnation)) {
    peer->link_lost = false;
    apply_load(*peer, event.load);
  }
}

void request_router::implementation::on(const pull_arrived& event) {
  auto* peer = find_or_add_peer(event.from, event.from_incarnation);
  auto* service = find_service(event.service);
  if (peer == nullptr || service == nullptr) {
    return;
  }
  peer->link_lost = false;
  for (int i = 0; i < event.count && peer->live(); ++i) {
    auto* request = event.short_teams_only ? next_of_short_teams(*service, event.max_rank)
                                           : next_request(*service, event.max_rank, true);
    if (request == nullptr) {
      break;
    }
    forward(*request, *peer, true);
  }
  // Reports what is still queued, so that the peer neither waits for more nor stops pulling too early.
  send_load(event.from);
}

void request_router::implementation::on(const intent_settled& event) {
  const auto waiting = intents_waiting_.find(event.id);
  if (waiting == intents_waiting_.end() || event.settled == intent_result::in_progress) {
    return;
  }
  auto& request = *requests_.at(waiting->second);
  if (event.settled == intent_result::recorded) {
    intents_waiting_.erase(waiting);
    request.intent_recorded = true;
    admit(request);
    return;
  }
  if (event.settled == intent_result::duplicate) {
    // The intent belongs to another request, so `finish` must not withdraw or finish it.
    request.intent_requested = false;
  }
  finish(request, event.result, event.status, event.body);
}

void request_router::implementation::on(const target_answered& event) {
  const auto found = calls_.find(event.call);
  if (found == calls_.end()) {
    return;
  }
  const auto call = found->second;
  calls_.erase(found);
  auto& target = *call.target;
  --target.connections_used;
  if (call.slot_release_at) {
    release_slot_later(target, *call.slot_release_at);
    return;
  }
  release_slot(target);
  if (event.leaving && !target.leaving_announced) {
    target.leaving_announced = true;
    report_due_ = true;
  }
  if (call.trial || target.service->health.usable(target.id)) {
    if (is_server_error(event.status)) {
      update_health(*target.service, health::call_failed{target.id});
    } else {
      update_health(*target.service, health::call_succeeded{target.id});
    }
  }
  if (auto* request = find_request(call.request_number)) {
    if (!is_server_error(event.status)) {
      observe_attempt_time(*request->request_class, now_ - call.started);
    }
    remove_attempt(*request, false, event.call.value());
    attempt_answered(*request, event.status, event.body, target.id);
  }
}

void request_router::implementation::on(const target_call_failed& event) {
  const auto found = calls_.find(event.call);
  if (found == calls_.end()) {
    return;
  }
  const auto call = found->second;
  calls_.erase(found);
  auto& target = *call.target;
  --target.connections_used;
  if (call.slot_release_at) {
    release_slot_later(target, *call.slot_release_at);
    return;
  }
  if (event.bytes_sent) {
    // The target may still be processing the request after its connection broke.
    release_slot_later(target, now_ + options_.cancelled_slot_release_delay);
  } else {
    release_slot(target);
  }
  if (call.trial || target.service->health.usable(target.id)) {
    update_health(*target.service, health::call_failed{target.id});
  }
  if (auto* request = find_request(call.request_number)) {
    remove_attempt(*request, false, event.call.value());
    attempt_failed(*request, event.bytes_sent, target.id, "the connection to the target failed");
  }
}

void request_router::implementation::on(const target_refused& event) {
  const auto found = calls_.find(event.call);
  if (found == calls_.end()) {
    return;
  }
  const auto call = found->second;
  calls_.erase(found);
  auto& target = *call.target;
  --target.connections_used;
  release_slot(target);
  target.leaving_announced = target.leaving_announced || event.leaving;
  target.usable_from = std::max(target.usable_from, now_ + options_.refusal_backoff);
  add_wakeup(target.usable_from);
  if (call.trial) {
    update_health(*target.service, health::call_failed{target.id});
  }
  if (auto* request = find_request(call.request_number)) {
    remove_attempt(*request, false, event.call.value());
    attempt_failed(*request, false, target.id, "the target refused the request before any work");
  }
}

void request_router::implementation::on(const probe_answered& event) {
  const auto found = targets_.find(event.target);
  if (found != targets_.end() && found->second->service != nullptr) {
    update_health(*found->second->service, health::probe_ended{event.target, event.answered});
  }
}

void request_router::implementation::on(const forward_answered& event) {
  if (auto* peer = find_or_add_peer(event.from, event.from_incarnation)) {
    peer->link_lost = false;
    apply_load(*peer, event.load);
  }
  const auto found = forwards_.find(event.id);
  if (event.to_incarnation != options_.self_incarnation || found == forwards_.end() ||
      found->second.to != event.from || found->second.to_incarnation != event.from_incarnation) {
    return;
  }
  const auto sent = found->second;
  auto& request = *requests_.at(sent.request_number);
  // A late request keeps its forward, because the home may still send the answer after `may_have_run`.
  if (request.phase == detail::request_phase::late && event.result != forward_result::answered) {
    return;
  }
  const bool answer_may_follow =
      event.result == forward_result::may_have_run && request.content.non_idempotent;
  if (!answer_may_follow) {
    forwards_.erase(found);
    remove_attempt(request, true, event.id.value());
  }
  switch (event.result) {
    case forward_result::answered:
      observe_attempt_time(*request.request_class, now_ - sent.started);
      attempt_answered(request, event.status, event.body, event.target);
      return;
    case forward_result::may_have_run:
      attempt_failed(request, true, event.target, event.reason);
      return;
    case forward_result::not_sent:
      if (event.target) {
        attempt_failed(request, false, event.target, event.reason);
      } else {
        if (const auto peer = peers_.find(event.from); peer != peers_.end()) {
          peer->second->services[request.content.service].refusal_backoff_until =
              now_ + options_.refusal_backoff;
        }
        forward_refused(request);
      }
      return;
  }
}

void request_router::implementation::on(const peer_lost& event) {
  const auto found = peers_.find(event.vm);
  if (found != peers_.end()) {
    handle_lost_peer(*found->second);
  }
}

void request_router::implementation::on(const caller_gone& event) {
  const auto found = callers_.find(event.id);
  if (found == callers_.end()) {
    return;
  }
  auto& request = *requests_.at(found->second);
  callers_.erase(found);
  caller_deadlines_.erase(event.id);
  request.callers.erase(std::remove(request.callers.begin(), request.callers.end(), event.id),
                        request.callers.end());
  const bool unsent = request.phase == detail::request_phase::waiting_intent ||
                      request.phase == detail::request_phase::queued;
  if (request.callers.empty() && unsent) {
    finish(request, {verdict::not_run, "the caller left before the request was sent", {}}, 0, nullptr);
  }
}

void request_router::implementation::on(const drain& /*event*/) {
  if (draining_since_) {
    return;
  }
  draining_since_ = now_;
  add_wakeup(now_ + options_.drain_send_time);
  add_wakeup(now_ + options_.drain_accept_time);
  send_load(std::nullopt);
}

void request_router::implementation::on(const target_leaving& event) {
  const auto found = targets_.find(event.target);
  if (found == targets_.end()) {
    return;
  }
  found->second->leaving_listed = event.leaving;
  if (!event.leaving) {
    found->second->leaving_announced = false;
    for (auto& [vm, peer] : peers_) {
      peer->leaving.erase(std::remove(peer->leaving.begin(), peer->leaving.end(), event.target),
                          peer->leaving.end());
    }
    update_leaving();
  }
  found->second->service->dirty = true;
}

void request_router::implementation::check_drained() {
  if (!draining_since_ || drained_ || now_ < *draining_since_ + options_.drain_accept_time) {
    return;
  }
  if (requests_.empty() && calls_.empty()) {
    drained_ = true;
    emit(drained{});
  }
}

detail::routed_service* request_router::implementation::find_service(const service_id& id) {
  const auto found = service_index_.find(id);
  return found == service_index_.end() ? nullptr : found->second;
}

detail::routed_class* request_router::implementation::find_class(const service_id& service,
                                                                 const class_id& request_class) {
  auto* owner = find_service(service);
  if (owner == nullptr || !owner->in_document) {
    return nullptr;
  }
  for (const auto& candidate : owner->classes) {
    if (candidate->in_document && candidate->spec.id == request_class) {
      return candidate.get();
    }
  }
  return nullptr;
}

}  // namespace rhubarbpath

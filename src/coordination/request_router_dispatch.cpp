#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

#include "request_router_impl.hpp"

namespace rhubarbpath {

using namespace routing;

namespace {

using std::chrono::milliseconds;

constexpr int any_rank = std::numeric_limits<int>::max();
/// Interval at which the flooding teams are determined, and the minimum window of the arrival rates used
/// for it. The window limits how long a flood can delay other teams before it is detected.
constexpr duration flood_check_interval = milliseconds{20};
constexpr duration shortest_arrival_window = milliseconds{200};
/// The window is at least this many times the mean attempt time of the class, so that it covers this many
/// arrivals per slot at full load.
constexpr double arrivals_per_slot = 4.0;
/// A trial call should be idempotent, because it is likely to fail. If no idempotent request arrives for
/// this long, any request may be the trial.
constexpr duration max_idempotent_trial_wait = std::chrono::seconds{5};
/// Time that a request must have left, as a multiple of the 95% quantile of the attempt time. Attempts
/// above the quantile take a large part of the slot time, so a factor of 1 would waste much of it.
constexpr double required_time_factor = 3.0;
/// Factor on the idle slots of peers in the same failure domain, which are preferred.
constexpr int same_domain_weight = 4;
/// One more urgent request of a peer is prefetched per this many local slots, to cover the slots that
/// become free during the round trip of a pull.
constexpr int slots_per_prefetch = 10;

}  // namespace

void request_router::implementation::dispatch_dirty() {
  // Dispatching a service marks no other service as dirty. It may mark the service itself, by refusing
  // requests.
  for (auto& [id, service] : services_) {
    if (service->dirty) {
      dispatch(*service);
    }
  }
}

void request_router::implementation::dispatch(routed_service& service) {
  service.dirty = false;
  find_flooding_teams(service);
  while (auto* request = next_request(service, any_rank, false)) {
    auto* target = pick_target(service, *request);
    if (target != nullptr) {
      dequeue(*request);
      send(*request, *target);
      continue;
    }
    // Requests that a peer forwarded here are not forwarded again.
    if (request->source) {
      request = next_request(service, any_rank, true);
    }
    if (request == nullptr || request->refused_forwards >= options_.max_refused_forwards) {
      break;
    }
    auto* peer = pick_peer(service);
    if (peer == nullptr) {
      peer = pick_lower_priority_peer(service, *request);
    }
    if (peer == nullptr) {
      break;
    }
    forward(*request, *peer, false);
  }
  pull(service);
  service.dirty = false;
}

template <class Predicate>
detail::routed_request* request_router::implementation::next_of_class(routed_class& request_class,
                                                                      const Predicate& wanted) {
  while (auto* request = request_class.queue.front_if(wanted)) {
    if (request_class.queue.size() < 2 || !too_near_deadline(*request)) {
      return request;
    }
    end_without_answer(*request, "the time left is too short for an answer under the present load",
                       options_.retry_after);
  }
  return nullptr;
}

detail::routed_request* request_router::implementation::next_request(routed_service& service, int max_rank,
                                                                     bool local_only) {
  for (auto& request_class : service.classes) {
    const int rank = request_class->spec.rank;
    if (rank > max_rank) {
      break;
    }
    if (!local_only && !request_class->pulled.empty()) {
      return request_class->pulled.front();
    }
    if (auto* request =
            next_of_class(*request_class, [&](int team) { return !service.floods(team, rank); })) {
      return request;
    }
  }
  if (max_rank < flooding_rank) {
    return nullptr;
  }
  for (auto& request_class : service.classes) {
    if (auto* request = next_of_class(*request_class, [](int /*team*/) { return true; })) {
      return request;
    }
  }
  return nullptr;
}

/// Compares the load offered by each team with what the other teams leave of this VM's part of all slots,
/// or with an equal share if that is more. Queue lengths and calls in progress are not used: they depend
/// on the order of service, so a team that is served last would keep being classified as flooding.
void request_router::implementation::find_flooding_teams(routed_service& service) const {
  if (now_ < service.flooding_at + flood_check_interval) {
    return;
  }
  service.flooding_at = now_;
  service.flooding.clear();
  absl::btree_map<int, double> offered;
  double offered_by_all = 0;
  for (const auto& request_class : service.classes) {
    for (const auto& [team, rate] : request_class->arrivals) {
      const double load = rate.at(now_, arrival_window(*request_class)) * request_class->mean_attempt_time;
      offered[team] += load;
      offered_by_all += load;
    }
  }
  const double slots = static_cast<double>(service.targets_in_document) * service.spec.slots_per_target /
                       static_cast<double>(std::max<std::size_t>(1, members_.size()));
  const double share = slots / static_cast<double>(std::max<std::size_t>(1, offered.size()));
  for (const auto& [team, total] : offered) {
    const double allowed = std::max(share, slots - (offered_by_all - total));
    double load = 0;
    for (const auto& request_class : service.classes) {
      const auto rate = request_class->arrivals.find(team);
      if (rate != request_class->arrivals.end()) {
        load += rate->second.at(now_, arrival_window(*request_class)) * request_class->mean_attempt_time;
      }
      if (load > allowed) {
        service.flooding.emplace_back(team, request_class->spec.rank);
        break;
      }
    }
  }
}

/// Long requests arrive less often, so their rate is measured over a longer window.
duration request_router::implementation::arrival_window(const routed_class& request_class) {
  const duration needed{static_cast<duration::rep>(arrivals_per_slot * request_class.mean_attempt_time)};
  return std::max(shortest_arrival_window, needed);
}

/// Whether the request would probably miss its deadline and waste a slot, as the oldest request often
/// does under overload. For a request with a short deadline, half of its total time must be left.
bool request_router::implementation::too_near_deadline(const routed_request& request) const {
  const duration left = request.content.deadline - now_;
  const duration allowed = request.content.deadline - request.arrived_at;
  const duration needed{
      static_cast<duration::rep>(required_time_factor * request.request_class->attempt_time_p95)};
  return left < std::min(needed, allowed / 2);
}

bool request_router::implementation::eligible_for_trial(const routed_target& target,
                                                        const routed_request& request) const {
  return target.trial_open &&
         (!request.content.non_idempotent || now_ >= target.trial_allowed_since + max_idempotent_trial_wait);
}

detail::routed_target* request_router::implementation::pick_target(const routed_service& service,
                                                                   const routed_request& request) const {
  if (sends_paused()) {
    return nullptr;
  }
  routed_target* best = nullptr;
  std::tuple<bool, bool, bool, int> best_cost;
  for (auto* target : service.own) {
    if (free_slots(*target) == 0) {
      continue;
    }
    const bool trial = eligible_for_trial(*target, request) && !target->leaving_listed &&
                       !target->leaving_announced && !target->leaving_reported_by_peer;
    if (trial) {
      return target;
    }
    if (!accepts_calls(*target)) {
      continue;
    }
    const std::tuple cost{request.avoid && *request.avoid == target->id, target->suspect,
                          target->failure_domain != options_.failure_domain, target->slots_used};
    if (best == nullptr || cost < best_cost) {
      best = target;
      best_cost = cost;
    }
  }
  return best;
}

detail::routed_peer* request_router::implementation::pick_peer(const routed_service& service) {
  const auto weight = [&](const routed_peer& peer) -> int {
    if (!peer.live() || peer.draining) {
      return 0;
    }
    const auto found = peer.services.find(service.spec.id);
    if (found == peer.services.end() || found->second.idle <= 0) {
      return 0;
    }
    return found->second.idle * (peer.failure_domain == options_.failure_domain ? same_domain_weight : 1);
  };
  int total = 0;
  for (const auto& [vm, peer] : peers_) {
    total += weight(*peer);
  }
  if (total == 0) {
    return nullptr;
  }
  // Weighted random choice: if every VM chose the peer with the most idle slots, that peer would be
  // overloaded until its next report.
  auto remaining_weight = static_cast<int>(random_->below(static_cast<std::uint64_t>(total)));
  for (const auto& [vm, peer] : peers_) {
    remaining_weight -= weight(*peer);
    if (remaining_weight < 0) {
      return peer.get();
    }
  }
  return nullptr;
}

/// A random peer whose queued requests are all less urgent, so that it serves this request with its next
/// free slot; null if there is none.
detail::routed_peer* request_router::implementation::pick_lower_priority_peer(const routed_service& service,
                                                                              const routed_request& request) {
  const int rank = request.request_class->spec.rank;
  if (service.floods(request.team->index, rank)) {
    return nullptr;
  }
  absl::InlinedVector<routed_peer*, 16> candidates;
  for (auto& [vm, peer] : peers_) {
    const auto found = peer->services.find(service.spec.id);
    if (peer->live() && !peer->draining && found != peer->services.end() && !found->second.queues.empty() &&
        found->second.queues.front().rank > rank && found->second.refusal_backoff_until <= now_) {
      candidates.push_back(peer.get());
    }
  }
  return candidates.empty() ? nullptr : candidates[random_->below(candidates.size())];
}

/// Whether a forward that was not pulled may be queued here: it is more urgent than everything queued
/// here, and fewer than `prefetch_slots` forwarded requests are queued already.
bool request_router::implementation::may_queue_unsolicited(const routed_service& service,
                                                           const routed_request& request) const {
  const auto own = head_of(service_report(service).queues);
  std::size_t waiting = 0;
  for (const auto& request_class : service.classes) {
    waiting += request_class->pulled.size();
  }
  return own.length >= 0 && own.rank > request.request_class->spec.rank &&
         waiting < static_cast<std::size_t>(prefetch_slots(service));
}

int request_router::implementation::prefetch_slots(const routed_service& service) {
  return std::max(1,
                  static_cast<int>(service.own.size()) * service.spec.slots_per_target / slots_per_prefetch);
}

void request_router::implementation::count_send(routed_request& request) {
  ++request.sends;
  if (request.team != nullptr) {
    request.request_class->queue.mark_served(request.team->index);
  }
  request.phase = detail::request_phase::in_flight;
  if (request.counted_as_first_send || request.source) {
    return;
  }
  request.counted_as_first_send = true;
  retries_.count_first_send();
  hedges_.count_first_send();
  if (!request.content.non_idempotent && document_->budget.hedge_share > 0.0) {
    const duration usual{static_cast<duration::rep>(request.request_class->attempt_time_p95)};
    timers_.insert(
        {now_ + std::max(options_.min_hedge_delay, usual), detail::timer_kind::hedge, request.number});
  }
}

void request_router::implementation::send(routed_request& request, routed_target& target) {
  count_send(request);
  const target_call_id call{next_call_++};
  const bool trial = target.trial_open;
  calls_[call] = {.target = &target, .request_number = request.number, .started = now_, .trial = trial};
  request.attempts.push_back({false, call.value()});
  ++target.slots_used;
  ++target.connections_used;
  ++target.service->slots_used;
  emit(send_request{.call = call,
                    .target = target.id,
                    .attempt = attempt_number{static_cast<std::uint64_t>(request.sends)},
                    .content = request.content,
                    .intent = request.intent});
  if (trial) {
    update_health(*target.service, health::trial_started{target.id});
  }
}

void request_router::implementation::forward(routed_request& request, routed_peer& peer, bool pulled) {
  dequeue(request);
  count_send(request);
  const forward_id id{next_forward_++};
  forwards_[id] = {.request_number = request.number,
                   .to = peer.vm,
                   .to_incarnation = peer.vm_incarnation,
                   .started = now_};
  request.attempts.push_back({true, id.value()});
  auto& state = peer.services[request.content.service];
  state.idle = std::max(0, state.idle - 1);
  emit(forward_request{.to = peer.vm,
                       .to_incarnation = peer.vm_incarnation,
                       .id = id,
                       .content = request.content,
                       .intent = request.intent,
                       .avoid = request.avoid,
                       .pulled = pulled});
}

int request_router::implementation::outstanding_pulls(const routed_service& service) {
  int outstanding = 0;
  for (auto& [vm, peer] : peers_) {
    const auto found = peer->services.find(service.spec.id);
    if (found == peer->services.end()) {
      continue;
    }
    auto& state = found->second;
    if (state.pull_expires_at && *state.pull_expires_at <= now_) {
      state.pull_expires_at.reset();
      state.outstanding_pull = 0;
    }
    outstanding += state.outstanding_pull;
  }
  return outstanding;
}

detail::routed_request* request_router::implementation::next_of_short_teams(routed_service& service,
                                                                            int max_rank) {
  for (auto& request_class : service.classes) {
    if (request_class->spec.rank > max_rank) {
      break;
    }
    const int rank = request_class->spec.rank;
    const auto limit = request_class->queue.longest() / 2;
    const auto wanted = [&](int team) {
      return request_class->queue.size_of(team) <= limit && !service.floods(team, rank);
    };
    if (auto* request = next_of_class(*request_class, wanted)) {
      return request;
    }
  }
  return nullptr;
}

request_router::implementation::queue_head request_router::implementation::head_of(
    const std::vector<rank_queue>& queues) {
  if (queues.empty()) {
    return {.rank = any_rank, .long_teams = true, .length = -1};
  }
  const auto& first = queues.front();
  const bool long_teams = first.short_teams == 0;
  return {first.rank, long_teams, long_teams ? first.length : first.short_teams};
}

/// Pulls requests from peers: for the idle slots if nothing is queued here, and otherwise requests that
/// are served before those queued here. This keeps the class order and the round-robin between teams
/// across VMs. Without it, a home with few targets could not serve even teams with few requests during a
/// flood.
void request_router::implementation::pull(routed_service& service) {
  if (draining_since_ || sends_paused() || service.own.empty()) {
    return;
  }
  const auto own = head_of(service_report(service).queues);
  int queued_forwards = 0;
  for (const auto& request_class : service.classes) {
    queued_forwards += static_cast<int>(request_class->pulled.size());
  }
  const int prefetch = prefetch_slots(service);
  int wanted = (own.length < 0 ? idle_slots(service) : prefetch) - queued_forwards;
  if (wanted <= 0) {
    return;
  }
  wanted -= outstanding_pulls(service);
  while (wanted > 0) {
    routed_peer* best = nullptr;
    queue_head best_head;
    for (auto& [vm, peer] : peers_) {
      const auto found = peer->services.find(service.spec.id);
      if (!peer->live() || found == peer->services.end() || found->second.queues.empty() ||
          found->second.outstanding_pull > 0) {
        continue;
      }
      const auto head = head_of(found->second.queues);
      const bool first =
          own.length < 0 || std::tie(head.rank, head.long_teams) < std::tie(own.rank, own.long_teams);
      const bool same = head.rank == own.rank && head.long_teams == own.long_teams;
      const bool much_longer = same && head.length > 2 * own.length + prefetch;
      const std::tuple cost{head.rank, head.long_teams, -head.length};
      if ((first || much_longer) &&
          (best == nullptr || cost < std::tuple{best_head.rank, best_head.long_teams, -best_head.length})) {
        best = peer.get();
        best_head = head;
      }
    }
    if (best == nullptr) {
      return;
    }
    const int count = std::min(wanted, best_head.length);
    pull_from(service, *best, count, best_head);
    wanted -= count;
  }
}

void request_router::implementation::pull_from(routed_service& service, routed_peer& peer, int count,
                                               const queue_head& head) {
  auto& state = peer.services[service.spec.id];
  state.outstanding_pull = count;
  state.pull_expires_at = now_ + options_.pull_timeout;
  add_wakeup(*state.pull_expires_at);
  auto& first = state.queues.front();
  first.length -= count;
  first.short_teams -= head.long_teams ? 0 : count;
  if (first.length <= 0) {
    state.queues.erase(state.queues.begin());
  }
  emit(pull_from_peer{.to = peer.vm,
                      .service = service.spec.id,
                      .count = count,
                      .max_rank = head.rank,
                      .short_teams_only = !head.long_teams});
}

}  // namespace rhubarbpath

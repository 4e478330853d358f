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
/// How often the flooding teams are determined anew, and the window of the arrival rates behind it.
/// The window bounds how long a flood may delay other teams before it is seen.
constexpr duration flood_check_interval = milliseconds{20};
constexpr duration shortest_arrival_window = milliseconds{200};
constexpr double arrivals_per_slot = 4.0;
/// A trial call should be idempotent, because it is likely to fail. After this long without an
/// idempotent request any request may be the trial.
constexpr duration trial_patience = std::chrono::seconds{5};
/// Time that a request must have left, in 95% quantiles of the attempt time. The longest attempts
/// hold a large part of the slots' time, so the quantile itself would waste much of it.
constexpr double safe_time_factor = 3.0;
/// Preference for a peer in this failure domain, as a factor on its idle slots.
constexpr int same_domain_weight = 4;
/// Share of the own slots for which more urgent work of peers is fetched ahead of need. It covers
/// the slots that free during the round trip of a pull.
constexpr int slots_per_prefetch = 10;

}  // namespace

void request_router::implementation::dispatch_dirty() {
  // Dispatching one service marks no other one, but an answer given meanwhile may mark its own.
  for (auto& [id, service] : services_) {
    if (service->dirty) {
      dispatch(*service);
    }
  }
}

void request_router::implementation::dispatch(routed_service& service) {
  service.dirty = false;
  find_flooding_teams(service);
  while (auto* item = next_work(service, any_rank, false)) {
    auto* target = pick_target(service, *item);
    if (target != nullptr) {
      unqueue(*item);
      send(*item, *target);
      continue;
    }
    // A request that was forwarded here is not forwarded again.
    if (item->source) {
      item = next_work(service, any_rank, true);
    }
    if (item == nullptr || item->refused_forwards >= options_.max_forward_tries) {
      break;
    }
    auto* peer = pick_peer(service);
    if (peer == nullptr) {
      peer = pick_yielding_peer(service, *item);
    }
    if (peer == nullptr) {
      break;
    }
    forward(*item, *peer, false);
  }
  pull(service);
  service.dirty = false;
}

template <class Predicate>
detail::work* request_router::implementation::next_of_class(routed_class& request_class,
                                                            const Predicate& wanted) {
  while (auto* item = request_class.queue.front_if(wanted)) {
    if (request_class.queue.size() < 2 || !too_near_deadline(*item)) {
      return item;
    }
    end_without_answer(*item, "the time left is too short for an answer under the present load",
                       options_.retry_after);
  }
  return nullptr;
}

detail::work* request_router::implementation::next_work(routed_service& service, int max_rank,
                                                        bool own_only) {
  for (auto& request_class : service.classes) {
    const int rank = request_class->spec.rank;
    if (rank > max_rank) {
      break;
    }
    if (!own_only && !request_class->pulled.empty()) {
      return request_class->pulled.front();
    }
    if (auto* item = next_of_class(*request_class, [&](int team) { return !service.floods(team, rank); })) {
      return item;
    }
  }
  if (max_rank < flooding_rank) {
    return nullptr;
  }
  for (auto& request_class : service.classes) {
    if (auto* item = next_of_class(*request_class, [](int /*team*/) { return true; })) {
      return item;
    }
  }
  return nullptr;
}

/// The load that a team offers is compared with what the others leave of this VM's part of all
/// slots, or with an equal share if that is more. Queue lengths and calls in progress would be a
/// worse measure: they depend on the order of service, so a team that once came last would stay last.
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

/// Long requests arrive rarely, so that their rate needs a longer window.
duration request_router::implementation::arrival_window(const routed_class& request_class) {
  const duration needed{static_cast<duration::rep>(arrivals_per_slot * request_class.mean_attempt_time)};
  return std::max(shortest_arrival_window, needed);
}

/// Under overload the oldest request is often so near its deadline that the slot would be wasted. A
/// request whose caller allowed little time from the start is judged by half of that time.
bool request_router::implementation::too_near_deadline(const work& item) const {
  const duration left = item.content.deadline - now_;
  const duration allowed = item.content.deadline - item.arrived_at;
  const duration needed{static_cast<duration::rep>(safe_time_factor * item.request_class->attempt_time_p95)};
  return left < std::min(needed, allowed / 2);
}

bool request_router::implementation::trial_fits(const routed_target& target, const work& item) const {
  return target.trial_open && (!item.content.non_idempotent || now_ >= target.trial_since + trial_patience);
}

detail::routed_target* request_router::implementation::pick_target(const routed_service& service,
                                                                   const work& item) const {
  if (homes_held()) {
    return nullptr;
  }
  routed_target* best = nullptr;
  std::tuple<bool, bool, bool, int> best_cost;
  for (auto* target : service.own) {
    if (free_slots(*target) == 0) {
      continue;
    }
    const bool trial = trial_fits(*target, item) && !target->leaving_listed && !target->leaving_said &&
                       !target->leaving_at_peer;
    if (trial) {
      return target;
    }
    if (!target_open(*target)) {
      continue;
    }
    const std::tuple cost{item.avoid && *item.avoid == target->id, target->suspect,
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
  // A weighted draw: were every VM to choose the peer with the most idle slots, that one would be
  // flooded until its next report.
  auto drawn = static_cast<int>(random_->below(static_cast<std::uint64_t>(total)));
  for (const auto& [vm, peer] : peers_) {
    drawn -= weight(*peer);
    if (drawn < 0) {
      return peer.get();
    }
  }
  return nullptr;
}

/// A peer whose queues hold only less urgent work serves this request with its next free slot.
detail::routed_peer* request_router::implementation::pick_yielding_peer(const routed_service& service,
                                                                        const work& item) {
  const int rank = item.request_class->spec.rank;
  if (service.floods(item.team->index, rank)) {
    return nullptr;
  }
  absl::InlinedVector<routed_peer*, 16> yielding;
  for (auto& [vm, peer] : peers_) {
    const auto found = peer->services.find(service.spec.id);
    if (peer->live() && !peer->draining && found != peer->services.end() && !found->second.queues.empty() &&
        found->second.queues.front().rank > rank && found->second.refuses_until <= now_) {
      yielding.push_back(peer.get());
    }
  }
  return yielding.empty() ? nullptr : yielding[random_->below(yielding.size())];
}

/// Whether a forward that was not asked for may wait here: it goes before all that waits here, and
/// no more than a few such requests wait already.
bool request_router::implementation::yields_to(const routed_service& service, const work& item) const {
  const auto own = bid_of(service_report(service).queues);
  std::size_t waiting = 0;
  for (const auto& request_class : service.classes) {
    waiting += request_class->pulled.size();
  }
  return own.length >= 0 && own.rank > item.request_class->spec.rank &&
         waiting < static_cast<std::size_t>(prefetch_slots(service));
}

int request_router::implementation::prefetch_slots(const routed_service& service) {
  return std::max(1,
                  static_cast<int>(service.own.size()) * service.spec.slots_per_target / slots_per_prefetch);
}

void request_router::implementation::count_send(work& item) {
  ++item.sends;
  if (item.team != nullptr) {
    item.request_class->queue.mark_served(item.team->index);
  }
  item.phase = detail::work_phase::in_flight;
  if (item.counted || item.source) {
    return;
  }
  item.counted = true;
  retries_.count_first_send();
  hedges_.count_first_send();
  if (!item.content.non_idempotent && document_->budget.hedge_share > 0.0) {
    const duration usual{static_cast<duration::rep>(item.request_class->attempt_time_p95)};
    timers_.insert(
        {now_ + std::max(options_.shortest_hedge_wait, usual), detail::timer_kind::hedge, item.number});
  }
}

void request_router::implementation::send(work& item, routed_target& target) {
  count_send(item);
  const target_call_id call{next_call_++};
  const bool trial = target.trial_open;
  calls_[call] = {.target = &target, .work = item.number, .started = now_, .trial = trial};
  item.attempts.push_back({false, call.value()});
  ++target.slots_used;
  ++target.connections_used;
  ++target.service->slots_used;
  emit(send_request{.call = call,
                    .target = target.id,
                    .attempt = attempt_number{static_cast<std::uint64_t>(item.sends)},
                    .content = item.content,
                    .intent = item.intent});
  if (trial) {
    feed_health(*target.service, health::trial_started{target.id});
  }
}

void request_router::implementation::forward(work& item, routed_peer& peer, bool pulled) {
  unqueue(item);
  count_send(item);
  const forward_id id{next_forward_++};
  forwards_[id] = {
      .work = item.number, .to = peer.vm, .to_incarnation = peer.vm_incarnation, .started = now_};
  item.attempts.push_back({true, id.value()});
  auto& state = peer.services[item.content.service];
  state.idle = std::max(0, state.idle - 1);
  emit(forward_request{.to = peer.vm,
                       .to_incarnation = peer.vm_incarnation,
                       .id = id,
                       .content = item.content,
                       .intent = item.intent,
                       .avoid = item.avoid,
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
    if (state.pull_ends && *state.pull_ends <= now_) {
      state.pull_ends.reset();
      state.pull_outstanding = 0;
    }
    outstanding += state.pull_outstanding;
  }
  return outstanding;
}

detail::work* request_router::implementation::next_of_short_teams(routed_service& service, int max_rank) {
  for (auto& request_class : service.classes) {
    if (request_class->spec.rank > max_rank) {
      break;
    }
    const int rank = request_class->spec.rank;
    const auto limit = request_class->queue.longest() / 2;
    const auto wanted = [&](int team) {
      return request_class->queue.size_of(team) <= limit && !service.floods(team, rank);
    };
    if (auto* item = next_of_class(*request_class, wanted)) {
      return item;
    }
  }
  return nullptr;
}

request_router::implementation::queue_bid request_router::implementation::bid_of(
    const std::vector<rank_queue>& queues) {
  if (queues.empty()) {
    return {.rank = any_rank, .long_teams = true, .length = -1};
  }
  const auto& first = queues.front();
  const bool long_teams = first.short_teams == 0;
  return {first.rank, long_teams, long_teams ? first.length : first.short_teams};
}

/// Asks peers for work: for idle slots when nothing waits here, and otherwise for work that goes
/// before what waits here, so that the class order and the turns of the teams hold across VMs: a
/// home with few targets could not serve even its small teams in a flood.
void request_router::implementation::pull(routed_service& service) {
  if (draining_since_ || homes_held() || service.own.empty()) {
    return;
  }
  const auto own = bid_of(service_report(service).queues);
  int fetched = 0;
  for (const auto& request_class : service.classes) {
    fetched += static_cast<int>(request_class->pulled.size());
  }
  const int prefetch = prefetch_slots(service);
  int wanted = (own.length < 0 ? idle_slots(service) : prefetch) - fetched;
  if (wanted <= 0) {
    return;
  }
  wanted -= outstanding_pulls(service);
  while (wanted > 0) {
    routed_peer* best = nullptr;
    queue_bid best_bid;
    for (auto& [vm, peer] : peers_) {
      const auto found = peer->services.find(service.spec.id);
      if (!peer->live() || found == peer->services.end() || found->second.queues.empty() ||
          found->second.pull_outstanding > 0) {
        continue;
      }
      const auto bid = bid_of(found->second.queues);
      const bool first =
          own.length < 0 || std::tie(bid.rank, bid.long_teams) < std::tie(own.rank, own.long_teams);
      const bool same = bid.rank == own.rank && bid.long_teams == own.long_teams;
      const bool much_longer = same && bid.length > 2 * own.length + prefetch;
      const std::tuple cost{bid.rank, bid.long_teams, -bid.length};
      if ((first || much_longer) &&
          (best == nullptr || cost < std::tuple{best_bid.rank, best_bid.long_teams, -best_bid.length})) {
        best = peer.get();
        best_bid = bid;
      }
    }
    if (best == nullptr) {
      return;
    }
    const int count = std::min(wanted, best_bid.length);
    pull_from(service, *best, count, best_bid);
    wanted -= count;
  }
}

void request_router::implementation::pull_from(routed_service& service, routed_peer& peer, int count,
                                               const queue_bid& bid) {
  auto& state = peer.services[service.spec.id];
  state.pull_outstanding = count;
  state.pull_ends = now_ + options_.pull_timeout;
  add_wake(*state.pull_ends);
  auto& first = state.queues.front();
  first.length -= count;
  first.short_teams -= bid.long_teams ? 0 : count;
  if (first.length <= 0) {
    state.queues.erase(state.queues.begin());
  }
  emit(pull_from_peer{.to = peer.vm,
                      .service = service.spec.id,
                      .count = count,
                      .max_rank = bid.rank,
                      .short_teams_only = !bid.long_teams});
}

}  // namespace rhubarbpath

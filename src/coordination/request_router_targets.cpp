#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "request_router_impl.hpp"

namespace rhubarbpath {

using namespace routing;

namespace {

/// Interval between load reports to all peers while no requests are in progress.
constexpr duration repeat_report_after = std::chrono::seconds{1};

std::uint64_t rendezvous_hash(const vm_id& vm, const worker_id& target) {
  const auto seed = XXH3_64bits(vm.value().data(), vm.value().size());
  return XXH3_64bits_withSeed(target.value().data(), target.value().size(), seed);
}

}  // namespace

vm_id request_router::home_of(const worker_id& target, const std::vector<member>& members) {
  const bool all_drain =
      std::all_of(members.begin(), members.end(), [](const member& each) { return each.draining; });
  const member* best = nullptr;
  std::uint64_t best_hash = 0;
  for (const auto& candidate : members) {
    if (candidate.draining && !all_drain) {
      continue;
    }
    const auto hash = rendezvous_hash(candidate.vm, target);
    if (best == nullptr || hash > best_hash || (hash == best_hash && candidate.vm < best->vm)) {
      best = &candidate;
      best_hash = hash;
    }
  }
  return best == nullptr ? vm_id{} : best->vm;
}

void request_router::implementation::on(const document_changed& event) {
  if (event.document == nullptr) {
    return;
  }
  const auto& document = *event.document;
  for (auto& [id, service] : services_) {
    service->in_document = false;
    service->targets_in_document = 0;
    for (auto& request_class : service->classes) {
      request_class->in_document = false;
    }
  }
  for (const auto& spec : document.services) {
    apply_service(spec);
  }
  apply_teams(document);
  apply_workers(document);
  document_ = event.document;
  retries_.set_share(document.budget.retry_share);
  hedges_.set_share(document.budget.hedge_share);
  recompute_homes();
  refuse_removed_classes();
  remove_unused_entries();
}

void request_router::implementation::apply_service(const service_spec& spec) {
  auto& record = services_[spec.id];
  if (record == nullptr) {
    record = std::make_unique<routed_service>(options_.health, *random_);
    service_index_[spec.id] = record.get();
  }
  record->spec = spec;
  record->in_document = true;
  record->dirty = true;
  for (const auto& class_spec : spec.classes) {
    const auto found = std::find_if(record->classes.begin(), record->classes.end(),
                                    [&](const auto& existing) { return existing->spec.id == class_spec.id; });
    if (found != record->classes.end()) {
      (*found)->spec = class_spec;
      (*found)->in_document = true;
      continue;
    }
    auto added = std::make_unique<routed_class>();
    added->spec = class_spec;
    added->service = record.get();
    record->classes.push_back(std::move(added));
  }
  std::sort(record->classes.begin(), record->classes.end(), [](const auto& left, const auto& right) {
    return std::pair{left->spec.rank, left->spec.id} < std::pair{right->spec.rank, right->spec.id};
  });
}

void request_router::implementation::apply_teams(const environment_document& document) {
  for (auto& [id, team] : teams_) {
    team.in_document = false;
  }
  for (const auto& spec : document.teams) {
    const auto [entry, added] = teams_.try_emplace(spec.id);
    if (added) {
      entry->second.index = next_team_++;
    }
    entry->second.in_document = true;
    entry->second.max_queued = spec.max_queued_requests;
  }
}

void request_router::implementation::apply_workers(const environment_document& document) {
  absl::flat_hash_map<rack_id, failure_domain_id> domain_of_rack;
  for (const auto& rack : document.racks) {
    domain_of_rack[rack.id] = rack.failure_domain;
  }
  for (auto& [id, target] : targets_) {
    target->in_document = false;
  }
  const bool initialized = document_ != nullptr && self_is_member_;
  for (const auto& worker : document.workers) {
    auto* service = find_service(worker.service);
    if (service == nullptr || !service->in_document) {
      continue;
    }
    auto& record = targets_[worker.id];
    if (record == nullptr) {
      record = std::make_unique<routed_target>();
      record->id = worker.id;
      record->new_in_document = initialized;
    }
    if (record->service != service) {
      if (record->service != nullptr) {
        record->service->slots_used -= record->slots_used;
      }
      service->slots_used += record->slots_used;
      record->service = service;
    }
    record->failure_domain = domain_of_rack[worker.rack];
    record->in_document = true;
    ++service->targets_in_document;
  }
}

void request_router::implementation::refuse_removed_classes() {
  std::vector<std::uint64_t> affected;
  for (const auto& [number, request] : requests_) {
    const bool unsent = request->phase == detail::request_phase::waiting_intent ||
                        request->phase == detail::request_phase::queued;
    if (unsent && (!request->request_class->in_document || !request->request_class->service->in_document)) {
      affected.push_back(number);
    }
  }
  std::sort(affected.begin(), affected.end());
  for (const auto number : affected) {
    auto& request = *requests_.at(number);
    if (request.source) {
      end_forwarded(request, forward_result::not_sent, "the class is no longer in the document", {});
    } else {
      end_without_answer(request, "the class is no longer in the document", {});
    }
  }
}

void request_router::implementation::remove_unused_entries() {
  for (auto it = targets_.begin(); it != targets_.end();) {
    const auto& target = *it->second;
    const bool idle = target.slots_used == 0 && target.connections_used == 0;
    it = !target.in_document && idle ? targets_.erase(it) : std::next(it);
  }
  for (auto it = services_.begin(); it != services_.end();) {
    auto& service = *it->second;
    auto& classes = service.classes;
    classes.erase(std::remove_if(classes.begin(), classes.end(),
                                 [](const auto& candidate) {
                                   return !candidate->in_document && candidate->request_count == 0;
                                 }),
                  classes.end());
    const bool used = std::any_of(targets_.begin(), targets_.end(),
                                  [&](const auto& entry) { return entry.second->service == &service; });
    if (service.in_document || !classes.empty() || used) {
      ++it;
      continue;
    }
    service_index_.erase(it->first);
    it = services_.erase(it);
  }
  for (auto it = teams_.begin(); it != teams_.end();) {
    const auto current = it++;
    if (!current->second.in_document && current->second.request_count == 0) {
      for (auto& [id, service] : services_) {
        for (auto& request_class : service->classes) {
          request_class->arrivals.erase(current->second.index);
        }
      }
      teams_.erase(current);
    }
  }
}

void request_router::implementation::on(const members_changed& event) {
  members_ = event.members;
  for (auto& [vm, peer] : peers_) {
    const auto listed = std::find_if(members_.begin(), members_.end(),
                                     [&, &id = vm](const member& each) { return each.vm == id; });
    if (peer->member &&
        (listed == members_.end() || listed->vm_incarnation.value() > peer->vm_incarnation.value())) {
      handle_lost_peer(*peer);
      peer->member = false;
    }
  }
  self_is_member_ = false;
  for (const auto& each : members_) {
    if (each.vm == options_.self) {
      self_is_member_ = each.vm_incarnation == options_.self_incarnation;
      continue;
    }
    auto* peer = find_or_add_peer(each.vm, each.vm_incarnation);
    if (peer == nullptr) {
      continue;
    }
    peer->failure_domain = each.failure_domain;
    if (!peer->member) {
      peer->member = true;
      peer->link_lost = false;
    }
  }
  recompute_homes();
  report_due_ = true;
}

void request_router::implementation::recompute_homes() {
  auto homes = members_;
  for (auto& each : homes) {
    if (each.vm == options_.self) {
      each.draining = draining_since_ && now_ >= *draining_since_ + options_.drain_send_time;
    }
  }
  for (auto& [id, service] : services_) {
    service->own.clear();
    service->dirty = true;
  }
  for (auto& [id, target] : targets_) {
    const bool own = target->in_document && self_is_member_ && home_of(id, homes) == options_.self;
    if (own && !target->own && !target->new_in_document) {
      target->usable_from = std::max(target->usable_from, now_ + options_.takeover_delay);
      add_wakeup(target->usable_from);
    }
    target->new_in_document = false;
    target->own = own;
    if (own) {
      target->service->own.push_back(target.get());
    }
  }
  for (auto& [id, service] : services_) {
    health::targets_changed watched;
    for (const auto* target : service->own) {
      watched.targets.push_back(target->id);
    }
    update_health(*service, watched);
    for (auto* target : service->own) {
      target->healthy = service->health.usable(target->id);
      target->suspect = service->health.suspect(target->id);
      target->trial_open = service->health.trial_open(target->id);
    }
    update_set_aside_limit(*service);
  }
}

void request_router::implementation::update_set_aside_limit(routed_service& service) {
  const double share = document_ == nullptr ? 0.0 : document_->budget.set_aside_share;
  int limit = static_cast<int>(std::floor(share * service.targets_in_document));
  // If the share rounded down to zero targets, a failing target would never be set aside.
  if (limit == 0 && share > 0.0 && service.targets_in_document > 1) {
    limit = 1;
  }
  int set_aside_by_lower_ids = 0;
  int set_aside_elsewhere = 0;
  for (const auto& [vm, peer] : peers_) {
    const auto found = peer->services.find(service.spec.id);
    if (!peer->member || found == peer->services.end()) {
      continue;
    }
    set_aside_elsewhere += found->second.set_aside;
    set_aside_by_lower_ids += vm < options_.self ? found->second.set_aside : 0;
  }
  // Two homes that set targets aside at the same time may together exceed the limit. The VM with the
  // lower id keeps its targets set aside; the other restores the excess.
  const int kept = std::min(service.health.set_aside_count(), limit - set_aside_by_lower_ids);
  update_health(service, health::set_aside_limit_changed{std::max({limit - set_aside_elsewhere, kept, 0})});
}

void request_router::implementation::update_health(routed_service& service,
                                                   const target_health_event& event) {
  std::vector<target_health_action> actions;
  service.health.handle(event, now_, actions);
  const auto refresh = [&](const worker_id& id) {
    const auto found = targets_.find(id);
    if (found != targets_.end()) {
      found->second->healthy = service.health.usable(id);
      found->second->suspect = service.health.suspect(id);
      found->second->trial_open = service.health.trial_open(id);
    }
    return found == targets_.end() ? nullptr : found->second.get();
  };
  for (const auto& action : actions) {
    service.dirty = true;
    if (const auto* aside = std::get_if<health::set_aside>(&action)) {
      refresh(aside->target);
      report_due_ = true;
    } else if (const auto* back = std::get_if<health::restored>(&action)) {
      refresh(back->target);
      report_due_ = true;
    } else if (const auto* probe = std::get_if<health::send_probe>(&action)) {
      emit(probe_target{probe->target});
    } else if (const auto* trial = std::get_if<health::trial_allowed>(&action)) {
      if (auto* target = refresh(trial->target)) {
        target->trial_allowed_since = now_;
      }
    }
  }
  if (const auto* failed = std::get_if<health::call_failed>(&event)) {
    refresh(failed->target);
  } else if (const auto* succeeded = std::get_if<health::call_succeeded>(&event)) {
    refresh(succeeded->target);
  } else if (const auto* started = std::get_if<health::trial_started>(&event)) {
    refresh(started->target);
  }
}

detail::routed_peer* request_router::implementation::find_or_add_peer(const vm_id& vm,
                                                                      incarnation vm_incarnation) {
  if (vm == options_.self) {
    return nullptr;
  }
  auto& record = peers_[vm];
  if (record != nullptr && record->vm_incarnation.value() > vm_incarnation.value()) {
    return nullptr;
  }
  if (record == nullptr || record->vm_incarnation.value() < vm_incarnation.value()) {
    auto added = std::make_unique<routed_peer>(options_.forward_window);
    added->vm = vm;
    added->vm_incarnation = vm_incarnation;
    added->lost_sequence = next_lost_sequence_++;
    if (record != nullptr) {
      handle_lost_peer(*record);
      added->failure_domain = record->failure_domain;
      added->leaving = record->leaving;
    }
    record = std::move(added);
    auto* kept = record.get();
    drop_oldest_lost_peer();
    return kept;
  }
  return record.get();
}

void request_router::implementation::drop_oldest_lost_peer() {
  std::size_t lost = 0;
  auto oldest = peers_.end();
  for (auto it = peers_.begin(); it != peers_.end(); ++it) {
    if (it->second->member) {
      continue;
    }
    ++lost;
    if (oldest == peers_.end() || it->second->lost_sequence < oldest->second->lost_sequence) {
      oldest = it;
    }
  }
  if (lost > options_.max_lost_peers) {
    handle_lost_peer(*oldest->second);
    peers_.erase(oldest);
  }
}

void request_router::implementation::handle_lost_peer(routed_peer& peer) {
  peer.link_lost = true;
  peer.lost_sequence = next_lost_sequence_++;
  peer.services.clear();
  std::vector<std::uint64_t> forwards_to_peer;
  for (const auto& [id, sent] : forwards_) {
    if (sent.to == peer.vm) {
      forwards_to_peer.push_back(id.value());
    }
  }
  std::sort(forwards_to_peer.begin(), forwards_to_peer.end());
  for (const auto id : forwards_to_peer) {
    const auto found = forwards_.find(forward_id{id});
    if (found == forwards_.end()) {
      continue;
    }
    auto& request = *requests_.at(found->second.request_number);
    if (request.phase == detail::request_phase::late) {
      continue;
    }
    if (!request.content.non_idempotent) {
      forwards_.erase(found);
      remove_attempt(request, true, id);
    }
    attempt_failed(request, true, {}, "the home VM of the target was lost");
  }
  std::vector<std::uint64_t> requests_from_peer;
  for (const auto& [number, request] : requests_) {
    if (request->source && request->source->vm == peer.vm &&
        request->source->vm_incarnation == peer.vm_incarnation) {
      requests_from_peer.push_back(number);
    }
  }
  std::sort(requests_from_peer.begin(), requests_from_peer.end());
  for (const auto number : requests_from_peer) {
    auto& request = *requests_.at(number);
    request.source->lost = true;
    if (request.phase == detail::request_phase::queued) {
      erase_request(request);
    }
  }
}

void request_router::implementation::apply_load(routed_peer& peer, const load_report& report) {
  if (report.sequence == 0 || report.sequence < peer.load_sequence) {
    return;
  }
  peer.load_sequence = report.sequence;
  peer.draining = report.draining;
  for (const auto& each : report.services) {
    auto* service = find_service(each.service);
    if (service == nullptr) {
      continue;
    }
    auto& state = peer.services[each.service];
    state.idle = each.idle_slots;
    state.queues = each.queues;
    state.outstanding_pull = 0;
    service->dirty = true;
    if (state.set_aside != each.set_aside) {
      state.set_aside = each.set_aside;
      update_set_aside_limit(*service);
    }
  }
  if (peer.leaving != report.leaving) {
    peer.leaving = report.leaving;
    update_leaving();
  }
}

void request_router::implementation::update_leaving() {
  for (auto& [id, target] : targets_) {
    target->leaving_reported_by_peer =
        std::any_of(peers_.begin(), peers_.end(), [&, &wanted = id](const auto& entry) {
          const auto& leaving = entry.second->leaving;
          return std::find(leaving.begin(), leaving.end(), wanted) != leaving.end();
        });
  }
}

bool request_router::implementation::sends_paused() const {
  return now_ < paused_until_;
}

bool request_router::implementation::accepts_calls(const routed_target& target) const {
  return target.own && target.in_document && target.healthy && !target.leaving_listed &&
         !target.leaving_announced && !target.leaving_reported_by_peer && target.usable_from <= now_;
}

int request_router::implementation::free_slots(const routed_target& target) {
  const auto& spec = target.service->spec;
  return std::max(0, std::min(spec.slots_per_target - target.slots_used,
                              spec.connections_per_target - target.connections_used));
}

int request_router::implementation::idle_slots(const routed_service& service) const {
  if (sends_paused()) {
    return 0;
  }
  int idle = 0;
  for (const auto* target : service.own) {
    idle += accepts_calls(*target) ? free_slots(*target) : 0;
  }
  return idle;
}

service_load request_router::implementation::service_report(const routed_service& service) const {
  service_load report{.service = service.spec.id,
                      .idle_slots = draining_since_ ? 0 : idle_slots(service),
                      .set_aside = service.health.set_aside_count()};
  int flooding = 0;
  for (const auto& request_class : service.classes) {
    const auto& queue = request_class->queue;
    if (queue.empty()) {
      continue;
    }
    const int rank = request_class->spec.rank;
    const auto short_limit = queue.longest() / 2;
    rank_queue entry{.rank = rank};
    queue.for_each_team([&](int team, std::size_t size) {
      const int length = static_cast<int>(size);
      const bool last = service.floods(team, rank);
      flooding += last ? length : 0;
      entry.length += last ? 0 : length;
      entry.short_teams += !last && size <= short_limit ? length : 0;
    });
    if (entry.length == 0) {
      continue;
    }
    if (!report.queues.empty() && report.queues.back().rank == rank) {
      report.queues.back().length += entry.length;
      report.queues.back().short_teams += entry.short_teams;
    } else {
      report.queues.push_back(entry);
    }
  }
  if (flooding > 0) {
    report.queues.push_back({.rank = flooding_rank, .length = flooding});
  }
  return report;
}

std::vector<worker_id> request_router::implementation::leaving_targets() const {
  std::vector<worker_id> leaving;
  for (const auto& [id, target] : targets_) {
    if (target->leaving_announced) {
      leaving.push_back(id);
    }
  }
  return leaving;
}

load_report request_router::implementation::load() const {
  load_report report{.sequence = std::max<std::uint64_t>(load_sequence_, 1),
                     .draining = draining_since_.has_value(),
                     .leaving = leaving_targets()};
  for (const auto& [id, service] : services_) {
    if (service->in_document) {
      report.services.push_back(service_report(*service));
    }
  }
  return report;
}

load_report request_router::implementation::partial_report(const routed_service& service) {
  load_report report{
      .sequence = ++load_sequence_, .draining = draining_since_.has_value(), .leaving = leaving_targets()};
  report.services.push_back(service_report(service));
  return report;
}

void request_router::implementation::reply(const detail::forward_source& source, routed_service* service,
                                           answer_peer answer) {
  answer.to = source.vm;
  answer.to_incarnation = source.vm_incarnation;
  answer.id = source.id;
  if (service != nullptr) {
    pending_replies_.emplace_back(out_->size(), service);
  }
  emit(std::move(answer));
}

void request_router::implementation::fill_reply_loads() {
  for (const auto& [index, service] : pending_replies_) {
    std::get<answer_peer>((*out_)[index]).load = partial_report(*service);
  }
  pending_replies_.clear();
}

void request_router::implementation::send_load(std::optional<vm_id> to) {
  ++load_sequence_;
  if (!to) {
    last_report_ = now_;
    report_due_ = false;
    for (auto& [id, service] : services_) {
      service->reported_idle = idle_slots(*service) > 0;
      service->reported_queue = std::any_of(service->classes.begin(), service->classes.end(),
                                            [](const auto& each) { return !each->queue.empty(); });
    }
  }
  emit(advertise_load{.to = std::move(to), .load = load()});
}

void request_router::implementation::report_load() {
  if (members_.size() < 2) {
    return;
  }
  bool edge = report_due_ || !last_report_;
  bool busy = false;
  for (const auto& [id, service] : services_) {
    const bool idle = idle_slots(*service) > 0;
    const bool queued = std::any_of(service->classes.begin(), service->classes.end(),
                                    [](const auto& each) { return !each->queue.empty(); });
    edge = edge || idle != service->reported_idle || queued != service->reported_queue;
    busy = busy || queued || service->slots_used > 0;
  }
  if (!last_report_) {
    send_load(std::nullopt);
    return;
  }
  const auto due = *last_report_ + (edge ? options_.min_load_interval
                                         : (busy ? options_.max_load_interval : repeat_report_after));
  if (now_ >= due) {
    send_load(std::nullopt);
  } else if (edge) {
    add_wakeup(due);
  }
}

}  // namespace rhubarbpath

#include "rhubarbpath/coordination/membership.hpp"

#include <algorithm>
#include <bit>
#include <utility>

#include "hashing.hpp"

namespace rhubarbpath {

namespace {

using peer::member_state;
using peer::member_update;

/// Returns true if `left` takes precedence over `right`. Both are news about the same VM.
bool supersedes(const member_update& left, const member_update& right) {
  if (left.member.id.incarnation != right.member.id.incarnation) {
    return left.member.id.incarnation > right.member.id.incarnation;
  }
  // A departure is final for its incarnation.
  if ((left.state == member_state::left) != (right.state == member_state::left)) {
    return left.state == member_state::left;
  }
  if (left.round != right.round) {
    return left.round > right.round;
  }
  if (left.state != right.state) {
    return left.state > right.state;
  }
  return left.draining && !right.draining;
}

std::uint64_t fingerprint(const member_info& member, bool draining) {
  return detail::mix(detail::stable_hash(member.id.vm.value()),
                     member.id.incarnation.value() * 2 + (draining ? 1 : 0));
}

}  // namespace

membership::membership(options opts, random_source& random) : options_{std::move(opts)}, random_{random} {
  self_.member = options_.self;
}

void membership::handle(const membership_event& event, instant now, std::vector<membership_action>& out) {
  if (!started_) {
    start(now);
  }
  detect_pause(now, out);
  std::visit([&](const auto& value) { on(value, now, out); }, event);
  if (!left_) {
    check_predecessors(now);
    confirm_suspects(now);
    remove_expired(now);
    publish(now, out);
    if (now >= next_heartbeat_) {
      send_heartbeats(now, false, out);
      next_heartbeat_ = now + options_.heartbeat_interval;
    }
    if (gossip_pending_ && now >= next_gossip_) {
      send_heartbeats(now, true, out);
      gossip_pending_ = false;
      next_gossip_ = now + options_.gossip_interval;
    }
    if (now >= next_probe_) {
      probe(now, out);
      next_probe_ = now + options_.probe_interval;
    }
    detect_isolation(now, out);
  }
  last_handled_ = now;
}

std::optional<instant> membership::next_deadline() const {
  if (!started_) {
    return instant{};
  }
  if (left_) {
    return std::nullopt;
  }
  auto deadline = std::min(next_heartbeat_, next_probe_);
  if (gossip_pending_) {
    deadline = std::min(deadline, next_gossip_);
  }
  for (const auto& vm : suspects_) {
    deadline = std::min(deadline, members_.at(vm).changed_at + options_.confirm_after);
  }
  for (const auto& vm : predecessors_) {
    const auto found = members_.find(vm);
    if (found != members_.end() && found->second.news.state == member_state::alive) {
      deadline = std::min(
          deadline, std::max(found->second.heard_at, found->second.watched_at) + options_.suspect_after);
    }
  }
  return deadline;
}

std::vector<live_member> membership::live() const {
  std::vector<live_member> result;
  result.push_back({.info = self_.member, .draining = self_.draining, .suspected = false});
  for (const auto& [vm, entry] : members_) {
    if (is_live(entry)) {
      result.push_back({.info = entry.news.member,
                        .draining = entry.news.draining,
                        .suspected = entry.news.state == member_state::suspect});
    }
  }
  std::sort(result.begin(), result.end(),
            [](const auto& left, const auto& right) { return left.info.id < right.info.id; });
  return result;
}

void membership::start(instant now) {
  started_ = true;
  last_handled_ = now;
  last_heard_ = now;
  next_heartbeat_ = now;
  next_probe_ = now;
  next_gossip_ = now;
  next_sync_ = now;
  rebuild_ring(now);
}

void membership::on(const heartbeat_received& event, instant now, actions& out) {
  const auto& sender = event.content.sender;
  if (sender.member.id.vm == self_.member.id.vm) {
    return;
  }
  const auto known = members_.find(sender.member.id.vm);
  const bool outdated =
      known != members_.end() && known->second.news.member.id.incarnation > sender.member.id.incarnation;
  if (outdated) {
    // A newer process has the sender's VM id. Its entry in the member list tells the sender to stop.
    send_member_list(sender.member.id.vm, sender.member.address, out);
    return;
  }
  record_contact(now, out);
  merge(sender, true, now, out);
  // The sender of a full list has already disseminated its content. Forwarding the list would make every
  // heartbeat of a VM that has just joined as large as the list of all members.
  const bool full_list = event.content.news.size() >= peer::max_news / 2;
  for (const auto& news : event.content.news) {
    merge(news, !full_list, now, out);
  }
  auto& entry = members_[sender.member.id.vm];
  entry.heard_at = now;
  if (entry.news.state == member_state::dead || entry.news.state == member_state::suspect) {
    // The sender is alive. Telling it about the suspicion lets it refute the suspicion.
    auto content = make_heartbeat();
    content.news.push_back(entry.news);
    out.emplace_back(send_heartbeat{
        .to = sender.member.id.vm, .address = sender.member.address, .content = std::move(content)});
  }
  if (event.content.reply_wanted) {
    send_member_list(sender.member.id.vm, sender.member.address, out);
  }
  compare_digests(event, entry, now, out);
}

void membership::on(const local_status& event, instant, actions&) {
  const bool urgent = event.view != status_.view || event.document.version != status_.document.version ||
                      event.draining != status_.draining;
  if (event.draining && !self_.draining) {
    self_.draining = true;
    ++self_.round;
    list_changed_ = true;
  }
  status_ = event;
  gossip_pending_ = gossip_pending_ || urgent;
}

void membership::on(const vm_list_changed& event, instant, actions&) {
  vm_list_ = event.vms;
}

void membership::on(const leave_requested&, instant now, actions& out) {
  self_.state = member_state::left;
  send_heartbeats(now, true, out);
  left_ = true;
}

void membership::on(const membership_tick&, instant, actions&) {}

void membership::detect_pause(instant now, actions& out) {
  const auto gap = now - last_handled_;
  if (gap <= options_.pause_threshold) {
    return;
  }
  // Missing heartbeats during a pause of this process say nothing about other members, so the timeouts
  // restart.
  for (auto& [vm, entry] : members_) {
    entry.watched_at = now;
    entry.heard_at = now;
    if (entry.news.state == member_state::suspect) {
      entry.changed_at = now;
    }
  }
  last_heard_ = now;
  ++self_.round;
  gossip_pending_ = true;
  stale_ = true;
  out.emplace_back(staleness_changed{.stale = true, .gap = gap});
}

void membership::record_contact(instant now, actions& out) {
  last_heard_ = now;
  if (stale_) {
    stale_ = false;
    out.emplace_back(staleness_changed{.stale = false, .gap = {}});
  }
}

void membership::detect_isolation(instant now, actions& out) {
  const auto silence = now - last_heard_;
  const bool expects_peers = ring_.size() > 1;
  if (stale_ || !expects_peers || silence <= options_.suspect_after + options_.confirm_after) {
    return;
  }
  stale_ = true;
  out.emplace_back(staleness_changed{.stale = true, .gap = silence});
}

bool membership::merge(const member_update& news, bool forward, instant now, actions& out) {
  if (news.member.id.vm == self_.member.id.vm) {
    merge_own_news(news, out);
    return false;
  }
  const auto found = members_.find(news.member.id.vm);
  if (found != members_.end() && !supersedes(news, found->second.news)) {
    return false;
  }
  const bool was_live = found != members_.end() && is_live(found->second);
  auto& entry = members_[news.member.id.vm];
  const bool same_process = entry.news.member.id == news.member.id;
  entry.news = news;
  if (forward) {
    disseminate(news.member.id.vm, entry, now);
  } else {
    record_change(news.member.id.vm, entry, now);
  }
  if (!was_live || !same_process) {
    entry.watched_at = now;
    entry.heard_at = now;
    entry.digest_mismatch_since.reset();
  }
  return true;
}

void membership::merge_own_news(const member_update& news, actions& out) {
  if (news.member.id.incarnation > self_.member.id.incarnation) {
    out.emplace_back(superseded{.newer = news.member.id.incarnation});
    return;
  }
  if (news.member.id.incarnation < self_.member.id.incarnation || left_) {
    return;
  }
  const bool reported_not_alive = news.state != member_state::alive;
  if (news.round > self_.round || (reported_not_alive && news.round == self_.round)) {
    self_.round = news.round + 1;
    gossip_pending_ = true;
  }
}

void membership::check_predecessors(instant now) {
  for (const auto& vm : predecessors_) {
    const auto found = members_.find(vm);
    if (found == members_.end() || found->second.news.state != member_state::alive) {
      continue;
    }
    auto& entry = found->second;
    if (now - std::max(entry.heard_at, entry.watched_at) < options_.suspect_after) {
      continue;
    }
    change_state(vm, entry, member_state::suspect, now);
  }
}

void membership::confirm_suspects(instant now) {
  const auto suspects = suspects_;
  for (const auto& vm : suspects) {
    auto& entry = members_[vm];
    if (now - entry.changed_at >= options_.confirm_after) {
      change_state(vm, entry, member_state::dead, now);
    }
  }
}

void membership::remove_expired(instant now) {
  if (now < next_cleanup_) {
    return;
  }
  next_cleanup_ = now + options_.forget_after / 10;
  for (auto it = members_.begin(); it != members_.end();) {
    const bool expired = !is_live(it->second) && now - it->second.changed_at >= options_.forget_after;
    if (expired) {
      disseminating_.erase(it->first);
    }
    it = expired ? members_.erase(it) : std::next(it);
  }
}

void membership::change_state(const vm_id& vm, member_record& entry, member_state state, instant now) {
  entry.news.state = state;
  disseminate(vm, entry, now);
}

void membership::disseminate(const vm_id& vm, member_record& entry, instant now) {
  record_change(vm, entry, now);
  entry.sends_left = dissemination_rounds();
  disseminating_.insert(vm);
  gossip_pending_ = true;
}

void membership::record_change(const vm_id& vm, member_record& entry, instant now) {
  entry.changed_at = now;
  if (entry.news.state == member_state::suspect) {
    suspects_.insert(vm);
  } else {
    suspects_.erase(vm);
  }
  list_changed_ = true;
}

void membership::probe(instant, actions& out) {
  std::vector<vm_list_entry> candidates;
  for (const auto& listed_vm : vm_list_) {
    const auto found = members_.find(listed_vm.vm);
    if (listed_vm.vm != self_.member.id.vm && (found == members_.end() || !is_live(found->second))) {
      candidates.push_back(listed_vm);
    }
  }
  for (const auto& [vm, entry] : members_) {
    if (entry.news.state == member_state::dead) {
      candidates.push_back({.vm = vm, .address = entry.news.member.address});
    }
  }
  if (candidates.empty()) {
    return;
  }
  const auto& chosen = candidates[random_.below(candidates.size())];
  auto content = make_heartbeat();
  content.reply_wanted = true;
  if (const auto found = members_.find(chosen.vm); found != members_.end()) {
    content.news.push_back(found->second.news);
  }
  out.emplace_back(send_heartbeat{.to = chosen.vm, .address = chosen.address, .content = std::move(content)});
}

void membership::compare_digests(const heartbeat_received& event, member_record& sender, instant now,
                                 actions& out) {
  if (event.content.live_digest == live_digest_) {
    sender.digest_mismatch_since.reset();
    return;
  }
  if (!sender.digest_mismatch_since) {
    sender.digest_mismatch_since = now;
    return;
  }
  // News in flight explains a short mismatch. A longer one means that news was lost.
  if (now - *sender.digest_mismatch_since < 2 * options_.heartbeat_interval || now < next_sync_) {
    return;
  }
  next_sync_ = now + options_.probe_interval;
  sender.digest_mismatch_since = now;
  send_member_list(sender.news.member.id.vm, sender.news.member.address, out);
}

void membership::send_heartbeats(instant, bool include_random, actions& out) {
  auto content = make_heartbeat();
  add_news(content);
  absl::btree_map<vm_id, std::string> targets;
  for (const auto& vm : successors_) {
    targets.emplace(vm, members_[vm].news.member.address);
  }
  for (std::size_t pick = 0; include_random && pick < options_.random_gossip_targets && ring_.size() > 1;
       ++pick) {
    const auto& vm = ring_[random_.below(ring_.size())];
    if (vm != self_.member.id.vm) {
      targets.emplace(vm, members_[vm].news.member.address);
    }
  }
  for (const auto& vm : suspects_) {
    const auto& entry = members_[vm];
    if (include_random) {
      // The suspected member must receive the suspicion in time to refute it.
      targets.emplace(vm, entry.news.member.address);
    }
  }
  for (const auto& [vm, address] : targets) {
    out.emplace_back(send_heartbeat{.to = vm, .address = address, .content = content});
  }
}

void membership::send_member_list(const vm_id& to, const std::string& address, actions& out) {
  auto content = make_heartbeat();
  const auto flush = [&] {
    out.emplace_back(send_heartbeat{.to = to, .address = address, .content = content});
    content.news.clear();
  };
  for (const auto& [vm, entry] : members_) {
    content.news.push_back(entry.news);
    if (content.news.size() == peer::max_news) {
      flush();
    }
  }
  if (!content.news.empty() || members_.empty()) {
    flush();
  }
}

peer::heartbeat membership::make_heartbeat() const {
  return {.sender = self_,
          .view = status_.view,
          .document = status_.document,
          .live_digest = live_digest_,
          .reply_wanted = false,
          .loads = status_.loads,
          .news = {}};
}

void membership::add_news(peer::heartbeat& content) {
  for (auto it = disseminating_.begin();
       it != disseminating_.end() && content.news.size() < peer::max_news;) {
    auto& entry = members_[*it];
    content.news.push_back(entry.news);
    --entry.sends_left;
    it = entry.sends_left <= 0 ? disseminating_.erase(it) : std::next(it);
  }
}

void membership::rebuild_ring(instant now) {
  std::vector<std::pair<std::uint64_t, vm_id>> order;
  order.emplace_back(detail::stable_hash(self_.member.id.vm.value()), self_.member.id.vm);
  for (const auto& [vm, entry] : members_) {
    if (is_live(entry)) {
      order.emplace_back(detail::stable_hash(vm.value()), vm);
    }
  }
  std::sort(order.begin(), order.end());
  ring_.clear();
  for (auto& [hash, vm] : order) {
    ring_.push_back(std::move(vm));
  }
  const auto own =
      static_cast<std::size_t>(std::find(ring_.begin(), ring_.end(), self_.member.id.vm) - ring_.begin());
  const auto others = ring_.size() - 1;
  const auto watched = std::min(options_.successors, others);
  successors_.clear();
  std::vector<vm_id> predecessors;
  for (std::size_t step = 1; step <= watched; ++step) {
    successors_.push_back(ring_[(own + step) % ring_.size()]);
    predecessors.push_back(ring_[(own + ring_.size() - step) % ring_.size()]);
  }
  for (const auto& vm : predecessors) {
    if (std::find(predecessors_.begin(), predecessors_.end(), vm) == predecessors_.end()) {
      members_[vm].watched_at = now;
    }
  }
  predecessors_ = std::move(predecessors);
}

void membership::publish(instant now, actions& out) {
  if (!list_changed_) {
    return;
  }
  list_changed_ = false;
  rebuild_ring(now);
  auto members = live();
  live_digest_ = 0;
  for (const auto& member : members) {
    live_digest_ ^= fingerprint(member.info, member.draining);
  }
  if (members == published_) {
    return;
  }
  published_ = members;
  out.emplace_back(live_list_changed{.members = std::move(members)});
}

bool membership::is_live(const member_record& entry) {
  return entry.news.state == member_state::alive || entry.news.state == member_state::suspect;
}

int membership::dissemination_rounds() const {
  // Three rounds more than the depth of a gossip tree, so that single lost messages do not stop the
  // dissemination.
  return 3 + static_cast<int>(std::bit_width(members_.size() + 1));
}

}  // namespace rhubarbpath

#include "rhubarbpath/coordination/target_health.hpp"

#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_set.h"

namespace rhubarbpath {

target_health::target_health(options opts, random_source& random) : options_{opts}, random_{&random} {}

void target_health::handle(const target_health_event& event, instant now,
                           std::vector<target_health_action>& out) {
  std::visit([&](const auto& typed) { on(typed, now, out); }, event);
}

std::optional<instant> target_health::next_deadline() const {
  std::optional<instant> next;
  if (set_aside_count_ == 0) {
    return next;
  }
  for (const auto& [target, entry] : records_) {
    if (entry.due && (!next || *entry.due < *next)) {
      next = entry.due;
    }
  }
  return next;
}

bool target_health::usable(const worker_id& target) const {
  const auto found = records_.find(target);
  return found != records_.end() && found->second.state == phase::in_use;
}

bool target_health::suspect(const worker_id& target) const {
  const auto found = records_.find(target);
  return found != records_.end() && found->second.failures > 0;
}

bool target_health::trial_open(const worker_id& target) const {
  const auto found = records_.find(target);
  return found != records_.end() && found->second.state == phase::trial_open;
}

void target_health::on(const health::targets_changed& event, instant /*now*/,
                       std::vector<target_health_action>& /*out*/) {
  const absl::flat_hash_set<worker_id> wanted(event.targets.begin(), event.targets.end());
  for (auto it = records_.begin(); it != records_.end();) {
    const auto current = it++;
    if (!wanted.contains(current->first)) {
      set_aside_count_ -= current->second.state == phase::in_use ? 0 : 1;
      records_.erase(current);
    }
  }
  for (const auto& target : event.targets) {
    records_.try_emplace(target, record{.backoff = options_.initial_backoff});
  }
}

void target_health::on(const health::set_aside_limit_changed& event, instant /*now*/,
                       std::vector<target_health_action>& out) {
  set_aside_limit_ = event.targets;
  restore_above_limit(out);
}

void target_health::on(const health::call_succeeded& event, instant /*now*/,
                       std::vector<target_health_action>& out) {
  const auto found = records_.find(event.target);
  if (found == records_.end()) {
    return;
  }
  auto& entry = found->second;
  if (entry.state == phase::in_trial) {
    restore(event.target, entry, out);
  }
  if (entry.state == phase::in_use) {
    entry.failures = 0;
    entry.backoff = options_.initial_backoff;
  }
}

void target_health::on(const health::call_failed& event, instant now,
                       std::vector<target_health_action>& out) {
  const auto found = records_.find(event.target);
  if (found == records_.end()) {
    return;
  }
  auto& entry = found->second;
  if (entry.state == phase::in_trial) {
    back_off(entry, now);
    return;
  }
  if (entry.state != phase::in_use) {
    return;
  }
  ++entry.failures;
  if (entry.failures >= options_.failures_to_set_aside && set_aside_count_ < set_aside_limit_) {
    ++set_aside_count_;
    entry.state = phase::waiting;
    entry.due = now + random_->jittered(entry.backoff);
    entry.sequence = next_sequence_++;
    out.emplace_back(health::set_aside{event.target});
  }
}

void target_health::on(const health::trial_started& event, instant now,
                       std::vector<target_health_action>& /*out*/) {
  const auto found = records_.find(event.target);
  if (found != records_.end() && found->second.state == phase::trial_open) {
    found->second.state = phase::in_trial;
    found->second.due = now + options_.trial_timeout;
  }
}

void target_health::on(const health::probe_ended& event, instant now,
                       std::vector<target_health_action>& out) {
  const auto found = records_.find(event.target);
  if (found == records_.end() || found->second.state != phase::pinging) {
    return;
  }
  if (!event.answered) {
    back_off(found->second, now);
    return;
  }
  found->second.state = phase::trial_open;
  found->second.due.reset();
  out.emplace_back(health::trial_allowed{event.target});
}

void target_health::on(const health::tick& /*event*/, instant now, std::vector<target_health_action>& out) {
  if (set_aside_count_ == 0) {
    return;
  }
  std::vector<worker_id> due;
  for (const auto& [target, entry] : records_) {
    if (entry.due && *entry.due <= now) {
      due.push_back(target);
    }
  }
  // The iteration order of the hash map differs between processes; sorting keeps replays deterministic.
  std::sort(due.begin(), due.end());
  for (const auto& target : due) {
    auto& entry = records_.find(target)->second;
    if (entry.state == phase::waiting) {
      entry.state = phase::pinging;
      entry.due = now + options_.trial_timeout;
      out.emplace_back(health::send_probe{target});
    } else {
      back_off(entry, now);
    }
  }
}

void target_health::back_off(record& entry, instant now) {
  entry.state = phase::waiting;
  entry.backoff = std::min(entry.backoff * 2, options_.max_backoff);
  entry.due = now + random_->jittered(entry.backoff);
}

void target_health::restore(const worker_id& target, record& entry, std::vector<target_health_action>& out) {
  entry.state = phase::in_use;
  entry.due.reset();
  --set_aside_count_;
  out.emplace_back(health::restored{target});
}

void target_health::restore_above_limit(std::vector<target_health_action>& out) {
  while (set_aside_count_ > set_aside_limit_) {
    auto last = records_.end();
    for (auto it = records_.begin(); it != records_.end(); ++it) {
      if (it->second.state != phase::in_use &&
          (last == records_.end() || it->second.sequence > last->second.sequence)) {
        last = it;
      }
    }
    if (last == records_.end()) {
      return;
    }
    restore(last->first, last->second, out);
  }
}

}  // namespace rhubarbpath

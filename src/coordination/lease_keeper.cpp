#include "rhubarbpath/coordination/lease_keeper.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace rhubarbpath {
namespace {

/// Delay after a failed read of the lease row. The session has already retried by then.
constexpr duration failed_read_wait{300'000};
constexpr duration grant_retry{2'000'000};
constexpr duration renew_retry{1'000'000};
constexpr duration release_retry{5'000'000};

std::uint64_t rendezvous_weight(const failure_domain_id& domain, const vm_id& vm) {
  const auto seed = XXH64(domain.value().data(), domain.value().size(), 0);
  return XXH64(vm.value().data(), vm.value().size(), seed);
}

}  // namespace

std::vector<vm_id> lease_ranking(const failure_domain_id& domain, std::span<const vm_id> live) {
  std::vector<vm_id> ranking{live.begin(), live.end()};
  std::sort(ranking.begin(), ranking.end(), [&](const vm_id& left, const vm_id& right) {
    return std::pair{rendezvous_weight(domain, left), left.value()} >
           std::pair{rendezvous_weight(domain, right), right.value()};
  });
  return ranking;
}

lease_keeper::lease_keeper(options opts, random_source& random)
    : options_{std::move(opts)}, random_{&random}, next_call_{options_.first_call} {}

void lease_keeper::handle(const lease_keeper_event& event, instant now,
                          std::vector<lease_keeper_action>& out) {
  detect_pause(now, out);
  last_event_at_ = now;
  std::visit([&](const auto& typed) { on(typed, now, out); }, event);
  run_timers(now, out);
}

/// A process that was paused until its lease expired must not act on its earlier state, because another
/// process may own the domain now.
void lease_keeper::detect_pause(instant now, actions& out) {
  const bool paused = last_event_at_ && now - *last_event_at_ > options_.pause_threshold;
  if (paused && holds() && valid_until_ <= now) {
    report_lost("this process was paused past its lease", now, out);
  }
}

void lease_keeper::on(const schedulers_changed& event, instant now, actions& out) {
  const auto ranking = lease_ranking(options_.failure_domain, event.live);
  const auto self = std::find(ranking.begin(), ranking.end(), options_.self);
  const auto before = rank_;
  rank_.reset();
  if (self != ranking.end()) {
    rank_ = static_cast<std::size_t>(self - ranking.begin());
  }
  if (rank_ != before && (!before || *before == 0)) {
    not_preferred_since_ = now;
  }
  const bool is_waiting = phase_ == phase::passive || phase_ == phase::delaying;
  // A candidate whose rank changed may now be the one that must acquire the lease.
  if (is_waiting && rank_ && rank_ != before && wait_after_release_ <= now) {
    wait_until(now, out);
  }
}

void lease_keeper::on(const drain_requested& /*event*/, instant now, actions& out) {
  draining_ = true;
  if (holds()) {
    release(now, out);
  } else if (phase_ != phase::releasing) {
    wait_until(now, out);
  }
}

void lease_keeper::on(const lease_resigned& event, instant now, actions& out) {
  wait_after_release_ = now + event.wait;
  if (holds()) {
    release(now, out);
  } else if (phase_ != phase::releasing) {
    wait_until(wait_after_release_, out);
  }
}

void lease_keeper::on(const tick& /*event*/, instant /*now*/, actions& /*out*/) {}

void lease_keeper::on(const store_call_result& event, instant now, actions& out) {
  if (event.id != call_ || call_ == call_id{}) {
    return;
  }
  call_ = call_id{};
  switch (phase_) {
    case phase::reading:
    case phase::watching:
      on_lease_row(event.response, now, out);
      return;
    case phase::granting:
      on_granted(event.response, now, out);
      return;
    case phase::acquiring:
      on_acquired(event.response, now, out);
      return;
    case phase::held:
    case phase::uncertain:
      on_renewed(event.response, now, out);
      return;
    case phase::releasing:
      wait_until(std::max(now, wait_after_release_), out);
      return;
    default:
      return;
  }
}

void lease_keeper::run_timers(instant now, actions& out) {
  if (phase_ == phase::held && valid_until_ <= now) {
    become_uncertain(out);
  }
  if (call_ != call_id{} || now < wake_at_) {
    return;
  }
  switch (phase_) {
    case phase::passive:
    case phase::delaying:
      if (rank_ && !draining_) {
        delay_elapsed_ = phase_ == phase::delaying;
        read_lease_row(now, out);
      }
      return;
    case phase::held:
      if (rank_.value_or(0) > 0 && now - not_preferred_since_ >= options_.rebalance_after) {
        release(now, out);
      } else {
        renew(now, out);
      }
      return;
    case phase::uncertain:
      renew(now, out);
      return;
    default:
      return;
  }
}

void lease_keeper::read_lease_row(instant now, actions& out) {
  phase_ = phase::reading;
  make_call(store_get{.key = key()}, grant_retry, now, out);
}

void lease_keeper::on_lease_row(const store_response& response, instant now, actions& out) {
  if (std::holds_alternative<store_failure>(response)) {
    last_failed_read_ = now;
    wait_until(now + random_->jittered(failed_read_wait), out);
    return;
  }
  if (const auto* rows = std::get_if<store_rows>(&response)) {
    if (rows->rows.empty()) {
      on_row_absent(now, out);
      return;
    }
    row_revision_ = rows->rows.front().at;
    delay_elapsed_ = false;
  }
  if (!rank_ || *rank_ >= options_.watchers) {
    wait_until(now + random_->jittered(options_.passive_poll_interval), out);
    return;
  }
  phase_ = phase::watching;
  make_call(store_watch{.key = key(), .after = row_revision_, .wait = options_.watch_wait}, grant_retry, now,
            out);
}

void lease_keeper::on_row_absent(instant now, actions& out) {
  row_revision_ = {};
  if (!rank_ || draining_) {
    wait_until(now, out);
    return;
  }
  const auto delay = acquisition_delay(now);
  if (delay <= duration{} || delay_elapsed_) {
    request_grant(now, out);
    return;
  }
  phase_ = phase::delaying;
  wake_at_ = now + delay;
}

duration lease_keeper::acquisition_delay(instant now) const {
  auto delay = options_.rank_delay * static_cast<std::int64_t>(rank_.value_or(0));
  if (last_failed_read_) {
    delay += std::max(duration{}, *last_failed_read_ + options_.outage_grace - now);
  }
  return delay;
}

void lease_keeper::request_grant(instant now, actions& out) {
  phase_ = phase::granting;
  grant_requested_at_ = now;
  make_call(store_lease_grant{.time_to_live = options_.time_to_live}, grant_retry, now, out);
}

void lease_keeper::on_granted(const store_response& response, instant now, actions& out) {
  const auto* granted = std::get_if<store_lease_granted>(&response);
  if (granted == nullptr) {
    if (reacquiring_) {
      request_grant(now, out);
    } else {
      wait_until(now + random_->jittered(failed_read_wait), out);
    }
    return;
  }
  lease_ = granted->lease;
  phase_ = phase::acquiring;
  make_call(store_put{.key = key(), .value = value(), .lease = lease_}, {}, now, out);
}

void lease_keeper::on_acquired(const store_response& response, instant now, actions& out) {
  const auto* written = std::get_if<store_written>(&response);
  const bool reacquiring = std::exchange(reacquiring_, false);
  if (written == nullptr) {
    if (reacquiring) {
      report_lost("another scheduler took the lease after it had expired", now, out);
    } else {
      wait_until(now + random_->jittered(failed_read_wait), out);
    }
    return;
  }
  row_revision_ = written->at;
  valid_until_ = grant_requested_at_ + options_.time_to_live;
  phase_ = phase::held;
  wake_at_ = grant_requested_at_ + options_.renew_interval;
  not_preferred_since_ = now;
  if (reacquiring) {
    out.emplace_back(lease_confirmed{});
  } else {
    out.emplace_back(lease_acquired{});
  }
}

void lease_keeper::renew(instant now, actions& out) {
  make_call(store_lease_renew{.lease = lease_}, renew_retry, now, out);
}

void lease_keeper::on_renewed(const store_response& response, instant now, actions& out) {
  const auto* failure = std::get_if<store_failure>(&response);
  if (failure != nullptr && (*failure == store_failure::conflict || *failure == store_failure::invalid)) {
    // The lease has expired in the store, which deletes its row; another scheduler may have acquired it.
    if (phase_ == phase::held) {
      become_uncertain(out);
    }
    reacquiring_ = true;
    request_grant(now, out);
    return;
  }
  if (failure != nullptr) {
    wake_at_ = now;
    return;
  }
  valid_until_ = std::max(valid_until_, call_requested_at_ + options_.time_to_live);
  wake_at_ = call_requested_at_ + options_.renew_interval;
  if (phase_ == phase::uncertain && valid_until_ > now) {
    phase_ = phase::held;
    out.emplace_back(lease_confirmed{});
  }
}

void lease_keeper::become_uncertain(actions& out) {
  phase_ = phase::uncertain;
  out.emplace_back(lease_uncertain{});
}

void lease_keeper::release(instant now, actions& out) {
  cancel_call(out);
  reacquiring_ = false;
  phase_ = phase::releasing;
  out.emplace_back(lease_released{});
  make_call(store_erase{.key = key(), .expected = row_revision_}, release_retry, now, out);
}

void lease_keeper::report_lost(std::string reason, instant now, actions& out) {
  cancel_call(out);
  reacquiring_ = false;
  out.emplace_back(lease_lost{.reason = std::move(reason)});
  wait_until(now + random_->jittered(failed_read_wait), out);
}

void lease_keeper::wait_until(instant at, actions& out) {
  cancel_call(out);
  phase_ = phase::passive;
  delay_elapsed_ = false;
  wake_at_ = at;
}

void lease_keeper::cancel_call(actions& out) {
  if (call_ != call_id{}) {
    out.emplace_back(store_call_cancelled{.id = call_});
    call_ = call_id{};
  }
}

void lease_keeper::make_call(store_request request, duration retry_for, instant now, actions& out) {
  call_ = next_call_;
  next_call_ = next_call_.next();
  call_requested_at_ = now;
  out.emplace_back(store_call{
      .id = call_, .request = std::move(request), .priority = store_priority::lease, .retry_for = retry_for});
}

std::string lease_keeper::value() const {
  return absl::StrCat(options_.self.value(), "#", options_.self_incarnation.value());
}

std::optional<instant> lease_keeper::next_deadline() const {
  std::optional<instant> earliest;
  const auto consider = [&](instant at) {
    if (!earliest || at < *earliest) {
      earliest = at;
    }
  };
  const bool is_waiting = phase_ == phase::passive || phase_ == phase::delaying;
  if (is_waiting && rank_ && !draining_ && call_ == call_id{}) {
    consider(wake_at_);
  }
  if (holds()) {
    // Regular ticks allow `detect_pause` to distinguish a pause of the process from a period without events.
    consider(last_event_at_.value_or(instant{}) + options_.pause_threshold / 2);
    if (call_ == call_id{}) {
      consider(wake_at_);
    }
    if (phase_ == phase::held) {
      consider(valid_until_);
    }
  }
  return earliest;
}

}  // namespace rhubarbpath

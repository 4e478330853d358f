#include "rhubarbpath/coordination/store_session.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace rhubarbpath {
namespace {

/// Maximum number of keys with a conflict count. The counts only affect the backoff, so the table can be
/// cleared when it is full.
constexpr std::size_t max_conflict_keys = 1000;

bool is_put(const store_request& request) {
  return std::holds_alternative<store_put>(request);
}
bool is_watch(const store_request& request) {
  return std::holds_alternative<store_watch>(request);
}

/// Returns `base` doubled `failures` times, limited to `limit`.
duration backoff(duration base, duration limit, int failures) {
  constexpr int max_doublings = 20;
  return std::min(limit, base * (std::int64_t{1} << std::min(failures, max_doublings)));
}

std::string key_of(const store_request& request) {
  if (const auto* put = std::get_if<store_put>(&request)) {
    return put->key;
  }
  if (const auto* erase = std::get_if<store_erase>(&request)) {
    return erase->key;
  }
  return {};
}

}  // namespace

store_session::store_session(options opts, random_source& random)
    : options_{std::move(opts)}, random_{&random}, window_{1} {
  constexpr std::uint64_t counter_bits = 32;
  const auto& name = options_.owner.value();
  const auto hash = XXH64(name.data(), name.size(), options_.owner_incarnation.value());
  write_prefix_ = (hash >> counter_bits) << counter_bits;
}

void store_session::handle(const store_session_event& event, instant now,
                           std::vector<store_session_action>& out) {
  last_now_ = now;
  std::visit([&](const auto& typed) { on(typed, now, out); }, event);
  expire(now, out);
  send_ready(now, out);
}

void store_session::on(const store_call& call, instant now, std::vector<store_session_action>& /*out*/) {
  pending_call pending{.call = call, .retry_until = now + call.retry_for, .not_before = now};
  if (auto* put = std::get_if<store_put>(&pending.call.request)) {
    put->id = write_id{write_prefix_ | next_write_++};
  }
  calls_.insert_or_assign(call.id, std::move(pending));
}

void store_session::on(const store_call_cancelled& cancelled, instant /*now*/,
                       std::vector<store_session_action>& /*out*/) {
  // The request in flight still counts against the limit until the transport responds.
  calls_.erase(cancelled.id);
}

void store_session::on(const store_answered& answered, instant now, std::vector<store_session_action>& out) {
  const auto sent = sent_.find(answered.sent);
  if (sent == sent_.end()) {
    return;  // The attempt already timed out; the read-back determines its outcome.
  }
  const auto call = sent->second.call;
  sent_.erase(sent);
  const auto found = calls_.find(call);
  const auto* failure = std::get_if<store_failure>(&answered.response);
  if (failure == nullptr) {
    record_store_reached();
  }
  if (found == calls_.end() || found->second.sent != answered.sent) {
    return;
  }
  if (found->second.at == phase::reading_back) {
    handle_read_back(found->second, answered.response, now, out);
  } else {
    handle_response(found->second, answered.response, now, out);
  }
}

void store_session::on(const tick& /*event*/, instant /*now*/, std::vector<store_session_action>& /*out*/) {}

void store_session::handle_response(pending_call& pending, const store_response& response, instant now,
                                    std::vector<store_session_action>& out) {
  if (const auto* failure = std::get_if<store_failure>(&response)) {
    handle_failure(pending, *failure, now, out);
    return;
  }
  conflicts_.erase(key_of(pending.call.request));
  deliver(pending.call.id, response, {}, out);
}

void store_session::handle_failure(pending_call& pending, store_failure failure, instant now,
                                   std::vector<store_session_action>& out) {
  pending.last_failure = failure;
  switch (failure) {
    case store_failure::conflict:
      record_store_reached();
      if (pending.write_in_doubt) {
        // An earlier attempt of this put may have caused the conflict.
        pending.at = phase::waiting_to_read_back;
        pending.not_before = now;
      } else {
        deliver(pending.call.id, failure, conflict_wait(key_of(pending.call.request)), out);
      }
      return;
    case store_failure::invalid:
      record_store_reached();
      deliver(pending.call.id, pending.write_in_doubt ? store_failure::unknown : failure, {}, out);
      return;
    case store_failure::limited:
      record_rate_limit(now);
      pending.at = phase::waiting;
      pending.not_before = limited_until_;
      return;
    case store_failure::unavailable:
      record_outage(now);
      pending.at = phase::waiting;
      pending.not_before = now;
      return;
    case store_failure::unknown:
      if (++lost_answers_ >= options_.lost_answers_for_outage) {
        record_outage(now);
      }
      pending.write_in_doubt = is_put(pending.call.request);
      pending.at = pending.write_in_doubt ? phase::waiting_to_read_back : phase::waiting;
      pending.not_before = now + random_->jittered(options_.outage_wait);
      return;
  }
}

void store_session::handle_read_back(pending_call& pending, const store_response& response, instant now,
                                     std::vector<store_session_action>& out) {
  if (const auto* failure = std::get_if<store_failure>(&response)) {
    const bool refused = *failure == store_failure::limited || *failure == store_failure::unavailable;
    handle_failure(pending, refused ? *failure : store_failure::unknown, now, out);
    pending.at = phase::waiting_to_read_back;
    return;
  }
  const auto* found = std::get_if<store_rows>(&response);
  const auto& put = std::get<store_put>(pending.call.request);
  const store_row* row = found != nullptr && !found->rows.empty() ? &found->rows.front() : nullptr;
  if (row != nullptr && row->written_by == put.id) {
    conflicts_.erase(put.key);
    deliver(pending.call.id, store_written{.at = row->at}, {}, out);
    return;
  }
  const auto current = row == nullptr ? revision{} : row->at;
  if (current == put.expected) {
    // The row is unchanged. Resending the same write is safe: at most one of the two attempts can match the
    // expected revision, and the conflict of the other one is resolved by another read-back.
    pending.at = phase::waiting;
    pending.not_before = now;
    return;
  }
  deliver(pending.call.id, store_failure::conflict, conflict_wait(put.key), out);
}

void store_session::deliver(call_id id, const store_response& response, duration wait,
                            std::vector<store_session_action>& out) {
  out.emplace_back(store_call_result{.id = id, .response = response, .wait = wait});
  calls_.erase(id);
}

void store_session::expire(instant now, std::vector<store_session_action>& out) {
  std::vector<call_id> timed_out;
  for (const auto& [id, sent] : sent_) {
    if (sent.deadline <= now) {
      timed_out.push_back(id);
    }
  }
  for (const auto id : timed_out) {
    on(store_answered{.sent = id, .response = store_failure::unknown}, now, out);
  }
  std::vector<call_id> retries_expired;
  for (const auto& [id, pending] : calls_) {
    const bool is_waiting = pending.at == phase::waiting || pending.at == phase::waiting_to_read_back;
    if (is_waiting && pending.call.retry_for > duration{} && pending.retry_until <= now) {
      retries_expired.push_back(id);
    }
  }
  for (const auto id : retries_expired) {
    give_up(calls_.at(id), out);
  }
}

void store_session::give_up(pending_call& pending, std::vector<store_session_action>& out) {
  const auto failure = pending.write_in_doubt ? store_failure::unknown : pending.last_failure;
  deliver(pending.call.id, failure, {}, out);
}

void store_session::send_ready(instant now, std::vector<store_session_action>& out) {
  for (const auto priority :
       {store_priority::lease, store_priority::log, store_priority::read, store_priority::background}) {
    for (auto& [id, pending] : calls_) {
      if (pending.call.priority == priority && may_send(pending, now)) {
        send(pending, now, out);
      }
    }
  }
}

bool store_session::may_send(const pending_call& pending, instant now) const {
  const bool is_waiting = pending.at == phase::waiting || pending.at == phase::waiting_to_read_back;
  if (!is_waiting || pending.not_before > now) {
    return false;
  }
  if (outage_failures_ > 0) {
    const bool probing = is_watch(pending.call.request) ? !sent_.empty() : in_flight_calls(false) > 0;
    return outage_until_ <= now && !probing;
  }
  if (limited_until_ > now && pending.call.priority != store_priority::lease) {
    return false;
  }
  if (is_watch(pending.call.request)) {
    return in_flight_calls(true) < options_.max_watches;
  }
  if (pending.call.priority == store_priority::background) {
    const auto background = std::count_if(sent_.begin(), sent_.end(), [](const auto& sent) {
      return sent.second.priority == store_priority::background;
    });
    if (static_cast<std::size_t>(background) >= options_.max_background_in_flight) {
      return false;
    }
  }
  return in_flight_calls(false) < window_;
}

void store_session::send(pending_call& pending, instant now, std::vector<store_session_action>& out) {
  const call_id id{next_send_++};
  const bool watch = is_watch(pending.call.request);
  auto timeout = options_.call_timeout;
  if (const auto* request = std::get_if<store_watch>(&pending.call.request)) {
    timeout += request->wait;
  }
  store_send action{.sent = id, .request = pending.call.request, .timeout = timeout};
  if (pending.at == phase::waiting_to_read_back) {
    action.request = store_get{.key = std::get<store_put>(pending.call.request).key};
    pending.at = phase::reading_back;
  } else {
    pending.at = phase::sent;
  }
  pending.sent = id;
  sent_.emplace(id, sent_request{.call = pending.call.id,
                                 .deadline = now + timeout,
                                 .watch = watch,
                                 .priority = pending.call.priority});
  ++sends_;
  out.emplace_back(std::move(action));
}

std::size_t store_session::in_flight_calls(bool watches) const {
  return static_cast<std::size_t>(std::count_if(
      sent_.begin(), sent_.end(), [watches](const auto& sent) { return sent.second.watch == watches; }));
}

void store_session::record_store_reached() {
  if (outage_failures_ > 0) {
    window_ = 1;
  }
  outage_failures_ = 0;
  lost_answers_ = 0;
  limited_failures_ = 0;
  window_ = std::min(options_.max_in_flight, window_ * 2);
}

void store_session::record_outage(instant now) {
  if (outage_failures_ > 0 && outage_until_ > now) {
    return;  // Failures of calls that were in flight when the outage began must not increase the backoff.
  }
  outage_until_ =
      now + random_->jittered(backoff(options_.outage_wait, options_.max_outage_wait, outage_failures_));
  ++outage_failures_;
}

void store_session::record_rate_limit(instant now) {
  lost_answers_ = 0;
  outage_failures_ = 0;
  limited_until_ =
      now + random_->jittered(backoff(options_.limited_wait, options_.max_limited_wait, limited_failures_));
  ++limited_failures_;
  window_ = std::max<std::size_t>(1, window_ / 2);
}

duration store_session::conflict_wait(const std::string& key) {
  if (conflicts_.size() >= max_conflict_keys) {
    conflicts_.clear();
  }
  const auto earlier = conflicts_[key]++;
  return random_->jittered(backoff(options_.conflict_wait, options_.max_conflict_wait, earlier));
}

std::optional<instant> store_session::next_deadline() const {
  std::optional<instant> earliest;
  const auto consider = [&](instant at) {
    if (!earliest || at < *earliest) {
      earliest = at;
    }
  };
  for (const auto& [id, sent] : sent_) {
    consider(sent.deadline);
  }
  for (const auto& [id, pending] : calls_) {
    const bool is_waiting = pending.at == phase::waiting || pending.at == phase::waiting_to_read_back;
    if (!is_waiting) {
      continue;
    }
    if (pending.call.retry_for > duration{}) {
      consider(pending.retry_until);
    }
    const auto ready =
        std::max({pending.not_before, outage_failures_ > 0 ? outage_until_ : instant{},
                  pending.call.priority == store_priority::lease ? instant{} : limited_until_});
    // A call that could already be sent is waiting for another call to complete, not for a point in time.
    if (ready > last_now_) {
      consider(ready);
    }
  }
  return earliest;
}

}  // namespace rhubarbpath

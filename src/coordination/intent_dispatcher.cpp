#include "intent_dispatcher.hpp"

#include <algorithm>
#include <utility>

namespace rhubarbpath::detail {

namespace {

using peer::intent_status;

/// Interval at which an unanswered `withdraw_intent` or `finish_intent` is resent.
constexpr duration delivery_interval{500'000};

void add_member(std::vector<member_info>& members, const member_info& member) {
  const auto same = [&](const auto& other) { return other.id == member.id; };
  if (std::none_of(members.begin(), members.end(), same)) {
    members.push_back(member);
  }
}

peer::kept_answer refusal(verdict result, std::string_view reason, duration retry_after) {
  return {.result = {.result = result, .reason = std::string{reason}, .retry_after = retry_after},
          .status = 0,
          .body = {},
          .body_dropped = false};
}

}  // namespace

void intent_dispatcher::request(const intent_requested& event, instant now, intent_actions& out) {
  if (event.key.empty() || event.key.value().size() > peer::max_key_bytes) {
    auto answer = refusal(verdict::not_run, "the idempotency key is empty or longer than 256 bytes", {});
    answer.result.retry_after.reset();
    out.emplace_back(intent_answered{.id = event.id, .answer = std::move(answer)});
    return;
  }
  for (auto it = deliveries_.lower_bound({event.key, 0});
       it != deliveries_.end() && it->first.first == event.key; ++it) {
    if (const auto* const finish = std::get_if<peer::finish_intent>(&it->second.message)) {
      out.emplace_back(intent_answered{.id = event.id, .answer = finish->answer});
      return;
    }
  }
  if (requests_ + deliveries_.size() >= options_.max_requests) {
    const auto result = event.first_attempt ? verdict::not_run : verdict::may_have_run;
    out.emplace_back(intent_answered{
        .id = event.id,
        .answer = refusal(result, "too many non-idempotent requests at once; repeat with the same key",
                          options_.retry_after)});
    return;
  }
  ++requests_;
  if (const auto found = attempts_.find(event.key); found != attempts_.end()) {
    found->second.duplicates.push_back({.id = event.id, .deadline = event.deadline});
    duplicated_.insert(event.key);
    return;
  }
  attempt new_attempt;
  new_attempt.id = event.id;
  new_attempt.first_attempt = event.first_attempt;
  new_attempt.deadline = event.deadline;
  start_attempt(event.key, std::move(new_attempt), now, out);
}

void intent_dispatcher::start_attempt(const idempotency_key& key, attempt new_attempt, instant now,
                                      intent_actions& out) {
  new_attempt.started = now;
  new_attempt.record_deadline = std::min(new_attempt.deadline, now + options_.record_timeout);
  new_attempt.sequence = next_sequence_++;
  new_attempt.registrars = registrars_of(view_.members, key_range_of(key));
  recording_.insert(key);
  auto& current = attempts_.insert_or_assign(key, std::move(new_attempt)).first->second;
  send_records(key, current, now, out);
}

void intent_dispatcher::send_records(const idempotency_key& key, attempt& current, instant now,
                                     intent_actions& out) {
  for (std::size_t position = 0; position < current.registrars.count; ++position) {
    auto& target = current.slots.at(position);
    const bool answered = target.state == slot_state::acknowledged || target.state == slot_state::full;
    // Two dispatchers that are each recorded at one registrar would wait for each other forever. The
    // first registrar decides between them: while it holds the key for another dispatcher, the second
    // is not asked.
    const bool must_wait = position == 1 && current.slots[0].state == slot_state::held;
    if (answered || must_wait || now < target.next_send) {
      continue;
    }
    const bool held = target.state == slot_state::held;
    target.next_send = now + (held ? options_.poll_interval : options_.retry_interval);
    const auto& registrar = current.registrars.members.at(position);
    add_member(current.contacted, registrar);
    out.emplace_back(
        send_intent_message{.to = registrar,
                            .message = peer::record_intent{.key = key,
                                                           .dispatch = dispatch_of(current),
                                                           .view = view_.number,
                                                           .first_attempt = current.first_attempt}});
  }
}

void intent_dispatcher::on_answer(const member_id& from, const peer::intent_answer& answer, instant now,
                                  intent_actions& out) {
  if (answer.dispatch.dispatcher != options_.self.id) {
    return;
  }
  if (answer.status == intent_status::withdrawn || answer.status == intent_status::kept) {
    const auto found = deliveries_.find({answer.key, answer.dispatch.sequence});
    if (found != deliveries_.end()) {
      auto& value = found->second;
      std::erase_if(value.pending, [&](const auto& member) { return member.id == from; });
      value.done.push_back(from);
      if (value.pending.empty()) {
        deliveries_.erase(found);
      }
    }
    return;
  }
  const auto found = attempts_.find(answer.key);
  const bool expected = found != attempts_.end() && !found->second.permitted &&
                        found->second.sequence == answer.dispatch.sequence;
  if (!expected) {
    return;
  }
  auto& current = found->second;
  if (answer.status == intent_status::finished) {
    resolve(answer.key, answer.answer.value_or(may_have_run("the request was dispatched by another VM")), now,
            out);
    return;
  }
  const auto position = current.registrars.position_of(from);
  if (!position) {
    return;
  }
  auto& target = current.slots.at(*position);
  switch (answer.status) {
    case intent_status::acknowledged:
    case intent_status::full:
      if (answer.view == view_.number) {
        target.state = answer.status == intent_status::full ? slot_state::full : slot_state::acknowledged;
      }
      break;
    case intent_status::in_progress:
      on_key_held(answer.key, current, *position, answer, now);
      break;
    case intent_status::tainted:
      resolve(answer.key,
              may_have_run("both registrars of the key were lost; an earlier attempt may have run"), now,
              out);
      return;
    case intent_status::wrong_view:
    case intent_status::not_ready:
      if (target.state == slot_state::held) {
        target.state = slot_state::unanswered;
      }
      target.next_send = std::min(target.next_send, now + options_.retry_interval);
      break;
    case intent_status::finished:
    case intent_status::withdrawn:
    case intent_status::kept:
      break;
  }
  check_attempt(answer.key, now, out);
}

void intent_dispatcher::on_key_held(const idempotency_key& key, attempt& current, std::size_t position,
                                    const peer::intent_answer& answer, instant now) {
  current.holder = answer.holder;
  current.saw_holder = true;
  auto& target = current.slots.at(position);
  target.state = slot_state::held;
  target.next_send = now + options_.poll_interval;
  if (position != 0 || current.registrars.count < 2) {
    return;
  }
  auto& second = current.slots[1];
  if (second.next_send != instant{}) {
    withdraw(key, current, now);
    current.sequence = next_sequence_++;
    second = {};
  }
}

void intent_dispatcher::check_attempt(const idempotency_key& key, instant now, intent_actions& out) {
  auto& current = attempts_.find(key)->second;
  const auto count = current.registrars.count;
  const auto count_in_state = [&](slot_state state) {
    return static_cast<std::size_t>(std::count_if(current.slots.begin(),
                                                  current.slots.begin() + static_cast<std::ptrdiff_t>(count),
                                                  [&](const auto& target) { return target.state == state; }));
  };
  const auto acknowledged = count_in_state(slot_state::acknowledged);
  const bool waits = count_in_state(slot_state::held) > 0;
  if (now >= current.deadline || now - current.started > options_.permit_validity) {
    refuse(key, "the deadline passed before the request could be dispatched", now, out);
  } else if (count > 0 && acknowledged == count) {
    permit(key, now, out);
  } else if (count > 0 && count_in_state(slot_state::full) + acknowledged == count) {
    refuse(key, "the table of non-idempotent requests is full; repeat with the same key", now, out);
  } else if (!waits && now >= current.record_deadline) {
    refuse(key, "a registrar of the key did not answer; repeat with the same key", now, out);
  } else if (!waits || !current.holder || live_.contains(current.holder->dispatcher)) {
    current.holder_gone_since.reset();
    send_records(key, current, now, out);
  } else if (!current.holder_gone_since) {
    current.holder_gone_since = now;
    send_records(key, current, now, out);
  } else if (now - *current.holder_gone_since >= options_.holder_grace_period) {
    resolve(key, may_have_run("the VM that dispatched the request is gone"), now, out);
  } else {
    send_records(key, current, now, out);
  }
}

void intent_dispatcher::permit(const idempotency_key& key, instant, intent_actions& out) {
  auto& current = attempts_.find(key)->second;
  current.permitted = true;
  recording_.erase(key);
  permitted_.emplace(current.id, key);
  out.emplace_back(
      dispatch_permitted{.id = current.id,
                         .key = key,
                         .send_by = std::min(current.deadline, current.started + options_.permit_validity)});
}

void intent_dispatcher::end(const dispatch_ended& event, instant now, intent_actions& out) {
  const auto found = permitted_.find(event.id);
  if (found == permitted_.end()) {
    return;
  }
  const auto key = found->second;
  if (event.answer.result.result == verdict::not_run) {
    const auto ended = remove_attempt(key, now);
    restart_duplicates(key, ended.duplicates, now, out);
    return;
  }
  auto& current = attempts_.find(key)->second;
  const delivery_key id{key, current.sequence};
  delivery finish{
      .message = peer::finish_intent{.key = key, .dispatch = dispatch_of(current), .answer = event.answer},
      .pending = current.contacted,
      .done = {},
      .next_send = {},
      .expires = {}};
  current.contacted.clear();
  const auto ended = remove_attempt(key, now);
  for (const auto& duplicate : ended.duplicates) {
    out.emplace_back(intent_answered{.id = duplicate.id, .answer = event.answer});
  }
  deliver(id, std::move(finish), now);
}

void intent_dispatcher::refuse(const idempotency_key& key, std::string_view reason, instant now,
                               intent_actions& out) {
  const auto ended = remove_attempt(key, now);
  const auto result = cannot_have_run(ended) ? verdict::not_run : verdict::may_have_run;
  out.emplace_back(intent_answered{.id = ended.id, .answer = refusal(result, reason, options_.retry_after)});
  restart_duplicates(key, ended.duplicates, now, out);
}

void intent_dispatcher::resolve(const idempotency_key& key, const peer::kept_answer& answer, instant now,
                                intent_actions& out) {
  const auto ended = remove_attempt(key, now);
  out.emplace_back(intent_answered{.id = ended.id, .answer = answer});
  for (const auto& duplicate : ended.duplicates) {
    out.emplace_back(intent_answered{.id = duplicate.id, .answer = answer});
  }
}

attempt intent_dispatcher::remove_attempt(const idempotency_key& key, instant now) {
  const auto found = attempts_.find(key);
  auto ended = std::move(found->second);
  attempts_.erase(found);
  recording_.erase(key);
  duplicated_.erase(key);
  permitted_.erase(ended.id);
  requests_ -= 1 + ended.duplicates.size();
  withdraw(key, ended, now);
  return ended;
}

void intent_dispatcher::restart_duplicates(const idempotency_key& key,
                                           const std::vector<duplicate_request>& duplicates, instant now,
                                           intent_actions& out) {
  // The refusal of the first request does not show whether a repeat that arrived later has run.
  for (const auto& duplicate : duplicates) {
    request({.id = duplicate.id, .key = key, .first_attempt = false, .deadline = duplicate.deadline}, now,
            out);
  }
}

void intent_dispatcher::withdraw(const idempotency_key& key, attempt& current, instant now) {
  if (current.contacted.empty()) {
    return;
  }
  deliver({key, current.sequence},
          {.message = peer::withdraw_intent{.key = key, .dispatch = dispatch_of(current)},
           .pending = std::move(current.contacted),
           .done = {},
           .next_send = {},
           .expires = {}},
          now);
  current.contacted.clear();
}

void intent_dispatcher::deliver(const delivery_key& key, delivery value, instant now) {
  // The registrars of the current view may receive the intent by a range transfer.
  const auto pair = registrars_of(view_.members, key_range_of(key.first));
  for (std::size_t position = 0; position < pair.count; ++position) {
    add_member(value.pending, pair.members.at(position));
  }
  value.next_send = now;
  value.expires = now + options_.key_lifetime;
  deliveries_.insert_or_assign(key, std::move(value));
}

void intent_dispatcher::send_delivery(delivery& value, instant now, intent_actions& out) const {
  value.next_send = now + delivery_interval;
  for (const auto& member : value.pending) {
    if (live_.contains(member.id) || member.id == options_.self.id) {
      std::visit(
          [&](const auto& message) {
            out.emplace_back(send_intent_message{.to = member, .message = message});
          },
          value.message);
    }
  }
}

void intent_dispatcher::adopt(const view& adopted, instant now, intent_actions& out) {
  if (adopted.number <= view_.number) {
    return;
  }
  view_ = adopted;
  for (const auto& key : recording_) {
    auto& current = attempts_.find(key)->second;
    current.registrars = registrars_of(view_.members, key_range_of(key));
    current.slots = {};
    send_records(key, current, now, out);
  }
  for (auto& [key, value] : deliveries_) {
    const auto pair = registrars_of(view_.members, key_range_of(key.first));
    for (std::size_t position = 0; position < pair.count; ++position) {
      const auto& member = pair.members.at(position);
      if (std::find(value.done.begin(), value.done.end(), member.id) == value.done.end()) {
        add_member(value.pending, member);
      }
    }
  }
}

void intent_dispatcher::set_live(const std::vector<live_member>& members) {
  live_.clear();
  for (const auto& member : members) {
    live_.insert(member.info.id);
  }
}

void intent_dispatcher::expire_duplicates(instant now, intent_actions& out) {
  for (auto it = duplicated_.begin(); it != duplicated_.end();) {
    auto& waiting = attempts_.find(*it)->second.duplicates;
    const auto expired = std::partition(waiting.begin(), waiting.end(),
                                        [&](const auto& entry) { return entry.deadline > now; });
    for (auto late = expired; late != waiting.end(); ++late) {
      out.emplace_back(intent_answered{
          .id = late->id,
          .answer = may_have_run("the deadline passed while an earlier copy is in progress")});
    }
    requests_ -= static_cast<std::size_t>(waiting.end() - expired);
    waiting.erase(expired, waiting.end());
    it = waiting.empty() ? duplicated_.erase(it) : std::next(it);
  }
}

void intent_dispatcher::tick(instant now, intent_actions& out) {
  expire_duplicates(now, out);
  const auto keys = std::vector<idempotency_key>{recording_.begin(), recording_.end()};
  for (const auto& key : keys) {
    if (recording_.contains(key)) {
      check_attempt(key, now, out);
    }
  }
  for (auto it = deliveries_.begin(); it != deliveries_.end();) {
    if (now >= it->second.expires) {
      it = deliveries_.erase(it);
      continue;
    }
    if (now >= it->second.next_send) {
      send_delivery(it->second, now, out);
    }
    ++it;
  }
}

bool intent_dispatcher::cannot_have_run(const attempt& current) {
  if (current.saw_holder) {
    return false;
  }
  if (current.first_attempt) {
    return true;
  }
  // One answer is not enough: that registrar may be partitioned off in an old view while the key was
  // dispatched through the registrars of a newer one. That requires the other registrar to have left
  // the old view, so two answers in the same view rule it out.
  const auto count = static_cast<std::ptrdiff_t>(current.registrars.count);
  return count > 0 &&
         std::all_of(current.slots.begin(), current.slots.begin() + count, [](const auto& target) {
           return target.state == slot_state::acknowledged || target.state == slot_state::full;
         });
}

peer::kept_answer intent_dispatcher::may_have_run(std::string_view reason) const {
  auto answer = refusal(verdict::may_have_run, reason, {});
  answer.result.retry_after.reset();
  return answer;
}

peer::dispatch_id intent_dispatcher::dispatch_of(const attempt& current) const {
  return {.dispatcher = options_.self.id, .sequence = current.sequence};
}

}  // namespace rhubarbpath::detail

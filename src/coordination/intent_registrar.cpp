#include "intent_registrar.hpp"

#include <algorithm>
#include <utility>

namespace rhubarbpath::detail {

namespace {

using peer::intent_state;
using peer::intent_status;
using peer::transfer_kind;

/// Maximum number of waiting dispatches stored per key; further ones poll.
constexpr std::size_t max_waiters = 16;
/// Time limit for one part of a transfer, after which another source is asked.
constexpr duration transfer_timeout{300'000};
/// Interval at which a pending range checks whether its sources are gone.
constexpr duration check_interval{200'000};
/// Maximum delay between two requests for a range that no source can send yet.
constexpr duration max_request_backoff{2'000'000};

int precedence(intent_state state) {
  switch (state) {
    case intent_state::withdrawn:
      return 0;
    case intent_state::recorded:
      return 1;
    case intent_state::finished:
      return 2;
  }
  return 2;
}

bool contains(const std::vector<member_id>& ids, const member_id& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

void send(const member_id& to, intent_message message, intent_actions& out) {
  out.emplace_back(send_intent_message{.to = {.id = to, .failure_domain = {}, .address = {}},
                                       .message = std::move(message)});
}

}  // namespace

intent_registrar::intent_registrar(const intent_registry::options& opts)
    : options_{opts}, ranges_(key_range_count) {}

void intent_registrar::on_message(const member_id& from, const intent_message& message, instant now,
                                  intent_actions& out) {
  expire(now);
  std::visit([&](const auto& value) { on(from, value, now, out); }, message);
}

void intent_registrar::on(const member_id& from, const peer::record_intent& message, instant now,
                          intent_actions& out) {
  if (message.dispatch.dispatcher != from) {
    return;
  }
  auto& range = ranges_[key_range_of(message.key)];
  peer::intent_answer answer{.key = message.key,
                             .dispatch = message.dispatch,
                             .status = intent_status::not_ready,
                             .view = view_.number,
                             .holder = {},
                             .answer = {}};
  const auto held = range.intents.find(message.key);
  const bool key_is_free = held == range.intents.end() || (held->second.state == intent_state::withdrawn &&
                                                           held->second.dispatch != message.dispatch);
  if (key_is_free) {
    answer.status = record_new(range, message, now);
  } else {
    answer_held(held->second, message, range, now, answer);
  }
  send(from, std::move(answer), out);
}

intent_status intent_registrar::record_new(range_state& range, const peer::record_intent& message,
                                           instant now) {
  if (message.view != view_.number) {
    return intent_status::wrong_view;
  }
  if (!serves(range, now)) {
    return intent_status::not_ready;
  }
  if (range.tainted_until > now && !message.first_attempt) {
    return intent_status::tainted;
  }
  if (intents_ >= options_.max_intents) {
    return intent_status::full;
  }
  insert(key_range_of(message.key), message.key,
         {.dispatch = message.dispatch,
          .state = intent_state::recorded,
          .expires = now + options_.key_lifetime,
          .answer = {},
          .waiters = {}});
  return intent_status::acknowledged;
}

void intent_registrar::answer_held(intent& held, const peer::record_intent& message, const range_state& range,
                                   instant now, peer::intent_answer& answer) {
  if (held.dispatch == message.dispatch) {
    if (held.state == intent_state::withdrawn) {
      answer.status = intent_status::withdrawn;
    } else if (held.state == intent_state::finished) {
      answer.status = intent_status::kept;
    } else if (message.view != view_.number) {
      answer.status = intent_status::wrong_view;
    } else {
      answer.status = serves(range, now) ? intent_status::acknowledged : intent_status::not_ready;
    }
    return;
  }
  answer.holder = held.dispatch;
  if (held.state == intent_state::finished) {
    answer.status = intent_status::finished;
    answer.answer = held.answer;
    return;
  }
  answer.status = intent_status::in_progress;
  const bool known =
      std::find(held.waiters.begin(), held.waiters.end(), message.dispatch) != held.waiters.end();
  if (!known && held.waiters.size() < max_waiters) {
    held.waiters.push_back(message.dispatch);
  }
}

void intent_registrar::on(const member_id& from, const peer::withdraw_intent& message, instant now,
                          intent_actions& out) {
  if (message.dispatch.dispatcher != from) {
    return;
  }
  const auto index = key_range_of(message.key);
  auto& range = ranges_[index];
  const auto held = range.intents.find(message.key);
  const auto expires = now + options_.withdrawal_lifetime;
  if (held == range.intents.end()) {
    // If the table is full, the withdrawal is not stored. A delayed record of this dispatch may then
    // block the key, which is safe.
    if (intents_ < options_.max_intents) {
      insert(index, message.key,
             {.dispatch = message.dispatch,
              .state = intent_state::withdrawn,
              .expires = expires,
              .answer = {},
              .waiters = {}});
    }
  } else if (held->second.dispatch == message.dispatch && held->second.state == intent_state::recorded) {
    held->second.state = intent_state::withdrawn;
    held->second.expires = expires;
    expiries_.push({.at = expires, .range = index, .key = message.key});
    notify_waiters(held->second, message.key, out);
  }
  send(from,
       peer::intent_answer{.key = message.key,
                           .dispatch = message.dispatch,
                           .status = intent_status::withdrawn,
                           .view = view_.number,
                           .holder = {},
                           .answer = {}},
       out);
}

void intent_registrar::on(const member_id& from, const peer::finish_intent& message, instant now,
                          intent_actions& out) {
  if (message.dispatch.dispatcher != from) {
    return;
  }
  const auto index = key_range_of(message.key);
  auto& range = ranges_[index];
  auto held = range.intents.find(message.key);
  auto status = intent_status::kept;
  if (held == range.intents.end() && intents_ >= options_.max_intents) {
    status = intent_status::full;
  } else {
    if (held == range.intents.end()) {
      insert(index, message.key,
             {.dispatch = message.dispatch, .state = {}, .expires = {}, .answer = {}, .waiters = {}});
      held = range.intents.find(message.key);
    }
    if (held->second.state != intent_state::finished) {
      held->second.dispatch = message.dispatch;
      held->second.expires = now + options_.key_lifetime;
      expiries_.push({.at = held->second.expires, .range = index, .key = message.key});
      store_answer(index, message.key, held->second, message.answer);
      notify_waiters(held->second, message.key, out);
      limit_kept_bytes();
    }
  }
  send(from,
       peer::intent_answer{.key = message.key,
                           .dispatch = message.dispatch,
                           .status = status,
                           .view = view_.number,
                           .holder = {},
                           .answer = {}},
       out);
}

void intent_registrar::on(const member_id& from, const peer::transfer_intents& message, instant now,
                          intent_actions& out) {
  if (message.range >= key_range_count) {
    return;
  }
  if (message.kind == transfer_kind::request) {
    on_request(from, message, now, out);
    return;
  }
  if (message.kind == transfer_kind::completed) {
    on_completed(from, message);
    return;
  }
  auto& range = ranges_[message.range];
  const bool expected = range.state == phase::pending && message.target == view_.number &&
                        message.source == range.source.number && message.cursor == range.cursor &&
                        range.requested_from && range.requested_from->id == from;
  if (!expected) {
    return;
  }
  switch (message.kind) {
    case transfer_kind::entries:
      on_entries(message, now, out);
      break;
    case transfer_kind::redirect:
      on_redirect(message, now, out);
      break;
    case transfer_kind::unable:
      range.source.unable.push_back(from);
      range.requested_from.reset();
      range.cursor = {};
      range.next_request = now + range.request_backoff;
      range.next_check = std::min(range.next_check, range.next_request);
      break;
    case transfer_kind::retry:
      range.requested_from.reset();
      range.cursor = {};
      range.next_request = now + range.request_backoff;
      range.next_check = std::min(range.next_check, range.next_request);
      break;
    case transfer_kind::request:
    case transfer_kind::completed:
      break;
  }
}

void intent_registrar::on(const member_id&, const peer::intent_answer&, instant, intent_actions&) {}

void intent_registrar::notify_waiters(intent& held, const idempotency_key& key, intent_actions& out) const {
  const bool finished = held.state == intent_state::finished;
  for (const auto& waiter : held.waiters) {
    peer::intent_answer answer{.key = key,
                               .dispatch = waiter,
                               .status = finished ? intent_status::finished : intent_status::not_ready,
                               .view = view_.number,
                               .holder = {},
                               .answer = {}};
    if (finished) {
      answer.holder = held.dispatch;
      answer.answer = held.answer;
    }
    send(waiter.dispatcher, std::move(answer), out);
  }
  held.waiters.clear();
}

void intent_registrar::store_answer(std::uint32_t range, const idempotency_key& key, intent& held,
                                    peer::kept_answer answer) {
  kept_bytes_ -= held.answer.body.size();
  held.state = intent_state::finished;
  held.answer = std::move(answer);
  kept_bytes_ += held.answer.body.size();
  if (!held.answer.body.empty()) {
    kept_order_.emplace_back(range, key);
  }
}

void intent_registrar::insert(std::uint32_t range, const idempotency_key& key, intent value) {
  auto& intents = ranges_[range].intents;
  if (value.expires != instant{}) {
    expiries_.push({.at = value.expires, .range = range, .key = key});
  }
  const auto [it, added] = intents.insert_or_assign(key, std::move(value));
  intents_ += added ? 1 : 0;
  compact_expiries();
}

void intent_registrar::erase(range_state& range, absl::btree_map<idempotency_key, intent>::iterator it) {
  kept_bytes_ -= it->second.answer.body.size();
  --intents_;
  range.intents.erase(it);
}

void intent_registrar::limit_kept_bytes() {
  while (!kept_order_.empty() &&
         (kept_bytes_ > options_.max_kept_bytes || kept_order_.size() > 2 * options_.max_intents)) {
    const auto [index, key] = std::move(kept_order_.front());
    kept_order_.pop_front();
    const auto held = ranges_[index].intents.find(key);
    if (held == ranges_[index].intents.end() || held->second.answer.body.empty()) {
      continue;
    }
    kept_bytes_ -= held->second.answer.body.size();
    held->second.answer.body.clear();
    held->second.answer.body.shrink_to_fit();
    held->second.answer.body_dropped = true;
    held->second.answer.result.reason = "the request ran; its answer is no longer kept";
  }
}

void intent_registrar::compact_expiries() {
  // Keys that are recorded again after a withdrawal leave obsolete entries in the queue.
  if (expiries_.size() <= 4 * options_.max_intents + key_range_count) {
    return;
  }
  std::vector<expiry> current;
  for (std::uint32_t index = 0; index < key_range_count; ++index) {
    for (const auto& [key, held] : ranges_[index].intents) {
      current.push_back({.at = held.expires, .range = index, .key = key});
    }
  }
  expiries_ = decltype(expiries_){std::greater<>{}, std::move(current)};
}

void intent_registrar::expire(instant now) {
  while (!expiries_.empty() && expiries_.top().at <= now) {
    const auto due = expiries_.top();
    expiries_.pop();
    auto& range = ranges_[due.range];
    const auto held = range.intents.find(due.key);
    if (held != range.intents.end() && held->second.expires <= now) {
      erase(range, held);
    }
  }
}

void intent_registrar::adopt(const view& adopted, instant now, intent_actions& out) {
  if (adopted.number <= view_.number) {
    return;
  }
  const auto before =
      tables_.empty() ? registrar_table{} : table_at(view_.number).value_or(registrar_table{});
  view_ = adopted;
  while (tables_.size() > max_view_changes) {
    tables_.erase(tables_.begin());
  }
  // The changes of the new view may cover older views that could not be reconstructed before.
  std::erase_if(tables_, [](const auto& entry) { return !entry.second.has_value(); });
  pending_.clear();
  update_majority();
  for (std::uint32_t index = 0; index < key_range_count; ++index) {
    auto& range = ranges_[index];
    if (!table_at(view_.number)->is_registrar(index, options_.self.id)) {
      range.state = phase::none;
      drop_if_confirmed(index);
      continue;
    }
    const bool was_ready = range.state == phase::ready;
    enter_range(index, now, out);
    if (was_ready && range.state == phase::ready) {
      notify_former_registrars(index, before.at(index), out);
    }
  }
}

void intent_registrar::enter_range(std::uint32_t index, instant now, intent_actions& out) {
  auto& range = ranges_[index];
  auto source = find_source(index, view_.number);
  if (has_range(range, source.number)) {
    range.source = std::move(source);
    range.state = phase::ready;
    range.ready_in = view_.number;
    range.dropped = false;
    return;
  }
  if (range.state != phase::pending || range.source.number != source.number) {
    range.source = std::move(source);
    range.sources_gone_since.reset();
  }
  range.requested_from.reset();
  range.cursor = {};
  range.pending_in = view_.number;
  range.state = phase::pending;
  reset_request_backoff(index, now);
  pending_.push_back(index);
  advance_transfer(index, now, out);
}

void intent_registrar::notify_former_registrars(std::uint32_t index, const registrar_pair& before,
                                                intent_actions& out) {
  const auto& current = table_at(view_.number);
  for (std::size_t position = 0; position < before.count; ++position) {
    const auto& former = before.members.at(position);
    if (!current->is_registrar(index, former.id)) {
      peer::transfer_intents done;
      done.kind = transfer_kind::completed;
      done.range = index;
      done.target = view_.number;
      out.emplace_back(send_intent_message{.to = former, .message = std::move(done)});
    }
  }
}

const std::optional<registrar_table>& intent_registrar::table_at(view_number number) {
  const auto found = tables_.find(number);
  if (found != tables_.end()) {
    return found->second;
  }
  auto members = members_at(view_, number);
  auto table = members ? std::optional<registrar_table>{std::in_place, *std::move(members)} : std::nullopt;
  return tables_.emplace(number, std::move(table)).first->second;
}

registrar_pair intent_registrar::current_registrars(std::uint32_t index) {
  return table_at(view_.number)->at(index);
}

intent_registrar::range_source intent_registrar::find_source(std::uint32_t index, view_number below) {
  const auto& range = ranges_[index];
  for (auto number = below.value() - 1; number > 0; --number) {
    const view_number older{number};
    const auto& table = table_at(older);
    if (!table) {
      // The known changes do not go back to this view, so its registrars are unknown.
      return {.number = older, .registrars = {}, .unable = {}};
    }
    if (range.ready_in >= older || !table->is_registrar(index, options_.self.id)) {
      const auto pair = table->at(index);
      const auto end = pair.members.begin() + static_cast<std::ptrdiff_t>(pair.count);
      return {.number = older, .registrars = {pair.members.begin(), end}, .unable = {}};
    }
    if (range.pending_in == older) {
      return range.source;
    }
  }
  return {};
}

bool intent_registrar::has_range(const range_state& range, view_number source_view) {
  return source_view == view_number{} || (range.ready_in >= source_view && !range.dropped);
}

void intent_registrar::become_ready(std::uint32_t index, intent_actions& out) {
  auto& range = ranges_[index];
  range.state = phase::ready;
  range.ready_in = view_.number;
  range.dropped = false;
  range.requested_from.reset();
  range.sources_gone_since.reset();
  std::erase(pending_, index);
  limit_kept_bytes();
  registrar_pair former;
  for (const auto& member : range.source.registrars) {
    if (former.count < former.members.size()) {
      former.members.at(former.count++) = member;
    }
  }
  notify_former_registrars(index, former, out);
}

void intent_registrar::become_tainted(std::uint32_t index, instant now, intent_actions& out) {
  ranges_[index].tainted_until = now + options_.key_lifetime;
  become_ready(index, out);
}

void intent_registrar::set_live(const std::vector<live_member>& members, instant now) {
  live_.clear();
  live_incarnations_.clear();
  for (const auto& member : members) {
    live_.insert(member.info.id);
    live_incarnations_[member.info.id.vm] = member.info.id.incarnation;
  }
  update_majority();
  for (const auto index : pending_) {
    if (!ranges_[index].requested_from) {
      reset_request_backoff(index, now);
    }
  }
}

void intent_registrar::set_vm_list(const std::vector<vm_list_entry>& vms) {
  listed_vms_.emplace();
  for (const auto& entry : vms) {
    listed_vms_->insert(entry.vm);
  }
}

void intent_registrar::fence(instant until) {
  fenced_until_ = std::max(fenced_until_, until);
  for (const auto index : pending_) {
    ranges_[index].sources_gone_since.reset();
  }
}

void intent_registrar::tick(instant now, intent_actions& out) {
  expire(now);
  const auto pending = pending_;
  for (const auto index : pending) {
    advance_transfer(index, now, out);
  }
}

void intent_registrar::advance_transfer(std::uint32_t index, instant now, intent_actions& out) {
  auto& range = ranges_[index];
  if (now < range.next_check) {
    return;
  }
  range.next_check = now + check_interval;
  if (!sources_gone(range.source) || now < fenced_until_) {
    range.sources_gone_since.reset();
  } else if (!range.sources_gone_since) {
    range.sources_gone_since = now;
  } else if (now - *range.sources_gone_since >= options_.taint_delay &&
             others_cannot_acknowledge(range.source)) {
    become_tainted(index, now, out);
    return;
  }
  if (now >= range.next_request) {
    request_range(index, now, out);
  }
  range.next_check = std::min(range.next_check, range.next_request);
}

std::vector<member_info> intent_registrar::candidates(std::uint32_t index) {
  std::vector<member_info> result;
  const auto& range = ranges_[index];
  for (const auto& member : range.source.registrars) {
    if (live_.contains(member.id) && !contains(range.source.unable, member.id)) {
      result.push_back(member);
    }
  }
  const auto pair = current_registrars(index);
  for (std::size_t position = 0; position < pair.count; ++position) {
    // The other registrar of the current view may have received the range already. A dispatch in the
    // current view needs this VM too, so that copy is as complete as the one of the source.
    const auto& member = pair.members.at(position);
    const auto same = [&](const auto& other) { return other.id == member.id; };
    if (member.id != options_.self.id && std::none_of(result.begin(), result.end(), same)) {
      result.push_back(member);
    }
  }
  return result;
}

void intent_registrar::request_range(std::uint32_t index, instant now, intent_actions& out) {
  auto& range = ranges_[index];
  const auto choices = candidates(index);
  range.next_request = now + transfer_timeout + range.request_backoff;
  range.request_backoff = std::min(max_request_backoff, 2 * range.request_backoff);
  if (choices.empty()) {
    range.requested_from.reset();
    range.cursor = {};
    return;
  }
  range.requested_from = choices[range.next_candidate++ % choices.size()];
  range.cursor = {};
  peer::transfer_intents request;
  request.kind = transfer_kind::request;
  request.range = index;
  request.target = view_.number;
  request.source = range.source.number;
  out.emplace_back(send_intent_message{.to = *range.requested_from, .message = std::move(request)});
}

void intent_registrar::reset_request_backoff(std::uint32_t index, instant now) {
  ranges_[index].request_backoff = options_.retry_interval;
  ranges_[index].next_request = now;
  ranges_[index].next_check = now;
}

void intent_registrar::on_request(const member_id& from, const peer::transfer_intents& message, instant now,
                                  intent_actions& out) {
  const auto& range = ranges_[message.range];
  peer::transfer_intents reply;
  reply.range = message.range;
  reply.target = message.target;
  reply.source = message.source;
  reply.cursor = message.cursor;
  reply.kind = transfer_kind::retry;
  // A VM that has not reached the target view could still acknowledge in the source view.
  const bool left_source = view_.number >= message.target && view_.number > message.source;
  if (left_source && has_range(range, message.source)) {
    reply = make_part(message, now);
  } else if (left_source) {
    const auto& table = table_at(message.source);
    const bool was_registrar = table && table->is_registrar(message.range, options_.self.id);
    if (was_registrar && range.ready_in < message.source) {
      const bool waits_for_older_view = range.state == phase::pending && range.source.number < message.source;
      const auto source = waits_for_older_view ? range.source : find_source(message.range, message.source);
      const bool source_known = source.number == view_number{} || !source.registrars.empty();
      reply.kind = source_known ? transfer_kind::redirect : transfer_kind::unable;
      reply.redirect_view = source.number;
      reply.redirect_registrars = source.registrars;
    } else if (range.state != phase::pending) {
      reply.kind = transfer_kind::unable;
    }
  }
  send(from, std::move(reply), out);
}

peer::transfer_intents intent_registrar::make_part(const peer::transfer_intents& request, instant now) const {
  const auto& range = ranges_[request.range];
  peer::transfer_intents part;
  part.kind = transfer_kind::entries;
  part.range = request.range;
  part.target = request.target;
  part.source = request.source;
  part.cursor = request.cursor;
  part.taint = std::max(duration{}, std::chrono::duration_cast<duration>(range.tainted_until - now));
  std::size_t bytes = 0;
  auto it = range.intents.upper_bound(request.cursor);
  for (; it != range.intents.end(); ++it) {
    if (bytes >= peer::transfer_part_bytes || part.entries.size() >= peer::max_transfer_entries) {
      break;
    }
    const auto& [key, held] = *it;
    bytes += key.value().size() + held.answer.body.size() + sizeof(intent);
    part.entries.push_back({.key = key,
                            .dispatch = held.dispatch,
                            .state = held.state,
                            .remaining = std::max(duration{}, held.expires - now),
                            .answer = held.answer});
  }
  part.last = it == range.intents.end();
  return part;
}

void intent_registrar::on_entries(const peer::transfer_intents& message, instant now, intent_actions& out) {
  auto& range = ranges_[message.range];
  for (const auto& entry : message.entries) {
    if (key_range_of(entry.key) == message.range && !merge(message.range, entry, now)) {
      // A tainted range acknowledges no repeat of an unknown key, so the missing entries are harmless.
      become_tainted(message.range, now, out);
      return;
    }
  }
  if (message.taint > duration{}) {
    range.tainted_until = std::max(range.tainted_until, now + std::min(message.taint, options_.key_lifetime));
  }
  if (message.last || message.entries.empty()) {
    become_ready(message.range, out);
    return;
  }
  range.cursor = message.entries.back().key;
  range.next_request = now + transfer_timeout;
  peer::transfer_intents request;
  request.kind = transfer_kind::request;
  request.range = message.range;
  request.target = message.target;
  request.source = message.source;
  request.cursor = range.cursor;
  out.emplace_back(send_intent_message{.to = *range.requested_from, .message = std::move(request)});
}

void intent_registrar::on_redirect(const peer::transfer_intents& message, instant now, intent_actions& out) {
  auto& range = ranges_[message.range];
  if (message.redirect_view >= range.source.number) {
    return;
  }
  range.source = {.number = message.redirect_view, .registrars = message.redirect_registrars, .unable = {}};
  range.requested_from.reset();
  range.cursor = {};
  range.sources_gone_since.reset();
  if (has_range(range, range.source.number)) {
    become_ready(message.range, out);
    return;
  }
  request_range(message.range, now, out);
}

void intent_registrar::on_completed(const member_id& from, const peer::transfer_intents& message) {
  auto& range = ranges_[message.range];
  if (message.target < std::max(view_.number, range.confirmed_view)) {
    return;
  }
  // The confirmation may arrive before this VM adopts the view that it belongs to.
  if (message.target > range.confirmed_view) {
    range.confirmed_view = message.target;
    range.confirmed.clear();
  }
  if (!contains(range.confirmed, from) && range.confirmed.size() < registrar_pair{}.members.size()) {
    range.confirmed.push_back(from);
  }
  drop_if_confirmed(message.range);
}

void intent_registrar::drop_if_confirmed(std::uint32_t index) {
  auto& range = ranges_[index];
  if (range.state != phase::none || range.confirmed_view != view_.number) {
    return;
  }
  const auto pair = current_registrars(index);
  const auto holds = [&](const member_info& member) { return contains(range.confirmed, member.id); };
  if (pair.count == 0 ||
      !std::all_of(pair.members.begin(), pair.members.begin() + static_cast<std::ptrdiff_t>(pair.count),
                   holds)) {
    return;
  }
  // Registrars of later views request the range from these registrars.
  while (!range.intents.empty()) {
    erase(range, range.intents.begin());
  }
  range.dropped = true;
}

bool intent_registrar::merge(std::uint32_t index, const peer::intent_entry& entry, instant now) {
  auto& range = ranges_[index];
  const auto expires = now + std::min(entry.remaining, options_.key_lifetime);
  const auto held = range.intents.find(entry.key);
  if (held == range.intents.end() && intents_ >= options_.max_intents) {
    return false;
  }
  if (held != range.intents.end()) {
    const bool same = held->second.dispatch == entry.dispatch;
    const bool local_wins = same ? held->second.state != intent_state::recorded
                                 : precedence(held->second.state) > precedence(entry.state) ||
                                       held->second.state == intent_state::finished;
    if (local_wins) {
      return true;
    }
    kept_bytes_ -= held->second.answer.body.size();
    held->second.answer = {};
  }
  intent value{.dispatch = entry.dispatch,
               .state = entry.state,
               .expires = held == range.intents.end() ? expires : std::max(expires, held->second.expires),
               .answer = {},
               .waiters = {}};
  insert(index, entry.key, std::move(value));
  if (entry.state == intent_state::finished) {
    store_answer(index, entry.key, range.intents.find(entry.key)->second, entry.answer);
  }
  return true;
}

bool intent_registrar::sources_gone(const range_source& source) const {
  return std::all_of(source.registrars.begin(), source.registrars.end(), [&](const auto& member) {
    return !live_.contains(member.id) || contains(source.unable, member.id);
  });
}

bool intent_registrar::has_newer_incarnation(const member_id& id) const {
  // A VM runs one process at a time, so a newer incarnation proves that the older one has ended. Without
  // this rule, ranges would stay unavailable forever after all processes were killed at once.
  const auto found = live_incarnations_.find(id.vm);
  return found != live_incarnations_.end() && found->second > id.incarnation;
}

bool intent_registrar::others_cannot_acknowledge(const range_source& source) {
  // A registrar acknowledges only while a majority of its view is live. If a majority of the source view
  // is live here, replaced by newer processes or removed from the platform, no other partition has one.
  auto number = source.number;
  while (!table_at(number) && number < view_.number) {
    number = number.next();
  }
  const auto& members = table_at(number)->members();
  const auto accounted = std::count_if(members.begin(), members.end(), [&](const auto& member) {
    return live_.contains(member.id) || has_newer_incarnation(member.id) ||
           (listed_vms_ && !listed_vms_->contains(member.id.vm));
  });
  return 2 * static_cast<std::size_t>(accounted) > members.size();
}

bool intent_registrar::serves(const range_state& range, instant now) const {
  return range.state == phase::ready && now >= fenced_until_ && has_majority_;
}

void intent_registrar::update_majority() {
  const auto present = std::count_if(view_.members.begin(), view_.members.end(),
                                     [&](const auto& member) { return live_.contains(member.id); });
  has_majority_ = 2 * static_cast<std::size_t>(present) > view_.members.size();
}

std::size_t intent_registrar::untransferred_ranges() const {
  return static_cast<std::size_t>(std::count_if(ranges_.begin(), ranges_.end(), [](const auto& range) {
    return range.state == phase::none && range.ready_in != view_number{} && !range.dropped;
  }));
}

std::size_t intent_registrar::owned_ranges() const {
  return static_cast<std::size_t>(std::count_if(
      ranges_.begin(), ranges_.end(), [](const auto& range) { return range.state != phase::none; }));
}

std::size_t intent_registrar::ready_ranges() const {
  return static_cast<std::size_t>(std::count_if(
      ranges_.begin(), ranges_.end(), [](const auto& range) { return range.state == phase::ready; }));
}

}  // namespace rhubarbpath::detail

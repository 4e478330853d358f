#include "rhubarbpath/coordination/view_keeper.hpp"

#include <algorithm>
#include <utility>

#include "hashing.hpp"

namespace rhubarbpath {

namespace {

bool is_live(const std::vector<live_member>& live, const member_id& id) {
  return std::any_of(live.begin(), live.end(), [&](const auto& member) { return member.info.id == id; });
}

bool by_id(const member_info& left, const member_info& right) {
  return left.id < right.id;
}

/// Keeps the highest incarnation of each VM; the input is ordered by id.
std::vector<member_info> one_per_vm(const std::vector<member_info>& members) {
  std::vector<member_info> result;
  for (const auto& member : members) {
    if (!result.empty() && result.back().id.vm == member.id.vm) {
      result.back() = member;
    } else {
      result.push_back(member);
    }
  }
  return result;
}

}  // namespace

view_keeper::view_keeper(options opts, random_source& random) : options_{std::move(opts)}, random_{random} {
  next_read_ = instant{};
}

void view_keeper::handle(const view_keeper_event& event, instant now, std::vector<view_keeper_action>& out) {
  std::visit([&](const auto& value) { on(value, now, out); }, event);
  if (pending_ && now >= pending_->expires) {
    // The call's fate is unknown; the row itself tells.
    pending_.reset();
    plan_again_ = true;
    read_at(now);
  }
  if (plan_again_) {
    plan_again_ = false;
    plan(now);
  }
  if (pending_) {
    return;
  }
  if (next_read_ && now >= *next_read_) {
    call(call_kind::read, store_get{.key = options_.key}, now, out);
  } else if (propose_at_ && now >= *propose_at_) {
    propose(now, out);
  }
}

std::optional<instant> view_keeper::next_deadline() const {
  if (pending_) {
    return pending_->expires;
  }
  std::optional<instant> deadline = next_read_;
  if (propose_at_ && (!deadline || *propose_at_ < *deadline)) {
    deadline = propose_at_;
  }
  return deadline;
}

void view_keeper::on(const live_list_changed& event, instant, actions&) {
  live_ = event.members;
  live_known_ = true;
  plan_again_ = true;
}

void view_keeper::on(const staleness_changed& event, instant now, actions&) {
  if (event.stale) {
    // A proposal made before the pause may be out of date.
    propose_at_.reset();
    planned_.clear();
    plan_again_ = true;
  }
  read_at(now);
}

void view_keeper::on(const view_heard& event, instant now, actions&) {
  if (event.number > view_.number) {
    read_at(now);
  }
}

void view_keeper::on(const row_answered& event, instant now, actions& out) {
  if (!pending_ || pending_->id != event.call) {
    return;
  }
  const auto call = *std::move(pending_);
  pending_.reset();
  plan_again_ = true;
  if (call.kind == call_kind::write) {
    on_written(call, event.response, now, out);
  } else {
    on_read(event.response, now, out);
  }
}

void view_keeper::on(const view_keeper_tick&, instant, actions&) {}

void view_keeper::on_read(const store_response& response, instant now, actions& out) {
  const auto* const rows = std::get_if<store_rows>(&response);
  if (rows == nullptr) {
    read_at(now + random_.jittered(options_.retry_interval));
    return;
  }
  const auto rank = rank_of(view_.members, options_.self.vm);
  const bool refreshes = !in_view() || !rank || *rank < 2;
  next_read_.reset();
  if (refreshes) {
    next_read_ = now + random_.jittered(options_.refresh_interval);
  }
  if (rows->rows.empty()) {
    row_known_ = row_known_ || view_.number == view_number{};
    return;
  }
  const auto& row = rows->rows.front();
  const auto found = decode_view(row.value);
  if (!found.ok() || found->number < view_.number) {
    // A stale read. The row with the view in force has been seen before.
    return;
  }
  row_known_ = true;
  at_ = std::max(at_, row.at);
  adopt(*found, now, out);
}

void view_keeper::on_written(const pending_call& call, const store_response& response, instant now,
                             actions& out) {
  if (const auto* const written = std::get_if<store_written>(&response)) {
    at_ = written->at;
    adopt(call.proposed, now, out);
    return;
  }
  const auto* const failure = std::get_if<store_failure>(&response);
  const bool at_once =
      failure != nullptr && (*failure == store_failure::conflict || *failure == store_failure::unknown);
  // Whether or not the write took effect, the row shows the view that did.
  read_at(at_once ? now : now + random_.jittered(options_.retry_interval));
}

void view_keeper::adopt(const view& found, instant, actions& out) {
  if (found.number <= view_.number) {
    return;
  }
  view_ = found;
  propose_at_.reset();
  planned_.clear();
  out.emplace_back(view_adopted{.adopted = view_});
}

void view_keeper::read_at(instant when) {
  if (!next_read_ || when < *next_read_) {
    next_read_ = when;
  }
}

std::vector<member_info> view_keeper::wanted_members() const {
  std::vector<member_info> wanted;
  for (const auto& member : live_) {
    if (!member.draining) {
      wanted.push_back(member.info);
    }
  }
  if (!in_view() && view_.number != view_number{}) {
    // A VM outside the view only adds members: it may have been removed because it was cut off.
    for (const auto& member : view_.members) {
      const auto same_vm = [&](const auto& other) { return other.id.vm == member.id.vm; };
      if (std::none_of(wanted.begin(), wanted.end(), same_vm)) {
        wanted.push_back(member);
      }
    }
  }
  std::sort(wanted.begin(), wanted.end(), by_id);
  return one_per_vm(wanted);
}

void view_keeper::plan(instant now) {
  if (!live_known_ || !row_known_) {
    return;
  }
  auto wanted = wanted_members();
  if (wanted.empty() || wanted == view_.members || wanted.size() > max_view_members) {
    propose_at_.reset();
    planned_.clear();
    return;
  }
  if (propose_at_ && wanted == planned_) {
    return;
  }
  std::vector<member_info> live;
  for (const auto& member : live_) {
    live.push_back(member.info);
  }
  const auto rank = rank_of(live, options_.self.vm).value_or(0);
  const auto present =
      static_cast<std::size_t>(std::count_if(view_.members.begin(), view_.members.end(),
                                             [&](const auto& member) { return is_live(live_, member.id); }));
  const bool patient =
      in_view() ? 2 * present <= view_.members.size() : present == 0 && view_.number != view_number{};
  const auto wait = options_.settle + options_.rank_delay * static_cast<duration::rep>(rank) +
                    (patient ? options_.minority_patience : duration{});
  planned_ = std::move(wanted);
  propose_at_ = now + wait;
}

void view_keeper::propose(instant now, actions& out) {
  auto proposed = next_view(view_, planned_);
  auto text = encode_view(proposed);
  const write_id id{detail::mix(detail::stable_hash(options_.self.vm.value()),
                                detail::mix(options_.self.incarnation.value(), next_call_))};
  propose_at_.reset();
  planned_.clear();
  call(call_kind::write,
       store_put{.key = options_.key, .value = std::move(text), .expected = at_, .id = id, .lease = {}}, now,
       out);
  pending_->proposed = std::move(proposed);
  pending_->write = id;
}

void view_keeper::call(call_kind kind, store_request request, instant now, actions& out) {
  const call_id id{next_call_++};
  pending_ = pending_call{
      .id = id, .kind = kind, .expires = now + options_.call_timeout, .proposed = {}, .write = {}};
  if (kind == call_kind::read) {
    next_read_.reset();
  }
  out.emplace_back(row_call{.call = id, .request = std::move(request)});
}

bool view_keeper::in_view() const {
  return view_.contains(options_.self);
}

}  // namespace rhubarbpath

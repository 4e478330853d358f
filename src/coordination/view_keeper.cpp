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

/// Returns the member with the highest incarnation of each VM. `members` must be ordered by id.
std::vector<member_info> latest_incarnations(const std::vector<member_info>& members) {
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
    // A write that timed out may or may not have taken effect; reading the row shows which.
    pending_.reset();
    proposal_inputs_changed_ = true;
    schedule_read(now);
  }
  if (proposal_inputs_changed_) {
    proposal_inputs_changed_ = false;
    plan_proposal(now);
  }
  if (pending_) {
    return;
  }
  if (next_read_ && now >= *next_read_) {
    send_call(call_kind::read, store_get{.key = options_.key}, now, out);
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
  proposal_inputs_changed_ = true;
}

void view_keeper::on(const staleness_changed& event, instant now, actions&) {
  if (event.stale) {
    // A proposal that was planned before the pause may be outdated.
    propose_at_.reset();
    planned_members_.clear();
    proposal_inputs_changed_ = true;
  }
  schedule_read(now);
}

void view_keeper::on(const view_number_received& event, instant now, actions&) {
  if (event.number > view_.number) {
    schedule_read(now);
  }
}

void view_keeper::on(const store_row_answered& event, instant now, actions& out) {
  if (!pending_ || pending_->id != event.call) {
    return;
  }
  const auto call = *std::move(pending_);
  pending_.reset();
  proposal_inputs_changed_ = true;
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
    schedule_read(now + random_.jittered(options_.retry_interval));
    return;
  }
  const auto rank = rank_of(view_.members, options_.self.vm);
  const bool reads_periodically = !in_view() || !rank || *rank < 2;
  next_read_.reset();
  if (reads_periodically) {
    next_read_ = now + random_.jittered(options_.refresh_interval);
  }
  if (rows->rows.empty()) {
    row_known_ = row_known_ || view_.number == view_number{};
    return;
  }
  const auto& row = rows->rows.front();
  const auto found = decode_view(row.value);
  if (!found.ok() || found->number < view_.number) {
    // A malformed row or a stale read. After a stale read, the row of the current view is already known.
    return;
  }
  row_known_ = true;
  row_revision_ = std::max(row_revision_, row.at);
  adopt(*found, now, out);
}

void view_keeper::on_written(const pending_call& call, const store_response& response, instant now,
                             actions& out) {
  if (const auto* const written = std::get_if<store_written>(&response)) {
    row_revision_ = written->at;
    adopt(call.proposed, now, out);
    return;
  }
  const auto* const failure = std::get_if<store_failure>(&response);
  const bool read_immediately =
      failure != nullptr && (*failure == store_failure::conflict || *failure == store_failure::unknown);
  // The write may or may not have taken effect; reading the row shows which view is stored.
  schedule_read(read_immediately ? now : now + random_.jittered(options_.retry_interval));
}

void view_keeper::adopt(const view& found, instant, actions& out) {
  if (found.number <= view_.number) {
    return;
  }
  view_ = found;
  propose_at_.reset();
  planned_members_.clear();
  out.emplace_back(view_adopted{.adopted = view_});
}

void view_keeper::schedule_read(instant when) {
  if (!next_read_ || when < *next_read_) {
    next_read_ = when;
  }
}

std::vector<member_info> view_keeper::desired_members() const {
  std::vector<member_info> desired;
  for (const auto& member : live_) {
    if (!member.draining) {
      desired.push_back(member.info);
    }
  }
  if (!in_view() && view_.number != view_number{}) {
    // A VM outside the view only adds members, because it may have been removed while it was partitioned
    // off.
    for (const auto& member : view_.members) {
      const auto same_vm = [&](const auto& other) { return other.id.vm == member.id.vm; };
      if (std::none_of(desired.begin(), desired.end(), same_vm)) {
        desired.push_back(member);
      }
    }
  }
  std::sort(desired.begin(), desired.end(), by_id);
  return latest_incarnations(desired);
}

void view_keeper::plan_proposal(instant now) {
  if (!live_known_ || !row_known_) {
    return;
  }
  auto desired = desired_members();
  if (desired.empty() || desired == view_.members || desired.size() > max_view_members) {
    propose_at_.reset();
    planned_members_.clear();
    return;
  }
  if (propose_at_ && desired == planned_members_) {
    return;
  }
  std::vector<member_info> live;
  for (const auto& member : live_) {
    live.push_back(member.info);
  }
  const auto rank = rank_of(live, options_.self.vm).value_or(0);
  const auto live_in_view =
      static_cast<std::size_t>(std::count_if(view_.members.begin(), view_.members.end(),
                                             [&](const auto& member) { return is_live(live_, member.id); }));
  const bool possibly_isolated = in_view() ? 2 * live_in_view <= view_.members.size()
                                           : live_in_view == 0 && view_.number != view_number{};
  const auto wait = options_.settle + options_.rank_delay * static_cast<duration::rep>(rank) +
                    (possibly_isolated ? options_.minority_delay : duration{});
  planned_members_ = std::move(desired);
  propose_at_ = now + wait;
}

void view_keeper::propose(instant now, actions& out) {
  auto proposed = next_view(view_, planned_members_);
  auto text = encode_view(proposed);
  const write_id id{detail::mix(detail::stable_hash(options_.self.vm.value()),
                                detail::mix(options_.self.incarnation.value(), next_call_))};
  propose_at_.reset();
  planned_members_.clear();
  send_call(
      call_kind::write,
      store_put{
          .key = options_.key, .value = std::move(text), .expected = row_revision_, .id = id, .lease = {}},
      now, out);
  pending_->proposed = std::move(proposed);
  pending_->write = id;
}

void view_keeper::send_call(call_kind kind, store_request request, instant now, actions& out) {
  const call_id id{next_call_++};
  pending_ = pending_call{
      .id = id, .kind = kind, .expires = now + options_.call_timeout, .proposed = {}, .write = {}};
  if (kind == call_kind::read) {
    next_read_.reset();
  }
  out.emplace_back(store_row_call{.call = id, .request = std::move(request)});
}

bool view_keeper::in_view() const {
  return view_.contains(options_.self);
}

}  // namespace rhubarbpath

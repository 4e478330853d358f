#include "rhubarbpath/coordination/config_distributor.hpp"

#include <algorithm>
#include <utility>

namespace rhubarbpath {

namespace {

/// Number of members, in rank order, that watch the store.
constexpr std::size_t watcher_count = 2;

}  // namespace

config_distributor::config_distributor(options opts, random_source& random)
    : options_{std::move(opts)}, random_{random}, confirmation_{options_.confirmation} {}

void config_distributor::handle(const config_distributor_event& event, instant now,
                                std::vector<config_distributor_action>& out) {
  if (!started_) {
    started_ = true;
    last_heartbeat_at_ = now;
    next_call_at_ = now;
  }
  last_handled_at_ = now;
  std::visit([&](const auto& value) { on(value, now, out); }, event);
  if (call_ && now >= call_->expires) {
    // The answer was lost. A read returns any change that the answer would have reported.
    call_.reset();
    read_before_watch_ = true;
    next_call_at_ = now;
  }
  if (fetch_ && now >= fetch_->expires) {
    announced_.erase(fetch_->from);
    fetch_.reset();
  }
  fetch_next(now, out);
  if (!call_ && is_watcher(now) && (!next_call_at_ || *next_call_at_ > now + options_.retry_interval * 2)) {
    next_call_at_ = now;
  }
  if (!call_ && next_call_at_ && now >= *next_call_at_) {
    call_store(now, out);
  }
}

std::optional<instant> config_distributor::next_deadline() const {
  if (!started_) {
    return instant{};
  }
  auto deadline = instant::max();
  if (call_) {
    deadline = call_->expires;
  } else if (next_call_at_) {
    deadline = *next_call_at_;
  }
  if (fetch_) {
    deadline = std::min(deadline, fetch_->expires);
  }
  if (const auto heartbeat_deadline = last_heartbeat_at_ + options_.heartbeat_timeout;
      !call_ && heartbeat_deadline > last_handled_at_) {
    deadline = std::min(deadline, heartbeat_deadline);
  }
  return deadline;
}

peer::document_stamp config_distributor::stamp() const {
  return {.version = current_.version, .digest = current_.digest};
}

void config_distributor::on(const document_announced& event, instant now, actions& out) {
  last_heartbeat_at_ = now;
  if (event.stamp.version > current_.version) {
    announced_[event.from] = event.stamp;
    return;
  }
  announced_.erase(event.from);
  if (event.stamp.version == current_.version && event.stamp.digest != current_.digest) {
    out.emplace_back(document_conflict{.stamp = event.stamp});
  }
}

void config_distributor::on(const fetch_received& event, instant, actions& out) {
  if (current_.version != document_version{} && current_.version >= event.content.version) {
    out.emplace_back(send_document{.to = event.from, .content = {.content = current_}});
  }
}

void config_distributor::on(const document_received& event, instant, actions& out) {
  const auto& found = event.content.content;
  const bool expected = fetch_ && fetch_->from == event.from;
  if (expected) {
    fetch_.reset();
  }
  announced_.erase(event.from);
  if (found.version > current_.version && options_.verify(found)) {
    adopt(found, out);
  }
}

void config_distributor::on(const view_adopted& event, instant, actions&) {
  view_size_ = std::max<std::size_t>(1, event.adopted.members.size());
  rank_.reset();
  if (event.adopted.contains(options_.self)) {
    rank_ = rank_of(event.adopted.members, options_.self.vm);
  }
}

void config_distributor::on(const staleness_changed& event, instant now, actions&) {
  if (!event.stale) {
    return;
  }
  // The answer to a watch that began before the pause may be lost, so read the row at once.
  read_before_watch_ = true;
  next_call_at_ = now;
  call_.reset();
}

void config_distributor::on(const store_row_answered& event, instant now, actions& out) {
  if (!call_ || call_->id != event.call) {
    return;
  }
  const auto call = *std::exchange(call_, std::nullopt);
  const bool was_watch = call.watch;
  const auto known_revision = row_revision_;
  if (std::holds_alternative<store_failure>(event.response)) {
    read_before_watch_ = true;
    next_call_at_ = now + random_.jittered(options_.retry_interval);
    return;
  }
  if (const auto* const rows = std::get_if<store_rows>(&event.response);
      rows != nullptr && !rows->rows.empty()) {
    const auto& row = rows->rows.front();
    row_revision_ = std::max(row_revision_, row.at);
    const auto found = options_.decode_row(row);
    if (found && found->version > current_.version && options_.verify(*found)) {
      adopt(*found, out);
    } else if (found && found->version == current_.version && found->digest != current_.digest) {
      out.emplace_back(document_conflict{.stamp = {.version = found->version, .digest = found->digest}});
    }
  }
  confirm(call, event.response, now);
  read_before_watch_ = false;
  schedule_next_call(now);
  const bool changed = !std::holds_alternative<store_unchanged>(event.response);
  if (was_watch && changed && row_revision_ == known_revision) {
    // The watch returned a row that is already known. Watching again at once would return the same row.
    next_call_at_ = now + random_.jittered(options_.retry_interval);
  }
}

void config_distributor::on(const document_check_requested&, instant now, actions&) {
  // A watch in progress reports a change, and its loss is noticed before the document may be outdated.
  if (!call_ && confirmation_.check_due(now)) {
    read_before_watch_ = true;
    next_call_at_ = now;
  }
}

void config_distributor::on(const config_distributor_tick&, instant, actions&) {}

void config_distributor::confirm(const pending_call& call, const store_response& response, instant now) {
  if (std::holds_alternative<store_unchanged>(response)) {
    confirmation_.confirm(std::min(now, call.sent_at + options_.watch_wait));
    return;
  }
  const auto* const rows = std::get_if<store_rows>(&response);
  if (rows == nullptr) {
    return;
  }
  if (!rows->rows.empty()) {
    const auto& row = rows->rows.front();
    const auto found = options_.decode_row(row);
    const bool outdated_read = row.at < row_revision_;
    if (outdated_read || (found && found->version > current_.version)) {
      return;
    }
  }
  confirmation_.confirm(call.sent_at);
}

void config_distributor::adopt(const versioned_document& found, actions& out) {
  current_ = found;
  for (auto it = announced_.begin(); it != announced_.end();) {
    it = it->second.version <= current_.version ? announced_.erase(it) : std::next(it);
  }
  out.emplace_back(document_adopted{.document = current_});
}

void config_distributor::fetch_next(instant now, actions& out) {
  if (fetch_ || announced_.empty()) {
    return;
  }
  const auto newest = std::max_element(
      announced_.begin(), announced_.end(),
      [](const auto& left, const auto& right) { return left.second.version < right.second.version; });
  fetch_ = pending_fetch{.from = newest->first, .expires = now + options_.fetch_timeout};
  out.emplace_back(send_fetch{.to = newest->first, .content = {.version = newest->second.version}});
}

void config_distributor::call_store(instant now, actions& out) {
  const call_id id{next_call_++};
  next_call_at_.reset();
  // A watch needs a revision to start from. A VM that is not a watcher only reads.
  const bool watch = is_watcher(now) && !read_before_watch_;
  const auto wait = watch ? options_.watch_wait + options_.watch_grace : options_.call_timeout;
  call_ = pending_call{.id = id, .watch = watch, .sent_at = now, .expires = now + wait};
  if (watch) {
    out.emplace_back(store_row_call{
        .call = id,
        .request = store_watch{.key = options_.key, .after = row_revision_, .wait = options_.watch_wait}});
  } else {
    out.emplace_back(store_row_call{.call = id, .request = store_get{.key = options_.key}});
  }
}

void config_distributor::schedule_next_call(instant now) {
  if (is_watcher(now)) {
    next_call_at_ = now;
    return;
  }
  read_before_watch_ = true;
  next_call_at_ =
      now + random_.jittered(options_.background_read_interval * static_cast<duration::rep>(view_size_));
}

bool config_distributor::is_watcher(instant now) const {
  return (rank_ && *rank_ < watcher_count) || now - last_heartbeat_at_ >= options_.heartbeat_timeout;
}

}  // namespace rhubarbpath

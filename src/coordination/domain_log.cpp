#include "rhubarbpath/coordination/domain_log.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <iterator>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace rhubarbpath {
namespace {

/// Numbers in keys have a fixed width, so that the key order of the store is the numeric order.
constexpr int index_digits = 20;
constexpr int part_digits = 6;

std::string zero_padded(std::uint64_t number, int digits) {
  std::string text = std::to_string(number);
  return std::string(
             static_cast<std::size_t>(digits) - std::min(text.size(), static_cast<std::size_t>(digits)),
             '0') +
         text;
}

/// Returns the row number that follows `prefix` in `key`, or nothing if the key has a different format.
std::optional<log_index> index_after(const std::string& key, const std::string& prefix) {
  if (key.size() < prefix.size() + index_digits || key.compare(0, prefix.size(), prefix) != 0) {
    return std::nullopt;
  }
  std::uint64_t number{0};
  if (!absl::SimpleAtoi(key.substr(prefix.size(), index_digits), &number)) {
    return std::nullopt;
  }
  return log_index{number};
}

}  // namespace

domain_log::domain_log(options opts, const log_value_codec& codec, random_source& random)
    : options_{std::move(opts)}, codec_{&codec}, random_{&random}, next_call_{options_.first_call} {}

void domain_log::handle(const domain_log_event& event, instant now, std::vector<domain_log_action>& out) {
  if (phase_ == phase::lost) {
    return;
  }
  std::visit([&](const auto& typed) { on(typed, now, out); }, event);
  run_timers(now, out);
}

void domain_log::on(const log_open_requested& /*event*/, instant /*now*/, actions& out) {
  if (phase_ == phase::closed) {
    start_replay(out);
  }
}

void domain_log::on(const log_append& event, instant now, actions& /*out*/) {
  queue_.push_back({.id = event.id, .entries = event.entries, .requested = now});
}

void domain_log::on(const log_successor_expected& event, instant now, actions& /*out*/) {
  successor_expected_ = event.expected;
  next_successor_poll_ = now;
}

void domain_log::on(const log_closed& /*event*/, instant /*now*/, actions& out) {
  cancel_calls(out);
  phase_ = phase::lost;
}

void domain_log::on(const tick& /*event*/, instant /*now*/, actions& /*out*/) {}

void domain_log::on(const store_call_result& event, instant now, actions& out) {
  const auto completes = [&](call_id& call) {
    if (call != event.id || call == call_id{}) {
      return false;
    }
    call = call_id{};
    return true;
  };
  if (completes(replay_call_)) {
    on_replay_result(event.response, now, out);
  } else if (completes(append_call_)) {
    on_append_result(event.response, now, out);
  } else if (completes(verify_call_)) {
    on_append_verified(event.response, out);
  } else if (completes(successor_call_)) {
    on_successor_polled(event.response, out);
  } else if (completes(snapshot_call_)) {
    on_snapshot_result(event.response, now, out);
  } else if (completes(delete_call_)) {
    // A failed deletion needs no retry: the next owner deletes the remaining rows.
    deletions_.pop_front();
  } else if (completes(garbage_call_)) {
    on_garbage_listed(event.response, now, out);
  }
}

void domain_log::run_timers(instant now, actions& out) {
  if (replay_at_ && *replay_at_ <= now && phase_ != phase::lost) {
    replay_at_.reset();
    start_replay(out);
  }
  if (phase_ != phase::open) {
    return;
  }
  flush(now, out);
  start_snapshot_if_due(now, out);
  delete_covered(now, out);
  poll_successor(now, out);
}

// Replay.

void domain_log::start_replay(actions& out) {
  state_ = {};
  parts_.clear();
  uncovered_rows_.clear();
  head_ = {};
  head_revision_ = {};
  last_row_ = {};
  phase_ = phase::reading_head;
  replay_call_ = make_call(store_get{.key = head_key()}, store_priority::log, out);
}

/// Restarts a replay whose log changed during the read, for example because the snapshot was replaced.
void domain_log::restart_replay(instant now) {
  constexpr duration base{20'000};
  constexpr int max_doublings = 5;
  replay_at_ = now + random_->jittered(base * (1 << std::min(replay_restarts_, max_doublings)));
  ++replay_restarts_;
}

void domain_log::on_replay_result(const store_response& response, instant now, actions& out) {
  if (phase_ == phase::opening) {
    on_epoch_written(response, now, out);
    return;
  }
  const auto* rows = std::get_if<store_rows>(&response);
  if (rows == nullptr) {
    restart_replay(now);
    return;
  }
  switch (phase_) {
    case phase::reading_head:
      on_head_read(*rows, out);
      return;
    case phase::reading_parts:
      on_part_read(*rows, now, out);
      return;
    case phase::listing:
      on_listed(*rows, now, out);
      return;
    case phase::reading_row:
      on_row_read(*rows, now, out);
      return;
    case phase::verifying:
      on_verified(*rows, now, out);
      return;
    default:
      return;
  }
}

void domain_log::on_head_read(const store_rows& rows, actions& out) {
  if (rows.rows.empty()) {
    list_rows(out);
    return;
  }
  const auto head = codec_->decode_head(rows.rows.front().value);
  if (!head.ok()) {
    report_lost(absl::StrCat("the snapshot head cannot be read: ", head.status().message()), true, true, out);
    return;
  }
  head_ = *head;
  head_revision_ = rows.rows.front().at;
  read_part(out);
}

void domain_log::read_part(actions& out) {
  phase_ = phase::reading_parts;
  const auto key = part_key(head_.covers, static_cast<int>(parts_.size()));
  replay_call_ = make_call(store_get{.key = key}, store_priority::log, out);
}

void domain_log::on_part_read(const store_rows& rows, instant now, actions& out) {
  if (rows.rows.empty()) {
    restart_replay(now);  // A newer snapshot has replaced this one.
    return;
  }
  parts_.push_back(rows.rows.front().value);
  if (parts_.size() < static_cast<std::size_t>(head_.parts)) {
    read_part(out);
    return;
  }
  auto snapshot = codec_->decode_snapshot(parts_);
  parts_.clear();
  if (!snapshot.ok()) {
    report_lost(absl::StrCat("the snapshot cannot be read: ", snapshot.status().message()), true, true, out);
    return;
  }
  state_ = std::move(snapshot->state);
  last_row_ = head_.covers;
  list_rows(out);
}

void domain_log::list_rows(actions& out) {
  phase_ = phase::listing;
  store_list list{.prefix = row_prefix(), .start = row_key(last_row_.next()), .limit = options_.replay_page};
  replay_call_ = make_call(std::move(list), store_priority::log, out);
}

void domain_log::on_listed(const store_rows& rows, instant now, actions& out) {
  for (const auto& row : rows.rows) {
    const auto index = index_after(row.key, row_prefix());
    if (!index || *index <= last_row_) {
      continue;
    }
    if (*index != last_row_.next()) {
      read_row(out);  // The list may be stale; only a get shows whether the row is missing.
      return;
    }
    if (!replay_row(row, out)) {
      return;
    }
  }
  if (rows.more && !rows.rows.empty()) {
    list_rows(out);
  } else {
    write_epoch(now, out);
  }
}

bool domain_log::replay_row(const store_row& row, actions& out) {
  const auto entries = codec_->decode_batch(row.value);
  if (!entries.ok()) {
    report_lost(absl::StrCat("row ", row.key, " cannot be read: ", entries.status().message()), true, true,
                out);
    return false;
  }
  for (const auto& entry : *entries) {
    apply(entry, state_);
  }
  last_row_ = last_row_.next();
  uncovered_rows_.push_back(last_row_);
  return true;
}

void domain_log::read_row(actions& out) {
  phase_ = phase::reading_row;
  replay_call_ = make_call(store_get{.key = row_key(last_row_.next())}, store_priority::log, out);
}

void domain_log::on_row_read(const store_rows& rows, instant now, actions& out) {
  if (rows.rows.empty()) {
    restart_replay(now);  // The row was covered by a snapshot and deleted after the head was read.
    return;
  }
  if (replay_row(rows.rows.front(), out)) {
    list_rows(out);
  }
}

epoch_opened domain_log::epoch_entry() const {
  return {.opened = epoch_, .owner = options_.owner, .owner_incarnation = options_.owner_incarnation};
}

/// Writes the row of the new epoch under the number that a predecessor would use for its next append.
void domain_log::write_epoch(instant now, actions& out) {
  phase_ = phase::opening;
  epoch_ = state_.current_epoch.next();
  append_sent_ = now;
  const log_entry entry{epoch_entry()};
  store_put put{.key = row_key(last_row_.next()), .value = codec_->encode_batch({&entry, 1})};
  replay_call_ = make_call(std::move(put), store_priority::log, out);
}

void domain_log::on_epoch_written(const store_response& response, instant now, actions& out) {
  if (std::holds_alternative<store_written>(response)) {
    // Rows that this process did not see may have been covered and deleted during the replay, so that the
    // number just written is an old one. In that case the snapshot head has changed.
    phase_ = phase::verifying;
    replay_call_ = make_call(store_get{.key = head_key()}, store_priority::log, out);
    return;
  }
  const auto* failure = std::get_if<store_failure>(&response);
  if (failure != nullptr && *failure == store_failure::conflict) {
    read_row(out);
    return;
  }
  restart_replay(now);
}

void domain_log::on_verified(const store_rows& rows, instant now, actions& out) {
  const auto current = rows.rows.empty() ? revision{} : rows.rows.front().at;
  if (current != head_revision_) {
    restart_replay(now);
    return;
  }
  apply(epoch_entry(), state_);
  last_row_ = last_row_.next();
  uncovered_rows_.push_back(last_row_);
  last_append_sent_ = append_sent_;
  phase_ = phase::open;
  out.emplace_back(log_opened{.opened = epoch_});
  garbage_prefix_ = row_prefix();
  garbage_start_.clear();
  collect_garbage(out);
}

// Appends.

void domain_log::flush(instant now, actions& out) {
  if (queue_.empty() || !in_flight_.empty() || now < next_append_) {
    return;
  }
  store_put put{.key = row_key(last_row_.next()), .value = take_batch()};
  append_sent_ = now;
  next_append_ = now + options_.append_interval;
  append_call_ = make_call(std::move(put), store_priority::log, out);
}

/// Moves as many appends as fit, but at least one, from the queue to the row in flight and encodes them.
std::string domain_log::take_batch() {
  std::vector<log_entry> entries;
  std::size_t appends = 0;
  while (appends < queue_.size() &&
         (appends == 0 || entries.size() + queue_[appends].entries.size() <= options_.max_row_entries)) {
    entries.insert(entries.end(), queue_[appends].entries.begin(), queue_[appends].entries.end());
    ++appends;
  }
  std::string value = codec_->encode_batch(entries);
  while (value.size() > options_.max_row_bytes && appends > 1) {
    appends /= 2;
    entries.clear();
    for (std::size_t i = 0; i < appends; ++i) {
      entries.insert(entries.end(), queue_[i].entries.begin(), queue_[i].entries.end());
    }
    value = codec_->encode_batch(entries);
  }
  const auto end = queue_.begin() + static_cast<std::ptrdiff_t>(appends);
  in_flight_.assign(std::make_move_iterator(queue_.begin()), std::make_move_iterator(end));
  queue_.erase(queue_.begin(), end);
  return value;
}

void domain_log::on_append_result(const store_response& response, instant now, actions& out) {
  if (std::holds_alternative<store_written>(response)) {
    if (now - last_append_sent_ <= options_.retention / 2) {
      commit(out);
    } else {
      verify_call_ = make_call(store_get{.key = head_key()}, store_priority::log, out);
    }
    return;
  }
  const auto* failure = std::get_if<store_failure>(&response);
  if (failure != nullptr && *failure == store_failure::conflict) {
    report_lost("another epoch was opened", true, false, out);
  } else {
    report_lost("the store refused a row of the log", false, false, out);
  }
}

void domain_log::on_append_verified(const store_response& response, actions& out) {
  const auto* rows = std::get_if<store_rows>(&response);
  if (rows == nullptr) {
    report_lost("the store refused to read the snapshot head", false, false, out);
    return;
  }
  if (!rows->rows.empty()) {
    const auto head = codec_->decode_head(rows->rows.front().value);
    if (!head.ok() || head->covers > last_row_) {
      report_lost("a snapshot of another epoch covers the appended row", false, false, out);
      return;
    }
  }
  commit(out);
}

void domain_log::commit(actions& out) {
  const auto through = in_flight_.back().id;
  for (const auto& append : in_flight_) {
    for (const auto& entry : append.entries) {
      apply(entry, state_);
    }
  }
  in_flight_.clear();
  last_append_sent_ = append_sent_;
  last_row_ = last_row_.next();
  uncovered_rows_.push_back(last_row_);
  out.emplace_back(log_committed{.through = through});
}

void domain_log::poll_successor(instant now, actions& out) {
  if (!successor_expected_ || successor_call_ != call_id{} || now < next_successor_poll_) {
    return;
  }
  next_successor_poll_ = now + options_.successor_poll_interval;
  successor_call_ = make_call(store_get{.key = row_key(last_row_.next())}, store_priority::lease, out);
}

void domain_log::on_successor_polled(const store_response& response, actions& out) {
  const auto* rows = std::get_if<store_rows>(&response);
  // While an append is in flight, the row may be this process's own; the result of the append shows that.
  if (rows == nullptr || rows->rows.empty() || !in_flight_.empty() ||
      rows->rows.front().key != row_key(last_row_.next())) {
    return;
  }
  report_lost("a successor opened its epoch", true, false, out);
}

void domain_log::report_lost(std::string reason, bool settled, bool corrupt, actions& out) {
  cancel_calls(out);
  phase_ = phase::lost;
  replay_at_.reset();
  out.emplace_back(log_lost{.reason = std::move(reason), .appends_settled = settled, .corrupt = corrupt});
}

void domain_log::cancel_calls(actions& out) {
  for (auto* call : {&replay_call_, &append_call_, &verify_call_, &successor_call_, &snapshot_call_,
                     &delete_call_, &garbage_call_}) {
    if (*call != call_id{}) {
      out.emplace_back(store_call_cancelled{.id = *call});
      *call = call_id{};
    }
  }
}

std::optional<instant> domain_log::oldest_uncommitted() const {
  if (!in_flight_.empty()) {
    return in_flight_.front().requested;
  }
  return queue_.empty() ? std::nullopt : std::optional{queue_.front().requested};
}

// Snapshots.

void domain_log::start_snapshot_if_due(instant now, actions& out) {
  if (snapshot_phase_ != snapshot_phase::none || uncovered_rows_.size() < options_.snapshot_rows) {
    return;
  }
  forget_ended_jobs(state_, now - options_.ended_job_retention);
  auto values = codec_->encode_snapshot({.covers = last_row_, .state = state_}, options_.snapshot_part_bytes);
  if (!values.ok()) {
    return;
  }
  snapshot_values_ = *std::move(values);
  new_head_ = {.covers = last_row_, .parts = static_cast<int>(snapshot_values_.size())};
  next_part_ = 0;
  snapshot_phase_ = snapshot_phase::parts;
  write_snapshot_step(out);
}

void domain_log::write_snapshot_step(actions& out) {
  if (next_part_ < snapshot_values_.size()) {
    store_put put{.key = part_key(new_head_.covers, static_cast<int>(next_part_)),
                  .value = std::move(snapshot_values_[next_part_])};
    ++next_part_;
    snapshot_call_ = make_call(std::move(put), store_priority::background, out);
    return;
  }
  snapshot_phase_ = snapshot_phase::head;
  store_put put{.key = head_key(), .value = codec_->encode_head(new_head_), .expected = head_revision_};
  snapshot_call_ = make_call(std::move(put), store_priority::background, out);
}

void domain_log::on_snapshot_result(const store_response& response, instant now, actions& out) {
  if (snapshot_phase_ == snapshot_phase::rereading_head) {
    on_head_reread(response, out);
    return;
  }
  if (const auto* written = std::get_if<store_written>(&response)) {
    if (snapshot_phase_ == snapshot_phase::parts) {
      write_snapshot_step(out);
    } else {
      snapshot_written(written->at, now);
    }
    return;
  }
  if (snapshot_phase_ == snapshot_phase::head) {
    snapshot_phase_ = snapshot_phase::rereading_head;
    snapshot_call_ = make_call(store_get{.key = head_key()}, store_priority::background, out);
    return;
  }
  snapshot_phase_ = snapshot_phase::none;
}

/// A predecessor may still complete a snapshot of its own, which covers fewer rows. In that case the head is
/// written again with the revision of the predecessor's head.
void domain_log::on_head_reread(const store_response& response, actions& out) {
  snapshot_phase_ = snapshot_phase::none;
  const auto* rows = std::get_if<store_rows>(&response);
  if (rows == nullptr || rows->rows.empty()) {
    return;
  }
  const auto head = codec_->decode_head(rows->rows.front().value);
  if (!head.ok() || head->covers >= new_head_.covers) {
    return;
  }
  head_ = *head;
  head_revision_ = rows->rows.front().at;
  write_snapshot_step(out);
}

void domain_log::snapshot_written(revision at, instant now) {
  snapshot_phase_ = snapshot_phase::none;
  snapshot_values_.clear();
  while (!uncovered_rows_.empty() && uncovered_rows_.front() <= new_head_.covers) {
    schedule_deletion(row_key(uncovered_rows_.front()), now);
    uncovered_rows_.pop_front();
  }
  for (int part = 0; part < head_.parts; ++part) {
    schedule_deletion(part_key(head_.covers, part), now);
  }
  head_ = new_head_;
  head_revision_ = at;
}

void domain_log::schedule_deletion(std::string key, instant now) {
  deletions_.push_back({.key = std::move(key), .not_before = now + options_.retention});
}

void domain_log::delete_covered(instant now, actions& out) {
  if (deletions_.empty() || delete_call_ != call_id{} || now < next_delete_ ||
      now < deletions_.front().not_before) {
    return;
  }
  next_delete_ = now + options_.delete_interval;
  delete_call_ = make_call(store_erase{.key = deletions_.front().key}, store_priority::background, out);
}

/// Lists the remains of earlier owners: covered rows, and parts of replaced or abandoned snapshots.
void domain_log::collect_garbage(actions& out) {
  if (head_revision_ == revision{}) {
    return;  // There is no snapshot, so no row is covered.
  }
  constexpr int part_page = 3;  // The size of a part is close to the value limit.
  const int limit = garbage_prefix_ == row_prefix() ? options_.replay_page : part_page;
  store_list list{.prefix = garbage_prefix_, .start = garbage_start_, .limit = limit};
  garbage_call_ = make_call(std::move(list), store_priority::background, out);
}

void domain_log::on_garbage_listed(const store_response& response, instant now, actions& out) {
  const auto* rows = std::get_if<store_rows>(&response);
  if (rows == nullptr) {
    return;
  }
  const bool lists_rows = garbage_prefix_ == row_prefix();
  bool past_covered = false;
  for (const auto& row : rows->rows) {
    const auto index = index_after(row.key, garbage_prefix_);
    // Keeps the parts of the current snapshot and parts with a higher number, because a predecessor may still
    // complete that snapshot.
    past_covered = index && (lists_rows ? *index > head_.covers : *index >= head_.covers);
    if (past_covered) {
      break;
    }
    if (index) {
      schedule_deletion(row.key, now);
    }
  }
  if (rows->more && !past_covered && !rows->rows.empty()) {
    garbage_start_ = rows->rows.back().key + '\x01';
    collect_garbage(out);
  } else if (lists_rows) {
    garbage_prefix_ = part_prefix();
    garbage_start_.clear();
    collect_garbage(out);
  }
}

call_id domain_log::make_call(store_request request, store_priority priority, actions& out) {
  const auto id = next_call_;
  next_call_ = next_call_.next();
  out.emplace_back(store_call{.id = id, .request = std::move(request), .priority = priority});
  return id;
}

std::string domain_log::row_key(log_index index) const {
  return row_prefix() + zero_padded(index.value(), index_digits);
}

std::string domain_log::part_key(log_index covers, int part) const {
  return part_prefix() + zero_padded(covers.value(), index_digits) + "/" +
         zero_padded(static_cast<std::uint64_t>(part), part_digits);
}

std::optional<instant> domain_log::next_deadline() const {
  std::optional<instant> earliest = replay_at_;
  if (phase_ != phase::open) {
    return phase_ == phase::lost ? std::nullopt : earliest;
  }
  const auto consider = [&](instant at) {
    if (!earliest || at < *earliest) {
      earliest = at;
    }
  };
  if (!queue_.empty() && in_flight_.empty()) {
    consider(next_append_);
  }
  if (!deletions_.empty() && delete_call_ == call_id{}) {
    consider(std::max(next_delete_, deletions_.front().not_before));
  }
  if (successor_expected_ && successor_call_ == call_id{}) {
    consider(next_successor_poll_);
  }
  return earliest;
}

}  // namespace rhubarbpath

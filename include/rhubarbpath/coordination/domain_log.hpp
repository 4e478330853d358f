#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "rhubarbpath/coordination/domain_state.hpp"
#include "rhubarbpath/coordination/log_value_codec.hpp"
#include "rhubarbpath/coordination/store_session.hpp"
#include "rhubarbpath/coordination/tick.hpp"
#include "rhubarbpath/state/ids.hpp"
#include "rhubarbpath/state/log_entry.hpp"
#include "rhubarbpath/state/random.hpp"
#include "rhubarbpath/state/store.hpp"
#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath {

/// Replays the log and writes `epoch_opened` as the next row. Sent once, after the lease is acquired.
struct log_open_requested {};

/// Appends entries to the log. Appends commit in the order in which they are requested.
struct log_append {
  std::uint64_t id{0};  ///< Must increase with each append.
  std::vector<log_entry> entries;
};

/// Enables or disables polling for the row of a successor, for a planned hand-over.
struct log_successor_expected {
  bool expected{true};
};

/// The owner stops for a reason outside the log. The log cancels all calls and emits no `log_lost`.
struct log_closed {};

using domain_log_event =
    std::variant<log_open_requested, log_append, log_successor_expected, log_closed, store_call_result, tick>;

/// The replay is finished and this process owns the epoch; `domain_log::state()` is complete.
struct log_opened {
  epoch opened;
};

/// All appends up to and including `through` are committed.
struct log_committed {
  std::uint64_t through{0};
};

/// Another epoch was opened, or the log cannot be read or written. The log makes no further calls.
struct log_lost {
  std::string reason;
  /// False if an uncommitted append may still reach the log.
  bool appends_settled{false};
  /// The log exists but cannot be decoded; opening it again fails in the same way.
  bool corrupt{false};
};

using domain_log_action = std::variant<store_call, store_call_cancelled, log_opened, log_committed, log_lost>;

/// Write-ahead log of one failure domain under one epoch.
///
/// Rows have consecutive numbers and are written with create-if-absent, so two writers cannot both append the
/// same number. The first row of a new owner is `epoch_opened`. The next append of a predecessor uses the
/// same number and conflicts, which makes the predecessor stop.
///
/// A row is deleted only after a snapshot covers it and `retention` has passed since that snapshot was
/// written. A writer whose previous row is older than half of `retention` therefore reads the snapshot head
/// after its append. If the head covers the row number, the row had already existed and been deleted, and the
/// append is invalid.
class domain_log {
 public:
  struct options {
    std::string prefix;  ///< For example "/env/production/domains/tas-hba".
    vm_id owner;
    incarnation owner_incarnation;
    call_id first_call{1};  ///< First id used for store calls; ids increase from here.
    std::size_t max_row_bytes{256'000};
    std::size_t max_row_entries{512};
    duration append_interval{100'000};  ///< Minimum interval between two rows; limits the write rate.
    std::size_t snapshot_rows{500};     ///< Number of rows after which a snapshot is taken.
    std::size_t snapshot_part_bytes{900'000};
    duration retention{60'000'000};
    /// 24 h; a submission repeated within this time is deduplicated.
    duration ended_job_retention{86'400'000'000};
    /// Rows that are listed at a time. As many of the largest must fit into one answer of the store, which is
    /// 4 MiB in base64.
    int replay_page{10};
    duration successor_poll_interval{100'000};
    duration delete_interval{50'000};  ///< Minimum interval between two deletions of covered rows.
  };

  domain_log(options opts, const log_value_codec& codec, random_source& random);
  void handle(const domain_log_event& event, instant now, std::vector<domain_log_action>& out);
  [[nodiscard]] std::optional<instant> next_deadline() const;

  /// The state after applying all committed rows.
  [[nodiscard]] const domain_state& state() const noexcept { return state_; }
  [[nodiscard]] bool open() const noexcept { return phase_ == phase::open; }
  [[nodiscard]] epoch opened_epoch() const noexcept { return epoch_; }
  /// Number of the last row known to be in the log.
  [[nodiscard]] log_index last_row() const noexcept { return last_row_; }
  /// Time at which the oldest uncommitted append was requested.
  [[nodiscard]] std::optional<instant> oldest_uncommitted() const;
  /// One above the highest call id used so far.
  [[nodiscard]] call_id next_call() const noexcept { return next_call_; }

 private:
  enum class phase {
    closed,
    reading_head,
    reading_parts,
    listing,
    reading_row,
    opening,
    verifying,
    open,
    lost
  };
  enum class snapshot_phase { none, parts, head, rereading_head };
  struct queued_append {
    std::uint64_t id{0};
    std::vector<log_entry> entries;
    instant requested{};
  };
  struct deletion {
    std::string key;
    instant not_before{};
  };
  using actions = std::vector<domain_log_action>;

  void on(const log_open_requested& event, instant now, actions& out);
  void on(const log_append& event, instant now, actions& out);
  void on(const log_successor_expected& event, instant now, actions& out);
  void on(const log_closed& event, instant now, actions& out);
  void on(const store_call_result& event, instant now, actions& out);
  void on(const tick& event, instant now, actions& out);
  void run_timers(instant now, actions& out);

  void start_replay(actions& out);
  void restart_replay(instant now);
  void on_replay_result(const store_response& response, instant now, actions& out);
  void on_head_read(const store_rows& rows, actions& out);
  void on_part_read(const store_rows& rows, instant now, actions& out);
  void on_listed(const store_rows& rows, instant now, actions& out);
  void on_row_read(const store_rows& rows, instant now, actions& out);
  void on_epoch_written(const store_response& response, instant now, actions& out);
  void on_verified(const store_rows& rows, instant now, actions& out);
  bool replay_row(const store_row& row, actions& out);
  void read_part(actions& out);
  void list_rows(actions& out);
  void read_row(actions& out);
  void write_epoch(instant now, actions& out);
  [[nodiscard]] epoch_opened epoch_entry() const;

  void flush(instant now, actions& out);
  [[nodiscard]] std::string take_batch();
  void on_append_result(const store_response& response, instant now, actions& out);
  void on_append_verified(const store_response& response, actions& out);
  void commit(actions& out);
  void poll_successor(instant now, actions& out);
  void on_successor_polled(const store_response& response, actions& out);
  void report_lost(std::string reason, bool settled, bool corrupt, actions& out);
  void cancel_calls(actions& out);

  void start_snapshot_if_due(instant now, actions& out);
  void write_snapshot_step(actions& out);
  void on_snapshot_result(const store_response& response, instant now, actions& out);
  void on_head_reread(const store_response& response, actions& out);
  void snapshot_written(revision at, instant now);
  void schedule_deletion(std::string key, instant now);
  void delete_covered(instant now, actions& out);
  void collect_garbage(actions& out);
  void on_garbage_listed(const store_response& response, instant now, actions& out);

  [[nodiscard]] call_id make_call(store_request request, store_priority priority, actions& out);
  [[nodiscard]] std::string row_prefix() const { return options_.prefix + "/log/"; }
  [[nodiscard]] std::string row_key(log_index index) const;
  [[nodiscard]] std::string head_key() const { return options_.prefix + "/snapshot"; }
  [[nodiscard]] std::string part_prefix() const { return options_.prefix + "/snapshot/"; }
  [[nodiscard]] std::string part_key(log_index covers, int part) const;

  options options_;
  const log_value_codec* codec_;
  random_source* random_;
  phase phase_{phase::closed};
  domain_state state_;
  epoch epoch_;
  log_index last_row_;
  call_id next_call_;
  call_id replay_call_;
  std::optional<instant> replay_at_;  ///< Time at which a replay that found an inconsistency restarts.
  int replay_restarts_{0};

  snapshot_head head_;
  revision head_revision_;
  std::vector<std::string> parts_;  ///< Snapshot parts read so far during a replay.

  std::deque<queued_append> queue_;
  std::vector<queued_append> in_flight_;
  call_id append_call_;
  call_id verify_call_;
  instant append_sent_{};       ///< Time at which the row in flight was passed to the session.
  instant last_append_sent_{};  ///< The same for the last committed row.
  instant next_append_{};

  bool successor_expected_{false};
  call_id successor_call_;
  instant next_successor_poll_{};

  snapshot_phase snapshot_phase_{snapshot_phase::none};
  call_id snapshot_call_;
  std::vector<std::string> snapshot_values_;
  snapshot_head new_head_;
  std::size_t next_part_{0};
  std::deque<log_index> uncovered_rows_;  ///< Rows that the snapshot does not cover.

  std::deque<deletion> deletions_;  ///< Rows in ascending order, so that a concurrent replay detects a gap.
  call_id delete_call_;
  instant next_delete_{};
  call_id garbage_call_;
  std::string garbage_prefix_;
  std::string garbage_start_;
};

}  // namespace rhubarbpath

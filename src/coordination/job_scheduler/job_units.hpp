#pragma once

#include <boost/icl/interval_set.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "rhubarbpath/coordination/job_scheduler.hpp"
#include "rhubarbpath/coordination/worker_speed.hpp"
#include "unit_wait.hpp"

// The state that the job scheduler keeps of a job's tasks. It follows what runs, has failed or is next, not
// what the job consists of: a job may have millions of tasks, or repeat for years.
namespace rhubarbpath::detail {

struct worker_state;

enum class member_phase { none, reserved, starting, running, stopping };

/// One task of a unit, with the worker and the state of its current run.
struct member {
  member_phase phase{member_phase::none};
  worker_state* worker{nullptr};  ///< Set in every phase but `none`.
  run_number run;
  /// When the last order about this run was answered. A report requested later lists the run if it exists.
  instant confirmed_at{};
  int attempts{0};
  /// Attempts to start the run to which no answer has come. The worker may still carry them out.
  int open_starts{0};
  instant start_answered_at{};  ///< When an attempt to start the run was answered last.
  bool answer_pending{false};
  /// The incarnation of the worker that the run was started on or that listed it last, and the one that
  /// acknowledged a stop.
  incarnation started_on;
  incarnation stopped_by;
  instant repeat_at{};
  int percent{0};
  /// Progress in the first report that listed the run, and the worker's clock then.
  int first_percent{0};
  std::chrono::milliseconds first_listed_at{0};
  /// On the worker's clock: when the run was last listed, and when `percent` changed or progress became
  /// possible. The owner's clock would count the time for which a late owner left reports unread.
  std::chrono::milliseconds listed_at{0};
  std::chrono::milliseconds progress_at{0};
  std::string checkpoint;
};

enum class unit_phase { waiting, reserved, active, ending, done };

/// The unit of scheduling, whose members start together: a gang, or a single task of a step without gangs.
struct unit {
  std::uint32_t occurrence{0};
  std::uint32_t step{0};
  std::uint32_t number{0};
  std::uint32_t first_index{0};
  std::vector<member> members;
  unit_phase phase{unit_phase::waiting};
  bool inherited{false};
  run_number run;
  std::vector<run_number> failed_runs;
  std::string checkpoint;
  instant not_before{};
  /// Since when nothing of it has run although its turn has come. Starts that never ran do not count.
  instant waiting_since{};
  unit_wait wait;  ///< While it waits: why the last placement pass did not place it.
  bool all_running{false};
  instant reserved_until{};
  /// Reserved space did not become free in time, and it has not started since.
  bool reservation_failed{false};
  /// The reservation was extended once, to get new tickets.
  bool tickets_renewed{false};
  instant start_unanswered_at{};        ///< When a start of it was given up without an answer.
  worker_speed::run_track speed_track;  ///< Of the current run.
  bool tracked{false};                  ///< Is in `active_units` of the scheduler.
};

/// Numbers as few ranges.
using number_set =
    boost::icl::interval_set<std::uint32_t, std::less, boost::icl::right_open_interval<std::uint32_t>>;

inline void add_range(number_set& set, const number_range& range) {
  set.add(number_set::interval_type{range.first, range.last + 1});
}
[[nodiscard]] std::vector<number_range> ranges_of(const number_set& set);

/// The units of one step of one occurrence. A unit exists from the time it is first considered, or a worker
/// names it, until it is done and has left its workers.
struct step_state {
  std::uint32_t unit_count{0};
  /// No unit before this number is waiting. Moves back when a unit is returned to waiting.
  std::uint32_t first_waiting{0};
  std::optional<instant> ready_since;  ///< When the steps that it depends on were first seen to be done.
  std::map<std::uint32_t, unit> units;
  number_set done;
  worker_speed::reference run_length;  ///< What its runs took.

  /// Marks units as done; returns how many were not done before.
  std::uint32_t mark_done(const number_range& range);
  /// The first number from `number` on that is not done.
  [[nodiscard]] std::uint32_t next_open(std::uint32_t number) const;
};

/// One occurrence of a job's steps, from its due time until all its units are done. It keeps the state of the
/// steps that were considered or have units; of all others only how many units are left.
struct occurrence_state {
  std::uint32_t number{0};
  bool inherited{false};  ///< A previous owner may have started its units.
  instant opened_at{};
  std::vector<std::uint32_t> left;  ///< By step, the units that are not done.
  std::map<std::uint32_t, step_state> steps;
  /// No step before this one has a waiting unit. Moves back when a unit is returned to waiting.
  std::uint32_t first_unplaced{0};
  std::uint64_t units_left{0};

  /// Null for a step without state.
  [[nodiscard]] const step_state* find(std::uint32_t step) const;
  [[nodiscard]] step_state* find(std::uint32_t step);
  /// Whether a unit of the step is waiting, or has not been considered yet.
  [[nodiscard]] bool has_waiting(std::uint32_t step) const;
  /// Marks units as done.
  void mark_done(std::uint32_t step, const number_range& range);
  /// Deletes the state of a step that is done and whose units have left their workers.
  void close_if_done(std::uint32_t step);
};

/// The tasks of one job. References to units stay valid until `release`.
class job_units {
 public:
  explicit job_units(const job_graph& graph);

  /// Opens an occurrence. The reference is valid until the occurrence is done.
  occurrence_state& open(std::uint32_t occurrence, bool inherited, instant now);
  /// Opens the next occurrences that are due, within `max_open_occurrences` and `job_bounds::open_steps`, so
  /// that a job with a short interval, or one that was not served for long, costs no more memory than others.
  void open_due(std::uint64_t due_count, bool inherited, instant now);
  [[nodiscard]] occurrence_state* find_occurrence(std::uint32_t occurrence);
  [[nodiscard]] const occurrence_state* find_occurrence(std::uint32_t occurrence) const;
  [[nodiscard]] step_state* find_step(std::uint32_t occurrence, std::uint32_t step);
  [[nodiscard]] unit* find(std::uint32_t occurrence, std::uint32_t step, std::uint32_t number);
  /// Returns the unit and creates it if needed, or nothing if there is no such unit or it is done.
  unit* find_or_create(std::uint32_t occurrence, std::uint32_t step, std::uint32_t number, bool inherited,
                       instant now);
  unit& create(occurrence_state& in, std::uint32_t step, std::uint32_t number);
  /// Returns the state of a step and creates it if needed.
  step_state& open_step(occurrence_state& in, std::uint32_t step);
  /// The units of a step, and the members of each.
  struct step_shape {
    std::uint32_t units{0};
    std::uint32_t members{0};
    bool gang{false};
  };
  [[nodiscard]] const step_shape& shape(std::uint32_t step) const { return shapes_[step]; }
  void mark_done(const done_units& done, bool inherited, instant now);
  void mark_occurrences_done(const number_range& occurrences);
  void complete(unit& done);
  /// Deletes a unit that is done, and its occurrence if nothing is left of it.
  void release(const unit& done);
  /// Deletes everything of a job that has ended. Nothing may refer to one of its units.
  void clear();

  [[nodiscard]] std::map<std::uint32_t, occurrence_state>& open_occurrences() noexcept { return open_; }
  [[nodiscard]] bool all_done() const noexcept { return occurrences_left_ == 0; }
  [[nodiscard]] bool empty() const noexcept { return open_.empty(); }
  [[nodiscard]] std::uint64_t count() const noexcept { return units_per_occurrence_ * occurrence_count_; }
  /// What must be stored of the units.
  void describe(job_progress& progress) const;

  static constexpr std::size_t max_open_occurrences = 256;

 private:
  void finish_if_done(occurrence_state& occurrence);
  [[nodiscard]] bool is_done(std::uint32_t occurrence) const {
    return boost::icl::contains(done_occurrences_, occurrence);
  }

  std::vector<step_shape> shapes_;
  std::uint64_t units_per_occurrence_{0};
  std::uint32_t occurrence_count_{1};
  std::uint32_t occurrences_left_{1};
  std::uint32_t next_occurrence_{0};
  std::map<std::uint32_t, occurrence_state> open_;
  number_set done_occurrences_;
};

}  // namespace rhubarbpath::detail

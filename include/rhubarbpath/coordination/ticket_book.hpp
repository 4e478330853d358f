#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "rhubarbpath/state/fleet.hpp"
#include "rhubarbpath/state/ids.hpp"
#include "rhubarbpath/state/job_graph.hpp"
#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath {

/// One step of one occurrence of a job. The adviser's tickets are valid for all tasks of the step.
struct step_ref {
  job_id job;
  std::uint32_t occurrence{0};
  std::uint32_t step{0};
  friend auto operator<=>(const step_ref&, const step_ref&) = default;
};

/// Ask the adviser which of these workers may run the step.
struct advice_request {
  step_ref step;
  std::vector<worker_id> workers;
  duration timeout{};
};

/// The adviser's permission for one worker to run a step; `ticket` is opaque and passed to the worker.
struct granted_ticket {
  worker_id worker;
  std::string ticket;
  friend bool operator==(const granted_ticket&, const granted_ticket&) = default;
};

/// What the adviser has said about a worker for a step. It changes only with the worker's incarnation.
enum class permission { unknown, refused, allowed };

/// Caches the adviser's answers by step and worker, and decides which step the adviser is asked about next.
///
/// The adviser handles one call of this VM at a time, and a call takes longer the more workers it names. One
/// call is open at a time, so that the wait for another one does not use up the validity of its tickets. All
/// calls that a step needs at once form a round, which no other step interrupts.
///
/// The platform does not say from when the validity of a ticket counts. It is counted from the call, less a
/// margin for the start order. Terms that leave no time then are still met if the adviser counts from its
/// answer, so in any case a ticket may be used for a short time after the round that it came with.
class ticket_book {
 public:
  struct options {
    std::size_t min_workers_per_call{6};
    std::size_t max_workers_per_call{100};  ///< The adviser's limit.
    /// Pause of a step after a call that failed, and after two rounds in a row whose tickets led to no start.
    /// Doubles with each further time in a row.
    duration step_pause{std::chrono::milliseconds{300}};
    duration max_step_pause{std::chrono::milliseconds{2400}};
    /// Pause of all calls after one that failed. Doubles with each further one in a row.
    duration failure_pause{std::chrono::milliseconds{100}};
    duration max_failure_pause{std::chrono::milliseconds{1600}};
    /// A ticket that expires within this time is not used, because a start order takes up to 400 ms to
    /// arrive. Also how long a ticket may be used after its round whatever its age.
    duration validity_margin{std::chrono::milliseconds{500}};
    /// From the adviser's answer until the starts are ordered.
    duration answer_delay{std::chrono::milliseconds{50}};
    /// Added to the adviser's processing time to get the call timeout; covers the network.
    duration call_margin{std::chrono::milliseconds{1000}};
    /// Each time after this many turns, the step is next that has waited longest, whatever its rank.
    std::uint64_t turns_by_rank{3};
  };
  /// One incarnation of a worker, from its start to its next restart.
  struct candidate {
    worker_id worker;
    incarnation born;
  };

  explicit ticket_book(options opts) : opts_{opts} {}

  [[nodiscard]] permission permission_for(const step_ref& step, const candidate& on) const;
  /// Whether there is a ticket that a start on the worker may use now.
  [[nodiscard]] bool has_ticket(const step_ref& step, const candidate& on, instant now) const;
  /// The latest ticket for the worker, which may have expired; empty if there is none.
  [[nodiscard]] std::string latest_ticket(const step_ref& step, const candidate& on) const;

  /// How long the adviser takes for a round about that many workers.
  [[nodiscard]] duration round_time(const adviser_config& adviser, std::size_t workers) const;
  /// Whether the tickets of such a round are valid for long enough if they count from the call.
  [[nodiscard]] bool in_time(const adviser_config& adviser, std::size_t workers) const;
  /// Whether all tickets of such a round can be valid at the same time, if they count from the answer.
  [[nodiscard]] bool can_be_valid_together(const adviser_config& adviser, std::size_t workers) const;
  /// Number of workers for one call when the step needs `needed` of which it is not known whether they are
  /// allowed: more, because some may be refused. Their tickets still come in time, unless it is more
  /// important to learn which workers are allowed.
  [[nodiscard]] std::size_t call_size(const adviser_config& adviser, std::size_t needed,
                                      bool learn_first) const;
  /// The same for workers that are known to be allowed, of which the step can use `useful`.
  [[nodiscard]] std::size_t useful_call_size(const adviser_config& adviser, std::size_t useful) const;

  /// Whether a call may be made now. A call about a step also needs that its pause is over.
  [[nodiscard]] bool may_call(instant now) const { return !round_ && now >= not_before_; }
  [[nodiscard]] bool is_paused(const step_ref& step, instant now) const;
  /// A step that needs advice. Lower ranks are more urgent.
  struct want {
    step_ref step;
    int rank{0};
    std::size_t number{0};  ///< For the caller.
  };
  /// Sorts by whose turn it is: by rank and then by who has waited longest, but now and then only by the
  /// wait, so that urgent steps cannot keep the others from being asked about.
  void sort_by_turn(std::vector<want>& wants);
  /// The step had its turn without a call. Others come before it.
  void pass_turn(const step_ref& step);
  /// What a round is for.
  enum class purpose {
    learn,         ///< Which workers are allowed. All of them are needed for a start.
    learn_spares,  ///< The same, about more than needed. Their tickets are used only if they come in time.
    start          ///< Tickets for a start on workers that are known to be allowed.
  };
  /// Begins a round about these workers, at least one, and returns its first call. Only if `may_call`.
  [[nodiscard]] advice_request ask(const step_ref& step, const adviser_config& adviser, purpose why,
                                   std::vector<candidate> workers, instant now);
  /// Stores the adviser's answer; `granted` has no value if the call failed. Returns the next call of the
  /// round, if there is one.
  [[nodiscard]] std::optional<advice_request> answered(
      const step_ref& step, const std::optional<std::vector<granted_ticket>>& granted, instant now);
  /// Discards the ticket after a worker refused a start because of it.
  void ticket_refused(const step_ref& step, const worker_id& worker, instant now);
  /// A worker accepted a start of the step.
  void start_accepted(const step_ref& step);
  /// Drops everything about a step, or about all steps of a job.
  void forget(const step_ref& step);
  void forget(const job_id& job);
  /// Number of steps of which answers are kept.
  [[nodiscard]] std::size_t known_steps() const { return steps_.size(); }

  /// Whether a round about the step is open.
  [[nodiscard]] bool is_asking(const step_ref& step) const { return round_ && round_->step == step; }
  /// Whether the adviser has refused a worker for the step.
  [[nodiscard]] bool has_refused(const step_ref& step) const;
  /// Whether the last call about the step failed.
  [[nodiscard]] bool call_failed(const step_ref& step) const;
  struct round_facts {
    std::size_t workers{0};
    adviser_config terms;
  };
  /// The last round, if the tickets of two rounds or more in a row have led to no start.
  [[nodiscard]] std::optional<round_facts> wasted_round(const step_ref& step) const;

 private:
  struct verdict {
    incarnation born;
    bool may_run{false};
    std::string ticket;
    instant usable_until{};
    instant valid_until{};  ///< If the validity counts from the answer.
    std::uint64_t round{0};
  };
  struct advice_state {
    absl::flat_hash_map<worker_id, verdict> workers;
    instant not_before{};
    int failed_calls{0};  ///< In a row.
    /// Rounds in a row whose tickets led to no start: a worker refused one, or none was used.
    int wasted_rounds{0};
    std::uint64_t last_refused_round{0};
    bool start_awaited{false};  ///< There are new tickets for a start, which has not been answered.
    round_facts last_round;
  };
  struct round {
    step_ref step;
    adviser_config terms;
    std::vector<candidate> asked;     ///< In the open call.
    std::vector<candidate> to_ask;    ///< In the calls after it.
    std::vector<worker_id> answered;  ///< In the calls before it.
    instant asked_at{};
    std::uint64_t number{0};
    purpose why{purpose::learn};
  };

  /// Counts a round in vain, and pauses the step if it is not the first in a row.
  void note_wasted_round(advice_state& advice, instant now) const;
  [[nodiscard]] const verdict* find(const step_ref& step, const candidate& on) const;
  /// A quarter of a short validity, so that its tickets can be used at all.
  [[nodiscard]] duration margin_of(duration validity) const {
    return std::min(opts_.validity_margin, validity / 4);
  }
  /// How long tickets may be used after their round whatever their age.
  [[nodiscard]] duration time_to_use(duration validity) const {
    return std::min(opts_.validity_margin, validity - margin_of(validity));
  }
  [[nodiscard]] std::size_t calls_of(std::size_t workers) const {
    return (workers + opts_.max_workers_per_call - 1) / opts_.max_workers_per_call;
  }
  /// Of one call, if its tickets have to be valid for `left` after the answer; 0 if they never are.
  [[nodiscard]] std::size_t most_workers(const adviser_config& adviser, duration left) const;
  /// A call about so many workers takes no longer than twice the adviser's time for a call.
  [[nodiscard]] std::size_t efficient_call_size(const adviser_config& adviser) const;
  /// The next call of the open round.
  [[nodiscard]] advice_request next_call(instant now);
  void finish_round(instant now);

  options opts_;
  std::map<step_ref, advice_state> steps_;
  std::optional<round> round_;
  std::uint64_t rounds_{0};
  int failed_calls_{0};  ///< In a row, of all steps.
  instant not_before_{};
  /// Steps that need advice, by when they last had a turn.
  std::map<step_ref, std::uint64_t> waiting_;
  std::uint64_t turns_{0};
};

}  // namespace rhubarbpath

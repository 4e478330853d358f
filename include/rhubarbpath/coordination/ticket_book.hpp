#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

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

/// Caches the adviser's answers by step and worker. Whether a worker may run a step changes only with its
/// incarnation, but tickets expire.
///
/// The adviser handles one call of this VM at a time, and a call takes longer the more workers it names.
/// Calls therefore name few workers, and few calls are open at once. The caller asks for its most urgent
/// steps first.
class ticket_book {
 public:
  struct options {
    /// Two open calls keep the adviser busy while a response is in transit; more would only queue there.
    std::size_t open_calls{2};
    std::size_t min_workers_per_call{6};
    std::size_t max_workers_per_call{100};  ///< The adviser's limit.
    /// Wait before a step is asked about again after a call that failed or was refused.
    duration retry_pause{std::chrono::milliseconds{300}};
    /// A ticket that expires within this time is not used, because a start order takes up to 400 ms to
    /// arrive.
    duration validity_margin{std::chrono::milliseconds{500}};
    /// Added to the adviser's processing time to get the call timeout; covers the network and the calls
    /// queued before this one.
    duration call_margin{std::chrono::milliseconds{1000}};
  };
  /// One incarnation of a worker, from its start to its next restart.
  struct candidate {
    worker_id worker;
    incarnation born;
  };

  explicit ticket_book(options opts) : opts_{opts} {}

  /// Returns a valid ticket to start tasks of the step on the worker, or nothing if there is none.
  [[nodiscard]] std::optional<std::string> ticket(const step_ref& step, const candidate& on,
                                                  instant now) const;
  /// Returns a call about those of `candidates` (in order of preference) that have no valid answer yet, or
  /// nothing if no call is needed or allowed now. `workers_needed` is the number of workers that the step
  /// needs now.
  [[nodiscard]] std::optional<advice_request> ask(const step_ref& step, const adviser_config& adviser,
                                                  const std::vector<candidate>& candidates,
                                                  std::size_t workers_needed, instant now);
  /// Stores the adviser's answer; `granted` has no value if the call failed.
  void answered(const step_ref& step, const std::optional<std::vector<granted_ticket>>& granted, instant now);
  /// Discards the ticket after a worker refused a start because of it.
  void ticket_refused(const step_ref& step, const worker_id& worker);
  /// Drops everything about a job.
  void forget(const job_id& job);

 private:
  struct verdict {
    incarnation born;
    bool may_run{false};
    std::string ticket;
    instant valid_until{};
  };
  struct advice_state {
    std::map<worker_id, verdict> workers;
    std::vector<candidate> asked;  ///< Workers of the open call; empty if no call is open.
    instant asked_at{};
    duration validity{};
    instant not_before{};
  };
  /// A quarter of a short validity, so that its tickets can be used at all.
  [[nodiscard]] duration margin_of(duration validity) const {
    return std::min(opts_.validity_margin, validity / 4);
  }
  [[nodiscard]] std::size_t most_workers_in_time(const adviser_config& adviser) const;
  [[nodiscard]] bool needs_call(const advice_state& advice, const candidate& about, instant now) const;

  options opts_;
  std::map<step_ref, advice_state> steps_;
  std::size_t open_calls_{0};
};

}  // namespace rhubarbpath

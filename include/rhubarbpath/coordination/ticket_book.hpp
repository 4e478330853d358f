#pragma once

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

/// One step of one occurrence of a job; the adviser answers for it as a whole.
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

struct granted_ticket {
  worker_id worker;
  std::string ticket;
  friend bool operator==(const granted_ticket&, const granted_ticket&) = default;
};

/// What the adviser said about steps and workers. Whether a worker may run a step does not change, but its
/// ticket lapses, and a new life of the worker needs a new one.
///
/// The adviser serves one call of this VM at a time and takes time for each worker that is named, so a call
/// names few workers, and few calls are open. The caller asks for its most urgent steps first.
class ticket_book {
 public:
  struct options {
    /// Two calls keep the adviser busy while an answer travels; more would only wait there.
    std::size_t open_calls{2};
    std::size_t least_workers_named{6};
    std::size_t most_workers_named{100};  ///< The adviser's limit.
    /// Pause of a step after a call that failed or was refused.
    duration retry_pause{std::chrono::milliseconds{300}};
    /// A ticket that lapses within this time is no longer used: a start takes up to 400 ms to arrive.
    duration validity_margin{std::chrono::milliseconds{500}};
    /// Added to the adviser's own time for one call, for the network and the calls before it.
    duration call_margin{std::chrono::milliseconds{1000}};
  };
  /// A worker in one of its lives.
  struct candidate {
    worker_id worker;
    incarnation born;
  };

  explicit ticket_book(options opts) : opts_{opts} {}

  /// The ticket to start a task of the step on the worker, or nothing.
  [[nodiscard]] std::optional<std::string> ticket(const step_ref& step, const candidate& on,
                                                  instant now) const;
  /// Asks about those of `candidates`, best first, of which too little is known. `wanted` is the number of
  /// workers that the step needs now.
  [[nodiscard]] std::optional<advice_request> ask(const step_ref& step, const adviser_config& adviser,
                                                  const std::vector<candidate>& candidates,
                                                  std::size_t wanted, instant now);
  /// The adviser's answer; without a value the call failed.
  void answered(const step_ref& step, const std::optional<std::vector<granted_ticket>>& granted, instant now);
  /// A worker refused a start for want of a valid ticket.
  void ticket_refused(const step_ref& step, const worker_id& worker);
  void forget(const job_id& job);

 private:
  struct verdict {
    incarnation born;
    bool may_run{false};
    std::string ticket;
    instant valid_until{};
  };
  struct step_advice {
    std::map<worker_id, verdict> workers;
    std::vector<candidate> asked;  ///< The open call's workers.
    instant asked_at{};
    duration validity{};
    instant not_before{};
  };
  [[nodiscard]] bool needs_call(const step_advice& known, const candidate& about, instant now) const;

  options opts_;
  std::map<step_ref, step_advice> steps_;
  std::size_t open_calls_{0};
};

}  // namespace rhubarbpath

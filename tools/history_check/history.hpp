#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "rhubarbpath/state/units.hpp"
#include "rhubarbpath/state/verdict.hpp"

namespace rhubarbpath::history_check {

/// One answer to one try of a request.
struct try_record {
  bool answered{false};  ///< False when the connection broke or no answer came.
  bool overdue{false};   ///< No answer although the connection stayed open past the deadline.
  bool unsent{false};    ///< No byte left, for example because the entry VM was down.
  verdict result{verdict::may_have_run};
  bool echo_matches{true};  ///< For `ran`: the answer is whole and belongs to this request.
  std::string reason;
};

/// One request of a caller with all its tries.
struct request_history {
  std::string key;
  std::string request_class;
  bool non_idempotent{false};
  std::vector<try_record> tries;
  duration completion{};  ///< Until the answer `ran`; zero when it never came.
};

/// One job of a caller.
struct job_history {
  std::string key;
  std::string job;
  int members{0};
  bool accepted{false};     ///< A caller was told that the job is accepted.
  bool refused{false};      ///< Every answer was `not_run`.
  std::string final_state;  ///< Empty when no final state was seen.
  duration completion{};    ///< From the first submission to the final state.
};

/// What the workers ran, read from the stand-in.
struct worker_run {
  std::string worker;
  std::string key;
  std::string body;
};
struct task_run {
  std::string worker;
  std::string job;
  std::uint64_t attempt{0};
  int member{0};
  std::uint32_t accelerators{0};
  int state{0};  ///< As `task_state`.
  instant started{};
  instant ended{};  ///< Zero while it runs.
};
struct platform_history {
  std::vector<worker_run> requests;
  std::vector<task_run> tasks;
  std::map<std::string, std::uint64_t> store_calls;
};

/// Fails with `kInvalidArgument` on a body that is not the stand-in's `/history`.
[[nodiscard]] absl::StatusOr<platform_history> parse_history(std::string_view body);

/// Compares what callers were told with what the workers ran. Each violation is one sentence that names
/// the promise of the design page (P2 to P5) and the key or job.
[[nodiscard]] std::vector<std::string> find_violations(const std::vector<request_history>& requests,
                                                       const std::vector<job_history>& jobs,
                                                       const platform_history& platform, instant end);

/// Requests that were cut: in a run whose only events are graceful shutdowns no answer is uncertain and
/// no connection breaks after the request was sent (P7).
[[nodiscard]] std::vector<std::string> find_uncertain(const std::vector<request_history>& requests);

}  // namespace rhubarbpath::history_check

#pragma once

#include <string>
#include <variant>
#include <vector>

#include "http_caller.hpp"
#include "rhubarbpath/protocol/trace_context.hpp"
#include "rhubarbpath/state/verdict.hpp"

namespace rhubarbpath::ctl {

/// Whether a request may be sent to another entry VM after one may already have received it.
enum class repeatable { no, yes };

/// An HTTP response and the address of the entry VM that sent it.
struct entry_answer {
  std::string entry;
  http_response response;
};

/// Sends requests to entry VMs, in the given order, until one answers.
class entry_client {
 public:
  entry_client(http_caller& caller, std::vector<std::string> entries, duration timeout);

  /// Tries the next entry VM only if the previous one did not receive the request, refused it as not run, or
  /// the request is repeatable. If none answers, the outcome tells whether the request may have run.
  [[nodiscard]] std::variant<entry_answer, outcome> call(const http_request& request, repeatable repeat,
                                                         duration wait, const std::string& waiting_for);
  [[nodiscard]] http_caller& caller() noexcept { return *caller_; }

 private:
  http_caller* caller_;
  std::vector<std::string> entries_;
  duration timeout_;
  trace_context trace_;
};

}  // namespace rhubarbpath::ctl

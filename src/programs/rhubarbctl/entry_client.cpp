#include "entry_client.hpp"

#include <fmt/format.h>

#include <optional>
#include <utility>

#include "rhubarbpath/protocol/api_json.hpp"

namespace rhubarbpath::ctl {

namespace {

/// True when the entry VM reports that it did not run the request, so that another one may be tried.
bool refused_as_not_run(const http_response& response) {
  if (response.status != http_status(answer_kind::unavailable)) {
    return false;
  }
  const auto decoded = decode_outcome(response.body);
  return decoded.ok() && decoded->result == verdict::not_run;
}

}  // namespace

entry_client::entry_client(http_caller& caller, std::vector<std::string> entries, duration timeout)
    : caller_{&caller}, entries_{std::move(entries)}, timeout_{timeout}, trace_{new_trace(caller.random())} {}

std::variant<entry_answer, outcome> entry_client::call(const http_request& request, repeatable repeat,
                                                       duration wait, const std::string& waiting_for) {
  auto traced_request = request;
  traced_request.headers.emplace_back("traceparent", to_traceparent(child_span(trace_, caller_->random())));
  std::optional<entry_answer> refusal;
  outcome failed{verdict::not_run, "", std::nullopt};
  for (const auto& entry : entries_) {
    auto result =
        caller_->call(entry, traced_request, timeout_ + wait, fmt::format("{} from {}", waiting_for, entry));
    if (auto* response = std::get_if<http_response>(&result)) {
      entry_answer answer{entry, std::move(*response)};
      if (!refused_as_not_run(answer.response)) {
        return answer;
      }
      refusal = std::move(answer);
      continue;
    }
    const auto& failure = std::get<http_call_failed>(result);
    failed.reason += fmt::format("{}{}: {}", failed.reason.empty() ? "" : "; ", entry, failure.reason);
    if (failure.bytes_sent) {
      failed.result = verdict::may_have_run;
      if (repeat == repeatable::no) {
        break;
      }
    }
  }
  // A refusal is only conclusive if no other entry VM may have received the request.
  if (refusal && failed.result == verdict::not_run) {
    return *std::move(refusal);
  }
  return failed;
}

}  // namespace rhubarbpath::ctl

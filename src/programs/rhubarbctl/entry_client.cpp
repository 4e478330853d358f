#include "entry_client.hpp"

#include <fmt/format.h>

#include <optional>
#include <utility>

#include "rhubarbpath/protocol/api_json.hpp"

namespace rhubarbpath::ctl {

namespace {

/// The entry VM says itself that another one may be asked.
bool refused_as_not_run(const http_response& response) {
  if (response.status != http_status(answer_kind::unavailable)) {
    return false;
  }
  const auto told = decode_outcome(response.body);
  return told.ok() && told->result == verdict::not_run;
}

}  // namespace

entry_client::entry_client(http_caller& caller, std::vector<std::string> entries, duration timeout)
    : caller_{&caller}, entries_{std::move(entries)}, timeout_{timeout}, trace_{new_trace(caller.random())} {}

std::variant<entry_answer, outcome> entry_client::call(const http_request& request, repeatable repeat,
                                                       duration wait, const std::string& waiting_for) {
  auto traced = request;
  traced.headers.emplace_back("traceparent", to_traceparent(child_span(trace_, caller_->random())));
  std::optional<entry_answer> refusal;
  outcome failed{verdict::not_run, "", std::nullopt};
  for (const auto& entry : entries_) {
    auto result =
        caller_->call(entry, traced, timeout_ + wait, fmt::format("{} from {}", waiting_for, entry));
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
  // A refusal by one entry VM says nothing about another that may have received the request.
  if (refusal && failed.result == verdict::not_run) {
    return *std::move(refusal);
  }
  return failed;
}

}  // namespace rhubarbpath::ctl

#include "api_answers.hpp"

#include <chrono>
#include <utility>

namespace rhubarbpath {

void add_outcome_headers(const outcome& result, http_response& response) {
  response.headers.emplace_back("Rhubarb-Verdict", std::string{to_string(result.result)});
  if (result.retry_after) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(*result.retry_after).count();
    response.headers.emplace_back("Retry-After", std::to_string(seconds));
  }
}

http_response outcome_response(answer_kind kind, const outcome& result) {
  http_response response{.status = http_status(kind),
                         .headers = {{"Content-Type", "application/json"}},
                         .body = encode_outcome(result)};
  add_outcome_headers(result, response);
  return response;
}

http_response refusal(answer_kind kind, std::string reason) {
  return outcome_response(
      kind, {.result = verdict::not_run, .reason = std::move(reason), .retry_after = std::nullopt});
}

http_response document_outdated() {
  return outcome_response(answer_kind::unavailable,
                          {.result = verdict::not_run,
                           .reason = "the document in force does not allow this, and may be outdated",
                           .retry_after = std::chrono::seconds{1}});
}

}  // namespace rhubarbpath

#pragma once

#include <string>

#include "rhubarbpath/protocol/api_json.hpp"
#include "rhubarbpath/state/verdict.hpp"
#include "rhubarbpath/transport/http.hpp"

namespace rhubarbpath {

/// Builds the JSON answer for an outcome, with Retry-After when the outcome names a wait.
[[nodiscard]] http_response outcome_response(answer_kind kind, const outcome& result);

/// An answer that certainly ran nothing.
[[nodiscard]] http_response refusal(answer_kind kind, std::string reason);

/// Adds the verdict as a header, and Retry-After in whole seconds when the outcome names a wait.
void add_outcome_headers(const outcome& result, http_response& response);

/// The document in force does not allow the call and may be outdated; the caller may try again.
[[nodiscard]] http_response document_outdated();

}  // namespace rhubarbpath

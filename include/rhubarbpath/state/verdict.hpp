#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath {

/// Whether a request may have been executed. Every answer to a caller carries a verdict.
enum class verdict {
  ran,           ///< The target answered; the complete answer is attached.
  not_run,       ///< No byte reached a target, or the target refused the request before any work.
  may_have_run,  ///< Bytes may have reached a target, and no complete answer came back.
};

/// Result of a request as reported to the caller, apart from the body of the answer.
struct outcome {
  verdict result{verdict::not_run};
  /// Explanation that tells a person what to do; empty when the request ran.
  std::string reason;
  /// When set, the caller may repeat the request with the same key after this interval.
  std::optional<duration> retry_after;

  friend bool operator==(const outcome&, const outcome&) = default;
};

[[nodiscard]] constexpr std::string_view to_string(verdict value) noexcept {
  switch (value) {
    case verdict::ran:
      return "ran";
    case verdict::not_run:
      return "not_run";
    case verdict::may_have_run:
      return "may_have_run";
  }
  return "may_have_run";
}

/// Returns nothing if the text is not the name of a verdict.
[[nodiscard]] constexpr std::optional<verdict> verdict_from_string(std::string_view text) noexcept {
  for (const auto candidate : {verdict::ran, verdict::not_run, verdict::may_have_run}) {
    if (to_string(candidate) == text) {
      return candidate;
    }
  }
  return std::nullopt;
}

}  // namespace rhubarbpath

#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "rhubarbpath/state/document.hpp"
#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath {

/// Largest document text in bytes; a longer one is rejected before it is parsed.
inline constexpr std::size_t max_document_bytes = 1'000'000;

/// Largest number of workers after the racks are expanded. A short text can name any worker count, so
/// this bounds the memory that a document can take. It is three times the size of design section 1.6.
inline constexpr int max_document_workers = 33'000;

/// One fault of a document text. The message says what was found and what is accepted.
struct document_problem {
  int line{1};  ///< Counted from 1.
  std::string message;
  friend bool operator==(const document_problem&, const document_problem&) = default;
};

/// Lines at which the parts of a document begin, for problems found after parsing.
struct document_lines {
  std::vector<int> racks;                    ///< Parallel to `environment_document::racks`.
  std::vector<int> teams;                    ///< Parallel to `environment_document::teams`.
  std::vector<std::vector<int>> guarantees;  ///< One list per team, parallel to its guarantees.
};

/// The result of parsing. The document is complete only when there are no problems.
struct parsed_document {
  environment_document document;
  document_lines lines;
  std::vector<document_problem> problems;  ///< In line order.

  [[nodiscard]] bool ok() const noexcept { return problems.empty(); }
};

/// Parses and validates a document. All problems are reported, up to a bound of 100; only a text that
/// is not YAML at all ends with its first problem. The text does not name its environment, because
/// promotion copies the same bytes from `trial` to `production`; `environment` is stored as given.
[[nodiscard]] parsed_document parse_document(std::string_view text, std::string_view environment);

/// As `parse_document`, for callers that need no list: fails with `kInvalidArgument` and the problems
/// one to a line, each prefixed with `source` and its line number.
[[nodiscard]] absl::StatusOr<environment_document> read_document(std::string_view text,
                                                                 std::string_view environment,
                                                                 std::string_view source);

/// Returns "source:line: message".
[[nodiscard]] std::string format_problem(std::string_view source, const document_problem& problem);

/// Parses a whole number with a unit: us, ms, s, min, h or d. Returns nothing for any other text and
/// for values above 366 days.
[[nodiscard]] std::optional<duration> parse_duration(std::string_view text);

/// Writes a duration with the largest unit that represents it exactly, as `parse_duration` reads it.
[[nodiscard]] std::string format_duration(duration value);

}  // namespace rhubarbpath

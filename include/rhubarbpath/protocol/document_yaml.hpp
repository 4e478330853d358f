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

/// Maximum size of a document in bytes. A larger one is rejected before it is parsed.
inline constexpr std::size_t max_document_bytes = 1'000'000;

/// Maximum number of workers after the racks are expanded. A short text can declare any number of workers,
/// so this bounds the memory of a document. It is three times the size of design section 1.6.
inline constexpr int max_document_workers = 33'000;

/// One error in a document. The message names the value found and the accepted values.
struct document_problem {
  int line{1};  ///< Starts at 1.
  std::string message;
  friend bool operator==(const document_problem&, const document_problem&) = default;
};

/// Line numbers of parts of a document, for problems found after parsing.
struct document_lines {
  std::vector<int> racks;                    ///< Parallel to `environment_document::racks`.
  std::vector<int> teams;                    ///< Parallel to `environment_document::teams`.
  std::vector<std::vector<int>> guarantees;  ///< One list per team, parallel to its guarantees.
};

/// Result of parsing. The document is complete only if there are no problems.
struct parsed_document {
  environment_document document;
  document_lines lines;
  std::vector<document_problem> problems;  ///< In line order.

  [[nodiscard]] bool ok() const noexcept { return problems.empty(); }
};

/// Parses and validates a document. Reports up to 100 problems; a text that is not valid YAML gives only
/// the first one. The text does not name its environment, because promotion copies the same bytes from
/// `trial` to `production`; `environment` is stored as given.
[[nodiscard]] parsed_document parse_document(std::string_view text, std::string_view environment);

/// Like `parse_document`, but fails with `kInvalidArgument` if there are problems. The message holds one
/// problem per line, each prefixed with `source` and its line number.
[[nodiscard]] absl::StatusOr<environment_document> read_document(std::string_view text,
                                                                 std::string_view environment,
                                                                 std::string_view source);

/// Returns "source:line: message".
[[nodiscard]] std::string format_problem(std::string_view source, const document_problem& problem);

/// Parses an integer with a unit: us, ms, s, min, h or d. Returns nullopt for any other text and for
/// values above 366 days.
[[nodiscard]] std::optional<duration> parse_duration(std::string_view text);

/// Formats a duration in the largest unit that represents it exactly; `parse_duration` parses the result.
[[nodiscard]] std::string format_duration(duration value);

}  // namespace rhubarbpath

#pragma once

#include <string>
#include <variant>
#include <vector>

#include "command.hpp"
#include "rhubarbpath/protocol/document_diff.hpp"
#include "rhubarbpath/protocol/document_yaml.hpp"

namespace rhubarbpath::ctl {

/// A document's text that parses, passes the guarantee check and may be stored.
struct checked_document {
  std::string bytes;
  std::string digest;
  environment_document document;
};

/// Reads at most one byte more than a document may have. Returns a result with the code `usage` when the
/// file cannot be read.
[[nodiscard]] std::variant<std::string, command_result> read_text_file(const std::string& path);

/// Checks a text; the result tells every problem with its line and has the code `found`.
[[nodiscard]] std::variant<checked_document, command_result> check_text(std::string bytes,
                                                                        const std::string& source,
                                                                        const std::string& environment);

/// Writes one line for each change and marks those that must be named.
[[nodiscard]] std::string describe_changes(const std::vector<document_change>& changes);
[[nodiscard]] json changes_to_json(const std::vector<document_change>& changes);

}  // namespace rhubarbpath::ctl

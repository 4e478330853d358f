#pragma once

#include <string>
#include <variant>
#include <vector>

#include "command.hpp"
#include "rhubarbpath/protocol/document_diff.hpp"
#include "rhubarbpath/protocol/document_yaml.hpp"

namespace rhubarbpath::ctl {

/// A document that was parsed and checked without problems, with its bytes and their SHA-256 digest.
struct checked_document {
  std::string bytes;
  std::string digest;
  environment_document document;
};

/// Reads at most `max_document_bytes` + 1 bytes, enough to detect a document that is too large. Returns a
/// result with the code `usage` if the file cannot be read.
[[nodiscard]] std::variant<std::string, command_result> read_text_file(const std::string& path);

/// Parses and checks a document. On failure the result lists every problem with its line and has the code
/// `found`.
[[nodiscard]] std::variant<checked_document, command_result> check_document_text(
    std::string bytes, const std::string& source, const std::string& environment);

/// Lists each change with its description and marks those that need acceptance.
[[nodiscard]] std::string describe_changes(const std::vector<document_change>& changes);
[[nodiscard]] json changes_to_json(const std::vector<document_change>& changes);

}  // namespace rhubarbpath::ctl

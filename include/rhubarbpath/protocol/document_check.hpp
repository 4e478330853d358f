#pragma once

#include <vector>

#include "rhubarbpath/protocol/document_yaml.hpp"

namespace rhubarbpath {

/// Returns the problems of a parsed document; if it has none, the guarantees that the workers cannot
/// meet together, each with the line of its guarantee.
[[nodiscard]] std::vector<document_problem> check_document(const parsed_document& parsed);

}  // namespace rhubarbpath

#pragma once

#include <vector>

#include "rhubarbpath/protocol/document_yaml.hpp"

namespace rhubarbpath {

/// Returns the problems that parsing found. If there are none, checks that the workers can meet all
/// guarantees at the same time, and returns one problem, with its line, per guarantee that they cannot.
[[nodiscard]] std::vector<document_problem> check_document(const parsed_document& parsed);

}  // namespace rhubarbpath

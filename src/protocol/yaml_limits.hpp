#pragma once

#include <optional>
#include <string_view>

#include "rhubarbpath/protocol/document_yaml.hpp"

namespace rhubarbpath::detail {

/// Largest depth of nested values. A document needs 9: each of region, failure domain and rack is a
/// list item with a map.
inline constexpr int max_yaml_depth = 12;

/// Checks the raw text before the YAML library sees it: size, encoding, control characters, line length
/// and the length and depth of collections in brackets. The library reads ahead to the end of the
/// outermost bracket before it reports anything, which took 234 MB on one megabyte of '['.
[[nodiscard]] std::optional<document_problem> check_yaml_text(std::string_view text);

}  // namespace rhubarbpath::detail

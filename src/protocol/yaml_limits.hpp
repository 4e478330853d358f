#pragma once

#include <optional>
#include <string_view>

#include "rhubarbpath/protocol/document_yaml.hpp"

namespace rhubarbpath::detail {

/// Maximum nesting depth. A valid document needs 9 levels: regions, failure domains and racks are each a
/// list of maps.
inline constexpr int max_yaml_depth = 12;

/// Checks the raw text before it is passed to the YAML library: size, encoding, control characters, line
/// length, and the length and depth of flow collections. The library scans to the end of the outermost flow
/// collection before it emits an event, which took 234 MB for one megabyte of '['.
[[nodiscard]] std::optional<document_problem> check_yaml_text(std::string_view text);

}  // namespace rhubarbpath::detail

#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace rhubarbpath::detail {

/// Parses one CBOR value; nothing if it is malformed, nested deeper than `max_depth` levels, or declares a
/// container larger than the input. The parser of the library is recursive, and throws for such sizes.
[[nodiscard]] std::optional<nlohmann::json> parse_cbor(std::string_view bytes, std::size_t max_depth);

}  // namespace rhubarbpath::detail

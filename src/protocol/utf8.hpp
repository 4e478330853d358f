#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace rhubarbpath::detail {

/// Returns the position of the first byte that is not well-formed UTF-8, or nothing.
[[nodiscard]] std::optional<std::size_t> invalid_utf8_position(std::string_view text) noexcept;

}  // namespace rhubarbpath::detail

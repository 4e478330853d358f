#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace rhubarbpath::detail {

/// Returns the byte offset of the first ill-formed UTF-8 sequence, or nullopt if the text is valid UTF-8.
[[nodiscard]] std::optional<std::size_t> invalid_utf8_position(std::string_view text) noexcept;

}  // namespace rhubarbpath::detail

#include "utf8.hpp"

#include <cstdint>

namespace rhubarbpath::detail {

namespace {

struct sequence_form {
  std::size_t length;
  std::uint32_t smallest;  // Smaller code points are overlong encodings.
  std::uint32_t first_bits;
};

sequence_form form_of(unsigned char lead) {
  if (lead < 0x80U) {
    return {1, 0, lead};
  }
  if ((lead & 0xE0U) == 0xC0U) {
    return {2, 0x80, lead & 0x1FU};
  }
  if ((lead & 0xF0U) == 0xE0U) {
    return {3, 0x800, lead & 0x0FU};
  }
  if ((lead & 0xF8U) == 0xF0U) {
    return {4, 0x10000, lead & 0x07U};
  }
  return {0, 0, 0};
}

bool is_scalar_value(std::uint32_t point) {
  const bool surrogate = point >= 0xD800U && point <= 0xDFFFU;
  return point <= 0x10FFFFU && !surrogate;
}

}  // namespace

std::optional<std::size_t> invalid_utf8_position(std::string_view text) noexcept {
  std::size_t position = 0;
  while (position < text.size()) {
    const auto form = form_of(static_cast<unsigned char>(text[position]));
    if (form.length == 0 || position + form.length > text.size()) {
      return position;
    }
    std::uint32_t point = form.first_bits;
    for (std::size_t i = 1; i < form.length; ++i) {
      const auto next = static_cast<unsigned char>(text[position + i]);
      if ((next & 0xC0U) != 0x80U) {
        return position;
      }
      point = (point << 6U) | (next & 0x3FU);
    }
    if (point < form.smallest || !is_scalar_value(point)) {
      return position;
    }
    position += form.length;
  }
  return std::nullopt;
}

}  // namespace rhubarbpath::detail

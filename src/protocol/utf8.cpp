#include "utf8.hpp"

#include <cstdint>

namespace rhubarbpath::detail {

namespace {

struct sequence_form {
  std::size_t length;
  std::uint32_t min_code_point;  // Smaller code points are overlong encodings.
  std::uint32_t lead_bits;
};

sequence_form sequence_form_of(unsigned char lead) {
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

bool is_scalar_value(std::uint32_t code_point) {
  const bool surrogate = code_point >= 0xD800U && code_point <= 0xDFFFU;
  return code_point <= 0x10FFFFU && !surrogate;
}

}  // namespace

std::optional<std::size_t> invalid_utf8_position(std::string_view text) noexcept {
  std::size_t position = 0;
  while (position < text.size()) {
    const auto form = sequence_form_of(static_cast<unsigned char>(text[position]));
    if (form.length == 0 || position + form.length > text.size()) {
      return position;
    }
    std::uint32_t code_point = form.lead_bits;
    for (std::size_t i = 1; i < form.length; ++i) {
      const auto next = static_cast<unsigned char>(text[position + i]);
      if ((next & 0xC0U) != 0x80U) {
        return position;
      }
      code_point = (code_point << 6U) | (next & 0x3FU);
    }
    if (code_point < form.min_code_point || !is_scalar_value(code_point)) {
      return position;
    }
    position += form.length;
  }
  return std::nullopt;
}

}  // namespace rhubarbpath::detail

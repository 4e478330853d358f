#include "rhubarbpath/protocol/trace_context.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <cstddef>

namespace rhubarbpath {

namespace {

// Layout of version 00: "00-" + 32 digits + "-" + 16 digits + "-" + 2 digits.
constexpr std::size_t trace_id_offset = 3;
constexpr std::size_t span_id_offset = 36;
constexpr std::size_t flags_offset = 53;
constexpr std::size_t version_00_size = 55;
constexpr std::uint8_t sampled_flag = 1;

std::optional<std::uint8_t> hex_digit(char c) {
  if (c >= '0' && c <= '9') {
    return static_cast<std::uint8_t>(c - '0');
  }
  // W3C Trace Context allows only lower-case digits.
  if (c >= 'a' && c <= 'f') {
    return static_cast<std::uint8_t>(c - 'a' + 10);
  }
  return std::nullopt;
}

template <std::size_t N>
bool read_hex(std::string_view text, std::array<std::uint8_t, N>& bytes) {
  for (std::size_t i = 0; i < N; ++i) {
    const auto high = hex_digit(text[2 * i]);
    const auto low = hex_digit(text[2 * i + 1]);
    if (!high || !low) {
      return false;
    }
    bytes[i] = static_cast<std::uint8_t>(*high << 4U | *low);
  }
  return true;
}

template <std::size_t N>
bool is_zero(const std::array<std::uint8_t, N>& bytes) {
  return std::all_of(bytes.begin(), bytes.end(), [](std::uint8_t byte) { return byte == 0; });
}

template <std::size_t N>
std::array<std::uint8_t, N> random_id(random_source& random) {
  std::array<std::uint8_t, N> bytes{};
  do {
    for (auto& byte : bytes) {
      byte = static_cast<std::uint8_t>(random.below(256));
    }
  } while (is_zero(bytes));
  return bytes;
}

}  // namespace

std::optional<trace_context> parse_traceparent(std::string_view text) {
  if (text.size() < version_00_size || text[2] != '-' || text[span_id_offset - 1] != '-' ||
      text[flags_offset - 1] != '-') {
    return std::nullopt;
  }
  std::array<std::uint8_t, 1> version{};
  std::array<std::uint8_t, 1> flags{};
  trace_context context;
  const bool is_hex = read_hex(text, version) && read_hex(text.substr(trace_id_offset), context.trace_id) &&
                      read_hex(text.substr(span_id_offset), context.span_id) &&
                      read_hex(text.substr(flags_offset), flags);
  if (!is_hex || version[0] == 0xFF || is_zero(context.trace_id) || is_zero(context.span_id)) {
    return std::nullopt;
  }
  const bool has_more_fields = text.size() > version_00_size;
  if (has_more_fields && (version[0] == 0 || text[version_00_size] != '-')) {
    return std::nullopt;
  }
  // Flags that later versions define must not be sent in a version 00 header.
  context.flags = flags[0] & sampled_flag;
  return context;
}

std::string to_traceparent(const trace_context& context) {
  return fmt::format("00-{}-{}-{:02x}", trace_id_text(context), span_id_text(context),
                     context.flags & sampled_flag);
}

trace_context new_trace(random_source& random) {
  trace_context context;
  context.trace_id = random_id<16>(random);
  context.span_id = random_id<8>(random);
  return context;
}

trace_context child_span(const trace_context& parent, random_source& random) {
  auto child = parent;
  child.span_id = random_id<8>(random);
  return child;
}

trace_context continue_trace(std::string_view traceparent, random_source& random) {
  const auto parent = parse_traceparent(traceparent);
  return parent ? child_span(*parent, random) : new_trace(random);
}

std::string trace_id_text(const trace_context& context) {
  return fmt::format("{:02x}", fmt::join(context.trace_id, ""));
}

std::string span_id_text(const trace_context& context) {
  return fmt::format("{:02x}", fmt::join(context.span_id, ""));
}

}  // namespace rhubarbpath

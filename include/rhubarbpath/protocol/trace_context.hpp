#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "rhubarbpath/state/random.hpp"

namespace rhubarbpath {

/// Identity of one span of a W3C trace, as carried by the `traceparent` header.
struct trace_context {
  std::array<std::uint8_t, 16> trace_id{};  ///< Never all zero in a valid context.
  std::array<std::uint8_t, 8> span_id{};    ///< Never all zero in a valid context.
  std::uint8_t flags{1};                    ///< Bit 0: sampled.

  [[nodiscard]] bool sampled() const noexcept { return (flags & 1U) != 0; }
  friend bool operator==(const trace_context&, const trace_context&) = default;
};

/// Parses a `traceparent` value. Returns nullopt for an invalid one, which W3C Trace Context requires
/// receivers to ignore. A version above 00 may have more fields after the flags.
[[nodiscard]] std::optional<trace_context> parse_traceparent(std::string_view text);

/// Formats a version 00 header. The sampled flag is the only flag of that version.
[[nodiscard]] std::string to_traceparent(const trace_context& context);

/// Starts a new, sampled trace.
[[nodiscard]] trace_context new_trace(random_source& random);

/// Returns a new span of the same trace.
[[nodiscard]] trace_context child_span(const trace_context& parent, random_source& random);

/// Returns a child span of the received header, or a new trace if the header is absent or invalid.
[[nodiscard]] trace_context continue_trace(std::string_view traceparent, random_source& random);

/// Lower-case hexadecimal, as in span records.
[[nodiscard]] std::string trace_id_text(const trace_context& context);
[[nodiscard]] std::string span_id_text(const trace_context& context);

}  // namespace rhubarbpath

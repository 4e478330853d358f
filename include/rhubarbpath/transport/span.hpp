#pragma once

#include <initializer_list>
#include <string_view>

#include "rhubarbpath/protocol/trace_context.hpp"
#include "rhubarbpath/state/units.hpp"
#include "rhubarbpath/transport/log.hpp"

namespace rhubarbpath {

/// One operation within a trace, such as one hop of a request.
struct span {
  trace_context context;
  trace_context parent;  ///< Its span id is all zero for the root span of a trace.
  std::string_view name;
  instant started{};
  instant ended{};
  bool failed{false};
};

/// Writes the span as one JSON line to standard error, using the field names of OpenTelemetry. Spans that
/// are not sampled are skipped.
void write_span(const span& finished, std::initializer_list<log_field> attributes = {});

}  // namespace rhubarbpath

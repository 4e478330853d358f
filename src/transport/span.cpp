#include "rhubarbpath/transport/span.hpp"

#include <fmt/format.h>

#include <cstdio>
#include <nlohmann/json.hpp>

namespace rhubarbpath {

namespace {

std::string unix_nanoseconds(instant timestamp) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::nanoseconds>(timestamp.time_since_epoch()).count());
}

}  // namespace

void write_span(const span& finished, std::initializer_list<log_field> attributes) {
  if (!finished.context.sampled()) {
    return;
  }
  constexpr int status_ok = 1;
  constexpr int status_error = 2;
  nlohmann::ordered_json line{{"traceId", trace_id_text(finished.context)},
                              {"spanId", span_id_text(finished.context)},
                              {"parentSpanId", span_id_text(finished.parent)},
                              {"name", finished.name},
                              {"startTimeUnixNano", unix_nanoseconds(finished.started)},
                              {"endTimeUnixNano", unix_nanoseconds(finished.ended)},
                              {"status", {{"code", finished.failed ? status_error : status_ok}}}};
  for (const auto& attribute : attributes) {
    std::visit([&](const auto& value) { line["attributes"][std::string{attribute.name}] = value; },
               attribute.value);
  }
  constexpr auto replace = nlohmann::ordered_json::error_handler_t::replace;
  fmt::print(stderr, "{}\n", line.dump(-1, ' ', false, replace));
}

}  // namespace rhubarbpath

#include "rhubarbpath/protocol/trace_context.hpp"

#include <catch2/catch.hpp>

namespace rhubarbpath {

namespace {
const std::string valid_header = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
}

// Guards against spans that lose their trace id between two hops.
TEST_CASE("traceparent_valid_round_trips_and_is_continued") {
  const auto context = parse_traceparent(valid_header);
  REQUIRE(context.has_value());
  CHECK(to_traceparent(*context) == valid_header);
  CHECK(trace_id_text(*context) == "4bf92f3577b34da6a3ce929d0e0e4736");
  CHECK(span_id_text(*context) == "00f067aa0ba902b7");
  random_source random{7};
  const auto child = continue_trace(valid_header, random);
  CHECK(child.trace_id == context->trace_id);
  CHECK(child.span_id != context->span_id);
  CHECK(child.sampled());
  CHECK(parse_traceparent(to_traceparent(child)) == child);
  CHECK_FALSE(parse_traceparent(valid_header.substr(0, 53) + "00")->sampled());
}

// Guards against a malformed header that is forwarded instead of being replaced with a new trace.
TEST_CASE("traceparent_invalid_begins_a_new_trace") {
  const auto text = GENERATE(values<std::string>({
      "",
      "00",
      "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
      "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
      "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
      "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01",
      "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-0g",
      "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-extra",
      "cc-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01x",
      "00_4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
  }));
  INFO(text);
  CHECK_FALSE(parse_traceparent(text).has_value());
  random_source random{7};
  CHECK(parse_traceparent(to_traceparent(continue_trace(text, random))).has_value());
}

// Guards against rejecting the longer headers of later versions, and against forwarding their unknown flags.
TEST_CASE("traceparent_later_version_is_read_as_version_00") {
  const auto context = parse_traceparent("cc-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-03-more");
  REQUIRE(context.has_value());
  CHECK(to_traceparent(*context) == valid_header);
}

}  // namespace rhubarbpath

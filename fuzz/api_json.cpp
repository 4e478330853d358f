#include "rhubarbpath/protocol/api_json.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "rhubarbpath/protocol/document_row.hpp"
#include "rhubarbpath/protocol/trace_context.hpp"

namespace {

/// What was decoded must be encoded and decoded to the same value.
template <class Decode, class Encode>
void check_round_trip(std::string_view body, Decode decode, Encode encode) {
  const auto value = decode(body);
  if (!value.ok()) {
    return;
  }
  const auto again = decode(encode(*value));
  if (!again.ok() || !(*again == *value)) {
    std::abort();
  }
}

}  // namespace

/// Looks for bodies and headers that crash the codecs or change when they are encoded again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace rhubarbpath;
  const std::string_view body{reinterpret_cast<const char*>(data), size};
  check_round_trip(body, parse_job_submission, encode_job_submission);
  check_round_trip(body, decode_job_answer, encode_job_answer);
  check_round_trip(body, decode_job_record, encode_job_record);
  check_round_trip(body, decode_outcome, encode_outcome);
  check_round_trip(body, decode_status, encode_status);
  (void)decode_document_row(body);
  (void)parse_wait(body);
  const auto colon = body.find(':');
  if (colon != std::string_view::npos) {
    const std::string name{body.substr(0, colon)};
    (void)parse_caller_headers({{name, std::string{body.substr(colon + 1)}}});
  }
  const auto trace = parse_traceparent(body);
  if (trace && parse_traceparent(to_traceparent(*trace)) != trace) {
    std::abort();
  }
  return 0;
}

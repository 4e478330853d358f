#include "rhubarbpath/coordination/write_gate.hpp"

#include <catch2/catch.hpp>

namespace rhubarbpath {
namespace {

using std::chrono::milliseconds;

class gate_fixture {
 protected:
  write_gate gate;
  instant start{std::chrono::seconds{1000}};
};

TEST_CASE_METHOD(gate_fixture, "write_gate_outage_refuses_new_writes_until_an_answer") {
  // Guards against writes that are sent into an outage: their callers learn only that they may have run.
  CHECK(gate.new_write(start) == write_gate::advice::send);
  for (int failure = 0; failure < 10; ++failure) {
    gate.failed(start + failure * milliseconds{200});
  }
  CHECK(gate.new_write(start + milliseconds{2000}) == write_gate::advice::refuse);
  gate.answered();
  CHECK(gate.new_write(start + milliseconds{2001}) == write_gate::advice::send);
}

TEST_CASE_METHOD(gate_fixture, "write_gate_single_lost_answer_delays_without_refusal") {
  // Guards against callers that are refused because one answer of a sound store was lost.
  gate.failed(start);
  CHECK(gate.new_write(start + milliseconds{100}) == write_gate::advice::wait);
  gate.answered();
  gate.failed(start + milliseconds{900});
  CHECK(gate.new_write(start + milliseconds{1000}) == write_gate::advice::wait);
}

}  // namespace
}  // namespace rhubarbpath

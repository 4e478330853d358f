#include "rhubarbpath/coordination/placement.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

#include "../tests/coordination/placement_machine.hpp"

// Drives the same state machine as the property test. A broken promise ends with an uncaught exception, which
// libFuzzer reports together with the input.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  rhubarbpath::testing::placement_machine{std::vector<std::uint8_t>(data, data + size)}.run();
  return 0;
}

#include "rhubarbpath/protocol/peer_messages.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

// A message that decodes must survive a second round trip unchanged.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace rhubarbpath;
  const auto decoded = peer::decode({reinterpret_cast<const char*>(data), size});
  if (!decoded.ok()) {
    return 0;
  }
  const auto again = peer::decode(peer::encode(*decoded));
  if (!again.ok() || !(*again == *decoded)) {
    std::abort();
  }
  return 0;
}

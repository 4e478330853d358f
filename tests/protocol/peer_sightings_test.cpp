#include "rhubarbpath/protocol/peer_sightings.hpp"

#include <catch2/catch.hpp>
#include <string>

namespace rhubarbpath {
namespace {

TEST_CASE("peer_sightings_round_trip_keeps_every_field") {
  const auto decoded = decode_sightings(
      encode_sightings({{.address = "10.0.0.1:1", .age = duration{5}, .processor_cores = 0.5},
                        {.address = "10.0.0.2:1", .age = duration{0}, .processor_cores = 4}}));
  REQUIRE(decoded.size() == 2);
  CHECK(decoded[0].address == "10.0.0.1:1");
  CHECK(decoded[0].age == duration{5});
  CHECK(decoded[0].processor_cores == 0.5);
  CHECK(decoded[1].address == "10.0.0.2:1");
}

TEST_CASE("peer_sightings_that_cannot_be_read_are_empty") {
  // Guards against one message that ends a process: nested so deeply that the parser's stack overflows, or
  // with a length for which it throws.
  for (const auto& odd :
       {std::string{}, std::string{"\xff"}, std::string{"\x81\x01"}, "\x9b" + std::string(8, '\xff'),
        "\x9b\x0f" + std::string(7, '\xff'), "\xbb" + std::string(8, '\xff'), std::string(1'000'000, '\x81'),
        std::string(1'000'000, '\x9f'), std::string{"\x81\x83\x01\x02\x03"}}) {
    INFO(odd.size() << " bytes");
    CHECK(decode_sightings(odd).empty());
  }
}

}  // namespace
}  // namespace rhubarbpath

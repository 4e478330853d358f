#include "rhubarbpath/coordination/peer_directory.hpp"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

namespace rhubarbpath {
namespace {

using std::chrono::seconds;

peer_directory::peer_record sighting(int number) {
  return {.address = "127.0.0.1:" + std::to_string(number), .age = duration::zero(), .processor_cores = 1.0};
}

TEST_CASE("peer_directory_full_takes_new_addresses_only_for_expired_ones") {
  // Guards against a list of invented peers that makes the directory grow, and against one that keeps VMs out
  // after its entries have expired.
  peer_directory directory{{.self = "127.0.0.1:1", .max_addresses = 3}};
  const instant start{seconds{100}};
  directory.set_seeds({"127.0.0.1:2"}, start);
  directory.merge({sighting(3), sighting(4), sighting(5)}, start);
  directory.heard_from("127.0.0.1:6", start);
  CHECK(directory.sightings(start).size() == 3);
  // A known address is still refreshed.
  directory.heard_from("127.0.0.1:4", start + seconds{9});
  const auto later = start + seconds{12};
  directory.heard_from("127.0.0.1:6", later);
  const auto known = directory.sightings(later);
  REQUIRE(known.size() == 3);
  CHECK(known[1].address == "127.0.0.1:4");
  CHECK(known[2].address == "127.0.0.1:6");
}

TEST_CASE("peer_directory_ignores_an_address_of_excessive_length") {
  // Guards against entries that take any amount of memory.
  peer_directory directory{{.self = "127.0.0.1:1"}};
  const instant now{seconds{100}};
  directory.heard_from(std::string(65, '1'), now);
  CHECK(directory.sightings(now).size() == 1);
  directory.heard_from("127.0.0.1:2", now);
  CHECK(directory.sightings(now).size() == 2);
}

}  // namespace
}  // namespace rhubarbpath

#include "rhubarbpath/protocol/peer_sightings.hpp"

#include <nlohmann/json.hpp>

#include "bounded_cbor.hpp"

namespace rhubarbpath {

std::string encode_sightings(const std::vector<peer_directory::peer_record>& sightings) {
  nlohmann::json rows = nlohmann::json::array();
  for (const auto& each : sightings) {
    rows.push_back({each.address, each.age.count(), each.processor_cores});
  }
  const auto bytes = nlohmann::json::to_cbor(rows);
  return {bytes.begin(), bytes.end()};
}

std::vector<peer_directory::peer_record> decode_sightings(std::string_view body) {
  /// The list, a row, and a list that a later version may add to a row.
  constexpr std::size_t max_depth = 3;
  const auto rows = detail::parse_cbor(body, max_depth);
  std::vector<peer_directory::peer_record> sightings;
  if (!rows || !rows->is_array()) {
    return sightings;
  }
  constexpr std::size_t min_fields = 3;
  for (const auto& row : *rows) {
    if (row.is_array() && row.size() >= min_fields && row[0].is_string() && row[1].is_number_integer() &&
        row[2].is_number()) {
      sightings.push_back({.address = row[0].get<std::string>(),
                           .age = duration{row[1].get<std::int64_t>()},
                           .processor_cores = row[2].get<double>()});
    }
  }
  return sightings;
}

}  // namespace rhubarbpath

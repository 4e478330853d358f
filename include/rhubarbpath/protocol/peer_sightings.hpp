#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "rhubarbpath/coordination/peer_directory.hpp"

/// CBOR encoding of the lists of peers that VMs exchange.
namespace rhubarbpath {

[[nodiscard]] std::string encode_sightings(const std::vector<peer_directory::peer_record>& sightings);
/// Skips rows that cannot be read, which come from other versions of this program.
[[nodiscard]] std::vector<peer_directory::peer_record> decode_sightings(std::string_view body);

}  // namespace rhubarbpath

#pragma once

#include <string>
#include <string_view>

#include "rhubarbpath/state/document.hpp"
#include "rhubarbpath/state/store.hpp"

namespace rhubarbpath {

/// Lower-case hexadecimal SHA-256 of the bytes.
[[nodiscard]] std::string sha256_hex(std::string_view bytes);

/// True when the digest belongs to the bytes.
[[nodiscard]] bool digest_matches(const versioned_document& document);

/// The document in a store row that holds only its bytes, versioned by the row's revision. The daemons'
/// row carries its own version, see `document_row`.
[[nodiscard]] versioned_document document_from_row(const store_row& row);

}  // namespace rhubarbpath

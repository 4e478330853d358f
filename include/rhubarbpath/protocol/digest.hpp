#pragma once

#include <string>
#include <string_view>

#include "rhubarbpath/state/document.hpp"
#include "rhubarbpath/state/store.hpp"

namespace rhubarbpath {

/// Returns the SHA-256 of the bytes in lower-case hexadecimal.
[[nodiscard]] std::string sha256_hex(std::string_view bytes);

/// Returns true if `digest` is the SHA-256 of `bytes`.
[[nodiscard]] bool digest_matches(const versioned_document& document);

/// Builds a document from a store row whose value is the document's bytes; the row's revision is the
/// version. Rows written by the daemons carry their own version, see `document_row`.
[[nodiscard]] versioned_document document_from_row(const store_row& row);

}  // namespace rhubarbpath

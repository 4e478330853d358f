#include "rhubarbpath/protocol/digest.hpp"

#include <openssl/evp.h>

#include <array>

namespace rhubarbpath {

std::string sha256_hex(std::string_view bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> hash{};
  unsigned int length = 0;
  // Fails only if the library lacks SHA-256. The empty digest then matches no document.
  if (EVP_Digest(bytes.data(), bytes.size(), hash.data(), &length, EVP_sha256(), nullptr) != 1) {
    return {};
  }
  constexpr std::string_view digits = "0123456789abcdef";
  std::string text;
  text.reserve(2 * static_cast<std::size_t>(length));
  for (unsigned int index = 0; index < length; ++index) {
    text += digits[hash.at(index) >> 4U];
    text += digits[hash.at(index) & 0xfU];
  }
  return text;
}

bool digest_matches(const versioned_document& document) {
  return !document.digest.empty() && document.digest == sha256_hex(document.bytes);
}

versioned_document document_from_row(const store_row& row) {
  return {.version = document_version{row.at.value()}, .digest = sha256_hex(row.value), .bytes = row.value};
}

}  // namespace rhubarbpath

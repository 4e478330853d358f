#include "rhubarbpath/protocol/document_row.hpp"

#include <absl/status/status.h>
#include <fmt/format.h>

#include "json_fields.hpp"
#include "rhubarbpath/protocol/digest.hpp"
#include "rhubarbpath/protocol/document_yaml.hpp"
#include "rhubarbpath/state/store.hpp"
#include "utf8.hpp"

namespace rhubarbpath {

namespace {
constexpr std::size_t digest_digits = 64;
constexpr std::size_t max_name_bytes = 256;
}  // namespace

std::string document_key(std::string_view environment) {
  return fmt::format("/env/{}/document", environment);
}

absl::StatusOr<std::string> encode_document_row(const document_row& row) {
  if (detail::invalid_utf8_position(row.document.bytes)) {
    return absl::InvalidArgumentError("the document is not UTF-8; save the file as UTF-8");
  }
  auto value = detail::dump_json({{"version", row.document.version.value()},
                                  {"digest", row.document.digest},
                                  {"promoted_by", row.promoted_by},
                                  {"promoted_at", row.promoted_at},
                                  {"bytes", row.document.bytes}});
  if (value.size() > max_store_value_bytes) {
    return absl::InvalidArgumentError(
        fmt::format("the document takes {} bytes in the store; accepted: at most {}", value.size(),
                    max_store_value_bytes));
  }
  return value;
}

absl::StatusOr<document_row> decode_document_row(std::string_view value) {
  const auto parsed = detail::parse_json_object(value, max_store_value_bytes);
  if (!parsed.ok()) {
    return absl::DataLossError(parsed.status().message());
  }
  detail::json_fields fields{*parsed, ""};
  document_row row;
  row.document.version = document_version{fields.unsigned_integer("version")};
  row.document.digest = fields.text("digest", digest_digits);
  row.document.bytes = fields.text_or("bytes", max_document_bytes, "");
  row.promoted_by = fields.text_or("promoted_by", max_name_bytes, "");
  row.promoted_at = fields.text_or("promoted_at", max_name_bytes, "");
  if (!fields.has("bytes")) {
    fields.problem("bytes", "is missing", "the document's text");
  }
  if (fields.ok() && sha256_hex(row.document.bytes) != row.document.digest) {
    fields.problem("digest", "does not match the bytes", "their SHA-256");
  }
  if (!fields.ok()) {
    return absl::DataLossError(fields.status().message());
  }
  return row;
}

}  // namespace rhubarbpath

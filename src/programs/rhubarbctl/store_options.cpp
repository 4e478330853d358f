#include "store_options.hpp"

#include <fmt/format.h>

namespace rhubarbpath::ctl {

json row_to_json(const stored_document& stored) {
  if (!stored.row) {
    return {{"version", 0}};
  }
  return {{"version", stored.row->document.version.value()},
          {"digest", stored.row->document.digest},
          {"promoted_by", stored.row->promoted_by},
          {"promoted_at", stored.row->promoted_at}};
}

std::string describe_row(const stored_document& stored) {
  if (!stored.row) {
    return "version 0 (no document)";
  }
  const auto& row = *stored.row;
  return fmt::format("version {}, digest {}, by {} at {}", row.document.version.value(), row.document.digest,
                     row.promoted_by, row.promoted_at);
}

}  // namespace rhubarbpath::ctl

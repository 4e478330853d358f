#pragma once

#include <fstream>
#include <sstream>
#include <string>
#include <string_view>

namespace rhubarbpath::testing {

/// Small valid document, of which tests replace parts. The region is on line 2.
inline const std::string valid_document = R"(regions:
  - id: tas
    failure_domains:
      - id: hba
        racks:
          - {id: r1, workers: 4, first_address: "127.0.0.1:9000", service: lendbook}
          - {id: r2, workers: 4, address: "10.1.0.{n}:9000"}
services:
  - id: lendbook
    classes:
      - {id: hold, deadline: 250ms, non_idempotent: true}
      - {id: check, queue_limit: 7}
teams:
  - id: studio
    max_accelerators: 64
    guarantees:
      - {count: 1, members: 2, accelerators_per_member: 8, within: rack, failure_domain: hba}
      - {accelerators_per_member: 4}
job_classes:
  - {id: nightly, finish_by: "06:30"}
budgets:
  retries: 2.5%
)";

inline std::string replaced(std::string text, std::string_view from, std::string_view to) {
  const auto at = text.find(from);
  return at == std::string::npos ? "text to replace not found" : text.replace(at, from.size(), to);
}

inline std::string read_file(const std::string& path) {
  std::ifstream file{path};
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace rhubarbpath::testing

#pragma once

#include <vector>

#include "rhubarbpath/protocol/document_yaml.hpp"
#include "yaml_fields.hpp"

namespace rhubarbpath::detail {

/// Size of one rack. All its workers have the same number of accelerators.
struct rack_size {
  failure_domain_id failure_domain;
  int workers{0};
  int accelerators_per_worker{0};
};

/// Reports guarantees that the fleet or the limits of their team rule out: a shape that fits nowhere, a
/// count above the capacity of the failure domain, sums above the capacity of the fleet, and a team limit
/// below the guarantees. `check_document` finds guarantees that pass these checks but cannot be packed
/// together.
void check_guarantee_sizes(const environment_document& document, const document_lines& lines,
                           const std::vector<rack_size>& racks, problem_list& problems);

}  // namespace rhubarbpath::detail

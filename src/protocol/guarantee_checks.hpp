#pragma once

#include <vector>

#include "rhubarbpath/protocol/document_yaml.hpp"
#include "yaml_fields.hpp"

namespace rhubarbpath::detail {

/// The workers of one rack, all alike.
struct rack_size {
  failure_domain_id failure_domain;
  int workers{0};
  int accelerators_per_worker{0};
};

/// Reports guarantees that contradict the fleet or their own team: a shape that fits nowhere, a count
/// above what the failure domain holds, sums above the fleet, and limits below the guarantee.
/// Guarantees that only fail together in their exact packing are found by the placement layer.
void check_guarantee_sizes(const environment_document& document, const document_lines& lines,
                           const std::vector<rack_size>& racks, problem_list& problems);

}  // namespace rhubarbpath::detail

#pragma once

#include <string_view>

#include "rhubarbpath/state/fleet.hpp"

namespace rhubarbpath {

/// Returns the queue of `host` with the longest path prefix that matches `path`, or null if none matches. A
/// port in `host` is ignored.
[[nodiscard]] const queue_config* find_queue(const fleet_config& config, std::string_view host,
                                             std::string_view path);

/// Returns the team that the API key belongs to, or null if no team has it.
[[nodiscard]] const team_config* find_team(const fleet_config& config, std::string_view key);

/// Returns whether `id` is well-formed: 16 hexadecimal digits.
[[nodiscard]] bool is_job_id(const job_id& id);

}  // namespace rhubarbpath

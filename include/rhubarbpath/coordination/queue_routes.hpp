#pragma once

#include <string_view>

#include "rhubarbpath/state/fleet.hpp"

namespace rhubarbpath {

/// The queue of the host whose prefix is the longest that `path` begins with, or null. A port in `host`
/// is ignored.
[[nodiscard]] const queue_config* find_queue(const fleet_config& config, std::string_view host,
                                             std::string_view path);

/// The team that has this key, or null.
[[nodiscard]] const team_config* find_team(const fleet_config& config, std::string_view key);

/// Job ids are 16 hexadecimal digits.
[[nodiscard]] bool is_job_id(const job_id& id);

}  // namespace rhubarbpath

#include "rhubarbpath/coordination/queue_routes.hpp"

#include <algorithm>
#include <cctype>

namespace rhubarbpath {

const queue_config* find_queue(const fleet_config& config, std::string_view host, std::string_view path) {
  const auto name = host.substr(0, host.find(':'));
  const queue_config* longest_match = nullptr;
  for (const auto& queue : config.queues) {
    if (queue.host == name && path.starts_with(queue.path_prefix) &&
        (longest_match == nullptr || queue.path_prefix.size() > longest_match->path_prefix.size())) {
      longest_match = &queue;
    }
  }
  return longest_match;
}

const team_config* find_team(const fleet_config& config, std::string_view key) {
  if (key.empty()) {
    return nullptr;
  }
  const auto found = std::find_if(config.teams.begin(), config.teams.end(), [&](const team_config& team) {
    return std::find(team.keys.begin(), team.keys.end(), key) != team.keys.end();
  });
  return found == config.teams.end() ? nullptr : &*found;
}

bool is_job_id(const job_id& id) {
  constexpr std::size_t id_length = 16;
  const auto& text = id.value();
  return text.size() == id_length && std::all_of(text.begin(), text.end(), [](char character) {
           return std::isxdigit(static_cast<unsigned char>(character)) != 0;
         });
}

}  // namespace rhubarbpath

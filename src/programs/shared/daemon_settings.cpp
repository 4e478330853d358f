#include "daemon_settings.hpp"

#include <fmt/format.h>
#include <tclap/CmdLine.h>
#include <yaml-cpp/yaml.h>

#include <fstream>
#include <functional>
#include <iterator>
#include <map>

namespace rhubarbpath {

namespace {

using reader = std::function<absl::Status(const YAML::Node&)>;

absl::Status problem(const YAML::Node& node, std::string_view message) {
  return absl::InvalidArgumentError(fmt::format("line {}: {}", node.Mark().line + 1, message));
}

/// Reads a mapping in which every key is required exactly once and no other key is accepted.
absl::Status read_mapping(const YAML::Node& node, const std::map<std::string, reader>& readers) {
  if (!node.IsMap()) {
    return problem(node, "a mapping is expected");
  }
  std::map<std::string, int> seen;
  for (const auto& entry : node) {
    const auto key = entry.first.Scalar();
    const auto found = readers.find(key);
    if (found == readers.end()) {
      return problem(entry.first, fmt::format("unknown setting \"{}\"", key));
    }
    if (++seen[key] > 1) {
      return problem(entry.first, fmt::format("setting \"{}\" is given twice", key));
    }
    if (auto status = found->second(entry.second); !status.ok()) {
      return status;
    }
  }
  for (const auto& [key, read] : readers) {
    if (!seen.contains(key)) {
      return problem(node, fmt::format("setting \"{}\" is missing", key));
    }
  }
  return absl::OkStatus();
}

template <class Id>
reader read_id(Id& out) {
  return [&out](const YAML::Node& node) {
    if (!node.IsScalar() || node.Scalar().empty()) {
      return problem(node, "a name is expected");
    }
    out = Id{node.Scalar()};
    return absl::OkStatus();
  };
}

reader read_address(std::string& out) {
  return [&out](const YAML::Node& node) {
    if (!node.IsScalar()) {
      return problem(node, "an IP number and port is expected, for example 127.0.0.1:8000");
    }
    if (const auto parsed = parse_address(node.Scalar()); !parsed.ok()) {
      return problem(node, std::string{parsed.status().message()});
    }
    out = node.Scalar();
    return absl::OkStatus();
  };
}

reader read_log_level(log_level& out) {
  return [&out](const YAML::Node& node) {
    static const std::map<std::string, log_level> levels{{"debug", log_level::debug},
                                                         {"info", log_level::info},
                                                         {"warning", log_level::warning},
                                                         {"error", log_level::error}};
    const auto found = node.IsScalar() ? levels.find(node.Scalar()) : levels.end();
    if (found == levels.end()) {
      return problem(node, "log_level must be debug, info, warning or error");
    }
    out = found->second;
    return absl::OkStatus();
  };
}

reader read_environment(std::string& out) {
  return [&out](const YAML::Node& node) {
    if (!node.IsScalar() || (node.Scalar() != "trial" && node.Scalar() != "production")) {
      return problem(node, "environment must be trial or production");
    }
    out = node.Scalar();
    return absl::OkStatus();
  };
}

reader read_peers(std::vector<vm_addresses>& out) {
  return [&out](const YAML::Node& node) {
    if (!node.IsSequence()) {
      return problem(node, "peers must be a list of vm, entry and scheduler");
    }
    for (const auto& item : node) {
      vm_addresses peer;
      auto status = read_mapping(item, {{"vm", read_id(peer.vm)},
                                        {"entry", read_address(peer.entry)},
                                        {"scheduler", read_address(peer.scheduler)}});
      if (!status.ok()) {
        return status;
      }
      out.push_back(std::move(peer));
    }
    return absl::OkStatus();
  };
}

}  // namespace

absl::StatusOr<daemon_settings> read_settings(const std::string& path) {
  std::ifstream file{path};
  if (!file) {
    return absl::NotFoundError(fmt::format("cannot open settings file {}", path));
  }
  const std::string text{std::istreambuf_iterator<char>{file}, {}};
  daemon_settings settings;
  absl::Status status;
  // yaml-cpp reports malformed YAML by exception only.
  try {
    status = read_mapping(YAML::Load(text), {{"vm", read_id(settings.self.vm)},
                                             {"failure_domain", read_id(settings.failure_domain)},
                                             {"environment", read_environment(settings.environment)},
                                             {"entry_http", read_address(settings.entry_http)},
                                             {"entry_peer", read_address(settings.self.entry)},
                                             {"scheduler_http", read_address(settings.scheduler_http)},
                                             {"scheduler_peer", read_address(settings.self.scheduler)},
                                             {"store", read_address(settings.store)},
                                             {"peers", read_peers(settings.peers)},
                                             {"log_level", read_log_level(settings.lowest_log_level)}});
  } catch (const YAML::Exception& error) {
    status = absl::InvalidArgumentError(error.what());
  }
  if (!status.ok()) {
    return absl::InvalidArgumentError(fmt::format("{}: {}", path, std::string{status.message()}));
  }
  return settings;
}

std::string settings_argument(int argc, char** argv, const std::string& description) {
  TCLAP::CmdLine line{description, ' ', "0.1.0"};
  TCLAP::ValueArg<std::string> settings{"s",    "settings", "YAML settings file of this VM", true, "",
                                        "FILE", line};
  line.parse(argc, argv);
  return settings.getValue();
}

}  // namespace rhubarbpath

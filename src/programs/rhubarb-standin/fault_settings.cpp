#include "fault_settings.hpp"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace rhubarbpath::standin {

namespace {

using nlohmann::json;

absl::Status unknown_member(const std::string& name) {
  return absl::InvalidArgumentError(fmt::format("unknown or mistyped member \"{}\"", name));
}

bool read_flag(const json& value, bool& out) {
  if (!value.is_boolean()) {
    return false;
  }
  out = value.get<bool>();
  return true;
}

bool read_milliseconds(const json& value, duration& out) {
  if (!value.is_number_unsigned()) {
    return false;
  }
  out = std::chrono::milliseconds{value.get<std::uint32_t>()};
  return true;
}

bool read_number(const json& value, int& out) {
  if (!value.is_number_unsigned()) {
    return false;
  }
  out = static_cast<int>(value.get<std::uint32_t>());
  return true;
}

bool read_store_member(const std::string& name, const json& value, store_faults& out) {
  return (name == "down" && read_flag(value, out.down)) ||
         (name == "slow_ms" && read_milliseconds(value, out.slow)) ||
         (name == "lose_answers_percent" && read_number(value, out.lose_answers_percent)) ||
         (name == "writes_per_second" && read_number(value, out.writes_per_second));
}

bool read_worker_member(const std::string& name, const json& value, worker_faults& out) {
  return (name == "fail_tasks" && read_flag(value, out.fail_tasks)) ||
         (name == "fail_requests" && read_flag(value, out.fail_requests)) ||
         (name == "paused" && read_flag(value, out.paused)) ||
         (name == "down" && read_flag(value, out.down)) ||
         (name == "leaving" && read_flag(value, out.leaving)) ||
         (name == "slow_ms" && read_milliseconds(value, out.slow)) ||
         (name == "cut_answers_percent" && read_number(value, out.cut_answers_percent));
}

absl::Status read_store(const json& members, store_faults& out) {
  for (const auto& [name, value] : members.items()) {
    if (!read_store_member(name, value, out)) {
      return unknown_member("store." + name);
    }
  }
  return absl::OkStatus();
}

absl::Status read_workers(const json& workers, const std::vector<worker_id>& known_workers,
                          std::map<worker_id, worker_faults>& out) {
  for (const auto& [id, members] : workers.items()) {
    const auto selected = id == "*" ? known_workers : std::vector<worker_id>{worker_id{id}};
    for (const auto& worker : selected) {
      for (const auto& [name, value] : members.items()) {
        if (!read_worker_member(name, value, out[worker])) {
          return unknown_member(fmt::format("workers.{}.{}", id, name));
        }
      }
    }
  }
  return absl::OkStatus();
}

}  // namespace

absl::Status apply_faults(std::string_view body, const std::vector<worker_id>& known_workers,
                          fault_settings& settings) {
  const auto parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object()) {
    return absl::InvalidArgumentError("the body must be a JSON object");
  }
  auto changed = settings;
  for (const auto& [name, value] : parsed.items()) {
    absl::Status status;
    if (name == "store" && value.is_object()) {
      status = read_store(value, changed.store);
    } else if (name == "workers" && value.is_object()) {
      status = read_workers(value, known_workers, changed.workers);
    } else if (!(name == "vm_list_lag_ms" && read_milliseconds(value, changed.vm_list_lag)) &&
               !(name == "silence" && read_flag(value, changed.silence_connections))) {
      status = unknown_member(name);
    }
    if (!status.ok()) {
      return status;
    }
  }
  settings = changed;
  return absl::OkStatus();
}

}  // namespace rhubarbpath::standin

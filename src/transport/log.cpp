#include "rhubarbpath/transport/log.hpp"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace rhubarbpath {

namespace {

struct log_settings {
  std::string program{"rhubarbpath"};
  std::string vm;
  log_level lowest{log_level::info};
};

log_settings& settings() {
  static log_settings instance;
  return instance;
}

std::string_view level_name(log_level level) {
  switch (level) {
    case log_level::debug:
      return "debug";
    case log_level::info:
      return "info";
    case log_level::warning:
      return "warning";
    case log_level::error:
      return "error";
  }
  return "error";
}

std::string timestamp() {
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
  const auto millis = now.time_since_epoch().count() % 1000;
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                     millis);
}

}  // namespace

void configure_log(std::string program, std::string vm, log_level lowest) {
  settings() = {.program = std::move(program), .vm = std::move(vm), .lowest = lowest};
}

void log(log_level level, std::string_view message, std::initializer_list<log_field> fields) {
  if (level < settings().lowest) {
    return;
  }
  nlohmann::ordered_json line{{"time", timestamp()},
                              {"level", level_name(level)},
                              {"program", settings().program},
                              {"vm", settings().vm},
                              {"message", message}};
  for (const auto& field : fields) {
    std::visit([&](const auto& value) { line[std::string{field.name}] = value; }, field.value);
  }
  constexpr auto replace = nlohmann::ordered_json::error_handler_t::replace;
  fmt::print(stderr, "{}\n", line.dump(-1, ' ', false, replace));
}

}  // namespace rhubarbpath

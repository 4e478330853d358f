#include "rhubarbpath/transport/log.hpp"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <poll.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <climits>
#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

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

/// Lines for standard output that could not be written yet.
struct output_buffer {
  bool enabled{false};
  std::string bytes;
  std::uint64_t dropped{0};
};

output_buffer& output() {
  static output_buffer instance;
  return instance;
}

/// Bytes that wait for a slow reader; about a thousand lines.
constexpr std::size_t max_buffered_bytes = 256U << 10U;

/// A pipe that polls as writable takes this many bytes without blocking.
constexpr std::size_t unblocked_write_bytes = PIPE_BUF;

void write_buffered(output_buffer& buffer) {
  std::size_t written = 0;
  while (written < buffer.bytes.size()) {
    pollfd writable{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    if (poll(&writable, 1, 0) <= 0 || (writable.revents & POLLOUT) == 0) {
      break;
    }
    const auto count =
        write(STDOUT_FILENO, buffer.bytes.data() + written,
              std::min(unblocked_write_bytes, buffer.bytes.size() - written));
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      break;
    }
    written += static_cast<std::size_t>(count);
  }
  buffer.bytes.erase(0, written);
}

void append_line(output_buffer& buffer, std::string line) {
  if (buffer.dropped > 0 && buffer.bytes.size() < max_buffered_bytes / 2) {
    buffer.bytes += fmt::format("{{\"level\":\"warning\",\"message\":\"log_lines_dropped\",\"count\":{}}}\n",
                                std::exchange(buffer.dropped, 0));
  }
  if (buffer.bytes.size() + line.size() > max_buffered_bytes) {
    ++buffer.dropped;
  } else {
    buffer.bytes += line;
  }
  write_buffered(buffer);
}

}  // namespace

void log_to_standard_output() { output().enabled = true; }

void configure_log(std::string program, std::string vm, log_level lowest) {
  settings() = {.program = std::move(program), .vm = std::move(vm), .lowest = lowest};
}

void log(log_level level, std::string_view message, std::span<const log_field> fields) {
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
  auto text = line.dump(-1, ' ', false, replace) + "\n";
  if (output().enabled) {
    append_line(output(), std::move(text));
  } else {
    fmt::print(stderr, "{}", text);
  }
}

}  // namespace rhubarbpath

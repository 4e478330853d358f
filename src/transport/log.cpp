#include "rhubarbpath/transport/log.hpp"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <climits>
#include <cstdio>
#include <ctime>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

namespace rhubarbpath {

namespace {

struct log_settings {
  std::string program{"rhubarbpath"};
  std::string vm;
  log_level min_level{log_level::info};
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

log_totals& totals() {
  static log_totals instance;
  return instance;
}

std::string timestamp() {
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
  const auto millis = now.time_since_epoch().count() % 1000;
  // Formatting date and time costs more than the rest of a line, so the result is cached for one second.
  static std::time_t formatted_second{-1};
  static std::string formatted;
  if (const auto second = std::chrono::system_clock::to_time_t(now); second != formatted_second) {
    formatted_second = second;
    formatted = fmt::format("{:%Y-%m-%dT%H:%M:%S}", fmt::gmtime(second));
  }
  return fmt::format("{}.{:03}Z", formatted, millis);
}

bool needs_escape(char character) {
  return character == '"' || character == '\\' || static_cast<unsigned char>(character) < 0x20 ||
         static_cast<unsigned char>(character) >= 0x7F;
}

void append_json_string(fmt::memory_buffer& out, std::string_view text) {
  if (std::none_of(text.begin(), text.end(), needs_escape)) {
    fmt::format_to(std::back_inserter(out), "\"{}\"", text);
    return;
  }
  constexpr auto replace = nlohmann::json::error_handler_t::replace;
  const auto escaped = nlohmann::json(text).dump(-1, ' ', false, replace);
  out.append(escaped.data(), escaped.data() + escaped.size());
}

struct value_writer {
  fmt::memory_buffer& out;
  void operator()(const std::string& value) const { append_json_string(out, value); }
  void operator()(std::int64_t value) const { fmt::format_to(std::back_inserter(out), "{}", value); }
  void operator()(double value) const {
    const auto text = nlohmann::json(value).dump();
    out.append(text.data(), text.data() + text.size());
  }
  void operator()(bool value) const { fmt::format_to(std::back_inserter(out), "{}", value); }
};

/// Buffers lines that standard output could not accept yet.
struct output_buffer {
  bool enabled{false};
  std::string bytes;
  std::uint64_t dropped{0};
};

output_buffer& output() {
  static output_buffer instance;
  return instance;
}

/// Limit for bytes buffered for a slow reader; about a thousand lines.
constexpr std::size_t max_buffered_bytes = 256U << 10U;

/// A pipe that polls as writable accepts this many bytes without blocking.
constexpr std::size_t max_nonblocking_write_bytes = PIPE_BUF;

void flush_buffer(output_buffer& buffer) {
  std::size_t written = 0;
  while (written < buffer.bytes.size()) {
    pollfd writable{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    if (poll(&writable, 1, 0) <= 0 || (writable.revents & POLLOUT) == 0) {
      break;
    }
    const auto count = write(STDOUT_FILENO, buffer.bytes.data() + written,
                             std::min(max_nonblocking_write_bytes, buffer.bytes.size() - written));
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

void append_line(output_buffer& buffer, const std::string& line) {
  if (buffer.dropped > 0 && buffer.bytes.size() < max_buffered_bytes / 2) {
    buffer.bytes += fmt::format("{{\"level\":\"warning\",\"message\":\"log_lines_dropped\",\"count\":{}}}\n",
                                std::exchange(buffer.dropped, 0));
  }
  if (buffer.bytes.size() + line.size() > max_buffered_bytes) {
    ++buffer.dropped;
    ++totals().dropped_lines;
  } else {
    buffer.bytes += line;
  }
  flush_buffer(buffer);
}

}  // namespace

log_totals logged() {
  return totals();
}

std::optional<log_level> parse_log_level(std::string_view name) {
  for (const auto level : {log_level::debug, log_level::info, log_level::warning, log_level::error}) {
    if (level_name(level) == name) {
      return level;
    }
  }
  return std::nullopt;
}

void log_to_standard_output() {
  output().enabled = true;
}

void configure_log(std::string program, std::string vm, log_level min_level) {
  settings() = {.program = std::move(program), .vm = std::move(vm), .min_level = min_level};
}

void log(log_level level, std::string_view message, std::span<const log_field> fields) {
  if (level < settings().min_level) {
    return;
  }
  fmt::memory_buffer line;
  fmt::format_to(std::back_inserter(line), "{{\"time\":\"{}\",\"level\":\"{}\",\"program\":", timestamp(),
                 level_name(level));
  append_json_string(line, settings().program);
  fmt::format_to(std::back_inserter(line), ",\"vm\":");
  append_json_string(line, settings().vm);
  fmt::format_to(std::back_inserter(line), ",\"message\":");
  append_json_string(line, message);
  for (const auto& field : fields) {
    line.push_back(',');
    append_json_string(line, field.name);
    line.push_back(':');
    std::visit(value_writer{line}, field.value);
  }
  line.push_back('}');
  line.push_back('\n');
  const auto text = fmt::to_string(line);
  ++totals().lines;
  totals().bytes += text.size();
  if (output().enabled) {
    append_line(output(), text);
  } else {
    fmt::print(stderr, "{}", text);
  }
}

}  // namespace rhubarbpath

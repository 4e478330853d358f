#include "rhubarbpath/transport/log.hpp"

#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <cstdio>
#include <string>

namespace rhubarbpath {
namespace {

TEST_CASE("log_to_full_pipe_drops_lines_and_reports_it") {
  // Guards against a stalled reader of standard output blocking the event loop or exhausting memory.
  std::array<int, 2> pipe_ends{};
  REQUIRE(pipe(pipe_ends.data()) == 0);
  std::fflush(stdout);
  const int original = dup(STDOUT_FILENO);
  REQUIRE(dup2(pipe_ends[1], STDOUT_FILENO) == STDOUT_FILENO);
  configure_log("test", "vm \"1\"", log_level::info);
  log_to_standard_output();
  for (int line = 0; line < 10000; ++line) {
    log(log_level::info, "line", {{"number", std::int64_t{line}}, {"text", std::string(60, 'x')}});
  }
  std::string read_back;
  std::array<char, 65536> chunk{};
  for (int round = 0; round < 8; ++round) {
    const auto count = read(pipe_ends[0], chunk.data(), chunk.size());
    REQUIRE(count > 0);
    read_back.append(chunk.data(), static_cast<std::size_t>(count));
    log(log_level::info, "after");
  }
  REQUIRE(dup2(original, STDOUT_FILENO) == STDOUT_FILENO);
  close(original);
  close(pipe_ends[0]);
  close(pipe_ends[1]);
  CHECK(read_back.find("\"vm\":\"vm \\\"1\\\"\"") != std::string::npos);
  CHECK(read_back.find("log_lines_dropped") != std::string::npos);
}

}  // namespace
}  // namespace rhubarbpath

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <string>
#include <vector>

#include "command.hpp"

namespace {

using rhubarbpath::ctl::command;
using rhubarbpath::ctl::command_line;
using rhubarbpath::ctl::command_result;
using rhubarbpath::ctl::commands;
using rhubarbpath::ctl::exit_code;

void print_overview(std::FILE* stream) {
  fmt::print(stream, "usage: rhubarbctl COMMAND [OPTIONS]\n\n");
  for (const auto& known : commands()) {
    fmt::print(stream, "  {:<8} {}\n           {}\n", known.name, known.summary, known.example);
  }
  fmt::print(stream,
             "\nEach command takes --output json and --help. Exit codes: 0 done, 1 negative finding, "
             "2 usage,\n3 conflict, 4 change not accepted, 5 not run, 6 may have run.\n");
}

void print_result(const command_result& result, bool as_json) {
  if (!as_json) {
    fmt::print(stdout, "{}", result.text);
    fmt::print(stderr, "{}", result.error);
    return;
  }
  auto object = result.object;
  object["result"] = to_string(result.code);
  object["exit_code"] = static_cast<int>(result.code);
  if (!result.error.empty()) {
    object["error"] = result.error.substr(0, result.error.find_last_not_of('\n') + 1);
  }
  fmt::print(stdout, "{}\n", object.dump(2, ' ', false, nlohmann::json::error_handler_t::replace));
}

int run(const command& selected, const std::vector<std::string>& args) {
  command_line line{selected.name, selected.summary, selected.example};
  try {
    const auto result = selected.run(line, args);
    print_result(result, line.wants_json());
    return static_cast<int>(result.code);
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    command_result result;
    result.code = exit_code::usage;
    result.error = fmt::format("rhubarbctl {}: {} ({}); see rhubarbctl {} --help\n", selected.name,
                               error.error(), error.argId(), selected.name);
    print_result(result, std::find(args.begin(), args.end(), "json") != args.end());
    return static_cast<int>(exit_code::usage);
  }
}

}  // namespace

int main(int argc, char** argv) {
  // Writing to a connection that a store or entry VM closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  const std::vector<std::string> args{argv + 1, argv + std::max(argc, 1)};
  if (args.empty()) {
    print_overview(stderr);
    return static_cast<int>(exit_code::usage);
  }
  if (args[0] == "--help" || args[0] == "-h" || args[0] == "help") {
    print_overview(stdout);
    return static_cast<int>(exit_code::done);
  }
  for (const auto& known : commands()) {
    if (known.name == args[0]) {
      return run(known, {args.begin() + 1, args.end()});
    }
  }
  fmt::print(stderr, "rhubarbctl: unknown command \"{}\"; available:", args[0]);
  for (const auto& known : commands()) {
    fmt::print(stderr, " {}", known.name);
  }
  fmt::print(stderr, "\n");
  return static_cast<int>(exit_code::usage);
}

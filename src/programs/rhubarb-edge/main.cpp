#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "edge_daemon.hpp"
#include "platform/settings.hpp"
#include "rhubarbpath/transport/log.hpp"

namespace {

/// Exit codes, as documented in docs/OPERATIONS.md.
constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_settings = 2;

int run(const std::string& path, bool check_only, rhubarbpath::log_level lowest) {
  std::ifstream file{path};
  if (!file) {
    std::cerr << "rhubarb-edge: cannot read the settings file " << path << "\n";
    return exit_settings;
  }
  std::stringstream text;
  text << file.rdbuf();
  auto settings = rhubarbpath::platform::decode_settings(text.str());
  if (!settings.ok()) {
    std::cerr << "rhubarb-edge: " << path << ": " << settings.status().message() << "\n";
    return exit_settings;
  }
  if (check_only) {
    std::cout << path << ": ok\n";
    return exit_ok;
  }
  rhubarbpath::configure_log("rhubarb-edge", settings->vm.value(), lowest);
  rhubarbpath::log_to_standard_output();
  // Writing to a connection that the peer has closed must not terminate the process.
  std::signal(SIGPIPE, SIG_IGN);
  rhubarbpath::event_loop loop;
  rhubarbpath::edge::edge_daemon daemon{loop, *settings, path};
  if (const auto status = daemon.start(); !status.ok()) {
    rhubarbpath::log(rhubarbpath::log_level::error, "start_failed",
                     {{"reason", std::string{status.message()}}});
    return exit_failed;
  }
  rhubarbpath::log(rhubarbpath::log_level::info, "started",
                   {{"failure_domain", settings->domain.value()}, {"peer", settings->peer_address}});
  loop.run();
  return exit_ok;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command{"Entry VM of rhubarbpath on the users' platform.", ' ', "0.1.0"};
    // By default TCLAP exits with its own exit code on an invalid command line.
    command.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> settings{
        "s", "settings", "settings file", false, rhubarbpath::platform::settings_path(), "path", command};
    TCLAP::SwitchArg check{"", "check", "check the settings file and exit", command};
    std::vector<std::string> levels{"debug", "info", "warning", "error"};
    TCLAP::ValuesConstraint<std::string> level_names{levels};
    TCLAP::ValueArg<std::string> level{
        "l",          "log-level", "lowest level that is logged; decisions are on info", false, "info",
        &level_names, command};
    command.parse(argc, argv);
    const auto lowest = rhubarbpath::parse_log_level(level.getValue()).value_or(rhubarbpath::log_level::info);
    return run(settings.getValue(), check.getValue(), lowest);
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "rhubarb-edge: " << error.error() << " for " << error.argId() << "\n";
    return exit_settings;
  }
}

#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

#include "edge_daemon.hpp"
#include "platform/settings.hpp"
#include "rhubarbpath/transport/log.hpp"

namespace {

/// Exit codes; docs/OPERATIONS.md lists them.
constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_settings = 2;

int run(const std::string& path, bool check_only) {
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
  rhubarbpath::configure_log("rhubarb-edge", settings->vm.value(), rhubarbpath::log_level::info);
  rhubarbpath::log_to_standard_output();
  // A peer that closes its connection must not end the process.
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
    TCLAP::ValueArg<std::string> settings{
        "s", "settings", "settings file", false, rhubarbpath::platform::settings_path(), "path", command};
    TCLAP::SwitchArg check{"", "check", "check the settings file and exit", command};
    command.parse(argc, argv);
    return run(settings.getValue(), check.getValue());
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "rhubarb-edge: " << error.error() << " for " << error.argId() << "\n";
    return exit_settings;
  }
}

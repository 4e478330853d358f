#pragma once

#include <tclap/CmdLine.h>

#include <string>

#include "daemon_settings.hpp"
#include "rhubarbpath/transport/log.hpp"

namespace rhubarbpath {

/// Reads the settings and runs a daemon of type `Daemon`; returns the exit status of the process.
template <class Daemon>
int daemon_main(int argc, char** argv, const std::string& program, const std::string& description) {
  const auto path = settings_argument(argc, argv, description);
  const auto settings = read_settings(path);
  if (!settings.ok()) {
    configure_log(program, {}, log_level::info);
    log(log_level::error, std::string{settings.status().message()});
    return 1;
  }
  configure_log(program, settings->self.vm.value(), settings->lowest_log_level);
  Daemon daemon{*settings};
  return daemon.serve();
}

}  // namespace rhubarbpath

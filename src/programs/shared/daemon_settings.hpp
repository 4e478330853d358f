#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "rhubarbpath/state/ids.hpp"
#include "rhubarbpath/transport/address.hpp"
#include "rhubarbpath/transport/log.hpp"

namespace rhubarbpath {

/// Addresses of one VM. Each is an IP number and port.
struct vm_addresses {
  vm_id vm;
  std::string entry;      ///< Peer link of `rhubarb-entry`.
  std::string scheduler;  ///< Peer link of `rhubarb-scheduler`.
};

/// The settings file that both daemons of a VM read.
struct daemon_settings {
  vm_addresses self;
  failure_domain_id failure_domain;
  std::string environment{"production"};
  std::string entry_http;
  std::string scheduler_http;
  std::string store;
  /// VMs to contact first; the platform's VM list adds others.
  std::vector<vm_addresses> peers;
  log_level lowest_log_level{log_level::info};
};

/// Fails with `kNotFound` or `kInvalidArgument`; the message names the file, the line and what is accepted.
[[nodiscard]] absl::StatusOr<daemon_settings> read_settings(const std::string& path);

/// Settings path from the command line; prints help and exits as TCLAP does.
[[nodiscard]] std::string settings_argument(int argc, char** argv, const std::string& description);

}  // namespace rhubarbpath

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "rhubarbpath/state/ids.hpp"
#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath {

/// What a process of an entry VM learns from its settings. Addresses are an IP number and port.
struct vm_settings {
  vm_id vm;
  failure_domain_id domain;
  std::string caller_address;      ///< Callers' requests.
  std::string ready_address;       ///< The load balancer's readiness probe.
  std::string peer_address;        ///< Requests of other VMs.
  std::string metrics_address;     ///< Counters and histograms as text.
  std::vector<std::string> seeds;  ///< Peer addresses of some VMs; may be stale.
  std::string store_address;
  std::string adviser_address;  ///< Empty when no queue needs advice.
  double processor_cores{1.0};  ///< Share of a core times its relative speed.
  duration longest_worker_lease{std::chrono::seconds{10}};
  duration stop_grace{std::chrono::seconds{6}};  ///< From SIGTERM to SIGKILL.
  duration task_stop_timeout{std::chrono::milliseconds{200}};
  double remote_factor{3.0};

  friend bool operator==(const vm_settings&, const vm_settings&) = default;
};

}  // namespace rhubarbpath

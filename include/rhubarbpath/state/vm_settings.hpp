#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "rhubarbpath/state/ids.hpp"
#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath {

/// Settings of one process on an entry VM. Addresses consist of an IP number and a port.
struct vm_settings {
  vm_id vm;
  failure_domain_id domain;
  std::string caller_address;      ///< Accepts requests of callers.
  std::string ready_address;       ///< Accepts the load balancer's readiness probe.
  std::string peer_address;        ///< Accepts requests of other VMs.
  std::string metrics_address;     ///< Serves counters and histograms as text.
  std::vector<std::string> seeds;  ///< Peer addresses of some VMs; may be outdated.
  std::string store_address;
  /// Calls that the store takes from all VMs together.
  double store_reads_per_second{2000};
  double store_writes_per_second{400};
  std::string adviser_address;  ///< Empty when no queue has an adviser.
  double processor_cores{1.0};  ///< Share of a core times its relative speed.
  duration longest_worker_lease{std::chrono::seconds{10}};
  duration stop_grace{std::chrono::seconds{6}};  ///< Time between SIGTERM and SIGKILL.
  duration task_stop_timeout{std::chrono::milliseconds{200}};
  duration worker_drain_time{std::chrono::milliseconds{2000}};  ///< Least time that a draining worker stays.
  duration worker_heartbeat_interval{std::chrono::milliseconds{1500}};
  /// A configuration must be in force this long after it was acknowledged.
  duration config_apply_limit{std::chrono::seconds{2}};
  /// Nothing is started in a failure domain this long after its evacuation was requested. Nothing where no
  /// evacuations are requested.
  std::optional<duration> evacuation_limit;
  /// Bound on what accepted jobs make the owner keep. The same on all VMs with 120 MB or more, as each may be
  /// the next owner.
  std::uint64_t max_work_bytes{30U << 20U};
  /// Tasks on workers that the owner keeps the state of.
  std::size_t max_tasks{65'536};
  /// Bound on what all servers of the process together keep for their clients.
  std::uint64_t max_client_bytes{128U << 20U};
  std::size_t max_row_bytes{std::size_t{1} << 20U};  ///< Largest value of a row of the store.
  std::size_t max_sockets{0};                        ///< 0 for the limit of the process.
  double remote_factor{3.0};  ///< Slowdown of a task away from its data or from its gang's rack.

  friend bool operator==(const vm_settings&, const vm_settings&) = default;
};

}  // namespace rhubarbpath

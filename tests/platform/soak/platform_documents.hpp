#pragma once

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

/// The documents that the platform writes: a VM's settings file and the operator's configuration.
namespace rhubarbpath::soak {

constexpr std::uint16_t caller_port = 8521;
constexpr std::uint16_t ready_port = 8523;
constexpr std::uint16_t peer_port = 8526;
constexpr std::string_view caller_host = "soak.example";
constexpr std::string_view normal_queue = "/jobs/";    ///< Priority 1.
constexpr std::string_view urgent_queue = "/urgent/";  ///< Priority 0.
constexpr std::string_view spare_queue = "/spare/";    ///< Priority 2.

/// No start may happen in a failure domain later than this after its evacuation was requested.
constexpr std::chrono::milliseconds evacuation_limit{5000};

/// Calls that the store takes from all VMs together in a second; no limit if 0.
struct store_rates {
  int reads{0};
  int writes{0};
};

struct vm_document {
  std::string name;
  std::string address;  ///< IP number of the VM.
  std::string zone;
  std::vector<std::string> seeds;
  std::string store_address;
  int memory_mb{0};        ///< Memory limit of the process; left out if 0.
  int max_descriptors{0};  ///< Left out if 0.
  int value_bytes{0};      ///< Largest value of the store; left out if 0.
  store_rates rates;       ///< Left out if 0.
};

/// Replaces the settings file at `path` in one step, so that no process reads a partial file.
void write_settings(const std::filesystem::path& path, const vm_document& vm);

/// Returns version `number` of the configuration. It has three queues for jobs and one queue for each version
/// so far, "/probe-1/" to "/probe-NUMBER/", which shows callers the version that a VM uses.
[[nodiscard]] std::string config_text(int number);

}  // namespace rhubarbpath::soak

#pragma once

#include <filesystem>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "../soak/edge_process.hpp"
#include "../soak/fault_proxy.hpp"
#include "../soak/platform_documents.hpp"
#include "../soak/store_stand_in.hpp"
#include "../soak/worker_fleet.hpp"
#include "rhubarbpath/transport/http_client.hpp"

namespace rhubarbpath::soak {

/// How a caller calls about a job.
struct job_call_options {
  std::string key{"key-a"};
  std::string_view queue{normal_queue};
  std::string timeout_ms;  ///< The caller's time limit, as the header has it; none if empty.
};

/// What the settings of each VM state of its limits; none if 0.
struct vm_limits {
  int memory_mb{0};
  int max_descriptors{0};
  int value_bytes{0};  ///< Largest value of the store.
  store_rates rates;
};

/// A few `rhubarb-edge` processes on loopback, each with a proxy of its own before the stand-in of the store.
class edge_processes {
 public:
  explicit edge_processes(int vms, vm_limits limits = {});
  edge_processes(const edge_processes&) = delete;
  edge_processes(edge_processes&&) = delete;
  edge_processes& operator=(const edge_processes&) = delete;
  edge_processes& operator=(edge_processes&&) = delete;
  ~edge_processes();

  [[nodiscard]] event_loop& loop() noexcept { return loop_; }
  [[nodiscard]] store_stand_in& store() noexcept { return store_; }
  /// Adds a worker without a proxy.
  void add_worker();
  [[nodiscard]] worker_fleet& workers() noexcept { return workers_; }
  [[nodiscard]] fault_proxy& store_proxy(std::size_t vm) { return *vms_.at(vm).store_proxy; }
  [[nodiscard]] std::size_t size() const noexcept { return vms_.size(); }
  void send(std::size_t vm, int signal_number) const { vms_.at(vm).process->send(signal_number); }
  /// Kills the VM's process and waits for its end.
  void kill(std::size_t vm);
  /// Starts the VM's process again after `kill`.
  void start(std::size_t vm);
  /// Whether the process runs that was started last.
  [[nodiscard]] bool alive(std::size_t vm);

  /// Writes version `number` of the configuration.
  void put_config(int number);
  /// Runs the event loop for `length`.
  void run_for(duration length);
  /// Queries the queue that version `number` adds, for a job id that cannot exist: 410 from a VM that knows
  /// the queue.
  [[nodiscard]] http_result query_version(std::size_t vm, int number);
  /// The status of that answer; 0 without one.
  [[nodiscard]] int query_status(std::size_t vm, int number);
  /// Waits until the VM uses version `number`; false after `limit`.
  [[nodiscard]] bool uses(std::size_t vm, int number, duration limit);
  /// Waits until every VM uses version `number`; false after `limit`.
  [[nodiscard]] bool all_use(int number, duration limit);
  /// The state of a job as a caller reads it; empty without an answer of success.
  [[nodiscard]] std::string job_state(std::size_t vm, const std::string& job);
  /// Sends a caller's request for a job and waits for the answer, at most for `patience`. Returns its status;
  /// 0 without one.
  [[nodiscard]] int call_job(std::size_t vm, const std::string& method, const std::string& job,
                             const std::string& body, duration patience,
                             const job_call_options& options = {});
  /// Sends a request as another VM would. Returns the status of the answer; 0 without one.
  int send_as_peer(std::size_t vm, const std::string& path, const std::string& body);
  /// Sends a GET to a port of the VM. Returns the status of the answer; 0 without one.
  [[nodiscard]] int get_status(std::size_t vm, std::uint16_t port, const std::string& path);
  /// The IP number of the VM.
  [[nodiscard]] const std::string& address(std::size_t vm) const { return vms_.at(vm).address; }
  /// The id of the VM's process; 0 after its end.
  [[nodiscard]] pid_t process_id(std::size_t vm) const { return vms_.at(vm).process->id(); }
  /// Number of store calls that the VM has relayed for others.
  [[nodiscard]] int relayed_calls(std::size_t vm);

 private:
  struct entry_vm {
    std::string address;
    std::unique_ptr<fault_proxy> store_proxy;
    std::unique_ptr<edge_process> process;
  };
  [[nodiscard]] http_result call(const std::string& address, const http_request& request, duration patience);
  [[nodiscard]] http_result call_for_job(std::size_t vm, const std::string& method, const std::string& job,
                                         const std::string& body, duration patience,
                                         const job_call_options& options);

  std::filesystem::path folder_;
  std::string network_prefix_;
  event_loop loop_;
  random_source random_{1};
  store_stand_in store_;
  worker_fleet workers_;
  http_client client_;
  std::vector<entry_vm> vms_;
};

}  // namespace rhubarbpath::soak

#pragma once

#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "../../tests/platform/soak/fault_proxy.hpp"
#include "../../tests/platform/soak/store_stand_in.hpp"
#include "delaying_proxy.hpp"
#include "rhubarbpath/transport/http_client.hpp"
#include "vm_process.hpp"
#include "worker.hpp"

namespace rhubarbpath::review {

inline constexpr std::string_view host = "lend.example";
inline constexpr std::string_view urgent_prefix = "/hold-check/";      ///< Priority 0.
inline constexpr std::string_view normal_prefix = "/fit-preview/";     ///< Priority 1.
inline constexpr std::string_view batch_prefix = "/catalogue-batch/";  ///< Priority 2.
inline constexpr std::string_view other_prefix = "/wax-sort/";         ///< Priority 1, of the second service.

/// What a client got; status 0 without an answer.
struct answer {
  int status{0};
  std::string body;
};

struct site_options {
  int vms{3};
  int workers{8};
  int workers_per_rack{6};
  int other_workers{0};  ///< Of the second service.
  bool guards_capacity{true};
  bool proxies{false};  ///< One before each worker.
};

/// A small deployment on loopback with the settings of tutu-loan: `rhubarb-edge` processes, a store, workers,
/// and clients of two tenants.
class site {
 public:
  site(site_options opts, const std::string& folder);
  site(const site&) = delete;
  site(site&&) = delete;
  site& operator=(const site&) = delete;
  site& operator=(site&&) = delete;
  ~site();

  [[nodiscard]] event_loop& loop() noexcept { return loop_; }
  [[nodiscard]] soak::store_stand_in& store() noexcept { return store_; }
  [[nodiscard]] work_record& work() noexcept { return work_; }
  [[nodiscard]] const work_record& work() const noexcept { return work_; }
  [[nodiscard]] worker& worker_at(std::size_t number) { return *workers_.at(number); }
  [[nodiscard]] delaying_proxy& proxy_of(std::size_t number) { return *proxies_.at(number); }
  [[nodiscard]] std::size_t worker_count() const noexcept { return workers_.size(); }
  [[nodiscard]] std::size_t vm_count() const noexcept { return vms_.size(); }

  /// Writes a line with the time since the start to the record.
  void write(const std::string& text);
  void put_config(const nlohmann::json& config);
  /// The configuration of the site: three queues, one service and two tenants.
  [[nodiscard]] nlohmann::json config(int version) const;

  void run_for(duration length);
  /// Runs until `done` holds; false after `limit`.
  bool run_until(const std::function<bool()>& done, duration limit);
  /// Calls a VM and waits for the answer.
  answer call(std::size_t vm, const std::string& method, const std::string& path, const std::string& key,
              const std::string& body = {}, duration patience = std::chrono::seconds{3});
  /// Calls a VM and goes on; `done` gets the answer.
  void call_later(std::size_t vm, const std::string& method, const std::string& path, const std::string& key,
                  const std::string& body, duration patience, std::function<void(answer)> done);
  [[nodiscard]] bool ready(std::size_t vm, duration patience);
  /// Waits until all VMs serve the queues.
  [[nodiscard]] bool all_serve(duration limit);
  /// The VM that the store names as the owner.
  [[nodiscard]] std::optional<std::size_t> owner();

  void signal(std::size_t vm, int number);
  void kill(std::size_t vm);
  bool start(std::size_t vm);
  [[nodiscard]] bool alive(std::size_t vm);
  [[nodiscard]] soak::fault_proxy& store_proxy(std::size_t vm) { return *vms_.at(vm).store_proxy; }

  /// The processor time that the VM's process has used, in seconds.
  [[nodiscard]] double processor_time(std::size_t vm) const;

 private:
  struct entry_vm {
    std::string name;
    std::string address;
    std::unique_ptr<soak::fault_proxy> store_proxy;
    std::unique_ptr<vm_process> process;
  };
  [[nodiscard]] answer get(const std::string& address, const std::string& path, const std::string& query,
                           duration patience);
  void write_settings(const std::filesystem::path& path, const entry_vm& vm,
                      const std::vector<std::string>& seeds, const std::string& store) const;

  std::filesystem::path folder_;
  std::ofstream record_;
  std::string prefix_;
  event_loop loop_;
  instant started_at_;
  random_source random_{1};
  soak::store_stand_in store_;
  work_record work_;
  std::vector<std::unique_ptr<worker>> workers_;
  std::vector<std::unique_ptr<delaying_proxy>> proxies_;
  http_client client_;
  std::vector<entry_vm> vms_;
  timer_handle tick_;
};

}  // namespace rhubarbpath::review

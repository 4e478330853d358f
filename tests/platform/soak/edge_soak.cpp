// Randomized soak test of rhubarb-edge: runs real processes against stand-ins for the platform and injects
// faults from outside the processes. docs/platform.md describes how to run it. Exit codes: 0 when no
// violation was found, 1 when there were violations, 2 when the test could not start.
#include <fmt/format.h>
#include <sys/wait.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>

#include "callers.hpp"
#include "config_checks.hpp"
#include "domain_changes.hpp"
#include "edge_process.hpp"
#include "fault_proxy.hpp"
#include "hostile_callers.hpp"
#include "odd_callers.hpp"
#include "platform_documents.hpp"
#include "rack_changes.hpp"
#include "standing_check.hpp"
#include "store_stand_in.hpp"
#include "worker_changes.hpp"
#include "worker_fleet.hpp"

namespace rhubarbpath::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint16_t store_port = 8524;
/// Of the store of a small site.
constexpr store_rates rates{.reads = 2000, .writes = 400};
constexpr std::uint16_t moved_store_port = 8624;
constexpr std::uint16_t proxy_port = 9000;
constexpr std::uint16_t worker_port = 9100;
/// A process must end within this time after SIGTERM; the platform then kills it.
constexpr duration stop_grace{seconds{6}};
/// Every accepted job must end within this time after the last fault, which allows for a takeover with the
/// longest lease and for the work itself.
constexpr duration settle_limit{seconds{45}};
/// Jobs that never complete are cancelled this long after the last fault; the check that each of their tasks
/// runs needs the time until then.
constexpr duration endless_limit{seconds{14}};
/// The configuration must be in force on every VM within this time after the last fault.
constexpr duration config_limit{seconds{9}};
/// Memory of the smallest VM. No process may take more.
constexpr int memory_mb = 120;

struct soak_options {
  std::string program;
  std::uint64_t seed{1};
  int seconds{20};
  int vms{4};
  int workers{12};
  bool worker_changes{true};
  bool service_faults{true};
  bool rack_changes{true};
  bool domain_changes{true};
  bool hostile_callers{true};
  std::filesystem::path folder;
};

}  // namespace

class edge_soak {
 public:
  explicit edge_soak(soak_options opts)
      : options_{std::move(opts)},
        random_{options_.seed},
        // Concurrent soak runs use different loopback networks.
        network_prefix_{fmt::format("127.{}.{}", 16 + getpid() % 200, 1 + getpid() / 200 % 250)},
        store_{loop_, network_prefix_ + ".1", store_port, random_},
        fleet_{loop_, store_, random_, options_.seed},
        configs_{loop_, store_, [this](const std::string& text) { violation(text); }} {}

  int run() {
    if (const auto status = set_up(); !status.ok()) {
      std::cerr << "edge_soak: " << status.message() << "\n";
      return 2;
    }
    if (options_.service_faults) {
      plan_faults();
    }
    if (options_.worker_changes) {
      // A random source of its own, so that the faults of a seed stay as they were before these changes.
      worker_changes_ = std::make_unique<worker_changes>(
          worker_changes::dependencies{.loop = loop_,
                                       .fleet = fleet_,
                                       .store = store_,
                                       .proxies = worker_proxies_,
                                       .trace = [this](const std::string& text) { trace(text); },
                                       .disturbed = worker_disturbed()},
          options_.seed);
      worker_changes_->plan(seconds{3}, seconds{options_.seconds});
    }
    if (options_.rack_changes) {
      rack_changes_ = std::make_unique<rack_changes>(
          rack_changes::dependencies{.loop = loop_,
                                     .fleet = fleet_,
                                     .proxies = worker_proxies_,
                                     .trace = [this](const std::string& text) { trace(text); },
                                     .disturbed = worker_disturbed()},
          options_.seed);
      rack_changes_->plan(seconds{4}, seconds{options_.seconds});
    }
    if (options_.domain_changes) {
      domain_changes_ = std::make_unique<domain_changes>(
          domain_changes::dependencies{
              .loop = loop_, .fleet = fleet_, .trace = [this](const std::string& text) { trace(text); }},
          options_.seed);
      domain_changes_->plan(seconds{4}, seconds{options_.seconds});
    }
    if (options_.hostile_callers) {
      std::vector<std::string> addresses;
      for (const auto& each : vms_) {
        addresses.push_back(each.address);
      }
      hostile_callers_ = std::make_unique<hostile_callers>(loop_, addresses, options_.seed);
      timers_.push_back(loop_.run_every(milliseconds{500}, [this] { check_memory(); }));
    }
    timers_.push_back(loop_.run_every(milliseconds{50}, [this] { check_processes(); }));
    timers_.push_back(loop_.run_every(milliseconds{500}, [this] { probe_configs(); }));
    timers_.push_back(loop_.run_every(seconds{2}, [this] { configs_.write(); }));
    schedule(seconds{3}, [this] {
      callers_->begin();
      odd_callers_->begin();
      standing_check_->begin();
      if (hostile_callers_ != nullptr) {
        hostile_callers_->begin();
      }
    });
    schedule(seconds{3 + options_.seconds}, [this] { clear_faults(); });
    loop_.run();
    return report();
  }

 private:
  struct vm {
    std::string name;
    std::string address;
    std::unique_ptr<fault_proxy> store_proxy;
    std::unique_ptr<fault_proxy> moved_store_proxy;
    std::unique_ptr<fault_proxy> caller_proxy;
    std::unique_ptr<edge_process> process;
    bool moved{false};  ///< The settings file names the second store proxy.
    bool paused{false};
    bool killed{false};  ///< The soak test killed the process.
    bool stopping{false};
    bool paused_while_stopping{false};
    instant stop_sent_at{};
    pid_t reported_process{0};   ///< The last process whose memory was a violation.
    int highest_config_seen{0};  ///< Newest configuration that the current process has been seen to serve.
  };

  void trace(const std::string& text) {
    const auto at = std::chrono::duration_cast<milliseconds>(loop_.now() - started_at_).count();
    trace_ << fmt::format("{:8.3f} {}\n", static_cast<double>(at) / 1000.0, text) << std::flush;
  }
  void violation(const std::string& text) {
    violations_.push_back(text);
    trace("VIOLATION " + text);
  }
  void schedule(duration delay, std::function<void()> call) { loop_.run_detached(delay, std::move(call)); }

  [[nodiscard]] std::function<void(std::size_t, duration)> worker_disturbed() {
    return [this](std::size_t worker, duration length) { standing_check_->worker_disturbed(worker, length); };
  }

  absl::Status set_up() {
    std::filesystem::create_directories(options_.folder);
    trace_.open(options_.folder / "soak.txt");
    started_at_ = loop_.now();
    configs_.write();
    store_.limit_rates(rates);
    if (auto status = store_.listen(); !status.ok()) {
      return status;
    }
    for (int i = 0; i < options_.workers; ++i) {
      const auto port = static_cast<std::uint16_t>(worker_port + i);
      auto status = fleet_.add(network_prefix_ + ".3", port, fmt::format("{}.4:{}", network_prefix_, port));
      worker_proxies_.push_back(
          std::make_unique<fault_proxy>(loop_, network_prefix_ + ".4", port, network_prefix_ + ".3", port));
      worker_proxies_.back()->on_disturbed_bytes(
          [this](std::string_view bytes) { standing_check_->bytes_lost(bytes); });
      status.Update(worker_proxies_.back()->listen());
      if (!status.ok()) {
        return status;
      }
    }
    std::vector<std::string> addresses;
    for (int i = 0; i < options_.vms; ++i) {
      if (auto status = add_vm(i); !status.ok()) {
        return status;
      }
      addresses.push_back(fmt::format("{}.5:{}", network_prefix_, proxy_port + i));
    }
    const callers::options caller_options{.addresses = addresses,
                                          .host = std::string{caller_host},
                                          .path_prefix = "/jobs/",
                                          .key = "key-a",
                                          .long_and_wide_jobs = options_.worker_changes,
                                          .placed_jobs = options_.rack_changes,
                                          .seed = options_.seed};
    callers_ = std::make_unique<callers>(loop_, fleet_, random_, caller_options);
    odd_callers_ = std::make_unique<odd_callers>(loop_, fleet_, caller_options);
    standing_check_ = std::make_unique<standing_check>(
        standing_check::dependencies{.loop = loop_,
                                     .fleet = fleet_,
                                     .clients = *callers_,
                                     .trace = [this](const std::string& text) { trace(text); },
                                     .violation = [this](const std::string& text) { violation(text); }});
    fleet_.on_unanswered_order([this](const std::string& job) { standing_check_->order_lost(job); });
    return absl::OkStatus();
  }

  absl::Status add_vm(int index) {
    auto& added = vms_.emplace_back();
    added.name = fmt::format("vm-{}", index);
    added.address = fmt::format("{}.{}", network_prefix_, 10 + index);
    const auto port = static_cast<std::uint16_t>(proxy_port + index);
    const auto moved = static_cast<std::uint16_t>(moved_store_port + index);
    added.store_proxy = std::make_unique<fault_proxy>(loop_, network_prefix_ + ".2", port,
                                                      network_prefix_ + ".1", store_port);
    added.moved_store_proxy = std::make_unique<fault_proxy>(loop_, network_prefix_ + ".2", moved,
                                                            network_prefix_ + ".1", store_port);
    added.caller_proxy =
        std::make_unique<fault_proxy>(loop_, network_prefix_ + ".5", port, added.address, caller_port);
    added.process = std::make_unique<edge_process>(options_.program, settings_path(added),
                                                   (options_.folder / (added.name + ".log")).string());
    auto status = added.store_proxy->listen();
    status.Update(added.moved_store_proxy->listen());
    status.Update(added.caller_proxy->listen());
    write_settings(added);
    if (status.ok() && !added.process->start()) {
      status = absl::UnavailableError("cannot start a rhubarb-edge process");
    }
    return status;
  }

  [[nodiscard]] std::string settings_path(const vm& entry_vm) const {
    return (options_.folder / (entry_vm.name + ".json")).string();
  }
  void write_settings(const vm& entry_vm) {
    const auto index = static_cast<int>(&entry_vm - vms_.data());
    std::vector<std::string> seeds;
    for (int i = 0; i < std::min(3, options_.vms); ++i) {
      seeds.push_back(fmt::format("{}.{}:{}", network_prefix_, 10 + i, peer_port));
    }
    soak::write_settings(
        settings_path(entry_vm),
        {.name = entry_vm.name,
         .address = entry_vm.address,
         .zone = fmt::format("zone-{}", index % 2),
         .seeds = seeds,
         .store_address = fmt::format("{}.2:{}", network_prefix_,
                                      (entry_vm.moved ? moved_store_port : proxy_port) + index),
         .memory_mb = memory_mb,
         .rates = rates});
  }

  // ---- faults ----

  void plan_faults() {
    const auto count = 2 + options_.seconds * 4 / 5;
    for (int i = 0; i < count; ++i) {
      const auto at = milliseconds{2500 + random_.below(static_cast<std::uint64_t>(options_.seconds) * 1000)};
      const auto kind = random_.below(20);
      const auto target = random_.below(1000);
      const auto length = milliseconds{400 + random_.below(4000)};
      schedule(at, [this, kind, target, length] {
        if (!faults_cleared_) {
          inject(kind, target, length);
        }
      });
    }
  }

  void inject(std::uint64_t kind, std::uint64_t target, duration length) {
    auto& entry_vm = vms_[target % vms_.size()];
    const auto worker = target % std::min(max_single_disturbed, fleet_.size());
    switch (kind) {
      case 0:
      case 1:
        return kill_process(entry_vm, length);
      case 2:
        return stop_process(entry_vm);
      case 3:
      case 4:
        return pause_process(entry_vm, length);
      case 5:
        return change_store_address(entry_vm, target % 2 == 0);
      case 6:
        return set_proxy_fault(*entry_vm.caller_proxy, entry_vm.name + " callers", target, length);
      case 7:
      case 8:
        return set_proxy_fault(entry_vm.moved ? *entry_vm.moved_store_proxy : *entry_vm.store_proxy,
                               entry_vm.name + " store", target, length);
      case 9:
      case 10:
        standing_check_->worker_disturbed(worker, length);
        return set_proxy_fault(*worker_proxies_[worker], fmt::format("worker {}", worker), target, length);
      case 11:
        trace(fmt::format("worker {} restarts", worker));
        standing_check_->worker_disturbed(worker, duration::zero());
        return fleet_.present(worker) ? fleet_.restart(worker) : void();
      case 12:
        trace(fmt::format("worker {} cannot reach the store", worker));
        standing_check_->worker_disturbed(worker, length);
        fleet_.faults(worker).store_unreachable = true;
        return schedule(length, [this, worker] { fleet_.faults(worker).store_unreachable = false; });
      case 13:
        return set_worker_faults("late orders", length, &worker_faults::late_orders_percent, 15);
      case 14:
        return set_worker_faults("lost answers", length, &worker_faults::lost_answers_percent, 15);
      case 15:
        return set_worker_faults("failing starts", length, &worker_faults::failed_starts_percent, 20);
      default:
        return inject_store_fault(kind, length);
    }
  }

  void inject_store_fault(std::uint64_t kind, duration length) {
    auto& faults = store_.faults;
    trace(fmt::format("store fault {} for {} ms", kind, length.count() / 1000));
    standing_check_->service_disturbed(length);
    if (kind == 16) {
      faults.down = true;
      faults.leases_paused = random_.below(2) == 0;
    } else if (kind == 17) {
      faults.answer_delay = milliseconds{100 + random_.below(300)};
    } else if (kind == 18) {
      faults.lost_answers_percent = 15;
      faults.late_writes_percent = 10;
    } else {
      faults.refused_percent = 30;
      store_.compact();
    }
    schedule(length, [this] { store_.faults = {}; });
  }

  void set_worker_faults(const std::string& name, duration length, int worker_faults::*field, int percent) {
    trace(fmt::format("{} at all workers for {} ms", name, length.count() / 1000));
    if (field != &worker_faults::failed_starts_percent) {
      standing_check_->service_disturbed(length);
    }
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      fleet_.faults(i).*field = percent;
    }
    schedule(length, [this, field] {
      for (std::size_t i = 0; i < fleet_.size(); ++i) {
        fleet_.faults(i).*field = 0;
      }
    });
  }

  void set_proxy_fault(fault_proxy& proxy, const std::string& name, std::uint64_t target, duration length) {
    constexpr std::array modes{proxy_mode::delayed, proxy_mode::reset, proxy_mode::silent,
                               proxy_mode::blocked, proxy_mode::one_way};
    const auto index = target / 7 % modes.size();
    trace(fmt::format("{}: proxy mode {} for {} ms", name, index + 1, length.count() / 1000));
    standing_check_->service_disturbed(length);
    proxy.set_mode(modes[index]);
    schedule(length, [&proxy] { proxy.set_mode(proxy_mode::pass); });
  }

  void change_store_address(vm& entry_vm, bool send_sighup) {
    entry_vm.moved = !entry_vm.moved;
    standing_check_->service_disturbed(duration::zero());
    trace(fmt::format("{}: settings changed to another store address{}", entry_vm.name,
                      send_sighup ? ", SIGHUP" : ""));
    write_settings(entry_vm);
    if (send_sighup) {
      entry_vm.process->send(SIGHUP);
    }
  }

  void kill_process(vm& entry_vm, duration length) {
    if (entry_vm.process->alive()) {
      trace(entry_vm.name + ": killed");
      entry_vm.killed = true;
      entry_vm.process->send(SIGKILL);
      schedule(length, [this, &entry_vm] { restart(entry_vm); });
    }
  }
  void stop_process(vm& entry_vm) {
    if (entry_vm.process->alive() && !entry_vm.stopping && !entry_vm.killed) {
      trace(entry_vm.name + ": SIGTERM");
      entry_vm.stopping = true;
      entry_vm.paused_while_stopping = entry_vm.paused;
      entry_vm.stop_sent_at = loop_.now();
      entry_vm.process->send(SIGTERM);
    }
  }
  void pause_process(vm& entry_vm, duration length) {
    if (entry_vm.process->alive() && !entry_vm.paused) {
      trace(fmt::format("{}: paused for {} ms", entry_vm.name, length.count() / 1000));
      entry_vm.paused = true;
      entry_vm.paused_while_stopping = entry_vm.paused_while_stopping || entry_vm.stopping;
      entry_vm.process->send(SIGSTOP);
      schedule(length, [&entry_vm] {
        entry_vm.paused = false;
        entry_vm.process->send(SIGCONT);
      });
    }
  }
  void restart(vm& entry_vm) {
    if (!entry_vm.process->alive() && !shutting_down_) {
      trace(entry_vm.name + ": started");
      standing_check_->service_disturbed(duration::zero());
      entry_vm.killed = entry_vm.stopping = entry_vm.paused_while_stopping = false;
      entry_vm.highest_config_seen = 0;
      if (!entry_vm.process->start()) {
        violation(entry_vm.name + ": cannot restart the rhubarb-edge process");
      }
    }
  }

  // ---- checks ----

  void check_processes() {
    for (auto& entry_vm : vms_) {
      if (!entry_vm.process->alive() || entry_vm.paused || entry_vm.stopping) {
        standing_check_->service_disturbed(duration::zero());
      }
      if (const auto status = entry_vm.process->reap()) {
        handle_process_end(entry_vm, *status);
      } else if (entry_vm.stopping && !entry_vm.killed && loop_.now() - entry_vm.stop_sent_at > stop_grace) {
        if (!entry_vm.paused_while_stopping) {
          violation(fmt::format("DRAIN: {} is still running {} s after SIGTERM", entry_vm.name,
                                stop_grace.count() / 1'000'000));
        }
        kill_process(entry_vm, milliseconds{500});
      }
    }
    if (shutting_down_ &&
        std::none_of(vms_.begin(), vms_.end(), [](const vm& each) { return each.process->alive(); })) {
      loop_.stop();
    }
  }
  void check_memory() {
    for (auto& entry_vm : vms_) {
      const auto highest = static_cast<int>(memory_of(entry_vm.process->id()).highest >> 20U);
      highest_memory_mb_ = std::max(highest_memory_mb_, highest);
      if (highest >= memory_mb && entry_vm.process->id() != entry_vm.reported_process) {
        entry_vm.reported_process = entry_vm.process->id();
        violation(fmt::format("MEMORY: {} took {} MB, allowed {}", entry_vm.name, highest, memory_mb));
      }
    }
  }
  void handle_process_end(vm& entry_vm, int status) {
    const bool clean = WIFEXITED(status) && WEXITSTATUS(status) == 0;
    if (!entry_vm.killed && !(entry_vm.stopping && clean)) {
      violation(fmt::format("CRASH: {} ended with wait status {}", entry_vm.name, status));
    }
    if (!entry_vm.killed) {
      trace(entry_vm.name + ": ended");
      schedule(milliseconds{300}, [this, &entry_vm] { restart(entry_vm); });
    }
  }

  void probe_configs() {
    for (auto& entry_vm : vms_) {
      if (entry_vm.process->alive() && !entry_vm.paused && !entry_vm.stopping) {
        configs_.probe(entry_vm.name, entry_vm.address, entry_vm.highest_config_seen);
      }
    }
  }

  void clear_faults() {
    trace("all faults cleared");
    faults_cleared_ = true;
    callers_->stop_submitting();
    odd_callers_->stop_submitting();
    if (hostile_callers_ != nullptr) {
      hostile_callers_->stop();
    }
    store_.faults = {};
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      fleet_.faults(i) = {};
      worker_proxies_[i]->set_mode(proxy_mode::pass);
    }
    if (worker_changes_ != nullptr) {
      worker_changes_->clear();
    }
    if (rack_changes_ != nullptr) {
      rack_changes_->clear();
    }
    if (domain_changes_ != nullptr) {
      domain_changes_->clear();
    }
    standing_check_->faults_cleared();
    schedule(endless_limit, [this] { callers_->cancel_endless_jobs(); });
    for (auto& entry_vm : vms_) {
      for (auto* proxy :
           {entry_vm.store_proxy.get(), entry_vm.moved_store_proxy.get(), entry_vm.caller_proxy.get()}) {
        proxy->set_mode(proxy_mode::pass);
      }
      entry_vm.process->send(SIGCONT);
      entry_vm.paused = false;
    }
    faults_cleared_at_ = loop_.now();
    config_version_at_clear_ = configs_.version();
    // A process that was killed or stopped just before is running again within 5 s; its limit starts then.
    schedule(seconds{5} + config_limit, [this] { check_configs(); });
    timers_.push_back(loop_.run_every(milliseconds{200}, [this] {
      const bool timed_out = loop_.now() - faults_cleared_at_ > settle_limit;
      const bool configs_checked = loop_.now() - faults_cleared_at_ > seconds{6} + config_limit;
      if (!shutting_down_ && ((callers_->settled() && configs_checked) || timed_out)) {
        shut_down();
      }
    }));
  }
  void check_configs() {
    for (const auto& entry_vm : vms_) {
      if (entry_vm.process->alive() && entry_vm.highest_config_seen < config_version_at_clear_) {
        violation(fmt::format("CONFIG: {} serves version {}, expected {} or newer", entry_vm.name,
                              entry_vm.highest_config_seen, config_version_at_clear_));
      }
    }
  }
  void shut_down() {
    shutting_down_ = true;
    standing_check_->stop();
    callers_->check();
    odd_callers_->check();
    trace("stopping all processes");
    for (auto& entry_vm : vms_) {
      stop_process(entry_vm);
    }
  }

  int report() {
    for (const auto* found : {&callers_->violations(), &odd_callers_->violations(), &fleet_.violations()}) {
      violations_.insert(violations_.end(), found->begin(), found->end());
    }
    for (const auto& each : violations_) {
      std::cout << "VIOLATION " << each << "\n";
    }
    std::cout << fmt::format("seed {}: {}, {} runs, {}, at most {} MB, {} violations\n", options_.seed,
                             callers_->summary(), fleet_.runs(), standing_check_->summary(),
                             highest_memory_mb_, violations_.size());
    return violations_.empty() ? 0 : 1;
  }

  soak_options options_;
  event_loop loop_;
  random_source random_;
  std::string network_prefix_;
  std::ofstream trace_;
  instant started_at_{};
  instant faults_cleared_at_{};
  store_stand_in store_;
  worker_fleet fleet_;
  std::vector<std::unique_ptr<fault_proxy>> worker_proxies_;
  std::vector<vm> vms_ = [] {
    std::vector<vm> reserved;
    reserved.reserve(64);  // Timers hold references to the elements, so the vector must not reallocate.
    return reserved;
  }();
  config_checks configs_;
  std::unique_ptr<callers> callers_;
  std::unique_ptr<odd_callers> odd_callers_;
  std::unique_ptr<standing_check> standing_check_;
  std::unique_ptr<worker_changes> worker_changes_;
  std::unique_ptr<rack_changes> rack_changes_;
  std::unique_ptr<domain_changes> domain_changes_;
  std::unique_ptr<hostile_callers> hostile_callers_;
  std::vector<timer_handle> timers_;
  std::vector<std::string> violations_;
  int config_version_at_clear_{0};
  int highest_memory_mb_{0};
  bool faults_cleared_{false};
  bool shutting_down_{false};
};

}  // namespace rhubarbpath::soak

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command{
        "Randomized soak test of rhubarb-edge with faults injected from outside its processes.", ' ',
        "0.1.0"};
    TCLAP::ValueArg<std::string> program{"", "program", "path of rhubarb-edge", true, "", "path", command};
    TCLAP::ValueArg<std::uint64_t> seed{"",       "seed", "seed of the faults and the load", false, 1,
                                        "number", command};
    TCLAP::ValueArg<int> length{"", "seconds", "length of the load", false, 20, "s", command};
    TCLAP::ValueArg<int> vms{"", "vms", "number of entry VMs, at most 60", false, 4, "number", command};
    TCLAP::ValueArg<int> workers{"", "workers", "number of workers", false, 12, "number", command};
    TCLAP::SwitchArg steady_workers{"", "steady-workers", "no worker drains, crashes, is replaced or cut off",
                                    command};
    TCLAP::SwitchArg steady_service{"", "steady-service", "no VM, store or call is disturbed", command};
    TCLAP::SwitchArg steady_racks{"", "steady-racks", "no rack is disturbed, and no job cares where it runs",
                                  command};
    TCLAP::SwitchArg steady_domains{"", "steady-domains", "no failure domain is evacuated", command};
    TCLAP::SwitchArg steady_clients{"", "steady-clients",
                                    "no client sends without end, and memory is not checked", command};
    TCLAP::ValueArg<std::string> folder{"",     "folder", "folder for logs and settings", true, "",
                                        "path", command};
    command.parse(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    rhubarbpath::soak::edge_soak soak{{.program = program.getValue(),
                                       .seed = seed.getValue(),
                                       .seconds = length.getValue(),
                                       .vms = vms.getValue(),
                                       .workers = workers.getValue(),
                                       .worker_changes = !steady_workers.getValue(),
                                       .service_faults = !steady_service.getValue(),
                                       .rack_changes = !steady_racks.getValue(),
                                       .domain_changes = !steady_domains.getValue(),
                                       .hostile_callers = !steady_clients.getValue(),
                                       .folder = folder.getValue()}};
    return soak.run();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "edge_soak: " << error.error() << " for " << error.argId() << "\n";
    return 2;
  }
}

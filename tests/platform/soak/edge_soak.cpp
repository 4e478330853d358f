// A randomized soak of rhubarb-edge: real processes against stand-ins of the platform, with faults from
// outside them. docs/platform.md says how to run it; exit code 0 means that no promise was broken.
#include <fmt/format.h>
#include <sys/wait.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>

#include "callers.hpp"
#include "edge_process.hpp"
#include "fault_proxy.hpp"
#include "store_stand_in.hpp"
#include "worker_fleet.hpp"

namespace rhubarbpath::soak {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint16_t store_port = 8524;
constexpr std::uint16_t moved_store_port = 8624;
constexpr std::uint16_t caller_port = 8521;
constexpr std::uint16_t ready_port = 8523;
constexpr std::uint16_t peer_port = 8526;
constexpr std::uint16_t proxy_port = 9000;
constexpr std::uint16_t worker_port = 9100;
/// A process ends within this after SIGTERM; the platform kills it afterwards.
constexpr duration stop_grace{seconds{6}};
/// Every accepted job ends within this after the last fault: a takeover with the longest lease, and work.
constexpr duration settle_limit{seconds{45}};
/// A configuration is in force everywhere within this after the last fault.
constexpr duration config_limit{seconds{9}};
constexpr std::string_view caller_host = "soak.example";

struct soak_options {
  std::string program;
  std::uint64_t seed{1};
  int seconds{20};
  int vms{4};
  int workers{8};
  std::filesystem::path folder;
};

}  // namespace

class edge_soak {
 public:
  explicit edge_soak(soak_options opts)
      : options_{std::move(opts)},
        random_{options_.seed},
        // Two soaks at once differ in their loopback network.
        network_{fmt::format("127.{}.{}", 16 + getpid() % 200, 1 + getpid() / 200 % 250)},
        store_{loop_, network_ + ".1", store_port, random_},
        fleet_{loop_, store_, random_},
        probe_client_{loop_, {}} {}

  int run() {
    if (const auto status = build(); !status.ok()) {
      std::cerr << "edge_soak: " << status.message() << "\n";
      return 2;
    }
    plan_faults();
    timers_.push_back(loop_.run_every(milliseconds{50}, [this] { watch_processes(); }));
    timers_.push_back(loop_.run_every(milliseconds{500}, [this] { probe_configs(); }));
    timers_.push_back(loop_.run_every(seconds{2}, [this] { write_config(); }));
    after(seconds{3}, [this] { callers_->begin(); });
    after(seconds{3 + options_.seconds}, [this] { heal(); });
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
    bool moved{false};  ///< The settings name the second store proxy.
    bool paused{false};
    bool killed{false};  ///< The end of the process is this soak's doing.
    bool stopping{false};
    bool paused_in_stop{false};
    instant stop_sent{};
    int config_seen{0};  ///< Newest configuration that this life of the process has shown.
  };

  void note(const std::string& text) {
    const auto at = std::chrono::duration_cast<milliseconds>(loop_.now() - began_).count();
    trace_ << fmt::format("{:8.3f} {}\n", static_cast<double>(at) / 1000.0, text) << std::flush;
  }
  void violation(const std::string& text) {
    violations_.push_back(text);
    note("VIOLATION " + text);
  }
  void after(duration delay, std::function<void()> call) { loop_.run_detached(delay, std::move(call)); }

  absl::Status build() {
    std::filesystem::create_directories(options_.folder);
    trace_.open(options_.folder / "soak.txt");
    began_ = loop_.now();
    write_config();
    if (auto status = store_.listen(); !status.ok()) {
      return status;
    }
    for (int i = 0; i < options_.workers; ++i) {
      const auto port = static_cast<std::uint16_t>(worker_port + i);
      auto status = fleet_.add(network_ + ".3", port, fmt::format("{}.4:{}", network_, port));
      worker_proxies_.push_back(
          std::make_unique<fault_proxy>(loop_, network_ + ".4", port, network_ + ".3", port));
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
      addresses.push_back(fmt::format("{}.5:{}", network_, proxy_port + i));
    }
    callers_ = std::make_unique<callers>(loop_, fleet_, random_,
                                         callers::options{.addresses = addresses,
                                                          .host = std::string{caller_host},
                                                          .path_prefix = "/jobs/",
                                                          .key = "key-a"});
    return absl::OkStatus();
  }

  absl::Status add_vm(int index) {
    auto& added = vms_.emplace_back();
    added.name = fmt::format("vm-{}", index);
    added.address = fmt::format("{}.{}", network_, 10 + index);
    const auto port = static_cast<std::uint16_t>(proxy_port + index);
    const auto moved = static_cast<std::uint16_t>(moved_store_port + index);
    added.store_proxy =
        std::make_unique<fault_proxy>(loop_, network_ + ".2", port, network_ + ".1", store_port);
    added.moved_store_proxy =
        std::make_unique<fault_proxy>(loop_, network_ + ".2", moved, network_ + ".1", store_port);
    added.caller_proxy =
        std::make_unique<fault_proxy>(loop_, network_ + ".5", port, added.address, caller_port);
    added.process = std::make_unique<edge_process>(options_.program, settings_path(added),
                                                   (options_.folder / (added.name + ".log")).string());
    auto status = added.store_proxy->listen();
    status.Update(added.moved_store_proxy->listen());
    status.Update(added.caller_proxy->listen());
    write_settings(added);
    if (status.ok() && !added.process->start()) {
      status = absl::UnavailableError("no process could be started");
    }
    return status;
  }

  [[nodiscard]] std::string settings_path(const vm& of) const {
    return (options_.folder / (of.name + ".json")).string();
  }
  void write_settings(const vm& of) {
    const auto index = static_cast<int>(&of - vms_.data());
    json seeds = json::array();
    for (int i = 0; i < std::min(3, options_.vms); ++i) {
      seeds.push_back(fmt::format("{}.{}:{}", network_, 10 + i, peer_port));
    }
    const json settings{
        {"node", of.name},
        {"ip", of.address},
        {"zone", fmt::format("zone-{}", index % 2)},
        {"bindings",
         {{"front", fmt::format("{}:{}", of.address, caller_port)},
          {"ready", fmt::format("{}:{}", of.address, ready_port)},
          {"control", fmt::format("{}:{}", of.address, peer_port)}}},
        {"seeds", seeds},
        {"limits", {{"cpuShare", 1.0}, {"cores", 1}}},
        {"bounds", {{"maxHoldMs", 10000}, {"stopTimeoutMs", 200}, {"remoteFactor", 3}, {"graceS", 6}}},
        {"controlMode", "request"},
        {"platform",
         {{"address",
           fmt::format("{}.2:{}", network_, (of.moved ? moved_store_port : proxy_port) + index)}}}};
    // Written apart and moved into place, so that no process reads half a file.
    const auto next = settings_path(of) + ".next";
    std::ofstream{next} << settings.dump(1);
    std::filesystem::rename(next, settings_path(of));
  }

  /// Writes the next configuration; each adds a route named by its version, and none removes one.
  void write_config() {
    ++config_version_;
    json routes = json::array({{{"name", "jobs"},
                                {"host", caller_host},
                                {"prefix", "/jobs/"},
                                {"service", "render"},
                                {"priority", 1},
                                {"maxAttempts", 20},
                                {"stretch", 3.0},
                                {"targetDurationMs", 20'000}}});
    for (int i = 1; i <= config_version_; ++i) {
      routes.push_back({{"name", fmt::format("probe-{}", i)},
                        {"host", caller_host},
                        {"prefix", fmt::format("/probe-{}/", i)},
                        {"service", "render"},
                        {"public", true},
                        {"priority", 2},
                        {"maxAttempts", 1},
                        {"stretch", 3.0},
                        {"targetDurationMs", 20'000}});
    }
    store_.put(
        "op/config",
        json{{"version", config_version_ * 3},
             {"routes", std::move(routes)},
             {"services", {{{"name", "render"}, {"admissionControl", true}}}},
             {"tenants", {{{"name", "team-a"}, {"apiKeys", {"key-a"}}, {"guaranteedGpus", {{"gpu", 4}}}}}},
             {"limits", {{"maxBodyBytes", 1'000'000}}}}
            .dump());
  }

  // ---- faults ----

  void plan_faults() {
    const auto count = 2 + options_.seconds * 4 / 5;
    for (int i = 0; i < count; ++i) {
      const auto at = milliseconds{2500 + random_.below(static_cast<std::uint64_t>(options_.seconds) * 1000)};
      const auto kind = random_.below(20);
      const auto target = random_.below(1000);
      const auto length = milliseconds{400 + random_.below(4000)};
      after(at, [this, kind, target, length] {
        if (!healed_) {
          inject(kind, target, length);
        }
      });
    }
  }

  void inject(std::uint64_t kind, std::uint64_t target, duration length) {
    auto& of = vms_[target % vms_.size()];
    const auto worker = target % fleet_.size();
    switch (kind) {
      case 0:
      case 1:
        return kill_process(of, length);
      case 2:
        return stop_process(of);
      case 3:
      case 4:
        return pause_process(of, length);
      case 5:
        return move_settings(of, target % 2 == 0);
      case 6:
        return with_proxy(*of.caller_proxy, of.name + " callers", target, length);
      case 7:
      case 8:
        return with_proxy(of.moved ? *of.moved_store_proxy : *of.store_proxy, of.name + " store", target,
                          length);
      case 9:
      case 10:
        return with_proxy(*worker_proxies_[worker], fmt::format("worker {}", worker), target, length);
      case 11:
        note(fmt::format("worker {} restarts", worker));
        return fleet_.restart(worker);
      case 12:
        note(fmt::format("worker {} does not reach the store", worker));
        fleet_.faults(worker).silent_to_store = true;
        return after(length, [this, worker] { fleet_.faults(worker).silent_to_store = false; });
      case 13:
        return every_worker("late orders", length, &worker_faults::late_orders_percent, 15);
      case 14:
        return every_worker("lost answers", length, &worker_faults::lost_answers_percent, 15);
      case 15:
        return every_worker("failing starts", length, &worker_faults::failed_starts_percent, 20);
      default:
        return disturb_store(kind, length);
    }
  }

  void disturb_store(std::uint64_t kind, duration length) {
    auto& faults = store_.faults;
    note(fmt::format("store fault {} for {} ms", kind, length.count() / 1000));
    if (kind == 16) {
      faults.down = true;
      faults.leases_pause = random_.below(2) == 0;
    } else if (kind == 17) {
      faults.answer_delay = milliseconds{100 + random_.below(300)};
    } else if (kind == 18) {
      faults.lost_answers_percent = 15;
      faults.late_writes_percent = 10;
    } else {
      faults.refused_percent = 30;
      store_.compact();
    }
    after(length, [this] { store_.faults = {}; });
  }

  void every_worker(const std::string& name, duration length, int worker_faults::*field, int percent) {
    note(fmt::format("{} at all workers for {} ms", name, length.count() / 1000));
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      fleet_.faults(i).*field = percent;
    }
    after(length, [this, field] {
      for (std::size_t i = 0; i < fleet_.size(); ++i) {
        fleet_.faults(i).*field = 0;
      }
    });
  }

  void with_proxy(fault_proxy& proxy, const std::string& name, std::uint64_t target, duration length) {
    constexpr std::array modes{proxy_mode::delayed, proxy_mode::reset, proxy_mode::silent, proxy_mode::cut,
                               proxy_mode::one_way};
    const auto index = target / 7 % modes.size();
    note(fmt::format("{}: proxy mode {} for {} ms", name, index + 1, length.count() / 1000));
    proxy.set_mode(modes[index]);
    after(length, [&proxy] { proxy.set_mode(proxy_mode::pass); });
  }

  void move_settings(vm& of, bool signalled) {
    of.moved = !of.moved;
    note(fmt::format("{}: the settings name another store address{}", of.name, signalled ? ", SIGHUP" : ""));
    write_settings(of);
    if (signalled) {
      of.process->send(SIGHUP);
    }
  }

  void kill_process(vm& of, duration length) {
    if (of.process->alive()) {
      note(of.name + ": killed");
      of.killed = true;
      of.process->send(SIGKILL);
      after(length, [this, &of] { restart(of); });
    }
  }
  void stop_process(vm& of) {
    if (of.process->alive() && !of.stopping && !of.killed) {
      note(of.name + ": SIGTERM");
      of.stopping = true;
      of.paused_in_stop = of.paused;
      of.stop_sent = loop_.now();
      of.process->send(SIGTERM);
    }
  }
  void pause_process(vm& of, duration length) {
    if (of.process->alive() && !of.paused) {
      note(fmt::format("{}: paused for {} ms", of.name, length.count() / 1000));
      of.paused = true;
      of.paused_in_stop = of.paused_in_stop || of.stopping;
      of.process->send(SIGSTOP);
      after(length, [&of] {
        of.paused = false;
        of.process->send(SIGCONT);
      });
    }
  }
  void restart(vm& of) {
    if (!of.process->alive() && !ending_) {
      note(of.name + ": started");
      of.killed = of.stopping = of.paused_in_stop = false;
      of.config_seen = 0;
      if (!of.process->start()) {
        violation(of.name + ": no process could be started");
      }
    }
  }

  // ---- checks ----

  void watch_processes() {
    for (auto& of : vms_) {
      if (const auto status = of.process->reap()) {
        process_ended(of, *status);
      } else if (of.stopping && !of.killed && loop_.now() - of.stop_sent > stop_grace) {
        if (!of.paused_in_stop) {
          violation(fmt::format("DRAIN: {} still runs {} s after SIGTERM", of.name,
                                stop_grace.count() / 1'000'000));
        }
        kill_process(of, milliseconds{500});
      }
    }
    if (ending_ &&
        std::none_of(vms_.begin(), vms_.end(), [](const vm& each) { return each.process->alive(); })) {
      loop_.stop();
    }
  }
  void process_ended(vm& of, int status) {
    const bool clean = WIFEXITED(status) && WEXITSTATUS(status) == 0;
    if (!of.killed && !(of.stopping && clean)) {
      violation(fmt::format("CRASH: {} ended with wait status {}", of.name, status));
    }
    if (!of.killed) {
      note(of.name + ": ended");
      after(milliseconds{300}, [this, &of] { restart(of); });
    }
  }

  /// Asks each process for the routes of the newest configuration that it showed, and of the newest one.
  void probe_configs() {
    for (auto& of : vms_) {
      if (of.process->alive() && !of.paused && !of.stopping) {
        probe(of, std::max(1, of.config_seen));
        probe(of, config_version_);
      }
    }
  }
  void probe(vm& of, int version) {
    const http_request request{.method = "GET",
                               .path = fmt::format("/probe-{}/no-id", version),
                               .query = {},
                               .headers = {{"Host", std::string{caller_host}}},
                               .body = {}};
    const bool shown = version <= of.config_seen;
    probe_client_.call(
        fmt::format("{}:{}", of.address, caller_port), request, seconds{2},
        [this, &of, version, shown](const http_result& result) {
          const auto* response = std::get_if<http_response>(&result);
          // A route that is known answers 410, because the id is malformed.
          if (response != nullptr && response->status == 410) {
            of.config_seen = std::max(of.config_seen, version);
          } else if (response != nullptr && response->status == 404 && shown && of.config_seen >= version) {
            violation(fmt::format("CONFIG: {} went back behind version {}", of.name, version));
          }
        });
  }

  void heal() {
    note("all faults end");
    healed_ = true;
    callers_->stop_submitting();
    store_.faults = {};
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      fleet_.faults(i) = {};
      worker_proxies_[i]->set_mode(proxy_mode::pass);
    }
    for (auto& of : vms_) {
      for (auto* proxy : {of.store_proxy.get(), of.moved_store_proxy.get(), of.caller_proxy.get()}) {
        proxy->set_mode(proxy_mode::pass);
      }
      of.process->send(SIGCONT);
      of.paused = false;
    }
    healed_at_ = loop_.now();
    newest_at_heal_ = config_version_;
    // A process that was killed or stopped last is back within 5 s; its bound begins then.
    after(seconds{5} + config_limit, [this] { check_configs(); });
    timers_.push_back(loop_.run_every(milliseconds{200}, [this] {
      const bool late = loop_.now() - healed_at_ > settle_limit;
      const bool configs_checked = loop_.now() - healed_at_ > seconds{6} + config_limit;
      if (!ending_ && ((callers_->settled() && configs_checked) || late)) {
        finish();
      }
    }));
  }
  void check_configs() {
    for (const auto& of : vms_) {
      if (of.process->alive() && of.config_seen < newest_at_heal_) {
        violation(
            fmt::format("CONFIG: {} shows version {}, not {}", of.name, of.config_seen, newest_at_heal_));
      }
    }
  }
  void finish() {
    ending_ = true;
    callers_->check();
    note("stopping all processes");
    for (auto& of : vms_) {
      stop_process(of);
    }
  }

  int report() {
    for (const auto* found : {&callers_->violations(), &fleet_.violations()}) {
      violations_.insert(violations_.end(), found->begin(), found->end());
    }
    for (const auto& each : violations_) {
      std::cout << "VIOLATION " << each << "\n";
    }
    std::cout << fmt::format("seed {}: {}, {} runs, {} violations\n", options_.seed, callers_->summary(),
                             fleet_.runs(), violations_.size());
    return violations_.empty() ? 0 : 1;
  }

  soak_options options_;
  event_loop loop_;
  random_source random_;
  std::string network_;
  std::ofstream trace_;
  instant began_{};
  instant healed_at_{};
  store_stand_in store_;
  worker_fleet fleet_;
  std::vector<std::unique_ptr<fault_proxy>> worker_proxies_;
  std::vector<vm> vms_ = [] {
    std::vector<vm> reserved;
    reserved.reserve(64);  // Timers refer to the entries, which must not move.
    return reserved;
  }();
  http_client probe_client_;
  std::unique_ptr<callers> callers_;
  std::vector<timer_handle> timers_;
  std::vector<std::string> violations_;
  int config_version_{0};
  int newest_at_heal_{0};
  bool healed_{false};
  bool ending_{false};
};

}  // namespace rhubarbpath::soak

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command{"Randomized soak of rhubarb-edge with faults from outside its processes.", ' ',
                           "0.1.0"};
    TCLAP::ValueArg<std::string> program{"", "program", "path of rhubarb-edge", true, "", "path", command};
    TCLAP::ValueArg<std::uint64_t> seed{"",       "seed", "seed of the faults and the load", false, 1,
                                        "number", command};
    TCLAP::ValueArg<int> length{"", "seconds", "length of the load", false, 20, "s", command};
    TCLAP::ValueArg<int> vms{"", "vms", "number of entry VMs, at most 60", false, 4, "number", command};
    TCLAP::ValueArg<int> workers{"", "workers", "number of workers", false, 8, "number", command};
    TCLAP::ValueArg<std::string> folder{"",     "folder", "folder for logs and settings", true, "",
                                        "path", command};
    command.parse(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    rhubarbpath::soak::edge_soak soak{{.program = program.getValue(),
                                       .seed = seed.getValue(),
                                       .seconds = length.getValue(),
                                       .vms = vms.getValue(),
                                       .workers = workers.getValue(),
                                       .folder = folder.getValue()}};
    return soak.run();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "edge_soak: " << error.error() << " for " << error.argId() << "\n";
    return 2;
  }
}

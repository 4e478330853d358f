#include "site.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <stdexcept>

#include "absl/strings/escaping.h"
#include "absl/strings/str_split.h"

namespace rhubarbpath::review {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint16_t store_port = 8524;
constexpr std::uint16_t front_port = 8521;
constexpr std::uint16_t ready_port = 8523;
constexpr std::uint16_t control_port = 8526;
constexpr std::uint16_t proxy_port = 9000;
constexpr std::uint16_t worker_port = 9100;
constexpr int seed_count = 3;
constexpr duration tick_period{milliseconds{5}};
constexpr duration poll_interval{milliseconds{10}};

std::filesystem::path make_folder() {
  auto pattern = (std::filesystem::temp_directory_path() / "review-2-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error{"cannot create a temporary folder"};
  }
  return pattern;
}

void require(bool done, const std::string& what) {
  if (!done) {
    throw std::runtime_error{what};
  }
}

}  // namespace

site::site(site_options opts, const std::string& folder)
    : folder_{make_folder()},
      record_{folder + "/record.txt"},
      // Cases that run at the same time use different loopback networks.
      prefix_{fmt::format("127.{}.{}", 20 + getpid() % 200, 1 + getpid() / 200 % 250)},
      started_at_{loop_.now()},
      store_{loop_, prefix_ + ".1", store_port, random_},
      client_{loop_, {.max_connections_per_address = 256, .max_idle_connections_per_address = 64}} {
  std::signal(SIGPIPE, SIG_IGN);
  store_.limit_rates({.reads = 2000, .writes = 400});
  require(store_.listen().ok(), "the store cannot listen");
  work_.on_event = [this](const run_event& event) {
    write(fmt::format("{} {} run {}: {}", event.worker, event.task, event.run, event.what));
  };
  for (int i = 0; i < opts.workers + opts.other_workers; ++i) {
    const int rack = i / opts.workers_per_rack;
    workers_.push_back(std::make_unique<worker>(
        loop_, store_, work_,
        worker::options{
            .id = fmt::format("w{:02}", i),
            .address = prefix_ + ".3",
            .port = static_cast<std::uint16_t>(worker_port + i),
            .advertised_address = fmt::format("{}.{}:{}", prefix_, opts.proxies ? 4 : 3, worker_port + i),
            .zone = fmt::format("zone-{}", rack % 2),
            .rack = fmt::format("r{}-{}", rack % 2, rack / 2),
            .service = i < opts.workers ? "lendbook" : "wax-sort",
            .capacity = {.cpu = 32'000, .memory_mb = 131'072, .accelerators = 8},
            .guards_capacity = opts.guards_capacity,
            .heartbeat = milliseconds{1500},
            .stop_time = milliseconds{190},
            .longest_lease = seconds{10}}));
    require(workers_.back()->listen(), "a worker cannot listen");
    if (opts.proxies) {
      const auto port = static_cast<std::uint16_t>(worker_port + i);
      proxies_.push_back(std::make_unique<delaying_proxy>(loop_, prefix_ + ".4", port,
                                                          fmt::format("{}.3:{}", prefix_, port)));
      require(proxies_.back()->listen(), "a proxy cannot listen");
    }
  }
  auto first = config(1);
  first["services"][0]["admissionControl"] = opts.guards_capacity;
  put_config(first);
  tick_ = loop_.run_every(tick_period, [this] {
    for (const auto& each : workers_) {
      each->advance();
    }
  });
  std::vector<std::string> seeds;
  for (int i = 0; i < std::min(seed_count, opts.vms); ++i) {
    seeds.push_back(fmt::format("{}.{}:{}", prefix_, 10 + i, control_port));
  }
  for (int i = 0; i < opts.vms; ++i) {
    auto& added = vms_.emplace_back();
    added.name = fmt::format("edge-zone-{}-{}", i % 2, i);
    added.address = fmt::format("{}.{}", prefix_, 10 + i);
    const auto port = static_cast<std::uint16_t>(proxy_port + i);
    added.store_proxy =
        std::make_unique<soak::fault_proxy>(loop_, prefix_ + ".2", port, prefix_ + ".1", store_port);
    require(added.store_proxy->listen().ok(), "a proxy cannot listen");
    const auto settings = folder_ / (added.name + ".json");
    write_settings(settings, added, seeds, fmt::format("{}.2:{}", prefix_, port));
    added.process =
        std::make_unique<vm_process>(settings.string(), (folder_ / (added.name + ".log")).string());
    require(added.process->start(), "cannot start rhubarb-edge");
  }
}

site::~site() {
  vms_.clear();
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(folder_);
  } else {
    write("logs in " + folder_.string());
  }
}

void site::write(const std::string& text) {
  const auto at = std::chrono::duration<double>(loop_.now() - started_at_).count();
  record_ << fmt::format("{:8.3f} {}\n", at, text);
}

void site::write_settings(const std::filesystem::path& path, const entry_vm& vm,
                          const std::vector<std::string>& seeds, const std::string& store) const {
  const json settings{
      {"node", vm.name},
      {"role", "edge"},
      {"machineClass", "edge"},
      {"serves", {"edge", "control_plane"}},
      {"ip", vm.address},
      {"zone", "zone-0"},
      {"region", "region"},
      {"zones", {{"zone-0", "region"}, {"zone-1", "region"}}},
      {"bindings",
       {{"front", fmt::format("{}:{}", vm.address, front_port)},
        {"ready", fmt::format("{}:{}", vm.address, ready_port)},
        {"control", fmt::format("{}:{}", vm.address, control_port)}}},
      {"internalPorts", {7000, 7015}},
      {"seeds", seeds},
      {"bootstrap", true},
      {"limits",
       {{"cpuShare", 0.25}, {"cores", 1}, {"memoryMb", 260}, {"maxFds", 4100}, {"linkMbps", 1000.0}}},
      {"dataDir", nullptr},
      {"heartbeatMs", 1500},
      {"bounds",
       {{"contactMs", 3000},
        {"ackMs", 4000},
        {"drainMs", 2000},
        {"graceS", 6},
        {"lossSlackMs", 200},
        {"configApplyMs", 2000},
        {"rollbackSlackMs", 250},
        {"recoveryS", 12},
        {"maxHoldMs", 10000},
        {"stopTimeoutMs", 200},
        {"gangTimeoutMs", 3000},
        {"cancel_ms", 3000},
        {"visible_ms", 3000},
        {"finish_s", 14},
        {"status_s", 120},
        {"remoteFactor", 3},
        {"noticeMs", 4500},
        {"leaseMs", 3000}}},
      {"controlMode", "request"},
      {"platform",
       {{"address", store},
        {"form", "kv"},
        {"writesPerS", 400},
        {"readsPerS", 2000},
        {"retentionS", 20},
        {"valueBytes", 1048576},
        {"minTtlMs", 1000}}}};
  std::ofstream{path} << settings.dump(1);
}

json site::config(int version) const {
  const auto queue = [](std::string_view name, std::string_view service, std::string_view prefix,
                        int priority, int attempts) {
    return json{{"name", name},         {"host", host},
                {"prefix", prefix},     {"service", service},
                {"priority", priority}, {"maxAttempts", attempts},
                {"stretch", 3.0},       {"targetDurationMs", 3000}};
  };
  return {
      {"version", version},
      {"routes", json::array({queue("hold-check", "lendbook", urgent_prefix, 0, 2),
                              queue("fit-preview", "lendbook", normal_prefix, 1, 3),
                              queue("catalogue-batch", "lendbook", batch_prefix, 2, 4),
                              queue("wax-sort", "wax-sort", other_prefix, 1, 3)})},
      {"services", json::array({{{"name", "lendbook"}, {"admissionControl", true}},
                                {{"name", "wax-sort"}, {"admissionControl", true}}})},
      {"tenants",
       json::array(
           {{{"name", "north"}, {"apiKeys", json::array({"key-north"})}, {"guaranteedGpus", {{"gpu", 16}}}},
            {{"name", "south"},
             {"apiKeys", json::array({"key-south"})},
             {"guaranteedGpus", {{"gpu", 16}}}}})},
      {"limits", {{"maxBodyBytes", 262144}}}};
}

void site::put_config(const json& config) {
  store_.put("op/config", config.dump());
}

void site::run_for(duration length) {
  const auto timer = loop_.run_after(length, [this] { loop_.stop(); });
  loop_.run();
}

bool site::run_until(const std::function<bool()>& done, duration limit) {
  const auto end = loop_.now() + limit;
  while (!done()) {
    if (loop_.now() >= end) {
      return false;
    }
    run_for(poll_interval);
  }
  return true;
}

void site::call_later(std::size_t vm, const std::string& method, const std::string& path,
                      const std::string& key, const std::string& body, duration patience,
                      std::function<void(answer)> done) {
  http_request request{.method = method,
                       .path = path,
                       .query = {},
                       .headers = {{"Host", std::string{host}},
                                   {"Key", key},
                                   {"Timeout-Ms", fmt::format("{}", patience.count() / 1000)},
                                   {"Content-Type", "application/json"}},
                       .body = body};
  client_.call(fmt::format("{}:{}", vms_.at(vm).address, front_port), request, patience,
               [done = std::move(done)](const http_result& result) {
                 const auto* response = std::get_if<http_response>(&result);
                 done(response == nullptr ? answer{} : answer{response->status, response->body});
               });
}

answer site::call(std::size_t vm, const std::string& method, const std::string& path, const std::string& key,
                  const std::string& body, duration patience) {
  std::optional<answer> got;
  call_later(vm, method, path, key, body, patience, [&](answer result) { got = std::move(result); });
  while (!got) {
    run_for(milliseconds{2});
  }
  write(fmt::format("client sent {} {} {} to {}, answer {} {}", method, path, body, vms_.at(vm).name,
                    got->status, got->body));
  return *got;
}

answer site::get(const std::string& address, const std::string& path, const std::string& query,
                 duration patience) {
  std::optional<answer> got;
  client_.call(address, {.method = "GET", .path = path, .query = query, .headers = {}, .body = {}}, patience,
               [&](const http_result& result) {
                 const auto* response = std::get_if<http_response>(&result);
                 got = response == nullptr ? answer{} : answer{response->status, response->body};
               });
  while (!got) {
    run_for(milliseconds{2});
  }
  return *got;
}

bool site::ready(std::size_t vm, duration patience) {
  return get(fmt::format("{}:{}", vms_.at(vm).address, ready_port), "/api/ready", {}, patience).status == 200;
}

bool site::all_serve(duration limit) {
  const auto end = loop_.now() + limit;
  for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
    while (!ready(vm, milliseconds{500})) {
      if (loop_.now() >= end) {
        return false;
      }
      run_for(milliseconds{50});
    }
  }
  return run_until([this] { return owner().has_value(); }, end - loop_.now());
}

std::optional<std::size_t> site::owner() {
  const auto row =
      get(fmt::format("{}.1:{}", prefix_, store_port), "/api/kv-key", "key=rhubarb/owner/now", seconds{1});
  const auto item = json::parse(row.body, nullptr, false);
  std::string value;
  if (row.status != 200 || !item.is_object() || !absl::Base64Unescape(item.value("value", ""), &value)) {
    return std::nullopt;
  }
  // The row names the owner's VM. Its encoding is the project's own, so only the name is looked for.
  for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
    if (value.find(vms_[vm].name) != std::string::npos) {
      return vm;
    }
  }
  return std::nullopt;
}

void site::signal(std::size_t vm, int number) {
  write(fmt::format("signal {} to {}", number, vms_.at(vm).name));
  vms_.at(vm).process->send(number);
}

void site::kill(std::size_t vm) {
  signal(vm, SIGKILL);
  while (vms_.at(vm).process->alive()) {
    run_for(milliseconds{2});
  }
}

bool site::start(std::size_t vm) {
  write("start " + vms_.at(vm).name);
  return vms_.at(vm).process->start();
}

bool site::alive(std::size_t vm) {
  return vms_.at(vm).process->alive();
}

double site::processor_time(std::size_t vm) const {
  std::ifstream file{fmt::format("/proc/{}/stat", vms_.at(vm).process->id())};
  const std::string text{std::istreambuf_iterator<char>{file}, {}};
  const std::vector<std::string> fields = absl::StrSplit(text, ' ');
  constexpr std::size_t user_time = 13;
  constexpr std::size_t system_time = 14;
  if (fields.size() <= system_time) {
    return 0;
  }
  const auto ticks = std::stod(fields[user_time]) + std::stod(fields[system_time]);
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

}  // namespace rhubarbpath::review

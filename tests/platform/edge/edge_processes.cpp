#include "edge_processes.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "rhubarbpath/transport/http_status.hpp"

namespace rhubarbpath::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint16_t store_port = 8524;
constexpr std::uint16_t metrics_port = 7001;
constexpr std::uint16_t proxy_port = 9000;
constexpr std::uint16_t worker_port = 9100;
constexpr duration poll_interval{milliseconds{10}};
constexpr duration call_timeout{seconds{3}};

std::string program_path() {
  const char* folder = std::getenv("RHUBARBPATH_BIN");
  return (folder != nullptr ? std::string{folder} : std::string{"build"}) + "/rhubarb-edge";
}

std::filesystem::path make_folder() {
  auto pattern = (std::filesystem::temp_directory_path() / "rhubarb-edge-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error{"cannot create a temporary folder"};
  }
  return pattern;
}

void require(const absl::Status& status) {
  if (!status.ok()) {
    throw std::runtime_error{std::string{status.message()}};
  }
}

}  // namespace

edge_processes::edge_processes(int vms, vm_limits limits)
    : folder_{make_folder()},
      // Test programs that run at the same time use different loopback networks.
      network_prefix_{fmt::format("127.{}.{}", 16 + getpid() % 200, 1 + getpid() / 200 % 250)},
      store_{loop_, network_prefix_ + ".1", store_port, random_},
      workers_{loop_, store_, random_},
      client_{loop_, {}} {
  // A process that is killed or that gives up an answer closes its connection while a stand-in writes to it.
  std::signal(SIGPIPE, SIG_IGN);
  put_config(1);
  if (limits.value_bytes > 0) {
    store_.max_value_bytes = static_cast<std::size_t>(limits.value_bytes);
  }
  store_.limit_rates(limits.rates);
  require(store_.listen());
  std::vector<std::string> seeds;
  for (int i = 0; i < std::min(3, vms); ++i) {
    seeds.push_back(fmt::format("{}.{}:{}", network_prefix_, 10 + i, peer_port));
  }
  for (int i = 0; i < vms; ++i) {
    auto& added = vms_.emplace_back();
    const auto name = fmt::format("vm-{}", i);
    const auto port = static_cast<std::uint16_t>(proxy_port + i);
    const auto settings = folder_ / (name + ".json");
    added.address = fmt::format("{}.{}", network_prefix_, 10 + i);
    added.store_proxy = std::make_unique<fault_proxy>(loop_, network_prefix_ + ".2", port,
                                                      network_prefix_ + ".1", store_port);
    require(added.store_proxy->listen());
    write_settings(settings, {.name = name,
                              .address = added.address,
                              .zone = "zone-0",
                              .seeds = seeds,
                              .store_address = fmt::format("{}.2:{}", network_prefix_, port),
                              .memory_mb = limits.memory_mb,
                              .max_descriptors = limits.max_descriptors,
                              .value_bytes = limits.value_bytes,
                              .rates = limits.rates});
    added.process = std::make_unique<edge_process>(program_path(), settings.string(),
                                                   (folder_ / (name + ".log")).string());
    if (!added.process->start()) {
      throw std::runtime_error{"cannot start a rhubarb-edge process"};
    }
  }
}

edge_processes::~edge_processes() {
  vms_.clear();
  // With the variable set, the logs of the processes are kept for a look after a failure.
  if (std::getenv("RHUBARBPATH_KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(folder_);
  }
}

void edge_processes::add_worker() {
  const auto address = network_prefix_ + ".3";
  const auto port = static_cast<std::uint16_t>(worker_port + workers_.size());
  require(workers_.add(address, port, fmt::format("{}:{}", address, port)));
}

void edge_processes::put_config(int number) {
  store_.put("op/config", config_text(number));
}

void edge_processes::run_for(duration length) {
  const auto timer = loop_.run_after(length, [this] { loop_.stop(); });
  loop_.run();
}

http_result edge_processes::call(const std::string& address, const http_request& request, duration patience) {
  std::optional<http_result> answer;
  client_.call(address, request, patience, [&](http_result result) {
    answer = std::move(result);
    loop_.stop();
  });
  while (!answer) {
    loop_.run();
  }
  return *answer;
}

void edge_processes::kill(std::size_t vm) {
  auto& process = *vms_.at(vm).process;
  process.send(SIGKILL);
  while (process.alive()) {
    static_cast<void>(process.reap());
    run_for(poll_interval);
  }
}

void edge_processes::start(std::size_t vm) {
  if (!vms_.at(vm).process->start()) {
    throw std::runtime_error{"cannot start a rhubarb-edge process"};
  }
}

bool edge_processes::alive(std::size_t vm) {
  auto& process = *vms_.at(vm).process;
  static_cast<void>(process.reap());
  return process.alive();
}

int edge_processes::send_as_peer(std::size_t vm, const std::string& path, const std::string& body) {
  const auto result =
      call(fmt::format("{}:{}", vms_.at(vm).address, peer_port),
           {.method = "POST", .path = path, .query = {}, .headers = {}, .body = body}, call_timeout);
  const auto* response = std::get_if<http_response>(&result);
  return response == nullptr ? 0 : response->status;
}

http_result edge_processes::query_version(std::size_t vm, int number) {
  return call(fmt::format("{}:{}", vms_.at(vm).address, caller_port),
              {.method = "GET",
               .path = fmt::format("/probe-{}/no-id", number),
               .query = {},
               .headers = {{"Host", std::string{caller_host}}},
               .body = {}},
              call_timeout);
}

http_result edge_processes::call_for_job(std::size_t vm, const std::string& method, const std::string& job,
                                         const std::string& body, duration patience,
                                         const job_call_options& options) {
  http_request request{.method = method,
                       .path = std::string{options.queue} + job,
                       .query = {},
                       .headers = {{"Host", std::string{caller_host}},
                                   {"Key", options.key},
                                   {"Content-Type", "application/json"}},
                       .body = body};
  if (!options.timeout_ms.empty()) {
    request.headers.emplace_back("Timeout-Ms", options.timeout_ms);
  }
  return call(fmt::format("{}:{}", vms_.at(vm).address, caller_port), request, patience);
}

int edge_processes::call_job(std::size_t vm, const std::string& method, const std::string& job,
                             const std::string& body, duration patience, const job_call_options& options) {
  const auto result = call_for_job(vm, method, job, body, patience, options);
  const auto* response = std::get_if<http_response>(&result);
  return response == nullptr ? 0 : response->status;
}

std::string edge_processes::job_state(std::size_t vm, const std::string& job) {
  const auto result = call_for_job(vm, "GET", job, {}, call_timeout, {});
  const auto* response = std::get_if<http_response>(&result);
  if (response == nullptr || response->status != http_status::ok) {
    return {};
  }
  const auto body = nlohmann::json::parse(response->body, nullptr, false);
  return body.is_object() ? body.value("state", "") : std::string{};
}

int edge_processes::query_status(std::size_t vm, int number) {
  const auto result = query_version(vm, number);
  const auto* response = std::get_if<http_response>(&result);
  return response == nullptr ? 0 : response->status;
}

bool edge_processes::uses(std::size_t vm, int number, duration limit) {
  const auto started_at = loop_.now();
  while (query_status(vm, number) != http_status::gone) {
    if (loop_.now() - started_at >= limit) {
      return false;
    }
    run_for(poll_interval);
  }
  return true;
}

bool edge_processes::all_use(int number, duration limit) {
  const auto started_at = loop_.now();
  for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
    if (!uses(vm, number, started_at + limit - loop_.now())) {
      return false;
    }
  }
  return true;
}

int edge_processes::get_status(std::size_t vm, std::uint16_t port, const std::string& path) {
  const auto result =
      call(fmt::format("{}:{}", vms_.at(vm).address, port),
           {.method = "GET", .path = path, .query = {}, .headers = {}, .body = {}}, call_timeout);
  const auto* response = std::get_if<http_response>(&result);
  return response == nullptr ? 0 : response->status;
}

int edge_processes::relayed_calls(std::size_t vm) {
  const std::string counter = "rhubarb_relayed_calls_total ";
  const auto result =
      call(fmt::format("{}:{}", vms_.at(vm).address, metrics_port),
           {.method = "GET", .path = "/metrics", .query = {}, .headers = {}, .body = {}}, call_timeout);
  const auto* response = std::get_if<http_response>(&result);
  if (response == nullptr) {
    return 0;
  }
  const std::vector<std::string> lines = absl::StrSplit(response->body, '\n');
  for (const auto& line : lines) {
    int value = 0;
    if (line.starts_with(counter) && absl::SimpleAtoi(line.substr(counter.size()), &value)) {
      return value;
    }
  }
  return 0;
}

}  // namespace rhubarbpath::soak

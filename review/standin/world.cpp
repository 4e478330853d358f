#include "world.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <sstream>

namespace review {

using rhubarbpath::http_request;
using rhubarbpath::http_responder;
using rhubarbpath::http_response;
using rhubarbpath::http_result;

namespace {

constexpr std::uint16_t store_port = 8524;
constexpr std::size_t value_bytes = 1048576;
constexpr std::uint16_t front_port = 8521;
constexpr std::uint16_t ready_port = 8523;
constexpr std::uint16_t control_port = 8526;
constexpr std::uint16_t worker_port = 8080;
constexpr std::string_view host = "jobs.example";
constexpr std::string_view service = "render";
const std::vector<std::string> zones{"zone-a", "zone-b", "zone-c"};

bool is_free(const std::string& network) {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(store_port);
  inet_pton(AF_INET, (network + ".1").c_str(), &address.sin_addr);
  const int reuse = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
  const bool free = bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
  close(descriptor);
  return free;
}

/// Chooses a part of the loopback network that no other case uses.
std::string choose_network() {
  for (int i = 0; i < 200; ++i) {
    const int number = (getpid() + i * 37) % 50'000;
    auto network = fmt::format("127.{}.{}", 20 + number / 250, 1 + number % 250);
    if (is_free(network)) {
      return network;
    }
  }
  return "127.19.1";
}

std::string make_folder() {
  auto pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  return mkdtemp(pattern.data()) == nullptr ? std::string{} : pattern;
}

/// Resident memory of a process in MB.
int resident_mb(pid_t process) {
  std::ifstream status{fmt::format("/proc/{}/status", process)};
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with("VmRSS:")) {
      return std::atoi(line.c_str() + 6) / 1024;
    }
  }
  return 0;
}

}  // namespace

world::world(const std::string& record_path, options opts)
    : opts_{opts},
      folder_{make_folder()},
      network_{choose_network()},
      record_{record_path},
      begun_{loop_.now()},
      store_{loop_, network_ + ".2", store_port, random_},
      client_{loop_, {.max_connections_per_address = 2000, .max_body_bytes = 64U << 20U}},
      store_front_{
          loop_,
          {.address = network_ + ".1", .port = store_port, .max_body_bytes = 64U << 20U},
          [this](const http_request& request, const http_responder& reply) { serve_store(request, reply); }},
      book_{[this](const std::string& line) { write(line); }} {
  store_.faults.answer_delay = milliseconds{4};
}

world::~world() {
  supervise_timer_.cancel();
  for (auto& each : machines_) {
    if (each.process > 0) {
      kill(each.process, SIGKILL);
      waitpid(each.process, nullptr, 0);
    }
  }
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(folder_);
  } else {
    write("logs in " + folder_);
  }
}

double world::seconds() const {
  return std::chrono::duration<double>(loop_.now() - begun_).count();
}

void world::write(const std::string& line) {
  record_ << fmt::format("{:8.3f} {}\n", seconds(), line) << std::flush;
}

void world::write_settings(const machine& each, const std::vector<std::string>& seeds) const {
  const json settings{{"node", each.name},
                      {"role", "edge"},
                      {"machineClass", "edge"},
                      {"serves", {"edge", "control_plane"}},
                      {"ip", each.address},
                      {"zone", zones[0]},
                      {"region", "region-a"},
                      {"zones", {{zones[0], "region-a"}, {zones[1], "region-a"}, {zones[2], "region-a"}}},
                      {"bindings",
                       {{"front", fmt::format("{}:{}", each.address, front_port)},
                        {"ready", fmt::format("{}:{}", each.address, ready_port)},
                        {"control", fmt::format("{}:{}", each.address, control_port)}}},
                      {"internalPorts", {7000, 7015}},
                      {"seeds", seeds},
                      {"bootstrap", true},
                      {"limits",
                       {{"cpuShare", 0.25},
                        {"cores", 1},
                        {"memoryMb", opts_.memory_limit_mb},
                        {"maxFds", 4100},
                        {"linkMbps", 1000.0},
                        {"diskMb", 0}}},
                      {"dataDir", nullptr},
                      {"discovery", "platform"},
                      {"heartbeatMs", 1500},
                      {"bounds",
                       {{"contactMs", 3000},
                        {"ackMs", 4000},
                        {"drainMs", 2000},
                        {"graceS", 6},
                        {"lossSlackMs", 200},
                        {"configApplyMs", 2000},
                        {"maxHoldMs", 10000},
                        {"stopTimeoutMs", 200},
                        {"gangTimeoutMs", 3000},
                        {"cancel_ms", 3000},
                        {"visible_ms", 3000},
                        {"finish_s", 14},
                        {"status_s", 120},
                        {"remoteFactor", 3},
                        {"checkpointS", 2},
                        {"restoreMs", 100}}},
                      {"controlMode", "request"},
                      {"platform",
                       {{"address", fmt::format("{}.1:{}", network_, store_port)},
                        {"form", "kv"},
                        {"writesPerS", 400},
                        {"readsPerS", 2000},
                        {"retentionS", 20},
                        {"valueBytes", value_bytes},
                        {"minTtlMs", 1000}}}};
  std::ofstream{each.settings_path} << settings.dump(1);
}

void world::launch(machine& each) {
  const auto settings = "RHUBARBPATH_SETTINGS=" + each.settings_path;
  const auto child = fork();
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(each.log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    // The command of the deploy file; the settings' path is in the environment.
    std::string program = "target/rhubarb-edge";
    std::string variable = settings;
    char* arguments[] = {program.data(), nullptr};
    char* environment[] = {variable.data(), nullptr};
    execve(program.c_str(), arguments, environment);
    _exit(127);
  }
  each.process = child > 0 ? child : 0;
  write(fmt::format("platform: process of {} started", each.name));
}

void world::serve_store(const http_request& request, const http_responder& reply) {
  if (request.path == "/api/kv-txn" && request.body.size() > value_bytes) {
    const auto body = json::parse(request.body, nullptr, false);
    for (const auto& each : body.is_object() ? body.value("put", json::array()) : json::array()) {
      if (each.value("value", "").size() / 4 * 3 > value_bytes) {
        write(fmt::format("store: refuses a value of {} bytes for {}, more than valueBytes",
                          each.value("value", "").size() / 4 * 3, each.value("key", "")));
        reply.send({.status = 400, .headers = {}, .body = {}});
        return;
      }
    }
  }
  client_.call(fmt::format("{}.2:{}", network_, store_port), request, milliseconds{31'000},
               [reply](const http_result& result) {
                 if (const auto* response = std::get_if<http_response>(&result)) {
                   reply.send({.status = response->status, .headers = {}, .body = response->body});
                 }
               });
}

bool world::add_worker(std::size_t number, worker::options opts) {
  workers_[number] = std::make_unique<worker>(
      loop_, store_, book_, [this](const std::string& line) { write(line); }, std::move(opts));
  return workers_[number]->listen();
}

void world::crash_worker(std::size_t number, milliseconds down) {
  auto opts = workers_[number]->opts();
  const auto old_entry = "servers/" + opts.id;
  const auto silent_for = workers_[number]->entry_expires() - loop_.now();
  workers_[number].reset();
  write(fmt::format("worker {} crashes", opts.id));
  loop_.run_detached(silent_for, [this, old_entry] {
    store_.erase(old_entry);
    write("store: removes " + old_entry);
  });
  run_for(down);
  opts.id = fmt::format("i-{:08x}", 0x2b60d000 + ++crashes_);
  write(fmt::format("worker {} starts at the same address {}: {}", opts.id, opts.address,
                    add_worker(number, opts) ? "listening" : "cannot listen"));
}

void world::cut_worker(std::size_t number) {
  workers_[number]->cut_off(true);
  loop_.run_detached(workers_[number]->entry_expires() - loop_.now(), [this, number] {
    if (loop_.now() + milliseconds{5} >= workers_[number]->entry_expires()) {
      store_.erase("servers/" + workers_[number]->opts().id);
      write("store: removes servers/" + workers_[number]->opts().id);
    }
  });
}

bool world::start() {
  if (folder_.empty() || !store_.listen().ok() || !store_front_.listen().ok()) {
    write("cannot set up the deployment");
    return false;
  }
  for (int i = 0; i < opts_.workers; ++i) {
    const auto number = static_cast<std::size_t>(i);
    workers_.emplace_back();
    if (!add_worker(number, {.id = fmt::format("i-{:08x}", 0x7f3a91c0 + i),
                             .zone = zones[number % zones.size()],
                             .service = std::string{service},
                             .address = fmt::format("{}.{}", network_, 100 + i),
                             .port = worker_port})) {
      write("a worker cannot listen");
      return false;
    }
  }
  std::vector<std::string> seeds;
  for (int i = 0; i < std::min(3, opts_.vms); ++i) {
    seeds.push_back(fmt::format("{}.{}:{}", network_, 10 + i, control_port));
  }
  for (int i = 0; i < opts_.vms; ++i) {
    auto& added = machines_.emplace_back();
    added.name = fmt::format("edge-{}", i + 1);
    added.address = fmt::format("{}.{}", network_, 10 + i);
    added.settings_path = fmt::format("{}/{}.json", folder_, added.name);
    added.log_path = fmt::format("{}/{}.log", folder_, added.name);
    write_settings(added, seeds);
  }
  for (auto& each : machines_) {
    launch(each);
  }
  supervise_timer_ = loop_.run_every(milliseconds{50}, [this] { supervise(); });
  ready_timer_ = loop_.run_every(milliseconds{500}, [this] { probe_ready(); });
  return run_until([this] { return ready_machines() == opts_.vms; }, milliseconds{15'000});
}

void world::supervise() {
  constexpr milliseconds restart_delay{1000};
  for (auto& each : machines_) {
    if (each.process == 0) {
      if (loop_.now() >= each.restart_at) {
        launch(each);
      }
      continue;
    }
    if (const int used = resident_mb(each.process); used > opts_.memory_limit_mb) {
      write(fmt::format("platform: {} uses {} MB, more than memoryMb {}; its process is killed", each.name,
                        used, opts_.memory_limit_mb));
      kill(each.process, SIGKILL);
    }
    int status = 0;
    if (waitpid(each.process, &status, WNOHANG) == each.process) {
      write(fmt::format("platform: process of {} ended, {} {}", each.name,
                        WIFSIGNALED(status) ? "by signal" : "with code",
                        WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status)));
      each.process = 0;
      each.ready = false;
      ++each.ends;
      each.restart_at = loop_.now() + restart_delay;
    }
  }
}

void world::probe_ready() {
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    client_.call(fmt::format("{}:{}", machines_[i].address, ready_port),
                 {.method = "GET", .path = "/api/ready", .query = {}, .headers = {}, .body = {}},
                 milliseconds{1000}, [this, i](const http_result& result) {
                   const auto* response = std::get_if<http_response>(&result);
                   machines_[i].ready = response != nullptr && response->status == 200;
                 });
  }
}

int world::ready_machines() const {
  return static_cast<int>(
      std::count_if(machines_.begin(), machines_.end(), [](const machine& each) { return each.ready; }));
}

std::vector<int> world::ends_of_processes() const {
  std::vector<int> ends;
  for (const auto& each : machines_) {
    ends.push_back(each.ends);
  }
  return ends;
}

void world::run_for(milliseconds length) {
  const auto timer = loop_.run_after(length, [this] { loop_.stop(); });
  loop_.run();
}

bool world::run_until(const std::function<bool()>& holds, milliseconds limit) {
  const auto until = loop_.now() + limit;
  while (!holds()) {
    if (loop_.now() >= until) {
      return false;
    }
    run_for(milliseconds{10});
  }
  return true;
}

void world::put_config(const std::vector<route>& routes) {
  version_ += 3;
  json rows = json::array();
  std::string names;
  for (const auto& each : routes) {
    rows.push_back({{"name", each.name},
                    {"host", host},
                    {"prefix", each.prefix},
                    {"type", "non_idempotent"},
                    {"timeoutMs", 3000},
                    {"targetDurationMs", 3000},
                    {"priority", each.priority},
                    {"service", service},
                    {"maxAttempts", each.max_attempts},
                    {"stretch", 3.0},
                    {"public", false}});
    names += " " + each.prefix;
  }
  store_.put("op/config",
             json{{"version", version_},
                  {"routes", std::move(rows)},
                  {"services", {{{"name", service}, {"healthPath", "/health"}, {"admissionControl", true}}}},
                  {"tenants",
                   {{{"name", "tenant-a"}, {"apiKeys", {tenant_a_key}}, {"guaranteedGpus", {{"gpu", 8}}}},
                    {{"name", "tenant-b"}, {"apiKeys", {tenant_b_key}}, {"guaranteedGpus", {{"gpu", 0}}}}}},
                  {"limits", {{"maxBodyBytes", 262144}}}}
                 .dump());
  write(fmt::format("operator: configuration {} acknowledged, routes{}", version_, names));
}

std::shared_ptr<std::optional<reply>> world::send(int vm, const std::string& method, const std::string& path,
                                                  const std::string& body, milliseconds patience,
                                                  const std::string& key) {
  auto answer = std::make_shared<std::optional<reply>>();
  http_request request{.method = method,
                       .path = path,
                       .query = {},
                       .headers = {{"Host", std::string{host}},
                                   {"Key", key},
                                   {"Timeout-Ms", fmt::format("{}", patience.count())}},
                       .body = body};
  if (!body.empty()) {
    request.headers.emplace_back("Content-Type", "application/json");
  }
  const auto& to = machines_[static_cast<std::size_t>(vm)];
  write(fmt::format("client: {} {} to {} {}", method, path, to.name, body.substr(0, 300)));
  client_.call(fmt::format("{}:{}", to.address, front_port), request, patience,
               [this, answer, method, path, name = to.name](const http_result& result) {
                 const auto* response = std::get_if<http_response>(&result);
                 *answer = response == nullptr ? reply{}
                                               : reply{.status = response->status, .body = response->body};
                 write(fmt::format("client: {} {} answered by {}: {} {}", method, path, name,
                                   response == nullptr ? "nothing" : fmt::format("{}", response->status),
                                   (*answer)->body));
               });
  return answer;
}

reply world::call(int vm, const std::string& method, const std::string& path, const std::string& body,
                  const std::string& key) {
  const auto answer = send(vm, method, path, body, milliseconds{3000}, key);
  run_until([&] { return answer->has_value(); }, milliseconds{5000});
  return answer->value_or(reply{});
}

bool world::submit(const std::string& path, const std::string& id, const json& body,
                   std::vector<step_facts> steps, const std::string& key) {
  book_.submitted(id, std::move(steps));
  constexpr int attempts = 5;
  for (int i = 0; i < attempts; ++i) {
    const auto answer = call(i % opts_.vms, "POST", path + id, body.dump(), key);
    if (answer.status >= 200 && answer.status < 300) {
      return true;
    }
    run_for(milliseconds{1000});
  }
  return false;
}

}  // namespace review

#include "platform_documents.hpp"

#include <fmt/format.h>

#include <fstream>
#include <nlohmann/json.hpp>

namespace rhubarbpath::soak {

using nlohmann::json;

void write_settings(const std::filesystem::path& path, const vm_document& vm) {
  json limits{{"cpuShare", 1.0}, {"cores", 1}};
  if (vm.memory_mb > 0) {
    limits["memoryMb"] = vm.memory_mb;
  }
  if (vm.max_descriptors > 0) {
    limits["maxFds"] = vm.max_descriptors;
  }
  json settings{{"node", vm.name},
                {"ip", vm.address},
                {"zone", vm.zone},
                {"bindings",
                 {{"front", fmt::format("{}:{}", vm.address, caller_port)},
                  {"ready", fmt::format("{}:{}", vm.address, ready_port)},
                  {"control", fmt::format("{}:{}", vm.address, peer_port)}}},
                {"seeds", vm.seeds},
                {"limits", std::move(limits)},
                {"bounds",
                 {{"maxHoldMs", 10000},
                  {"stopTimeoutMs", 200},
                  {"drainMs", 2000},
                  {"remoteFactor", 3},
                  {"graceS", 6},
                  {"configApplyMs", 2000},
                  {"evacuateMs", evacuation_limit.count()}}},
                {"controlMode", "request"},
                {"platform", {{"address", vm.store_address}}}};
  if (vm.value_bytes > 0) {
    settings["platform"]["valueBytes"] = vm.value_bytes;
  }
  if (vm.rates.reads > 0) {
    settings["platform"]["readsPerS"] = vm.rates.reads;
  }
  if (vm.rates.writes > 0) {
    settings["platform"]["writesPerS"] = vm.rates.writes;
  }
  auto temporary_path = path;
  temporary_path += ".next";
  std::ofstream{temporary_path} << settings.dump(1);
  std::filesystem::rename(temporary_path, path);
}

std::string config_text(int number) {
  const auto job_queue = [](std::string_view name, std::string_view prefix, int priority) {
    return json{{"name", name},        {"host", caller_host},       {"prefix", prefix},
                {"service", "render"}, {"priority", priority},      {"maxAttempts", 20},
                {"stretch", 3.0},      {"targetDurationMs", 20'000}};
  };
  json routes = json::array({job_queue("jobs", normal_queue, 1), job_queue("urgent", urgent_queue, 0),
                             job_queue("spare", spare_queue, 2)});
  for (int i = 1; i <= number; ++i) {
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
  return json{{"version", number * 3},
              {"routes", std::move(routes)},
              {"services", {{{"name", "render"}, {"admissionControl", true}}}},
              {"tenants",
               {{{"name", "team-a"}, {"apiKeys", {"key-a"}}, {"guaranteedGpus", {{"gpu", 4}}}},
                {{"name", "team-b"}, {"apiKeys", {"key-b"}}, {"guaranteedGpus", {{"gpu", 0}}}}}},
              {"limits", {{"maxBodyBytes", 1'000'000}}}}
      .dump();
}

}  // namespace rhubarbpath::soak

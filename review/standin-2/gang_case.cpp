#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <string>

#include "cases.hpp"
#include "site.hpp"

namespace rhubarbpath::review {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int worker_total = 48;
constexpr int small_tasks = 16'000;
constexpr int gang_members = 1024;
const std::string small_job = "00000000000000f1";
const std::string gang_job = "00000000000000a2";
const std::string other_job = "00000000000000b3";

std::size_t running_tasks(site& area) {
  std::size_t sum = 0;
  for (std::size_t i = 0; i < area.worker_count(); ++i) {
    sum += area.worker_at(i).run_count();
  }
  return sum;
}

bool has_started(const site& area, const std::string& job) {
  const auto& events = area.work().events;
  return std::any_of(events.begin(), events.end(), [&](const run_event& event) {
    return event.what == "start" && event.task.starts_with(job);
  });
}

/// Fills the service with small tasks that run longer than the case.
bool fill_service(site& area) {
  constexpr int cpu = 32'000 * worker_total / small_tasks;
  area.work().plans[small_job + ".0"] = {.each = {.cpu = cpu, .memory_mb = 300}, .run_time = seconds{110}};
  const auto accepted = area.call(
      0, "POST", std::string{batch_prefix} + small_job, "key-north",
      fmt::format(R"({{"spec":"x","steps":[{{"count":{},"cpu":{},"memMb":300,"estimateMs":90000}}]}})",
                  small_tasks, cpu));
  constexpr std::size_t nearly_all = small_tasks * 97 / 100;
  return accepted.status == 200 &&
         area.run_until([&] { return running_tasks(area) >= nearly_all; }, seconds{25});
}

/// Submits a job at one VM after the other, as clients do without an answer. Returns whether it was accepted.
bool submit(site& area, const std::string& path, const std::string& body) {
  for (std::size_t attempt = 0; attempt < 4 * area.vm_count(); ++attempt) {
    if (area.call(attempt % area.vm_count(), "POST", path, "key-south", body).status == 200) {
      return true;
    }
    area.run_for(milliseconds{500});
  }
  return false;
}

bool submit_gang(site& area) {
  area.work().plans[gang_job + ".0"] = {
      .each = {.cpu = 1000, .memory_mb = 800}, .run_time = seconds{2}, .gang_members = gang_members};
  return submit(
      area, std::string{urgent_prefix} + gang_job,
      fmt::format(
          R"({{"spec":"x","steps":[{{"count":{},"cpu":1000,"memMb":800,"estimateMs":2000,"gang":true}}]}})",
          gang_members));
}

bool submit_to_other_service(site& area) {
  area.work().plans[other_job + ".0"] = {.each = {.cpu = 1000, .memory_mb = 800}, .run_time = seconds{2}};
  return submit(area, std::string{other_prefix} + other_job,
                R"({"spec":"x","steps":[{"count":2,"cpu":1000,"memMb":800,"estimateMs":2000}]})");
}

/// One readiness probe of each VM. Returns how many were not answered in time.
int probe(site& area) {
  int unanswered = 0;
  for (std::size_t vm = 0; vm < area.vm_count(); ++vm) {
    const bool ready = area.ready(vm, milliseconds{900});
    unanswered += ready ? 0 : 1;
    area.write(fmt::format("probe of vm {}: {}, {:.1f} s of processor time so far", vm,
                           ready ? "ready" : "no answer within 0.9 s", area.processor_time(vm)));
  }
  const auto owner = area.owner();
  area.write(owner ? fmt::format("the owner is vm {}", *owner) : "there is no owner");
  return unanswered;
}

}  // namespace

verdict run_gang_case(const std::string& folder, bool trouble) {
  site area{{.vms = 3, .workers = worker_total, .other_workers = 4}, folder};
  if (!area.all_serve(seconds{20})) {
    return verdict::not_run;
  }
  area.run_for(seconds{3});
  if (!fill_service(area)) {
    return verdict::not_run;
  }
  area.write(fmt::format("{} tasks run", running_tasks(area)));
  if (trouble && !submit_gang(area)) {
    return verdict::not_run;
  }
  area.run_for(seconds{1});
  if (!submit_to_other_service(area)) {
    // A refusal loses no accepted work.
    area.write("no VM accepts a job");
    return verdict::not_run;
  }
  // `finish_s` after the end of the traffic, a job may have nothing running for 3 s at most.
  const auto accepted_at = area.loop().now();
  constexpr duration limit = seconds{14} + seconds{3};
  int unanswered = 0;
  while (area.loop().now() - accepted_at < limit && !has_started(area, other_job)) {
    unanswered += probe(area);
    area.run_for(milliseconds{500});
  }
  const bool started = has_started(area, other_job);
  area.write(fmt::format("the job of the idle service {} within 17 s of its acceptance; {} probes unanswered",
                         started ? "started" : "did not start", unanswered));
  return started ? verdict::held : verdict::broken;
}

}  // namespace rhubarbpath::review

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

const std::string full_job = "00000000000000f1";
const std::string half_job = "00000000000000f2";
const std::string lasting_job = "00000000000000a3";
const std::string gang_job = "00000000000000b4";
const std::string lasting_task = lasting_job + ".0.0.0";
constexpr amounts lasting_need{.cpu = 1000, .memory_mb = 100, .accelerators = 1};

struct submission {
  std::string_view queue;
  std::string job;
  int count{0};
  step_plan plan;
};

bool submit(site& area, const submission& wanted) {
  area.work().plans[wanted.job + ".0"] = wanted.plan;
  const auto& need = wanted.plan.each;
  const auto estimate = std::chrono::duration_cast<milliseconds>(wanted.plan.run_time).count();
  const std::string kind = wanted.plan.lasts ? R"("longRunning":true)"
                           : wanted.plan.gang_members > 0
                               ? fmt::format(R"("gang":true,"estimateMs":{})", estimate)
                               : fmt::format(R"("estimateMs":{})", estimate);
  const std::string body =
      fmt::format(R"({{"spec":"x","steps":[{{"count":{},"cpu":{},"memMb":{},"gpu":{},{}}}]}})", wanted.count,
                  need.cpu, need.memory_mb, need.accelerators, kind);
  return area.call(0, "POST", std::string{wanted.queue} + wanted.job, "key-north", body).status == 200;
}

/// How many more tasks of the lasting step the workers that neither drain nor have left could take.
std::int64_t room(site& area, const std::string& leaving) {
  std::int64_t fits = 0;
  for (std::size_t i = 0; i < area.worker_count(); ++i) {
    const auto& each = area.worker_at(i);
    if (!each.up() || each.settings().id == leaving) {
      continue;
    }
    const auto& capacity = each.settings().capacity;
    const auto& used = each.in_use();
    fits += std::min({(capacity.cpu - used.cpu) / lasting_need.cpu,
                      (capacity.memory_mb - used.memory_mb) / lasting_need.memory_mb,
                      (capacity.accelerators - used.accelerators) / lasting_need.accelerators});
  }
  return fits;
}

worker* worker_of(site& area, const std::string& task) {
  for (std::size_t i = 0; i < area.worker_count(); ++i) {
    if (area.worker_at(i).runs(task)) {
      return &area.worker_at(i);
    }
  }
  return nullptr;
}

/// Watches for `length` whether the lasting task runs, and returns how long it stood at most: from 6 s after
/// its last run on, in calm, with room for two of it or more.
duration longest_stand(site& area, const std::string& leaving, instant disturbed_at, duration length) {
  const auto end = area.loop().now() + length;
  auto last_run_at = area.loop().now();
  std::optional<instant> stands_since;
  duration longest{};
  while (area.loop().now() < end) {
    area.run_for(milliseconds{50});
    const auto now = area.loop().now();
    const bool runs = worker_of(area, lasting_task) != nullptr;
    last_run_at = runs ? now : last_run_at;
    const bool calm = now - disturbed_at >= seconds{4};
    const bool stands = !runs && calm && now - last_run_at >= seconds{6} && room(area, leaving) >= 2;
    stands_since = stands ? stands_since.value_or(now) : std::optional<instant>{};
    longest = std::max(longest, stands ? now - *stands_since : duration::zero());
  }
  area.write(
      fmt::format("the lasting task stood for {:.1f} s from 6 s after its last run on, in calm, with room "
                  "for two of it or more",
                  std::chrono::duration<double>(longest).count()));
  return longest;
}

void leave(site& area, worker& leaving) {
  area.write(leaving.settings().id + " leaves");
  leaving.crash();
  area.store().erase("servers/" + leaving.settings().id);
}

}  // namespace

verdict run_lasting_case(const std::string& folder, bool trouble) {
  site area{{.vms = 3, .workers = 16}, folder};
  if (!area.all_serve(seconds{20})) {
    return verdict::not_run;
  }
  area.run_for(seconds{3});
  const step_plan whole{.each = {.cpu = 2000, .memory_mb = 100, .accelerators = 8}, .run_time = seconds{100}};
  const step_plan most{.each = {.cpu = 2000, .memory_mb = 100, .accelerators = 5}, .run_time = seconds{100}};
  const step_plan gang{
      .each = {.cpu = 1000, .memory_mb = 100, .accelerators = 4}, .run_time = seconds{5}, .gang_members = 2};
  const step_plan lasting{.each = lasting_need, .run_time = {}, .lasts = true};
  // 14 workers are full, and two have three accelerators left, of which the lasting task takes one.
  for (const auto& each : {submission{.queue = normal_prefix, .job = full_job, .count = 14, .plan = whole},
                           submission{.queue = normal_prefix, .job = half_job, .count = 2, .plan = most},
                           submission{.queue = batch_prefix, .job = lasting_job, .count = 1, .plan = lasting},
                           submission{.queue = normal_prefix, .job = gang_job, .count = 2, .plan = gang}}) {
    if (!submit(area, each)) {
      return verdict::not_run;
    }
    area.run_for(seconds{2});
  }
  auto* const home = worker_of(area, lasting_task);
  if (home == nullptr) {
    area.write("the lasting task does not run before the disruption");
    return verdict::not_run;
  }
  std::string leaving;
  if (trouble) {
    leaving = home->settings().id;
    area.write(leaving + " drains");
    home->drain(seconds{4});
    area.run_for(seconds{5});
    leave(area, *home);
  }
  return longest_stand(area, leaving, area.loop().now(), seconds{45}) >= seconds{3} ? verdict::broken
                                                                                    : verdict::held;
}

verdict run_takeover_case(const std::string& folder, bool trouble) {
  site area{{.vms = 3, .workers = 16}, folder};
  if (!area.all_serve(seconds{20})) {
    return verdict::not_run;
  }
  area.run_for(seconds{3});
  const step_plan lasting{.each = lasting_need, .run_time = {}, .lasts = true};
  if (!submit(area, {.queue = normal_prefix, .job = lasting_job, .count = 1, .plan = lasting})) {
    return verdict::not_run;
  }
  area.run_for(seconds{4});
  auto* const home = worker_of(area, lasting_task);
  const auto owner = area.owner();
  if (home == nullptr || !owner) {
    return verdict::not_run;
  }
  std::string leaving;
  if (trouble) {
    leaving = home->settings().id;
    area.write(leaving + " drains, and is gone in 2 s");
    home->drain(seconds{2});
    area.run_for(milliseconds{20});
    area.kill(*owner);
    area.run_for(milliseconds{1980});
    leave(area, *home);
    if (!area.start(*owner)) {
      return verdict::not_run;
    }
  }
  return longest_stand(area, leaving, area.loop().now(), seconds{25}) >= seconds{3} ? verdict::broken
                                                                                    : verdict::held;
}

}  // namespace rhubarbpath::review

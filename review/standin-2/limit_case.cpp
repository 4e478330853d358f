#include <algorithm>
#include <chrono>
#include <string>

#include "cases.hpp"
#include "site.hpp"

namespace rhubarbpath::review {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string cancelled_job = "00000000000000e1";
const std::string new_job = "00000000000000e2";
constexpr std::string_view body =
    R"({"spec":"x","steps":[{"count":2,"cpu":30000,"memMb":100,"estimateMs":60000}]})";

bool submit(site& area, std::size_t vm, const std::string& job) {
  area.work().plans[job + ".0"] = {.each = {.cpu = 30'000, .memory_mb = 100}, .run_time = seconds{60}};
  return area.call(vm, "POST", std::string{normal_prefix} + job, "key-north", std::string{body}).status ==
         200;
}

}  // namespace

verdict run_limit_case(const std::string& folder, bool trouble) {
  site area{{.vms = 3, .workers = 2, .guards_capacity = false}, folder};
  if (!area.all_serve(seconds{20})) {
    return verdict::not_run;
  }
  area.run_for(seconds{3});
  // One task fills one worker.
  const auto owner = area.owner();
  if (!submit(area, 0, cancelled_job) || !owner) {
    return verdict::not_run;
  }
  area.run_for(seconds{2});
  const auto other = (*owner + 1) % area.vm_count();
  if (trouble) {
    area.kill(*owner);
  }
  if (area.call(other, "DELETE", std::string{normal_prefix} + cancelled_job, "key-north").status != 200) {
    return verdict::not_run;
  }
  const auto taken_over = [&] {
    const auto now = area.owner();
    return now && now != owner;
  };
  if ((trouble && !area.run_until(taken_over, seconds{6})) || !submit(area, other, new_job)) {
    return verdict::not_run;
  }
  area.run_for(seconds{4});
  const auto& events = area.work().events;
  return std::any_of(events.begin(), events.end(),
                     [](const run_event& event) { return event.what == "start over capacity"; })
             ? verdict::broken
             : verdict::held;
}

}  // namespace rhubarbpath::review

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

const std::string job = "00000000000000c1";
constexpr int tasks = 64;
constexpr duration drain_limit{milliseconds{2000}};

}  // namespace

verdict run_drain_case(const std::string& folder, bool trouble) {
  site area{{.vms = 3, .workers = 16}, folder};
  if (!area.all_serve(seconds{20})) {
    return verdict::not_run;
  }
  area.run_for(seconds{3});
  // While they are disturbed, the workers leave every second order to start unanswered and carry it out late.
  bool disturbed = trouble;
  int orders = 0;
  for (std::size_t i = 0; i < area.worker_count(); ++i) {
    area.worker_at(i).carry_out_late([&](const std::string& path, const nlohmann::json&) {
      return disturbed && path == "/api/run-start" && ++orders % 2 == 0;
    });
  }
  area.work().plans[job + ".0"] = {.each = {.cpu = 400, .memory_mb = 100}, .run_time = seconds{20}};
  const std::string body = fmt::format(
      R"({{"spec":"x","steps":[{{"count":{},"cpu":400,"memMb":100,"estimateMs":20000}}]}})", tasks);
  if (area.call(0, "POST", std::string{batch_prefix} + job, "key-north", body).status != 200 ||
      !area.run_until([&] { return !area.work().events.empty(); }, seconds{3})) {
    return verdict::not_run;
  }
  const auto first = area.work().events.front().worker;
  instant drained_at{};
  for (std::size_t i = 0; i < area.worker_count(); ++i) {
    if (area.worker_at(i).settings().id == first) {
      area.worker_at(i).drain(seconds{8});
      drained_at = area.loop().now();
      area.write(first + " drains, and the store has its entry");
    }
  }
  area.run_for(seconds{5});
  disturbed = false;
  area.run_for(seconds{2});
  const auto& events = area.work().events;
  const auto late = std::count_if(events.begin(), events.end(), [&](const run_event& event) {
    return event.what == "start" && event.worker == first && event.at - drained_at > drain_limit;
  });
  area.write(fmt::format("{} tasks were started on {} later than {} ms after its draining was acknowledged",
                         late, first, drain_limit.count() / 1000));
  return late > 0 ? verdict::broken : verdict::held;
}

}  // namespace rhubarbpath::review

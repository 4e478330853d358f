#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>

#include "cases.hpp"
#include "site.hpp"

namespace rhubarbpath::review {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string job = "00000000000000d1";
const std::string task = job + ".0.0.0";
constexpr duration run_time{seconds{1}};
/// Orders that get no answer are carried out 2 to 12 s later.
constexpr duration order_delay{seconds{9}};

std::ptrdiff_t count_events(const site& area, const std::string& what) {
  const auto& events = area.work().events;
  return std::count_if(events.begin(), events.end(),
                       [&](const run_event& event) { return event.what == what; });
}

bool shown_complete(site& area) {
  return area.call(1, "GET", std::string{normal_prefix} + job, "key-north").body.find("complete") !=
         std::string::npos;
}

}  // namespace

verdict run_incarnation_case(const std::string& folder, bool trouble) {
  site area{{.vms = 3, .workers = 8, .proxies = true}, folder};
  if (!area.all_serve(seconds{20})) {
    return verdict::not_run;
  }
  area.run_for(seconds{3});
  // The orders for the first run get no answer and are carried out late.
  std::optional<std::size_t> first;
  for (std::size_t i = 0; trouble && i < area.worker_count(); ++i) {
    area.proxy_of(i).hold(
        [&, i](const http_request& request) {
          const auto body = nlohmann::json::parse(request.body, nullptr, false);
          if (request.path != "/api/run-start" || body.value("run", 0) != 1) {
            return false;
          }
          first = i;
          area.write(fmt::format("{} leaves an order to start unanswered, and carries it out in 9 s: {}",
                                 area.worker_at(i).settings().id, request.body));
          return true;
        },
        order_delay);
  }
  area.work().plans[job + ".0"] = {.each = {.cpu = 1000, .memory_mb = 100}, .run_time = run_time};
  const auto accepted =
      area.call(0, "POST", std::string{normal_prefix} + job, "key-north",
                R"({"spec":"x","steps":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":1000}]})");
  if (accepted.status != 200 || !area.run_until([&] { return count_events(area, "done") > 0; }, seconds{6})) {
    return verdict::not_run;
  }
  area.run_for(milliseconds{500});
  if (!shown_complete(area)) {
    return verdict::not_run;
  }
  const auto starts_before = count_events(area, "start");
  if (trouble && first) {
    auto& reborn = area.worker_at(*first);
    area.write(reborn.settings().id + " crashes");
    reborn.crash();
    area.run_for(milliseconds{500});
    area.write(reborn.settings().id + " starts again under its id");
    if (!reborn.start_again()) {
      return verdict::not_run;
    }
  }
  area.run_for(seconds{10});
  const auto starts_after = count_events(area, "start") - starts_before;
  area.write(fmt::format("{} starts of the task after it had ended as done and the job was shown as complete",
                         starts_after));
  return starts_after > 0 ? verdict::broken : verdict::held;
}

}  // namespace rhubarbpath::review

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <optional>
#include <string>

#include "callers.hpp"
#include "rhubarbpath/transport/http_client.hpp"

namespace rhubarbpath::history_check {

namespace {

struct settings {
  callers::options load;
  std::string platform;
  bool no_uncertain{false};
};

std::vector<std::string> split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::size_t begin = 0;
  while (begin <= text.size()) {
    const auto end = std::min(text.find(separator, begin), text.size());
    parts.push_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  return parts;
}

/// "service/class/team" or "service/class/team/once" for a class that is not idempotent.
request_kind parse_request_kind(const std::string& text) {
  const auto parts = split(text, '/');
  constexpr std::size_t required = 3;
  if (parts.size() < required) {
    throw TCLAP::ArgException{"\"" + text + "\" is not service/class/team[/once]", "request"};
  }
  return {.service = parts[0],
          .request_class = parts[1],
          .team = parts[2],
          .non_idempotent = parts.size() > required};
}

/// "members:JSON of the submission".
job_kind parse_job_kind(const std::string& text) {
  const auto colon = text.find(':');
  if (colon == std::string::npos) {
    throw TCLAP::ArgException{"\"" + text + "\" is not MEMBERS:JSON", "job"};
  }
  return {.body = text.substr(colon + 1), .members = std::stoi(text.substr(0, colon))};
}

settings parse_arguments(int argc, char** argv) {
  TCLAP::CmdLine line{
      "Sends requests and jobs to entry VMs and compares every caller's answers with what the stand-in "
      "workers ran. Example: history_check --platform 127.0.0.1:20000 --entry 127.0.0.1:8001 --request "
      "lendbook/booking-hold/tutu/once --seconds 10",
      ' ', "0.1.0"};
  TCLAP::MultiArg<std::string> entries{"", "entry", "address of an entry VM", true, "ADDRESS", line};
  TCLAP::ValueArg<std::string> platform{"", "platform", "address of the stand-in", true, "", "ADDRESS", line};
  TCLAP::MultiArg<std::string> requests{"",  "request", "kind of request", false, "SERVICE/CLASS/TEAM[/once]",
                                        line};
  TCLAP::MultiArg<std::string> jobs{"", "job", "kind of job", false, "MEMBERS:JSON", line};
  TCLAP::ValueArg<int> seconds{"", "seconds", "time of load", false, 10, "S", line};
  TCLAP::ValueArg<int> settle{"",  "settle", "longest time for everything to end after the load", false, 60,
                              "S", line};
  TCLAP::ValueArg<int> request_ms{"", "request-ms", "time between requests", false, 10, "MS", line};
  TCLAP::ValueArg<int> job_ms{"", "job-ms", "time between jobs", false, 500, "MS", line};
  TCLAP::ValueArg<std::uint64_t> seed{"", "seed", "seed of the random source", false, 1, "N", line};
  TCLAP::SwitchArg certain{"", "no-uncertain", "an answer may_have_run is a violation of P7", line};
  line.parse(argc, argv);
  settings chosen;
  chosen.platform = platform.getValue();
  chosen.load.entries = entries.getValue();
  for (const auto& text : requests.getValue()) {
    chosen.load.requests.push_back(parse_request_kind(text));
  }
  for (const auto& text : jobs.getValue()) {
    chosen.load.jobs.push_back(parse_job_kind(text));
  }
  chosen.load.run_time = std::chrono::seconds{seconds.getValue()};
  chosen.load.settle_time = std::chrono::seconds{settle.getValue()};
  chosen.load.request_interval = std::chrono::milliseconds{request_ms.getValue()};
  chosen.load.job_interval = std::chrono::milliseconds{job_ms.getValue()};
  chosen.load.seed = seed.getValue();
  chosen.no_uncertain = certain.getValue();
  return chosen;
}

double millis(duration value) {
  return static_cast<double>(value.count()) / 1000.0;
}

double percentile(std::vector<duration>& values, double share) {
  std::sort(values.begin(), values.end());
  const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  return millis(values[index]);
}

void print_completion(const std::string& name, std::vector<duration> values, std::size_t total) {
  if (values.empty()) {
    fmt::print("{}: 0 of {} completed\n", name, total);
    return;
  }
  duration sum{};
  for (const auto value : values) {
    sum += value;
  }
  fmt::print("{}: {} of {} completed, mean {:.1f} ms, p50 {:.1f} ms, p99 {:.1f} ms\n", name, values.size(),
             total, millis(sum) / static_cast<double>(values.size()), percentile(values, 0.5),
             percentile(values, 0.99));
}

void print_outcomes(const callers& all) {
  std::map<std::string, std::vector<duration>> completed;
  std::map<std::string, std::size_t> totals;
  std::map<std::string, std::size_t> last_verdicts;
  for (const auto& request : all.requests()) {
    ++totals[request.request_class];
    const auto& last = request.tries.empty() ? try_record{} : request.tries.back();
    const auto text = last.answered ? std::string{to_string(last.result)} : "no answer";
    ++last_verdicts[text];
    if (last.answered && last.result == verdict::ran) {
      completed[request.request_class].push_back(request.completion);
    }
  }
  for (const auto& [name, total] : totals) {
    print_completion("requests of class " + name, completed[name], total);
  }
  for (const auto& [name, count] : last_verdicts) {
    fmt::print("requests whose last answer is {}: {}\n", name, count);
  }
  std::vector<duration> job_times;
  std::map<std::string, std::size_t> states;
  for (const auto& job : all.jobs()) {
    ++states[job.final_state.empty() ? (job.refused ? "refused" : "open") : job.final_state];
    if (job.final_state == "finished") {
      job_times.push_back(job.completion);
    }
  }
  if (!all.jobs().empty()) {
    print_completion("jobs", job_times, all.jobs().size());
  }
  for (const auto& [name, count] : states) {
    fmt::print("jobs {}: {}\n", name, count);
  }
}

std::optional<platform_history> fetch_history(event_loop& loop, const std::string& platform) {
  http_client client{loop, {.max_body_bytes = 256U << 20U}};
  std::optional<platform_history> history;
  const http_request request{.method = "GET", .path = "/history", .query = {}, .headers = {}, .body = {}};
  client.call(platform, request, std::chrono::seconds{30}, [&](const http_result& result) {
    if (const auto* response = std::get_if<http_response>(&result)) {
      auto parsed = parse_history(response->body);
      if (parsed.ok()) {
        history = *std::move(parsed);
      }
    }
    loop.stop();
  });
  loop.run();
  return history;
}

int run(const settings& chosen) {
  event_loop loop;
  callers all{loop, chosen.load};
  all.run();
  const auto end = loop.now();
  print_outcomes(all);
  const auto history = fetch_history(loop, chosen.platform);
  if (!history) {
    fmt::print(stderr, "the stand-in's history cannot be read\n");
    return 2;
  }
  for (const auto& [path, count] : history->store_calls) {
    fmt::print("store calls {}: {}\n", path, count);
  }
  auto violations = find_violations(all.requests(), all.jobs(), *history, end);
  if (chosen.no_uncertain) {
    const auto uncertain = find_uncertain(all.requests());
    violations.insert(violations.end(), uncertain.begin(), uncertain.end());
  }
  for (const auto& violation : violations) {
    fmt::print("VIOLATION {}\n", violation);
  }
  fmt::print("{} requests and {} jobs checked, {} violations\n", all.requests().size(), all.jobs().size(),
             violations.size());
  return violations.empty() ? 0 : 1;
}

}  // namespace

}  // namespace rhubarbpath::history_check

int main(int argc, char** argv) {
  try {
    return rhubarbpath::history_check::run(rhubarbpath::history_check::parse_arguments(argc, argv));
  } catch (const TCLAP::ArgException& error) {
    fmt::print(stderr, "{}\n", error.error());
    return 2;
  } catch (const std::exception& error) {
    fmt::print(stderr, "{}\n", error.what());
    return 2;
  }
}

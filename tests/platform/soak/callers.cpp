#include "callers.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace rhubarbpath::soak {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr duration submit_period{milliseconds{160}};
constexpr duration long_submit_period{milliseconds{700}};
constexpr duration placed_submit_period{milliseconds{400}};
constexpr duration query_period{milliseconds{40}};
constexpr duration caller_timeout{milliseconds{3000}};
constexpr int max_attempts = 30;
constexpr std::uint64_t percent_range = 100;

bool is_accepted(const http_result& result) {
  const auto* response = std::get_if<http_response>(&result);
  return response != nullptr && response->status >= 200 && response->status < 300;
}

bool has_status(const http_result& result, int status) {
  const auto* response = std::get_if<http_response>(&result);
  return response != nullptr && response->status == status;
}

json encode(const soak_job& steps) {
  json rows = json::array();
  for (const auto& step : steps) {
    json row{{"count", step.count},
             {"cpu", step.cpu},
             {"memMb", step.memory_mb},
             {"estimateMs", std::chrono::duration_cast<milliseconds>(step.run_time).count()}};
    if (step.accelerators > 0) {
      row["gpu"] = step.accelerators;
    }
    if (step.gang) {
      row["gang"] = true;
    }
    if (!step.after.empty()) {
      row["after"] = step.after;
    }
    const std::pair<const char*, bool> flags[] = {{"sameRack", step.same_rack},
                                                  {"checkpointing", step.checkpointing},
                                                  {"longRunning", step.long_running}};
    for (const auto& [name, set] : flags) {
      if (set) {
        row[name] = true;
      }
    }
    if (!step.data_rack.empty()) {
      row["dataRack"] = step.data_rack;
    }
    if (!step.required_label.empty()) {
      row["requiredLabel"] = step.required_label;
    }
    if (step.max_per_server > 0) {
      row["maxPerServer"] = step.max_per_server;
    }
    rows.push_back(std::move(row));
  }
  return {{"spec", "soak"}, {"steps", std::move(rows)}};
}

}  // namespace

callers::callers(event_loop& loop, worker_fleet& fleet, random_source& random, options opts)
    : loop_{loop},
      fleet_{fleet},
      random_{random},
      options_{std::move(opts)},
      client_{loop, {}},
      long_jobs_random_{options_.seed},
      placed_jobs_{options_.seed, fleet_.racks()} {}

void callers::begin() {
  submit_timer_ = loop_.run_every(submit_period, [this] { submit_new(make_random_job()); });
  if (options_.long_and_wide_jobs) {
    long_timer_ = loop_.run_every(long_submit_period, [this] { submit_new(make_long_or_wide_job()); });
  }
  if (options_.placed_jobs) {
    placed_timer_ = loop_.run_every(placed_submit_period, [this] { submit_new(placed_jobs_.next()); });
  }
  query_timer_ = loop_.run_every(query_period, [this] { query_phase(); });
}

std::pair<std::string, soak_job> callers::make_random_job() {
  const auto id = fmt::format("{:016x}", next_job_++ * 0x9e3779b97f4a7c15ULL);
  const auto run_time = [&](std::uint64_t max_ms) { return milliseconds{200 + random_.below(max_ms)}; };
  switch (random_.below(4)) {
    case 0:
      return {id, {{.count = 3, .cpu = 1000, .memory_mb = 256, .run_time = run_time(900)}}};
    case 1:
      return {id,
              {{.count = 4,
                .cpu = 500,
                .memory_mb = 256,
                .accelerators = 1,
                .run_time = run_time(1200),
                .gang = true}}};
    case 2:
      return {id,
              {{.count = 2, .cpu = 500, .memory_mb = 256, .run_time = run_time(400)},
               {.count = 3, .cpu = 800, .memory_mb = 256, .run_time = run_time(400), .after = {0}}}};
    default:
      return {id,
              {{.count = 1, .cpu = 500, .memory_mb = 128, .accelerators = 2, .run_time = run_time(2500)}}};
  }
}

std::pair<std::string, soak_job> callers::make_long_or_wide_job() {
  const auto id = fmt::format("{:016x}", next_job_++ * 0x9e3779b97f4a7c15ULL);
  constexpr std::uint64_t wide_share = 12;
  if (long_jobs_random_.below(wide_share) == 0) {
    return {id, {{.count = 700, .cpu = 5, .memory_mb = 1, .run_time = milliseconds{1500}}}};
  }
  return {id,
          {{.count = static_cast<int>(1 + long_jobs_random_.below(4)),
            .cpu = 400,
            .memory_mb = 256,
            .run_time = milliseconds{4000 + long_jobs_random_.below(7000)},
            .gang = long_jobs_random_.below(4) == 0}}};
}

void callers::submit_new(std::pair<std::string, soak_job> new_job) {
  auto [id, steps] = std::move(new_job);
  submit_new({.id = std::move(id),
              .queue = options_.path_prefix,
              .steps = std::move(steps),
              .cancelled_at_end = false});
}

void callers::submit_new(placed_job new_job) {
  auto& added = jobs_[new_job.id];
  added.body = encode(new_job.steps).dump();
  added.queue = new_job.queue;
  added.endless = new_job.cancelled_at_end;
  fleet_.register_job(new_job.id, std::move(new_job.steps));
  submit(new_job.id);
}

void callers::cancel_endless_jobs() {
  endless_cancelled_ = true;
  for (const auto& [id, record] : jobs_) {
    if (record.endless && record.outcome == submit_outcome::accepted && !record.cancel_sent) {
      cancel(id);
    }
  }
}

void callers::for_each_owed(const std::function<void(const std::string&)>& call) const {
  for (const auto& [id, record] : jobs_) {
    const bool ended = record.phase == "complete" || record.phase == "cancelled" || record.phase == "failed";
    if (record.outcome == submit_outcome::accepted && !record.cancel_sent && !ended) {
      call(id);
    }
  }
}

void callers::call(const std::string& method, const std::string& id, http_client::callback done) {
  const auto& address = options_.addresses[random_.below(options_.addresses.size())];
  http_request request{.method = method,
                       .path = jobs_.at(id).queue + id,
                       .query = {},
                       .headers = {{"Host", options_.host},
                                   {"Key", options_.key},
                                   {"Timeout-Ms", fmt::format("{}", caller_timeout.count() / 1000)}},
                       .body = {}};
  if (method == "POST") {
    request.headers.emplace_back("Content-Type", "application/json");
    request.body = jobs_.at(id).body;
  }
  client_.call(address, request, caller_timeout, std::move(done));
}

void callers::submit_later(const std::string& id, duration pause) {
  loop_.run_detached(pause, [this, id] { submit(id); });
}

void callers::submit(const std::string& id) {
  ++jobs_.at(id).attempts;
  call("POST", id, [this, id](const http_result& result) {
    auto& record = jobs_.at(id);
    if (is_accepted(result)) {
      const bool newly_accepted =
          std::exchange(record.outcome, submit_outcome::accepted) != submit_outcome::accepted;
      if (newly_accepted && random_.below(percent_range) < 15) {
        submit_later(id, milliseconds{500 + random_.below(2000)});  // A late duplicate.
      }
      if (newly_accepted && record.endless && endless_cancelled_) {
        return cancel(id);
      }
      if (newly_accepted && random_.below(percent_range) < 15) {
        loop_.run_detached(milliseconds{random_.below(1500)}, [this, id] { cancel(id); });
      }
      return;
    }
    const bool refused = has_status(result, 429) || has_status(result, 503);
    if (refused && !record.uncertain && record.outcome == submit_outcome::unsettled) {
      record.outcome = submit_outcome::refused;
      return;
    }
    record.uncertain = record.uncertain || !refused;
    if (record.outcome == submit_outcome::unsettled && record.attempts < max_attempts) {
      submit_later(id, milliseconds{100 + random_.below(400)});
    }
  });
}

void callers::cancel(const std::string& id) {
  jobs_.at(id).cancel_sent = true;
  call("DELETE", id, [this, id](const http_result& result) {
    if (has_status(result, 410)) {
      violations_.push_back(fmt::format("LOST: the cancellation of accepted job {} was answered 410", id));
    } else if (is_accepted(result)) {
      jobs_.at(id).cancel_confirmed = true;
    } else {
      loop_.run_detached(milliseconds{200}, [this, id] { cancel(id); });
    }
  });
}

void callers::query_phase() {
  std::vector<std::string> unfinished;
  for (const auto& [id, record] : jobs_) {
    const bool ended = record.phase == "complete" || record.phase == "cancelled" || record.phase == "failed";
    if (record.outcome == submit_outcome::accepted && !ended) {
      unfinished.push_back(id);
    }
  }
  if (!unfinished.empty()) {
    const auto id = unfinished[random_.below(unfinished.size())];
    call("GET", id, [this, id](const http_result& result) { handle_phase(id, result); });
  }
}

void callers::handle_phase(const std::string& id, const http_result& result) {
  auto& record = jobs_.at(id);
  if (has_status(result, 410)) {
    violations_.push_back(fmt::format("LOST: accepted job {} was answered 410", id));
    record.phase = "failed";
  }
  if (!is_accepted(result)) {
    return;
  }
  const auto body = json::parse(std::get<http_response>(result).body, nullptr, false);
  record.phase = body.is_object() ? body.value("state", "") : "";
  if (record.phase == "complete" && !fleet_.all_done(id)) {
    violations_.push_back(
        fmt::format("EARLY: job {} was reported as complete before all its tasks ended", id));
  } else if (record.phase == "failed" || (record.phase == "cancelled" && !record.cancel_sent)) {
    violations_.push_back(fmt::format("LOST: job {} was reported as {} without a cause", id, record.phase));
  }
}

bool callers::settled() const {
  return std::all_of(jobs_.begin(), jobs_.end(), [](const auto& each) {
    const auto& record = each.second;
    const bool ended = record.phase == "complete" || record.phase == "cancelled" || record.phase == "failed";
    return record.outcome == submit_outcome::accepted
               ? ended
               : record.outcome == submit_outcome::refused || record.attempts >= max_attempts;
  });
}

void callers::check() {
  for (const auto& [id, record] : jobs_) {
    if (record.outcome == submit_outcome::refused && fleet_.ever_started(id)) {
      violations_.push_back(fmt::format("REFUSED: job {} was refused but its tasks ran", id));
    }
    if (record.outcome == submit_outcome::accepted && record.phase != "complete" &&
        record.phase != "cancelled") {
      violations_.push_back(fmt::format(
          "LOST: accepted job {} did not end; its last reported phase is \"{}\"", id, record.phase));
    }
    if (record.phase == "cancelled" && fleet_.running(id)) {
      violations_.push_back(fmt::format("CANCEL: tasks of cancelled job {} are still running", id));
    }
    if (record.cancel_confirmed && record.phase != "cancelled" && record.phase != "complete") {
      violations_.push_back(
          fmt::format("CANCEL: job {} remained {} after its confirmed cancellation", id, record.phase));
    }
  }
}

std::string callers::summary() const {
  std::map<std::string, int> counts;
  for (const auto& [id, record] : jobs_) {
    const bool accepted = record.outcome == submit_outcome::accepted;
    ++counts[accepted ? record.phase : record.outcome == submit_outcome::refused ? "refused" : "unsettled"];
  }
  std::string text = fmt::format("{} jobs", jobs_.size());
  for (const auto& [name, count] : counts) {
    text += fmt::format(", {} {}", count, name);
  }
  return text;
}

}  // namespace rhubarbpath::soak

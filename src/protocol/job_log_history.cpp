#include "rhubarbpath/protocol/job_log_history.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

namespace rhubarbpath {

namespace {

using json = nlohmann::ordered_json;

std::string text_of(const json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end()) {
    return {};
  }
  return found->is_string() ? found->get<std::string>() : found->dump();
}

/// Changes of the owner concern every job that is open at the time.
bool tells_of_owner(std::string_view event) {
  return event == "term_began" || event == "term_ended" || event == "recovery_finished" ||
         event == "order_fenced" || event == "write_fenced";
}

bool tells_of_worker(std::string_view event) {
  return event.starts_with("worker_") && event != "worker_row_unreadable";
}

std::set<std::string> workers_in(const job_log_entry& entry) {
  std::set<std::string> workers;
  for (const auto* name : {"worker", "workers"}) {
    for (const auto part : absl::StrSplit(text_of(entry.fields, name), ',')) {
      if (!part.empty()) {
        workers.emplace(part);
      }
    }
  }
  return workers;
}

/// Derives the deciding facts from the entries of one job.
class fact_finder {
 public:
  explicit fact_finder(const std::vector<job_log_entry>& entries) : entries_{entries} {}

  std::vector<std::string> find() {
    find_answers();
    find_wait();
    find_interruptions();
    find_failures();
    find_end();
    return std::move(facts_);
  }

 private:
  [[nodiscard]] std::vector<const job_log_entry*> all(std::string_view event) const {
    std::vector<const job_log_entry*> found;
    for (const auto& entry : entries_) {
      if (entry.event == event) {
        found.push_back(&entry);
      }
    }
    return found;
  }
  void find_answers() {
    bool stored = false;
    for (const auto* answer : all("caller_answered")) {
      if (text_of(answer->fields, "method") != "POST") {
        continue;
      }
      const auto status = text_of(answer->fields, "status");
      stored = stored || status == "200";
      if (status != "200") {
        facts_.push_back(fmt::format(
            "{} answered {} at {}: {} (configuration {}, {} ms after it was confirmed; took {} ms)",
            answer->vm, status, answer->time, text_of(answer->fields, "reason"),
            text_of(answer->fields, "config_version"), text_of(answer->fields, "config_age_ms"),
            text_of(answer->fields, "took_ms")));
      }
    }
    if (stored && all("job_added").empty()) {
      facts_.emplace_back("the job was stored and no owner has taken it up: look for term_began on any VM");
    }
  }
  void find_wait() {
    const auto started = all("unit_started");
    if (!started.empty()) {
      facts_.push_back(fmt::format("its first task or gang waited {} ms for space",
                                   text_of(started.front()->fields, "waited_ms")));
    } else if (!all("job_added").empty()) {
      facts_.emplace_back("nothing of it was ever started");
    }
  }
  void find_interruptions() {
    std::map<std::string, int> urgent;
    for (const auto* each : all("unit_preempted")) {
      ++urgent[text_of(each->fields, "reason")];
    }
    for (const auto& [reason, count] : urgent) {
      facts_.push_back(fmt::format("{} tasks or gangs were stopped {}", count, reason));
    }
    for (const auto* event : {"run_lost", "run_stalled"}) {
      for (const auto* each : all(event)) {
        facts_.push_back(fmt::format("{} on worker {} at {}: {}", event, text_of(each->fields, "worker"),
                                     each->time, text_of(each->fields, "reason")));
      }
    }
    for (const auto* each : all("term_ended")) {
      facts_.push_back(fmt::format("the owner {} ended its term {} at {}: {}", each->vm,
                                   text_of(each->fields, "term"), each->time,
                                   text_of(each->fields, "reason")));
    }
    for (const auto* each : all("recovery_finished")) {
      if (text_of(each->fields, "silent_workers") != "0") {
        facts_.push_back(fmt::format("the new owner {} waited until {} for {} silent workers, {} first",
                                     each->vm, each->time, text_of(each->fields, "silent_workers"),
                                     text_of(each->fields, "first_silent_worker")));
      }
    }
  }
  void find_failures() {
    std::map<std::string, int> failures;
    for (const auto* end : all("run_ended")) {
      if (text_of(end->fields, "reason") == "failed") {
        ++failures[text_of(end->fields, "worker")];
      }
    }
    if (failures.size() == 1) {
      facts_.push_back(fmt::format("all {} failed runs were on worker {}: look at that worker",
                                   failures.begin()->second, failures.begin()->first));
    } else if (failures.size() > 1) {
      std::vector<std::string> names;
      names.reserve(failures.size());
      for (const auto& [worker, count] : failures) {
        names.push_back(fmt::format("{} ({})", worker, count));
      }
      facts_.push_back(fmt::format("runs failed on {} workers, so the job itself is the likely cause: {}",
                                   failures.size(), absl::StrJoin(names, ", ")));
    }
  }
  void find_end() {
    if (const auto ends = all("job_ended"); !ends.empty()) {
      const auto& last = *ends.back();
      facts_.push_back(fmt::format("it ended as {} at {}, {} ms after the owner {} learned of it",
                                   text_of(last.fields, "reason"), last.time,
                                   text_of(last.fields, "waited_ms"), last.vm));
    } else if (!all("job_added").empty()) {
      facts_.emplace_back("no line tells of its end");
    }
  }

  const std::vector<job_log_entry>& entries_;
  std::vector<std::string> facts_;
};

}  // namespace

job_log_history collect_job_log(const std::vector<std::string>& lines, std::string_view job) {
  job_log_history history;
  std::vector<job_log_entry> others;
  for (const auto& line : lines) {
    if (line.find_first_not_of(" \t\r") == std::string::npos) {
      continue;
    }
    const auto brace = line.find('{');
    auto fields = brace == std::string::npos ? json() : json::parse(line.substr(brace), nullptr, false);
    if (!fields.is_object()) {
      ++history.unreadable_lines;
      continue;
    }
    job_log_entry entry{.time = text_of(fields, "time"),
                        .vm = text_of(fields, "vm"),
                        .event = text_of(fields, "message"),
                        .own = text_of(fields, "job") == job,
                        .fields = {}};
    for (const auto* name : {"time", "level", "program", "vm", "message"}) {
      fields.erase(name);
    }
    entry.fields = std::move(fields);
    if (entry.own) {
      history.entries.push_back(std::move(entry));
    } else if (tells_of_owner(entry.event) || tells_of_worker(entry.event)) {
      others.push_back(std::move(entry));
    }
  }
  if (history.entries.empty()) {
    return history;
  }
  const auto by_time = [](const job_log_entry& left, const job_log_entry& right) {
    return left.time < right.time;
  };
  const auto [first, last] = std::minmax_element(history.entries.begin(), history.entries.end(), by_time);
  const auto begin = first->time;
  const auto end = last->time;
  std::set<std::string> workers;
  for (const auto& entry : history.entries) {
    workers.merge(workers_in(entry));
  }
  for (auto& entry : others) {
    const bool in_time = entry.time >= begin && entry.time <= end;
    const bool concerns = tells_of_owner(entry.event) || workers.contains(text_of(entry.fields, "worker"));
    if (in_time && concerns) {
      history.entries.push_back(std::move(entry));
    }
  }
  std::stable_sort(history.entries.begin(), history.entries.end(), by_time);
  history.findings = fact_finder{history.entries}.find();
  return history;
}

}  // namespace rhubarbpath

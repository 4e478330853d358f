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

std::string field_text(const json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end()) {
    return {};
  }
  return found->is_string() ? found->get<std::string>() : found->dump();
}

/// A change of owner affects every job that is open at that time.
bool is_owner_event(std::string_view event) {
  return event == "term_began" || event == "term_ended" || event == "recovery_finished" ||
         event == "order_fenced" || event == "write_fenced";
}

/// So does an evacuation of a failure domain.
bool is_evacuation_event(std::string_view event) {
  return event == "domain_evacuated" || event == "domain_evacuation_ended";
}

bool is_worker_event(std::string_view event) {
  return event.starts_with("worker_") && event != "worker_row_unreadable";
}

std::set<std::string> workers_in(const job_log_entry& entry) {
  std::set<std::string> workers;
  for (const auto* name : {"worker", "workers"}) {
    for (const auto part : absl::StrSplit(field_text(entry.fields, name), ',')) {
      if (!part.empty()) {
        workers.emplace(part);
      }
    }
  }
  return workers;
}

/// Derives the findings from the log entries of one job.
class findings_builder {
 public:
  explicit findings_builder(const std::vector<job_log_entry>& entries) : entries_{entries} {}

  std::vector<std::string> build() {
    add_rejected_submissions();
    add_start_wait();
    add_stands();
    add_interruptions();
    add_evacuations();
    add_failed_runs();
    add_job_end();
    return std::move(findings_);
  }

 private:
  [[nodiscard]] std::vector<const job_log_entry*> entries_of(std::string_view event) const {
    std::vector<const job_log_entry*> found;
    for (const auto& entry : entries_) {
      if (entry.event == event) {
        found.push_back(&entry);
      }
    }
    return found;
  }
  void add_rejected_submissions() {
    bool stored = false;
    for (const auto* answer : entries_of("caller_answered")) {
      if (field_text(answer->fields, "method") != "POST") {
        continue;
      }
      const auto status = field_text(answer->fields, "status");
      stored = stored || status == "200";
      if (status != "200") {
        findings_.push_back(fmt::format(
            "{} answered {} at {}: {} (configuration {}, {} ms after it was confirmed; took {} ms)",
            answer->vm, status, answer->time, field_text(answer->fields, "reason"),
            field_text(answer->fields, "config_version"), field_text(answer->fields, "config_age_ms"),
            field_text(answer->fields, "took_ms")));
      }
    }
    if (stored && entries_of("job_added").empty()) {
      findings_.emplace_back("the job was stored, but no owner has added it: look for term_began on any VM");
    }
  }
  void add_start_wait() {
    const auto started = entries_of("unit_started");
    if (!started.empty()) {
      findings_.push_back(fmt::format("its first task or gang waited {} ms for space",
                                      field_text(started.front()->fields, "waited_ms")));
    } else if (!entries_of("job_added").empty()) {
      findings_.emplace_back("nothing of it was ever started");
    }
  }
  void add_stands() {
    for (const auto* each : entries_of("job_stands")) {
      findings_.push_back(
          fmt::format("nothing of it had run for {} ms at {}: {} (step {}; {}% of the service in use, {} of "
                      "{} workers with "
                      "space)",
                      field_text(each->fields, "stands_ms"), each->time, field_text(each->fields, "reason"),
                      field_text(each->fields, "step"), field_text(each->fields, "in_use_percent"),
                      field_text(each->fields, "with_room"), field_text(each->fields, "workers")));
    }
  }
  void add_interruptions() {
    std::map<std::string, int> preemptions;
    for (const auto* each : entries_of("unit_preempted")) {
      ++preemptions[field_text(each->fields, "reason")];
    }
    for (const auto& [reason, count] : preemptions) {
      findings_.push_back(fmt::format("{} tasks or gangs were stopped {}", count, reason));
    }
    for (const auto* event : {"run_lost", "run_stalled"}) {
      for (const auto* each : entries_of(event)) {
        findings_.push_back(fmt::format("{} on worker {} at {}: {}", event,
                                        field_text(each->fields, "worker"), each->time,
                                        field_text(each->fields, "reason")));
      }
    }
    for (const auto* each : entries_of("term_ended")) {
      findings_.push_back(fmt::format("the owner {} ended its term {} at {}: {}", each->vm,
                                      field_text(each->fields, "term"), each->time,
                                      field_text(each->fields, "reason")));
    }
    for (const auto* each : entries_of("recovery_finished")) {
      if (field_text(each->fields, "silent_workers") != "0") {
        findings_.push_back(fmt::format("the new owner {} waited until {} for {} silent workers, {} first",
                                        each->vm, each->time, field_text(each->fields, "silent_workers"),
                                        field_text(each->fields, "first_silent_worker")));
      }
    }
  }
  void add_evacuations() {
    for (const auto* each : entries_of("domain_evacuated")) {
      findings_.push_back(fmt::format("failure domain {} was evacuated at {}: nothing was started there",
                                      field_text(each->fields, "failure_domain"), each->time));
    }
    if (const auto withdrawn = entries_of("start_withdrawn"); !withdrawn.empty()) {
      findings_.push_back(
          fmt::format("{} starts of it were withdrawn from evacuated failure domains", withdrawn.size()));
    }
  }
  void add_failed_runs() {
    std::map<std::string, int> failures;
    for (const auto* end : entries_of("run_ended")) {
      if (field_text(end->fields, "reason") == "failed") {
        ++failures[field_text(end->fields, "worker")];
      }
    }
    if (failures.size() == 1) {
      findings_.push_back(fmt::format("all {} failed runs were on worker {}: look at that worker",
                                      failures.begin()->second, failures.begin()->first));
    } else if (failures.size() > 1) {
      std::vector<std::string> names;
      names.reserve(failures.size());
      for (const auto& [worker, count] : failures) {
        names.push_back(fmt::format("{} ({})", worker, count));
      }
      findings_.push_back(fmt::format("runs failed on {} workers, so the job itself is the likely cause: {}",
                                      failures.size(), absl::StrJoin(names, ", ")));
    }
  }
  void add_job_end() {
    if (const auto ends = entries_of("job_ended"); !ends.empty()) {
      const auto& last = *ends.back();
      findings_.push_back(fmt::format("it ended as {} at {}, {} ms after the owner {} learned of it",
                                      field_text(last.fields, "reason"), last.time,
                                      field_text(last.fields, "waited_ms"), last.vm));
    } else if (!entries_of("job_added").empty()) {
      findings_.emplace_back("the log lines do not show its end");
    }
  }

  const std::vector<job_log_entry>& entries_;
  std::vector<std::string> findings_;
};

/// The evacuations that began before `time`, and were not taken back before it.
std::vector<job_log_entry> evacuations_standing_at(const std::string& time,
                                                   const std::vector<job_log_entry>& entries) {
  std::map<std::string, const job_log_entry*> last;
  for (const auto& entry : entries) {
    if (is_evacuation_event(entry.event) && entry.time < time) {
      auto*& latest = last[field_text(entry.fields, "failure_domain")];
      latest = latest == nullptr || latest->time <= entry.time ? &entry : latest;
    }
  }
  std::vector<job_log_entry> standing;
  for (const auto& [domain, entry] : last) {
    if (entry->event == "domain_evacuated") {
      standing.push_back(*entry);
    }
  }
  return standing;
}

}  // namespace

job_log_history collect_job_log(const std::vector<std::string>& lines, std::string_view job) {
  job_log_history history;
  std::vector<job_log_entry> context_entries;
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
    job_log_entry entry{.time = field_text(fields, "time"),
                        .vm = field_text(fields, "vm"),
                        .event = field_text(fields, "message"),
                        .own = field_text(fields, "job") == job,
                        .fields = {}};
    for (const auto* name : {"time", "level", "program", "vm", "message"}) {
      fields.erase(name);
    }
    entry.fields = std::move(fields);
    if (entry.own) {
      history.entries.push_back(std::move(entry));
    } else if (is_owner_event(entry.event) || is_evacuation_event(entry.event) ||
               is_worker_event(entry.event)) {
      context_entries.push_back(std::move(entry));
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
  const auto standing = evacuations_standing_at(begin, context_entries);
  std::set<std::string> workers;
  for (const auto& entry : history.entries) {
    workers.merge(workers_in(entry));
  }
  for (auto& entry : context_entries) {
    const bool in_range = entry.time >= begin && entry.time <= end;
    const bool is_relevant = is_owner_event(entry.event) || is_evacuation_event(entry.event) ||
                             workers.contains(field_text(entry.fields, "worker"));
    if (in_range && is_relevant) {
      history.entries.push_back(std::move(entry));
    }
  }
  history.entries.insert(history.entries.end(), standing.begin(), standing.end());
  std::stable_sort(history.entries.begin(), history.entries.end(), by_time);
  history.findings = findings_builder{history.entries}.build();
  return history;
}

}  // namespace rhubarbpath

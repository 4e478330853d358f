#include <fmt/format.h>

#include <fstream>
#include <iostream>

#include "command.hpp"
#include "rhubarbpath/protocol/missed_objectives.hpp"

namespace rhubarbpath::ctl {

namespace {

std::size_t read_lines(std::istream& from, missed_objectives& misses) {
  std::size_t count = 0;
  for (std::string line; std::getline(from, line); ++count) {
    misses.add_line(line);
  }
  return count;
}

json object_of(const missed_job& each) {
  json lost = json::object();
  for (std::size_t index = 0; index < miss_cause_count; ++index) {
    if (each.lost_ms[index] > 0) {
      lost[std::string{to_string(static_cast<miss_cause>(index))}] =
          static_cast<std::int64_t>(each.lost_ms[index]);
    }
  }
  return {{"job", each.job},
          {"queue", each.queue},
          {"team", each.team},
          {"tasks", each.tasks},
          {"phase", each.phase},
          {"late_ms", each.late_ms},
          {"cause", to_string(each.cause)},
          {"lost_ms", lost}};
}

}  // namespace

command_result run_misses(command_line& line, const std::vector<std::string>& args) {
  TCLAP::UnlabeledMultiArg<std::string> files{"FILE", "Log files of the VMs; standard input without any",
                                              false, "FILE", line.arguments()};
  line.parse(args);
  command_result result;
  missed_objectives misses;
  std::size_t lines = 0;
  for (const auto& path : files.getValue()) {
    std::ifstream file{path};
    if (!file) {
      result.code = exit_code::usage;
      result.error = fmt::format("rhubarbctl misses: cannot read {}\n", path);
      return result;
    }
    lines += read_lines(file, misses);
  }
  if (files.getValue().empty()) {
    lines += read_lines(std::cin, misses);
  }
  const auto report = misses.report();
  result.text = format_report(report);
  result.object = {{"lines", lines},
                   {"unreadable_lines", report.unreadable_lines},
                   {"runs", report.runs},
                   {"queues", json::object()},
                   {"stopped", json::object()},
                   {"missed", json::array()}};
  for (const auto& [name, queue] : report.queues) {
    result.object["queues"][name] = {{"jobs", queue.jobs},
                                     {"missed", queue.missed},
                                     {"missed_by_estimate", queue.missed_by_estimate},
                                     {"cancelled", queue.cancelled},
                                     {"never_accepted", queue.never_accepted}};
  }
  for (const auto& [how, stopped] : report.stopped) {
    result.object["stopped"][how] = {{"runs", stopped.runs}, {"core_seconds", stopped.core_seconds}};
  }
  for (const auto& each : report.missed) {
    result.object["missed"].push_back(object_of(each));
  }
  if (report.unreadable_lines > 0) {
    result.error = fmt::format("skipped {} of {} lines: not a JSON object with a time\n",
                               report.unreadable_lines, lines);
  }
  if (report.queues.empty()) {
    result.code = exit_code::found;
    result.error += "rhubarbctl misses: no log line tells of a job\n";
  }
  return result;
}

}  // namespace rhubarbpath::ctl

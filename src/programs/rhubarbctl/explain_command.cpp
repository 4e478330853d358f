#include <fmt/format.h>

#include <fstream>
#include <iostream>

#include "command.hpp"
#include "rhubarbpath/protocol/job_log_history.hpp"

namespace rhubarbpath::ctl {

namespace {

void read_lines(std::istream& from, std::vector<std::string>& lines) {
  for (std::string line; std::getline(from, line);) {
    lines.push_back(std::move(line));
  }
}

std::string format_entry(const job_log_entry& entry) {
  std::string text = fmt::format("{} {:<12} {} {}", entry.time, entry.vm, entry.own ? " " : "*", entry.event);
  for (const auto& [name, value] : entry.fields.items()) {
    if (name != "job") {
      text += fmt::format(" {}={}", name, value.is_string() ? value.get<std::string>() : value.dump());
    }
  }
  return text + "\n";
}

}  // namespace

command_result run_explain(command_line& line, const std::vector<std::string>& args) {
  TCLAP::UnlabeledValueArg<std::string> job{"JOB", "Id of the job", true, "", "JOB", line.arguments()};
  TCLAP::UnlabeledMultiArg<std::string> files{"FILE", "Log files of the VMs; standard input without any",
                                              false, "FILE", line.arguments()};
  line.parse(args);
  command_result result;
  std::vector<std::string> lines;
  for (const auto& path : files.getValue()) {
    std::ifstream file{path};
    if (!file) {
      result.code = exit_code::usage;
      result.error = fmt::format("rhubarbctl explain: cannot read {}\n", path);
      return result;
    }
    read_lines(file, lines);
  }
  if (files.getValue().empty()) {
    read_lines(std::cin, lines);
  }
  const auto history = collect_job_log(lines, job.getValue());
  result.object = {{"job", job.getValue()},
                   {"lines", lines.size()},
                   {"unreadable_lines", history.unreadable_lines},
                   {"findings", history.findings},
                   {"entries", json::array()}};
  if (history.unreadable_lines > 0) {
    result.error =
        fmt::format("skipped {} of {} lines: not a JSON object\n", history.unreadable_lines, lines.size());
  }
  if (history.entries.empty()) {
    result.code = exit_code::found;
    result.error += fmt::format("rhubarbctl explain: no log line mentions job {}\n", job.getValue());
    return result;
  }
  for (const auto& entry : history.entries) {
    result.text += format_entry(entry);
    result.object["entries"].push_back({{"time", entry.time},
                                        {"vm", entry.vm},
                                        {"event", entry.event},
                                        {"own", entry.own},
                                        {"fields", entry.fields}});
  }
  result.text += "\n";
  for (const auto& finding : history.findings) {
    result.text += fmt::format("- {}\n", finding);
  }
  return result;
}

}  // namespace rhubarbpath::ctl

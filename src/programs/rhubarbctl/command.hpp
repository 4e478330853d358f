#pragma once

#include <tclap/CmdLine.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath::ctl {

using json = nlohmann::ordered_json;

/// Exit codes. docs/rhubarbctl.md describes how scripts should react to each.
enum class exit_code {
  done = 0,
  found = 1,         ///< The command succeeded with a negative finding.
  usage = 2,         ///< The command line or an input file is invalid.
  conflict = 3,      ///< A concurrent change was stored first; nothing was written.
  not_accepted = 4,  ///< A change needs --accept; nothing was written.
  not_run = 5,       ///< The request had no effect.
  may_have_run = 6,  ///< No usable answer arrived; the request may have taken effect.
};

[[nodiscard]] std::string_view to_string(exit_code code) noexcept;

/// Output and exit code of a command.
struct command_result {
  exit_code code{exit_code::done};
  std::string text;              ///< Lines for standard output in text form.
  std::string error;             ///< Lines for standard error in text form; `error` in JSON.
  json object = json::object();  ///< Members of the JSON output.
};

/// Argument parser of one command, with the options that all commands share.
class command_line {
 public:
  command_line(std::string_view command, std::string_view summary, std::string_view example);

  /// Parser to register arguments with before `parse` is called.
  [[nodiscard]] TCLAP::CmdLine& arguments() noexcept { return line_; }
  /// Throws `TCLAP::ExitException` for --help and `TCLAP::ArgException` for invalid arguments; `main` handles
  /// both.
  void parse(const std::vector<std::string>& args);
  [[nodiscard]] bool wants_json() const { return output_.getValue() == "json"; }

 private:
  std::vector<std::string> output_forms_{"text", "json"};
  TCLAP::ValuesConstraint<std::string> output_constraint_;
  TCLAP::CmdLine line_;
  TCLAP::ValueArg<std::string> output_;
};

struct command {
  std::string_view name;
  std::string_view summary;
  std::string_view example;
  command_result (*run)(command_line& line, const std::vector<std::string>& args);
};

/// All commands in the order in which the help lists them.
[[nodiscard]] const std::vector<command>& commands();

/// Parses a duration argument such as "8h". Throws `TCLAP::ArgParseException` if it is invalid.
[[nodiscard]] duration parse_duration_argument(const TCLAP::ValueArg<std::string>& argument);

command_result run_check(command_line& line, const std::vector<std::string>& args);
command_result run_diff(command_line& line, const std::vector<std::string>& args);
command_result run_trial(command_line& line, const std::vector<std::string>& args);
command_result run_promote(command_line& line, const std::vector<std::string>& args);
command_result run_status(command_line& line, const std::vector<std::string>& args);
command_result run_submit(command_line& line, const std::vector<std::string>& args);
command_result run_job(command_line& line, const std::vector<std::string>& args);
command_result run_cancel(command_line& line, const std::vector<std::string>& args);
command_result run_explain(command_line& line, const std::vector<std::string>& args);
command_result run_misses(command_line& line, const std::vector<std::string>& args);
command_result run_why(command_line& line, const std::vector<std::string>& args);

}  // namespace rhubarbpath::ctl

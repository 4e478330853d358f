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

/// Exit codes; docs/rhubarbctl.md tells scripts what to do on each.
enum class exit_code {
  done = 0,
  found = 1,         ///< The command worked, and its finding is negative.
  usage = 2,         ///< The command line or an input file cannot be used.
  conflict = 3,      ///< Another change was made first; nothing was written.
  not_accepted = 4,  ///< A change must be named with --accept; nothing was written.
  not_run = 5,       ///< Certainly nothing was done.
  may_have_run = 6,  ///< No answer came; the effect is unknown.
};

[[nodiscard]] std::string_view to_string(exit_code code) noexcept;

/// What a command prints and returns.
struct command_result {
  exit_code code{exit_code::done};
  std::string text;              ///< Lines for standard output in text form.
  std::string error;             ///< Lines for standard error in text form; `error` in JSON.
  json object = json::object();  ///< Members of the JSON output.
};

/// The arguments of one command with the options that all commands have.
class command_line {
 public:
  command_line(std::string_view command, std::string_view summary, std::string_view example);

  /// Arguments are registered here before `parse`.
  [[nodiscard]] TCLAP::CmdLine& arguments() noexcept { return line_; }
  /// Throws the library's exceptions for --help and for wrong arguments; `main` handles them.
  void parse(const std::vector<std::string>& words);
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
  command_result (*run)(command_line& line, const std::vector<std::string>& words);
};

/// All commands in the order of the help page.
[[nodiscard]] const std::vector<command>& commands();

/// A duration argument such as "8h". Throws the library's exception for another form.
[[nodiscard]] duration duration_argument(const TCLAP::ValueArg<std::string>& argument);

command_result run_check(command_line& line, const std::vector<std::string>& words);
command_result run_diff(command_line& line, const std::vector<std::string>& words);
command_result run_trial(command_line& line, const std::vector<std::string>& words);
command_result run_promote(command_line& line, const std::vector<std::string>& words);
command_result run_status(command_line& line, const std::vector<std::string>& words);
command_result run_submit(command_line& line, const std::vector<std::string>& words);
command_result run_job(command_line& line, const std::vector<std::string>& words);
command_result run_cancel(command_line& line, const std::vector<std::string>& words);
command_result run_explain(command_line& line, const std::vector<std::string>& words);
command_result run_why(command_line& line, const std::vector<std::string>& words);

}  // namespace rhubarbpath::ctl

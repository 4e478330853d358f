#include "command.hpp"

#include <fmt/format.h>

#include "rhubarbpath/protocol/document_yaml.hpp"

namespace rhubarbpath::ctl {

std::string_view to_string(exit_code code) noexcept {
  constexpr std::string_view names[] = {"done",         "found",   "usage",       "conflict",
                                        "not_accepted", "not_run", "may_have_run"};
  return names[static_cast<std::size_t>(code)];
}

command_line::command_line(std::string_view command, std::string_view summary, std::string_view example)
    : output_constraint_{output_forms_},
      line_{fmt::format("{}\n\nExample: {}", summary, example), ' ', "0.1.0"},
      output_{"",    "output", "Form of the result: text (default) or json, one object on standard output",
              false, "text",   &output_constraint_,
              line_, nullptr} {
  line_.setExceptionHandling(false);
  line_.getProgramName() = fmt::format("rhubarbctl {}", command);
}

void command_line::parse(const std::vector<std::string>& args) {
  std::vector<std::string> arguments{line_.getProgramName()};
  arguments.insert(arguments.end(), args.begin(), args.end());
  line_.parse(arguments);
}

duration parse_duration_argument(const TCLAP::ValueArg<std::string>& argument) {
  const auto value = parse_duration(argument.getValue());
  if (!value) {
    throw TCLAP::ArgParseException(
        fmt::format("invalid duration \"{}\"; expected a whole number with a unit (us, ms, s, min, h, d)",
                    argument.getValue()),
        argument.toString());
  }
  return *value;
}

const std::vector<command>& commands() {
  static const std::vector<command> list{
      {"check", "Checks a document file without any network.", "rhubarbctl check examples/demo.yaml",
       run_check},
      {"diff", "Lists what changes from one document file to another, without any network.",
       "rhubarbctl diff old.yaml new.yaml", run_diff},
      {"trial", "Checks a document file and stores its bytes in the trial environment.",
       "rhubarbctl trial new.yaml --store 127.0.0.1:4000", run_trial},
      {"promote", "Moves exactly the bytes of the trial document to production.",
       "rhubarbctl promote --store 127.0.0.1:4000 --digest 5f1c09ab --expected-version 7 "
       "--accept remove-rack:hba-r2",
       run_promote},
      {"status", "Shows the stored documents and what the entry VMs report.",
       "rhubarbctl status --store 127.0.0.1:4000 --entry 127.0.0.1:4100", run_status},
      {"explain", "Prints the history of one job from the logs of rhubarb-edge, and what decided it.",
       "rhubarbctl explain 05669e6d8f9c6efa vm1.log vm2.log", run_explain},
      {"misses", "Splits the jobs that missed their objective by cause, from the logs of rhubarb-edge.",
       "rhubarbctl misses vm1.log vm2.log", run_misses},
      {"submit", "Submits a job and prints its id and key.",
       "rhubarbctl submit --entry 127.0.0.1:4100 --team bookings --class concert-eve --accelerators 8 "
       "--members 4 --within rack --run-time 2h -- train --epochs 3",
       run_submit},
      {"job", "Shows a job, or waits until it ends.",
       "rhubarbctl job j-0123 --entry 127.0.0.1:4100 --wait 1h", run_job},
      {"cancel", "Cancels a job.", "rhubarbctl cancel j-0123 --entry 127.0.0.1:4100", run_cancel},
      {"why", "Tells why a job waits, runs where it runs, or ended.",
       "rhubarbctl why j-0123 --entry 127.0.0.1:4100", run_why},
  };
  return list;
}

}  // namespace rhubarbpath::ctl

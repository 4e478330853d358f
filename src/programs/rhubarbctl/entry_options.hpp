#pragma once

#include <string>
#include <vector>

#include "command.hpp"
#include "entry_client.hpp"

namespace rhubarbpath::ctl {

/// Options of the commands that talk to entry VMs.
class entry_options {
 public:
  entry_options(command_line& line, bool required)
      : entries_{"",       "entry",   "Address of an entry VM, for example 127.0.0.1:4100; repeatable",
                 required, "ADDRESS", line.arguments()},
        timeout_{"",         "entry-timeout", "How long to wait for one entry VM (default 5s)", false, "5s",
                 "DURATION", line.arguments()} {}

  [[nodiscard]] const std::vector<std::string>& addresses() const { return entries_.getValue(); }
  [[nodiscard]] duration timeout() const { return parse_duration_argument(timeout_); }
  [[nodiscard]] entry_client connect(http_caller& caller) const { return {caller, addresses(), timeout()}; }

 private:
  TCLAP::MultiArg<std::string> entries_;
  TCLAP::ValueArg<std::string> timeout_;
};

}  // namespace rhubarbpath::ctl

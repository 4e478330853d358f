#pragma once

#include <string>

#include "command.hpp"
#include "store_client.hpp"

namespace rhubarbpath::ctl {

/// Options of the commands that talk to the store.
class store_options {
 public:
  explicit store_options(command_line& line, bool required)
      : address_{"",        "store",         "Address of the store, for example 127.0.0.1:4000", required, "",
                 "ADDRESS", line.arguments()},
        timeout_{"",         "timeout",       "How long to try before giving up (default 10s)", false, "10s",
                 "DURATION", line.arguments()} {}

  [[nodiscard]] bool is_set() const { return !address_.getValue().empty(); }
  [[nodiscard]] store_client connect(http_caller& caller) const {
    return {caller, address_.getValue(), parse_duration_argument(timeout_)};
  }

 private:
  TCLAP::ValueArg<std::string> address_;
  TCLAP::ValueArg<std::string> timeout_;
};

/// Formats version, digest, author and time of a stored document.
[[nodiscard]] std::string describe_row(const stored_document& stored);
[[nodiscard]] json row_to_json(const stored_document& stored);

}  // namespace rhubarbpath::ctl

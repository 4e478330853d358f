#pragma once

#include <optional>
#include <string>

#include "rhubarbpath/state/random.hpp"
#include "rhubarbpath/transport/event_loop.hpp"
#include "rhubarbpath/transport/http_client.hpp"

namespace rhubarbpath::ctl {

/// Makes one blocking HTTP call at a time and reports on standard error what a long call waits for.
class http_caller {
 public:
  http_caller();

  /// Blocks until the answer arrives or the timeout ends. `waiting_for` completes the progress message
  /// "waiting for ...".
  http_result call(const std::string& address, const http_request& request, duration timeout,
                   const std::string& waiting_for);
  /// Blocks for the given time.
  void pause(duration wait);
  [[nodiscard]] instant now() const { return loop_.now(); }
  [[nodiscard]] random_source& random() noexcept { return random_; }

 private:
  void report_progress(const std::string& waiting_for);

  event_loop loop_;
  http_client client_{loop_, {}};
  random_source random_;
  instant started_;
  std::optional<instant> last_report_;
};

}  // namespace rhubarbpath::ctl

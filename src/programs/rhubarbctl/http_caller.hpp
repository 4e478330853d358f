#pragma once

#include <optional>
#include <string>

#include "rhubarbpath/state/random.hpp"
#include "rhubarbpath/transport/event_loop.hpp"
#include "rhubarbpath/transport/http_client.hpp"

namespace rhubarbpath::ctl {

/// Makes one HTTP call at a time and tells on standard error what a long wait is for.
class http_caller {
 public:
  http_caller();

  /// Waits for the answer; `waiting_for` completes "waiting for ...".
  http_result call(const std::string& address, const http_request& request, duration timeout,
                   const std::string& waiting_for);
  /// Waits between two attempts.
  void pause(duration wait);
  [[nodiscard]] instant now() const { return loop_.now(); }
  [[nodiscard]] random_source& random() noexcept { return random_; }

 private:
  void report_progress(const std::string& waiting_for);

  event_loop loop_;
  http_client client_{loop_, {}};
  random_source random_;
  instant started_;
  std::optional<instant> reported_;
};

}  // namespace rhubarbpath::ctl

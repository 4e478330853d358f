#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "callers.hpp"
#include "rhubarbpath/state/random.hpp"
#include "rhubarbpath/transport/http_client.hpp"
#include "worker_fleet.hpp"

namespace rhubarbpath::soak {

/// Callers that send what few callers send: jobs with numbers out of range or bodies that cannot be read,
/// jobs that repeat for a year or have billions of tasks, and cancellations that overtake their job. Has a
/// random source of its own, so that the load of `callers` stays the same for a seed.
class odd_callers {
 public:
  odd_callers(event_loop& loop, worker_fleet& fleet, callers::options opts);

  void begin();
  void stop_submitting() { timer_.cancel(); }
  /// Checks what ran of the cancelled jobs; call it once, at the end.
  void check();
  [[nodiscard]] const std::vector<std::string>& violations() const noexcept { return violations_; }

 private:
  struct cancelled_job {
    std::string body;
    bool confirmed{false};         ///< Answered with success or 410.
    bool told_no_such_job{false};  ///< Answered with 410.
  };

  void act();
  void submit_malformed();
  void submit_enormous();
  void submit_and_cancel();
  void cancel(const std::string& id);
  /// Sends a call to a random VM. `done` gets the status, or 0 without an answer.
  void call(const std::string& method, const std::string& id, const std::string& body,
            std::function<void(int)> done);
  [[nodiscard]] std::string next_id();

  event_loop& loop_;
  worker_fleet& fleet_;
  callers::options options_;
  random_source random_;
  http_client client_;
  std::map<std::string, cancelled_job> cancelled_;
  std::uint64_t next_id_{1};
  std::vector<std::string> violations_;
  timer_handle timer_;
};

}  // namespace rhubarbpath::soak

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "placed_jobs.hpp"
#include "rhubarbpath/state/random.hpp"
#include "rhubarbpath/transport/http_client.hpp"
#include "worker_fleet.hpp"

namespace rhubarbpath::soak {

/// Simulated callers. They submit jobs, repeat submissions, cancel and query jobs, and check the answers
/// against the runs that the worker fleet recorded.
class callers {
 public:
  struct options {
    std::vector<std::string> addresses;  ///< One address per VM, to which callers connect.
    std::string host;
    std::string path_prefix;
    std::string key;
    /// Also submits jobs that outlast an absence of their workers, and now and then one with so many short
    /// tasks that a worker cannot list all their ends at a time.
    bool long_and_wide_jobs{true};
    /// Also submits jobs that care where they run.
    bool placed_jobs{true};
    std::uint64_t seed{1};  ///< Of these jobs.
  };

  callers(event_loop& loop, worker_fleet& fleet, random_source& random, options opts);

  void begin();
  /// Stops new submissions; queries continue until every accepted job has ended.
  void stop_submitting() {
    submit_timer_.cancel();
    long_timer_.cancel();
    placed_timer_.cancel();
  }
  /// Cancels the jobs that never complete by themselves.
  void cancel_endless_jobs();
  /// Calls `call` for each accepted job that nobody has cancelled and that was not reported as ended.
  void for_each_owed(const std::function<void(const std::string&)>& call) const;
  /// Returns true when every accepted job has ended and every other submission was refused or abandoned.
  [[nodiscard]] bool settled() const;
  /// Checks the final answers against the recorded runs; call it once, at the end.
  void check();
  [[nodiscard]] const std::vector<std::string>& violations() const noexcept { return violations_; }
  [[nodiscard]] std::string summary() const;

 private:
  enum class submit_outcome { unsettled, accepted, refused };
  struct job {
    std::string body;
    std::string queue;  ///< Prefix of its path.
    bool endless{false};
    submit_outcome outcome{submit_outcome::unsettled};
    int attempts{0};
    bool uncertain{false};  ///< At least one attempt got no definite answer.
    bool cancel_sent{false};
    bool cancel_confirmed{false};
    std::string phase;
  };

  void submit_new(std::pair<std::string, soak_job> new_job);
  void submit_new(placed_job new_job);
  [[nodiscard]] std::pair<std::string, soak_job> make_long_or_wide_job();
  void submit(const std::string& id);
  void submit_later(const std::string& id, duration pause);
  void cancel(const std::string& id);
  void query_phase();
  void handle_phase(const std::string& id, const http_result& result);
  void call(const std::string& method, const std::string& id, http_client::callback done);
  [[nodiscard]] std::pair<std::string, soak_job> make_random_job();

  event_loop& loop_;
  worker_fleet& fleet_;
  random_source& random_;
  options options_;
  http_client client_;
  std::map<std::string, job> jobs_;
  std::uint64_t next_job_{1};
  std::vector<std::string> violations_;
  random_source long_jobs_random_;
  timer_handle submit_timer_;
  placed_jobs placed_jobs_;
  bool endless_cancelled_{false};
  timer_handle long_timer_;
  timer_handle placed_timer_;
  timer_handle query_timer_;
};

}  // namespace rhubarbpath::soak

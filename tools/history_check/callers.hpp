#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "history.hpp"
#include "rhubarbpath/state/random.hpp"
#include "rhubarbpath/transport/event_loop.hpp"
#include "rhubarbpath/transport/http_client.hpp"

namespace rhubarbpath::history_check {

/// A class of service requests that the callers send.
struct request_kind {
  std::string service;
  std::string request_class;
  std::string team;
  bool non_idempotent{false};
};

/// A kind of job that the callers submit; `command` tells the stand-in how long it really runs.
struct job_kind {
  std::string body;  ///< JSON of the submission.
  int members{1};
};

/// Callers of the API: each request is sent to a random entry VM and repeated with its key at another
/// one until it is known to have run, or the tries are used up.
class callers {
 public:
  struct options {
    std::vector<std::string> entries;
    std::vector<request_kind> requests;
    std::vector<job_kind> jobs;
    duration run_time{std::chrono::seconds{10}};
    duration request_interval{std::chrono::milliseconds{10}};
    duration job_interval{std::chrono::milliseconds{500}};
    duration request_deadline{std::chrono::seconds{5}};
    /// After the run, time for tries and jobs to come to an end.
    duration settle_time{std::chrono::seconds{60}};
    int max_tries{8};
    std::uint64_t seed{1};
  };

  callers(event_loop& loop, options opts);

  /// Sends the load and returns when everything has ended or `settle_time` is over.
  void run();

  [[nodiscard]] const std::vector<request_history>& requests() const noexcept { return requests_; }
  [[nodiscard]] const std::vector<job_history>& jobs() const noexcept { return jobs_; }

 private:
  void start_request();
  void try_request(std::size_t index, const request_kind& kind, instant started);
  void on_request_result(std::size_t index, const request_kind& kind, instant started,
                         const http_result& result);
  void start_job();
  void try_submit(std::size_t index, const job_kind& kind, instant started, int tries);
  void on_submit_result(std::size_t index, const job_kind& kind, instant started, int tries,
                        const http_result& result);
  void poll_job(std::size_t index, instant started);
  void later(duration delay, event_loop::callback call);
  void finish_one();
  const std::string& any_entry();
  void check_ready();

  event_loop& loop_;
  options options_;
  random_source random_;
  http_client client_;
  std::vector<request_history> requests_;
  std::vector<job_history> jobs_;
  std::size_t open_{0};
  instant started_{};
  instant give_up_{};
  bool sending_{true};
  /// Entries that answered `/readyz` last; stands for the platform's load balancer.
  std::vector<std::string> ready_;
  std::map<std::uint64_t, timer_handle> delayed_;
  std::uint64_t last_delayed_{0};
};

}  // namespace rhubarbpath::history_check

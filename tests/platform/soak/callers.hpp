#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rhubarbpath/state/random.hpp"
#include "rhubarbpath/transport/http_client.hpp"
#include "worker_fleet.hpp"

namespace rhubarbpath::soak {

/// Callers that submit jobs, repeat, cancel and ask, and compare what they are told with what ran.
class callers {
 public:
  struct options {
    std::vector<std::string> addresses;  ///< Where callers reach each VM.
    std::string host;
    std::string path_prefix;
    std::string key;
  };

  callers(event_loop& loop, worker_fleet& fleet, random_source& random, options opts);

  void begin();
  /// No new jobs; questions go on until every accepted job has ended.
  void stop_submitting() { submitting_.cancel(); }
  [[nodiscard]] bool settled() const;
  /// Compares the last answers with what ran; call it once, at the end.
  void check();
  [[nodiscard]] const std::vector<std::string>& violations() const noexcept { return violations_; }
  [[nodiscard]] std::string summary() const;

 private:
  enum class fate { unsettled, accepted, refused };
  struct job {
    std::string body;
    fate known{fate::unsettled};
    int tries{0};
    bool uncertain{false};  ///< An attempt had no definite answer.
    bool cancel_sent{false};
    bool cancel_confirmed{false};
    std::string phase;
  };

  void submit_new();
  void submit(const std::string& id);
  void submit_later(const std::string& id, duration pause);
  void cancel(const std::string& id);
  void ask();
  void told(const std::string& id, const http_result& result);
  void call(const std::string& method, const std::string& id, http_client::callback done);
  [[nodiscard]] std::pair<std::string, soak_job> draw_job();

  event_loop& loop_;
  worker_fleet& fleet_;
  random_source& random_;
  options options_;
  http_client client_;
  std::map<std::string, job> jobs_;
  std::uint64_t next_job_{1};
  std::vector<std::string> violations_;
  timer_handle submitting_;
  timer_handle asking_;
};

}  // namespace rhubarbpath::soak

#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "callers.hpp"
#include "worker_fleet.hpp"

namespace rhubarbpath::soak {

/// Checks while the soak runs that no accepted job has nothing running for 3 s while a task could run: its
/// turn has come, workers that are up, in touch and allowed have room for it twice over, and less than half
/// of the service is in use. Each task that lasts must run by itself. Judges by what the workers run and by
/// the injected faults, not by what the owner says.
class standing_check {
 public:
  struct dependencies {
    event_loop& loop;
    worker_fleet& fleet;
    callers& clients;
    std::function<void(const std::string&)> trace;
    std::function<void(const std::string&)> violation;
  };

  explicit standing_check(dependencies deps);

  void begin();
  void stop() { timer_.cancel(); }

  /// The store, a VM, or calls to all workers are disturbed for that long.
  void service_disturbed(duration length);
  /// A worker is lost or out of reach for that long. Call it before the worker loses what it runs.
  void worker_disturbed(std::size_t worker, duration length);
  /// An order for the job may have been executed and stays without an answer.
  void order_lost(const std::string& job);
  /// The same for the starts in bytes that were sent to a worker over a disturbed link.
  void bytes_lost(std::string_view bytes);
  /// All disturbances end now.
  void faults_cleared();

  [[nodiscard]] std::string summary() const;

 private:
  /// A task, or a gang as a whole, that could run.
  struct candidate {
    task_name task;
    const soak_step* step{nullptr};
    int room{0};  ///< How many tasks of this kind would fit.
  };
  struct stand {
    instant since{};
    bool reported{false};
    std::string text;
  };
  struct excuse {
    instant until{};
    bool order_lost{false};  ///< Since the job last ran.
  };

  void check();
  void check_job(const std::string& job, instant now);
  void judge(const std::string& key, const candidate& found, instant now, duration limit);
  void end_stand(const std::string& key, instant now);
  void excuse_job(const std::string& job, instant until);
  [[nodiscard]] bool calm(instant now);
  void measure_fleet(instant now);
  [[nodiscard]] bool turn_has_come(const std::string& job, const soak_step& step) const;
  [[nodiscard]] int room_for(const std::string& job, int step_number, const soak_step& step) const;
  [[nodiscard]] std::string describe(const candidate& found, instant now) const;

  dependencies deps_;
  instant disturbed_until_{};              ///< The service.
  bool first_owner_{true};                 ///< The service was never disturbed.
  instant worker_unreachable_at_{};        ///< When one last was.
  std::vector<instant> worker_disturbed_;  ///< Until then, for each worker.
  std::vector<bool> sound_;                ///< For each worker, at this check.
  amounts capacity_;
  amounts used_;
  std::map<std::string, excuse> excuses_;
  std::map<std::string, stand> stands_;  ///< By job, or by task for those that last.
  duration longest_stand_{};
  std::size_t checks_{0};
  std::size_t calm_checks_{0};
  std::size_t half_free_checks_{0};
  std::size_t waits_seen_{0};
  timer_handle timer_;
};

}  // namespace rhubarbpath::soak

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "rhubarbpath/state/random.hpp"
#include "rhubarbpath/transport/event_loop.hpp"
#include "rhubarbpath/transport/http_server.hpp"
#include "store_stand_in.hpp"

namespace rhubarbpath::soak {

struct soak_step {
  int count{1};
  int cpu{0};
  int memory_mb{0};
  int accelerators{0};
  duration run_time{};
  bool gang{false};
  std::vector<int> after;
};
using soak_job = std::vector<soak_step>;

/// Identifies a task. The name on the wire is JOB.OCCURRENCE.STEP.INDEX; the occurrence is always 0 here.
struct task_name {
  std::string job;
  int step{0};
  int index{0};
  friend auto operator<=>(const task_name&, const task_name&) = default;
};

struct worker_faults {
  bool store_unreachable{false};  ///< The worker's row in the store expires; the worker keeps running.
  int late_orders_percent{0};     ///< Executed up to 2.8 s later, never answered.
  int lost_answers_percent{0};    ///< Executed immediately, never answered.
  int failed_starts_percent{0};   ///< The task ends as failed after 100 ms.
  int unhealthy_percent{0};       ///< Starts are answered with 429 or 503 and not executed.
};

class worker_stand_in;

/// All simulated workers and the tasks that run on them. Records a violation when a task runs twice or
/// before the steps that it depends on.
class worker_fleet {
 public:
  worker_fleet(event_loop& loop, store_stand_in& store, random_source& random);
  ~worker_fleet();
  worker_fleet(const worker_fleet&) = delete;
  worker_fleet(worker_fleet&&) = delete;
  worker_fleet& operator=(const worker_fleet&) = delete;
  worker_fleet& operator=(worker_fleet&&) = delete;

  /// Adds a worker that listens on `address` and `port`. It registers `advertised_address` in the store,
  /// where a proxy may listen.
  [[nodiscard]] absl::Status add(const std::string& address, std::uint16_t port,
                                 const std::string& advertised_address);
  [[nodiscard]] std::size_t size() const noexcept { return workers_.size(); }
  [[nodiscard]] worker_faults& faults(std::size_t worker);
  /// Restarts a worker: all its state is lost, and it is available immediately under the same id.
  void restart(std::size_t worker);
  /// The worker reports that it is draining and that it stays for that long at least. It works on.
  void drain(std::size_t worker, duration stays);
  /// The worker ends, and all that runs on it. If it left as announced, its row is removed at once; after a
  /// crash it stays until it expires.
  void stop(std::size_t worker, bool left);
  /// Starts a worker that was stopped, at the same address, under its former id or a new one.
  void start(std::size_t worker, bool same_id);
  [[nodiscard]] bool present(std::size_t worker) const;

  /// Tells the fleet the steps of a job before the job is submitted.
  void register_job(const std::string& job, soak_job steps) { jobs_[job] = std::move(steps); }
  /// Returns true when all tasks of all steps have ended as done.
  [[nodiscard]] bool all_done(const std::string& job) const;
  [[nodiscard]] bool ever_started(const std::string& job) const { return started_.contains(job); }
  [[nodiscard]] bool running(const std::string& job) const;
  /// Ids of the workers that have started tasks of the job.
  [[nodiscard]] std::set<std::string> workers_of(const std::string& job) const;
  [[nodiscard]] const std::vector<std::string>& violations() const noexcept { return violations_; }
  [[nodiscard]] std::size_t runs() const noexcept { return run_count_; }

 private:
  friend class worker_stand_in;

  /// The row of a worker that crashed.
  struct expiring_row {
    std::string key;
    instant expires_at{};
  };
  [[nodiscard]] const soak_step* find_step(const task_name& task) const;
  void run_started(const task_name& task, std::uint64_t run, const std::string& worker);
  void run_ended(const task_name& task, std::uint64_t run, const std::string& worker, bool done);
  void advance();
  void violation(const std::string& text) { violations_.push_back(text); }

  event_loop& loop_;
  store_stand_in& store_;
  random_source& random_;
  std::vector<std::unique_ptr<worker_stand_in>> workers_;
  std::vector<expiring_row> expiring_rows_;
  std::map<std::string, soak_job> jobs_;
  std::map<std::string, std::set<std::string>> started_;  ///< By job, the workers that started its tasks.
  std::map<task_name, std::string> running_;              ///< Id of the worker that runs each task.
  std::set<task_name> done_;
  std::set<task_name> rerun_allowed_;
  std::vector<std::string> violations_;
  std::size_t run_count_{0};
  timer_handle tick_timer_;
};

}  // namespace rhubarbpath::soak

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
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

/// Work outside the rack of its data, or of a gang that wants one rack, takes this many times as long.
inline constexpr int remote_factor = 3;
/// Workers shorten longer leases to this.
inline constexpr duration longest_lease{std::chrono::seconds{10}};

struct amounts {
  int cpu{0};
  int memory_mb{0};
  int accelerators{0};

  amounts& operator+=(const amounts& other) {
    cpu += other.cpu;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    return *this;
  }
  friend amounts operator+(amounts left, const amounts& right) { return left += right; }
  [[nodiscard]] bool covers(const amounts& other) const {
    return cpu >= other.cpu && memory_mb >= other.memory_mb && accelerators >= other.accelerators;
  }
};
inline constexpr amounts worker_capacity{.cpu = 8000, .memory_mb = 16'000, .accelerators = 4};

struct soak_step {
  int count{1};
  int cpu{0};
  int memory_mb{0};
  int accelerators{0};
  duration run_time{};
  bool gang{false};
  std::vector<int> after;
  std::string data_rack;
  std::string required_label;
  int max_per_server{0};
  bool same_rack{false};
  bool checkpointing{false};
  bool long_running{false};

  [[nodiscard]] bool far_from_data(const std::string& rack) const {
    return !data_rack.empty() && rack != data_rack;
  }
  [[nodiscard]] bool allowed_with(const std::string& kind, const std::string& rack) const {
    return required_label.empty() || required_label == kind || required_label == rack;
  }
};
/// What one task takes.
[[nodiscard]] inline amounts needs(const soak_step& step) {
  return {.cpu = step.cpu, .memory_mb = step.memory_mb, .accelerators = step.accelerators};
}
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

/// The last run of a task, as its worker saw it.
struct last_run {
  std::uint64_t run{0};
  std::string worker;
  std::string rack;
  instant ended_at{};  ///< Zero while it runs.
  std::string outcome;
};

/// A worker as it is, whatever the owner knows of it.
struct worker_view {
  std::string id;
  std::string zone;
  std::string rack;
  std::string kind;
  bool takes_work{false};  ///< Up, not draining or evacuated, and refuses no start.
  instant alive_since{};
  amounts used;
};

/// Disturbances of single workers spare those behind, which only those of whole racks meet.
inline constexpr std::size_t max_single_disturbed = 8;

class worker_stand_in;

/// All simulated workers and the tasks that run on them. Records a violation when a task runs twice or
/// before the steps that it depends on.
class worker_fleet {
 public:
  /// `places_seed` is for what racks, checkpoints and steps that last need.
  worker_fleet(event_loop& loop, store_stand_in& store, random_source& random, std::uint64_t places_seed = 1);
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
  [[nodiscard]] bool draining(std::size_t worker) const;

  /// Requests, as an operator, that nothing more be started in a zone. A start later than the limit after it
  /// is a violation.
  void evacuate(const std::string& zone);
  void take_back(const std::string& zone);
  [[nodiscard]] bool evacuated(const std::string& zone) const { return evacuated_since_.contains(zone); }
  [[nodiscard]] std::vector<std::string> zones() const;

  /// Tells the fleet the steps of a job before the job is submitted.
  void register_job(const std::string& job, soak_job steps) { jobs_[job] = std::move(steps); }
  /// Returns true when all tasks of all steps have ended as done.
  [[nodiscard]] bool all_done(const std::string& job) const;
  [[nodiscard]] bool ever_started(const std::string& job) const { return started_.contains(job); }
  [[nodiscard]] bool running(const std::string& job) const;
  [[nodiscard]] bool running(const task_name& task) const { return running_.contains(task); }
  [[nodiscard]] bool done(const task_name& task) const { return done_.contains(task); }
  /// Returns null for a task that never ran.
  [[nodiscard]] const last_run* last_run_of(const task_name& task) const;
  [[nodiscard]] const soak_job* steps_of(const std::string& job) const;
  /// True if the end of one of the job's tasks may be unknown to every owner, so that it may run again.
  [[nodiscard]] bool may_rerun(const std::string& job) const;
  [[nodiscard]] worker_view view(std::size_t worker) const;
  [[nodiscard]] int count_of_step(std::size_t worker, const std::string& job, int step) const;
  [[nodiscard]] std::vector<std::size_t> workers_of_rack(const std::string& rack) const;
  [[nodiscard]] std::vector<std::string> racks() const;
  /// Jobs of which something runs on the worker, or has ended there without an acknowledgement.
  [[nodiscard]] std::set<std::string> jobs_on(std::size_t worker) const;
  /// Calls `call` with the job of each order that a worker leaves unanswered.
  void on_unanswered_order(std::function<void(const std::string&)> call) {
    unanswered_order_ = std::move(call);
  }
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
  void run_started(const task_name& task, std::uint64_t run, const std::string& worker,
                   const std::string& rack);
  void run_ended(const task_name& task, std::uint64_t run, const std::string& worker,
                 const std::string& outcome, bool done);
  void check_evacuation(const task_name& task, const worker_stand_in& worker);
  void check_rules_of_step(const task_name& task, const soak_step& step, const worker_stand_in& worker);
  void order_unanswered(const std::string& body) const;
  void advance();
  void violation(const std::string& text) { violations_.push_back(text); }

  event_loop& loop_;
  store_stand_in& store_;
  random_source& random_;
  random_source places_random_;
  std::vector<std::unique_ptr<worker_stand_in>> workers_;
  std::vector<expiring_row> expiring_rows_;
  std::map<std::string, soak_job> jobs_;
  std::map<std::string, instant> evacuated_since_;  ///< By zone.
  std::map<std::string, instant> taken_back_at_;
  std::map<task_name, last_run> last_runs_;
  std::function<void(const std::string&)> unanswered_order_;
  std::map<std::string, std::set<std::string>> started_;  ///< By job, the workers that started its tasks.
  std::map<task_name, std::string> running_;              ///< Id of the worker that runs each task.
  std::set<task_name> done_;
  std::set<task_name> rerun_allowed_;
  std::vector<std::string> violations_;
  std::size_t run_count_{0};
  timer_handle tick_timer_;
};

}  // namespace rhubarbpath::soak

#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "config_feed.hpp"
#include "evacuation_watch.hpp"
#include "rhubarbpath/coordination/job_scheduler.hpp"
#include "rhubarbpath/protocol/job_rows.hpp"
#include "rhubarbpath/transport/event_loop.hpp"
#include "rhubarbpath/transport/http_client.hpp"
#include "rhubarbpath/transport/metrics.hpp"
#include "store_access.hpp"
#include "store_keys.hpp"

namespace rhubarbpath::edge {

/// Runs one ownership term: loads the stored rows, drives the job scheduler and executes its actions.
class owner_session : public std::enable_shared_from_this<owner_session> {
 public:
  struct options {
    owner_term term;
    revision owner_row;  ///< Revision of the owner row; every write of the term is conditional on it.
    job_scheduler::options scheduler;
    std::string adviser_address;
    std::size_t max_row_bytes{std::size_t{1} << 20U};  ///< Largest value that the store takes.
    /// Nothing is started in a failure domain this long after its evacuation was requested. Empty where
    /// evacuations are not requested; then no requests are read.
    std::optional<duration> evacuation_limit;
    /// Interval between reads of the worker registry. A worker must receive no new work 2 s after it
    /// starts draining.
    duration registry_poll_interval{std::chrono::milliseconds{700}};
    /// Time limit of an order; workers answer within milliseconds.
    duration order_timeout{std::chrono::milliseconds{400}};
    /// Maximum number of unanswered orders per worker, not counting the lease renewal.
    std::size_t max_orders_in_flight{2};
  };
  struct dependencies {
    event_loop& loop;
    store_access& store;
    http_client& workers;
    metrics& counters;
    config_feed::pointer config;
    /// Returns false once the term has expired by this VM's clock; no more orders are sent then.
    std::function<bool()> may_send_orders;
    /// Whether a newer version of the configuration may be in force, and checks have not told.
    std::function<bool()> config_may_be_outdated;
    /// Called when a worker or the store shows that another VM has become the owner.
    std::function<void()> superseded;
  };

  owner_session(const options& opts, dependencies deps);
  void start();
  /// Stops the session; answers that arrive later are ignored.
  void stop();
  void set_config(const config_feed::pointer& config);

  /// Returns `nullopt` for an unknown job and while the jobs are being loaded.
  [[nodiscard]] std::optional<job_phase> phase(const job_id& id) const;
  /// Returns `nullopt` while the jobs are being loaded.
  [[nodiscard]] std::optional<std::uint64_t> waiting_jobs(const queue_id& queue) const;
  [[nodiscard]] bool loaded() const noexcept { return loaded_; }
  /// Whether a job of this cost may be stored; the cost is then set aside for it. Returns `nullopt` while the
  /// jobs are being loaded.
  [[nodiscard]] std::optional<bool> reserve_work(const job_id& job, const team_id& team, std::uint64_t bytes);
  [[nodiscard]] owner_term term() const noexcept { return opts_.term; }

 private:
  struct queued_order {
    std::string address;
    /// Called when it is sent, because an encoded order takes a multiple of the memory.
    std::function<http_request()> request;
    std::function<void(const http_result&)> done;
    std::function<bool()> wanted;  ///< Checked immediately before sending; on false the order is dropped.
    bool starts_task{false};
  };
  /// The orders to one worker that wait for a free slot, and the number of unanswered ones.
  struct worker_channel {
    std::deque<queued_order> waiting;
    std::size_t in_flight{0};
  };
  using list_handler = std::function<void(std::vector<kv_item>, revision)>;

  /// Starts are held until the requests to evacuate failure domains have been read.
  void follow_evacuations();
  void load();
  void load_leaving_workers(std::vector<worker_id> workers);
  void load_jobs();
  void list_all(std::string prefix, list_handler done);
  void list_page(std::string prefix, std::string after, const std::shared_ptr<std::vector<kv_item>>& found,
                 revision first_as_of, list_handler done);
  void apply_rows(const std::vector<kv_item>& jobs, const std::vector<kv_item>& progress, bool initial_load);
  void watch_jobs();
  void reload_jobs();
  void apply_job_item(const kv_item& item);
  void poll_registry();
  /// Logs registry entries that name no worker, with the reason, when they appear.
  void note_ignored_entries(std::map<std::string, std::string> ignored);
  void run_actions();
  void run_tick();
  void schedule_tick();
  void enqueue_order(const worker_id& worker, queued_order order);
  void send_queued_orders(const worker_id& worker);
  void perform(const start_order& order);
  void perform(const stop_order& order);
  void perform(const renew_order& order);
  void perform(const store_progress& write);
  void perform(const store_workers& write);
  void perform(const owner_superseded& rejection);
  void perform(const advice_request& request);
  void perform(const decision_record& decision);
  void write_progress();
  /// The next rows of `unsaved_progress_`, as many as one commit takes; sets `rows_in_commit_`.
  [[nodiscard]] kv_commit next_progress_commit();
  /// Encodes the row of a job. Where it would be larger than a row of the store, it names only what is done.
  [[nodiscard]] std::string encode_within_row(const job_progress& progress);
  void write_workers();
  void erase_expired();
  /// Reads which teams the last owner found full.
  void read_full_teams();
  /// Tells all VMs which teams are full, if that has changed.
  void publish_full_teams();
  /// Nothing may be started while cancellations, evacuations or a newer configuration may be unknown. Empty
  /// otherwise.
  [[nodiscard]] std::string_view reason_to_hold_starts() const;
  /// Holds starts while there is such a reason.
  void hold_or_resume_starts();
  [[nodiscard]] std::function<void()> unless_stopped(std::function<void()> call);
  void run_later(duration delay, std::function<void()> call);

  options opts_;
  dependencies deps_;
  std::unique_ptr<job_scheduler> scheduler_;
  std::shared_ptr<evacuation_watch> evacuations_;  ///< Empty without a limit.
  bool stopped_{false};
  bool loaded_{false};
  bool running_actions_{false};
  revision jobs_revision_;
  int cut_job_watches_{0};  ///< In a row, the watches of jobs whose answer ended early.
  /// All changes of jobs before this time are known, on the boot clock.
  instant jobs_known_at_{};
  std::map<job_id, revision> progress_revisions_;  ///< Last known revision of each progress row.
  revision workers_revision_;
  /// Cancellations of jobs that were never stored, with the time at which they were read. They keep a write
  /// of the job that is executed late from taking effect.
  std::map<job_id, instant> lone_cancellations_;
  std::optional<std::set<team_id>> published_teams_;  ///< Nothing until read.
  revision teams_revision_;
  bool publishing_teams_{false};
  std::map<std::string, std::string> ignored_entries_;  ///< The reason, by key.
  std::deque<job_progress> unsaved_progress_;
  std::set<job_id> jobs_with_short_rows_;  ///< Logged as such.
  std::size_t rows_in_commit_{0};  ///< Rows at the front of `unsaved_progress_` that are being written.
  store_workers worker_set_;
  std::map<worker_id, worker_channel> channels_;
  timer_handle tick_timer_;
  instant next_tick_at_{};
};

}  // namespace rhubarbpath::edge

#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "config_feed.hpp"
#include "rhubarbpath/coordination/job_scheduler.hpp"
#include "rhubarbpath/protocol/job_rows.hpp"
#include "rhubarbpath/transport/event_loop.hpp"
#include "rhubarbpath/transport/http_client.hpp"
#include "rhubarbpath/transport/metrics.hpp"
#include "store_access.hpp"
#include "store_keys.hpp"

namespace rhubarbpath::edge {

/// One ownership term: loads the rows, runs the scheduler, and carries out its actions.
class owner_session : public std::enable_shared_from_this<owner_session> {
 public:
  struct options {
    owner_term term;
    revision owner_row;  ///< Every write of the term is conditional on this revision.
    job_scheduler::options scheduler;
    std::string adviser_address;
    /// A worker that drains must get no new work 2 s later.
    duration registry_period{std::chrono::milliseconds{700}};
    /// Workers answer within milliseconds.
    duration order_timeout{std::chrono::milliseconds{400}};
    /// Orders to one worker that may be open at a time, beside its renewal.
    std::size_t open_orders{2};
  };
  struct dependencies {
    event_loop& loop;
    store_access& store;
    http_client& workers;
    metrics& counters;
    config_feed::pointer config;
    /// False once the term has ended by the clock; no order is sent then.
    std::function<bool()> may_order;
    std::function<void()> superseded;
  };

  owner_session(const options& opts, dependencies uses);
  void start();
  /// Stops everything; late answers are ignored.
  void stop();
  void set_config(const config_feed::pointer& config);

  /// Nothing while the jobs are being loaded.
  [[nodiscard]] std::optional<job_phase> phase(const job_id& id) const;
  [[nodiscard]] std::optional<std::uint64_t> waiting_jobs(const queue_id& queue) const;
  [[nodiscard]] bool loaded() const noexcept { return loaded_; }
  [[nodiscard]] owner_term term() const noexcept { return opts_.term; }

 private:
  struct queued_order {
    http_request request;
    std::function<void(const http_result&)> done;
    std::function<bool()> wanted;  ///< Asked when its turn comes; an order that is not wanted is dropped.
  };
  struct worker_link {
    std::deque<queued_order> waiting;
    std::string address;
    std::size_t open{0};
  };
  using list_handler = std::function<void(std::vector<kv_item>, revision)>;

  void load();
  void list_all(std::string prefix, list_handler done);
  void list_page(std::string prefix, std::string after, const std::shared_ptr<std::vector<kv_item>>& found,
                 revision first_as_of, list_handler done);
  void take_rows(const std::vector<kv_item>& jobs, const std::vector<kv_item>& progress, bool first);
  void watch_jobs();
  void reload_jobs();
  void take_job_item(const kv_item& item);
  void poll_registry();
  void run_actions();
  void run_tick();
  void schedule_tick();
  void send(const worker_id& worker, const std::string& address, queued_order order);
  void pump(const worker_id& worker);
  void perform(const start_order& order);
  void perform(const stop_order& order);
  void perform(const renew_order& order);
  void perform(const store_progress& write);
  void perform(const store_workers& write);
  void perform(const owner_superseded& news);
  void perform(const advice_request& request);
  void perform(const decision_record& decision);
  void write_progress();
  void write_workers();
  void erase_expired();
  [[nodiscard]] std::function<void()> guarded(std::function<void()> call);
  void later(duration delay, std::function<void()> call);

  options opts_;
  dependencies uses_;
  std::unique_ptr<job_scheduler> scheduler_;
  bool stopped_{false};
  bool loaded_{false};
  bool running_actions_{false};
  revision jobs_seen_;
  std::map<job_id, revision> progress_rows_;
  revision workers_row_;
  std::deque<job_progress> unsaved_;
  std::size_t saving_{0};
  std::vector<worker_id> worker_set_;
  std::map<worker_id, worker_link> links_;
  timer_handle tick_timer_;
  instant tick_at_{};
};

}  // namespace rhubarbpath::edge

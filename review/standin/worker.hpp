#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "rhubarbpath/transport/event_loop.hpp"
#include "rhubarbpath/transport/http_server.hpp"
#include "store_stand_in.hpp"

namespace review {

using nlohmann::json;
using rhubarbpath::duration;
using rhubarbpath::instant;
using std::chrono::milliseconds;

/// What a client put into a step; workers look up the room and the length of a task here.
struct step_facts {
  int count{1};
  int cpu{0};
  int memory_mb{0};
  int gpu{0};
  bool gang{false};
  bool long_running{false};
  int max_per_worker{0};
  std::vector<int> after;
  milliseconds length{1000};
  milliseconds spread{0};  ///< Task I takes `length` + I / `count` * `spread`.
};

/// What the clients sent and the workers ran, and the checks of the rules on it.
class ledger {
 public:
  explicit ledger(std::function<void(const std::string&)> write) : write_{std::move(write)} {}

  void submitted(const std::string& job, std::vector<step_facts> steps) { jobs_[job] = std::move(steps); }
  [[nodiscard]] const step_facts* find_step(const std::string& task) const;

  void started(const std::string& task, std::uint64_t run, const std::string& worker, instant now);
  void ended(const std::string& task, std::uint64_t run, const std::string& worker, const std::string& how,
             instant now);
  /// `ackedThrough` reached the end of this run.
  void noted(const std::string& task, std::uint64_t run, const std::string& worker);
  /// The lease of the worker passed before this end was noted, so that it never counts as noted.
  void lapsed(const std::string& task, std::uint64_t run, const std::string& worker);

  /// Whether all members of the task's gang run with this run, on any worker.
  [[nodiscard]] bool gang_present(const std::string& task, std::uint64_t run) const;
  /// How another member of the task's gang ended in this run; empty if none did.
  [[nodiscard]] std::string gang_ended(const std::string& task, std::uint64_t run) const;

  /// Number of tasks of the job that have ended as done.
  [[nodiscard]] int done(const std::string& job) const;
  /// The same over all jobs.
  [[nodiscard]] int all_done() const { return all_done_; }
  [[nodiscard]] int starts(const std::string& job) const;
  [[nodiscard]] int starts_after(const std::string& job, instant when) const;
  [[nodiscard]] int running(const std::string& job) const;
  /// TWICE: starts after a run of the same task ended as done, if that end was noted, and tasks that ran
  /// twice at the same time.
  [[nodiscard]] std::vector<std::string> twice() const;

 private:
  struct run_facts {
    std::uint64_t run{0};
    std::string worker;
    instant started{};
    instant ended{};
    std::string how;
    bool noted{false};
    bool lapsed{false};
  };
  run_facts* find(const std::string& task, std::uint64_t run, const std::string& worker);

  std::function<void(const std::string&)> write_;
  std::map<std::string, std::vector<step_facts>> jobs_;
  std::map<std::string, std::vector<run_facts>> runs_;
  std::vector<std::string> overlaps_;
  int all_done_{0};
};

/// A worker as the users' PROTOCOL describes it, with control by requests.
class worker {
 public:
  struct options {
    std::string id;
    std::string zone;
    std::string service;
    std::string address;
    std::uint16_t port{0};
    int cpu{32000};
    int memory_mb{131072};
    int gpu{8};
    milliseconds longest_lease{10000};
    milliseconds stop_time{120};
    milliseconds gang_timeout{3000};
    milliseconds heartbeat{1500};
  };

  worker(rhubarbpath::event_loop& loop, rhubarbpath::soak::store_stand_in& store, ledger& book,
         std::function<void(const std::string&)> write, options opts);
  worker(const worker&) = delete;
  worker(worker&&) = delete;
  worker& operator=(const worker&) = delete;
  worker& operator=(worker&&) = delete;
  /// A crash: what runs is gone, the ends are forgotten and the connections close.
  ~worker();
  [[nodiscard]] bool listen();
  /// The worker is to be taken away: it says so in its entry and runs on for now.
  void drain();
  /// While cut off, connections to it are reset and refused and it does not reach the store; its tasks run
  /// on.
  void cut_off(bool cut);
  [[nodiscard]] int used_cpu() const;
  [[nodiscard]] int cpu() const { return opts_.cpu; }
  [[nodiscard]] std::size_t unacknowledged() const { return ended_.size(); }
  [[nodiscard]] const options& opts() const { return opts_; }
  [[nodiscard]] std::size_t running() const { return running_.size(); }
  /// When the entry is removed if the worker falls silent now: three heartbeats after the last one.
  [[nodiscard]] instant entry_expires() const { return last_beat_ + 3 * opts_.heartbeat; }

 private:
  struct active_task {
    std::uint64_t run{0};
    instant started{};
    instant working{};  ///< Zero for a gang member until all members are present.
    milliseconds length{0};
    instant stop_at{};
  };
  struct ended_run {
    std::uint64_t number{0};
    std::string task;
    std::uint64_t run{0};
    std::string how;
  };
  struct waiting_look {
    instant until{};
    rhubarbpath::http_responder reply;
  };

  void handle(const rhubarbpath::http_request& request, const rhubarbpath::http_responder& reply);
  [[nodiscard]] rhubarbpath::http_response start(const json& body);
  [[nodiscard]] rhubarbpath::http_response stop(const json& body);
  [[nodiscard]] rhubarbpath::http_response lists() const;
  [[nodiscard]] rhubarbpath::http_response respond(int status, json body) const;
  void note(std::uint64_t acknowledged);
  void advance();
  void end(const std::string& task, const std::string& how);
  void write_entry();
  void answer_waiting();
  void extend(const json& body);
  [[nodiscard]] std::int64_t clock() const;

  rhubarbpath::event_loop& loop_;
  rhubarbpath::soak::store_stand_in& store_;
  ledger& book_;
  std::function<void(const std::string&)> write_;
  options opts_;
  instant begun_{};
  std::int64_t born_{0};
  std::uint64_t token_{0};
  std::int64_t lease_until_{0};
  std::map<std::string, active_task> running_;
  std::map<std::string, std::uint64_t> highest_ended_;
  std::deque<ended_run> ended_;
  std::uint64_t next_number_{1};
  std::uint64_t sequence_{0};
  instant last_beat_{};
  std::vector<waiting_look> waiting_;
  bool draining_{false};
  bool cut_{false};
  std::unique_ptr<rhubarbpath::http_server> server_;  ///< Empty while cut off.
  rhubarbpath::timer_handle tick_timer_;
  rhubarbpath::timer_handle entry_timer_;
};

}  // namespace review

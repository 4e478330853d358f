#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "rhubarbpath/transport/event_loop.hpp"
#include "rhubarbpath/transport/http_server.hpp"

namespace rhubarbpath::review {

class site;

/// What a task of the cases does, apart from what its job says of it.
struct task_plan {
  duration work{};
  bool lasts{false};
};

/// One worker of the platform, as PROTOCOL.md has it: runs tasks under a lease on its own clock, lists what
/// runs and what has ended, and registers itself in the store.
class worker {
 public:
  struct place {
    std::string id;
    std::string address;  ///< IP number and port.
    std::string service;
    std::string zone;
    std::string rack;
    std::string kind;
    int cpu{32000};
    int memory_mb{131072};
    int accelerators{8};
  };

  worker(site& owner, place where);
  worker(const worker&) = delete;
  worker(worker&&) = delete;
  worker& operator=(const worker&) = delete;
  worker& operator=(worker&&) = delete;
  ~worker();

  /// Begins a new incarnation under the same id, which writes its entry before it takes calls.
  [[nodiscard]] bool start();
  /// The process is gone with all that it ran. Its entry stays until it expires.
  void crash();
  [[nodiscard]] bool up() const { return server_ != nullptr; }
  [[nodiscard]] const place& where() const { return place_; }
  void set_kind(std::string kind) { place_.kind = std::move(kind); }
  [[nodiscard]] bool runs(const std::string& task) const { return running_.contains(task); }
  [[nodiscard]] std::vector<std::string> running() const;
  [[nodiscard]] bool idle() const { return running_.empty(); }
  /// Whether the task is at work: a task that lasts has started up, and is not being stopped.
  [[nodiscard]] bool at_work(const std::string& task) const;
  void advance();

 private:
  struct active_run {
    std::uint64_t run{0};
    task_plan plan;
    instant started_at{};
    instant stop_at{};
    int cpu{0};
    int memory_mb{0};
    int accelerators{0};
  };
  struct waiting_hold {
    http_responder reply;
    instant until{};
  };

  void write_entry();
  [[nodiscard]] std::int64_t clock_ms() const;
  [[nodiscard]] http_response respond(int status, nlohmann::json body) const;
  void handle(const http_request& request, const http_responder& reply);
  [[nodiscard]] http_response start_run(const nlohmann::json& body);
  [[nodiscard]] http_response stop_run(const nlohmann::json& body);
  [[nodiscard]] http_response hold(const nlohmann::json& body);
  [[nodiscard]] http_response lists() const;
  void extend_lease(const nlohmann::json& body);
  void end(const std::string& task, const std::string& how);
  [[nodiscard]] bool fits(const active_run& wanted) const;

  site& site_;
  place place_;
  std::unique_ptr<http_server> server_;
  std::int64_t born_{0};
  instant started_at_{};
  std::int64_t clock_offset_ms_{0};
  std::int64_t lease_until_ms_{0};
  std::uint64_t fencing_token_{0};
  std::uint64_t sequence_{0};
  std::uint64_t next_end_{1};
  instant last_entry_at_{};
  bool entry_present_{false};
  std::map<std::string, active_run> running_;
  std::map<std::string, std::uint64_t> highest_ended_;
  std::vector<nlohmann::json> ends_;
  std::vector<waiting_hold> waiting_;
};

}  // namespace rhubarbpath::review

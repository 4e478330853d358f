#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "../../tests/platform/soak/store_stand_in.hpp"
#include "rhubarbpath/transport/event_loop.hpp"
#include "rhubarbpath/transport/http_server.hpp"

namespace rhubarbpath::review {

struct amounts {
  std::int64_t cpu{0};
  std::int64_t memory_mb{0};
  std::int64_t accelerators{0};

  void add(const amounts& other, int sign) {
    cpu += sign * other.cpu;
    memory_mb += sign * other.memory_mb;
    accelerators += sign * other.accelerators;
  }
  [[nodiscard]] bool within(const amounts& limit) const {
    return cpu <= limit.cpu && memory_mb <= limit.memory_mb && accelerators <= limit.accelerators;
  }
};

/// What the tasks of a step need, and how long one of them runs. Tasks that last have no run time.
struct step_plan {
  amounts each;
  duration run_time{};
  bool lasts{false};
  std::uint32_t gang_members{0};  ///< 0 for a step without gangs.
};

/// What happened to a run, as its worker saw it.
struct run_event {
  instant at{};
  std::string worker;
  std::string task;
  std::uint64_t run{0};
  std::string what;  ///< "start", or how the run ended.
};

/// What all workers of a case share: the plans of steps by "JOB.STEP", and the record of runs.
struct work_record {
  std::map<std::string, step_plan> plans;
  std::vector<run_event> events;
  std::function<void(const run_event&)> on_event;
};

/// A sound worker, as the users' pages describe it. Its clock is exact.
class worker {
 public:
  struct options {
    std::string id;
    std::string address;  ///< IP number.
    std::uint16_t port{0};
    std::string advertised_address;  ///< With its port, as the entry has it.
    std::string zone;
    std::string rack;
    std::string service;
    amounts capacity;
    bool guards_capacity{true};
    duration heartbeat{};
    duration stop_time{};
    duration longest_lease{};
  };
  /// Orders for which it returns true get no answer and are carried out seconds later.
  using order_filter = std::function<bool(const std::string& path, const nlohmann::json& body)>;

  worker(event_loop& loop, soak::store_stand_in& store, work_record& record, options opts);

  [[nodiscard]] bool listen();
  /// Ends as in a crash: all runs are gone, its entry expires after three heartbeats.
  void crash();
  /// Starts again under its id, at its address.
  [[nodiscard]] bool start_again();
  /// Reports that it drains, and that it stays for that long at least.
  void drain(duration stays);
  void carry_out_late(order_filter filter) { late_ = std::move(filter); }
  /// Reports every change of what runs and ends.
  void advance();

  [[nodiscard]] const options& settings() const noexcept { return opts_; }
  [[nodiscard]] bool up() const noexcept { return server_ != nullptr; }
  [[nodiscard]] const amounts& in_use() const noexcept { return used_; }
  [[nodiscard]] std::size_t run_count() const noexcept { return runs_.size(); }
  [[nodiscard]] bool runs(const std::string& task) const { return runs_.contains(task); }
  [[nodiscard]] std::optional<std::uint64_t> run_of(const std::string& task) const;

 private:
  struct active_run {
    const step_plan* plan{nullptr};
    std::uint64_t run{0};
    instant accepted_at{};
    instant work_since{};
    instant stops_at{};
  };
  struct waiting_report {
    instant until{};
    http_responder reply;
  };

  void handle(const http_request& request, const http_responder& reply);
  [[nodiscard]] http_response execute(const std::string& path, const nlohmann::json& body);
  [[nodiscard]] http_response hold(const nlohmann::json& body);
  [[nodiscard]] http_response start(const nlohmann::json& body);
  [[nodiscard]] http_response stop(const nlohmann::json& body);
  [[nodiscard]] http_response report() const;
  [[nodiscard]] http_response respond(int status, nlohmann::json body) const;
  [[nodiscard]] std::int64_t clock_ms() const;
  void extend_lease(const nlohmann::json& body);
  void end(const std::string& task, const std::string& how);
  void note(const std::string& task, std::uint64_t run, const std::string& what);
  [[nodiscard]] const step_plan* plan_of(const std::string& task) const;
  void write_entry();

  event_loop& loop_;
  soak::store_stand_in& store_;
  work_record& record_;
  options opts_;
  order_filter late_;
  bool carries_out_late_{false};  ///< The order that is carried out arrived seconds ago.
  std::unique_ptr<http_server> server_;
  std::int64_t born_{0};
  instant started_at_{};
  bool draining_{false};
  instant stays_until_{};  ///< While it drains.
  std::uint64_t fence_{0};
  std::int64_t lease_until_ms_{0};
  std::map<std::string, active_run> runs_;
  amounts used_;
  std::map<std::string, std::uint64_t> highest_ended_;
  std::vector<nlohmann::json> ends_;
  std::uint64_t last_end_{0};
  std::uint64_t sequence_{0};
  instant next_entry_at_{};
  instant entry_expires_at_{};
  std::vector<waiting_report> waiting_;
  std::vector<http_responder> hanging_;
};

}  // namespace rhubarbpath::review

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "worker_fleet.hpp"

namespace rhubarbpath::soak {

inline constexpr std::uint64_t percent_range = 100;

[[nodiscard]] std::optional<task_name> parse_task(const std::string& text);
[[nodiscard]] std::string wire_name(const task_name& task);

/// One simulated worker. It runs tasks under a lease that is measured on its own clock, which runs up to 2 %
/// slow.
class worker_stand_in {
 public:
  struct place {
    std::string zone;
    std::string rack;
    std::string kind;
    std::string address;
    std::uint16_t port{0};
    std::string advertised_address;
  };

  worker_stand_in(worker_fleet& fleet, std::string id, place where);

  [[nodiscard]] absl::Status listen();
  [[nodiscard]] const std::string& id() const { return id_; }
  [[nodiscard]] const place& where() const { return place_; }
  [[nodiscard]] bool present() const { return server_ != nullptr; }
  [[nodiscard]] bool draining() const { return draining_; }
  [[nodiscard]] instant alive_since() const { return reset_at_; }
  [[nodiscard]] amounts used() const;
  [[nodiscard]] int count_of_step(const std::string& job, int step) const;
  /// Jobs of which something runs here, or has ended without an acknowledgement.
  [[nodiscard]] std::set<std::string> jobs() const;

  void restart();
  void drain(duration stays);
  void stop(bool left);
  void start(bool same_id);
  void advance();

  /// Returns true when this worker runs the given gang member and is not stopping it.
  [[nodiscard]] bool has_member(const task_name& task, std::uint64_t run) const;
  /// The gang is complete; its work takes `factor` times as long as near its data in one rack.
  void begin_work(const task_name& task, instant now, int factor);
  void end_member(const task_name& task, std::uint64_t run, const std::string& outcome);
  [[nodiscard]] const std::string& checkpoint(const task_name& task) const {
    return running_.at(task).resumed_from;
  }

  worker_faults faults;

 private:
  struct active_task {
    std::uint64_t run{0};
    instant accepted_at{};
    instant work_started_at{};  ///< Zero for a gang member until the gang is complete.
    duration run_time{};        ///< Of all work, in the best place.
    duration resumed_at{};      ///< The work that an earlier run has saved.
    int factor{1};              ///< Work takes this many times as long here.
    bool gang{false};
    bool checkpointing{false};
    bool lasts{false};
    std::string resumed_from;  ///< The checkpoint that its start carried.
    std::string saved;
    instant stop_at{};
    instant fails_at{};
  };
  struct waiting_call {
    std::uint64_t acknowledged{0};
    instant until{};
    http_responder reply;
  };

  void lose_everything();
  void reset();
  [[nodiscard]] std::int64_t clock_ms() const;
  void write_row(instant now);
  void handle(const http_request& request, const http_responder& reply);
  [[nodiscard]] http_response execute(const http_request& request);
  [[nodiscard]] http_response renew_lease(const nlohmann::json& body);
  [[nodiscard]] http_response report();
  [[nodiscard]] http_response stop(const task_name& task, std::uint64_t run);
  [[nodiscard]] http_response start(const nlohmann::json& body, const task_name& task, std::uint64_t run);
  [[nodiscard]] bool has_room(const soak_step& wanted) const;
  [[nodiscard]] active_task make_active(const nlohmann::json& body, const task_name& task,
                                        const soak_step& step);
  void start_gang_if_complete(const task_name& task, const soak_step& step, std::uint64_t run);
  /// The work done so far, with what earlier runs have saved.
  [[nodiscard]] static duration worked(const active_task& active, instant now);
  void save(const task_name& task, active_task& active, instant now, bool at_stop) const;
  [[nodiscard]] static int percent(const active_task& active, instant now);
  /// Ends a task. For a gang member, ends the other members too: as done if this one is done, else as broken.
  void end_with_gang(const task_name& key, const std::string& outcome);
  void end(const task_name& task, const std::string& outcome, bool done);
  /// Allows tasks to run again whose end was lost with the worker or not acknowledged before the lease
  /// expired, because no owner may know that they ended.
  void allow_rerun_of_unacknowledged_ends();
  void answer_waiting(instant now);
  void extend_lease(const nlohmann::json& body);
  [[nodiscard]] http_response respond(int status, nlohmann::json body) const;

  worker_fleet& fleet_;
  std::string name_;
  std::string id_;  ///< The name, or the name and a number after it was replaced.
  int generation_{0};
  bool draining_{false};
  instant stays_until_{};  ///< While it drains.
  place place_;
  double clock_rate_;
  std::int64_t born_{0};
  std::int64_t last_born_{0};
  instant reset_at_{};
  std::int64_t clock_offset_ms_{0};
  std::uint64_t fencing_token_{0};
  std::int64_t lease_until_ms_{0};
  std::map<task_name, active_task> running_;
  std::map<task_name, std::uint64_t> highest_ended_run_;
  std::vector<nlohmann::json> unacknowledged_ends_;
  std::uint64_t next_end_number_{1};
  std::uint64_t sequence_{0};
  instant next_row_write_{};
  instant last_row_write_{};
  bool carries_out_late_{false};  ///< The order being executed arrived long ago.
  std::vector<waiting_call> waiting_calls_;
  std::vector<http_responder> unanswered_;
  std::unique_ptr<http_server> server_;  ///< Empty while the worker is stopped.
};

}  // namespace rhubarbpath::soak

#include "worker_fleet.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <optional>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

namespace rhubarbpath::soak {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr duration tick_period{milliseconds{20}};
constexpr duration heartbeat_period{milliseconds{700}};
/// The row of a worker that has not written it for three heartbeats is removed.
constexpr duration row_lifetime = 3 * heartbeat_period;
constexpr std::int64_t longest_lease_ms = 10'000;
constexpr duration stop_duration{milliseconds{120}};
/// A gang member ends when the rest of its gang has not arrived within this time.
constexpr duration gang_timeout{std::chrono::seconds{4}};
constexpr std::uint64_t percent_range = 100;
constexpr std::size_t max_ends_per_report = 500;
constexpr int worker_cpu = 8000;
constexpr int worker_memory_mb = 16'000;
constexpr int worker_accelerators = 4;

std::optional<task_name> parse_task(const std::string& text) {
  const std::vector<std::string> parts = absl::StrSplit(text, '.');
  task_name task;
  if (parts.size() != 4 || !absl::SimpleAtoi(parts[2], &task.step) ||
      !absl::SimpleAtoi(parts[3], &task.index)) {
    return std::nullopt;
  }
  task.job = parts[0];
  return task;
}

std::string wire_name(const task_name& task) {
  return fmt::format("{}.0.{}.{}", task.job, task.step, task.index);
}

}  // namespace

/// One simulated worker. It runs tasks under a lease that is measured on its own clock, which runs up to 2 %
/// slow.
class worker_stand_in {
 public:
  worker_stand_in(worker_fleet& fleet, std::string id, std::string zone, const std::string& address,
                  std::uint16_t port, std::string advertised_address)
      : fleet_{fleet},
        name_{std::move(id)},
        id_{name_},
        zone_{std::move(zone)},
        address_{address},
        port_{port},
        advertised_address_{std::move(advertised_address)},
        clock_rate_{1.0 - 0.02 * fleet.random_.fraction()} {
    reset();
  }

  [[nodiscard]] absl::Status listen() {
    server_ = std::make_unique<http_server>(
        fleet_.loop_, http_server::options{.address = address_, .port = port_},
        [this](const http_request& request, const http_responder& reply) { handle(request, reply); });
    return server_->listen();
  }
  [[nodiscard]] const std::string& id() const { return id_; }
  [[nodiscard]] bool present() const { return server_ != nullptr; }

  void restart() {
    lose_everything();
    reset();
  }
  void drain(duration stays) {
    draining_ = true;
    stays_until_ = fleet_.loop_.now() + stays;
    next_row_write_ = instant{};
  }
  void stop(bool left) {
    lose_everything();
    waiting_calls_.clear();
    unanswered_.clear();
    server_.reset();
    const auto expires_at = left ? fleet_.loop_.now() : last_row_write_ + row_lifetime;
    fleet_.expiring_rows_.push_back({.key = "servers/" + id_, .expires_at = expires_at});
  }
  void start(bool same_id) {
    if (same_id) {
      std::erase_if(fleet_.expiring_rows_, [&](const auto& row) { return row.key == "servers/" + id_; });
    } else {
      id_ = fmt::format("{}-{}", name_, ++generation_);
    }
    draining_ = false;
    reset();
    if (!listen().ok()) {
      fleet_.violation("the stand-in of " + id_ + " cannot listen again");
    }
  }

  void advance() {
    if (!present()) {
      return;
    }
    const auto now = fleet_.loop_.now();
    write_row(now);
    if (clock_ms() > lease_until_ms_) {
      while (!running_.empty()) {
        end_with_gang(running_.begin()->first, "lapsed");
      }
      allow_rerun_of_unacknowledged_ends();
    }
    std::vector<std::pair<task_name, std::string>> ending_tasks;
    for (const auto& [task, active] : running_) {
      if (active.stop_at != instant{} && active.stop_at <= now) {
        ending_tasks.emplace_back(task, "stopped");
      } else if (active.fails_at != instant{} && active.fails_at <= now) {
        ending_tasks.emplace_back(task, "failed");
      } else if (active.gang && active.work_started_at == instant{} &&
                 now - active.accepted_at > gang_timeout) {
        ending_tasks.emplace_back(task, "alone");
      } else if (active.work_started_at != instant{} && now - active.work_started_at >= active.run_time) {
        ending_tasks.emplace_back(task, "done");
      }
    }
    for (const auto& [task, outcome] : ending_tasks) {
      if (running_.contains(task)) {
        end_with_gang(task, outcome);
      }
    }
    answer_waiting(now);
  }

  /// Returns true when this worker runs the given gang member and is not stopping it.
  [[nodiscard]] bool has_member(const task_name& task, std::uint64_t run) const {
    const auto found = running_.find(task);
    return found != running_.end() && found->second.run == run && found->second.stop_at == instant{};
  }
  void begin_work(const task_name& task, instant now) { running_.at(task).work_started_at = now; }
  void end_member(const task_name& task, std::uint64_t run, const std::string& outcome) {
    const auto found = running_.find(task);
    if (found != running_.end() && found->second.run == run) {
      end(task, outcome, outcome == "done");
    }
  }

  worker_faults faults;

 private:
  struct active_task {
    std::uint64_t run{0};
    instant accepted_at{};
    instant work_started_at{};  ///< Zero for a gang member until the gang is complete.
    duration run_time{};
    bool gang{false};
    instant stop_at{};
    instant fails_at{};
  };
  void lose_everything() {
    while (!running_.empty()) {
      end_with_gang(running_.begin()->first, "lost with its worker");
    }
    allow_rerun_of_unacknowledged_ends();
  }
  struct waiting_call {
    std::uint64_t acknowledged{0};
    instant until{};
    http_responder reply;
  };

  void reset() {
    born_ = std::chrono::duration_cast<milliseconds>(fleet_.loop_.now() - instant{}).count();
    born_ = std::max(born_, last_born_ + 1);
    last_born_ = born_;
    reset_at_ = fleet_.loop_.now();
    clock_offset_ms_ = static_cast<std::int64_t>(fleet_.random_.below(100'000));
    fencing_token_ = 0;
    lease_until_ms_ = 0;
    unacknowledged_ends_.clear();
    next_end_number_ = 1;
    highest_ended_run_.clear();
    sequence_ = 0;
    next_row_write_ = instant{};
  }
  [[nodiscard]] std::int64_t clock_ms() const {
    const auto uptime = std::chrono::duration_cast<milliseconds>(fleet_.loop_.now() - reset_at_).count();
    return clock_offset_ms_ + static_cast<std::int64_t>(static_cast<double>(uptime) * clock_rate_);
  }
  void write_row(instant now) {
    const auto key = "servers/" + id_;
    if (faults.store_unreachable || fleet_.store_.faults.down) {
      if (now - last_row_write_ > row_lifetime) {
        fleet_.store_.erase(key);
      }
      return;
    }
    if (now < next_row_write_) {
      return;
    }
    next_row_write_ = now + heartbeat_period;
    last_row_write_ = now;
    json row{{"service", "render"},
             {"address", advertised_address_},
             {"zone", zone_},
             {"version", "v1"},
             {"slots", 8},
             {"state", draining_ ? "draining" : "ready"},
             {"coldRemainingMs", 0},
             {"seq", ++sequence_},
             {"born", born_},
             {"labels", {"kind-a", zone_ + "-r1"}},
             {"capacity", {{"cpu", worker_cpu}, {"memMb", worker_memory_mb}, {"gpu", worker_accelerators}}}};
    if (draining_) {
      const auto stays = std::max(duration::zero(), stays_until_ - now);
      row["drainRemainingMs"] = std::chrono::duration_cast<milliseconds>(stays).count();
    }
    fleet_.store_.put(key, row.dump());
  }

  void handle(const http_request& request, const http_responder& reply) {
    const auto draw_fault = [&](int percent) {
      return percent > 0 && fleet_.random_.below(percent_range) < static_cast<std::uint64_t>(percent);
    };
    if (std::string{header_value(request.headers, "Expect-Instance")} != id_) {
      reply.send({.status = 421, .headers = {}, .body = {}});
      return;
    }
    if (draw_fault(faults.late_orders_percent)) {
      unanswered_.push_back(reply);
      fleet_.loop_.run_detached(milliseconds{300 + fleet_.random_.below(2500)},
                                [this, request, born = born_] {
                                  if (born == born_ && present()) {
                                    static_cast<void>(execute(request));
                                  }
                                });
      return;
    }
    const bool lose_answer = draw_fault(faults.lost_answers_percent);
    const auto body = json::parse(request.body, nullptr, false);
    const auto wait = body.is_object() ? body.value("waitMs", 0) : 0;
    const auto response = execute(request);
    if (lose_answer) {
      unanswered_.push_back(reply);
    } else if (request.path == "/api/hold" && response.status == 200 && wait > 0 &&
               unacknowledged_ends_.empty()) {
      waiting_calls_.push_back(
          {.acknowledged = 0, .until = fleet_.loop_.now() + milliseconds{wait}, .reply = reply});
    } else {
      reply.send(response);
    }
  }

  http_response execute(const http_request& request) {
    const auto body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
      return respond(400, {});
    }
    if (const auto token = body.value("fencingToken", std::uint64_t{0}); token < fencing_token_) {
      return respond(409, {{"reason", "fence"}});
    } else {
      fencing_token_ = token;
    }
    if (request.path == "/api/hold") {
      return renew_lease(body);
    }
    const auto task = parse_task(body.value("task", ""));
    const auto run = body.value("run", std::uint64_t{0});
    if (!task || run == 0) {
      return respond(400, {});
    }
    if (request.path == "/api/run-stop") {
      return stop(*task, run);
    }
    if (fleet_.random_.below(percent_range) < static_cast<std::uint64_t>(faults.unhealthy_percent)) {
      return respond(run % 2 == 0 ? 429 : 503, json::object());
    }
    return start(body, *task, run);
  }

  http_response renew_lease(const json& body) {
    const auto acknowledged = body.value("ackedThrough", std::uint64_t{0});
    std::erase_if(unacknowledged_ends_,
                  [&](const json& each) { return each[0].get<std::uint64_t>() <= acknowledged; });
    extend_lease(body);
    return report();
  }
  http_response report() const {
    json running = json::array();
    for (const auto& [task, active] : running_) {
      const auto worked = active.work_started_at == instant{} ? duration::zero()
                                                              : fleet_.loop_.now() - active.work_started_at;
      running.push_back({wire_name(task), active.run, "",
                         std::min<std::int64_t>(100, worked.count() * 100 / active.run_time.count())});
    }
    // Like on the platform, a full list may not be the whole one.
    json finished = json::array();
    for (std::size_t i = 0; i < std::min(max_ends_per_report, unacknowledged_ends_.size()); ++i) {
      finished.push_back(unacknowledged_ends_[i]);
    }
    return respond(200, {{"running", std::move(running)}, {"finished", std::move(finished)}});
  }
  http_response stop(const task_name& task, std::uint64_t run) {
    const auto found = running_.find(task);
    if (found != running_.end() && found->second.run <= run) {
      if (found->second.stop_at == instant{}) {
        found->second.stop_at = fleet_.loop_.now() + stop_duration;
      }
    }
    highest_ended_run_[task] = std::max(highest_ended_run_[task], run);
    return respond(200, json::object());
  }
  http_response start(const json& body, const task_name& task, std::uint64_t run) {
    const auto deadline = body.value("deadlineMs", std::int64_t{0});
    if (const auto found = running_.find(task); found != running_.end() && found->second.run == run) {
      return respond(200, json::object());
    }
    if (deadline <= clock_ms()) {
      return respond(409, {{"reason", "late"}});
    }
    extend_lease(body);
    const auto ended = highest_ended_run_.find(task);
    if (running_.contains(task) || (ended != highest_ended_run_.end() && run <= ended->second)) {
      return respond(409, {{"reason", "old"}});
    }
    const auto* step = fleet_.find_step(task);
    if (step == nullptr) {
      return respond(400, {});
    }
    if (!has_room(*step)) {
      return respond(409, {{"reason", "room"}});
    }
    const auto now = fleet_.loop_.now();
    active_task added{.run = run, .accepted_at = now, .run_time = step->run_time, .gang = step->gang};
    if (fleet_.random_.below(percent_range) < static_cast<std::uint64_t>(faults.failed_starts_percent)) {
      added.fails_at = now + milliseconds{100};
    }
    added.work_started_at = step->gang ? instant{} : now;
    running_[task] = added;
    fleet_.run_started(task, run, id_);
    if (step->gang) {
      start_gang_if_complete(task, *step, run);
    }
    return respond(200, json::object());
  }
  [[nodiscard]] bool has_room(const soak_step& wanted) const {
    int cpu = wanted.cpu;
    int memory = wanted.memory_mb;
    int accelerators = wanted.accelerators;
    for (const auto& [task, active] : running_) {
      const auto* step = fleet_.find_step(task);
      cpu += step->cpu;
      memory += step->memory_mb;
      accelerators += step->accelerators;
    }
    return cpu <= worker_cpu && memory <= worker_memory_mb && accelerators <= worker_accelerators;
  }
  void start_gang_if_complete(const task_name& task, const soak_step& step, std::uint64_t run) {
    std::vector<std::pair<worker_stand_in*, task_name>> members;
    for (int i = 0; i < step.count; ++i) {
      const task_name member{.job = task.job, .step = task.step, .index = i};
      for (const auto& worker : fleet_.workers_) {
        if (worker->has_member(member, run)) {
          members.emplace_back(worker.get(), member);
        }
      }
    }
    if (members.size() == static_cast<std::size_t>(step.count)) {
      for (const auto& [worker, member] : members) {
        worker->begin_work(member, fleet_.loop_.now());
      }
    }
  }

  /// Ends a task. For a gang member, ends the other members too: as done if this one is done, else as broken.
  void end_with_gang(const task_name& key, const std::string& outcome) {
    const auto task = key;  // `key` may refer to the key of the entry that is erased below.
    const auto active = running_.at(task);
    end(task, outcome, outcome == "done");
    if (!active.gang) {
      return;
    }
    const auto* step = fleet_.find_step(task);
    for (int i = 0; i < step->count; ++i) {
      const task_name member{.job = task.job, .step = task.step, .index = i};
      for (const auto& worker : fleet_.workers_) {
        worker->end_member(member, active.run, outcome == "done" ? "done" : "broken");
      }
    }
  }
  void end(const task_name& task, const std::string& outcome, bool done) {
    const auto run = running_.at(task).run;
    running_.erase(task);
    highest_ended_run_[task] = std::max(highest_ended_run_[task], run);
    unacknowledged_ends_.push_back({next_end_number_++, wire_name(task), run, outcome, ""});
    fleet_.run_ended(task, run, id_, done);
  }
  /// Allows tasks to run again whose end was lost with the worker or not acknowledged before the lease
  /// expired, because no owner may know that they ended.
  void allow_rerun_of_unacknowledged_ends() {
    for (const auto& each : unacknowledged_ends_) {
      if (each[3] == "done") {
        fleet_.rerun_allowed_.insert(*parse_task(each[1].get<std::string>()));
      }
    }
  }
  void answer_waiting(instant now) {
    std::erase_if(waiting_calls_, [&](const waiting_call& each) {
      if (!unacknowledged_ends_.empty() || each.until <= now) {
        each.reply.send(report());
        return true;
      }
      return !each.reply.open();
    });
    std::erase_if(unanswered_, [](const http_responder& each) { return !each.open(); });
  }
  void extend_lease(const json& body) {
    const auto deadline = std::min(body.value("deadlineMs", std::int64_t{0}), clock_ms() + longest_lease_ms);
    lease_until_ms_ = std::max(lease_until_ms_, deadline);
  }
  [[nodiscard]] http_response respond(int status, json body) const {
    body["clockMs"] = clock_ms();
    body["born"] = born_;
    return {.status = status, .headers = {{"Content-Type", "application/json"}}, .body = body.dump()};
  }

  worker_fleet& fleet_;
  std::string name_;
  std::string id_;  ///< The name, or the name and a number after it was replaced.
  int generation_{0};
  bool draining_{false};
  instant stays_until_{};  ///< While it drains.
  std::string zone_;
  std::string address_;
  std::uint16_t port_{0};
  std::string advertised_address_;
  double clock_rate_;
  std::int64_t born_{0};
  std::int64_t last_born_{0};
  instant reset_at_{};
  std::int64_t clock_offset_ms_{0};
  std::uint64_t fencing_token_{0};
  std::int64_t lease_until_ms_{0};
  std::map<task_name, active_task> running_;
  std::map<task_name, std::uint64_t> highest_ended_run_;
  std::vector<json> unacknowledged_ends_;
  std::uint64_t next_end_number_{1};
  std::uint64_t sequence_{0};
  instant next_row_write_{};
  instant last_row_write_{};
  std::vector<waiting_call> waiting_calls_;
  std::vector<http_responder> unanswered_;
  std::unique_ptr<http_server> server_;  ///< Empty while the worker is stopped.
};

worker_fleet::worker_fleet(event_loop& loop, store_stand_in& store, random_source& random)
    : loop_{loop}, store_{store}, random_{random}, tick_timer_{loop.run_every(tick_period, [this] {
        advance();
      })} {}

worker_fleet::~worker_fleet() = default;

absl::Status worker_fleet::add(const std::string& address, std::uint16_t port,
                               const std::string& advertised_address) {
  const auto number = workers_.size();
  workers_.push_back(std::make_unique<worker_stand_in>(*this, fmt::format("w-{:02}", number),
                                                       fmt::format("zone-{}", number % 2), address, port,
                                                       advertised_address));
  return workers_.back()->listen();
}

worker_faults& worker_fleet::faults(std::size_t worker) {
  return workers_.at(worker)->faults;
}

void worker_fleet::restart(std::size_t worker) {
  workers_.at(worker)->restart();
}

void worker_fleet::drain(std::size_t worker, duration stays) {
  workers_.at(worker)->drain(stays);
}

void worker_fleet::stop(std::size_t worker, bool left) {
  workers_.at(worker)->stop(left);
}

void worker_fleet::start(std::size_t worker, bool same_id) {
  workers_.at(worker)->start(same_id);
}

bool worker_fleet::present(std::size_t worker) const {
  return workers_.at(worker)->present();
}

bool worker_fleet::all_done(const std::string& job) const {
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) {
    return false;
  }
  for (std::size_t step = 0; step < found->second.size(); ++step) {
    for (int i = 0; i < found->second[step].count; ++i) {
      if (!done_.contains({.job = job, .step = static_cast<int>(step), .index = i})) {
        return false;
      }
    }
  }
  return true;
}

bool worker_fleet::running(const std::string& job) const {
  return std::any_of(running_.begin(), running_.end(),
                     [&](const auto& each) { return each.first.job == job; });
}

std::set<std::string> worker_fleet::workers_of(const std::string& job) const {
  const auto found = started_.find(job);
  return found == started_.end() ? std::set<std::string>{} : found->second;
}

const soak_step* worker_fleet::find_step(const task_name& task) const {
  const auto found = jobs_.find(task.job);
  const auto step = static_cast<std::size_t>(task.step);
  return found == jobs_.end() || step >= found->second.size() ? nullptr : &found->second[step];
}

void worker_fleet::run_started(const task_name& task, std::uint64_t run, const std::string& worker) {
  ++run_count_;
  started_[task.job].insert(worker);
  if (const auto other = running_.find(task); other != running_.end()) {
    violation(fmt::format("TWICE: {} was started as run {} on {} while it runs on {}", wire_name(task), run,
                          worker, other->second));
  }
  if (done_.contains(task) && !rerun_allowed_.contains(task)) {
    violation(fmt::format("TWICE: {} was started as run {} on {} after it had ended as done", wire_name(task),
                          run, worker));
  }
  for (const auto dependency : find_step(task)->after) {
    for (int i = 0; i < jobs_.at(task.job)[static_cast<std::size_t>(dependency)].count; ++i) {
      if (!done_.contains({.job = task.job, .step = dependency, .index = i})) {
        violation(fmt::format("ORDER: {} was started before step {} was done", wire_name(task), dependency));
        return;
      }
    }
  }
  running_[task] = worker;
}

void worker_fleet::run_ended(const task_name& task, std::uint64_t run, const std::string& worker, bool done) {
  if (const auto found = running_.find(task); found != running_.end() && found->second == worker) {
    running_.erase(found);
  }
  if (done && !done_.insert(task).second && !rerun_allowed_.contains(task)) {
    violation(fmt::format("TWICE: {} ended as done again with run {} on {}", wire_name(task), run, worker));
  }
}

void worker_fleet::advance() {
  std::erase_if(expiring_rows_, [this](const expiring_row& row) {
    const bool expired = loop_.now() >= row.expires_at;
    if (expired) {
      store_.erase(row.key);
    }
    return expired;
  });
  for (const auto& worker : workers_) {
    worker->advance();
  }
}

}  // namespace rhubarbpath::soak

#include "worker_stand_in.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

namespace rhubarbpath::soak {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr duration heartbeat_period{milliseconds{700}};
/// The row of a worker that has not written it for three heartbeats is removed.
constexpr duration row_lifetime = 3 * heartbeat_period;
constexpr duration stop_duration{milliseconds{120}};
/// A gang member ends when the rest of its gang has not arrived within this time.
constexpr duration gang_timeout{std::chrono::seconds{4}};
constexpr duration checkpoint_period{std::chrono::seconds{2}};
constexpr duration restore_duration{milliseconds{600}};
/// A task that lasts is at work from then on.
constexpr duration lasting_startup{milliseconds{400}};
constexpr std::size_t max_ends_per_report = 500;

/// Who shares the checkpoints of a task: the members of a gang do.
std::string checkpoint_owner(const task_name& task, bool gang) {
  return gang ? fmt::format("{}.{}", task.job, task.step) : wire_name(task);
}

}  // namespace

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

worker_stand_in::worker_stand_in(worker_fleet& fleet, std::string id, place where)
    : fleet_{fleet},
      name_{std::move(id)},
      id_{name_},
      place_{std::move(where)},
      clock_rate_{1.0 - 0.02 * fleet.random_.fraction()} {
  reset();
}

absl::Status worker_stand_in::listen() {
  server_ = std::make_unique<http_server>(
      fleet_.loop_, http_server::options{.address = place_.address, .port = place_.port},
      [this](const http_request& request, const http_responder& reply) { handle(request, reply); });
  return server_->listen();
}

amounts worker_stand_in::used() const {
  amounts sum;
  for (const auto& [task, active] : running_) {
    sum += needs(*fleet_.find_step(task));
  }
  return sum;
}

int worker_stand_in::count_of_step(const std::string& job, int step) const {
  return static_cast<int>(std::count_if(running_.begin(), running_.end(), [&](const auto& each) {
    return each.first.job == job && each.first.step == step;
  }));
}

std::set<std::string> worker_stand_in::jobs() const {
  std::set<std::string> found;
  for (const auto& [task, active] : running_) {
    found.insert(task.job);
  }
  for (const auto& each : unacknowledged_ends_) {
    found.insert(parse_task(each[1].get<std::string>())->job);
  }
  return found;
}

void worker_stand_in::restart() {
  lose_everything();
  reset();
}

void worker_stand_in::drain(duration stays) {
  draining_ = true;
  stays_until_ = fleet_.loop_.now() + stays;
  next_row_write_ = instant{};
}

void worker_stand_in::stop(bool left) {
  lose_everything();
  waiting_calls_.clear();
  unanswered_.clear();
  server_.reset();
  const auto expires_at = left ? fleet_.loop_.now() : last_row_write_ + row_lifetime;
  fleet_.expiring_rows_.push_back({.key = "servers/" + id_, .expires_at = expires_at});
}

void worker_stand_in::start(bool same_id) {
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

void worker_stand_in::advance() {
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
  for (auto& [task, active] : running_) {
    save(task, active, now, false);
    if (active.stop_at != instant{} && active.stop_at <= now) {
      ending_tasks.emplace_back(task, "stopped");
    } else if (active.fails_at != instant{} && active.fails_at <= now) {
      ending_tasks.emplace_back(task, "failed");
    } else if (active.gang && active.work_started_at == instant{} &&
               now - active.accepted_at > gang_timeout) {
      ending_tasks.emplace_back(task, "alone");
    } else if (!active.lasts && worked(active, now) >= active.run_time) {
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

bool worker_stand_in::has_member(const task_name& task, std::uint64_t run) const {
  const auto found = running_.find(task);
  return found != running_.end() && found->second.run == run && found->second.stop_at == instant{};
}

void worker_stand_in::begin_work(const task_name& task, instant now, int factor) {
  auto& active = running_.at(task);
  active.work_started_at = now;
  active.factor = factor;
}

void worker_stand_in::end_member(const task_name& task, std::uint64_t run, const std::string& outcome) {
  const auto found = running_.find(task);
  if (found != running_.end() && found->second.run == run) {
    end(task, outcome, outcome == "done");
  }
}

void worker_stand_in::lose_everything() {
  while (!running_.empty()) {
    end_with_gang(running_.begin()->first, "lost with its worker");
  }
  allow_rerun_of_unacknowledged_ends();
}

void worker_stand_in::reset() {
  born_ = std::chrono::duration_cast<milliseconds>(fleet_.loop_.now() - instant{}).count();
  born_ = std::max(born_, last_born_ + 1);
  last_born_ = born_;
  reset_at_ = fleet_.loop_.now();
  clock_offset_ms_ = static_cast<std::int64_t>(fleet_.random_.below(100'000));
  // Some lives begin far from the last, so that a time of an earlier life means nothing.
  constexpr std::uint64_t far_share = 3;
  constexpr std::uint64_t far_ms = 1ULL << 40U;
  if (fleet_.places_random_.below(far_share) == 0) {
    clock_offset_ms_ += static_cast<std::int64_t>(fleet_.places_random_.below(far_ms));
  }
  fencing_token_ = 0;
  lease_until_ms_ = 0;
  unacknowledged_ends_.clear();
  next_end_number_ = 1;
  highest_ended_run_.clear();
  sequence_ = 0;
  next_row_write_ = instant{};
}

std::int64_t worker_stand_in::clock_ms() const {
  const auto uptime = std::chrono::duration_cast<milliseconds>(fleet_.loop_.now() - reset_at_).count();
  return clock_offset_ms_ + static_cast<std::int64_t>(static_cast<double>(uptime) * clock_rate_);
}

void worker_stand_in::write_row(instant now) {
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
           {"address", place_.advertised_address},
           {"zone", place_.zone},
           {"version", "v1"},
           {"slots", 8},
           {"state", draining_ ? "draining" : "ready"},
           {"coldRemainingMs", 0},
           {"seq", ++sequence_},
           {"born", born_},
           {"labels", {place_.kind, place_.rack}},
           {"capacity",
            {{"cpu", worker_capacity.cpu},
             {"memMb", worker_capacity.memory_mb},
             {"gpu", worker_capacity.accelerators}}}};
  if (draining_) {
    const auto stays = std::max(duration::zero(), stays_until_ - now);
    row["drainRemainingMs"] = std::chrono::duration_cast<milliseconds>(stays).count();
  }
  fleet_.store_.put(key, row.dump());
}

void worker_stand_in::handle(const http_request& request, const http_responder& reply) {
  const auto draw_fault = [&](int percent) {
    return percent > 0 && fleet_.random_.below(percent_range) < static_cast<std::uint64_t>(percent);
  };
  if (std::string{header_value(request.headers, "Expect-Instance")} != id_) {
    reply.send({.status = 421, .headers = {}, .body = {}});
    return;
  }
  if (draw_fault(faults.late_orders_percent)) {
    fleet_.order_unanswered(request.body);
    unanswered_.push_back(reply);
    fleet_.loop_.run_detached(milliseconds{300 + fleet_.random_.below(2500)}, [this, request, born = born_] {
      if (born == born_ && present()) {
        carries_out_late_ = true;
        static_cast<void>(execute(request));
        carries_out_late_ = false;
      }
    });
    return;
  }
  const bool lose_answer = draw_fault(faults.lost_answers_percent);
  const auto body = json::parse(request.body, nullptr, false);
  const auto wait = body.is_object() ? body.value("waitMs", 0) : 0;
  const auto response = execute(request);
  if (lose_answer) {
    fleet_.order_unanswered(request.body);
    unanswered_.push_back(reply);
  } else if (request.path == "/api/hold" && response.status == 200 && wait > 0 &&
             unacknowledged_ends_.empty()) {
    waiting_calls_.push_back(
        {.acknowledged = 0, .until = fleet_.loop_.now() + milliseconds{wait}, .reply = reply});
  } else {
    reply.send(response);
  }
}

http_response worker_stand_in::execute(const http_request& request) {
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

http_response worker_stand_in::renew_lease(const json& body) {
  const auto acknowledged = body.value("ackedThrough", std::uint64_t{0});
  std::erase_if(unacknowledged_ends_,
                [&](const json& each) { return each[0].get<std::uint64_t>() <= acknowledged; });
  extend_lease(body);
  return report();
}

http_response worker_stand_in::report() {
  const auto now = fleet_.loop_.now();
  json running = json::array();
  for (const auto& [task, active] : running_) {
    running.push_back({wire_name(task), active.run, active.saved, percent(active, now)});
  }
  // Like on the platform, a full list may not be the whole one.
  json finished = json::array();
  for (std::size_t i = 0; i < std::min(max_ends_per_report, unacknowledged_ends_.size()); ++i) {
    finished.push_back(unacknowledged_ends_[i]);
  }
  return respond(200, {{"running", std::move(running)}, {"finished", std::move(finished)}});
}

http_response worker_stand_in::stop(const task_name& task, std::uint64_t run) {
  const auto found = running_.find(task);
  if (found != running_.end() && found->second.run <= run) {
    if (found->second.stop_at == instant{}) {
      found->second.stop_at = fleet_.loop_.now() + stop_duration;
    }
  }
  highest_ended_run_[task] = std::max(highest_ended_run_[task], run);
  return respond(200, json::object());
}

http_response worker_stand_in::start(const json& body, const task_name& task, std::uint64_t run) {
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
  fleet_.check_rules_of_step(task, *step, *this);
  if (!carries_out_late_) {
    fleet_.check_evacuation(task, *this);
  }
  auto added = make_active(body, task, *step);
  added.run = run;
  running_[task] = std::move(added);
  fleet_.run_started(task, run, id_, place_.rack);
  if (step->gang) {
    start_gang_if_complete(task, *step, run);
  }
  return respond(200, json::object());
}

worker_stand_in::active_task worker_stand_in::make_active(const json& body, const task_name& task,
                                                          const soak_step& step) {
  const auto now = fleet_.loop_.now();
  active_task added{.accepted_at = now,
                    .run_time = step.run_time,
                    .factor = step.far_from_data(place_.rack) ? remote_factor : 1,
                    .gang = step.gang,
                    .checkpointing = step.checkpointing,
                    .lasts = step.long_running,
                    .resumed_from = body.value("checkpoint", ""),
                    .saved = {}};
  if (!added.resumed_from.empty()) {
    const std::vector<std::string> parts = absl::StrSplit(added.resumed_from, '@');
    std::int64_t saved_ms = 0;
    if (parts.size() != 2 || parts[0] != checkpoint_owner(task, step.gang) || !step.checkpointing ||
        !absl::SimpleAtoi(parts[1], &saved_ms)) {
      fleet_.violation(
          fmt::format("UNASKED: {} was started with checkpoint {}", wire_name(task), added.resumed_from));
    }
    added.saved = added.resumed_from;
    added.resumed_at = milliseconds{saved_ms};
  }
  if (fleet_.random_.below(percent_range) < static_cast<std::uint64_t>(faults.failed_starts_percent)) {
    added.fails_at = now + milliseconds{100};
  }
  constexpr std::uint64_t failing_share = 4;
  if (step.long_running && fleet_.places_random_.below(failing_share) == 0) {
    added.fails_at = now + milliseconds{1000 + fleet_.places_random_.below(6000)};
  }
  added.work_started_at = step.gang ? instant{} : now;
  return added;
}

bool worker_stand_in::has_room(const soak_step& wanted) const {
  return worker_capacity.covers(used() + needs(wanted));
}

void worker_stand_in::start_gang_if_complete(const task_name& task, const soak_step& step,
                                             std::uint64_t run) {
  std::vector<std::pair<worker_stand_in*, task_name>> members;
  for (int i = 0; i < step.count; ++i) {
    const task_name member{.job = task.job, .step = task.step, .index = i};
    for (const auto& worker : fleet_.workers_) {
      if (worker->has_member(member, run)) {
        members.emplace_back(worker.get(), member);
      }
    }
  }
  if (members.size() != static_cast<std::size_t>(step.count)) {
    return;
  }
  bool spread = false;
  bool far = false;
  for (const auto& [worker, member] : members) {
    spread = spread || worker->place_.rack != members.front().first->place_.rack;
    far = far || step.far_from_data(worker->place_.rack);
    if (worker->checkpoint(member) != members.front().first->checkpoint(members.front().second)) {
      fleet_.violation(
          fmt::format("GANG: the members of run {} of {} carry several checkpoints", run, wire_name(task)));
    }
  }
  const int factor = far || (step.same_rack && spread) ? remote_factor : 1;
  for (const auto& [worker, member] : members) {
    worker->begin_work(member, fleet_.loop_.now(), factor);
  }
}

duration worker_stand_in::worked(const active_task& active, instant now) {
  if (active.work_started_at == instant{}) {
    return active.resumed_at;
  }
  const auto restore = active.resumed_from.empty() ? duration::zero() : restore_duration;
  const auto at_work = std::max(duration::zero(), now - active.work_started_at - restore);
  return active.resumed_at + at_work / active.factor;
}

void worker_stand_in::save(const task_name& task, active_task& active, instant now, bool at_stop) const {
  if (!active.checkpointing || active.work_started_at == instant{}) {
    return;
  }
  auto done = worked(active, now);
  if (!at_stop) {
    done = done / checkpoint_period * checkpoint_period;
  }
  if (done > active.resumed_at && done > duration::zero()) {
    active.saved = fmt::format("{}@{}", checkpoint_owner(task, active.gang),
                               std::chrono::duration_cast<milliseconds>(done).count());
  }
}

int worker_stand_in::percent(const active_task& active, instant now) {
  if (active.work_started_at == instant{}) {
    return 0;
  }
  const auto done = active.lasts ? now - active.work_started_at : worked(active, now);
  const auto whole = active.lasts ? lasting_startup : active.run_time;
  return static_cast<int>(std::min<std::int64_t>(100, done.count() * 100 / whole.count()));
}

void worker_stand_in::end_with_gang(const task_name& key, const std::string& outcome) {
  const auto task = key;  // `key` may refer to the key of the entry that is erased below.
  const auto run = running_.at(task).run;
  const bool gang = running_.at(task).gang;
  end(task, outcome, outcome == "done");
  if (!gang) {
    return;
  }
  const auto* step = fleet_.find_step(task);
  for (int i = 0; i < step->count; ++i) {
    const task_name member{.job = task.job, .step = task.step, .index = i};
    for (const auto& worker : fleet_.workers_) {
      worker->end_member(member, run, outcome == "done" ? "done" : "broken");
    }
  }
}

void worker_stand_in::end(const task_name& task, const std::string& outcome, bool done) {
  auto& active = running_.at(task);
  if (outcome == "stopped") {
    save(task, active, fleet_.loop_.now(), true);
  }
  const auto run = active.run;
  unacknowledged_ends_.push_back({next_end_number_++, wire_name(task), run, outcome, active.saved});
  running_.erase(task);
  highest_ended_run_[task] = std::max(highest_ended_run_[task], run);
  fleet_.run_ended(task, run, id_, outcome, done);
}

void worker_stand_in::allow_rerun_of_unacknowledged_ends() {
  for (const auto& each : unacknowledged_ends_) {
    if (each[3] == "done") {
      fleet_.rerun_allowed_.insert(*parse_task(each[1].get<std::string>()));
    }
  }
}

void worker_stand_in::answer_waiting(instant now) {
  std::erase_if(waiting_calls_, [&](const waiting_call& each) {
    if (!unacknowledged_ends_.empty() || each.until <= now) {
      each.reply.send(report());
      return true;
    }
    return !each.reply.open();
  });
  std::erase_if(unanswered_, [](const http_responder& each) { return !each.open(); });
}

void worker_stand_in::extend_lease(const json& body) {
  const auto longest = std::chrono::duration_cast<milliseconds>(longest_lease).count();
  const auto deadline = std::min(body.value("deadlineMs", std::int64_t{0}), clock_ms() + longest);
  lease_until_ms_ = std::max(lease_until_ms_, deadline);
}

http_response worker_stand_in::respond(int status, json body) const {
  body["clockMs"] = clock_ms();
  body["born"] = born_;
  return {.status = status, .headers = {{"Content-Type", "application/json"}}, .body = body.dump()};
}

}  // namespace rhubarbpath::soak

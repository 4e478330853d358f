#include "worker.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

#include "rhubarbpath/transport/wall_clock.hpp"

namespace rhubarbpath::review {

namespace {

using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr std::size_t max_ends_per_report = 500;
/// Of orders that are carried out late.
constexpr duration order_delay{std::chrono::seconds{3}};
constexpr duration lasting_startup{milliseconds{300}};

}  // namespace

worker::worker(event_loop& loop, soak::store_stand_in& store, work_record& record, options opts)
    : loop_{loop}, store_{store}, record_{record}, opts_{std::move(opts)} {}

bool worker::listen() {
  born_ = std::max(born_ + 1, static_cast<std::int64_t>(wall_clock().count()));
  started_at_ = loop_.now();
  next_entry_at_ = {};
  server_ = std::make_unique<http_server>(
      loop_, http_server::options{.address = opts_.address, .port = opts_.port},
      [this](const http_request& request, const http_responder& reply) { handle(request, reply); });
  return server_->listen().ok();
}

void worker::crash() {
  for (const auto& [task, run] : runs_) {
    note(task, run.run, "lost with its worker");
  }
  runs_.clear();
  used_ = {};
  highest_ended_.clear();
  ends_.clear();
  last_end_ = 0;
  fence_ = 0;
  lease_until_ms_ = 0;
  draining_ = false;
  waiting_.clear();
  hanging_.clear();
  server_.reset();
}

bool worker::start_again() {
  return listen();
}

void worker::drain(duration stays) {
  draining_ = true;
  stays_until_ = loop_.now() + stays;
  next_entry_at_ = {};
  write_entry();
}

std::optional<std::uint64_t> worker::run_of(const std::string& task) const {
  const auto found = runs_.find(task);
  return found == runs_.end() ? std::nullopt : std::optional{found->second.run};
}

const step_plan* worker::plan_of(const std::string& task) const {
  // The plans leave out the occurrence, which is 0 here.
  const auto job_end = task.find('.');
  const auto step_begin = task.find('.', job_end + 1);
  const auto step_end = task.find('.', step_begin + 1);
  const auto found =
      record_.plans.find(task.substr(0, job_end) + task.substr(step_begin, step_end - step_begin));
  return found == record_.plans.end() ? nullptr : &found->second;
}

std::int64_t worker::clock_ms() const {
  return duration_cast<milliseconds>(loop_.now() - started_at_).count() + 1000;
}

void worker::note(const std::string& task, std::uint64_t run, const std::string& what) {
  record_.events.push_back({.at = loop_.now(), .worker = opts_.id, .task = task, .run = run, .what = what});
  if (record_.on_event) {
    record_.on_event(record_.events.back());
  }
}

void worker::end(const std::string& task, const std::string& how) {
  const auto run = runs_.at(task).run;
  used_.add(runs_.at(task).plan->each, -1);
  runs_.erase(task);
  highest_ended_[task] = std::max(highest_ended_[task], run);
  ends_.push_back(json::array({++last_end_, task, run, how, ""}));
  note(task, run, how);
}

void worker::write_entry() {
  const auto now = loop_.now();
  const auto key = "servers/" + opts_.id;
  if (server_ == nullptr) {
    if (entry_expires_at_ != instant{} && now >= entry_expires_at_) {
      store_.erase(key);
      entry_expires_at_ = {};
    }
    return;
  }
  if (now < next_entry_at_) {
    return;
  }
  next_entry_at_ = now + opts_.heartbeat;
  entry_expires_at_ = now + 3 * opts_.heartbeat;
  json entry{{"service", opts_.service},
             {"address", opts_.advertised_address},
             {"zone", opts_.zone},
             {"version", "v1"},
             {"slots", 8},
             {"state", draining_ ? "draining" : "ready"},
             {"coldRemainingMs", 0},
             {"seq", ++sequence_},
             {"born", born_},
             {"labels", json::array({"a", opts_.rack})},
             {"capacity",
              {{"cpu", opts_.capacity.cpu},
               {"memMb", opts_.capacity.memory_mb},
               {"gpu", opts_.capacity.accelerators}}}};
  if (draining_) {
    const auto left = std::max(duration::zero(), stays_until_ - now);
    entry["drainRemainingMs"] = duration_cast<milliseconds>(left).count();
  }
  store_.put(key, entry.dump());
}

void worker::advance() {
  write_entry();
  if (server_ == nullptr) {
    return;
  }
  const auto now = loop_.now();
  std::vector<std::pair<std::string, std::string>> ended;
  for (const auto& [task, run] : runs_) {
    if (clock_ms() > lease_until_ms_) {
      ended.emplace_back(task, "lapsed");
    } else if (run.stops_at != instant{} && now >= run.stops_at) {
      ended.emplace_back(task, "stopped");
    } else if (!run.plan->lasts && run.work_since != instant{} &&
               now - run.work_since >= run.plan->run_time) {
      ended.emplace_back(task, "done");
    }
  }
  for (const auto& [task, how] : ended) {
    end(task, how);
  }
  std::erase_if(waiting_, [&](const waiting_report& each) {
    if (ends_.empty() && now < each.until) {
      return false;
    }
    each.reply.send(report());
    return true;
  });
}

void worker::handle(const http_request& request, const http_responder& reply) {
  if (header_value(request.headers, "Expect-Instance") != opts_.id) {
    reply.send(respond(421, json::object()));
    return;
  }
  const auto body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    reply.send(respond(400, json::object()));
    return;
  }
  if (late_ && late_(request.path, body)) {
    hanging_.push_back(reply);
    loop_.run_detached(order_delay, [this, path = request.path, body, born = born_] {
      if (up() && born == born_) {
        carries_out_late_ = true;
        static_cast<void>(execute(path, body));
        carries_out_late_ = false;
      }
    });
    return;
  }
  const auto answer = execute(request.path, body);
  const auto wait = milliseconds{std::min<std::int64_t>(body.value("waitMs", std::int64_t{0}), 2000)};
  if (request.path == "/api/hold" && answer.status == 200 && wait.count() > 0 && ends_.empty()) {
    waiting_.push_back({.until = loop_.now() + wait, .reply = reply});
  } else {
    reply.send(answer);
  }
}

http_response worker::execute(const std::string& path, const json& body) {
  const auto fence = body.value("fencingToken", std::uint64_t{0});
  if (fence < fence_) {
    return respond(409, {{"reason", "fence"}});
  }
  fence_ = fence;
  if (path == "/api/hold") {
    return hold(body);
  }
  if (path == "/api/run-start") {
    return start(body);
  }
  return path == "/api/run-stop" ? stop(body) : respond(404, json::object());
}

void worker::extend_lease(const json& body) {
  const auto longest = clock_ms() + duration_cast<milliseconds>(opts_.longest_lease).count();
  lease_until_ms_ = std::max(lease_until_ms_, std::min(body.value("deadlineMs", std::int64_t{0}), longest));
}

http_response worker::hold(const json& body) {
  const auto through = body.value("ackedThrough", std::uint64_t{0});
  std::erase_if(ends_, [&](const json& each) { return each[0].get<std::uint64_t>() <= through; });
  extend_lease(body);
  return report();
}

http_response worker::start(const json& body) {
  const auto task = body.value("task", std::string{});
  const auto run = body.value("run", std::uint64_t{0});
  const auto* plan = plan_of(task);
  if (plan == nullptr || run == 0) {
    return respond(400, json::object());
  }
  if (run_of(task) == run) {
    extend_lease(body);
    return respond(200, json::object());
  }
  if (body.value("deadlineMs", std::int64_t{0}) <= clock_ms()) {
    return respond(409, {{"reason", "late"}});
  }
  extend_lease(body);
  const auto ended = highest_ended_.find(task);
  if (runs(task) || (ended != highest_ended_.end() && run <= ended->second)) {
    return respond(409, {{"reason", "old"}});
  }
  auto used = used_;
  used.add(plan->each, 1);
  const bool fits = used.within(opts_.capacity);
  if (!fits && opts_.guards_capacity) {
    return respond(409, {{"reason", "room"}});
  }
  const bool alone = plan->gang_members > 1;
  used_ = used;
  runs_[task] = {
      .plan = plan, .run = run, .accepted_at = loop_.now(), .work_since = alone ? instant{} : loop_.now()};
  note(task, run, carries_out_late_ ? "late start" : fits ? "start" : "start over capacity");
  return respond(200, json::object());
}

http_response worker::stop(const json& body) {
  const auto task = body.value("task", std::string{});
  const auto run = body.value("run", std::uint64_t{0});
  highest_ended_[task] = std::max(highest_ended_[task], run);
  const auto found = runs_.find(task);
  if (found != runs_.end() && found->second.run <= run && found->second.stops_at == instant{}) {
    found->second.stops_at = loop_.now() + opts_.stop_time;
  }
  return respond(200, json::object());
}

http_response worker::report() const {
  json running = json::array();
  for (const auto& [task, run] : runs_) {
    const auto whole = run.plan->lasts ? lasting_startup : std::max(run.plan->run_time, duration{1});
    const auto worked = run.work_since == instant{} ? duration::zero() : loop_.now() - run.work_since;
    const auto percent = std::min<std::int64_t>(100, worked.count() * 100 / whole.count());
    running.push_back(json::array({task, run.run, "", percent, 0}));
  }
  json finished = json::array();
  for (std::size_t i = 0; i < std::min(max_ends_per_report, ends_.size()); ++i) {
    finished.push_back(ends_[i]);
  }
  return respond(200, {{"running", std::move(running)}, {"finished", std::move(finished)}});
}

http_response worker::respond(int status, json body) const {
  body["clockMs"] = clock_ms();
  body["born"] = born_;
  return {.status = status, .headers = {{"Content-Type", "application/json"}}, .body = body.dump()};
}

}  // namespace rhubarbpath::review

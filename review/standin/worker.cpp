#include "worker.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>

namespace review {

using rhubarbpath::http_request;
using rhubarbpath::http_responder;
using rhubarbpath::http_response;

namespace {

/// PROTOCOL: ends are returned 500 at a time.
constexpr std::size_t ends_per_answer = 500;

/// Splits ID.K.STEP.INDEX.
std::vector<std::string> parts_of(const std::string& task) {
  std::vector<std::string> parts;
  std::size_t begin = 0;
  while (begin <= task.size()) {
    const auto end = std::min(task.find('.', begin), task.size());
    parts.push_back(task.substr(begin, end - begin));
    begin = end + 1;
  }
  return parts;
}

std::string job_of(const std::string& task) {
  return task.substr(0, task.find('.'));
}

double seconds_of(instant at) {
  return std::chrono::duration<double>(at.time_since_epoch()).count();
}

}  // namespace

// ---- ledger ----

const step_facts* ledger::find_step(const std::string& task) const {
  const auto parts = parts_of(task);
  const auto found = parts.size() == 4 ? jobs_.find(parts[0]) : jobs_.end();
  if (found == jobs_.end()) {
    return nullptr;
  }
  const auto step = static_cast<std::size_t>(std::atoi(parts[2].c_str()));
  return step < found->second.size() ? &found->second[step] : nullptr;
}

ledger::run_facts* ledger::find(const std::string& task, std::uint64_t run, const std::string& on) {
  for (auto& each : runs_[task]) {
    if (each.run == run && each.worker == on) {
      return &each;
    }
  }
  return nullptr;
}

void ledger::started(const std::string& task, std::uint64_t run, const std::string& on, instant now) {
  for (const auto& each : runs_[task]) {
    if (each.ended == instant{}) {
      overlaps_.push_back(fmt::format("{}: run {} started on {} while run {} runs on {}", task, run, on,
                                      each.run, each.worker));
      write_("VIOLATION two runs at the same time: " + overlaps_.back());
    }
  }
  runs_[task].push_back({.run = run, .worker = on, .started = now});
  write_(fmt::format("start {} run {} on {}", task, run, on));
}

void ledger::ended(const std::string& task, std::uint64_t run, const std::string& on, const std::string& how,
                   instant now) {
  if (auto* facts = find(task, run, on); facts != nullptr) {
    facts->ended = now;
    facts->how = how;
    all_done_ += how == "done" ? 1 : 0;
  }
  write_(fmt::format("end {} run {} on {}: {}", task, run, on, how));
}

void ledger::noted(const std::string& task, std::uint64_t run, const std::string& on) {
  if (auto* facts = find(task, run, on); facts != nullptr && !facts->lapsed) {
    facts->noted = true;
  }
}

void ledger::lapsed(const std::string& task, std::uint64_t run, const std::string& on) {
  if (auto* facts = find(task, run, on); facts != nullptr) {
    facts->lapsed = true;
  }
}

bool ledger::gang_present(const std::string& task, std::uint64_t run) const {
  const auto step = task.substr(0, task.rfind('.') + 1);
  const auto* facts = find_step(task);
  for (int i = 0; i < facts->count; ++i) {
    const auto found = runs_.find(step + std::to_string(i));
    if (found == runs_.end() ||
        std::none_of(found->second.begin(), found->second.end(),
                     [&](const auto& each) { return each.run == run && each.ended == instant{}; })) {
      return false;
    }
  }
  return true;
}

std::string ledger::gang_ended(const std::string& task, std::uint64_t run) const {
  const auto step = task.substr(0, task.rfind('.') + 1);
  for (auto at = runs_.lower_bound(step); at != runs_.end() && at->first.starts_with(step); ++at) {
    for (const auto& each : at->second) {
      if (each.run == run && each.ended != instant{}) {
        return each.how;
      }
    }
  }
  return {};
}

int ledger::done(const std::string& job) const {
  int tasks = 0;
  for (const auto& [task, runs] : runs_) {
    tasks += job_of(task) == job && std::any_of(runs.begin(), runs.end(),
                                                [](const run_facts& each) { return each.how == "done"; })
                 ? 1
                 : 0;
  }
  return tasks;
}

int ledger::starts(const std::string& job) const {
  return starts_after(job, instant{});
}

int ledger::starts_after(const std::string& job, instant when) const {
  int starts = 0;
  for (const auto& [task, runs] : runs_) {
    if (job_of(task) == job) {
      starts += static_cast<int>(std::count_if(runs.begin(), runs.end(),
                                               [&](const run_facts& each) { return each.started > when; }));
    }
  }
  return starts;
}

int ledger::running(const std::string& job) const {
  int tasks = 0;
  for (const auto& [task, runs] : runs_) {
    tasks += job_of(task) == job && std::any_of(runs.begin(), runs.end(),
                                                [](const run_facts& each) { return each.ended == instant{}; })
                 ? 1
                 : 0;
  }
  return tasks;
}

std::vector<std::string> ledger::twice() const {
  auto found = overlaps_;
  for (const auto& [task, runs] : runs_) {
    for (const auto& done : runs) {
      for (const auto& later : runs) {
        if (done.how == "done" && done.noted && later.started > done.ended) {
          found.push_back(fmt::format(
              "{}: run {} on {} ended as done at {:.3f} and was noted; run {} started on {} at {:.3f}", task,
              done.run, done.worker, seconds_of(done.ended), later.run, later.worker,
              seconds_of(later.started)));
        }
      }
    }
  }
  return found;
}

// ---- worker ----

worker::worker(rhubarbpath::event_loop& loop, rhubarbpath::soak::store_stand_in& store, ledger& book,
               std::function<void(const std::string&)> write, options opts)
    : loop_{loop},
      store_{store},
      book_{book},
      write_{std::move(write)},
      opts_{std::move(opts)},
      begun_{loop.now()},
      born_{std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                .count()},
      tick_timer_{loop.run_every(milliseconds{10}, [this] { advance(); })},
      entry_timer_{loop.run_every(opts_.heartbeat, [this] { write_entry(); })} {
  write_entry();
}

bool worker::listen() {
  server_ = std::make_unique<rhubarbpath::http_server>(
      loop_, rhubarbpath::http_server::options{.address = opts_.address, .port = opts_.port},
      [this](const http_request& request, const http_responder& reply) { handle(request, reply); });
  return server_->listen().ok();
}

void worker::drain() {
  draining_ = true;
  write_(opts_.id + " reports that it is draining");
  write_entry();
}

void worker::cut_off(bool cut) {
  cut_ = cut;
  write_(fmt::format("{} is {}", opts_.id, cut ? "cut off, connections are refused" : "in touch again"));
  if (cut) {
    waiting_.clear();
    server_.reset();
  } else if (listen()) {
    write_entry();
  }
}

worker::~worker() {
  for (const auto& [task, active] : running_) {
    book_.ended(task, active.run, opts_.id, "lost with its worker", loop_.now());
  }
}

std::int64_t worker::clock() const {
  return 100'000 + std::chrono::duration_cast<milliseconds>(loop_.now() - begun_).count();
}

http_response worker::respond(int status, json body) const {
  body["clockMs"] = clock();
  body["born"] = born_;
  return {.status = status, .headers = {{"Content-Type", "application/json"}}, .body = body.dump()};
}

void worker::write_entry() {
  // The heartbeat is a write like any other, so it fails while the store is down; the entry stays.
  if (store_.faults.down || cut_) {
    return;
  }
  last_beat_ = loop_.now();
  store_.put("servers/" + opts_.id,
             json{{"service", opts_.service},
                  {"address", fmt::format("{}:{}", opts_.address, opts_.port)},
                  {"zone", opts_.zone},
                  {"version", "v1"},
                  {"slots", 8},
                  {"state", draining_ ? "draining" : "ready"},
                  {"coldRemainingMs", 0},
                  {"capacity", {{"cpu", opts_.cpu}, {"memMb", opts_.memory_mb}, {"gpu", opts_.gpu}}},
                  {"labels", {"a", opts_.zone + "-r1"}},
                  {"clockMs", clock()},
                  {"born", born_},
                  {"seq", ++sequence_}}
                 .dump());
}

int worker::used_cpu() const {
  int used = 0;
  for (const auto& [task, active] : running_) {
    const auto* step = book_.find_step(task);
    used += step == nullptr ? 0 : step->cpu;
  }
  return used;
}

void worker::extend(const json& body) {
  const auto wanted = body.value("deadlineMs", std::int64_t{0});
  lease_until_ = std::max(lease_until_, std::min(wanted, clock() + opts_.longest_lease.count()));
}

void worker::note(std::uint64_t acknowledged) {
  while (!ended_.empty() && ended_.front().number <= acknowledged) {
    book_.noted(ended_.front().task, ended_.front().run, opts_.id);
    ended_.pop_front();
  }
}

http_response worker::lists() const {
  json running = json::array();
  for (const auto& [task, active] : running_) {
    const auto worked = active.working == instant{}
                            ? milliseconds{0}
                            : std::chrono::duration_cast<milliseconds>(loop_.now() - active.working);
    running.push_back({task, active.run, "", std::min<std::int64_t>(99, worked * 100 / active.length)});
  }
  json finished = json::array();
  for (const auto& each : ended_) {
    if (finished.size() == ends_per_answer) {
      break;
    }
    finished.push_back({each.number, each.task, each.run, each.how, ""});
  }
  return respond(200, {{"running", std::move(running)}, {"finished", std::move(finished)}});
}

http_response worker::start(const json& body) {
  const auto task = body.value("task", "");
  const auto run = body.value("run", std::uint64_t{0});
  const auto active = running_.find(task);
  if (active != running_.end() && active->second.run == run) {
    extend(body);
    return respond(200, json::object());
  }
  if (body.value("deadlineMs", std::int64_t{0}) <= clock()) {
    return respond(409, {{"reason", "late"}});
  }
  extend(body);
  const auto ended = highest_ended_.find(task);
  if (active != running_.end() || (ended != highest_ended_.end() && run <= ended->second)) {
    return respond(409, {{"reason", "old"}});
  }
  const auto* step = book_.find_step(task);
  if (step == nullptr) {
    write_("VIOLATION start of a task that no client sent: " + task);
    return respond(400, json::object());
  }
  int cpu = step->cpu;
  int memory_mb = step->memory_mb;
  int gpu = step->gpu;
  for (const auto& [other, facts] : running_) {
    const auto* other_step = book_.find_step(other);
    cpu += other_step->cpu;
    memory_mb += other_step->memory_mb;
    gpu += other_step->gpu;
  }
  if (cpu > opts_.cpu || memory_mb > opts_.memory_mb || gpu > opts_.gpu) {
    return respond(409, {{"reason", "room"}});
  }
  const auto index = std::atoi(parts_of(task)[3].c_str());
  running_[task] = {.run = run,
                    .started = loop_.now(),
                    .working = step->gang ? instant{} : loop_.now(),
                    .length = step->length + step->spread * index / std::max(1, step->count)};
  book_.started(task, run, opts_.id, loop_.now());
  return respond(200, json::object());
}

http_response worker::stop(const json& body) {
  const auto task = body.value("task", "");
  const auto run = body.value("run", std::uint64_t{0});
  if (const auto active = running_.find(task); active != running_.end() && active->second.run <= run) {
    if (active->second.stop_at == instant{}) {
      active->second.stop_at = loop_.now() + opts_.stop_time;
    }
  }
  highest_ended_[task] = std::max(highest_ended_[task], run);
  return respond(200, json::object());
}

void worker::handle(const http_request& request, const http_responder& reply) {
  if (std::string{rhubarbpath::header_value(request.headers, "Expect-Instance")} != opts_.id) {
    reply.send({.status = 421, .headers = {}, .body = {}});
    return;
  }
  const auto body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    reply.send(respond(400, json::object()));
    return;
  }
  const auto token = body.value("fencingToken", std::uint64_t{0});
  if (token < token_) {
    reply.send(respond(409, {{"reason", "fence"}}));
    return;
  }
  token_ = token;
  if (request.path == "/api/run-start") {
    reply.send(start(body));
  } else if (request.path == "/api/run-stop") {
    reply.send(stop(body));
  } else if (request.path == "/api/hold") {
    note(body.value("ackedThrough", std::uint64_t{0}));
    extend(body);
    const auto wait = std::min<std::int64_t>(2000, body.value("waitMs", std::int64_t{0}));
    if (wait > 0 && ended_.empty()) {
      waiting_.push_back({.until = loop_.now() + milliseconds{wait}, .reply = reply});
    } else {
      reply.send(lists());
    }
  } else {
    reply.send({.status = 404, .headers = {}, .body = {}});
  }
}

void worker::end(const std::string& task, const std::string& how) {
  const auto run = running_.at(task).run;
  running_.erase(task);
  highest_ended_[task] = std::max(highest_ended_[task], run);
  ended_.push_back({.number = next_number_++, .task = task, .run = run, .how = how});
  book_.ended(task, run, opts_.id, how, loop_.now());
}

void worker::advance() {
  const auto now = loop_.now();
  std::vector<std::pair<std::string, std::string>> ending;
  const bool lapsed = clock() > lease_until_;
  for (auto& [task, active] : running_) {
    const bool gang = book_.find_step(task)->gang;
    if (gang && active.working == instant{} && book_.gang_present(task, active.run)) {
      active.working = now;
    }
    const auto other = gang ? book_.gang_ended(task, active.run) : std::string{};
    if (lapsed) {
      ending.emplace_back(task, "lapsed");
    } else if (!other.empty()) {
      ending.emplace_back(task, other == "done" ? "done" : "broken");
    } else if (active.stop_at != instant{} && now >= active.stop_at) {
      ending.emplace_back(task, "stopped");
    } else if (active.stop_at == instant{} && active.working != instant{} &&
               now - active.working >= active.length) {
      ending.emplace_back(task, "done");
    } else if (gang && active.working == instant{} && now - active.started >= opts_.gang_timeout) {
      ending.emplace_back(task, "alone");
    }
  }
  for (const auto& [task, how] : ending) {
    end(task, how);
  }
  if (lapsed) {
    for (const auto& each : ended_) {
      book_.lapsed(each.task, each.run, opts_.id);
    }
  }
  answer_waiting();
}

void worker::answer_waiting() {
  std::erase_if(waiting_, [&](const waiting_look& each) {
    if (!ended_.empty() || loop_.now() >= each.until) {
      each.reply.send(lists());
      return true;
    }
    return !each.reply.open();
  });
}

}  // namespace review

#include "worker_fleet.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

#include "platform_documents.hpp"
#include "worker_stand_in.hpp"

namespace rhubarbpath::soak {

namespace {

using std::chrono::milliseconds;

constexpr duration tick_period{milliseconds{20}};

}  // namespace

worker_fleet::worker_fleet(event_loop& loop, store_stand_in& store, random_source& random,
                           std::uint64_t places_seed)
    : loop_{loop},
      store_{store},
      random_{random},
      places_random_{places_seed},
      tick_timer_{loop.run_every(tick_period, [this] { advance(); })} {}

worker_fleet::~worker_fleet() = default;

absl::Status worker_fleet::add(const std::string& address, std::uint16_t port,
                               const std::string& advertised_address) {
  const auto number = workers_.size();
  // Four workers in a row make two racks of two, one in each zone; each rack has both kinds.
  const auto zone = fmt::format("zone-{}", number % 2);
  workers_.push_back(std::make_unique<worker_stand_in>(
      *this, fmt::format("w-{:02}", number),
      worker_stand_in::place{.zone = zone,
                             .rack = fmt::format("{}-r{}", zone, 1 + number / 4),
                             .kind = number / 2 % 2 == 0 ? "kind-a" : "kind-b",
                             .address = address,
                             .port = port,
                             .advertised_address = advertised_address}));
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

bool worker_fleet::draining(std::size_t worker) const {
  return workers_.at(worker)->present() && workers_.at(worker)->draining();
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
  const auto first = running_.lower_bound({.job = job, .step = 0, .index = 0});
  return first != running_.end() && first->first.job == job;
}

const last_run* worker_fleet::last_run_of(const task_name& task) const {
  const auto found = last_runs_.find(task);
  return found == last_runs_.end() ? nullptr : &found->second;
}

const soak_job* worker_fleet::steps_of(const std::string& job) const {
  const auto found = jobs_.find(job);
  return found == jobs_.end() ? nullptr : &found->second;
}

bool worker_fleet::may_rerun(const std::string& job) const {
  const auto first = rerun_allowed_.lower_bound({.job = job, .step = 0, .index = 0});
  return first != rerun_allowed_.end() && first->job == job;
}

worker_view worker_fleet::view(std::size_t worker) const {
  const auto& found = *workers_.at(worker);
  const auto taken_back = taken_back_at_.find(found.where().zone);
  return {.id = found.id(),
          .zone = found.where().zone,
          .rack = found.where().rack,
          .kind = found.where().kind,
          .takes_work = found.present() && !found.draining() && !evacuated(found.where().zone) &&
                        found.faults.unhealthy_percent == 0,
          .alive_since = taken_back == taken_back_at_.end()
                             ? found.alive_since()
                             : std::max(found.alive_since(), taken_back->second),
          .used = found.used()};
}

int worker_fleet::count_of_step(std::size_t worker, const std::string& job, int step) const {
  return workers_.at(worker)->count_of_step(job, step);
}

std::vector<std::size_t> worker_fleet::workers_of_rack(const std::string& rack) const {
  std::vector<std::size_t> found;
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    if (workers_[i]->where().rack == rack) {
      found.push_back(i);
    }
  }
  return found;
}

std::vector<std::string> worker_fleet::racks() const {
  std::set<std::string> found;
  for (const auto& worker : workers_) {
    found.insert(worker->where().rack);
  }
  return {found.begin(), found.end()};
}

std::set<std::string> worker_fleet::jobs_on(std::size_t worker) const {
  return workers_.at(worker)->jobs();
}

void worker_fleet::order_unanswered(const std::string& body) const {
  const auto order = nlohmann::json::parse(body, nullptr, false);
  const auto task = order.is_object() ? parse_task(order.value("task", "")) : std::nullopt;
  if (task && unanswered_order_) {
    unanswered_order_(task->job);
  }
}

void worker_fleet::evacuate(const std::string& zone) {
  store_.put("op/evacuate/" + zone, "{}");
  evacuated_since_.try_emplace(zone, loop_.now());
}

void worker_fleet::take_back(const std::string& zone) {
  store_.erase("op/evacuate/" + zone);
  evacuated_since_.erase(zone);
  taken_back_at_[zone] = loop_.now();
}

std::vector<std::string> worker_fleet::zones() const {
  std::set<std::string> names;
  for (const auto& each : workers_) {
    names.insert(each->where().zone);
  }
  return {names.begin(), names.end()};
}

void worker_fleet::check_evacuation(const task_name& task, const worker_stand_in& worker) {
  const auto since = evacuated_since_.find(worker.where().zone);
  if (since != evacuated_since_.end() && loop_.now() - since->second > evacuation_limit) {
    violation(fmt::format("EVACUATION: {} was started on {} in {} {} ms after it was evacuated",
                          wire_name(task), worker.id(), worker.where().zone,
                          (loop_.now() - since->second).count() / 1000));
  }
}

void worker_fleet::check_rules_of_step(const task_name& task, const soak_step& step,
                                       const worker_stand_in& worker) {
  if (!step.allowed_with(worker.where().kind, worker.where().rack)) {
    violation(fmt::format("ROUTE: {} was started on {} without label {}", wire_name(task), worker.id(),
                          step.required_label));
  }
  if (step.max_per_server > 0 && worker.count_of_step(task.job, task.step) >= step.max_per_server) {
    violation(fmt::format("ROUTE: {} was started on {} beyond {} of its step", wire_name(task), worker.id(),
                          step.max_per_server));
  }
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

void worker_fleet::run_started(const task_name& task, std::uint64_t run, const std::string& worker,
                               const std::string& rack) {
  ++run_count_;
  started_[task.job].insert(worker);
  last_runs_[task] = {.run = run, .worker = worker, .rack = rack, .ended_at = {}, .outcome = {}};
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

void worker_fleet::run_ended(const task_name& task, std::uint64_t run, const std::string& worker,
                             const std::string& outcome, bool done) {
  if (auto& last = last_runs_[task]; last.run == run) {
    last.ended_at = loop_.now();
    last.outcome = outcome;
  }
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

// Compares request routing by home VM with other ways under one list of arrivals, in logical time.

#include "rhubarbpath/coordination/request_router.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "tclap/CmdLine.h"

namespace rhubarbpath {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int vm_count = 9;
constexpr int worker_count = 50;
constexpr int slots_per_worker = 8;
constexpr int domain_count = 3;
constexpr int team_count = 4;
constexpr duration between_domains = microseconds{500};
constexpr duration inside_domain = microseconds{100};
constexpr duration to_client = milliseconds{3};
/// Traffic starts when every home has ended its takeover wait.
constexpr duration warm_up = milliseconds{2500};

struct class_profile {
  const char* name;
  double share;    ///< Of the arrivals.
  double mean_ms;  ///< Of the service time, log-normal.
  double sigma;
  duration deadline;
  bool non_idempotent;
};
constexpr std::array<class_profile, 3> classes{{{"hold", 0.2, 30.0, 0.5, seconds{2}, true},
                                                {"preview", 0.4, 80.0, 0.8, seconds{3}, false},
                                                {"stock", 0.4, 20.0, 0.5, seconds{2}, false}}};

double mean_service_ms() {
  double mean = 0;
  for (const auto& each : classes) {
    mean += each.share * each.mean_ms;
  }
  return mean;
}

struct arrival {
  duration at{};
  int request_class{0};
  int team{0};
  int vm{0};
  duration service{};
};

enum class worker_fault { none, slow, failing };

struct scenario {
  double load{0.9};
  bool bad_workers{false};
  int flooded_class{-1};  ///< Team 0 adds twice the capacity in this class.
  duration length{seconds{20}};
  std::uint64_t seed{1};
  duration load_interval{};
  duration shortest_load_interval{};
};

/// Worker 3 takes ten times as long; worker 17 answers 500 after 1 ms.
worker_fault fault_of(int worker, const scenario& run) {
  if (!run.bad_workers) {
    return worker_fault::none;
  }
  return worker == 3 ? worker_fault::slow : (worker == 17 ? worker_fault::failing : worker_fault::none);
}

duration time_at(int worker, duration service, const scenario& run) {
  switch (fault_of(worker, run)) {
    case worker_fault::slow:
      return service * 10;
    case worker_fault::failing:
      return milliseconds{1};
    case worker_fault::none:
      break;
  }
  return service;
}

std::vector<arrival> make_arrivals(const scenario& run) {
  std::mt19937_64 engine{run.seed};
  const double capacity_per_second = worker_count * slots_per_worker * 1000.0 / mean_service_ms();
  std::uniform_real_distribution<double> uniform{0.0, 1.0};
  std::normal_distribution<double> normal{0.0, 1.0};
  std::vector<arrival> list;
  const auto service_time = [&](const class_profile& profile) {
    const double mu = std::log(profile.mean_ms) - profile.sigma * profile.sigma / 2;
    return microseconds{static_cast<std::int64_t>(1000.0 * std::exp(mu + profile.sigma * normal(engine)))};
  };
  const auto add = [&](double rate, bool flood) {
    double at = 0;
    const double end = std::chrono::duration<double>(run.length).count();
    while ((at += -std::log(1.0 - uniform(engine)) / rate) < end) {
      const double draw = uniform(engine);
      const int chosen = flood ? run.flooded_class
                               : (draw < classes[0].share                      ? 0
                                  : draw < classes[0].share + classes[1].share ? 1
                                                                               : 2);
      list.push_back({microseconds{static_cast<std::int64_t>(at * 1e6)}, chosen,
                      flood ? 0 : static_cast<int>(uniform(engine) * team_count),
                      static_cast<int>(uniform(engine) * vm_count), service_time(classes[chosen])});
    }
  };
  add(run.load * capacity_per_second, false);
  if (run.flooded_class >= 0) {
    const double mean_ms = classes[static_cast<std::size_t>(run.flooded_class)].mean_ms;
    add(2.0 * 1000.0 * worker_count * slots_per_worker / mean_ms, true);
  }
  std::stable_sort(list.begin(), list.end(),
                   [](const auto& left, const auto& right) { return left.at < right.at; });
  return list;
}

struct class_result {
  std::vector<double> latencies_ms;    ///< Of good answers.
  std::vector<double> other_teams_ms;  ///< Of good answers of teams other than team 0.
  int arrivals{0};
  int other_teams_arrivals{0};
  int good{0};  ///< Ran, status 200, at the caller before its deadline.
  int not_run{0};
  int may_have_run{0};
  int errors{0};
};

struct run_result {
  std::array<class_result, 3> by_class;
  double good_work_ms{0};  ///< Service time of the good answers that came between 3 s and the last arrival.
  double router_ns{0};
  std::uint64_t load_messages{0};
  std::uint64_t pull_answers{0};  ///< Load reports to one peer that pulled.
  std::uint64_t forwards{0};
  std::uint64_t refused_forwards{0};
  std::uint64_t pulls{0};
  std::uint64_t refused_by_target{0};
};

double percentile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  const auto index =
      std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
  return values[index];
}

/// A queue of actions in logical time.
class simulation {
 public:
  void at(instant when, std::function<void()> action) {
    events_.push_back({when, next_++, std::move(action)});
    std::push_heap(events_.begin(), events_.end());
  }
  void after(duration delay, std::function<void()> action) { at(now_ + delay, std::move(action)); }
  [[nodiscard]] instant now() const { return now_; }
  void run_until(instant end) {
    while (!events_.empty() && events_.front().when <= end) {
      std::pop_heap(events_.begin(), events_.end());
      const auto next = std::move(events_.back());
      events_.pop_back();
      now_ = next.when;
      next.action();
    }
  }

 private:
  struct event {
    instant when;
    std::uint64_t number;
    std::function<void()> action;
    bool operator<(const event& other) const {
      return when != other.when ? when > other.when : number > other.number;
    }
  };
  std::vector<event> events_;  ///< A heap; `std::priority_queue` cannot move its top out.
  instant now_{};
  std::uint64_t next_{0};
};

/// The queues have their full length after this time.
constexpr duration steady_after = seconds{3};

void record(run_result& result, const scenario& run, const arrival& request, verdict told, int status,
            duration latency) {
  auto& entry = result.by_class[static_cast<std::size_t>(request.request_class)];
  if (told == verdict::not_run) {
    ++entry.not_run;
  } else if (told == verdict::may_have_run) {
    ++entry.may_have_run;
  } else if (status != 200) {
    ++entry.errors;
  } else if (latency <= classes[static_cast<std::size_t>(request.request_class)].deadline) {
    ++entry.good;
    const double ms = static_cast<double>(latency.count()) / 1000.0;
    entry.latencies_ms.push_back(ms);
    if (request.team != 0) {
      entry.other_teams_ms.push_back(ms);
    }
    if (request.at + latency >= steady_after && request.at + latency <= run.length) {
      result.good_work_ms += static_cast<double>(request.service.count()) / 1000.0;
    }
  }
}

std::shared_ptr<environment_document> make_document() {
  auto document = std::make_shared<environment_document>();
  for (int i = 0; i < team_count; ++i) {
    document->teams.push_back({.id = team_id{"team" + std::to_string(i)}, .max_queued_requests = 1000});
  }
  service_spec service{.id = service_id{"lendbook"}, .slots_per_target = slots_per_worker};
  for (std::size_t i = 0; i < classes.size(); ++i) {
    service.classes.push_back({.id = class_id{classes[i].name},
                               .rank = static_cast<int>(i),
                               .deadline = classes[i].deadline,
                               .queue_limit = 1000,
                               .non_idempotent = classes[i].non_idempotent});
  }
  document->services.push_back(service);
  for (int i = 0; i < worker_count; ++i) {
    const auto rack = "rack" + std::to_string(i / 6);
    if (i % 6 == 0) {
      document->racks.push_back(
          {rack_id{rack}, failure_domain_id{"fd" + std::to_string((i / 6) % domain_count)}});
    }
    document->workers.push_back(
        {.id = worker_id{"worker" + std::to_string(i)}, .rack = rack_id{rack}, .service = service.id});
  }
  document->budget = {.set_aside_share = 0.1, .retry_share = 0.1, .hedge_share = 0.0};
  return document;
}

duration hop(int from_domain, int to_domain) {
  return from_domain == to_domain ? inside_domain : between_domains;
}
int domain_of_worker(int worker) {
  return (worker / 6) % domain_count;
}
int domain_of_vm(int vm) {
  return vm % domain_count;
}

/// The routers of this project, with the registrars' round trip as a fixed delay.
class routed_run {
 public:
  routed_run(const scenario& run, const std::vector<arrival>& arrivals)
      : run_{run}, arrivals_{arrivals}, random_{run.seed + 1}, busy_(worker_count, 0) {
    const auto document = make_document();
    std::vector<routing::member> members;
    members.reserve(vm_count);
    for (int i = 0; i < vm_count; ++i) {
      members.push_back({vm_id{"vm" + std::to_string(i)}, incarnation{1},
                         failure_domain_id{"fd" + std::to_string(domain_of_vm(i))}});
    }
    for (int i = 0; i < vm_count; ++i) {
      vms_.push_back(std::make_unique<vm>());
      request_router::options opts{.self = members[i].vm,
                                   .self_incarnation = incarnation{1},
                                   .failure_domain = members[i].failure_domain};
      if (run.load_interval > duration{}) {
        opts.max_load_interval = run.load_interval;
      }
      if (run.shortest_load_interval > duration{}) {
        opts.min_load_interval = run.shortest_load_interval;
      }
      vms_[i]->router = std::make_unique<request_router>(opts, random_);
      vm_index_[members[i].vm.value()] = i;
    }
    for (int i = 0; i < worker_count; ++i) {
      worker_index_["worker" + std::to_string(i)] = i;
    }
    for (int i = 0; i < vm_count; ++i) {
      deliver(i, routing::document_changed{document});
      deliver(i, routing::members_changed{members});
    }
  }

  run_result run() {
    schedule_arrival(0);
    simulation_.run_until(instant{warm_up + run_.length + seconds{12}});
    result_.router_ns /= static_cast<double>(arrivals_.size());
    return std::move(result_);
  }

 private:
  struct vm {
    std::unique_ptr<request_router> router;
    std::optional<instant> tick_at;
  };

  void schedule_arrival(std::size_t index) {
    if (index >= arrivals_.size()) {
      return;
    }
    simulation_.at(instant{warm_up + arrivals_[index].at + to_client}, [this, index] {
      const auto& request = arrivals_[index];
      const auto& profile = classes[static_cast<std::size_t>(request.request_class)];
      ++result_.by_class[static_cast<std::size_t>(request.request_class)].arrivals;
      result_.by_class[static_cast<std::size_t>(request.request_class)].other_teams_arrivals +=
          request.team != 0 ? 1 : 0;
      const auto sent = instant{warm_up + request.at};
      deliver(request.vm, routing::request_arrived{
                              .id = request_id{index + 1},
                              .content = {.service = service_id{"lendbook"},
                                          .request_class = class_id{profile.name},
                                          .team = team_id{"team" + std::to_string(request.team)},
                                          .non_idempotent = profile.non_idempotent,
                                          .deadline = sent + profile.deadline - to_client,
                                          .body = std::make_shared<std::string>(std::to_string(index))},
                              .key = idempotency_key{profile.non_idempotent ? std::to_string(index) : ""},
                              .first_attempt = true});
      schedule_arrival(index + 1);
    });
  }

  void deliver(int target, const request_router_event& event) {
    auto& each = *vms_[static_cast<std::size_t>(target)];
    std::vector<request_router_action> actions;
    const auto started = std::chrono::steady_clock::now();
    each.router->handle(event, simulation_.now(), actions);
    const auto due = each.router->next_deadline();
    result_.router_ns +=
        std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - started).count();
    for (const auto& action : actions) {
      std::visit([&](const auto& typed) { act(target, typed); }, action);
    }
    if (due && (!each.tick_at || *due < *each.tick_at || *each.tick_at <= simulation_.now())) {
      each.tick_at = std::max(*due, simulation_.now() + microseconds{1});
      simulation_.at(*each.tick_at, [this, target, at = *each.tick_at] {
        auto& ticked = *vms_[static_cast<std::size_t>(target)];
        if (ticked.tick_at == at) {
          ticked.tick_at.reset();
          deliver(target, routing::tick{});
        }
      });
    }
  }

  void transmit(int from, int to, request_router_event event) {
    simulation_.after(hop(domain_of_vm(from), domain_of_vm(to)),
                      [this, to, event = std::move(event)] { deliver(to, event); });
  }

  void act(int from, const routing::forward_request& action) {
    ++result_.forwards;
    transmit(
        from, vm_index_.at(action.to.value()),
        routing::forward_arrived{vm_id{"vm" + std::to_string(from)}, incarnation{1}, action.to_incarnation,
                                 action.id, action.content, action.intent, action.avoid, action.pulled});
  }
  void act(int from, const routing::answer_peer& action) {
    result_.refused_forwards += action.result == routing::forward_result::not_sent ? 1 : 0;
    transmit(from, vm_index_.at(action.to.value()),
             routing::forward_answered{vm_id{"vm" + std::to_string(from)}, incarnation{1},
                                       action.to_incarnation, action.id, action.result, action.status,
                                       action.body, action.target, action.reason, action.load});
  }
  void act(int from, const routing::pull_from_peer& action) {
    ++result_.pulls;
    transmit(from, vm_index_.at(action.to.value()),
             routing::pull_arrived{vm_id{"vm" + std::to_string(from)}, incarnation{1}, action.service,
                                   action.count, action.max_rank, action.short_teams_only});
  }
  void act(int from, const routing::advertise_load& action) {
    for (int to = 0; to < vm_count; ++to) {
      if (to != from && (!action.to || vm_index_.at(action.to->value()) == to)) {
        ++(action.to ? result_.pull_answers : result_.load_messages);
        transmit(from, to,
                 routing::peer_load{vm_id{"vm" + std::to_string(from)}, incarnation{1}, action.load});
      }
    }
  }
  void act(int from, const routing::record_intent& action) {
    // Both registrars are asked at once; the slower one may be in another failure domain.
    simulation_.after(2 * between_domains, [this, from, id = action.intent.request] {
      deliver(from, routing::intent_settled{.id = id, .settled = routing::intent_result::recorded});
    });
  }
  void act(int, const routing::withdraw_intent&) {}
  void act(int, const routing::finish_intent&) {}
  void act(int, const routing::drained&) {}
  void act(int from, const routing::probe_target& action) {
    simulation_.after(milliseconds{1}, [this, from, action] {
      deliver(from, routing::probe_answered{action.target, true});
    });
  }
  void act(int from, const routing::cancel_call& action) {
    // The target works on; only the connection closes.
    simulation_.after(microseconds{10}, [this, from, action] {
      deliver(from, routing::target_call_failed{action.call, true});
    });
  }
  void act(int, const routing::answer_caller& action) {
    const auto& request = arrivals_[action.id.value() - 1];
    record(result_, run_, request, action.result.result, action.status,
           simulation_.now() + to_client - instant{warm_up + request.at});
  }
  void act(int from, const routing::send_request& action) {
    const int worker = worker_index_.at(action.target.value());
    const auto index = std::stoull(*action.content.body);
    const auto distance = hop(domain_of_vm(from), domain_of_worker(worker));
    simulation_.after(distance, [=, this, call = action.call] {
      auto& busy = busy_[static_cast<std::size_t>(worker)];
      if (busy >= slots_per_worker) {
        ++result_.refused_by_target;
        simulation_.after(distance, [=, this] { deliver(from, routing::target_refused{call, false}); });
        return;
      }
      ++busy;
      simulation_.after(time_at(worker, arrivals_[index].service, run_), [=, this] {
        --busy_[static_cast<std::size_t>(worker)];
        const int status = fault_of(worker, run_) == worker_fault::failing ? 500 : 200;
        simulation_.after(distance, [=, this] {
          deliver(from, routing::target_answered{call, status, nullptr, false});
        });
      });
    });
  }

  scenario run_;
  const std::vector<arrival>& arrivals_;
  random_source random_;
  simulation simulation_;
  std::vector<int> busy_;
  std::vector<std::unique_ptr<vm>> vms_;
  std::unordered_map<std::string, int> vm_index_;
  std::unordered_map<std::string, int> worker_index_;
  run_result result_;
};

/// One queue for all entry VMs in class order that sees every slot at once and loses no time between
/// VMs. It drops expired work unsent. No real system can do this; it bounds the waiting time.
class shared_queue_run {
 public:
  shared_queue_run(const scenario& run, const std::vector<arrival>& arrivals)
      : run_{run}, arrivals_{arrivals}, busy_(worker_count, 0) {}

  run_result run() {
    for (std::size_t i = 0; i < arrivals_.size(); ++i) {
      simulation_.at(instant{arrivals_[i].at + to_client}, [this, i] {
        const auto chosen = static_cast<std::size_t>(arrivals_[i].request_class);
        ++result_.by_class[chosen].arrivals;
        queues_[chosen].push_back(i);
        dispatch();
      });
    }
    simulation_.run_until(instant{run_.length + seconds{12}});
    return std::move(result_);
  }

 private:
  void dispatch() {
    for (std::size_t chosen = 0; chosen < queues_.size();) {
      if (queues_[chosen].empty()) {
        ++chosen;
        continue;
      }
      const auto free = std::min_element(busy_.begin(), busy_.end());
      if (*free >= slots_per_worker) {
        return;
      }
      const auto index = queues_[chosen].front();
      queues_[chosen].pop_front();
      const auto& request = arrivals_[index];
      if (simulation_.now() >= instant{request.at + classes[chosen].deadline - to_client}) {
        record(result_, run_, request, verdict::not_run, 0, {});
        continue;
      }
      const int worker = static_cast<int>(free - busy_.begin());
      ++*free;
      const auto distance = hop(domain_of_vm(request.vm), domain_of_worker(worker));
      simulation_.after(2 * distance + time_at(worker, request.service, run_), [this, index, worker] {
        --busy_[static_cast<std::size_t>(worker)];
        const auto& ended = arrivals_[index];
        record(result_, run_, ended, verdict::ran,
               fault_of(worker, run_) == worker_fault::failing ? 500 : 200,
               simulation_.now() + to_client - instant{ended.at});
        dispatch();
      });
    }
  }

  scenario run_;
  const std::vector<arrival>& arrivals_;
  simulation simulation_;
  std::vector<int> busy_;
  std::array<std::deque<std::size_t>, 3> queues_;
  run_result result_;
};

/// Every VM sends to any worker. The worker either queues without limit (round-robin) or refuses above its
/// slots and gets the request a second time elsewhere (independent choice).
class independent_run {
 public:
  independent_run(const scenario& run, const std::vector<arrival>& arrivals, bool round_robin)
      : run_{run},
        arrivals_{arrivals},
        round_robin_{round_robin},
        random_{run.seed + 2},
        busy_(worker_count, 0),
        queues_(worker_count),
        next_(vm_count, 0),
        open_(vm_count, std::vector<int>(worker_count, 0)) {}

  run_result run() {
    for (std::size_t i = 0; i < arrivals_.size(); ++i) {
      simulation_.at(instant{arrivals_[i].at + to_client}, [this, i] {
        ++result_.by_class[static_cast<std::size_t>(arrivals_[i].request_class)].arrivals;
        send(i, 1);
      });
    }
    simulation_.run_until(instant{run_.length + seconds{12}});
    return std::move(result_);
  }

 private:
  int choose(int vm) {
    if (round_robin_) {
      return next_[static_cast<std::size_t>(vm)]++ % worker_count;
    }
    // Power of two choices over this VM's own open calls, the only load it knows.
    const int first = static_cast<int>(random_.below(worker_count));
    const int second = static_cast<int>(random_.below(worker_count));
    const auto& open = open_[static_cast<std::size_t>(vm)];
    return open[static_cast<std::size_t>(first)] <= open[static_cast<std::size_t>(second)] ? first : second;
  }

  void send(std::size_t index, int attempt) {
    const auto& request = arrivals_[index];
    const int worker = choose(request.vm);
    ++open_[static_cast<std::size_t>(request.vm)][static_cast<std::size_t>(worker)];
    simulation_.after(hop(domain_of_vm(request.vm), domain_of_worker(worker)),
                      [=, this] { reach(index, worker, attempt); });
  }

  void reach(std::size_t index, int worker, int attempt) {
    const auto& request = arrivals_[index];
    auto& busy = busy_[static_cast<std::size_t>(worker)];
    if (busy < slots_per_worker) {
      start(index, worker);
      return;
    }
    if (round_robin_) {
      queues_[static_cast<std::size_t>(worker)].push_back(index);
      return;
    }
    ++result_.refused_by_target;
    simulation_.after(hop(domain_of_vm(request.vm), domain_of_worker(worker)), [=, this] {
      --open_[static_cast<std::size_t>(arrivals_[index].vm)][static_cast<std::size_t>(worker)];
      if (attempt == 1) {
        send(index, 2);
      } else {
        record(result_, run_, arrivals_[index], verdict::not_run, 0, {});
      }
    });
  }

  void start(std::size_t index, int worker) {
    ++busy_[static_cast<std::size_t>(worker)];
    simulation_.after(time_at(worker, arrivals_[index].service, run_), [=, this] {
      --busy_[static_cast<std::size_t>(worker)];
      const auto& request = arrivals_[index];
      --open_[static_cast<std::size_t>(request.vm)][static_cast<std::size_t>(worker)];
      const auto back = hop(domain_of_vm(request.vm), domain_of_worker(worker)) + to_client;
      record(result_, run_, request, verdict::ran,
             fault_of(worker, run_) == worker_fault::failing ? 500 : 200,
             simulation_.now() + back - instant{request.at});
      auto& queue = queues_[static_cast<std::size_t>(worker)];
      if (!queue.empty()) {
        const auto next = queue.front();
        queue.pop_front();
        start(next, worker);
      }
    });
  }

  scenario run_;
  const std::vector<arrival>& arrivals_;
  bool round_robin_;
  random_source random_;
  simulation simulation_;
  std::vector<int> busy_;
  std::vector<std::deque<std::size_t>> queues_;
  std::vector<int> next_;
  std::vector<std::vector<int>> open_;
  run_result result_;
};

void print(const char* way, const scenario& run, const run_result& result) {
  for (std::size_t i = 0; i < classes.size(); ++i) {
    const auto& entry = result.by_class[i];
    std::printf("%4.1f %-4s %-12s %-8s %8.1f %8.1f %8.1f %8.1f%% %7d %7d %7d\n", run.load,
                run.bad_workers ? "bad" : "ok", way, classes[i].name, percentile(entry.latencies_ms, 0.5),
                percentile(entry.latencies_ms, 0.99), percentile(entry.latencies_ms, 0.999),
                100.0 * entry.good / std::max(1, entry.arrivals), entry.not_run, entry.may_have_run,
                entry.errors);
  }
}

void print_cost(const run_result& result, std::size_t requests, duration length) {
  const double vm_seconds = vm_count * std::chrono::duration<double>(length).count();
  std::printf(
      "     routers: %.0f ns CPU per request, %.1f load and %.1f pull answer messages/s per VM, forwards "
      "%.1f%% (refused %.1f%%), "
      "pulls %.1f%%, refused by targets %llu, good work %.1f%% of slots\n",
      result.router_ns, static_cast<double>(result.load_messages) / vm_seconds,
      static_cast<double>(result.pull_answers) / vm_seconds,
      100.0 * static_cast<double>(result.forwards) / static_cast<double>(requests),
      100.0 * static_cast<double>(result.refused_forwards) / static_cast<double>(requests),
      100.0 * static_cast<double>(result.pulls) / static_cast<double>(requests),
      static_cast<unsigned long long>(result.refused_by_target),
      100.0 * result.good_work_ms /
          (worker_count * slots_per_worker *
           std::chrono::duration<double, std::milli>(length - steady_after).count()));
}

std::vector<double> all_latencies(const run_result& result) {
  std::vector<double> all;
  for (const auto& entry : result.by_class) {
    all.insert(all.end(), entry.latencies_ms.begin(), entry.latencies_ms.end());
  }
  return all;
}

bool check(const char* target, double measured, double bound, bool at_most) {
  const bool met = at_most ? measured <= bound : measured >= bound;
  std::printf("%-6s %-72s measured %.3f, bound %.3f\n", met ? "met" : "missed", target, measured, bound);
  return met;
}

double ratio(const std::vector<double>& measured, const std::vector<double>& reference) {
  return percentile(measured, 0.99) / percentile(reference, 0.99);
}

double good_share(const class_result& entry) {
  return static_cast<double>(entry.good) / std::max(1, entry.arrivals);
}

/// Runs all ways over the loads and checks the targets against the shared queue and at overload.
bool run_loads(const scenario& base, bool only_targets) {
  bool all_met = true;
  run_result at_capacity;
  std::printf(
      "load work way          class         p50      p99    p99.9     good not_run   maybe   error\n");
  for (const double load : {0.5, 0.9, 1.0, 1.2, 3.0}) {
    for (const bool bad : {false, true}) {
      if (only_targets && (bad || load == 0.5 || load == 1.2)) {
        continue;
      }
      auto run = base;
      run.load = load;
      run.bad_workers = bad;
      const auto arrivals = make_arrivals(run);
      auto routed = routed_run{run, arrivals}.run();
      const auto shared = shared_queue_run{run, arrivals}.run();
      print("routers", run, routed);
      print("shared queue", run, shared);
      if (!only_targets) {
        print("round-robin", run, independent_run{run, arrivals, true}.run());
        print("independent", run, independent_run{run, arrivals, false}.run());
      }
      print_cost(routed, arrivals.size(), run.length);
      if (load == 0.9 && !bad) {
        all_met &= check("p99 over that of one shared queue, all classes",
                         ratio(all_latencies(routed), all_latencies(shared)), 1.3, true);
        for (std::size_t i = 0; i < classes.size(); ++i) {
          const auto name = std::string{"p99 over that of one shared queue, "} + classes[i].name;
          all_met &=
              check(name.c_str(), ratio(routed.by_class[i].latencies_ms, shared.by_class[i].latencies_ms),
                    1.3, true);
        }
      }
      if (load == 3.0 && !bad) {
        all_met &= check("goodput (work) over that at capacity",
                         routed.good_work_ms / at_capacity.good_work_ms, 0.95, false);
        all_met &= check("class order: share of good holds", good_share(routed.by_class[0]), 0.99, false);
        all_met &= check("class order: share of good previews less that of stock",
                         good_share(routed.by_class[1]) - good_share(routed.by_class[2]), 0.0, false);
      }
      if (load == 1.0 && !bad) {
        at_capacity = std::move(routed);
      }
    }
  }
  return all_met;
}

bool run_floods(const scenario& base) {
  bool all_met = true;
  auto calm = base;
  calm.load = 0.6;
  const auto calm_list = make_arrivals(calm);
  const auto before = routed_run{calm, calm_list}.run();
  std::printf("floods: team 0 adds twice the capacity in one class at a load of 0.6\n");
  print("calm", calm, before);
  for (std::size_t flooded = 0; flooded < classes.size(); ++flooded) {
    auto run = calm;
    run.flooded_class = static_cast<int>(flooded);
    const auto list = make_arrivals(run);
    const auto during = routed_run{run, list}.run();
    const auto way = std::string{"flood "} + classes[flooded].name;
    print(way.c_str(), run, during);
    print_cost(during, list.size(), run.length);
    for (std::size_t i = 0; i < classes.size(); ++i) {
      const auto& entry = during.by_class[i];
      const auto name = way + ": other teams' p99 over that without, " + classes[i].name;
      all_met &=
          check(name.c_str(), ratio(entry.other_teams_ms, before.by_class[i].other_teams_ms), 1.1, true);
      const auto good = way + ": other teams' share of good, " + classes[i].name;
      all_met &=
          check(good.c_str(),
                static_cast<double>(entry.other_teams_ms.size()) / std::max(1, entry.other_teams_arrivals),
                0.99, false);
    }
  }
  return all_met;
}

}  // namespace
}  // namespace rhubarbpath

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command{"Measures request routing in logical time against other ways.", ' ', "1"};
    TCLAP::ValueArg<std::uint64_t> seed{"s", "seed", "Seed of the arrivals", false, 1, "number", command};
    TCLAP::ValueArg<int> length{"l", "length", "Seconds of arrivals per run", false, 20, "seconds", command};
    TCLAP::SwitchArg targets{"t", "targets", "Only the runs that the targets need", command};
    TCLAP::ValueArg<int> interval{"i",  "load-interval", "Longest time between load reports", false, 0,
                                  "ms", command};
    TCLAP::ValueArg<int> shortest{
        "e", "shortest-interval", "Shortest time between load reports", false, 0, "ms", command};
    command.parse(argc, argv);
    const rhubarbpath::scenario base{
        .length = std::chrono::seconds{length.getValue()},
        .seed = seed.getValue(),
        .load_interval = std::chrono::milliseconds{interval.getValue()},
        .shortest_load_interval = std::chrono::milliseconds{shortest.getValue()}};
    const bool loads_met = rhubarbpath::run_loads(base, targets.getValue());
    const bool floods_met = rhubarbpath::run_floods(base);
    return loads_met && floods_met ? 0 : 1;
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.error() << " for argument " << error.argId() << '\n';
    return 2;
  }
}

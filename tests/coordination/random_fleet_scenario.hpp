#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "simulated_workers.hpp"
#include "standing_watch.hpp"

namespace rhubarbpath::testing {

/// A fleet of 30 workers in 5 racks with jobs of all kinds, single workers and whole racks that drain, leave,
/// crash, come back, are cut off, refuse starts or fail runs, changes of the owner and outages of the store.
/// All of it is generated from the seed.
class random_fleet_scenario {
 public:
  explicit random_fleet_scenario(std::uint64_t seed) : fleet{seed}, watch{fleet}, random{seed * 2 + 1} {
    fleet.simulated = {.remote_factor = 3.0,
                       .clocks_start_anywhere = true,
                       .checkpoints = true,
                       .checks_order_and_labels = true,
                       .keeps_history = true,
                       .store_holds_worker_set = true};
    auto configuration = simulated_workers::config();
    configuration->teams.push_back({.id = team_id{"other"}, .keys = {"key2"}, .guaranteed_accelerators = 32});
    fleet.configuration = configuration;
    fleet.add_workers(rack_count * workers_per_rack);
    for (auto& [id, each] : fleet.workers) {
      const auto kind = random.below(2) == 0 ? "k0" : "k1";
      each.entry.labels = {kind, each.entry.rack.value()};
      fleet.restart(id);
    }
    if (random.below(2) == 0) {
      fleet.injected_faults = {.lost_answer = 0.02, .late_order = 0.02, .failing_task = 0.02};
    }
    fleet.after_each_step = [this] {
      end_faults();
      watch.check();
    };
    fleet.begin_term();
    fleet.advance(milliseconds{500});
  }

  void run(int rounds) {
    for (int round = 0; round < rounds; ++round) {
      for (auto count = random.below(3); count > 0; --count) {
        submit_job();
      }
      inject_fault();
      fleet.advance(milliseconds{300 + random.below(1200)});
    }
    fleet.injected_faults = {};
    constexpr duration longest_fault{std::chrono::seconds{16}};
    fleet.advance(longest_fault);
  }

  simulated_workers fleet;
  standing_watch watch;

 private:
  static constexpr std::size_t rack_count = 5;
  static constexpr std::size_t workers_per_rack = 6;
  /// The registry drops the entry of a worker that is silent for three heartbeats.
  static constexpr duration entry_lifetime{milliseconds{4500}};

  [[nodiscard]] bool chance(std::uint64_t one_in) { return random.below(one_in) == 0; }
  [[nodiscard]] duration between(std::uint64_t least_ms, std::uint64_t most_ms) {
    return milliseconds{least_ms + random.below(most_ms - least_ms)};
  }
  [[nodiscard]] std::string any_rack(std::size_t of) { return "r" + std::to_string(random.below(of)); }

  [[nodiscard]] step_spec random_step() {
    step_spec step{.count = 1 + static_cast<std::uint32_t>(random.below(6)),
                   .each = {.cpu_millicores = 500 + static_cast<std::int64_t>(random.below(13'000)),
                            .memory_mb = 500 + static_cast<std::int64_t>(random.below(40'000)),
                            .accelerators = static_cast<std::int64_t>(random.below(4))},
                   .estimate = between(500, 8000),
                   .checkpointing = chance(3),
                   .gang = chance(4)};
    if (step.gang) {
      step.same_rack = chance(2);
      step.each.accelerators = chance(2) ? 8 : step.each.accelerators;
      step.count += static_cast<std::uint32_t>(random.below(4));
    }
    if (chance(4)) {
      step.data_rack = any_rack(rack_count + 2);
    }
    if (chance(5)) {
      step.required_label = chance(2) ? any_rack(rack_count) : chance(2) ? "k0" : "k1";
    }
    if (chance(6)) {
      step.max_per_worker = 1 + static_cast<std::uint32_t>(random.below(2));
    }
    return step;
  }

  void submit_job() {
    const auto name = "j" + std::to_string(jobs++);
    // Compilers evaluate the arguments of a call in different orders.
    auto first_step = random_step();
    const auto priority = static_cast<int>(random.below(3));
    auto job = simulated_workers::job(name, priority, std::move(first_step));
    job.team = team_id{chance(2) ? "team" : "other"};
    fleet.real_duration[job.id] = between(400, 9000);
    if (chance(8)) {
      auto& step = job.graph.steps.front();
      step.long_running = true;
      step.gang = step.same_rack = step.checkpointing = false;
      step.count = 1 + static_cast<std::uint32_t>(random.below(3));
      fleet.real_duration[job.id] = std::chrono::hours{1};
      lasting.push_back(job.id);
      fleet.submit(job);
      return;
    }
    for (std::uint32_t step = 1; step < 3 && chance(2); ++step) {
      job.graph.steps.push_back(random_step());
      job.graph.steps.back().after = {static_cast<std::uint32_t>(random.below(step))};
    }
    if (chance(8)) {
      job.graph.occurrences = 2 + static_cast<std::uint32_t>(random.below(3));
      job.graph.first_due =
          fleet.wall() + std::chrono::duration_cast<milliseconds>(between(0, 3000)) - milliseconds{1000};
      job.graph.interval = std::chrono::duration_cast<milliseconds>(between(500, 6000));
    }
    if (chance(15)) {
      fleet.hopeless_jobs.insert(job.id);
    }
    fleet.submit(job);
    if (chance(15)) {
      after(between(0, 5000), [this, id = job.id] { fleet.cancel(id); });
    }
  }

  /// One worker, or all of a rack, that run.
  [[nodiscard]] std::vector<worker_id> pick_workers() {
    const bool whole_rack = chance(3);
    std::vector<worker_id> running;
    for (const auto& [id, each] : fleet.workers) {
      if (each.running) {
        running.push_back(id);
      }
    }
    if (running.empty()) {
      return {};
    }
    const auto chosen = running[random.below(running.size())];
    if (!whole_rack) {
      return {chosen};
    }
    const auto rack = fleet.workers.at(chosen).entry.rack;
    std::erase_if(running, [&](const worker_id& id) { return fleet.workers.at(id).entry.rack != rack; });
    return running;
  }

  void after(duration delay, std::function<void()> call) {
    later.emplace(fleet.now + delay, std::move(call));
  }
  void end_faults() {
    while (!later.empty() && later.begin()->first <= fleet.now) {
      const auto call = std::move(later.begin()->second);
      later.erase(later.begin());
      call();
    }
  }

  void inject_fault() {
    const auto kind = random.below(12);
    if (kind == 10) {
      if (chance(2)) {
        fleet.begin_term();
      } else {
        fleet.store_up = false;
        after(between(500, 5000), [this] { fleet.store_up = true; });
      }
      return;
    }
    if (kind == 11) {
      fail_lasting_task();
      return;
    }
    const auto lasts = between(1000, 14'000);
    for (const auto& id : pick_workers()) {
      switch (kind) {
        case 0:
        case 1:
          cut_off(id, lasts, kind == 0);
          break;
        case 2:
        case 3:
          drain(id);
          break;
        case 4:
        case 5:
          fleet.crash(id, entry_lifetime);
          after(lasts, [this, id] { fleet.come_back(id); });
          break;
        case 6:
          fleet.restart(id);
          break;
        case 7:
          fleet.workers.at(id).refuses_starts = true;
          after(lasts, [this, id] { fleet.workers.at(id).refuses_starts = false; });
          break;
        case 8:
          fleet.workers.at(id).fails_every_run = true;
          after(lasts, [this, id] { fleet.workers.at(id).fails_every_run = false; });
          break;
        default:
          fleet.workers.at(id).stalled = true;
          after(lasts, [this, id] { fleet.workers.at(id).stalled = false; });
          break;
      }
    }
  }

  void cut_off(const worker_id& id, duration lasts, bool from_registry_too) {
    auto& each = fleet.workers.at(id);
    each.disconnected = true;
    each.refuses_connections = chance(4);
    if (from_registry_too) {
      after(entry_lifetime, [this, id] {
        if (fleet.workers.at(id).disconnected) {
          fleet.unlisted.insert(id);
        }
      });
    }
    after(lasts, [this, id] {
      fleet.workers.at(id).disconnected = fleet.workers.at(id).refuses_connections = false;
      fleet.unlisted.erase(id);
    });
  }

  /// The worker leaves 2 to 5 s after it has said so, and later a new one takes its place.
  void drain(const worker_id& id) {
    auto& each = fleet.workers.at(id);
    each.entry.draining = true;
    each.entry.stays_for = milliseconds{2000};
    const auto stays = between(2000, 5000);
    after(stays, [this, id] { fleet.remove(id); });
    after(stays + between(0, 8000), [this, id] {
      fleet.add_workers(1);
      auto& left = fleet.workers.at(id);
      auto& added = fleet.workers.at(worker_id{"w" + std::to_string(fleet.workers.size())});
      added.entry.rack = left.entry.rack;
      added.entry.labels = left.entry.labels;
    });
  }

  void fail_lasting_task() {
    for (const auto& job : lasting) {
      if (chance(2)) {
        fleet.fail_runs(job);
      }
    }
  }

  random_source random;
  std::multimap<instant, std::function<void()>> later;
  std::vector<job_id> lasting;
  int jobs{0};
};

}  // namespace rhubarbpath::testing

#include "rhubarbpath/coordination/domain_log.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "rhubarbpath/protocol/log_codec.hpp"
#include "simulated_store.hpp"

namespace rhubarbpath {
namespace {

using simulation::event_queue;
using simulation::simulated_process;
using simulation::simulated_store;

constexpr duration second{1'000'000};
const cbor_log_codec codec;

/// Epochs and commits reported by all writers of one log; compared with a final replay.
struct history {
  std::map<epoch, std::string> opened;  ///< Each epoch with the process that opened it.
  std::set<std::string> committed;      ///< Jobs whose `job_accepted` entry was reported as committed.
  bool epoch_opened_twice{false};
};

class log_process : public simulated_process<domain_log, domain_log_event, domain_log_action> {
 public:
  log_process(event_queue& queue, simulated_store& store, history& observed, const std::string& name,
              int start)
      : simulated_process{queue, store, vm_id{name}, incarnation{static_cast<std::uint64_t>(start)}},
        name_{name + "#" + std::to_string(start)},
        observed_{&observed} {
    part_ = std::make_unique<domain_log>(
        domain_log::options{.prefix = "/d",
                            .owner = vm_id{name},
                            .owner_incarnation = incarnation{static_cast<std::uint64_t>(start)},
                            .append_interval = duration{10'000},
                            .snapshot_rows = 4,
                            .snapshot_part_bytes = 1000,
                            .retention = 8 * second,
                            .replay_page = 3,
                            .delete_interval = duration{1'000}},
        codec, random());
  }

  void accept_job() {
    const auto job = name_ + "-" + std::to_string(++appends_);
    jobs_[appends_] = job;
    send(log_append{
        .id = appends_,
        .entries = {job_accepted{.job = job_id{job}, .spec = {.command = std::string(100, 'x')}}}});
  }
  void on_action(domain_log_action& action) override {
    if (const auto* opened = std::get_if<log_opened>(&action)) {
      const auto [found, added] = observed_->opened.emplace(opened->opened, name_);
      observed_->epoch_opened_twice |= !added;
    } else if (const auto* committed = std::get_if<log_committed>(&action)) {
      for (; reported_ < committed->through; ++reported_) {
        observed_->committed.insert(jobs_[reported_ + 1]);
      }
    } else if (std::holds_alternative<log_lost>(action)) {
      lost_ = true;
    }
  }
  [[nodiscard]] bool lost() const { return lost_; }

 private:
  std::string name_;
  history* observed_;
  std::uint64_t appends_{0};
  std::uint64_t reported_{0};
  std::map<std::uint64_t, std::string> jobs_;
  bool lost_{false};
};

struct log_simulation {
  explicit log_simulation(std::uint64_t seed) : random{seed} {}

  std::shared_ptr<log_process> start(const std::string& name) {
    auto started = std::make_shared<log_process>(queue, store, observed, name, ++starts);
    started->send(log_open_requested{});
    return started;
  }
  void run(duration interval) { queue.run_until(queue.now() + interval); }
  /// Replays the log without faults and returns the resulting state.
  domain_state replay() {
    store.faults = {};
    store.down = false;
    auto reader = start("reader");
    run(20 * second);
    REQUIRE(reader->part().open());
    return reader->part().state();
  }

  random_source random;
  event_queue queue;
  simulated_store store{queue, random};
  history observed;
  int starts{0};
};

/// Runs three processes that open the log, append, freeze, resume and crash at random times under store
/// faults.
void run_random_history(std::uint64_t seed, int steps) {
  log_simulation sim{seed};
  sim.store.faults = {.answer_lost = 0.05,
                      .request_lost = 0.03,
                      .delayed = 0.05,
                      .limited = 0.02,
                      .stale_list = 0.3,
                      .longest_delay = 2 * second};
  std::vector<std::shared_ptr<log_process>> processes;
  for (const auto* name : {"a", "b", "c"}) {
    processes.push_back(sim.start(name));
  }
  for (int step = 0; step < steps; ++step) {
    auto& process = processes[sim.random.below(processes.size())];
    const auto choice = sim.random.below(100);
    if (choice < 70) {
      process->accept_job();
    } else if (choice < 80) {
      process->frozen() ? process->resume() : process->freeze();
    } else if (choice < 84 || (process->lost() && choice < 95)) {
      process->crash();
      process = sim.start(std::string(1, static_cast<char>('a' + sim.random.below(3))));
    } else if (choice < 97) {
      sim.run(duration{static_cast<std::int64_t>(sim.random.below(400'000))});
    } else {
      sim.run(sim.random.below(2) == 0 ? 5 * second : 12 * second);
    }
    sim.run(duration{static_cast<std::int64_t>(sim.random.below(30'000))});
  }
  for (auto& process : processes) {
    process->resume();
  }
  sim.run(5 * second);
  for (auto& process : processes) {
    process->crash();  // A process that is still replaying would commit entries after the final replay.
  }
  const auto state = sim.replay();
  RC_ASSERT(!sim.observed.epoch_opened_twice);
  for (const auto& job : sim.observed.committed) {
    RC_ASSERT(state.jobs.contains(job_id{job}));
  }
}

}  // namespace

// Guards against two owners of one epoch, and against a committed entry that a later owner does not see, when
// the store loses or delays calls or returns stale lists.
TEST_CASE("domain_log_with_any_interleaving_keeps_committed_entries") {
  REQUIRE(rc::check([] { run_random_history(*rc::gen::arbitrary<std::uint64_t>(), 300); }));
}

// Guards against treating a write as failed because its response was lost, and then repeating or dropping it.
TEST_CASE("domain_log_append_with_lost_answer_commits_once") {
  log_simulation sim{1};
  auto owner = sim.start("a");
  sim.run(second);
  REQUIRE(owner->part().open());
  sim.store.faults.answer_lost = 0.5;
  for (int i = 0; i < 40; ++i) {
    owner->accept_job();
    sim.run(duration{100'000});
  }
  sim.store.faults = {};
  sim.run(10 * second);
  CHECK_FALSE(owner->lost());
  CHECK(sim.observed.committed.size() == 40);
  CHECK(sim.replay().jobs.size() == 40);
}

// Guards against a predecessor that continues to append after another epoch was opened.
TEST_CASE("domain_log_paused_owner_append_conflicts_and_stops") {
  log_simulation sim{2};
  auto first = sim.start("a");
  sim.run(second);
  first->freeze();
  auto second_owner = sim.start("b");
  sim.run(second);
  REQUIRE(second_owner->part().open());
  first->resume();
  first->accept_job();
  sim.run(second);
  CHECK(first->lost());
  CHECK(sim.observed.committed.empty());
  CHECK(second_owner->part().opened_epoch() > epoch{1});
}

// Guards against an append that succeeds only because a later owner's snapshot covered its row number and the
// original row was deleted.
TEST_CASE("domain_log_owner_paused_past_retention_cannot_append") {
  log_simulation sim{3};
  auto first = sim.start("a");
  sim.run(second);
  first->freeze();
  auto later = sim.start("b");
  for (int round = 0; round < 3; ++round) {
    for (int i = 0; i < 10; ++i) {
      later->accept_job();
      sim.run(duration{50'000});
    }
    sim.run(10 * second);
    later->crash();
    later = sim.start("b");
    sim.run(second);
  }
  sim.run(20 * second);
  REQUIRE_FALSE(sim.store.rows().contains("/d/log/00000000000000000002"));
  first->resume();
  first->accept_job();
  sim.run(second);
  CHECK(first->lost());
  CHECK(sim.observed.committed.size() == 30);
}

// Guards against unbounded growth of the log, and against values above the size limit of the store.
TEST_CASE("domain_log_long_run_keeps_few_rows") {
  log_simulation sim{4};
  auto owner = sim.start("a");
  sim.run(second);
  for (int i = 0; i < 400; ++i) {
    owner->accept_job();
    sim.run(duration{50'000});
  }
  sim.run(20 * second);
  std::size_t log_rows = 0;
  for (const auto& [key, row] : sim.store.rows()) {
    log_rows += key.starts_with("/d/log/") ? 1 : 0;
    CHECK(row.value.size() <= 1000);
  }
  CHECK(log_rows < 10);
  CHECK(sim.replay().jobs.size() == 400);
}

// Guards against a write rate that is proportional to the number of job events.
TEST_CASE("domain_log_burst_is_written_in_groups") {
  log_simulation sim{5};
  auto owner = sim.start("a");
  sim.run(second);
  int rows = 0;
  sim.store.on_write = [&](const store_row& row) { rows += row.key.starts_with("/d/log/") ? 1 : 0; };
  for (int i = 0; i < 1000; ++i) {
    owner->accept_job();
  }
  sim.run(second);
  CHECK(sim.observed.committed.size() == 1000);
  CHECK(rows <= 10);
}

}  // namespace rhubarbpath

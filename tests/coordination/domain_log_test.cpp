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
using simulation::hosted_part;
using simulation::simulated_store;

constexpr duration second{1'000'000};
const cbor_log_codec codec;

/// What all writers of one log together may do; checked against a final replay.
struct history {
  std::map<epoch, std::string> opened;  ///< Epoch and the process that opened it.
  std::set<std::string> committed;      ///< Jobs whose acceptance was reported as committed.
  bool epoch_opened_twice{false};
};

class log_process : public hosted_part<domain_log, domain_log_event, domain_log_action> {
 public:
  log_process(event_queue& queue, simulated_store& store, history& seen, const std::string& name, int start)
      : hosted_part{queue, store, vm_id{name}, incarnation{static_cast<std::uint64_t>(start)}},
        name_{name + "#" + std::to_string(start)},
        seen_{&seen} {
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
      const auto [found, added] = seen_->opened.emplace(opened->opened, name_);
      seen_->epoch_opened_twice |= !added;
    } else if (const auto* committed = std::get_if<log_committed>(&action)) {
      for (; reported_ < committed->through; ++reported_) {
        seen_->committed.insert(jobs_[reported_ + 1]);
      }
    } else if (std::holds_alternative<log_lost>(action)) {
      lost_ = true;
    }
  }
  [[nodiscard]] bool lost() const { return lost_; }

 private:
  std::string name_;
  history* seen_;
  std::uint64_t appends_{0};
  std::uint64_t reported_{0};
  std::map<std::uint64_t, std::string> jobs_;
  bool lost_{false};
};

struct log_world {
  explicit log_world(std::uint64_t seed) : random{seed} {}

  std::shared_ptr<log_process> start(const std::string& name) {
    auto started = std::make_shared<log_process>(queue, store, seen, name, ++starts);
    started->send(log_open_requested{});
    return started;
  }
  void run(duration interval) { queue.run_until(queue.now() + interval); }
  /// Opens the log without faults and returns what it says.
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
  history seen;
  int starts{0};
};

/// Three processes that open the log at any time, append, freeze, resume and crash under store faults.
void run_random_history(std::uint64_t seed, int steps) {
  log_world world{seed};
  world.store.faults = {.answer_lost = 0.05,
                        .request_lost = 0.03,
                        .delayed = 0.05,
                        .limited = 0.02,
                        .stale_list = 0.3,
                        .longest_delay = 2 * second};
  std::vector<std::shared_ptr<log_process>> processes;
  for (const auto* name : {"a", "b", "c"}) {
    processes.push_back(world.start(name));
  }
  for (int step = 0; step < steps; ++step) {
    auto& process = processes[world.random.below(processes.size())];
    const auto choice = world.random.below(100);
    if (choice < 70) {
      process->accept_job();
    } else if (choice < 80) {
      process->frozen() ? process->resume() : process->freeze();
    } else if (choice < 84 || (process->lost() && choice < 95)) {
      process->crash();
      process = world.start(std::string(1, static_cast<char>('a' + world.random.below(3))));
    } else if (choice < 97) {
      world.run(duration{static_cast<std::int64_t>(world.random.below(400'000))});
    } else {
      world.run(world.random.below(2) == 0 ? 5 * second : 12 * second);
    }
    world.run(duration{static_cast<std::int64_t>(world.random.below(30'000))});
  }
  for (auto& process : processes) {
    process->resume();
  }
  world.run(5 * second);
  for (auto& process : processes) {
    process->crash();  // One that still replays would commit entries after the final replay.
  }
  const auto state = world.replay();
  RC_ASSERT(!world.seen.epoch_opened_twice);
  for (const auto& job : world.seen.committed) {
    RC_ASSERT(state.jobs.contains(job_id{job}));
  }
}

}  // namespace

// Guards against two owners under one epoch and against a committed entry that a later owner does not see,
// whatever the store loses, delays or shows too late.
TEST_CASE("domain_log_with_any_interleaving_keeps_committed_entries") {
  REQUIRE(rc::check([] { run_random_history(*rc::gen::arbitrary<std::uint64_t>(), 300); }));
}

// Guards against a write that is taken for failed because its answer was lost, and then repeated or dropped.
TEST_CASE("domain_log_append_with_lost_answer_commits_once") {
  log_world world{1};
  auto owner = world.start("a");
  world.run(second);
  REQUIRE(owner->part().open());
  world.store.faults.answer_lost = 0.5;
  for (int i = 0; i < 40; ++i) {
    owner->accept_job();
    world.run(duration{100'000});
  }
  world.store.faults = {};
  world.run(10 * second);
  CHECK_FALSE(owner->lost());
  CHECK(world.seen.committed.size() == 40);
  CHECK(world.replay().jobs.size() == 40);
}

// Guards against a predecessor that goes on after another epoch was opened.
TEST_CASE("domain_log_paused_owner_append_conflicts_and_stops") {
  log_world world{2};
  auto first = world.start("a");
  world.run(second);
  first->freeze();
  auto second_owner = world.start("b");
  world.run(second);
  REQUIRE(second_owner->part().open());
  first->resume();
  first->accept_job();
  world.run(second);
  CHECK(first->lost());
  CHECK(world.seen.committed.empty());
  CHECK(second_owner->part().opened_epoch() > epoch{1});
}

// Guards against an append that succeeds only because a later owner's snapshot covered its number and the
// row with that number was deleted.
TEST_CASE("domain_log_owner_paused_past_retention_cannot_append") {
  log_world world{3};
  auto first = world.start("a");
  world.run(second);
  first->freeze();
  auto later = world.start("b");
  for (int round = 0; round < 3; ++round) {
    for (int i = 0; i < 10; ++i) {
      later->accept_job();
      world.run(duration{50'000});
    }
    world.run(10 * second);
    later->crash();
    later = world.start("b");
    world.run(second);
  }
  world.run(20 * second);
  REQUIRE_FALSE(world.store.rows().contains("/d/log/00000000000000000002"));
  first->resume();
  first->accept_job();
  world.run(second);
  CHECK(first->lost());
  CHECK(world.seen.committed.size() == 30);
}

// Guards against a log that grows without bound, and against values above the store's limit.
TEST_CASE("domain_log_long_run_keeps_few_rows") {
  log_world world{4};
  auto owner = world.start("a");
  world.run(second);
  for (int i = 0; i < 400; ++i) {
    owner->accept_job();
    world.run(duration{50'000});
  }
  world.run(20 * second);
  std::size_t log_rows = 0;
  for (const auto& [key, row] : world.store.rows()) {
    log_rows += key.starts_with("/d/log/") ? 1 : 0;
    CHECK(row.value.size() <= 1000);
  }
  CHECK(log_rows < 10);
  CHECK(world.replay().jobs.size() == 400);
}

// Guards against a write rate that grows with the number of job events.
TEST_CASE("domain_log_burst_is_written_in_groups") {
  log_world world{5};
  auto owner = world.start("a");
  world.run(second);
  int rows = 0;
  world.store.on_write = [&](const store_row& row) { rows += row.key.starts_with("/d/log/") ? 1 : 0; };
  for (int i = 0; i < 1000; ++i) {
    owner->accept_job();
  }
  world.run(second);
  CHECK(world.seen.committed.size() == 1000);
  CHECK(rows <= 10);
}

}  // namespace rhubarbpath

#include <catch2/catch.hpp>

#include "simulated_workers.hpp"

// Starts on queues with an adviser: each start needs a ticket of the step for its worker, which expires.
namespace rhubarbpath {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::simulated_workers;
using testing::ticket_age;

/// Nothing of a job may run for at most this long while the fleet has room for it, advice apart.
constexpr duration longest_stand{seconds{3}};

/// The terms of an adviser in milliseconds.
constexpr adviser_config terms_of(int decision, int per_worker, int validity) {
  return {.decision = milliseconds{decision},
          .per_worker = milliseconds{per_worker},
          .validity = milliseconds{validity}};
}

/// 48 idle workers in 8 racks, "r0" to "r7", with 8 accelerators each, and an adviser that allows all of
/// them.
class advice_fixture {
 protected:
  explicit advice_fixture(std::size_t workers = 48) {
    fleet.add_workers(workers);
    for (const auto& [id, worker] : fleet.workers) {
      fleet.workers_allowed_by_adviser.insert(id);
    }
    fleet.begin_term();
    fleet.advance(milliseconds{200});
  }

  void use_adviser(const adviser_config& terms) {
    auto changed = std::make_shared<fleet_config>(*fleet.configuration);
    for (auto& queue : changed->queues) {
      queue.adviser = terms;
    }
    fleet.configuration = changed;
    fleet.scheduler->set_config(changed, fleet.now);
  }
  /// Leaves the adviser only every `stride`th worker, beginning with `first`.
  void allow_every(std::size_t stride, std::size_t first = 0) {
    fleet.workers_allowed_by_adviser.clear();
    std::size_t number = 0;
    for (const auto& [id, worker] : fleet.workers) {
      if (number++ % stride == first) {
        fleet.workers_allowed_by_adviser.insert(id);
      }
    }
  }

  /// A gang whose tasks need a whole worker each.
  static step_spec gang_of(std::uint32_t members, duration estimate = seconds{2}) {
    return {.count = members, .each = {1000, 1000, 8}, .estimate = estimate, .gang = true};
  }
  /// Single tasks that need a whole worker each.
  static step_spec tasks(std::uint32_t count, duration estimate = seconds{2}) {
    return {.count = count, .each = {1000, 1000, 8}, .estimate = estimate};
  }
  void submit(const std::string& id, const step_spec& step, std::int64_t priority = 1) {
    fleet.submit(simulated_workers::job(id, priority, step));
  }

  [[nodiscard]] std::size_t running(const std::string& id) const {
    std::size_t count = 0;
    for (const auto& [name, worker] : fleet.workers) {
      for (const auto& [task, state] : worker.tasks) {
        count += task.job == job_id{id} ? 1 : 0;
      }
    }
    return count;
  }
  /// Returns `limit` if that many tasks of the job do not run at the same time until then.
  [[nodiscard]] duration time_until_running(const std::string& id, std::size_t count, duration limit) {
    const auto begin = fleet.now;
    while (running(id) < count && fleet.now - begin < limit) {
      fleet.advance(milliseconds{4});
    }
    return fleet.now - begin;
  }
  /// Of the last time that the scheduler said why a job stands; empty if it never did.
  [[nodiscard]] std::string reason_for_standing() const {
    return fleet.standing_jobs.empty() ? std::string{} : fleet.standing_jobs.back().reason;
  }

  simulated_workers fleet{1};
};

// ---- the width of a gang ----

TEST_CASE_METHOD(advice_fixture, "scheduler_gang_with_adviser_starts_if_one_call_about_it_fits_its_tickets") {
  // Guards against calls that are cut to a share of the validity, so that the first tickets of a gang expire
  // before its last ones come (review/12).
  use_adviser(terms_of(200, 20, 1200));
  const auto age = GENERATE(ticket_age::from_call, ticket_age::from_answer);
  fleet.tickets_age = age;
  submit("a", gang_of(20));
  CHECK(time_until_running("a", 20, seconds{30}) <= longest_stand);
  CHECK(fleet.advice_calls <= 3);
  CHECK(fleet.refused_tickets == 0);
}

TEST_CASE_METHOD(advice_fixture, "scheduler_gang_with_adviser_starts_for_all_terms_that_can_be_met") {
  // Guards against terms for which a gang asks again and again about workers whose tickets have expired.
  struct terms_case {
    adviser_config terms;
    std::uint32_t members;
  };
  const auto each = GENERATE(values<terms_case>({{terms_of(200, 20, 1200), 30},
                                                 {terms_of(200, 20, 1500), 30},
                                                 {terms_of(200, 20, 2000), 48},
                                                 {terms_of(500, 0, 900), 48},
                                                 {terms_of(0, 60, 2000), 20},
                                                 {terms_of(20, 5, 400), 40},
                                                 {terms_of(20, 5, 300), 2},
                                                 {terms_of(1, 1, 80), 40},
                                                 {terms_of(300, 100, 5000), 40}}));
  const auto age = GENERATE(ticket_age::from_call, ticket_age::from_answer);
  // Of 48 workers; a gang that needs more is left out.
  const auto stride = GENERATE(1U, 2U, 5U);
  const auto allowed = 48U / stride;
  if (each.members <= allowed) {
    use_adviser(each.terms);
    fleet.tickets_age = age;
    allow_every(stride, stride - 1);
    const auto call_on_all = each.terms.decision * 10 + each.terms.per_worker * 48;
    submit("a", gang_of(each.members));
    INFO(each.members << " of " << allowed << " workers; " << each.terms.decision.count() << ", "
                      << each.terms.per_worker.count() << " and " << each.terms.validity.count() << " us");
    CHECK(time_until_running("a", each.members, seconds{60}) <= longest_stand + call_on_all);
  }
}

TEST_CASE_METHOD(advice_fixture, "scheduler_gang_with_adviser_and_few_allowed_workers_learns_all_of_them") {
  // Guards against known workers that are asked about again and again, so that the others are never.
  use_adviser(terms_of(100, 20, 700));
  allow_every(3, 2);
  fleet.tickets_age = ticket_age::from_call;
  submit("a", gang_of(16));
  CHECK(time_until_running("a", 16, seconds{60}) <= 2 * longest_stand);
}

TEST_CASE_METHOD(advice_fixture, "scheduler_gang_with_adviser_is_packed_if_a_call_about_fewer_workers_fits") {
  // Guards against a gang that stands because it is spread over more workers than one call can be about. The
  // workers with the least space come first otherwise.
  for (std::uint32_t job = 0; job < 40; ++job) {
    auto filler = tasks(1, seconds{600});
    filler.each.accelerators = 7;
    fleet.submit(simulated_workers::job("f" + std::to_string(job), 1, filler));
  }
  fleet.advance(seconds{2});
  use_adviser(terms_of(100, 50, 700));
  fleet.tickets_age = ticket_age::from_call;
  auto step = gang_of(16);
  step.each.accelerators = 1;
  submit("a", step);
  CHECK(time_until_running("a", 16, seconds{60}) <= 2 * longest_stand);
}

class wide_advice_fixture : public advice_fixture {
 protected:
  wide_advice_fixture() : advice_fixture{160} {}
};

TEST_CASE_METHOD(wide_advice_fixture, "scheduler_gang_with_adviser_that_is_wider_than_a_call_starts") {
  // Guards against a gang on more workers than a call may name.
  use_adviser(terms_of(100, 10, 2400));
  const auto age = GENERATE(ticket_age::from_call, ticket_age::from_answer);
  fleet.tickets_age = age;
  submit("a", gang_of(150));
  CHECK(time_until_running("a", 150, seconds{60}) <= 2 * longest_stand);
}

// ---- several steps ----

TEST_CASE_METHOD(advice_fixture, "scheduler_gangs_with_adviser_that_ask_at_once_all_start") {
  // Guards against gangs whose calls delay each other until the tickets of all have expired.
  use_adviser(terms_of(200, 20, 1200));
  fleet.tickets_age = ticket_age::from_call;
  submit("a", gang_of(20, seconds{20}));
  submit("b", gang_of(20, seconds{20}));
  submit("c", tasks(1, seconds{20}));
  CHECK(time_until_running("a", 20, seconds{30}) <= 2 * longest_stand);
  CHECK(time_until_running("b", 20, seconds{30}) <= 2 * longest_stand);
  CHECK(time_until_running("c", 1, seconds{30}) <= 2 * longest_stand);
}

TEST_CASE_METHOD(advice_fixture,
                 "scheduler_task_with_adviser_is_asked_about_beside_a_gang_that_cannot_start") {
  // Guards against one step that takes the adviser for itself.
  use_adviser(terms_of(200, 20, 1200));
  allow_every(3);
  submit("a", gang_of(20), 0);
  fleet.advance(seconds{1});
  submit("b", tasks(1, seconds{20}));
  CHECK(time_until_running("b", 1, seconds{30}) <= longest_stand);
}

TEST_CASE_METHOD(advice_fixture, "scheduler_urgent_gang_with_adviser_starts_where_it_preempts") {
  // Guards against tickets that expire while the preempted runs stop.
  submit("a", tasks(48, seconds{60}), 2);
  fleet.advance(seconds{1});
  REQUIRE(running("a") == 48);
  use_adviser(terms_of(100, 20, 650));
  fleet.tickets_age = ticket_age::from_call;
  fleet.stop_time = milliseconds{190};
  submit("b", gang_of(20), 0);
  CHECK(time_until_running("b", 20, seconds{30}) <= 2 * longest_stand);
}

// ---- what cannot be met ----

TEST_CASE_METHOD(advice_fixture, "scheduler_gang_with_adviser_whose_tickets_always_expire_says_so") {
  // Guards against calls without an end, and a reason that names no cause, for a gang that cannot run.
  use_adviser(terms_of(200, 20, 500));
  fleet.tickets_age = ticket_age::from_call;
  submit("a", gang_of(20));
  fleet.advance(seconds{60});
  CHECK(running("a") == 0);
  CHECK(reason_for_standing() ==
        "its tickets expire before its start: a call about 20 workers takes 600 ms, a ticket is valid for "
        "500 ms");
  // One call of 600 ms after each pause of 2.4 s, and those before the pause has grown that long.
  CHECK(fleet.advice_calls <= 28);
  CHECK(fleet.phase("a") == job_phase::queued);
  // Better terms end it.
  use_adviser(terms_of(200, 20, 1200));
  CHECK(time_until_running("a", 20, seconds{30}) <= 2 * longest_stand);
}

TEST_CASE_METHOD(advice_fixture,
                 "scheduler_task_with_adviser_whose_tickets_are_never_valid_causes_few_calls") {
  // Guards against calls without an end for tickets that have expired before any start can be ordered.
  use_adviser(terms_of(5, 1, GENERATE(0, 1, 3)));
  fleet.tickets_age = ticket_age::from_call;
  submit("a", tasks(1));
  submit("b", gang_of(4), 0);
  fleet.advance(seconds{60});
  CHECK(running("a") + running("b") == 0);
  CHECK(reason_for_standing().find("valid for") != std::string::npos);
  // For each job one call after each pause of 2.4 s, those before, and those that ask about each worker once.
  CHECK(fleet.advice_calls <= 2 * (60 * 10 / 24 + 5) + 2 * 48 / 6);
}

TEST_CASE_METHOD(wide_advice_fixture,
                 "scheduler_gang_with_adviser_that_no_calls_can_cover_is_not_asked_about") {
  use_adviser(terms_of(100, 10, 500));
  submit("a", gang_of(150));
  fleet.advance(seconds{30});
  CHECK(running("a") == 0);
  CHECK(reason_for_standing() ==
        "the calls about its 150 workers take 1700 ms, a ticket is valid for 500 ms");
  const auto calls = fleet.advice_calls;
  fleet.advance(seconds{30});
  CHECK(fleet.advice_calls == calls);
}

TEST_CASE_METHOD(advice_fixture, "scheduler_gang_with_adviser_that_allows_too_few_workers_says_so") {
  use_adviser(terms_of(200, 20, 1200));
  allow_every(3);
  submit("a", gang_of(20));
  fleet.advance(seconds{30});
  CHECK(running("a") == 0);
  CHECK(reason_for_standing() == "the adviser allows 16 of 48 workers, too few for it");
  // Each worker is asked about once, and the tickets of those that are allowed are not renewed.
  CHECK(fleet.advice_calls <= 8);
}

TEST_CASE_METHOD(advice_fixture, "scheduler_adviser_that_does_not_answer_is_called_seldom") {
  use_adviser(terms_of(20, 5, 3000));
  fleet.adviser_answers = false;
  for (int job = 0; job < 40; ++job) {
    submit("a" + std::to_string(job), tasks(1));
  }
  fleet.advance(seconds{30});
  // One each 1.6 s, and those before the pause has grown that long.
  CHECK(fleet.advice_calls <= 30);
  CHECK(reason_for_standing() == "the adviser does not answer");
  fleet.adviser_answers = true;
  fleet.advance(seconds{12});
  for (int job = 0; job < 40; ++job) {
    CHECK(fleet.phase("a" + std::to_string(job)) == job_phase::complete);
  }
}

TEST_CASE_METHOD(advice_fixture, "scheduler_gang_with_adviser_that_is_away_keeps_no_space_from_others") {
  // Guards against space that stays reserved for a gang whose tickets do not come.
  use_adviser(terms_of(20, 5, 3000));
  submit("a", gang_of(48));
  REQUIRE(time_until_running("a", 48, seconds{5}) <= longest_stand);
  REQUIRE(fleet.violations.empty());
  // Queue 2 needs no advice.
  auto changed = std::make_shared<fleet_config>(*fleet.configuration);
  changed->queues.at(2).adviser.reset();
  fleet.configuration = changed;
  fleet.scheduler->set_config(changed, fleet.now);
  fleet.fail_runs(job_id{"a"});
  fleet.adviser_answers = false;
  fleet.advance(seconds{8});
  REQUIRE(running("a") == 0);
  submit("b", tasks(48), 2);
  CHECK(time_until_running("b", 40, seconds{60}) <= longest_stand);
}

TEST_CASE_METHOD(advice_fixture, "scheduler_advice_about_steps_that_are_done_is_not_kept") {
  // Guards against an owner whose memory grows with each occurrence of a job that repeats for years.
  use_adviser(terms_of(20, 5, 3000));
  auto job = simulated_workers::job("a", 1, tasks(1, milliseconds{100}));
  job.graph.occurrences = 20;
  job.graph.first_due = fleet.wall();
  job.graph.interval = milliseconds{500};
  fleet.submit(job);
  fleet.advance(seconds{9});
  // One that runs and one that is due.
  CHECK(fleet.scheduler->advised_steps() <= 2);
  fleet.advance(seconds{5});
  CHECK(fleet.phase("a") == job_phase::complete);
}

// ---- changes ----

TEST_CASE_METHOD(advice_fixture,
                 "scheduler_gang_with_adviser_starts_after_a_change_of_the_owner_and_the_terms") {
  use_adviser(terms_of(200, 20, 1200));
  fleet.tickets_age = ticket_age::from_call;
  submit("a", gang_of(20));
  fleet.advance(milliseconds{300});
  SECTION("owner") {
    fleet.scheduler.reset();
    fleet.begin_term();
  }
  SECTION("terms") {
    use_adviser(terms_of(100, 20, 900));
  }
  SECTION("no adviser") {
    auto changed = std::make_shared<fleet_config>(*fleet.configuration);
    for (auto& queue : changed->queues) {
      queue.adviser.reset();
    }
    fleet.configuration = changed;
    fleet.scheduler->set_config(changed, fleet.now);
  }
  SECTION("restarts") {
    for (int number = 1; number <= 48; number += 2) {
      fleet.restart(worker_id{"w" + std::to_string(number)});
    }
  }
  CHECK(time_until_running("a", 20, seconds{60}) <= 2 * longest_stand);
  CHECK(fleet.violations.empty());
}

}  // namespace
}  // namespace rhubarbpath

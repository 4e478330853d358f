#include "rhubarbpath/coordination/work_budget.hpp"

#include <catch2/catch.hpp>
#include <string>

#include "rhubarbpath/coordination/work_cost.hpp"

namespace rhubarbpath {
namespace {

const team_id first{"first"};
const team_id second{"second"};
const instant start{std::chrono::seconds{1}};

class budget_fixture {
 public:
  work_budget budget{1000};
};

TEST_CASE_METHOD(budget_fixture, "work_budget_single_team_gets_half") {
  // Guards against one team that takes the space of all others.
  CHECK(budget.reserve(job_id{"a"}, first, 400, start));
  CHECK_FALSE(budget.reserve(job_id{"b"}, first, 200, start));
  CHECK(budget.reserve(job_id{"c"}, first, 100, start));
  CHECK(budget.reserve(job_id{"d"}, second, 200, start));
}

TEST_CASE_METHOD(budget_fixture, "work_budget_job_that_was_reserved_counts_once") {
  // Guards against a job that counts twice while it is stored, or for good if it never is.
  CHECK(budget.reserve(job_id{"a"}, first, 400, start));
  CHECK(budget.reserve(job_id{"a"}, first, 400, start));
  budget.add(job_id{"a"}, first, 400);
  CHECK(budget.bytes() == 400);
  CHECK(budget.reserve(job_id{"b"}, first, 50, start));
  budget.expire(start + work_budget::reservation_lifetime);
  CHECK(budget.bytes() == 400);
}

TEST_CASE_METHOD(budget_fixture, "work_budget_team_is_full_until_it_has_a_quarter_less") {
  // Guards against a team that is refused and admitted by turns with each job that ends.
  budget.add(job_id{"a"}, first, 490);
  CHECK(budget.full_teams().empty());
  budget.add(job_id{"b"}, first, 20);
  CHECK(budget.full_teams() == std::set<team_id>{first});
  budget.remove(first, 50);
  CHECK(budget.full_teams() == std::set<team_id>{first});
  budget.remove(first, 40);
  CHECK(budget.full_teams().empty());
}

TEST_CASE("work_budget_teams_at_their_limits_leave_some_for_the_next") {
  // Guards against teams that use up the space together.
  constexpr std::uint64_t whole = 1'000'000;
  work_budget large{whole};
  for (int number = 0; number < 9; ++number) {
    const team_id team{"team-" + std::to_string(number)};
    while (!large.full_teams().contains(team)) {
      large.add(job_id{"x"}, team, 1);
    }
  }
  CHECK(large.bytes() < whole);
  CHECK(large.reserve(job_id{"a"}, second, 1, start));
}

TEST_CASE("work_cost_grows_with_what_is_kept") {
  // Guards against jobs that cost much more than is counted for them.
  job_graph graph;
  graph.steps.resize(10'000);
  const auto plain = cost_of(graph);
  CHECK(plain.open > 10'000 * sizeof(step_spec));
  CHECK(plain.ended < plain.open);
  graph.occurrences = 1000;
  const auto repeated = cost_of(graph);
  CHECK(repeated.open > plain.open);
  graph.steps.front() = {.count = max_gang_members, .gang = true};
  CHECK(cost_of(graph).open > repeated.open);
}

}  // namespace
}  // namespace rhubarbpath

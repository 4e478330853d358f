#include "rhubarbpath/coordination/free_space_index.hpp"

#include <catch2/catch.hpp>
#include <limits>
#include <map>

#include "rhubarbpath/state/random.hpp"

namespace rhubarbpath {
namespace {

constexpr std::uint32_t unlimited = std::numeric_limits<std::uint32_t>::max();
const auto any_worker = [](worker_slot) { return unlimited; };

struct index_fixture {
  static constexpr resource_amounts capacity{32000, 128000, 8};

  void add_workers(std::size_t count, std::size_t workers_per_rack = 8) {
    for (std::size_t added = 0; added < count; ++added) {
      slots.push_back(index.add(rack_id{"r" + std::to_string(slots.size() / workers_per_rack)}));
      set_free(slots.size() - 1, capacity);
    }
  }
  void set_free(std::size_t worker, const resource_amounts& free, bool suspect = false) {
    index.set(slots[worker], {.free = free, .capacity = capacity, .usable = true, .suspect = suspect});
  }
  /// Number of members that fit on all workers, counted without the index.
  [[nodiscard]] std::int64_t room_for(const resource_amounts& need) const {
    std::int64_t members = 0;
    for (const auto at : slots) {
      const auto& space = index.space(at);
      for (auto free = space.free; space.usable && free.covers(need); free -= need) {
        ++members;
      }
    }
    return members;
  }

  free_space_index index;
  std::vector<worker_slot> slots;
};

TEST_CASE_METHOD(index_fixture, "free_space_index_fit_takes_the_fullest_worker_that_has_room") {
  // Guards against fragmentation: small tasks must not open an empty worker while a used one has room.
  add_workers(3);
  set_free(1, {16000, 64000, 3});
  set_free(2, {16000, 64000, 1});
  const auto where = index.fit({.each = {1000, 1000, 2}}, any_worker);
  REQUIRE(where.size() == 1);
  CHECK(where.front() == slots[1]);
}

TEST_CASE_METHOD(index_fixture, "free_space_index_fit_uses_suspect_workers_last") {
  // Guards against work that is sent to a worker whose last run failed while another has room.
  add_workers(2);
  set_free(0, {8000, 8000, 1}, true);
  CHECK(index.fit({.each = {1000, 1000, 1}}, any_worker).front() == slots[1]);
  set_free(1, {});
  CHECK(index.fit({.each = {1000, 1000, 1}}, any_worker).front() == slots[0]);
}

TEST_CASE_METHOD(index_fixture, "free_space_index_gang_in_rack_takes_the_fullest_rack_that_holds_it") {
  // Guards against gangs that break up empty racks, which larger gangs need.
  add_workers(24);
  for (std::size_t worker = 8; worker < 14; ++worker) {
    set_free(worker, {});
  }
  const auto where = index.fit_in_rack({.each = {1000, 1000, 8}, .members = 2}, "", any_worker);
  REQUIRE(where.size() == 2);
  CHECK(std::set<worker_slot>{where.begin(), where.end()} == std::set<worker_slot>{slots[14], slots[15]});
  CHECK(index.fit_in_rack({.each = {1000, 1000, 8}, .members = 9}, "", any_worker).empty());
  CHECK(index.fit_in_rack({.each = {1000, 1000, 8}, .members = 3}, "r1", any_worker).empty());
}

TEST_CASE_METHOD(index_fixture, "free_space_index_allowance_limits_members_per_worker") {
  // Guards against more tasks of a step on a worker than the step allows.
  add_workers(2);
  const auto two_each = [](worker_slot) { return 2U; };
  CHECK(index.fit({.each = {1000, 1000, 1}, .members = 4}, two_each).size() == 4);
  CHECK(index.fit({.each = {1000, 1000, 1}, .members = 5}, two_each).empty());
}

TEST_CASE_METHOD(index_fixture, "free_space_index_plan_prefers_the_rack_that_misses_least") {
  // Guards against holding space back in a rack that stays full for longer than another.
  add_workers(16);
  for (std::size_t worker = 0; worker < 16; ++worker) {
    set_free(worker, {1000, 1000, worker < 8 ? 1 : 6});
  }
  const auto plan = index.plan_in_rack({.each = {1000, 1000, 8}, .members = 2}, "", any_worker);
  REQUIRE(plan.where.size() == 2);
  CHECK(plan.missing == 6);  // Two accelerators and one member that does not fit, on each of two workers.
  for (const auto at : plan.where) {
    CHECK(std::find(slots.begin() + 8, slots.end(), at) != slots.end());
  }
}

TEST_CASE_METHOD(index_fixture, "free_space_index_removed_worker_is_not_found") {
  // Guards against placing on a worker that has left, whose slot another one takes over.
  add_workers(2);
  index.remove(slots[0]);
  CHECK(index.fit({.each = {1000, 1000, 8}, .members = 2}, any_worker).empty());
  const auto again = index.add(rack_id{"r9"});
  CHECK(again == slots[0]);
  CHECK(index.fit({.each = {1000, 1000, 8}, .members = 2}, any_worker).empty());
}

TEST_CASE_METHOD(index_fixture, "free_space_index_random_changes_agree_with_a_full_search") {
  // Guards against an index that drifts from the space it describes: it must find a place exactly when a
  // search over all workers does, and must leave the space as it was.
  add_workers(40);
  random_source random{20261204};
  for (int round = 0; round < 2000; ++round) {
    const auto worker = random.below(slots.size());
    index.set(slots[worker], {.free = {static_cast<std::int64_t>(random.below(33)) * 1000,
                                       static_cast<std::int64_t>(random.below(129)) * 1000,
                                       static_cast<std::int64_t>(random.below(9))},
                              .capacity = capacity,
                              .usable = random.below(8) > 0,
                              .suspect = random.below(8) == 0});
    const free_space_index::request wanted{.each = {static_cast<std::int64_t>(random.below(9)) * 1000,
                                                    static_cast<std::int64_t>(random.below(33)) * 1000,
                                                    static_cast<std::int64_t>(random.below(5))},
                                           .members = 1 + static_cast<std::uint32_t>(random.below(20))};
    const auto before = room_for({1000, 1000, 1});
    const auto where = index.fit(wanted, any_worker);
    CHECK(where.empty() == (room_for(wanted.each) < wanted.members));
    std::map<worker_slot, resource_amounts> taken;
    for (const auto at : where) {
      taken[at] += wanted.each;
    }
    for (const auto& [at, sum] : taken) {
      CHECK(index.space(at).usable);
      CHECK(index.space(at).free.covers(sum));
    }
    CHECK(room_for({1000, 1000, 1}) == before);
  }
}

TEST_CASE_METHOD(index_fixture, "free_space_index_search_cost_does_not_grow_with_the_fleet") {
  // Guards against a search that visits every worker: placement then costs the square of the fleet's size,
  // and an owner of hundreds of workers falls behind.
  const auto visits_at = [](std::size_t workers) {
    index_fixture sized;
    sized.add_workers(workers);
    random_source random{1};
    // A fleet at capacity: a quarter of the workers have one or two free accelerators, the others have none.
    for (std::size_t worker = 0; worker < workers; ++worker) {
      sized.set_free(worker,
                     {8000, 32000, worker % 4 == 0 ? 1 + static_cast<std::int64_t>(random.below(2)) : 0});
    }
    const auto before = sized.index.visited();
    (void)sized.index.fit({.each = {1000, 1000, 1}, .members = 10}, any_worker);
    (void)sized.index.fit({.each = {1000, 1000, 4}}, any_worker);
    (void)sized.index.fit_in_rack({.each = {1000, 1000, 4}, .members = 5}, "", any_worker);
    (void)sized.index.plan_in_rack({.each = {1000, 1000, 4}, .members = 5}, "", any_worker);
    return sized.index.visited() - before;
  };
  const auto small = visits_at(540);
  const auto large = visits_at(10800);
  CHECK(small > 0);
  CHECK(large <= 2 * small);
}

}  // namespace
}  // namespace rhubarbpath

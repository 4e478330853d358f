#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "edge_processes.hpp"
#include "rhubarbpath/transport/http_status.hpp"

namespace rhubarbpath::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds patience{40'000};
constexpr milliseconds poll_interval{20};
const std::string evacuated_zone = "zone-0";
const std::string job = "5c0e7a21d94b0040";

/// Two VMs and four workers, two in each of two zones. Two tasks fit on a worker.
struct evacuation_fixture {
  evacuation_fixture() {
    for (int i = 0; i < 4; ++i) {
      vms.add_worker();
    }
    REQUIRE(vms.all_use(1, seconds{20}));
  }
  template <class Condition>
  [[nodiscard]] bool becomes(const Condition& condition) {
    for (milliseconds waited{0}; waited < patience && !condition(); waited += poll_interval) {
      vms.run_for(poll_interval);
    }
    return condition();
  }
  void submit(int tasks, milliseconds each) {
    vms.workers().register_job(job, {{.count = tasks, .cpu = 4000, .memory_mb = 1, .run_time = each}});
    const auto body = R"({"spec":"x","steps":[{"count":)" + std::to_string(tasks) +
                      R"(,"cpu":4000,"memMb":1,"estimateMs":)" + std::to_string(each.count()) + "}]}";
    REQUIRE(becomes([&] { return vms.call_job(0, "POST", job, body, seconds{3}) == http_status::ok; }));
  }
  [[nodiscard]] bool ran_in(const std::string& zone) {
    const auto used = vms.workers().workers_of(job);
    for (std::size_t i = 0; i < vms.workers().size(); ++i) {
      const auto worker = vms.workers().view(i);
      if (worker.zone == zone && used.contains(worker.id)) {
        return true;
      }
    }
    return false;
  }
  edge_processes vms{2};
};

TEST_CASE_METHOD(evacuation_fixture, "tasks_are_started_only_outside_an_evacuated_zone") {
  vms.workers().evacuate(evacuated_zone);
  vms.run_for(evacuation_limit);
  submit(8, milliseconds{200});
  CHECK(becomes([&] { return vms.workers().all_done(job); }));
  CHECK_FALSE(ran_in(evacuated_zone));
  CHECK(vms.workers().violations().empty());
}

TEST_CASE_METHOD(evacuation_fixture, "zone_that_is_taken_back_is_used_again") {
  vms.workers().evacuate(evacuated_zone);
  vms.run_for(evacuation_limit);
  submit(40, milliseconds{500});
  REQUIRE(becomes([&] { return vms.workers().ever_started(job); }));
  vms.workers().take_back(evacuated_zone);
  CHECK(becomes([&] { return ran_in(evacuated_zone); }));
  CHECK(becomes([&] { return vms.workers().all_done(job); }));
  CHECK(vms.workers().violations().empty());
}

TEST_CASE_METHOD(evacuation_fixture,
                 "next_owner_starts_nothing_in_a_zone_that_was_evacuated_before_its_term") {
  // Guards against an owner that follows changes only, and does not know of a request that stands.
  vms.workers().evacuate(evacuated_zone);
  vms.run_for(evacuation_limit);
  submit(24, milliseconds{300});
  REQUIRE(becomes([&] { return vms.workers().ever_started(job); }));
  for (std::size_t vm = 0; vm < vms.size(); ++vm) {
    vms.kill(vm);
    vms.start(vm);
  }
  CHECK(becomes([&] { return vms.workers().all_done(job); }));
  CHECK_FALSE(ran_in(evacuated_zone));
  CHECK(vms.workers().violations().empty());
}

TEST_CASE_METHOD(evacuation_fixture,
                 "zone_evacuated_while_all_vms_are_cut_off_from_the_store_gets_no_late_start") {
  // Guards against starts by knowledge from before the cut, also right after it.
  submit(120, milliseconds{500});
  REQUIRE(becomes([&] { return ran_in(evacuated_zone); }));
  for (std::size_t vm = 0; vm < vms.size(); ++vm) {
    vms.store_proxy(vm).set_mode(proxy_mode::blocked);
  }
  vms.workers().evacuate(evacuated_zone);
  vms.run_for(evacuation_limit + seconds{3});
  for (std::size_t vm = 0; vm < vms.size(); ++vm) {
    vms.store_proxy(vm).set_mode(proxy_mode::pass);
  }
  CHECK(becomes([&] { return vms.workers().all_done(job); }));
  CHECK(vms.workers().violations().empty());
}

TEST_CASE_METHOD(evacuation_fixture,
                 "owner_that_gets_no_answer_about_evacuations_starts_nothing_after_the_limit") {
  // Guards against an owner that is in touch with the store but for these rows, and starts work by old
  // knowledge.
  submit(120, milliseconds{500});
  REQUIRE(becomes([&] { return ran_in(evacuated_zone); }));
  vms.store().faults.evacuations_unanswered = true;
  vms.workers().evacuate(evacuated_zone);
  vms.run_for(evacuation_limit);
  const auto runs = vms.workers().runs();
  vms.run_for(seconds{2});
  CHECK(vms.workers().runs() == runs);
  vms.store().faults.evacuations_unanswered = false;
  CHECK(becomes([&] { return vms.workers().all_done(job); }));
  CHECK(vms.workers().violations().empty());
}

TEST_CASE_METHOD(evacuation_fixture, "evacuation_is_noticed_after_the_store_forgot_its_history") {
  // Guards against a watch that never resumes, so that the request is missed or all starts are held for ever.
  submit(60, milliseconds{500});
  REQUIRE(becomes([&] { return ran_in(evacuated_zone); }));
  vms.store().faults.down = true;
  vms.run_for(seconds{1});
  vms.workers().evacuate(evacuated_zone);
  vms.store().compact();
  vms.store().faults.down = false;
  CHECK(becomes([&] { return vms.workers().all_done(job); }));
  CHECK(vms.workers().violations().empty());
}

TEST_CASE_METHOD(evacuation_fixture, "requests_with_odd_rows_stop_neither_the_owner_nor_other_zones") {
  // Guards against a crash, and against starts that are held because of a row that says nothing.
  vms.store().put("op/evacuate/", "{}");
  vms.store().put("op/evacuate/zone-unknown", "{}");
  vms.store().put("op/evacuate/" + evacuated_zone, "\x01not json");
  vms.run_for(evacuation_limit);
  submit(8, milliseconds{200});
  CHECK(becomes([&] { return vms.workers().all_done(job); }));
  CHECK_FALSE(ran_in(evacuated_zone));
  CHECK(vms.alive(0));
  CHECK(vms.alive(1));
}

}  // namespace
}  // namespace rhubarbpath::soak

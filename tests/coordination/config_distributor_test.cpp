#include "rhubarbpath/coordination/config_distributor.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace rhubarbpath {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using standing = version_tracker::standing;

/// A VM that is not among the watchers of the document's row, and hears a heartbeat each second.
class config_distributor_fixture {
 protected:
  config_distributor_fixture() {
    handle(view_adopted{.adopted = members()});
    answer_read(1);
  }
  static view members() {
    view all;
    all.number = all.number.next();
    for (const auto* name : {"a", "b", "c"}) {
      all.members.push_back(
          {.id = {.vm = vm_id{name}, .incarnation = {}}, .failure_domain = {}, .address = {}});
    }
    return all;
  }
  static member_id last_ranked() {
    const auto all = members();
    return std::find_if(all.members.begin(), all.members.end(),
                        [&](const auto& member) { return rank_of(all.members, member.id.vm) == 2U; })
        ->id;
  }
  void handle(const config_distributor_event& event) {
    std::vector<config_distributor_action> actions;
    config.handle(event, now, actions);
    for (const auto& action : actions) {
      if (const auto* call = std::get_if<store_row_call>(&action)) {
        open_call = *call;
        ++calls;
      }
    }
  }
  /// Time passes while peers announce the version in force and the store answers nothing.
  void advance(duration length) {
    const auto end = now + length;
    while (now < end) {
      now += milliseconds{100};
      handle(config_distributor_tick{});
      handle(document_announced{.from = vm_id{"peer"}, .stamp = config.stamp()});
    }
  }
  /// Answers the call in progress with the row of the version.
  void answer_read(std::uint64_t version) {
    REQUIRE(open_call);
    handle(store_row_answered{.call = open_call->call,
                              .response = store_rows{.rows = {{.key = "document",
                                                               .value = std::to_string(version),
                                                               .at = revision{version},
                                                               .written_by = {}}},
                                                     .more = false}});
  }

  instant now{seconds{1'000}};
  random_source random{1};
  config_distributor config{
      {.self = last_ranked(),
       .key = "document",
       .decode_row =
           [](const store_row& row) {
             return std::optional{versioned_document{
                 .version = document_version{row.at.value()}, .digest = row.value, .bytes = row.value}};
           },
       .verify = [](const versioned_document&) { return true; }},
      random};
  std::optional<store_row_call> open_call;
  int calls{0};
};

TEST_CASE_METHOD(config_distributor_fixture,
                 "document_that_the_store_has_not_confirmed_for_9_s_may_be_outdated") {
  // Guards against callers and jobs that are refused by a document whose age nobody knows: peers announce the
  // same version, but may all be cut off from the store.
  CHECK(config.standing(now) == standing::confirmed);
  advance(seconds{8});
  CHECK(config.standing(now) == standing::confirmed);
  advance(seconds{1});
  CHECK(config.standing(now) != standing::confirmed);
}

TEST_CASE_METHOD(config_distributor_fixture, "document_is_confirmed_by_the_check_of_a_decision") {
  // Guards against decisions that wait for the next of the rare reads of a VM that does not watch the row.
  advance(seconds{8});
  open_call.reset();
  const auto before = calls;
  handle(document_check_requested{});
  CHECK(calls == before + 1);
  handle(document_check_requested{});
  CHECK(calls == before + 1);
  now += milliseconds{2'000};
  CHECK(config.standing(now) != standing::confirmed);
  now -= milliseconds{1'500};
  answer_read(1);
  CHECK(config.standing(now) == standing::confirmed);
}

TEST_CASE_METHOD(config_distributor_fixture, "document_is_not_confirmed_by_an_outdated_read_or_by_a_peer") {
  // Guards against an old document that counts as the newest because of an answer that says nothing of it.
  advance(seconds{8});
  handle(document_check_requested{});
  answer_read(2);
  REQUIRE(config.current().version == document_version{2});
  advance(seconds{8});
  handle(document_check_requested{});
  answer_read(1);
  handle(document_received{.from = vm_id{"peer"}, .content = {.content = config.current()}});
  now += seconds{1};
  CHECK(config.standing(now) != standing::confirmed);
}

}  // namespace
}  // namespace rhubarbpath

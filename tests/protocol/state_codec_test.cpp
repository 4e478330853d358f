#include <rapidcheck.h>

#include <array>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "rhubarbpath/protocol/log_codec.hpp"
#include "rhubarbpath/protocol/store_codec.hpp"
#include "rhubarbpath/protocol/worker_codec.hpp"

namespace rhubarbpath {
namespace {

std::string any_text() {
  return *rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~'));
}
std::string any_bytes() {
  return *rc::gen::arbitrary<std::string>();
}
std::uint64_t any_number() {
  return *rc::gen::arbitrary<std::uint64_t>();
}
int any_below(int limit) {
  return *rc::gen::inRange(0, limit);
}
duration any_interval() {
  return duration{*rc::gen::arbitrary<std::int64_t>()};
}
instant any_time() {
  return instant{any_interval()};
}

job_spec any_spec() {
  return {.team = team_id{any_text()},
          .job_class = class_id{any_text()},
          .shape = {.accelerators_per_member = any_below(9),
                    .members = any_below(65),
                    .within = static_cast<proximity>(any_below(3))},
          .guaranteed = any_below(2) == 1,
          .checkpointable = any_below(2) == 1,
          .declared_run_time = any_interval(),
          .command = any_text()};
}

std::vector<member_placement> any_placement() {
  std::vector<member_placement> placement(static_cast<std::size_t>(any_below(4)));
  for (auto& member : placement) {
    member = {.worker = worker_id{any_text()}, .accelerators = static_cast<std::uint32_t>(any_below(256))};
  }
  return placement;
}

log_entry any_entry() {
  const job_id job{any_text()};
  const attempt_number attempt{any_number()};
  switch (any_below(8)) {
    case 0:
      return epoch_opened{.opened = epoch{any_number()},
                          .owner = vm_id{any_text()},
                          .owner_incarnation = incarnation{any_number()}};
    case 1:
      return job_accepted{.job = job, .spec = any_spec(), .at = any_time()};
    case 2:
      return job_placed{.job = job, .attempt = attempt, .placement = any_placement(), .at = any_time()};
    case 3:
      return job_started{.job = job, .attempt = attempt, .at = any_time()};
    case 4:
      return job_requeued{.job = job,
                          .attempt = attempt,
                          .preempted = any_below(2) == 1,
                          .reason = any_text(),
                          .attained_service = any_interval(),
                          .at = any_time()};
    case 5:
      return job_ended{.job = job,
                       .attempt = attempt,
                       .state = static_cast<job_state>(4 + any_below(4)),
                       .reason = any_text(),
                       .at = any_time()};
    case 6:
      return worker_set_aside{.worker = worker_id{any_text()}, .reason = any_text(), .at = any_time()};
    default:
      return worker_restored{.worker = worker_id{any_text()}, .at = any_time()};
  }
}

domain_snapshot any_snapshot() {
  domain_snapshot snapshot{.covers = log_index{any_number()}};
  auto& state = snapshot.state;
  state.current_epoch = epoch{any_number()};
  state.owner = vm_id{any_text()};
  state.owner_incarnation = incarnation{any_number()};
  for (int i = any_below(30); i > 0; --i) {
    job_record job{.id = job_id{"job-" + std::to_string(i)},
                   .spec = any_spec(),
                   .state = static_cast<job_state>(any_below(8)),
                   .attempt = attempt_number{any_number()},
                   .placement = any_placement(),
                   .accepted_at = any_time(),
                   .attained_service = any_interval(),
                   .preemptions = any_below(5),
                   .failures = any_below(5),
                   .reason = any_text()};
    if (is_final(job.state)) {
      state.ended[job.id] = any_time();
    }
    state.jobs[job.id] = job;
  }
  for (int i = any_below(5); i > 0; --i) {
    state.set_aside[worker_id{"worker-" + std::to_string(i)}] = any_text();
  }
  return snapshot;
}

store_request any_request() {
  switch (any_below(7)) {
    case 0:
      return store_get{.key = any_text()};
    case 1:
      return store_put{.key = any_text(),
                       .value = any_bytes(),
                       .expected = revision{any_number()},
                       .id = write_id{any_number()},
                       .lease = store_lease_id{any_number()}};
    case 2:
      return store_erase{.key = any_text(), .expected = revision{any_number()}};
    case 3:
      return store_list{.prefix = any_text(), .start = any_text(), .limit = 1 + any_below(1000)};
    case 4:
      return store_lease_grant{.time_to_live = any_interval()};
    case 5:
      return store_lease_renew{.lease = store_lease_id{any_number()}};
    default:
      return store_watch{.key = any_text(), .after = revision{any_number()}, .wait = any_interval()};
  }
}

store_response any_response() {
  switch (any_below(5)) {
    case 0: {
      store_rows rows{.more = any_below(2) == 1};
      for (int i = any_below(4); i > 0; --i) {
        rows.rows.push_back({.key = any_text(),
                             .value = any_bytes(),
                             .at = revision{any_number()},
                             .written_by = write_id{any_number()}});
      }
      return rows;
    }
    case 1:
      return store_written{.at = revision{any_number()}};
    case 2:
      return store_lease_granted{.lease = store_lease_id{any_number()}, .time_to_live = any_interval()};
    case 3:
      return store_unchanged{};
    default:
      return static_cast<store_failure>(any_below(5));
  }
}

}  // namespace

// Guards against a field that is lost, named differently by encoder and decoder, or changed by the encoding.
TEST_CASE("store_request_through_json_is_unchanged") {
  REQUIRE(rc::check([] {
    const auto encoded = encode_store_request(any_request());
    const auto decoded = decode_store_request(encoded.path, encoded.body);
    RC_ASSERT(decoded.ok());
    const auto again = encode_store_request(*decoded);
    RC_ASSERT(again.path == encoded.path);
    RC_ASSERT(again.body == encoded.body);
  }));
}

TEST_CASE("store_put_through_json_keeps_every_field") {
  const store_put put{
      .key = "/a", .value = std::string("\0\xff", 2), .expected = revision{3}, .id = write_id{~0ULL}};
  const auto encoded = encode_store_request(put);
  const auto decoded = decode_store_request(encoded.path, encoded.body);
  REQUIRE(decoded.ok());
  const auto& same = std::get<store_put>(*decoded);
  CHECK(same.key == put.key);
  CHECK(same.value == put.value);
  CHECK(same.expected == put.expected);
  CHECK(same.id == put.id);
}

TEST_CASE("store_response_through_json_is_unchanged") {
  REQUIRE(rc::check([] {
    const auto response = any_response();
    const auto encoded = encode_store_response(response);
    const auto decoded = decode_store_response(encoded.status, encoded.body);
    RC_ASSERT(decoded.ok());
    RC_ASSERT(decoded->index() == response.index());
    RC_ASSERT(encode_store_response(*decoded).body == encoded.body);
  }));
}

// Guards against accepting a truncated or unrelated message.
TEST_CASE("store_codec_malformed_message_is_rejected") {
  CHECK_FALSE(decode_store_request("/kv/other", "{}").ok());
  CHECK_FALSE(decode_store_request("/kv/get", "").ok());
  CHECK_FALSE(decode_store_request("/kv/get", "[]").ok());
  CHECK_FALSE(decode_store_request("/kv/get", R"({"key":1})").ok());
  CHECK_FALSE(decode_store_request("/kv/get", R"({"key":"a","x":1})").ok());
  CHECK_FALSE(decode_store_request("/kv/list", R"({"prefix":"a","start":"","limit":0})").ok());
  CHECK_FALSE(
      decode_store_request("/kv/put", R"({"key":"a","value":"*","expected":0,"write_id":1,"lease":0})").ok());
  CHECK_FALSE(decode_store_response(200, R"({"revision":-1})").ok());
  CHECK_FALSE(decode_store_response(200, R"({"unchanged":false})").ok());
  CHECK_FALSE(decode_store_response(409, R"({"failure":"limited"})").ok());
  CHECK_FALSE(decode_store_response(503, "busy").ok());
}

TEST_CASE("worker_command_through_json_is_unchanged") {
  REQUIRE(rc::check([] {
    const task_ref task{
        .job = job_id{any_text()}, .attempt = attempt_number{any_number()}, .member = any_below(64)};
    const std::array<worker_command, 4> commands{
        start_task{.task = task,
                   .accelerators = static_cast<std::uint32_t>(any_below(256)),
                   .lease = any_interval(),
                   .declared_run_time = any_interval(),
                   .command = any_text()},
        stop_task{.task = task, .collect = any_below(2) == 1}, checkpoint_task{.task = task},
        renew_tasks{.lease = any_below(2) == 1 ? std::optional{any_interval()} : std::nullopt}};
    const fenced_worker_command command{.sender_epoch = epoch{any_number()},
                                        .command = commands[static_cast<std::size_t>(any_below(4))]};
    const auto encoded = encode_worker_command(command);
    const auto decoded = decode_worker_command(encoded.path, encoded.body);
    RC_ASSERT(decoded.ok());
    RC_ASSERT(decoded->sender_epoch == command.sender_epoch);
    RC_ASSERT(encode_worker_command(*decoded).body == encoded.body);
  }));
  CHECK_FALSE(
      decode_worker_command("/tasks/stop", R"({"epoch":1,"job":"a","attempt":1,"member":-1,"collect":false})")
          .ok());
  CHECK_FALSE(
      decode_worker_command("/tasks/stop", R"({"job":"a","attempt":1,"member":1,"collect":false})").ok());
}

TEST_CASE("worker_report_through_json_is_unchanged") {
  REQUIRE(rc::check([] {
    worker_report report{.worker = worker_id{any_text()},
                         .refused_older_epoch = any_below(2) == 1,
                         .highest_epoch = epoch{any_number()}};
    for (int i = any_below(4); i > 0; --i) {
      report.tasks.push_back({.task = {.job = job_id{any_text()},
                                       .attempt = attempt_number{any_number()},
                                       .member = any_below(64)},
                              .state = static_cast<task_state>(any_below(4)),
                              .accelerators = static_cast<std::uint32_t>(any_below(256)),
                              .run_time = any_interval(),
                              .checkpointed = any_interval()});
    }
    const auto decoded = decode_worker_report(encode_worker_report(report));
    RC_ASSERT(decoded.ok());
    RC_ASSERT(*decoded == report);
  }));
}

TEST_CASE("log_batch_through_cbor_is_unchanged") {
  REQUIRE(rc::check([] {
    const cbor_log_codec codec;
    std::vector<log_entry> entries;
    for (int i = any_below(10); i > 0; --i) {
      entries.push_back(any_entry());
    }
    const auto decoded = codec.decode_batch(codec.encode_batch(entries));
    RC_ASSERT(decoded.ok());
    RC_ASSERT(*decoded == entries);
  }));
}

// Guards against a part above the value size limit of the store, which the store would reject.
TEST_CASE("snapshot_split_into_parts_is_bounded_and_unchanged") {
  REQUIRE(rc::check([] {
    const cbor_log_codec codec;
    const auto snapshot = any_snapshot();
    const std::size_t limit = 2000;
    const auto parts = codec.encode_snapshot(snapshot, limit);
    RC_ASSERT(parts.ok());
    for (const auto& part : *parts) {
      RC_ASSERT(part.size() <= limit);
    }
    const auto decoded = codec.decode_snapshot(*parts);
    RC_ASSERT(decoded.ok());
    RC_ASSERT(*decoded == snapshot);
  }));
}

// Guards against a crash or an invalid state when a stored value is corrupted: every corruption is either
// rejected or decodes to entries that can be encoded again.
TEST_CASE("log_value_damaged_never_crashes") {
  REQUIRE(rc::check([] {
    const cbor_log_codec codec;
    const std::array<log_entry, 2> entries{any_entry(), any_entry()};
    auto value = codec.encode_batch(entries);
    const auto position = static_cast<std::size_t>(*rc::gen::inRange<std::size_t>(0, value.size()));
    value[position] = *rc::gen::arbitrary<char>();
    value.resize(value.size() - static_cast<std::size_t>(any_below(2)));
    const auto decoded = codec.decode_batch(value);
    if (decoded.ok()) {
      RC_ASSERT(codec.decode_batch(codec.encode_batch(*decoded)).ok());
    }
  }));
  const cbor_log_codec codec;
  CHECK_FALSE(codec.decode_batch(std::string(100'000, '\x81')).ok());
  CHECK_FALSE(codec.decode_batch("\x9b\xff\xff\xff\xff\xff\xff\xff\xff").ok());
  CHECK_FALSE(codec.decode_head("\x82\x01\x00").ok());
  CHECK_FALSE(codec.decode_snapshot({}).ok());
}

}  // namespace rhubarbpath

#include "rhubarbpath/protocol/peer_messages.hpp"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "rhubarbpath/protocol/digest.hpp"

namespace rhubarbpath::peer {

namespace {

using json = nlohmann::json;

std::string any_text() {
  return *rc::gen::resize(20, rc::gen::arbitrary<std::string>());
}
std::uint64_t any_number() {
  return *rc::gen::arbitrary<std::uint64_t>();
}
duration any_duration() {
  return duration{*rc::gen::inRange<std::int64_t>(0, 1'000'000'000'000)};
}
bool any_flag() {
  return *rc::gen::arbitrary<bool>();
}
std::uint32_t any_small_number() {
  return *rc::gen::inRange<std::uint32_t>(0, 100'000);
}

member_info any_member() {
  return {.id = {vm_id{any_text()}, incarnation{any_number()}},
          .failure_domain = failure_domain_id{any_text()},
          .address = any_text()};
}
dispatch_id any_dispatch() {
  return {.dispatcher = any_member().id, .sequence = any_number()};
}
outcome any_outcome() {
  outcome result{
      .result = static_cast<verdict>(*rc::gen::inRange(0, 3)), .reason = any_text(), .retry_after = {}};
  if (any_flag()) {
    result.retry_after = any_duration();
  }
  return result;
}
kept_answer any_answer() {
  return {
      .result = any_outcome(), .status = any_small_number(), .body = any_text(), .body_dropped = any_flag()};
}
member_update any_news() {
  return {.member = any_member(),
          .round = any_number(),
          .state = static_cast<member_state>(*rc::gen::inRange(0, 4)),
          .draining = any_flag()};
}
job_spec any_spec() {
  return {.team = team_id{any_text()},
          .job_class = class_id{any_text()},
          .shape = {.accelerators_per_member = 8, .members = 64, .within = proximity::failure_domain},
          .guaranteed = any_flag(),
          .checkpointable = any_flag(),
          .declared_run_time = any_duration(),
          .command = any_text()};
}
idempotency_key any_key() {
  return idempotency_key{any_text()};
}
request_id any_request() {
  return request_id{any_number()};
}

routing::load_report any_load() {
  return {.sequence = any_number(),
          .draining = any_flag(),
          .services = {{.service = service_id{any_text()},
                        .idle_slots = 3,
                        .queues = {{.rank = 1, .length = 5, .short_teams = 2}},
                        .set_aside = 1}},
          .leaving = {worker_id{any_text()}}};
}

message any_message() {
  switch (*rc::gen::inRange(0, 18)) {
    case 0:
      return hello{.sender = any_member(), .protocol_version = any_small_number()};
    case 1:
      return heartbeat{.sender = any_news(),
                       .view = view_number{any_number()},
                       .document = {.version = document_version{any_number()}, .digest = any_text()},
                       .live_digest = any_number(),
                       .reply_wanted = any_flag(),
                       .loads = {{service_id{any_text()}, any_small_number(), any_small_number()}},
                       .news = {any_news(), any_news()}};
    case 2:
      return forward_request{.id = routing::forward_id{any_number()},
                             .to_incarnation = incarnation{any_number()},
                             .service = service_id{any_text()},
                             .request_class = class_id{any_text()},
                             .team = team_id{any_text()},
                             .non_idempotent = any_flag(),
                             .deadline = any_duration(),
                             .body = any_text(),
                             .traceparent = any_text(),
                             .intent = any_flag() ? std::optional{routing::intent_ref{
                                                        .team = team_id{any_text()},
                                                        .service = service_id{any_text()},
                                                        .key = any_key(),
                                                        .dispatcher = vm_id{any_text()},
                                                        .dispatcher_incarnation = incarnation{any_number()},
                                                        .request = any_request()}}
                                                  : std::nullopt,
                             .avoid = any_flag() ? std::optional{worker_id{any_text()}} : std::nullopt,
                             .pulled = any_flag()};
    case 3:
      return forward_answer{.id = routing::forward_id{any_number()},
                            .to_incarnation = incarnation{any_number()},
                            .result = static_cast<routing::forward_result>(*rc::gen::inRange(0, 3)),
                            .status = any_small_number(),
                            .body = any_text(),
                            .target = any_flag() ? std::optional{worker_id{any_text()}} : std::nullopt,
                            .reason = any_text(),
                            .load = any_load()};
    case 4:
      return pull_work{.service = service_id{any_text()},
                       .count = any_small_number(),
                       .max_rank = any_small_number(),
                       .short_teams_only = any_flag()};
    case 17:
      return load{.report = any_load()};
    case 5:
      return record_intent{.key = any_key(),
                           .dispatch = any_dispatch(),
                           .view = view_number{any_number()},
                           .first_attempt = any_flag()};
    case 6:
      return withdraw_intent{.key = any_key(), .dispatch = any_dispatch()};
    case 7:
      return intent_answer{.key = any_key(),
                           .dispatch = any_dispatch(),
                           .status = static_cast<intent_status>(*rc::gen::inRange(0, 9)),
                           .view = view_number{any_number()},
                           .holder = any_flag() ? std::optional{any_dispatch()} : std::nullopt,
                           .answer = any_flag() ? std::optional{any_answer()} : std::nullopt};
    case 8:
      return finish_intent{.key = any_key(), .dispatch = any_dispatch(), .answer = any_answer()};
    case 9: {
      transfer_intents transfer;
      transfer.kind = static_cast<transfer_kind>(*rc::gen::inRange(0, 6));
      transfer.range = *rc::gen::inRange<std::uint32_t>(0, key_range_count);
      transfer.target = view_number{any_number()};
      transfer.source = view_number{any_number()};
      transfer.cursor = any_key();
      transfer.last = any_flag();
      transfer.taint = any_duration();
      transfer.entries = {{.key = any_key(),
                           .dispatch = any_dispatch(),
                           .state = static_cast<intent_state>(*rc::gen::inRange(0, 3)),
                           .remaining = any_duration(),
                           .answer = any_answer()}};
      transfer.redirect_view = view_number{any_number()};
      transfer.redirect_registrars = {any_member()};
      return transfer;
    }
    case 10:
      return fetch_document{.version = document_version{any_number()}};
    case 11:
      return document{
          .content = {.version = document_version{any_number()}, .digest = any_text(), .bytes = any_text()}};
    case 12:
      return submit_job{.id = any_request(),
                        .job = job_id{any_text()},
                        .failure_domain = failure_domain_id{any_text()},
                        .spec = any_spec(),
                        .traceparent = any_text()};
    case 13:
      return query_job{.id = any_request(),
                       .job = job_id{any_text()},
                       .failure_domain = failure_domain_id{any_text()},
                       .wait = any_duration()};
    case 14:
      return cancel_job{
          .id = any_request(), .job = job_id{any_text()}, .failure_domain = failure_domain_id{any_text()}};
    case 15: {
      job_answer answer{
          .id = any_request(), .job = job_id{any_text()}, .result = any_outcome(), .record = {}};
      if (any_flag()) {
        answer.record.emplace();
        answer.record->spec = any_spec();
        answer.record->state = static_cast<job_state>(*rc::gen::inRange(0, 8));
        answer.record->placement = {{worker_id{any_text()}, any_small_number()}};
        answer.record->accepted_at = instant{any_duration()};
        answer.record->preemptions = 3;
      }
      return answer;
    }
    default:
      return owner_announcement{.failure_domain = failure_domain_id{any_text()},
                                .owned = epoch{any_number()},
                                .address = any_text(),
                                .free_accelerators = any_small_number(),
                                .waiting_jobs = any_small_number(),
                                .running_jobs = any_small_number(),
                                .workers_set_aside = any_small_number(),
                                .uncovered_guarantees = any_small_number()};
  }
}

std::string cbor(const json& value) {
  std::string bytes;
  json::to_cbor(value, bytes);
  return bytes;
}

json parsed(const message& value) {
  return json::from_cbor(encode(value));
}

}  // namespace

// Guards against a field that is lost or changed by encoding and decoding.
TEST_CASE("peer_message_encoded_and_decoded_is_unchanged") {
  CHECK(rc::check("round trip", [] {
    const auto original = any_message();
    const auto decoded = decode(encode(original));
    RC_ASSERT(decoded.ok());
    RC_ASSERT(*decoded == original);
  }));
}

// Guards against accepting a message with a missing or mistyped field by using a default.
TEST_CASE("peer_message_with_a_missing_or_wrong_field_is_rejected") {
  CHECK(rc::check("every field is needed", [] {
    const auto fields = parsed(any_message());
    for (const auto& [name, value] : fields.items()) {
      auto missing = fields;
      missing.erase(name);
      RC_ASSERT(!decode(cbor(missing)).ok());
      auto wrong = fields;
      wrong[name] = 1.5;
      RC_ASSERT(!decode(cbor(wrong)).ok());
    }
  }));
}

// Guards against reads past the end and crashes on truncated input.
TEST_CASE("peer_message_cut_short_is_rejected") {
  CHECK(rc::check("every prefix fails", [] {
    const auto bytes = encode(any_message());
    RC_ASSERT(
        !decode(std::string_view{bytes}.substr(0, *rc::gen::inRange<std::size_t>(0, bytes.size()))).ok());
  }));
}

// Guards against sizes that exhaust memory or the stack, and against negative numbers and enumerators.
TEST_CASE("peer_message_out_of_bounds_is_rejected") {
  CHECK_FALSE(decode(std::string(200'000, '\x81')).ok());
  CHECK_FALSE(decode(std::string(max_message_bytes + 1, '\0')).ok());
  CHECK_FALSE(decode(cbor({{"type", "gossip"}})).ok());
  CHECK_FALSE(decode(cbor(json::array())).ok());
  auto request =
      parsed(forward_request{.body = "b", .intent = routing::intent_ref{.key = idempotency_key{"k"}}});
  request["intent"]["key"] = std::string(max_key_bytes + 1, 'x');
  CHECK_FALSE(decode(cbor(request)).ok());
  request["intent"]["key"] = "k";
  request["unknown field of a newer peer"] = 1;
  CHECK(decode(cbor(request)).ok());
  request["deadline"] = std::uint64_t{1} << 63U;
  CHECK_FALSE(decode(cbor(request)).ok());
  request["deadline"] = 1;
  request["body"] = json::binary(std::vector<std::uint8_t>(max_body_bytes + 1));
  CHECK_FALSE(decode(cbor(request)).ok());
  auto transfer = parsed(transfer_intents{});
  transfer["range"] = key_range_count;
  CHECK_FALSE(decode(cbor(transfer)).ok());
  transfer["range"] = -1;
  CHECK_FALSE(decode(cbor(transfer)).ok());
  transfer["range"] = 0;
  transfer["kind"] = "entry";
  CHECK_FALSE(decode(cbor(transfer)).ok());
}

// Guards against a digest that differs from other implementations. The value is the FIPS 180-4 test vector.
TEST_CASE("digest_of_abc_is_that_of_the_standard") {
  CHECK(sha256_hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  auto found = document_from_row({.key = "k", .value = "abc", .at = revision{7}, .written_by = {}});
  CHECK(found.version == document_version{7});
  CHECK(digest_matches(found));
  found.bytes += " ";
  CHECK_FALSE(digest_matches(found));
}

}  // namespace rhubarbpath::peer

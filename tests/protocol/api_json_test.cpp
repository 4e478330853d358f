#include "rhubarbpath/protocol/api_json.hpp"

#include <catch2/catch.hpp>

#include "protocol/document_text.hpp"

namespace rhubarbpath {

using namespace std::chrono_literals;
using testing::replaced;

namespace {

const std::string valid_submission =
    R"({"team":"studio","job_class":"nightly","accelerators_per_member":8,"members":4,"within":"rack",)"
    R"("guaranteed":true,"checkpointable":false,"declared_run_time_ms":3600000,"command":"train --epochs 3"})";

job_spec sample_spec() {
  return {.team = team_id{"studio"},
          .job_class = class_id{"nightly"},
          .shape = {8, 4, proximity::rack},
          .guaranteed = true,
          .checkpointable = false,
          .declared_run_time = 1h,
          .command = "train --epochs 3"};
}

job_record sample_record() {
  return {.id = job_id{"j-1"},
          .spec = sample_spec(),
          .state = job_state::running,
          .attempt = attempt_number{2},
          .placement = {{worker_id{"r1-w1"}, 0xFFU}, {worker_id{"r1-w2"}, 0xF0U}},
          .accepted_at = instant{1'700'000'000s},
          .attained_service = 90s,
          .preemptions = 1,
          .failures = 2,
          .reason = "preempted once"};
}

}  // namespace

// Guards against a member that is parsed into the wrong field, and against a wrong default.
TEST_CASE("submission_valid_is_read_into_every_field") {
  const auto spec = parse_job_submission(valid_submission);
  REQUIRE(spec.ok());
  CHECK(*spec == sample_spec());
  CHECK(*parse_job_submission(encode_job_submission(*spec)) == *spec);
  const auto small = parse_job_submission(
      R"({"team":"a","job_class":"b","accelerators_per_member":1,"declared_run_time_ms":1,"command":"c"})");
  REQUIRE(small.ok());
  CHECK(small->shape == accelerator_shape{1, 1, proximity::worker});
  CHECK_FALSE(small->guaranteed);
  CHECK(small->checkpointable);
}

// Guards against accepting malformed jobs, and against messages that do not name the member.
TEST_CASE("submission_malformed_is_rejected_with_member_and_accepted_values") {
  struct fault {
    std::string from;
    std::string to;
    std::string expected;
  };
  const auto fault_case = GENERATE(values<fault>({
      {"\"team\":\"studio\",", "", "team is missing; accepted: a text"},
      {"\"studio\"", "\"\"", "team has 0 bytes; accepted: a text of 1 to"},
      {"\"studio\"", "7", "team is the number 7; accepted: a text"},
      {"\"studio\"", "\"st udio\"", "team is the text \"st udio\"; accepted: 1 to 64"},
      {"member\":8", "member\":3", "accelerators_per_member is the number 3; accepted: 1, 2, 4 or 8"},
      {"member\":8", "member\":\"8\"", "accelerators_per_member is the text \"8\"; accepted: a whole number"},
      {"member\":8", "member\":8.0", "accelerators_per_member is the number 8.0; accepted: a whole number"},
      {"member\":8", "member\":18446744073709551615", "accepted: a whole number from 1 to 8"},
      {"members\":4", "members\":0", "members is the number 0; accepted: a whole number from 1 to 64"},
      {"members\":4", "members\":65", "members is the number 65; accepted: a whole number from 1 to 64"},
      {"members\":4", "members\":true", "members is true; accepted: a whole number"},
      {"members\":4", "members\":4,\"members\":5", "\"members\" is given twice"},
      {"\"rack\"", "\"region\"", "within is the text \"region\"; accepted: worker, rack or failure_domain"},
      {"ed\":true", "ed\":1", "guaranteed is the number 1; accepted: true or false"},
      {"ed\":true", "ed\":null", "guaranteed is null; accepted: true or false"},
      {"3600000", "-1", "declared_run_time_ms is the number -1; accepted: a whole number from 1"},
      {"3600000", "1e400", "not a JSON object"},
      {"\"train --epochs 3\"", "\"a\\u0000b\"", "command has a NUL character"},
      {"\"train --epochs 3\"", "[\"a\"]", "command is a list; accepted: a text"},
      {"\"command\"", "\"cmd\"", "cmd is not known; accepted: the members team, job_class"},
      {"studio", "st\xC3(udio", "not a JSON object; accepted: one object in UTF-8"},
      {"}", "", "not a JSON object"},
      {"}", "} x", "not a JSON object"},
      {valid_submission, "[1]", "not a JSON object"},
      {valid_submission, "", "not a JSON object"},
      {"\"rack\"", "[[[[[[[[[[]]]]]]]]]]", "nested deeper than 8 levels"},
  }));
  const auto body = replaced(valid_submission, fault_case.from, fault_case.to);
  const auto spec = parse_job_submission(body);
  REQUIRE_FALSE(spec.ok());
  const std::string message{spec.status().message()};
  INFO(body);
  INFO(message);
  CHECK(message.find(fault_case.expected) != std::string::npos);
}

// Guards against parsing oversized bodies before they are rejected.
TEST_CASE("submission_oversized_is_rejected") {
  const auto spec = parse_job_submission(std::string(max_submission_bytes + 1, '['));
  REQUIRE_FALSE(spec.ok());
  CHECK(std::string{spec.status().message()}.find("at most 65536") != std::string::npos);
  const auto command = "\"" + std::string(max_command_bytes + 1, 'x') + "\"";
  CHECK_FALSE(parse_job_submission(replaced(valid_submission, "\"train --epochs 3\"", command)).ok());
}

// Guards against a response that the command-line tool decodes differently from what the daemon encoded.
TEST_CASE("answers_round_trip") {
  const job_answer answer{{verdict::not_run, "the team's queue is full", 1500ms}, sample_record()};
  const auto text = encode_job_answer(answer);
  INFO(text);
  REQUIRE(decode_job_answer(text).ok());
  CHECK(*decode_job_answer(text) == answer);
  const job_answer unknown{{verdict::may_have_run, "not yet accepted", std::nullopt}, std::nullopt};
  CHECK(*decode_job_answer(encode_job_answer(unknown)) == unknown);
  CHECK(*decode_job_record(encode_job_record(sample_record())) == sample_record());
  const job_answer id_only{{verdict::may_have_run, "not yet accepted", 1s}, job_record{.id = job_id{"j-1"}}};
  CHECK(*decode_job_answer(encode_job_answer(id_only)) == id_only);
  CHECK(encode_outcome({verdict::ran, "", std::nullopt}) == R"({"verdict":"ran","reason":""})");
  CHECK(*decode_outcome(encode_outcome(answer.result)) == answer.result);
  CHECK_FALSE(decode_outcome(R"({"verdict":"maybe","reason":""})").ok());
  CHECK_FALSE(decode_job_answer(replaced(text, "\"running\"", "\"resting\"")).ok());
  CHECK_FALSE(decode_job_answer(replaced(text, "[0,1,", "[0,99,")).ok());
}

// Guards against lost or swapped status members.
TEST_CASE("status_round_trips") {
  const entry_status status{
      .vm = vm_id{"vm-1"},
      .environment = "production",
      .version = document_version{7},
      .digest = std::string(64, 'a'),
      .view = view_number{3},
      .view_members = 8,
      .draining = true,
      .store_reachable = true,
      .failure_domains = {{failure_domain_id{"hba"}, vm_id{"vm-2"}, epoch{4}, 96, 40, 5, 6, 1, 2}},
      .services = {{service_id{"lendbook"}, 12, 1, 30, 9}}};
  const auto decoded = decode_status(encode_status(status));
  REQUIRE(decoded.ok());
  CHECK(*decoded == status);
}

// Guards against id collisions between different submissions, and against ids that are not stable.
TEST_CASE("job_id_depends_on_team_and_key_only") {
  const auto id = job_id_for(team_id{"a"}, idempotency_key{"bc"});
  CHECK(id == job_id_for(team_id{"a"}, idempotency_key{"bc"}));
  CHECK(id != job_id_for(team_id{"ab"}, idempotency_key{"c"}));
  CHECK(id.value().size() == 26);
}

// Guards against header values that are misparsed or silently dropped.
TEST_CASE("caller_headers_are_read_strictly") {
  const auto headers = parse_caller_headers({{"idempotency-key", "k-1"},
                                             {"Rhubarb-Non-Idempotent", "true"},
                                             {"Rhubarb-First-Attempt", "false"},
                                             {"RHUBARB-DEADLINE-MS", "250"},
                                             {"Rhubarb-Team", "studio"},
                                             {"traceparent", "00-x"},
                                             {"Accept", "*/*"}});
  REQUIRE(headers.ok());
  CHECK(*headers == caller_headers{idempotency_key{"k-1"}, true, false, 250ms, team_id{"studio"}, "00-x"});
  CHECK(*parse_caller_headers({}) == caller_headers{});
  CHECK(parse_caller_headers({{"traceparent", "a"}, {"Traceparent", "b"}})->traceparent.empty());
  const auto bad = GENERATE(values<std::pair<std::string, std::string>>({
      {"Idempotency-Key", ""},
      {"Idempotency-Key", "two words"},
      {"Idempotency-Key", std::string(129, 'k')},
      {"Rhubarb-Non-Idempotent", "1"},
      {"Rhubarb-First-Attempt", "TRUE"},
      {"Rhubarb-Deadline-Ms", "0"},
      {"Rhubarb-Deadline-Ms", "250ms"},
      {"Rhubarb-Deadline-Ms", "86400001"},
      {"Rhubarb-Team", "no/team"},
  }));
  const auto rejected = parse_caller_headers({bad});
  INFO(bad.first << ": " << bad.second);
  REQUIRE_FALSE(rejected.ok());
  CHECK(std::string{rejected.status().message()}.find(bad.first) != std::string::npos);
  CHECK_FALSE(parse_caller_headers({{"Rhubarb-Team", "a"}, {"rhubarb-team", "b"}}).ok());
}

// Guards against a wait parameter that is ignored or unbounded.
TEST_CASE("wait_query_is_read_strictly") {
  CHECK(*parse_wait("") == duration::zero());
  CHECK(*parse_wait("wait_ms=1500") == 1500ms);
  for (const std::string_view query :
       {"wait_ms=", "wait_ms=-1", "wait_ms=60001", "wait=5", "wait_ms=5&x=1"}) {
    CHECK_FALSE(parse_wait(query).ok());
  }
}

}  // namespace rhubarbpath

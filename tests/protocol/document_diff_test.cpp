#include "rhubarbpath/protocol/document_diff.hpp"

#include <catch2/catch.hpp>
#include <set>

#include "protocol/document_text.hpp"
#include "rhubarbpath/protocol/digest.hpp"
#include "rhubarbpath/protocol/document_row.hpp"
#include "rhubarbpath/protocol/document_yaml.hpp"
#include "rhubarbpath/state/store.hpp"

namespace rhubarbpath {

using testing::replaced;
using testing::valid_document;

namespace {

environment_document parse(const std::string& text) {
  const auto parsed = parse_document(text, "trial");
  for (const auto& problem : parsed.problems) {
    FAIL(format_problem("document", problem));
  }
  return parsed.document;
}

}  // namespace

// Guards against a change that is missing from the diff, or whose effect is wrong.
TEST_CASE("diff_one_edit_gives_one_named_change") {
  struct edit {
    std::string from;
    std::string to;
    std::string name;
    change_effect effect;
  };
  const auto edit_case = GENERATE(values<edit>({
      {"- id: tas", "- {id: vic, failure_domains: []}\n  - id: tas", "add-region:vic", change_effect::none},
      {"{id: r2, workers: 4", "{id: r2, workers: 5", "add-worker:r2-w5", change_effect::none},
      {"{id: r2, workers: 4", "{id: r2, workers: 3", "remove-worker:r2-w4", change_effect::stops_work},
      {"{id: r2, workers: 4", "{id: r2, workers: 2", "change-rack:r2", change_effect::stops_work},
      {"10.1.0.{n}", "10.1.1.{n}", "change-rack:r2", change_effect::stops_work},
      {"{id: r2,", "{id: r2, memory: 64GiB,", "change-rack:r2", change_effect::none},
      {"          - {id: r2, workers: 4, address: \"10.1.0.{n}:9000\"}\n", "", "remove-rack:r2",
       change_effect::stops_work},
      {"max_accelerators: 64", "max_accelerators: 32", "change-team:studio", change_effect::none},
      {"      - {accelerators_per_member: 4}\n", "", "remove-guarantee:studio/1x4-worker",
       change_effect::breaks_guarantee},
      {"count: 1", "count: 2", "change-guarantee:studio/2x8-rack@hba", change_effect::none},
      {"teams:", "teams:\n  - {id: lab}", "add-team:lab", change_effect::none},
      {"250ms", "300ms", "change-request_class:lendbook/hold", change_effect::none},
      {", non_idempotent: true", "", "change-request_class:lendbook/hold", change_effect::weakens_promise},
      {"      - {id: check, queue_limit: 7}\n", "", "remove-request_class:lendbook/check",
       change_effect::stops_work},
      {"    classes:", "    slots_per_target: 4\n    classes:", "change-service:lendbook",
       change_effect::none},
      {"06:30", "06:45", "change-job_class:nightly", change_effect::none},
      {"2.5%", "3%", "change-budget:retries", change_effect::none},
  }));
  const auto changes =
      diff_documents(parse(valid_document), parse(replaced(valid_document, edit_case.from, edit_case.to)));
  REQUIRE(changes.size() == 1);
  INFO(changes[0].sentence);
  CHECK(changes[0].name() == edit_case.name);
  CHECK(changes[0].effect == edit_case.effect);
}

// Guards against missing the effect of the reverse change, and against acceptance under another name.
TEST_CASE("diff_reversed_marks_removals_and_requires_each_name") {
  const auto large = parse(replaced(valid_document, "count: 1", "count: 2"));
  const auto changes = diff_documents(large, parse(valid_document));
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].effect == change_effect::breaks_guarantee);
  CHECK(changes[0].sentence.find("from 2 to 1") != std::string::npos);
  CHECK(unaccepted_changes(changes, {"change-guarantee:studio"}).size() == 1);
  CHECK(unaccepted_changes(changes, {changes[0].name()}).empty());
  CHECK(diff_documents(large, large).empty());
}

// Guards against reporting a reordering of classes as changes of the individual classes.
TEST_CASE("diff_class_order_is_one_change_of_the_service") {
  const auto swapped = replaced(valid_document,
                                "      - {id: hold, deadline: 250ms, non_idempotent: true}\n"
                                "      - {id: check, queue_limit: 7}\n",
                                "      - {id: check, queue_limit: 7}\n"
                                "      - {id: hold, deadline: 250ms, non_idempotent: true}\n");
  const auto changes = diff_documents(parse(valid_document), parse(swapped));
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].sentence == "Service lendbook: the priority order becomes check, hold.");
}

// Guards against two changes with the same name: accepting one would accept the other.
TEST_CASE("diff_of_unrelated_documents_has_unique_names_and_folds_parts") {
  const auto read = [](const std::string& name) {
    return parse(testing::read_file(RHUBARBPATH_SOURCE_DIR "/examples/" + name + ".yaml"));
  };
  const auto changes = diff_documents(read("quokka-lane"), read("demo"));
  std::set<std::string> names;
  for (const auto& change : changes) {
    CHECK(names.insert(change.name()).second);
    CHECK(change.subject != change_subject::worker);
    CHECK(change.subject != change_subject::rack);
  }
  CHECK(names.contains("remove-failure_domain:tas-hba"));
  CHECK(names.contains("remove-team:forecasting"));
  CHECK(names.contains("add-service:wax-sort"));
}

// Guards against a stored row that loses bytes or exceeds the limit of the store, and against accepting a
// corrupted row.
TEST_CASE("document_row_round_trips_and_rejects_damage") {
  const document_row row{
      {document_version{7}, sha256_hex(valid_document), valid_document}, "marama", "2026-12-04T05:18:53Z"};
  const auto value = encode_document_row(row);
  REQUIRE(value.ok());
  const auto decoded = decode_document_row(*value);
  REQUIRE(decoded.ok());
  CHECK(*decoded == row);
  CHECK_FALSE(decode_document_row(replaced(*value, "250ms", "251ms")).ok());
  CHECK_FALSE(decode_document_row(replaced(*value, "\"version\":7", "\"version\":\"7\"")).ok());
  CHECK_FALSE(decode_document_row("{}").ok());
  const std::string lines(max_document_bytes / 2 + 1, '\n');  // Each takes two bytes in JSON.
  CHECK_FALSE(encode_document_row({{document_version{1}, sha256_hex(lines), lines}, "", ""}).ok());
  CHECK_FALSE(encode_document_row({{document_version{1}, "", "\xFF"}, "", ""}).ok());
  CHECK(document_key("trial") == "/env/trial/document");
}

}  // namespace rhubarbpath

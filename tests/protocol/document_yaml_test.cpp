#include "rhubarbpath/protocol/document_yaml.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>

#include "protocol/document_text.hpp"

namespace rhubarbpath {

using namespace std::chrono_literals;
using testing::replaced;
using testing::valid_document;

// Guards against a member that is lost or read into the wrong field.
TEST_CASE("document_valid_is_read_into_every_field") {
  const auto parsed = parse_document(valid_document, "trial");
  REQUIRE(parsed.problems == std::vector<document_problem>{});
  const auto& document = parsed.document;
  CHECK(document.environment == "trial");
  REQUIRE(document.workers.size() == 8);
  CHECK(document.workers[0] == worker_spec{.id = worker_id{"r1-w1"},
                                           .rack = rack_id{"r1"},
                                           .service = service_id{"lendbook"},
                                           .address = "127.0.0.1:9000"});
  CHECK(document.workers[3].address == "127.0.0.1:9003");
  CHECK(document.workers[5].address == "10.1.0.2:9000");
  CHECK(document.workers[5].service.empty());
  REQUIRE(document.teams.size() == 1);
  const auto& team = document.teams[0];
  CHECK(team.max_accelerators == 64);
  CHECK(team.guarantees[0] == guarantee_spec{{8, 2, proximity::rack}, 1, failure_domain_id{"hba"}});
  CHECK(team.guarantees[1] == guarantee_spec{{4, 1, proximity::worker}, 1, std::nullopt});
  CHECK(parsed.lines.guarantees == std::vector<std::vector<int>>{{17, 18}});
  const auto& classes = document.services.at(0).classes;
  CHECK(classes.at(0) == request_class_spec{class_id{"hold"}, 0, 250ms, 1000, true});
  CHECK(classes.at(1) == request_class_spec{class_id{"check"}, 1, std::nullopt, 7, false});
  CHECK(document.job_classes.at(0) == job_class_spec{class_id{"nightly"}, 0, 6h + 30min});
  CHECK(document.budget.retry_share == Approx(0.025));
}

// Guards against accepting an invalid document, and against a message with the wrong line or without the
// accepted values.
TEST_CASE("document_with_one_fault_is_rejected_with_its_line") {
  struct fault {
    std::string from;
    std::string to;
    int line;
    std::string found;
    std::string accepted;
  };
  const auto fault_case = GENERATE(values<fault>({
      {"max_accelerators: 64", "max_gpus: 64", 15, "unknown key \"max_gpus\"", "max_waiting_jobs"},
      {"max_accelerators: 64", "max_accelerators: many", 15, "\"many\"", "a whole number from 0"},
      {"max_accelerators: 64", "max_accelerators: 010", 15, "\"010\"", "a whole number"},
      {"max_accelerators: 64", "max_accelerators: [64]", 15, "has a list", "a whole number"},
      {"max_accelerators: 64", "max_accelerators:", 15, "has no value", "a whole number"},
      {"max_accelerators: 64", "max_accelerators: 8", 14, "below its guarantees", "at least 20"},
      {"max_accelerators: 64", "max_accelerators: 64\n    max_accelerators: 64", 16, "given twice",
       "keep one"},
      {"250ms", "250", 11, "\"250\"", "with a unit"},
      {"250ms", "250GiB", 11, "\"250GiB\"", "ms, s, min"},
      {"250ms", "25h", 11, "\"25h\"", "to 1d"},
      {"non_idempotent: true", "non_idempotent: yes", 11, "\"yes\"", "true or false"},
      {"id: check", "id: hold", 12, "already used at line 11", "unique"},
      {"id: r2", "id: r1", 7, "rack id \"r1\" is already used at line 6", "unique"},
      {"id: r2", "id: \"r 2\"", 7, "\"r 2\"", "letters, digits"},
      {"{id: r2, ", "{", 7, "id is missing", "letters, digits"},
      {"10.1.0.{n}:9000", "127.0.0.1:900{n}", 7, "\"127.0.0.1:9001\" is already used at line 6", "unique"},
      {"10.1.0.{n}:9000", "10.1.0.1:9000", 7, "the same for 4 workers", "{n}"},
      {"10.1.0.{n}:9000", "host{n}:9000", 7, "\"host1:9000\"", "an IP address"},
      {"127.0.0.1:9000", "127.0.0.1:65533", 6, "go past 65535", "at most 65532"},
      {"127.0.0.1:9000", "127.0.0.1:0", 6, "\"127.0.0.1:0\"", "a port from 1"},
      {"first_address", "worker_id: w, first_address", 6, "names 4 workers alike", "{n}"},
      {", first_address: \"127.0.0.1:9000\"", "", 6, "first_address is missing", "address"},
      {"10.1.0.{n}:9000\"", "10.1.0.{n}:9000\", first_address: \"127.0.0.1:9100\"", 7, "beside first_address",
       "either"},
      {"workers: 4", "workers: 4, memory: 128GB", 6, "\"128GB\"", "GiB or TiB"},
      {"workers: 4", "workers: 4, accelerators: 3", 6, "accelerators is 3", "1, 2, 4 or 8"},
      {"workers: 4", "workers: 5000", 6, "\"5000\"", "from 1 to 4096"},
      {"service: lendbook", "service: wax-sort", 6, "service \"wax-sort\" is not defined", "lendbook"},
      {"failure_domain: hba", "failure_domain: lst", 17, "\"lst\" is not defined", "hba"},
      {"accelerators_per_member: 8", "accelerators_per_member: 3", 17, "accelerators_per_member is 3",
       "1, 2, 4"},
      {", accelerators_per_member: 8", "", 17, "accelerators_per_member is missing", "1, 2, 4 or 8"},
      {"within: rack", "within: region", 17, "\"region\"", "worker, rack or failure_domain"},
      {"members: 2", "members: 5", 17, "fit in no rack", "a smaller shape"},
      {"count: 1", "count: 5", 17, "count 5 is larger than failure domain \"hba\"", "at most 4"},
      {"      - {accelerators_per_member: 4}", "      - {count: 14, accelerators_per_member: 4}", 18,
       "come to 72 accelerators", "at most its 64"},
      {"{accelerators_per_member: 4}",
       "{members: 2, accelerators_per_member: 8, within: rack, failure_domain: hba}", 18, "repeats the shape",
       "the sum"},
      {"06:30", "6:30", 20, "\"6:30\"", "00:00"},
      {"06:30", "24:00", 20, "\"24:00\"", "23:59"},
      {"2.5%", "0.025", 22, "\"0.025\"", "a percentage"},
      {"2.5%", "nan%", 22, "\"nan%\"", "a percentage"},
      {"2.5%", "101%", 22, "\"101%\"", "0% to 100%"},
      {"teams:", "team:", 13, "unknown key \"team\"", "teams"},
      {"classes:\n", "classes: []\n    slots_per_target: 61\n    other:\n", 10, "is empty",
       "at least one class"},
      {"    classes:", "    slots_per_target: 61\n    classes:", 10, "above connections_per_target",
       "at most 60"},
  }));
  const auto text = replaced(valid_document, fault_case.from, fault_case.to);
  INFO(text);
  const auto parsed = parse_document(text, "trial");
  bool reported = false;
  for (const auto& problem : parsed.problems) {
    INFO(format_problem("document.yaml", problem));
    reported = reported || (problem.line == fault_case.line &&
                            problem.message.find(fault_case.found) != std::string::npos &&
                            problem.message.find(fault_case.accepted) != std::string::npos);
  }
  std::string all;
  for (const auto& problem : parsed.problems) {
    all += format_problem("document.yaml", problem) + "\n";
  }
  INFO(all);
  CHECK(reported);
}

// Guards against stopping at the first problem, and against problems that are not in line order.
TEST_CASE("document_with_several_faults_reports_all_in_line_order") {
  auto text = replaced(valid_document, "250ms", "250");
  text = replaced(text, "service: lendbook", "service: wax-sort");
  text = replaced(text, "2.5%", "2.5");
  const auto parsed = parse_document(text, "trial");
  REQUIRE(parsed.problems.size() == 3);
  CHECK(parsed.problems[0].line == 6);
  CHECK(parsed.problems[1].line == 11);
  CHECK(parsed.problems[2].line == 22);
  const auto read = read_document(text, "trial", "file.yaml");
  REQUIRE_FALSE(read.ok());
  CHECK(std::string{read.status().message()}.find("\nfile.yaml:11: service") != std::string::npos);
}

// Guards against text for which the YAML library exhausts memory, overflows the stack or takes too long.
TEST_CASE("document_hostile_text_is_rejected_quickly") {
  const auto rejected = [](const std::string& text, int line, std::string_view part) {
    const auto begin = std::chrono::steady_clock::now();
    const auto parsed = parse_document(text, "trial");
    CHECK(std::chrono::steady_clock::now() - begin < 5s);
    REQUIRE_FALSE(parsed.ok());
    INFO(text.substr(0, 20));
    INFO(format_problem("hostile.yaml", parsed.problems.front()));
    CHECK(parsed.problems.front().line == line);
    CHECK(parsed.problems.front().message.find(part) != std::string::npos);
  };
  const auto repeat = [](std::string_view part, std::size_t count) {
    std::string text;
    for (std::size_t i = 0; i < count; ++i) {
      text += part;
    }
    return text;
  };
  rejected("a: &x [1]\nb: [*x, *x]\n", 1, "anchors");
  rejected("a: 1\nb: *x\n", 2, "not valid YAML");
  rejected("a: !!binary x\n", 1, "tag");
  rejected(repeat("[", 4'000), 1, "deeper than");
  rejected(repeat("[\n", 400'000), 13, "deeper than");
  rejected(repeat("{a: ", 900), 1, "deeper than");
  rejected(repeat("- ", 1'900), 1, "deeper than");
  rejected(repeat("? ", 1'900), 1, "deeper than");
  rejected(repeat("[", 400'000), 1, "the line has 400000 bytes");
  rejected("a: [" + repeat("1,\n", 300'000) + "1]", 31'999, "in brackets is longer than 64000 bytes");
  rejected("a: [b \"[\n" + repeat("b \"[[[[[[[[\n", 80'000), 5'819, "in brackets");
  rejected(repeat("a: 1\n", 150'000), 100'000, "more than 200000 values");
  rejected(std::string(max_document_bytes + 1, '#'), 1, "1000001 bytes");
  rejected("a: 1\nb: \xC3\x28\n", 2, "not UTF-8");
  rejected(std::string{"a: 1\nb: \0\n", 10}, 2, "control character");
  rejected("", 1, "empty");
  rejected("a: 1\n---\nb: 1\n", 3, "second YAML document");
  rejected("a: \"open\n", 1, "not valid YAML");
  rejected("just text", 1, "accepted: a map");
  const auto many = parse_document(repeat("a: 1\n", 90'000), "trial").problems;
  REQUIRE(many.size() == 100);
  CHECK(many.back().message.find("more problems follow") != std::string::npos);
}

// Guards against a short text that expands to more workers than fit in the memory of a daemon.
TEST_CASE("document_with_too_many_workers_is_rejected_once") {
  std::string text = "teams: []\nregions:\n  - id: a\n    failure_domains:\n      - id: f\n        racks:\n";
  for (int i = 0; i < 20; ++i) {
    const auto rack = std::to_string(i);
    text += "          - {id: r" + rack + ", workers: 4096, address: \"10.0." + rack + ".1:{n}\"}\n";
  }
  const auto parsed = parse_document(text, "trial");
  REQUIRE(parsed.problems.size() == 1);
  CHECK(parsed.problems[0].line == 15);
  CHECK(parsed.problems[0].message.find("at most 33000") != std::string::npos);
  CHECK(parsed.document.workers.size() == 8 * 4096);
}

// Guards against example documents that the parser rejects, and against overlapping addresses.
TEST_CASE("document_examples_have_the_sizes_of_the_design") {
  struct example {
    std::string name;
    std::size_t domains;
    std::size_t workers;
    std::size_t teams;
    std::string first_address;
    std::string last_address;
  };
  const auto expected = GENERATE(values<example>({
      {"quokka-lane", 4, 48, 4, "127.0.0.1:21000", "127.0.0.1:21047"},
      {"ndidi-crayon", 3, 48, 4, "127.0.0.1:22000", "127.0.0.1:22047"},
      {"demo", 2, 16, 2, "127.0.0.1:23000", "127.0.0.1:23015"},
  }));
  const auto text = testing::read_file(RHUBARBPATH_SOURCE_DIR "/examples/" + expected.name + ".yaml");
  const auto parsed = parse_document(text, "production");
  REQUIRE(parsed.problems == std::vector<document_problem>{});
  CHECK(parsed.document.failure_domains.size() == expected.domains);
  CHECK(parsed.document.teams.size() == expected.teams);
  REQUIRE(parsed.document.workers.size() == expected.workers);
  CHECK(parsed.document.workers.front().address == expected.first_address);
  CHECK(parsed.document.workers.back().address == expected.last_address);
}

// Guards against a document of the size in design section 1.6 that takes more than about 100 KB.
TEST_CASE("document_with_11000_workers_stays_compact") {
  std::string text = "teams: []\nregions:\n  - id: a\n    failure_domains:\n      - id: f\n        racks:\n";
  for (int i = 0; i < 1375; ++i) {
    const auto address = std::to_string(i / 250) + "." + std::to_string(i % 250);
    text += "          - {id: r" + std::to_string(i) + ", workers: 8, address: \"10." + address +
            ".{n}:9000\"}\n";
  }
  const auto parsed = parse_document(text, "trial");
  CHECK(parsed.problems == std::vector<document_problem>{});
  CHECK(parsed.document.workers.size() == 11'000);
  CHECK(text.size() < 110'000);
}

// Guards against crashes on corrupted documents, and against problems without a valid line or message.
TEST_CASE("document_with_random_damage_is_read_or_reported_with_lines") {
  const auto last_line = static_cast<int>(std::count(valid_document.begin(), valid_document.end(), '\n')) + 2;
  const bool holds = rc::check("damaged documents", [&] {
    auto text = valid_document;
    const auto edits = *rc::gen::inRange(1, 4);
    for (int i = 0; i < edits; ++i) {
      const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
      const auto inserted =
          *rc::gen::container<std::string>(rc::gen::elementOf(std::string{"[]{}:,-#\"'&*!% a0\n"}));
      text.replace(at, *rc::gen::inRange<std::size_t>(0, 3), inserted.substr(0, 3));
    }
    const auto problems = parse_document(text, "trial").problems;
    int line = 1;
    for (const auto& problem : problems) {
      RC_ASSERT(problem.line >= line);
      RC_ASSERT(problem.line <= last_line + 9);  // Each edit adds at most 3 lines.
      RC_ASSERT(!problem.message.empty());
      line = problem.line;
    }
  });
  CHECK(holds);
}

// Guards against a duration that changes when it is formatted and parsed again.
TEST_CASE("duration_text_round_trips_and_rejects_other_forms") {
  for (const duration value : {duration{0us}, duration{1us}, duration{250ms}, duration{90s}, duration{8h}}) {
    CHECK(parse_duration(format_duration(value)) == value);
  }
  CHECK(format_duration(90s) == "90s");
  CHECK(format_duration(8h) == "8h");
  for (const std::string_view text :
       {"", "5", "s", "-5s", "1.5s", "5 s", "5S", "367d", "99999999999999999999s"}) {
    INFO(text);
    CHECK_FALSE(parse_duration(text).has_value());
  }
}

}  // namespace rhubarbpath

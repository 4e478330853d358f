#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "protocol/document_text.hpp"
#include "rhubarbpath/protocol/api_json.hpp"
#include "rhubarbpath/protocol/digest.hpp"
#include "rhubarbpath/protocol/document_row.hpp"
#include "rhubarbpath/protocol/document_yaml.hpp"
#include "rhubarbpath/protocol/store_codec.hpp"
#include "rhubarbpath/protocol/trace_context.hpp"
#include "rhubarbpath/transport/http_server.hpp"

namespace rhubarbpath {

using namespace std::chrono_literals;
using nlohmann::json;
using testing::replaced;
using testing::valid_document;

namespace {

constexpr std::uint16_t store_port = 28131;
constexpr std::uint16_t entry_port = 28132;
constexpr std::uint16_t closed_port = 28133;

std::string at_port(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

struct run_result {
  int code{-1};
  json object;
  std::string errors;
};

/// A store with compare-and-swap, an entry VM and the program, on one event loop.
struct ctl_fixture {
  event_loop loop;
  std::map<std::string, store_row> rows;
  std::uint64_t last_revision{0};
  /// Called for each put before and after it takes effect; returns false to send no answer.
  std::function<bool(const store_put&)> before_put = [](const store_put&) { return true; };
  std::function<bool(const store_put&)> after_put = [](const store_put&) { return true; };
  std::function<void(const http_request&, const http_responder&)> entry_handler;
  std::vector<http_request> entry_requests;
  std::vector<http_responder> unanswered;
  http_server store{
      loop,
      {.port = store_port, .max_body_bytes = 4U << 20U},
      [this](const http_request& request, const http_responder& reply) { serve(request, reply); }};
  http_server entry{
      loop, {.port = entry_port}, [this](const http_request& request, const http_responder& reply) {
        entry_requests.push_back(request);
        entry_handler(request, reply);
      }};

  ctl_fixture() {
    REQUIRE(store.listen().ok());
    REQUIRE(entry.listen().ok());
  }
  ctl_fixture(const ctl_fixture&) = delete;
  ctl_fixture(ctl_fixture&&) = delete;
  ctl_fixture& operator=(const ctl_fixture&) = delete;
  ctl_fixture& operator=(ctl_fixture&&) = delete;
  /// Lets the server free the connections of programs that have ended, so that leak checks see real leaks.
  ~ctl_fixture() {
    for (const auto& reply : unanswered) {
      reply.send({.status = 503, .headers = {}, .body = {}});
    }
    const auto end = loop.run_after(20ms, [this] { loop.stop(); });
    loop.run();
  }

  void serve(const http_request& request, const http_responder& reply) {
    const auto call = decode_store_request(request.path, request.body);
    REQUIRE(call.ok());
    if (const auto* get = std::get_if<store_get>(&*call)) {
      const auto found = rows.find(get->key);
      store_rows answer;
      if (found != rows.end()) {
        answer.rows.push_back(found->second);
      }
      send(reply, answer);
      return;
    }
    const auto& put = std::get<store_put>(*call);
    if (!before_put(put)) {
      unanswered.push_back(reply);
      return;
    }
    const auto response = write(put);
    if (!after_put(put)) {
      unanswered.push_back(reply);
      return;
    }
    send(reply, response);
  }

  static void send(const http_responder& reply, const store_response& response) {
    const auto text = encode_store_response(response);
    reply.send({.status = text.status, .headers = {}, .body = text.body});
  }

  store_response write(const store_put& put) {
    auto& row = rows[put.key];
    if (row.at != put.expected) {
      return store_failure::conflict;
    }
    row = {put.key, put.value, revision{++last_revision}, put.id};
    return store_written{row.at};
  }

  /// Another operator's change, made behind the program's back.
  void write_document(const std::string& environment, std::uint64_t version, const std::string& bytes) {
    const document_row row{
        {document_version{version}, sha256_hex(bytes), bytes}, "other-operator", "2026-12-04T01:02:03Z"};
    const auto key = document_key(environment);
    rows[key] = {key, *encode_document_row(row), revision{++last_revision}, write_id{1}};
  }

  document_row stored(const std::string& environment) {
    return decode_document_row(rows.at(document_key(environment)).value).value();
  }

  /// Runs the program while the loop serves it.
  run_result run(const std::string& arguments) {
    const auto* const folder = std::getenv("RHUBARBPATH_BIN");
    REQUIRE(folder != nullptr);
    const std::string errors_path = "rhubarbctl_test.stderr";
    const auto name_end = std::min(arguments.find(' '), arguments.size());
    const auto command = std::string{folder} + "/rhubarbctl " + arguments.substr(0, name_end) +
                         " --output json" + arguments.substr(name_end) + " 2>" + errors_path;
    std::FILE* pipe = popen(command.c_str(), "r");
    REQUIRE(pipe != nullptr);
    fcntl(fileno(pipe), F_SETFL, O_NONBLOCK);
    std::string output;
    const auto reader = loop.run_every(5ms, [&] {
      std::array<char, 4096> buffer{};
      ssize_t size = 0;
      while ((size = read(fileno(pipe), buffer.data(), buffer.size())) > 0) {
        output.append(buffer.data(), static_cast<std::size_t>(size));
      }
      if (size == 0) {
        loop.stop();
      }
    });
    loop.run();
    run_result result;
    result.code = WEXITSTATUS(pclose(pipe));
    result.object = json::parse(output, nullptr, false);
    result.errors = testing::read_file(errors_path);
    INFO(arguments << "\n" << output << result.errors);
    CHECK(result.object.value("exit_code", -1) == result.code);
    return result;
  }

  run_result trial(const std::string& text) {
    std::ofstream{"rhubarbctl_test.yaml"} << text;
    return run("trial rhubarbctl_test.yaml --by marama --store " + at_port(store_port));
  }

  run_result promote(const std::string& text, int expected, const std::string& options = "") {
    return run("promote --by marama --store " + at_port(store_port) + " --digest " + sha256_hex(text) +
               " --expected-version " + std::to_string(expected) + " " + options);
  }
};

job_record sample_job(job_state state) {
  return {.id = job_id{"j-1"},
          .spec = {.team = team_id{"studio"},
                   .job_class = class_id{"nightly"},
                   .shape = {8, 1, proximity::worker},
                   .declared_run_time = 2h,
                   .command = "train --epochs 3"},
          .state = state,
          .reason = "no free rack"};
}

void answer_job(const http_responder& reply, job_state state, int status = 200) {
  reply.send({.status = status,
              .headers = {},
              .body = encode_job_answer({{verdict::ran, "", std::nullopt}, sample_job(state)})});
}

const std::string submission =
    " --team studio --class nightly --accelerators 8 --run-time 2h -- train --epochs 3";

}  // namespace

// Guards against promoting other bytes than the trial's, or against a version that skips or repeats.
TEST_CASE_METHOD(ctl_fixture, "promotion_moves_exact_bytes_and_raises_version_by_one") {
  const auto second = replaced(valid_document, "250ms", "300ms");
  CHECK(trial(valid_document).code == 0);
  CHECK(promote(valid_document, 0).code == 0);
  CHECK(trial(second).code == 0);
  CHECK(promote(second, 1).code == 0);
  CHECK(stored("production").document == versioned_document{document_version{2}, sha256_hex(second), second});
  CHECK(stored("production").promoted_by == "marama");
  const auto status = run("status --store " + at_port(store_port));
  CHECK(status.object["production"]["version"] == 2);
  CHECK(status.object["trial"]["digest"] == sha256_hex(second));
  CHECK(trial(second).code == 0);
  CHECK(stored("trial").document.version == document_version{2});
}

// Guards against an operator who overwrites a change that they have not seen.
TEST_CASE_METHOD(ctl_fixture, "promotion_that_loses_a_race_names_the_other_change") {
  REQUIRE(trial(valid_document).code == 0);
  const auto other = replaced(valid_document, "250ms", "1s");
  SECTION("before the version is read") {
    write_document("production", 1, other);
  }
  SECTION("between the read and the write") {
    before_put = [&](const store_put&) {
      write_document("production", 1, other);
      return true;
    };
  }
  const auto result = promote(valid_document, 0);
  CHECK(result.code == 3);
  CHECK(result.object["other"]["version"] == 1);
  CHECK(result.object["other"]["digest"] == sha256_hex(other));
  CHECK(result.object["other"]["promoted_by"] == "other-operator");
  CHECK(result.object["other"]["promoted_at"] == "2026-12-04T01:02:03Z");
  CHECK(stored("production").document.bytes == other);
}

// Guards against promoting a trial document that was replaced after the operator looked at it.
TEST_CASE_METHOD(ctl_fixture, "promotion_of_a_replaced_trial_document_is_a_conflict") {
  REQUIRE(trial(valid_document).code == 0);
  write_document("trial", 2, replaced(valid_document, "250ms", "1s"));
  const auto result = promote(valid_document, 0);
  CHECK(result.code == 3);
  CHECK(result.object["other"]["version"] == 2);
  CHECK_FALSE(rows.contains("/env/production/document"));
}

// Guards against a dangerous change that is promoted by oversight.
TEST_CASE_METHOD(ctl_fixture, "promotion_requires_each_dangerous_change_by_name") {
  write_document("production", 4, valid_document);
  const auto smaller = replaced(valid_document, "      - {accelerators_per_member: 4}\n", "");
  REQUIRE(trial(smaller).code == 0);
  const auto refused = promote(smaller, 4);
  CHECK(refused.code == 4);
  CHECK(refused.object["must_accept"] == json::array({"remove-guarantee:studio/1x4-worker"}));
  CHECK(promote(smaller, 4, "--accept remove-guarantee:studio/1x4-rack").code == 2);
  CHECK(stored("production").document.version == document_version{4});
  CHECK(promote(smaller, 4, "--accept remove-guarantee:studio/1x4-worker").code == 0);
  CHECK(stored("production").document.version == document_version{5});
}

// Guards against reporting a failure, or writing twice, when only the answer to a write was lost.
TEST_CASE_METHOD(ctl_fixture, "write_without_answer_is_read_back") {
  int puts = 0;
  const auto lose_first = [&](const store_put&) { return ++puts > 1; };
  SECTION("after the write took effect") {
    after_put = lose_first;
  }
  SECTION("before the write took effect") {
    before_put = lose_first;
  }
  CHECK(trial(valid_document).code == 0);
  CHECK(stored("trial").document.version == document_version{1});
  CHECK(stored("trial").promoted_by == "marama");
}

// Guards against the claim that nothing was written while a write is still under way.
TEST_CASE_METHOD(ctl_fixture, "write_that_is_never_confirmed_may_have_run") {
  before_put = [](const store_put&) { return false; };
  const auto result =
      run("trial " RHUBARBPATH_SOURCE_DIR "/examples/demo.yaml --timeout 1s --store " + at_port(store_port));
  CHECK(result.code == 6);
}

// Guards against "may have run" when the store certainly received nothing, and against invalid documents.
TEST_CASE_METHOD(ctl_fixture, "trial_without_store_or_with_faults_writes_nothing") {
  const std::string demo = "trial " RHUBARBPATH_SOURCE_DIR "/examples/demo.yaml --timeout 300ms --store ";
  CHECK(run(demo + at_port(closed_port)).code == 5);
  const auto faulty = trial(replaced(valid_document, "250ms", "250"));
  CHECK(faulty.code == 1);
  CHECK(faulty.object["problems"][0]["line"] == 11);
  CHECK(run("trial missing.yaml --store " + at_port(store_port)).code == 2);
  CHECK(rows.empty());
}

// Guards against guarantees that only fail together, which need the placement check.
TEST_CASE_METHOD(ctl_fixture, "check_reports_unmeetable_guarantees_with_their_line") {
  // 15 groups of 4 leave one worker with a free pair of groups, but no rack with two free workers.
  std::ofstream{"rhubarbctl_test.yaml"}
      << replaced(replaced(valid_document, "{accelerators_per_member: 4}",
                           "{count: 2, members: 3, accelerators_per_member: 8, within: rack}"),
                  "max_accelerators: 64", "max_accelerators: 64 # full");
  const auto result = run("check rhubarbctl_test.yaml");
  CHECK(result.code == 1);
  REQUIRE(result.object["problems"].size() == 1);
  CHECK(result.object["problems"][0]["line"] == 18);
}

// Guards against a second job from one submission, and against giving up while another entry VM works.
TEST_CASE_METHOD(ctl_fixture, "submission_goes_to_the_next_entry_with_the_same_key") {
  int calls = 0;
  entry_handler = [&](const http_request&, const http_responder& reply) {
    if (++calls == 1) {
      unanswered.push_back(reply);
    } else {
      answer_job(reply, job_state::waiting, 202);
    }
  };
  const auto entries = " --entry " + at_port(closed_port) + " --entry " + at_port(entry_port);
  const auto result =
      run("submit --entry-timeout 300ms" + entries + " --entry " + at_port(entry_port) + submission);
  CHECK(result.code == 0);
  CHECK(result.object["job"]["id"] == "j-1");
  REQUIRE(entry_requests.size() == 2);
  const std::string key{header_value(entry_requests[0].headers, "Idempotency-Key")};
  CHECK(result.object["key"] == key);
  CHECK(header_value(entry_requests[1].headers, "Idempotency-Key") == key);
  CHECK(parse_traceparent(header_value(entry_requests[0].headers, "traceparent")).has_value());
  CHECK(parse_job_submission(entry_requests[1].body)->command == "train --epochs 3");
}

// Guards against a wrong verdict when no entry VM answers.
TEST_CASE_METHOD(ctl_fixture, "submission_without_answer_tells_whether_it_may_have_run") {
  entry_handler = [&](const http_request&, const http_responder& reply) { unanswered.push_back(reply); };
  const auto closed = run("submit --entry " + at_port(closed_port) + submission);
  CHECK(closed.code == 5);
  const auto silent =
      run("submit --entry-timeout 200ms --key k-1 --entry " + at_port(entry_port) + submission);
  CHECK(silent.code == 6);
  CHECK(silent.object["key"] == "k-1");
  entry_handler = [&](const http_request&, const http_responder& reply) {
    const job_answer unsettled{{verdict::may_have_run, "not yet accepted", 1s},
                               job_record{.id = job_id{"j-1"}}};
    reply.send({.status = 504, .headers = {}, .body = encode_job_answer(unsettled)});
  };
  const auto unsettled = run("submit --wait 1s --entry " + at_port(entry_port) + submission);
  CHECK(unsettled.code == 6);
  CHECK(unsettled.object["job"]["id"] == "j-1");
  CHECK(run("submit --entry " + at_port(entry_port) + replaced(submission, "rs 8", "rs 3")).code == 2);
}

// Guards against a wait that ends early or silently, and against exit codes that hide a failed job.
TEST_CASE_METHOD(ctl_fixture, "job_wait_reports_progress_and_the_final_state") {
  std::vector<timer_handle> timers;
  entry_handler = [&](const http_request& request, const http_responder& reply) {
    CHECK(request.path == "/v1/jobs/j-1");
    CHECK(parse_wait(request.query).value() > 0s);
    const bool last = entry_requests.size() == 3;
    timers.push_back(loop.run_after(
        last ? 2500ms : 10ms, [=] { answer_job(reply, last ? job_state::failed : job_state::running); }));
  };
  const auto result = run("job j-1 --wait 30s --entry " + at_port(entry_port));
  CHECK(result.code == 1);
  CHECK(result.object["job"]["state"] == "failed");
  CHECK(result.errors.find("waiting for job j-1 (running: no free rack)") != std::string::npos);
}

// Guards against commands that use another method or path than the API page says.
TEST_CASE_METHOD(ctl_fixture, "cancel_why_and_status_read_the_answers") {
  auto state = job_state::cancelled;
  entry_handler = [&](const http_request& request, const http_responder& reply) {
    if (request.path == "/v1/status") {
      reply.send({.status = 200,
                  .headers = {},
                  .body = encode_status({.vm = vm_id{"vm-1"}, .environment = "production"})});
    } else if (request.path == "/v1/jobs/j-2") {
      reply.send(
          {.status = 404, .headers = {}, .body = encode_outcome({verdict::not_run, "no such job", {}})});
    } else {
      answer_job(reply, state);
    }
  };
  const auto entry_option = " --entry " + at_port(entry_port);
  CHECK(run("cancel j-1" + entry_option).code == 0);
  CHECK(entry_requests.back().method == "DELETE");
  state = job_state::finished;
  CHECK(run("cancel j-1" + entry_option).code == 1);
  state = job_state::waiting;
  const auto why = run("why j-1" + entry_option);
  CHECK(why.code == 0);
  CHECK(why.object["explanation"].get<std::string>().starts_with("Job j-1 waits: no free rack."));
  CHECK(run("job j-2" + entry_option).code == 1);
  CHECK(run("job ../x" + entry_option).code == 2);
  CHECK(run("status" + entry_option).object["entries"][0]["status"]["vm"] == "vm-1");
  CHECK(run("status --entry " + at_port(closed_port)).code == 5);
}

// Guards against a silent empty history, which would read as "nothing happened".
TEST_CASE_METHOD(ctl_fixture, "explain_reads_log_files_and_names_what_is_missing") {
  const std::string path = "explain_test.log";
  {
    std::ofstream file{path};
    file << R"({"time":"2026-12-04T11:00:00.100Z","vm":"a","message":"job_added","job":"0123456789abcdef"})"
         << "\n"
         << R"({"time":"2026-12-04T11:00:00.2)"
         << "\n";
  }
  const auto found = run("explain 0123456789abcdef " + path);
  CHECK(found.code == 0);
  CHECK(found.object["entries"][0]["event"] == "job_added");
  CHECK(found.object["unreadable_lines"] == 1);
  CHECK(found.object["findings"][0] == "nothing of it was ever started");
  CHECK(run("explain fedcba9876543210 " + path).code == 1);
  CHECK(run("explain 0123456789abcdef no-such-file.log").code == 2);
  CHECK(run("explain 0123456789abcdef <" + path).object["entries"].size() == 1);
}

// Guards against a table of zeros for logs that hold no job, which would read as "all in time".
TEST_CASE_METHOD(ctl_fixture, "misses_reads_log_files_and_tells_when_they_hold_no_job") {
  const std::string path = "misses_test.log";
  {
    std::ofstream file{path};
    file << R"({"time":"2026-12-04T11:00:00.100Z","message":"job_added","job":"j1","queue":"q","team":"t",)"
         << R"("kind":"once","chain_ms":"100","objective_ms":"200","target_ms":"50"})"
         << "\n"
         << R"({"time":"2026-12-04T11:00:09.100Z","message":"job_ended","job":"j1","reason":"complete"})"
         << "\n"
         << R"({"time":"2026-12-04T11:00:09.2)"
         << "\n";
  }
  const auto found = run("misses " + path);
  CHECK(found.code == 0);
  CHECK(found.object["missed"][0]["job"] == "j1");
  CHECK(found.object["queues"]["q"]["missed"] == 1);
  CHECK(run("misses no-such-file.log").code == 2);
  CHECK(run("misses </dev/null").code == 1);
}

}  // namespace rhubarbpath

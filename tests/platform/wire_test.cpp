#include <catch2/catch.hpp>
#include <limits>

#include "platform/config_wire.hpp"
#include "platform/job_wire.hpp"
#include "platform/json_reader.hpp"
#include "platform/settings.hpp"
#include "platform/store_wire.hpp"
#include "platform/worker_wire.hpp"

namespace rhubarbpath::platform {
namespace {

http_result make_response(int status, std::string body) {
  return http_response{.status = status, .headers = {}, .body = std::move(body)};
}

constexpr std::string_view settings_text = R"({"node":"edge-1","ip":"10.1.0.19","zone":"tas-hba",
  "bindings":{"front":"10.1.0.19:1","ready":"10.1.0.19:2","control":"10.1.0.19:3"},
  "seeds":["10.1.0.19:3"],"limits":{"cpuShare":0.25,"cores":2},"bounds":{"maxHoldMs":8000},
  "platform":{"address":"10.200.1.7:8524"},"something":"new"})";

TEST_CASE("settings_with_unknown_fields_are_accepted") {
  const auto settings = decode_settings(settings_text);
  REQUIRE(settings.ok());
  CHECK(settings->vm == vm_id{"edge-1"});
  CHECK(settings->processor_cores == 0.5);
  CHECK(settings->longest_worker_lease == std::chrono::seconds{8});
  CHECK(settings->store_address == "10.200.1.7:8524");
}

TEST_CASE("settings_with_invalid_address_are_rejected_with_the_field_name") {
  // An invalid address must fail at startup; otherwise the process starts with only some of its addresses
  // and fails later without a clear cause.
  std::string text{settings_text};
  text.replace(text.find("10.1.0.19:2"), 11, "nowhere    ");
  const auto settings = decode_settings(text);
  REQUIRE_FALSE(settings.ok());
  CHECK(settings.status().message() == "settings: bindings.ready must be an IP number and port");
  CHECK_FALSE(decode_settings("[]").ok());
}

TEST_CASE("settings_name_a_limit_for_evacuations_only_where_they_are_requested") {
  // Guards against reads of requests, and starts that wait for them, in deployments without any.
  CHECK_FALSE(decode_settings(settings_text)->evacuation_limit);
  std::string text{settings_text};
  text.replace(text.find(R"("maxHoldMs":8000)"), 16, R"("evacuateMs":5000)");
  CHECK(decode_settings(text)->evacuation_limit == std::chrono::seconds{5});
  text.replace(text.find("5000"), 4, R"("no")");
  CHECK_FALSE(decode_settings(text)->evacuation_limit);
}

TEST_CASE("evacuated_domain_is_named_by_the_key_of_the_request") {
  CHECK(*evacuated_domain("op/evacuate/tas-hba") == failure_domain_id{"tas-hba"});
  CHECK(*evacuated_domain("op/evacuate/a/b") == failure_domain_id{"a/b"});
  CHECK_FALSE(evacuated_domain("op/evacuate/").ok());
  CHECK_FALSE(evacuated_domain("op/config").ok());
}

TEST_CASE("settings_with_limits_bound_what_clients_make_the_process_keep") {
  // Guards against bounds that do not follow the VM, or that a missing or odd limit turns to nothing.
  const auto with_limits = [](const std::string& limits) {
    std::string text{settings_text};
    const std::string cores = R"("cores":2)";
    text.replace(text.find(cores), cores.size(), limits);
    return decode_settings(text);
  };
  const auto stated = with_limits(R"("memoryMb":120,"maxFds":3075)");
  REQUIRE(stated.ok());
  CHECK(stated->max_client_bytes == 30U << 20U);
  CHECK(stated->max_sockets == 2875);
  const auto few = with_limits(R"("maxFds":100)");
  REQUIRE(few.ok());
  CHECK(few->max_client_bytes == vm_settings{}.max_client_bytes);
  CHECK(few->max_sockets == 50);
  for (const auto* odd : {R"("memoryMb":0,"maxFds":0)", R"("memoryMb":-1,"maxFds":-1)",
                          R"("memoryMb":"x","maxFds":null)", R"("memoryMb":1e300,"maxFds":1e300)"}) {
    INFO(odd);
    const auto settings = with_limits(odd);
    REQUIRE(settings.ok());
    CHECK(settings->max_client_bytes == vm_settings{}.max_client_bytes);
    CHECK(settings->max_sockets == 0);
  }
}

TEST_CASE("settings_state_the_rates_of_the_store") {
  // Guards against bounds on callers that do not follow the store, or that an odd rate turns to nothing.
  const std::string address = R"("address":"10.200.1.7:8524")";
  const auto with_rates = [&](const std::string& rates) {
    std::string text{settings_text};
    text.replace(text.find(address), address.size(), address + rates);
    return decode_settings(text);
  };
  CHECK(with_rates(R"(,"readsPerS":900,"writesPerS":90)")->store_reads_per_second == 900);
  CHECK(with_rates(R"(,"readsPerS":900,"writesPerS":90)")->store_writes_per_second == 90);
  for (const auto* odd : {"", R"(,"readsPerS":0,"writesPerS":-1)", R"(,"readsPerS":"x","writesPerS":null)"}) {
    INFO(odd);
    CHECK(with_rates(odd)->store_reads_per_second == vm_settings{}.store_reads_per_second);
    CHECK(with_rates(odd)->store_writes_per_second == vm_settings{}.store_writes_per_second);
  }
}

TEST_CASE("advice_request_and_answer_match_the_wire_format") {
  const auto request =
      encode_advice_request({.step = {.job = job_id{"5c0e7a21d94b36f8"}, .occurrence = 0, .step = 1},
                             .workers = {worker_id{"i-1"}}});
  CHECK(request.path == "/api/advise");
  CHECK(request.body == R"({"step":"5c0e7a21d94b36f8.0.1","workers":["i-1"]})");
  const auto granted =
      decode_advice_answer(make_response(200, R"({"good":[["i-1","t-1"],["i-2"]],"validityMs":3000})"));
  REQUIRE(granted);
  CHECK(*granted == std::vector<granted_ticket>{{.worker = worker_id{"i-1"}, .ticket = "t-1"}});
  CHECK_FALSE(decode_advice_answer(make_response(429, "")));
  CHECK_FALSE(decode_advice_answer(make_response(200, R"({"good":7})")));
  const auto config = decode_config(
      R"({"version":1,"routes":[{"name":"q","advisor":{"decisionMs":20,"perWorkerMs":5,"validityMs":3000}}]})");
  REQUIRE(config.ok());
  REQUIRE(config->queues.front().adviser);
  CHECK(config->queues.front().adviser->validity == std::chrono::seconds{3});
}

TEST_CASE("malformed_worker_entries_are_ignored") {
  // Another program may write registry entries whose fields are missing or mistyped, or that are not JSON.
  const std::string good =
      R"({"service":"s","address":"10.0.0.1:1","zone":"z","version":"v1","slots":8,"seq":4,
    "state":"ready","capacity":{"cpu":1,"memMb":1,"gpu":8},"labels":["a","r1"],"born":5})";
  const auto entry = decode_worker_entry("servers/i-1", good);
  REQUIRE(entry.ok());
  CHECK(entry->id == worker_id{"i-1"});
  CHECK(entry->rack == rack_id{"r1"});
  CHECK(entry->capacity.accelerators == 8);
  for (const std::string_view malformed_text :
       {R"({"service":1,"address":"10.0.0.1:1","state":"ready","capacity":{}})",
        R"({"service":"s","state":"ready","capacity":{}})",
        R"({"service":"s","address":"10.0.0.1:1","state":"odd","capacity":{}})",
        R"({"service":"s","address":"10.0.0.1:1","state":"ready","capacity":7})", "\xff\xfe", "", "[]"}) {
    CHECK_FALSE(decode_worker_entry("servers/i-1", malformed_text).ok());
  }
}

TEST_CASE("worker_entry_of_a_draining_worker_says_how_long_it_stays") {
  // Guards against a worker that leaves earlier or later than the scheduler counts on.
  auto row = parse_json(R"({"service":"s","address":"10.0.0.1:1","zone":"z","version":"v1","slots":8,"seq":4,
    "state":"draining","drainRemainingMs":2500,"capacity":{"cpu":1,"memMb":1,"gpu":8},"labels":["a","r1"]})");
  const auto decode = [&] { return decode_worker_entry("servers/i-1", row.dump()); };
  REQUIRE(decode().ok());
  CHECK(decode()->draining);
  CHECK(decode()->stays_for == std::chrono::milliseconds{2500});
  row["drainRemainingMs"] = 0;
  CHECK(decode()->stays_for == std::chrono::milliseconds{0});
  row.erase("drainRemainingMs");
  REQUIRE(decode().ok());
  CHECK_FALSE(decode()->stays_for);
  for (const auto* odd : {"-1", "1e300", "9223372036854775807", "\"2500\"", "[]"}) {
    INFO(odd);
    row["drainRemainingMs"] = json::parse(odd);
    CHECK_FALSE(decode().ok());
  }
}

TEST_CASE("worker_entry_with_one_odd_field_is_ignored") {
  // Guards against a process that ends, or stops following the list of workers, because of one entry that
  // another writer left: deeply nested, with a number too large, a port out of range, or a name as address,
  // which would be looked up and block the loop.
  const auto good = parse_json(R"({"service":"s","address":"10.0.0.1:1","zone":"z","version":"v1","slots":8,
    "seq":4,"state":"ready","coldRemainingMs":0,"capacity":{"cpu":1,"memMb":1,"gpu":8},"labels":["a","r1"],
    "born":5})");
  const auto accepted = [](const json& row) { return decode_worker_entry("servers/i-1", row.dump()).ok(); };
  REQUIRE(accepted(good));
  for (const auto* name :
       {"service", "address", "zone", "version", "slots", "state", "capacity", "labels", "seq"}) {
    INFO(name);
    auto missing = good;
    missing.erase(name);
    CHECK_FALSE(accepted(missing));
    auto other_type = good;
    other_type[name] = json::object({{"a", true}});
    CHECK_FALSE(accepted(other_type));
  }
  for (const auto* address : {"10.0.0.1:99999", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1", ":1",
                              "worker.example:80", "10.0.0.300:1"}) {
    INFO(address);
    auto odd = good;
    odd["address"] = address;
    CHECK_FALSE(accepted(odd));
  }
  for (const auto* number :
       {"1e300", "-1e300", "18446744073709551615", "9223372036854775807", "-1", "1e18"}) {
    INFO(number);
    auto odd = good;
    odd["capacity"]["cpu"] = json::parse(number);
    CHECK_FALSE(accepted(odd));
  }
  for (const auto* number : {"1e300", "-1", "18446744073709551615", "\"5\"", "[]"}) {
    INFO(number);
    auto odd = good;
    odd["born"] = json::parse(number);
    CHECK_FALSE(accepted(odd));
  }
  constexpr std::size_t nesting = 500'000;
  const auto nested = std::string(nesting, '[') + std::string(nesting, ']');
  CHECK_FALSE(decode_worker_entry("servers/i-1", nested).ok());
  CHECK_FALSE(decode_worker_entry("servers/i-1", R"({"service":)" + nested + "}").ok());
  CHECK_FALSE(decode_worker_entry("servers/i-1", std::string(nesting, '[')).ok());
  CHECK_FALSE(decode_worker_entry("servers/i-1", R"({"capacity":{"cpu":1e400}})").ok());
}

TEST_CASE("renewal_answer_with_numbers_out_of_range_is_read_without_them") {
  // Guards against undefined conversions of a number that a worker lists.
  const auto answer = decode_renew_answer(make_response(200, R"({"clockMs":5,"born":9,
    "running":[["5c0e7a21d94b36f8.0.1.17",1e300,"",41],["5c0e7a21d94b36f8.0.1.18",2,"",1e300],
               ["5c0e7a21d94b36f8.0.1.19",2,"",400]],
    "finished":[[-1,"5c0e7a21d94b36f8.0.1.9",1,"done",""],[18446744073709551615,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})"));
  const auto* report = std::get_if<lease_report>(&answer);
  REQUIRE(report != nullptr);
  CHECK_FALSE(report->complete);
  CHECK(report->ended.empty());
  REQUIRE(report->running.size() == 1);
  CHECK(report->running.front().percent == 100);
}

TEST_CASE("renewal_answer_with_a_clock_or_incarnation_out_of_range_is_no_report") {
  // Guards against leases that are counted from a clock that overflows, and against an incarnation that no
  // later one can follow.
  const auto readable = [](const std::string& text) {
    return std::holds_alternative<lease_report>(decode_renew_answer(make_response(200, text)));
  };
  REQUIRE(readable(R"({"clockMs":5,"born":9,"running":[],"finished":[]})"));
  REQUIRE(readable(R"({"clockMs":0,"running":[],"finished":[]})"));
  const auto nested = std::string(100'000, '[') + std::string(100'000, ']');
  for (const std::string& odd :
       {std::string{"-1"}, std::string{"1e300"}, std::string{"1e400"}, std::string{"9223372036854775807"},
        std::string{"9223372036854775808"}, std::string{"\"5\""}, nested}) {
    INFO(odd.substr(0, 30));
    CHECK_FALSE(readable(R"({"clockMs":)" + odd + R"(,"born":9})"));
    if (odd != "9223372036854775807") {
      CHECK_FALSE(readable(R"({"clockMs":5,"born":)" + odd + "}"));
    }
  }
  CHECK_FALSE(readable(nested));
  const auto answer = decode_renew_answer(
      make_response(200, R"({"clockMs":5,"running":)" + nested + R"(,"finished":[[1,)" + nested + "]]}"));
  REQUIRE(std::holds_alternative<lease_report>(answer));
  CHECK_FALSE(std::get<lease_report>(answer).complete);
}

TEST_CASE("worker_entry_whose_id_no_header_can_carry_is_ignored") {
  // Guards against orders that another worker at the same address takes for its own: a header with a line
  // break is left out of the order, and space around a value is not part of it.
  const std::string good =
      R"({"service":"s","address":"10.0.0.1:1","zone":"z","version":"v1","slots":8,"seq":4,
    "state":"ready","capacity":{"cpu":1,"memMb":1,"gpu":8},"labels":["a","r1"],"born":5})";
  REQUIRE(decode_worker_entry("servers/i-885cfb2f", good).ok());
  for (const std::string_view id :
       {"", " ", "i-1 ", " i-1", "i-1\r\nA: b", "i-1\n", "i\t1", "i-\x7f", "i-\xff"}) {
    INFO(id);
    CHECK_FALSE(decode_worker_entry("servers/" + std::string{id}, good).ok());
  }
}

TEST_CASE("config_with_an_odd_version_or_list_is_rejected") {
  // Guards against a version that no later one can follow, and against a route that is made of no object.
  CHECK(decode_config(R"({"version":0})").ok());
  CHECK(decode_config(R"({"version":7,"routes":[{"name":"r"}],"services":[],"tenants":[]})").ok());
  const auto nested = std::string(100'000, '[') + std::string(100'000, ']');
  for (const std::string& odd :
       {std::string{"-1"}, std::string{"1e300"}, std::string{"1e400"}, std::string{"9223372036854775808"},
        std::string{"18446744073709551615"}, std::string{"\"7\""}, std::string{"null"}, nested}) {
    INFO(odd.substr(0, 30));
    CHECK_FALSE(decode_config(R"({"version":)" + odd + "}").ok());
  }
  for (const auto* name : {"routes", "services", "tenants"}) {
    for (const std::string& odd :
         {std::string{"7"}, std::string{"\"r\""}, std::string{"[7]"}, std::string{"{\"a\":1}"}, nested}) {
      INFO(name << ' ' << odd.substr(0, 30));
      CHECK_FALSE(decode_config(R"({"version":7,")" + std::string{name} + R"(":)" + odd + "}").ok());
    }
  }
  CHECK_FALSE(decode_config(nested).ok());
}

TEST_CASE("config_numbers_out_of_range_count_as_the_nearest_in_range") {
  // Guards against times that overflow when they are added to those of a job.
  const auto queue = [](const std::string& fields) {
    return decode_config(R"({"version":7,"routes":[{"name":"r",)" + fields + "}]}")->queues.front();
  };
  CHECK(queue(R"("targetDurationMs":9223372036854775807)").target > std::chrono::hours{24});
  CHECK(queue(R"("targetDurationMs":9223372036854775807)").target < duration::max() / 4);
  CHECK(queue(R"("targetDurationMs":-9223372036854775807)").target == duration::zero());
  CHECK(queue(R"("maxAttempts":-1)").max_attempts == 0);
  CHECK(queue(R"("maxAttempts":4294967297)").max_attempts == std::numeric_limits<std::uint32_t>::max());
}

TEST_CASE("config_guarantee_is_decoded_from_its_object") {
  const auto config = decode_config(R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/",
    "priority":0,"service":"s","maxAttempts":3,"stretch":1.5}],"services":[],
    "tenants":[{"name":"t","apiKeys":["k"],"guaranteedGpus":{"gpu":72}}]})");
  REQUIRE(config.ok());
  CHECK(config->teams.front().guaranteed_accelerators == 72);
  CHECK(config->queues.front().max_attempts == 3);
  CHECK_FALSE(decode_config("{}").ok());
}

TEST_CASE("job_whose_step_depends_on_itself_or_a_later_step_is_rejected") {
  CHECK(decode_job(R"({"spec":"x","steps":[{"count":2},{"after":[0],"gang":true}]})").ok());
  CHECK_FALSE(decode_job(R"({"steps":[{"after":[0]}]})").ok());
  CHECK_FALSE(decode_job(R"({"steps":[]})").ok());
  CHECK_FALSE(decode_job("nonsense").ok());
}

TEST_CASE("job_with_a_number_out_of_range_is_rejected_with_the_field_name") {
  // Guards against an owner that reads far outside of its data, or takes all memory, because of one accepted
  // number: an index of a step that wraps around, or a count that is cut to 32 bits.
  for (const auto* after : {"4294967295", "4294967296", "-1", "1e300", "\"0\"", "1"}) {
    INFO(after);
    const auto job =
        decode_job(std::string{R"({"steps":[{"count":1},{"count":1,"after":[)"} + after + "]}]}");
    REQUIRE_FALSE(job.ok());
    CHECK(job.status().message() == "steps[1].after must contain only indices of earlier steps");
  }
  for (const auto* count : {"4294967296", "-1", "1e300", "18446744073709551615", "\"3\""}) {
    INFO(count);
    const auto job = decode_job(std::string{R"({"steps":[{"count":)"} + count + "}]}");
    REQUIRE_FALSE(job.ok());
    CHECK(job.status().message() == "steps[0].count must be a whole number in range");
    CHECK_FALSE(decode_job(std::string{R"({"steps":[{"count":1}],"repeatCount":)"} + count + "}").ok());
  }
  CHECK_FALSE(decode_job(R"({"steps":[{"count":1,"cpu":-1}]})").ok());
  CHECK_FALSE(decode_job(R"({"steps":[{"count":1,"gpu":9223372036854775807}]})").ok());
  CHECK_FALSE(decode_job(R"({"steps":[{"count":1,"estimateMs":9223372036854775807}]})").ok());
  CHECK_FALSE(decode_job(R"({"steps":[{"count":1}],"repeatCount":2,"intervalMs":-1})").ok());
  CHECK_FALSE(decode_job(R"({"steps":[{"count":100000,"gang":true}]})").ok());
  CHECK(decode_job(R"({"steps":[{"count":4294967295}],"repeatCount":525600,"intervalMs":60000})").ok());
}

TEST_CASE("start_answer_is_definite_only_when_the_order_was_refused_or_never_sent") {
  // A start order that may still be executed must not count as refused; otherwise the task is started a
  // second time elsewhere.
  using result = start_result;
  const http_result sent_without_answer =
      http_call_failed{.bytes_sent = true, .timed_out = true, .reason = {}};
  const http_result not_sent = http_call_failed{.bytes_sent = false, .timed_out = true, .reason = {}};
  CHECK(std::holds_alternative<order_unanswered>(decode_start_answer(sent_without_answer)));
  CHECK(std::holds_alternative<start_refused>(decode_start_answer(not_sent)));
  CHECK(std::holds_alternative<order_unanswered>(decode_start_answer(make_response(500, ""))));
  CHECK(std::holds_alternative<wrong_instance>(decode_start_answer(make_response(421, ""))));
  const result fenced = decode_start_answer(make_response(409, R"({"clockMs":1,"reason":"fence"})"));
  REQUIRE(std::holds_alternative<start_refused>(fenced));
  CHECK(std::get<start_refused>(fenced).why == start_refusal::fenced);
}

TEST_CASE("renewal_answer_skips_malformed_rows_and_keeps_the_others") {
  const auto answer = decode_renew_answer(make_response(200, R"({"clockMs":5,"born":9,
    "running":[["5c0e7a21d94b36f8.0.1.17",2,"",41,3],["bad",1,"",0],7],
    "finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],[59,"x.0.0.0",1,"odd",""]]})"));
  const auto* report = std::get_if<lease_report>(&answer);
  REQUIRE(report != nullptr);
  REQUIRE(report->running.size() == 1);
  CHECK(report->running.front().task.index == 17);
  REQUIRE(report->ended.size() == 1);
  CHECK(report->ended.front().outcome == run_outcome::done);
  CHECK_FALSE(report->complete);
}

TEST_CASE("renewal_answer_is_complete_only_if_its_lists_can_name_every_run") {
  // Guards against a run that counts as lost because its row is left out of a full list or cannot be read.
  const auto complete = [](const std::string& lists) {
    const auto answer = decode_renew_answer(make_response(200, R"({"clockMs":5,"born":9)" + lists + "}"));
    return std::get<lease_report>(answer).complete;
  };
  const auto ends = [](int count) {
    std::string rows;
    for (int number = 1; number <= count; ++number) {
      rows +=
          (number == 1 ? "[" : ",[") + std::to_string(number) + R"(,"5c0e7a21d94b36f8.0.1.9",1,"done",""])";
    }
    return R"(,"running":[],"finished":[)" + rows + "]";
  };
  CHECK(complete(R"(,"running":[],"finished":[])"));
  CHECK(complete(""));
  CHECK(complete(ends(499)));
  CHECK_FALSE(complete(ends(500)));
  CHECK_FALSE(complete(R"(,"running":7,"finished":[])"));
  CHECK_FALSE(complete(R"(,"running":[["5c0e7a21d94b36f8.0.1.17","2","",41]],"finished":[])"));
  CHECK_FALSE(complete(R"(,"running":[],"finished":[[1,"5c0e7a21d94b36f8.0.1.9",1,"unheard-of",""]])"));
}

TEST_CASE("store_response_distinguishes_refused_from_unknown") {
  // A caller may be told that nothing was done only after a refusal, never after a request that was sent
  // and not answered.
  const kv_request commit =
      kv_commit{.expected = {{"k", revision{}}}, .puts = {{"k", "v", {}}}, .erases = {}};
  CHECK(std::holds_alternative<kv_refused>(decode_store_response(commit, make_response(503, ""))));
  CHECK(std::holds_alternative<kv_refused>(decode_store_response(commit, make_response(429, ""))));
  CHECK(std::get<kv_refused>(decode_store_response(commit, make_response(429, ""))).rate_limited);
  CHECK_FALSE(std::get<kv_refused>(decode_store_response(commit, make_response(503, ""))).rate_limited);
  CHECK(std::holds_alternative<kv_unknown>(decode_store_response(commit, make_response(500, ""))));
  CHECK(std::holds_alternative<kv_unknown>(
      decode_store_response(commit, http_call_failed{.bytes_sent = true, .timed_out = true, .reason = {}})));
  CHECK(std::holds_alternative<kv_refused>(decode_store_response(
      commit, http_call_failed{.bytes_sent = false, .timed_out = false, .reason = {}})));
  const auto conflict = decode_store_response(
      commit,
      make_response(412, R"({"items":[{"key":"k","value":"dg==","revision":4},{"key":"m","revision":0}]})"));
  REQUIRE(std::holds_alternative<kv_conflict>(conflict));
  REQUIRE(std::get<kv_conflict>(conflict).items.size() == 1);
  CHECK(std::get<kv_conflict>(conflict).items.front().value == "v");
  CHECK(encode_store_request(commit).body ==
        R"({"delete":[],"expectedRev":[{"key":"k","revision":0}],"put":[{"key":"k","value":"dg=="}]})");
}

}  // namespace
}  // namespace rhubarbpath::platform

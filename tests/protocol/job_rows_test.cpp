#include "rhubarbpath/protocol/job_rows.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace rhubarbpath {
namespace {

TEST_CASE("job_row_round_trip_keeps_every_field") {
  // Guards against a step field that a new owner decodes differently from the owner that accepted the job.
  accepted_job job{.id = job_id{"5c0e7a21d94b36f8"},
                   .queue = queue_id{"q"},
                   .team = team_id{"t"},
                   .accepted_at = std::chrono::milliseconds{123},
                   .graph = {.payload = "spec", .steps = {}, .occurrences = 3}};
  job.graph.steps.push_back({.count = 4,
                             .each = {1, 2, 3},
                             .estimate = std::chrono::seconds{5},
                             .after = {},
                             .checkpointing = true,
                             .gang = true,
                             .same_rack = true,
                             .required_label = "a",
                             .data_rack = "r1",
                             .max_per_worker = 2,
                             .image = "i"});
  job.terms = queue_config{.id = job.queue,
                           .service = service_id{"s"},
                           .priority = 2,
                           .max_attempts = 3,
                           .stretch = 1.5,
                           .target = std::chrono::seconds{1},
                           .adviser = adviser_config{.validity = std::chrono::seconds{3}}};
  const auto bytes = encode_accepted_job(job);
  const auto read = decode_accepted_job(bytes);
  REQUIRE(read.ok());
  REQUIRE(read->terms);
  CHECK(read->terms->service == service_id{"s"});
  CHECK(read->terms->max_attempts == 3);
  CHECK(read->terms->adviser->validity == std::chrono::seconds{3});
  CHECK(encode_accepted_job(*read) == bytes);
  CHECK(read->graph.steps.front().data_rack == "r1");
  CHECK(read->graph.steps.front().each == resource_amounts{1, 2, 3});
}

TEST_CASE("job_row_with_a_step_that_depends_on_itself_or_a_later_step_gives_an_error") {
  // Guards against an owner that ends whenever it reads a row that an earlier version accepted.
  accepted_job job{.id = job_id{"5c0e7a21d94b36f8"}, .graph = {.payload = "", .steps = {{}, {}}}};
  CHECK(decode_accepted_job(encode_accepted_job(job)).ok());
  job.graph.steps[1].after = {4294967295U};
  CHECK_FALSE(decode_accepted_job(encode_accepted_job(job)).ok());
}

TEST_CASE("progress_row_round_trip_keeps_failed_runs") {
  const job_progress progress{.job = job_id{"j"},
                              .phase = job_phase::running,
                              .units = {{.occurrence = 1,
                                         .step = 2,
                                         .unit = 3,
                                         .failed_runs = {run_number{4}, run_number{1001}},
                                         .last_run = run_number{1001},
                                         .checkpoint = "c"}}};
  const auto read = decode_job_progress(encode_job_progress(progress));
  REQUIRE(read.ok());
  CHECK(read->units == progress.units);
}

TEST_CASE("progress_row_names_few_done_units_one_by_one_as_earlier_versions_read_them") {
  // Guards against an owner of an earlier version that takes units for not done during an upgrade.
  const job_progress progress{.job = job_id{"j"},
                              .phase = job_phase::running,
                              .units = {{.step = 1, .unit = 9, .checkpoint = "c"}},
                              .done = {{.occurrence = 0, .step = 0, .units = {.first = 0, .last = 2}}}};
  const auto bytes = encode_job_progress(progress);
  const auto row = nlohmann::json::from_cbor(bytes);
  REQUIRE(row.size() == 3);
  REQUIRE(row[2].size() == 4);
  CHECK(row[2][3] == nlohmann::json::array({0, 0, 2, true, nlohmann::json::array(), 0, ""}));
  const auto read = decode_job_progress(bytes);
  REQUIRE(read.ok());
  CHECK(read->units == progress.units);
  REQUIRE(read->done.size() == 3);
  CHECK(read->done.back() == done_units{.occurrence = 0, .step = 0, .units = {.first = 2, .last = 2}});
}

TEST_CASE("progress_row_of_a_large_job_stays_small") {
  // Guards against a row that grows with the number of finished tasks until the store refuses it, after which
  // no end of any job is noted any more.
  job_progress progress{.job = job_id{"j"}, .phase = job_phase::running, .units = {}};
  for (std::uint32_t index = 0; index < 1000; ++index) {
    progress.done.push_back(
        {.occurrence = 7, .step = 1, .units = {.first = index * 200, .last = index * 200 + 198}});
  }
  progress.done_occurrences = {{.first = 0, .last = 6}, {.first = 9, .last = 9}};
  const auto bytes = encode_job_progress(progress);
  CHECK(bytes.size() < 20'000);
  const auto read = decode_job_progress(bytes);
  REQUIRE(read.ok());
  CHECK(read->done == progress.done);
  CHECK(read->done_occurrences == progress.done_occurrences);
}

TEST_CASE("leaving_workers_row_round_trip_keeps_every_task") {
  // Guards against a task that is lost from the row: the next owner would start it while it still runs.
  const std::vector<leaving_worker> workers{
      {.worker = worker_id{"w1"}, .tasks = {{.job = job_id{"j"}, .occurrence = 1, .step = 2, .index = 3}}},
      {.worker = worker_id{"w2"}, .tasks = {}}};
  const auto read = decode_leaving_workers(encode_leaving_workers(workers));
  REQUIRE(read.ok());
  CHECK(*read == workers);
}

TEST_CASE("rows_that_cannot_be_read_give_an_error") {
  // Guards against a row that ends each owner that reads it: the parser of the library throws for lengths
  // that no memory holds, and is recursive.
  const std::vector<std::string> bad_rows{"",
                                          "\xff",
                                          "\x01",
                                          "\x81\x01",
                                          "\x9b" + std::string(8, '\xff'),
                                          "\xbb" + std::string(8, '\xff'),
                                          "\x9b\x0f" + std::string(7, '\xff'),
                                          "\x7b" + std::string(8, '\xff'),
                                          std::string(1'000'000, '\x81'),
                                          std::string(1'000'000, '\x9f')};
  for (const auto& bad : bad_rows) {
    INFO(bad.size() << " bytes, the first is " << (bad.empty() ? 0 : static_cast<unsigned char>(bad[0])));
    CHECK_FALSE(decode_worker_ids(bad).ok());
    CHECK_FALSE(decode_accepted_job(bad).ok());
    CHECK_FALSE(decode_job_progress(bad).ok());
    CHECK_FALSE(decode_owner(bad).ok());
    CHECK_FALSE(decode_leaving_workers(bad).ok());
  }
}

}  // namespace
}  // namespace rhubarbpath

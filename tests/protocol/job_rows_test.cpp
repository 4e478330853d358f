#include "rhubarbpath/protocol/job_rows.hpp"

#include <catch2/catch.hpp>

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
  const auto bytes = encode_accepted_job(job);
  const auto read = decode_accepted_job(bytes);
  REQUIRE(read.ok());
  CHECK(encode_accepted_job(*read) == bytes);
  CHECK(read->graph.steps.front().data_rack == "r1");
  CHECK(read->graph.steps.front().each == resource_amounts{1, 2, 3});
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
  for (const std::string_view bad : {"", "\xff", "\x01", "\x81\x01"}) {
    CHECK_FALSE(decode_accepted_job(bad).ok());
    CHECK_FALSE(decode_job_progress(bad).ok());
    CHECK_FALSE(decode_owner(bad).ok());
    CHECK_FALSE(decode_leaving_workers(bad).ok());
  }
}

}  // namespace
}  // namespace rhubarbpath

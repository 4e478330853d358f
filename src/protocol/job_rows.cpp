#include "rhubarbpath/protocol/job_rows.hpp"

#include <nlohmann/json.hpp>

#include "bounded_cbor.hpp"

namespace rhubarbpath {

namespace {

using json = nlohmann::json;

/// The deepest row is that of a job: the indices in a step in the list of steps. Later versions may nest
/// deeper.
constexpr std::size_t max_row_depth = 8;
/// Number of fields in a step row. New fields are appended.
constexpr std::size_t step_field_count = 18;

std::string to_bytes(const json& value) {
  const auto bytes = json::to_cbor(value);
  return {bytes.begin(), bytes.end()};
}

/// Appends the head of a CBOR array (RFC 8949, 3.1) of that many elements.
void append_array_header(std::string& row, std::size_t size) {
  constexpr unsigned array_type = 0x80;
  constexpr unsigned four_bytes_follow = 0x1a;
  constexpr std::size_t largest_in_head = 23;
  constexpr int bits_per_byte = 8;
  if (size <= largest_in_head) {
    row += static_cast<char>(array_type | size);
    return;
  }
  row += static_cast<char>(array_type | four_bytes_follow);
  for (int shift = 3 * bits_per_byte; shift >= 0; shift -= bits_per_byte) {
    row += static_cast<char>(size >> static_cast<unsigned>(shift));
  }
}

json encode_step(const step_spec& step) {
  return json::array({step.count, step.each.cpu_millicores, step.each.memory_mb, step.each.accelerators,
                      step.estimate.count(), step.after, step.checkpointing, step.gang, step.same_rack,
                      step.speculative, step.long_running, step.fills, step.required_label, step.data_rack,
                      step.max_per_worker, step.max_unavailable, step.image, step.target_latency.count()});
}

/// Throws `json::exception` if a field has the wrong type; `decode_row` converts it to a status.
step_spec decode_step(const json& row) {
  step_spec step;
  std::size_t at = 0;
  const auto next = [&](auto& target) { row.at(at++).get_to(target); };
  std::int64_t estimate = 0;
  std::int64_t target = 0;
  next(step.count);
  next(step.each.cpu_millicores);
  next(step.each.memory_mb);
  next(step.each.accelerators);
  next(estimate);
  next(step.after);
  next(step.checkpointing);
  next(step.gang);
  next(step.same_rack);
  next(step.speculative);
  next(step.long_running);
  next(step.fills);
  next(step.required_label);
  next(step.data_rack);
  next(step.max_per_worker);
  next(step.max_unavailable);
  next(step.image);
  next(target);
  step.estimate = duration{estimate};
  step.target_latency = duration{target};
  return step;
}

/// What scheduling needs of a queue. How callers reach it and who may use it is not stored.
json encode_terms(const queue_config& queue) {
  json adviser = json::array();
  if (queue.adviser) {
    adviser = {queue.adviser->decision.count(), queue.adviser->per_worker.count(),
               queue.adviser->validity.count()};
  }
  return json::array({queue.service.value(), queue.priority, queue.max_attempts, queue.stretch,
                      queue.target.count(), std::move(adviser)});
}

queue_config decode_terms(const queue_id& id, const json& row) {
  queue_config queue{.id = id,
                     .service = service_id{row.at(0).get<std::string>()},
                     .priority = row.at(1).get<std::int64_t>(),
                     .max_attempts = row.at(2).get<std::uint32_t>(),
                     .stretch = row.at(3).get<double>(),
                     .target = duration{row.at(4).get<std::int64_t>()}};
  if (const auto& adviser = row.at(5); !adviser.empty()) {
    queue.adviser = adviser_config{.decision = duration{adviser.at(0).get<std::int64_t>()},
                                   .per_worker = duration{adviser.at(1).get<std::int64_t>()},
                                   .validity = duration{adviser.at(2).get<std::int64_t>()}};
  }
  return queue;
}

/// Calls `decode` with the parsed row and converts exceptions of the JSON library to a status.
template <class Value, class Decode>
absl::StatusOr<Value> decode_row(std::string_view bytes, std::string_view what, Decode decode) {
  const auto row = detail::parse_cbor(bytes, max_row_depth);
  if (!row) {
    return absl::DataLossError(std::string{what} + " is not CBOR or is nested too deeply");
  }
  try {
    return decode(*row);
  } catch (const json::exception& error) {
    return absl::DataLossError(std::string{what} + ": " + error.what());
  }
}

template <class Ids>
std::string encode_ids(const Ids& ids) {
  json row = json::array();
  for (const auto& id : ids) {
    row.push_back(id.value());
  }
  return to_bytes(row);
}

template <class Ids>
absl::StatusOr<Ids> decode_ids(std::string_view bytes, std::string_view what) {
  return decode_row<Ids>(bytes, what, [](const json& row) {
    Ids ids;
    for (const auto& id : row) {
      ids.insert(ids.end(), typename Ids::value_type{id.get<std::string>()});
    }
    return ids;
  });
}

}  // namespace

std::string encode_accepted_job(const accepted_job& job) {
  // The tree of all steps would take many times the bytes of the row.
  constexpr std::size_t fields = 9;
  std::string row;
  append_array_header(row, job.terms ? fields + 1 : fields);
  for (const json& field : {json(job.id.value()), json(job.queue.value()), json(job.team.value()),
                            json(job.accepted_at.count()), json(job.graph.payload)}) {
    row += to_bytes(field);
  }
  append_array_header(row, job.graph.steps.size());
  for (const auto& step : job.graph.steps) {
    row += to_bytes(encode_step(step));
  }
  for (const json& field :
       {json(job.graph.occurrences), json(job.graph.first_due.count()), json(job.graph.interval.count())}) {
    row += to_bytes(field);
  }
  if (job.terms) {
    row += to_bytes(encode_terms(*job.terms));
  }
  return row;
}

absl::StatusOr<accepted_job> decode_accepted_job(std::string_view bytes) {
  auto decoded = decode_row<accepted_job>(bytes, "job row", [](const json& row) {
    accepted_job job;
    job.id = job_id{row.at(0).get<std::string>()};
    job.queue = queue_id{row.at(1).get<std::string>()};
    job.team = team_id{row.at(2).get<std::string>()};
    job.accepted_at = std::chrono::milliseconds{row.at(3).get<std::int64_t>()};
    job.graph.payload = row.at(4).get<std::string>();
    for (const auto& step : row.at(5)) {
      if (step.size() >= step_field_count) {
        job.graph.steps.push_back(decode_step(step));
      }
    }
    job.graph.occurrences = row.at(6).get<std::uint32_t>();
    job.graph.first_due = std::chrono::milliseconds{row.at(7).get<std::int64_t>()};
    job.graph.interval = std::chrono::milliseconds{row.at(8).get<std::int64_t>()};
    constexpr std::size_t terms_field = 9;
    if (row.size() > terms_field) {
      job.terms = decode_terms(job.queue, row.at(terms_field));
    }
    return job;
  });
  if (decoded.ok()) {
    // A version without this check may have stored the row.
    if (auto status = check(decoded->graph); !status.ok()) {
      return status;
    }
  }
  return decoded;
}

std::string encode_job_progress(const job_progress& progress) {
  json units = json::array();
  for (const auto& unit : progress.units) {
    json failed = json::array();
    for (const auto& run : unit.failed_runs) {
      failed.push_back(run.value());
    }
    units.push_back(json::array({unit.occurrence, unit.step, unit.unit, false, std::move(failed),
                                 unit.last_run.value(), unit.checkpoint}));
  }
  std::uint64_t done_count = 0;
  for (const auto& each : progress.done) {
    done_count += each.units.last - each.units.first + 1;
  }
  json done = json::array();
  if (done_count <= max_done_units_listed_singly) {
    for (const auto& each : progress.done) {
      for (auto number = each.units.first; number <= each.units.last; ++number) {
        units.push_back(json::array({each.occurrence, each.step, number, true, json::array(), 0, ""}));
      }
    }
  } else {
    for (const auto& each : progress.done) {
      done.push_back(json::array({each.occurrence, each.step, each.units.first, each.units.last}));
    }
  }
  json row = json::array({progress.job.value(), static_cast<int>(progress.phase), std::move(units)});
  if (!done.empty() || !progress.done_occurrences.empty()) {
    json occurrences = json::array();
    for (const auto& range : progress.done_occurrences) {
      occurrences.push_back(json::array({range.first, range.last}));
    }
    row.push_back(std::move(done));
    row.push_back(std::move(occurrences));
  }
  return to_bytes(row);
}

absl::StatusOr<job_progress> decode_job_progress(std::string_view bytes) {
  return decode_row<job_progress>(bytes, "progress row", [](const json& row) {
    job_progress progress;
    progress.job = job_id{row.at(0).get<std::string>()};
    progress.phase = static_cast<job_phase>(row.at(1).get<int>());
    for (const auto& each : row.at(2)) {
      if (each.at(3).get<bool>()) {
        const auto number = each.at(2).get<std::uint32_t>();
        progress.done.push_back({.occurrence = each.at(0).get<std::uint32_t>(),
                                 .step = each.at(1).get<std::uint32_t>(),
                                 .units = {.first = number, .last = number}});
        continue;
      }
      unit_progress unit{.occurrence = each.at(0).get<std::uint32_t>(),
                         .step = each.at(1).get<std::uint32_t>(),
                         .unit = each.at(2).get<std::uint32_t>(),
                         .failed_runs = {},
                         .last_run = run_number{each.at(5).get<std::uint64_t>()},
                         .checkpoint = each.at(6).get<std::string>()};
      for (const auto& run : each.at(4)) {
        unit.failed_runs.emplace_back(run.get<std::uint64_t>());
      }
      progress.units.push_back(std::move(unit));
    }
    constexpr std::size_t done_field = 3;
    constexpr std::size_t occurrences_field = 4;
    if (row.size() > occurrences_field) {
      for (const auto& each : row.at(done_field)) {
        progress.done.push_back(
            {.occurrence = each.at(0).get<std::uint32_t>(),
             .step = each.at(1).get<std::uint32_t>(),
             .units = {.first = each.at(2).get<std::uint32_t>(), .last = each.at(3).get<std::uint32_t>()}});
      }
      for (const auto& each : row.at(occurrences_field)) {
        progress.done_occurrences.push_back(
            {.first = each.at(0).get<std::uint32_t>(), .last = each.at(1).get<std::uint32_t>()});
      }
    }
    return progress;
  });
}

std::string encode_worker_ids(const std::vector<worker_id>& workers) {
  return encode_ids(workers);
}

absl::StatusOr<std::vector<worker_id>> decode_worker_ids(std::string_view bytes) {
  return decode_ids<std::vector<worker_id>>(bytes, "worker row");
}

std::string encode_team_ids(const std::set<team_id>& teams) {
  return encode_ids(teams);
}

absl::StatusOr<std::set<team_id>> decode_team_ids(std::string_view bytes) {
  return decode_ids<std::set<team_id>>(bytes, "team row");
}

std::string encode_leaving_workers(const std::vector<leaving_worker>& workers) {
  json rows = json::array();
  for (const auto& each : workers) {
    json tasks = json::array();
    for (const auto& task : each.tasks) {
      tasks.push_back({task.job.value(), task.occurrence, task.step, task.index});
    }
    rows.push_back({each.worker.value(), std::move(tasks)});
  }
  return to_bytes(rows);
}

absl::StatusOr<std::vector<leaving_worker>> decode_leaving_workers(std::string_view bytes) {
  return decode_row<std::vector<leaving_worker>>(bytes, "leaving workers row", [](const json& rows) {
    std::vector<leaving_worker> workers;
    for (const auto& row : rows) {
      leaving_worker each{.worker = worker_id{row.at(0).get<std::string>()}, .tasks = {}};
      for (const auto& task : row.at(1)) {
        each.tasks.push_back({.job = job_id{task.at(0).get<std::string>()},
                              .occurrence = task.at(1).get<std::uint32_t>(),
                              .step = task.at(2).get<std::uint32_t>(),
                              .index = task.at(3).get<std::uint32_t>()});
      }
      workers.push_back(std::move(each));
    }
    return workers;
  });
}

std::string encode_owner(const owner_row& owner) {
  return to_bytes(
      json::array({owner.vm.value(), owner.process.value(), owner.term.value(), owner.peer_address}));
}

absl::StatusOr<owner_row> decode_owner(std::string_view bytes) {
  return decode_row<owner_row>(bytes, "owner row", [](const json& row) {
    return owner_row{.vm = vm_id{row.at(0).get<std::string>()},
                     .process = incarnation{row.at(1).get<std::uint64_t>()},
                     .term = owner_term{row.at(2).get<std::uint64_t>()},
                     .peer_address = row.at(3).get<std::string>()};
  });
}

}  // namespace rhubarbpath

#include "rhubarbpath/protocol/worker_codec.hpp"

#include <utility>

#include "strict_json.hpp"

namespace rhubarbpath {
namespace {

using detail::json;
using detail::micros;
using detail::number;
using detail::object_reader;

constexpr std::string_view start_path = "/tasks/start";
constexpr std::string_view stop_path = "/tasks/stop";
constexpr std::string_view checkpoint_path = "/tasks/checkpoint";
constexpr std::string_view renew_path = "/tasks/renew";
constexpr std::string_view state_names[] = {"running", "finished", "failed", "stopped"};

json encode_task(const task_ref& task) {
  return {{"job", task.job.value()}, {"attempt", number(task.attempt)}, {"member", task.member}};
}

void read_task(object_reader& reader, task_ref& task) {
  reader.field("job", task.job);
  reader.field("attempt", task.attempt);
  reader.field("member", task.member);
  if (reader.ok() && task.member < 0) {
    reader.fail("member is negative");
  }
}

struct command_encoder {
  epoch sender_epoch;

  worker_http_request operator()(const start_task& start) const {
    json body = encode_task(start.task);
    body["accelerators"] = start.accelerators;
    body["lease_us"] = micros(start.lease);
    body["declared_run_time_us"] = micros(start.declared_run_time);
    body["command"] = start.command;
    return make(start_path, std::move(body));
  }
  worker_http_request operator()(const stop_task& stop) const {
    json body = encode_task(stop.task);
    body["collect"] = stop.collect;
    return make(stop_path, std::move(body));
  }
  worker_http_request operator()(const checkpoint_task& checkpoint) const {
    return make(checkpoint_path, encode_task(checkpoint.task));
  }
  worker_http_request operator()(const renew_tasks& renew) const {
    return make(renew_path, renew.lease ? json{{"lease_us", micros(*renew.lease)}} : json::object());
  }

 private:
  [[nodiscard]] worker_http_request make(std::string_view path, json body) const {
    body["epoch"] = number(sender_epoch);
    return {.path = std::string{path}, .body = detail::to_text(body)};
  }
};

worker_command read_start(object_reader& reader) {
  start_task start;
  read_task(reader, start.task);
  reader.field("accelerators", start.accelerators);
  reader.field("lease_us", start.lease);
  reader.field("declared_run_time_us", start.declared_run_time);
  reader.field("command", start.command);
  return start;
}

absl::StatusOr<task_report> decode_task_report(const json& item) {
  object_reader reader{item};
  task_report report;
  std::string state;
  read_task(reader, report.task);
  reader.field("state", state);
  reader.field("accelerators", report.accelerators);
  reader.field("run_time_us", report.run_time);
  reader.field("checkpointed_us", report.checkpointed);
  if (auto status = reader.finish(); !status.ok()) {
    return status;
  }
  for (std::size_t i = 0; i < std::size(state_names); ++i) {
    if (state_names[i] == state) {
      report.state = static_cast<task_state>(i);
      return report;
    }
  }
  return absl::InvalidArgumentError(absl::StrCat("unknown task state ", state));
}

}  // namespace

worker_http_request encode_worker_command(const fenced_worker_command& command) {
  return std::visit(command_encoder{command.sender_epoch}, command.command);
}

absl::StatusOr<fenced_worker_command> decode_worker_command(std::string_view path, std::string_view body) {
  const json parsed = json::parse(body, nullptr, false);
  object_reader reader{parsed};
  fenced_worker_command command;
  reader.field("epoch", command.sender_epoch);
  if (path == start_path) {
    command.command = read_start(reader);
  } else if (path == stop_path) {
    auto& stop = command.command.emplace<stop_task>();
    read_task(reader, stop.task);
    reader.field("collect", stop.collect);
  } else if (path == checkpoint_path) {
    read_task(reader, command.command.emplace<checkpoint_task>().task);
  } else if (path == renew_path) {
    auto& renew = command.command.emplace<renew_tasks>();
    if (parsed.is_object() && parsed.contains("lease_us")) {
      reader.field("lease_us", renew.lease.emplace());
    }
  } else {
    return absl::NotFoundError(absl::StrCat("workers have no endpoint ", std::string{path}));
  }
  if (auto status = reader.finish(); !status.ok()) {
    return status;
  }
  return command;
}

std::string encode_worker_report(const worker_report& report) {
  json tasks = json::array();
  for (const auto& task : report.tasks) {
    json item = encode_task(task.task);
    item["state"] = state_names[static_cast<std::size_t>(task.state)];
    item["accelerators"] = task.accelerators;
    item["run_time_us"] = micros(task.run_time);
    item["checkpointed_us"] = micros(task.checkpointed);
    tasks.push_back(std::move(item));
  }
  return detail::to_text({{"worker", report.worker.value()},
                          {"refused_older_epoch", report.refused_older_epoch},
                          {"highest_epoch", number(report.highest_epoch)},
                          {"tasks", std::move(tasks)}});
}

absl::StatusOr<worker_report> decode_worker_report(std::string_view body) {
  const json parsed = json::parse(body, nullptr, false);
  object_reader reader{parsed};
  worker_report report;
  reader.field("worker", report.worker);
  reader.field("refused_older_epoch", report.refused_older_epoch);
  reader.field("highest_epoch", report.highest_epoch);
  const json* tasks = reader.array("tasks");
  if (auto status = reader.finish(); !status.ok()) {
    return status;
  }
  for (const auto& item : *tasks) {
    auto task = decode_task_report(item);
    if (!task.ok()) {
      return task.status();
    }
    report.tasks.push_back(*std::move(task));
  }
  return report;
}

}  // namespace rhubarbpath

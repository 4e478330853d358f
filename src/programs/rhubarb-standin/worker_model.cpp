#include "worker_model.hpp"

#include <charconv>
#include <optional>
#include <string_view>
#include <utility>
#include <variant>

namespace rhubarbpath::standin {

namespace {

/// How long reports list an ended task, so that an owner that was unreachable still sees its final state.
constexpr duration ended_task_retention = std::chrono::seconds{60};

std::optional<duration> run_time_of(std::string_view command) {
  constexpr std::string_view prefix = "run ";
  if (!command.starts_with(prefix)) {
    return std::nullopt;
  }
  command.remove_prefix(prefix.size());
  std::int64_t amount = 0;
  const auto [end, error] = std::from_chars(command.begin(), command.end(), amount);
  const std::string_view unit{end, static_cast<std::size_t>(command.end() - end)};
  if (error != std::errc{}) {
    return std::nullopt;
  }
  if (unit == "ms") {
    return std::chrono::milliseconds{amount};
  }
  if (unit == "s") {
    return std::chrono::seconds{amount};
  }
  return std::nullopt;
}

}  // namespace

worker_model::worker_model(worker_spec spec) : spec_{std::move(spec)} {}

worker_report worker_model::handle(epoch sender, const worker_command& command, instant now) {
  advance(now);
  if (sender < highest_epoch_) {
    auto refusal = report();
    refusal.refused_older_epoch = true;
    return refusal;
  }
  highest_epoch_ = sender;
  std::visit([&](const auto& typed) { on(typed, now); }, command);
  advance(now);
  return report();
}

worker_report worker_model::report() const {
  worker_report result{
      .worker = spec_.id, .refused_older_epoch = false, .highest_epoch = highest_epoch_, .tasks = {}};
  for (const auto& [key, task] : tasks_) {
    result.tasks.push_back(task.report);
  }
  return result;
}

void worker_model::on(const start_task& command, instant now) {
  const auto key = key_of(command.task);
  if (tasks_.contains(key) || stopped_tasks_.contains(key)) {
    return;  // Idempotent: the caller only gets the current report.
  }
  const bool busy = (busy_accelerators() & command.accelerators) != 0;
  const bool fails = fail_all_tasks_ || busy || command.command == "fail";
  running_task task{.report = {.task = command.task,
                               .state = task_state::running,
                               .accelerators = command.accelerators,
                               .run_time = {},
                               .checkpointed = {}},
                    .started = now,
                    .lease_until = now + command.lease,
                    .run_time = run_time_of(command.command).value_or(command.declared_run_time),
                    .fails = fails,
                    .history_index = history_.size()};
  history_.push_back({.task = command.task,
                      .worker = spec_.id,
                      .accelerators = busy ? 0U : command.accelerators,
                      .started = now,
                      .ended = {},
                      .state = task_state::running});
  if (fails) {
    end(task, task_state::failed, now);
  }
  tasks_.emplace(key, std::move(task));
}

void worker_model::on(const stop_task& command, instant now) {
  stopped_tasks_.insert(key_of(command.task));
  const auto found = tasks_.find(key_of(command.task));
  if (found == tasks_.end()) {
    return;
  }
  if (found->second.report.state == task_state::running) {
    end(found->second, task_state::stopped, now);
  } else if (command.collect) {
    tasks_.erase(found);
  }
}

void worker_model::on(const checkpoint_task& command, instant now) {
  const auto found = tasks_.find(key_of(command.task));
  if (found != tasks_.end() && found->second.report.state == task_state::running) {
    found->second.report.checkpointed = now - found->second.started;
  }
}

void worker_model::on(const renew_tasks& command, instant now) {
  for (auto& [key, task] : tasks_) {
    task.lease_until = command.lease ? now + *command.lease : task.lease_until;
  }
}

void worker_model::advance(instant now) {
  for (auto it = tasks_.begin(); it != tasks_.end();) {
    auto& task = it->second;
    if (task.report.state == task_state::running) {
      task.report.run_time = now - task.started;
      if (now >= task.lease_until) {
        end(task, task_state::stopped, now);
      } else if (now - task.started >= task.run_time) {
        end(task, task_state::finished, now);
      }
    }
    const bool retention_over = task.report.state != task_state::running &&
                                now - history_[task.history_index].ended > ended_task_retention;
    it = retention_over ? tasks_.erase(it) : std::next(it);
  }
}

void worker_model::restart(instant now) {
  for (auto& [key, task] : tasks_) {
    if (task.report.state == task_state::running) {
      end(task, task_state::stopped, now);
    }
  }
  tasks_.clear();
}

void worker_model::end(running_task& task, task_state state, instant now) {
  task.report.state = state;
  history_[task.history_index].state = state;
  history_[task.history_index].ended = now;
}

std::uint32_t worker_model::busy_accelerators() const {
  std::uint32_t busy = 0;
  for (const auto& [key, task] : tasks_) {
    if (task.report.state == task_state::running) {
      busy |= task.report.accelerators;
    }
  }
  return busy;
}

}  // namespace rhubarbpath::standin

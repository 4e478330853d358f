#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "job_turns.hpp"
#include "rhubarbpath/coordination/job_scheduler.hpp"
#include "rhubarbpath/state/random.hpp"

namespace rhubarbpath::testing {

using std::chrono::milliseconds;

/// Simulates workers and what runs on them. Checks the invariants from the point of view of the workers: no
/// task runs twice at the same time or after its completion was stored. Counts the runs of gang members that
/// ended because their gang was incomplete.
class simulated_fleet {
 public:
  struct run_state {
    run_number run;
    duration work_left{};
    bool gang{false};
    instant started{};
    /// When a stop takes effect. Until then the run continues but is in neither list.
    std::optional<instant> stops_at;
    std::string checkpoint{};
    duration saved_with{};  ///< The work that was left when it was saved last.
  };
  struct worker {
    worker_entry entry;
    double clock_rate{1.0};
    double speed{1.0};  ///< Of its tasks.
    bool running{true};
    bool disconnected{false};
    bool refuses_connections{false};  ///< While it is disconnected; otherwise orders vanish.
    bool fails_every_run{false};      ///< Runs fail as soon as they have begun.
    bool refuses_starts{false};       ///< Unhealthy: refuses every start, and has then done nothing.
    bool loses_stops{false};          ///< Stop orders never arrive.
    bool stalled{false};
    std::uint64_t highest_term{0};
    instant clock_started{};  ///< The clock starts anew in each incarnation.
    milliseconds clock_origin{0};
    instant listed_until{};       ///< The entry of a crashed worker stays until then.
    milliseconds lease_until{0};  ///< Of all that runs here; on the worker's clock.
    std::map<task_ref, run_state> tasks;
    std::map<task_ref, run_number> ended_runs;
    std::vector<ended_run> ended;
    std::uint64_t last_end_number{0};
    std::map<std::uint64_t, instant> ended_at;  ///< By number of the end.
    instant lapsed_at{};                        ///< When the lease passed last.
  };
  /// What is simulated beyond the basic behaviour. The random values for it have a source of their own.
  struct realism {
    double remote_factor{1.0};  ///< Slowdown of a task away from its data, or of a same-rack gang on many.
    bool clocks_start_anywhere{false};
    bool checkpoints{false};
    bool checks_order_and_labels{false};
    bool keeps_history{false};           ///< Of runs, starts and leases, for each task.
    bool store_holds_worker_set{false};  ///< Whether the worker set cannot be stored while the store is down.
  };
  struct faults {
    double lost_answer{0.0};   ///< Probability that an order is processed but its response is lost.
    double late_order{0.0};    ///< Probability that an order times out and is processed 2 to 12 s later.
    double failing_task{0.0};  ///< Probability that a run ends as failed.
  };

  explicit simulated_fleet(std::uint64_t seed) : random{seed}, realism_random{seed + 1'000'003} {}

  void add_workers(std::size_t count, resource_amounts capacity = {32000, 131072, 8}) {
    for (std::size_t index = 0; index < count; ++index) {
      worker created;
      const auto number = std::to_string(workers.size() + 1);
      created.entry = {.id = worker_id{"w" + number},
                       .service = service_id{"service"},
                       .address = "10.0.0." + number + ":1",
                       .domain = failure_domain_id{"a"},
                       .rack = rack_id{"r" + std::to_string(workers.size() / 6)},
                       .labels = {"a", "r" + std::to_string(workers.size() / 6)},
                       .capacity = capacity,
                       .draining = false,
                       .born = incarnation{1}};
      created.clock_rate = 1.0 - 0.02 * random.fraction();
      workers[created.entry.id] = created;
    }
  }

  static std::shared_ptr<fleet_config> config(std::uint32_t max_attempts = 3) {
    auto created = std::make_shared<fleet_config>();
    created->version = document_version{1};
    for (const int priority : {0, 1, 2}) {
      created->queues.push_back({.id = queue_id{"q" + std::to_string(priority)},
                                 .service = service_id{"service"},
                                 .priority = priority,
                                 .max_attempts = max_attempts,
                                 .stretch = 3.0,
                                 .target = milliseconds{1000}});
    }
    created->teams.push_back({.id = team_id{"team"}, .keys = {"key"}, .guaranteed_accelerators = 16});
    return created;
  }

  static accepted_job job(const std::string& id, int priority, step_spec step) {
    return {.id = job_id{id},
            .queue = queue_id{"q" + std::to_string(priority)},
            .team = team_id{"team"},
            .graph = {.payload = "payload", .steps = {std::move(step)}}};
  }

  /// The worker crashes and restarts immediately without its state.
  void restart(const worker_id& id) {
    auto& each = workers.at(id);
    each.tasks.clear();
    each.ended.clear();
    each.ended_runs.clear();
    each.last_end_number = 0;
    each.ended_at.clear();
    each.highest_term = 0;
    each.clock_started = now;
    if (simulated.clocks_start_anywhere) {
      constexpr std::uint64_t longest_uptime_ms = 400'000'000;
      each.clock_origin = milliseconds{realism_random.below(longest_uptime_ms)};
    }
    each.lease_until = milliseconds{0};
    each.entry.born = each.entry.born.next();
  }
  /// The worker leaves and all its runs end.
  void remove(const worker_id& id) {
    restart(id);
    workers.at(id).running = false;
  }

  /// All runs of a job end as failed.
  void fail_runs(const job_id& job) {
    for (auto& [id, each] : workers) {
      const auto tasks = each.tasks;
      for (const auto& [task, state] : tasks) {
        if (task.job == job && !state.stops_at) {
          end_run(each, task, run_outcome::failed);
        }
      }
    }
  }

  [[nodiscard]] std::size_t running_tasks() const {
    std::size_t count = 0;
    for (const auto& [id, each] : workers) {
      count += each.tasks.size();
    }
    return count;
  }

  std::map<worker_id, worker> workers;
  faults injected_faults;
  realism simulated;
  duration startup_time{milliseconds{500}};  ///< Of tasks that last until they are cancelled.
  std::size_t max_listed_ends{500};          ///< Of a report.
  std::optional<milliseconds> stop_time;     ///< Time that a stop takes; random by default.
  instant now{std::chrono::seconds{1000}};
  std::shared_ptr<fleet_config> configuration{config()};
  std::map<job_id, accepted_job> stored_jobs;
  std::vector<std::string> violations;
  std::map<task_ref, int> starts;
  std::map<worker_id, int> starts_on;
  /// Since when the owner knows that a failure domain is evacuated.
  std::map<failure_domain_id, instant> evacuated_since;
  std::map<task_ref, instant> last_started;
  int refused_tickets{0};
  /// Prints the scheduler's decisions for debugging; enabled by RHUBARBPATH_TRACE.
  bool trace{std::getenv("RHUBARBPATH_TRACE") != nullptr};
  random_source random;
  random_source realism_random;
  /// Jobs whose runs all end as failed.
  std::set<job_id> hopeless_jobs;
  /// Actual duration of the tasks of a job; the default is the estimate of the step.
  std::map<job_id, duration> real_duration;
  std::map<task_ref, bool> tasks_stored_as_done;
  std::map<std::pair<task_ref, run_number>, run_outcome> run_outcomes;
  /// Tasks, also of gangs, whose end as done is stored.
  std::set<task_ref> stored_ends;
  int incomplete_gang_runs{0};
  /// When a run of a task was last seen to begin, go on or end.
  std::map<task_ref, instant> last_ran;
  std::map<task_ref, worker_id> last_worker;
  std::set<task_ref> ended_as_done;  ///< Whether or not the end was reported.

  [[nodiscard]] const step_spec* step_of(const task_ref& task) const {
    const auto found = stored_jobs.find(task.job);
    return found == stored_jobs.end() ? nullptr : &found->second.graph.steps[task.step];
  }
  [[nodiscard]] milliseconds wall() const {
    return std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
  }
  /// The resources that the runs on a worker use, including those that are being stopped.
  [[nodiscard]] resource_amounts used_on(const worker& each) const {
    resource_amounts used;
    for (const auto& [task, state] : each.tasks) {
      if (const auto* spec = step_of(task)) {
        used += occupied(*spec);
      }
    }
    return used;
  }
  /// A task is done once that is stored, or while a worker lists it.
  [[nodiscard]] bool done(const task_ref& task, bool only_if_reachable) const {
    return stored_ends.contains(task) || std::any_of(workers.begin(), workers.end(), [&](const auto& entry) {
             const auto& each = entry.second;
             return each.running && !(only_if_reachable && each.disconnected) &&
                    std::any_of(each.ended.begin(), each.ended.end(), [&](const ended_run& end) {
                      return end.task == task && end.outcome == run_outcome::done;
                    });
           });
  }
  [[nodiscard]] static bool has_label(const worker& each, const step_spec& spec) {
    const auto& labels = each.entry.labels;
    return spec.required_label.empty() ||
           std::find(labels.begin(), labels.end(), spec.required_label) != labels.end();
  }

 protected:
  struct issued_ticket {
    worker_id worker;
    incarnation born;
    step_ref step;
    instant valid_until;
  };
  std::map<std::string, issued_ticket> tickets;

  /// The adviser of the job's queue.
  [[nodiscard]] std::optional<adviser_config> adviser_of(const job_id& job) const {
    const auto stored = stored_jobs.find(job);
    for (const auto& queue : configuration->queues) {
      if (stored != stored_jobs.end() && queue.id == stored->second.queue) {
        return queue.adviser;
      }
    }
    return std::nullopt;
  }
  [[nodiscard]] milliseconds clock_of(const worker& each) const {
    const auto uptime = std::chrono::duration_cast<milliseconds>(now - each.clock_started);
    return each.clock_origin +
           milliseconds{static_cast<std::int64_t>(static_cast<double>(uptime.count()) * each.clock_rate)};
  }
  void violation(const std::string& text) {
    violations.push_back(text);
    if (trace) {
      std::printf("%lld VIOLATION %s\n", static_cast<long long>(now.time_since_epoch().count() / 1000),
                  text.c_str());
    }
  }

  void record_start(const task_ref& task, const worker_id& at) {
    ++starts[task];
    ++starts_on[at];
    last_started[task] = now;
    if (simulated.keeps_history) {
      last_ran[task] = now;
      last_worker[task] = at;
    }
    if (trace) {
      std::printf("%lld starts %s.%u.%u.%u on %s\n",
                  static_cast<long long>(now.time_since_epoch().count() / 1000), task.job.value().c_str(),
                  task.occurrence, task.step, task.index, at.value().c_str());
    }
    for (const auto& [id, each] : workers) {
      if (id != at && each.running && each.tasks.contains(task)) {
        violation("task runs twice at the same time: " + task.job.value() + "." + std::to_string(task.index));
      }
    }
    check_evacuation(at);
    if (simulated.checks_order_and_labels) {
      check_order_and_label(task, at);
    }
    if (const auto found = tasks_stored_as_done.find(task); found != tasks_stored_as_done.end()) {
      violation("task runs after its completion was stored: " + task.job.value());
    }
  }

  void check_evacuation(const worker_id& at) {
    // An order that was sent before takes this long to arrive.
    constexpr duration delivery_time{milliseconds{4}};
    const auto since = evacuated_since.find(workers.at(at).entry.domain);
    if (since != evacuated_since.end() && now > since->second + delivery_time) {
      violation("task starts in an evacuated failure domain: " + at.value());
    }
  }

  void check_order_and_label(const task_ref& task, const worker_id& at) {
    const auto& spec = *step_of(task);
    const auto& job = stored_jobs.at(task.job);
    const auto name = task.job.value() + "." + std::to_string(task.occurrence) + "." +
                      std::to_string(task.step) + "." + std::to_string(task.index);
    if (!turn_has_come(job, task.occurrence, task.step,
                       [&](const task_ref& before) { return ended_as_done.contains(before); })) {
      violation("task starts before its turn: " + name);
    }
    const auto due = job.graph.first_due + job.graph.interval * task.occurrence;
    if (job.graph.occurrences > 0 && wall() < due) {
      violation("task starts before its time: " + name);
    }
    const auto& tasks = workers.at(at).tasks;
    const auto present = std::count_if(tasks.begin(), tasks.end(), [&](const auto& other) {
      return other.first.job == task.job && other.first.occurrence == task.occurrence &&
             other.first.step == task.step;
    });
    if (!has_label(workers.at(at), spec) ||
        (spec.max_per_worker > 0 && present >= static_cast<std::ptrdiff_t>(spec.max_per_worker))) {
      violation("task starts on a worker that it must not use: " + name);
    }
  }

  void end_run(worker& each, const task_ref& task, run_outcome outcome) {
    const auto found = each.tasks.find(task);
    const auto run = found->second.run;
    if (simulated.checkpoints && outcome == run_outcome::stopped) {
      save(task, found->second);
    }
    const auto checkpoint = found->second.checkpoint;
    each.tasks.erase(found);
    each.ended_runs[task] = std::max(each.ended_runs[task], run);
    each.ended.push_back({.number = ++each.last_end_number,
                          .task = task,
                          .run = run,
                          .outcome = outcome,
                          .checkpoint = checkpoint});
    each.ended_at[each.last_end_number] = now;
    run_outcomes[{task, run}] = outcome;
    if (simulated.keeps_history) {
      last_ran[task] = now;
      if (outcome == run_outcome::done) {
        ended_as_done.insert(task);
      }
    }
  }

  /// Whole work of a task.
  [[nodiscard]] duration work_of(const task_ref& task) const {
    const auto* spec = step_of(task);
    const auto real = real_duration.find(task.job);
    return real != real_duration.end() ? real->second
           : spec == nullptr           ? duration{std::chrono::seconds{1}}
                                       : spec->estimate;
  }

  /// A checkpoint names its step, for a gang, or its task, and the work that is left in microseconds.
  [[nodiscard]] std::string checkpoint_owner(const task_ref& task) const {
    return task.job.value() + "." + std::to_string(task.occurrence) + "." + std::to_string(task.step) + "." +
           (step_of(task)->gang ? "gang" : std::to_string(task.index)) + ":";
  }
  void save(const task_ref& task, run_state& state) const {
    const auto* spec = step_of(task);
    if (spec != nullptr && spec->checkpointing && state.work_left < work_of(task)) {
      state.checkpoint = checkpoint_owner(task) + std::to_string(state.work_left.count());
    }
  }
  /// The work that a start with this checkpoint has to do.
  duration work_after(const task_ref& task, const std::string& checkpoint) {
    if (!simulated.checkpoints || checkpoint.empty()) {
      return work_of(task);
    }
    const auto owner = checkpoint_owner(task);
    if (!checkpoint.starts_with(owner)) {
      violation("start carries the checkpoint of another task: " + owner + " " + checkpoint);
      return work_of(task);
    }
    constexpr duration restore_time{milliseconds{100}};
    return duration{std::stoll(checkpoint.substr(owner.size()))} + restore_time;
  }

  using gang_run = std::tuple<job_id, std::uint32_t, std::uint32_t, run_number>;

  /// The gangs that run on more than one rack.
  [[nodiscard]] std::set<gang_run> spread_gangs() const {
    std::map<gang_run, rack_id> rack_of;
    std::set<gang_run> spread;
    for (const auto& [id, each] : workers) {
      for (const auto& [task, state] : each.tasks) {
        const gang_run run{task.job, task.occurrence, task.step, state.run};
        if (state.gang && rack_of.try_emplace(run, each.entry.rack).first->second != each.entry.rack) {
          spread.insert(run);
        }
      }
    }
    return spread;
  }
  [[nodiscard]] bool is_remote(const worker& each, const step_spec& spec, bool spread) const {
    return (!spec.data_rack.empty() && spec.data_rack != each.entry.rack.value()) ||
           (spec.same_rack && spread);
  }

  /// Number of members that are running, by gang run.
  [[nodiscard]] std::map<gang_run, std::uint32_t> gang_members() const {
    std::map<gang_run, std::uint32_t> present;
    for (const auto& [id, each] : workers) {
      for (const auto& [task, state] : each.tasks) {
        if (state.gang) {
          ++present[{task.job, task.occurrence, task.step, state.run}];
        }
      }
    }
    return present;
  }

  /// Of the members of a gang. They end together.
  [[nodiscard]] duration slowest_work_left(const task_ref& task, run_number run) const {
    duration slowest{0};
    for (const auto& [id, each] : workers) {
      for (const auto& [other, state] : each.tasks) {
        if (other.job == task.job && other.step == task.step && other.occurrence == task.occurrence &&
            state.run == run) {
          slowest = std::max(slowest, state.work_left);
        }
      }
    }
    return slowest;
  }

  void end_gang(const task_ref& task, run_number run, run_outcome outcome_of_task,
                run_outcome outcome_of_others) {
    for (auto& [id, each] : workers) {
      const auto tasks = each.tasks;
      for (const auto& [other, state] : tasks) {
        if (other.job == task.job && other.step == task.step && other.occurrence == task.occurrence &&
            state.run == run) {
          end_run(each, other, other == task ? outcome_of_task : outcome_of_others);
        }
      }
    }
  }

  void advance_workers(duration step) {
    const auto present = gang_members();
    const auto spread = simulated.remote_factor > 1.0 ? spread_gangs() : std::set<gang_run>{};
    for (auto& [id, each] : workers) {
      each.lapsed_at = clock_of(each) > each.lease_until ? now : each.lapsed_at;
      const auto tasks = each.tasks;
      for (const auto& [task, unused] : tasks) {
        const auto found = each.tasks.find(task);
        if (found == each.tasks.end()) {
          continue;
        }
        auto& state = found->second;
        if (state.stops_at) {
          if (now >= *state.stops_at) {
            end_run(each, task, run_outcome::stopped);
          }
          continue;
        }
        if (clock_of(each) > each.lease_until) {
          end_run(each, task, run_outcome::lease_expired);
          continue;
        }
        const auto* spec = step_of(task);
        const auto members = present.find({task.job, task.occurrence, task.step, state.run});
        const bool together = !state.gang || (members != present.end() && members->second == spec->count);
        if (!together && now - state.started > std::chrono::seconds{3}) {
          incomplete_gang_runs += 1;
          end_run(each, task, run_outcome::gang_incomplete);
          continue;
        }
        if (!together || each.stalled) {
          continue;
        }
        const bool remote =
            simulated.remote_factor > 1.0 && spec != nullptr &&
            is_remote(each, *spec, spread.contains({task.job, task.occurrence, task.step, state.run}));
        state.work_left -= duration{static_cast<std::int64_t>(static_cast<double>(step.count()) * each.speed /
                                                              (remote ? simulated.remote_factor : 1.0))};
        constexpr duration checkpoint_interval{std::chrono::seconds{2}};
        if (simulated.checkpoints && state.saved_with - state.work_left >= checkpoint_interval) {
          state.saved_with = state.work_left;
          save(task, state);
        }
        const bool finished = state.work_left <= duration::zero() &&
                              (!state.gang || slowest_work_left(task, state.run) <= duration::zero());
        const bool hopeless = each.fails_every_run || hopeless_jobs.contains(task.job);
        if (!finished && !hopeless) {
          continue;
        }
        const auto outcome = hopeless || random.fraction() < injected_faults.failing_task
                                 ? run_outcome::failed
                                 : run_outcome::done;
        if (spec != nullptr && spec->gang) {
          end_gang(task, state.run, outcome,
                   outcome == run_outcome::done ? run_outcome::done : run_outcome::gang_broken);
        } else {
          end_run(each, task, outcome);
        }
      }
    }
  }

  /// A longer lease than the limit is shortened to it; no lease shortens an earlier one.
  void extend_lease(worker& each, milliseconds until) const {
    constexpr milliseconds longest_lease{std::chrono::seconds{10}};
    each.lease_until = std::max(each.lease_until, std::min(until, clock_of(each) + longest_lease));
  }

  start_result start(worker& each, const start_order& order, std::uint64_t from_term) {
    if (from_term < each.highest_term) {
      return start_refused{start_refusal::fenced};
    }
    if (each.refuses_starts) {
      return start_refused{start_refusal::unhealthy};
    }
    each.highest_term = from_term;
    const auto found = each.tasks.find(order.task);
    if (found != each.tasks.end() && found->second.run == order.run) {
      extend_lease(each, order.lease_until);
      return start_accepted{};
    }
    if (order.lease_until <= clock_of(each)) {
      return start_refused{start_refusal::too_late};
    }
    extend_lease(each, order.lease_until);
    if (found != each.tasks.end() || order.run <= each.ended_runs[order.task]) {
      return start_refused{start_refusal::superseded};
    }
    const auto* spec = step_of(order.task);
    if (spec != nullptr && !(each.entry.capacity - used_on(each)).covers(occupied(*spec))) {
      return start_refused{start_refusal::no_room};
    }
    if (adviser_of(order.task.job) && !ticket_valid(each, order)) {
      ++refused_tickets;
      return start_refused{start_refusal::no_ticket};
    }
    record_start(order.task, order.worker);
    const auto work = work_after(order.task, order.checkpoint);
    each.tasks[order.task] = {.run = order.run,
                              .work_left = work,
                              .gang = spec != nullptr && spec->gang,
                              .started = now,
                              .checkpoint = simulated.checkpoints ? order.checkpoint : std::string{},
                              .saved_with = work};
    return start_accepted{};
  }

  void stop(worker& each, const stop_order& order, std::uint64_t from_term) {
    if (from_term < each.highest_term) {
      return;
    }
    each.highest_term = from_term;
    const auto found = each.tasks.find(order.task);
    if (found != each.tasks.end() && found->second.run == order.run && !found->second.stops_at) {
      found->second.stops_at = now + stop_time.value_or(milliseconds{random.below(200)});
    }
    each.ended_runs[order.task] = std::max(each.ended_runs[order.task], order.run);
  }

  /// A task must not be started after an end as done that is acknowledged then or later, unless the worker's
  /// lease passed between the two.
  void check_acknowledged_end(const worker& each, const ended_run& end) {
    const auto ended_at = each.ended_at.at(end.number);
    if (end.outcome == run_outcome::done && each.lapsed_at <= ended_at && last_started[end.task] > ended_at) {
      violation("task was started after an end as done that is noted: " + end.task.job.value() + "." +
                std::to_string(end.task.index) + " run " + std::to_string(end.run.value()) + " on " +
                each.entry.id.value());
    }
  }

  lease_report renew(worker& each, const renew_order& order, std::uint64_t from_term) {
    each.highest_term = std::max(each.highest_term, from_term);
    if (order.lease_until) {
      extend_lease(each, *order.lease_until);
    }
    std::erase_if(each.ended, [&](const ended_run& end) {
      if (end.number <= order.acknowledged_through) {
        check_acknowledged_end(each, end);
      }
      return end.number <= order.acknowledged_through;
    });
    lease_report report{.born = each.entry.born, .clock = clock_of(each)};
    for (const auto& [task, state] : each.tasks) {
      if (state.stops_at) {
        continue;
      }
      report.running.push_back({.task = task,
                                .run = state.run,
                                .checkpoint = state.checkpoint,
                                .percent = percent_of(task, state)});
    }
    report.ended = each.ended;
    if (report.ended.size() >= max_listed_ends) {
      report.ended.resize(max_listed_ends);
      report.complete = false;
    }
    return report;
  }

  [[nodiscard]] int percent_of(const task_ref& task, const run_state& state) const {
    const auto* spec = step_of(task);
    const auto real = real_duration.find(task.job);
    const auto whole = real != real_duration.end() ? real->second
                       : spec == nullptr           ? duration{1}
                                                   : spec->estimate;
    if (spec != nullptr && spec->long_running) {
      return now - state.started >= startup_time ? 100 : 0;
    }
    // A gang's progress shows its slowest member.
    const auto left = state.gang ? slowest_work_left(task, state.run) : state.work_left;
    const auto share = 1.0 - static_cast<double>(left.count()) / static_cast<double>(whole.count());
    return static_cast<int>(99.0 * std::min(share, 1.0));
  }

  [[nodiscard]] bool ticket_valid(const worker& at, const start_order& order) const {
    const auto found = tickets.find(order.ticket);
    if (found == tickets.end()) {
      return false;
    }
    const auto& issued = found->second;
    const step_ref started{
        .job = order.task.job, .occurrence = order.task.occurrence, .step = order.task.step};
    return issued.worker == order.worker && issued.born == at.entry.born && issued.step == started &&
           now < issued.valid_until;
  }
};

}  // namespace rhubarbpath::testing

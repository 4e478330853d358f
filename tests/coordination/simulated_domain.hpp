#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "rhubarbpath/coordination/domain_owner.hpp"
#include "rhubarbpath/coordination/placement_adapter.hpp"
#include "rhubarbpath/protocol/log_codec.hpp"
#include "simulated_store.hpp"

namespace rhubarbpath::simulation {

constexpr duration second{1'000'000};
constexpr int workers_per_domain = 6;
constexpr int accelerators_per_worker = 8;

/// Placement policy that places waiting jobs in order of arrival on entirely free workers.
class first_fit final : public placement_policy {
 public:
  void rebuild(std::shared_ptr<const environment_document> document, const domain_state& state,
               instant /*now*/) override {
    free_.clear();
    unreachable_.clear();
    waiting_.clear();
    held_.clear();
    for (const auto& worker : document->workers) {
      free_.insert(worker.id);
    }
    for (const auto& [id, job] : state.jobs) {
      for (const auto& member : job.placement) {
        free_.erase(member.worker);
        held_[id].push_back(member.worker);
      }
      if (job.state == job_state::waiting) {
        waiting_.push_back({id, job.spec.shape.members, job.attempt});
      } else if (!job.placement.empty()) {
        running_[id] = {id, job.spec.shape.members, job.attempt};
      }
    }
  }
  void document_changed(std::shared_ptr<const environment_document> /*document*/, instant /*now*/) override {}
  void job_accepted(const job_record& job, instant /*now*/) override {
    waiting_.push_back({job.id, job.spec.shape.members, job.attempt});
  }
  void job_cancelled(const job_id& job, instant /*now*/) override {
    std::erase_if(waiting_, [&](const entry& each) { return each.job == job; });
  }
  void attempt_started(const job_id& /*job*/, attempt_number /*attempt*/, instant /*now*/) override {}
  void attempt_ended(const gang_ended& ended, instant /*now*/) override {
    for (const auto& worker : std::exchange(held_[ended.job], {})) {
      free_.insert(worker);
    }
    auto job = running_[ended.job];
    if (ended.end != gang_end::finished && ended.end != gang_end::cancelled) {
      waiting_.push_back(job);
    }
  }
  void worker_reachable(const worker_id& worker, bool reachable, instant /*now*/) override {
    reachable ? unreachable_.erase(worker) : unreachable_.insert(worker).second;
  }
  void decide(instant /*now*/, std::vector<placement_decision>& out) override {
    while (!waiting_.empty()) {
      auto job = waiting_.front();
      std::vector<worker_id> usable;
      std::set_difference(free_.begin(), free_.end(), unreachable_.begin(), unreachable_.end(),
                          std::back_inserter(usable));
      if (usable.size() < static_cast<std::size_t>(job.members)) {
        return;
      }
      waiting_.erase(waiting_.begin());
      job.attempt = job.attempt.next();
      running_[job.job] = job;
      job_placement_decided decision{.job = job.job, .attempt = job.attempt};
      for (int i = 0; i < job.members; ++i) {
        const auto& worker = usable[static_cast<std::size_t>(i)];
        decision.placement.push_back({.worker = worker, .accelerators = 0xff});
        free_.erase(worker);
        held_[job.job].push_back(worker);
      }
      out.emplace_back(std::move(decision));
    }
  }
  [[nodiscard]] std::optional<instant> next_deadline() const override { return std::nullopt; }
  [[nodiscard]] std::string waiting_reason(const job_id& /*job*/) const override { return {}; }

 private:
  struct entry {
    job_id job;
    int members{1};
    attempt_number attempt;
  };
  std::set<worker_id> free_;
  std::set<worker_id> unreachable_;
  std::vector<entry> waiting_;
  std::map<job_id, entry> running_;
  std::map<job_id, std::vector<worker_id>> held_;
};

/// Worker that runs tasks under leases and rejects commands of older epochs.
struct simulated_worker {
  struct running_task {
    task_report report;
    instant started;
    instant lease_until;
    duration run_time;
    bool checkpoints{true};
  };
  worker_id id;
  epoch highest;
  std::map<std::pair<job_id, int>, running_task> tasks;
  std::map<job_id, attempt_number> stopped;  ///< Subsequent starts of these attempts are ignored.
  bool unreachable{false};
  bool fails_tasks{false};
  instant last_stop{};

  void update(instant now) {
    for (auto task = tasks.begin(); task != tasks.end();) {
      auto& [report, started, lease_until, run_time, checkpoints] = task->second;
      const bool lapsed = report.state == task_state::running && lease_until <= now;
      if (report.state == task_state::running && !lapsed) {
        report.run_time = std::min(run_time, now - started);
        if (now - started >= run_time) {
          report.state = fails_tasks ? task_state::failed : task_state::finished;
        }
      }
      task = lapsed ? tasks.erase(task) : std::next(task);
    }
  }
  worker_report handle(epoch sender, const worker_command& command, instant now) {
    update(now);
    worker_report report{.worker = id, .refused_older_epoch = sender < highest};
    highest = std::max(highest, sender);
    report.highest_epoch = highest;
    if (!report.refused_older_epoch) {
      std::visit([&](const auto& typed) { apply(typed, now); }, command);
      for (const auto& [key, task] : tasks) {
        report.tasks.push_back(task.report);
      }
    }
    return report;
  }

 private:
  void apply(const start_task& start, instant now) {
    const auto busy = std::any_of(tasks.begin(), tasks.end(), [&](const auto& each) {
      return each.second.report.state == task_state::running &&
             (each.second.report.accelerators & start.accelerators) != 0;
    });
    if (busy || tasks.contains({start.task.job, start.task.member}) ||
        stopped[start.task.job] >= start.task.attempt) {
      return;
    }
    tasks[{start.task.job, start.task.member}] = {
        .report = {.task = start.task, .accelerators = start.accelerators},
        .started = now,
        .lease_until = now + start.lease,
        .run_time = fails_tasks ? duration{1'000} : start.declared_run_time};
  }
  void apply(const stop_task& stop, instant now) {
    auto& attempt = stopped[stop.task.job];
    attempt = std::max(attempt, stop.task.attempt);
    const auto found = tasks.find({stop.task.job, stop.task.member});
    const bool running = found != tasks.end() && found->second.report.state == task_state::running;
    if (found != tasks.end() && found->second.report.task.attempt == stop.task.attempt &&
        (running || stop.collect)) {
      tasks.erase(found);
      last_stop = now;
    }
  }
  void apply(const checkpoint_task& checkpoint, instant /*now*/) {
    const auto found = tasks.find({checkpoint.task.job, checkpoint.task.member});
    if (found != tasks.end()) {
      found->second.report.checkpointed = found->second.report.run_time;
    }
  }
  void apply(const renew_tasks& renew, instant now) {
    for (auto& [key, task] : tasks) {
      task.lease_until = renew.lease ? now + *renew.lease : task.lease_until;
    }
  }
};

class domain_simulation;

class owner_process : public simulated_process<domain_owner, domain_owner_event, domain_owner_action> {
 public:
  owner_process(domain_simulation& world, const std::string& name, std::uint64_t start);
  void on_action(domain_owner_action& action) override;
  [[nodiscard]] const vm_id& vm() const { return vm_; }
  [[nodiscard]] bool drained() const { return drained_; }

 private:
  domain_simulation* simulation_;
  vm_id vm_;
  std::unique_ptr<placement_policy> placement_;
  work_budget kept_jobs_;
  bool drained_{false};
};

/// One failure domain with its schedulers, workers and store. Checks the invariants of the system at every
/// step.
class domain_simulation {
 public:
  domain_simulation(std::uint64_t seed, int schedulers, bool use_placement_engine = false)
      : random{seed}, store{queue, random}, uses_engine{use_placement_engine} {
    document.environment = "test";
    document.regions.push_back({.id = region_id{"region"}});
    document.failure_domains.push_back({.id = failure_domain_id{"fd"}, .region = region_id{"region"}});
    document.teams.push_back({.id = team_id{"t"}});
    document.job_classes.push_back({.id = class_id{"batch"}});
    document.racks.push_back({.id = rack_id{"r"}, .failure_domain = failure_domain_id{"fd"}});
    for (int i = 0; i < workers_per_domain; ++i) {
      const worker_id id{"w" + std::to_string(i)};
      document.workers.push_back({.id = id, .rack = rack_id{"r"}});
      workers[id].id = id;
    }
    store.on_write = [this](const store_row& row) { record_log_row(row); };
    for (int i = 0; i < schedulers; ++i) {
      start("s" + std::to_string(i));
    }
  }

  void start(const std::string& name) {
    processes[name] = std::make_shared<owner_process>(*this, name, ++starts);
    auto& process = *processes[name];
    process.send(document_changed{.version = document_version{1},
                                  .document = std::make_shared<environment_document>(document)});
    announce_schedulers();
  }
  void crash(const std::string& name) {
    processes.at(name)->crash();
    announce_schedulers();
  }
  /// Announces the live processes to all processes after the failure detection delay of membership.
  void announce_schedulers() {
    queue.at(queue.now() + detection_delay, [this] {
      schedulers_changed change;
      for (const auto& [name, process] : processes) {
        if (process->alive() && !process->frozen()) {
          change.live.push_back(process->vm());
        }
      }
      for (const auto& [name, process] : processes) {
        process->send(change);
      }
    });
  }
  void run(duration interval) {
    const auto until = queue.now() + interval;
    constexpr duration check_step{50'000};
    while (queue.now() < until) {
      queue.run_until(std::min(until, queue.now() + check_step));
      check_gang_invariants();
    }
  }

  void submit(const std::string& process, const std::string& job, int members, duration run_time,
              const team_id& team = team_id{"t"}) {
    job_spec spec{.team = team,
                  .job_class = class_id{"batch"},
                  .shape = {.accelerators_per_member = 8, .members = members, .within = proximity::rack}};
    spec.declared_run_time = run_time;
    spec.command = "run";
    gang_sizes[job_id{job}] = members;
    processes.at(process)->send(job_submitted{.from = origin(), .job = job_id{job}, .spec = spec});
  }
  void cancel(const std::string& process, const std::string& job) {
    processes.at(process)->send(job_cancel_requested{.from = origin(), .job = job_id{job}});
  }
  void query(const std::string& process, const std::string& job) {
    processes.at(process)->send(job_queried{.from = origin(), .job = job_id{job}});
  }
  /// Returns the live process that acts as the owner under the highest epoch, or null.
  [[nodiscard]] owner_process* owner() {
    owner_process* found = nullptr;
    for (const auto& [name, process] : processes) {
      if (process->alive() && !process->frozen() && process->part().owns() &&
          (found == nullptr || process->part().current_epoch() > found->part().current_epoch())) {
        found = process.get();
      }
    }
    return found;
  }
  /// Waits until a process owns the domain under an epoch above `after`. Returns the time that this took, or
  /// nothing if it took longer than `limit`.
  std::optional<duration> wait_for_owner(epoch after, duration limit) {
    const auto begin = queue.now();
    constexpr duration step{10'000};
    while (queue.now() - begin <= limit) {
      if (auto* found = owner(); found != nullptr && found->part().current_epoch() > after) {
        return queue.now() - begin;
      }
      run(step);
    }
    return std::nullopt;
  }
  [[nodiscard]] std::optional<job_state> state_of(const std::string& job) {
    auto* current = owner();
    if (current == nullptr || current->part().committed() == nullptr) {
      return std::nullopt;
    }
    const auto& jobs = current->part().committed()->jobs;
    const auto found = jobs.find(job_id{job});
    return found == jobs.end() ? std::nullopt : std::optional{found->second.state};
  }

  void on_answer(const job_answered& answered) {
    ++answers;
    answered_requests.insert(answered.to.request.value());
    if (answered.result.result != verdict::ran) {
      return;
    }
    require(logged_accepted.contains(answered.job), "answered before the acceptance was logged");
    accepted.insert(answered.job);
    if (answered.record && is_final(answered.record->state)) {
      const auto [found, added] = final_states.emplace(answered.job, answered.record->state);
      require(added || found->second == answered.record->state, "a final state changed");
    }
  }
  void on_announcement(const owner_announced& announced) {
    const auto owner_name =
        announced.owner.value() + "#" + std::to_string(announced.owner_incarnation.value());
    const auto [found, added] = epoch_owners.emplace(announced.current_epoch, owner_name);
    require(added || found->second == owner_name, "two processes act under one epoch");
    for (const auto& [name, process] : processes) {
      if (!process->cut_off) {
        process->post_at(queue.now() + network_delay(),
                         [target = process.get(), announced] { target->send(announced); });
      }
    }
  }
  void on_worker_send(const std::shared_ptr<owner_process>& from, const worker_send& sent) {
    const auto sender = from->vm().value();
    const auto [found, added] = epoch_senders.emplace(sent.sender_epoch, sender);
    require(added || found->second == sender, "two processes command workers under one epoch");
    if (const auto* start_command = std::get_if<start_task>(&sent.command)) {
      require(logged_placed.contains({start_command->task.job, start_command->task.attempt}),
              "started before the placement was logged");
    }
    const bool lost = random.fraction() < worker_loss;
    queue.at(queue.now() + network_delay(), [this, from, sent, lost] {
      auto& worker = workers[sent.worker];
      if (worker.unreachable) {
        from->send(worker_call_failed{.failed = sent.sent});
        return;
      }
      const auto report = worker.handle(sent.sender_epoch, sent.command, queue.now());
      check_gang_invariants();
      if (!lost) {
        queue.at(queue.now() + network_delay(), [from, sent, report] {
          from->send(worker_reported{.answers = sent.sent, .report = report});
        });
      }
    });
  }
  duration network_delay() { return duration{300 + static_cast<std::int64_t>(random.below(1'000))}; }
  static void require(bool holds, const std::string& what) {
    if (!holds) {
      throw std::runtime_error{what};
    }
  }

  random_source random;
  event_queue queue;
  simulated_store store;
  bool uses_engine{false};  ///< Uses `placement_adapter` instead of `first_fit`.
  environment_document document;
  std::map<worker_id, simulated_worker> workers;
  std::map<std::string, std::shared_ptr<owner_process>> processes;
  std::map<job_id, int> gang_sizes;
  std::set<job_id> accepted;  ///< Jobs whose submission was answered as accepted.
  std::set<job_id> logged_accepted;
  std::set<std::pair<job_id, attempt_number>> logged_placed;
  std::map<job_id, job_state> final_states;
  std::map<job_id, int> finished_runs;
  std::map<epoch, std::string> epoch_owners;
  std::map<epoch, std::string> epoch_senders;
  std::set<std::uint64_t> answered_requests;
  std::uint64_t answers{0};
  std::uint64_t requests{0};
  std::uint64_t starts{0};
  double worker_loss{0};
  duration detection_delay{1'500'000};
  std::uint64_t max_job_bytes{std::uint64_t{1} << 30U};  ///< Of processes that start from now on.
  duration longest_partial{};

 private:
  job_message_origin origin() { return {.peer = vm_id{"client"}, .request = request_id{++requests}}; }

  void record_log_row(const store_row& row) {
    if (row.key.find("/log/") == std::string::npos) {
      return;
    }
    const auto entries = codec.decode_batch(row.value);
    require(entries.ok(), "a row that cannot be decoded was written");
    for (const auto& entry : *entries) {
      if (const auto* job = std::get_if<job_accepted>(&entry)) {
        logged_accepted.insert(job->job);
      } else if (const auto* placed = std::get_if<job_placed>(&entry)) {
        logged_placed.insert({placed->job, placed->attempt});
      }
    }
  }

  /// Checks that no gang runs with missing members for more than 15 s, and that no two attempts of a job run
  /// at the same time.
  void check_gang_invariants() {
    std::map<std::pair<job_id, attempt_number>, int> running;
    std::map<job_id, attempt_number> attempts;
    for (auto& [id, worker] : workers) {
      worker.update(queue.now());
      for (const auto& [key, task] : worker.tasks) {
        const auto& ref = task.report.task;
        if (task.report.state == task_state::running) {
          ++running[{ref.job, ref.attempt}];
          const auto [found, added] = attempts.emplace(ref.job, ref.attempt);
          require(added || found->second == ref.attempt, "two attempts of one job run at once");
        }
      }
    }
    std::erase_if(partial_since_, [&](const auto& each) {
      const auto found = running.find(each.first);
      return found == running.end() || found->second == gang_sizes[each.first.first];
    });
    for (const auto& [gang, members] : running) {
      if (members == gang_sizes[gang.first]) {
        continue;
      }
      const auto since = partial_since_.emplace(gang, queue.now()).first->second;
      longest_partial = std::max(longest_partial, queue.now() - since);
      require(queue.now() - since <= 15 * second, "a gang ran with missing members for over 15 s");
    }
  }

  cbor_log_codec codec;
  std::map<std::pair<job_id, attempt_number>, instant> partial_since_;
};

inline const cbor_log_codec& shared_codec() {
  static const cbor_log_codec codec;
  return codec;
}

inline owner_process::owner_process(domain_simulation& world, const std::string& name, std::uint64_t start)
    : simulated_process{world.queue, world.store, vm_id{name}, incarnation{start}},
      simulation_{&world},
      vm_{name},
      kept_jobs_{world.max_job_bytes} {
  domain_owner::options opts{.failure_domain = failure_domain_id{"fd"},
                             .environment = "test",
                             .self = vm_id{name},
                             .self_incarnation = incarnation{start}};
  opts.log.snapshot_rows = 20;
  if (world.uses_engine) {
    placement_ = std::make_unique<placement_adapter>(placement::options{}, failure_domain_id{"fd"});
  } else {
    placement_ = std::make_unique<first_fit>();
  }
  part_ = std::make_unique<domain_owner>(std::move(opts), shared_codec(), *placement_, random(), kept_jobs_);
}

inline void owner_process::on_action(domain_owner_action& action) {
  if (const auto* sent = std::get_if<worker_send>(&action)) {
    simulation_->on_worker_send(std::static_pointer_cast<owner_process>(shared_from_this()), *sent);
  } else if (const auto* answered = std::get_if<job_answered>(&action)) {
    simulation_->on_answer(*answered);
  } else if (const auto* announced = std::get_if<owner_announced>(&action)) {
    simulation_->on_announcement(*announced);
  } else if (std::holds_alternative<owner_drained>(action)) {
    drained_ = true;
  }
}

}  // namespace rhubarbpath::simulation

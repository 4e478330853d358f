#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "simulated_workers.hpp"

namespace rhubarbpath::testing {

/// Finds jobs with nothing running although a task's turn has come and the fleet has room for it twice over.
/// Judges by what the workers run, not by what the scheduler knows of it.
class standing_watch {
 public:
  /// A job of which nothing ran for too long.
  struct stand {
    std::string unit;  ///< JOB.OCCURRENCE.STEP.INDEX
    instant since;
    instant until;
    std::string fleet;  ///< What the fleet looked like when the time was over.
  };

  explicit standing_watch(const simulated_workers& watched) : fleet{watched} {}

  /// To be called after each step of the simulation.
  void check() {
    if (fleet.now < next_check) {
      return;
    }
    next_check = fleet.now + check_interval;
    if (fleet.term != term) {
      term = fleet.term;
      term_began = fleet.now;
    }
    find_open_jobs();
    std::map<std::string, std::string> standing;
    if (fleet.store_up && usage_percent() < full_percent) {
      for (const auto& id : open_jobs) {
        check_job(fleet.stored_jobs.at(id), standing);
      }
    }
    note(standing);
  }

  [[nodiscard]] const std::vector<stand>& found() const { return stands; }
  [[nodiscard]] std::vector<std::string> describe() const {
    std::vector<std::string> lines;
    for (const auto& each : stands) {
      lines.push_back(each.unit + " stands from " + seconds_of(each.since) + " to " + seconds_of(each.until) +
                      ": " + each.fleet);
    }
    return lines;
  }
  /// The longest time that a job with room for it had nothing running, with all that is allowed for.
  [[nodiscard]] duration longest_with_allowances() const { return longest_idle; }

 private:
  static constexpr duration check_interval{milliseconds{20}};
  static constexpr std::int64_t full_percent = 50;
  /// Nothing of a job may run for this long.
  static constexpr duration longest_stand{milliseconds{3000}};
  /// A lasting task counts as standing only from this time after its last run on.
  static constexpr duration pause_of_lasting_task{milliseconds{6000}};
  /// Longest time of a stop, and what a clock that is 2% slow adds to the longest lease, on either side.
  static constexpr duration stop_and_drift{milliseconds{200 + 400}};
  static constexpr duration longest_lease{milliseconds{10'000}};
  /// An order without an answer may be carried out this much later.
  static constexpr duration latest_order{milliseconds{12'000}};

  struct unit {
    const accepted_job* job;
    std::uint32_t occurrence;
    std::uint32_t step;
    std::uint32_t first;
    std::uint32_t members;

    [[nodiscard]] const step_spec& spec() const { return job->graph.steps[step]; }
    [[nodiscard]] task_ref task(std::uint32_t member) const {
      return {.job = job->id, .occurrence = occurrence, .step = step, .index = first + member};
    }
    [[nodiscard]] std::string name() const {
      return job->id.value() + "." + std::to_string(occurrence) + "." + std::to_string(step) + "." +
             std::to_string(first);
    }
  };

  static std::string seconds_of(instant at) {
    return std::to_string(static_cast<double>(at.time_since_epoch().count() / 1000) / 1000.0);
  }

  /// Whether the worker runs and can be reached.
  static bool answers(const simulated_fleet::worker& each) { return each.running && !each.disconnected; }
  /// Whether the worker could take a task of this step if it had space.
  [[nodiscard]] bool sound_for(const simulated_fleet::worker& each, const step_spec& spec) const {
    return answers(each) && !each.entry.draining && !each.refuses_starts && !each.fails_every_run &&
           !fleet.unlisted.contains(each.entry.id) && simulated_fleet::has_label(each, spec);
  }

  [[nodiscard]] std::int64_t usage_percent() const {
    resource_amounts used;
    resource_amounts capacity;
    for (const auto& [id, each] : fleet.workers) {
      if (each.running) {
        used += fleet.used_on(each);
        capacity += each.entry.capacity;
      }
    }
    const auto percent = [](std::int64_t part, std::int64_t whole) {
      constexpr std::int64_t all = 100;
      return whole == 0 ? all : part * all / whole;
    };
    return std::max({percent(used.cpu_millicores, capacity.cpu_millicores),
                     percent(used.memory_mb, capacity.memory_mb),
                     percent(used.accelerators, capacity.accelerators)});
  }

  /// Number of tasks of the unit's step that the sound workers have space for.
  [[nodiscard]] std::uint32_t room_for(const unit& each) const {
    const auto& spec = each.spec();
    const auto need = occupied(spec);
    std::uint32_t room = 0;
    for (const auto& [id, worker] : fleet.workers) {
      if (!sound_for(worker, spec)) {
        continue;
      }
      auto free = worker.entry.capacity - fleet.used_on(worker);
      auto allowed = 2 * each.members;
      if (spec.max_per_worker > 0) {
        const auto present = static_cast<std::uint32_t>(
            std::count_if(worker.tasks.begin(), worker.tasks.end(), [&](const auto& running) {
              return running.first.job == each.job->id && running.first.occurrence == each.occurrence &&
                     running.first.step == each.step;
            }));
        allowed = std::min(allowed, spec.max_per_worker - std::min(spec.max_per_worker, present));
      }
      for (; allowed > 0 && free.covers(need); --allowed) {
        free -= need;
        ++room;
      }
    }
    return room;
  }

  void find_open_jobs() {
    for (const auto& [id, job] : fleet.stored_jobs) {
      if (known_jobs.insert(id).second) {
        open_jobs.insert(id);
      }
    }
    running_tasks.clear();
    running_jobs.clear();
    for (const auto& [id, worker] : fleet.workers) {
      for (const auto& [task, state] : worker.tasks) {
        running_tasks.insert(task);
        running_jobs.insert(task.job);
      }
    }
    std::erase_if(open_jobs, [&](const job_id& id) {
      const auto& job = fleet.stored_jobs.at(id);
      return fleet.cancelled.contains(id) || has_failed(job) || all_stored_as_done(job);
    });
  }

  [[nodiscard]] static std::uint32_t occurrences_of(const accepted_job& job) {
    return std::max<std::uint32_t>(job.graph.occurrences, 1);
  }
  template <class Check>
  static bool any_unit(const accepted_job& job, Check check) {
    for (std::uint32_t occurrence = 0; occurrence < occurrences_of(job); ++occurrence) {
      for (std::uint32_t step = 0; step < job.graph.steps.size(); ++step) {
        const auto& spec = job.graph.steps[step];
        for (std::uint32_t index = 0; index < (spec.gang ? 1 : spec.count); ++index) {
          if (check(unit{.job = &job,
                         .occurrence = occurrence,
                         .step = step,
                         .first = index,
                         .members = spec.gang ? spec.count : 1})) {
            return true;
          }
        }
      }
    }
    return false;
  }
  [[nodiscard]] bool all_stored_as_done(const accepted_job& job) const {
    return !any_unit(job, [&](const unit& each) { return !fleet.stored_ends.contains(each.task(0)); });
  }
  /// Whether a task or a gang has failed as often as its queue allows.
  [[nodiscard]] bool has_failed(const accepted_job& job) const {
    return any_unit(job, [&](const unit& each) {
      std::uint32_t failures = 0;
      for (std::uint32_t member = 0; member < each.members; ++member) {
        const auto task = each.task(member);
        for (auto run = fleet.run_outcomes.lower_bound({task, run_number{}});
             run != fleet.run_outcomes.end() && run->first.first == task; ++run) {
          failures += run->second == run_outcome::failed ? 1 : 0;
        }
      }
      return !each.spec().long_running && failures >= job.terms->max_attempts;
    });
  }

  [[nodiscard]] bool is_due(const unit& each) const {
    const auto& graph = each.job->graph;
    return graph.occurrences == 0 ||
           fleet.wall() >= graph.first_due + graph.interval * static_cast<int>(each.occurrence);
  }

  /// Whether the worker does not answer, and the last lease that may have been granted there has not passed.
  /// An owner knows no lease of earlier owners, but the longest.
  [[nodiscard]] bool may_run_unseen(const worker_id& id) const {
    const auto granted = fleet.leases_end.find(id);
    const auto by_earlier_owner = term > 1 ? term_began + longest_lease : instant{};
    const auto ends =
        granted == fleet.leases_end.end() ? by_earlier_owner : std::max(granted->second, by_earlier_owner);
    return !answers(fleet.workers.at(id)) && fleet.now < ends + stop_and_drift;
  }

  /// Whether the unit may be kept from running for now, by the facts of the simulation.
  [[nodiscard]] bool is_allowed_for(const unit& each) const {
    for (std::uint32_t member = 0; member < each.members; ++member) {
      const auto task = each.task(member);
      // Its last run may still run on a worker that is lost or cut off, until the lease there has passed.
      if (const auto at = fleet.last_worker.find(task);
          at != fleet.last_worker.end() && may_run_unseen(at->second)) {
        return true;
      }
      // An attempt of a start without an answer may be carried out until its deadline has passed there, and
      // then holds the worker's lease.
      const auto sent = fleet.sent_starts.find(task);
      if (sent != fleet.sent_starts.end() &&
          std::any_of(sent->second.begin(), sent->second.end(), [&](const auto& attempt) {
            if (attempt.answered) {
              return false;
            }
            const auto& to = fleet.workers.at(attempt.worker);
            if (answers(to)) {
              return to.entry.born == attempt.born && fleet.now < attempt.expires_at + stop_and_drift;
            }
            // The clock of a later incarnation is not known, so that only the longest lease counts.
            const bool restarted = to.running && to.entry.born != attempt.born;
            return may_run_unseen(attempt.worker) ||
                   (restarted && fleet.now < attempt.sent_at + latest_order + longest_lease + stop_and_drift);
          })) {
        return true;
      }
    }
    // A new owner doesn't know what a silent worker runs of earlier jobs, nor its lease.
    const bool inherited = fleet.accepted_in_term.at(each.job->id) < term;
    return inherited && fleet.now < term_began + longest_lease + stop_and_drift &&
           std::any_of(fleet.stored_workers.begin(), fleet.stored_workers.end(),
                       [&](const worker_id& id) { return !answers(fleet.workers.at(id)); });
  }

  void check_job(const accepted_job& job, std::map<std::string, std::string>& standing) {
    std::optional<std::string> found;
    bool idle = false;
    any_unit(job, [&](const unit& each) {
      const bool lasting = each.spec().long_running;
      const bool runs = lasting ? running_tasks.contains(each.task(0)) : running_jobs.contains(job.id);
      if (runs || !is_due(each) || fleet.done(each.task(0), false) ||
          !turn_has_come(job, each.occurrence, each.step,
                         [&](const task_ref& task) { return fleet.done(task, true); })) {
        return false;
      }
      const auto last = fleet.last_ran.find(each.task(0));
      const bool rests =
          lasting && last != fleet.last_ran.end() && fleet.now < last->second + pause_of_lasting_task;
      if (rests || room_for(each) < 2 * each.members) {
        return false;
      }
      idle = true;
      if (is_allowed_for(each)) {
        return false;
      }
      // Each task that lasts counts by itself.
      if (lasting) {
        standing.emplace(each.name(), each.name());
        return false;
      }
      found = each.name();
      return true;
    });
    if (found) {
      standing.emplace(job.id.value(), *found);
    }
    if (!idle) {
      idle_since.erase(job.id);
      return;
    }
    const auto since = idle_since.try_emplace(job.id, fleet.now).first->second;
    longest_idle = std::max(longest_idle, fleet.now - since);
  }

  void note(const std::map<std::string, std::string>& standing) {
    std::erase_if(stands_since, [&](const auto& each) { return !standing.contains(each.first); });
    std::erase_if(reported, [&](const auto& each) { return !standing.contains(each.first); });
    for (const auto& [key, name] : standing) {
      const auto since = stands_since.try_emplace(key, fleet.now).first->second;
      if (fleet.now - since <= longest_stand) {
        continue;
      }
      const auto [place, inserted] = reported.try_emplace(key, stands.size());
      if (inserted) {
        stands.push_back({.unit = name, .since = since, .until = fleet.now, .fleet = describe_fleet()});
      }
      stands[place->second].until = fleet.now;
    }
  }

  [[nodiscard]] std::string describe_fleet() const {
    std::string text = std::to_string(usage_percent()) + "% in use, term " + std::to_string(fleet.term);
    for (const auto& [id, each] : fleet.workers) {
      std::string state = each.running ? "" : " away";
      state += each.disconnected ? " cut-off" : "";
      state += each.entry.draining ? " draining" : "";
      state += each.refuses_starts ? " unhealthy" : "";
      state += each.fails_every_run ? " failing" : "";
      state += fleet.unlisted.contains(id) ? " unlisted" : "";
      text += state.empty() ? "" : ", " + id.value() + " in " + each.entry.rack.value() + state;
    }
    return text;
  }

  const simulated_workers& fleet;
  instant next_check{};
  std::uint64_t term{0};
  instant term_began{};
  std::set<job_id> known_jobs;
  std::set<job_id> open_jobs;
  std::set<task_ref> running_tasks;
  std::set<job_id> running_jobs;
  std::map<std::string, instant> stands_since;
  std::map<std::string, std::size_t> reported;
  std::vector<stand> stands;
  std::map<job_id, instant> idle_since;
  duration longest_idle{0};
};

}  // namespace rhubarbpath::testing

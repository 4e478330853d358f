#include "rhubarbpath/protocol/missed_objectives.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <numeric>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>

#include "absl/strings/str_split.h"

namespace rhubarbpath {

namespace {

using json = nlohmann::json;

constexpr std::array cause_names{"no_room", "slow_worker", "straggler", "away_from_data", "stopped",
                                 "lost",    "failed_run",  "refused",   "owner_away",     "unexplained"};

/// The whole number in a text; nothing if it is not one.
std::optional<std::int64_t> parse_number(std::string_view text) {
  std::int64_t value = 0;
  const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc{} && rest == text.data() + text.size() ? std::optional{value} : std::nullopt;
}

/// Milliseconds since the Unix epoch of a time such as 2026-12-04T11:00:00.100Z.
std::optional<std::int64_t> parse_time(std::string_view text) {
  constexpr std::size_t length = 23;
  if (text.size() < length) {
    return std::nullopt;
  }
  const auto number = [&](std::size_t from, std::size_t count) {
    return static_cast<int>(parse_number(text.substr(from, count)).value_or(-1));
  };
  const int parts[] = {number(0, 4),  number(5, 2),  number(8, 2), number(11, 2),
                       number(14, 2), number(17, 2), number(20, 3)};
  if (std::any_of(std::begin(parts), std::end(parts), [](int part) { return part < 0; })) {
    return std::nullopt;
  }
  const std::chrono::year_month_day date{std::chrono::year{parts[0]},
                                         std::chrono::month{static_cast<unsigned>(parts[1])},
                                         std::chrono::day{static_cast<unsigned>(parts[2])}};
  const auto time = std::chrono::sys_days{date} + std::chrono::hours{parts[3]} +
                    std::chrono::minutes{parts[4]} + std::chrono::seconds{parts[5]} +
                    std::chrono::milliseconds{parts[6]};
  return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

std::string text_of(const json& fields, const char* name) {
  const auto found = fields.find(name);
  if (found == fields.end()) {
    return {};
  }
  return found->is_string() ? found->get<std::string>() : found->dump();
}

std::int64_t number_of(const json& fields, const char* name) {
  return parse_number(text_of(fields, name)).value_or(0);
}

double median(std::vector<double> values) {
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

const std::set<std::string, std::less<>>& used_events() {
  static const std::set<std::string, std::less<>> names{
      "job_added",       "job_ended",         "unit_started",     "unit_preempted",
      "unit_evacuated",  "run_ended",         "run_lost",         "run_stalled",
      "run_missing",     "start_refused",     "start_unanswered", "term_began",
      "caller_answered", "recovery_finished", "starts_held",      "starts_resumed"};
  return names;
}

/// The value of a text field without parsing the line; empty if there is none.
std::string_view quick_field(std::string_view line, std::string_view key) {
  const auto at = line.find(key);
  if (at == std::string_view::npos) {
    return {};
  }
  const auto begin = at + key.size();
  const auto end = line.find('"', begin);
  return end == std::string_view::npos ? std::string_view{} : line.substr(begin, end - begin);
}

enum class run_state { open, done, preempted, evacuated, lost, failed, stopped };

constexpr std::array run_state_names{"open", "done", "preempted", "evacuated", "lost", "failed", "stopped"};

miss_cause cause_of(run_state state) {
  switch (state) {
    case run_state::lost:
      return miss_cause::lost;
    case run_state::failed:
      return miss_cause::failed_run;
    case run_state::open:
    case run_state::done:
    case run_state::preempted:
    case run_state::evacuated:
    case run_state::stopped:
      return miss_cause::stopped;
  }
  return miss_cause::stopped;
}

struct unit_key {
  std::int64_t step{0};
  std::int64_t number{0};
  friend auto operator<=>(const unit_key&, const unit_key&) = default;
};

/// One start of a task or gang.
struct unit_run {
  unit_key unit;
  std::int64_t run{0};
  std::vector<std::string> workers;
  std::int64_t began{0};
  std::int64_t ended{0};
  run_state state{run_state::open};
  double estimate_ms{0};
  double cores{0};  ///< Of all its tasks.
  bool saves{false};
  bool outside_rack{false};

  [[nodiscard]] double took() const { return static_cast<double>(std::max<std::int64_t>(ended - began, 1)); }
};

struct job_history {
  std::string queue;
  std::string team;
  std::string kind;
  std::uint64_t tasks{0};
  std::int64_t submitted{0};
  std::int64_t known{0};  ///< When the first owner learned of it; 0 if none did.
  double chain_ms{0};
  double objective_ms{0};
  double target_ms{0};
  std::optional<std::int64_t> ended;
  std::string phase;
  std::optional<std::int64_t> first_refused;
  std::vector<unit_run> runs;
};

/// "0.1.2" is step 1 and number 2 of occurrence 0. Jobs with several occurrences are passed over.
unit_key parse_unit(std::string_view text) {
  const auto first = text.find('.');
  const auto second = text.find('.', first + 1);
  if (first == std::string_view::npos || second == std::string_view::npos) {
    return {};
  }
  return {.step = parse_number(text.substr(first + 1, second - first - 1)).value_or(0),
          .number = parse_number(text.substr(second + 1)).value_or(0)};
}

/// What runs of one queue or team held, as an integral over time.
class held_cores {
 public:
  void add(std::int64_t time, double cores) { changes_.emplace_back(time, cores); }
  void finish() {
    std::sort(changes_.begin(), changes_.end());
    double rate = 0;
    double sum = 0;
    std::int64_t last = changes_.empty() ? 0 : changes_.front().first;
    for (const auto& [time, cores] : changes_) {
      sum += rate * static_cast<double>(time - last);
      rate += cores;
      last = time;
      points_.push_back({time, sum, rate});
    }
  }
  /// Core milliseconds up to this time.
  [[nodiscard]] double until(std::int64_t time) const {
    const auto after = std::upper_bound(points_.begin(), points_.end(), time,
                                        [](std::int64_t at, const point& each) { return at < each.time; });
    if (after == points_.begin()) {
      return 0;
    }
    const auto& last = *std::prev(after);
    return last.sum + last.rate * static_cast<double>(time - last.time);
  }

 private:
  struct point {
    std::int64_t time{0};
    double sum{0};
    double rate{0};
  };
  std::vector<std::pair<std::int64_t, double>> changes_;
  std::vector<point> points_;
};

}  // namespace

std::string_view to_string(miss_cause cause) noexcept {
  return cause_names[static_cast<std::size_t>(cause)];
}

struct missed_objectives::implementation {
  struct event {
    std::int64_t time{0};
    std::string name;
    json fields;
  };
  struct interval {
    std::int64_t begin{0};
    std::int64_t end{0};
  };
  /// What is known of the owner at one place in the logs.
  struct owner_times {
    std::int64_t last_term{0};
    std::int64_t last_line{0};
    std::optional<std::int64_t> away_since;
    std::optional<std::int64_t> first_start;  ///< Since `away_since`.
    std::optional<std::int64_t> held_since;
  };
  using split = std::array<double, miss_cause_count>;

  std::vector<event> events;
  std::size_t unreadable{0};
  std::map<std::string, job_history> jobs;
  std::vector<interval> gaps;  ///< In which no owner placed tasks, by time and without overlap.
  std::int64_t last_time{0};
  std::unordered_map<std::string, double> worker_factor;
  std::map<std::pair<std::string, std::int64_t>, double> step_median;  ///< Of steps with enough runs.
  std::map<std::string, double> queue_median;
  missed_objectives_report result;
  std::map<std::string, held_cores> by_queue;
  std::map<std::string, held_cores> by_team;

  // ---- reading ----

  void collect();
  void note_owner(const event& each, owner_times& owner);
  /// Ends the time without an owner. A term without recovery ends it with its first start.
  void end_gap(owner_times& owner, std::int64_t otherwise);
  void note_job(const event& each);
  void start_run(job_history& job, const event& each) const;
  static void end_run(job_history& job, const event& each);
  static void stop_unit(job_history& job, const event& each, run_state state);
  static void lose_run(job_history& job, const event& each);

  // ---- judging ----

  /// Runs that a step or a worker needs for a median.
  static constexpr std::size_t enough_runs = 3;

  void judge_workers();
  void compare_workers();
  void count_stops();
  void prepare_held();
  [[nodiscard]] double factor_of(const unit_run& run) const;
  /// How long the run takes on a worker that is not slow.
  [[nodiscard]] double sound_time(const unit_run& run) const { return run.took() / factor_of(run); }
  /// What a run of this step takes without straggling, and from how many times that on it straggles.
  [[nodiscard]] std::pair<double, double> expected_time(const std::string& id, const job_history& job,
                                                        const unit_run& run) const;
  [[nodiscard]] double chain_of(const std::string& id, const job_history& job) const;
  void add_final_run(const std::string& id, const job_history& job, const unit_run& run, split& lost) const;
  void add_wait(const job_history& job, interval wait, split& lost);
  void add_chain(const std::string& id, const job_history& job, std::int64_t end, split& lost);
  void judge(const std::string& id, const job_history& job);
};

// ---- reading ----

void missed_objectives::implementation::start_run(job_history& job, const event& each) const {
  unit_run run{.unit = parse_unit(text_of(each.fields, "step")),
               .run = number_of(each.fields, "run"),
               .workers = absl::StrSplit(text_of(each.fields, "workers"), ',', absl::SkipEmpty()),
               .began = each.time,
               .ended = each.time,
               .estimate_ms = static_cast<double>(number_of(each.fields, "estimate_ms")),
               .saves = text_of(each.fields, "saves") == "1",
               .outside_rack = number_of(each.fields, "outside_rack") > 0};
  constexpr double millicores = 1000.0;
  run.cores = static_cast<double>(number_of(each.fields, "cores_milli")) / millicores *
              static_cast<double>(run.workers.size());
  job.runs.push_back(std::move(run));
}

void missed_objectives::implementation::end_run(job_history& job, const event& each) {
  const auto task = parse_unit(text_of(each.fields, "task"));
  const auto number = number_of(each.fields, "run");
  const auto worker = text_of(each.fields, "worker");
  const auto outcome = text_of(each.fields, "reason");
  for (auto run = job.runs.rbegin(); run != job.runs.rend(); ++run) {
    const bool is_gang = run->workers.size() > 1;
    const bool same = run->unit.step == task.step && run->run == number &&
                      (is_gang || run->unit.number == task.number) &&
                      std::find(run->workers.begin(), run->workers.end(), worker) != run->workers.end();
    if (!same) {
      continue;
    }
    const bool open = run->state == run_state::open;
    if (outcome == "done" && (open || run->state == run_state::done)) {
      run->state = run_state::done;
      run->ended = each.time;
    } else if (outcome == "failed" && (open || run->state == run_state::stopped)) {
      run->state = run_state::failed;
      run->ended = each.time;
    } else if (open) {
      run->state = outcome == "lease_expired" ? run_state::lost : run_state::stopped;
      run->ended = each.time;
    }
    return;
  }
}

void missed_objectives::implementation::stop_unit(job_history& job, const event& each, run_state state) {
  const auto unit = parse_unit(text_of(each.fields, "step"));
  for (auto run = job.runs.rbegin(); run != job.runs.rend(); ++run) {
    if (run->unit == unit && run->state == run_state::open) {
      run->state = state;
      run->ended = each.time;
      return;
    }
  }
}

void missed_objectives::implementation::lose_run(job_history& job, const event& each) {
  const auto number = number_of(each.fields, "run");
  const auto worker = text_of(each.fields, "worker");
  for (auto& run : job.runs) {
    const bool same = (number == 0 || run.run == number) && run.state == run_state::open &&
                      std::find(run.workers.begin(), run.workers.end(), worker) != run.workers.end();
    if (same) {
      run.state = run_state::lost;
      run.ended = each.time;
      return;
    }
  }
}

void missed_objectives::implementation::note_job(const event& each) {
  auto& job = jobs[text_of(each.fields, "job")];
  if (each.name == "job_added") {
    if (job.known == 0) {
      job.queue = text_of(each.fields, "queue");
      job.team = text_of(each.fields, "team");
      job.kind = text_of(each.fields, "kind");
      job.tasks = static_cast<std::uint64_t>(number_of(each.fields, "tasks"));
      job.known = each.time;
      job.submitted = each.time - number_of(each.fields, "age_ms");
      job.chain_ms = static_cast<double>(number_of(each.fields, "chain_ms"));
      job.objective_ms = static_cast<double>(number_of(each.fields, "objective_ms"));
      job.target_ms = static_cast<double>(number_of(each.fields, "target_ms"));
    }
  } else if (each.name == "job_ended") {
    if (!job.ended) {
      job.ended = each.time;
      job.phase = text_of(each.fields, "reason");
    }
  } else if (each.name == "caller_answered") {
    if (text_of(each.fields, "method") == "POST" && text_of(each.fields, "status") != "200" &&
        !job.first_refused) {
      job.first_refused = each.time;
      job.queue = job.queue.empty() ? text_of(each.fields, "queue") : job.queue;
      job.team = job.team.empty() ? text_of(each.fields, "team") : job.team;
    }
  } else if (each.name == "unit_started") {
    start_run(job, each);
  } else if (each.name == "unit_preempted") {
    stop_unit(job, each, run_state::preempted);
    auto reason = text_of(each.fields, "reason");
    const std::string_view prefix{"for "};
    if (reason.starts_with(prefix)) {
      const auto found = jobs.find(reason.substr(prefix.size()));
      ++result.stopped_for[{job.queue, found == jobs.end() ? std::string{} : found->second.queue}];
    }
  } else if (each.name == "unit_evacuated") {
    stop_unit(job, each, run_state::evacuated);
  } else if (each.name == "run_ended") {
    end_run(job, each);
  } else {
    lose_run(job, each);
  }
}

void missed_objectives::implementation::end_gap(owner_times& owner, std::int64_t otherwise) {
  if (owner.away_since) {
    gaps.push_back({*owner.away_since, owner.first_start.value_or(otherwise)});
  }
  owner.away_since.reset();
  owner.first_start.reset();
}

void missed_objectives::implementation::note_owner(const event& each, owner_times& owner) {
  if (each.name == "term_began") {
    // An owner that was killed logs no end of its term, so its last line counts.
    if (number_of(each.fields, "term") > owner.last_term) {
      owner.last_term = number_of(each.fields, "term");
      end_gap(owner, each.time);
      owner.away_since = owner.last_line == 0 ? each.time : owner.last_line;
    }
  } else if (each.name == "recovery_finished") {
    owner.first_start.reset();
    end_gap(owner, each.time);
  } else if (each.name == "starts_held") {
    owner.held_since = owner.held_since.value_or(each.time);
  } else if (each.name == "starts_resumed") {
    if (owner.held_since) {
      gaps.push_back({*owner.held_since, each.time});
    }
    owner.held_since.reset();
  } else if (each.name != "caller_answered") {
    owner.last_line = each.time;
    if (each.name == "unit_started" && owner.away_since && !owner.first_start) {
      owner.first_start = each.time;
    }
  }
}

void missed_objectives::implementation::collect() {
  std::stable_sort(events.begin(), events.end(),
                   [](const event& left, const event& right) { return left.time < right.time; });
  owner_times owner;
  for (const auto& each : events) {
    note_owner(each, owner);
    if (!text_of(each.fields, "job").empty()) {
      note_job(each);
    }
  }
  last_time = events.empty() ? 0 : events.back().time;
  end_gap(owner, last_time);
  if (owner.held_since) {
    gaps.push_back({*owner.held_since, last_time});
  }
  std::sort(gaps.begin(), gaps.end(),
            [](const interval& left, const interval& right) { return left.begin < right.begin; });
  std::vector<interval> merged;
  for (const auto& gap : gaps) {
    if (!merged.empty() && gap.begin <= merged.back().end) {
      merged.back().end = std::max(merged.back().end, gap.end);
    } else {
      merged.push_back(gap);
    }
  }
  gaps = std::move(merged);
  for (auto& [id, job] : jobs) {
    for (auto& run : job.runs) {
      // A job ends with the first report of its last gang; those of the other members come later.
      const auto latest = job.ended.value_or(last_time);
      run.ended = run.state == run_state::open ? latest : std::min(run.ended, std::max(latest, run.began));
    }
  }
}

// ---- judging ----

/// Finds the usual times of steps and queues, and from them the slow workers.
void missed_objectives::implementation::judge_workers() {
  std::map<std::string, std::vector<double>> queue_times;
  std::map<std::pair<std::string, std::int64_t>, std::vector<double>> step_times;
  for (const auto& [id, job] : jobs) {
    for (const auto& run : job.runs) {
      if (run.state == run_state::done && !run.outside_rack) {
        queue_times[job.queue].push_back(run.took());
        step_times[{id, run.unit.step}].push_back(run.took());
      }
    }
  }
  for (const auto& [queue, times] : queue_times) {
    queue_median[queue] = median(times);
  }
  for (const auto& [step, times] : step_times) {
    if (times.size() >= enough_runs) {
      step_median[step] = median(times);
    }
  }
  compare_workers();
  result.judged_workers = worker_factor.size();
  for (auto& [worker, factor] : worker_factor) {
    if (factor >= slow_from) {
      ++result.slow_workers;
    } else {
      factor = 1.0;
    }
  }
}

/// Compares single tasks with their step, and others with their queue. A gang ends with its slowest member,
/// so it says little about the others and counts only where nothing else is known.
void missed_objectives::implementation::compare_workers() {
  std::unordered_map<std::string, std::vector<double>> exact;
  std::unordered_map<std::string, std::vector<double>> rough;
  for (const auto& [id, job] : jobs) {
    for (const auto& run : job.runs) {
      if (run.state != run_state::done || run.outside_rack) {
        continue;
      }
      const auto step = step_median.find({id, run.unit.step});
      for (const auto& worker : run.workers) {
        if (step != step_median.end() && run.workers.size() == 1) {
          exact[worker].push_back(run.took() / step->second);
        } else {
          rough[worker].push_back(run.took() / queue_median[job.queue]);
        }
      }
    }
  }
  constexpr std::size_t enough_rough = 8;
  for (const auto& [worker, ratios] : exact) {
    if (ratios.size() >= enough_runs) {
      worker_factor[worker] = median(ratios);
    }
  }
  for (const auto& [worker, ratios] : rough) {
    if (ratios.size() >= enough_rough) {
      worker_factor.try_emplace(worker, median(ratios));
    }
  }
}

double missed_objectives::implementation::factor_of(const unit_run& run) const {
  double slowest = 1.0;
  for (const auto& worker : run.workers) {
    const auto found = worker_factor.find(worker);
    slowest = std::max(slowest, found == worker_factor.end() ? 1.0 : found->second);
  }
  return slowest;
}

void missed_objectives::implementation::count_stops() {
  constexpr double millis = 1000.0;
  for (const auto& [id, job] : jobs) {
    result.runs += job.runs.size();
    for (const auto& run : job.runs) {
      const bool wasted = run.state != run_state::open && run.state != run_state::done;
      const bool cancelled = run.state == run_state::stopped && job.phase == "cancelled";
      if (!wasted || cancelled || job.kind == "lasting") {
        continue;
      }
      auto& stopped = result.stopped[run_state_names[static_cast<std::size_t>(run.state)]];
      ++stopped.runs;
      const auto core_seconds = run.cores * static_cast<double>(run.ended - run.began) / millis;
      stopped.core_seconds += core_seconds;
      stopped.core_seconds_of_saving += run.saves ? core_seconds : 0;
    }
  }
}

void missed_objectives::implementation::prepare_held() {
  for (const auto& [id, job] : jobs) {
    for (const auto& run : job.runs) {
      for (auto* held : {&by_queue[job.queue], &by_team[job.team]}) {
        held->add(run.began, run.cores);
        held->add(run.ended, -run.cores);
      }
    }
  }
  for (auto* group : {&by_queue, &by_team}) {
    for (auto& [name, held] : *group) {
      held.finish();
    }
  }
}

std::pair<double, double> missed_objectives::implementation::expected_time(const std::string& id,
                                                                           const job_history& job,
                                                                           const unit_run& run) const {
  if (const auto step = step_median.find({id, run.unit.step}); step != step_median.end()) {
    return {step->second, straggler_from};
  }
  const auto queue = queue_median.find(job.queue);
  return {queue == queue_median.end() ? sound_time(run) : queue->second, straggler_in_queue_from};
}

/// The longest chain of the job's work on sound workers. The estimates tell how the steps depend on each
/// other, and the runs how far they are off.
double missed_objectives::implementation::chain_of(const std::string& id, const job_history& job) const {
  std::map<std::int64_t, std::pair<double, double>> steps;  // Measured and estimated time.
  for (const auto& run : job.runs) {
    if (run.state != run_state::done) {
      continue;
    }
    const auto [expected, from] = expected_time(id, job, run);
    const auto sound = sound_time(run);
    auto& step = steps[run.unit.step];
    step.first = std::max(step.first, sound > expected * from ? expected : sound);
    step.second = run.estimate_ms;
  }
  double measured = 0;
  double estimated = 0;
  for (const auto& [step, times] : steps) {
    measured += times.first;
    estimated += times.second;
  }
  return estimated > 0 ? job.chain_ms * measured / estimated : job.chain_ms;
}

void missed_objectives::implementation::add_final_run(const std::string& id, const job_history& job,
                                                      const unit_run& run, split& lost) const {
  const auto sound = sound_time(run);
  lost[static_cast<std::size_t>(miss_cause::slow_worker)] += run.took() - sound;
  const auto [expected, from] = expected_time(id, job, run);
  if (sound > expected * from) {
    const auto cause = run.outside_rack ? miss_cause::away_from_data : miss_cause::straggler;
    lost[static_cast<std::size_t>(cause)] += sound - expected;
  }
}

void missed_objectives::implementation::add_wait(const job_history& job, interval wait, split& lost) {
  if (wait.end <= wait.begin) {
    return;
  }
  std::int64_t away = 0;
  for (const auto& gap : gaps) {
    away += std::max<std::int64_t>(std::min(wait.end, gap.end) - std::max(wait.begin, gap.begin), 0);
  }
  lost[static_cast<std::size_t>(miss_cause::owner_away)] += static_cast<double>(away);
  lost[static_cast<std::size_t>(miss_cause::no_room)] += static_cast<double>(wait.end - wait.begin - away);
  constexpr double millis = 1000.0;
  for (const auto& [name, held] : by_queue) {
    result.held_by_queue[job.queue][name] += (held.until(wait.end) - held.until(wait.begin)) / millis;
  }
  for (const auto& [name, held] : by_team) {
    result.held_by_team[job.queue][name] += (held.until(wait.end) - held.until(wait.begin)) / millis;
  }
}

/// Follows the chain of runs and waits that ended last back to the submission.
void missed_objectives::implementation::add_chain(const std::string& id, const job_history& job,
                                                  std::int64_t end, split& lost) {
  const auto before_step = [&](std::int64_t step, std::int64_t until) {
    const unit_run* last = nullptr;
    for (const auto& run : job.runs) {
      const bool earlier = run.unit.step < step && run.ended <= until;
      if (earlier && run.state == run_state::done && (last == nullptr || run.ended > last->ended)) {
        last = &run;
      }
    }
    return last;
  };
  const unit_run* last = nullptr;
  for (const auto& run : job.runs) {
    if (run.ended <= end && (last == nullptr || run.ended > last->ended)) {
      last = &run;
    }
  }
  if (last == nullptr) {
    add_wait(job, {job.known, end}, lost);
  } else if (!job.ended) {
    add_wait(job, {last->ended, end}, lost);
  } else {
    lost[static_cast<std::size_t>(miss_cause::owner_away)] += static_cast<double>(end - last->ended);
  }
  while (last != nullptr) {
    std::vector<const unit_run*> runs;
    for (const auto& run : job.runs) {
      if (run.unit == last->unit && run.began <= last->began) {
        runs.push_back(&run);
      }
    }
    const auto first_start = runs.front()->began;
    for (std::size_t index = 0; index + 1 < runs.size(); ++index) {
      // The work is done again, and the unit waits once more.
      const auto until = runs[index + 1]->began;
      lost[static_cast<std::size_t>(cause_of(runs[index]->state))] +=
          static_cast<double>(until - runs[index]->began);
    }
    if (last->state == run_state::done || last->state == run_state::open) {
      add_final_run(id, job, *last, lost);
    } else {
      lost[static_cast<std::size_t>(cause_of(last->state))] += last->took();
    }
    const auto* before = before_step(last->unit.step, first_start);
    add_wait(job, {before == nullptr ? job.known : before->ended, first_start}, lost);
    last = before;
  }
}

void missed_objectives::implementation::judge(const std::string& id, const job_history& job) {
  if (job.known == 0) {
    if (job.first_refused) {
      ++result.queues[job.queue].never_accepted;
      missed_job missed{.job = id, .queue = job.queue, .team = job.team, .cause = miss_cause::refused};
      result.missed.push_back(std::move(missed));
    }
    return;
  }
  if (job.kind != "once") {
    return;
  }
  auto& queue = result.queues[job.queue];
  if (job.phase == "cancelled") {
    ++queue.cancelled;
    return;
  }
  const auto submitted = std::min(job.submitted, job.first_refused.value_or(job.submitted));
  const auto end = job.ended.value_or(last_time);
  const auto took = static_cast<double>(end - submitted);
  const auto stretch = job.chain_ms > 0 ? (job.objective_ms - job.target_ms) / job.chain_ms : 1.0;
  const auto objective = stretch * chain_of(id, job) + job.target_ms;
  const bool missed_estimate = took > job.objective_ms || job.phase == "failed";
  const bool missed = took > objective || job.phase == "failed";
  if (!job.ended && !missed) {
    return;  // Its time is not over.
  }
  ++queue.jobs;
  queue.missed_by_estimate += missed_estimate ? 1 : 0;
  if (!missed) {
    return;
  }
  ++queue.missed;
  missed_job each{.job = id,
                  .queue = job.queue,
                  .team = job.team,
                  .tasks = job.tasks,
                  .phase = job.phase,
                  .late_ms = std::max<std::int64_t>(static_cast<std::int64_t>(took - objective), 0)};
  if (job.first_refused && *job.first_refused < job.known) {
    each.lost_ms[static_cast<std::size_t>(miss_cause::refused)] +=
        static_cast<double>(job.known - *job.first_refused);
  } else {
    each.lost_ms[static_cast<std::size_t>(miss_cause::owner_away)] +=
        static_cast<double>(std::max<std::int64_t>(job.known - job.submitted, 0));
  }
  add_chain(id, job, end, each.lost_ms);
  const auto largest = std::max_element(each.lost_ms.begin(), each.lost_ms.end());
  constexpr double explaining_share = 0.5;
  const bool explained = *largest >= explaining_share * static_cast<double>(each.late_ms) && *largest > 0;
  each.cause = explained ? static_cast<miss_cause>(largest - each.lost_ms.begin()) : miss_cause::unexplained;
  if (job.phase == "failed") {
    each.cause = miss_cause::failed_run;
  }
  result.missed.push_back(std::move(each));
}

// ---- public ----

missed_objectives::missed_objectives() : implementation_{std::make_unique<implementation>()} {}

missed_objectives::~missed_objectives() = default;

void missed_objectives::add_line(std::string_view line) {
  auto& self = *implementation_;
  if (line.find_first_not_of(" \t\r") == std::string_view::npos) {
    return;
  }
  const auto brace = line.find('{');
  if (brace == std::string_view::npos) {
    ++self.unreadable;
    return;
  }
  line.remove_prefix(brace);
  // Most lines of a large log are spans or other events, and parsing is what costs time.
  const auto name = quick_field(line, R"("message":")");
  if (!used_events().contains(name)) {
    return;
  }
  auto fields = json::parse(line, nullptr, false);
  const auto time = fields.is_object() ? parse_time(text_of(fields, "time")) : std::nullopt;
  if (!time) {
    ++self.unreadable;
    return;
  }
  self.events.push_back({.time = *time, .name = std::string{name}, .fields = std::move(fields)});
}

missed_objectives_report missed_objectives::report() {
  auto& self = *implementation_;
  self.result = {};
  self.result.unreadable_lines = self.unreadable;
  self.jobs.clear();
  self.gaps.clear();
  self.worker_factor.clear();
  self.step_median.clear();
  self.queue_median.clear();
  self.by_queue.clear();
  self.by_team.clear();
  self.collect();
  self.judge_workers();
  self.count_stops();
  self.prepare_held();
  std::vector<const std::pair<const std::string, job_history>*> ordered;
  for (const auto& each : self.jobs) {
    ordered.push_back(&each);
  }
  std::stable_sort(ordered.begin(), ordered.end(), [](const auto* left, const auto* right) {
    return left->second.submitted < right->second.submitted;
  });
  for (const auto* each : ordered) {
    self.judge(each->first, each->second);
  }
  return std::move(self.result);
}

namespace {

std::string_view size_name(std::uint64_t tasks) {
  constexpr std::uint64_t few = 8;
  constexpr std::uint64_t many = 32;
  return tasks <= 1 ? "1 task" : tasks < few ? "2-7 tasks" : tasks < many ? "8-31 tasks" : "32+ tasks";
}

using counts = std::array<std::size_t, miss_cause_count>;

std::string table(std::string_view title, const std::map<std::string, counts>& rows) {
  auto text = fmt::format("\n{:<20}", title);
  for (const auto* name : cause_names) {
    text += fmt::format(" {:>14}", name);
  }
  text += "\n";
  for (const auto& [name, row] : rows) {
    text += fmt::format("{:<20}", name);
    for (const auto count : row) {
      text += fmt::format(" {:>14}", count);
    }
    text += "\n";
  }
  return text;
}

std::string shares(std::string_view title, const std::map<std::string, std::map<std::string, double>>& held) {
  std::string text;
  for (const auto& [waiting, holders] : held) {
    const auto total = std::accumulate(holders.begin(), holders.end(), 0.0,
                                       [](double sum, const auto& holder) { return sum + holder.second; });
    text += fmt::format("  {} waited behind {}:", waiting, title);
    std::vector<std::pair<double, std::string>> ordered;
    for (const auto& [name, core_seconds] : holders) {
      ordered.emplace_back(core_seconds, name);
    }
    std::sort(ordered.rbegin(), ordered.rend());
    constexpr double percent = 100.0;
    for (const auto& [core_seconds, name] : ordered) {
      text += fmt::format(" {} {:.0f}%", name, total > 0 ? percent * core_seconds / total : 0.0);
    }
    text += "\n";
  }
  return text;
}

}  // namespace

std::string format_report(const missed_objectives_report& report) {
  std::string text = "queue                jobs  missed  by estimate  cancelled  never accepted\n";
  for (const auto& [name, queue] : report.queues) {
    text += fmt::format("{:<20} {:>4} {:>7} {:>12} {:>10} {:>15}\n", name, queue.jobs, queue.missed,
                        queue.missed_by_estimate, queue.cancelled, queue.never_accepted);
  }
  std::map<std::string, counts> by_queue;
  std::map<std::string, counts> by_team;
  std::map<std::string, counts> by_size;
  std::map<std::string, counts> by_phase;
  std::array<double, miss_cause_count> lost{};
  for (const auto& each : report.missed) {
    const auto cause = static_cast<std::size_t>(each.cause);
    ++by_queue[each.queue][cause];
    ++by_team[each.team][cause];
    ++by_size[std::string{size_name(each.tasks)}][cause];
    ++by_phase[each.phase.empty() ? "not ended" : each.phase][cause];
    for (std::size_t index = 0; index < miss_cause_count; ++index) {
      lost[index] += each.lost_ms[index];
    }
  }
  text += table("by queue", by_queue);
  text += table("by team", by_team);
  text += table("by size", by_size);
  text += table("by end", by_phase);
  text += fmt::format("{:<20}", "lost, s, all missed");
  constexpr double millis = 1000.0;
  for (const auto each : lost) {
    text += fmt::format(" {:>14.0f}", each / millis);
  }
  text += fmt::format("\n\nslow workers: {} of {} with enough runs\nruns: {}\n", report.slow_workers,
                      report.judged_workers, report.runs);
  for (const auto& [how, stopped] : report.stopped) {
    text += fmt::format("  {} {}: {:.0f} core-seconds, {:.0f} of them of runs that save\n", stopped.runs, how,
                        stopped.core_seconds, stopped.core_seconds_of_saving);
  }
  for (const auto& [queues, count] : report.stopped_for) {
    text += fmt::format("  {} runs of {} stopped for {}\n", count, queues.first, queues.second);
  }
  text += shares("queues", report.held_by_queue);
  text += shares("teams", report.held_by_team);
  return text;
}

}  // namespace rhubarbpath

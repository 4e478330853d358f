// Replays arrival lists with logical time against placement and against small baselines.

#include "rhubarbpath/coordination/placement.hpp"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <bit>
#include <chrono>
#include <cmath>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <new>
#include <numeric>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "rhubarbpath/state/random.hpp"

namespace {

std::uint64_t allocated_bytes = 0;

}  // namespace

// Counts the bytes that a decision allocates.
__attribute__((noinline)) void* operator new(std::size_t size) {
  allocated_bytes += size;
  void* memory = std::malloc(size);
  if (memory == nullptr) {
    std::abort();
  }
  return memory;
}
__attribute__((noinline)) void operator delete(void* memory) noexcept {
  std::free(memory);
}
__attribute__((noinline)) void operator delete(void* memory, std::size_t /*size*/) noexcept {
  std::free(memory);
}

namespace rhubarbpath {
namespace {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

const failure_domain_id domain{"fd"};
const instant midday{hours{24 * 365 + 12}};

/// Time from a preemption to the end of the attempt, with its checkpoint.
constexpr duration stop_time = seconds{2};
/// Time that an attempt after the first spends on loading its checkpoint.
constexpr duration restart_time = seconds{20};
/// Interval of periodic checkpoints: what a worker failure loses at most.
constexpr duration checkpoint_interval = minutes{10};
/// A worker that fails every task fails it after this time.
constexpr duration bad_worker_time = seconds{15};
/// Section 5.1 of the design: urgent work of an unclaimed guarantee starts within this time.
constexpr duration start_bound = std::chrono::milliseconds{2700};
constexpr duration shortest_for_slowdown = seconds{10};

struct sim_job {
  job_spec spec;
  instant arrival{};
  duration run_time{};
  std::optional<instant> cancel_at;
};

struct fault {
  instant at{};
  int first_worker{0};
  int workers{0};
  duration length{};
};

struct arrival_list {
  std::string name;
  std::shared_ptr<environment_document> document;
  std::vector<sim_job> jobs;
  std::vector<fault> faults;
  std::set<int> bad_workers;
};

double as_seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}
duration from_seconds(double value) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

/// What a policy may do to the simulated fleet.
class fleet_control {
 public:
  virtual ~fleet_control() = default;
  virtual void start(int job, const std::vector<cell_block>& cells) = 0;
  virtual void preempt(int job) = 0;
  virtual void give_up(int job) = 0;
};

class policy {
 public:
  virtual ~policy() = default;
  virtual void submit(int job, instant now) = 0;
  virtual void cancel(int job, instant now) = 0;
  virtual void ended(int job, placement::end_cause cause, int worker, duration attained, instant now) = 0;
  virtual void worker_changed(int worker, bool up, instant now) = 0;
  [[nodiscard]] virtual std::optional<instant> next_tick() const { return std::nullopt; }
  virtual void tick(instant /*now*/) {}
};

struct result {
  std::vector<double> completion;
  std::map<std::string, std::vector<double>> slowdown;
  double unusable_time{0};  ///< Accelerator-seconds that were idle and unusable.
  double idle_time{0};
  double floor_time{0};  ///< Of `unusable_time`, what no arrangement of the same number of idle ones avoids.
  int broken{0};
  int preemptions{0};
  int unfinished{0};
  [[nodiscard]] double fragmentation() const { return idle_time > 0 ? unusable_time / idle_time : 0; }
  void add(const result& other) {
    completion.insert(completion.end(), other.completion.begin(), other.completion.end());
    for (const auto& [name, values] : other.slowdown) {
      slowdown[name].insert(slowdown[name].end(), values.begin(), values.end());
    }
    unusable_time += other.unusable_time;
    idle_time += other.idle_time;
    floor_time += other.floor_time;
    broken += other.broken;
    preemptions += other.preemptions;
    unfinished += other.unfinished;
  }
};

/// Logical-time simulation of one list under one policy.
class simulation : public fleet_control {
 public:
  explicit simulation(const arrival_list& list)
      : list_{list},
        topology_{std::make_shared<const fleet_topology>(*list.document, domain)},
        tree_{topology_},
        empty_{topology_},
        states_(list.jobs.size()) {
    for (const auto& team : list.document->teams) {
      for (const auto& guarantee : team.guarantees) {
        guaranteed_shapes_.push_back(guarantee.shape);
        room_[{team.id, key_of(guarantee.shape)}] += guarantee.count;
      }
    }
  }

  [[nodiscard]] const std::shared_ptr<const fleet_topology>& topology() const { return topology_; }
  [[nodiscard]] const cell_tree& tree() const { return tree_; }
  [[nodiscard]] const arrival_list& list() const { return list_; }

  result run(policy& subject) {
    for (int job = 0; job < static_cast<int>(list_.jobs.size()); ++job) {
      push(list_.jobs[job].arrival, kind::arrive, job, 0);
      if (list_.jobs[job].cancel_at) {
        push(*list_.jobs[job].cancel_at, kind::cancel, job, 0);
      }
    }
    for (int index = 0; index < static_cast<int>(list_.faults.size()); ++index) {
      push(list_.faults[index].at, kind::fault_begin, index, 0);
      push(list_.faults[index].at + list_.faults[index].length, kind::fault_end, index, 0);
    }
    const instant last = midday + hours{24 * 20};
    while (!events_.empty() && open_jobs_ + arrivals_left() > 0 && events_.top().at < last) {
      const auto event = events_.top();
      events_.pop();
      advance(event.at);
      apply(event, subject);
      schedule_tick(subject);
    }
    outcome_.unfinished = open_jobs_;
    return std::move(outcome_);
  }

  void start(int job, const std::vector<cell_block>& cells) override {
    auto& state = states_[job];
    state.cells = cells;
    state.active = true;
    state.started = now_;
    ++state.attempt;
    set_waiting(job, false);
    for (const auto& cell : cells) {
      tree_.use(cell);
      tasks_[cell.worker].insert(job);
    }
    if (list_.jobs[job].spec.guaranteed && state.bounded && state.attempt == 1 &&
        now_ - list_.jobs[job].arrival > start_bound) {
      ++outcome_.broken;
    }
    for (const auto& cell : cells) {
      if (list_.bad_workers.count(cell.worker) != 0) {
        state.failing = cell.worker;
        return push(now_ + bad_worker_time, kind::fail, job, state.attempt);
      }
    }
    const duration overhead = state.attempt > 1 ? restart_time : duration{0};
    push(now_ + overhead + list_.jobs[job].run_time - state.done, kind::finish, job, state.attempt);
  }

  void preempt(int job) override {
    ++outcome_.preemptions;
    push(now_ + stop_time, kind::stop, job, states_[job].attempt);
  }

  void give_up(int job) override {
    set_waiting(job, false);
    --open_jobs_;
    ++outcome_.unfinished;
    states_[job].over = true;
    abandoned_.push_back(job);
  }

 private:
  enum class kind { arrive, cancel, finish, stop, fail, fault_begin, fault_end, tick };
  struct queued {
    instant at{};
    std::uint64_t sequence{0};
    kind what{kind::tick};
    int index{0};
    int attempt{0};
    friend bool operator>(const queued& left, const queued& right) {
      return std::pair{left.at, left.sequence} > std::pair{right.at, right.sequence};
    }
  };
  struct job_state_of {
    std::vector<cell_block> cells;
    instant started{};
    duration done{};
    int attempt{0};
    int failing{-1};
    bool active{false};
    bool waiting{false};
    bool over{false};
    bool bounded{false};  ///< Its team had unclaimed guaranteed space when it arrived.
  };
  using shape_key = std::tuple<int, int, int>;
  static shape_key key_of(const accelerator_shape& shape) {
    return {shape.accelerators_per_member, shape.members, static_cast<int>(shape.within)};
  }

  void push(instant at, kind what, int index, int attempt) {
    events_.push({at, next_sequence_++, what, index, attempt});
  }
  [[nodiscard]] int arrivals_left() const { return static_cast<int>(list_.jobs.size()) - arrived_; }

  void schedule_tick(const policy& subject) {
    const auto next = subject.next_tick();
    if (next && (!tick_at_ || *next < *tick_at_)) {
      tick_at_ = std::max(*next, now_);
      push(*tick_at_, kind::tick, 0, 0);
    }
  }

  void set_waiting(int job, bool waiting) {
    auto& state = states_[job];
    if (state.waiting == waiting) {
      return;
    }
    state.waiting = waiting;
    auto& count = waiting_shapes_[key_of(list_.jobs[job].spec.shape)];
    count.first = list_.jobs[job].spec.shape;
    count.second += waiting ? 1 : -1;
  }

  void advance(instant at) {
    const double elapsed = as_seconds(at - now_);
    now_ = at;
    int idle = tree_.open_accelerators();
    // After the last arrival an emptying fleet says nothing about packing.
    if (elapsed <= 0 || idle == 0 || arrivals_left() == 0) {
      return;
    }
    std::vector<accelerator_shape> shapes = guaranteed_shapes_;
    for (const auto& [key, count] : waiting_shapes_) {
      if (count.second > 0) {
        shapes.push_back(count.first);
      }
    }
    double unusable = 0;
    double floor = 0;
    for (const auto& shape : shapes) {
      unusable += idle - tree_.usable_accelerators(shape);
      const int best = idle / shape.accelerators() * shape.accelerators();
      floor += idle - std::min(best, empty_.usable_accelerators(shape));
    }
    outcome_.unusable_time += elapsed * unusable / static_cast<double>(shapes.size());
    outcome_.floor_time += elapsed * floor / static_cast<double>(shapes.size());
    outcome_.idle_time += elapsed * idle;
  }

  void apply(const queued& event, policy& subject) {
    switch (event.what) {
      case kind::arrive:
        return arrive(event.index, subject);
      case kind::cancel:
        return cancel(event.index, subject);
      case kind::tick:
        tick_at_.reset();
        return subject.tick(now_);
      case kind::fault_begin:
      case kind::fault_end:
        return change_workers(list_.faults[event.index], event.what == kind::fault_end, subject);
      default:
        break;
    }
    const auto& state = states_[event.index];
    if (!state.active || state.attempt != event.attempt) {
      return;
    }
    end_attempt(event.index,
                event.what == kind::finish ? placement::end_cause::finished
                : event.what == kind::fail ? placement::end_cause::failed
                                           : placement::end_cause::preempted,
                event.what == kind::fail ? state.failing : -1, subject);
  }

  void arrive(int job, policy& subject) {
    ++arrived_;
    ++open_jobs_;
    const auto& spec = list_.jobs[job].spec;
    if (spec.guaranteed) {
      auto& room = room_[{spec.team, key_of(spec.shape)}];
      states_[job].bounded = room > 0 && lost_workers_ == 0;
      --room;
    }
    set_waiting(job, true);
    subject.submit(job, now_);
  }

  void cancel(int job, policy& subject) {
    auto& state = states_[job];
    if (state.over) {
      return;
    }
    if (state.active) {
      release(job);
      close(job);
      subject.ended(job, placement::end_cause::cancelled, -1, duration{0}, now_);
    } else {
      set_waiting(job, false);
      close(job);
      subject.cancel(job, now_);
    }
  }

  void release(int job) {
    auto& state = states_[job];
    for (const auto& cell : state.cells) {
      tree_.release(cell);
      tasks_[cell.worker].erase(job);
    }
    state.cells.clear();
    state.active = false;
  }

  void close(int job) {
    states_[job].over = true;
    --open_jobs_;
    const auto& spec = list_.jobs[job].spec;
    if (spec.guaranteed) {
      ++room_[{spec.team, key_of(spec.shape)}];
    }
  }

  void end_attempt(int job, placement::end_cause cause, int worker, policy& subject) {
    auto& state = states_[job];
    const auto& spec = list_.jobs[job].spec;
    const duration overhead = state.attempt > 1 ? restart_time : duration{0};
    duration attained = std::max(now_ - state.started - overhead, duration{0});
    if (cause == placement::end_cause::failed) {
      attained = state.failing >= 0 ? duration{0} : attained / checkpoint_interval * checkpoint_interval;
    }
    attained = spec.checkpointable || cause == placement::end_cause::finished ? attained : duration{0};
    state.done += attained;
    state.failing = -1;
    release(job);
    if (cause == placement::end_cause::finished) {
      const double completion = as_seconds(now_ - list_.jobs[job].arrival);
      outcome_.completion.push_back(completion);
      outcome_.slowdown[spec.job_class.value()].push_back(
          completion / as_seconds(std::max(list_.jobs[job].run_time, shortest_for_slowdown)));
      close(job);
    } else {
      set_waiting(job, true);
    }
    subject.ended(job, cause, worker, attained, now_);
  }

  void change_workers(const fault& lost, bool up, policy& subject) {
    lost_workers_ += up ? -lost.workers : lost.workers;
    std::set<int> ending;
    for (int worker = lost.first_worker; worker < lost.first_worker + lost.workers; ++worker) {
      tree_.set_unusable(worker, !up);
      ending.insert(tasks_[worker].begin(), tasks_[worker].end());
      subject.worker_changed(worker, up, now_);
    }
    for (const int job : ending) {
      if (states_[job].active) {
        end_attempt(job, placement::end_cause::failed, lost.first_worker, subject);
      }
    }
  }

  const arrival_list& list_;
  std::shared_ptr<const fleet_topology> topology_;
  cell_tree tree_;
  cell_tree empty_;
  std::vector<job_state_of> states_;
  std::priority_queue<queued, std::vector<queued>, std::greater<>> events_;
  std::uint64_t next_sequence_{0};
  std::map<int, std::set<int>> tasks_;
  std::map<shape_key, std::pair<accelerator_shape, int>> waiting_shapes_;
  std::map<std::pair<team_id, shape_key>, int> room_;
  std::vector<accelerator_shape> guaranteed_shapes_;
  std::vector<int> abandoned_;
  std::optional<instant> tick_at_;
  instant now_{midday};
  int open_jobs_{0};
  int arrived_{0};
  int lost_workers_{0};
  result outcome_;
};

/// The library's placement behind the policy interface.
class library_policy : public policy {
 public:
  library_policy(simulation& fleet, placement::options opts) : fleet_{fleet}, subject_{opts} {
    send(placement::document_changed{fleet.list().document, domain}, midday);
  }
  void submit(int job, instant now) override {
    send(placement::job_submitted{id_of(job), fleet_.list().jobs[job].spec}, now);
  }
  void cancel(int job, instant now) override { send(placement::job_cancelled{id_of(job)}, now); }
  void ended(int job, placement::end_cause cause, int worker, duration attained, instant now) override {
    const auto record = subject_.record(id_of(job));
    if (!record) {
      return;
    }
    const worker_id where = worker < 0 ? worker_id{} : fleet_.topology()->id(worker);
    send(placement::attempt_ended{id_of(job), record->attempt, cause, where, attained}, now);
  }
  void worker_changed(int worker, bool up, instant now) override {
    const auto& id = fleet_.topology()->id(worker);
    if (up) {
      send(placement::worker_up{id}, now);
    } else {
      send(placement::worker_down{id}, now);
    }
  }
  [[nodiscard]] std::optional<instant> next_tick() const override { return subject_.next_deadline(); }
  void tick(instant now) override { send(placement::tick{}, now); }

 private:
  static job_id id_of(int job) { return job_id{std::to_string(job)}; }
  static int index_of(const job_id& id) { return std::stoi(id.value()); }

  void send(const placement_event& event, instant now) {
    std::vector<placement_action> actions;
    subject_.handle(event, now, actions);
    for (const auto& action : actions) {
      if (const auto* place = std::get_if<placement::place_job>(&action)) {
        std::vector<cell_block> cells;
        for (const auto& member : place->placement) {
          cells.push_back({*fleet_.topology()->find(member.worker), member.accelerators});
        }
        fleet_.start(index_of(place->id), cells);
      } else if (const auto* stop = std::get_if<placement::preempt_job>(&action)) {
        fleet_.preempt(index_of(stop->id));
      } else if (const auto* refused = std::get_if<placement::refuse_job>(&action)) {
        fleet_.give_up(index_of(refused->id));
      } else if (const auto* ended = std::get_if<placement::end_job>(&action)) {
        if (ended->state == job_state::failed) {
          fleet_.give_up(index_of(ended->id));
        }
      }
    }
  }

  simulation& fleet_;
  placement subject_;
};

/// Queue in arrival order; the variants differ in what they do behind a blocked head and in where they place.
class baseline_policy : public policy {
 public:
  enum class variant { first_in_first_out, backfill, quota };
  baseline_policy(simulation& fleet, variant kind) : fleet_{fleet}, variant_{kind} {
    for (const auto& team : fleet.list().document->teams) {
      for (const auto& guarantee : team.guarantees) {
        quota_[team.id] += guarantee.shape.accelerators() * guarantee.count;
      }
    }
  }
  void submit(int job, instant /*now*/) override {
    waiting_.insert(job);
    schedule();
  }
  void cancel(int job, instant /*now*/) override {
    waiting_.erase(job);
    schedule();
  }
  void ended(int job, placement::end_cause cause, int /*worker*/, duration /*attained*/,
             instant /*now*/) override {
    stopping_.erase(job);
    if (const auto found = running_.find(job); found != running_.end()) {
      used_[spec(job).team] -= spec(job).guaranteed ? spec(job).shape.accelerators() : 0;
      running_.erase(found);
    }
    if (cause == placement::end_cause::failed || cause == placement::end_cause::preempted) {
      waiting_.insert(job);
    }
    schedule();
  }
  void worker_changed(int /*worker*/, bool /*up*/, instant /*now*/) override { schedule(); }

 private:
  [[nodiscard]] const job_spec& spec(int job) const { return fleet_.list().jobs[job].spec; }
  [[nodiscard]] bool in_quota(int job) {
    const auto& wanted = spec(job);
    return wanted.guaranteed && used_[wanted.team] + wanted.shape.accelerators() <= quota_[wanted.team];
  }

  /// The first place in the order of workers, over the masks given.
  [[nodiscard]] std::optional<std::vector<cell_block>> first_fit(
      const accelerator_shape& shape, const std::function<std::uint32_t(int)>& mask_of) const {
    const auto& topology = *fleet_.topology();
    std::vector<cell_block> cells;
    int place = -1;
    for (int worker = 0; worker < topology.workers(); ++worker) {
      const int here = shape.within == proximity::worker ? worker
                       : shape.within == proximity::rack ? topology.rack_of(worker)
                                                         : 0;
      if (here != place) {
        cells.clear();
        place = here;
      }
      const int size = shape.accelerators_per_member;
      const std::uint32_t mask = mask_of(worker);
      for (int position = 0; position + size <= 32; position += size) {
        const std::uint32_t group = ((std::uint32_t{1} << size) - 1) << position;
        if ((mask & group) == group) {
          cells.push_back({worker, group});
        }
        if (static_cast<int>(cells.size()) == shape.members) {
          return cells;
        }
      }
    }
    return std::nullopt;
  }

  bool try_start(int job) {
    const auto open = [this](int worker) { return fleet_.tree().open(worker); };
    auto cells = variant_ == variant::backfill ? fleet_.tree().best_fit(spec(job).shape)
                                               : first_fit(spec(job).shape, open);
    if (!cells) {
      return false;
    }
    waiting_.erase(job);
    running_[job] = *cells;
    used_[spec(job).team] += spec(job).guaranteed ? spec(job).shape.accelerators() : 0;
    fleet_.start(job, *cells);
    return true;
  }

  /// Preempts work outside quotas on the first place where nothing else runs.
  void reclaim(int job) {
    std::map<int, std::uint32_t> kept;
    for (const auto& [other, cells] : running_) {
      for (const auto& cell : cells) {
        kept[cell.worker] |= spec(other).guaranteed ? cell.mask : 0;
      }
    }
    const auto cells = first_fit(spec(job).shape, [&](int worker) {
      return fleet_.tree().lost(worker) ? 0 : fleet_.topology()->capacity(worker) & ~kept[worker];
    });
    for (const auto& [other, theirs] : running_) {
      const bool overlaps = cells && std::any_of(theirs.begin(), theirs.end(), [&](const cell_block& one) {
                              return std::any_of(cells->begin(), cells->end(), [&](const cell_block& two) {
                                return one.worker == two.worker && (one.mask & two.mask) != 0;
                              });
                            });
      if (overlaps && stopping_.insert(other).second) {
        fleet_.preempt(other);
      }
    }
  }

  void schedule() {
    if (variant_ == variant::quota) {
      bool blocked = false;
      for (const int job : std::vector<int>(waiting_.begin(), waiting_.end())) {
        if (in_quota(job) && !try_start(job)) {
          reclaim(job);
          blocked = true;
        }
      }
      // Space that is being reclaimed is not lent again.
      if (blocked && !stopping_.empty()) {
        return;
      }
    }
    std::vector<accelerator_shape> failed;
    for (const int job : std::vector<int>(waiting_.begin(), waiting_.end())) {
      if (variant_ == variant::quota && spec(job).guaranteed) {
        continue;
      }
      if (std::find(failed.begin(), failed.end(), spec(job).shape) != failed.end()) {
        continue;
      }
      if (!try_start(job)) {
        failed.push_back(spec(job).shape);
        if (variant_ == variant::first_in_first_out) {
          return;
        }
      }
    }
  }

  simulation& fleet_;
  variant variant_;
  std::set<int> waiting_;  ///< In the order of arrival.
  std::map<int, std::vector<cell_block>> running_;
  std::set<int> stopping_;
  std::map<team_id, int> quota_;
  std::map<team_id, int> used_;
};

std::shared_ptr<environment_document> make_fleet(int racks, int workers_per_rack, bool lagos) {
  auto document = std::make_shared<environment_document>();
  document->failure_domains = {{domain, region_id{"region"}}};
  for (int rack = 0; rack < racks; ++rack) {
    const rack_id id{fmt::format("rack{:04}", rack)};
    document->racks.push_back({id, domain});
    for (int worker = 0; worker < workers_per_rack; ++worker) {
      worker_spec spec;
      spec.id = worker_id{fmt::format("{}-{:02}", id.value(), worker)};
      spec.rack = id;
      document->workers.push_back(spec);
    }
  }
  const auto team = [&](const char* id, accelerator_shape shape, int count) {
    team_spec spec;
    spec.id = team_id{id};
    spec.guarantees = {{shape, count, {}}};
    spec.max_waiting_jobs = 1'000'000;
    document->teams.push_back(spec);
  };
  team("large", {8, lagos ? 8 : 4, proximity::rack}, lagos ? 2 : 3);
  team("middle", {8, lagos ? 4 : 2, proximity::rack}, lagos ? 2 : 4);
  team("worker", {8, 1, proximity::worker}, 6);
  team("small", {lagos ? 2 : 4, 1, proximity::worker}, lagos ? 16 : 8);
  document->job_classes = {
      {class_id{"urgent"}, 0, {}}, {class_id{"normal"}, 1, {}}, {class_id{"batch"}, 2, duration{hours{5}}}};
  return document;
}

/// Draws jobs until the offered load of the period is reached.
class generator {
 public:
  generator(std::uint64_t seed, std::shared_ptr<environment_document> document)
      : random_{seed}, document_{std::move(document)} {}

  struct mix {
    double load{0.9};  ///< Offered accelerator time as a share of the fleet's.
    duration period{hours{24}};
    double small_share{0.8};  ///< Share of the jobs with at most 4 accelerators.
    double guaranteed_share{0.15};
    double mean_seconds_small{1500};
    double mean_seconds_large{7200};
    double declared_error{1.5};  ///< Declared run times are wrong by up to this factor.
    int largest_gang{8};
  };

  std::vector<sim_job> draw(const mix& wanted) {
    const double capacity = 8.0 * static_cast<double>(document_->workers.size());
    const double budget = wanted.load * capacity * as_seconds(wanted.period);
    std::vector<sim_job> jobs;
    double sum = 0;
    while (sum < budget) {
      jobs.push_back(draw_one(wanted));
      sum += as_seconds(jobs.back().run_time) * jobs.back().spec.shape.accelerators();
    }
    sort(jobs);
    return jobs;
  }

  static void sort(std::vector<sim_job>& jobs) {
    std::stable_sort(jobs.begin(), jobs.end(),
                     [](const sim_job& left, const sim_job& right) { return left.arrival < right.arrival; });
  }

  sim_job draw_one(const mix& wanted) {
    sim_job job;
    job.arrival = midday + from_seconds(random_.fraction() * as_seconds(wanted.period));
    const auto& team = document_->teams[random_.below(document_->teams.size())];
    job.spec.team = team.id;
    job.spec.checkpointable = random_.fraction() < 0.8;
    const bool small = random_.fraction() < wanted.small_share;
    job.spec.guaranteed = random_.fraction() < wanted.guaranteed_share;
    if (job.spec.guaranteed) {
      job.spec.shape = team.guarantees.front().shape;
      job.spec.job_class = class_id{"urgent"};
    } else if (small) {
      job.spec.shape = {1 << random_.below(3), 1, proximity::worker};
      job.spec.job_class = class_id{random_.fraction() < 0.3 ? "urgent" : "normal"};
    } else {
      const int members = 1 << random_.below(std::bit_width(static_cast<unsigned>(wanted.largest_gang)));
      job.spec.shape = {8, members, proximity::rack};
      job.spec.job_class = class_id{random_.fraction() < 0.5 ? "batch" : "normal"};
    }
    const bool long_run = !small && !job.spec.guaranteed;
    job.run_time = run_time(long_run ? wanted.mean_seconds_large : wanted.mean_seconds_small);
    const double error = std::pow(wanted.declared_error, 2 * random_.fraction() - 1);
    job.spec.declared_run_time = from_seconds(as_seconds(job.run_time) * error);
    return job;
  }

  /// Hyperexponential: nine of ten jobs are short, the tenth is long.
  duration run_time(double mean) {
    const double share = random_.fraction() < 0.9 ? 0.5 : 5.5;
    const double drawn = -std::log(1 - random_.fraction()) * mean * share;
    return from_seconds(std::clamp(drawn, 20.0, 12 * mean));
  }

  [[nodiscard]] random_source& random() { return random_; }

 private:
  random_source random_;
  std::shared_ptr<environment_document> document_;
};

std::vector<arrival_list> make_lists(std::uint64_t seed) {
  const auto hobart = make_fleet(9, 6, false);
  const auto lagos = make_fleet(7, 8, true);
  std::vector<arrival_list> lists;
  const auto add = [&](const char* name, const auto& fleet, const generator::mix& wanted) -> arrival_list& {
    generator source{seed + lists.size(), fleet};
    lists.push_back({name, fleet, source.draw(wanted), {}, {}});
    return lists.back();
  };
  auto& concert = add("concert eve", hobart, {.load = 0.75, .largest_gang = 4});
  generator evening{seed + 100, hobart};
  for (int extra = 0; extra < 400; ++extra) {
    auto job = evening.draw_one(
        {.period = hours{2}, .small_share = 1, .guaranteed_share = 0.3, .mean_seconds_small = 600});
    job.arrival += hours{7};
    job.spec.job_class = class_id{"urgent"};
    concert.jobs.push_back(job);
  }
  generator::sort(concert.jobs);
  add("overnight batch", lagos,
      {.load = 0.9, .small_share = 0.93, .guaranteed_share = 0.05, .mean_seconds_small = 1200});
  add("declared wrong", hobart, {.load = 0.9, .declared_error = 5, .largest_gang = 4});
  auto& wave = add("cancellation wave", hobart, {.load = 1.1, .largest_gang = 4});
  generator waves{seed + 200, hobart};
  for (auto& job : wave.jobs) {
    const instant at = midday + hours{8} + from_seconds(60 * waves.random().fraction());
    if (job.arrival < at && waves.random().fraction() < 0.6) {
      job.cancel_at = at;
    }
  }
  add("bad workers", lagos, {.load = 0.8}).bad_workers = {3, 17, 18, 40};
  add("rack lost", lagos, {.load = 0.8}).faults = {{midday + hours{6}, 16, 8, hours{3}}};
  auto& all = add("all teams reclaim", hobart, {.load = 0.9, .guaranteed_share = 0.05, .largest_gang = 4});
  generator claims{seed + 300, hobart};
  for (const auto& team : hobart->teams) {
    for (int copy = 0; copy < team.guarantees.front().count; ++copy) {
      auto job = claims.draw_one({.period = seconds{1}, .guaranteed_share = 1});
      job.spec.team = team.id;
      job.spec.shape = team.guarantees.front().shape;
      job.arrival += hours{8};
      all.jobs.push_back(job);
    }
  }
  generator::sort(all.jobs);
  return lists;
}

double mean(const std::vector<double>& values) {
  return values.empty()
             ? 0
             : std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

double quantile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

/// No schedule has a lower mean: the larger of the mean run time and of the mean under shortest remaining
/// work first, when all accelerators work on one job at a time without loss.
double lower_bound(const arrival_list& list) {
  const double capacity = 8.0 * static_cast<double>(list.document->workers.size());
  std::set<std::pair<double, int>> open;
  std::vector<double> completion;
  std::vector<double> run_times;
  double now = 0;
  const auto work_until = [&](double until) {
    while (!open.empty() && now < until) {
      auto [left, job] = *open.begin();
      open.erase(open.begin());
      const double finish = now + left / capacity;
      if (finish > until) {
        open.emplace(left - (until - now) * capacity, job);
        now = until;
        return;
      }
      now = finish;
      completion.push_back(now - as_seconds(list.jobs[job].arrival - midday));
    }
    now = std::max(now, until);
  };
  for (int index = 0; index < static_cast<int>(list.jobs.size()); ++index) {
    const auto& job = list.jobs[index];
    if (job.cancel_at) {
      continue;
    }
    work_until(as_seconds(job.arrival - midday));
    open.emplace(as_seconds(job.run_time) * job.spec.shape.accelerators(), index);
    run_times.push_back(as_seconds(job.run_time));
  }
  work_until(1e12);
  return std::max(mean(completion), mean(run_times));
}

void print_row(const std::string& name, const result& found) {
  const auto slow = [&](const char* of) {
    const auto at = found.slowdown.find(of);
    return at == found.slowdown.end() ? 0.0 : mean(at->second);
  };
  fmt::print("  {:<22}{:>9.0f}{:>9.0f}{:>9.0f}{:>9.1f}{:>9.1f}{:>9.1f}{:>9.3f}{:>9.3f}{:>8}{:>9}{:>6}\n",
             name, mean(found.completion), quantile(found.completion, 0.5), quantile(found.completion, 0.99),
             slow("urgent"), slow("normal"), slow("batch"), found.fragmentation(),
             found.idle_time > 0 ? found.floor_time / found.idle_time : 0, found.broken, found.preemptions,
             found.unfinished);
}

/// All policies on one list, added up over the seeds.
struct comparison {
  std::map<std::string, result> found;
  std::vector<double> lower_bounds;
  std::size_t jobs{0};
};

constexpr std::pair<const char*, baseline_policy::variant> baselines[] = {
    {"first in first out", baseline_policy::variant::first_in_first_out},
    {"backfill best fit", baseline_policy::variant::backfill},
    {"quota without cells", baseline_policy::variant::quota}};
constexpr const char* own_name = "rhubarbpath";

void compare(const arrival_list& list, const placement::options& opts, comparison& into) {
  into.jobs += list.jobs.size();
  into.lower_bounds.push_back(lower_bound(list));
  for (const auto& [name, kind] : baselines) {
    simulation fleet{list};
    baseline_policy subject{fleet, kind};
    into.found[name].add(fleet.run(subject));
  }
  simulation fleet{list};
  library_policy subject{fleet, opts};
  into.found[own_name].add(fleet.run(subject));
}

int replay(std::uint64_t first_seed, int seeds, int migrations, const placement::options& opts,
           const std::string& only) {
  std::vector<std::string> names;
  std::map<std::string, comparison> lists;
  for (int index = 0; index < seeds; ++index) {
    for (const auto& list : make_lists(first_seed + 1000 * static_cast<std::uint64_t>(index))) {
      list.document->budget.migrations_per_hour = migrations;
      if (only.empty() || list.name == only) {
        if (index == 0) {
          names.push_back(list.name);
        }
        compare(list, opts, lists[list.name]);
      }
    }
  }
  int won = 0;
  int behind = 0;
  int fragmented = 0;
  int broken = 0;
  for (const auto& name : names) {
    const auto& list = lists[name];
    fmt::print("{} ({} jobs in {} seeds); lower bound of the mean completion time {:.0f} s\n", name,
               list.jobs, seeds, mean(list.lower_bounds));
    fmt::print("  {:<22}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>8}{:>9}{:>6}\n", "policy", "mean s",
               "p50 s", "p99 s", "sl.urg", "sl.norm", "sl.batch", "frag", "floor", "broken", "preempt",
               "left");
    double best = 1e300;
    for (const auto& [baseline, kind] : baselines) {
      print_row(baseline, list.found.at(baseline));
      best = std::min(best, mean(list.found.at(baseline).completion));
    }
    const auto& own = list.found.at(own_name);
    print_row(own_name, own);
    const double ours = mean(own.completion);
    const double share =
        own.fragmentation() / std::max(list.found.at("quota without cells").fragmentation(), 1e-9);
    fmt::print(
        "  mean / best baseline {:.3f} (target <= 1); fragmentation / quota {:.3f} (target <= 0.5); "
        "broken {} (target 0)\n",
        ours / best, share, own.broken);
    won += ours < best ? 1 : 0;
    behind += ours > best ? 1 : 0;
    fragmented += share > 0.5 ? 1 : 0;
    broken += own.broken;
  }
  fmt::print(
      "{} lists: mean better on {}, worse on {}; fragmentation target missed on {}; guarantees broken {}\n",
      names.size(), won, behind, fragmented, broken);
  return 0;
}

/// One fleet size: about three tasks per worker, 160 teams, one end and one submission per round.
void measure_scale(int workers, int rounds, std::uint64_t seed) {
  constexpr int workers_per_rack = 8;
  auto document = make_fleet(std::max(1, workers / workers_per_rack), workers_per_rack, true);
  document->teams.clear();
  constexpr int teams = 160;
  const int guaranteed = std::max(1, workers / (3 * teams));
  for (int team = 0; team < teams; ++team) {
    team_spec spec;
    spec.id = team_id{fmt::format("team{}", team)};
    if (team < workers / 3) {
      spec.guarantees = {{{8, 1, proximity::worker}, guaranteed, {}}};
    }
    document->teams.push_back(spec);
  }
  random_source random{seed};
  placement subject{placement::options{}};
  std::vector<placement_action> actions;
  instant now = midday;
  std::deque<std::pair<job_id, attempt_number>> running;
  std::vector<double> times;
  std::vector<double> bytes;
  int next = 0;
  std::uint64_t decisions = 0;
  const auto send = [&](const placement_event& event, bool measured) {
    actions.clear();
    const auto bytes_before = allocated_bytes;
    const auto before = std::chrono::steady_clock::now();
    subject.handle(event, now, actions);
    const std::chrono::duration<double, std::nano> taken = std::chrono::steady_clock::now() - before;
    if (measured) {
      times.push_back(taken.count());
      bytes.push_back(static_cast<double>(allocated_bytes - bytes_before));
    }
    for (const auto& action : actions) {
      if (const auto* place = std::get_if<placement::place_job>(&action)) {
        running.emplace_back(place->id, place->attempt);
        decisions += measured ? 1 : 0;
      }
    }
    std::vector<placement_action> stopped;
    for (const auto& action : std::vector(actions)) {
      if (const auto* stop = std::get_if<placement::preempt_job>(&action)) {
        running.erase(std::find(running.begin(), running.end(), std::pair{stop->id, stop->attempt}));
        subject.handle(
            placement::attempt_ended{stop->id, stop->attempt, placement::end_cause::preempted, {}, {}}, now,
            stopped);
      }
    }
    for (const auto& action : stopped) {
      if (const auto* place = std::get_if<placement::place_job>(&action)) {
        running.emplace_back(place->id, place->attempt);
      }
    }
  };
  const auto submit = [&](bool measured) {
    job_spec spec;
    spec.team = team_id{fmt::format("team{}", random.below(teams))};
    spec.job_class = class_id{"normal"};
    const auto kind = random.below(100);
    spec.shape = kind < 90   ? accelerator_shape{2, 1, proximity::worker}
                 : kind < 99 ? accelerator_shape{8, 1, proximity::worker}
                             : accelerator_shape{8, 8, proximity::rack};
    if (measured && kind == 98) {
      spec.team = team_id{fmt::format("team{}", random.below(std::min(teams, workers / 3)))};
      spec.guaranteed = true;
    }
    send(placement::job_submitted{job_id{std::to_string(next++)}, spec}, measured);
  };
  send(placement::document_changed{document, domain}, false);
  while (static_cast<int>(running.size()) < 3 * workers && next < 4 * workers) {
    submit(false);
  }
  const auto tasks = running.size();
  for (int round = 0; round < rounds; ++round) {
    now += seconds{1};
    if (!running.empty()) {
      const auto index = static_cast<std::ptrdiff_t>(random.below(running.size()));
      const auto [id, attempt] = running[index];
      running.erase(running.begin() + index);
      send(placement::attempt_ended{id, attempt, placement::end_cause::finished, {}, minutes{5}}, true);
    }
    submit(true);
    if (const auto due = subject.next_deadline(); due && *due <= now) {
      send(placement::tick{}, true);
    }
  }
  fmt::print("{:>8}{:>9}{:>10.0f}{:>10.0f}{:>11.0f}{:>11.0f}{:>12.0f}{:>10}\n", workers, tasks, mean(times),
             quantile(times, 0.5), quantile(times, 0.99), quantile(times, 1.0), mean(bytes), decisions);
}

}  // namespace
}  // namespace rhubarbpath

int main(int argc, char** argv) {
  using rhubarbpath::placement;
  TCLAP::CmdLine command{"Replays arrival lists against placement and small baselines", ' ', "0.1"};
  TCLAP::ValueArg<std::string> mode{"m", "mode", "lists or scale", false, "lists", "mode", command};
  TCLAP::ValueArg<std::uint64_t> seed{"s", "seed", "seed of the arrival lists", false, 1, "number", command};
  TCLAP::ValueArg<int> seeds{"n", "seeds", "seeds per list", false, 10, "number", command};
  TCLAP::ValueArg<std::string> only{"l",    "list", "run only the list of this name", false, "",
                                    "name", command};
  TCLAP::ValueArg<int> rounds{"r", "rounds", "rounds per fleet size", false, 3000, "number", command};
  TCLAP::ValueArg<double> attained{"a", "attained-weight", "placement option", false, -1, "weight", command};
  TCLAP::ValueArg<double> declared{"d", "declared-weight", "placement option", false, -1, "weight", command};
  TCLAP::ValueArg<int> margin{
      "g", "fair-share-margin", "placement option, in minutes", false, -1, "minutes", command};
  TCLAP::ValueArg<int> limit{
      "t", "reservation-limit", "placement option, in minutes", false, -1, "minutes", command};
  TCLAP::ValueArg<int> reserve{"e",       "reserve-after", "placement option, in minutes", false, -1,
                               "minutes", command};
  TCLAP::ValueArg<int> migrations{"i",      "migrations", "migrations per hour in the document", false, 120,
                                  "number", command};
  TCLAP::ValueArg<int> quantum{"q", "quantum", "placement option, in minutes", false, -1, "minutes", command};
  command.parse(argc, argv);
  placement::options opts;
  opts.attained_weight = attained.getValue() >= 0 ? attained.getValue() : opts.attained_weight;
  opts.declared_weight = declared.getValue() >= 0 ? declared.getValue() : opts.declared_weight;
  const auto override_minutes = [](rhubarbpath::duration& value, int given) {
    value = given >= 0 ? rhubarbpath::duration{std::chrono::minutes{given}} : value;
  };
  override_minutes(opts.fair_share_margin, margin.getValue());
  override_minutes(opts.reservation_limit, limit.getValue());
  override_minutes(opts.reserve_after, reserve.getValue());
  override_minutes(opts.fair_share_quantum, quantum.getValue());
  if (mode.getValue() == "scale") {
    fmt::print("{:>8}{:>9}{:>10}{:>10}{:>11}{:>11}{:>12}{:>10}\n", "workers", "tasks", "mean ns", "p50 ns",
               "p99 ns", "max ns", "bytes", "placed");
    for (const int workers : {50, 500, 5500, 11000}) {
      rhubarbpath::measure_scale(workers, rounds.getValue(), seed.getValue());
    }
    return 0;
  }
  return rhubarbpath::replay(seed.getValue(), seeds.getValue(), migrations.getValue(), opts, only.getValue());
}

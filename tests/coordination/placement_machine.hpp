#pragma once

#include <bit>
#include <cstdint>
#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "rhubarbpath/coordination/placement.hpp"

namespace rhubarbpath::testing {

/// Test oracle: decides by brute force, independently of the code under test, what fits into a small fleet.
class placement_oracle {
 public:
  struct worker {
    int rack{0};
    std::uint32_t open{0};
  };
  struct shape_request {
    accelerator_shape shape;
    /// Accelerators per worker that the members must contain, for example those of a guaranteed job.
    std::map<int, std::uint32_t> pinned;
  };

  /// Returns whether all shapes fit at once. Tries every position of every member.
  static bool fits(std::vector<worker> workers, const std::vector<shape_request>& shapes) {
    std::set<std::vector<std::uint32_t>> failed;
    return fits_from(workers, shapes, 0, {}, failed);
  }

 private:
  struct cursor {
    int members{0};
    int place{-1};
    int worker{0};
    int position{0};
    std::map<int, std::uint32_t> covered;
  };

  static bool fits_from(std::vector<worker>& workers, const std::vector<shape_request>& shapes,
                        std::size_t index, cursor at, std::set<std::vector<std::uint32_t>>& failed) {
    if (index == shapes.size()) {
      return true;
    }
    // Remembers failed states: without this, fleets without a packing take minutes.
    std::vector<std::uint32_t> state{
        static_cast<std::uint32_t>(index), static_cast<std::uint32_t>(at.members),
        static_cast<std::uint32_t>(at.place), static_cast<std::uint32_t>(at.worker),
        static_cast<std::uint32_t>(at.position)};
    for (const auto& each : workers) {
      state.push_back(each.open);
    }
    const bool has_pinned = !shapes[index].pinned.empty();
    for (const auto& [worker, mask] : has_pinned ? at.covered : std::map<int, std::uint32_t>{}) {
      state.push_back(static_cast<std::uint32_t>(worker));
      state.push_back(mask);
    }
    if (failed.count(state) != 0) {
      return false;
    }
    const bool found = search(workers, shapes, index, at, failed);
    if (!found) {
      failed.insert(std::move(state));
    }
    return found;
  }

  static bool search(std::vector<worker>& workers, const std::vector<shape_request>& shapes,
                     std::size_t index, cursor at, std::set<std::vector<std::uint32_t>>& failed) {
    const auto& request = shapes[index];
    if (at.members == request.shape.members) {
      for (const auto& [worker, mask] : request.pinned) {
        if ((at.covered[worker] & mask) != mask) {
          return false;
        }
      }
      return fits_from(workers, shapes, index + 1, {}, failed);
    }
    const int size = request.shape.accelerators_per_member;
    const std::uint32_t group = (std::uint32_t{1} << size) - 1;
    for (int worker = at.worker; worker < static_cast<int>(workers.size()); ++worker) {
      const int place = request.shape.within == proximity::worker ? worker
                        : request.shape.within == proximity::rack ? workers[worker].rack
                                                                  : 0;
      if (at.place >= 0 && at.place != place) {
        continue;
      }
      for (int position = worker == at.worker ? at.position : 0; position + size <= 8; position += size) {
        const std::uint32_t block = group << position;
        const auto pin = request.pinned.find(worker);
        const std::uint32_t own = pin == request.pinned.end() ? 0 : pin->second;
        if (((workers[worker].open | own) & block) != block) {
          continue;
        }
        const auto before = workers[worker].open;
        workers[worker].open &= ~block;
        cursor next = at;
        ++next.members;
        next.place = place;
        next.worker = worker;
        next.position = position + size;
        next.covered[worker] |= block;
        const bool found = fits_from(workers, shapes, index, next, failed);
        workers[worker].open = before;
        if (found) {
          return true;
        }
      }
    }
    return false;
  }
};

/// Drives `placement` with events decoded from bytes and checks its invariants after every event. Throws
/// `std::logic_error` at the first violation.
class placement_machine {
 public:
  explicit placement_machine(std::vector<std::uint8_t> bytes, placement::options opts = {})
      : bytes_{std::move(bytes)}, options_{opts}, subject_{opts} {
    make_document();
    send(placement::document_changed{document_, domain_});
  }

  void run() {
    while (next_ < bytes_.size()) {
      step();
      check();
    }
    claim_every_guarantee();
    run_to_completion();
  }

 private:
  struct job_model {
    job_spec spec;
    instant accepted_at{};
    bool active{false};
    bool stopping{false};
    bool cancelled{false};
    int attempts{0};
    std::vector<member_placement> placement;
  };

  static void require(bool condition, const std::string& violation) {
    if (!condition) {
      throw std::logic_error(violation);
    }
  }

  int draw(int limit) { return next_ < bytes_.size() ? bytes_[next_++] % limit : 0; }

  accelerator_shape draw_shape(int max_members) {
    accelerator_shape shape;
    shape.accelerators_per_member = 1 << draw(4);
    shape.members = 1 + draw(max_members);
    shape.within = static_cast<proximity>(draw(3));
    return shape;
  }

  void make_document() {
    auto document = std::make_shared<environment_document>();
    document->failure_domains = {{domain_, region_id{"r"}}};
    const int racks = 1 + draw(2);
    for (int rack = 0; rack < racks; ++rack) {
      const rack_id id{"rack" + std::to_string(rack)};
      document->racks.push_back({id, domain_});
      for (int worker = 0, count = 1 + draw(3); worker < count; ++worker) {
        worker_spec spec;
        spec.id = worker_id{id.value() + "-" + std::to_string(worker)};
        spec.rack = id;
        spec.accelerators = draw(4) == 0 ? 4 + draw(4) : 8;
        document->workers.push_back(spec);
      }
    }
    for (int team = 0; team < 2; ++team) {
      team_spec spec;
      spec.id = team_id{"team" + std::to_string(team)};
      for (int count = draw(3); count > 0; --count) {
        spec.guarantees.push_back({draw_shape(2), 1 + draw(2), {}});
      }
      spec.max_accelerators = draw(4) == 0 ? 8 : 0;
      document->teams.push_back(spec);
    }
    document->job_classes = {{class_id{"urgent"}, 0, {}},
                             {class_id{"batch"}, 2, duration{std::chrono::hours{5}}}};
    document->budget.set_aside_share = 0.34;
    document_ = document;
  }

  void step() {
    now_ += duration{std::chrono::seconds{draw(8) * draw(8) * 20}};
    switch (draw(16)) {
      case 0:
      case 1:
      case 2:
      case 3:
        return submit(draw(3) == 0);
      case 4:
      case 5:
      case 6:
        return end_attempt(placement::end_cause::finished);
      case 7:
        return end_attempt(placement::end_cause::failed);
      case 8:
      case 9:
      case 10:
        return stop_one();
      case 11:
        return cancel();
      case 12:
        return toggle_worker();
      case 13:
        return send(placement::tick{});
      case 14:
        return start_one();
      default:
        return draw(4) == 0 ? take_over() : send(placement::document_changed{document_, domain_});
    }
  }

  void submit(bool guaranteed) {
    job_spec spec;
    spec.team = document_->teams[draw(2)].id;
    spec.job_class = document_->job_classes[draw(2)].id;
    spec.shape = draw_shape(5);
    spec.guaranteed = guaranteed;
    spec.checkpointable = draw(3) != 0;
    spec.declared_run_time = duration{std::chrono::minutes{draw(100)}};
    submit_spec(spec);
  }

  job_id submit_spec(const job_spec& spec) {
    const job_id id{"job" + std::to_string(++submitted_)};
    jobs_[id] = {spec, now_};
    send(placement::job_submitted{id, spec});
    return id;
  }

  template <class Condition>
  std::optional<job_id> pick(const Condition& condition) {
    std::vector<job_id> matching;
    for (const auto& [id, job] : jobs_) {
      if (condition(job)) {
        matching.push_back(id);
      }
    }
    return matching.empty() ? std::nullopt : std::optional{matching[draw(static_cast<int>(matching.size()))]};
  }

  void finish(const job_id& id, placement::end_cause cause) {
    auto& job = jobs_.at(id);
    placement::attempt_ended ended{id, attempt_number(job.attempts), cause, worker_id{}, minutes(7)};
    if (cause == placement::end_cause::failed) {
      ended.worker = job.placement[draw(static_cast<int>(job.placement.size()))].worker;
    }
    job.active = false;
    job.stopping = false;
    send(ended);
    // A duplicate of the event must change nothing.
    send(ended);
  }

  void end_attempt(placement::end_cause cause) {
    if (const auto id = pick([](const job_model& job) { return job.active; })) {
      finish(*id, cause);
    }
  }
  void stop_one() {
    if (const auto id = pick([](const job_model& job) { return job.stopping; })) {
      finish(*id,
             jobs_.at(*id).cancelled ? placement::end_cause::cancelled : placement::end_cause::preempted);
    }
  }
  void start_one() {
    if (const auto id = pick([](const job_model& job) { return job.active; })) {
      send(placement::attempt_started{*id, attempt_number(jobs_.at(*id).attempts)});
    }
  }
  void cancel() {
    if (const auto id = pick([](const job_model& job) { return !job.cancelled; })) {
      jobs_.at(*id).cancelled = true;
      send(placement::job_cancelled{*id});
    }
  }
  void toggle_worker() {
    const auto& id = document_->workers[draw(static_cast<int>(document_->workers.size()))].id;
    if (down_.erase(id) != 0) {
      return send(placement::worker_up{id});
    }
    down_.insert(id);
    send(placement::worker_down{id});
  }

  /// Simulates a takeover: a new instance is restored from the records of the old one.
  void take_over() {
    std::vector<job_record> records;
    for (const auto& [id, job] : jobs_) {
      auto record = subject_.record(id);
      require(record.has_value(), "a job was lost before the takeover");
      records.push_back(*record);
    }
    subject_ = placement{options_};
    uncovered_.clear();
    took_over_ = true;
    for (const auto& worker : down_) {
      send(placement::worker_down{worker});
    }
    for (const auto& worker : set_aside_workers_) {
      send(placement::worker_was_set_aside{worker});
    }
    send(placement::document_changed{document_, domain_});
    for (auto& record : records) {
      jobs_.at(record.id).stopping = false;
      send(placement::job_restored{record});
    }
    send(placement::tick{});
    for (const auto& [id, job] : std::map{jobs_}) {
      if (job.cancelled) {
        send(placement::job_cancelled{id});
      }
    }
  }

  void send(const placement_event& event) {
    std::vector<placement_action> actions;
    subject_.handle(event, now_, actions);
    for (const auto& action : actions) {
      if (getenv("TRACE")) fprintf(stderr, "event %zu action %zu\n", event.index(), action.index());
      std::visit([this](const auto& concrete) { apply(concrete); }, action);
    }
  }

  void apply(const placement::place_job& action) {
    const auto found = jobs_.find(action.id);
    require(found != jobs_.end(), "an unknown or ended job was placed");
    auto& job = found->second;
    require(!job.active, "a job was placed twice");
    require(!job.cancelled, "a cancelled job was placed");
    require(action.attempt.value() == static_cast<std::uint64_t>(job.attempts) + 1,
            "an attempt number was skipped or repeated");
    job.active = true;
    job.attempts = static_cast<int>(action.attempt.value());
    job.placement = action.placement;
    check_gang(job);
  }
  void apply(const placement::preempt_job& action) {
    auto& job = jobs_.at(action.id);
    require(job.active && !job.stopping, "a job that has no attempt or is already stopping was preempted");
    require(action.cause == preemption_cause::cancelled || !job.spec.guaranteed || took_over_,
            "a guaranteed job was preempted");
    job.stopping = true;
  }
  void apply(const placement::refuse_job& action) {
    const auto spec = jobs_.at(action.id).spec;
    require(!action.reason.empty(), "a refusal has no reason");
    require(is_impossible(spec), "a job that can run was refused: " + action.reason);
    jobs_.erase(action.id);
  }
  void apply(const placement::end_job& action) {
    require(jobs_.count(action.id) == 1, "a job ended twice");
    require(is_final(action.state), "a job ended without a final state");
    jobs_.erase(action.id);
  }
  void apply(const placement::guarantee_uncovered& action) {
    uncovered_[action.guarantee] = action.uncovered;
  }
  void apply(const placement::guarantee_covered& action) { uncovered_.erase(action.guarantee); }
  void apply(const placement::set_worker_aside& action) { set_aside_workers_.insert(action.worker); }
  void apply(const placement::restore_worker& action) { set_aside_workers_.erase(action.worker); }

  [[nodiscard]] int index_of(const worker_id& id) const {
    for (std::size_t index = 0; index < document_->workers.size(); ++index) {
      if (document_->workers[index].id == id) {
        return static_cast<int>(index);
      }
    }
    throw std::logic_error("unknown worker");
  }

  void check_gang(const job_model& job) {
    require(static_cast<int>(job.placement.size()) == job.spec.shape.members, "part of a gang was placed");
    std::set<std::string> places;
    for (const auto& member : job.placement) {
      const auto& worker = document_->workers[index_of(member.worker)];
      const int size = job.spec.shape.accelerators_per_member;
      const int first = std::countr_zero(member.accelerators);
      const std::uint32_t group = ((std::uint32_t{1} << size) - 1) << first;
      require(first % size == 0 && member.accelerators == group,
              "a member's accelerators are no aligned group of its size");
      require(first + size <= worker.accelerators, "a member has more accelerators than its worker");
      require(down_.count(member.worker) == 0, "a member was placed on a worker that is down");
      places.insert(job.spec.shape.within == proximity::worker ? worker.id.value()
                    : job.spec.shape.within == proximity::rack ? worker.rack.value()
                                                               : std::string{});
    }
    require(places.size() == 1, "the members are not within the proximity of the shape");
  }

  [[nodiscard]] std::vector<placement_oracle::worker> fleet(bool healthy_only) const {
    std::vector<placement_oracle::worker> workers;
    for (const auto& spec : document_->workers) {
      const bool open =
          !healthy_only || (down_.count(spec.id) == 0 && set_aside_workers_.count(spec.id) == 0);
      const std::uint32_t mask = (std::uint32_t{1} << spec.accelerators) - 1;
      workers.push_back({spec.rack.value().back() - '0', open ? mask : 0});
    }
    return workers;
  }

  [[nodiscard]] bool is_impossible(const job_spec& spec) const {
    const auto& team = document_->teams[spec.team == document_->teams[0].id ? 0 : 1];
    if (!spec.guaranteed) {
      return !placement_oracle::fits(fleet(false), {{spec.shape, {}}}) ||
             (team.max_accelerators > 0 && spec.shape.accelerators() > team.max_accelerators);
    }
    // A guarantee must hold in the worst case: the members of the instance are as far apart as its shape
    // allows, each in its own rack or on its own worker.
    for (const auto& guarantee : team.guarantees) {
      std::vector<placement_oracle::worker> cells;
      for (int member = 0; member < guarantee.shape.members; ++member) {
        const std::uint32_t mask = (std::uint32_t{1} << guarantee.shape.accelerators_per_member) - 1;
        cells.push_back({guarantee.shape.within == proximity::failure_domain ? member : 0, mask});
      }
      auto inner = spec.shape;
      if (guarantee.shape.within == proximity::worker) {
        inner.within = proximity::failure_domain;
      }
      if (placement_oracle::fits(cells, {{inner, {}}})) {
        return false;
      }
    }
    return true;
  }

  void check() {
    std::map<worker_id, std::uint32_t> used;
    std::size_t active = 0;
    for (const auto& [id, job] : jobs_) {
      const auto record = subject_.record(id);
      require(record.has_value(), "a job was lost");
      const bool runs = record->state == job_state::starting || record->state == job_state::running ||
                        record->state == job_state::stopping;
      require(runs == job.active, "the state of the record contradicts the actions");
      require(job.active == subject_.why_waiting(id).empty(), "a waiting job has no explanation");
      active += job.active ? 1 : 0;
      for (const auto& member : job.placement) {
        if (job.active) {
          require((used[member.worker] & member.accelerators) == 0, "two attempts share an accelerator");
          used[member.worker] |= member.accelerators;
        }
      }
    }
    require(subject_.running_jobs() == active && subject_.waiting_jobs() == jobs_.size() - active,
            "the job counts are wrong");
    check_guarantees_hold();
  }

  /// Checks that all covered instances fit at once, with every guaranteed job inside an instance of its team.
  void check_guarantees_hold() const {
    if (took_over_) {
      return;  // Jobs that no instance could adopt run outside; `claim_every_guarantee` checks this case.
    }
    std::vector<placement_oracle::shape_request> instances;
    std::vector<placement_oracle::shape_request> all;
    std::vector<team_id> owners;
    for (const auto& share : check_guarantees(*document_).shares) {
      const auto found = uncovered_.find(share.guarantee);
      const int count = share.count - (found == uncovered_.end() ? 0 : found->second);
      all.insert(all.end(), share.count, {share.shape, {}});
      for (int copy = 0; copy < count; ++copy) {
        instances.push_back({share.shape, {}});
        owners.push_back(share.guarantee.team);
      }
    }
    std::vector<const job_model*> claims;
    auto workers = fleet(true);
    bool any_guaranteed = false;
    for (const auto& [id, job] : jobs_) {
      any_guaranteed = any_guaranteed || job.spec.guaranteed;
      bool healthy = job.active && job.spec.guaranteed;
      for (const auto& member : job.placement) {
        healthy = healthy && down_.count(member.worker) == 0 && set_aside_workers_.count(member.worker) == 0;
      }
      if (healthy) {
        claims.push_back(&job);
      }
    }
    if (uncovered_.empty()) {
      require(assign_claims(workers, instances, owners, claims, 0), "the guarantees cannot be met together");
    } else if (claims.empty()) {
      require(placement_oracle::fits(workers, instances), "the covered guarantees do not fit together");
    }
    require(any_guaranteed || uncovered_.empty() || !placement_oracle::fits(workers, all),
            "a guarantee is uncovered although all instances fit");
  }

  /// Tries every instance of the team for every guaranteed job.
  bool assign_claims(const std::vector<placement_oracle::worker>& workers,
                     std::vector<placement_oracle::shape_request>& instances,
                     const std::vector<team_id>& owners, const std::vector<const job_model*>& claims,
                     std::size_t index) const {
    if (index == claims.size()) {
      auto open = workers;
      for (const auto& instance : instances) {
        for (const auto& [worker, mask] : instance.pinned) {
          open[worker].open &= ~mask;
        }
      }
      return placement_oracle::fits(open, instances);
    }
    for (std::size_t instance = 0; instance < instances.size(); ++instance) {
      if (owners[instance] != claims[index]->spec.team) {
        continue;
      }
      const auto before = instances[instance].pinned;
      for (const auto& member : claims[index]->placement) {
        instances[instance].pinned[index_of(member.worker)] |= member.accelerators;
      }
      if (assign_claims(workers, instances, owners, claims, index + 1)) {
        return true;
      }
      instances[instance].pinned = before;
    }
    return false;
  }

  void stop_all_preempted() {
    while (const auto id = pick([](const job_model& job) { return job.stopping; })) {
      finish(*id,
             jobs_.at(*id).cancelled ? placement::end_cause::cancelled : placement::end_cause::preempted);
    }
  }

  /// Checks that every covered instance can be claimed completely once the preempted attempts have stopped.
  void claim_every_guarantee() {
    for (const auto& [id, job] : std::map{jobs_}) {
      if (!job.spec.guaranteed || jobs_.count(id) == 0) {
        continue;
      }
      if (jobs_.at(id).active) {
        finish(id, placement::end_cause::finished);
      } else {
        jobs_.at(id).cancelled = true;
        send(placement::job_cancelled{id});
      }
    }
    for (const auto& [id, job] : std::map{jobs_}) {
      if (job.spec.guaranteed && jobs_.count(id) != 0 && jobs_.at(id).active) {
        finish(id, placement::end_cause::finished);
      }
    }
    check();
    std::vector<job_id> claims;
    for (const auto& share : check_guarantees(*document_).shares) {
      const auto found = uncovered_.find(share.guarantee);
      const int count = share.count - (found == uncovered_.end() ? 0 : found->second);
      for (int copy = 0; copy < count; ++copy) {
        claims.push_back(submit_spec({share.guarantee.team, class_id{"urgent"}, share.shape, true}));
      }
    }
    stop_all_preempted();
    check();
    for (const auto& id : claims) {
      require(jobs_.count(id) == 1 && jobs_.at(id).active,
              "an instance of a guarantee could not be claimed: " + subject_.why_waiting(id));
    }
  }

  /// Checks that no job waits forever when all workers are up and every attempt finishes.
  void run_to_completion() {
    for (const auto& id : std::set{down_}) {
      down_.erase(id);
      send(placement::worker_up{id});
    }
    constexpr int rounds = 300;
    for (int round = 0; round < rounds && !jobs_.empty(); ++round) {
      stop_all_preempted();
      for (const auto& [id, job] : std::map{jobs_}) {
        if (jobs_.count(id) != 0 && jobs_.at(id).active && !jobs_.at(id).stopping) {
          finish(id, placement::end_cause::finished);
        }
      }
      now_ += minutes(5);
      send(placement::tick{});
      check();
    }
    require(jobs_.empty(),
            jobs_.empty() ? "" : "a job waits forever: " + subject_.why_waiting(jobs_.begin()->first));
  }

  static rhubarbpath::attempt_number attempt_number(int value) {
    return rhubarbpath::attempt_number{static_cast<std::uint64_t>(value)};
  }
  static duration minutes(int value) { return duration{std::chrono::minutes{value}}; }

  std::vector<std::uint8_t> bytes_;
  std::size_t next_{0};
  placement::options options_;
  placement subject_;
  failure_domain_id domain_{"fd"};
  std::shared_ptr<const environment_document> document_;
  instant now_{std::chrono::hours{1000}};
  std::map<job_id, job_model> jobs_;
  std::map<guarantee_ref, int> uncovered_;
  std::set<worker_id> down_;
  std::set<worker_id> set_aside_workers_;
  bool took_over_{false};
  int submitted_{0};
};

}  // namespace rhubarbpath::testing

#include "rhubarbpath/coordination/placement.hpp"

#include <algorithm>
#include <bit>
#include <tuple>

#include "placement_engine.hpp"

namespace rhubarbpath {
namespace {

/// Returns whether both documents are equal in everything that placement depends on.
bool same_for_placement(const environment_document& left, const environment_document& right) {
  return left.failure_domains == right.failure_domains && left.racks == right.racks &&
         left.workers == right.workers && left.teams == right.teams &&
         left.job_classes == right.job_classes && left.budget == right.budget;
}

/// Refills a token bucket with the part of the hourly budget for the elapsed time. The bucket holds the
/// budget of five minutes, and at least one token unless the hourly budget is 0.
void refill(double& tokens, int per_hour, double elapsed_seconds) {
  constexpr double seconds_per_hour = 3600;
  constexpr double burst_share = 1.0 / 12;
  const double budget = per_hour;
  const double burst = std::max(budget * burst_share, std::min(budget, 1.0));
  tokens = std::min(tokens + budget * elapsed_seconds / seconds_per_hour, burst);
}

}  // namespace

placement::placement(options opts) : engine_{std::make_unique<engine>(opts)} {}
placement::~placement() = default;
placement::placement(placement&&) noexcept = default;
placement& placement::operator=(placement&&) noexcept = default;

void placement::handle(const event& input, instant now, std::vector<action>& out) {
  engine_->handle(input, now, out);
}
std::optional<instant> placement::next_deadline() const {
  return engine_->next_deadline();
}
std::string placement::why_waiting(const job_id& job) const {
  return engine_->why_waiting(job);
}
std::optional<job_record> placement::record(const job_id& job) const {
  return engine_->record(job);
}
double placement::fragmentation() const {
  return engine_->fragmentation();
}
int placement::free_accelerators() const {
  return engine_->free_accelerators();
}
std::size_t placement::waiting_jobs() const {
  return engine_->waiting_jobs();
}
std::size_t placement::running_jobs() const {
  return engine_->running_jobs();
}
std::vector<placement::uncovered_guarantee> placement::uncovered_guarantees() const {
  return engine_->uncovered_guarantees();
}

void placement::engine::handle(const event& input, instant now, std::vector<action>& out) {
  now_ = now;
  out_ = &out;
  std::visit([this](const auto& concrete) { on(concrete); }, input);
  // During a takeover, nothing is placed until all records are restored: a later record may use the
  // accelerators.
  const bool restoring = std::holds_alternative<job_restored>(input);
  if (plan_ != nullptr && !restoring) {
    // A pass can itself free accelerators: when a guaranteed job takes accelerators that a waiting gang
    // holds, the gang releases the others. Every such pass places a guaranteed job or holds accelerators for
    // it, so the loop terminates.
    while (plan_changed_ || space_changed_) {
      update_guarantee_plan();
      place_waiting_jobs();
    }
  }
  out_ = nullptr;
}

void placement::engine::update_guarantee_plan() {
  if (!plan_changed_) {
    return;
  }
  plan_changed_ = false;
  if (plan_->rebind()) {
    ++claim_generation_;
  }
  report_guarantees();
}

std::optional<instant> placement::engine::next_deadline() const {
  if (space_changed_ && plan_ != nullptr) {
    return now_;
  }
  auto next = health_.next_deadline();
  if (waiting_ > 0 && (!next || last_tick_ + options_.tick_period < *next)) {
    next = last_tick_ + options_.tick_period;
  }
  return next;
}

void placement::engine::on(const document_changed& input) {
  const bool same = document_ != nullptr && domain_ == input.failure_domain &&
                    same_for_placement(*document_, *input.document);
  document_ = input.document;
  domain_ = input.failure_domain;
  if (!same) {
    rebuild();
  }
}

void placement::engine::on(const job_submitted& input) {
  if (jobs_.contains(input.id)) {
    return;
  }
  auto reason = impossible_reason(input.spec);
  if (reason.empty()) {
    const auto& team = teams_.at(input.spec.team);
    if (team.waiting >= team.max_waiting) {
      reason = "team " + input.spec.team.value() + " already has " + std::to_string(team.waiting) +
               " waiting jobs, its limit; submit again when some have started";
    }
  }
  if (!reason.empty()) {
    out_->emplace_back(refuse_job{input.id, std::move(reason)});
    return;
  }
  auto item = std::make_unique<job>();
  item->record.id = input.id;
  item->record.spec = input.spec;
  item->record.accepted_at = now_;
  item->queued_at = now_;
  auto& added = *jobs_.emplace(input.id, std::move(item)).first->second;
  added.sequence = next_sequence_++;
  enqueue(added);
  if (added.queue->jobs.begin()->second == &added) {
    try_head(*added.queue);
  }
}

void placement::engine::on(const job_restored& input) {
  if (jobs_.contains(input.record.id) || is_final(input.record.state)) {
    return;
  }
  auto item = std::make_unique<job>();
  item->record = input.record;
  item->queued_at = input.record.accepted_at;
  auto& added = *jobs_.emplace(input.record.id, std::move(item)).first->second;
  added.sequence = next_sequence_++;
  if (!added.record.placement.empty()) {
    added.at = phase::active;
    added.record.state = added.record.state == job_state::starting ? job_state::starting : job_state::running;
    added.placed_at = now_;
    added.order = order_of(added, added.record.attained_service);
  } else {
    added.record.state = job_state::waiting;
  }
  if (topology_ == nullptr) {
    waiting_ += added.at == phase::queued ? 1 : 0;
    return;
  }
  if (added.at == phase::active) {
    restore_attempts({&added});
    plan_changed_ = true;
    return;
  }
  auto reason = impossible_reason(added.record.spec);
  if (!reason.empty()) {
    ++waiting_;
    refuse(added, std::move(reason));
    return;
  }
  enqueue(added);
  space_changed_ = true;
}

void placement::engine::on(const job_cancelled& input) {
  const auto found = jobs_.find(input.id);
  if (found == jobs_.end()) {
    return;
  }
  auto& item = *found->second;
  if (item.at == phase::active) {
    if (!item.stopping) {
      preempt(item, preemption_cause::cancelled, "the job was cancelled");
    }
    item.stopping = preemption_cause::cancelled;
    return;
  }
  if (item.at == phase::holding) {
    release_hold(item);
    release_claim(item);
  } else {
    dequeue(item);
  }
  end(item, job_state::cancelled, "cancelled before it ran");
}

void placement::engine::on(const attempt_started& input) {
  const auto found = jobs_.find(input.id);
  if (found == jobs_.end() || found->second->record.attempt != input.attempt) {
    return;
  }
  auto& record = found->second->record;
  if (record.state == job_state::starting) {
    record.state = job_state::running;
  }
}

void placement::engine::on(const attempt_ended& input) {
  const auto found = jobs_.find(input.id);
  if (found == jobs_.end() || found->second->at != phase::active ||
      found->second->record.attempt != input.attempt) {
    return;
  }
  finish_attempt(*found->second, input);
}

void placement::engine::finish_attempt(job& item, const attempt_ended& input) {
  const job_id id = item.record.id;
  const bool worker_was_live = !input.worker.empty() && !down_.contains(input.worker);
  item.record.attained_service += input.attained_service;
  const auto cells = item.cells;
  release_cells(item);
  if (input.cause == end_cause::finished) {
    for (const auto& cell : cells) {
      handle_health_event(worker_health::task_finished{topology_->id(cell.worker), id});
    }
    end(item, job_state::finished, "");
    return;
  }
  if (input.cause == end_cause::failed) {
    ++item.record.failures;
    if (worker_was_live) {
      ++item.failures_on_live_workers;
      handle_health_event(worker_health::task_failed{input.worker, id});
    }
  }
  if (input.cause == end_cause::cancelled || item.stopping == preemption_cause::cancelled) {
    end(item, job_state::cancelled, "cancelled while it ran");
  } else if (!item.permanent_failure.empty()) {
    end(item, job_state::failed, item.permanent_failure);
  } else if (item.failures_on_live_workers >= options_.max_failures) {
    end(item, job_state::failed,
        "the job failed " + std::to_string(item.failures_on_live_workers) + " times; check its command");
  } else {
    requeue(item, input.cause == end_cause::preempted);
  }
}

void placement::engine::requeue(job& item, bool preempted) {
  item.record.preemptions += preempted ? 1 : 0;
  item.record.placement.clear();
  item.record.state = job_state::waiting;
  item.at = phase::queued;
  item.stopping.reset();
  item.queued_at = now_;
  auto reason = impossible_reason(item.record.spec);
  if (!reason.empty()) {
    ++waiting_;
    refuse(item, std::move(reason));
    return;
  }
  enqueue(item);
  space_changed_ = true;
}

void placement::engine::on(const worker_up& input) {
  if (down_.erase(input.worker) == 0 || topology_ == nullptr) {
    return;
  }
  if (const auto worker = topology_->find(input.worker)) {
    refresh_worker(*worker);
  }
}

void placement::engine::on(const worker_down& input) {
  if (!down_.insert(input.worker).second || topology_ == nullptr) {
    return;
  }
  if (const auto worker = topology_->find(input.worker)) {
    refresh_worker(*worker);
  }
}

void placement::engine::on(const worker_failed_task& input) {
  handle_health_event(worker_health::task_failed{input.worker, input.job});
}

void placement::engine::on(const worker_was_set_aside& input) {
  handle_health_event(worker_health::was_set_aside{input.worker});
  if (topology_ == nullptr) {
    return;
  }
  if (const auto worker = topology_->find(input.worker)) {
    refresh_worker(*worker);
  }
}

void placement::engine::on(const tick& /*input*/) {
  const auto elapsed = std::chrono::duration<double>(now_ - last_tick_).count();
  last_tick_ = now_;
  handle_health_event(worker_health::tick{});
  if (document_ == nullptr) {
    return;
  }
  refill(preemption_tokens_, document_->budget.preemptions_per_hour, elapsed);
  refill(migration_tokens_, document_->budget.migrations_per_hour, elapsed);
  update_guarantee_plan();
  place_waiting_jobs();
  add_reservations();
  preempt_for_fair_share();
  migrate();
}

void placement::engine::handle_health_event(const worker_health_event& input) {
  std::vector<worker_health_action> actions;
  health_.handle(input, now_, actions);
  for (const auto& each : actions) {
    if (const auto* aside = std::get_if<worker_health::set_aside>(&each)) {
      trials_.erase(aside->worker);
      out_->emplace_back(set_worker_aside{aside->worker, aside->reason});
      if (const auto worker = topology_ ? topology_->find(aside->worker) : std::nullopt) {
        refresh_worker(*worker);
      }
    } else if (const auto* trial = std::get_if<worker_health::begin_trial>(&each)) {
      trials_.insert(trial->worker);
    } else if (const auto* restored = std::get_if<worker_health::restore>(&each)) {
      trials_.erase(restored->worker);
      out_->emplace_back(restore_worker{restored->worker});
      if (const auto worker = topology_ ? topology_->find(restored->worker) : std::nullopt) {
        refresh_worker(*worker);
      }
    } else if (const auto* permanent_failure = std::get_if<worker_health::fail_job>(&each)) {
      if (const auto found = jobs_.find(permanent_failure->job); found != jobs_.end()) {
        found->second->permanent_failure = permanent_failure->reason;
      }
    }
  }
}

void placement::engine::refresh_worker(int worker) {
  const auto& id = topology_->id(worker);
  const bool usable = !down_.contains(id) && !health_.is_set_aside(id);
  if (usable == !tree_->lost(worker)) {
    return;
  }
  tree_->set_unusable(worker, !usable);
  plan_->set_usable(worker, usable);
  ++claim_generation_;
  plan_changed_ = true;
  space_changed_ = true;
  if (!usable) {
    const auto holders = holders_on_[worker];
    for (auto* holder : holders) {
      requeue_held_job(*holder);
    }
    drop_overlapping_reservations({{worker, topology_->capacity(worker)}});
  }
}

void placement::engine::report_guarantees() {
  std::map<guarantee_ref, std::pair<int, int>> current;
  for (const auto& share : plan_->shares()) {
    current[share.guarantee] = {plan_->uncovered(share.guarantee), share.count};
  }
  for (const auto& [guarantee, state] : current) {
    const auto [uncovered, count] = state;
    const auto reported = reported_uncovered_.find(guarantee);
    const int before = reported == reported_uncovered_.end() ? 0 : reported->second;
    if (uncovered != before && uncovered > 0) {
      out_->emplace_back(guarantee_uncovered{guarantee, uncovered, count});
    } else if (uncovered != before) {
      out_->emplace_back(guarantee_covered{guarantee, count});
    }
  }
  reported_uncovered_.clear();
  for (const auto& [guarantee, state] : current) {
    if (state.first > 0) {
      reported_uncovered_[guarantee] = state.first;
    }
  }
}

std::vector<placement::engine::job*> placement::engine::jobs_in_order() const {
  std::vector<job*> all;
  all.reserve(jobs_.size());
  for (const auto& [id, item] : jobs_) {
    all.push_back(item.get());
  }
  std::sort(all.begin(), all.end(),
            [](const job* left, const job* right) { return left->sequence < right->sequence; });
  return all;
}

void placement::engine::rebuild() {
  const auto all = jobs_in_order();
  std::vector<job*> active;
  std::vector<job*> waiting;
  for (auto* item : all) {
    (item->at == phase::active ? active : waiting).push_back(item);
    item->cells.clear();
    item->claim.reset();
    item->queue = nullptr;
  }
  groups_.clear();
  heads_.clear();
  reservations_.clear();
  blocked_.clear();
  waiting_ = 0;
  rebuild_teams();
  rebuild_workers();
  restore_attempts(active);
  requeue_waiting(waiting);
  ++claim_generation_;
  plan_changed_ = true;
  space_changed_ = true;
}

void placement::engine::rebuild_teams() {
  teams_.clear();
  for (const auto& team : document_->teams) {
    teams_[team.id] = {team_limit(team), team.max_waiting_jobs, 0, 0, 0};
  }
  classes_.clear();
  for (const auto& job_class : document_->job_classes) {
    classes_[job_class.id] = {job_class.rank, job_class.finish_by};
  }
}

std::optional<int> placement::engine::team_limit(const team_spec& team) const {
  if (team.max_accelerators <= 0) {
    return std::nullopt;
  }
  // Every failure domain enforces its part of the limit independently, in proportion to its accelerators.
  // Cumulative rounding makes the parts add up to the limit.
  absl::flat_hash_map<rack_id, failure_domain_id> domain_of;
  for (const auto& rack : document_->racks) {
    domain_of.emplace(rack.id, rack.failure_domain);
  }
  std::int64_t total = 0;
  std::int64_t before = 0;
  std::int64_t here = 0;
  for (const auto& worker : document_->workers) {
    const auto found = domain_of.find(worker.rack);
    if (found == domain_of.end()) {
      continue;
    }
    total += worker.accelerators;
    before += found->second < domain_ ? worker.accelerators : 0;
    here += found->second == domain_ ? worker.accelerators : 0;
  }
  if (total == 0) {
    return team.max_accelerators;
  }
  const std::int64_t limit = team.max_accelerators;
  return static_cast<int>(limit * (before + here) / total - limit * before / total);
}

void placement::engine::rebuild_workers() {
  const auto old_topology = topology_;
  topology_ = std::make_shared<const fleet_topology>(*document_, domain_);
  tree_ = std::make_unique<cell_tree>(topology_);
  empty_tree_ = std::make_unique<cell_tree>(topology_);
  std::vector<guarantee_share> shares;
  for (auto& share : check_guarantees(*document_).shares) {
    if (share.failure_domain == domain_) {
      shares.push_back(std::move(share));
    }
  }
  plan_ = std::make_unique<guarantee_plan>(guarantee_plan::options{topology_, std::move(shares)});
  tasks_on_.assign(topology_->workers(), {});
  holders_on_.assign(topology_->workers(), {});
  pinned_.assign(topology_->workers(), 0);
  reserved_.assign(topology_->workers(), 0);
  for (int worker = 0; old_topology && worker < old_topology->workers(); ++worker) {
    const auto& id = old_topology->id(worker);
    if (!topology_->find(id)) {
      handle_health_event(worker_health::worker_removed{id});
      down_.erase(id);
      trials_.erase(id);
    }
  }
  handle_health_event(worker_health::fleet_changed{topology_->workers(), document_->budget.set_aside_share});
  for (int worker = 0; worker < topology_->workers(); ++worker) {
    refresh_worker(worker);
  }
}

void placement::engine::restore_attempts(const std::vector<job*>& active) {
  for (auto* item : active) {
    bool complete = static_cast<int>(item->record.placement.size()) == item->shape().members;
    std::vector<cell_block> cells;
    for (const auto& member : item->record.placement) {
      const auto worker = topology_->find(member.worker);
      if (!worker) {
        complete = false;
        continue;
      }
      const std::uint32_t free = member.accelerators & topology_->capacity(*worker) & ~tree_->used(*worker);
      complete = complete && free == member.accelerators &&
                 std::popcount(free) == item->shape().accelerators_per_member;
      // The remaining members of an incomplete gang use their accelerators until they have stopped.
      if (free != 0) {
        cells.push_back({*worker, free});
        tree_->use(cells.back());
      }
    }
    for (const auto& cell : cells) {
      tree_->release(cell);
    }
    if (complete && item->record.spec.guaranteed) {
      if (const auto instance = plan_->adopt(item->record.spec.team, cells)) {
        item->claim = guarantee_plan::claim{*instance, cells, {}};
      }
    }
    allocate_cells(*item, cells);
    if (!complete) {
      preempt(*item, preemption_cause::invalid, "its placement is not a whole gang on known workers");
    }
  }
}

void placement::engine::requeue_waiting(const std::vector<job*>& waiting) {
  for (auto* item : waiting) {
    item->at = phase::queued;
    auto reason = impossible_reason(item->record.spec);
    if (reason.empty()) {
      enqueue(*item);
    } else {
      ++waiting_;
      refuse(*item, std::move(reason));
    }
  }
}

}  // namespace rhubarbpath

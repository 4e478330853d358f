#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "rhubarbpath/coordination/placement.hpp"

namespace rhubarbpath {

/// Implementation of `placement`.
///
/// Waiting jobs with the same requirements form a group, ordered by a key that does not change while a job
/// waits. A scheduling pass tries the jobs at the head of each group, so that the cost of a pass that places
/// nothing depends on the number of groups and not on the number of waiting jobs.
class placement::engine {
 public:
  explicit engine(options opts) : options_{opts}, health_{opts.health} {}
  void handle(const event& input, instant now, std::vector<action>& out);
  [[nodiscard]] std::optional<instant> next_deadline() const;
  [[nodiscard]] std::string why_waiting(const job_id& id) const;
  [[nodiscard]] std::optional<job_record> record(const job_id& id) const;
  [[nodiscard]] double fragmentation() const;
  [[nodiscard]] int free_accelerators() const;
  [[nodiscard]] std::vector<uncovered_guarantee> uncovered_guarantees() const;
  [[nodiscard]] std::size_t waiting_jobs() const noexcept { return waiting_; }
  [[nodiscard]] std::size_t running_jobs() const noexcept { return jobs_.size() - waiting_; }

 private:
  struct group;
  enum class phase {
    queued,   ///< Waits in its group.
    holding,  ///< Holds its accelerators and waits until the preempted attempts there have stopped.
    active,   ///< Has an attempt that is starting, running or stopping.
  };
  struct job {
    job_record record;
    phase at{phase::queued};
    instant order{};  ///< Position in the queue; earlier goes first.
    std::uint64_t sequence{0};
    instant queued_at{};
    instant placed_at{};
    group* queue{nullptr};
    std::vector<cell_block> cells;  ///< Accelerators that the job holds or uses.
    std::optional<guarantee_plan::claim> claim;
    std::optional<preemption_cause> stopping;
    int failures_on_live_workers{0};
    std::string permanent_failure;  ///< Why the job ends with its next failure; empty if it may be retried.
    [[nodiscard]] const accelerator_shape& shape() const { return record.spec.shape; }
    /// Whether the job runs outside a guarantee and may be preempted.
    [[nodiscard]] bool preemptible() const { return !claim.has_value(); }
  };
  struct group_key {
    team_id team;
    int size{0};
    int members{0};
    proximity within{proximity::worker};
    bool guaranteed{false};
    bool failed_before{false};  ///< Kept apart: such jobs avoid workers, so others may fit where they do not.
    friend bool operator<(const group_key& left, const group_key& right) {
      return left.as_tuple() < right.as_tuple();
    }
    [[nodiscard]] std::tuple<const team_id&, int, int, proximity, bool, bool> as_tuple() const {
      return {team, size, members, within, guaranteed, failed_before};
    }
  };
  using queue_position = std::pair<instant, std::uint64_t>;
  struct group {
    group_key key;
    accelerator_shape shape;
    std::map<queue_position, job*> jobs;
    std::uint64_t failed_generation{0};  ///< `claim_generation` when the first job last found no claim.
  };
  struct team_state {
    std::optional<int> limit;  ///< Maximum number of accelerators in this failure domain.
    int max_waiting{0};
    int waiting{0};
    int used{0};
    std::uint64_t releases{0};  ///< Number of claims of the team that ended.
  };
  struct class_state {
    int rank{0};
    std::optional<duration> finish_by;
  };
  struct reservation {
    job* owner{nullptr};
    std::vector<cell_block> cells;
    instant since{};
  };
  struct task_on_worker {
    job* owner{nullptr};
    std::uint32_t mask{0};
  };

  // Events.
  void on(const document_changed& input);
  void on(const job_submitted& input);
  void on(const job_restored& input);
  void on(const job_cancelled& input);
  void on(const attempt_started& input);
  void on(const attempt_ended& input);
  void on(const worker_up& input);
  void on(const worker_down& input);
  void on(const worker_failed_task& input);
  void on(const worker_was_set_aside& input);
  void on(const tick& input);

  // Document.
  void rebuild();
  void rebuild_teams();
  void rebuild_workers();
  void restore_attempts(const std::vector<job*>& active);
  void requeue_waiting(const std::vector<job*>& waiting);
  [[nodiscard]] std::vector<job*> jobs_in_order() const;
  [[nodiscard]] std::optional<int> team_limit(const team_spec& team) const;

  // Health and workers.
  void handle_health_event(const worker_health_event& input);
  void refresh_worker(int worker);
  void update_guarantee_plan();
  void report_guarantees();

  // Queue.
  [[nodiscard]] std::string impossible_reason(const job_spec& spec) const;
  [[nodiscard]] std::string capacity_reason(const job_spec& spec) const;
  [[nodiscard]] instant order_of(const job& item, duration attained) const;
  void enqueue(job& item);
  void dequeue(job& item);
  void erase_job(job& item);
  void refuse(job& item, std::string reason);
  void end(job& item, job_state state, std::string reason);
  void requeue(job& item, bool preempted);
  void finish_attempt(job& item, const attempt_ended& input);

  // Placement.
  void place_waiting_jobs();
  bool try_head(group& target);
  bool try_free_space(job& item);
  bool try_trial_worker(job& item);
  bool try_claim(job& item);
  /// Increases whenever a claim of the team that failed before may succeed.
  [[nodiscard]] std::uint64_t claim_generation(const team_id& team) const;
  void place(job& item, const std::vector<cell_block>& cells);
  void allocate_cells(job& item, const std::vector<cell_block>& cells);
  void release_cells(job& item);
  void release_claim(job& item);
  void hold(job& item, const std::vector<cell_block>& cells, preemption_cause cause);
  void try_place_held_job(job& item);
  void requeue_held_job(job& item);
  void release_hold(job& item);
  void preempt(job& item, preemption_cause cause, const std::string& reason);
  void set_pinned(const job& item, bool pinned);
  [[nodiscard]] std::vector<job*> occupants(const std::vector<cell_block>& cells) const;
  [[nodiscard]] bool is_blocked(const accelerator_shape& shape) const;
  [[nodiscard]] bool within_team_limit(const job& item) const;

  // Preemption and reservation.
  [[nodiscard]] double victim_cost(const job& victim) const;
  [[nodiscard]] double block_cost(const cell_block& block) const;
  [[nodiscard]] std::uint32_t reclaimable_mask(int worker) const;
  void update_reservations();
  void add_reservations();
  [[nodiscard]] int next_search_rack();
  void drop_reservation(const job& owner);
  void drop_overlapping_reservations(const std::vector<cell_block>& cells);
  bool activate_reservation(const reservation& due);
  void preempt_for_fair_share();
  [[nodiscard]] bool is_fair_share_victim(const job& victim, const job& claimant) const;
  [[nodiscard]] const reservation* reservation_of(const job& owner) const;

  // Migration.
  void migrate();
  [[nodiscard]] std::vector<accelerator_shape> demanded_shapes() const;
  /// Open accelerators that the demanded shapes can use, summed over the shapes, plus a small bonus for fully
  /// open groups of 8 that are concentrated in few racks.
  [[nodiscard]] double usable_score() const;
  /// Returns the jobs on the worker if all of them can move, otherwise an empty list.
  [[nodiscard]] std::vector<job*> movable_jobs(int worker) const;
  /// Returns the `usable_score` after moving the jobs to other workers, or `std::nullopt` if they do not fit
  /// there.
  [[nodiscard]] std::optional<double> score_without(int worker, const std::vector<job*>& moved);

  // Explanations.
  [[nodiscard]] std::string explain_guaranteed(const job& item) const;
  [[nodiscard]] std::string explain_preemptible(const job& item) const;

  options options_;
  std::shared_ptr<const environment_document> document_;
  failure_domain_id domain_;
  std::shared_ptr<const fleet_topology> topology_;
  std::unique_ptr<cell_tree> tree_;        ///< Current state: used, held and lost accelerators.
  std::unique_ptr<cell_tree> empty_tree_;  ///< Nothing used: tells whether a shape can fit at all.
  std::unique_ptr<guarantee_plan> plan_;
  worker_health health_;
  absl::flat_hash_map<job_id, std::unique_ptr<job>> jobs_;
  std::map<group_key, group> groups_;
  std::map<queue_position, group*> heads_;
  absl::flat_hash_map<team_id, team_state> teams_;
  absl::flat_hash_map<class_id, class_state> classes_;
  std::vector<std::vector<task_on_worker>> tasks_on_;
  std::vector<std::vector<job*>> holders_on_;
  std::vector<std::uint32_t> pinned_;    ///< Accelerators claimed by guaranteed jobs, per worker.
  std::vector<std::uint32_t> reserved_;  ///< Accelerators of reservations, per worker.
  std::vector<reservation> reservations_;
  absl::flat_hash_set<worker_id> down_;
  std::set<worker_id> trials_;
  std::vector<accelerator_shape> blocked_;  ///< Shapes that were found not to fit since the last pass began.
  std::map<guarantee_ref, int> reported_uncovered_;
  std::uint64_t claim_generation_{1};
  std::uint64_t next_sequence_{1};
  std::size_t waiting_{0};
  bool space_changed_{false};
  bool plan_changed_{false};
  double preemption_tokens_{0};
  double migration_tokens_{0};
  int next_migration_worker_{0};
  int search_rack_{0};
  instant last_tick_{};
  instant now_{};
  std::vector<action>* out_{nullptr};
};

}  // namespace rhubarbpath

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "rhubarbpath/state/ids.hpp"
#include "rhubarbpath/state/job_graph.hpp"
#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath {

/// The external service that decides which workers may run the steps of a queue.
struct adviser_config {
  duration decision{};    ///< Time that the adviser takes for one call.
  duration per_worker{};  ///< Additional time for each worker named in the call.
  duration validity{};    ///< Lifetime of a ticket.
};

/// A queue of jobs: where callers submit them, which service runs their tasks, and how they are ordered.
struct queue_config {
  queue_id id;
  std::string host;
  std::string path_prefix;
  service_id service;
  bool open_to_all{false};   ///< Callers need no API key of a team.
  std::int64_t priority{0};  ///< 0 is the most urgent and may preempt other queues.
  std::uint32_t max_attempts{1};
  double stretch{1.0};  ///< Multiple of the job's critical path in its completion objective.
  duration target{};    ///< Added to the completion objective.
  std::optional<adviser_config> adviser;
};

/// A job as it is stored when it is accepted.
struct accepted_job {
  job_id id;
  queue_id queue;
  team_id team;
  std::chrono::milliseconds accepted_at{0};  ///< Wall clock of the accepting VM.
  job_graph graph;
  /// The queue at that time. The job is finished by it if a later configuration has no such queue. Not set by
  /// earlier versions.
  std::optional<queue_config> terms;
};

struct service_config {
  service_id id;
  bool admission_control{true};  ///< Workers reject tasks that exceed their free capacity.
};

struct team_config {
  team_id id;
  std::vector<std::string> keys;  ///< API keys.
  std::int64_t guaranteed_accelerators{0};
};

/// The operator's configuration of queues, services and teams.
struct fleet_config {
  document_version version;
  std::vector<queue_config> queues;
  std::vector<service_config> services;
  std::vector<team_config> teams;
  std::uint64_t max_body_bytes{1U << 20U};
};

/// A worker's entry in the registry, written by the worker itself.
struct worker_entry {
  worker_id id;
  service_id service;
  std::string address;
  failure_domain_id domain;
  rack_id rack;
  std::vector<std::string> labels;
  resource_amounts capacity;
  bool draining{false};
  /// While it drains: it stays for at least this long after it wrote the entry. Nothing if it does not say.
  std::optional<std::chrono::milliseconds> stays_for{};
  incarnation born;  ///< Start time of the worker process, Unix milliseconds; 0 when unknown.
};

enum class run_outcome { done, failed, stopped, lease_expired, gang_broken, gang_incomplete };

/// A run in progress on a worker.
struct active_run {
  task_ref task;
  run_number run;
  std::string checkpoint;
  int percent{0};
};

/// A run that has ended on a worker. `number` increases by one per ended run within the worker's incarnation.
struct ended_run {
  std::uint64_t number{0};
  task_ref task;
  run_number run;
  run_outcome outcome{run_outcome::failed};
  std::string checkpoint;
};

/// A worker's answer to a lease renewal.
struct lease_report {
  incarnation born;
  std::chrono::milliseconds clock{0};  ///< The worker's monotonic clock; may run 2% slow.
  std::vector<active_run> running;
  std::vector<ended_run> ended;
  /// Whether the lists name every run of the worker that runs, or ended and is not acknowledged. Otherwise a
  /// run that is missing may still be running or may have ended.
  bool complete{true};
};

/// Why a worker refused a start order.
enum class start_refusal { fenced, superseded, too_late, no_room, no_ticket, unhealthy, invalid };

struct start_accepted {};
struct start_refused {
  start_refusal why{start_refusal::invalid};
};
/// No answer came; the order may have been carried out or may still be carried out later.
struct order_unanswered {};
/// Another worker or incarnation answered at the address.
struct wrong_instance {};

}  // namespace rhubarbpath

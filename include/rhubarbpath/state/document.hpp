#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "rhubarbpath/state/ids.hpp"
#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath {

/// Level of the topology at which one place must hold all members of a gang or of a guaranteed shape.
enum class proximity { worker, rack, failure_domain };

/// `members` aligned groups of accelerators, all inside one worker, rack or failure domain.
struct accelerator_shape {
  int accelerators_per_member{1};  ///< 1, 2, 4 or 8; a member never spans workers.
  int members{1};
  proximity within{proximity::worker};

  [[nodiscard]] int accelerators() const noexcept { return accelerators_per_member * members; }
  friend bool operator==(const accelerator_shape&, const accelerator_shape&) = default;
};

struct region_spec {
  region_id id;
  friend bool operator==(const region_spec&, const region_spec&) = default;
};

struct failure_domain_spec {
  failure_domain_id id;
  region_id region;
  friend bool operator==(const failure_domain_spec&, const failure_domain_spec&) = default;
};

struct rack_spec {
  rack_id id;
  failure_domain_id failure_domain;
  friend bool operator==(const rack_spec&, const rack_spec&) = default;
};

struct worker_spec {
  worker_id id;
  rack_id rack;
  service_id service;   ///< Service whose requests this worker serves; empty if it serves none.
  std::string address;  ///< IP number and port, for example "127.0.0.1:9001".
  int accelerators{8};
  int cores{32};
  int memory_gib{128};
  friend bool operator==(const worker_spec&, const worker_spec&) = default;
};

/// `count` instances of a shape that the team can claim at any time.
struct guarantee_spec {
  accelerator_shape shape;
  int count{1};
  std::optional<failure_domain_id> failure_domain;  ///< Any domain if not set.
  friend bool operator==(const guarantee_spec&, const guarantee_spec&) = default;
};

struct team_spec {
  team_id id;
  std::vector<guarantee_spec> guarantees;
  int max_accelerators{0};  ///< For all running jobs of the team together; 0 means no limit.
  int max_waiting_jobs{1000};
  int max_queued_requests{1000};
  friend bool operator==(const team_spec&, const team_spec&) = default;
};

struct request_class_spec {
  class_id id;
  int rank{0};  ///< Lower ranks are served first under overload.
  std::optional<duration> deadline;
  int queue_limit{1000};
  bool non_idempotent{false};
  friend bool operator==(const request_class_spec&, const request_class_spec&) = default;
};

struct service_spec {
  service_id id;
  int slots_per_target{8};
  int connections_per_target{60};
  std::vector<request_class_spec> classes;
  friend bool operator==(const service_spec&, const service_spec&) = default;
};

struct job_class_spec {
  class_id id;
  int rank{0};
  /// Time of day, since midnight UTC, by which jobs of this class must finish.
  std::optional<duration> finish_by;
  friend bool operator==(const job_class_spec&, const job_class_spec&) = default;
};

/// Limits on changes that the system makes without an operator.
struct automation_budget {
  double set_aside_share{0.1};  ///< Largest share of workers or targets that are set aside at once, 0 to 1.
  int migrations_per_hour{0};
  /// Limits only preemptions that reorder jobs; preemptions that reclaim a guarantee are not limited.
  int preemptions_per_hour{1000};
  double retry_share{0.1};  ///< Retries as a share of first attempts, 0 to 1.
  double hedge_share{0.0};  ///< Hedged requests as a share of first attempts, 0 to 1.
  friend bool operator==(const automation_budget&, const automation_budget&) = default;
};

/// Decoded content of a promoted document. The lists are flat; entries refer to each other by id.
struct environment_document {
  std::string environment;  ///< "trial" or "production".
  std::vector<region_spec> regions;
  std::vector<failure_domain_spec> failure_domains;
  std::vector<rack_spec> racks;
  std::vector<worker_spec> workers;
  std::vector<team_spec> teams;
  std::vector<service_spec> services;
  std::vector<job_class_spec> job_classes;
  automation_budget budget;
  friend bool operator==(const environment_document&, const environment_document&) = default;
};

/// The encoded content of a document with the version under which it was promoted.
struct versioned_document {
  document_version version;
  std::string digest;  ///< Hexadecimal SHA-256 of `bytes`.
  std::string bytes;
  friend bool operator==(const versioned_document&, const versioned_document&) = default;
};

}  // namespace rhubarbpath

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "rhubarbpath/state/ids.hpp"
#include "rhubarbpath/state/random.hpp"
#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath {

namespace health {

/// The targets to watch. State of targets that stay in the list is kept.
struct targets_changed {
  std::vector<worker_id> targets;
};
/// How many of the watched targets may be set aside at once. When fewer than are set aside now,
/// those set aside last return to use.
struct allowance_changed {
  int targets{0};
};
/// A call ended with an answer that shows a working target.
struct call_succeeded {
  worker_id target;
};
/// A call failed, or the target answered with a server error.
struct call_failed {
  worker_id target;
};
/// The trial call to the target left, see `trial_allowed`.
struct trial_started {
  worker_id target;
};
/// The `/ping` sent for `probe_wanted` was answered or failed.
struct probe_ended {
  worker_id target;
  bool answered{false};
};
struct tick {};

/// The target must receive no more calls.
struct set_aside {
  worker_id target;
};
/// The target may receive calls again.
struct restored {
  worker_id target;
};
/// Send `/ping` to the target; the answer decides whether a trial call follows.
struct probe_wanted {
  worker_id target;
};
/// Exactly one call may be sent to the target; report it with `trial_started`.
struct trial_allowed {
  worker_id target;
};

}  // namespace health

using target_health_event =
    std::variant<health::targets_changed, health::allowance_changed, health::call_succeeded,
                 health::call_failed, health::trial_started, health::probe_ended, health::tick>;
using target_health_action =
    std::variant<health::set_aside, health::restored, health::probe_wanted, health::trial_allowed>;

/// Passive failure detection for targets.
///
/// A target that fails `failures_to_set_aside` calls in a row is set aside while the allowance
/// permits it; above the allowance it stays in use as `suspect`, to be chosen last. A set-aside
/// target is pinged after a jittered wait and, when it answers, receives one trial call. Success
/// restores it; failure doubles the wait up to `longest_wait`. Memory: one record per watched target.
class target_health {
 public:
  struct options {
    int failures_to_set_aside{3};
    duration first_wait{std::chrono::seconds{1}};
    duration longest_wait{std::chrono::seconds{30}};
    /// A ping or trial call without a result for this long counts as failed.
    duration trial_timeout{std::chrono::seconds{10}};
  };

  target_health(options opts, random_source& random);

  void handle(const target_health_event& event, instant now, std::vector<target_health_action>& out);
  /// When to send a tick event.
  [[nodiscard]] std::optional<instant> next_deadline() const;

  /// May receive ordinary calls. An unknown target is not usable.
  [[nodiscard]] bool usable(const worker_id& target) const;
  /// Failed its last call; another target is to be preferred.
  [[nodiscard]] bool suspect(const worker_id& target) const;
  /// May receive exactly one call as a trial.
  [[nodiscard]] bool trial_open(const worker_id& target) const;
  [[nodiscard]] int set_aside_count() const noexcept { return set_aside_count_; }

 private:
  enum class phase { in_use, waiting, pinging, trial_open, in_trial };
  struct record {
    phase state{phase::in_use};
    int failures{0};             ///< In a row.
    duration wait{};             ///< Before the next ping.
    std::optional<instant> due;  ///< End of the wait, or of the ping or trial call.
    std::uint64_t order{0};      ///< Grows with each set-aside; the highest returns first.
  };

  void on(const health::targets_changed& event, instant now, std::vector<target_health_action>& out);
  void on(const health::allowance_changed& event, instant now, std::vector<target_health_action>& out);
  void on(const health::call_succeeded& event, instant now, std::vector<target_health_action>& out);
  void on(const health::call_failed& event, instant now, std::vector<target_health_action>& out);
  void on(const health::trial_started& event, instant now, std::vector<target_health_action>& out);
  void on(const health::probe_ended& event, instant now, std::vector<target_health_action>& out);
  void on(const health::tick& event, instant now, std::vector<target_health_action>& out);

  void wait_again(record& entry, instant now);
  void restore(const worker_id& target, record& entry, std::vector<target_health_action>& out);
  void restore_above_allowance(std::vector<target_health_action>& out);

  options options_;
  random_source* random_;
  absl::flat_hash_map<worker_id, record> records_;
  int allowance_{0};
  int set_aside_count_{0};
  std::uint64_t next_order_{1};
};

}  // namespace rhubarbpath

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

/// The targets to monitor. Targets that stay in the list keep their state.
struct targets_changed {
  std::vector<worker_id> targets;
};
/// Maximum number of targets that may be set aside at once. If more are set aside already, those set
/// aside most recently are restored.
struct set_aside_limit_changed {
  int targets{0};
};
/// A call completed with an answer other than a server error.
struct call_succeeded {
  worker_id target;
};
/// A call failed, or the target answered with a server error.
struct call_failed {
  worker_id target;
};
/// The trial call permitted by `trial_allowed` was sent.
struct trial_started {
  worker_id target;
};
/// The `/ping` requested by `send_probe` was answered or failed.
struct probe_ended {
  worker_id target;
  bool answered{false};
};
struct tick {};

/// Stop sending calls to the target.
struct set_aside {
  worker_id target;
};
/// The target may receive calls again.
struct restored {
  worker_id target;
};
/// Send `/ping` to the target. A trial call is allowed only if it answers.
struct send_probe {
  worker_id target;
};
/// One call may be sent to the target; report it with `trial_started`.
struct trial_allowed {
  worker_id target;
};

}  // namespace health

using target_health_event =
    std::variant<health::targets_changed, health::set_aside_limit_changed, health::call_succeeded,
                 health::call_failed, health::trial_started, health::probe_ended, health::tick>;
using target_health_action =
    std::variant<health::set_aside, health::restored, health::send_probe, health::trial_allowed>;

/// Passive failure detection for targets, with a circuit breaker per target.
///
/// A target is set aside, so that it receives no ordinary calls, after `failures_to_set_aside`
/// consecutive failed calls. Once the limit on set-aside targets is reached, a failing target stays in
/// use as `suspect` and is chosen last. A set-aside target is pinged after a jittered backoff and, if
/// it answers, receives one trial call. Success restores it; failure doubles the backoff up to
/// `max_backoff`. Memory: one record per monitored target.
class target_health {
 public:
  struct options {
    int failures_to_set_aside{3};
    duration initial_backoff{std::chrono::seconds{1}};
    duration max_backoff{std::chrono::seconds{30}};
    /// A ping or trial call counts as failed after this long without a result.
    duration trial_timeout{std::chrono::seconds{10}};
  };

  target_health(options opts, random_source& random);

  void handle(const target_health_event& event, instant now, std::vector<target_health_action>& out);
  /// When the next `tick` event is due; empty when none is needed.
  [[nodiscard]] std::optional<instant> next_deadline() const;

  /// Whether the target may receive ordinary calls; false for an unknown target.
  [[nodiscard]] bool usable(const worker_id& target) const;
  /// Whether the last call to the target failed, so that other targets are preferred.
  [[nodiscard]] bool suspect(const worker_id& target) const;
  /// Whether the target may receive one call as a trial.
  [[nodiscard]] bool trial_open(const worker_id& target) const;
  [[nodiscard]] int set_aside_count() const noexcept { return set_aside_count_; }

 private:
  enum class phase { in_use, waiting, pinging, trial_open, in_trial };
  struct record {
    phase state{phase::in_use};
    int failures{0};             ///< Consecutive failed calls.
    duration backoff{};          ///< Delay before the next ping, before jitter.
    std::optional<instant> due;  ///< End of the backoff, or timeout of the ping or trial call.
    std::uint64_t sequence{0};   ///< Increases with each set-aside; the highest is restored first.
  };

  void on(const health::targets_changed& event, instant now, std::vector<target_health_action>& out);
  void on(const health::set_aside_limit_changed& event, instant now, std::vector<target_health_action>& out);
  void on(const health::call_succeeded& event, instant now, std::vector<target_health_action>& out);
  void on(const health::call_failed& event, instant now, std::vector<target_health_action>& out);
  void on(const health::trial_started& event, instant now, std::vector<target_health_action>& out);
  void on(const health::probe_ended& event, instant now, std::vector<target_health_action>& out);
  void on(const health::tick& event, instant now, std::vector<target_health_action>& out);

  void back_off(record& entry, instant now);
  void restore(const worker_id& target, record& entry, std::vector<target_health_action>& out);
  void restore_above_limit(std::vector<target_health_action>& out);

  options options_;
  random_source* random_;
  absl::flat_hash_map<worker_id, record> records_;
  int set_aside_limit_{0};
  int set_aside_count_{0};
  std::uint64_t next_sequence_{1};
};

}  // namespace rhubarbpath

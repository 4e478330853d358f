#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "rhubarbpath/coordination/store_session.hpp"
#include "rhubarbpath/coordination/tick.hpp"
#include "rhubarbpath/state/ids.hpp"
#include "rhubarbpath/state/random.hpp"
#include "rhubarbpath/state/store.hpp"
#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath {

/// Returns the schedulers in order of preference for a failure domain (rendezvous hashing), the preferred one
/// first.
[[nodiscard]] std::vector<vm_id> lease_ranking(const failure_domain_id& domain, std::span<const vm_id> live);

/// The schedulers that membership reports as live and not draining.
struct schedulers_changed {
  std::vector<vm_id> live;
};

/// The process is shutting down: it releases its leases and acquires no new ones.
struct drain_requested {};

/// The holder no longer uses the lease, for example because another epoch was opened. The keeper releases the
/// lease and does not try to acquire it again for `wait`.
struct lease_resigned {
  duration wait{};
};

using lease_keeper_event =
    std::variant<schedulers_changed, drain_requested, lease_resigned, store_call_result, tick>;

struct lease_acquired {};

/// The lease may have expired because the store does not respond; this process was not paused. Until
/// `lease_confirmed`, the holder must not start anything that depends on the store.
struct lease_uncertain {};
struct lease_confirmed {};

/// The holder must stop acting as the owner immediately.
struct lease_lost {
  std::string reason;
};

/// The keeper deletes the lease row so that the next scheduler takes over immediately. The holder continues
/// to act as the owner until it sees the successor's epoch.
struct lease_released {};

using lease_keeper_action = std::variant<store_call, store_call_cancelled, lease_acquired, lease_uncertain,
                                         lease_confirmed, lease_lost, lease_released>;

/// Acquires and renews the lease of one failure domain.
///
/// The lease only selects the scheduler that tries to own the domain; mutual exclusion is enforced by the
/// epoch of the domain log. The holder measures the validity of the lease from the time at which it requested
/// the renewal, so its lease expires before the store's does.
class lease_keeper {
 public:
  struct options {
    std::string prefix;  ///< For example "/env/production/domains/tas-hba".
    failure_domain_id failure_domain;
    vm_id self;
    incarnation self_incarnation;
    call_id first_call{1};
    duration time_to_live{5'000'000};
    duration renew_interval{1'500'000};
    duration rank_delay{500'000};  ///< A candidate of rank n delays its acquisition by n times this.
    std::size_t watchers{3};  ///< Candidates with a rank below this watch the lease row; others poll rarely.
    duration watch_wait{1'500'000};
    duration passive_poll_interval{30'000'000};
    /// Time for which a candidate that could not reach the store delays its acquisition, so that a holder
    /// whose lease expired during the outage can reacquire it and keep its epoch.
    duration outage_grace{4'000'000};
    duration pause_threshold{1'000'000};   ///< A longer gap between events counts as a pause of the process.
    duration rebalance_after{30'000'000};  ///< A holder that is not preferred then releases the lease.
  };

  lease_keeper(options opts, random_source& random);
  void handle(const lease_keeper_event& event, instant now, std::vector<lease_keeper_action>& out);
  [[nodiscard]] std::optional<instant> next_deadline() const;

  /// True from `lease_acquired` until `lease_lost` or `lease_released`.
  [[nodiscard]] bool holds() const noexcept {
    return phase_ == phase::held || phase_ == phase::uncertain || reacquiring_;
  }
  [[nodiscard]] call_id next_call() const noexcept { return next_call_; }

 private:
  enum class phase { passive, reading, watching, delaying, granting, acquiring, held, uncertain, releasing };
  using actions = std::vector<lease_keeper_action>;

  void on(const schedulers_changed& event, instant now, actions& out);
  void on(const drain_requested& event, instant now, actions& out);
  void on(const lease_resigned& event, instant now, actions& out);
  void on(const store_call_result& event, instant now, actions& out);
  void on(const tick& event, instant now, actions& out);

  void detect_pause(instant now, actions& out);
  void run_timers(instant now, actions& out);
  void read_lease_row(instant now, actions& out);
  void on_lease_row(const store_response& response, instant now, actions& out);
  [[nodiscard]] duration acquisition_delay(instant now) const;
  void on_row_absent(instant now, actions& out);
  void request_grant(instant now, actions& out);
  void on_granted(const store_response& response, instant now, actions& out);
  void on_acquired(const store_response& response, instant now, actions& out);
  void renew(instant now, actions& out);
  void on_renewed(const store_response& response, instant now, actions& out);
  void become_uncertain(actions& out);
  void release(instant now, actions& out);
  void wait_until(instant at, actions& out);
  void report_lost(std::string reason, instant now, actions& out);
  void cancel_call(actions& out);
  void make_call(store_request request, duration retry_for, instant now, actions& out);
  [[nodiscard]] std::string key() const { return options_.prefix + "/lease"; }
  [[nodiscard]] std::string value() const;

  options options_;
  random_source* random_;
  phase phase_{phase::passive};
  std::optional<std::size_t> rank_;  ///< Unset while this process is not a live scheduler.
  instant not_preferred_since_{};    ///< Start of the period in which another scheduler is preferred.
  bool delay_elapsed_{false};        ///< The acquisition delay has passed since the row was found absent.
  bool reacquiring_{false};          ///< A holder whose lease has expired is acquiring it again.
  bool draining_{false};
  call_id next_call_;
  call_id call_;  ///< The call in flight; zero when there is none.
  instant call_requested_at_{};
  instant grant_requested_at_{};
  store_lease_id lease_;
  revision row_revision_;  ///< Revision of the lease row that was read or written last.
  instant valid_until_{};
  instant wake_at_{};  ///< Time of the next action in the passive, delaying, held and uncertain phases.
  instant wait_after_release_{};
  std::optional<instant> last_failed_read_;
  std::optional<instant> last_event_at_;
};

}  // namespace rhubarbpath

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

/// Schedulers ordered by preference for a failure domain (rendezvous hash); the first is preferred.
[[nodiscard]] std::vector<vm_id> lease_ranking(const failure_domain_id& domain, std::span<const vm_id> live);

/// The schedulers that are live and not draining, as membership sees them.
struct schedulers_changed {
  std::vector<vm_id> live;
};

/// The process is to end: give up leases and take no new ones.
struct drain_requested {};

/// The holder stops using the lease, for example because another epoch was opened. The keeper gives the
/// lease up and does not try to take it for `wait`.
struct lease_resigned {
  duration wait{};
};

using lease_keeper_event =
    std::variant<schedulers_changed, drain_requested, lease_resigned, store_call_result, tick>;

struct lease_acquired {};

/// The lease may have expired because the store does not answer, while this process was not paused. Nothing
/// that needs the store may be started until `lease_confirmed`.
struct lease_uncertain {};
struct lease_confirmed {};

/// The holder must stop acting at once.
struct lease_lost {
  std::string reason;
};

/// The lease row was deleted on purpose, so that the next scheduler takes over at once. The holder acts
/// until it sees the successor's epoch.
struct lease_released {};

using lease_keeper_action = std::variant<store_call, store_call_cancelled, lease_acquired, lease_uncertain,
                                         lease_confirmed, lease_lost, lease_released>;

/// Holds the lease of one failure domain, or waits for it.
///
/// The lease only decides who tries to own the domain; exclusion comes from the domain log's epoch. Time is
/// counted from when a renewal was requested, so the holder's view ends before the store's.
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
    duration rank_delay{500'000};  ///< The candidate of rank n waits n times this interval.
    std::size_t watchers{3};       ///< Candidates of lower rank watch the lease row; others look rarely.
    duration watch_wait{1'500'000};
    duration passive_poll{30'000'000};
    /// A candidate that could not reach the store waits this long, so that the holder, whose lease expired
    /// in the outage, can take it again and keeps its epoch.
    duration outage_grace{4'000'000};
    duration pause_threshold{1'000'000};   ///< A longer time without an event counts as a pause.
    duration rebalance_after{30'000'000};  ///< A holder that is not preferred hands over after this time.
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

  void check_pause(instant now, actions& out);
  void run_timers(instant now, actions& out);
  void look(instant now, actions& out);
  void on_lease_row(const store_response& response, instant now, actions& out);
  [[nodiscard]] duration acquisition_delay(instant now) const;
  void on_row_absent(instant now, actions& out);
  void grant(instant now, actions& out);
  void on_granted(const store_response& response, instant now, actions& out);
  void on_acquired(const store_response& response, instant now, actions& out);
  void renew(instant now, actions& out);
  void on_renewed(const store_response& response, instant now, actions& out);
  void become_uncertain(actions& out);
  void release(instant now, actions& out);
  void wait_until(instant at, actions& out);
  void lose(std::string reason, instant now, actions& out);
  void cancel_call(actions& out);
  void make_call(store_request request, duration retry_for, instant now, actions& out);
  [[nodiscard]] std::string key() const { return options_.prefix + "/lease"; }
  [[nodiscard]] std::string value() const;

  options options_;
  random_source* random_;
  phase phase_{phase::passive};
  std::optional<std::size_t> rank_;  ///< Unset while this process is not among the live schedulers.
  instant not_preferred_since_{};    ///< Since when another scheduler has been preferred.
  bool delay_served_{false};         ///< The delay of this rank has passed since the row was seen absent.
  bool reacquiring_{false};          ///< Granting or acquiring for a holder whose lease has expired.
  bool draining_{false};
  call_id next_call_;
  call_id call_;  ///< The call in flight; zero when there is none.
  instant call_made_{};
  instant grant_made_{};
  store_lease_id lease_;
  revision row_revision_;  ///< Revision of the lease row seen last.
  instant valid_until_{};
  instant wake_at_{};  ///< When a passive, delaying or holding keeper acts next.
  instant wait_after_release_{};
  std::optional<instant> last_failed_look_;
  std::optional<instant> last_handled_;
};

}  // namespace rhubarbpath

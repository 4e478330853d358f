#pragma once

#include <set>
#include <vector>

#include "rhubarbpath/state/ids.hpp"
#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath {

/// The failure domains that an operator evacuates, and how old the owner's knowledge of them is. Nothing may
/// be started anywhere while a request may be unknown.
class domain_evacuations {
 public:
  struct change {
    failure_domain_id domain;
    bool evacuated{false};

    friend bool operator==(const change&, const change&) = default;
  };

  /// No start may happen in a domain later than `limit` after its evacuation was requested. An order that is
  /// sent takes up to `order_timeout` to arrive.
  domain_evacuations(duration limit, duration order_timeout);

  /// How old knowledge may be when an order to start is sent.
  [[nodiscard]] duration max_age() const noexcept { return max_age_; }
  /// How long a watch of the requests may wait for a change. Two in a row may get no
  /// answer before starts are held.
  [[nodiscard]] duration watch_wait() const noexcept { return max_age_ / 6; }

  /// All requests were read by a call that was sent at `sent`.
  void read_all(std::set<failure_domain_id> domains, instant sent);
  /// A request was made or taken back. Returns whether this changes anything.
  bool apply(const change& news);
  /// All changes before `sent` are known.
  void confirm(instant sent);

  [[nodiscard]] bool may_start(instant now) const { return read_ && now - confirmed_at_ <= max_age_; }
  [[nodiscard]] const std::set<failure_domain_id>& domains() const noexcept { return domains_; }

 private:
  duration max_age_;
  bool read_{false};
  instant confirmed_at_{};
  std::set<failure_domain_id> domains_;
};

/// The domains that are evacuated in one of the sets only, with their state in `after`.
[[nodiscard]] std::vector<domain_evacuations::change> changed_domains(
    const std::set<failure_domain_id>& before, const std::set<failure_domain_id>& after);

}  // namespace rhubarbpath

#include "rhubarbpath/coordination/owner_election.hpp"

#include <algorithm>
#include <utility>

namespace rhubarbpath {

bool much_larger_processor(double largest_known, double own_cores) {
  constexpr double min_processor_ratio = 2.0;
  return largest_known >= min_processor_ratio * own_cores;
}

duration claim_delay(double own_cores, double largest_known, bool peers_complete) {
  constexpr duration larger_vm_delay{std::chrono::milliseconds{900}};
  constexpr duration zero_cores_delay{std::chrono::milliseconds{400}};
  if (much_larger_processor(largest_known, own_cores)) {
    return larger_vm_delay;
  }
  if (peers_complete) {
    return duration::zero();
  }
  const double missing_share = 1.0 - std::clamp(own_cores, 0.0, 1.0);
  return duration{static_cast<std::int64_t>(static_cast<double>(zero_cores_delay.count()) * missing_share)};
}

owner_election::owner_election(options opts, random_source& random)
    : opts_{std::move(opts)}, random_{random} {}

void owner_election::start_watching(instant retry_at) {
  phase_ = phase::watching;
  claim_at_ = retry_at;
}

void owner_election::observed(const ownership_view& view, instant now) {
  const bool owned_by_other = view.owner_revision != revision{} && view.owner != opts_.self;
  if (phase_ == phase::leasing && owned_by_other) {
    // The pending lease is released when it is granted.
    phase_ = phase::watching;
  }
  if (phase_ == phase::leasing || phase_ == phase::claiming) {
    // The claim is conditional on the rows as read while there was no owner. Using newer rows here would let
    // it replace an owner whose term has just begun.
    return;
  }
  view_ = view;
  if (phase_ == phase::owning) {
    const bool own = view.owner == opts_.self && view.term == term_;
    if (!own && view.term > term_) {
      end_term("another VM has claimed ownership", now);
      start_watching(now + opts_.retry_pause);
    } else if (!own && view.owner_revision == revision{}) {
      end_term("the owner row was deleted", now);
      start_watching(now);
    }
    return;
  }
  if (phase_ == phase::reading) {
    phase_ = phase::watching;
    // An owner row with this VM's id is left over from an earlier process, or from this one before it lost
    // its lease.
    if (view.owner_revision == revision{} || view.owner == opts_.self) {
      phase_ = phase::leasing;
      const auto ttl = std::chrono::duration_cast<std::chrono::milliseconds>(opts_.lease);
      actions_.emplace_back(request_lease{.ttl = ttl});
    }
    return;
  }
  if (phase_ != phase::watching) {
    return;
  }
  if (owned_by_other) {
    claim_at_.reset();
    return;
  }
  if (!claim_at_) {
    const auto jitter = static_cast<double>(opts_.claim_jitter.count()) * random_.fraction();
    claim_at_ = now + claim_delay_ + duration{static_cast<std::int64_t>(jitter)};
  }
}

void owner_election::read_failed(instant now) {
  if (phase_ == phase::reading) {
    start_watching(now + opts_.retry_pause);
  }
}

void owner_election::lease_granted(store_lease lease, instant sent_at, instant now) {
  if (phase_ != phase::leasing) {
    actions_.emplace_back(release_ownership{.lease = lease});
    return;
  }
  lease_ = lease;
  lease_requested_at_ = sent_at;
  phase_ = phase::claiming;
  actions_.emplace_back(claim_ownership{.lease = lease,
                                        .expected_owner_revision = view_.owner_revision,
                                        .expected_term_revision = view_.term_revision,
                                        .term = view_.term.next()});
  (void)now;
}

void owner_election::lease_failed(instant now) {
  if (phase_ == phase::leasing) {
    start_watching(now + opts_.retry_pause);
  }
}

void owner_election::claimed(revision owner_revision, instant now) {
  if (phase_ != phase::claiming) {
    return;
  }
  phase_ = phase::owning;
  term_ = view_.term.next();
  valid_until_ = lease_requested_at_ + opts_.lease - opts_.safety_margin;
  renewing_ = false;
  renew_at_ = lease_requested_at_ + opts_.renew_interval;
  claim_at_.reset();
  actions_.emplace_back(term_began{.term = term_, .owner_row = owner_revision});
  tick(now);
}

void owner_election::claim_failed(instant now) {
  if (phase_ == phase::claiming) {
    // The claim may still be committed, but only under this lease, so releasing the lease undoes it.
    actions_.emplace_back(release_ownership{.lease = lease_});
    start_watching(now + opts_.retry_pause);
  }
}

void owner_election::renewed(instant sent_at, instant now) {
  renewing_ = false;
  if (phase_ == phase::owning && now < valid_until_) {
    valid_until_ = std::max(valid_until_, sent_at + opts_.lease - opts_.safety_margin);
    renew_at_ = sent_at + opts_.renew_interval;
  }
  tick(now);
}

void owner_election::renew_failed(bool lease_lost, instant now) {
  renewing_ = false;
  if (phase_ != phase::owning) {
    return;
  }
  if (lease_lost) {
    end_term("the store lease has expired", now);
    start_watching(now);
    return;
  }
  constexpr duration renew_retry_pause{std::chrono::milliseconds{100}};
  renew_at_ = now + renew_retry_pause;
}

void owner_election::end_term(std::string reason, instant /*now*/) {
  actions_.emplace_back(term_ended{.term = term_, .reason = std::move(reason)});
}

void owner_election::resign(instant now) {
  if (phase_ == phase::owning) {
    end_term("the process is shutting down", now);
    actions_.emplace_back(release_ownership{.lease = lease_});
  }
  phase_ = phase::resigned;
}

void owner_election::set_larger_vm_known(bool known, instant now) {
  if (!known) {
    larger_vm_known_since_.reset();
  } else if (!larger_vm_known_since_) {
    larger_vm_known_since_ = now;
  }
}

bool owner_election::should_hand_over(instant now) const {
  return larger_vm_known_since_ && now - *larger_vm_known_since_ >= opts_.hand_over_after &&
         (!handed_over_at_ || now - *handed_over_at_ >= opts_.hand_over_pause);
}

void owner_election::superseded(instant now) {
  if (phase_ == phase::owning) {
    end_term("a newer owner has sent orders", now);
    start_watching(now + opts_.retry_pause);
  }
}

void owner_election::tick(instant now) {
  if (phase_ == phase::owning) {
    if (now >= valid_until_) {
      end_term("the store lease was not renewed in time", now);
      start_watching(now);
    } else if (should_hand_over(now)) {
      end_term("handed over to a much larger VM", now);
      actions_.emplace_back(release_ownership{.lease = lease_});
      handed_over_at_ = now;
      // The larger VM claims as soon as the row is deleted; this VM claims only if no other does.
      start_watching(now + claim_delay_);
    } else if (!renewing_ && now >= renew_at_) {
      renewing_ = true;
      actions_.emplace_back(renew_ownership{.lease = lease_});
    }
  }
  if (phase_ == phase::watching && claim_at_ && now >= *claim_at_) {
    claim_at_.reset();
    phase_ = phase::reading;
    actions_.emplace_back(read_ownership{});
  }
}

bool owner_election::owns(instant now) const {
  return phase_ == phase::owning && now < valid_until_;
}

std::vector<election_action> owner_election::take_actions() {
  return std::exchange(actions_, {});
}

}  // namespace rhubarbpath

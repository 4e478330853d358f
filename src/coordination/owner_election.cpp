#include "rhubarbpath/coordination/owner_election.hpp"

#include <algorithm>
#include <utility>

namespace rhubarbpath {

bool much_larger_processor(double largest_known, double own_cores) {
  constexpr double much_larger = 2.0;
  return largest_known >= much_larger * own_cores;
}

duration claim_handicap(double own_cores, double largest_known, bool peers_complete) {
  constexpr duration behind_larger{std::chrono::milliseconds{900}};
  constexpr duration without_any_processor{std::chrono::milliseconds{400}};
  if (much_larger_processor(largest_known, own_cores)) {
    return behind_larger;
  }
  if (peers_complete) {
    return duration::zero();
  }
  const double missing = 1.0 - std::clamp(own_cores, 0.0, 1.0);
  return duration{static_cast<std::int64_t>(static_cast<double>(without_any_processor.count()) * missing)};
}

owner_election::owner_election(options opts, random_source& random)
    : opts_{std::move(opts)}, random_{random} {}

void owner_election::become_watching(instant retry_at) {
  phase_ = phase::watching;
  claim_at_ = retry_at;
}

void owner_election::observed(const ownership_view& view, instant now) {
  const bool owned_by_other = view.owner_changed != revision{} && view.owner != opts_.self;
  if (phase_ == phase::leasing && owned_by_other) {
    // The lease that is on its way is given back when it arrives.
    phase_ = phase::watching;
  }
  if (phase_ == phase::leasing || phase_ == phase::claiming) {
    // A claim is conditional on the rows as they were read, when nobody owned the duty; taking newer rows
    // would let it replace an owner that has just begun.
    return;
  }
  view_ = view;
  if (phase_ == phase::owning) {
    const bool own = view.owner == opts_.self && view.term == term_;
    if (!own && view.term > term_) {
      end_term("another owner has claimed the duty", now);
      become_watching(now + opts_.retry_pause);
    } else if (!own && view.owner_changed == revision{}) {
      end_term("the owner row is gone", now);
      become_watching(now);
    }
    return;
  }
  if (phase_ == phase::reading) {
    phase_ = phase::watching;
    // A row of this VM was left by an earlier process, or by this one before it lost its lease.
    if (view.owner_changed == revision{} || view.owner == opts_.self) {
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
    const auto spread = static_cast<double>(opts_.claim_spread.count()) * random_.fraction();
    claim_at_ = now + claim_handicap_ + duration{static_cast<std::int64_t>(spread)};
  }
}

void owner_election::read_failed(instant now) {
  if (phase_ == phase::reading) {
    become_watching(now + opts_.retry_pause);
  }
}

void owner_election::lease_granted(store_lease lease, instant asked, instant now) {
  if (phase_ != phase::leasing) {
    actions_.emplace_back(release_ownership{.lease = lease});
    return;
  }
  lease_ = lease;
  lease_asked_ = asked;
  phase_ = phase::claiming;
  actions_.emplace_back(claim_ownership{.lease = lease,
                                        .owner_read = view_.owner_changed,
                                        .term_read = view_.term_changed,
                                        .term = view_.term.next()});
  (void)now;
}

void owner_election::lease_failed(instant now) {
  if (phase_ == phase::leasing) {
    become_watching(now + opts_.retry_pause);
  }
}

void owner_election::claimed(revision owner_changed, instant now) {
  if (phase_ != phase::claiming) {
    return;
  }
  phase_ = phase::owning;
  term_ = view_.term.next();
  valid_until_ = lease_asked_ + opts_.lease - opts_.safety_margin;
  renewing_ = false;
  renew_at_ = lease_asked_ + opts_.renew_every;
  claim_at_.reset();
  actions_.emplace_back(term_began{.term = term_, .owner_row = owner_changed});
  tick(now);
}

void owner_election::claim_failed(instant now) {
  if (phase_ == phase::claiming) {
    // The claim may still be carried out, but only under this lease, which is given back.
    actions_.emplace_back(release_ownership{.lease = lease_});
    become_watching(now + opts_.retry_pause);
  }
}

void owner_election::renewed(instant asked, instant now) {
  renewing_ = false;
  if (phase_ == phase::owning && now < valid_until_) {
    valid_until_ = std::max(valid_until_, asked + opts_.lease - opts_.safety_margin);
    renew_at_ = asked + opts_.renew_every;
  }
  tick(now);
}

void owner_election::renew_failed(bool ended, instant now) {
  renewing_ = false;
  if (phase_ != phase::owning) {
    return;
  }
  if (ended) {
    end_term("the lease has ended", now);
    become_watching(now);
    return;
  }
  constexpr duration repeat_pause{std::chrono::milliseconds{100}};
  renew_at_ = now + repeat_pause;
}

void owner_election::end_term(std::string reason, instant /*now*/) {
  actions_.emplace_back(term_ended{.term = term_, .reason = std::move(reason)});
}

void owner_election::resign(instant now) {
  if (phase_ == phase::owning) {
    end_term("the process stops", now);
    actions_.emplace_back(release_ownership{.lease = lease_});
  }
  phase_ = phase::resigned;
}

void owner_election::set_larger_known(bool known, instant now) {
  if (!known) {
    larger_known_since_.reset();
  } else if (!larger_known_since_) {
    larger_known_since_ = now;
  }
}

bool owner_election::hands_over(instant now) const {
  return larger_known_since_ && now - *larger_known_since_ >= opts_.hand_over_after &&
         (!handed_over_at_ || now - *handed_over_at_ >= opts_.hand_over_pause);
}

void owner_election::superseded(instant now) {
  if (phase_ == phase::owning) {
    end_term("a newer owner has given orders", now);
    become_watching(now + opts_.retry_pause);
  }
}

void owner_election::tick(instant now) {
  if (phase_ == phase::owning) {
    if (now >= valid_until_) {
      end_term("the lease could not be renewed in time", now);
      become_watching(now);
    } else if (hands_over(now)) {
      end_term("a much larger VM is known", now);
      actions_.emplace_back(release_ownership{.lease = lease_});
      handed_over_at_ = now;
      // The larger VM claims as soon as the row is gone; this one only if none does.
      become_watching(now + claim_handicap_);
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

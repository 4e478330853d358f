#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "rhubarbpath/state/fleet.hpp"
#include "rhubarbpath/state/kv.hpp"
#include "rhubarbpath/state/random.hpp"

namespace rhubarbpath {

/// Request a store lease to attach to the owner row.
struct request_lease {
  std::chrono::milliseconds ttl{0};
};
/// Read the owner row and the term counter from the store.
struct read_ownership {};
/// Compare-and-swap: write the owner row under `lease` and the new term if both rows still have the revisions
/// that were read.
struct claim_ownership {
  store_lease lease;
  revision expected_owner_revision;
  revision expected_term_revision;
  owner_term term;
};
/// Renew the store lease of the owner row.
struct renew_ownership {
  store_lease lease;
};
/// Release the store lease; the store deletes the owner row that is attached to it.
struct release_ownership {
  store_lease lease;
};
/// This process may send orders to workers until `term_ended`.
struct term_began {
  owner_term term;
  revision owner_row;
};
/// This process must send no more orders.
struct term_ended {
  owner_term term;
  std::string reason;  ///< For the log.
};
using election_action = std::variant<request_lease, read_ownership, claim_ownership, renew_ownership,
                                     release_ownership, term_began, term_ended>;

/// The ownership rows as the store held them at one revision.
struct ownership_view {
  std::optional<vm_id> owner;
  revision owner_revision;  ///< Revision of the owner row; 0 if there is no owner.
  owner_term term;          ///< Highest term so far.
  revision term_revision;   ///< Revision of the term counter.
};

/// Returns how long a VM delays its claim when there is no owner, so that larger VMs claim first. On large
/// sites the owner needs up to 0.3 of a core, and the smallest VMs have 0.12. Until the peer list is
/// complete, larger VMs may still be unknown, so the delay then depends on the size of this VM alone.
[[nodiscard]] duration claim_delay(double own_cores, double largest_known, bool peers_complete);

/// Returns whether the largest known VM has so many more cores that it should be the owner instead.
[[nodiscard]] bool much_larger_processor(double largest_known, double own_cores);

/// Leader election for the scheduler. The owner row is attached to a store lease, and each claim increments
/// the term counter, a fencing token by which workers reject orders of earlier owners.
///
/// A state machine without I/O: it takes time and results as input, and the caller carries out the requests
/// that `take_actions` returns. Time must include suspension of the VM (CLOCK_BOOTTIME), so that a process
/// that was frozen finds its lease expired before it sends another order.
class owner_election {
 public:
  struct options {
    vm_id self;
    /// Failover starts this long after the last renewal of a failed owner. A shorter lease would expire while
    /// the store responds slowly (340 ms) and some responses are lost.
    duration lease{std::chrono::milliseconds{2500}};
    duration renew_interval{std::chrono::milliseconds{600}};
    /// The owner stops this long before its lease can expire in the store.
    duration safety_margin{std::chrono::milliseconds{200}};
    /// Upper limit of the random delay before a claim, so that VMs of the same size do not claim at once.
    duration claim_jitter{std::chrono::milliseconds{80}};
    /// Wait after a failed claim.
    duration retry_pause{std::chrono::milliseconds{250}};
    /// A much larger VM must be known for this long before a smaller owner hands ownership over. Peers
    /// exchange their lists every 2 s.
    duration hand_over_after{std::chrono::seconds{3}};
    /// An owner that regains ownership after a handover keeps it for this long, because the larger VM cannot
    /// reach the store or is slow to claim.
    duration hand_over_pause{std::chrono::seconds{30}};
  };

  owner_election(options opts, random_source& random);

  /// Takes the ownership rows, from `read_ownership` or a watch.
  void observed(const ownership_view& view, instant now);
  void read_failed(instant now);
  void lease_granted(store_lease lease, instant sent_at, instant now);
  void lease_failed(instant now);
  /// `owner_revision` is the revision at which the claim was committed.
  void claimed(revision owner_revision, instant now);
  /// The claim was rejected, or its outcome is unknown; in both cases the rows are read again.
  void claim_failed(instant now);
  void renewed(instant sent_at, instant now);
  /// `lease_lost` means that the store no longer has the lease.
  void renew_failed(bool lease_lost, instant now);
  /// Releases ownership for a graceful shutdown; this process does not claim again.
  void resign(instant now);
  /// A worker or the store reported a newer owner.
  void superseded(instant now);
  void tick(instant now);
  /// Sets the delay before a claim; see `claim_delay`.
  void set_claim_delay(duration handicap) noexcept { claim_delay_ = handicap; }
  /// Sets whether a VM is known that should be the owner instead; see `much_larger_processor`.
  void set_larger_vm_known(bool known, instant now);

  [[nodiscard]] bool owns(instant now) const;
  [[nodiscard]] std::vector<election_action> take_actions();

 private:
  enum class phase { watching, reading, leasing, claiming, owning, resigned };

  void start_watching(instant retry_at);
  [[nodiscard]] bool should_hand_over(instant now) const;
  void end_term(std::string reason, instant now);

  options opts_;
  random_source& random_;
  phase phase_{phase::watching};
  ownership_view view_;
  std::optional<instant> claim_at_;
  store_lease lease_;
  instant lease_requested_at_{};
  instant valid_until_{};
  owner_term term_;
  bool renewing_{false};
  duration claim_delay_{};
  instant renew_at_{};
  std::optional<instant> larger_vm_known_since_;
  std::optional<instant> handed_over_at_;
  std::vector<election_action> actions_;
};

}  // namespace rhubarbpath

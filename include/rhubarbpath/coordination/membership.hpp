#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "rhubarbpath/coordination/peer_types.hpp"
#include "rhubarbpath/state/random.hpp"

namespace rhubarbpath {

/// A member that is considered alive.
struct live_member {
  member_info info;
  bool draining{false};
  bool suspected{false};
  friend bool operator==(const live_member&, const live_member&) = default;
};

/// State of this VM that its heartbeats carry besides its liveness.
struct local_status {
  view_number view;
  peer::document_stamp document;
  bool draining{false};
  std::vector<peer::service_load> loads;
};

struct heartbeat_received {
  vm_id from;
  peer::heartbeat content;
};

/// An entry of the platform's VM list. The list is only used to find peers to contact.
struct vm_list_entry {
  vm_id vm;
  std::string address;
};
struct vm_list_changed {
  std::vector<vm_list_entry> vms;
};

/// This process is about to exit.
struct leave_requested {};
struct membership_tick {};

using membership_event =
    std::variant<heartbeat_received, local_status, vm_list_changed, leave_requested, membership_tick>;

struct send_heartbeat {
  vm_id to;
  std::string address;
  peer::heartbeat content;
};

/// The live list changed. It includes this VM and is ordered by id.
struct live_list_changed {
  std::vector<live_member> members;
};

/// This VM was paused or lost contact with its peers (`stale`), or has contact again. A stale VM must
/// not rely on its view, its document version or its live list; the caller reads them again.
struct staleness_changed {
  bool stale{false};
  duration gap{};  ///< Length of the pause, or of the time without a message from a peer.
};

/// A peer reported a newer incarnation of this VM's id, so this process must stop.
struct superseded {
  incarnation newer;
};

using membership_action = std::variant<send_heartbeat, live_list_changed, staleness_changed, superseded>;

/// Failure detector that disseminates its results by gossip. Every VM sends heartbeats to its successors
/// on a hash ring and monitors its predecessors, so that the cost per VM does not depend on the number of
/// VMs.
class membership {
 public:
  struct options {
    member_info self;
    duration heartbeat_interval{250'000};
    /// Silence after which a predecessor is suspected: three lost heartbeats.
    duration suspect_after{800'000};
    /// Time in which a suspected member can refute the suspicion before it counts as dead. The sum
    /// with `suspect_after` stays below the detection target of 1.5 s.
    duration confirm_after{450'000};
    /// A longer gap between two events, ticks included, counts as a pause of this process.
    duration pause_threshold{700'000};
    /// Minimum time between two rounds of gossip, which limits the cost of a burst of changes.
    duration gossip_interval{20'000};
    /// Interval of probes to VMs that are known but not live.
    duration probe_interval{1'000'000};
    /// How long the entry of a dead member is kept to reject outdated news.
    duration forget_after{600'000'000};
    std::size_t successors{3};
    std::size_t random_gossip_targets{2};
  };

  membership(options opts, random_source& random);

  void handle(const membership_event& event, instant now, std::vector<membership_action>& out);
  [[nodiscard]] std::optional<instant> next_deadline() const;

  /// Live members including this VM, ordered by id.
  [[nodiscard]] std::vector<live_member> live() const;
  [[nodiscard]] bool stale() const noexcept { return stale_; }

 private:
  struct member_record {
    peer::member_update news;
    instant changed_at{};
    instant heard_at{};    ///< Last heartbeat received directly.
    instant watched_at{};  ///< When this VM became one of its successors.
    bool watched{false};
    int sends_left{0};  ///< Number of heartbeat rounds that will still carry this news.
    std::optional<instant> digest_mismatch_since;
  };
  using actions = std::vector<membership_action>;

  void start(instant now);
  void on(const heartbeat_received& event, instant now, actions& out);
  void on(const local_status& event, instant now, actions& out);
  void on(const vm_list_changed& event, instant now, actions& out);
  void on(const leave_requested& event, instant now, actions& out);
  void on(const membership_tick& event, instant now, actions& out);
  void detect_pause(instant now, actions& out);
  void record_contact(instant now, actions& out);
  void detect_isolation(instant now, actions& out);
  bool merge(const peer::member_update& news, bool forward, instant now, actions& out);
  void merge_own_news(const peer::member_update& news, actions& out);
  void check_predecessors(instant now);
  void confirm_suspects(instant now);
  void remove_expired(instant now);
  void change_state(const vm_id& vm, member_record& entry, peer::member_state state, instant now);
  void disseminate(const vm_id& vm, member_record& entry, instant now);
  void record_change(const vm_id& vm, member_record& entry, instant now);
  void probe(instant now, actions& out);
  void compare_digests(const heartbeat_received& event, member_record& sender, instant now, actions& out);
  void send_heartbeats(instant now, bool include_random, actions& out);
  void send_member_list(const vm_id& to, const std::string& address, actions& out);
  [[nodiscard]] peer::heartbeat make_heartbeat() const;
  void add_news(peer::heartbeat& content);
  void rebuild_ring(instant now);
  void publish(instant now, actions& out);
  [[nodiscard]] static bool is_live(const member_record& entry);
  [[nodiscard]] int dissemination_rounds() const;

  options options_;
  random_source& random_;
  peer::member_update self_;
  local_status status_;
  absl::btree_map<vm_id, member_record> members_;  ///< All known members except this one.
  absl::btree_set<vm_id> disseminating_;           ///< Members whose news is still added to heartbeats.
  absl::btree_set<vm_id> suspects_;
  std::vector<vm_list_entry> vm_list_;
  std::vector<vm_id> ring_;  ///< Live members including this VM, in ring order.
  std::vector<vm_id> successors_;
  std::vector<vm_id> predecessors_;
  std::vector<live_member> published_;
  std::uint64_t live_digest_{0};
  bool started_{false};
  bool left_{false};
  bool stale_{false};
  bool gossip_pending_{false};
  bool list_changed_{true};
  instant last_handled_{};
  instant last_heard_{};
  instant next_heartbeat_{};
  instant next_gossip_{};
  instant next_probe_{};
  instant next_sync_{};
  instant next_cleanup_{};
};

}  // namespace rhubarbpath

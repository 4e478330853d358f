#pragma once

#include <functional>
#include <string>
#include <vector>

#include "deadline_timer.hpp"
#include "peer_mesh.hpp"
#include "rhubarbpath/coordination/config_decision.hpp"
#include "rhubarbpath/coordination/config_distributor.hpp"
#include "rhubarbpath/coordination/membership.hpp"
#include "rhubarbpath/coordination/view_keeper.hpp"
#include "rhubarbpath/state/random.hpp"
#include "store_port.hpp"

namespace rhubarbpath {

/// One entry of the platform's VM list.
struct listed_vm {
  std::string id;
  bool leaving{false};
  std::string entry;      ///< Peer address of `rhubarb-entry`; empty for a worker.
  std::string scheduler;  ///< Peer address of `rhubarb-scheduler`; empty for a worker.
};

/// Connects membership, the view and the document in force to links and store, for one process.
class cluster_node {
 public:
  struct options {
    member_info self;
    std::string environment;
    /// Entry daemons agree on a view in the store; schedulers only need the live list.
    bool keeps_view{false};
    std::vector<vm_list_entry> seeds;
    /// Whether a process of this id is of the same kind. Entries and schedulers share links, and their
    /// member lists must not mix.
    std::function<bool(const vm_id&)> same_kind;
  };

  struct callbacks {
    std::function<void(const live_list_changed&)> on_live;
    std::function<void(const view_adopted&)> on_view;
    std::function<void(const versioned_document&)> on_document;
    /// A newer process has this VM's id; this one must stop.
    std::function<void()> on_superseded;
  };

  cluster_node(event_loop& loop, peer_mesh& mesh, store_port& store, random_source& random, options opts,
               callbacks calls);

  void start();
  /// Returns false for a message that is not of membership or configuration.
  bool on_message(const member_info& from, const peer::message& message);
  /// `found` are the processes of the same kind that the platform lists.
  void on_vm_list(const std::vector<vm_list_entry>& found);
  void set_draining();
  /// Tells the peers that this process exits.
  void leave();

  [[nodiscard]] const versioned_document& document() const noexcept { return config_.current(); }
  /// Asks the store for the newest document if the one in force was not confirmed for some time.
  void check_document() { feed(config_distributor_event{document_check_requested{}}); }
  /// Whether the document in force may no longer be the newest one.
  [[nodiscard]] bool document_may_be_outdated();
  /// Decides a call that the document in force does not allow and that arrived `waited` ago. The document may
  /// be outdated, and is then checked.
  [[nodiscard]] config_decision decide_refusal(duration waited);
  /// Calls back from the loop when such a decision may have changed.
  void when_document_checked(std::function<void()> call);
  [[nodiscard]] const view& current_view() const noexcept { return view_; }
  [[nodiscard]] std::vector<live_member> live() const { return members_.live(); }
  /// Peer address of a live member; empty when it is not known.
  [[nodiscard]] std::string address_of(const vm_id& vm) const;

 private:
  void feed(const membership_event& event);
  void feed(const view_keeper_event& event);
  void feed(const config_distributor_event& event);
  void run(const send_heartbeat& action);
  void run(const live_list_changed& action);
  void run(const staleness_changed& action);
  void run(const superseded& action);
  void run(const view_adopted& action);
  void run(const send_fetch& action);
  void run(const send_document& action);
  void run(const document_adopted& action);
  void run(const document_conflict& action);
  void publish_status();
  void run_waiting();
  void rank_by_live_list(const live_list_changed& action);

  event_loop& loop_;
  peer_mesh& mesh_;
  store_port& store_;
  options options_;
  callbacks calls_;
  membership members_;
  view_keeper views_;
  config_distributor config_;
  view view_;
  local_status status_;
  store_port::client view_client_;
  store_port::client config_client_;
  deadline_timer members_timer_;
  deadline_timer views_timer_;
  deadline_timer config_timer_;
  std::vector<std::function<void()>> waiting_;  ///< For the result of a check of the document.
  timer_handle waiting_timer_;
};

/// Parses the body of `GET /vms`; entries that are malformed are left out.
[[nodiscard]] std::vector<listed_vm> parse_vm_list(const std::string& body);

}  // namespace rhubarbpath

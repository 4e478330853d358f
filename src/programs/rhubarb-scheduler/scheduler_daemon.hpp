#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "rhubarbpath/coordination/domain_owner.hpp"
#include "rhubarbpath/coordination/placement_adapter.hpp"
#include "rhubarbpath/protocol/log_codec.hpp"
#include "shared/daemon_base.hpp"

namespace rhubarbpath {

/// `rhubarb-scheduler`: a candidate owner for every failure domain of the document.
class scheduler_daemon final : public daemon_base {
 public:
  explicit scheduler_daemon(const daemon_settings& settings);

 private:
  /// One failure domain.
  struct domain_slot {
    domain_slot(scheduler_daemon& daemon, const failure_domain_id& domain);

    failure_domain_id id;
    placement_adapter placement;
    domain_owner owner;
    store_port::client store_client;
    deadline_timer timer;
    bool drained{false};
    /// What was logged last, so that only changes are logged.
    std::map<worker_id, std::string> logged_aside;
    std::size_t logged_uncovered{0};
  };

  void on_peer_message(const member_info& from, const peer::message& message) override;
  void on_peer_lost(const vm_id& vm) override;
  void on_live(const live_list_changed& event) override;
  void on_view(const view_adopted& event) override;
  void on_document(std::shared_ptr<const environment_document> document,
                   const versioned_document& versioned) override;
  void on_vm_list(const std::vector<listed_vm>& listed) override;
  void on_http(const http_request& request, const http_responder& reply) override;
  [[nodiscard]] std::optional<vm_list_entry> peer_hint(const listed_vm& vm) const override;
  void on_drain() override;
  void update_metrics() override;
  [[nodiscard]] std::size_t own_connections() const override { return workers_http_.open_connections(); }

  void feed(domain_slot& slot, const domain_owner_event& event);
  void feed_all(const domain_owner_event& event);
  /// Keeps the document confirmed while this process owns a failure domain, and tells the owners its
  /// standing.
  void check_document();
  void run(domain_slot& slot, const store_call& action);
  void run(domain_slot& slot, const store_call_cancelled& action);
  void run(domain_slot& slot, const worker_send& action);
  void run(domain_slot& slot, const job_answered& action);
  void run(domain_slot& slot, const owner_announced& action);
  void run(domain_slot& slot, const owner_drained& action);
  static void log_changes(domain_slot& slot);
  domain_slot* find(const failure_domain_id& domain);
  void refuse(const vm_id& to, request_id id, const job_id& job, const failure_domain_id& domain);
  [[nodiscard]] schedulers_changed schedulers() const;

  http_client workers_http_;
  cbor_log_codec codec_;
  work_budget kept_jobs_;
  std::map<failure_domain_id, std::unique_ptr<domain_slot>> domains_;
  std::map<worker_id, std::string> addresses_;
  bool document_outdated_{false};
  timer_handle document_timer_;
};

}  // namespace rhubarbpath

#pragma once

#include "job_endpoint.hpp"
#include "service_endpoint.hpp"
#include "shared/daemon_base.hpp"

namespace rhubarbpath {

/// `rhubarb-entry`: the callers' API on one VM.
class entry_daemon final : public daemon_base {
 public:
  explicit entry_daemon(const daemon_settings& settings);

 private:
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
  [[nodiscard]] std::size_t own_connections() const override { return services_.open_connections(); }

  void connect_schedulers();
  void finish_drain();
  [[nodiscard]] entry_status status() const;

  job_endpoint jobs_;
  service_endpoint services_;
  std::map<vm_id, std::string> schedulers_;
  timer_handle connect_timer_;
  timer_handle drain_timer_;
  instant drain_until_{};
  bool left_{false};
};

}  // namespace rhubarbpath

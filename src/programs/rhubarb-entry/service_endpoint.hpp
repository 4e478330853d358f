#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "rhubarbpath/coordination/intent_registry.hpp"
#include "rhubarbpath/coordination/request_router.hpp"
#include "rhubarbpath/protocol/api_json.hpp"
#include "rhubarbpath/protocol/peer_messages.hpp"
#include "rhubarbpath/protocol/trace_context.hpp"
#include "rhubarbpath/transport/http_client.hpp"
#include "rhubarbpath/transport/http_server.hpp"
#include "rhubarbpath/transport/metrics.hpp"
#include "shared/cluster_node.hpp"
#include "shared/deadline_timer.hpp"
#include "shared/peer_mesh.hpp"

namespace rhubarbpath {

/// Serves `/v1/services`: requests of callers to targets, through the router and the intent registry.
class service_endpoint {
 public:
  service_endpoint(event_loop& loop, peer_mesh& mesh, cluster_node& cluster, metrics& counters,
                   random_source& random, const member_info& self, std::function<void()> on_drained);

  /// `path` is the part after "/v1/services/".
  void handle(const http_request& request, std::string_view path, const http_responder& reply);
  void on_document(std::shared_ptr<const environment_document> document);
  void on_live(const live_list_changed& event);
  void on_view(const view_adopted& event);
  void on_vm_list(const std::vector<listed_vm>& listed);
  /// Returns false for a message that is not about service requests.
  bool on_message(const member_info& from, const peer::message& message);
  void on_link_lost(const vm_id& vm);
  void drain();

  [[nodiscard]] std::vector<service_status> services() const;
  /// Key ranges that this VM has not handed over after it left the view.
  [[nodiscard]] std::size_t untransferred_ranges() const { return intents_.untransferred_ranges(); }
  [[nodiscard]] std::size_t in_progress() const { return callers_.size() + calls_.size(); }
  /// Connections to targets.
  [[nodiscard]] std::size_t open_connections() const noexcept { return targets_.open_connections(); }

 private:
  struct waiting_caller {
    http_responder reply;
    class_id request_class;
    instant arrived{};
    trace_context hop;
    trace_context parent;
    std::string service;
    bool first_attempt{false};  ///< The key was never sent before, by the caller's word or made here.
  };
  struct target_call {
    http_client::handle handle{0};
    instant started{};
    trace_context hop;
    trace_context parent;
    worker_id target;
  };

  void handle_call(const http_request& request, const std::string& path, const http_responder& reply,
                   instant arrived);
  [[nodiscard]] bool has_team(const team_id& team) const;
  void feed_router(const request_router_event& event);
  void feed_intents(const intent_registry_event& event);

  void run(const routing::record_intent& action);
  void run(const routing::withdraw_intent& action);
  void run(const routing::finish_intent& action);
  void run(const routing::send_request& action);
  void run(const routing::probe_target& action);
  void run(const routing::cancel_call& action);
  void run(const routing::forward_request& action);
  void run(const routing::answer_peer& action);
  void run(const routing::pull_from_peer& action);
  void run(const routing::answer_caller& action);
  void run(const routing::advertise_load& action);
  void run(const routing::drained& action);
  void run(const send_intent_message& action);
  void run(const dispatch_permitted& action);
  void run(const intent_answered& action);

  void on_target_result(routing::target_call_id call, const http_result& result);
  [[nodiscard]] std::string address_of(const worker_id& worker) const;
  [[nodiscard]] const request_class_spec* find_class(const service_id& service, const class_id& name) const;

  event_loop& loop_;
  peer_mesh& mesh_;
  cluster_node& cluster_;
  metrics& metrics_;
  random_source& random_;
  member_info self_;
  std::function<void()> on_drained_;
  http_client targets_;
  request_router router_;
  intent_registry intents_;
  deadline_timer router_timer_;
  deadline_timer intents_timer_;
  std::shared_ptr<const environment_document> document_;
  std::map<worker_id, std::string> addresses_;
  std::map<worker_id, bool> leaving_;
  std::map<request_id, waiting_caller> callers_;
  std::map<routing::target_call_id, target_call> calls_;
  request_id last_request_;
};

}  // namespace rhubarbpath

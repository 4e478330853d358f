#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rhubarbpath/coordination/failure_domain_choice.hpp"
#include "rhubarbpath/coordination/job_gateway.hpp"
#include "rhubarbpath/protocol/api_json.hpp"
#include "rhubarbpath/protocol/peer_messages.hpp"
#include "rhubarbpath/protocol/trace_context.hpp"
#include "rhubarbpath/transport/http_server.hpp"
#include "rhubarbpath/transport/metrics.hpp"
#include "shared/cluster_node.hpp"
#include "shared/deadline_timer.hpp"
#include "shared/peer_mesh.hpp"
#include "shared/store_port.hpp"

namespace rhubarbpath {

/// Serves `/v1/jobs`: callers' submissions, queries and cancellations.
class job_endpoint {
 public:
  job_endpoint(event_loop& loop, peer_mesh& mesh, cluster_node& cluster, store_port& store, metrics& counters,
               random_source& random, const std::string& environment);

  /// `path` is the part after "/v1/jobs"; empty for a submission.
  void handle(const http_request& request, std::string_view path, const http_responder& reply);
  void on_document(std::shared_ptr<const environment_document> document);
  /// Returns false for a message that is not about jobs.
  bool on_message(const member_info& from, const peer::message& message);
  void on_link_lost(const vm_id& vm);
  /// Answers waiting queries at once, and refuses new calls after the time in which the load balancer
  /// notices that this VM is not ready.
  void drain();

  [[nodiscard]] std::vector<failure_domain_status> failure_domains() const;
  [[nodiscard]] std::size_t in_progress() const noexcept { return gateway_.requests_in_progress(); }

 private:
  struct waiting_caller {
    http_responder reply;
    gateway::owner_message kind{gateway::owner_message::submit};
    instant arrived{};
    trace_context hop;
    trace_context parent;
  };

  void submit(const http_request& request, const http_responder& reply, instant arrived);
  void look_up(const http_request& request, const job_id& job, const http_responder& reply);
  void cancel(const http_request& request, const job_id& job, const http_responder& reply);
  request_id admit(const http_request& request, gateway::owner_message kind, const http_responder& reply,
                   instant arrived);
  void feed(const job_gateway_event& event);
  void run(const store_call& action);
  void run(const store_call_cancelled& action);
  void run(const gateway::send_to_owner& action);
  void run(const gateway::answer& action);

  event_loop& loop_;
  peer_mesh& mesh_;
  cluster_node& cluster_;
  store_port& store_;
  metrics& metrics_;
  random_source& random_;
  job_gateway gateway_;
  store_port::client store_client_;
  deadline_timer timer_;
  std::shared_ptr<const environment_document> document_;
  guarantee_check guarantees_;
  std::map<failure_domain_id, failure_domain_load> loads_;
  std::map<failure_domain_id, peer::owner_announcement> announced_;
  std::map<failure_domain_id, int> accelerators_;  ///< Of all workers that the document lists.
  std::map<request_id, waiting_caller> callers_;
  request_id last_request_;
  std::optional<instant> refuse_from_;
};

}  // namespace rhubarbpath

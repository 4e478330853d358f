#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "fault_settings.hpp"
#include "rhubarbpath/state/random.hpp"
#include "rhubarbpath/transport/event_loop.hpp"
#include "rhubarbpath/transport/http_server.hpp"
#include "worker_model.hpp"

namespace rhubarbpath::standin {

/// One service request that a worker ran. A history checker compares it with the answers that callers got.
struct request_record {
  worker_id worker;
  std::string key;
  std::string request_class;
  std::string body;
  instant started{};
  instant ended{};  ///< Zero while the request runs.
};

/// The HTTP endpoints of one simulated worker: tasks under leases and service requests in slots.
class worker_service {
 public:
  struct options {
    worker_spec spec;
    int slots{8};
    duration service_time{std::chrono::milliseconds{20}};
  };

  worker_service(event_loop& loop, options opts, fault_settings& faults, random_source& random,
                 std::vector<request_record>& history);

  [[nodiscard]] absl::Status listen() { return server_->listen(); }
  [[nodiscard]] const worker_model& model() const noexcept { return model_; }
  /// Requests on existing connections get no answer from now on; new connections work.
  void silence_connections() { last_silenced_connection_ = server_->last_connection(); }

 private:
  void handle(const http_request& request, const http_responder& reply);
  void serve(const http_request& request, const http_responder& reply);
  void on_task_call(const http_request& request, const http_responder& reply);
  void on_service_request(const http_request& request, const http_responder& reply);
  void finish_service_request(std::size_t index, const http_responder& reply);
  /// Answers 503 with the header Rhubarb-Refused, which tells the caller that nothing was run.
  static void refuse(const http_responder& reply, std::string_view reason);
  void send(const http_responder& reply, int status, std::string body);
  [[nodiscard]] const worker_faults& faults() const;

  event_loop& loop_;
  options options_;
  fault_settings& faults_;
  random_source& random_;
  std::vector<request_record>& history_;
  worker_model model_;
  int busy_slots_{0};
  std::uint64_t last_silenced_connection_{0};
  std::map<std::size_t, timer_handle> running_request_timers_;
  std::vector<std::pair<http_request, http_responder>> paused_requests_;
  /// Responders of requests on silenced connections. Keeping them keeps the connections open.
  std::vector<http_responder> silenced_responders_;
  std::unique_ptr<http_server> server_;
  timer_handle clock_timer_;
};

}  // namespace rhubarbpath::standin

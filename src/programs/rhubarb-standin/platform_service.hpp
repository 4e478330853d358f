#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "fault_settings.hpp"
#include "rhubarbpath/state/random.hpp"
#include "rhubarbpath/transport/event_loop.hpp"
#include "rhubarbpath/transport/http_server.hpp"
#include "store_model.hpp"

namespace rhubarbpath::standin {

/// Serves the key-value store and the VM list on one address; passes other paths to a fallback handler.
class platform_service {
 public:
  /// Answers all other paths, for example /faults and /history.
  using fallback = std::function<void(const http_request&, const http_responder&)>;

  platform_service(event_loop& loop, std::string address, std::uint16_t port, fault_settings& faults,
                   random_source& random, fallback fallback_handler);

  [[nodiscard]] absl::Status listen() { return server_.listen(); }
  /// Number of store calls by path since the start. A watch counts as one call.
  [[nodiscard]] const std::map<std::string, std::uint64_t>& call_counts() const noexcept {
    return call_counts_;
  }

 private:
  void handle(const http_request& request, const http_responder& reply);
  void on_store_call(const http_request& request, const http_responder& reply);
  void on_vms(const http_request& request, const http_responder& reply);
  void answer(const store_response& response, const http_responder& reply);
  [[nodiscard]] bool exceeds_write_limit(const store_request& request);

  event_loop& loop_;
  fault_settings& faults_;
  random_source& random_;
  fallback fallback_;
  store_model model_;
  std::map<std::string, std::uint64_t> call_counts_;
  std::deque<instant> recent_writes_;
  std::deque<std::pair<instant, std::string>> vm_lists_;  ///< Oldest first.
  std::map<std::uint64_t, timer_handle> delayed_answers_;
  std::uint64_t last_delayed_id_{0};
  http_server server_;
  timer_handle clock_timer_;
};

}  // namespace rhubarbpath::standin

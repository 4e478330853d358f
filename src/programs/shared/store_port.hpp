#pragma once

#include <functional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "deadline_timer.hpp"
#include "rhubarbpath/coordination/store_session.hpp"
#include "rhubarbpath/transport/event_loop.hpp"
#include "rhubarbpath/transport/http_client.hpp"

namespace rhubarbpath {

/// Connects the parts of a process to the platform's key-value service through one store session.
class store_port {
 public:
  using result_handler = std::function<void(const store_call_result&)>;

  /// One user of the port. Its call ids need to be unique only among its own calls.
  struct client {
    std::size_t number{0};
  };

  store_port(event_loop& loop, http_client& http, std::string address, store_session::options opts,
             random_source& random);

  [[nodiscard]] client add_client(result_handler on_result);
  void call(client from, const store_call& request);
  void cancel(client from, call_id id);

  [[nodiscard]] bool in_outage() const noexcept { return session_.in_outage(); }
  /// Requests sent to the store since the start.
  [[nodiscard]] std::uint64_t sends() const noexcept { return session_.sends(); }

 private:
  struct pending {
    std::size_t client{0};
    call_id id;  ///< The client's own id.
  };

  void feed(const store_session_event& event);
  void run(const store_send& action);
  void run(const store_call_result& action);

  event_loop& loop_;
  http_client& http_;
  std::string address_;
  store_session session_;
  std::vector<result_handler> clients_;
  absl::flat_hash_map<call_id, pending> pending_;
  absl::flat_hash_map<std::pair<std::size_t, call_id>, call_id> ids_;
  call_id last_id_;
  deadline_timer timer_;
};

}  // namespace rhubarbpath

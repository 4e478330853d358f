#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "rhubarbpath/transport/http_client.hpp"
#include "rhubarbpath/transport/http_server.hpp"

namespace rhubarbpath::review {

/// Passes the calls to one worker on, and delivers those that it holds only after a delay, to whatever
/// process listens at the worker's address then. The answer of a call that was held is dropped.
class delaying_proxy {
 public:
  using filter = std::function<bool(const http_request&)>;

  delaying_proxy(event_loop& loop, const std::string& address, std::uint16_t port, std::string worker);

  [[nodiscard]] bool listen() { return server_.listen().ok(); }
  void hold(filter which, duration delay) {
    held_ = std::move(which);
    delay_ = delay;
  }

 private:
  void handle(const http_request& request, const http_responder& reply);

  event_loop& loop_;
  std::string worker_;
  http_client client_;
  filter held_;
  duration delay_{};
  std::vector<http_responder> unanswered_;
  http_server server_;
};

}  // namespace rhubarbpath::review

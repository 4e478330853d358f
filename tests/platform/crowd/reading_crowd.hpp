#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "rhubarbpath/transport/event_loop.hpp"
#include "rhubarbpath/transport/http_client.hpp"

namespace rhubarbpath::soak {

struct reading_load {
  int clients{20};
  duration pause{};  ///< Of each client, between an answer and its next request.
  /// Makes the request with this number; numbers rise from 0.
  std::function<http_request(int)> request;
};

/// Clients that read each answer before they send the next request, until destruction.
class reading_crowd {
 public:
  /// `address` is the IP number and port of a server.
  reading_crowd(event_loop& loop, std::string address, reading_load load);

  /// Number of answers by status; 0 stands for calls without one.
  [[nodiscard]] const std::map<int, int>& answers() const noexcept { return answers_; }

 private:
  void send_next();
  void send_later(duration delay);

  event_loop& loop_;
  std::string address_;
  reading_load load_;
  int next_number_{0};
  std::map<int, int> answers_;
  std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
  http_client client_;
};

}  // namespace rhubarbpath::soak

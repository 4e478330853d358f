#include "reading_crowd.hpp"

#include <chrono>
#include <utility>
#include <variant>

namespace rhubarbpath::soak {

namespace {

constexpr duration patience{std::chrono::seconds{10}};
/// Before a client whose connection failed connects again.
constexpr duration reconnect_pause{std::chrono::milliseconds{20}};

}  // namespace

reading_crowd::reading_crowd(event_loop& loop, std::string address, reading_load load)
    : loop_{loop},
      address_{std::move(address)},
      load_{std::move(load)},
      client_{
          loop,
          {.max_connections_per_address = load_.clients, .max_idle_connections_per_address = load_.clients}} {
  for (int client = 0; client < load_.clients; ++client) {
    send_next();
  }
}

void reading_crowd::send_next() {
  client_.call(address_, load_.request(next_number_++), patience, [this](const http_result& result) {
    const auto* response = std::get_if<http_response>(&result);
    ++answers_[response == nullptr ? 0 : response->status];
    if (response == nullptr) {
      send_later(reconnect_pause);
    } else if (load_.pause > duration::zero()) {
      send_later(load_.pause);
    } else {
      send_next();
    }
  });
}

void reading_crowd::send_later(duration delay) {
  loop_.run_detached(delay, [this, alive = std::weak_ptr<bool>{alive_}] {
    if (!alive.expired()) {
      send_next();
    }
  });
}

}  // namespace rhubarbpath::soak

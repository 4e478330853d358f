#include "http_caller.hpp"

#include <fmt/format.h>

#include <chrono>
#include <cstdio>
#include <random>
#include <utility>

namespace rhubarbpath::ctl {

namespace {

// Progress is first reported after 2 s, when a user starts to wait, and then every 5 s to keep the logs of
// scripts short.
constexpr duration first_report_delay = std::chrono::seconds{2};
constexpr duration report_period = std::chrono::seconds{5};
constexpr duration progress_check_period = std::chrono::milliseconds{250};

std::uint64_t random_seed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32U) | device();
}

}  // namespace

http_caller::http_caller() : random_{random_seed()}, started_{loop_.now()} {}

http_result http_caller::call(const std::string& address, const http_request& request, duration timeout,
                              const std::string& waiting_for) {
  http_result result = http_call_failed{.bytes_sent = true, .reason = "the event loop ended"};
  const auto progress = loop_.run_every(progress_check_period, [&] { report_progress(waiting_for); });
  client_.call(address, request, timeout, [&](http_result received) {
    result = std::move(received);
    // Stops the loop after the client's pending callbacks, which free connections that cannot be reused.
    loop_.post([&] { loop_.stop(); });
  });
  loop_.run();
  return result;
}

void http_caller::pause(duration wait) {
  const auto timer = loop_.run_after(wait, [&] { loop_.stop(); });
  loop_.run();
}

void http_caller::report_progress(const std::string& waiting_for) {
  const auto now = loop_.now();
  const auto next = last_report_ ? *last_report_ + report_period : started_ + first_report_delay;
  if (now < next) {
    return;
  }
  last_report_ = now;
  fmt::print(stderr, "rhubarbctl: {} s, waiting for {}\n",
             std::chrono::duration_cast<std::chrono::seconds>(now - started_).count(), waiting_for);
}

}  // namespace rhubarbpath::ctl

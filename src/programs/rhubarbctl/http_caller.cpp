#include "http_caller.hpp"

#include <fmt/format.h>

#include <chrono>
#include <cstdio>
#include <random>
#include <utility>

namespace rhubarbpath::ctl {

namespace {

// The first line comes when a person begins to wonder; later ones keep a script's log short.
constexpr duration first_report = std::chrono::seconds{2};
constexpr duration report_period = std::chrono::seconds{5};
constexpr duration check_period = std::chrono::milliseconds{250};

std::uint64_t random_seed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32U) | device();
}

}  // namespace

http_caller::http_caller() : random_{random_seed()}, started_{loop_.now()} {}

http_result http_caller::call(const std::string& address, const http_request& request, duration timeout,
                              const std::string& waiting_for) {
  http_result result = http_call_failed{.bytes_sent = true, .reason = "the event loop ended"};
  const auto progress = loop_.run_every(check_period, [&] { report_progress(waiting_for); });
  client_.call(address, request, timeout, [&](http_result got) {
    result = std::move(got);
    // Behind the client's own callbacks, which free a connection that cannot be used again.
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
  const auto next = reported_ ? *reported_ + report_period : started_ + first_report;
  if (now < next) {
    return;
  }
  reported_ = now;
  fmt::print(stderr, "rhubarbctl: {} s, waiting for {}\n",
             std::chrono::duration_cast<std::chrono::seconds>(now - started_).count(), waiting_for);
}

}  // namespace rhubarbpath::ctl

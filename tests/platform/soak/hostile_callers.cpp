#include "hostile_callers.hpp"

#include <fmt/format.h>

#include <chrono>
#include <string_view>
#include <utility>

#include "platform_documents.hpp"

namespace rhubarbpath::soak {

namespace {

using std::chrono::milliseconds;

constexpr duration period{milliseconds{2000}};
constexpr duration step_interval{milliseconds{20}};
/// Sets the seed apart from those of the other callers and of the faults.
constexpr std::uint64_t seed_offset = 104729;
constexpr std::size_t megabyte = 1U << 20U;

std::string opening(const std::string& method, std::string_view path, const std::string& headers) {
  return fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nKey: key-a\r\n{}\r\n", method, path, caller_host,
                     headers);
}

hostile_load random_load(random_source& random) {
  switch (random.below(3)) {
    case 0:
      return {.port = caller_port,
              .clients = 8,
              .opening = {},
              .repeated = opening("GET", "/nowhere", {}),
              .bytes_per_client = 2 * megabyte};
    case 1:
      return {.port = caller_port,
              .clients = 40,
              .opening = opening("POST", "/jobs/5c0e7a21d94b0901", "Transfer-Encoding: chunked\r\n"),
              .repeated = "1000\r\n" + std::string(4096, 'x') + "\r\n",
              .bytes_per_client = megabyte};
    default:
      return {.port = caller_port,
              .clients = 50,
              .opening = {},
              .repeated = {},
              .bytes_per_client = 1,
              .connections_per_client = 1};
  }
}

/// Requests at a rate that leaves the loop of the stand-ins to them.
reading_load random_flood(random_source& random) {
  const std::string method = random.below(2) == 0 ? "GET" : "DELETE";
  const auto first = random.below(1U << 30U);
  return {.pause = milliseconds{10}, .request = [method, first](int number) {
            return http_request{
                .method = method,
                .path = fmt::format("/jobs/5c0e{:012x}", first + static_cast<std::uint64_t>(number)),
                .query = {},
                .headers = {{"Host", std::string{caller_host}}, {"Key", "key-a"}, {"Timeout-Ms", "300"}},
                .body = {}};
          }};
}

}  // namespace

hostile_callers::hostile_callers(event_loop& loop, std::vector<std::string> addresses, std::uint64_t seed)
    : loop_{loop}, addresses_{std::move(addresses)}, random_{seed + seed_offset} {}

void hostile_callers::begin() {
  act_timer_ = loop_.run_every(period, [this] { act(); });
  step_timer_ = loop_.run_every(step_interval, [this] { step(); });
}

void hostile_callers::stop() {
  act_timer_.cancel();
  step_timer_.cancel();
  visits_.clear();
}

void hostile_callers::act() {
  const auto& address = addresses_[random_.below(addresses_.size())];
  const auto until = loop_.now() + milliseconds{500 + random_.below(3000)};
  constexpr std::uint64_t kinds = 4;
  if (random_.below(kinds) == 0) {
    visits_.push_back({.readers = std::make_unique<reading_crowd>(
                           loop_, fmt::format("{}:{}", address, caller_port), random_flood(random_)),
                       .until = until});
  } else {
    visits_.push_back(
        {.crowd = std::make_unique<hostile_crowd>(address, random_load(random_)), .until = until});
  }
}

void hostile_callers::step() {
  std::erase_if(visits_, [now = loop_.now()](const visit& each) { return now >= each.until; });
  for (const auto& each : visits_) {
    if (each.crowd != nullptr) {
      static_cast<void>(each.crowd->step());
    }
  }
}

}  // namespace rhubarbpath::soak

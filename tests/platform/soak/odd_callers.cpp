#include "odd_callers.hpp"

#include <fmt/format.h>

#include <array>
#include <chrono>
#include <functional>

namespace rhubarbpath::soak {

namespace {

using std::chrono::milliseconds;

constexpr duration period{milliseconds{500}};
constexpr milliseconds caller_timeout{3000};
/// Sets the seed apart from those of the other callers and of the faults.
constexpr std::uint64_t seed_offset = 7919;

/// Jobs that no VM may accept.
constexpr std::array malformed_bodies{
    R"({"steps":[{"count":1},{"count":1,"after":[4294967295]}]})",
    R"({"steps":[{"count":1,"after":[0]}]})",
    R"({"steps":[{"count":-1}]})",
    R"({"steps":[{"count":4294967296}]})",
    R"({"steps":[{"count":1,"cpu":1e300}]})",
    R"({"steps":[{"count":1,"gpu":18446744073709551615}]})",
    R"({"steps":[{"count":"3"}]})",
    R"({"steps":[{"count":1}],"repeatCount":-1})",
    R"({"steps":{"count":1}})",
    R"({"steps":[]})",
    "\xff\xfe\x00\x80",
};

std::int64_t unix_ms_in_ten_minutes() {
  const auto at = std::chrono::system_clock::now() + std::chrono::minutes{10};
  return std::chrono::duration_cast<milliseconds>(at.time_since_epoch()).count();
}

}  // namespace

odd_callers::odd_callers(event_loop& loop, worker_fleet& fleet, callers::options opts)
    : loop_{loop},
      fleet_{fleet},
      options_{std::move(opts)},
      random_{options_.seed + seed_offset},
      client_{loop, {}} {}

void odd_callers::begin() {
  timer_ = loop_.run_every(period, [this] { act(); });
}

void odd_callers::act() {
  switch (random_.below(3)) {
    case 0:
      return submit_malformed();
    case 1:
      return submit_enormous();
    default:
      return submit_and_cancel();
  }
}

std::string odd_callers::next_id() {
  constexpr std::uint64_t spread = 0xd1342543de82ef95ULL;
  return fmt::format("{:016x}", next_id_++ * spread);
}

void odd_callers::submit_malformed() {
  const auto kind = random_.below(malformed_bodies.size() + 1);
  constexpr std::size_t nesting = 50'000;
  const auto body = kind < malformed_bodies.size() ? std::string{malformed_bodies[kind]}
                                                   : std::string(nesting, '[') + std::string(nesting, ']');
  call("POST", next_id(), body, [this, kind](int status) {
    if (status != 0 && status != 400 && status != 429 && status != 503) {
      violations_.push_back(fmt::format("ODD: malformed job {} was answered {}", kind, status));
    }
  });
}

void odd_callers::submit_enormous() {
  const bool repeats = random_.below(2) == 0;
  const auto body =
      fmt::format(R"({{"spec":"x","steps":[{{"count":{},"cpu":10,"memMb":1,"estimateMs":1000}}],)"
                  R"("repeatCount":{},"intervalMs":60000,"startAtMs":{}}})",
                  repeats ? 3 : 4294967295, repeats ? 525600 : 1, unix_ms_in_ten_minutes());
  call("POST", next_id(), body, [this](int status) {
    if (status == 400) {
      violations_.emplace_back("ODD: a job with large numbers was answered 400");
    }
  });
}

void odd_callers::submit_and_cancel() {
  const auto id = next_id();
  fleet_.register_job(id, {{.count = 2, .cpu = 100, .memory_mb = 16, .run_time = milliseconds{1500}}});
  auto& job = cancelled_[id];
  job.body = R"({"spec":"x","steps":[{"count":2,"cpu":100,"memMb":16,"estimateMs":1500}]})";
  call("POST", id, job.body, [this, id](int status) {
    if (status == 0 || status == 502 || status == 504) {
      // The same request arrives once more, as it does after a broken connection.
      loop_.run_detached(milliseconds{300 + random_.below(2000)},
                         [this, id] { call("POST", id, cancelled_.at(id).body, [](int) {}); });
    }
  });
  loop_.run_detached(milliseconds{random_.below(120)}, [this, id] { cancel(id); });
}

void odd_callers::cancel(const std::string& id) {
  call("DELETE", id, {}, [this, id](int status) {
    auto& job = cancelled_.at(id);
    job.told_no_such_job = status == 410;
    job.confirmed = status == 200 || status == 410;
    if (!job.confirmed) {
      loop_.run_detached(milliseconds{200}, [this, id] { cancel(id); });
    }
  });
}

void odd_callers::call(const std::string& method, const std::string& id, const std::string& body,
                       std::function<void(int)> done) {
  const auto& address = options_.addresses[random_.below(options_.addresses.size())];
  client_.call(address,
               {.method = method,
                .path = options_.path_prefix + id,
                .query = {},
                .headers = {{"Host", options_.host},
                            {"Key", options_.key},
                            {"Timeout-Ms", fmt::format("{}", caller_timeout.count())},
                            {"Content-Type", "application/json"}},
                .body = body},
               caller_timeout, [done = std::move(done)](const http_result& result) {
                 const auto* response = std::get_if<http_response>(&result);
                 done(response == nullptr ? 0 : response->status);
               });
}

void odd_callers::check() {
  for (const auto& [id, job] : cancelled_) {
    if (job.told_no_such_job && fleet_.ever_started(id)) {
      violations_.push_back(
          fmt::format("UNASKED: job {} ran although its cancellation was answered 410", id));
    }
    if (job.confirmed && fleet_.running(id)) {
      violations_.push_back(fmt::format("UNASKED: tasks of cancelled job {} are still running", id));
    }
    if (!job.confirmed) {
      violations_.push_back(fmt::format("ACKS: the cancellation of job {} was never confirmed", id));
    }
  }
}

}  // namespace rhubarbpath::soak

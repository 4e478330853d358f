#include "worker_changes.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace rhubarbpath::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A worker works on for at least this long after it has reported that it is draining.
constexpr duration drain_time{seconds{2}};

/// A row that names no worker to use, as another writer may leave it.
std::string odd_row(std::uint64_t kind) {
  const std::string fields = R"("service":"render","zone":"zone-0","version":"v1","slots":8,"state":"ready",)"
                             R"("coldRemainingMs":0,"seq":1,"born":7,"labels":["kind-a","zone-0-r1"])";
  const std::string capacity = R"("capacity":{"cpu":8000,"memMb":16000,"gpu":4})";
  constexpr std::size_t nesting = 100'000;
  switch (kind) {
    case 0:
      return std::string(nesting, '[') + std::string(nesting, ']');
    case 1:
      return fmt::format(R"({{{},{},"address":"127.0.0.1:99999"}})", fields, capacity);
    case 2:
      return fmt::format(R"({{{},{},"address":"nowhere"}})", fields, capacity);
    case 3:
      return fmt::format(
          R"({{{},"address":"127.0.0.1:9","capacity":{{"cpu":1e300,"memMb":-1e300,"gpu":4}}}})", fields);
    case 4:
      return fmt::format(
          R"({{{},"address":"127.0.0.1:9","capacity":{{"cpu":18446744073709551615,"memMb":1,"gpu":4}}}})",
          fields);
    case 5:
      return fmt::format(R"({{{},"address":"127.0.0.1:9","capacity":{{"cpu":"8000","memMb":1,"gpu":4}}}})",
                         fields);
    case 6:
      return R"({"address":"127.0.0.1:9","a":)" + std::string(nesting, '[') + std::string(nesting, ']') + "}";
    case 7:
      return fmt::format(R"({{{},{},"address":"worker.example:80"}})", fields, capacity);
    default:
      return "\xff\xfe\x00\x80";
  }
}
constexpr std::uint64_t odd_row_kinds = 9;

}  // namespace

worker_changes::worker_changes(dependencies deps, std::uint64_t seed)
    : deps_{std::move(deps)}, random_{seed} {}

void worker_changes::schedule(duration delay, std::function<void()> call) {
  deps_.loop.run_detached(delay, [this, call = std::move(call)] {
    if (!cleared_) {
      call();
    }
  });
}

void worker_changes::plan(duration begin, duration length) {
  const auto span = static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(length).count());
  const auto count = span / 1500;
  for (std::uint64_t i = 0; i < count; ++i) {
    const auto kind = random_.below(8);
    const auto worker = random_.below(std::min(max_single_disturbed, deps_.fleet.size()));
    const auto lasts = milliseconds{300 + random_.below(5500)};
    schedule(begin + milliseconds{random_.below(span)},
             [this, kind, worker, lasts] { change(kind, worker, lasts); });
  }
}

void worker_changes::change(std::uint64_t kind, std::size_t worker, duration length) {
  switch (kind) {
    case 0:
    case 1:
      return drain(worker, length);
    case 2:
      return crash(worker, length / 4);
    case 3:
      return cut(worker, length);
    case 4:
    case 5:
      drain(worker, length + seconds{2});
      return schedule(milliseconds{500 + random_.below(2500)},
                      [this, worker, length] { cut(worker, length); });
    case 6:
      return refuse_starts(worker, length);
    default:
      return write_odd_row();
  }
}

void worker_changes::drain(std::size_t worker, duration length) {
  if (!deps_.fleet.present(worker)) {
    return;
  }
  deps_.trace(fmt::format("worker {} drains for {} ms", worker, (drain_time + length).count() / 1000));
  deps_.fleet.drain(worker, drain_time);
  schedule(drain_time + length, [this, worker] {
    if (deps_.fleet.present(worker)) {
      deps_.trace(fmt::format("worker {} leaves", worker));
      deps_.disturbed(worker, duration::zero());
      deps_.fleet.stop(worker, true);
      deps_.proxies[worker]->set_mode(proxy_mode::refused);
      schedule(milliseconds{200 + random_.below(3000)}, [this, worker] { come_back(worker, false); });
    }
  });
}

void worker_changes::crash(std::size_t worker, duration length) {
  if (!deps_.fleet.present(worker)) {
    return;
  }
  deps_.trace(fmt::format("worker {} crashes for {} ms", worker, length.count() / 1000));
  deps_.disturbed(worker, length);
  deps_.fleet.stop(worker, false);
  deps_.proxies[worker]->set_mode(proxy_mode::refused);
  const bool same_id = random_.below(2) == 0;
  schedule(length, [this, worker, same_id] { come_back(worker, same_id); });
}

void worker_changes::come_back(std::size_t worker, bool same_id) {
  if (!deps_.fleet.present(worker)) {
    deps_.trace(fmt::format("worker {} is back under {}", worker, same_id ? "its id" : "a new id"));
    deps_.fleet.start(worker, same_id);
    deps_.proxies[worker]->set_mode(proxy_mode::pass);
  }
}

void worker_changes::cut(std::size_t worker, duration length) {
  if (!deps_.fleet.present(worker)) {
    return;
  }
  const bool refused = random_.below(3) != 0;
  deps_.trace(fmt::format("worker {} is cut off for {} ms, connections {}", worker, length.count() / 1000,
                          refused ? "refused" : "silent"));
  deps_.disturbed(worker, length);
  deps_.fleet.faults(worker).store_unreachable = true;
  deps_.proxies[worker]->set_mode(refused ? proxy_mode::refused : proxy_mode::blocked);
  schedule(length, [this, worker] {
    deps_.fleet.faults(worker).store_unreachable = false;
    if (deps_.fleet.present(worker)) {
      deps_.proxies[worker]->set_mode(proxy_mode::pass);
    }
  });
}

void worker_changes::refuse_starts(std::size_t worker, duration length) {
  deps_.trace(fmt::format("worker {} refuses half of its starts for {} ms", worker, length.count() / 1000));
  constexpr int half = 50;
  deps_.fleet.faults(worker).unhealthy_percent = half;
  schedule(length, [this, worker] { deps_.fleet.faults(worker).unhealthy_percent = 0; });
}

void worker_changes::write_odd_row() {
  const auto kind = random_.below(odd_row_kinds);
  deps_.trace(fmt::format("another writer leaves a worker row of kind {}", kind));
  // The key sorts before those of the workers, so that whoever stops at it sees none of them.
  deps_.store.put(fmt::format("servers/a-odd-{}", ++odd_rows_), odd_row(kind));
}

void worker_changes::clear() {
  cleared_ = true;
  for (std::size_t worker = 0; worker < deps_.fleet.size(); ++worker) {
    if (deps_.fleet.draining(worker)) {
      // A worker that drains leaves; it does not stay without work.
      deps_.disturbed(worker, duration::zero());
      deps_.fleet.stop(worker, true);
    }
    come_back(worker, false);
    deps_.proxies[worker]->set_mode(proxy_mode::pass);
  }
}

}  // namespace rhubarbpath::soak

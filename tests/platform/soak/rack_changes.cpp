#include "rack_changes.hpp"

#include <fmt/format.h>

#include <array>
#include <chrono>
#include <utility>

namespace rhubarbpath::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t seed_offset = 11'000'000;
constexpr std::array<std::string_view, 5> kinds{"refuse all starts", "are cut off in silence and stay listed",
                                                "are cut off with refused connections and stay listed",
                                                "crash", "leave"};
/// A worker works on for at least this long after it has reported that it is draining.
constexpr duration drain_time{seconds{2}};

}  // namespace

rack_changes::rack_changes(dependencies deps, std::uint64_t seed)
    : deps_{std::move(deps)}, random_{seed + seed_offset} {}

void rack_changes::schedule(duration delay, std::function<void()> call) {
  deps_.loop.run_detached(delay, [this, call = std::move(call)] {
    if (!cleared_) {
      call();
    }
  });
}

void rack_changes::plan(duration begin, duration length) {
  constexpr std::uint64_t span_of_change_ms = 2000;
  const auto span = static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(length).count());
  const auto racks = deps_.fleet.racks();
  for (std::uint64_t i = 0; i < span / span_of_change_ms; ++i) {
    const auto kind = random_.below(kinds.size());
    const auto& rack = racks[random_.below(racks.size())];
    const auto lasts = milliseconds{1500 + random_.below(6500)};
    schedule(begin + milliseconds{random_.below(span)},
             [this, kind, rack, lasts] { change(kind, rack, lasts); });
  }
}

void rack_changes::change(std::uint64_t kind, const std::string& rack, duration length) {
  deps_.trace(fmt::format("workers of rack {} {} for {} ms", rack, kinds[kind], length.count() / 1000));
  for (const auto worker : deps_.fleet.workers_of_rack(rack)) {
    if (!deps_.fleet.present(worker)) {
      continue;
    }
    switch (kind) {
      case 0:
        refuse_starts(worker, length);
        break;
      case 1:
        cut(worker, length, proxy_mode::blocked);
        break;
      case 2:
        cut(worker, length, proxy_mode::refused);
        break;
      case 3:
        take_away(worker, length, false);
        break;
      default:
        deps_.fleet.drain(worker, drain_time);
        schedule(drain_time, [this, worker, length] { take_away(worker, length, true); });
        break;
    }
  }
}

void rack_changes::refuse_starts(std::size_t worker, duration length) {
  constexpr int all = 100;
  deps_.fleet.faults(worker).unhealthy_percent = all;
  schedule(length, [this, worker] { deps_.fleet.faults(worker).unhealthy_percent = 0; });
}

void rack_changes::cut(std::size_t worker, duration length, proxy_mode mode) {
  deps_.disturbed(worker, length);
  deps_.proxies[worker]->set_mode(mode);
  schedule(length, [this, worker] {
    if (deps_.fleet.present(worker)) {
      deps_.proxies[worker]->set_mode(proxy_mode::pass);
    }
  });
}

void rack_changes::take_away(std::size_t worker, duration length, bool left) {
  if (!deps_.fleet.present(worker)) {
    return;
  }
  deps_.disturbed(worker, length);
  deps_.fleet.stop(worker, left);
  deps_.proxies[worker]->set_mode(proxy_mode::refused);
  const bool same_id = !left && random_.below(2) == 0;
  schedule(length, [this, worker, same_id] { come_back(worker, same_id); });
}

void rack_changes::come_back(std::size_t worker, bool same_id) {
  if (!deps_.fleet.present(worker)) {
    deps_.fleet.start(worker, same_id);
    deps_.proxies[worker]->set_mode(proxy_mode::pass);
  }
}

void rack_changes::clear() {
  cleared_ = true;
  for (std::size_t worker = 0; worker < deps_.fleet.size(); ++worker) {
    if (deps_.fleet.draining(worker)) {
      // A worker that drains leaves; it does not stay without work.
      deps_.disturbed(worker, duration::zero());
      deps_.fleet.stop(worker, true);
    }
    come_back(worker, false);
    deps_.proxies[worker]->set_mode(proxy_mode::pass);
    deps_.fleet.faults(worker).unhealthy_percent = 0;
  }
}

}  // namespace rhubarbpath::soak

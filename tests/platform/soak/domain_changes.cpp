#include "domain_changes.hpp"

#include <fmt/format.h>

#include <chrono>
#include <utility>

namespace rhubarbpath::soak {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t seed_offset = 13'000'000;

}  // namespace

domain_changes::domain_changes(dependencies deps, std::uint64_t seed)
    : deps_{std::move(deps)}, random_{seed + seed_offset} {}

void domain_changes::schedule(duration delay, std::function<void()> call) {
  deps_.loop.run_detached(delay, [this, call = std::move(call)] {
    if (!cleared_) {
      call();
    }
  });
}

void domain_changes::plan(duration begin, duration length) {
  constexpr std::uint64_t span_of_change_ms = 6000;
  const auto span = static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(length).count());
  const auto zones = deps_.fleet.zones();
  for (std::uint64_t i = 0; i < 1 + span / span_of_change_ms; ++i) {
    const auto& zone = zones[random_.below(zones.size())];
    const bool is_short = random_.below(4) == 0;
    const auto lasts = milliseconds{is_short ? 10 + random_.below(300) : 2000 + random_.below(10'000)};
    schedule(begin + milliseconds{random_.below(span)}, [this, zone, lasts] { evacuate(zone, lasts); });
  }
}

void domain_changes::evacuate(const std::string& zone, duration length) {
  if (deps_.fleet.evacuated(zone)) {
    return;
  }
  deps_.trace(fmt::format("{} is evacuated for {} ms", zone, length.count() / 1000));
  deps_.fleet.evacuate(zone);
  schedule(length, [this, zone] {
    deps_.trace(fmt::format("{} is taken back", zone));
    deps_.fleet.take_back(zone);
  });
}

void domain_changes::clear() {
  cleared_ = true;
  for (const auto& zone : deps_.fleet.zones()) {
    if (deps_.fleet.evacuated(zone)) {
      deps_.fleet.take_back(zone);
    }
  }
}

}  // namespace rhubarbpath::soak

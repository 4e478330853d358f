#include "placed_jobs.hpp"

#include <fmt/format.h>

#include <chrono>

#include "platform_documents.hpp"

namespace rhubarbpath::soak {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t seed_offset = 7'000'000;

}  // namespace

placed_jobs::placed_jobs(std::uint64_t seed, std::vector<std::string> racks)
    : random_{seed + seed_offset}, racks_{std::move(racks)} {}

std::string placed_jobs::some_rack() {
  return racks_[random_.below(racks_.size())];
}

duration placed_jobs::some_time(std::uint64_t min_ms, std::uint64_t max_ms) {
  return milliseconds{min_ms + random_.below(max_ms - min_ms)};
}

placed_job placed_jobs::next() {
  constexpr std::uint64_t spread = 0xa24baed4963ee407ULL;
  placed_job made{.id = fmt::format("{:016x}", next_id_++ * spread),
                  .queue = std::string{normal_queue},
                  .steps = {},
                  .cancelled_at_end = false};
  const auto queue = random_.below(4);
  if (queue < 2) {
    made.queue = queue == 0 ? urgent_queue : spare_queue;
  }
  soak_step step{.count = static_cast<int>(1 + random_.below(3)),
                 .cpu = 600,
                 .memory_mb = 256,
                 .run_time = some_time(800, 3500)};
  switch (random_.below(13)) {
    case 0:
    case 1:
    case 2:
      step.data_rack = some_rack();
      step.run_time = some_time(1500, 4500);
      break;
    case 3:
      step.data_rack = "zone-9-r9";  // There is no such rack.
      break;
    case 4:
    case 5:
      step.gang = step.same_rack = true;
      step.count = 3;
      step.accelerators = 1;
      step.run_time = some_time(500, 1800);
      break;
    case 6:
      // A rack holds six members at most.
      step.gang = step.same_rack = true;
      step.count = 7;
      step.memory_mb = 5000;
      step.cpu = 200;
      step.run_time = some_time(1500, 3000);
      break;
    case 7:
      step.required_label = random_.below(2) == 0 ? "kind-b" : some_rack();
      step.max_per_server = static_cast<int>(random_.below(3));
      break;
    case 8:
      step.count = 3;
      step.max_per_server = 1;
      step.data_rack = random_.below(2) == 0 ? "" : some_rack();
      break;
    case 9:
      step.checkpointing = true;
      step.gang = random_.below(2) == 0;
      step.run_time = some_time(3000, 7000);
      step.data_rack = random_.below(2) == 0 ? "" : some_rack();
      break;
    case 10:
      // Fills a rack.
      step.required_label = some_rack();
      step.count = 2;
      step.cpu = 7500;
      step.run_time = some_time(3000, 6000);
      break;
    case 11:
      step.long_running = true;
      step.cpu = 300;
      step.data_rack = random_.below(2) == 0 ? "" : some_rack();
      step.max_per_server = random_.below(2) == 0 ? 1 : 0;
      break;
    default:
      step.checkpointing = step.long_running = random_.below(2) == 0;
      step.cpu = 300;
      // Nothing may ever run if no worker has the label.
      step.required_label = step.long_running ? some_rack() : "kind-z";
      break;
  }
  made.cancelled_at_end = step.long_running || step.required_label == "kind-z";
  made.steps = {step};
  if (!step.long_running && random_.below(4) == 0) {
    auto second = step;
    second.after = {0};
    second.run_time = some_time(300, 900);
    second.data_rack = some_rack();
    made.steps.push_back(second);
  }
  return made;
}

}  // namespace rhubarbpath::soak

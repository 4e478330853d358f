#pragma once

#include <map>
#include <string>
#include <vector>

#include "rhubarbpath/state/random.hpp"
#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath {

/// The peer addresses that this VM knows, each with the time when somebody last heard from it. VMs
/// exchange these lists, so the directory works without the store.
class peer_directory {
 public:
  struct options {
    std::string self;
    double processor_cores{0};
    /// An address that nobody has heard from for this long is left out.
    duration forget_after{std::chrono::seconds{10}};
  };
  /// A VM, how long ago it was heard from, and its processor as a share of a core.
  struct sighting {
    std::string address;
    duration age{};
    double processor_cores{0};
  };

  explicit peer_directory(options opts) : opts_{std::move(opts)} {}

  /// Seeds stay in the directory however long they are silent, because they may be all that is known.
  void set_seeds(const std::vector<std::string>& seeds, instant now);
  void heard_from(const std::string& address, instant now);
  void merge(const std::vector<sighting>& sightings, instant now);
  /// A call failed: the address is the last choice until it is heard from again.
  void failed(const std::string& address, instant now);

  /// What to tell other VMs, this one included.
  [[nodiscard]] std::vector<sighting> sightings(instant now) const;
  /// The largest processor among the other VMs that were heard from lately; 0 when there is none.
  [[nodiscard]] double largest_processor(instant now) const;
  /// Other VMs, those without a recent failure first, in random order among equals.
  [[nodiscard]] std::vector<std::string> choices(random_source& random, instant now) const;

 private:
  struct entry {
    instant heard{};
    double processor_cores{0};
    bool seed{false};
    bool failing{false};
  };
  options opts_;
  std::map<std::string, entry> entries_;
};

}  // namespace rhubarbpath

#pragma once

#include <map>
#include <string>
#include <utility>
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
    /// An address that nobody has heard from for this long is left out.
    duration forget_after{std::chrono::seconds{10}};
  };
  /// An address and how long ago it was heard from.
  using sighting = std::pair<std::string, duration>;

  explicit peer_directory(options opts) : opts_{std::move(opts)} {}

  /// Seeds stay in the directory however long they are silent, because they may be all that is known.
  void set_seeds(const std::vector<std::string>& seeds, instant now);
  void heard_from(const std::string& address, instant now);
  void merge(const std::vector<sighting>& sightings, instant now);
  /// A call failed: the address is the last choice until it is heard from again.
  void failed(const std::string& address, instant now);

  /// What to tell other VMs, this one included.
  [[nodiscard]] std::vector<sighting> sightings(instant now) const;
  /// Other VMs, those without a recent failure first, in random order among equals.
  [[nodiscard]] std::vector<std::string> choices(random_source& random, instant now) const;

 private:
  struct entry {
    instant heard{};
    bool seed{false};
    bool failing{false};
  };
  options opts_;
  std::map<std::string, entry> entries_;
};

}  // namespace rhubarbpath

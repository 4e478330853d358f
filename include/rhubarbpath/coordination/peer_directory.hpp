#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "rhubarbpath/state/random.hpp"
#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath {

/// The peer addresses known to this VM, each with the latest time at which any VM heard from it. VMs exchange
/// these lists with each other, so peers are discovered without the store.
class peer_directory {
 public:
  struct options {
    std::string self;           ///< Peer address of this VM.
    double processor_cores{0};  ///< Processor of this VM as a share of a core.
    /// An address expires when no VM has heard from it for this long.
    duration forget_after{std::chrono::seconds{10}};
    /// Bounds what senders of invented lists can add. A full directory takes new addresses only in place of
    /// expired ones.
    std::size_t max_addresses{4096};
    std::size_t max_address_bytes{64};
  };
  /// One peer as VMs report it to each other.
  struct peer_record {
    std::string address;
    duration age{};             ///< Time since the VM was last heard from.
    double processor_cores{0};  ///< Share of a core; 0 when unknown.
  };

  explicit peer_directory(options opts) : opts_{std::move(opts)} {}

  /// Adds addresses that never expire from `candidates`, because they may be the only known ones.
  void set_seeds(const std::vector<std::string>& seeds, instant now);
  /// Records a message from the address and clears its failure.
  void heard_from(const std::string& address, instant now);
  /// Takes in the list of another VM; expired sightings are ignored.
  void merge(const std::vector<peer_record>& sightings, instant now);
  /// Records a failed call. The address comes last in `candidates` until it is heard from again.
  void failed(const std::string& address, instant now);

  /// The list to send to other VMs. Includes this VM and leaves out expired addresses.
  [[nodiscard]] std::vector<peer_record> sightings(instant now) const;
  /// The largest `processor_cores` among the other VMs that have not expired; 0 when there are none.
  [[nodiscard]] double largest_processor(instant now) const;
  /// Addresses of other VMs in random order, but those whose last call failed come last.
  [[nodiscard]] std::vector<std::string> candidates(random_source& random, instant now) const;

 private:
  struct entry {
    instant heard{};
    double processor_cores{0};
    bool seed{false};
    bool failing{false};
  };
  /// The entry of the address, added if there is room for it; null otherwise.
  [[nodiscard]] entry* find_or_add(const std::string& address, instant now);

  options opts_;
  instant last_purge_{};
  std::map<std::string, entry> entries_;
};

}  // namespace rhubarbpath

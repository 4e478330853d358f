#include "rhubarbpath/coordination/peer_directory.hpp"

#include <algorithm>

namespace rhubarbpath {

void peer_directory::set_seeds(const std::vector<std::string>& seeds, instant /*now*/) {
  for (const auto& address : seeds) {
    if (address != opts_.self) {
      entries_[address].seed = true;
    }
  }
}

peer_directory::entry* peer_directory::find_or_add(const std::string& address, instant now) {
  if (const auto found = entries_.find(address); found != entries_.end()) {
    return &found->second;
  }
  constexpr duration purge_interval{std::chrono::seconds{1}};
  if (entries_.size() >= opts_.max_addresses && now - last_purge_ >= purge_interval) {
    last_purge_ = now;
    std::erase_if(entries_, [&](const auto& each) {
      return !each.second.seed && now - each.second.heard > opts_.forget_after;
    });
  }
  if (entries_.size() >= opts_.max_addresses || address.size() > opts_.max_address_bytes) {
    return nullptr;
  }
  return &entries_[address];
}

void peer_directory::heard_from(const std::string& address, instant now) {
  if (address.empty() || address == opts_.self) {
    return;
  }
  if (auto* known = find_or_add(address, now); known != nullptr) {
    known->heard = now;
    known->failing = false;
  }
}

void peer_directory::merge(const std::vector<peer_record>& sightings, instant now) {
  for (const auto& each : sightings) {
    if (each.address != opts_.self && each.age >= duration::zero() && each.age <= opts_.forget_after) {
      if (auto* known = find_or_add(each.address, now); known != nullptr) {
        known->heard = std::max(known->heard, now - each.age);
        known->processor_cores = each.processor_cores;
      }
    }
  }
}

void peer_directory::failed(const std::string& address, instant /*now*/) {
  if (const auto found = entries_.find(address); found != entries_.end()) {
    found->second.failing = true;
  }
}

std::vector<peer_directory::peer_record> peer_directory::sightings(instant now) const {
  std::vector<peer_record> result{
      {.address = opts_.self, .age = duration::zero(), .processor_cores = opts_.processor_cores}};
  for (const auto& [address, known] : entries_) {
    if (now - known.heard <= opts_.forget_after) {
      result.push_back(
          {.address = address, .age = now - known.heard, .processor_cores = known.processor_cores});
    }
  }
  return result;
}

double peer_directory::largest_processor(instant now) const {
  double largest = 0;
  for (const auto& [address, known] : entries_) {
    if (now - known.heard <= opts_.forget_after) {
      largest = std::max(largest, known.processor_cores);
    }
  }
  return largest;
}

std::vector<std::string> peer_directory::candidates(random_source& random, instant now) const {
  std::vector<std::string> good;
  std::vector<std::string> failing;
  for (const auto& [address, known] : entries_) {
    if (known.seed || now - known.heard <= opts_.forget_after) {
      (known.failing ? failing : good).push_back(address);
    }
  }
  std::shuffle(good.begin(), good.end(), random.engine());
  std::shuffle(failing.begin(), failing.end(), random.engine());
  good.insert(good.end(), failing.begin(), failing.end());
  return good;
}

}  // namespace rhubarbpath

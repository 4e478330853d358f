#pragma once

#include <cstdint>
#include <string_view>

namespace rhubarbpath::detail {

/// Hash that gives the same result in every process. absl's hash is seeded per process, so VMs would
/// disagree on it.
[[nodiscard]] std::uint64_t stable_hash(std::string_view text);

/// Combines two hashes and applies the finaliser of splitmix64.
[[nodiscard]] constexpr std::uint64_t mix(std::uint64_t left, std::uint64_t right) noexcept {
  std::uint64_t value = left ^ (right + 0x9e3779b97f4a7c15ULL + (left << 6U) + (left >> 2U));
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31U);
}

}  // namespace rhubarbpath::detail

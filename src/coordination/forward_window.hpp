#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace rhubarbpath::detail {

/// Sliding window that detects repeated sequence numbers, covering the last `size` numbers.
///
/// A number below the window counts as seen: its first copy may have been handled, and running a
/// request twice is worse than not answering a very late one.
class forward_window {
 public:
  explicit forward_window(std::size_t size) : size_{size} {}

  /// Returns true the first time a number within or above the window is passed. Zero is never accepted.
  [[nodiscard]] bool accept(std::uint64_t number) {
    if (seen_.empty()) {
      seen_.assign(size_, false);
    }
    if (number + size_ <= highest_ || number == 0) {
      return false;
    }
    if (number > highest_) {
      advance(number);
      seen_[number % size_] = true;
      return true;
    }
    if (seen_[number % size_]) {
      return false;
    }
    seen_[number % size_] = true;
    return true;
  }

 private:
  void advance(std::uint64_t number) {
    if (number - highest_ >= size_) {
      seen_.assign(size_, false);
    } else {
      for (auto skipped = highest_ + 1; skipped <= number; ++skipped) {
        seen_[skipped % size_] = false;
      }
    }
    highest_ = number;
  }

  std::size_t size_;
  std::uint64_t highest_{0};
  std::vector<bool> seen_;  ///< Allocated on first use, because most peers never forward.
};

}  // namespace rhubarbpath::detail

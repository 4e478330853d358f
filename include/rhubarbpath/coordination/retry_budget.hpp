#pragma once

namespace rhubarbpath {

/// Limits repeated sends to a share of first sends, so that retries cannot amplify an overload.
///
/// Every first send earns `share` credits and every repeated send spends one. The number of
/// repeated sends never exceeds `burst + share * first sends`.
class retry_budget {
 public:
  struct options {
    double share{0.1};  ///< Repeated sends as a share of first sends, 0 to 1.
    /// Credits at the start and the most that can be saved up. A short failure right after the
    /// start can then be retried although few first sends have been counted.
    double burst{10.0};
  };

  explicit retry_budget(options opts);

  /// Changes the share; the saved credits stay. A share of zero also removes the saved credits.
  void change_share(double share);
  void count_first_send();
  /// Spends one credit; returns false, and spends nothing, when there is less than one.
  [[nodiscard]] bool try_spend();
  [[nodiscard]] double credits() const noexcept { return credits_; }

 private:
  options options_;
  double credits_;
};

}  // namespace rhubarbpath

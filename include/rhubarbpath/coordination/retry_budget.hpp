#pragma once

namespace rhubarbpath {

/// Limits retries to a share of first sends, so that they cannot amplify an overload.
///
/// Each first send adds `share` credits and each retry spends one. The number of retries never
/// exceeds `burst + share * first sends`.
class retry_budget {
 public:
  struct options {
    double share{0.1};  ///< Retries as a fraction of first sends, 0 to 1.
    /// Initial and maximum number of credits. The initial credits allow retries of a short failure
    /// right after startup, when few first sends have been counted.
    double burst{10.0};
  };

  explicit retry_budget(options opts);

  /// Sets the share and keeps the credits. A share of zero removes all credits; raising it from zero
  /// restores the initial ones.
  void set_share(double share);
  void count_first_send();
  /// Spends one credit. Returns false, without spending anything, if less than one is left.
  [[nodiscard]] bool try_spend();
  [[nodiscard]] double credits() const noexcept { return credits_; }

 private:
  options options_;
  double credits_;
};

}  // namespace rhubarbpath

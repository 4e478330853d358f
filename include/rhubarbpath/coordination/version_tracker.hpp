#pragma once

#include <optional>
#include <string>

#include "rhubarbpath/state/ids.hpp"
#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath {

/// What a VM knows of the newest version of the configuration: which one it holds, when that one was last
/// known to be the newest, and newer ones that other VMs have announced.
///
/// A version that may be outdated must not decide that a caller has no queue or no key. Times are those of
/// the clock that counts suspension.
class version_tracker {
 public:
  struct options {
    /// The version held may decide for this long after it was known to be the newest.
    duration max_age{std::chrono::milliseconds{1900}};
    /// Without a confirmation for this long, the VM asks by other means than its watch. Longer than the wait
    /// of a watch and shorter than `max_age`, also where little time is permitted.
    duration check_after{std::chrono::milliseconds{1700}};
    duration check_interval{std::chrono::milliseconds{300}};
    /// The same after checks have failed for `check_limit`, so that a long outage costs little.
    duration outage_check_interval{std::chrono::seconds{1}};
    /// A version that may be outdated counts as being checked for this long.
    duration check_limit{std::chrono::milliseconds{600}};
    /// Time for this VM's own watch to bring an announced version before the VM fetches it from the
    /// announcer, besides the time of its transfer.
    duration announcement_grace{std::chrono::milliseconds{150}};
    duration fetch_retry_pause{std::chrono::milliseconds{100}};
    /// After this many failures the announcement is dropped; a check finds another VM that holds the version.
    int max_failed_fetches{3};
  };
  /// Returns the options of a site that permits `apply_limit`, 0.8 s or more, until a version must be in
  /// force.
  [[nodiscard]] static options options_for(duration apply_limit);

  enum class standing {
    confirmed,    ///< The version held was the newest a short time ago.
    checking,     ///< It may be outdated; a check is likely to tell soon.
    unconfirmed,  ///< It may be outdated, and checks have failed for `check_limit`.
  };

  explicit version_tracker(options opts) : opts_{opts} {}

  /// Takes a version into force. Versions never decrease.
  void hold(document_version version, instant now);
  /// The version held was the newest one at the time `at`.
  void confirm(instant at);
  /// What another VM says of the version that it holds.
  struct announcement {
    std::string peer;
    document_version version;
    duration transfer{};                  ///< Time to transfer the version over a slow link.
    std::optional<instant> confirmed_at;  ///< When it was the newest one, if that is known.
  };
  void announced(const announcement& heard, instant now);
  /// The VM that announced a version has served what it holds. If that was older or invalid, the announcement
  /// is dropped.
  void fetched();
  void fetch_failed(instant now);

  /// Returns the VM to fetch a newer version from, at most one at a time: until `fetched` or
  /// `fetch_failed`.
  [[nodiscard]] std::optional<std::string> fetch_due(instant now);
  /// Returns how long a watch may wait, so that its answer is due before a check is.
  [[nodiscard]] duration watch_wait() const;
  /// Returns true when a check is due, and counts it as begun.
  [[nodiscard]] bool check_due(instant now);
  [[nodiscard]] standing standing_at(instant now);
  /// Returns whether another VM holds a newer version.
  [[nodiscard]] bool newer_announced() const noexcept { return newer_.has_value(); }
  [[nodiscard]] document_version version() const noexcept { return held_; }
  /// Time since the version held was known to be the newest; nothing if it never was.
  [[nodiscard]] std::optional<duration> age(instant now) const;

 private:
  struct newer_version {
    document_version version;
    std::string peer;
    duration transfer{};
    instant fetch_at{};
    bool fetching{false};
    document_version fetched_version;  ///< The version announced when the fetch began.
    int failed_fetches{0};
  };

  options opts_;
  document_version held_;
  std::optional<instant> confirmed_at_;
  std::optional<instant> outdated_since_;  ///< When a version older than `max_age` was first noticed.
  std::optional<newer_version> newer_;
  instant last_check_{};
};

}  // namespace rhubarbpath

#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "rhubarbpath/state/ids.hpp"
#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath {

/// Bounds the bytes that the jobs of all teams make an owner keep, and the share of each team as
/// `leaves_as_much_for_others` has it. Reads no clock.
class work_budget {
 public:
  explicit work_budget(std::uint64_t max_bytes) : max_bytes_{max_bytes} {}

  /// Sets aside what a job costs until it is added, at most for `reservation_lifetime`. Repeated calls for a
  /// job extend that. Returns false if the team's jobs would take more than they may.
  [[nodiscard]] bool reserve(const job_id& job, const team_id& team, std::uint64_t bytes, instant now);
  /// Counts a job that was stored, whether or not it fits.
  void add(const job_id& job, const team_id& team, std::uint64_t bytes);
  void remove(const team_id& team, std::uint64_t bytes);
  /// Drops the reservations of jobs that were not stored in time.
  void expire(instant now);

  /// Teams whose jobs take more than is left for others, until they take a quarter less.
  [[nodiscard]] const std::set<team_id>& full_teams() const noexcept { return full_teams_; }
  [[nodiscard]] std::uint64_t bytes() const noexcept { return bytes_; }

  /// The store may carry out a write that got no answer seconds later.
  static constexpr duration reservation_lifetime{std::chrono::seconds{30}};

 private:
  struct reservation {
    team_id team;
    std::uint64_t bytes{0};
    instant expires_at{};
  };
  [[nodiscard]] std::uint64_t bytes_left() const noexcept;
  void change(const team_id& team, std::int64_t bytes);

  std::uint64_t max_bytes_;
  std::uint64_t bytes_{0};
  std::map<team_id, std::uint64_t> bytes_by_team_;
  std::map<job_id, reservation> reservations_;
  std::set<team_id> full_teams_;
};

}  // namespace rhubarbpath

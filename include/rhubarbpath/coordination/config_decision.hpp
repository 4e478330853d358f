#pragma once

#include "rhubarbpath/coordination/version_tracker.hpp"
#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath {

enum class config_decision {
  proceed,
  refuse,       ///< No such queue, or no such key.
  wait,         ///< Decide again when the standing of the version held may have changed.
  cannot_tell,  ///< Nothing was done; the caller may try again.
};

/// What the version held says of a call, and what matters besides.
struct config_question {
  bool allowed{false};        ///< The version held has the queue and the key.
  bool changes_state{false};  ///< The call submits or cancels a job.
  /// The store takes no writes, so a call that changes state could not be served after a wait either.
  bool store_refuses_writes{false};
  duration waited{};  ///< Since the call arrived.
};

/// Decides a call by the version held, which may be outdated: `standing` tells whether it was the newest a
/// short time ago, `newer_announced` whether another VM holds a newer one.
///
/// A version that may be outdated refuses nobody and changes nothing. A query of a queue that it has is
/// answered, because callers follow their jobs during an outage as well.
[[nodiscard]] config_decision decide(version_tracker::standing standing, bool newer_announced,
                                     const config_question& question);

/// A call waits at most this long for a newer version while other calls are decided by the version held.
/// Longer, and a call that arrived before another could be decided by a visibly newer version.
constexpr duration max_newer_version_wait{std::chrono::milliseconds{200}};
/// A call waits at most this long for a check, as do all others meanwhile.
constexpr duration max_check_wait{std::chrono::milliseconds{600}};

}  // namespace rhubarbpath

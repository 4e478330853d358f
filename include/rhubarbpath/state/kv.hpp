#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "rhubarbpath/state/ids.hpp"

namespace rhubarbpath {

/// A lease of the key-value store; keys attached to it are deleted when it ends. 0 means no lease.
using store_lease = number_id<struct store_lease_tag>;

struct kv_item {
  std::string key;
  std::string value;
  revision changed;
  revision created;
  store_lease lease;
};

struct kv_get {
  std::string key;
};
/// Reads one page of the keys that begin with `prefix` and follow the key `after`.
struct kv_list {
  std::string prefix;
  std::string after;
};
/// Waits for changes under `prefix` that are newer than `after`.
struct kv_watch {
  std::string prefix;
  revision after;
  std::chrono::milliseconds wait{0};
};
/// Condition of a commit.
struct kv_expect {
  std::string key;
  revision changed;  ///< 0 means that the key must not exist.
};
struct kv_put {
  std::string key;
  std::string value;
  store_lease lease;
};
/// Atomic transaction that takes effect only if every key in `expected` has the given revision.
struct kv_commit {
  std::vector<kv_expect> expected;
  std::vector<kv_put> puts;
  std::vector<std::string> erases;
};
struct kv_grant {
  std::chrono::milliseconds ttl{0};
};
struct kv_renew {
  store_lease lease;
};
struct kv_release {
  store_lease lease;
};
using kv_request = std::variant<kv_get, kv_list, kv_watch, kv_commit, kv_grant, kv_renew, kv_release>;

/// Answer to a get or list; a key that does not exist yields no item.
struct kv_items {
  std::vector<kv_item> items;
  bool has_more{false};
  revision as_of;
};
struct kv_event {
  kv_item item;  ///< Only the key and the revision are set when `deleted`.
  bool deleted{false};
};
struct kv_events {
  std::vector<kv_event> events;
  revision as_of;
};
struct kv_committed {
  revision at;
};
/// A condition did not hold; nothing was written. `items` holds those keys of the conditions that exist.
struct kv_conflict {
  std::vector<kv_item> items;
};
struct kv_granted {
  store_lease lease;
  std::chrono::milliseconds ttl{0};
};
/// The lease has ended.
struct kv_lease_not_found {};
/// The history after the revision of a watch was discarded; the keys must be read again.
struct kv_compacted {};
/// The store refused the call without any effect.
struct kv_refused {
  std::string reason;
  bool rate_limited{false};  ///< There were too many calls, of this VM or of all together.
};
/// No answer came; a write may have taken effect, or may still take effect while its condition holds.
struct kv_unknown {
  std::string reason;
  bool timed_out{false};
};
using kv_result = std::variant<kv_items, kv_events, kv_committed, kv_conflict, kv_granted, kv_lease_not_found,
                               kv_compacted, kv_refused, kv_unknown>;

/// Largest total number of conditions, puts and erases in one commit.
constexpr std::size_t max_commit_entries = 32;

}  // namespace rhubarbpath

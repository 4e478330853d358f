#pragma once

#include <absl/container/btree_map.h>

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "rhubarbpath/coordination/peer_types.hpp"
#include "rhubarbpath/coordination/version_tracker.hpp"
#include "rhubarbpath/coordination/view_keeper.hpp"
#include "rhubarbpath/state/random.hpp"
#include "rhubarbpath/state/store.hpp"

namespace rhubarbpath {

/// A heartbeat from a peer announced this document.
struct document_announced {
  vm_id from;
  peer::document_stamp stamp;
};
/// A peer asks for the document.
struct fetch_received {
  vm_id from;
  peer::fetch_document content;
};
/// A peer sent the document that it has in force.
struct document_received {
  vm_id from;
  peer::document content;
};
/// A decision waits until the document is known to be the newest one, or it is time to make sure.
struct document_check_requested {};
struct config_distributor_tick {};

using config_distributor_event =
    std::variant<document_announced, fetch_received, document_received, view_adopted, staleness_changed,
                 store_row_answered, document_check_requested, config_distributor_tick>;

struct send_fetch {
  vm_id to;
  peer::fetch_document content;
};
struct send_document {
  vm_id to;
  peer::document content;
};
/// A document with a higher version than any earlier one came into force at this VM.
struct document_adopted {
  versioned_document document;
};
/// A peer or the store holds a document with the version in force but another digest; it is ignored.
struct document_conflict {
  peer::document_stamp stamp;
};

using config_distributor_action =
    std::variant<store_row_call, send_fetch, send_document, document_adopted, document_conflict>;

/// Distributes the promoted document with the highest version to every VM.
///
/// The members ranked first in the view watch the document's store row. The other VMs learn of a newer
/// version from heartbeats and fetch the document from the peer that announced it. The version in force
/// at a VM never decreases.
class config_distributor {
 public:
  struct options {
    member_id self;
    std::string key;  ///< For example "/env/production/document".
    /// Decodes version, digest and bytes from a store row; returns nothing if the row is malformed.
    std::function<std::optional<versioned_document>(const store_row&)> decode_row;
    /// Returns whether the digest matches the bytes.
    std::function<bool(const versioned_document&)> verify;
    /// Longest wait of one watch. A lost answer is detected after this interval plus `watch_grace`.
    duration watch_wait{3'000'000};
    duration watch_grace{1'000'000};
    duration call_timeout{1'000'000};
    /// Average wait, with jitter, after a failed store call and after a watch that returned no newer row.
    duration retry_interval{500'000};
    /// Time after which another peer is asked for the document.
    duration fetch_timeout{500'000};
    /// A VM that receives no heartbeat for this long watches the store itself.
    duration heartbeat_timeout{3'000'000};
    /// In a view of n members, a VM that does not watch the store reads the row about once every n
    /// intervals, in case both watchers are cut off from the store.
    duration background_read_interval{5'000'000};
    /// When the document in force counts as confirmed. A promoted document is in force everywhere within 9 s,
    /// and a check has 3 s for several attempts.
    version_tracker::options confirmation{.max_age = duration{8'900'000}, .check_after = duration{6'000'000}};
  };

  config_distributor(options opts, random_source& random);

  /// Appends the resulting actions to `out`.
  void handle(const config_distributor_event& event, instant now,
              std::vector<config_distributor_action>& out);
  /// Latest time by which `handle` must be called again, with a `config_distributor_tick` if nothing else.
  [[nodiscard]] std::optional<instant> next_deadline() const;
  /// The document in force; version 0 until the first document is known.
  [[nodiscard]] const versioned_document& current() const noexcept { return current_; }
  [[nodiscard]] peer::document_stamp stamp() const;
  /// Whether the document in force was the newest one a short time ago.
  [[nodiscard]] version_tracker::standing standing(instant now) { return confirmation_.standing_at(now); }
  /// Whether a peer has announced a newer document that has not arrived.
  [[nodiscard]] bool newer_announced() const noexcept { return !announced_.empty(); }

 private:
  using actions = std::vector<config_distributor_action>;
  struct pending_call {
    call_id id;
    bool watch{false};
    instant sent_at{};
    instant expires{};
  };
  struct pending_fetch {
    vm_id from;
    instant expires{};
  };

  void on(const document_announced& event, instant now, actions& out);
  void on(const fetch_received& event, instant now, actions& out);
  void on(const document_received& event, instant now, actions& out);
  void on(const view_adopted& event, instant now, actions& out);
  void on(const staleness_changed& event, instant now, actions& out);
  void on(const store_row_answered& event, instant now, actions& out);
  void on(const document_check_requested& event, instant now, actions& out);
  void on(const config_distributor_tick& event, instant now, actions& out);
  void adopt(const versioned_document& found, actions& out);
  void fetch_next(instant now, actions& out);
  void call_store(instant now, actions& out);
  void schedule_next_call(instant now);
  /// Notes until when the answer shows that the document in force is the newest one.
  void confirm(const pending_call& call, const store_response& response, instant now);
  [[nodiscard]] bool is_watcher(instant now) const;

  options options_;
  random_source& random_;
  versioned_document current_;
  version_tracker confirmation_;
  revision row_revision_;  ///< Highest revision of the row that the store has returned.
  absl::btree_map<vm_id, peer::document_stamp> announced_;  ///< Newer documents, by the peer that has them.
  std::optional<pending_fetch> fetch_;
  std::optional<pending_call> call_;
  std::optional<instant> next_call_at_;
  std::uint64_t next_call_{1};
  std::optional<std::size_t> rank_;  ///< Rank in the view; empty while this VM is not a member.
  std::size_t view_size_{1};
  bool started_{false};
  bool read_before_watch_{true};  ///< The next store call is a get instead of a watch.
  instant last_heartbeat_at_{};   ///< Initially the time of the first event.
  instant last_handled_at_{};
};

}  // namespace rhubarbpath

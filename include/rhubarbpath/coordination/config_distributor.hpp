#pragma once

#include <absl/container/btree_map.h>

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "rhubarbpath/coordination/peer_types.hpp"
#include "rhubarbpath/coordination/view_keeper.hpp"
#include "rhubarbpath/state/random.hpp"
#include "rhubarbpath/state/store.hpp"

namespace rhubarbpath {

/// A peer's heartbeat named this document.
struct document_heard {
  vm_id from;
  peer::document_stamp stamp;
};
struct fetch_received {
  vm_id from;
  peer::fetch_document content;
};
struct document_received {
  vm_id from;
  peer::document content;
};
struct config_distributor_tick {};

using config_distributor_event = std::variant<document_heard, fetch_received, document_received, view_adopted,
                                              staleness_changed, row_answered, config_distributor_tick>;

struct send_fetch {
  vm_id to;
  peer::fetch_document content;
};
struct send_document {
  vm_id to;
  peer::document content;
};
/// A document with a higher version than any before is in force at this VM.
struct document_adopted {
  versioned_document document;
};
/// A peer or the store holds other bytes under the version in force; they are ignored.
struct document_conflict {
  peer::document_stamp stamp;
};

using config_distributor_action =
    std::variant<row_call, send_fetch, send_document, document_adopted, document_conflict>;

/// Brings the highest promoted document into force on every VM; the version never decreases.
class config_distributor {
 public:
  struct options {
    member_id self;
    std::string key;  ///< For example "/env/production/document".
    /// Reads version, digest and bytes from the store row; returns nothing for a malformed row.
    std::function<std::optional<versioned_document>(const store_row&)> decode_row;
    /// True when the digest belongs to the bytes.
    std::function<bool(const versioned_document&)> verify;
    /// Length of one watch. With `watch_grace` it bounds how long a silent watch goes unnoticed.
    duration watch_wait{3'000'000};
    duration watch_grace{1'000'000};
    duration call_timeout{1'000'000};
    duration retry_interval{500'000};
    duration fetch_timeout{500'000};
    /// A VM that hears no peer for this long watches the store itself.
    duration peer_silence{3'000'000};
    /// Each of n VMs that do not watch reads the store once in n of these intervals, in case both
    /// watchers are cut off from the store.
    duration background_read{5'000'000};
  };

  config_distributor(options opts, random_source& random);

  void handle(const config_distributor_event& event, instant now,
              std::vector<config_distributor_action>& out);
  [[nodiscard]] std::optional<instant> next_deadline() const;
  /// The document in force; version 0 before any is known.
  [[nodiscard]] const versioned_document& current() const noexcept { return current_; }
  [[nodiscard]] peer::document_stamp stamp() const;

 private:
  using actions = std::vector<config_distributor_action>;
  struct pending_call {
    call_id id;
    bool watch{false};
    instant expires{};
  };
  struct pending_fetch {
    vm_id from;
    instant expires{};
  };

  void on(const document_heard& event, instant now, actions& out);
  void on(const fetch_received& event, instant now, actions& out);
  void on(const document_received& event, instant now, actions& out);
  void on(const view_adopted& event, instant now, actions& out);
  void on(const staleness_changed& event, instant now, actions& out);
  void on(const row_answered& event, instant now, actions& out);
  void on(const config_distributor_tick& event, instant now, actions& out);
  void adopt(const versioned_document& found, actions& out);
  void fetch_next(instant now, actions& out);
  void call_store(instant now, actions& out);
  void schedule_read(instant now);
  [[nodiscard]] bool watches(instant now) const;

  options options_;
  random_source& random_;
  versioned_document current_;
  revision row_revision_;  ///< Highest revision of the row seen in the store.
  absl::btree_map<vm_id, peer::document_stamp> announced_;  ///< Peers with a higher version.
  std::optional<pending_fetch> fetch_;
  std::optional<pending_call> call_;
  std::optional<instant> next_call_at_;
  std::uint64_t next_call_{1};
  std::optional<std::size_t> rank_;
  std::size_t fleet_{1};
  bool started_{false};
  bool read_first_{true};  ///< The next store call is a get instead of a watch.
  instant last_peer_{};
  instant last_run_{};
};

}  // namespace rhubarbpath

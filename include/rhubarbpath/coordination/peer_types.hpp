#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "rhubarbpath/coordination/view.hpp"
#include "rhubarbpath/state/document.hpp"
#include "rhubarbpath/state/ids.hpp"
#include "rhubarbpath/state/units.hpp"
#include "rhubarbpath/state/verdict.hpp"

/// Messages that the coordination components of entry VMs exchange.
namespace rhubarbpath::peer {

/// Idle capacity and queue length of one service at the sender.
struct service_load {
  service_id service;
  std::uint32_t idle_slots{0};
  std::uint32_t queue_length{0};
  friend bool operator==(const service_load&, const service_load&) = default;
};

/// Identifies a promoted document without its content.
struct document_stamp {
  document_version version;
  std::string digest;  ///< Hexadecimal SHA-256; empty for version 0.
  friend bool operator==(const document_stamp&, const document_stamp&) = default;
};

/// In ascending order of precedence within one incarnation and round.
enum class member_state : std::uint8_t { alive, suspect, dead, left };

/// The state of one member as known to the sender. When two reports differ, the higher incarnation wins.
/// Within one incarnation `left` is final; otherwise the higher round wins, then the state of higher
/// precedence.
struct member_update {
  member_info member;
  /// Incremented only by the member itself, to refute a suspicion within one incarnation.
  std::uint64_t round{0};
  member_state state{member_state::alive};
  bool draining{false};
  friend bool operator==(const member_update&, const member_update&) = default;
};

/// Sent periodically to the successors in the ring, and immediately when there is news.
struct heartbeat {
  member_update sender;
  view_number view;
  document_stamp document;
  std::uint64_t live_digest{0};  ///< Digest of the list of live members; equal for equal lists.
  bool reply_wanted{false};      ///< Asks the receiver to answer with its whole member list.
  std::vector<service_load> loads;
  std::vector<member_update> news;  ///< Suspicions, joins and departures.
  friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

/// Identifies the dispatch of one request. The sequence is unique within the dispatcher's incarnation.
struct dispatch_id {
  member_id dispatcher;
  std::uint64_t sequence{0};
  friend bool operator==(const dispatch_id&, const dispatch_id&) = default;
};

/// Asks a registrar to reserve the key for a dispatch.
struct record_intent {
  idempotency_key key;
  dispatch_id dispatch;
  view_number view;
  bool first_attempt{false};  ///< The caller states that it has not sent this key before.
  friend bool operator==(const record_intent&, const record_intent&) = default;
};

/// The dispatcher will never send the request; the registrar releases the key.
struct withdraw_intent {
  idempotency_key key;
  dispatch_id dispatch;
  friend bool operator==(const withdraw_intent&, const withdraw_intent&) = default;
};

/// The result of a finished request, kept for repeats of its key.
struct kept_answer {
  outcome result;
  std::uint32_t status{0};  ///< HTTP status of the answer; 0 when there was none.
  std::string body;
  bool body_dropped{false};  ///< The body was discarded before the key expired, to bound memory.
  friend bool operator==(const kept_answer&, const kept_answer&) = default;
};

/// The dispatch ended. Both registrars keep the answer for the lifetime of the key.
struct finish_intent {
  idempotency_key key;
  dispatch_id dispatch;
  kept_answer answer;
  friend bool operator==(const finish_intent&, const finish_intent&) = default;
};

enum class intent_status : std::uint8_t {
  acknowledged,  ///< The registrar holds the key for this dispatch.
  in_progress,   ///< Another dispatch holds the key.
  finished,      ///< Another dispatch of the key ended; the answer is attached.
  tainted,       ///< The key is unknown, but intents of its range may have been lost.
  wrong_view,    ///< The registrar is in a different view from the message.
  not_ready,     ///< The registrar has not received the range yet.
  full,          ///< The intent table is full and does not contain the key.
  withdrawn,     ///< Confirms `withdraw_intent`.
  kept,          ///< Confirms `finish_intent`.
};

/// A registrar's answer to `record_intent`, `withdraw_intent` and `finish_intent`.
struct intent_answer {
  idempotency_key key;
  dispatch_id dispatch;  ///< The dispatch in the message that is answered.
  intent_status status{intent_status::not_ready};
  view_number view;                   ///< The registrar's view.
  std::optional<dispatch_id> holder;  ///< Set for `in_progress` and `finished`.
  std::optional<kept_answer> answer;  ///< Set for `finished`.
  friend bool operator==(const intent_answer&, const intent_answer&) = default;
};

enum class intent_state : std::uint8_t { recorded, finished, withdrawn };

/// One key of a range in a transfer between registrars.
struct intent_entry {
  idempotency_key key;
  dispatch_id dispatch;
  intent_state state{intent_state::recorded};
  duration remaining{};  ///< Remaining lifetime of the key.
  kept_answer answer;    ///< Empty unless finished.
  friend bool operator==(const intent_entry&, const intent_entry&) = default;
};

enum class transfer_kind : std::uint8_t {
  request,   ///< Asks for the entries of the range after `cursor`.
  entries,   ///< Some entries of the range, beginning after `cursor`.
  retry,     ///< The asked VM is still in the source view, or not ready yet.
  redirect,  ///< The asked VM was never ready in the source view; registrars of an older view hold the range.
  unable,    ///< The asked VM does not hold the range.
  completed,  ///< The new registrar holds the range.
};

/// Request or answer that transfers one key range to a registrar of a new view.
struct transfer_intents {
  transfer_kind kind{transfer_kind::request};
  std::uint32_t range{0};
  view_number target;      ///< View in which the receiver of the range is a registrar.
  view_number source;      ///< View in which the asked VM was a registrar.
  idempotency_key cursor;  ///< Key after which the entries begin; empty for the first message.
  bool last{false};        ///< No further `entries` message follows.
  duration taint{};        ///< Remaining time for which the range stays tainted; zero when it is not.
  std::vector<intent_entry> entries;
  view_number redirect_view;  ///< For `redirect`; zero means that no intent was ever recorded.
  std::vector<member_info> redirect_registrars;
  friend bool operator==(const transfer_intents&, const transfer_intents&) = default;
};

/// Asks for a document of at least the given version.
struct fetch_document {
  document_version version;
  friend bool operator==(const fetch_document&, const fetch_document&) = default;
};

/// Answers `fetch_document` with the document in force at the sender.
struct document {
  versioned_document content;
  friend bool operator==(const document&, const document&) = default;
};

/// Longest accepted idempotency key, in bytes.
inline constexpr std::size_t max_key_bytes = 256;
/// Largest body of a request or an answer, in bytes.
inline constexpr std::size_t max_body_bytes = 1'000'000;
/// Largest number of member news in one heartbeat.
inline constexpr std::size_t max_news = 128;
/// Largest number of entries in one transfer message.
inline constexpr std::size_t max_transfer_entries = 1024;
/// A transfer message ends after the entry with which it reaches this size, in bytes.
inline constexpr std::size_t transfer_part_bytes = 256'000;

}  // namespace rhubarbpath::peer

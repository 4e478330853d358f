#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "rhubarbpath/coordination/membership.hpp"
#include "rhubarbpath/coordination/view.hpp"
#include "rhubarbpath/state/random.hpp"
#include "rhubarbpath/state/store.hpp"

namespace rhubarbpath {

/// The store's response to a `store_row_call`.
struct store_row_answered {
  call_id call;
  store_response response;
};

/// A store request that the caller sends through its store session.
struct store_row_call {
  call_id call;
  store_request request;
};

/// A peer's heartbeat contained this view number.
struct view_number_received {
  view_number number;
};
struct view_keeper_tick {};

using view_keeper_event = std::variant<live_list_changed, staleness_changed, view_number_received,
                                       store_row_answered, view_keeper_tick>;

/// A view with a higher number than all earlier ones was adopted.
struct view_adopted {
  view adopted;
};
using view_keeper_action = std::variant<store_row_call, view_adopted>;

/// Updates the view row in the store to match the live list, by compare-and-swap.
class view_keeper {
 public:
  struct options {
    member_id self;
    std::string key;  ///< Key of the view row, for example "/env/production/view".
    /// Delay in which changes are collected into one view.
    duration settle{100'000};
    /// Delay of each proposer after the one that is ranked before it.
    duration rank_delay{400'000};
    /// Additional delay of a proposal that removes half of the view or more, or that joins a view
    /// without live members: the proposer itself may be the one that is partitioned off.
    duration minority_delay{3'000'000};
    duration call_timeout{2'000'000};
    duration retry_interval{500'000};
    /// Interval of the periodic reads by the two members ranked first and by non-members.
    duration refresh_interval{10'000'000};
  };

  view_keeper(options opts, random_source& random);

  void handle(const view_keeper_event& event, instant now, std::vector<view_keeper_action>& out);
  [[nodiscard]] std::optional<instant> next_deadline() const;
  [[nodiscard]] const view& current() const noexcept { return view_; }

 private:
  using actions = std::vector<view_keeper_action>;
  enum class call_kind { read, write };
  struct pending_call {
    call_id id;
    call_kind kind{call_kind::read};
    instant expires{};
    view proposed;
    write_id write;
  };

  void on(const live_list_changed& event, instant now, actions& out);
  void on(const staleness_changed& event, instant now, actions& out);
  void on(const view_number_received& event, instant now, actions& out);
  void on(const store_row_answered& event, instant now, actions& out);
  void on(const view_keeper_tick& event, instant now, actions& out);
  void on_read(const store_response& response, instant now, actions& out);
  void on_written(const pending_call& call, const store_response& response, instant now, actions& out);
  void adopt(const view& found, instant now, actions& out);
  void schedule_read(instant when);
  void plan_proposal(instant now);
  void propose(instant now, actions& out);
  void send_call(call_kind kind, store_request request, instant now, actions& out);
  [[nodiscard]] std::vector<member_info> desired_members() const;
  [[nodiscard]] bool in_view() const;

  options options_;
  random_source& random_;
  view view_;
  revision row_revision_;  ///< Revision of the row last read or written; zero if there is no row.
  bool row_known_{false};  ///< A read has returned the row or shown that there is none.
  std::vector<live_member> live_;
  bool live_known_{false};
  std::optional<pending_call> pending_;
  std::uint64_t next_call_{1};
  std::optional<instant> next_read_;
  std::optional<instant> propose_at_;
  std::vector<member_info> planned_members_;
  bool proposal_inputs_changed_{true};  ///< An input of the proposal has changed since it was planned.
};

}  // namespace rhubarbpath

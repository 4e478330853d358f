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

/// An answer to a `row_call` of this part.
struct row_answered {
  call_id call;
  store_response response;
};

/// A store call that the caller makes through its store session.
struct row_call {
  call_id call;
  store_request request;
};

/// A peer's heartbeat named this view.
struct view_heard {
  view_number number;
};
struct view_keeper_tick {};

using view_keeper_event =
    std::variant<live_list_changed, staleness_changed, view_heard, row_answered, view_keeper_tick>;

/// A view with a higher number than any before is known.
struct view_adopted {
  view adopted;
};
using view_keeper_action = std::variant<row_call, view_adopted>;

/// Keeps the view row in the store equal to the live list, by compare-and-swap.
class view_keeper {
 public:
  struct options {
    member_id self;
    std::string key;  ///< For example "/env/production/view".
    /// Collects changes that come together into one view.
    duration settle{100'000};
    /// Head start of each proposer over the next one in rank.
    duration rank_delay{400'000};
    /// Wait before a proposal that removes half of the view or more, or that joins a view of which
    /// no member is live: the proposer may be the one that is cut off.
    duration minority_patience{3'000'000};
    duration call_timeout{2'000'000};
    duration retry_interval{500'000};
    /// Interval of reads without a reason, by the two members ranked first and by non-members.
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
  void on(const view_heard& event, instant now, actions& out);
  void on(const row_answered& event, instant now, actions& out);
  void on(const view_keeper_tick& event, instant now, actions& out);
  void on_read(const store_response& response, instant now, actions& out);
  void on_written(const pending_call& call, const store_response& response, instant now, actions& out);
  void adopt(const view& found, instant now, actions& out);
  void read_at(instant when);
  void plan(instant now);
  void propose(instant now, actions& out);
  void call(call_kind kind, store_request request, instant now, actions& out);
  [[nodiscard]] std::vector<member_info> wanted_members() const;
  [[nodiscard]] bool in_view() const;

  options options_;
  random_source& random_;
  view view_;
  revision at_;            ///< Revision of the row last read; zero when it is absent.
  bool row_known_{false};  ///< A read has shown the row or its absence.
  std::vector<live_member> live_;
  bool live_known_{false};
  std::optional<pending_call> pending_;
  std::uint64_t next_call_{1};
  std::optional<instant> next_read_;
  std::optional<instant> propose_at_;
  std::vector<member_info> planned_;
  bool plan_again_{true};  ///< Something that a proposal depends on has changed.
};

}  // namespace rhubarbpath

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "rhubarbpath/coordination/store_session.hpp"
#include "rhubarbpath/state/random.hpp"
#include "rhubarbpath/state/store.hpp"

namespace rhubarbpath::simulation {

/// Runs callbacks in the order of simulated time.
class event_queue {
 public:
  void at(instant when, std::function<void()> run) {
    events_.push({.when = std::max(when, now_), .order = next_order_++, .run = std::move(run)});
  }
  /// Runs all callbacks that are due up to and including `until`.
  void run_until(instant until) {
    while (!events_.empty() && events_.top().when <= until) {
      auto next = events_.top();
      events_.pop();
      now_ = next.when;
      next.run();
    }
    now_ = until;
  }
  [[nodiscard]] instant now() const { return now_; }

 private:
  struct event {
    instant when;
    std::uint64_t order{0};
    std::function<void()> run;
    bool operator<(const event& other) const {
      return std::pair{when, order} > std::pair{other.when, other.order};
    }
  };
  std::priority_queue<event> events_;
  std::uint64_t next_order_{0};
  instant now_{};
};

/// Probability, from 0 to 1, with which each fault affects a call.
struct store_faults {
  double answer_lost{0};   ///< The call takes effect, but the response is lost.
  double request_lost{0};  ///< The call has no effect and gets no response.
  double delayed{0};       ///< The call takes effect up to `longest_delay` later.
  double limited{0};
  double stale_list{0};  ///< A list returns an older state.
  duration longest_delay{3'000'000};
};

/// Key-value store with fault injection. A call in flight can take effect at any later time, even after the
/// caller has timed out.
class simulated_store {
 public:
  using answer = std::function<void(store_response)>;

  simulated_store(event_queue& queue, random_source& random) : queue_{&queue}, random_{&random} {}

  store_faults faults;
  bool down{false};
  /// Called for each row that is created or changed.
  std::function<void(const store_row&)> on_write;

  void call(const store_request& request, answer reply) {
    ++calls;
    const bool request_delivered = random_->fraction() >= faults.request_lost;
    const bool response_delivered = random_->fraction() >= faults.answer_lost;
    auto delay = duration{200 + static_cast<std::int64_t>(random_->below(2'000))};
    if (random_->fraction() < faults.delayed) {
      delay += duration{static_cast<std::int64_t>(
          random_->below(static_cast<std::uint64_t>(faults.longest_delay.count())))};
    }
    if (!request_delivered) {
      return;
    }
    queue_->at(queue_->now() + delay, [this, request, reply = std::move(reply), response_delivered] {
      arrive(
          request, response_delivered ? reply : [](const store_response&) {});
    });
  }

  [[nodiscard]] const std::map<std::string, store_row>& rows() const { return rows_; }
  void put_row(const store_row& row) { rows_[row.key] = row; }

  std::uint64_t calls{0};
  std::uint64_t writes{0};
  std::uint64_t bytes_written{0};

 private:
  struct pending_watch {
    store_watch watch;
    answer reply;
    std::uint64_t id{0};
  };

  void arrive(const store_request& request, const answer& reply) {
    expire_leases();
    if (down) {
      respond(reply, store_failure::unavailable);
      return;
    }
    if (random_->fraction() < faults.limited) {
      respond(reply, store_failure::limited);
      return;
    }
    if (const auto* watch = std::get_if<store_watch>(&request)) {
      start_watch(*watch, reply);
      return;
    }
    respond(reply, std::visit([this](const auto& typed) { return apply(typed); }, request));
    complete_watches();
  }

  void respond(const answer& reply, store_response response) {
    const auto delay = duration{200 + static_cast<std::int64_t>(random_->below(2'000))};
    queue_->at(queue_->now() + delay, [reply, response = std::move(response)] { reply(response); });
  }

  store_response apply(const store_get& get) {
    store_rows result;
    if (const auto found = rows_.find(get.key); found != rows_.end()) {
      result.rows.push_back(found->second);
    }
    return result;
  }
  store_response apply(const store_put& put) {
    if (put.value.size() > max_store_value_bytes ||
        (put.lease != store_lease_id{} && !leases_.contains(put.lease))) {
      return store_failure::invalid;
    }
    const auto found = rows_.find(put.key);
    const auto current = found == rows_.end() ? revision{} : found->second.at;
    if (current != put.expected) {
      return store_failure::conflict;
    }
    refresh_stale_rows();
    last_revision_ = last_revision_.next();
    const store_row row{.key = put.key, .value = put.value, .at = last_revision_, .written_by = put.id};
    rows_[put.key] = row;
    row_leases_[put.key] = put.lease;
    ++writes;
    bytes_written += put.value.size();
    if (on_write) {
      on_write(row);
    }
    return store_written{.at = last_revision_};
  }
  store_response apply(const store_erase& erase) {
    const auto found = rows_.find(erase.key);
    if (found == rows_.end()) {
      return store_written{.at = last_revision_};
    }
    if (erase.expected != revision{} && erase.expected != found->second.at) {
      return store_failure::conflict;
    }
    refresh_stale_rows();
    ++writes;
    rows_.erase(found);
    return store_written{.at = last_revision_};
  }
  store_response apply(const store_list& list) {
    const bool stale = random_->fraction() < faults.stale_list;
    const auto& source = stale ? stale_rows_ : rows_;
    store_rows result;
    for (auto row = source.lower_bound(std::max(list.prefix, list.start)); row != source.end(); ++row) {
      if (row->first.compare(0, list.prefix.size(), list.prefix) != 0) {
        break;
      }
      if (result.rows.size() == static_cast<std::size_t>(list.limit)) {
        result.more = true;
        break;
      }
      result.rows.push_back(row->second);
    }
    return result;
  }
  store_response apply(const store_lease_grant& grant) {
    last_lease_ = last_lease_.next();
    ++writes;
    leases_[last_lease_] = {queue_->now() + grant.time_to_live, grant.time_to_live};
    queue_->at(queue_->now() + grant.time_to_live, [this] { expire_leases(); });
    return store_lease_granted{.lease = last_lease_, .time_to_live = grant.time_to_live};
  }
  store_response apply(const store_lease_renew& renew) {
    const auto found = leases_.find(renew.lease);
    if (found == leases_.end()) {
      return store_failure::conflict;
    }
    ++writes;
    found->second.first = queue_->now() + found->second.second;
    queue_->at(found->second.first, [this] { expire_leases(); });
    return store_lease_granted{.lease = renew.lease, .time_to_live = found->second.second};
  }
  store_response apply(const store_watch& /*watch*/) { return store_failure::invalid; }

  void expire_leases() {
    // An outage preserves the state of the store, and leases still expire during it.
    for (auto lease = leases_.begin(); lease != leases_.end();) {
      if (lease->second.first > queue_->now()) {
        ++lease;
        continue;
      }
      for (auto bound = row_leases_.begin(); bound != row_leases_.end();) {
        if (bound->second == lease->first) {
          rows_.erase(bound->first);
          bound = row_leases_.erase(bound);
        } else {
          ++bound;
        }
      }
      lease = leases_.erase(lease);
    }
    complete_watches();
  }

  std::optional<store_response> watch_result(const store_watch& watch) const {
    const auto found = rows_.find(watch.key);
    if (found == rows_.end()) {
      return watch.after == revision{} ? std::nullopt : std::optional<store_response>{store_rows{}};
    }
    if (found->second.at <= watch.after) {
      return std::nullopt;
    }
    return store_rows{.rows = {found->second}};
  }

  void start_watch(const store_watch& watch, const answer& reply) {
    if (const auto result = watch_result(watch)) {
      respond(reply, *result);
      return;
    }
    const auto id = next_watch_++;
    watches_.push_back({.watch = watch, .reply = reply, .id = id});
    queue_->at(queue_->now() + watch.wait, [this, id] {
      for (auto each = watches_.begin(); each != watches_.end(); ++each) {
        if (each->id == id) {
          respond(each->reply, store_unchanged{});
          watches_.erase(each);
          return;
        }
      }
    });
  }

  void complete_watches() {
    if (down) {
      return;
    }
    for (auto each = watches_.begin(); each != watches_.end();) {
      if (const auto result = watch_result(each->watch)) {
        respond(each->reply, *result);
        each = watches_.erase(each);
      } else {
        ++each;
      }
    }
  }

  /// Replaces the state that stale lists return, on average at every eighth write.
  void refresh_stale_rows() {
    if (faults.stale_list > 0 && random_->below(8) == 0) {
      stale_rows_ = rows_;
    }
  }

  event_queue* queue_;
  random_source* random_;
  std::map<std::string, store_row> rows_;
  std::map<std::string, store_row> stale_rows_;
  std::map<std::string, store_lease_id> row_leases_;
  std::map<store_lease_id, std::pair<instant, duration>> leases_;
  std::vector<pending_watch> watches_;
  revision last_revision_;
  store_lease_id last_lease_;
  std::uint64_t next_watch_{1};
};

/// Process that hosts one component and its store session. While it is frozen, everything sent to it is
/// queued; after a crash, everything sent to it is dropped.
template <class Part, class Event, class Action>
class simulated_process : public std::enable_shared_from_this<simulated_process<Part, Event, Action>> {
 public:
  simulated_process(event_queue& queue, simulated_store& store, const vm_id& vm, incarnation start)
      : queue_{&queue},
        store_{&store},
        random_{std::hash<std::string>{}(vm.value()) + start.value()},
        session_{{.owner = vm, .owner_incarnation = start}, random_} {}
  simulated_process(const simulated_process&) = delete;
  simulated_process(simulated_process&&) = delete;
  simulated_process& operator=(const simulated_process&) = delete;
  simulated_process& operator=(simulated_process&&) = delete;
  virtual ~simulated_process() = default;

  virtual void on_action(Action& action) = 0;

  /// Runs `work` in this process: now, after a resume if the process is frozen, or never if it has crashed.
  void post(std::function<void()> work) {
    if (crashed_) {
      return;
    }
    if (frozen_) {
      backlog_.push_back(std::move(work));
      return;
    }
    work();
    schedule_deadline();
  }
  void post_at(instant when, std::function<void()> work) {
    queue_->at(when, [self = this->shared_from_this(), work = std::move(work)] { self->post(work); });
  }
  void send(const Event& event) {
    post([this, event] { feed(event); });
  }
  void freeze() { frozen_ = true; }
  void resume() {
    frozen_ = false;
    for (auto& work : std::exchange(backlog_, {})) {
      post(std::move(work));
    }
  }
  void crash() { crashed_ = true; }
  bool cut_off{false};  ///< Only this process is disconnected from the store and its peers.
  [[nodiscard]] bool alive() const { return !crashed_; }
  [[nodiscard]] bool frozen() const { return frozen_; }
  [[nodiscard]] Part& part() { return *part_; }
  [[nodiscard]] const store_session& session() const { return session_; }

 protected:
  void feed(const Event& event) {
    std::vector<Action> actions;
    part_->handle(event, queue_->now(), actions);
    for (auto& action : actions) {
      if (auto* call = std::get_if<store_call>(&action)) {
        feed_session(*call);
      } else if (auto* cancelled = std::get_if<store_call_cancelled>(&action)) {
        feed_session(*cancelled);
      } else {
        on_action(action);
      }
    }
  }
  event_queue& queue() { return *queue_; }
  random_source& random() { return random_; }
  std::unique_ptr<Part> part_;

 private:
  void feed_session(const store_session_event& event) {
    std::vector<store_session_action> actions;
    session_.handle(event, queue_->now(), actions);
    for (auto& action : actions) {
      if (auto* sent = std::get_if<store_send>(&action)) {
        if (cut_off) {
          constexpr duration refused_after{1'000};
          post_at(queue_->now() + refused_after, [this, id = sent->sent] {
            feed_session(store_answered{.sent = id, .response = store_failure::unavailable});
          });
          continue;
        }
        store_->call(sent->request,
                     [self = this->shared_from_this(), id = sent->sent](store_response response) {
                       // A frozen process owns its queued work. A strong reference from the work to the
                       // process would be a cycle.
                       self->post([process = self.get(), id, response] {
                         process->feed_session(store_answered{.sent = id, .response = response});
                       });
                     });
      } else {
        feed(std::get<store_call_result>(action));
      }
    }
  }

  void schedule_deadline() {
    auto due = part_->next_deadline();
    if (const auto other = session_.next_deadline(); other && (!due || *other < *due)) {
      due = other;
    }
    if (!due || due == scheduled_deadline_) {
      return;
    }
    scheduled_deadline_ = due;
    post_at(*due, [this, at = *due] {
      if (scheduled_deadline_ != at) {
        return;
      }
      scheduled_deadline_.reset();
      feed_session(tick{});
      feed(tick{});
    });
  }

  event_queue* queue_;
  simulated_store* store_;
  random_source random_;
  store_session session_;
  bool frozen_{false};
  bool crashed_{false};
  std::vector<std::function<void()>> backlog_;
  std::optional<instant> scheduled_deadline_;
};

}  // namespace rhubarbpath::simulation

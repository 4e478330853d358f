#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "rhubarbpath/coordination/request_router.hpp"

namespace rhubarbpath::testing {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A document with two failure domains, two teams and the service `lendbook`, whose class `hold` is
/// non-idempotent.
inline std::shared_ptr<environment_document> small_document(int workers, int slots) {
  auto document = std::make_shared<environment_document>();
  for (int i = 0; i < 2; ++i) {
    const auto name = std::to_string(i);
    document->racks.push_back({rack_id{"r" + name}, failure_domain_id{"f" + name}});
    document->teams.push_back({.id = team_id{"team" + name}, .max_queued_requests = 50});
  }
  for (int i = 0; i < workers; ++i) {
    document->workers.push_back({.id = worker_id{"w" + std::to_string(i)},
                                 .rack = rack_id{"r" + std::to_string(i % 2)},
                                 .service = service_id{"lendbook"}});
  }
  document->services.push_back(
      {.id = service_id{"lendbook"},
       .slots_per_target = slots,
       .connections_per_target = slots + 2,
       .classes = {{.id = class_id{"hold"}, .rank = 0, .queue_limit = 30, .non_idempotent = true},
                   {.id = class_id{"preview"}, .rank = 1, .queue_limit = 30},
                   {.id = class_id{"stock"}, .rank = 2, .queue_limit = 30}}});
  document->budget = {.set_aside_share = 0.2, .retry_share = 0.2, .hedge_share = 0.1};
  return document;
}

/// Faults of one run: probabilities per message or call, 0 to 1, and numbers of crashes and freezes.
struct cluster_faults {
  double lose_message{0};
  double repeat_message{0};
  double refuse_connection{0};
  double break_connection{0};
  double silent_call{0};
  double server_error{0};
  double intent_unavailable{0};
  int crashes{0};
  int freezes{0};
};

/// Simulates several routers with their targets and registrars in logical time, and records which
/// requests ran.
class router_cluster {
 public:
  struct submission {
    std::string key;
    class_id request_class;
    int vm{0};
    bool vm_crashed{false};
    bool caller_left{false};
    instant deadline{};
    std::vector<routing::answer_caller> answers;
    instant answered_at{};
  };

  router_cluster(int vms, cluster_faults faults, std::uint64_t seed)
      : faults_{faults}, random_{seed}, document_{small_document(5, 2)} {
    for (int i = 0; i < vms; ++i) {
      nodes_.push_back(std::make_unique<node>());
      start(i);
    }
    publish_members();
    for (int i = 0; i < faults.crashes; ++i) {
      at(milliseconds{3000 + random_.below(4000)}, [this] { crash(any_vm()); });
    }
    for (int i = 0; i < faults.freezes; ++i) {
      at(milliseconds{3000 + random_.below(4000)}, [this] { freeze(any_vm()); });
    }
  }

  void at(duration when, std::function<void()> action) {
    queue_.emplace(std::pair{instant{when}, next_event_++}, std::move(action));
  }
  void run_until(duration end) {
    while (!queue_.empty() && queue_.begin()->first.first <= instant{end}) {
      auto action = std::move(queue_.begin()->second);
      now_ = queue_.begin()->first.first;
      queue_.erase(queue_.begin());
      action();
    }
    now_ = instant{end};
  }

  /// Submits a request from a caller. The body contains the submission id, so that the answer of another
  /// request is detected.
  void submit(int vm, const std::string& request_class, const std::string& key, duration time_left) {
    if (nodes_[vm]->down || nodes_[vm]->frozen) {
      return;
    }
    const auto id = request_id{next_request_++};
    submissions_[id] = {
        .key = key, .request_class = class_id{request_class}, .vm = vm, .deadline = now_ + time_left};
    deliver(vm, routing::request_arrived{
                    .id = id,
                    .content = {.service = service_id{"lendbook"},
                                .request_class = class_id{request_class},
                                .team = team_id{"team" + std::to_string(random_.below(2))},
                                .deadline = now_ + time_left,
                                .body = std::make_shared<std::string>(std::to_string(id.value()))},
                    .key = idempotency_key{key}});
    if (random_.below(20) == 0) {
      at(now_.time_since_epoch() + milliseconds{random_.below(50)}, [this, id] {
        auto& entry = submissions_[id];
        if (entry.answers.empty() && !entry.vm_crashed) {
          entry.caller_left = true;
          deliver(entry.vm, routing::caller_gone{id});
        }
      });
    }
  }

  /// Describes the first guarantee that was violated; empty if there is none.
  [[nodiscard]] std::string first_violation() const {
    if (!violation_.empty()) {
      return violation_;
    }
    std::map<std::string, int> runs_of_key;
    for (const auto& [submission_id, started] : runs_) {
      const auto& entry = submissions_.at(submission_id);
      if (entry.request_class == class_id{"hold"}) {
        runs_of_key[entry.key] += static_cast<int>(started.size());
      }
    }
    for (const auto& [key, runs] : runs_of_key) {
      if (runs > 1) {
        return "non-idempotent key " + key + " ran " + std::to_string(runs) + " times";
      }
    }
    for (const auto& [id, entry] : submissions_) {
      if (auto broken = answer_violation(id, entry); !broken.empty()) {
        return "submission " + std::to_string(id.value()) + ": " + broken;
      }
    }
    return {};
  }

  [[nodiscard]] std::size_t answers_with(verdict wanted) const {
    return static_cast<std::size_t>(
        std::count_if(submissions_.begin(), submissions_.end(), [&](const auto& entry) {
          return !entry.second.answers.empty() && entry.second.answers[0].result.result == wanted;
        }));
  }
  [[nodiscard]] std::size_t in_progress() const {
    std::size_t total = 0;
    for (const auto& each : nodes_) {
      total += each->down ? 0 : each->router->requests_in_progress() + each->router->calls_in_progress();
    }
    return total;
  }
  random_source& random() { return random_; }
  int any_vm() { return static_cast<int>(random_.below(nodes_.size())); }
  [[nodiscard]] int vm_count() const { return static_cast<int>(nodes_.size()); }

 private:
  struct open_call {
    worker_id target;
    request_id submission;
    bool done{false};
  };
  struct node {
    std::unique_ptr<request_router> router;
    incarnation vm_incarnation;
    bool down{true};
    bool frozen{false};
    bool listed{true};
    std::deque<request_router_event> deferred_events;  ///< Arrived while the VM was frozen.
    std::map<routing::target_call_id, open_call> calls;
    std::map<worker_id, int> slots_used;
    std::optional<instant> tick_at;
  };
  struct stored_intent {
    routing::intent_ref owner;
    std::optional<routing::finish_intent> finished;
    std::vector<std::pair<int, request_id>> waiting;
  };

  void start(int vm) {
    auto& each = *nodes_[vm];
    each.vm_incarnation = each.vm_incarnation.next();
    each.tick_at.reset();
    each.router = std::make_unique<request_router>(
        request_router::options{.self = vm_id{"vm" + std::to_string(vm)},
                                .self_incarnation = each.vm_incarnation,
                                .failure_domain = failure_domain_id{"f" + std::to_string(vm % 2)},
                                .late_answer_grace = milliseconds{500}},
        random_);
    each.down = false;
    deliver(vm, routing::document_changed{document_});
  }

  void publish_members() {
    std::vector<routing::member> members;
    for (int i = 0; i < vm_count(); ++i) {
      if (nodes_[i]->listed) {
        members.push_back({vm_id{"vm" + std::to_string(i)}, nodes_[i]->vm_incarnation,
                           failure_domain_id{"f" + std::to_string(i % 2)}});
      }
    }
    for (int i = 0; i < vm_count(); ++i) {
      at(now_.time_since_epoch() + milliseconds{random_.below(100)},
         [this, i, members] { deliver(i, routing::members_changed{members}); });
    }
  }

  void crash(int vm) {
    auto& each = *nodes_[vm];
    if (each.down || each.frozen) {
      return;
    }
    each.down = true;
    each.deferred_events.clear();
    each.calls.clear();
    each.slots_used.clear();
    for (auto& [id, entry] : submissions_) {
      entry.vm_crashed = entry.vm_crashed || (entry.vm == vm && entry.answers.empty());
    }
    for (auto& [key, intent] : intents_) {
      if (intent.owner.dispatcher == vm_id{"vm" + std::to_string(vm)} && !intent.finished) {
        record_finish({.intent = intent.owner, .result = {verdict::may_have_run, "dispatcher lost", {}}});
      }
    }
    after(milliseconds{1500}, [this, vm, vm_incarnation = each.vm_incarnation] {
      if (nodes_[vm]->vm_incarnation == vm_incarnation) {
        nodes_[vm]->listed = false;
        publish_members();
      }
    });
    after(milliseconds{50 + random_.below(4000)}, [this, vm] {
      nodes_[vm]->listed = true;
      start(vm);
      publish_members();
    });
  }

  void freeze(int vm) {
    auto& each = *nodes_[vm];
    if (each.down || each.frozen) {
      return;
    }
    each.frozen = true;
    after(milliseconds{1500}, [this, vm] {
      nodes_[vm]->listed = false;
      publish_members();
    });
    after(milliseconds{2000 + random_.below(3000)}, [this, vm] {
      auto& resumed = *nodes_[vm];
      resumed.frozen = false;
      auto deferred_events = std::move(resumed.deferred_events);
      resumed.deferred_events.clear();
      for (const auto& event : deferred_events) {
        deliver(vm, event);
      }
      after(milliseconds{200}, [this, vm] {
        nodes_[vm]->listed = true;
        publish_members();
      });
    });
  }

  void after(duration delay, std::function<void()> action) {
    at(now_.time_since_epoch() + delay, std::move(action));
  }

  void deliver(int vm, const request_router_event& event) {
    auto& each = *nodes_[vm];
    if (each.down) {
      return;
    }
    if (each.frozen) {
      each.deferred_events.push_back(event);
      return;
    }
    const auto before = each.router->load();
    std::vector<request_router_action> actions;
    each.router->handle(event, now_, actions);
    check_class_order(before, each.router->load(), actions, event);
    for (const auto& action : actions) {
      std::visit([&](const auto& typed) { perform(vm, typed); }, action);
    }
    schedule_tick(vm);
  }

  /// Checks that no request is sent while one of a more urgent class is queued at the same VM both before
  /// and after the event.
  void check_class_order(const routing::load_report& before, const routing::load_report& after,
                         const std::vector<request_router_action>& actions,
                         const request_router_event& event) {
    const auto first_rank = [](const routing::load_report& report) {
      return report.services.empty() || report.services[0].queues.empty()
                 ? 1000
                 : report.services[0].queues.front().rank;
    };
    const int waiting = std::max(first_rank(before), first_rank(after));
    // Hedges and trial calls to set-aside targets are exempt from the class order.
    const bool may_overtake = std::holds_alternative<routing::tick>(event) ||
                              (!before.services.empty() && before.services[0].set_aside > 0);
    for (const auto& action : actions) {
      const auto* sent = std::get_if<routing::send_request>(&action);
      if (sent == nullptr || may_overtake) {
        continue;
      }
      const auto& classes = document_->services[0].classes;
      const auto sent_class = std::find_if(classes.begin(), classes.end(), [&](const auto& each) {
        return each.id == sent->content.request_class;
      });
      if (sent_class->rank > waiting) {
        violation_ = "a request was sent before a queued one of a more urgent class";
      }
    }
  }

  void schedule_tick(int vm) {
    auto& each = *nodes_[vm];
    const auto due = each.router->next_deadline();
    if (!due || (each.tick_at && *each.tick_at <= *due && *each.tick_at > now_)) {
      return;
    }
    each.tick_at = std::max(*due, now_ + microseconds{1});
    at(each.tick_at->time_since_epoch(), [this, vm, vm_incarnation = each.vm_incarnation] {
      if (nodes_[vm]->vm_incarnation == vm_incarnation && !nodes_[vm]->frozen) {
        nodes_[vm]->tick_at.reset();
        deliver(vm, routing::tick{});
      } else if (nodes_[vm]->vm_incarnation == vm_incarnation) {
        nodes_[vm]->deferred_events.emplace_back(routing::tick{});
      }
    });
  }

  bool chance(double share) { return share > 0 && random_.fraction() < share; }

  void transmit(const vm_id& to, const request_router_event& event) {
    const int vm = std::stoi(to.value().substr(2));
    const int copies = chance(faults_.lose_message) ? 0 : (chance(faults_.repeat_message) ? 2 : 1);
    for (int i = 0; i < copies; ++i) {
      // Delays that differ widely reorder messages and let a copy arrive long after the original.
      const auto delay =
          i == 0 ? 300 + random_.below(1000) : random_.below(random_.below(2) == 0 ? 200'000 : 5'000'000);
      after(microseconds{delay}, [this, vm, event] { deliver(vm, event); });
    }
  }
  void perform(int vm, const routing::forward_request& action) {
    transmit(action.to, routing::forward_arrived{vm_id{"vm" + std::to_string(vm)}, nodes_[vm]->vm_incarnation,
                                                 action.to_incarnation, action.id, action.content,
                                                 action.intent, action.avoid, action.pulled});
  }
  void perform(int vm, const routing::answer_peer& action) {
    transmit(action.to,
             routing::forward_answered{vm_id{"vm" + std::to_string(vm)}, nodes_[vm]->vm_incarnation,
                                       action.to_incarnation, action.id, action.result, action.status,
                                       action.body, action.target, action.reason, action.load});
  }
  void perform(int vm, const routing::pull_from_peer& action) {
    transmit(action.to,
             routing::pull_arrived{vm_id{"vm" + std::to_string(vm)}, nodes_[vm]->vm_incarnation,
                                   action.service, action.count, action.max_rank, action.short_teams_only});
  }
  void perform(int vm, const routing::advertise_load& action) {
    for (int i = 0; i < vm_count(); ++i) {
      const vm_id to{"vm" + std::to_string(i)};
      if (i != vm && (!action.to || *action.to == to)) {
        transmit(to, routing::peer_load{vm_id{"vm" + std::to_string(vm)}, nodes_[vm]->vm_incarnation,
                                        action.load});
      }
    }
  }
  void perform(int /*vm*/, const routing::drained& /*action*/) {}
  void perform(int vm, const routing::probe_target& action) {
    after(milliseconds{1}, [this, vm, action] { deliver(vm, routing::probe_answered{action.target, true}); });
  }

  void perform(int /*vm*/, const routing::answer_caller& action) {
    auto& entry = submissions_.at(action.id);
    entry.answers.push_back(action);
    entry.answered_at = now_;
  }

  // One registrar stands in for both; their agreement is tested with `intent_registry`.
  void perform(int vm, const routing::record_intent& action) {
    after(milliseconds{1}, [this, vm, action] {
      const auto id = action.intent.request;
      const auto send_result = [&](routing::intent_settled settled) { deliver(vm, std::move(settled)); };
      if (nodes_[vm]->vm_incarnation != action.intent.dispatcher_incarnation || withdrawn_.contains(id)) {
        return;
      }
      if (chance(faults_.intent_unavailable)) {
        const auto known = intents_.contains(action.intent.key.value());
        send_result({.id = id,
                     .settled = routing::intent_result::unavailable,
                     .result = {known ? verdict::may_have_run : verdict::not_run, "no registrar", {}}});
        return;
      }
      const auto [held, added] =
          intents_.try_emplace(action.intent.key.value(), stored_intent{.owner = action.intent});
      if (added) {
        send_result({.id = id, .settled = routing::intent_result::recorded});
      } else if (held->second.finished) {
        const auto& kept = *held->second.finished;
        send_result({id, routing::intent_result::duplicate, kept.result, kept.status, kept.body});
      } else {
        held->second.waiting.emplace_back(vm, id);
        send_result({.id = id, .settled = routing::intent_result::in_progress});
      }
    });
  }
  void perform(int /*vm*/, const routing::withdraw_intent& action) {
    withdrawn_.insert(action.intent.request);
    const auto found = intents_.find(action.intent.key.value());
    if (found != intents_.end() && found->second.owner == action.intent) {
      const auto waiting = found->second.waiting;
      intents_.erase(found);
      for (const auto& [vm, id] : waiting) {
        deliver(vm, routing::intent_settled{.id = id,
                                            .settled = routing::intent_result::duplicate,
                                            .result = {verdict::not_run, "withdrawn", {}}});
      }
    }
  }
  void perform(int /*vm*/, const routing::finish_intent& action) { record_finish(action); }
  void record_finish(const routing::finish_intent& action) {
    const auto found = intents_.find(action.intent.key.value());
    if (found == intents_.end() || found->second.owner != action.intent) {
      return;
    }
    found->second.finished = action;
    const auto waiting = std::move(found->second.waiting);
    found->second.waiting.clear();
    for (const auto& [vm, id] : waiting) {
      deliver(vm, routing::intent_settled{id, routing::intent_result::duplicate, action.result, action.status,
                                          action.body});
    }
  }

  void perform(int vm, const routing::send_request& action) {
    auto& each = *nodes_[vm];
    const request_id submitted{std::stoull(*action.content.body)};
    if (++each.slots_used[action.target] > document_->services[0].slots_per_target) {
      violation_ = "a VM exceeded the slot limit of a target";
    }
    if (action.content.deadline <= now_) {
      violation_ = "a request was sent after its deadline";
    }
    each.calls[action.call] = {action.target, submitted};
    const auto vm_incarnation = each.vm_incarnation;
    const auto call = action.call;
    if (chance(faults_.refuse_connection)) {
      after(microseconds{300}, [=, this] {
        end_call(vm, vm_incarnation, call, routing::target_call_failed{call, false});
      });
      return;
    }
    after(microseconds{random_.below(600)}, [=, this] { deliver_to_target(vm, vm_incarnation, call); });
  }

  void deliver_to_target(int vm, incarnation vm_incarnation, routing::target_call_id call) {
    const auto found = nodes_[vm]->calls.find(call);
    if (nodes_[vm]->vm_incarnation != vm_incarnation || found == nodes_[vm]->calls.end()) {
      return;
    }
    auto& busy = target_busy_[found->second.target];
    if (busy >= document_->services[0].slots_per_target) {
      end_call(vm, vm_incarnation, call, routing::target_refused{call, false});
      return;
    }
    ++busy;
    const auto target = found->second.target;
    const auto submitted = found->second.submission;
    runs_[submitted].push_back(now_);
    const bool silent = chance(faults_.silent_call);
    const bool broken = !silent && chance(faults_.break_connection);
    const int status = chance(faults_.server_error) ? 500 : 200;
    after(milliseconds{5 + random_.below(40)}, [=, this] {
      --target_busy_[target];
      if (broken) {
        end_call(vm, vm_incarnation, call, routing::target_call_failed{call, true});
      } else if (!silent) {
        auto body = std::make_shared<std::string>(std::to_string(submitted.value()));
        end_call(vm, vm_incarnation, call, routing::target_answered{call, status, std::move(body), false});
      }
    });
  }

  void end_call(int vm, incarnation vm_incarnation, routing::target_call_id call,
                const request_router_event& event) {
    auto& each = *nodes_[vm];
    const auto found = each.calls.find(call);
    if (each.vm_incarnation != vm_incarnation || each.down || found == each.calls.end()) {
      return;
    }
    --each.slots_used[found->second.target];
    each.calls.erase(found);
    deliver(vm, event);
  }
  void perform(int vm, const routing::cancel_call& action) {
    after(microseconds{50}, [this, vm, call = action.call, vm_incarnation = nodes_[vm]->vm_incarnation] {
      end_call(vm, vm_incarnation, call, routing::target_call_failed{call, true});
    });
  }

  [[nodiscard]] std::string answer_violation(request_id id, const submission& entry) const {
    if (entry.answers.empty()) {
      return entry.vm_crashed || entry.caller_left ? "" : "no answer";
    }
    if (entry.answers.size() > 1) {
      return "more than one answer";
    }
    const auto& answer = entry.answers.front();
    // A frozen VM answers only after it resumes, possibly after the deadline.
    if (faults_.freezes == 0 && entry.answered_at > entry.deadline + milliseconds{1}) {
      return "answered after its deadline";
    }
    if (answer.result.result == verdict::ran) {
      const auto& origin = submissions_.at(request_id{std::stoull(*answer.body)});
      return origin.key == entry.key ? "" : "received the answer of another request";
    }
    if (answer.result.result == verdict::may_have_run) {
      return "";
    }
    for (const auto& [other, started] : runs_) {
      const bool own = other == id;
      const bool same_key = entry.request_class == class_id{"hold"} &&
                            submissions_.at(other).key == entry.key && started.front() <= entry.answered_at;
      if (own || same_key) {
        return "answered with not_run, but ran";
      }
    }
    return "";
  }

  cluster_faults faults_;
  random_source random_;
  std::shared_ptr<environment_document> document_;
  std::vector<std::unique_ptr<node>> nodes_;
  std::map<std::pair<instant, std::uint64_t>, std::function<void()>> queue_;
  instant now_{};
  std::uint64_t next_event_{1};
  std::uint64_t next_request_{1};
  std::map<request_id, submission> submissions_;
  std::map<request_id, std::vector<instant>> runs_;
  std::map<std::string, stored_intent> intents_;
  std::set<request_id> withdrawn_;
  std::map<worker_id, int> target_busy_;
  std::string violation_;
};

}  // namespace rhubarbpath::testing

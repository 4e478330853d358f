#include "coordination/simulated_cluster.hpp"

#include <algorithm>

namespace rhubarbpath::test {

namespace {

const std::string view_key = "/env/test/view";
const std::string document_key = "/env/test/document";

std::optional<versioned_document> decode_row(const store_row& row) {
  return versioned_document{
      .version = document_version{row.at.value()}, .digest = "digest of " + row.value, .bytes = row.value};
}

bool verify(const versioned_document& document) {
  return document.digest == "digest of " + document.bytes;
}

}  // namespace

simulated_cluster::simulated_cluster(std::size_t count, std::uint64_t seed) : random_{seed} {
  groups_.assign(count, 0);
  isolated_from_store.assign(count, false);
  for (std::size_t index = 0; index < count; ++index) {
    nodes_.push_back(std::make_unique<node>(seed * 1000 + index));
    const vm_id vm{"vm" + std::to_string(index)};
    nodes_.back()->info = {.id = {.vm = vm, .incarnation = {}},
                           .failure_domain = failure_domain_id{"domain" + std::to_string(index % 3)},
                           .address = "127.0.0.1:" + std::to_string(9000 + index)};
    index_[vm] = index;
  }
}

void simulated_cluster::start(std::size_t index) {
  auto& current_node = *nodes_[index];
  current_node.info.id.incarnation = incarnation{next_incarnation_++};
  current_node.up = true;
  current_node.draining = false;
  current_node.frozen_until = {};
  current_node.deferred_events.clear();
  current_node.live.clear();
  current_node.members.emplace(membership::options{.self = current_node.info}, current_node.random);
  current_node.views.emplace(view_keeper::options{.self = current_node.info.id, .key = view_key},
                             current_node.random);
  current_node.config.emplace(
      config_distributor::options{
          .self = current_node.info.id, .key = document_key, .decode_row = decode_row, .verify = verify},
      current_node.random);
  current_node.intents.emplace(intent_registry::options{.self = current_node.info});
  vm_list_changed list;
  for (const auto& other : nodes_) {
    list.vms.push_back({.vm = other->info.id.vm, .address = other->info.address});
  }
  handle_event(index, membership_event{list});
  handle_event(index, intent_registry_event{list});
}

void simulated_cluster::freeze(std::size_t index, duration length) {
  if (!running(index)) {
    return;
  }
  nodes_[index]->frozen_until = now_ + length;
  const auto process = nodes_[index]->info.id.incarnation;
  run_after(length, [this, index, process] {
    auto& current_node = *nodes_[index];
    if (!current_node.up || current_node.info.id.incarnation != process) {
      return;
    }
    // Messages from the socket buffers are handled before any timer.
    auto waiting = std::move(current_node.deferred_events);
    current_node.deferred_events.clear();
    for (const auto& action : waiting) {
      action();
    }
  });
}

void simulated_cluster::drain(std::size_t index) {
  nodes_[index]->draining = true;
  update_status(index);
}

void simulated_cluster::promote() {
  rows_[document_key].push_back({.key = document_key,
                                 .value = "document " + std::to_string(next_revision_),
                                 .at = revision{next_revision_},
                                 .written_by = {}});
  ++next_revision_;
  answer_watches();
}

void simulated_cluster::request(std::size_t index, idempotency_key key, bool first_attempt,
                                duration deadline) {
  if (!running(index)) {
    return;
  }
  const request_id id{next_request_++};
  requests[id] = {.key = key,
                  .node_index = index,
                  .process = nodes_[index]->info.id.incarnation,
                  .arrived = now_,
                  .deadline = now_ + deadline,
                  .answered = {}};
  handle_event(
      index,
      intent_registry_event{intent_requested{
          .id = id, .key = std::move(key), .first_attempt = first_attempt, .deadline = now_ + deadline}});
}

void simulated_cluster::heal() {
  std::fill(groups_.begin(), groups_.end(), 0);
  std::fill(isolated_from_store.begin(), isolated_from_store.end(), false);
  loss = duplication = lost_answers = stale_reads = silent_watches = 0;
  max_delay = milliseconds(2);
  store_down = false;
}

void simulated_cluster::run_for(duration length) {
  const auto end = now_ + length;
  while (true) {
    std::optional<instant> next;
    std::optional<std::size_t> due;
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
      if (!running(index)) {
        continue;
      }
      auto& current_node = *nodes_[index];
      if (!current_node.deadline) {
        current_node.deadline = instant::max();
        for (const auto deadline :
             {current_node.members->next_deadline(), current_node.views->next_deadline(),
              current_node.config->next_deadline(), current_node.intents->next_deadline()}) {
          current_node.deadline = std::min(*current_node.deadline, deadline.value_or(instant::max()));
        }
      }
      if (!next || *current_node.deadline < *next) {
        next = current_node.deadline;
        due = index;
      }
    }
    const bool message_first = !queue_.empty() && (!next || queue_.begin()->first <= *next);
    const auto when = message_first ? queue_.begin()->first : next.value_or(end);
    if (when >= end) {
      break;
    }
    now_ = std::max(now_, when);
    if (message_first) {
      const auto action = std::move(queue_.begin()->second);
      queue_.erase(queue_.begin());
      action();
    } else {
      now_ += duration{50};  // Timers are never exact. The delay also limits the number of steps.
      handle_event(*due, membership_event{membership_tick{}});
      handle_event(*due, view_keeper_event{view_keeper_tick{}});
      handle_event(*due, config_distributor_event{config_distributor_tick{}});
      handle_event(*due, intent_registry_event{intent_registry_tick{}});
    }
  }
  now_ = end;
}

template <class Event>
void simulated_cluster::handle_event(std::size_t index, const Event& event) {
  auto& current_node = *nodes_[index];
  current_node.deadline.reset();
  if constexpr (std::is_same_v<Event, membership_event>) {
    std::vector<membership_action> actions;
    current_node.members->handle(event, now_, actions);
    execute_all(index, actions);
  } else if constexpr (std::is_same_v<Event, view_keeper_event>) {
    std::vector<view_keeper_action> actions;
    current_node.views->handle(event, now_, actions);
    for (const auto& action : actions) {
      if (const auto* const call = std::get_if<store_row_call>(&action)) {
        call_store(index, true, *call);
      } else {
        execute(index, std::get<view_adopted>(action));
      }
    }
  } else if constexpr (std::is_same_v<Event, config_distributor_event>) {
    std::vector<config_distributor_action> actions;
    current_node.config->handle(event, now_, actions);
    for (const auto& action : actions) {
      std::visit(
          [&](const auto& value) {
            if constexpr (std::is_same_v<std::decay_t<decltype(value)>, store_row_call>) {
              call_store(index, false, value);
            } else {
              execute(index, value);
            }
          },
          action);
    }
  } else {
    std::vector<intent_registry_action> actions;
    current_node.intents->handle(event, now_, actions);
    execute_all(index, actions);
  }
}

template <class Action>
void simulated_cluster::execute_all(std::size_t index, const std::vector<Action>& actions) {
  for (const auto& action : actions) {
    std::visit([&](const auto& value) { execute(index, value); }, action);
  }
}

void simulated_cluster::execute(std::size_t index, const send_heartbeat& action) {
  send(index, action.to, {}, action.content);
}

void simulated_cluster::execute(std::size_t index, const live_list_changed& action) {
  nodes_[index]->live = action.members;
  handle_event(index, view_keeper_event{action});
  handle_event(index, intent_registry_event{action});
}

void simulated_cluster::execute(std::size_t index, const staleness_changed& action) {
  handle_event(index, view_keeper_event{action});
  handle_event(index, config_distributor_event{action});
}

void simulated_cluster::execute(std::size_t index, const superseded&) {
  nodes_[index]->up = false;
}

void simulated_cluster::execute(std::size_t index, const view_adopted& action) {
  const auto& adopted = action.adopted;
  const auto [seen, added] = views_seen_.emplace(adopted.number, adopted.members);
  if (!added && seen->second != adopted.members) {
    violations.push_back("two different views have the number " + std::to_string(adopted.number.value()));
  }
  auto& number = view_numbers_[nodes_[index]->info.id];
  if (adopted.number <= number) {
    violations.push_back("the view number decreased");
  }
  number = adopted.number;
  handle_event(index, intent_registry_event{action});
  handle_event(index, config_distributor_event{action});
  update_status(index);
}

void simulated_cluster::execute(std::size_t index, const send_fetch& action) {
  send(index, action.to, {}, action.content);
}

void simulated_cluster::execute(std::size_t index, const send_document& action) {
  send(index, action.to, {}, action.content);
}

void simulated_cluster::execute(std::size_t index, const document_adopted& action) {
  auto& version = versions_[nodes_[index]->info.id];
  if (action.document.version <= version) {
    violations.push_back("the document version decreased");
  }
  version = action.document.version;
  update_status(index);
}

void simulated_cluster::execute(std::size_t, const document_conflict&) {
  violations.push_back("two documents have the same version");
}

void simulated_cluster::execute(std::size_t index, const send_intent_message& action) {
  send(index, action.to.id.vm, action.to.id.incarnation, action.message);
}

void simulated_cluster::execute(std::size_t index, const dispatch_permitted& action) {
  const auto process = nodes_[index]->info.id.incarnation;
  peer::kept_answer answer{.result = {.result = verdict::ran, .reason = {}, .retry_after = {}},
                           .status = 200,
                           .body = action.key.value(),
                           .body_dropped = false};
  const auto kind = random_.below(10);
  if (kind == 0) {
    answer.result.result = verdict::not_run;  // The request is dropped before its first byte is sent.
  } else {
    ++dispatch_counts[action.key];
    dispatched_at.emplace(action.key, now_);
    if (dispatch_counts[action.key] > 1) {
      violations.push_back("the key " + action.key.value() + " was dispatched twice");
    }
    answer.result.result = kind == 1 ? verdict::may_have_run : verdict::ran;
  }
  const auto id = action.id;
  run_after(duration{1 + static_cast<std::int64_t>(random_.below(max_dispatch_time.count()))}, [=, this] {
    run_on_process(index, process, [=, this] {
      requests.at(id).answered = answer.result.result;
      handle_event(index, intent_registry_event{dispatch_ended{.id = id, .answer = answer}});
    });
  });
}

void simulated_cluster::execute(std::size_t, const intent_answered& action) {
  auto& answered_request = requests.at(action.id);
  const auto result = action.answer.result.result;
  if (answered_request.answered) {
    violations.push_back("a request was answered twice");
  }
  answered_request.answered = result;
  ++verdicts[result];
  const auto first_dispatch = dispatched_at.find(answered_request.key);
  if (result == verdict::not_run && first_dispatch != dispatched_at.end()) {
    if (first_dispatch->second <= answered_request.arrived) {
      violations.push_back("not_run for the key " + answered_request.key.value() +
                           ", which had been dispatched");
    }
    ++late_not_run;
  }
  if (result == verdict::ran &&
      (first_dispatch == dispatched_at.end() || action.answer.body != answered_request.key.value())) {
    violations.push_back("ran with the answer of another key for the key " + answered_request.key.value());
  }
}

void simulated_cluster::call_store(std::size_t index, bool for_view, const store_row_call& action) {
  ++store_calls;
  const auto process = nodes_[index]->info.id.incarnation;
  const auto delay = milliseconds(1 + static_cast<std::int64_t>(random_.below(4)));
  run_after(delay, [=, this] {
    if (store_down || isolated_from_store[index]) {
      answer_store(index, process, for_view, action.call, store_failure::unavailable);
      return;
    }
    if (const auto* const watch = std::get_if<store_watch>(&action.request)) {
      watches_.push_back({.node = index,
                          .process = process,
                          .call = action.call,
                          .watch = *watch,
                          .until = now_ + watch->wait,
                          .silent = chance(silent_watches)});
      answer_watches();
      run_after(watch->wait + duration{1}, [this] { answer_watches(); });
      return;
    }
    auto response = apply(action.request);
    if (chance(lost_answers)) {
      response = store_failure::unknown;
    }
    answer_store(index, process, for_view, action.call, response);
  });
}

store_response simulated_cluster::apply(const store_request& request) {
  if (const auto* const put = std::get_if<store_put>(&request)) {
    auto& history = rows_[put->key];
    const auto at = history.empty() ? revision{} : history.back().at;
    if (at != put->expected) {
      return store_failure::conflict;
    }
    history.push_back(
        {.key = put->key, .value = put->value, .at = revision{next_revision_++}, .written_by = put->id});
    return store_written{.at = history.back().at};
  }
  const auto& history = rows_[std::get<store_get>(request).key];
  if (history.empty()) {
    return store_rows{};
  }
  const auto back = chance(stale_reads) ? random_.below(std::min<std::size_t>(history.size(), 4)) : 0;
  return store_rows{.rows = {history[history.size() - 1 - back]}, .more = false};
}

void simulated_cluster::answer_watches() {
  auto open = std::move(watches_);
  watches_.clear();
  for (auto& open_watch : open) {
    const auto& history = rows_[open_watch.watch.key];
    const bool changed = !history.empty() && history.back().at > open_watch.watch.after;
    if (!changed && now_ < open_watch.until) {
      watches_.push_back(std::move(open_watch));
    } else if (!open_watch.silent) {
      store_response response = store_unchanged{};
      if (changed) {
        response = store_rows{.rows = {history.back()}, .more = false};
      }
      run_after(milliseconds(1), [this, open_watch, response] {
        if (!store_down && !isolated_from_store[open_watch.node]) {
          answer_store(open_watch.node, open_watch.process, false, open_watch.call, response);
        }
      });
    }
  }
}

void simulated_cluster::answer_store(std::size_t index, incarnation process, bool for_view, call_id call,
                                     store_response response) {
  run_after(milliseconds(1), [=, this] {
    run_on_process(index, process, [=, this] {
      const store_row_answered answered{.call = call, .response = response};
      if (for_view) {
        handle_event(index, view_keeper_event{answered});
      } else {
        handle_event(index, config_distributor_event{answered});
      }
    });
  });
}

void simulated_cluster::send(std::size_t from, const vm_id& to, std::optional<incarnation> process,
                             wire_message message) {
  ++messages;
  const auto target = index_of(to);
  const int copies = 1 + (chance(duplication) ? 1 : 0);
  for (int copy = 0; copy < copies; ++copy) {
    if (groups_[from] != groups_[target] || chance(loss)) {
      continue;
    }
    const duration delay{200 + static_cast<std::int64_t>(random_.below(max_delay.count()))};
    run_after(delay, [this, target, process, sender = nodes_[from]->info.id, message] {
      const auto receiver = process.value_or(nodes_[target]->info.id.incarnation);
      run_on_process(target, receiver, [this, target, sender, message] { deliver(target, sender, message); });
    });
  }
}

void simulated_cluster::run_on_process(std::size_t index, incarnation process,
                                       const std::function<void()>& action) {
  auto& current_node = *nodes_[index];
  if (!current_node.up || current_node.info.id.incarnation != process) {
    return;
  }
  if (current_node.frozen_until > now_) {
    current_node.deferred_events.push_back(action);
    return;
  }
  action();
}

void simulated_cluster::deliver(std::size_t to, const member_id& from, const wire_message& message) {
  if (const auto* const heartbeat = std::get_if<peer::heartbeat>(&message)) {
    handle_event(to, membership_event{heartbeat_received{.from = from.vm, .content = *heartbeat}});
    handle_event(to, view_keeper_event{view_number_received{.number = heartbeat->view}});
    handle_event(to,
                 config_distributor_event{document_announced{.from = from.vm, .stamp = heartbeat->document}});
  } else if (const auto* const intent = std::get_if<intent_message>(&message)) {
    handle_event(to, intent_registry_event{intent_message_received{.from = from, .message = *intent}});
  } else if (const auto* const fetch = std::get_if<peer::fetch_document>(&message)) {
    handle_event(to, config_distributor_event{fetch_received{.from = from.vm, .content = *fetch}});
  } else {
    handle_event(to, config_distributor_event{
                         document_received{.from = from.vm, .content = std::get<peer::document>(message)}});
  }
}

void simulated_cluster::update_status(std::size_t index) {
  auto& current_node = *nodes_[index];
  handle_event(index, membership_event{local_status{.view = current_node.views->current().number,
                                                    .document = current_node.config->stamp(),
                                                    .draining = current_node.draining,
                                                    .loads = {}}});
}

std::set<vm_id> simulated_cluster::expected_live() const {
  std::set<vm_id> result;
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    if (running(index)) {
      result.insert(nodes_[index]->info.id.vm);
    }
  }
  return result;
}

std::set<vm_id> simulated_cluster::live_vms(const node& current_node) {
  std::set<vm_id> result;
  for (const auto& member : current_node.live) {
    result.insert(member.info.id.vm);
  }
  return result;
}

bool simulated_cluster::live_lists_agree() const {
  const auto expected = expected_live();
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    if (running(index) && live_vms(*nodes_[index]) != expected) {
      return false;
    }
  }
  return true;
}

bool simulated_cluster::views_agree() const {
  std::vector<member_info> expected;
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    if (running(index) && !nodes_[index]->draining) {
      expected.push_back(nodes_[index]->info);
    }
  }
  std::sort(expected.begin(), expected.end(),
            [](const auto& lhs, const auto& rhs) { return lhs.id < rhs.id; });
  if (expected.empty()) {
    return true;  // If every VM drains, no new view follows and the last one stays.
  }
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    if (running(index) && nodes_[index]->views->current().members != expected) {
      return false;
    }
  }
  return true;
}

bool simulated_cluster::documents_are_newest() const {
  const auto row = rows_.find(document_key);
  const auto newest = row == rows_.end() ? 0 : row->second.back().at.value();
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    if (running(index) && nodes_[index]->config->current().version.value() != newest) {
      return false;
    }
  }
  return true;
}

bool simulated_cluster::ranges_are_ready() const {
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    if (running(index) && nodes_[index]->intents->ready_ranges() != nodes_[index]->intents->owned_ranges()) {
      return false;
    }
  }
  return true;
}

}  // namespace rhubarbpath::test

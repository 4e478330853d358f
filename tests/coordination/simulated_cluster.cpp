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
  cut_from_store.assign(count, false);
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
  auto& one = *nodes_[index];
  one.info.id.incarnation = incarnation{next_incarnation_++};
  one.up = true;
  one.draining = false;
  one.frozen_until = {};
  one.held_back.clear();
  one.live.clear();
  one.members.emplace(membership::options{.self = one.info}, one.random);
  one.views.emplace(view_keeper::options{.self = one.info.id, .key = view_key}, one.random);
  one.config.emplace(
      config_distributor::options{
          .self = one.info.id, .key = document_key, .decode_row = decode_row, .verify = verify},
      one.random);
  one.intents.emplace(intent_registry::options{.self = one.info});
  vm_list_changed list;
  for (const auto& other : nodes_) {
    list.vms.push_back({.vm = other->info.id.vm, .address = other->info.address});
  }
  feed(index, membership_event{list});
  feed(index, intent_registry_event{list});
}

void simulated_cluster::freeze(std::size_t index, duration length) {
  if (!running(index)) {
    return;
  }
  nodes_[index]->frozen_until = now_ + length;
  const auto process = nodes_[index]->info.id.incarnation;
  later(length, [this, index, process] {
    auto& one = *nodes_[index];
    if (!one.up || one.info.id.incarnation != process) {
      return;
    }
    // Messages that waited in the socket buffers come first, before any timer runs.
    auto waiting = std::move(one.held_back);
    one.held_back.clear();
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
  finish_watches();
}

void simulated_cluster::request(std::size_t index, idempotency_key key, bool first_attempt,
                                duration deadline) {
  if (!running(index)) {
    return;
  }
  const request_id id{next_request_++};
  requests[id] = {.key = key,
                  .at = index,
                  .process = nodes_[index]->info.id.incarnation,
                  .arrived = now_,
                  .deadline = now_ + deadline,
                  .answered = {}};
  feed(index,
       intent_registry_event{intent_requested{
           .id = id, .key = std::move(key), .first_attempt = first_attempt, .deadline = now_ + deadline}});
}

void simulated_cluster::heal() {
  std::fill(groups_.begin(), groups_.end(), 0);
  std::fill(cut_from_store.begin(), cut_from_store.end(), false);
  loss = duplication = lost_answers = stale_reads = silent_watches = 0;
  longest_delay = milliseconds(2);
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
      auto& one = *nodes_[index];
      if (!one.deadline) {
        one.deadline = instant::max();
        for (const auto deadline : {one.members->next_deadline(), one.views->next_deadline(),
                                    one.config->next_deadline(), one.intents->next_deadline()}) {
          one.deadline = std::min(*one.deadline, deadline.value_or(instant::max()));
        }
      }
      if (!next || *one.deadline < *next) {
        next = one.deadline;
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
      now_ += duration{50};  // A timer is never exact; this also bounds the number of steps.
      feed(*due, membership_event{membership_tick{}});
      feed(*due, view_keeper_event{view_keeper_tick{}});
      feed(*due, config_distributor_event{config_distributor_tick{}});
      feed(*due, intent_registry_event{intent_registry_tick{}});
    }
  }
  now_ = end;
}

template <class Event>
void simulated_cluster::feed(std::size_t index, const Event& event) {
  auto& one = *nodes_[index];
  one.deadline.reset();
  if constexpr (std::is_same_v<Event, membership_event>) {
    std::vector<membership_action> actions;
    one.members->handle(event, now_, actions);
    perform(index, actions);
  } else if constexpr (std::is_same_v<Event, view_keeper_event>) {
    std::vector<view_keeper_action> actions;
    one.views->handle(event, now_, actions);
    for (const auto& action : actions) {
      if (const auto* const call = std::get_if<row_call>(&action)) {
        call_store(index, true, *call);
      } else {
        act(index, std::get<view_adopted>(action));
      }
    }
  } else if constexpr (std::is_same_v<Event, config_distributor_event>) {
    std::vector<config_distributor_action> actions;
    one.config->handle(event, now_, actions);
    for (const auto& action : actions) {
      std::visit(
          [&](const auto& value) {
            if constexpr (std::is_same_v<std::decay_t<decltype(value)>, row_call>) {
              call_store(index, false, value);
            } else {
              act(index, value);
            }
          },
          action);
    }
  } else {
    std::vector<intent_registry_action> actions;
    one.intents->handle(event, now_, actions);
    perform(index, actions);
  }
}

template <class Action>
void simulated_cluster::perform(std::size_t index, const std::vector<Action>& actions) {
  for (const auto& action : actions) {
    std::visit([&](const auto& value) { act(index, value); }, action);
  }
}

void simulated_cluster::act(std::size_t index, const send_heartbeat& action) {
  send(index, action.to, {}, action.content);
}

void simulated_cluster::act(std::size_t index, const live_list_changed& action) {
  nodes_[index]->live = action.members;
  feed(index, view_keeper_event{action});
  feed(index, intent_registry_event{action});
}

void simulated_cluster::act(std::size_t index, const staleness_changed& action) {
  feed(index, view_keeper_event{action});
  feed(index, config_distributor_event{action});
}

void simulated_cluster::act(std::size_t index, const superseded&) {
  nodes_[index]->up = false;
}

void simulated_cluster::act(std::size_t index, const view_adopted& action) {
  const auto& adopted = action.adopted;
  const auto [seen, added] = views_seen_.emplace(adopted.number, adopted.members);
  if (!added && seen->second != adopted.members) {
    faults.push_back("two views have the number " + std::to_string(adopted.number.value()));
  }
  auto& number = view_numbers_[nodes_[index]->info.id];
  if (adopted.number <= number) {
    faults.push_back("the view number decreased");
  }
  number = adopted.number;
  feed(index, intent_registry_event{action});
  feed(index, config_distributor_event{action});
  update_status(index);
}

void simulated_cluster::act(std::size_t index, const send_fetch& action) {
  send(index, action.to, {}, action.content);
}

void simulated_cluster::act(std::size_t index, const send_document& action) {
  send(index, action.to, {}, action.content);
}

void simulated_cluster::act(std::size_t index, const document_adopted& action) {
  auto& version = versions_[nodes_[index]->info.id];
  if (action.document.version <= version) {
    faults.push_back("the document version decreased");
  }
  version = action.document.version;
  update_status(index);
}

void simulated_cluster::act(std::size_t, const document_conflict&) {
  faults.push_back("two documents have one version");
}

void simulated_cluster::act(std::size_t index, const send_intent_message& action) {
  send(index, action.to.id.vm, action.to.id.incarnation, action.message);
}

void simulated_cluster::act(std::size_t index, const dispatch_permitted& action) {
  const auto process = nodes_[index]->info.id.incarnation;
  peer::kept_answer answer{.result = {.result = verdict::ran, .reason = {}, .retry_after = {}},
                           .status = 200,
                           .body = action.key.value(),
                           .body_dropped = false};
  const auto kind = random_.below(10);
  if (kind == 0) {
    answer.result.result = verdict::not_run;  // The request is dropped before its first byte leaves.
  } else {
    ++left[action.key];
    left_at.emplace(action.key, now_);
    if (left[action.key] > 1) {
      faults.push_back("the key " + action.key.value() + " left twice");
    }
    answer.result.result = kind == 1 ? verdict::may_have_run : verdict::ran;
  }
  const auto id = action.id;
  later(duration{1 + static_cast<std::int64_t>(random_.below(longest_dispatch.count()))}, [=, this] {
    on_process(index, process, [=, this] {
      requests.at(id).answered = answer.result.result;
      feed(index, intent_registry_event{dispatch_ended{.id = id, .answer = answer}});
    });
  });
}

void simulated_cluster::act(std::size_t, const intent_answered& action) {
  auto& one = requests.at(action.id);
  const auto result = action.answer.result.result;
  if (one.answered) {
    faults.push_back("a request was answered twice");
  }
  one.answered = result;
  ++verdicts[result];
  const auto departure = left_at.find(one.key);
  if (result == verdict::not_run && departure != left_at.end()) {
    if (departure->second <= one.arrived) {
      faults.push_back("not_run for the key " + one.key.value() + ", which had left");
    }
    ++late_not_run;
  }
  if (result == verdict::ran && (departure == left_at.end() || action.answer.body != one.key.value())) {
    faults.push_back("ran with a foreign answer for the key " + one.key.value());
  }
}

void simulated_cluster::call_store(std::size_t index, bool for_view, const row_call& action) {
  ++store_calls;
  const auto process = nodes_[index]->info.id.incarnation;
  const auto delay = milliseconds(1 + static_cast<std::int64_t>(random_.below(4)));
  later(delay, [=, this] {
    if (store_down || cut_from_store[index]) {
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
      finish_watches();
      later(watch->wait + duration{1}, [this] { finish_watches(); });
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

void simulated_cluster::finish_watches() {
  auto open = std::move(watches_);
  watches_.clear();
  for (auto& one : open) {
    const auto& history = rows_[one.watch.key];
    const bool changed = !history.empty() && history.back().at > one.watch.after;
    if (!changed && now_ < one.until) {
      watches_.push_back(std::move(one));
    } else if (!one.silent) {
      store_response response = store_unchanged{};
      if (changed) {
        response = store_rows{.rows = {history.back()}, .more = false};
      }
      later(milliseconds(1), [this, one, response] {
        if (!store_down && !cut_from_store[one.node]) {
          answer_store(one.node, one.process, false, one.call, response);
        }
      });
    }
  }
}

void simulated_cluster::answer_store(std::size_t index, incarnation process, bool for_view, call_id call,
                                     store_response response) {
  later(milliseconds(1), [=, this] {
    on_process(index, process, [=, this] {
      const row_answered answered{.call = call, .response = response};
      if (for_view) {
        feed(index, view_keeper_event{answered});
      } else {
        feed(index, config_distributor_event{answered});
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
    const duration delay{200 + static_cast<std::int64_t>(random_.below(longest_delay.count()))};
    later(delay, [this, target, process, sender = nodes_[from]->info.id, message] {
      const auto receiver = process.value_or(nodes_[target]->info.id.incarnation);
      on_process(target, receiver, [this, target, sender, message] { deliver(target, sender, message); });
    });
  }
}

void simulated_cluster::on_process(std::size_t index, incarnation process,
                                   const std::function<void()>& action) {
  auto& one = *nodes_[index];
  if (!one.up || one.info.id.incarnation != process) {
    return;
  }
  if (one.frozen_until > now_) {
    one.held_back.push_back(action);
    return;
  }
  action();
}

void simulated_cluster::deliver(std::size_t to, const member_id& from, const wire_message& message) {
  if (const auto* const heartbeat = std::get_if<peer::heartbeat>(&message)) {
    feed(to, membership_event{heartbeat_received{.from = from.vm, .content = *heartbeat}});
    feed(to, view_keeper_event{view_heard{.number = heartbeat->view}});
    feed(to, config_distributor_event{document_heard{.from = from.vm, .stamp = heartbeat->document}});
  } else if (const auto* const intent = std::get_if<intent_message>(&message)) {
    feed(to, intent_registry_event{intent_message_received{.from = from, .message = *intent}});
  } else if (const auto* const fetch = std::get_if<peer::fetch_document>(&message)) {
    feed(to, config_distributor_event{fetch_received{.from = from.vm, .content = *fetch}});
  } else {
    feed(to, config_distributor_event{
                 document_received{.from = from.vm, .content = std::get<peer::document>(message)}});
  }
}

void simulated_cluster::update_status(std::size_t index) {
  auto& one = *nodes_[index];
  feed(index, membership_event{local_status{.view = one.views->current().number,
                                            .document = one.config->stamp(),
                                            .draining = one.draining,
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

std::set<vm_id> simulated_cluster::live_vms(const node& one) {
  std::set<vm_id> result;
  for (const auto& member : one.live) {
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
            [](const auto& one, const auto& other) { return one.id < other.id; });
  if (expected.empty()) {
    return true;  // Every VM drains: there is no successor view, and the last one stays.
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

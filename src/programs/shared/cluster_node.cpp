#include "cluster_node.hpp"

#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "rhubarbpath/protocol/digest.hpp"
#include "rhubarbpath/protocol/document_row.hpp"
#include "rhubarbpath/transport/log.hpp"

namespace rhubarbpath {

namespace {

/// Interval at which decisions that wait for a check of the document are made again.
constexpr duration waiting_interval = std::chrono::milliseconds{20};

/// The parts retry by themselves, so the store session only bounds each try.
constexpr duration row_call_patience = std::chrono::seconds{4};

std::optional<versioned_document> decode_row(const store_row& row) {
  auto decoded = decode_document_row(row.value);
  if (!decoded.ok()) {
    log(log_level::error, "the document row is malformed",
        {{"reason", std::string{decoded.status().message()}}});
    return std::nullopt;
  }
  return std::move(decoded->document);
}

}  // namespace

cluster_node::cluster_node(event_loop& loop, peer_mesh& mesh, store_port& store, random_source& random,
                           options opts, callbacks calls)
    : loop_{loop},
      mesh_{mesh},
      store_{store},
      options_{std::move(opts)},
      calls_{std::move(calls)},
      members_{{.self = options_.self}, random},
      views_{{.self = options_.self.id, .key = "/env/" + options_.environment + "/view"}, random},
      config_{{.self = options_.self.id,
               .key = document_key(options_.environment),
               .decode_row = &decode_row,
               .verify = &digest_matches},
              random},
      view_client_{store.add_client([this](const store_call_result& result) {
        feed(view_keeper_event{store_row_answered{.call = result.id, .response = result.response}});
      })},
      config_client_{store.add_client([this](const store_call_result& result) {
        feed(config_distributor_event{store_row_answered{.call = result.id, .response = result.response}});
      })},
      members_timer_{loop, [this] { feed(membership_event{membership_tick{}}); }},
      views_timer_{loop, [this] { feed(view_keeper_event{view_keeper_tick{}}); }},
      config_timer_{loop, [this] { feed(config_distributor_event{config_distributor_tick{}}); }} {}

void cluster_node::start() {
  feed(membership_event{vm_list_changed{.vms = options_.seeds}});
  feed(membership_event{membership_tick{}});
  feed(config_distributor_event{config_distributor_tick{}});
}

bool cluster_node::on_message(const member_info& from, const peer::message& message) {
  const auto& vm = from.id.vm;
  if (!options_.same_kind(vm)) {
    return false;
  }
  if (const auto* beat = std::get_if<peer::heartbeat>(&message)) {
    feed(membership_event{heartbeat_received{.from = vm, .content = *beat}});
    feed(config_distributor_event{document_announced{.from = vm, .stamp = beat->document}});
    if (options_.keeps_view) {
      feed(view_keeper_event{view_number_received{.number = beat->view}});
    }
    return true;
  }
  if (const auto* fetch = std::get_if<peer::fetch_document>(&message)) {
    feed(config_distributor_event{fetch_received{.from = vm, .content = *fetch}});
    return true;
  }
  if (const auto* document = std::get_if<peer::document>(&message)) {
    feed(config_distributor_event{document_received{.from = vm, .content = *document}});
    return true;
  }
  return false;
}

void cluster_node::on_vm_list(const std::vector<vm_list_entry>& found) {
  auto hints = options_.seeds;
  hints.insert(hints.end(), found.begin(), found.end());
  feed(membership_event{vm_list_changed{.vms = std::move(hints)}});
}

void cluster_node::set_draining() {
  status_.draining = true;
  publish_status();
}

void cluster_node::leave() {
  feed(membership_event{leave_requested{}});
}

std::string cluster_node::address_of(const vm_id& vm) const {
  for (const auto& member : members_.live()) {
    if (member.info.id.vm == vm) {
      return member.info.address;
    }
  }
  return {};
}

void cluster_node::feed(const membership_event& event) {
  std::vector<membership_action> actions;
  members_.handle(event, loop_.now(), actions);
  members_timer_.set(members_.next_deadline());
  for (const auto& action : actions) {
    std::visit([this](const auto& typed) { run(typed); }, action);
  }
}

void cluster_node::feed(const view_keeper_event& event) {
  if (!options_.keeps_view) {
    return;
  }
  std::vector<view_keeper_action> actions;
  views_.handle(event, loop_.now(), actions);
  views_timer_.set(views_.next_deadline());
  for (const auto& action : actions) {
    if (const auto* call = std::get_if<store_row_call>(&action)) {
      store_.call(view_client_, {.id = call->call, .request = call->request, .retry_for = row_call_patience});
    } else {
      run(std::get<view_adopted>(action));
    }
  }
}

void cluster_node::feed(const config_distributor_event& event) {
  std::vector<config_distributor_action> actions;
  config_.handle(event, loop_.now(), actions);
  config_timer_.set(config_.next_deadline());
  for (const auto& action : actions) {
    if (const auto* call = std::get_if<store_row_call>(&action)) {
      store_.call(config_client_,
                  {.id = call->call, .request = call->request, .retry_for = row_call_patience});
    } else {
      std::visit(
          [this](const auto& typed) {
            if constexpr (!std::is_same_v<std::decay_t<decltype(typed)>, store_row_call>) {
              run(typed);
            }
          },
          action);
    }
  }
}

void cluster_node::run(const send_heartbeat& action) {
  mesh_.send(action.to, action.address, action.content);
}

void cluster_node::run(const live_list_changed& action) {
  if (options_.keeps_view) {
    feed(view_keeper_event{action});
  } else {
    rank_by_live_list(action);
  }
  calls_.on_live(action);
}

void cluster_node::rank_by_live_list(const live_list_changed& action) {
  // Without an agreed view the live list ranks the watchers of the document row.
  view ranked;
  ranked.number = view_.number.next();
  for (const auto& member : action.members) {
    ranked.members.push_back(member.info);
  }
  view_ = ranked;
  feed(config_distributor_event{view_adopted{.adopted = std::move(ranked)}});
}

void cluster_node::run(const staleness_changed& action) {
  log(action.stale ? log_level::warning : log_level::info,
      action.stale ? "this VM was paused or cut off" : "this VM is in touch with its peers again",
      {{"gap_ms", std::int64_t{action.gap.count() / 1000}}});
  feed(view_keeper_event{action});
  feed(config_distributor_event{action});
}

void cluster_node::run(const superseded& /*action*/) {
  calls_.on_superseded();
}

void cluster_node::run(const view_adopted& action) {
  view_ = action.adopted;
  log(log_level::info, "view adopted",
      {{"view", static_cast<std::int64_t>(view_.number.value())},
       {"members", static_cast<std::int64_t>(view_.members.size())}});
  feed(config_distributor_event{action});
  publish_status();
  calls_.on_view(action);
}

void cluster_node::run(const send_fetch& action) {
  mesh_.send(action.to, address_of(action.to), action.content);
}

void cluster_node::run(const send_document& action) {
  mesh_.send(action.to, address_of(action.to), action.content);
}

void cluster_node::run(const document_adopted& action) {
  log(log_level::info, "document in force",
      {{"version", static_cast<std::int64_t>(action.document.version.value())},
       {"digest", action.document.digest}});
  publish_status();
  calls_.on_document(action.document);
}

void cluster_node::run(const document_conflict& action) {
  log(log_level::error, "two documents have the same version; the one in force stays",
      {{"version", static_cast<std::int64_t>(action.stamp.version.value())},
       {"digest", action.stamp.digest}});
}

bool cluster_node::document_may_be_outdated() {
  return config_.standing(loop_.now()) != version_tracker::standing::confirmed;
}

config_decision cluster_node::decide_refusal(duration waited) {
  check_document();
  return decide(config_.standing(loop_.now()), config_.newer_announced(),
                {.allowed = false, .waited = waited});
}

void cluster_node::when_document_checked(std::function<void()> call) {
  waiting_.push_back(std::move(call));
  if (!waiting_timer_.active()) {
    waiting_timer_ = loop_.run_every(waiting_interval, [this] { run_waiting(); });
  }
}

void cluster_node::run_waiting() {
  for (const auto& call : std::exchange(waiting_, {})) {
    call();
  }
  if (waiting_.empty()) {
    waiting_timer_.cancel();
  }
}

void cluster_node::publish_status() {
  status_.view = options_.keeps_view ? view_.number : view_number{};
  status_.document = config_.stamp();
  feed(membership_event{status_});
}

std::vector<listed_vm> parse_vm_list(const std::string& body) {
  std::vector<listed_vm> listed;
  const auto parsed = nlohmann::json::parse(body, nullptr, false);
  if (!parsed.is_array()) {
    return listed;
  }
  const auto text = [](const nlohmann::json& item, const char* name) {
    const auto found = item.find(name);
    return found != item.end() && found->is_string() ? found->get<std::string>() : std::string{};
  };
  for (const auto& item : parsed) {
    if (item.is_object() && !text(item, "id").empty()) {
      listed.push_back({.id = text(item, "id"),
                        .leaving = text(item, "state") == "leaving",
                        .entry = text(item, "entry"),
                        .scheduler = text(item, "scheduler")});
    }
  }
  return listed;
}

}  // namespace rhubarbpath

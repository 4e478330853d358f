#include "service_endpoint.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

#include "api_answers.hpp"
#include "rhubarbpath/protocol/digest.hpp"
#include "rhubarbpath/protocol/document_yaml.hpp"
#include "rhubarbpath/transport/log.hpp"
#include "rhubarbpath/transport/span.hpp"

namespace rhubarbpath {

namespace {

/// A probe that is not answered within this time shows a target that does not serve.
constexpr duration probe_within = std::chrono::seconds{1};
/// A call may outlast its deadline by this much; the router decides what to do at the deadline.
constexpr duration call_margin = std::chrono::seconds{3};

/// A permit of the intent registry to send lasts 60 s, so a non-idempotent request must not wait longer.
constexpr duration longest_non_idempotent_deadline = std::chrono::seconds{50};

/// Keys of different teams and services never meet; the digest has a fixed length.
idempotency_key registry_key(const team_id& team, const service_id& service, const idempotency_key& key) {
  return idempotency_key{sha256_hex(team.value() + "\n" + service.value() + "\n" + key.value())};
}

std::uint32_t to_unsigned(int status) {
  return static_cast<std::uint32_t>(std::max(status, 0));
}

std::string body_text(const routing::shared_body& body) {
  return body == nullptr ? std::string{} : *body;
}

routing::shared_body make_body(std::string text) {
  return std::make_shared<const std::string>(std::move(text));
}

answer_kind status_of(const outcome& result) {
  if (result.result == verdict::may_have_run) {
    return answer_kind::timed_out;
  }
  return result.retry_after ? answer_kind::shed : answer_kind::unavailable;
}

}  // namespace

service_endpoint::service_endpoint(event_loop& loop, peer_mesh& mesh, cluster_node& cluster,
                                   metrics& counters, random_source& random, const member_info& self,
                                   std::function<void()> on_drained)
    : loop_{loop},
      mesh_{mesh},
      cluster_{cluster},
      metrics_{counters},
      random_{random},
      self_{self},
      on_drained_{std::move(on_drained)},
      targets_{loop, {}},
      router_{{.self = self.id.vm,
               .self_incarnation = self.id.incarnation,
               .failure_domain = self.failure_domain},
              random},
      intents_{{.self = self}},
      router_timer_{loop, [this] { feed_router(routing::tick{}); }},
      intents_timer_{loop, [this] { feed_intents(intent_registry_tick{}); }} {}

void service_endpoint::handle(const http_request& request, std::string_view path,
                              const http_responder& reply) {
  handle_call(request, std::string{path}, reply, loop_.now());
}

void service_endpoint::handle_call(const http_request& request, const std::string& path,
                                   const http_responder& reply, instant arrived) {
  const auto slash = path.find('/');
  if (request.method != "POST") {
    reply.send(refusal(answer_kind::wrong_method, "use POST to send a request to a service"));
    return;
  }
  if (document_ == nullptr || slash == std::string::npos) {
    reply.send(document_ == nullptr
                   ? refusal(answer_kind::unavailable, "no document is in force yet")
                   : refusal(answer_kind::unknown, "the path is /v1/services/{service}/{class}"));
    return;
  }
  const service_id service{path.substr(0, slash)};
  const class_id request_class{path.substr(slash + 1)};
  const auto* spec = find_class(service, request_class);
  const auto headers = parse_caller_headers(request.headers);
  if (spec == nullptr || (headers.ok() && !has_team(headers->team))) {
    switch (cluster_.decide_refusal(loop_.now() - arrived)) {
      case config_decision::wait:
        cluster_.when_document_checked(
            [this, request, path, reply, arrived] { handle_call(request, path, reply, arrived); });
        return;
      case config_decision::cannot_tell:
        reply.send(document_outdated());
        return;
      case config_decision::refuse:
      case config_decision::proceed:
        break;
    }
  }
  if (spec == nullptr) {
    reply.send(refusal(answer_kind::unknown, fmt::format("service \"{}\" has no class \"{}\"",
                                                         service.value(), request_class.value())));
    return;
  }
  if (!headers.ok()) {
    reply.send(refusal(answer_kind::malformed, std::string{headers.status().message()}));
    return;
  }
  const bool non_idempotent = spec->non_idempotent || headers->non_idempotent;
  last_request_ = last_request_.next();
  auto key = headers->key.value_or(idempotency_key{});
  const bool own_key = non_idempotent && key.empty();
  if (own_key) {
    key = idempotency_key{
        fmt::format("{}-{}-{}", self_.id.vm.value(), self_.id.incarnation.value(), last_request_.value())};
  }
  const auto parent = parse_traceparent(headers->traceparent);
  waiting_caller caller{.reply = reply,
                        .request_class = request_class,
                        .arrived = arrived,
                        .hop = continue_trace(headers->traceparent, random_),
                        .parent = parent.value_or(trace_context{}),
                        .service = service.value(),
                        .first_attempt = own_key || headers->first_attempt};
  const auto traceparent = to_traceparent(caller.hop);
  callers_.insert_or_assign(last_request_, std::move(caller));
  auto time_left = headers->deadline;
  if (non_idempotent) {
    const auto wanted = time_left ? time_left : spec->deadline;
    time_left = std::min(wanted.value_or(longest_non_idempotent_deadline), longest_non_idempotent_deadline);
  }
  const auto deadline = time_left ? loop_.now() + *time_left : instant{};
  feed_router(routing::request_arrived{.id = last_request_,
                                       .content = {.service = service,
                                                   .request_class = request_class,
                                                   .team = headers->team,
                                                   .non_idempotent = non_idempotent,
                                                   .deadline = deadline,
                                                   .body = make_body(request.body),
                                                   .traceparent = traceparent},
                                       .key = key,
                                       .first_attempt = own_key || headers->first_attempt});
}

void service_endpoint::on_document(std::shared_ptr<const environment_document> document) {
  document_ = std::move(document);
  addresses_.clear();
  for (const auto& worker : document_->workers) {
    addresses_[worker.id] = worker.address;
  }
  feed_router(routing::document_changed{.document = document_});
}

void service_endpoint::on_live(const live_list_changed& event) {
  routing::members_changed changed;
  for (const auto& member : event.members) {
    changed.members.push_back({.vm = member.info.id.vm,
                               .vm_incarnation = member.info.id.incarnation,
                               .failure_domain = member.info.failure_domain,
                               .draining = member.draining});
    mesh_.connect(member.info.id.vm, member.info.address);
  }
  feed_router(changed);
  feed_intents(event);
}

void service_endpoint::on_view(const view_adopted& event) {
  feed_intents(event);
}

void service_endpoint::on_vm_list(const std::vector<listed_vm>& listed) {
  vm_list_changed entries;
  for (const auto& vm : listed) {
    if (!vm.entry.empty()) {
      entries.vms.push_back({.vm = vm_id{vm.id}, .address = vm.entry});
    }
  }
  // An empty list says that the platform knows nothing yet, not that every VM is gone.
  if (!entries.vms.empty()) {
    feed_intents(entries);
  }
  for (const auto& vm : listed) {
    const worker_id worker{vm.id};
    if (addresses_.contains(worker) && leaving_[worker] != vm.leaving) {
      leaving_[worker] = vm.leaving;
      feed_router(routing::target_leaving{.target = worker, .leaving = vm.leaving});
    }
  }
}

bool service_endpoint::on_message(const member_info& from, const peer::message& message) {
  const auto& id = from.id;
  if (const auto* forward = std::get_if<peer::forward_request>(&message)) {
    const auto parent = parse_traceparent(forward->traceparent);
    const auto hop = continue_trace(forward->traceparent, random_);
    write_span({.context = hop,
                .parent = parent.value_or(trace_context{}),
                .name = "entry.forward",
                .started = loop_.now(),
                .ended = loop_.now()},
               {{"from", id.vm.value()}, {"service", forward->service.value()}});
    feed_router(routing::forward_arrived{.from = id.vm,
                                         .from_incarnation = id.incarnation,
                                         .to_incarnation = forward->to_incarnation,
                                         .id = forward->id,
                                         .content = {.service = forward->service,
                                                     .request_class = forward->request_class,
                                                     .team = forward->team,
                                                     .non_idempotent = forward->non_idempotent,
                                                     .deadline = loop_.now() + forward->deadline,
                                                     .body = make_body(forward->body),
                                                     .traceparent = to_traceparent(hop)},
                                         .intent = forward->intent,
                                         .avoid = forward->avoid,
                                         .pulled = forward->pulled});
    return true;
  }
  if (const auto* answer = std::get_if<peer::forward_answer>(&message)) {
    feed_router(routing::forward_answered{.from = id.vm,
                                          .from_incarnation = id.incarnation,
                                          .to_incarnation = answer->to_incarnation,
                                          .id = answer->id,
                                          .result = answer->result,
                                          .status = static_cast<int>(answer->status),
                                          .body = make_body(answer->body),
                                          .target = answer->target,
                                          .reason = answer->reason,
                                          .load = answer->load});
    return true;
  }
  if (const auto* load = std::get_if<peer::load>(&message)) {
    feed_router(routing::peer_load{.from = id.vm, .from_incarnation = id.incarnation, .load = load->report});
    return true;
  }
  if (const auto* pull = std::get_if<peer::pull_work>(&message)) {
    feed_router(routing::pull_arrived{.from = id.vm,
                                      .from_incarnation = id.incarnation,
                                      .service = pull->service,
                                      .count = static_cast<int>(pull->count),
                                      .max_rank = static_cast<int>(pull->max_rank),
                                      .short_teams_only = pull->short_teams_only});
    return true;
  }
  return std::visit(
      [&](const auto& typed) {
        using type = std::decay_t<decltype(typed)>;
        if constexpr (std::is_constructible_v<intent_message, type>) {
          feed_intents(intent_message_received{.from = id, .message = typed});
          return true;
        }
        return false;
      },
      message);
}

void service_endpoint::on_link_lost(const vm_id& vm) {
  feed_router(routing::peer_lost{.vm = vm});
}

void service_endpoint::drain() {
  feed_router(routing::drain{});
}

std::vector<service_status> service_endpoint::services() const {
  std::map<service_id, service_status> by_service;
  if (document_ != nullptr) {
    for (const auto& service : document_->services) {
      by_service[service.id].id = service.id;
    }
    for (const auto& worker : document_->workers) {
      if (const auto found = by_service.find(worker.service); found != by_service.end()) {
        ++found->second.targets;
      }
    }
  }
  for (const auto& load : router_.load().services) {
    auto& status = by_service[load.service];
    status.idle_slots = load.idle_slots;
    status.targets_set_aside = load.set_aside;
    for (const auto& queue : load.queues) {
      status.queued_requests += queue.length;
    }
  }
  std::vector<service_status> all;
  all.reserve(by_service.size());
  for (auto& [id, status] : by_service) {
    all.push_back(std::move(status));
  }
  return all;
}

void service_endpoint::feed_router(const request_router_event& event) {
  std::vector<request_router_action> actions;
  router_.handle(event, loop_.now(), actions);
  router_timer_.set(router_.next_deadline());
  for (const auto& action : actions) {
    std::visit([this](const auto& typed) { run(typed); }, action);
  }
}

void service_endpoint::feed_intents(const intent_registry_event& event) {
  std::vector<intent_registry_action> actions;
  intents_.handle(event, loop_.now(), actions);
  intents_timer_.set(intents_.next_deadline());
  for (const auto& action : actions) {
    std::visit([this](const auto& typed) { run(typed); }, action);
  }
}

void service_endpoint::run(const routing::record_intent& action) {
  const auto& intent = action.intent;
  const auto caller = callers_.find(intent.request);
  const bool first = caller != callers_.end() && caller->second.first_attempt;
  feed_intents(intent_requested{.id = intent.request,
                                .key = registry_key(intent.team, intent.service, intent.key),
                                .first_attempt = first,
                                .deadline = action.deadline});
}

void service_endpoint::run(const routing::withdraw_intent& action) {
  feed_intents(dispatch_ended{
      .id = action.intent.request,
      .answer = {.result = {.result = verdict::not_run, .reason = "withdrawn", .retry_after = {}}}});
}

void service_endpoint::run(const routing::finish_intent& action) {
  feed_intents(dispatch_ended{
      .id = action.intent.request,
      .answer = {
          .result = action.result, .status = to_unsigned(action.status), .body = body_text(action.body)}});
}

void service_endpoint::run(const dispatch_permitted& action) {
  // From the loop: the router may be the part that asked, and it must not be entered again from itself.
  loop_.post([this, id = action.id] {
    feed_router(routing::intent_settled{.id = id, .settled = routing::intent_result::recorded, .result = {}});
  });
}

void service_endpoint::run(const intent_answered& action) {
  const bool refused = action.answer.result.result == verdict::not_run;
  const routing::intent_settled settled{
      .id = action.id,
      .settled = refused ? routing::intent_result::unavailable : routing::intent_result::duplicate,
      .result = action.answer.result,
      .status = static_cast<int>(action.answer.status),
      .body = make_body(action.answer.body)};
  loop_.post([this, settled] { feed_router(settled); });
}

void service_endpoint::run(const send_intent_message& action) {
  std::visit([&](const auto& message) { mesh_.send(action.to.id.vm, action.to.address, message); },
             action.message);
}

void service_endpoint::run(const routing::send_request& action) {
  const auto parent = parse_traceparent(action.content.traceparent);
  const auto hop = continue_trace(action.content.traceparent, random_);
  http_request request{.method = "POST",
                       .path = "/request",
                       .query = {},
                       .headers = {{"Rhubarb-Service", action.content.service.value()},
                                   {"Rhubarb-Class", action.content.request_class.value()},
                                   {"Rhubarb-Team", action.content.team.value()},
                                   {"traceparent", to_traceparent(hop)}},
                       .body = body_text(action.content.body)};
  if (action.intent) {
    request.headers.emplace_back("Idempotency-Key", action.intent->key.value());
  }
  const auto timeout = std::max(action.content.deadline - loop_.now(), duration::zero()) + call_margin;
  const auto handle = targets_.call(
      address_of(action.target), request, timeout,
      [this, call = action.call](const http_result& result) { on_target_result(call, result); });
  calls_[action.call] = {.handle = handle,
                         .started = loop_.now(),
                         .hop = hop,
                         .parent = parent.value_or(trace_context{}),
                         .target = action.target};
}

void service_endpoint::on_target_result(routing::target_call_id call, const http_result& result) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) {
    return;
  }
  const auto ended = std::move(found->second);
  calls_.erase(found);
  const auto* response = std::get_if<http_response>(&result);
  write_span({.context = ended.hop,
              .parent = ended.parent,
              .name = "target.call",
              .started = ended.started,
              .ended = loop_.now(),
              .failed = response == nullptr},
             {{"target", ended.target.value()}});
  if (response == nullptr) {
    const auto& failed = std::get<http_call_failed>(result);
    metrics_.add("rhubarb_target_call_failures_total",
                 failed.bytes_sent ? "sent=\"true\"" : "sent=\"false\"");
    feed_router(routing::target_call_failed{.call = call, .bytes_sent = failed.bytes_sent});
    return;
  }
  const bool leaving = header_value(response->headers, "Rhubarb-Leaving") == "true";
  if (header_value(response->headers, "Rhubarb-Refused") == "true") {
    feed_router(routing::target_refused{.call = call, .leaving = leaving});
    return;
  }
  feed_router(routing::target_answered{
      .call = call, .status = response->status, .body = make_body(response->body), .leaving = leaving});
}

void service_endpoint::run(const routing::probe_target& action) {
  const http_request ping{.method = "GET", .path = "/ping", .query = {}, .headers = {}, .body = {}};
  targets_.call(address_of(action.target), ping, probe_within,
                [this, target = action.target](const http_result& result) {
                  constexpr int ok = 200;
                  const auto* response = std::get_if<http_response>(&result);
                  feed_router(routing::probe_answered{
                      .target = target, .answered = response != nullptr && response->status == ok});
                });
}

void service_endpoint::run(const routing::cancel_call& action) {
  const auto found = calls_.find(action.call);
  if (found == calls_.end()) {
    return;
  }
  targets_.cancel(found->second.handle);
  calls_.erase(found);
  loop_.post([this, call = action.call] {
    feed_router(routing::target_call_failed{.call = call, .bytes_sent = true});
  });
}

void service_endpoint::run(const routing::forward_request& action) {
  const auto remaining = std::max(action.content.deadline - loop_.now(), duration::zero());
  const bool sent =
      mesh_.send_open(action.to, peer::forward_request{.id = action.id,
                                                       .to_incarnation = action.to_incarnation,
                                                       .service = action.content.service,
                                                       .request_class = action.content.request_class,
                                                       .team = action.content.team,
                                                       .non_idempotent = action.content.non_idempotent,
                                                       .deadline = remaining,
                                                       .body = body_text(action.content.body),
                                                       .traceparent = action.content.traceparent,
                                                       .intent = action.intent,
                                                       .avoid = action.avoid,
                                                       .pulled = action.pulled});
  if (sent) {
    return;
  }
  // A restarted peer is a member before its link is open; without this answer the request would wait
  // for its deadline.
  loop_.post([this, to = action.to, incarnation = action.to_incarnation, id = action.id] {
    feed_router(routing::forward_answered{.from = to,
                                          .from_incarnation = incarnation,
                                          .to_incarnation = self_.id.incarnation,
                                          .id = id,
                                          .result = routing::forward_result::not_sent,
                                          .status = 0,
                                          .body = {},
                                          .target = {},
                                          .reason = "no link to the peer is open",
                                          .load = {}});
  });
}

void service_endpoint::run(const routing::answer_peer& action) {
  mesh_.send_open(action.to, peer::forward_answer{.id = action.id,
                                                  .to_incarnation = action.to_incarnation,
                                                  .result = action.result,
                                                  .status = to_unsigned(action.status),
                                                  .body = body_text(action.body),
                                                  .target = action.target,
                                                  .reason = action.reason,
                                                  .load = action.load});
}

void service_endpoint::run(const routing::pull_from_peer& action) {
  mesh_.send_open(action.to, peer::pull_work{.service = action.service,
                                             .count = to_unsigned(action.count),
                                             .max_rank = to_unsigned(action.max_rank),
                                             .short_teams_only = action.short_teams_only});
}

void service_endpoint::run(const routing::advertise_load& action) {
  const peer::load message{.report = action.load};
  if (action.to) {
    mesh_.send_open(*action.to, message);
    return;
  }
  for (const auto& member : cluster_.live()) {
    if (member.info.id.vm != self_.id.vm) {
      mesh_.send_open(member.info.id.vm, message);
    }
  }
}

void service_endpoint::run(const routing::answer_caller& action) {
  const auto found = callers_.find(action.id);
  if (found == callers_.end()) {
    return;
  }
  const auto caller = std::move(found->second);
  callers_.erase(found);
  if (action.result.result == verdict::ran && action.body != nullptr && action.status != 0) {
    http_response response{
        .status = action.status, .headers = {{"Content-Type", "application/json"}}, .body = *action.body};
    add_outcome_headers(action.result, response);
    caller.reply.send(response);
  } else {
    const auto kind = action.result.result == verdict::ran ? answer_kind::done : status_of(action.result);
    caller.reply.send(outcome_response(kind, action.result));
  }
  metrics_.add("rhubarb_requests_total",
               fmt::format("service=\"{}\",class=\"{}\",verdict=\"{}\"", caller.service,
                           caller.request_class.value(), to_string(action.result.result)));
  metrics_.observe("rhubarb_request_seconds",
                   fmt::format("service=\"{}\",class=\"{}\"", caller.service, caller.request_class.value()),
                   loop_.now() - caller.arrived);
  write_span({.context = caller.hop,
              .parent = caller.parent,
              .name = "entry.request",
              .started = caller.arrived,
              .ended = loop_.now(),
              .failed = action.result.result != verdict::ran},
             {{"service", caller.service}, {"class", caller.request_class.value()}});
}

void service_endpoint::run(const routing::drained& /*action*/) {
  on_drained_();
}

std::string service_endpoint::address_of(const worker_id& worker) const {
  const auto found = addresses_.find(worker);
  return found == addresses_.end() ? std::string{} : found->second;
}

bool service_endpoint::has_team(const team_id& team) const {
  return std::any_of(document_->teams.begin(), document_->teams.end(),
                     [&](const auto& known) { return known.id == team; });
}

const request_class_spec* service_endpoint::find_class(const service_id& service,
                                                       const class_id& name) const {
  for (const auto& candidate : document_->services) {
    if (candidate.id != service) {
      continue;
    }
    for (const auto& request_class : candidate.classes) {
      if (request_class.id == name) {
        return &request_class;
      }
    }
  }
  return nullptr;
}

}  // namespace rhubarbpath

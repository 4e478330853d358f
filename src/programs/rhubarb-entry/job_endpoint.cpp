#include "job_endpoint.hpp"

#include <fmt/format.h>

#include <utility>
#include <variant>

#include "api_answers.hpp"
#include "rhubarbpath/protocol/digest.hpp"
#include "rhubarbpath/protocol/document_yaml.hpp"
#include "rhubarbpath/transport/log.hpp"
#include "rhubarbpath/transport/span.hpp"

namespace rhubarbpath {

namespace {

/// Longest time a caller waits for a submission or cancellation to be settled. It exceeds the takeover
/// bound of a failure domain, so that a dead scheduler costs a caller time and no answer.
constexpr duration settle_within = std::chrono::seconds{12};
/// Time beyond a caller's own wait in which the owner's answer may still arrive.
constexpr duration answer_margin = std::chrono::seconds{3};
/// How long a draining VM still takes calls; the same as the request router's.
constexpr duration drain_accept_time = std::chrono::seconds{1};

std::string_view kind_name(gateway::owner_message kind) {
  switch (kind) {
    case gateway::owner_message::submit:
      return "submit";
    case gateway::owner_message::query:
      return "query";
    case gateway::owner_message::cancel:
      return "cancel";
  }
  return "query";
}

answer_kind status_of(const gateway::answer& action, gateway::owner_message kind) {
  if (action.unknown_job) {
    return answer_kind::unknown;
  }
  if (action.key_conflict) {
    return answer_kind::key_conflict;
  }
  switch (action.result.result) {
    case verdict::ran:
      return kind == gateway::owner_message::submit ? answer_kind::accepted : answer_kind::done;
    case verdict::may_have_run:
      return answer_kind::timed_out;
    case verdict::not_run:
      return action.result.retry_after ? answer_kind::unavailable : answer_kind::refused;
  }
  return answer_kind::unavailable;
}

}  // namespace

job_endpoint::job_endpoint(event_loop& loop, peer_mesh& mesh, cluster_node& cluster, store_port& store,
                           metrics& counters, random_source& random, const std::string& environment)
    : loop_{loop},
      mesh_{mesh},
      cluster_{cluster},
      store_{store},
      metrics_{counters},
      random_{random},
      gateway_{{.environment = environment}},
      store_client_{store.add_client([this](const store_call_result& result) { feed(result); })},
      timer_{loop, [this] { feed(tick{}); }} {}

void job_endpoint::drain() {
  refuse_from_ = loop_.now() + drain_accept_time;
  feed(gateway::drain{});
}

void job_endpoint::handle(const http_request& request, std::string_view path, const http_responder& reply) {
  if (refuse_from_ && loop_.now() >= *refuse_from_) {
    reply.send(outcome_response(answer_kind::unavailable, {.result = verdict::not_run,
                                                           .reason = "this entry VM is shutting down",
                                                           .retry_after = drain_accept_time}));
    return;
  }
  if (document_ == nullptr) {
    reply.send(refusal(answer_kind::unavailable, "no document is in force yet"));
    return;
  }
  if (path.empty() || path == "/") {
    request.method == "POST" ? submit(request, reply, loop_.now())
                             : reply.send(refusal(answer_kind::wrong_method, "use POST to submit a job"));
    return;
  }
  const job_id job{path.substr(1)};
  if (job.value().size() > max_id_bytes || job.value().find('/') != std::string::npos) {
    reply.send(refusal(answer_kind::malformed, "the job id is malformed"));
  } else if (request.method == "GET") {
    look_up(request, job, reply);
  } else if (request.method == "DELETE") {
    cancel(request, job, reply);
  } else {
    reply.send(refusal(answer_kind::wrong_method, "use GET to look a job up or DELETE to cancel it"));
  }
}

void job_endpoint::submit(const http_request& request, const http_responder& reply, instant arrived) {
  const auto headers = parse_caller_headers(request.headers);
  if (!headers.ok()) {
    reply.send(refusal(answer_kind::malformed, std::string{headers.status().message()}));
    return;
  }
  if (!headers->key) {
    reply.send(refusal(answer_kind::malformed, "header Idempotency-Key is required to submit a job"));
    return;
  }
  const auto spec = parse_job_submission(request.body);
  if (!spec.ok()) {
    reply.send(refusal(answer_kind::malformed, std::string{spec.status().message()}));
    return;
  }
  const auto choice = choose_failure_domains(*document_, guarantees_, *spec, loads_);
  if (choice.candidates.empty()) {
    switch (cluster_.decide_refusal(loop_.now() - arrived)) {
      case config_decision::wait:
        cluster_.when_document_checked([this, request, reply, arrived] { submit(request, reply, arrived); });
        return;
      case config_decision::cannot_tell:
        reply.send(document_outdated());
        return;
      case config_decision::refuse:
      case config_decision::proceed:
        break;
    }
  } else {
    count_submission(choice.candidates.front(), *spec, loads_);
  }
  const auto id = admit(request, gateway::owner_message::submit, reply, arrived);
  feed(gateway::submission{
      .id = id,
      .job = job_id_for(spec->team, *headers->key),
      .spec = *spec,
      .fingerprint = sha256_hex(encode_job_submission(*spec)),
      .failure_domain = choice.candidates.empty() ? failure_domain_id{} : choice.candidates.front(),
      .refusal = choice.refusal,
      .deadline = loop_.now() + settle_within});
}

void job_endpoint::look_up(const http_request& request, const job_id& job, const http_responder& reply) {
  const auto wait = parse_wait(request.query);
  if (!wait.ok()) {
    reply.send(refusal(answer_kind::malformed, std::string{wait.status().message()}));
    return;
  }
  const auto id = admit(request, gateway::owner_message::query, reply, loop_.now());
  feed(gateway::query{.id = id, .job = job, .wait = *wait, .deadline = loop_.now() + *wait + answer_margin});
}

void job_endpoint::cancel(const http_request& request, const job_id& job, const http_responder& reply) {
  const auto id = admit(request, gateway::owner_message::cancel, reply, loop_.now());
  feed(gateway::cancellation{.id = id, .job = job, .deadline = loop_.now() + settle_within});
}

request_id job_endpoint::admit(const http_request& request, gateway::owner_message kind,
                               const http_responder& reply, instant arrived) {
  last_request_ = last_request_.next();
  const auto given = header_value(request.headers, "traceparent");
  const auto parent = parse_traceparent(given);
  callers_.insert_or_assign(last_request_, waiting_caller{.reply = reply,
                                                          .kind = kind,
                                                          .arrived = arrived,
                                                          .hop = continue_trace(given, random_),
                                                          .parent = parent.value_or(trace_context{})});
  return last_request_;
}

void job_endpoint::on_document(std::shared_ptr<const environment_document> document) {
  document_ = std::move(document);
  guarantees_ = check_guarantees(*document_);
  std::map<rack_id, failure_domain_id> domain_of;
  for (const auto& rack : document_->racks) {
    domain_of[rack.id] = rack.failure_domain;
  }
  accelerators_.clear();
  for (const auto& worker : document_->workers) {
    accelerators_[domain_of[worker.rack]] += worker.accelerators;
  }
  for (const auto& problem : guarantees_.problems) {
    log(log_level::error, "a guarantee of the document in force cannot be met", {{"reason", problem.reason}});
  }
}

bool job_endpoint::on_message(const member_info& from, const peer::message& message) {
  if (const auto* owner = std::get_if<peer::owner_announcement>(&message)) {
    loads_[owner->failure_domain] = {.free_accelerators = static_cast<int>(owner->free_accelerators),
                                     .waiting_jobs = static_cast<int>(owner->waiting_jobs)};
    announced_[owner->failure_domain] = *owner;
    feed(gateway::owner_announced{
        .failure_domain = owner->failure_domain, .owned = owner->owned, .owner = from.id.vm});
    return true;
  }
  if (const auto* answered = std::get_if<peer::job_answer>(&message)) {
    feed(gateway::owner_answered{
        .id = answered->id, .from = from.id.vm, .result = answered->result, .record = answered->record});
    return true;
  }
  return false;
}

void job_endpoint::on_link_lost(const vm_id& vm) {
  feed(gateway::owner_lost{.owner = vm});
}

std::vector<failure_domain_status> job_endpoint::failure_domains() const {
  std::vector<failure_domain_status> all;
  if (document_ == nullptr) {
    return all;
  }
  for (const auto& domain : document_->failure_domains) {
    failure_domain_status status{
        .id = domain.id, .owner = gateway_.owner_of(domain.id), .owner_epoch = gateway_.epoch_of(domain.id)};
    if (const auto total = accelerators_.find(domain.id); total != accelerators_.end()) {
      status.accelerators = total->second;
    }
    if (const auto known = announced_.find(domain.id); known != announced_.end()) {
      status.free_accelerators = static_cast<int>(known->second.free_accelerators);
      status.waiting_jobs = static_cast<int>(known->second.waiting_jobs);
      status.running_jobs = static_cast<int>(known->second.running_jobs);
      status.workers_set_aside = static_cast<int>(known->second.workers_set_aside);
      status.uncovered_guarantees = static_cast<int>(known->second.uncovered_guarantees);
    }
    all.push_back(std::move(status));
  }
  return all;
}

void job_endpoint::feed(const job_gateway_event& event) {
  std::vector<job_gateway_action> actions;
  gateway_.handle(event, loop_.now(), actions);
  timer_.set(gateway_.next_deadline());
  for (const auto& action : actions) {
    std::visit([this](const auto& typed) { run(typed); }, action);
  }
}

void job_endpoint::run(const store_call& action) {
  store_.call(store_client_, action);
}

void job_endpoint::run(const store_call_cancelled& action) {
  store_.cancel(store_client_, action.id);
}

void job_endpoint::run(const gateway::send_to_owner& action) {
  switch (action.kind) {
    case gateway::owner_message::submit: {
      const auto caller = callers_.find(action.id);
      const auto traceparent = caller == callers_.end() ? std::string{} : to_traceparent(caller->second.hop);
      mesh_.send_open(action.owner, peer::submit_job{.id = action.id,
                                                     .job = action.job,
                                                     .failure_domain = action.failure_domain,
                                                     .spec = action.spec,
                                                     .traceparent = traceparent});
      break;
    }
    case gateway::owner_message::query:
      mesh_.send_open(action.owner, peer::query_job{.id = action.id,
                                                    .job = action.job,
                                                    .failure_domain = action.failure_domain,
                                                    .wait = action.wait});
      break;
    case gateway::owner_message::cancel:
      mesh_.send_open(
          action.owner,
          peer::cancel_job{.id = action.id, .job = action.job, .failure_domain = action.failure_domain});
      break;
  }
}

void job_endpoint::run(const gateway::answer& action) {
  const auto found = callers_.find(action.id);
  if (found == callers_.end()) {
    return;
  }
  const auto caller = std::move(found->second);
  callers_.erase(found);
  http_response response{.status = http_status(status_of(action, caller.kind)),
                         .headers = {{"Content-Type", "application/json"}},
                         .body = {}};
  auto record = action.record;
  if (!record && !action.unknown_job && !action.key_conflict && action.result.result != verdict::not_run) {
    record = job_record{.id = action.job};
  }
  response.body = encode_job_answer({.result = action.result, .job = record});
  add_outcome_headers(action.result, response);
  caller.reply.send(response);
  const auto labels =
      fmt::format("operation=\"{}\",verdict=\"{}\"", kind_name(caller.kind), to_string(action.result.result));
  metrics_.add("rhubarb_job_calls_total", labels);
  metrics_.observe("rhubarb_job_call_seconds", fmt::format("operation=\"{}\"", kind_name(caller.kind)),
                   loop_.now() - caller.arrived);
  write_span({.context = caller.hop,
              .parent = caller.parent,
              .name = "entry.job",
              .started = caller.arrived,
              .ended = loop_.now(),
              .failed = action.result.result != verdict::ran},
             {{"operation", std::string{kind_name(caller.kind)}}, {"job", action.job.value()}});
}

}  // namespace rhubarbpath

#include "scheduler_daemon.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "rhubarbpath/protocol/worker_codec.hpp"
#include "rhubarbpath/transport/log.hpp"
#include "rhubarbpath/transport/span.hpp"
#include "shared/scheduler_identity.hpp"

namespace rhubarbpath {

namespace {

constexpr duration document_check_interval = std::chrono::milliseconds{200};
/// A job takes about three times its bytes; a daemon may take 128 MB.
constexpr std::uint64_t max_kept_job_bytes = 32U << 20U;

daemon_base::options base_options(const daemon_settings& settings) {
  daemon_base::options opts{
      .self = {.id = {.vm = scheduler_id(settings.self.vm), .incarnation = new_incarnation()},
               .failure_domain = settings.failure_domain,
               .address = settings.self.scheduler},
      .http_address = settings.scheduler_http,
      .keeps_view = false,
      .seeds = {},
      .same_kind = &is_scheduler};
  for (const auto& peer : settings.peers) {
    opts.seeds.push_back({.vm = scheduler_id(peer.vm), .address = peer.scheduler});
  }
  return opts;
}

/// Status of one failure domain: its owner's epoch, workers set aside and guarantees without cover.
nlohmann::ordered_json domain_status(const domain_owner& owner, const placement_adapter& placement,
                                     const failure_domain_id& id) {
  nlohmann::ordered_json status{
      {"id", id.value()}, {"owned", owner.owns()}, {"epoch", owner.current_epoch().value()}};
  if (owner.committed() == nullptr) {
    return status;
  }
  status["set_aside"] = nlohmann::json::array();
  for (const auto& [worker, reason] : owner.committed()->set_aside) {
    status["set_aside"].push_back({{"worker", worker.value()}, {"reason", reason}});
  }
  status["uncovered_guarantees"] = nlohmann::json::array();
  for (const auto& each : placement.engine().uncovered_guarantees()) {
    status["uncovered_guarantees"].push_back({{"team", each.guarantee.team.value()},
                                              {"guarantee", each.guarantee.guarantee + 1},
                                              {"uncovered", each.uncovered},
                                              {"count", each.count}});
  }
  return status;
}

}  // namespace

scheduler_daemon::domain_slot::domain_slot(scheduler_daemon& daemon, const failure_domain_id& domain)
    : id{domain},
      placement{{}, domain},
      owner{{.failure_domain = domain,
             .environment = daemon.settings_.environment,
             .self = daemon.options_.self.id.vm,
             .self_incarnation = daemon.options_.self.id.incarnation},
            daemon.codec_,
            placement,
            daemon.random_,
            daemon.kept_jobs_},
      store_client{daemon.store_.add_client(
          [this, &daemon](const store_call_result& result) { daemon.feed(*this, result); })},
      timer{daemon.loop_, [this, &daemon] { daemon.feed(*this, tick{}); }} {}

scheduler_daemon::scheduler_daemon(const daemon_settings& settings)
    : daemon_base{settings, base_options(settings)},
      workers_http_{loop_, {}},
      kept_jobs_{max_kept_job_bytes},
      document_timer_{loop_.run_every(document_check_interval, [this] { check_document(); })} {}

void scheduler_daemon::on_peer_message(const member_info& from, const peer::message& message) {
  const auto& vm = from.id.vm;
  if (const auto* submit = std::get_if<peer::submit_job>(&message)) {
    auto* slot = find(submit->failure_domain);
    if (slot == nullptr) {
      refuse(vm, submit->id, submit->job, submit->failure_domain);
      return;
    }
    const auto parent = parse_traceparent(submit->traceparent);
    write_span({.context = continue_trace(submit->traceparent, random_),
                .parent = parent.value_or(trace_context{}),
                .name = "scheduler.submit",
                .started = loop_.now(),
                .ended = loop_.now()},
               {{"job", submit->job.value()}, {"failure_domain", submit->failure_domain.value()}});
    feed(*slot, job_submitted{
                    .from = {.peer = vm, .request = submit->id}, .job = submit->job, .spec = submit->spec});
  } else if (const auto* query = std::get_if<peer::query_job>(&message)) {
    if (auto* slot = find(query->failure_domain); slot != nullptr) {
      feed(*slot,
           job_queried{.from = {.peer = vm, .request = query->id}, .job = query->job, .wait = query->wait});
    } else {
      refuse(vm, query->id, query->job, query->failure_domain);
    }
  } else if (const auto* cancel = std::get_if<peer::cancel_job>(&message)) {
    if (auto* slot = find(cancel->failure_domain); slot != nullptr) {
      feed(*slot, job_cancel_requested{.from = {.peer = vm, .request = cancel->id}, .job = cancel->job});
    } else {
      refuse(vm, cancel->id, cancel->job, cancel->failure_domain);
    }
  } else if (const auto* owner = std::get_if<peer::owner_announcement>(&message)) {
    if (auto* slot = find(owner->failure_domain); slot != nullptr) {
      feed(*slot, owner_announced{.failure_domain = owner->failure_domain,
                                  .current_epoch = owner->owned,
                                  .owner = vm,
                                  .owner_incarnation = from.id.incarnation});
    }
  }
}

void scheduler_daemon::on_peer_lost(const vm_id& /*vm*/) {}

void scheduler_daemon::on_live(const live_list_changed& event) {
  for (const auto& member : event.members) {
    mesh_.connect(member.info.id.vm, member.info.address);
  }
  feed_all(schedulers());
}

void scheduler_daemon::on_view(const view_adopted& /*event*/) {}

void scheduler_daemon::on_document(std::shared_ptr<const environment_document> document,
                                   const versioned_document& versioned) {
  check_document();
  addresses_.clear();
  for (const auto& worker : document->workers) {
    addresses_[worker.id] = worker.address;
  }
  for (const auto& domain : document->failure_domains) {
    if (!domains_.contains(domain.id)) {
      domains_[domain.id] = std::make_unique<domain_slot>(*this, domain.id);
      feed(*domains_[domain.id], document_standing_changed{.may_be_outdated = document_outdated_});
      feed(*domains_[domain.id], schedulers());
    }
  }
  feed_all(document_changed{.version = versioned.version, .document = document});
}

std::optional<vm_list_entry> scheduler_daemon::peer_hint(const listed_vm& vm) const {
  return vm.scheduler.empty()
             ? std::nullopt
             : std::optional{vm_list_entry{.vm = scheduler_id(vm_id{vm.id}), .address = vm.scheduler}};
}

void scheduler_daemon::on_vm_list(const std::vector<listed_vm>& /*listed*/) {}

void scheduler_daemon::on_http(const http_request& request, const http_responder& reply) {
  constexpr int ok = 200;
  constexpr int not_found = 404;
  if (request.path != "/v1/status") {
    reply.send({.status = not_found,
                .headers = {{"Content-Type", "application/json"}},
                .body = R"({"verdict":"not_run","reason":"there is nothing at this path"})"});
    return;
  }
  nlohmann::ordered_json status{{"vm", options_.self.id.vm.value()},
                                {"version", cluster_.document().version.value()},
                                {"draining", draining()},
                                {"failure_domains", nlohmann::json::array()}};
  for (const auto& [id, slot] : domains_) {
    status["failure_domains"].push_back(domain_status(slot->owner, slot->placement, id));
  }
  reply.send({.status = ok, .headers = {{"Content-Type", "application/json"}}, .body = status.dump()});
}

void scheduler_daemon::on_drain() {
  if (domains_.empty()) {
    exit_now(0);
    return;
  }
  feed_all(drain_requested{});
}

void scheduler_daemon::update_metrics() {
  for (const auto& [id, slot] : domains_) {
    const auto labels = fmt::format("failure_domain=\"{}\"", id.value());
    metrics_.set("rhubarb_failure_domain_owned", labels, slot->owner.owns() ? 1 : 0);
    if (slot->owner.owns()) {
      metrics_.set("rhubarb_free_accelerators", labels, slot->placement.engine().free_accelerators());
      metrics_.set("rhubarb_waiting_jobs", labels,
                   static_cast<double>(slot->placement.engine().waiting_jobs()));
      metrics_.set("rhubarb_running_jobs", labels,
                   static_cast<double>(slot->placement.engine().running_jobs()));
      metrics_.set("rhubarb_fragmentation", labels, slot->placement.engine().fragmentation());
      metrics_.set("rhubarb_uncovered_guarantees", labels,
                   static_cast<double>(slot->placement.engine().uncovered_guarantees().size()));
    }
  }
}

void scheduler_daemon::feed(domain_slot& slot, const domain_owner_event& event) {
  std::vector<domain_owner_action> actions;
  const bool owned = slot.owner.owns();
  slot.owner.handle(event, loop_.now(), actions);
  slot.timer.set(slot.owner.next_deadline());
  if (owned != slot.owner.owns()) {
    log(log_level::info, owned ? "ownership of a failure domain ended" : "failure domain owned",
        {{"failure_domain", slot.id.value()},
         {"epoch", static_cast<std::int64_t>(slot.owner.current_epoch().value())}});
  }
  for (const auto& action : actions) {
    std::visit([&](const auto& typed) { run(slot, typed); }, action);
  }
}

void scheduler_daemon::check_document() {
  const bool owner = std::any_of(domains_.begin(), domains_.end(),
                                 [](const auto& entry) { return entry.second->owner.owns(); });
  if (owner) {
    cluster_.check_document();
  }
  const bool outdated = cluster_.document_may_be_outdated();
  if (std::exchange(document_outdated_, outdated) == outdated) {
    return;
  }
  if (owner) {
    log(document_outdated_ ? log_level::warning : log_level::info,
        document_outdated_ ? "the document may be outdated; placement waits"
                           : "the document is the newest one");
  }
  feed_all(document_standing_changed{.may_be_outdated = document_outdated_});
}

void scheduler_daemon::feed_all(const domain_owner_event& event) {
  for (auto& [id, slot] : domains_) {
    feed(*slot, event);
  }
}

void scheduler_daemon::run(domain_slot& slot, const store_call& action) {
  store_.call(slot.store_client, action);
}

void scheduler_daemon::run(domain_slot& slot, const store_call_cancelled& action) {
  store_.cancel(slot.store_client, action.id);
}

void scheduler_daemon::run(domain_slot& slot, const worker_send& action) {
  const auto text = encode_worker_command({.sender_epoch = action.sender_epoch, .command = action.command});
  const auto address = addresses_.find(action.worker);
  const http_request request{.method = "POST",
                             .path = text.path,
                             .query = {},
                             .headers = {{"Content-Type", "application/json"}},
                             .body = text.body};
  workers_http_.call(address == addresses_.end() ? std::string{} : address->second, request, action.timeout,
                     [this, &slot, sent = action.sent](const http_result& result) {
                       if (const auto* response = std::get_if<http_response>(&result)) {
                         if (auto report = decode_worker_report(response->body); report.ok()) {
                           feed(slot, worker_reported{.answers = sent, .report = *std::move(report)});
                           return;
                         }
                       }
                       feed(slot, worker_call_failed{.failed = sent});
                     });
}

void scheduler_daemon::run(domain_slot& /*slot*/, const job_answered& action) {
  mesh_.send_open(
      action.to.peer,
      peer::job_answer{
          .id = action.to.request, .job = action.job, .result = action.result, .record = action.record});
}

void scheduler_daemon::log_changes(domain_slot& slot) {
  const auto* state = slot.owner.committed();
  if (state != nullptr && state->set_aside != slot.logged_aside) {
    for (const auto& [worker, reason] : state->set_aside) {
      if (!slot.logged_aside.contains(worker)) {
        log(log_level::warning, "worker set aside", {{"worker", worker.value()}, {"reason", reason}});
      }
    }
    for (const auto& [worker, reason] : slot.logged_aside) {
      if (!state->set_aside.contains(worker)) {
        log(log_level::info, "worker in use again", {{"worker", worker.value()}});
      }
    }
    slot.logged_aside = state->set_aside;
  }
  const auto uncovered = slot.placement.engine().uncovered_guarantees();
  if (uncovered.size() != slot.logged_uncovered) {
    for (const auto& each : uncovered) {
      log(log_level::error, "a guarantee has no healthy space",
          {{"failure_domain", slot.id.value()},
           {"team", each.guarantee.team.value()},
           {"uncovered", std::int64_t{each.uncovered}},
           {"count", std::int64_t{each.count}}});
    }
    slot.logged_uncovered = uncovered.size();
  }
}

void scheduler_daemon::run(domain_slot& slot, const owner_announced& action) {
  log_changes(slot);
  const auto& engine = slot.placement.engine();
  std::uint32_t uncovered = 0;
  for (const auto& each : engine.uncovered_guarantees()) {
    uncovered += static_cast<std::uint32_t>(each.uncovered);
  }
  const auto* state = slot.owner.committed();
  const auto set_aside = state == nullptr ? std::size_t{0} : state->set_aside.size();
  mesh_.broadcast(
      peer::owner_announcement{.failure_domain = action.failure_domain,
                               .owned = action.current_epoch,
                               .address = options_.self.address,
                               .free_accelerators = static_cast<std::uint32_t>(engine.free_accelerators()),
                               .waiting_jobs = static_cast<std::uint32_t>(engine.waiting_jobs()),
                               .running_jobs = static_cast<std::uint32_t>(engine.running_jobs()),
                               .workers_set_aside = static_cast<std::uint32_t>(set_aside),
                               .uncovered_guarantees = uncovered});
}

void scheduler_daemon::run(domain_slot& slot, const owner_drained& /*action*/) {
  slot.drained = true;
  const bool all =
      std::all_of(domains_.begin(), domains_.end(), [](const auto& entry) { return entry.second->drained; });
  if (all) {
    log(log_level::info, "drained");
    exit_now(0);
  }
}

scheduler_daemon::domain_slot* scheduler_daemon::find(const failure_domain_id& domain) {
  const auto found = domains_.find(domain);
  return found == domains_.end() ? nullptr : found->second.get();
}

void scheduler_daemon::refuse(const vm_id& to, request_id id, const job_id& job,
                              const failure_domain_id& domain) {
  constexpr duration retry_after = std::chrono::seconds{1};
  mesh_.send_open(
      to, peer::job_answer{
              .id = id,
              .job = job,
              .result = {.result = verdict::not_run,
                         .reason = fmt::format("failure domain {} is not known here yet", domain.value()),
                         .retry_after = retry_after},
              .record = {}});
}

schedulers_changed scheduler_daemon::schedulers() const {
  schedulers_changed changed;
  for (const auto& member : cluster_.live()) {
    if (!member.draining) {
      changed.live.push_back(member.info.id.vm);
    }
  }
  return changed;
}

}  // namespace rhubarbpath

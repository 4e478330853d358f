#include "entry_daemon.hpp"

#include <fmt/format.h>

#include <utility>

#include "api_answers.hpp"
#include "rhubarbpath/transport/log.hpp"
#include "shared/scheduler_identity.hpp"

namespace rhubarbpath {

namespace {

constexpr duration connect_interval = std::chrono::milliseconds{500};
constexpr duration drain_check_interval = std::chrono::milliseconds{50};
/// After the view without this VM, registry entries move to the new registrars; then the process exits
/// even if a peer has not confirmed, because the surviving registrar of each range has them too.
constexpr duration transfer_patience = std::chrono::seconds{5};

daemon_base::options base_options(const daemon_settings& settings) {
  daemon_base::options opts{.self = {.id = {.vm = settings.self.vm, .incarnation = new_incarnation()},
                                     .failure_domain = settings.failure_domain,
                                     .address = settings.self.entry},
                            .http_address = settings.entry_http,
                            .keeps_view = true,
                            .seeds = {},
                            .same_kind = [](const vm_id& id) { return !is_scheduler(id); }};
  for (const auto& peer : settings.peers) {
    opts.seeds.push_back({.vm = peer.vm, .address = peer.entry});
  }
  return opts;
}

}  // namespace

entry_daemon::entry_daemon(const daemon_settings& settings)
    : daemon_base{settings, base_options(settings)},
      jobs_{loop_, mesh_, cluster_, store_, metrics_, random_, settings_.environment},
      services_{loop_, mesh_, cluster_, metrics_, random_, options_.self, [this] { finish_drain(); }},
      connect_timer_{loop_.run_every(connect_interval, [this] { connect_schedulers(); })} {
  schedulers_[scheduler_id(settings_.self.vm)] = settings_.self.scheduler;
  for (const auto& peer : settings_.peers) {
    schedulers_[scheduler_id(peer.vm)] = peer.scheduler;
  }
}

void entry_daemon::on_peer_message(const member_info& from, const peer::message& message) {
  if (!jobs_.on_message(from, message) && !services_.on_message(from, message)) {
    log(log_level::warning, "a peer sent a message that this daemon does not take",
        {{"peer", from.id.vm.value()}, {"type", std::string{peer::type_name(message)}}});
  }
}

void entry_daemon::on_peer_lost(const vm_id& vm) {
  jobs_.on_link_lost(vm);
  services_.on_link_lost(vm);
}

void entry_daemon::on_live(const live_list_changed& event) {
  services_.on_live(event);
}

void entry_daemon::on_view(const view_adopted& event) {
  services_.on_view(event);
}

void entry_daemon::on_document(std::shared_ptr<const environment_document> document,
                               const versioned_document& /*versioned*/) {
  jobs_.on_document(document);
  services_.on_document(std::move(document));
}

void entry_daemon::on_vm_list(const std::vector<listed_vm>& listed) {
  services_.on_vm_list(listed);
  for (const auto& vm : listed) {
    if (!vm.scheduler.empty()) {
      schedulers_[scheduler_id(vm_id{vm.id})] = vm.scheduler;
    }
  }
}

std::optional<vm_list_entry> entry_daemon::peer_hint(const listed_vm& vm) const {
  return vm.entry.empty() ? std::nullopt
                          : std::optional{vm_list_entry{.vm = vm_id{vm.id}, .address = vm.entry}};
}

void entry_daemon::connect_schedulers() {
  for (const auto& [vm, address] : schedulers_) {
    mesh_.connect(vm, address);
  }
}

void entry_daemon::on_http(const http_request& request, const http_responder& reply) {
  constexpr std::string_view jobs = "/v1/jobs";
  constexpr std::string_view services = "/v1/services/";
  const std::string_view path = request.path;
  if (path == jobs || path.starts_with("/v1/jobs/")) {
    jobs_.handle(request, path.substr(jobs.size()), reply);
  } else if (path.starts_with(services)) {
    services_.handle(request, path.substr(services.size()), reply);
  } else if (path == "/v1/status") {
    constexpr int ok = 200;
    reply.send(
        {.status = ok, .headers = {{"Content-Type", "application/json"}}, .body = encode_status(status())});
  } else {
    reply.send(refusal(answer_kind::unknown, fmt::format("there is nothing at {}", request.path)));
  }
}

entry_status entry_daemon::status() const {
  const auto& view = cluster_.current_view();
  return {.vm = settings_.self.vm,
          .environment = settings_.environment,
          .version = cluster_.document().version,
          .digest = cluster_.document().digest,
          .view = view.number,
          .view_members = static_cast<int>(view.members.size()),
          .draining = draining(),
          .store_reachable = !store_.in_outage(),
          .failure_domains = jobs_.failure_domains(),
          .services = services_.services()};
}

void entry_daemon::on_drain() {
  services_.drain();
}

void entry_daemon::finish_drain() {
  drain_until_ = loop_.now() + transfer_patience;
  drain_timer_ = loop_.run_every(drain_check_interval, [this] {
    if (jobs_.in_progress() != 0 || services_.in_progress() != 0) {
      return;
    }
    if (!std::exchange(left_, true)) {
      cluster_.leave();
      return;
    }
    if (services_.untransferred_ranges() == 0 || loop_.now() > drain_until_) {
      drain_timer_.cancel();
      log(log_level::info, "drained",
          {{"untransferred_ranges", static_cast<std::int64_t>(services_.untransferred_ranges())}});
      exit_now(0);
    }
  });
}

void entry_daemon::update_metrics() {
  for (const auto& service : services_.services()) {
    const auto labels = fmt::format("service=\"{}\"", service.id.value());
    metrics_.set("rhubarb_idle_slots", labels, service.idle_slots);
    metrics_.set("rhubarb_queued_requests", labels, service.queued_requests);
    metrics_.set("rhubarb_targets_set_aside", labels, service.targets_set_aside);
  }
  metrics_.set("rhubarb_view", {}, static_cast<double>(cluster_.current_view().number.value()));
  metrics_.set("rhubarb_job_calls_in_progress", {}, static_cast<double>(jobs_.in_progress()));
}

}  // namespace rhubarbpath

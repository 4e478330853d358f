#include "daemon_base.hpp"

#include <fmt/format.h>
#include <signal.h>

#include <chrono>
#include <utility>

#include "rhubarbpath/protocol/document_yaml.hpp"
#include "rhubarbpath/transport/log.hpp"

namespace rhubarbpath {

namespace {

constexpr duration vm_list_interval = std::chrono::seconds{1};
constexpr duration vm_list_timeout = std::chrono::seconds{1};
/// Time in which the last answers and the news of leaving reach the network before the loop ends.
constexpr duration linger = std::chrono::milliseconds{100};

/// A quarter of the memory that a daemon may take.
constexpr std::uint64_t max_client_bytes = (std::uint64_t{128} << 20U) / 4;

http_server::options server_options(const std::string& address, std::shared_ptr<client_limits> limits) {
  const auto parsed = parse_address(address);
  http_server::options opts;
  opts.limits = std::move(limits);
  if (parsed.ok()) {
    opts.address = parsed->host;
    opts.port = parsed->port;
  }
  return opts;
}

http_response text_response(int status, std::string body) {
  return {.status = status, .headers = {{"Content-Type", "text/plain"}}, .body = std::move(body)};
}

}  // namespace

incarnation new_incarnation() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return incarnation{
      static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count())};
}

daemon_base::daemon_base(const daemon_settings& settings, options opts)
    : settings_{settings},
      options_{std::move(opts)},
      random_{std::random_device{}()},
      store_http_{loop_, {}},
      store_{loop_,
             store_http_,
             settings_.store,
             {.owner = options_.self.id.vm, .owner_incarnation = options_.self.id.incarnation},
             random_},
      mesh_{loop_,
            options_.self,
            metrics_,
            {.on_message =
                 [this](const member_info& from, const peer::message& message) {
                   if (!cluster_.on_message(from, message)) {
                     on_peer_message(from, message);
                   }
                 },
             .on_lost = [this](const vm_id& vm) { on_peer_lost(vm); }}},
      cluster_{loop_,
               mesh_,
               store_,
               random_,
               {.self = options_.self,
                .environment = settings_.environment,
                .keeps_view = options_.keeps_view,
                .seeds = options_.seeds,
                .same_kind = options_.same_kind},
               {.on_live = [this](const live_list_changed& event) { on_live(event); },
                .on_view = [this](const view_adopted& event) { on_view(event); },
                .on_document = [this](const versioned_document& document) { adopt(document); },
                .on_superseded =
                    [this] {
                      log(log_level::error, "a newer process has this VM's id");
                      exit_now(1);
                    }}},
      limits_{std::make_shared<client_limits>(
          loop_,
          client_limits::options{
              .max_bytes = max_client_bytes,
              .own_connections =
                  [this] { return store_http_.open_connections() + mesh_.links() + own_connections(); },
              .count =
                  [this](std::string_view reason) {
                    metrics_.add("rhubarb_clients_limited_total", fmt::format("reason=\"{}\"", reason));
                  }})},
      http_{
          loop_, server_options(options_.http_address, limits_),
          [this](const http_request& request, const http_responder& reply) { handle_http(request, reply); }} {
}

int daemon_base::serve() {
  for (const auto& status : {http_.listen(), mesh_.listen()}) {
    if (!status.ok()) {
      log(log_level::error, std::string{status.message()});
      return 1;
    }
  }
  loop_.on_signal(SIGTERM, [this] { begin_drain(); });
  loop_.on_signal(SIGINT, [this] { begin_drain(); });
  vm_list_timer_ = loop_.run_every(vm_list_interval, [this] { poll_vm_list(); });
  cluster_.start();
  log(log_level::info, "daemon started",
      {{"http", options_.http_address},
       {"peer", options_.self.address},
       {"failure_domain", options_.self.failure_domain.value()}});
  loop_.run();
  return exit_status_;
}

void daemon_base::exit_now(int status) {
  exit_status_ = status;
  cluster_.leave();
  exit_timer_ = loop_.run_after(linger, [this] { loop_.stop(); });
}

void daemon_base::handle_http(const http_request& request, const http_responder& reply) {
  constexpr int ok = 200;
  constexpr int unavailable = 503;
  if (request.path == "/healthz") {
    reply.send(text_response(ok, "ok\n"));
  } else if (request.path == "/readyz") {
    const bool ready = document_known_ && !draining_;
    reply.send(text_response(ready ? ok : unavailable,
                             ready ? "ready\n" : (draining_ ? "draining\n" : "no document in force\n")));
  } else if (request.path == "/metrics") {
    metrics_.set("rhubarb_document_version", {}, static_cast<double>(cluster_.document().version.value()));
    metrics_.set("rhubarb_store_outage", {}, store_.in_outage() ? 1 : 0);
    metrics_.set("rhubarb_store_requests", {}, static_cast<double>(store_.sends()));
    metrics_.set("rhubarb_live_members", {}, static_cast<double>(cluster_.live().size()));
    update_metrics();
    reply.send({.status = ok,
                .headers = {{"Content-Type", "text/plain; version=0.0.4"}},
                .body = metrics_.prometheus_text()});
  } else {
    on_http(request, reply);
  }
}

void daemon_base::adopt(const versioned_document& versioned) {
  auto document = read_document(versioned.bytes, settings_.environment, "document");
  if (!document.ok()) {
    log(log_level::error, "the promoted document is malformed; the one before stays in force",
        {{"reason", std::string{document.status().message()}}});
    return;
  }
  document_known_ = true;
  on_document(std::make_shared<const environment_document>(*std::move(document)), versioned);
}

void daemon_base::poll_vm_list() {
  const http_request request{.method = "GET", .path = "/vms", .query = {}, .headers = {}, .body = {}};
  store_http_.call(settings_.store, request, vm_list_timeout, [this](const http_result& result) {
    const auto* response = std::get_if<http_response>(&result);
    constexpr int ok = 200;
    if (response == nullptr || response->status != ok) {
      return;
    }
    const auto listed = parse_vm_list(response->body);
    std::vector<vm_list_entry> hints;
    for (const auto& vm : listed) {
      if (auto hint = peer_hint(vm)) {
        hints.push_back(*std::move(hint));
      }
    }
    cluster_.on_vm_list(hints);
    on_vm_list(listed);
  });
}

void daemon_base::begin_drain() {
  if (std::exchange(draining_, true)) {
    return;
  }
  log(log_level::info, "draining");
  cluster_.set_draining();
  on_drain();
}

}  // namespace rhubarbpath

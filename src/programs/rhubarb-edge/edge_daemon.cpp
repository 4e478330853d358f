#include "edge_daemon.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "platform/settings.hpp"
#include "rhubarbpath/protocol/peer_sightings.hpp"
#include "rhubarbpath/transport/address.hpp"
#include "rhubarbpath/transport/http_status.hpp"
#include "rhubarbpath/transport/log.hpp"
#include "rhubarbpath/transport/wall_clock.hpp"

namespace rhubarbpath::edge {

namespace {

constexpr duration election_interval{std::chrono::milliseconds{50}};
/// Bounds how long a silent watch of the owner row goes unnoticed. Other VMs detect a lost owner too, so
/// the wait need not be short.
constexpr std::chrono::milliseconds ownership_watch_wait{3000};
constexpr duration retry_pause{std::chrono::milliseconds{200}};
constexpr duration greet_interval{std::chrono::seconds{2}};
constexpr duration greet_timeout{std::chrono::milliseconds{500}};
/// Peer lists reach all VMs within a few greetings after a start.
constexpr duration peer_discovery_time{std::chrono::seconds{8}};
/// The settings file is polled because it may change without a SIGHUP.
constexpr duration settings_check_interval{std::chrono::seconds{1}};
/// The load balancer removes a VM after two failed readiness probes, one second apart, and sends it new
/// connections until then.
constexpr duration drain_period{std::chrono::milliseconds{2600}};
/// Part of the stop grace period that is reserved for closing down.
constexpr duration stop_margin{std::chrono::milliseconds{700}};
/// The VM reports that it is not ready when the store has not answered for this long, so that callers are
/// sent to other VMs.
constexpr duration max_store_silence{std::chrono::milliseconds{2500}};
/// A loop that is late by this much is logged, because its VM then acts on outdated knowledge.
constexpr duration reported_lateness{std::chrono::milliseconds{500}};
constexpr std::size_t max_body_bytes = 4U << 20U;
/// Readiness probes and readers of metrics send none.
constexpr std::size_t max_probe_body_bytes = 4U << 10U;
/// Shares of the bounds on what clients make the process keep that only one server uses. The rest is for all.
constexpr double caller_share = 0.25;
constexpr double peer_share = 0.25;
constexpr double probe_share = 0.0625;
/// Share of the store's rate for callers. The rest is for what the VMs call it for themselves.
constexpr double caller_store_share = 0.75;

/// A configuration of 1,600 queues takes 0.4 s over a link of 10 Mbit/s that carries nothing else.
constexpr duration max_transfer_extension{std::chrono::seconds{4}};

http_client::options client_options(int connections, duration transfer_extension) {
  return {.max_connections_per_address = connections,
          .max_idle_connections_per_address = connections,
          // Opening a connection has a cost, so idle ones are kept; a silent one is detected by the first
          // timeout of a call on it.
          .max_idle_age = std::chrono::seconds{30},
          .max_body_bytes = max_body_bytes,
          .max_transfer_extension = transfer_extension};
}

}  // namespace

edge_daemon::edge_daemon(event_loop& loop, vm_settings settings, std::string settings_file)
    : loop_{loop},
      settings_{std::move(settings)},
      settings_file_{std::move(settings_file)},
      random_{static_cast<std::uint64_t>(wall_clock().count()) ^
              std::hash<std::string>{}(settings_.vm.value())},
      platform_client_{loop, client_options(48, max_transfer_extension)},
      worker_client_{loop, client_options(8, duration::zero())},
      peers_{{.self = settings_.peer_address, .processor_cores = settings_.processor_cores}},
      store_{loop,      platform_client_,
             peers_,    random_,
             counters_, {.store_address = settings_.store_address, .self = settings_.peer_address}},
      config_{{.loop = loop,
               .store = store_,
               .client = platform_client_,
               .peers = peers_,
               .random = random_,
               .counters = counters_},
              settings_.peer_address,
              settings_.config_apply_limit,
              [this](const config_feed::pointer& config) {
                limit_bodies(*config);
                if (session_ != nullptr) {
                  session_->set_config(config);
                }
              }},
      election_{{.self = settings_.vm}, random_},
      callers_{{.loop = loop,
                .store = store_,
                .peers = platform_client_,
                .counters = counters_,
                .config = config_,
                .own_session = [this] { return session_.get(); },
                .owner_address = [this] { return owner_address_; },
                .max_row_bytes = settings_.max_row_bytes,
                .max_read_rate = settings_.store_reads_per_second * caller_store_share,
                .max_write_rate = settings_.store_writes_per_second * caller_store_share,
                .full_teams = [this]() -> const std::set<team_id>& { return full_teams_; },
                .stopping = [this] { return stopping_; }}},
      limits_{std::make_shared<client_limits>(
          loop,
          client_limits::options{
              .max_bytes = settings_.max_client_bytes,
              .max_sockets = settings_.max_sockets,
              .own_connections =
                  [this] { return platform_client_.open_connections() + worker_client_.open_connections(); },
              .count =
                  [this](std::string_view reason) {
                    counters_.add("rhubarb_clients_limited_total", fmt::format("reason=\"{}\"", reason));
                  }})},
      incarnation_{static_cast<std::uint64_t>(wall_clock().count())},
      started_at_{loop.now()},
      last_tick_{started_at_} {}

absl::Status edge_daemon::start() {
  const auto start_server = [this](std::unique_ptr<http_server>& server, const std::string& address,
                                   double share, std::size_t body_bytes,
                                   http_server::handler handler) -> absl::Status {
    const auto target = parse_address(address);
    if (!target.ok()) {
      return target.status();
    }
    server = std::make_unique<http_server>(loop_,
                                           http_server::options{.address = target->host,
                                                                .port = target->port,
                                                                .max_body_bytes = body_bytes,
                                                                .limits = limits_,
                                                                .reserved_share = share},
                                           std::move(handler));
    return server->listen();
  };
  for (const auto& status :
       {start_server(caller_server_, settings_.caller_address, caller_share, fleet_config{}.max_body_bytes,
                     [this](const http_request&request, const http_responder&responder) {
                       callers_.handle(request, responder);
                     }),
        start_server(ready_server_, settings_.ready_address, probe_share, max_probe_body_bytes,
                     [this](const http_request&, const http_responder&responder) { serve_ready(responder); }),
        start_server(peer_server_, settings_.peer_address, peer_share, max_body_bytes,
                     [this](const http_request&request, const http_responder&responder) {
                       serve_peer(request, responder);
                     }),
        start_server(
            metrics_server_, settings_.metrics_address, probe_share, max_probe_body_bytes,
            [this](const http_request&, const http_responder&responder) {
              const auto totals = logged();
              counters_.set("rhubarb_log_lines", {}, static_cast<double>(totals.lines));
              counters_.set("rhubarb_log_bytes", {}, static_cast<double>(totals.bytes));
              counters_.set("rhubarb_log_dropped_lines", {}, static_cast<double>(totals.dropped_lines));
              responder.send({.status = http_status::ok, .headers = {}, .body = counters_.prometheus_text()});
            })}) {
    if (!status.ok()) {
      return status;
    }
  }
  peers_.set_seeds(settings_.seeds, loop_.now());
  config_.start();
  loop_.on_signal(SIGTERM, [this] { begin_stop(); });
  loop_.on_signal(SIGINT, [this] { begin_stop(); });
  loop_.on_signal(SIGHUP, [this] { check_settings(); });
  settings_timer_ = loop_.run_every(settings_check_interval, [this] { check_settings(); });
  greet_timer_ = loop_.run_every(greet_interval, [this] { greet_peers(); });
  greet_peers();
  election_tick();
  read_ownership();
  election_timer_ = loop_.run_every(election_interval, [this] { election_tick(); });
  return absl::OkStatus();
}

void edge_daemon::limit_bodies(const fleet_config& config) {
  if (caller_server_ != nullptr) {
    caller_server_->set_max_body_bytes(std::min<std::uint64_t>(config.max_body_bytes, max_body_bytes));
  }
}

// ---- peers ----

void edge_daemon::greet_peers() {
  if (stopping_) {
    return;
  }
  auto candidates = peers_.candidates(random_, loop_.now());
  // A constant number of greetings per interval keeps the cost independent of the fleet's size.
  constexpr std::size_t greetings_per_period = 2;
  candidates.resize(std::min(candidates.size(), greetings_per_period));
  for (const auto& address : candidates) {
    greet(address);
  }
}

void edge_daemon::greet(const std::string& address) {
  const http_request greeting{.method = "POST",
                              .path = "/greet",
                              .query = {},
                              .headers = {{std::string{peer_header}, settings_.peer_address}},
                              .body = encode_sightings(peers_.sightings(loop_.now()))};
  platform_client_.call(address, greeting, greet_timeout, [this, address](const http_result& result) {
    const auto* response = std::get_if<http_response>(&result);
    if (response == nullptr) {
      peers_.failed(address, loop_.now());
      platform_client_.drop_idle(address);
      return;
    }
    peers_.heard_from(address, loop_.now());
    merge_sightings(response->body);
  });
}

void edge_daemon::merge_sightings(const std::string& body) {
  peers_.merge(decode_sightings(body), loop_.now());
}

void edge_daemon::serve_peer(const http_request& request, const http_responder& responder) {
  if (request.path.starts_with(relay_path)) {
    counters_.add("rhubarb_relayed_calls_total");
    store_.relay(request, responder);
    return;
  }
  if (request.path.starts_with(owner_path)) {
    callers_.handle_peer(request, responder);
    return;
  }
  if (request.path == config_path) {
    peers_.heard_from(std::string{header_value(request.headers, peer_header)}, loop_.now());
    config_.serve_peer(request, responder);
    return;
  }
  if (request.path == "/greet") {
    merge_sightings(request.body);
    peers_.heard_from(std::string{header_value(request.headers, peer_header)}, loop_.now());
    responder.send(
        {.status = http_status::ok, .headers = {}, .body = encode_sightings(peers_.sightings(loop_.now()))});
    return;
  }
  responder.send({.status = http_status::not_found, .headers = {}, .body = {}});
}

bool edge_daemon::ready() const {
  return !stopping_ && config_.current() != nullptr && loop_.now() - store_.last_answer() < max_store_silence;
}

void edge_daemon::serve_ready(const http_responder& responder) const {
  responder.send(
      {.status = ready() ? http_status::ok : http_status::service_unavailable, .headers = {}, .body = {}});
}

// ---- ownership ----

void edge_daemon::read_ownership() {
  store_.call(kv_list{.prefix = keys::ownership_prefix}, [this](const kv_result& result) {
    if (const auto* items = std::get_if<kv_items>(&result)) {
      ownership_revision_ = items->as_of;
      ownership_ = {};
      owner_address_.clear();
      full_teams_.clear();
      apply_ownership(items->items);
      watch_ownership();
      return;
    }
    ownership_timer_ = loop_.run_after(retry_pause, [this] { read_ownership(); });
  });
}

void edge_daemon::watch_ownership() {
  kv_watch request{
      .prefix = keys::ownership_prefix, .after = ownership_revision_, .wait = ownership_watch_wait};
  store_.call(std::move(request), [this](const kv_result& result) {
    const auto* events = std::get_if<kv_events>(&result);
    if (events == nullptr) {
      ownership_timer_ = loop_.run_after(retry_pause, [this] { read_ownership(); });
      return;
    }
    ownership_revision_ = std::max(ownership_revision_, events->as_of);
    std::vector<kv_item> items;
    for (const auto& event : events->events) {
      if (event.deleted && event.item.key == keys::owner) {
        ownership_.owner.reset();
        ownership_.owner_revision = revision{};
        owner_address_.clear();
      } else if (!event.deleted) {
        items.push_back(event.item);
      }
    }
    apply_ownership(items);
    watch_ownership();
  });
}

void edge_daemon::apply_ownership(const std::vector<kv_item>& items) {
  for (const auto& item : items) {
    if (item.key == keys::term) {
      std::uint64_t term = 0;
      if (!absl::SimpleAtoi(item.value, &term)) {
        log(log_level::error, "term_row_unreadable", {{"value", item.value}});
      }
      ownership_.term = owner_term{term};
      ownership_.term_revision = item.changed;
    } else if (item.key == keys::full_teams) {
      auto teams = decode_team_ids(item.value);
      if (!teams.ok()) {
        log(log_level::error, "team_row_unreadable", {{"reason", std::string{teams.status().message()}}});
        continue;
      }
      full_teams_ = *std::move(teams);
    } else if (item.key == keys::owner) {
      const auto owner = decode_owner(item.value);
      if (!owner.ok()) {
        log(log_level::error, "owner_row_unreadable", {{"reason", std::string{owner.status().message()}}});
        continue;
      }
      ownership_.owner = owner->vm;
      ownership_.owner_revision = item.changed;
      if (std::exchange(owner_address_, owner->peer_address) != owner->peer_address) {
        log(log_level::info, "owner_seen",
            {{"owner", owner->vm.value()}, {"term", static_cast<std::int64_t>(owner->term.value())}});
      }
    }
  }
  if (config_.current() != nullptr) {
    election_.observed(ownership_, boot_clock_now());
    run_election();
  }
}

void edge_daemon::measure_lateness() {
  const auto now = loop_.now();
  const auto late = now - std::exchange(last_tick_, now) - election_interval;
  counters_.observe("rhubarb_loop_delay_seconds", {}, std::max(late, duration::zero()));
  if (late > reported_lateness) {
    log(log_level::warning, "loop_late",
        {{"late_ms",
          static_cast<std::int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(late).count())}});
  }
}

void edge_daemon::election_tick() {
  measure_lateness();
  if (config_.current() == nullptr) {
    // No VM can claim ownership before the first configuration. If the delay that lets larger VMs claim
    // first ran now, it would expire before the first claim and have no effect.
    return;
  }
  const auto now = loop_.now();
  const bool peers_complete = now - started_at_ > peer_discovery_time;
  const auto largest = peers_.largest_processor(now);
  election_.set_claim_delay(claim_delay(settings_.processor_cores, largest, peers_complete));
  election_.set_larger_vm_known(much_larger_processor(largest, settings_.processor_cores), boot_clock_now());
  if (ownership_revision_ != revision{} && !std::exchange(initial_ownership_reported_, true)) {
    election_.observed(ownership_, boot_clock_now());
  }
  election_.tick(boot_clock_now());
  run_election();
}

void edge_daemon::run_election() {
  if (std::exchange(running_election_, true)) {
    return;
  }
  for (auto actions = election_.take_actions(); !actions.empty(); actions = election_.take_actions()) {
    for (const auto& action : actions) {
      std::visit([this](const auto& each) { perform(each); }, action);
    }
  }
  running_election_ = false;
}

void edge_daemon::perform(const request_lease& action) {
  const auto requested_at = boot_clock_now();
  store_.call(kv_grant{.ttl = action.ttl}, [this, requested_at](const kv_result& result) {
    if (const auto* granted = std::get_if<kv_granted>(&result)) {
      election_.lease_granted(granted->lease, requested_at, boot_clock_now());
    } else {
      election_.lease_failed(boot_clock_now());
    }
    run_election();
  });
}

void edge_daemon::perform(const rhubarbpath::read_ownership& /*action*/) {
  store_.call(kv_list{.prefix = keys::ownership_prefix}, [this](const kv_result& result) {
    const auto* items = std::get_if<kv_items>(&result);
    if (items == nullptr || config_.current() == nullptr) {
      election_.read_failed(boot_clock_now());
      run_election();
      return;
    }
    ownership_ = {};
    apply_ownership(items->items);
  });
}

void edge_daemon::perform(const claim_ownership& action) {
  const owner_row row{.vm = settings_.vm,
                      .process = incarnation_,
                      .term = action.term,
                      .peer_address = settings_.peer_address};
  kv_commit commit{.expected = {{.key = keys::owner, .changed = action.expected_owner_revision},
                                {.key = keys::term, .changed = action.expected_term_revision}},
                   .puts = {{.key = keys::owner, .value = encode_owner(row), .lease = action.lease},
                            {.key = keys::term, .value = absl::StrCat(action.term.value())}},
                   .erases = {}};
  store_.call(std::move(commit), [this](const kv_result& result) {
    if (const auto* committed = std::get_if<kv_committed>(&result)) {
      election_.claimed(committed->at, boot_clock_now());
    } else {
      election_.claim_failed(boot_clock_now());
    }
    run_election();
  });
}

void edge_daemon::perform(const renew_ownership& action) {
  const auto requested_at = boot_clock_now();
  store_.call(kv_renew{.lease = action.lease}, [this, requested_at](const kv_result& result) {
    if (std::holds_alternative<kv_granted>(result)) {
      election_.renewed(requested_at, boot_clock_now());
    } else {
      election_.renew_failed(std::holds_alternative<kv_lease_not_found>(result), boot_clock_now());
    }
    run_election();
  });
}

void edge_daemon::perform(const release_ownership& action) {
  store_.call(kv_release{.lease = action.lease}, [](const kv_result& result) {
    if (std::holds_alternative<kv_unknown>(result)) {
      // The lease expires by itself.
      log(log_level::info, "lease_release_unconfirmed", {});
    }
  });
}

void edge_daemon::perform(const term_began& action) {
  log(log_level::info, "term_began",
      {{"term", static_cast<std::int64_t>(action.term.value())},
       {"revision", static_cast<std::int64_t>(action.owner_row.value())}});
  counters_.add("rhubarb_terms_total");
  job_scheduler::options scheduler;
  scheduler.max_lease = settings_.longest_worker_lease;
  scheduler.worker_lease = std::min(scheduler.worker_lease, settings_.longest_worker_lease);
  scheduler.stop_timeout = settings_.task_stop_timeout;
  scheduler.heartbeat_interval = settings_.worker_heartbeat_interval;
  scheduler.drain_time = settings_.worker_drain_time;
  scheduler.remote_factor = settings_.remote_factor;
  scheduler.max_tasks = settings_.max_tasks;
  scheduler.max_work_bytes = settings_.max_work_bytes;
  const auto term = action.term;
  session_ = std::make_shared<owner_session>(
      owner_session::options{.term = term,
                             .owner_row = action.owner_row,
                             .scheduler = scheduler,
                             .adviser_address = settings_.adviser_address,
                             .max_row_bytes = settings_.max_row_bytes,
                             .evacuation_limit = settings_.evacuation_limit},
      owner_session::dependencies{
          .loop = loop_,
          .store = store_,
          .workers = worker_client_,
          .counters = counters_,
          .config = config_.current(),
          .may_send_orders = [this] { return election_.owns(boot_clock_now()); },
          .config_may_be_outdated =
              [this] { return config_.standing() == version_tracker::standing::unconfirmed; },
          .superseded =
              [this, term] {
                if (session_ != nullptr && session_->term() == term) {
                  election_.superseded(boot_clock_now());
                  run_election();
                }
              }});
  session_->start();
}

void edge_daemon::perform(const term_ended& action) {
  log(log_level::warning, "term_ended",
      {{"term", static_cast<std::int64_t>(action.term.value())}, {"reason", action.reason}});
  if (session_ != nullptr) {
    session_->stop();
    // A callback of the session may be on the call stack, so the session is destroyed later.
    loop_.post([ended_session = std::move(session_)] {});
    session_.reset();
  }
}

// ---- settings and stop ----

void edge_daemon::check_settings() {
  std::ifstream file{settings_file_};
  std::stringstream text;
  text << file.rdbuf();
  auto settings = platform::decode_settings(text.str());
  if (!settings.ok()) {
    log(log_level::error, "settings_rejected", {{"reason", std::string{settings.status().message()}}});
    return;
  }
  if (*settings == settings_) {
    return;
  }
  // This VM's own addresses are fixed for the life of the process; other settings take effect immediately.
  log(log_level::info, "settings_reloaded", {{"store", settings->store_address}});
  store_.set_store_address(settings->store_address);
  peers_.set_seeds(settings->seeds, loop_.now());
  settings_ = *std::move(settings);
}

void edge_daemon::begin_stop() {
  if (std::exchange(stopping_, true)) {
    return;
  }
  log(log_level::info, "stopping",
      {{"open_calls", static_cast<std::int64_t>(caller_server_->in_progress())}});
  stop_deadline_ = loop_.now() + settings_.stop_grace - stop_margin;
  election_.resign(boot_clock_now());
  run_election();
  stop_timer_ = loop_.run_after(drain_period, [this] { finish_stop(); });
}

void edge_daemon::finish_stop() {
  const auto open_calls = caller_server_->in_progress() + peer_server_->in_progress();
  if (open_calls > 0 && loop_.now() < stop_deadline_) {
    constexpr duration recheck_interval{std::chrono::milliseconds{50}};
    stop_timer_ = loop_.run_after(recheck_interval, [this] { finish_stop(); });
    return;
  }
  log(log_level::info, "stopped", {{"open_calls", static_cast<std::int64_t>(open_calls)}});
  loop_.stop();
}

}  // namespace rhubarbpath::edge

#include "worker_service.hpp"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "rhubarbpath/protocol/worker_codec.hpp"
#include "rhubarbpath/transport/address.hpp"

namespace rhubarbpath::standin {

namespace {

constexpr duration clock_period = std::chrono::milliseconds{20};
constexpr std::uint64_t hundred_percent = 100;

std::unique_ptr<http_server> make_server(event_loop& loop, const worker_spec& spec,
                                         http_server::handler handle) {
  const auto address = parse_address(spec.address).value_or(host_port{});
  return std::make_unique<http_server>(
      loop, http_server::options{.address = address.host, .port = address.port}, std::move(handle));
}

}  // namespace

worker_service::worker_service(event_loop& loop, options opts, fault_settings& faults, random_source& random,
                               std::vector<request_record>& history)
    : loop_{loop},
      options_{std::move(opts)},
      faults_{faults},
      random_{random},
      history_{history},
      model_{options_.spec},
      server_{make_server(
          loop, options_.spec,
          [this](const http_request& request, const http_responder& reply) { handle(request, reply); })},
      clock_timer_{loop.run_every(clock_period, [this] {
        model_.advance(loop_.now());
        if (!this->faults().paused && !paused_requests_.empty()) {
          auto waiting = std::exchange(paused_requests_, {});
          for (const auto& [request, reply] : waiting) {
            serve(request, reply);
          }
        }
      })} {}

const worker_faults& worker_service::faults() const {
  static const worker_faults none;
  const auto found = faults_.workers.find(options_.spec.id);
  return found == faults_.workers.end() ? none : found->second;
}

void worker_service::handle(const http_request& request, const http_responder& reply) {
  if (faults().paused) {
    paused_requests_.emplace_back(request, reply);
  } else if (request.connection <= last_silenced_connection_) {
    silenced_responders_.push_back(reply);
  } else {
    serve(request, reply);
  }
}

void worker_service::serve(const http_request& request, const http_responder& reply) {
  if (faults().down) {
    refuse(reply, "the worker is down");
  } else if (request.path == "/ping") {
    send(reply, 200, "{}");
  } else if (request.path == "/request" && request.method == "POST") {
    on_service_request(request, reply);
  } else if (request.path.starts_with("/tasks")) {
    on_task_call(request, reply);
  } else {
    send(reply, 404, "{\"reason\":\"unknown path\"}");
  }
}

void worker_service::on_task_call(const http_request& request, const http_responder& reply) {
  model_.set_fail_all_tasks(faults().fail_tasks);
  if (request.path == "/tasks" && request.method == "GET") {
    model_.advance(loop_.now());
    send(reply, 200, encode_worker_report(model_.report()));
    return;
  }
  const auto command = decode_worker_command(request.path, request.body);
  if (!command.ok()) {
    send(reply, 400, nlohmann::json{{"reason", std::string{command.status().message()}}}.dump());
    return;
  }
  const auto report = model_.handle(command->sender_epoch, command->command, loop_.now());
  send(reply, report.refused_older_epoch ? 409 : 200, encode_worker_report(report));
}

void worker_service::on_service_request(const http_request& request, const http_responder& reply) {
  if (busy_slots_ >= options_.slots) {
    refuse(reply, "all slots are busy");
    return;
  }
  ++busy_slots_;
  const auto index = history_.size();
  history_.push_back({.worker = options_.spec.id,
                      .key = std::string{header_value(request.headers, "Idempotency-Key")},
                      .request_class = std::string{header_value(request.headers, "Rhubarb-Class")},
                      .body = request.body,
                      .started = loop_.now(),
                      .ended = {}});
  running_request_timers_[index] =
      loop_.run_after(random_.jittered(options_.service_time) + faults().slow,
                      [this, index, reply] { finish_service_request(index, reply); });
}

void worker_service::finish_service_request(std::size_t index, const http_responder& reply) {
  // Keeps the timer alive until this callback, which it owns, returns.
  const auto timer = std::exchange(running_request_timers_[index], {});
  running_request_timers_.erase(index);
  --busy_slots_;
  auto& record = history_[index];
  record.ended = loop_.now();
  if (faults().fail_requests) {
    send(reply, 500, "{\"reason\":\"the worker fails every request\"}");
    return;
  }
  auto body =
      nlohmann::json{{"worker", record.worker.value()}, {"key", record.key}, {"echo", record.body}}.dump();
  if (random_.below(hundred_percent) < static_cast<std::uint64_t>(faults().cut_answers_percent)) {
    const auto full_length = std::to_string(body.size());
    reply.send({.status = 200,
                .headers = {{"Content-Length", full_length}, {"Connection", "close"}},
                .body = body.substr(0, body.size() / 2)});
    return;
  }
  send(reply, 200, std::move(body));
}

void worker_service::refuse(const http_responder& reply, std::string_view reason) {
  reply.send({.status = 503,
              .headers = {{"Rhubarb-Refused", "true"}},
              .body = fmt::format("{{\"reason\":\"{}\"}}", reason)});
}

void worker_service::send(const http_responder& reply, int status, std::string body) {
  http_headers headers{{"Content-Type", "application/json"}};
  if (faults().leaving) {
    headers.emplace_back("Rhubarb-Leaving", "true");
  }
  reply.send({.status = status, .headers = std::move(headers), .body = std::move(body)});
}

}  // namespace rhubarbpath::standin

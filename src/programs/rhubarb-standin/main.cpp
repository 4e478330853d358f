#include <fmt/format.h>
#include <signal.h>
#include <tclap/CmdLine.h>

#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "platform_service.hpp"
#include "rhubarbpath/protocol/document_yaml.hpp"
#include "rhubarbpath/transport/log.hpp"
#include "worker_service.hpp"

namespace rhubarbpath::standin {

namespace {

struct settings {
  std::string document;
  std::uint16_t port{0};
  duration service_time{};
  std::uint64_t seed{0};
};

settings parse_arguments(int argc, char** argv) {
  TCLAP::CmdLine line{
      "Stand-ins for the platform: key-value store, VM list and workers. Example: rhubarb-standin "
      "--document examples/demo.yaml --port 20000",
      ' ', "0.1.0"};
  const TCLAP::ValueArg<std::string> document{"",     "document", "document that names the workers", true, "",
                                              "FILE", line};
  const TCLAP::ValueArg<std::uint16_t> port{"",     "port", "port of the store on 127.0.0.1", false, 20000,
                                            "PORT", line};
  const TCLAP::ValueArg<int> service_ms{
      "", "service-ms", "mean time of a service request in milliseconds", false, 20, "MS", line};
  const TCLAP::ValueArg<std::uint64_t> seed{"", "seed", "seed of the random source", false, 1, "N", line};
  line.parse(argc, argv);
  return {.document = document.getValue(),
          .port = port.getValue(),
          .service_time = std::chrono::milliseconds{service_ms.getValue()},
          .seed = seed.getValue()};
}

absl::StatusOr<environment_document> load_document(const std::string& path) {
  std::ifstream file{path};
  if (!file) {
    return absl::NotFoundError(fmt::format("cannot open {}", path));
  }
  const std::string text{std::istreambuf_iterator<char>{file}, {}};
  return read_document(text, "trial", path);
}

/// Owns the platform service and the workers that this process simulates.
class platform {
 public:
  platform(event_loop& loop, const settings& arguments, const environment_document& document)
      : random_{arguments.seed},
        loop_{loop},
        service_{
            loop,
            "127.0.0.1",
            arguments.port,
            faults_,
            random_,
            [this](const http_request& request, const http_responder& reply) { handle(request, reply); }} {
    for (const auto& spec : document.workers) {
      worker_ids_.push_back(spec.id);
      int slots = worker_service::options{}.slots;
      for (const auto& service : document.services) {
        slots = service.id == spec.service ? service.slots_per_target : slots;
      }
      workers_.push_back(std::make_unique<worker_service>(
          loop, worker_service::options{.spec = spec, .slots = slots, .service_time = arguments.service_time},
          faults_, random_, requests_));
    }
  }

  absl::Status listen() {
    for (const auto& worker : workers_) {
      if (auto status = worker->listen(); !status.ok()) {
        return status;
      }
    }
    return service_.listen();
  }

 private:
  void handle(const http_request& request, const http_responder& reply) {
    if (request.path == "/faults" && request.method == "POST") {
      on_faults(request, reply);
    } else if (request.path == "/history") {
      reply.send({.status = 200, .headers = {}, .body = history_text()});
    } else {
      reply.send({.status = 404, .headers = {}, .body = "{\"reason\":\"unknown path\"}"});
    }
  }

  void on_faults(const http_request& request, const http_responder& reply) {
    const auto status = apply_faults(request.body, worker_ids_, faults_);
    if (!status.ok()) {
      reply.send({.status = 400, .headers = {}, .body = std::string{status.message()}});
      return;
    }
    if (std::exchange(faults_.silence_connections, false)) {
      for (const auto& worker : workers_) {
        worker->silence_connections();
      }
    }
    log(log_level::info, "fault switches changed", {{"switches", request.body}});
    reply.send({.status = 200, .headers = {}, .body = "{}"});
  }

  [[nodiscard]] std::string history_text() const {
    nlohmann::json out{{"requests", nlohmann::json::array()},
                       {"tasks", nlohmann::json::array()},
                       {"store_calls", service_.call_counts()}};
    for (const auto& record : requests_) {
      out["requests"].push_back({{"worker", record.worker.value()},
                                 {"key", record.key},
                                 {"class", record.request_class},
                                 {"body", record.body},
                                 {"started_us", record.started.time_since_epoch().count()},
                                 {"ended_us", record.ended.time_since_epoch().count()}});
    }
    for (const auto& worker : workers_) {
      for (const auto& record : worker->model().history()) {
        out["tasks"].push_back({{"worker", record.worker.value()},
                                {"job", record.task.job.value()},
                                {"attempt", record.task.attempt.value()},
                                {"member", record.task.member},
                                {"accelerators", record.accelerators},
                                {"state", static_cast<int>(record.state)},
                                {"started_us", record.started.time_since_epoch().count()},
                                {"ended_us", record.ended.time_since_epoch().count()}});
      }
    }
    return out.dump();
  }

  random_source random_;
  event_loop& loop_;
  fault_settings faults_;
  std::vector<worker_id> worker_ids_;
  std::vector<request_record> requests_;
  platform_service service_;
  std::vector<std::unique_ptr<worker_service>> workers_;
};

int run(const settings& arguments) {
  const auto document = load_document(arguments.document);
  if (!document.ok()) {
    log(log_level::error, std::string{document.status().message()});
    return 1;
  }
  event_loop loop;
  platform stand_ins{loop, arguments, *document};
  if (const auto status = stand_ins.listen(); !status.ok()) {
    log(log_level::error, std::string{status.message()});
    return 1;
  }
  loop.on_signal(SIGTERM, [&] { loop.stop(); });
  loop.on_signal(SIGINT, [&] { loop.stop(); });
  log(log_level::info, "stand-ins are ready",
      {{"port", std::int64_t{arguments.port}},
       {"workers", static_cast<std::int64_t>(document->workers.size())}});
  loop.run();
  return 0;
}

}  // namespace

}  // namespace rhubarbpath::standin

int main(int argc, char** argv) {
  try {
    const auto arguments = rhubarbpath::standin::parse_arguments(argc, argv);
    rhubarbpath::configure_log("rhubarb-standin", {}, rhubarbpath::log_level::info);
    return rhubarbpath::standin::run(arguments);
  } catch (const std::exception& error) {
    rhubarbpath::log(rhubarbpath::log_level::error, error.what());
    return 1;
  }
}

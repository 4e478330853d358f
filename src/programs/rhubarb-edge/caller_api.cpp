#include "caller_api.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "owner_session.hpp"
#include "platform/job_wire.hpp"
#include "rhubarbpath/coordination/queue_routes.hpp"
#include "rhubarbpath/transport/http_status.hpp"
#include "rhubarbpath/transport/log.hpp"
#include "rhubarbpath/transport/wall_clock.hpp"
#include "store_keys.hpp"

namespace rhubarbpath::edge {

namespace {

/// Pause between tries at the store; it answers in milliseconds again once it is back.
constexpr duration retry_pause{std::chrono::milliseconds{120}};
/// A refusal that is known early is given after this long, so that the caller can try another VM.
constexpr duration refusal_limit{std::chrono::milliseconds{600}};
/// Left of the caller's time for the answer to reach it.
constexpr duration answer_margin{std::chrono::milliseconds{250}};
/// The owner answers from memory.
constexpr duration owner_timeout{std::chrono::milliseconds{250}};
constexpr int retry_after_seconds = 1;
constexpr std::int64_t default_wait_ms = 3000;

}  // namespace

struct caller_api::exchange {
  http_responder responder;
  job_id job;
  queue_id queue;
  team_id team;
  std::string method;
  instant received{};
  instant answer_by{};
  /// A write whose fate is unknown was sent, so "not run" can no longer be said.
  bool may_be_stored{false};
  bool tried{false};
};

struct caller_api::submission {
  exchange_pointer call;
  accepted_job job;
};

void caller_api::answer(const exchange_pointer& call, int status, std::string body, std::string_view reason,
                        int retry_after) {
  http_response response{.status = status, .headers = {}, .body = std::move(body)};
  if (!response.body.empty()) {
    response.headers.emplace_back("Content-Type", "application/json");
  }
  if (retry_after > 0) {
    response.headers.emplace_back("Retry-After", fmt::format("{}", retry_after));
  }
  if (uses_.stopping()) {
    response.headers.emplace_back("Connection", "close");
  }
  const auto took = uses_.loop.now() - call->received;
  const auto& config = uses_.config.current();
  const auto age = config == nullptr ? duration::zero() : uses_.loop.now() - uses_.config.confirmed_at();
  // Phase queries that succeed are counted but not logged; callers repeat them often.
  if (call->method != "GET" || status != http_status::ok) {
    log(log_level::info, "caller_answered",
        {{"job", call->job.value()},
         {"method", call->method},
         {"status", static_cast<std::int64_t>(status)},
         {"reason", std::string{reason}},
         {"queue", call->queue.value()},
         {"team", call->team.value()},
         {"config_version", static_cast<std::int64_t>(config == nullptr ? 0 : config->version.value())},
         {"config_age_ms",
          static_cast<std::int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(age).count())},
         {"took_ms",
          static_cast<std::int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(took).count())},
         {"caller_gone", !call->responder.open()}});
  }
  uses_.counters.add("rhubarb_caller_answers_total",
                     fmt::format("method=\"{}\",status=\"{}\"", call->method, status));
  if (config != nullptr) {
    uses_.counters.observe("rhubarb_config_age_seconds", {}, age);
  }
  // The texts for a malformed request tell what is wrong with it and are not bounded.
  if (status >= http_status::bad_request) {
    uses_.counters.add(
        "rhubarb_caller_refusals_total",
        fmt::format("reason=\"{}\"", status == http_status::bad_request ? "malformed" : reason));
  }
  uses_.counters.observe("rhubarb_caller_seconds", fmt::format("method=\"{}\"", call->method), took);
  call->responder.send(response);
}

void caller_api::handle(const http_request& request, const http_responder& responder) {
  auto call = std::make_shared<exchange>(exchange{.responder = responder});
  call->method = request.method;
  call->received = uses_.loop.now();
  std::int64_t wait_ms = 0;
  const std::string wait{header_value(request.headers, platform::timeout_header())};
  if (!absl::SimpleAtoi(wait, &wait_ms) || wait_ms <= 0) {
    wait_ms = default_wait_ms;
  }
  call->answer_by = call->received + std::chrono::milliseconds{wait_ms} - answer_margin;
  const auto& config = uses_.config.current();
  if (config == nullptr) {
    answer(call, http_status::service_unavailable, {}, "no configuration yet", retry_after_seconds);
    return;
  }
  const auto* queue = find_queue(*config, header_value(request.headers, "Host"), request.path);
  if (queue == nullptr) {
    answer(call, http_status::not_found, {}, "no such queue");
    return;
  }
  call->queue = queue->id;
  const auto* team = find_team(*config, header_value(request.headers, platform::key_header()));
  if (team == nullptr && !queue->open_to_all) {
    answer(call, http_status::unauthorized, {}, "unknown key");
    return;
  }
  call->team = team == nullptr ? team_id{} : team->id;
  call->job = job_id{request.path.substr(queue->path_prefix.size())};
  if (call->job.empty()) {
    request.method == "GET" ? tell_waiting(call)
                            : answer(call, http_status::method_not_allowed, {}, "a queue is only read");
  } else if (!is_job_id(call->job)) {
    answer(call, request.method == "POST" ? http_status::bad_request : http_status::gone, {}, "not a job id");
  } else if (request.method == "POST") {
    submit(call, request);
  } else if (request.method == "DELETE") {
    cancel(call);
  } else if (request.method == "GET") {
    tell_phase(call);
  } else {
    answer(call, http_status::method_not_allowed, {}, "unknown method");
  }
}

void caller_api::retry_or_give_up(const exchange_pointer& call, std::function<void()> again) {
  const auto now = uses_.loop.now();
  if (!call->may_be_stored && now - call->received >= refusal_limit) {
    answer(call, http_status::service_unavailable, {}, "the store refuses calls; nothing was done",
           retry_after_seconds);
    return;
  }
  if (now + retry_pause >= call->answer_by) {
    answer(call, http_status::gateway_timeout, {}, "the store has not confirmed the write");
    return;
  }
  uses_.loop.run_detached(retry_pause, std::move(again));
}

// ---- submit ----

void caller_api::submit(const exchange_pointer& call, const http_request& request) {
  auto graph = platform::decode_job(request.body);
  if (!graph.ok()) {
    answer(call, http_status::bad_request, {}, std::string{graph.status().message()});
    return;
  }
  auto job = std::make_shared<submission>();
  job->call = call;
  job->job = {.id = call->job,
              .queue = call->queue,
              .team = call->team,
              .accepted_at = wall_clock(),
              .graph = *std::move(graph)};
  try_submit(job);
}

void caller_api::try_submit(const std::shared_ptr<submission>& job) {
  const auto key = keys::job(job->job.id);
  kv_commit commit{.expected = {{.key = key, .changed = revision{}}},
                   .puts = {{.key = key, .value = encode_accepted_job(job->job)}},
                   .erases = {}};
  uses_.store.call(std::move(commit), [this, job](const kv_result& result) {
    const auto& call = job->call;
    if (std::holds_alternative<kv_committed>(result)) {
      answer(call, http_status::ok, {}, "stored");
    } else if (std::holds_alternative<kv_conflict>(result)) {
      answer(call, http_status::ok, {}, "stored before");
    } else {
      call->may_be_stored = call->may_be_stored || !std::holds_alternative<kv_refused>(result);
      retry_or_give_up(call, [this, job] { try_submit(job); });
    }
  });
}

// ---- cancel ----

void caller_api::cancel(const exchange_pointer& call) {
  uses_.store.call(kv_list{.prefix = keys::job(call->job)}, [this, call](const kv_result& result) {
    const auto* items = std::get_if<kv_items>(&result);
    if (items == nullptr) {
      // Reading changes nothing, but the caller must not take a refusal for "no such job".
      call->may_be_stored = true;
      retry_or_give_up(call, [this, call] { cancel(call); });
      return;
    }
    const auto stored = [&](const std::string& key) {
      return std::any_of(items->items.begin(), items->items.end(),
                         [&](const kv_item& item) { return item.key == key; });
    };
    if (!stored(keys::job(call->job))) {
      answer(call, http_status::gone, {}, "no such job");
    } else if (stored(keys::cancel(call->job))) {
      answer(call, http_status::ok, {}, "cancelled before");
    } else {
      try_cancel(call);
    }
  });
}

void caller_api::try_cancel(const exchange_pointer& call) {
  const auto key = keys::cancel(call->job);
  kv_commit commit{.expected = {{.key = key, .changed = revision{}}},
                   .puts = {{.key = key, .value = call->team.value()}},
                   .erases = {}};
  uses_.store.call(std::move(commit), [this, call](const kv_result& result) {
    if (std::holds_alternative<kv_committed>(result) || std::holds_alternative<kv_conflict>(result)) {
      answer(call, http_status::ok, {}, "cancellation stored");
      return;
    }
    call->may_be_stored = true;
    retry_or_give_up(call, [this, call] { try_cancel(call); });
  });
}

// ---- questions ----

void caller_api::tell_phase(const exchange_pointer& call) {
  if (const auto* session = uses_.own_session(); session != nullptr) {
    if (const auto phase = session->phase(call->job)) {
      answer(call, http_status::ok, platform::encode_phase(*phase), "owner");
      return;
    }
    tell_phase_from_store(call);
    return;
  }
  const auto owner = uses_.owner_address();
  if (owner.empty()) {
    tell_phase_from_store(call);
    return;
  }
  const http_request question{.method = "GET",
                              .path = fmt::format("{}job/{}", owner_path, call->job.value()),
                              .query = {},
                              .headers = {},
                              .body = {}};
  uses_.peers.call(owner, question, owner_timeout, [this, call, owner](const http_result& result) {
    const auto* response = std::get_if<http_response>(&result);
    if (response == nullptr) {
      uses_.peers.drop_idle(owner);
    }
    if (response != nullptr && response->status == http_status::ok) {
      answer(call, http_status::ok, response->body, "owner");
    } else {
      tell_phase_from_store(call);
    }
  });
}

void caller_api::tell_phase_from_store(const exchange_pointer& call) {
  uses_.store.call(kv_get{.key = keys::progress(call->job)}, [this, call](const kv_result& result) {
    const auto* items = std::get_if<kv_items>(&result);
    if (items == nullptr) {
      call->may_be_stored = true;
      retry_or_give_up(call, [this, call] { tell_phase_from_store(call); });
      return;
    }
    if (!items->items.empty()) {
      if (const auto progress = decode_job_progress(items->items.front().value); progress.ok()) {
        answer(call, http_status::ok, platform::encode_phase(progress->phase), "store");
        return;
      }
    }
    tell_phase_from_job_row(call);
  });
}

void caller_api::tell_phase_from_job_row(const exchange_pointer& call) {
  uses_.store.call(kv_get{.key = keys::job(call->job)}, [this, call](const kv_result& result) {
    const auto* items = std::get_if<kv_items>(&result);
    if (items == nullptr) {
      call->may_be_stored = true;
      retry_or_give_up(call, [this, call] { tell_phase_from_job_row(call); });
    } else if (items->items.empty()) {
      answer(call, http_status::gone, {}, "no such job");
    } else {
      answer(call, http_status::ok, platform::encode_phase(job_phase::queued), "store");
    }
  });
}

void caller_api::tell_waiting(const exchange_pointer& call) {
  if (const auto* session = uses_.own_session(); session != nullptr) {
    if (const auto count = session->waiting_jobs(call->queue)) {
      answer(call, http_status::ok, platform::encode_waiting_count(*count), "owner");
      return;
    }
  }
  const auto owner = uses_.owner_address();
  const auto again = [this, call] { tell_waiting(call); };
  call->may_be_stored = true;
  if (owner.empty() || uses_.own_session() != nullptr) {
    retry_or_give_up(call, again);
    return;
  }
  const http_request question{.method = "GET",
                              .path = fmt::format("{}queue/{}", owner_path, call->queue.value()),
                              .query = {},
                              .headers = {},
                              .body = {}};
  uses_.peers.call(owner, question, owner_timeout, [this, call, again, owner](const http_result& result) {
    const auto* response = std::get_if<http_response>(&result);
    std::uint64_t count = 0;
    if (response != nullptr && response->status == http_status::ok &&
        absl::SimpleAtoi(response->body, &count)) {
      answer(call, http_status::ok, platform::encode_waiting_count(count), "owner");
      return;
    }
    if (response == nullptr) {
      uses_.peers.drop_idle(owner);
    }
    retry_or_give_up(call, again);
  });
}

void caller_api::handle_peer(const http_request& request, const http_responder& responder) {
  const auto* session = uses_.own_session();
  const std::vector<std::string> parts = absl::StrSplit(request.path.substr(owner_path.size()), '/');
  constexpr std::size_t part_count = 2;
  if (session == nullptr || parts.size() != part_count) {
    responder.send({.status = http_status::service_unavailable, .headers = {}, .body = {}});
    return;
  }
  if (parts[0] == "queue") {
    const auto count = session->waiting_jobs(queue_id{parts[1]});
    responder.send({.status = count ? http_status::ok : http_status::service_unavailable,
                    .headers = {},
                    .body = count ? fmt::format("{}", *count) : std::string{}});
    return;
  }
  const auto phase = session->phase(job_id{parts[1]});
  responder.send({.status = phase ? http_status::ok : http_status::not_found,
                  .headers = {},
                  .body = phase ? platform::encode_phase(*phase) : std::string{}});
}

}  // namespace rhubarbpath::edge

#include "caller_api.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "owner_session.hpp"
#include "platform/job_wire.hpp"
#include "rhubarbpath/coordination/config_decision.hpp"
#include "rhubarbpath/coordination/queue_routes.hpp"
#include "rhubarbpath/coordination/work_cost.hpp"
#include "rhubarbpath/transport/http_status.hpp"
#include "rhubarbpath/transport/log.hpp"
#include "rhubarbpath/transport/wall_clock.hpp"
#include "store_keys.hpp"

namespace rhubarbpath::edge {

namespace {

/// Pause between attempts to reach the store, which answers within milliseconds when it is available.
constexpr duration retry_pause{std::chrono::milliseconds{120}};
/// A request of which nothing can have been stored is refused after this time, so that the caller can try
/// another VM.
constexpr duration refusal_timeout{std::chrono::milliseconds{600}};
/// Part of the caller's timeout that is reserved for the response to reach it.
constexpr duration answer_margin{std::chrono::milliseconds{250}};
/// Time limit for the owner's answer, which comes from memory.
constexpr duration owner_timeout{std::chrono::milliseconds{250}};
constexpr int retry_after_seconds = 1;
/// Jobs that cost the owner less are stored without asking it for room.
constexpr std::uint64_t max_unreserved_bytes = 64U << 10U;
/// Reasons of refusals with 429.
constexpr std::string_view full_team = "the team has as many jobs as it may";
constexpr std::string_view too_many_submissions = "the team submits too many jobs at a time";
constexpr std::int64_t default_timeout_ms = 3000;
/// A longer timeout counts as this one, so that the deadline cannot overflow.
constexpr std::int64_t max_timeout_ms = 600'000;

const kv_item* find_item(const std::vector<kv_item>& items, const std::string& key) {
  const auto found =
      std::find_if(items.begin(), items.end(), [&](const kv_item& item) { return item.key == key; });
  return found == items.end() ? nullptr : &*found;
}

/// Seconds, spread by the id, so that those that are refused together do not return together.
int spread_retry_after(const job_id& job) {
  constexpr int spread_seconds = 8;
  return 2 * retry_after_seconds + static_cast<int>(std::hash<std::string>{}(job.value()) % spread_seconds);
}

/// Whether the row is a job of another team. Calls of queues that are open to all have no team.
bool belongs_to_another_team(const kv_item& row, const team_id& team) {
  const auto job = decode_accepted_job(row.value);
  return job.ok() && !team.empty() && !job->team.empty() && job->team != team;
}

}  // namespace

struct caller_api::pending_call {
  http_responder responder;
  job_id job;
  queue_id queue;
  queue_config terms;  ///< Of the queue, when the call was routed.
  team_id team;
  std::string method;
  instant received_at{};
  instant answer_deadline{};
  /// Set once a refusal could mislead the caller: a write with an unknown result was sent, or the request
  /// does not submit a job. The response then is 504 instead of 503.
  bool may_be_stored{false};
  bool tried{false};
};

struct caller_api::submission {
  pending_call_ptr call;
  std::string row;  ///< Of the job, as it is stored.
  std::uint64_t work_bytes{0};
};

void caller_api::answer(const pending_call_ptr& call, int status, std::string body, std::string_view reason,
                        int retry_after) {
  http_response response{.status = status, .headers = {}, .body = std::move(body)};
  if (!response.body.empty()) {
    response.headers.emplace_back("Content-Type", "application/json");
  }
  if (retry_after > 0) {
    response.headers.emplace_back("Retry-After", fmt::format("{}", retry_after));
  }
  if (deps_.stopping()) {
    response.headers.emplace_back("Connection", "close");
  }
  const auto elapsed = deps_.loop.now() - call->received_at;
  const auto& config = deps_.config.current();
  const auto config_age = deps_.config.age();
  // Successful queries are counted but not logged because callers poll frequently.
  if (call->method != "GET" || status != http_status::ok) {
    log(log_level::info, "caller_answered",
        {{"job", call->job.value()},
         {"method", call->method},
         {"status", static_cast<std::int64_t>(status)},
         {"reason", std::string{reason}},
         {"queue", call->queue.value()},
         {"team", call->team.value()},
         {"config_version", static_cast<std::int64_t>(config == nullptr ? 0 : config->version.value())},
         {"config_age_ms", static_cast<std::int64_t>(
                               std::chrono::duration_cast<std::chrono::milliseconds>(config_age).count())},
         {"took_ms",
          static_cast<std::int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count())},
         {"caller_gone", !call->responder.open()}});
  }
  deps_.counters.add("rhubarb_caller_answers_total",
                     fmt::format("method=\"{}\",status=\"{}\"", call->method, status));
  if (config != nullptr) {
    deps_.counters.observe("rhubarb_config_age_seconds", {}, config_age);
  }
  // The reasons for a malformed request are free text, which would make the label's cardinality unbounded.
  if (status >= http_status::bad_request) {
    deps_.counters.add(
        "rhubarb_caller_refusals_total",
        fmt::format("reason=\"{}\"", status == http_status::bad_request ? "malformed" : reason));
  }
  deps_.counters.observe("rhubarb_caller_seconds", fmt::format("method=\"{}\"", call->method), elapsed);
  call->responder.send(response);
}

void caller_api::handle(const http_request& request, const http_responder& responder) {
  auto call = std::make_shared<pending_call>(pending_call{.responder = responder});
  call->method = request.method;
  call->received_at = deps_.loop.now();
  std::int64_t timeout_ms = 0;
  const std::string timeout_text{header_value(request.headers, platform::timeout_header())};
  if (!absl::SimpleAtoi(timeout_text, &timeout_ms) || timeout_ms <= 0) {
    timeout_ms = default_timeout_ms;
  }
  timeout_ms = std::min(timeout_ms, max_timeout_ms);
  call->answer_deadline = call->received_at + std::chrono::milliseconds{timeout_ms} - answer_margin;
  route(call, request);
}

void caller_api::route(const pending_call_ptr& call, const http_request& request) {
  const auto& config = deps_.config.current();
  if (config == nullptr) {
    answer(call, http_status::service_unavailable, {}, "no configuration yet", retry_after_seconds);
    return;
  }
  const auto* queue = find_queue(*config, header_value(request.headers, "Host"), request.path);
  const auto* team = find_team(*config, header_value(request.headers, platform::key_header()));
  const int refusal = queue == nullptr                         ? http_status::not_found
                      : team == nullptr && !queue->open_to_all ? http_status::unauthorized
                                                               : 0;
  const auto decision =
      decide(deps_.config.standing(), deps_.config.outdated(),
             {.allowed = refusal == 0,
              .changes_state = request.method != "GET",
              .store_refuses_writes = deps_.store.new_write_advice() == write_gate::advice::refuse,
              .waited = deps_.loop.now() - call->received_at});
  switch (decision) {
    case config_decision::wait:
      deps_.config.when_checked([this, call, request] { route(call, request); });
      return;
    case config_decision::cannot_tell:
      answer(call, http_status::service_unavailable, {},
             "the configuration may be outdated; nothing was done", retry_after_seconds);
      return;
    case config_decision::refuse:
      answer(call, refusal, {}, refusal == http_status::not_found ? "no such queue" : "unknown key");
      return;
    case config_decision::proceed:
      break;
  }
  call->queue = queue->id;
  call->terms = *queue;
  call->team = team == nullptr ? team_id{} : team->id;
  call->job = job_id{request.path.substr(queue->path_prefix.size())};
  start(call, request);
}

void caller_api::start(const pending_call_ptr& call, const http_request& request) {
  if (call->job.empty()) {
    request.method == "GET" ? answer_waiting_count(call)
                            : answer(call, http_status::method_not_allowed, {}, "a queue is only read");
  } else if (!is_job_id(call->job)) {
    answer(call, request.method == "POST" ? http_status::bad_request : http_status::gone, {}, "not a job id");
  } else if (request.method == "POST") {
    submit(call, request);
  } else if (request.method == "DELETE") {
    cancel(call);
  } else if (request.method == "GET") {
    answer_phase(call);
  } else {
    answer(call, http_status::method_not_allowed, {}, "unknown method");
  }
}

void caller_api::retry_or_fail(const pending_call_ptr& call, std::function<void()> retry) {
  const auto now = deps_.loop.now();
  const bool out_of_time = now + retry_pause >= call->answer_deadline;
  if (!call->may_be_stored && (out_of_time || now - call->received_at >= refusal_timeout)) {
    answer(call, http_status::service_unavailable, {}, "the store refuses calls; nothing was done",
           retry_after_seconds);
    return;
  }
  if (out_of_time) {
    answer(call, http_status::gateway_timeout, {}, "the store has not confirmed the write");
    return;
  }
  deps_.loop.run_detached(retry_pause, std::move(retry));
}

bool caller_api::try_call_store(const pending_call_ptr& call, kv_request request,
                                store_access::callback done) {
  const bool writes = std::holds_alternative<kv_commit>(request);
  auto& limit = writes ? writes_ : reads_;
  if (!limit.take(call->team, deps_.loop.now())) {
    return false;
  }
  deps_.store.call(
      std::move(request), [this, &limit, writes, done = std::move(done)](const kv_result& result) {
        const auto* refused = std::get_if<kv_refused>(&result);
        if (refused != nullptr && refused->rate_limited && limit.exceeded(deps_.loop.now())) {
          log(log_level::warning, "store_rate_exceeded",
              {{"calls", std::string{writes ? "writes" : "reads"}}, {"callers_per_second", limit.rate()}});
        }
        done(result);
      });
  return true;
}

void caller_api::call_store(const pending_call_ptr& call, kv_request request, store_access::callback done) {
  if (!try_call_store(call, std::move(request), std::move(done))) {
    // Not 429, which would say that the job never runs.
    answer(call, http_status::gateway_timeout, {}, "too many calls of the team",
           spread_retry_after(call->job));
  }
}

// ---- submit ----

void caller_api::submit(const pending_call_ptr& call, const http_request& request) {
  if (deps_.full_teams().contains(call->team)) {
    refuse_unless_stored(call, full_team);
    return;
  }
  auto graph = platform::decode_job(request.body);
  if (absl::IsResourceExhausted(graph.status())) {
    answer(call, http_status::body_too_large, {}, "a part of the job is too large");
    return;
  }
  if (!graph.ok()) {
    answer(call, http_status::bad_request, {}, std::string{graph.status().message()});
    return;
  }
  const accepted_job accepted{.id = call->job,
                              .queue = call->queue,
                              .team = call->team,
                              .accepted_at = wall_clock(),
                              .graph = *std::move(graph),
                              .terms = call->terms};
  auto job = std::make_shared<submission>();
  job->call = call;
  job->row = encode_accepted_job(accepted);
  if (job->row.size() > deps_.max_row_bytes) {
    answer(call, http_status::body_too_large, {}, "the job is larger than a row of the store");
    return;
  }
  job->work_bytes = cost_of(accepted.graph).open;
  reserve_and_submit(job);
}

void caller_api::reserve_and_submit(const std::shared_ptr<submission>& job) {
  const auto& call = job->call;
  if (job->work_bytes <= max_unreserved_bytes) {
    try_submit(job);
    return;
  }
  if (auto* session = deps_.own_session(); session != nullptr) {
    reservation_answered(job, session->reserve_work(call->job, call->team, job->work_bytes));
    return;
  }
  const auto owner = deps_.owner_address();
  if (owner.empty()) {
    reservation_answered(job, std::nullopt);
    return;
  }
  const http_request owner_request{.method = "POST",
                                   .path = fmt::format("{}reserve/{}", owner_path, call->job.value()),
                                   .query = {},
                                   .headers = {},
                                   .body = fmt::format("{} {}", job->work_bytes, call->team.value())};
  deps_.peers.call(owner, owner_request, owner_timeout, [this, job, owner](const http_result& result) {
    const auto* response = std::get_if<http_response>(&result);
    if (response == nullptr) {
      deps_.peers.drop_idle(owner);
    }
    const int status = response == nullptr ? 0 : response->status;
    reservation_answered(job, status == http_status::ok                  ? std::optional{true}
                              : status == http_status::too_many_requests ? std::optional{false}
                                                                         : std::nullopt);
  });
}

void caller_api::reservation_answered(const std::shared_ptr<submission>& job, std::optional<bool> granted) {
  if (!granted) {
    retry_or_fail(job->call, [this, job] { reserve_and_submit(job); });
  } else if (*granted) {
    try_submit(job);
  } else {
    refuse_unless_stored(job->call, full_team);
  }
}

void caller_api::refuse_unless_stored(const pending_call_ptr& call, std::string_view reason) {
  call_store(call, kv_get{.key = keys::job(call->job)}, [this, call, reason](const kv_result& result) {
    const auto* items = std::get_if<kv_items>(&result);
    if (items == nullptr) {
      // The job may have been stored by an earlier attempt.
      call->may_be_stored = true;
      retry_or_fail(call, [this, call, reason] { refuse_unless_stored(call, reason); });
    } else if (items->items.empty()) {
      answer(call, http_status::too_many_requests, {}, reason, spread_retry_after(call->job));
    } else {
      answer_stored(call, items->items.front());
    }
  });
}

void caller_api::answer_stored(const pending_call_ptr& call, const kv_item& row) {
  if (belongs_to_another_team(row, call->team)) {
    answer(call, http_status::conflict, {}, "another team has a job with this id");
  } else {
    answer(call, http_status::ok, {}, "stored before");
  }
}

void caller_api::try_submit(const std::shared_ptr<submission>& job) {
  const auto advice = job->call->may_be_stored ? write_gate::advice::send : deps_.store.new_write_advice();
  if (advice == write_gate::advice::refuse) {
    answer(job->call, http_status::service_unavailable, {}, "the store does not answer; nothing was sent",
           retry_after_seconds);
    return;
  }
  if (advice == write_gate::advice::wait) {
    retry_or_fail(job->call, [this, job] { try_submit(job); });
    return;
  }
  const auto& id = job->call->job;
  const auto key = keys::job(id);
  // A cancellation may have overtaken this write, or an attempt of it that the store executes late.
  kv_commit commit{
      .expected = {{.key = key, .changed = revision{}}, {.key = keys::cancel(id), .changed = revision{}}},
      .puts = {{.key = key, .value = job->row}},
      .erases = {}};
  const bool called = try_call_store(job->call, std::move(commit), [this, job](const kv_result& result) {
    const auto& call = job->call;
    if (std::holds_alternative<kv_committed>(result)) {
      answer(call, http_status::ok, {}, "stored");
    } else if (const auto* conflict = std::get_if<kv_conflict>(&result)) {
      const auto* stored = find_item(conflict->items, keys::job(call->job));
      if (stored == nullptr) {
        answer(call, http_status::gone, {}, "cancelled before it was stored");
      } else {
        answer_stored(call, *stored);
      }
    } else {
      call->may_be_stored = call->may_be_stored || !std::holds_alternative<kv_refused>(result);
      retry_or_fail(call, [this, job] { try_submit(job); });
    }
  });
  if (called) {
    return;
  }
  if (job->call->may_be_stored) {
    retry_or_fail(job->call, [this, job] { try_submit(job); });
  } else {
    refuse_unless_stored(job->call, too_many_submissions);
  }
}

// ---- cancel ----

void caller_api::cancel(const pending_call_ptr& call) {
  call_store(call, kv_list{.prefix = keys::job(call->job)}, [this, call](const kv_result& result) {
    const auto* items = std::get_if<kv_items>(&result);
    if (items == nullptr) {
      // Nothing was written, but the caller must not mistake a refusal for "no such job".
      call->may_be_stored = true;
      retry_or_fail(call, [this, call] { cancel(call); });
      return;
    }
    const auto* stored = find_item(items->items, keys::job(call->job));
    const bool known = stored != nullptr;
    if (known && belongs_to_another_team(*stored, call->team)) {
      answer(call, http_status::gone, {}, "the job is another team's");
    } else if (find_item(items->items, keys::cancel(call->job)) != nullptr) {
      known ? answer(call, http_status::ok, {}, "cancelled before")
            : answer(call, http_status::gone, {}, "no such job; it will not be accepted");
    } else {
      try_cancel(call, known);
    }
  });
}

void caller_api::try_cancel(const pending_call_ptr& call, bool known) {
  const auto key = keys::cancel(call->job);
  kv_commit commit{.expected = {{.key = key, .changed = revision{}}},
                   .puts = {{.key = key, .value = call->team.value()}},
                   .erases = {}};
  if (!known) {
    // The write of the job may still be on its way. With the cancellation stored it cannot be executed any
    // more.
    commit.expected.push_back({.key = keys::job(call->job), .changed = revision{}});
  }
  call_store(call, std::move(commit), [this, call, known](const kv_result& result) {
    if (std::holds_alternative<kv_committed>(result)) {
      known ? answer(call, http_status::ok, {}, "cancellation stored")
            : answer(call, http_status::gone, {}, "no such job; it will not be accepted");
      return;
    }
    if (std::holds_alternative<kv_conflict>(result)) {
      // The rows have changed since they were read.
      cancel(call);
      return;
    }
    call->may_be_stored = true;
    retry_or_fail(call, [this, call, known] { try_cancel(call, known); });
  });
}

// ---- queries ----

void caller_api::answer_phase(const pending_call_ptr& call) {
  if (const auto* session = deps_.own_session(); session != nullptr) {
    if (const auto phase = session->phase(call->job)) {
      answer(call, http_status::ok, platform::encode_phase(*phase), "owner");
      return;
    }
    answer_phase_from_store(call);
    return;
  }
  const auto owner = deps_.owner_address();
  if (owner.empty()) {
    answer_phase_from_store(call);
    return;
  }
  const http_request owner_request{.method = "GET",
                                   .path = fmt::format("{}job/{}", owner_path, call->job.value()),
                                   .query = {},
                                   .headers = {},
                                   .body = {}};
  deps_.peers.call(owner, owner_request, owner_timeout, [this, call, owner](const http_result& result) {
    const auto* response = std::get_if<http_response>(&result);
    if (response == nullptr) {
      deps_.peers.drop_idle(owner);
    }
    if (response != nullptr && response->status == http_status::ok) {
      answer(call, http_status::ok, response->body, "owner");
    } else {
      answer_phase_from_store(call);
    }
  });
}

void caller_api::answer_phase_from_store(const pending_call_ptr& call) {
  call_store(call, kv_get{.key = keys::progress(call->job)}, [this, call](const kv_result& result) {
    const auto* items = std::get_if<kv_items>(&result);
    if (items == nullptr) {
      call->may_be_stored = true;
      retry_or_fail(call, [this, call] { answer_phase_from_store(call); });
      return;
    }
    if (!items->items.empty()) {
      if (const auto progress = decode_job_progress(items->items.front().value); progress.ok()) {
        answer(call, http_status::ok, platform::encode_phase(progress->phase), "store");
        return;
      }
    }
    answer_phase_from_job_row(call);
  });
}

void caller_api::answer_phase_from_job_row(const pending_call_ptr& call) {
  call_store(call, kv_get{.key = keys::job(call->job)}, [this, call](const kv_result& result) {
    const auto* items = std::get_if<kv_items>(&result);
    if (items == nullptr) {
      call->may_be_stored = true;
      retry_or_fail(call, [this, call] { answer_phase_from_job_row(call); });
    } else if (items->items.empty()) {
      answer(call, http_status::gone, {}, "no such job");
    } else {
      answer(call, http_status::ok, platform::encode_phase(job_phase::queued), "store");
    }
  });
}

void caller_api::answer_waiting_count(const pending_call_ptr& call) {
  if (const auto* session = deps_.own_session(); session != nullptr) {
    if (const auto count = session->waiting_jobs(call->queue)) {
      answer(call, http_status::ok, platform::encode_waiting_count(*count), "owner");
      return;
    }
  }
  const auto owner = deps_.owner_address();
  const auto retry = [this, call] { answer_waiting_count(call); };
  call->may_be_stored = true;
  if (owner.empty() || deps_.own_session() != nullptr) {
    retry_or_fail(call, retry);
    return;
  }
  const http_request owner_request{.method = "GET",
                                   .path = fmt::format("{}queue/{}", owner_path, call->queue.value()),
                                   .query = {},
                                   .headers = {},
                                   .body = {}};
  deps_.peers.call(owner, owner_request, owner_timeout,
                   [this, call, retry, owner](const http_result& result) {
                     const auto* response = std::get_if<http_response>(&result);
                     std::uint64_t count = 0;
                     if (response != nullptr && response->status == http_status::ok &&
                         absl::SimpleAtoi(response->body, &count)) {
                       answer(call, http_status::ok, platform::encode_waiting_count(count), "owner");
                       return;
                     }
                     if (response == nullptr) {
                       deps_.peers.drop_idle(owner);
                     }
                     retry_or_fail(call, retry);
                   });
}

bool caller_api::knows_team(const team_id& team) const {
  const auto& config = deps_.config.current();
  return team.empty() ||
         (config != nullptr && std::any_of(config->teams.begin(), config->teams.end(),
                                           [&](const team_config& each) { return each.id == team; }));
}

void caller_api::handle_peer(const http_request& request, const http_responder& responder) {
  auto* session = deps_.own_session();
  const std::vector<std::string> parts = absl::StrSplit(request.path.substr(owner_path.size()), '/');
  constexpr std::size_t part_count = 2;
  if (session == nullptr || parts.size() != part_count) {
    responder.send({.status = http_status::service_unavailable, .headers = {}, .body = {}});
    return;
  }
  if (parts[0] == "reserve") {
    const std::pair<std::string, std::string> words = absl::StrSplit(request.body, absl::MaxSplits(' ', 1));
    std::uint64_t bytes = 0;
    // Other VMs ask for large jobs of teams that the configuration names, and for jobs without a team.
    const bool valid = absl::SimpleAtoi(words.first, &bytes) && bytes > max_unreserved_bytes &&
                       is_job_id(job_id{parts[1]}) && knows_team(team_id{words.second});
    const auto granted =
        valid ? session->reserve_work(job_id{parts[1]}, team_id{words.second}, bytes) : std::nullopt;
    responder.send({.status = !granted   ? http_status::service_unavailable
                              : *granted ? http_status::ok
                                         : http_status::too_many_requests,
                    .headers = {},
                    .body = {}});
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

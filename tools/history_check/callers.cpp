#include "callers.hpp"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace rhubarbpath::history_check {

namespace {

/// An answer that is later than the deadline by more than this counts as missing.
constexpr duration overdue_margin = std::chrono::seconds{10};
constexpr duration retry_wait = std::chrono::milliseconds{300};
constexpr duration job_poll_wait = std::chrono::seconds{2};
constexpr int max_job_submissions = 40;
constexpr duration ready_interval = std::chrono::milliseconds{200};
constexpr duration ready_timeout = std::chrono::seconds{1};

std::string text_member(const nlohmann::json& body, const char* name) {
  return body.is_object() && body.contains(name) && body[name].is_string() ? body[name].get<std::string>()
                                                                           : std::string{};
}

}  // namespace

callers::callers(event_loop& loop, options opts)
    : loop_{loop},
      options_{std::move(opts)},
      random_{options_.seed},
      client_{loop, {.max_connections_per_address = 2000, .max_idle_connections_per_address = 64}} {}

void callers::run() {
  started_ = loop_.now();
  give_up_ = started_ + options_.run_time + options_.settle_time;
  const auto ready_timer = loop_.run_every(ready_interval, [this] { check_ready(); });
  const auto request_timer = loop_.run_every(options_.request_interval, [this] {
    if (sending_ && !options_.requests.empty()) {
      start_request();
    }
  });
  const auto job_timer = loop_.run_every(options_.job_interval, [this] {
    if (sending_ && !options_.jobs.empty()) {
      start_job();
    }
  });
  const auto end = loop_.run_after(options_.run_time, [this] { sending_ = false; });
  const auto watch = loop_.run_every(std::chrono::milliseconds{100}, [this] {
    if ((!sending_ && open_ == 0) || loop_.now() > give_up_) {
      loop_.stop();
    }
  });
  loop_.run();
}

const std::string& callers::any_entry() {
  const auto& candidates = ready_.empty() ? options_.entries : ready_;
  return candidates[random_.below(candidates.size())];
}

void callers::check_ready() {
  for (const auto& entry : options_.entries) {
    const http_request probe{.method = "GET", .path = "/readyz", .query = {}, .headers = {}, .body = {}};
    client_.call(entry, probe, ready_timeout, [this, entry](const http_result& result) {
      const auto* response = std::get_if<http_response>(&result);
      constexpr int ok = 200;
      std::erase(ready_, entry);
      if (response != nullptr && response->status == ok) {
        ready_.push_back(entry);
      }
    });
  }
}

void callers::later(duration delay, event_loop::callback call) {
  const auto id = ++last_delayed_;
  delayed_[id] = loop_.run_after(delay, [this, id, call = std::move(call)] {
    const auto keep = std::exchange(delayed_[id], {});
    delayed_.erase(id);
    call();
  });
}

void callers::finish_one() {
  --open_;
}

void callers::start_request() {
  const auto& kind = options_.requests[random_.below(options_.requests.size())];
  const auto index = requests_.size();
  requests_.push_back({.key = fmt::format("key-{}-{}", options_.seed, index),
                       .request_class = kind.request_class,
                       .non_idempotent = kind.non_idempotent,
                       .tries = {},
                       .completion = {}});
  ++open_;
  try_request(index, kind, loop_.now());
}

void callers::try_request(std::size_t index, const request_kind& kind, instant started) {
  const auto& record = requests_[index];
  http_request request{
      .method = "POST",
      .path = fmt::format("/v1/services/{}/{}", kind.service, kind.request_class),
      .query = {},
      .headers = {{"Rhubarb-Team", kind.team},
                  {"Idempotency-Key", record.key},
                  {"Rhubarb-Deadline-Ms", std::to_string(options_.request_deadline.count() / 1000)}},
      .body = record.key};
  if (record.tries.empty()) {
    request.headers.emplace_back("Rhubarb-First-Attempt", "true");
  }
  client_.call(any_entry(), request, options_.request_deadline + overdue_margin,
               [this, index, kind, started](const http_result& result) {
                 on_request_result(index, kind, started, result);
               });
}

void callers::on_request_result(std::size_t index, const request_kind& kind, instant started,
                                const http_result& result) {
  auto& record = requests_[index];
  try_record attempt;
  if (const auto* failed = std::get_if<http_call_failed>(&result)) {
    attempt.overdue = failed->timed_out;
    attempt.unsent = !failed->bytes_sent;
    attempt.reason = failed->reason;
  } else {
    const auto& response = std::get<http_response>(result);
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    const auto named = verdict_from_string(header_value(response.headers, "Rhubarb-Verdict"));
    attempt.answered = true;
    attempt.result = named.value_or(verdict::may_have_run);
    attempt.reason = text_member(body, "reason");
    const bool kept_without_body = attempt.result == verdict::ran && !attempt.reason.empty();
    attempt.echo_matches =
        attempt.result != verdict::ran || kept_without_body || text_member(body, "echo") == record.key;
  }
  const bool ran = attempt.answered && attempt.result == verdict::ran;
  record.tries.push_back(std::move(attempt));
  if (ran) {
    record.completion = loop_.now() - started;
    finish_one();
  } else if (static_cast<int>(record.tries.size()) >= options_.max_tries) {
    finish_one();
  } else {
    later(retry_wait, [this, index, kind, started] { try_request(index, kind, started); });
  }
}

void callers::start_job() {
  const auto& kind = options_.jobs[random_.below(options_.jobs.size())];
  const auto index = jobs_.size();
  jobs_.push_back({.key = fmt::format("job-{}-{}", options_.seed, index),
                   .job = {},
                   .members = kind.members,
                   .final_state = {},
                   .completion = {}});
  ++open_;
  try_submit(index, kind, loop_.now(), 0);
}

void callers::try_submit(std::size_t index, const job_kind& kind, instant started, int tries) {
  const http_request request{.method = "POST",
                             .path = "/v1/jobs",
                             .query = {},
                             .headers = {{"Idempotency-Key", jobs_[index].key}},
                             .body = kind.body};
  constexpr duration submit_timeout = std::chrono::seconds{20};
  client_.call(any_entry(), request, submit_timeout,
               [this, index, kind, started, tries](const http_result& result) {
                 on_submit_result(index, kind, started, tries, result);
               });
}

void callers::on_submit_result(std::size_t index, const job_kind& kind, instant started, int tries,
                               const http_result& result) {
  auto& record = jobs_[index];
  if (const auto* response = std::get_if<http_response>(&result)) {
    const auto body = nlohmann::json::parse(response->body, nullptr, false);
    const auto named = verdict_from_string(text_member(body, "verdict"));
    if (body.is_object() && body.contains("job")) {
      record.job = text_member(body["job"], "id");
    }
    if (named == verdict::ran) {
      record.accepted = true;
      record.refused = false;
      poll_job(index, started);
      return;
    }
    constexpr int unprocessable = 422;
    record.refused = tries == 0 && named == verdict::not_run;
    if (response->status == unprocessable) {
      finish_one();
      return;
    }
  } else {
    record.refused = false;
  }
  if (tries + 1 >= max_job_submissions) {
    finish_one();
    return;
  }
  later(retry_wait, [this, index, kind, started, tries] { try_submit(index, kind, started, tries + 1); });
}

void callers::poll_job(std::size_t index, instant started) {
  const http_request request{.method = "GET",
                             .path = "/v1/jobs/" + jobs_[index].job,
                             .query = "wait_ms=" + std::to_string(job_poll_wait.count() / 1000),
                             .headers = {},
                             .body = {}};
  client_.call(
      any_entry(), request, job_poll_wait + overdue_margin,
      [this, index, started](const http_result& result) {
        if (const auto* response = std::get_if<http_response>(&result)) {
          const auto body = nlohmann::json::parse(response->body, nullptr, false);
          const auto state =
              body.is_object() && body.contains("job") ? text_member(body["job"], "state") : "";
          if (state == "finished" || state == "failed" || state == "cancelled" || state == "refused") {
            jobs_[index].final_state = state;
            jobs_[index].completion = loop_.now() - started;
            finish_one();
            return;
          }
        }
        later(retry_wait, [this, index, started] { poll_job(index, started); });
      });
}

}  // namespace rhubarbpath::history_check

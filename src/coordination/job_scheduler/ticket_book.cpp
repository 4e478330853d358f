#include "rhubarbpath/coordination/ticket_book.hpp"

#include <algorithm>

namespace rhubarbpath {

std::optional<std::string> ticket_book::ticket(const step_ref& step, const candidate& on, instant now) const {
  const auto advice = steps_.find(step);
  if (advice == steps_.end()) {
    return std::nullopt;
  }
  const auto found = advice->second.workers.find(on.worker);
  if (found == advice->second.workers.end()) {
    return std::nullopt;
  }
  const auto& entry = found->second;
  const bool valid =
      entry.may_run && entry.born == on.born && now + margin_of(advice->second.validity) < entry.valid_until;
  return valid ? std::optional{entry.ticket} : std::nullopt;
}

/// Whether the worker or its incarnation is unknown, or it may run the step but its ticket has expired.
bool ticket_book::needs_call(const advice_state& advice, const candidate& about, instant now) const {
  const auto found = advice.workers.find(about.worker);
  if (found == advice.workers.end()) {
    return true;
  }
  const auto& entry = found->second;
  return entry.born != about.born || (entry.may_run && now + margin_of(advice.validity) >= entry.valid_until);
}

/// The largest call whose tickets are still valid for a start when the adviser has answered all open calls.
std::size_t ticket_book::most_workers_in_time(const adviser_config& adviser) const {
  if (adviser.per_worker <= duration::zero()) {
    return opts_.max_workers_per_call;
  }
  const auto usable = adviser.validity - margin_of(adviser.validity);
  const auto time_of_call = usable / static_cast<duration::rep>(opts_.open_calls) - adviser.decision;
  // Half of it, so that something is left of the validity.
  return static_cast<std::size_t>(std::max<duration::rep>(time_of_call / adviser.per_worker / 2, 1));
}

std::optional<advice_request> ticket_book::ask(const step_ref& step, const adviser_config& adviser,
                                               const std::vector<candidate>& candidates,
                                               std::size_t workers_needed, instant now) {
  auto& advice = steps_[step];
  if (open_calls_ >= opts_.open_calls || !advice.asked.empty() || now < advice.not_before) {
    return std::nullopt;
  }
  const auto call_size =
      std::min(std::clamp(2 * workers_needed, opts_.min_workers_per_call, opts_.max_workers_per_call),
               most_workers_in_time(adviser));
  // Workers that were allowed before come first, because they will be granted a new ticket.
  const auto is_known = [&](const candidate& each) {
    const auto found = advice.workers.find(each.worker);
    return found != advice.workers.end() && found->second.may_run;
  };
  for (const bool known_first : {true, false}) {
    for (const auto& each : candidates) {
      if (advice.asked.size() < call_size && is_known(each) == known_first && needs_call(advice, each, now)) {
        advice.asked.push_back(each);
      }
    }
  }
  if (advice.asked.empty()) {
    return std::nullopt;
  }
  ++open_calls_;
  advice.asked_at = now;
  advice.validity = adviser.validity;
  advice_request request{.step = step, .workers = {}, .timeout = {}};
  request.workers.reserve(advice.asked.size());
  for (const auto& each : advice.asked) {
    request.workers.push_back(each.worker);
  }
  const auto adviser_time =
      adviser.decision + adviser.per_worker * static_cast<duration::rep>(request.workers.size());
  request.timeout = adviser_time * static_cast<duration::rep>(opts_.open_calls) + opts_.call_margin;
  return request;
}

void ticket_book::answered(const step_ref& step, const std::optional<std::vector<granted_ticket>>& granted,
                           instant now) {
  open_calls_ -= open_calls_ > 0 ? 1 : 0;
  const auto found = steps_.find(step);
  if (found == steps_.end()) {
    return;  // The job has ended.
  }
  auto& advice = found->second;
  const auto asked = std::exchange(advice.asked, {});
  if (!granted) {
    advice.not_before = now + opts_.retry_pause;
    return;
  }
  for (const auto& each : asked) {
    const auto row = std::find_if(granted->begin(), granted->end(),
                                  [&](const granted_ticket& good) { return good.worker == each.worker; });
    const bool may_run = row != granted->end();
    // Validity is counted from the time of the call, because the time of the adviser's decision is unknown.
    advice.workers[each.worker] = {.born = each.born,
                                   .may_run = may_run,
                                   .ticket = may_run ? row->ticket : std::string{},
                                   .valid_until = advice.asked_at + advice.validity};
  }
}

void ticket_book::ticket_refused(const step_ref& step, const worker_id& worker) {
  if (const auto advice = steps_.find(step); advice != steps_.end()) {
    if (const auto found = advice->second.workers.find(worker); found != advice->second.workers.end()) {
      found->second.valid_until = instant{};
    }
  }
}

void ticket_book::forget(const job_id& job) {
  steps_.erase(steps_.lower_bound({.job = job}),
               std::find_if(steps_.lower_bound({.job = job}), steps_.end(),
                            [&](const auto& each) { return each.first.job != job; }));
}

}  // namespace rhubarbpath

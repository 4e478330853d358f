#include "rhubarbpath/coordination/ticket_book.hpp"

#include <algorithm>

namespace rhubarbpath {

std::optional<std::string> ticket_book::ticket(const step_ref& step, const candidate& on, instant now) const {
  const auto known = steps_.find(step);
  if (known == steps_.end()) {
    return std::nullopt;
  }
  const auto found = known->second.workers.find(on.worker);
  if (found == known->second.workers.end()) {
    return std::nullopt;
  }
  const auto& said = found->second;
  const bool valid = said.may_run && said.born == on.born && now + opts_.validity_margin < said.valid_until;
  return valid ? std::optional{said.ticket} : std::nullopt;
}

/// Nothing is known of the worker, or it may run the step and its ticket has lapsed or is of another life.
bool ticket_book::needs_call(const step_advice& known, const candidate& about, instant now) const {
  const auto found = known.workers.find(about.worker);
  if (found == known.workers.end()) {
    return true;
  }
  const auto& said = found->second;
  return said.may_run && (said.born != about.born || now + opts_.validity_margin >= said.valid_until);
}

std::optional<advice_request> ticket_book::ask(const step_ref& step, const adviser_config& adviser,
                                               const std::vector<candidate>& candidates, std::size_t wanted,
                                               instant now) {
  auto& known = steps_[step];
  if (open_calls_ >= opts_.open_calls || !known.asked.empty() || now < known.not_before) {
    return std::nullopt;
  }
  const auto most = std::clamp(2 * wanted, opts_.least_workers_named, opts_.most_workers_named);
  // Workers that are known to be allowed come first: their answer is certain.
  const auto allowed = [&](const candidate& each) { return known.workers.contains(each.worker); };
  for (const bool known_first : {true, false}) {
    for (const auto& each : candidates) {
      if (known.asked.size() < most && allowed(each) == known_first && needs_call(known, each, now)) {
        known.asked.push_back(each);
      }
    }
  }
  if (known.asked.empty()) {
    return std::nullopt;
  }
  ++open_calls_;
  known.asked_at = now;
  known.validity = adviser.validity;
  advice_request request{.step = step, .workers = {}, .timeout = {}};
  request.workers.reserve(known.asked.size());
  for (const auto& each : known.asked) {
    request.workers.push_back(each.worker);
  }
  const auto own_time =
      adviser.decision + adviser.per_worker * static_cast<duration::rep>(request.workers.size());
  request.timeout = own_time * static_cast<duration::rep>(opts_.open_calls) + opts_.call_margin;
  return request;
}

void ticket_book::answered(const step_ref& step, const std::optional<std::vector<granted_ticket>>& granted,
                           instant now) {
  open_calls_ -= open_calls_ > 0 ? 1 : 0;
  const auto found = steps_.find(step);
  if (found == steps_.end()) {
    return;  // The job has ended.
  }
  auto& known = found->second;
  const auto asked = std::exchange(known.asked, {});
  if (!granted) {
    known.not_before = now + opts_.retry_pause;
    return;
  }
  for (const auto& each : asked) {
    const auto row = std::find_if(granted->begin(), granted->end(),
                                  [&](const granted_ticket& good) { return good.worker == each.worker; });
    const bool may_run = row != granted->end();
    // Validity is counted from the call, because it is not known when the adviser decided.
    known.workers[each.worker] = {.born = each.born,
                                  .may_run = may_run,
                                  .ticket = may_run ? row->ticket : std::string{},
                                  .valid_until = known.asked_at + known.validity};
  }
}

void ticket_book::ticket_refused(const step_ref& step, const worker_id& worker) {
  if (const auto known = steps_.find(step); known != steps_.end()) {
    if (const auto found = known->second.workers.find(worker); found != known->second.workers.end()) {
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

#include "rhubarbpath/coordination/ticket_book.hpp"

#include <algorithm>

namespace rhubarbpath {

namespace {

/// `first` doubled for each further time in a row, up to `most`.
duration growing_pause(duration first, duration most, int times) {
  auto pause = first;
  for (int i = 1; i < times && pause < most; ++i) {
    pause *= 2;
  }
  return std::min(pause, most);
}

}  // namespace

// ---- answers ----

const ticket_book::verdict* ticket_book::find(const step_ref& step, const candidate& on) const {
  const auto advice = steps_.find(step);
  if (advice == steps_.end()) {
    return nullptr;
  }
  const auto found = advice->second.workers.find(on.worker);
  return found == advice->second.workers.end() || found->second.born != on.born ? nullptr : &found->second;
}

permission ticket_book::permission_for(const step_ref& step, const candidate& on) const {
  const auto* known = find(step, on);
  if (known == nullptr) {
    return permission::unknown;
  }
  return known->may_run ? permission::allowed : permission::refused;
}

bool ticket_book::has_ticket(const step_ref& step, const candidate& on, instant now) const {
  const auto* known = find(step, on);
  return known != nullptr && known->may_run && now < known->usable_until;
}

std::string ticket_book::latest_ticket(const step_ref& step, const candidate& on) const {
  const auto* known = find(step, on);
  return known == nullptr ? std::string{} : known->ticket;
}

void ticket_book::ticket_refused(const step_ref& step, const worker_id& worker, instant now) {
  const auto advice = steps_.find(step);
  if (advice == steps_.end()) {
    return;
  }
  auto& state = advice->second;
  const auto found = state.workers.find(worker);
  if (found == state.workers.end()) {
    return;
  }
  found->second.usable_until = instant{};
  found->second.valid_until = instant{};
  if (found->second.round != state.last_refused_round) {
    state.last_refused_round = found->second.round;
    note_wasted_round(state, now);
  }
}

void ticket_book::note_wasted_round(advice_state& advice, instant now) const {
  advice.start_awaited = false;
  ++advice.wasted_rounds;
  // A single one may be due to a restart of the worker, or to a start that was late.
  if (advice.wasted_rounds > 1) {
    advice.not_before =
        std::max(advice.not_before,
                 now + growing_pause(opts_.step_pause, opts_.max_step_pause, advice.wasted_rounds - 1));
  }
}

void ticket_book::start_accepted(const step_ref& step) {
  if (const auto advice = steps_.find(step); advice != steps_.end()) {
    advice->second.wasted_rounds = 0;
    advice->second.start_awaited = false;
    advice->second.not_before = instant{};
  }
}

void ticket_book::forget(const step_ref& step) {
  steps_.erase(step);
  waiting_.erase(step);
  if (is_asking(step)) {
    round_->to_ask.clear();
  }
}

void ticket_book::forget(const job_id& job) {
  const auto erase_from = [&](auto& by_step) {
    const auto begin = by_step.lower_bound({.job = job});
    by_step.erase(
        begin, std::find_if(begin, by_step.end(), [&](const auto& each) { return each.first.job != job; }));
  };
  erase_from(steps_);
  erase_from(waiting_);
  if (round_ && round_->step.job == job) {
    round_->to_ask.clear();
  }
}

bool ticket_book::has_refused(const step_ref& step) const {
  const auto advice = steps_.find(step);
  return advice != steps_.end() && std::any_of(advice->second.workers.begin(), advice->second.workers.end(),
                                               [](const auto& known) { return !known.second.may_run; });
}

bool ticket_book::call_failed(const step_ref& step) const {
  const auto advice = steps_.find(step);
  return advice != steps_.end() && advice->second.failed_calls > 0;
}

std::optional<ticket_book::round_facts> ticket_book::wasted_round(const step_ref& step) const {
  const auto advice = steps_.find(step);
  return advice != steps_.end() && advice->second.wasted_rounds > 1 ? std::optional{advice->second.last_round}
                                                                    : std::nullopt;
}

// ---- terms ----

duration ticket_book::round_time(const adviser_config& adviser, std::size_t workers) const {
  return adviser.decision * static_cast<duration::rep>(calls_of(workers)) +
         adviser.per_worker * static_cast<duration::rep>(workers);
}

bool ticket_book::in_time(const adviser_config& adviser, std::size_t workers) const {
  return round_time(adviser, workers) + opts_.answer_delay + margin_of(adviser.validity) <= adviser.validity;
}

bool ticket_book::can_be_valid_together(const adviser_config& adviser, std::size_t workers) const {
  const auto first_call = round_time(adviser, std::min(workers, opts_.max_workers_per_call));
  return round_time(adviser, workers) - first_call < adviser.validity;
}

std::size_t ticket_book::most_workers(const adviser_config& adviser, duration left) const {
  const auto spare_time = adviser.validity - left - round_time(adviser, 1);
  if (spare_time < duration::zero()) {
    return 0;
  }
  if (adviser.per_worker <= duration::zero()) {
    return opts_.max_workers_per_call;
  }
  return std::min(1 + static_cast<std::size_t>(spare_time / adviser.per_worker), opts_.max_workers_per_call);
}

std::size_t ticket_book::efficient_call_size(const adviser_config& adviser) const {
  if (adviser.per_worker <= duration::zero()) {
    return opts_.max_workers_per_call;
  }
  return std::clamp(static_cast<std::size_t>(adviser.decision / adviser.per_worker),
                    opts_.min_workers_per_call, opts_.max_workers_per_call);
}

std::size_t ticket_book::call_size(const adviser_config& adviser, std::size_t needed,
                                   bool learn_first) const {
  const auto wanted =
      std::min(std::max(2 * needed, efficient_call_size(adviser)), opts_.max_workers_per_call);
  const auto least = std::clamp<std::size_t>(needed, 1, opts_.max_workers_per_call);
  const auto in_time = most_workers(adviser, opts_.answer_delay + margin_of(adviser.validity));
  return std::max(learn_first ? wanted : std::min(wanted, in_time), least);
}

std::size_t ticket_book::useful_call_size(const adviser_config& adviser, std::size_t useful) const {
  const auto most = std::min(efficient_call_size(adviser), most_workers(adviser, opts_.answer_delay));
  return std::clamp<std::size_t>(useful, 1, std::max<std::size_t>(most, 1));
}

// ---- turns ----

bool ticket_book::is_paused(const step_ref& step, instant now) const {
  const auto advice = steps_.find(step);
  return advice != steps_.end() && now < advice->second.not_before;
}

void ticket_book::sort_by_turn(std::vector<want>& wants) {
  for (const auto& each : wants) {
    waiting_.try_emplace(each.step, turns_);
  }
  ++turns_;
  const bool by_rank = turns_ % (opts_.turns_by_rank + 1) != 0;
  const auto key_of = [&](const want& each) {
    return std::pair{by_rank ? each.rank : 0, waiting_.at(each.step)};
  };
  std::stable_sort(wants.begin(), wants.end(),
                   [&](const want& left, const want& right) { return key_of(left) < key_of(right); });
}

void ticket_book::pass_turn(const step_ref& step) {
  waiting_[step] = turns_;
}

// ---- calls ----

advice_request ticket_book::ask(const step_ref& step, const adviser_config& adviser, purpose why,
                                std::vector<candidate> workers, instant now) {
  waiting_.erase(step);
  auto& advice = steps_[step];
  advice.last_round = {.workers = workers.size(), .terms = adviser};
  if (why == purpose::start && advice.start_awaited) {
    note_wasted_round(advice, now + round_time(adviser, workers.size()));
  }
  round_.emplace(
      round{.step = step, .terms = adviser, .to_ask = std::move(workers), .number = ++rounds_, .why = why});
  return next_call(now);
}

advice_request ticket_book::next_call(instant now) {
  auto& to_ask = round_->to_ask;
  const auto size = std::min(to_ask.size(), opts_.max_workers_per_call);
  const auto end = to_ask.begin() + static_cast<std::ptrdiff_t>(size);
  round_->asked.assign(to_ask.begin(), end);
  to_ask.erase(to_ask.begin(), end);
  round_->asked_at = now;
  advice_request request{
      .step = round_->step, .workers = {}, .timeout = round_time(round_->terms, size) + opts_.call_margin};
  request.workers.reserve(size);
  for (const auto& each : round_->asked) {
    request.workers.push_back(each.worker);
  }
  return request;
}

std::optional<advice_request> ticket_book::answered(const step_ref& step,
                                                    const std::optional<std::vector<granted_ticket>>& granted,
                                                    instant now) {
  if (!is_asking(step)) {
    return std::nullopt;
  }
  const auto found = steps_.find(step);
  failed_calls_ = granted ? 0 : failed_calls_ + 1;
  if (!granted) {
    not_before_ = now + growing_pause(opts_.failure_pause, opts_.max_failure_pause, failed_calls_);
    round_->to_ask.clear();
  }
  if (found == steps_.end()) {
    round_.reset();  // The job has ended.
    return std::nullopt;
  }
  auto& advice = found->second;
  advice.failed_calls = granted ? 0 : advice.failed_calls + 1;
  if (!granted) {
    advice.not_before = now + growing_pause(opts_.step_pause, opts_.max_step_pause, advice.failed_calls);
    round_.reset();
    return std::nullopt;
  }
  std::map<worker_id, std::string> tickets;
  for (const auto& row : *granted) {
    tickets.try_emplace(row.worker, row.ticket);
  }
  const auto validity = round_->terms.validity;
  for (const auto& each : round_->asked) {
    const auto row = tickets.find(each.worker);
    const bool may_run = row != tickets.end();
    advice.workers[each.worker] = {.born = each.born,
                                   .may_run = may_run,
                                   .ticket = may_run ? row->second : std::string{},
                                   .usable_until = round_->asked_at + validity - margin_of(validity),
                                   .valid_until = now + validity,
                                   .round = round_->number};
    round_->answered.push_back(each.worker);
  }
  if (!round_->to_ask.empty()) {
    return next_call(now);
  }
  finish_round(now);
  return std::nullopt;
}

void ticket_book::finish_round(instant now) {
  auto& advice = steps_.at(round_->step);
  const bool use_at_once = round_->why != purpose::learn_spares;
  const auto until = use_at_once ? now + time_to_use(round_->terms.validity) : instant{};
  advice.start_awaited = round_->why == purpose::start;
  for (const auto& worker : round_->answered) {
    auto& known = advice.workers.at(worker);
    known.usable_until = std::max(known.usable_until, std::min(until, known.valid_until));
  }
  round_.reset();
}

}  // namespace rhubarbpath

#include "job_units.hpp"

#include <algorithm>
#include <utility>

namespace rhubarbpath::detail {

std::vector<number_range> ranges_of(const number_set& set) {
  std::vector<number_range> ranges;
  for (const auto& interval : set) {
    ranges.push_back({.first = interval.lower(), .last = interval.upper() - 1});
  }
  return ranges;
}

std::uint32_t step_state::mark_done(const number_range& range) {
  const auto before = boost::icl::cardinality(done);
  add_range(done, range);
  return static_cast<std::uint32_t>(boost::icl::cardinality(done) - before);
}

const step_state* occurrence_state::find(std::uint32_t step) const {
  const auto found = steps.find(step);
  return found == steps.end() ? nullptr : &found->second;
}

step_state* occurrence_state::find(std::uint32_t step) {
  const auto found = steps.find(step);
  return found == steps.end() ? nullptr : &found->second;
}

bool occurrence_state::has_waiting(std::uint32_t step) const {
  const auto* state = find(step);
  return left[step] > 0 && (state == nullptr || state->first_waiting < state->unit_count);
}

void occurrence_state::mark_done(std::uint32_t step, const number_range& range) {
  const auto added = steps.at(step).mark_done(range);
  left[step] -= added;
  units_left -= added;
}

void occurrence_state::close_if_done(std::uint32_t step) {
  const auto found = steps.find(step);
  if (left[step] == 0 && found != steps.end() && found->second.units.empty()) {
    steps.erase(found);
  }
}

std::uint32_t step_state::next_open(std::uint32_t number) const {
  if (done.empty()) {
    return number;
  }
  const auto found = done.find(number);
  return found == done.end() ? number : found->upper();
}

job_units::job_units(const job_graph& graph)
    : occurrence_count_{std::max<std::uint32_t>(1, graph.occurrences)}, occurrences_left_{occurrence_count_} {
  for (const auto& step : graph.steps) {
    const auto units = step.gang ? std::min<std::uint32_t>(1, step.count) : step.count;
    shapes_.push_back({.units = units, .members = step.gang ? step.count : 1, .gang = step.gang});
    units_per_occurrence_ += units;
  }
}

occurrence_state& job_units::open(std::uint32_t occurrence, bool inherited, instant now) {
  const auto [place, inserted] = open_.try_emplace(occurrence);
  auto& opened = place->second;
  if (inserted) {
    opened.number = occurrence;
    opened.inherited = inherited;
    opened.opened_at = now;
    opened.units_left = units_per_occurrence_;
    opened.left.reserve(shapes_.size());
    for (const auto& shape : shapes_) {
      opened.left.push_back(shape.units);
    }
  }
  return opened;
}

void job_units::open_due(std::uint64_t due_count, bool inherited, instant now) {
  const auto end = std::min<std::uint64_t>(due_count, occurrence_count_);
  const auto most = std::clamp<std::size_t>(job_bounds::open_steps / std::max<std::size_t>(1, shapes_.size()),
                                            1, max_open_occurrences);
  while (next_occurrence_ < end && open_.size() < most) {
    const auto done = done_occurrences_.find(next_occurrence_);
    next_occurrence_ = done == done_occurrences_.end() ? next_occurrence_ : done->upper();
    if (next_occurrence_ >= end) {
      return;
    }
    finish_if_done(open(next_occurrence_++, inherited, now));
  }
}

occurrence_state* job_units::find_occurrence(std::uint32_t occurrence) {
  const auto found = open_.find(occurrence);
  return found == open_.end() ? nullptr : &found->second;
}

const occurrence_state* job_units::find_occurrence(std::uint32_t occurrence) const {
  const auto found = open_.find(occurrence);
  return found == open_.end() ? nullptr : &found->second;
}

step_state* job_units::find_step(std::uint32_t occurrence, std::uint32_t step) {
  auto* found = find_occurrence(occurrence);
  return found == nullptr ? nullptr : found->find(step);
}

unit* job_units::find(std::uint32_t occurrence, std::uint32_t step, std::uint32_t number) {
  auto* in = find_step(occurrence, step);
  if (in == nullptr) {
    return nullptr;
  }
  const auto found = in->units.find(number);
  return found == in->units.end() ? nullptr : &found->second;
}

unit* job_units::find_or_create(std::uint32_t occurrence, std::uint32_t step, std::uint32_t number,
                                bool inherited, instant now) {
  if (auto* existing = find(occurrence, step, number); existing != nullptr) {
    return existing;
  }
  if (occurrence >= occurrence_count_ || step >= shapes_.size() || number >= shapes_[step].units ||
      is_done(occurrence)) {
    return nullptr;
  }
  auto& in = open(occurrence, inherited, now);
  return in.left[step] > 0 && open_step(in, step).next_open(number) == number ? &create(in, step, number)
                                                                              : nullptr;
}

step_state& job_units::open_step(occurrence_state& in, std::uint32_t step) {
  if (auto* found = in.find(step); found != nullptr) {
    return *found;
  }
  return in.steps.try_emplace(step, step_state{.unit_count = shapes_[step].units, .units = {}, .done = {}})
      .first->second;
}

unit& job_units::create(occurrence_state& in, std::uint32_t step, std::uint32_t number) {
  auto& state = open_step(in, step);
  const auto [place, inserted] = state.units.try_emplace(number);
  auto& created = place->second;
  if (inserted) {
    const auto& shape = shapes_[step];
    created.occurrence = in.number;
    created.step = step;
    created.number = number;
    created.first_index = shape.gang ? 0 : number;
    created.members.resize(shape.members);
    created.inherited = in.inherited;
    created.waiting_since = state.ready_since.value_or(in.opened_at);
  }
  return created;
}

void job_units::mark_done(const done_units& done, bool inherited, instant now) {
  if (done.occurrence >= occurrence_count_ || done.step >= shapes_.size() || is_done(done.occurrence) ||
      done.units.first > done.units.last || done.units.last >= shapes_[done.step].units) {
    return;
  }
  auto& occurrence = open(done.occurrence, inherited, now);
  if (occurrence.left[done.step] > 0) {
    static_cast<void>(open_step(occurrence, done.step));
    occurrence.mark_done(done.step, done.units);
    occurrence.close_if_done(done.step);
  }
  finish_if_done(occurrence);
}

void job_units::mark_occurrences_done(const number_range& occurrences) {
  if (occurrences.first > occurrences.last || occurrences.last >= occurrence_count_) {
    return;
  }
  const auto before = boost::icl::cardinality(done_occurrences_);
  add_range(done_occurrences_, occurrences);
  occurrences_left_ -= static_cast<std::uint32_t>(boost::icl::cardinality(done_occurrences_) - before);
}

void job_units::complete(unit& done) {
  auto& occurrence = open_.at(done.occurrence);
  done.phase = unit_phase::done;
  occurrence.mark_done(done.step, {.first = done.number, .last = done.number});
  if (occurrence.units_left == 0) {
    mark_occurrences_done({.first = done.occurrence, .last = done.occurrence});
  }
}

void job_units::release(const unit& done) {
  auto& occurrence = open_.at(done.occurrence);
  const auto step = done.step;
  occurrence.steps.at(step).units.erase(done.number);
  occurrence.close_if_done(step);
  finish_if_done(occurrence);
}

void job_units::clear() {
  open_.clear();
  shapes_ = {};
  done_occurrences_ = {};
}

void job_units::finish_if_done(occurrence_state& occurrence) {
  const bool has_units = std::any_of(occurrence.steps.begin(), occurrence.steps.end(),
                                     [](const auto& step) { return !step.second.units.empty(); });
  if (occurrence.units_left == 0 && !has_units) {
    mark_occurrences_done({.first = occurrence.number, .last = occurrence.number});
    open_.erase(occurrence.number);
  }
}

void job_units::describe(job_progress& progress) const {
  const auto finished = static_cast<std::uint64_t>(boost::icl::cardinality(done_occurrences_));
  auto done_count = finished * units_per_occurrence_;
  for (const auto& [number, occurrence] : open_) {
    done_count += is_done(number) ? 0 : units_per_occurrence_ - occurrence.units_left;
  }
  const auto occurrences = ranges_of(done_occurrences_);
  if (done_count > max_done_units_listed_singly || units_per_occurrence_ == 0) {
    progress.done_occurrences = occurrences;
  } else {
    for (const auto& range : occurrences) {
      for (auto number = range.first; number <= range.last; ++number) {
        for (std::uint32_t step = 0; step < shapes_.size(); ++step) {
          if (shapes_[step].units > 0) {
            progress.done.push_back(
                {.occurrence = number, .step = step, .units = {.first = 0, .last = shapes_[step].units - 1}});
          }
        }
      }
    }
  }
  for (const auto& [number, occurrence] : open_) {
    if (is_done(number)) {
      continue;
    }
    for (std::uint32_t step = 0; step < occurrence.left.size(); ++step) {
      const auto* state = occurrence.find(step);
      if (state == nullptr) {
        if (occurrence.left[step] == 0 && shapes_[step].units > 0) {
          progress.done.push_back(
              {.occurrence = number, .step = step, .units = {.first = 0, .last = shapes_[step].units - 1}});
        }
        continue;
      }
      for (const auto& range : ranges_of(state->done)) {
        progress.done.push_back({.occurrence = number, .step = step, .units = range});
      }
      for (const auto& [unit_number, each] : state->units) {
        if (each.phase != unit_phase::done && (!each.failed_runs.empty() || !each.checkpoint.empty())) {
          progress.units.push_back({.occurrence = number,
                                    .step = step,
                                    .unit = unit_number,
                                    .failed_runs = each.failed_runs,
                                    .last_run = each.run,
                                    .checkpoint = each.checkpoint});
        }
      }
    }
  }
}

}  // namespace rhubarbpath::detail

#include "standing_check.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace rhubarbpath::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration check_period{milliseconds{50}};
/// Nothing of a job may run for at most this long while a task of it could.
constexpr duration stand_limit{seconds{3}};
/// A task that lasts must run again this long after its last run.
constexpr duration lasting_stand_limit{seconds{6}};
/// The rule asks for this much calm before the 3 s.
constexpr duration calm_before{seconds{4}};
/// A worker is in touch this long after its last disturbance.
constexpr duration contact{seconds{3}};
constexpr duration stop_timeout{milliseconds{200}};
/// A run on a worker that says nothing may go on for the longest lease on a clock that is 2% slow, and a stop
/// takes its time. Until then no other run may start.
constexpr duration longest_hold = longest_lease * 102 / 100 + stop_timeout;
constexpr int room_times = 2;

std::int64_t in_ms(duration length) {
  return std::chrono::duration_cast<milliseconds>(length).count();
}

std::string name_of(const task_name& task) {
  return fmt::format("{}.0.{}.{}", task.job, task.step, task.index);
}

}  // namespace

standing_check::standing_check(dependencies deps)
    : deps_{std::move(deps)},
      disturbed_until_{deps_.loop.now()},
      worker_disturbed_(deps_.fleet.size()),
      sound_(deps_.fleet.size()) {}

void standing_check::begin() {
  timer_ = deps_.loop.run_every(check_period, [this] { check(); });
}

void standing_check::service_disturbed(duration length) {
  disturbed_until_ = std::max(disturbed_until_, deps_.loop.now() + length);
  first_owner_ = false;
}

void standing_check::worker_disturbed(std::size_t worker, duration length) {
  const auto now = deps_.loop.now();
  worker_disturbed_[worker] = std::max(worker_disturbed_[worker], now + length);
  worker_unreachable_at_ = now;
  // The lease of a run on a worker that is lost or cut off lasts on, and its end may be unknown.
  for (const auto& job : deps_.fleet.jobs_on(worker)) {
    excuse_job(job, now + longest_hold);
  }
}

void standing_check::order_lost(const std::string& job) {
  auto& found = excuses_[job];
  // A call without an answer may have been executed. Only one such wait is allowed until the job runs again:
  // the owner could choose another worker, or a shorter lease, for the next.
  if (!std::exchange(found.order_lost, true)) {
    found.until = std::max(found.until, deps_.loop.now() + longest_hold);
  }
}

void standing_check::bytes_lost(std::string_view bytes) {
  constexpr std::string_view field = R"("task":")";
  constexpr std::size_t id_length = 16;
  if (bytes.find("/api/run-start") == std::string_view::npos) {
    return;
  }
  for (auto at = bytes.find(field); at != std::string_view::npos; at = bytes.find(field, at + 1)) {
    order_lost(std::string{bytes.substr(at + field.size(), id_length)});
  }
}

void standing_check::faults_cleared() {
  const auto now = deps_.loop.now();
  disturbed_until_ = std::min(disturbed_until_, now);
  for (auto& until : worker_disturbed_) {
    until = std::min(until, now);
  }
}

void standing_check::excuse_job(const std::string& job, instant until) {
  auto& found = excuses_[job];
  found.until = std::max(found.until, until);
}

bool standing_check::calm(instant now) {
  const auto since = now - disturbed_until_;
  // Without an owner, with a store that does not answer, or while starts are held, nothing can start.
  if (since < calm_before) {
    return false;
  }
  // A new owner does not know what the one before it started on workers that do not answer.
  const bool owner_may_be_new = !first_owner_ && since < longest_hold;
  return !owner_may_be_new || disturbed_until_ - worker_unreachable_at_ > longest_hold;
}

void standing_check::measure_fleet(instant now) {
  capacity_ = {};
  used_ = {};
  for (std::size_t i = 0; i < sound_.size(); ++i) {
    const auto worker = deps_.fleet.view(i);
    if (!deps_.fleet.present(i) || now < worker_disturbed_[i]) {
      worker_unreachable_at_ = now;
    }
    sound_[i] =
        worker.takes_work && now - worker.alive_since >= contact && now - worker_disturbed_[i] >= contact;
    if (sound_[i]) {
      capacity_ += worker_capacity;
      used_ += worker.used;
    }
  }
}

void standing_check::check() {
  const auto now = deps_.loop.now();
  measure_fleet(now);
  const bool half_is_free = capacity_.cpu > 0 && capacity_.covers(used_ + used_ + amounts{1, 1, 1});
  ++checks_;
  calm_checks_ += calm(now) ? 1 : 0;
  half_free_checks_ += half_is_free ? 1 : 0;
  if (!calm(now) || !half_is_free) {
    while (!stands_.empty()) {
      end_stand(std::string{stands_.begin()->first}, now);
    }
    return;
  }
  std::vector<std::string> owed;
  deps_.clients.for_each_owed([&](const std::string& job) { owed.push_back(job); });
  std::erase_if(stands_, [&](const auto& each) {
    return std::find(owed.begin(), owed.end(), each.first.substr(0, each.first.find('.'))) == owed.end();
  });
  for (const auto& job : owed) {
    check_job(job, now);
  }
}

bool standing_check::turn_has_come(const std::string& job, const soak_step& step) const {
  const auto& steps = *deps_.fleet.steps_of(job);
  return std::all_of(step.after.begin(), step.after.end(), [&](int before) {
    for (int i = 0; i < steps[static_cast<std::size_t>(before)].count; ++i) {
      if (!deps_.fleet.done({.job = job, .step = before, .index = i})) {
        return false;
      }
    }
    return true;
  });
}

int standing_check::room_for(const std::string& job, int step_number, const soak_step& step) const {
  int room = 0;
  for (std::size_t i = 0; i < sound_.size(); ++i) {
    const auto worker = deps_.fleet.view(i);
    if (!sound_[i] || !step.allowed_with(worker.kind, worker.rack)) {
      continue;
    }
    int limit = room_times * step.count;
    if (step.max_per_server > 0) {
      limit = std::min(limit, step.max_per_server - deps_.fleet.count_of_step(i, job, step_number));
    }
    auto taken = worker.used + needs(step);
    for (int fits = 0; fits < limit && worker_capacity.covers(taken); ++fits) {
      ++room;
      taken += needs(step);
    }
  }
  return room;
}

void standing_check::check_job(const std::string& job, instant now) {
  const auto& fleet = deps_.fleet;
  const auto* steps = fleet.steps_of(job);
  const bool runs = fleet.running(job);
  if (runs) {
    excuses_[job].order_lost = false;
  }
  // The owner may have to run a task again whose end it cannot know; what is next is unclear then.
  const bool judged = steps != nullptr && now >= excuses_[job].until && !fleet.may_rerun(job);
  bool stands = false;
  for (int number = 0; judged && number < static_cast<int>(steps->size()); ++number) {
    const auto& step = (*steps)[static_cast<std::size_t>(number)];
    if ((runs && !step.long_running) || !turn_has_come(job, step)) {
      continue;
    }
    const int wanted = room_times * (step.gang ? step.count : 1);
    const int room = room_for(job, number, step);
    for (int index = 0; index < step.count; ++index) {
      const task_name task{.job = job, .step = number, .index = index};
      if (fleet.done(task)) {
        continue;
      }
      if (step.long_running) {
        if (room >= wanted && !fleet.running(task)) {
          judge(name_of(task), {.task = task, .step = &step, .room = room}, now, lasting_stand_limit);
        } else {
          end_stand(name_of(task), now);
        }
      } else if (room >= wanted && !stands) {
        stands = true;
        judge(job, {.task = task, .step = &step, .room = room}, now, stand_limit);
      }
    }
  }
  if (!stands) {
    end_stand(job, now);
  }
  if (!judged) {
    std::erase_if(stands_, [&](const auto& each) { return each.first.starts_with(job); });
  }
}

void standing_check::judge(const std::string& key, const candidate& found, instant now, duration limit) {
  ++waits_seen_;
  auto& current = stands_.try_emplace(key, stand{.since = now, .reported = false, .text = {}}).first->second;
  const auto stood = now - current.since;
  const auto* last = deps_.fleet.last_run_of(found.task);
  const auto idle = last == nullptr ? stood : std::max(stood, now - last->ended_at);
  longest_stand_ = std::max(longest_stand_, stood);
  if (current.reported || stood <= stand_limit || (found.step->long_running && idle <= limit)) {
    return;
  }
  current.reported = true;
  deps_.violation(fmt::format("LOST: job {} has had nothing running for {} ms: {}", found.task.job,
                              in_ms(stood), describe(found, now)));
}

void standing_check::end_stand(const std::string& key, instant now) {
  const auto found = stands_.find(key);
  if (found == stands_.end()) {
    return;
  }
  constexpr duration traced_stand{seconds{1}};
  if (now - found->second.since >= traced_stand) {
    deps_.trace(fmt::format("{} stood for {} ms", key, in_ms(now - found->second.since)));
  }
  stands_.erase(found);
}

std::string standing_check::describe(const candidate& found, instant now) const {
  const auto& step = *found.step;
  const auto* last = deps_.fleet.last_run_of(found.task);
  const auto last_text = last == nullptr
                             ? std::string{"never ran"}
                             : fmt::format("run {} on {} ({}) ended as {} {} ms ago", last->run, last->worker,
                                           last->rack, last->outcome, in_ms(now - last->ended_at));
  return fmt::format(
      "task {}, {}; {}{}{}data rack \"{}\", label \"{}\"; room for {}, {} of {} cpu and {} of {} gpu in use, "
      "service calm for {} ms",
      name_of(found.task), last_text, step.gang ? fmt::format("gang of {}, ", step.count) : "",
      step.same_rack ? "one rack, " : "", step.long_running ? "lasts, " : "", step.data_rack,
      step.required_label, found.room, used_.cpu, capacity_.cpu, used_.accelerators, capacity_.accelerators,
      in_ms(now - disturbed_until_));
}

std::string standing_check::summary() const {
  return fmt::format(
      "{} checks for jobs that stand ({} in calm, {} with half free, {} waits seen), longest stand {} ms",
      checks_, calm_checks_, half_free_checks_, waits_seen_, in_ms(longest_stand_));
}

}  // namespace rhubarbpath::soak

// Compares three ways to keep the state of one failure domain in the store, with the same job events: one row
// that holds the whole state, a row per job, and the numbered log with group commit. Prints one JSON object
// per line. Calls and bytes are counted in a simulated store, so the figures do not depend on the machine.

#include "rhubarbpath/coordination/domain_log.hpp"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "../tests/coordination/simulated_domain.hpp"
#include "rhubarbpath/protocol/log_codec.hpp"

namespace rhubarbpath {
namespace {

const cbor_log_codec codec;

struct timed_entry {
  instant at;
  log_entry entry;
};

struct settings {
  int jobs{0};
  duration run_time{};
  duration round_trip{};
  double events_per_second{0};
  std::uint64_t seed{0};
  int takeovers{0};
};

job_spec example_spec() {
  return {.team = team_id{"tutu-loans"},
          .job_class = class_id{"overnight"},
          .shape = {.accelerators_per_member = 8, .members = 4, .within = proximity::rack},
          .declared_run_time = duration{3'600'000'000},
          .command = "assess --batch 2026-12-04 --checkpoint-minutes 10 --input s3://batches/a"};
}

/// Every job is accepted, placed, started and finished; arrivals are spread evenly with jitter.
std::vector<timed_entry> make_events(const settings& given) {
  random_source random{given.seed};
  std::vector<timed_entry> events;
  const duration step{static_cast<std::int64_t>(4e6 / given.events_per_second)};
  instant arrival{};
  for (int i = 0; i < given.jobs; ++i) {
    arrival += random.jittered(step);
    const job_id job{"4f1c7a90e2d34b5c8a6f-" + std::to_string(i)};
    std::vector<member_placement> placement;
    placement.reserve(4);
    for (int member = 0; member < 4; ++member) {
      placement.push_back(
          {.worker = worker_id{"tas-hba-r12-w" + std::to_string(member)}, .accelerators = 255});
    }
    const attempt_number attempt{1};
    const auto placed = arrival + duration{150'000};
    const auto started = placed + duration{50'000};
    const auto ended = started + random.jittered(given.run_time);
    events.push_back({arrival, job_accepted{.job = job, .spec = example_spec(), .at = arrival}});
    events.push_back(
        {placed, job_placed{.job = job, .attempt = attempt, .placement = placement, .at = placed}});
    events.push_back({started, job_started{.job = job, .attempt = attempt, .at = started}});
    events.push_back({ended, job_ended{.job = job, .attempt = attempt, .at = ended}});
  }
  std::stable_sort(events.begin(), events.end(),
                   [](const timed_entry& left, const timed_entry& right) { return left.at < right.at; });
  return events;
}

struct totals {
  std::uint64_t writes{0};  ///< Puts and erases.
  std::uint64_t reads{0};
  std::uint64_t bytes{0};  ///< Of the values written.
  std::size_t largest_value{0};
  duration last_commit{};  ///< From the last event to its commit.
};

void count_write(totals& sum, std::size_t bytes) {
  ++sum.writes;
  sum.bytes += bytes;
  sum.largest_value = std::max(sum.largest_value, bytes);
}

std::size_t state_bytes(const domain_state& state) {
  std::size_t bytes = 0;
  const auto parts = codec.encode_snapshot({.state = state}, std::size_t{1} << 30U);
  for (const auto& part : *parts) {
    bytes += part.size();
  }
  return bytes;
}

/// One row with compare-and-swap: every write carries the whole state; events wait for the write in flight.
totals run_single_row(const std::vector<timed_entry>& events, const settings& given) {
  totals sum;
  domain_state state;
  instant free_at{};
  for (std::size_t i = 0; i < events.size();) {
    const auto begin = std::max(free_at, events[i].at);
    for (; i < events.size() && events[i].at <= begin; ++i) {
      apply(events[i].entry, state);
    }
    count_write(sum, state_bytes(state));
    free_at = begin + given.round_trip;
  }
  sum.last_commit = free_at - events.back().at;
  return sum;
}

/// A row per job with compare-and-swap: every event of a job writes its record; an ended job's row is erased.
totals run_row_per_job(const std::vector<timed_entry>& events, const settings& given) {
  totals sum;
  domain_state state;
  for (const auto& event : events) {
    apply(event.entry, state);
    domain_state alone;
    for (const auto& [id, job] : state.jobs) {
      const bool concerned = std::visit(
          [&, &key = id](const auto& typed) {
            if constexpr (requires { typed.job; }) {
              return typed.job == key;
            }
            return false;
          },
          event.entry);
      if (concerned) {
        alone.jobs.emplace(id, job);
      }
    }
    count_write(sum, state_bytes(alone));
    if (std::holds_alternative<job_ended>(event.entry)) {
      ++sum.writes;
      state.jobs.erase(std::get<job_ended>(event.entry).job);
    }
  }
  sum.last_commit = given.round_trip;
  return sum;
}

/// A store without faults that answers after one round trip.
class log_run {
 public:
  explicit log_run(const settings& given) : given_{given}, random_{given.seed} {}

  totals run(const std::vector<timed_entry>& events, bool grouped) {
    auto log = make_log("first", grouped);
    feed(log, log_open_requested{});
    settle(log, now_ + duration{1'000'000});
    const auto offset = now_ - instant{};
    sum_ = {};
    std::uint64_t id = 0;
    for (const auto& event : events) {
      settle(log, event.at + offset);
      feed(log, log_append{.id = ++id, .entries = {event.entry}});
    }
    const auto last = now_;
    while (committed_ < id) {
      settle(log, now_ + duration{1'000});
    }
    sum_.last_commit = now_ - last;
    settle(log, now_ + duration{180'000'000});  // Lets covered rows be deleted.
    return sum_;
  }
  /// Time from the request to open until a successor owns the log.
  duration takeover() {
    auto log = make_log("second", true);
    const auto begin = now_;
    feed(log, log_open_requested{});
    while (!log.open()) {
      settle(log, now_ + duration{100});
    }
    return now_ - begin;
  }
  [[nodiscard]] const totals& sum() const { return sum_; }

 private:
  struct answer {
    instant at;
    store_call_result result;
  };

  domain_log make_log(const char* owner, bool grouped) {
    domain_log::options opts{.prefix = "/d", .owner = vm_id{owner}};
    if (!grouped) {
      opts.append_interval = duration{0};
      opts.max_row_entries = 1;
    }
    return domain_log{opts, codec, random_};
  }
  void feed(domain_log& log, const domain_log_event& event) {
    std::vector<domain_log_action> actions;
    log.handle(event, now_, actions);
    for (auto& action : actions) {
      if (auto* call = std::get_if<store_call>(&action)) {
        answers_.push_back({.at = now_ + given_.round_trip,
                            .result = {.id = call->id, .response = carry_out(call->request)}});
      } else if (const auto* committed = std::get_if<log_committed>(&action)) {
        committed_ = committed->through;
      }
    }
  }
  void settle(domain_log& log, instant until) {
    while (true) {
      const auto due = log.next_deadline();
      const bool answer_first = !answers_.empty() && (!due || answers_.front().at <= *due);
      const auto next = answer_first ? std::optional{answers_.front().at} : due;
      if (!next || *next > until) {
        break;
      }
      now_ = std::max(now_, *next);
      if (answer_first) {
        const auto result = answers_.front().result;
        answers_.pop_front();
        feed(log, result);
      } else {
        feed(log, tick{});
      }
    }
    now_ = std::max(now_, until);
  }
  store_response carry_out(const store_request& request) {
    if (const auto* put = std::get_if<store_put>(&request)) {
      count_write(sum_, put->value.size());
      const auto found = rows_.find(put->key);
      if ((found == rows_.end() ? revision{} : found->second.at) != put->expected) {
        return store_failure::conflict;
      }
      last_ = last_.next();
      rows_[put->key] = {.key = put->key, .value = put->value, .at = last_};
      return store_written{.at = last_};
    }
    if (const auto* erase = std::get_if<store_erase>(&request)) {
      ++sum_.writes;
      rows_.erase(erase->key);
      return store_written{.at = last_};
    }
    ++sum_.reads;
    store_rows result;
    if (const auto* get = std::get_if<store_get>(&request)) {
      if (const auto found = rows_.find(get->key); found != rows_.end()) {
        result.rows.push_back(found->second);
      }
      return result;
    }
    const auto& list = std::get<store_list>(request);
    for (auto row = rows_.lower_bound(std::max(list.prefix, list.start)); row != rows_.end(); ++row) {
      if (row->first.compare(0, list.prefix.size(), list.prefix) != 0) {
        break;
      }
      if (result.rows.size() == static_cast<std::size_t>(list.limit)) {
        result.more = true;
        break;
      }
      result.rows.push_back(row->second);
    }
    return result;
  }

  settings given_;
  random_source random_;
  instant now_{};
  std::map<std::string, store_row> rows_;
  revision last_;
  std::deque<answer> answers_;
  std::uint64_t committed_{0};
  totals sum_;
};

void print(const char* way, const totals& sum, std::size_t events) {
  const auto count = static_cast<double>(events);
  std::printf(
      "{\"way\":\"%s\",\"events\":%zu,\"writes_per_event\":%.3f,\"reads_per_event\":%.3f,"
      "\"bytes_per_event\":%.0f,\"largest_value\":%zu,\"last_commit_ms\":%.1f}\n",
      way, events, static_cast<double>(sum.writes) / count, static_cast<double>(sum.reads) / count,
      static_cast<double>(sum.bytes) / count, sum.largest_value,
      static_cast<double>(sum.last_commit.count()) / 1000.0);
}

/// Logical time from the crash of an owner until another of nine schedulers owns its failure domain.
void measure_takeovers(const settings& given, double answers_lost) {
  using simulation::second;
  constexpr duration longest{20'000'000};
  std::vector<double> seconds;
  int unfinished = 0;
  for (int i = 0; i < given.takeovers; ++i) {
    simulation::domain_simulation world{given.seed + static_cast<std::uint64_t>(i), 9};
    world.store.faults.answer_lost = answers_lost;
    world.store.faults.stale_list = 10 * answers_lost;
    const bool owned = world.wait_for_owner(epoch{}, longest).has_value();
    world.run(5 * second + duration{37'000LL * i});
    auto* owner = owned ? world.owner() : nullptr;
    if (owner == nullptr) {
      ++unfinished;
      continue;
    }
    const auto before = owner->part().current_epoch();
    world.crash(owner->vm().value());
    if (const auto taken = world.wait_for_owner(before, longest)) {
      seconds.push_back(static_cast<double>(taken->count()) / 1e6);
    } else {
      ++unfinished;
    }
  }
  std::sort(seconds.begin(), seconds.end());
  const auto at = [&](double share) {
    return seconds.empty()
               ? 0.0
               : seconds[static_cast<std::size_t>(share * static_cast<double>(seconds.size() - 1))];
  };
  std::printf(
      "{\"takeovers\":%d,\"answers_lost\":%.2f,\"unfinished\":%d,\"median_s\":%.2f,\"p99_s\":%.2f,"
      "\"max_s\":%.2f}\n",
      given.takeovers, answers_lost, unfinished, at(0.5), at(0.99), at(1.0));
}

void run(const settings& given) {
  const auto events = make_events(given);
  print("one_row", run_single_row(events, given), events.size());
  print("row_per_job", run_row_per_job(events, given), events.size());
  print("log_without_groups", log_run{given}.run(events, false), events.size());
  log_run grouped{given};
  print("log_with_groups", grouped.run(events, true), events.size());
  std::printf("{\"log_replay_ms\":%.1f}\n", static_cast<double>(grouped.takeover().count()) / 1000.0);
  for (const double answers_lost : {0.0, 0.02}) {
    measure_takeovers(given, answers_lost);
  }
}

}  // namespace
}  // namespace rhubarbpath

int main(int argc, char** argv) {
  TCLAP::CmdLine line{"Store calls and bytes per job event"};
  TCLAP::ValueArg<int> jobs{"j", "jobs", "Number of jobs; each has four events", false, 500, "count", line};
  TCLAP::ValueArg<double> rate{"r", "rate", "Job events per second", false, 1.0, "events/s", line};
  TCLAP::ValueArg<int> run_time{"t", "run-time", "Mean run time", false, 60, "seconds", line};
  TCLAP::ValueArg<int> round_trip{"d", "round-trip", "Store round trip", false, 3000, "microseconds", line};
  TCLAP::ValueArg<int> seed{"s", "seed", "Seed of the arrivals", false, 1, "number", line};
  TCLAP::ValueArg<int> takeovers{"k",     "takeovers", "Simulated crashes of an owner", false, 300,
                                 "count", line};
  line.parse(argc, argv);
  rhubarbpath::run({.jobs = jobs.getValue(),
                    .run_time = rhubarbpath::duration{run_time.getValue() * 1'000'000LL},
                    .round_trip = rhubarbpath::duration{round_trip.getValue()},
                    .events_per_second = rate.getValue(),
                    .seed = static_cast<std::uint64_t>(seed.getValue()),
                    .takeovers = takeovers.getValue()});
  return 0;
}

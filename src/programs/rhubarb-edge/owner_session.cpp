#include "owner_session.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "platform/config_wire.hpp"
#include "platform/worker_wire.hpp"
#include "rhubarbpath/transport/log.hpp"
#include "rhubarbpath/transport/wall_clock.hpp"

namespace rhubarbpath::edge {

namespace {

constexpr duration retry_pause{std::chrono::milliseconds{100}};
/// Bounds the delay until a new job is noticed when the watch's connection has gone silent, and with it the
/// age of what the owner knows of cancellations.
constexpr std::chrono::milliseconds job_watch_wait{700};
/// After as many answers in a row that ended early, they are likely to be larger than one may be.
constexpr int max_cut_job_watches = 2;
/// No task is started on older knowledge of jobs. A cancelled job must start no task 3 s after the
/// acknowledgement, and an order takes up to 0.4 s.
constexpr duration max_job_age{std::chrono::milliseconds{2500}};

}  // namespace

owner_session::owner_session(const options& opts, dependencies deps) : opts_{opts}, deps_{std::move(deps)} {
  const auto now = deps_.loop.now();
  scheduler_ = std::make_unique<job_scheduler>(opts_.scheduler, opts_.term, now);
  scheduler_->set_wall_clock(wall_clock(), now);
  scheduler_->set_config(deps_.config, now);
}

std::function<void()> owner_session::unless_stopped(std::function<void()> call) {
  return [weak = weak_from_this(), call = std::move(call)] {
    if (const auto self = weak.lock(); self != nullptr && !self->stopped_) {
      call();
    }
  };
}

void owner_session::run_later(duration delay, std::function<void()> call) {
  deps_.loop.run_detached(delay, unless_stopped(std::move(call)));
}

void owner_session::start() {
  follow_evacuations();
  read_full_teams();
  load();
}

void owner_session::follow_evacuations() {
  if (!opts_.evacuation_limit) {
    return;
  }
  evacuations_ = std::make_shared<evacuation_watch>(
      *opts_.evacuation_limit, opts_.order_timeout,
      evacuation_watch::dependencies{
          .loop = deps_.loop,
          .store = deps_.store,
          .counters = deps_.counters,
          .list_all = [this](std::string prefix,
                             list_handler done) { list_all(std::move(prefix), std::move(done)); },
          .changed = unless_stopped([this] {
            scheduler_->evacuate_domains(evacuations_->evacuations().domains(), deps_.loop.now());
            run_tick();
          })});
  evacuations_->start();
}

void owner_session::stop() {
  stopped_ = true;
  tick_timer_.cancel();
  evacuations_.reset();
  for (auto& [id, channel] : channels_) {
    channel.waiting.clear();
  }
}

void owner_session::set_config(const config_feed::pointer& config) {
  deps_.config = config;
  scheduler_->set_config(config, deps_.loop.now());
  schedule_tick();
}

// ---- loading ----

void owner_session::list_all(std::string prefix, list_handler done) {
  list_page(std::move(prefix), {}, std::make_shared<std::vector<kv_item>>(), revision{}, std::move(done));
}

void owner_session::list_page(std::string prefix, std::string after,
                              const std::shared_ptr<std::vector<kv_item>>& found, revision first_as_of,
                              list_handler done) {
  kv_list request{.prefix = prefix, .after = after};
  deps_.store.call(std::move(request),
                   [weak = weak_from_this(), prefix = std::move(prefix), after = std::move(after), found,
                    first_as_of, done = std::move(done)](const kv_result& result) mutable {
                     const auto self = weak.lock();
                     if (self == nullptr || self->stopped_) {
                       return;
                     }
                     const auto* items = std::get_if<kv_items>(&result);
                     if (items == nullptr) {
                       self->run_later(retry_pause, [self, prefix, after, found, first_as_of, done] {
                         self->list_page(prefix, after, found, first_as_of, done);
                       });
                       return;
                     }
                     found->insert(found->end(), items->items.begin(), items->items.end());
                     // The pages are not a consistent snapshot; a watch from the first page's revision
                     // delivers the changes made while later pages were read.
                     const auto as_of = first_as_of == revision{} ? items->as_of : first_as_of;
                     if (items->has_more && !items->items.empty()) {
                       auto next = items->items.back().key;
                       self->list_page(std::move(prefix), std::move(next), found, as_of, std::move(done));
                       return;
                     }
                     done(std::move(*found), as_of);
                   });
}

void owner_session::load() {
  deps_.store.call(kv_get{.key = keys::workers}, [weak = weak_from_this()](const kv_result& result) {
    const auto self = weak.lock();
    if (self == nullptr || self->stopped_) {
      return;
    }
    const auto* items = std::get_if<kv_items>(&result);
    if (items == nullptr) {
      self->run_later(retry_pause, [self] { self->load(); });
      return;
    }
    if (items->items.empty()) {
      self->load_jobs();
      return;
    }
    self->workers_revision_ = items->items.front().changed;
    auto ids = decode_worker_ids(items->items.front().value);
    if (!ids.ok()) {
      log(log_level::error, "worker_row_unreadable", {{"reason", std::string{ids.status().message()}}});
    }
    self->load_leaving_workers(ids.ok() ? *std::move(ids) : std::vector<worker_id>{});
  });
}

void owner_session::load_leaving_workers(std::vector<worker_id> workers) {
  deps_.store.call(kv_get{.key = keys::leaving_workers},
                   [weak = weak_from_this(), workers = std::move(workers)](const kv_result& result) {
                     const auto self = weak.lock();
                     if (self == nullptr || self->stopped_) {
                       return;
                     }
                     const auto* items = std::get_if<kv_items>(&result);
                     if (items == nullptr) {
                       self->run_later(retry_pause, [self, workers] { self->load_leaving_workers(workers); });
                       return;
                     }
                     std::vector<leaving_worker> leaving;
                     // At another revision the row is older than the set of workers, and does not say what
                     // runs now.
                     if (!items->items.empty() && items->items.front().changed == self->workers_revision_) {
                       auto decoded = decode_leaving_workers(items->items.front().value);
                       if (decoded.ok()) {
                         leaving = *std::move(decoded);
                       } else {
                         log(log_level::error, "leaving_row_unreadable",
                             {{"reason", std::string{decoded.status().message()}}});
                       }
                     }
                     self->scheduler_->expect_workers(workers, leaving, self->deps_.loop.now());
                     self->load_jobs();
                   });
}

void owner_session::load_jobs() {
  jobs_known_at_ = boot_clock_now();
  list_all(keys::job_prefix, [self = shared_from_this()](std::vector<kv_item> jobs, revision as_of) {
    self->jobs_revision_ = as_of;
    self->list_all(keys::progress_prefix,
                   [self, jobs = std::move(jobs)](const std::vector<kv_item>& progress, revision /*as_of*/) {
                     self->apply_rows(jobs, progress, true);
                     self->loaded_ = true;
                     self->watch_jobs();
                     self->poll_registry();
                     self->run_tick();
                   });
  });
}

void owner_session::apply_rows(const std::vector<kv_item>& jobs, const std::vector<kv_item>& progress,
                               bool initial_load) {
  std::map<job_id, job_progress> progress_by_job;
  for (const auto& item : progress) {
    auto decoded = decode_job_progress(item.value);
    if (!decoded.ok()) {
      log(log_level::error, "progress_row_unreadable",
          {{"key", item.key}, {"reason", std::string{decoded.status().message()}}});
      continue;
    }
    progress_revisions_[decoded->job] = item.changed;
    auto row = *std::move(decoded);
    auto id = row.job;
    progress_by_job.emplace(std::move(id), std::move(row));
  }
  const auto now = deps_.loop.now();
  for (const auto& item : jobs) {
    if (item.key.ends_with(keys::cancel_suffix)) {
      continue;
    }
    auto job = decode_accepted_job(item.value);
    if (!job.ok()) {
      log(log_level::error, "job_row_unreadable",
          {{"key", item.key}, {"reason", std::string{job.status().message()}}});
      continue;
    }
    const auto found = progress_by_job.find(job->id);
    const bool inherited = initial_load && item.created < opts_.owner_row;
    scheduler_->add_job(*job, found == progress_by_job.end() ? std::nullopt : std::optional{found->second},
                        inherited, now);
  }
  for (const auto& item : jobs) {
    if (item.key.ends_with(keys::cancel_suffix)) {
      apply_job_item(item);
    }
  }
}

void owner_session::apply_job_item(const kv_item& item) {
  const auto now = deps_.loop.now();
  if (item.key.ends_with(keys::cancel_suffix)) {
    const auto id = item.key.substr(keys::job_prefix.size(),
                                    item.key.size() - keys::job_prefix.size() - keys::cancel_suffix.size());
    if (scheduler_->phase(job_id{id})) {
      scheduler_->cancel_job(job_id{id}, now);
    } else {
      lone_cancellations_.try_emplace(job_id{id}, now);
    }
    return;
  }
  auto job = decode_accepted_job(item.value);
  if (!job.ok()) {
    log(log_level::error, "job_row_unreadable",
        {{"key", item.key}, {"reason", std::string{job.status().message()}}});
    return;
  }
  scheduler_->add_job(*job, std::nullopt, false, now);
  if (lone_cancellations_.erase(job->id) > 0) {
    // A VM of an earlier version stores jobs without regard to their cancellation.
    scheduler_->cancel_job(job->id, now);
  }
}

void owner_session::watch_jobs() {
  kv_watch request{.prefix = keys::job_prefix, .after = jobs_revision_, .wait = job_watch_wait};
  deps_.store.call(std::move(request),
                   [weak = weak_from_this(), sent_at = boot_clock_now()](const kv_result& result) {
                     const auto self = weak.lock();
                     if (self == nullptr || self->stopped_) {
                       return;
                     }
                     const auto* unknown = std::get_if<kv_unknown>(&result);
                     const bool cut = unknown != nullptr && !unknown->timed_out;
                     self->cut_job_watches_ = cut ? self->cut_job_watches_ + 1 : 0;
                     if (const auto* events = std::get_if<kv_events>(&result)) {
                       self->jobs_known_at_ = std::max(self->jobs_known_at_, sent_at);
                       self->jobs_revision_ = std::max(self->jobs_revision_, events->as_of);
                       for (const auto& event : events->events) {
                         if (!event.deleted) {
                           self->apply_job_item(event.item);
                         }
                       }
                       self->watch_jobs();
                       if (!events->events.empty()) {
                         self->run_tick();
                       }
                       return;
                     }
                     // The same watch again would be answered by the same events. Rows come in pages.
                     const bool too_large = self->cut_job_watches_ >= max_cut_job_watches;
                     if (std::holds_alternative<kv_compacted>(result) || too_large) {
                       self->cut_job_watches_ = 0;
                       self->reload_jobs();
                       return;
                     }
                     self->run_later(retry_pause, [self] { self->watch_jobs(); });
                   });
}

void owner_session::reload_jobs() {
  list_all(keys::job_prefix, [self = shared_from_this(), sent_at = boot_clock_now()](
                                 const std::vector<kv_item>& jobs, revision as_of) {
    self->jobs_known_at_ = std::max(self->jobs_known_at_, sent_at);
    self->jobs_revision_ = as_of;
    // A job that this owner has forgotten may have ended long ago, and its rows may have been kept.
    self->list_all(keys::progress_prefix,
                   [self, jobs](const std::vector<kv_item>& progress, revision /*as_of*/) {
                     self->apply_rows(jobs, progress, false);
                     self->watch_jobs();
                     self->run_tick();
                   });
  });
}

void owner_session::poll_registry() {
  list_all(platform::worker_prefix(), [self = shared_from_this(), requested = deps_.loop.now()](
                                          const std::vector<kv_item>& items, revision /*as_of*/) {
    std::vector<worker_entry> entries;
    entries.reserve(items.size());
    std::map<std::string, std::string> ignored;
    for (const auto& item : items) {
      auto entry = platform::decode_worker_entry(item.key, item.value);
      if (entry.ok()) {
        entries.push_back(*std::move(entry));
      } else {
        ignored[item.key] = std::string{entry.status().message()};
      }
    }
    self->note_ignored_entries(std::move(ignored));
    self->scheduler_->set_workers(entries, requested, self->deps_.loop.now());
    self->run_tick();
    self->run_later(self->opts_.registry_poll_interval, [self] { self->poll_registry(); });
  });
}

void owner_session::note_ignored_entries(std::map<std::string, std::string> ignored) {
  for (const auto& [key, reason] : ignored) {
    const auto found = ignored_entries_.find(key);
    if (found == ignored_entries_.end() || found->second != reason) {
      log(log_level::warning, "worker_entry_ignored", {{"key", key}, {"reason", reason}});
    }
  }
  ignored_entries_ = std::move(ignored);
}

// ---- scheduler actions ----

void owner_session::run_tick() {
  if (stopped_ || !loaded_) {
    return;
  }
  const auto now = deps_.loop.now();
  scheduler_->set_wall_clock(wall_clock(), now);
  hold_or_resume_starts();
  scheduler_->tick(now);
  deps_.counters.set("rhubarb_slow_workers", {}, static_cast<double>(scheduler_->slow_workers()));
  deps_.counters.set("rhubarb_advised_steps", {}, static_cast<double>(scheduler_->advised_steps()));
  run_actions();
  erase_expired();
  deps_.counters.set("rhubarb_work_bytes", {}, static_cast<double>(scheduler_->work_bytes()));
  publish_full_teams();
  schedule_tick();
}

std::string_view owner_session::reason_to_hold_starts() const {
  if (boot_clock_now() - jobs_known_at_ > max_job_age) {
    return "the watch of jobs has not answered";
  }
  if (evacuations_ != nullptr && !evacuations_->evacuations().may_start(boot_clock_now())) {
    return "the watch of evacuations has not answered";
  }
  return deps_.config_may_be_outdated() ? "the configuration may be outdated" : std::string_view{};
}

void owner_session::hold_or_resume_starts() {
  const auto jobs_age = boot_clock_now() - jobs_known_at_;
  const auto reason = reason_to_hold_starts();
  const bool hold = !reason.empty();
  if (scheduler_->hold_starts(hold)) {
    log(hold ? log_level::warning : log_level::info, hold ? "starts_held" : "starts_resumed",
        {{"reason", std::string{hold ? reason : "jobs, evacuations and configuration are known again"}},
         {"jobs_age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(jobs_age).count()}});
  }
}

void owner_session::schedule_tick() {
  const auto now = deps_.loop.now();
  const auto at = scheduler_->next_deadline(now);
  if (tick_timer_.active() && next_tick_at_ <= at && next_tick_at_ >= now) {
    return;
  }
  next_tick_at_ = at;
  tick_timer_ = deps_.loop.run_after(std::max(duration::zero(), at - now), unless_stopped([this] {
                                       tick_timer_.cancel();
                                       run_tick();
                                     }));
}

void owner_session::run_actions() {
  if (running_actions_) {
    return;
  }
  running_actions_ = true;
  for (auto actions = scheduler_->take_actions(); !actions.empty() && !stopped_;
       actions = scheduler_->take_actions()) {
    for (const auto& action : actions) {
      std::visit([this](const auto& each) { perform(each); }, action);
    }
  }
  running_actions_ = false;
}

void owner_session::enqueue_order(const worker_id& worker, queued_order order) {
  channels_[worker].waiting.push_back(std::move(order));
  send_queued_orders(worker);
}

void owner_session::send_queued_orders(const worker_id& worker) {
  auto& channel = channels_[worker];
  while (!stopped_ && channel.in_flight < opts_.max_orders_in_flight && !channel.waiting.empty()) {
    auto [address, request, done, wanted, starts_task] = std::move(channel.waiting.front());
    channel.waiting.pop_front();
    if (!wanted()) {
      continue;
    }
    if (!deps_.may_send_orders()) {
      done(http_call_failed{.bytes_sent = false, .timed_out = false, .reason = "the term has ended"});
      continue;
    }
    if (const auto reason = starts_task ? reason_to_hold_starts() : std::string_view{}; !reason.empty()) {
      // The order may have been queued before this process was paused.
      done(http_call_failed{.bytes_sent = false, .timed_out = false, .reason = std::string{reason}});
      continue;
    }
    ++channel.in_flight;
    deps_.workers.call(address, request(), opts_.order_timeout,
                       [weak = weak_from_this(), worker, address = address,
                        done = std::move(done)](const http_result& result) {
                         const auto self = weak.lock();
                         if (self == nullptr) {
                           return;
                         }
                         --self->channels_[worker].in_flight;
                         if (std::holds_alternative<http_call_failed>(result)) {
                           self->deps_.workers.drop_idle(address);
                         }
                         if (!self->stopped_) {
                           done(result);
                           self->send_queued_orders(worker);
                           self->run_actions();
                           self->schedule_tick();
                         }
                       });
  }
}

void owner_session::perform(const start_order& order) {
  deps_.counters.add("rhubarb_orders_total", "order=\"start\"");
  const auto shared = std::make_shared<const start_order>(order);
  enqueue_order(order.worker,
                {.address = order.address,
                 .request = [this, shared] { return platform::encode_order(*shared, opts_.term); },
                 .done =
                     [this, shared](const http_result& result) {
                       scheduler_->start_answered(*shared, platform::decode_start_answer(result),
                                                  deps_.loop.now());
                     },
                 .wanted = [this, shared] { return scheduler_->start_still_needed(*shared); },
                 .starts_task = true});
}

void owner_session::perform(const stop_order& order) {
  deps_.counters.add("rhubarb_orders_total", "order=\"stop\"");
  enqueue_order(order.worker, {.address = order.address,
                               .request = [this, order] { return platform::encode_order(order, opts_.term); },
                               .done =
                                   [this, order](const http_result& result) {
                                     scheduler_->stop_answered(order, platform::decode_stop_answer(result),
                                                               deps_.loop.now());
                                   },
                               .wanted = [] { return true; }});
}

void owner_session::perform(const renew_order& order) {
  if (!deps_.may_send_orders()) {
    return;
  }
  deps_.counters.add("rhubarb_orders_total", "order=\"renew\"");
  const auto sent = deps_.loop.now();
  deps_.workers.call(order.address, platform::encode_order(order, opts_.term),
                     duration{order.wait} + opts_.order_timeout,
                     [weak = weak_from_this(), order, sent](const http_result& result) {
                       const auto self = weak.lock();
                       if (self == nullptr || self->stopped_) {
                         return;
                       }
                       const auto now = self->deps_.loop.now();
                       const auto answer = platform::decode_renew_answer(result);
                       if (const auto* report = std::get_if<lease_report>(&answer)) {
                         self->scheduler_->worker_reported(order, *report, sent, now);
                       } else {
                         const auto& failed = std::get<platform::renew_failed>(answer);
                         self->deps_.workers.drop_idle(order.address);
                         if (failed.fenced) {
                           self->perform(owner_superseded{.worker = order.worker});
                           return;
                         }
                         self->scheduler_->worker_unreachable(order, failed.failure, now);
                       }
                       self->run_tick();
                     });
}

void owner_session::perform(const owner_superseded& rejection) {
  log(log_level::warning, "order_fenced",
      {{"worker", rejection.worker.value()}, {"term", static_cast<std::int64_t>(opts_.term.value())}});
  deps_.loop.post(unless_stopped(deps_.superseded));
}

void owner_session::perform(const advice_request& request) {
  deps_.counters.add("rhubarb_advice_calls_total");
  // When a queue needs advice but the settings name no adviser, every call fails and is logged.
  deps_.workers.call(opts_.adviser_address, platform::encode_advice_request(request), request.timeout,
                     [weak = weak_from_this(), step = request.step](const http_result& result) {
                       const auto self = weak.lock();
                       if (self == nullptr || self->stopped_) {
                         return;
                       }
                       self->scheduler_->advice_answered(step, platform::decode_advice_answer(result),
                                                         self->deps_.loop.now());
                       self->run_tick();
                     });
}

void owner_session::perform(const decision_record& decision) {
  std::vector<log_field> fields;
  if (!decision.job.empty()) {
    fields.push_back({"job", decision.job.value()});
  }
  fields.push_back({"reason", decision.reason});
  fields.push_back({"term", static_cast<std::int64_t>(opts_.term.value())});
  for (const auto& [name, value] : decision.inputs) {
    fields.push_back({name, value});
  }
  log(log_level::info, decision.event, fields);
  const auto label = fmt::format("event=\"{}\"", decision.event);
  deps_.counters.add("rhubarb_decisions_total", label);
  if (decision.took) {
    deps_.counters.observe("rhubarb_wait_seconds", label, *decision.took);
  }
}

// ---- writes ----

void owner_session::perform(const store_progress& write) {
  unsaved_progress_.insert(unsaved_progress_.end(), write.jobs.begin(), write.jobs.end());
  write_progress();
}

std::string owner_session::encode_within_row(const job_progress& progress) {
  auto value = encode_job_progress(progress);
  if (value.size() <= opts_.max_row_bytes) {
    return value;
  }
  // The store would refuse the row for good, and with it those of other jobs. What is done must be stored;
  // the next owner does without the attempts and checkpoints of what is not.
  auto shortened = progress;
  shortened.units.clear();
  if (jobs_with_short_rows_.insert(progress.job).second) {
    log(log_level::warning, "progress_shortened",
        {{"job", progress.job.value()},
         {"units", static_cast<std::int64_t>(progress.units.size())},
         {"row_bytes", static_cast<std::int64_t>(value.size())}});
  }
  return encode_job_progress(shortened);
}

kv_commit owner_session::next_progress_commit() {
  // A commit has one condition on the owner row and, for each job, one condition and one put.
  constexpr std::size_t jobs_per_commit = (max_commit_entries - 1) / 2;
  kv_commit commit;
  commit.expected.push_back({.key = keys::owner, .changed = opts_.owner_row});
  const auto most_rows = std::min(jobs_per_commit, unsaved_progress_.size());
  std::size_t bytes = 0;
  for (rows_in_commit_ = 0; rows_in_commit_ < most_rows; ++rows_in_commit_) {
    const auto& row = unsaved_progress_[rows_in_commit_];
    auto value = encode_within_row(row);
    bytes += value.size();
    // Several large rows together could take longer than a call may.
    if (rows_in_commit_ > 0 && bytes > opts_.max_row_bytes) {
      break;
    }
    const auto key = keys::progress(row.job);
    // The condition on the row itself prevents an older write that is executed late from overwriting this
    // one.
    commit.expected.push_back({.key = key, .changed = progress_revisions_[row.job]});
    commit.puts.push_back({.key = key, .value = std::move(value)});
  }
  return commit;
}

void owner_session::write_progress() {
  if (unsaved_progress_.empty()) {
    scheduler_->stored(deps_.loop.now());
    run_actions();
    return;
  }
  deps_.store.call(next_progress_commit(), [weak = weak_from_this()](const kv_result& result) {
    const auto self = weak.lock();
    if (self == nullptr || self->stopped_) {
      return;
    }
    if (const auto* committed = std::get_if<kv_committed>(&result)) {
      for (std::size_t index = 0; index < self->rows_in_commit_; ++index) {
        self->progress_revisions_[self->unsaved_progress_.front().job] = committed->at;
        self->unsaved_progress_.pop_front();
      }
      self->write_progress();
      return;
    }
    if (const auto* conflict = std::get_if<kv_conflict>(&result)) {
      const auto owner = std::find_if(conflict->items.begin(), conflict->items.end(),
                                      [](const kv_item& item) { return item.key == keys::owner; });
      if (owner == conflict->items.end() || owner->changed != self->opts_.owner_row) {
        log(log_level::warning, "write_fenced",
            {{"term", static_cast<std::int64_t>(self->opts_.term.value())}});
        self->deps_.superseded();
        return;
      }
      // Only the owner writes progress rows, so an unexpected revision comes from one of its earlier writes
      // whose answer was lost.
      for (std::size_t index = 0; index < self->rows_in_commit_; ++index) {
        const auto& job = self->unsaved_progress_[index].job;
        const auto key = keys::progress(job);
        const auto found = std::find_if(conflict->items.begin(), conflict->items.end(),
                                        [&](const kv_item& item) { return item.key == key; });
        self->progress_revisions_[job] = found == conflict->items.end() ? revision{} : found->changed;
      }
      self->write_progress();
      return;
    }
    self->run_later(retry_pause, [self] { self->write_progress(); });
  });
}

void owner_session::perform(const store_workers& write) {
  worker_set_ = write;
  write_workers();
}

void owner_session::write_workers() {
  kv_commit commit{
      .expected = {{.key = keys::owner, .changed = opts_.owner_row},
                   {.key = keys::workers, .changed = workers_revision_}},
      .puts = {{.key = keys::workers, .value = encode_worker_ids(worker_set_.workers)},
               {.key = keys::leaving_workers, .value = encode_leaving_workers(worker_set_.leaving)}},
      .erases = {}};
  deps_.store.call(std::move(commit), [weak = weak_from_this()](const kv_result& result) {
    const auto self = weak.lock();
    if (self == nullptr || self->stopped_) {
      return;
    }
    if (const auto* committed = std::get_if<kv_committed>(&result)) {
      self->workers_revision_ = committed->at;
      self->scheduler_->workers_stored(self->deps_.loop.now());
      self->run_tick();
      return;
    }
    if (const auto* conflict = std::get_if<kv_conflict>(&result)) {
      self->workers_revision_ = revision{};
      bool still_owner = false;
      for (const auto& item : conflict->items) {
        still_owner = still_owner || (item.key == keys::owner && item.changed == self->opts_.owner_row);
        if (item.key == keys::workers) {
          self->workers_revision_ = item.changed;
        }
      }
      if (!still_owner) {
        self->deps_.superseded();
        return;
      }
      self->write_workers();
      return;
    }
    self->run_later(retry_pause, [self] { self->write_workers(); });
  });
}

void owner_session::erase_expired() {
  const auto now = deps_.loop.now();
  auto expired = scheduler_->take_expired(now);
  std::erase_if(lone_cancellations_, [&](const auto& cancellation) {
    const bool old = now - cancellation.second > opts_.scheduler.ended_job_retention;
    if (old) {
      expired.push_back(cancellation.first);
    }
    return old;
  });
  constexpr std::size_t rows_per_job = 3;
  constexpr std::size_t jobs_per_commit = (max_commit_entries - 1) / rows_per_job;
  for (std::size_t begin = 0; begin < expired.size(); begin += jobs_per_commit) {
    kv_commit commit{
        .expected = {{.key = keys::owner, .changed = opts_.owner_row}}, .puts = {}, .erases = {}};
    for (std::size_t index = begin; index < std::min(begin + jobs_per_commit, expired.size()); ++index) {
      commit.erases.push_back(keys::job(expired[index]));
      commit.erases.push_back(keys::cancel(expired[index]));
      commit.erases.push_back(keys::progress(expired[index]));
      progress_revisions_.erase(expired[index]);
      jobs_with_short_rows_.erase(expired[index]);
    }
    deps_.store.call(std::move(commit), [](const kv_result& result) {
      if (!std::holds_alternative<kv_committed>(result)) {
        // The next owner loads these rows and deletes them after its own retention period.
        log(log_level::warning, "expired_rows_kept", {});
      }
    });
  }
}

void owner_session::read_full_teams() {
  deps_.store.call(kv_get{.key = keys::full_teams}, [weak = weak_from_this()](const kv_result& result) {
    const auto self = weak.lock();
    if (self == nullptr || self->stopped_) {
      return;
    }
    const auto* items = std::get_if<kv_items>(&result);
    if (items == nullptr) {
      self->run_later(retry_pause, [self] { self->read_full_teams(); });
      return;
    }
    self->published_teams_.emplace();
    if (!items->items.empty()) {
      self->teams_revision_ = items->items.front().changed;
      const auto teams = decode_team_ids(items->items.front().value);
      if (teams.ok()) {
        self->published_teams_ = *teams;
      } else {
        log(log_level::error, "team_row_unreadable", {{"reason", std::string{teams.status().message()}}});
      }
    }
    self->publish_full_teams();
  });
}

void owner_session::publish_full_teams() {
  if (stopped_ || !loaded_ || !published_teams_ || publishing_teams_ ||
      *published_teams_ == scheduler_->full_teams()) {
    return;
  }
  publishing_teams_ = true;
  const auto& teams = scheduler_->full_teams();
  kv_commit commit{.expected = {{.key = keys::owner, .changed = opts_.owner_row},
                                {.key = keys::full_teams, .changed = teams_revision_}},
                   .puts = {{.key = keys::full_teams, .value = encode_team_ids(teams)}},
                   .erases = {}};
  deps_.store.call(std::move(commit), [weak = weak_from_this(), teams](const kv_result& result) {
    const auto self = weak.lock();
    if (self == nullptr || self->stopped_) {
      return;
    }
    self->publishing_teams_ = false;
    if (const auto* committed = std::get_if<kv_committed>(&result)) {
      std::string names;
      for (const auto& team : teams) {
        names += (names.empty() ? "" : ",") + team.value();
      }
      log(log_level::warning, "full_teams_changed",
          {{"teams", names}, {"work_bytes", static_cast<std::int64_t>(self->scheduler_->work_bytes())}});
      self->teams_revision_ = committed->at;
      self->published_teams_ = teams;
      self->publish_full_teams();
      return;
    }
    // After a conflict the row is read again; a write of an earlier owner, or one without an answer, came
    // first. A session that is no longer the owner learns that from its other writes.
    self->published_teams_.reset();
    self->run_later(retry_pause, [self] { self->read_full_teams(); });
  });
}

// ---- queries ----

std::optional<bool> owner_session::reserve_work(const job_id& job, const team_id& team, std::uint64_t bytes) {
  return loaded_ ? std::optional{scheduler_->reserve_work(job, team, bytes, deps_.loop.now())} : std::nullopt;
}

std::optional<job_phase> owner_session::phase(const job_id& id) const {
  return loaded_ ? scheduler_->phase(id) : std::nullopt;
}

std::optional<std::uint64_t> owner_session::waiting_jobs(const queue_id& queue) const {
  if (!loaded_) {
    return std::nullopt;
  }
  const auto counts = scheduler_->waiting_jobs();
  const auto found = counts.find(queue);
  return found == counts.end() ? 0 : found->second;
}

}  // namespace rhubarbpath::edge

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
/// Bounds how late a new job is noticed after the watch's connection went silent.
constexpr std::chrono::milliseconds job_watch_wait{1000};

}  // namespace

owner_session::owner_session(const options& opts, dependencies uses) : opts_{opts}, uses_{std::move(uses)} {
  const auto now = uses_.loop.now();
  scheduler_ = std::make_unique<job_scheduler>(opts_.scheduler, opts_.term, now);
  scheduler_->set_wall_clock(wall_clock(), now);
  scheduler_->set_config(uses_.config, now);
}

std::function<void()> owner_session::guarded(std::function<void()> call) {
  return [weak = weak_from_this(), call = std::move(call)] {
    if (const auto self = weak.lock(); self != nullptr && !self->stopped_) {
      call();
    }
  };
}

void owner_session::later(duration delay, std::function<void()> call) {
  uses_.loop.run_detached(delay, guarded(std::move(call)));
}

void owner_session::start() {
  load();
}

void owner_session::stop() {
  stopped_ = true;
  tick_timer_.cancel();
  for (auto& [id, link] : links_) {
    link.waiting.clear();
  }
}

void owner_session::set_config(const config_feed::pointer& config) {
  uses_.config = config;
  scheduler_->set_config(config, uses_.loop.now());
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
  uses_.store.call(std::move(request),
                   [weak = weak_from_this(), prefix = std::move(prefix), after = std::move(after), found,
                    first_as_of, done = std::move(done)](const kv_result& result) mutable {
                     const auto self = weak.lock();
                     if (self == nullptr || self->stopped_) {
                       return;
                     }
                     const auto* items = std::get_if<kv_items>(&result);
                     if (items == nullptr) {
                       self->later(retry_pause, [self, prefix, after, found, first_as_of, done] {
                         self->list_page(prefix, after, found, first_as_of, done);
                       });
                       return;
                     }
                     found->insert(found->end(), items->items.begin(), items->items.end());
                     // Pages are no snapshot; a watch from the first page's revision brings what changed
                     // meanwhile.
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
  uses_.store.call(kv_get{.key = keys::workers}, [weak = weak_from_this()](const kv_result& result) {
    const auto self = weak.lock();
    if (self == nullptr || self->stopped_) {
      return;
    }
    const auto* items = std::get_if<kv_items>(&result);
    if (items == nullptr) {
      self->later(retry_pause, [self] { self->load(); });
      return;
    }
    if (!items->items.empty()) {
      self->workers_row_ = items->items.front().changed;
      auto ids = decode_worker_ids(items->items.front().value);
      if (!ids.ok()) {
        log(log_level::error, "worker_row_unreadable", {{"reason", std::string{ids.status().message()}}});
      }
      self->scheduler_->expect_workers(ids.ok() ? *ids : std::vector<worker_id>{}, self->uses_.loop.now());
    }
    self->list_all(keys::job_prefix, [self](std::vector<kv_item> jobs, revision as_of) {
      self->jobs_seen_ = as_of;
      self->list_all(keys::progress_prefix, [self, jobs = std::move(jobs)](
                                                const std::vector<kv_item>& progress, revision /*as_of*/) {
        self->take_rows(jobs, progress, true);
        self->loaded_ = true;
        self->watch_jobs();
        self->poll_registry();
        self->run_tick();
      });
    });
  });
}

void owner_session::take_rows(const std::vector<kv_item>& jobs, const std::vector<kv_item>& progress,
                              bool first) {
  std::map<job_id, job_progress> known;
  for (const auto& item : progress) {
    auto decoded = decode_job_progress(item.value);
    if (!decoded.ok()) {
      log(log_level::error, "progress_row_unreadable",
          {{"key", item.key}, {"reason", std::string{decoded.status().message()}}});
      continue;
    }
    progress_rows_[decoded->job] = item.changed;
    auto row = *std::move(decoded);
    auto id = row.job;
    known.emplace(std::move(id), std::move(row));
  }
  const auto now = uses_.loop.now();
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
    const auto found = known.find(job->id);
    const bool inherited = first && item.created < opts_.owner_row;
    scheduler_->add_job(*job, found == known.end() ? std::nullopt : std::optional{found->second}, inherited,
                        now);
  }
  for (const auto& item : jobs) {
    if (item.key.ends_with(keys::cancel_suffix)) {
      take_job_item(item);
    }
  }
}

void owner_session::take_job_item(const kv_item& item) {
  const auto now = uses_.loop.now();
  if (item.key.ends_with(keys::cancel_suffix)) {
    const auto id = item.key.substr(keys::job_prefix.size(),
                                    item.key.size() - keys::job_prefix.size() - keys::cancel_suffix.size());
    scheduler_->cancel_job(job_id{id}, now);
    return;
  }
  auto job = decode_accepted_job(item.value);
  if (!job.ok()) {
    log(log_level::error, "job_row_unreadable",
        {{"key", item.key}, {"reason", std::string{job.status().message()}}});
    return;
  }
  scheduler_->add_job(*job, std::nullopt, false, now);
}

void owner_session::watch_jobs() {
  kv_watch request{.prefix = keys::job_prefix, .after = jobs_seen_, .wait = job_watch_wait};
  uses_.store.call(std::move(request), [weak = weak_from_this()](const kv_result& result) {
    const auto self = weak.lock();
    if (self == nullptr || self->stopped_) {
      return;
    }
    if (const auto* events = std::get_if<kv_events>(&result)) {
      self->jobs_seen_ = std::max(self->jobs_seen_, events->as_of);
      for (const auto& event : events->events) {
        if (!event.deleted) {
          self->take_job_item(event.item);
        }
      }
      self->watch_jobs();
      if (!events->events.empty()) {
        self->run_tick();
      }
      return;
    }
    if (std::holds_alternative<kv_compacted>(result)) {
      self->reload_jobs();
      return;
    }
    self->later(retry_pause, [self] { self->watch_jobs(); });
  });
}

void owner_session::reload_jobs() {
  list_all(keys::job_prefix, [self = shared_from_this()](const std::vector<kv_item>& jobs, revision as_of) {
    self->jobs_seen_ = as_of;
    self->take_rows(jobs, {}, false);
    self->watch_jobs();
    self->run_tick();
  });
}

void owner_session::poll_registry() {
  list_all(platform::worker_prefix(),
           [self = shared_from_this()](const std::vector<kv_item>& items, revision /*as_of*/) {
             std::vector<worker_entry> entries;
             entries.reserve(items.size());
             for (const auto& item : items) {
               if (auto entry = platform::decode_worker_entry(item.key, item.value)) {
                 entries.push_back(std::move(*entry));
               }
             }
             self->scheduler_->set_workers(entries, self->uses_.loop.now());
             self->run_tick();
             self->later(self->opts_.registry_period, [self] { self->poll_registry(); });
           });
}

// ---- the scheduler's actions ----

void owner_session::run_tick() {
  if (stopped_ || !loaded_) {
    return;
  }
  const auto now = uses_.loop.now();
  scheduler_->set_wall_clock(wall_clock(), now);
  scheduler_->tick(now);
  run_actions();
  erase_expired();
  schedule_tick();
}

void owner_session::schedule_tick() {
  const auto now = uses_.loop.now();
  const auto at = scheduler_->next_deadline(now);
  if (tick_timer_.active() && tick_at_ <= at && tick_at_ >= now) {
    return;
  }
  tick_at_ = at;
  tick_timer_ = uses_.loop.run_after(std::max(duration::zero(), at - now), guarded([this] {
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

void owner_session::send(const worker_id& worker, const std::string& address, queued_order order) {
  auto& link = links_[worker];
  link.address = address;
  link.waiting.push_back(std::move(order));
  pump(worker);
}

void owner_session::pump(const worker_id& worker) {
  auto& link = links_[worker];
  while (!stopped_ && link.open < opts_.open_orders && !link.waiting.empty()) {
    auto [request, done, wanted] = std::move(link.waiting.front());
    link.waiting.pop_front();
    if (!wanted()) {
      continue;
    }
    if (!uses_.may_order()) {
      done(http_call_failed{.bytes_sent = false, .timed_out = false, .reason = "the term has ended"});
      continue;
    }
    ++link.open;
    const auto address = link.address;
    uses_.workers.call(
        address, request, opts_.order_timeout,
        [weak = weak_from_this(), worker, address, done = std::move(done)](const http_result& result) {
          const auto self = weak.lock();
          if (self == nullptr) {
            return;
          }
          --self->links_[worker].open;
          if (std::holds_alternative<http_call_failed>(result)) {
            self->uses_.workers.drop_idle(address);
          }
          if (!self->stopped_) {
            done(result);
            self->pump(worker);
            self->run_actions();
            self->schedule_tick();
          }
        });
  }
}

void owner_session::perform(const start_order& order) {
  uses_.counters.add("rhubarb_orders_total", "order=\"start\"");
  send(order.worker, order.address,
       {.request = platform::encode_order(order, opts_.term),
        .done =
            [this, worker = order.worker, task = order.task, run = order.run](const http_result& result) {
              scheduler_->start_answered(worker, task, run, platform::decode_start_answer(result),
                                         uses_.loop.now());
            },
        .wanted = [this, order] { return scheduler_->wants(order); }});
}

void owner_session::perform(const stop_order& order) {
  uses_.counters.add("rhubarb_orders_total", "order=\"stop\"");
  send(order.worker, order.address,
       {.request = platform::encode_order(order, opts_.term),
        .done =
            [this, worker = order.worker, task = order.task, run = order.run](const http_result& result) {
              scheduler_->stop_answered(worker, task, run, platform::decode_stop_answer(result),
                                        uses_.loop.now());
            },
        .wanted = [] { return true; }});
}

void owner_session::perform(const renew_order& order) {
  if (!uses_.may_order()) {
    return;
  }
  uses_.counters.add("rhubarb_orders_total", "order=\"renew\"");
  const auto sent = uses_.loop.now();
  uses_.workers.call(order.address, platform::encode_order(order, opts_.term),
                     duration{order.wait} + opts_.order_timeout,
                     [weak = weak_from_this(), worker = order.worker, address = order.address,
                      sent](const http_result& result) {
                       const auto self = weak.lock();
                       if (self == nullptr || self->stopped_) {
                         return;
                       }
                       const auto now = self->uses_.loop.now();
                       const auto answer = platform::decode_renew_answer(result);
                       if (const auto* report = std::get_if<lease_report>(&answer)) {
                         self->scheduler_->worker_reported(worker, *report, sent, now);
                       } else {
                         const auto& failed = std::get<platform::renew_failed>(answer);
                         self->uses_.workers.drop_idle(address);
                         if (failed.fenced) {
                           self->perform(owner_superseded{.worker = worker});
                           return;
                         }
                         self->scheduler_->worker_unreachable(worker, failed.failure, now);
                       }
                       self->run_tick();
                     });
}

void owner_session::perform(const owner_superseded& news) {
  log(log_level::warning, "order_fenced",
      {{"worker", news.worker.value()}, {"term", static_cast<std::int64_t>(opts_.term.value())}});
  uses_.loop.post(guarded(uses_.superseded));
}

void owner_session::perform(const advice_request& request) {
  uses_.counters.add("rhubarb_advice_calls_total");
  // A queue that needs advice without an adviser in the settings fails here, and the log says so each time.
  uses_.workers.call(opts_.adviser_address, platform::encode_advice_request(request), request.timeout,
                     [weak = weak_from_this(), step = request.step](const http_result& result) {
                       const auto self = weak.lock();
                       if (self == nullptr || self->stopped_) {
                         return;
                       }
                       self->scheduler_->advice_answered(step, platform::decode_advice_answer(result),
                                                         self->uses_.loop.now());
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
  uses_.counters.add("rhubarb_decisions_total", label);
  if (decision.took) {
    uses_.counters.observe("rhubarb_wait_seconds", label, *decision.took);
  }
}

// ---- writes ----

void owner_session::perform(const store_progress& write) {
  unsaved_.insert(unsaved_.end(), write.jobs.begin(), write.jobs.end());
  write_progress();
}

void owner_session::write_progress() {
  if (unsaved_.empty()) {
    scheduler_->stored(uses_.loop.now());
    run_actions();
    return;
  }
  // Each job takes a condition and a put; the owner row takes one condition.
  constexpr std::size_t jobs_per_commit = (max_commit_entries - 1) / 2;
  kv_commit commit;
  commit.expected.push_back({.key = keys::owner, .changed = opts_.owner_row});
  saving_ = std::min(jobs_per_commit, unsaved_.size());
  for (std::size_t index = 0; index < saving_; ++index) {
    const auto& row = unsaved_[index];
    const auto key = keys::progress(row.job);
    // The condition on the row itself keeps an older write, carried out late, from undoing this one.
    commit.expected.push_back({.key = key, .changed = progress_rows_[row.job]});
    commit.puts.push_back({.key = key, .value = encode_job_progress(row)});
  }
  uses_.store.call(std::move(commit), [weak = weak_from_this()](const kv_result& result) {
    const auto self = weak.lock();
    if (self == nullptr || self->stopped_) {
      return;
    }
    if (const auto* committed = std::get_if<kv_committed>(&result)) {
      for (std::size_t index = 0; index < self->saving_; ++index) {
        self->progress_rows_[self->unsaved_.front().job] = committed->at;
        self->unsaved_.pop_front();
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
        self->uses_.superseded();
        return;
      }
      // Only this owner writes progress rows, so another revision is an earlier write of its own whose
      // answer was lost.
      for (std::size_t index = 0; index < self->saving_; ++index) {
        const auto& job = self->unsaved_[index].job;
        const auto key = keys::progress(job);
        const auto found = std::find_if(conflict->items.begin(), conflict->items.end(),
                                        [&](const kv_item& item) { return item.key == key; });
        self->progress_rows_[job] = found == conflict->items.end() ? revision{} : found->changed;
      }
      self->write_progress();
      return;
    }
    self->later(retry_pause, [self] { self->write_progress(); });
  });
}

void owner_session::perform(const store_workers& write) {
  worker_set_ = write.workers;
  write_workers();
}

void owner_session::write_workers() {
  kv_commit commit{.expected = {{.key = keys::owner, .changed = opts_.owner_row},
                                {.key = keys::workers, .changed = workers_row_}},
                   .puts = {{.key = keys::workers, .value = encode_worker_ids(worker_set_)}},
                   .erases = {}};
  uses_.store.call(std::move(commit), [weak = weak_from_this()](const kv_result& result) {
    const auto self = weak.lock();
    if (self == nullptr || self->stopped_) {
      return;
    }
    if (const auto* committed = std::get_if<kv_committed>(&result)) {
      self->workers_row_ = committed->at;
      self->scheduler_->workers_stored(self->uses_.loop.now());
      self->run_tick();
      return;
    }
    if (const auto* conflict = std::get_if<kv_conflict>(&result)) {
      self->workers_row_ = revision{};
      bool own = false;
      for (const auto& item : conflict->items) {
        own = own || (item.key == keys::owner && item.changed == self->opts_.owner_row);
        if (item.key == keys::workers) {
          self->workers_row_ = item.changed;
        }
      }
      if (!own) {
        self->uses_.superseded();
        return;
      }
      self->write_workers();
      return;
    }
    self->later(retry_pause, [self] { self->write_workers(); });
  });
}

void owner_session::erase_expired() {
  const auto expired = scheduler_->take_expired(uses_.loop.now());
  constexpr std::size_t rows_per_job = 3;
  constexpr std::size_t jobs_per_commit = (max_commit_entries - 1) / rows_per_job;
  for (std::size_t begin = 0; begin < expired.size(); begin += jobs_per_commit) {
    kv_commit commit{
        .expected = {{.key = keys::owner, .changed = opts_.owner_row}}, .puts = {}, .erases = {}};
    for (std::size_t index = begin; index < std::min(begin + jobs_per_commit, expired.size()); ++index) {
      commit.erases.push_back(keys::job(expired[index]));
      commit.erases.push_back(keys::cancel(expired[index]));
      commit.erases.push_back(keys::progress(expired[index]));
      progress_rows_.erase(expired[index]);
    }
    uses_.store.call(std::move(commit), [](const kv_result& result) {
      if (!std::holds_alternative<kv_committed>(result)) {
        // The next owner finds the rows and deletes them after its own period.
        log(log_level::warning, "expired_rows_kept", {});
      }
    });
  }
}

// ---- queries ----

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

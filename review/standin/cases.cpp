#include <fmt/format.h>

#include <cstdlib>
#include <iostream>
#include <string>

#include "world.hpp"

namespace review {

namespace {

const route plain_route{.name = "r-plain", .prefix = "/plain/"};

json step_of(const step_facts& facts, int estimate_ms) {
  json step{
      {"count", facts.count}, {"cpu", facts.cpu}, {"memMb", facts.memory_mb}, {"estimateMs", estimate_ms}};
  if (facts.gpu > 0) {
    step["gpu"] = facts.gpu;
  }
  if (facts.gang) {
    step["gang"] = true;
  }
  if (facts.long_running) {
    step["longRunning"] = true;
  }
  if (facts.max_per_worker > 0) {
    step["maxPerServer"] = facts.max_per_worker;
  }
  if (!facts.after.empty()) {
    step["after"] = facts.after;
  }
  return step;
}

json job_of(const std::vector<step_facts>& steps) {
  json rows = json::array();
  for (const auto& each : steps) {
    rows.push_back(step_of(each, static_cast<int>(each.length.count())));
  }
  return {{"spec", "(text)"}, {"steps", std::move(rows)}};
}

/// Watches for 3 s whether the job has nothing running while at least half of the workers' room is free.
bool idle_for_three_seconds(world& here, const std::string& job) {
  constexpr int share_in_use = 2;
  bool idle = true;
  const int starts = here.book().starts(job);
  const auto until = here.now() + milliseconds{3000};
  while (here.now() < until) {
    here.run_for(milliseconds{50});
    for (const auto& each : here.workers()) {
      idle = idle && each->used_cpu() < each->cpu() / share_in_use;
    }
    idle = idle && here.book().running(job) == 0;
  }
  return idle && here.book().starts(job) == starts;
}

/// More than 500 ends of one worker wait to be noted while the store is away for a moment.
int many_ends(world& here, bool trouble) {
  here.put_config({plain_route});
  if (!here.start()) {
    return could_not_run;
  }
  const std::string id = "5c0e7a21d94b0001";
  const step_facts step{
      .count = 600, .cpu = 50, .memory_mb = 64, .length = milliseconds{6000}, .spread = milliseconds{300}};
  if (!here.submit("/plain/", id, job_of({step}), {step})) {
    return could_not_run;
  }
  const auto first_end = [&] { return here.book().done(id) > 0; };
  if (!here.run_until([&] { return here.book().starts(id) >= step.count; }, milliseconds{20'000})) {
    here.write("not all tasks were started");
    return could_not_run;
  }
  here.run_until(first_end, milliseconds{15'000});
  if (trouble) {
    here.write("store: down, answers 503 and 429");
    here.store().faults.leases_paused = true;
    here.store().faults.down = true;
  }
  here.run_for(milliseconds{1500});
  here.write(fmt::format("the worker has {} ends that were not noted", here.workers()[0]->unacknowledged()));
  if (trouble) {
    here.write("store: up");
    here.store().faults.down = false;
  }
  here.run_until([&] { return here.book().running(id) == 0 && here.workers()[0]->unacknowledged() == 0; },
                 milliseconds{30'000});
  here.run_for(milliseconds{3000});
  here.write(fmt::format("{} tasks, {} starts", step.count, here.book().starts(id)));
  const auto twice = here.book().twice();
  for (const auto& each : twice) {
    here.write("TWICE: " + each);
  }
  here.write(fmt::format("TWICE broken {} times", twice.size()));
  return twice.empty() ? held : broken;
}

/// One job that brings the scheduling process down, beside plain jobs of other clients.
int deadly_job(world& here, const json& body, const std::vector<step_facts>& steps) {
  here.put_config({plain_route});
  if (!here.start()) {
    return could_not_run;
  }
  const step_facts plain{.count = 3, .cpu = 3700, .memory_mb = 2000, .gpu = 1, .length = milliseconds{1000}};
  if (!here.submit("/plain/", "5c0e7a21d94b0001", job_of({plain}), {plain}) ||
      !here.run_until([&] { return here.book().done("5c0e7a21d94b0001") == plain.count; },
                      milliseconds{15'000})) {
    here.write("the first plain job was not done, so nothing can be said");
    return could_not_run;
  }
  here.book().submitted("5c0e7a21d94b0002", steps);
  here.call(0, "POST", "/plain/5c0e7a21d94b0002", body.dump());
  here.run_for(milliseconds{1000});
  const bool accepted = here.submit("/plain/", "5c0e7a21d94b0003", job_of({plain}), {plain});
  // `finish_s` (14 s) after the last request would be enough; the time is longer to rule out a slow start.
  here.run_for(milliseconds{57'000});
  const bool idle = idle_for_three_seconds(here, "5c0e7a21d94b0003");
  here.call(1, "GET", "/plain/5c0e7a21d94b0003");
  for (const int ends : here.ends_of_processes()) {
    here.write(fmt::format("a machine's process ended {} times", ends));
  }
  const int done = here.book().done("5c0e7a21d94b0003");
  here.write(fmt::format("the plain job handed in afterwards: accepted {}, {} of {} tasks done after 60 s",
                         accepted, done, plain.count));
  const bool lost = accepted && done < plain.count && idle;
  here.write(fmt::format("LOST broken: {}", lost));
  return lost ? broken : held;
}

/// A job that is due every minute, for an hour or for a year.
int long_schedule(world& here, bool trouble) {
  const step_facts step{.count = 3, .cpu = 3700, .memory_mb = 2000, .length = milliseconds{1000}};
  auto body = job_of({step});
  constexpr int minutes_per_hour = 60;
  constexpr int minutes_per_year = 365 * 24 * 60;
  const auto now =
      std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
  body["repeatCount"] = trouble ? minutes_per_year : minutes_per_hour;
  body["intervalMs"] = 60'000;
  body["startAtMs"] = now.count() + 600'000;
  return deadly_job(here, body, {step});
}

/// A step that names a step before the first one, as an unsigned number, or names none.
int wrong_dependency(world& here, bool trouble) {
  const step_facts step{.count = 3, .cpu = 3700, .memory_mb = 2000, .length = milliseconds{1000}};
  auto body = job_of({step, step});
  body["steps"][1]["after"] = json::array({trouble ? 4294967295U : 0U});
  return deadly_job(here, body, {step, step});
}

/// The operator removes a route while an accepted job of it still has a step to run.
int removed_route(world& here, bool trouble) {
  const route other{.name = "r-other", .prefix = "/other/"};
  here.put_config({plain_route, other});
  if (!here.start()) {
    return could_not_run;
  }
  const std::string id = "5c0e7a21d94b0001";
  const step_facts first{.count = 4, .cpu = 3700, .memory_mb = 2000, .gpu = 1, .length = milliseconds{4000}};
  auto second = first;
  second.after = {0};
  second.length = milliseconds{2000};
  if (!here.submit("/other/", id, job_of({first, second}), {first, second}) ||
      !here.run_until([&] { return here.book().running(id) == first.count; }, milliseconds{10'000})) {
    return could_not_run;
  }
  here.call(1, "GET", "/other/" + id);
  if (trouble) {
    here.put_config({plain_route});
  }
  // The last request of a client; `finish_s` (14 s) later the jobs are looked at.
  const std::string last = "5c0e7a21d94b0002";
  if (!here.submit("/plain/", last, job_of({first}), {first})) {
    return could_not_run;
  }
  here.run_for(milliseconds{14'000});
  const bool idle = idle_for_three_seconds(here, id);
  here.call(1, "GET", "/plain/" + last);
  here.call(1, "GET", "/other/" + id);
  const int tasks = first.count + second.count;
  const int done = here.book().done(id);
  here.write(fmt::format("the job on the route: {} of {} tasks done; the plain job: {} of {} done", done,
                         tasks, here.book().done(last), first.count));
  const bool lost = idle && done < tasks;
  here.write(fmt::format("LOST broken: {}", lost));
  if (lost) {
    here.run_for(milliseconds{20'000});
    here.write(fmt::format("20 s later: {} of {} tasks done", here.book().done(id), tasks));
  }
  return lost ? broken : held;
}

/// A worker without work crashes and is back at its address as a new incarnation; a gang is placed on the old
/// one, whose entry has not been removed yet.
int replaced_worker(world& here, bool trouble) {
  here.put_config({plain_route});
  if (!here.start()) {
    return could_not_run;
  }
  here.run_for(milliseconds{2000});
  // Other work fills all workers but one.
  const int others = static_cast<int>(here.workers().size()) - 1;
  const step_facts filler{
      .count = others * 8, .cpu = 3700, .memory_mb = 2000, .gpu = 1, .length = milliseconds{6000}};
  if (!here.submit("/plain/", "5c0e7a21d94b0001", job_of({filler}), {filler}) ||
      !here.run_until([&] { return here.book().running("5c0e7a21d94b0001") == filler.count; },
                      milliseconds{5000})) {
    return could_not_run;
  }
  std::size_t idle_worker = here.workers().size();
  for (std::size_t i = 0; i < here.workers().size(); ++i) {
    idle_worker = here.workers()[i]->running() == 0 ? i : idle_worker;
  }
  if (idle_worker == here.workers().size()) {
    here.write("no worker is without work");
    return could_not_run;
  }
  if (trouble) {
    here.crash_worker(idle_worker, milliseconds{100});
  }
  const std::string id = "5c0e7a21d94b0002";
  const step_facts gang{
      .count = 6, .cpu = 3700, .memory_mb = 2000, .gpu = 1, .gang = true, .length = milliseconds{2500}};
  if (!here.submit("/plain/", id, job_of({gang}), {gang})) {
    return could_not_run;
  }
  // `finish_s` after the last request.
  here.run_for(milliseconds{14'000});
  const bool idle = idle_for_three_seconds(here, id);
  here.call(1, "GET", "/plain/" + id);
  const int done = here.book().done(id);
  here.write(
      fmt::format("the gang: {} of {} tasks done, {} starts", done, gang.count, here.book().starts(id)));
  const bool lost = idle && done < gang.count;
  here.write(fmt::format("LOST broken: {}", lost));
  if (lost) {
    here.run_for(milliseconds{60'000});
    here.write(fmt::format("60 s later: {} of {} tasks done, {} starts", here.book().done(id), gang.count,
                           here.book().starts(id)));
  }
  return lost ? broken : held;
}

/// A draining worker is cut off, so that its entry lapses and connections to it are refused; its task runs
/// on.
int draining_and_cut(world& here, bool trouble) {
  here.put_config({plain_route});
  if (!here.start()) {
    return could_not_run;
  }
  here.run_for(milliseconds{2000});
  const std::string id = "5c0e7a21d94b0001";
  const step_facts step{.count = 1, .cpu = 3700, .memory_mb = 2000, .gpu = 1, .length = milliseconds{11'000}};
  if (!here.submit("/plain/", id, job_of({step}), {step}) ||
      !here.run_until([&] { return here.book().running(id) == step.count; }, milliseconds{5000})) {
    return could_not_run;
  }
  std::size_t chosen = 0;
  while (here.workers()[chosen]->running() == 0) {
    ++chosen;
  }
  here.run_for(milliseconds{1000});
  here.workers()[chosen]->drain();
  here.run_for(milliseconds{1000});
  // The cut begins shortly before a heartbeat, so that the entry is removed well before the cut ends.
  here.run_until([&] { return here.workers()[chosen]->entry_expires() - here.now() <= milliseconds{3300}; },
                 milliseconds{3000});
  if (trouble) {
    here.cut_worker(chosen);
  }
  here.run_for(milliseconds{5500});
  if (trouble) {
    here.workers()[chosen]->cut_off(false);
  }
  here.run_until([&] { return here.book().done(id) == step.count && here.book().running(id) == 0; },
                 milliseconds{30'000});
  here.run_for(milliseconds{2000});
  here.call(1, "GET", "/plain/" + id);
  const auto twice = here.book().twice();
  for (const auto& each : twice) {
    here.write("TWICE: " + each);
  }
  here.write(fmt::format("TWICE broken {} times", twice.size()));
  return twice.empty() ? held : broken;
}

/// The store loses the answer to one write. The client that waits for it leaves and cancels its job.
int cancelled_in_flight(world& here, bool trouble) {
  here.put_config({plain_route});
  if (!here.start()) {
    return could_not_run;
  }
  const std::string id = "5c0e7a21d94b0001";
  const step_facts first{.count = 2, .cpu = 3700, .memory_mb = 2000, .gpu = 1, .length = milliseconds{4000}};
  auto second = first;
  second.after = {0};
  here.book().submitted(id, {first, second});
  if (trouble) {
    here.write("store: loses the answer to the next write, which is done late");
    here.store().faults.late_writes_percent = 100;
  }
  static_cast<void>(here.send(0, "POST", "/plain/" + id, job_of({first, second}).dump(), milliseconds{400}));
  here.run_for(milliseconds{100});
  here.store().faults.late_writes_percent = 0;
  here.run_for(milliseconds{350});
  const auto cancel = here.call(1, "DELETE", "/plain/" + id);
  const auto acknowledged_at = here.now();
  if (cancel.status != 200 && cancel.status != 410) {
    return could_not_run;
  }
  here.run_for(milliseconds{15'000});
  here.call(1, "GET", "/plain/" + id);
  const int late = here.book().starts_after(id, acknowledged_at + milliseconds{3000});
  here.write(fmt::format("starts later than cancel_ms after the answer to DELETE: {}", late));
  return late > 0 ? broken : held;
}

/// A gang without accelerators that needs whole workers waits, because each runs a small task that lasts.
/// Plain jobs come after it.
int waiting_gang(world& here, bool trouble) {
  const route patient{.name = "r-patient", .prefix = "/patient/", .priority = 2};
  here.put_config({plain_route, patient});
  if (!here.start()) {
    return could_not_run;
  }
  here.run_for(milliseconds{2000});
  const int workers = static_cast<int>(here.workers().size());
  const step_facts lasting{.count = workers,
                           .cpu = 1000,
                           .memory_mb = 500,
                           .long_running = true,
                           .max_per_worker = 1,
                           .length = milliseconds{3'600'000}};
  if (!here.submit("/plain/", "5c0e7a21d94b0001", job_of({lasting}), {lasting}) ||
      !here.run_until([&] { return here.book().running("5c0e7a21d94b0001") == workers; },
                      milliseconds{5000})) {
    return could_not_run;
  }
  const step_facts gang{
      .count = workers, .cpu = 32'000, .memory_mb = 500, .gang = true, .length = milliseconds{60'000}};
  if (trouble && !here.submit("/plain/", "5c0e7a21d94b0002", job_of({gang}), {gang})) {
    return could_not_run;
  }
  here.run_for(milliseconds{1000});
  const std::string id = "5c0e7a21d94b0003";
  const step_facts plain{.count = 3, .cpu = 3700, .memory_mb = 2000, .length = milliseconds{2500}};
  if (!here.submit("/patient/", id, job_of({plain}), {plain})) {
    return could_not_run;
  }
  here.run_for(milliseconds{14'000});
  const bool idle = idle_for_three_seconds(here, id);
  here.call(1, "GET", "/patient/" + id);
  const int done = here.book().done(id);
  here.write(fmt::format("the plain job: {} of {} tasks done", done, plain.count));
  const bool lost = idle && done < plain.count;
  here.write(fmt::format("LOST broken: {}", lost));
  if (lost) {
    here.run_for(milliseconds{60'000});
    here.write(fmt::format("60 s later: {} of {} tasks done", here.book().done(id), plain.count));
  }
  return lost ? broken : held;
}

/// A job with very many tasks; its progress no longer fits into one value of the store.
int large_job(world& here, bool trouble) {
  here.put_config({plain_route});
  if (!here.start()) {
    return could_not_run;
  }
  const std::string id = "5c0e7a21d94b0001";
  const step_facts step{
      .count = trouble ? 110'000 : 50'000, .cpu = 100, .memory_mb = 64, .length = milliseconds{700}};
  if (!here.submit("/plain/", id, job_of({step}), {step})) {
    return could_not_run;
  }
  here.run_until([&] { return here.tasks_done() >= step.count; }, milliseconds{75'000});
  here.write(fmt::format("{} tasks have ended", here.tasks_done()));
  const std::string plain_id = "5c0e7a21d94b0002";
  const step_facts plain{.count = 3, .cpu = 3700, .memory_mb = 2000, .gpu = 1, .length = milliseconds{1000}};
  if (!here.submit("/plain/", plain_id, job_of({plain}), {plain})) {
    return could_not_run;
  }
  here.run_for(milliseconds{14'000});
  const auto state = here.call(1, "GET", "/plain/" + plain_id);
  here.call(1, "GET", "/plain/" + id);
  std::size_t waiting = 0;
  for (const auto& each : here.workers()) {
    waiting += each->unacknowledged();
  }
  here.write(fmt::format("{} ends are listed and not taken note of; the plain job: {} of {} tasks done",
                         waiting, here.book().done(plain_id), plain.count));
  return here.book().done(plain_id) == plain.count && state.body.find("complete") == std::string::npos
             ? broken
             : held;
}

/// Tasks of a tenant without a guarantee fill all workers. An urgent job of another tenant, within that
/// tenant's guarantee, comes.
int filled_by_lasting(world& here, bool trouble) {
  const route urgent{.name = "r-urgent", .prefix = "/urgent/", .priority = 0, .max_attempts = 3};
  const route patient{.name = "r-patient", .prefix = "/patient/", .priority = 2};
  here.put_config({urgent, patient});
  if (!here.start()) {
    return could_not_run;
  }
  here.run_for(milliseconds{2000});
  const int gpus = static_cast<int>(here.workers().size()) * 8;
  // With TROUBLE=0 the same tasks do not last, but take longer than the case.
  const step_facts filler{.count = gpus,
                          .cpu = 3700,
                          .memory_mb = 2000,
                          .gpu = 1,
                          .long_running = trouble,
                          .length = milliseconds{3'600'000}};
  if (!here.submit("/patient/", "5c0e7a21d94b0001", job_of({filler}), {filler}, tenant_b_key) ||
      !here.run_until([&] { return here.book().running("5c0e7a21d94b0001") == gpus; }, milliseconds{8000})) {
    return could_not_run;
  }
  here.run_for(milliseconds{3000});
  const std::string id = "5c0e7a21d94b0002";
  const step_facts step{.count = 3, .cpu = 3700, .memory_mb = 2000, .gpu = 1, .length = milliseconds{2500}};
  if (!here.submit("/urgent/", id, job_of({step}), {step})) {
    return could_not_run;
  }
  // `reclaimMs` after the acknowledgement.
  here.run_for(milliseconds{2700});
  const int begun = here.book().starts(id);
  here.write(fmt::format("2.7 s after the acknowledgement {} of {} tasks have begun", begun, step.count));
  if (begun < step.count) {
    here.run_for(milliseconds{30'000});
    here.call(1, "GET", "/urgent/" + id);
    here.write(fmt::format("30 s later {} of {} tasks have begun", here.book().starts(id), step.count));
  }
  here.write(fmt::format("RECLAIM broken: {}", begun < step.count));
  return begun < step.count ? broken : held;
}

}  // namespace

}  // namespace review

int main(int argc, char** argv) {
  using namespace review;
  if (argc != 3) {
    std::cerr << "review_world CASE RECORD\n";
    return could_not_run;
  }
  const std::string name = argv[1];
  const char* setting = std::getenv("TROUBLE");
  const bool trouble = setting == nullptr || std::string{setting} != "0";
  if (name == "many_ends") {
    world here{argv[2], {.vms = 2, .workers = 1}};
    return many_ends(here, trouble);
  }
  if (name == "long_schedule") {
    world here{argv[2], {}};
    return long_schedule(here, trouble);
  }
  if (name == "wrong_dependency") {
    world here{argv[2], {}};
    return wrong_dependency(here, trouble);
  }
  if (name == "replaced_worker") {
    world here{argv[2], {.vms = 3, .workers = 8}};
    return replaced_worker(here, trouble);
  }
  if (name == "draining_and_cut") {
    world here{argv[2], {.vms = 3, .workers = 16}};
    return draining_and_cut(here, trouble);
  }
  if (name == "cancelled_in_flight") {
    world here{argv[2], {}};
    return cancelled_in_flight(here, trouble);
  }
  if (name == "waiting_gang") {
    world here{argv[2], {.vms = 3, .workers = 8}};
    return waiting_gang(here, trouble);
  }
  if (name == "large_job") {
    world here{argv[2], {.vms = 2, .workers = 8}};
    return large_job(here, trouble);
  }
  if (name == "filled_by_lasting") {
    world here{argv[2], {.vms = 3, .workers = 4}};
    return filled_by_lasting(here, trouble);
  }
  if (name == "removed_route") {
    world here{argv[2], {}};
    return removed_route(here, trouble);
  }
  return could_not_run;
}

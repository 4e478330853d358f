#include "rhubarbpath/protocol/log_events.hpp"

#include <array>

namespace rhubarbpath {

namespace {

constexpr std::array events{
    log_event{"started", "the process runs", "failure_domain, peer"},
    log_event{"start_failed", "an address is in use", "reason"},
    log_event{"stopping", "SIGTERM or SIGINT arrived", "open_calls"},
    log_event{"stopped", "the process exits", "open_calls"},
    log_event{"settings_reloaded", "the settings file changed", "store"},
    log_event{
        "clients_limited",
        "in the last second connections were closed or requests refused because clients kept too much; one "
        "line for each reason",
        "reason, count, kept_bytes, connections"},
    log_event{
        "full_teams_changed",
        "the teams whose jobs take as much of the owner as they may; further jobs of theirs are refused "
        "with 429",
        "teams, work_bytes"},
    log_event{"progress_shortened",
              "the progress of a job fits into no row of the store; only what is done is stored of it",
              "job, units, row_bytes"},
    log_event{"team_row_unreadable", "the stored list of these teams cannot be read", "reason"},
    log_event{"settings_rejected", "the settings file is wrong; the settings before stay", "reason"},
    log_event{"config_in_force", "a configuration takes effect", "version, revision, queues, source"},
    log_event{"config_path_lost", "a read or watch of the configuration failed after one that succeeded",
              "call, reason, took_ms, config_age_ms"},
    log_event{"config_path_regained", "a read or watch of the configuration succeeded again",
              "call, failures, config_age_ms"},
    log_event{"config_fetch_failed", "another VM did not serve a newer configuration", "peer, reason"},
    log_event{"announcement_failed", "another VM did not answer the announcement of a version",
              "peer, reason"},
    log_event{"loop_late", "the event loop ran its timers late", "late_ms"},
    log_event{"config_rejected", "a configuration cannot be read; the one before stays", "reason"},
    log_event{
        "store_rate_exceeded",
        "the store refused a caller's call because of its rate; the VM makes fewer for its callers from "
        "now on",
        "calls, callers_per_second"},
    log_event{"store_direct_lost", "the store refuses this VM or does not answer it", "reason"},
    log_event{"store_direct_regained", "the store answers this VM again", "reason"},
    log_event{"relay_without_time_limit", "another VM asked for a store call without a limit", ""},
    log_event{"owner_seen", "another VM owns the scheduling duty", "owner, term"},
    log_event{"term_began", "this VM owns the duty", "term, revision"},
    log_event{"term_ended", "this VM no longer owns the duty", "term, reason"},
    log_event{"lease_release_unconfirmed", "the duty was given back and the store did not answer", ""},
    log_event{"recovery_finished", "inherited jobs may start again",
              "reason, term, silent_workers, first_silent_worker, silent_leaving_workers, jobs, waited_ms"},
    log_event{"order_fenced", "a worker has seen a newer owner", "worker, term"},
    log_event{"write_fenced", "the store has a newer owner", "term"},
    log_event{
        "caller_answered", "an answer to a caller, but for phase queries that succeed",
        "job, method, status, reason, queue, team, config_version, config_age_ms, took_ms, caller_gone"},
    log_event{"job_added", "the owner learns of a job",
              "job, reason, term, queue, team, units, phase, kind, tasks, age_ms, chain_ms, objective_ms, "
              "target_ms"},
    log_event{"job_ended", "a job is complete, failed or cancelled", "job, reason, term, waited_ms"},
    log_event{"unit_started", "a task or gang is placed; `speed` is that of its slowest worker",
              "job, reason, term, step, run, workers, estimate_ms, cores_milli, saves, outside_rack, speed, "
              "waited_ms"},
    log_event{"job_stands", "nothing of a job has run for 3 s or more although the turn of a task has come",
              "job, reason, term, step, runs, stands_ms, in_use_percent, workers, usable, with_room, "
              "held_back, set_aside, evacuated, rack, rack_usable, rack_with_room"},
    log_event{"unit_preempted", "a task or gang is stopped for urgent work",
              "job, reason, term, step, percent"},
    log_event{"unit_evacuated", "a task or gang is stopped because one of its workers leaves before it ends",
              "job, reason, term, worker, step, percent, leaves_in_ms"},
    log_event{"domain_evacuated", "an operator evacuates a failure domain; nothing is started on its workers",
              "reason, term, failure_domain, workers, tasks"},
    log_event{"domain_evacuation_ended", "the workers of a failure domain are used again",
              "reason, term, failure_domain"},
    log_event{"start_withdrawn", "a start in an evacuated failure domain was not confirmed and is stopped",
              "job, reason, term, worker, step, run"},
    log_event{"evacuation_row_ignored", "a request to evacuate names no failure domain", "key, reason"},
    log_event{"run_ended", "a worker lists a run as ended", "job, reason, term, worker, task, run"},
    log_event{"run_lost", "a run ended without a listed end", "job, reason, term, worker, run"},
    log_event{"run_missing", "a worker names a run nowhere; the run is stopped before its task starts again",
              "job, reason, term, worker, run"},
    log_event{"run_stalled", "a run makes no progress and is stopped", "job, reason, term, worker, percent"},
    log_event{"run_adopted", "a run of an earlier owner goes on", "job, reason, term, worker, run"},
    log_event{"stray_run_stopped", "a run that no job wants is stopped", "job, reason, term, worker, run"},
    log_event{"start_refused", "a worker refuses a start", "job, reason, term, worker, run"},
    log_event{"start_unanswered", "a start was repeated and never answered", "job, reason, term, worker"},
    log_event{"advice_asked", "the adviser is asked on which workers a step may run",
              "job, reason, term, step, workers"},
    log_event{"advice_received", "its answer, with the number of workers that may",
              "job, reason, term, step, workers"},
    log_event{"worker_listed", "the registry lists a worker for use", "reason, term, worker, address, born"},
    log_event{"worker_entry_ignored", "an entry of the registry names no worker to use", "key, reason"},
    log_event{"worker_draining", "a worker is about to leave", "reason, term, worker, address, born"},
    log_event{"worker_silent", "a renewal failed", "reason, term, worker, tasks"},
    log_event{"worker_answers", "a silent worker answers again", "reason, term, worker"},
    log_event{"worker_restarted", "a worker came back and runs nothing", "reason, term, worker, born"},
    log_event{"worker_replaced",
              "another instance responds at a worker's address; the worker gets no new work",
              "reason, term, worker, address, answered_at, tasks"},
    log_event{"worker_set_aside", "runs on a worker fail, and not elsewhere; it gets no new work",
              "reason, term, worker"},
    log_event{"worker_trial", "a worker that is set aside may get one run", "reason, term, worker"},
    log_event{"worker_restored", "a worker is no longer set aside", "reason, term, worker"},
    log_event{"worker_slow", "runs take longer on a worker than elsewhere; urgent work gets others first",
              "reason, term, worker, level, time_percent, uncertainty_percent, observations, slow_workers, "
              "not_logged"},
    log_event{"worker_speed_normal", "a worker is no longer judged slow",
              "reason, term, worker, level, time_percent, uncertainty_percent, observations, slow_workers, "
              "not_logged"},
    log_event{
        "starts_held",
        "the owner starts nothing, because cancellations, evacuations or a configuration may be unknown",
        "reason, jobs_age_ms"},
    log_event{"starts_resumed", "the owner starts work again", "reason, jobs_age_ms"},
    log_event{"job_row_unreadable", "a job's row in the store cannot be read", "key, reason"},
    log_event{"progress_row_unreadable", "a progress row in the store cannot be read", "key, reason"},
    log_event{"owner_row_unreadable", "the owner row in the store cannot be read", "reason"},
    log_event{"term_row_unreadable", "the term row in the store cannot be read", "value"},
    log_event{"worker_row_unreadable", "the row of workers in the store cannot be read", "reason"},
    log_event{"leaving_row_unreadable",
              "the row of leaving workers in the store cannot be read; all inherited jobs wait for them",
              "reason"},
    log_event{"expired_rows_kept", "rows of old jobs could not be removed; tried again later", ""},
    log_event{"log_lines_dropped", "the reader of standard output did not keep up", "count"},
};

}  // namespace

std::span<const log_event> log_events() {
  return events;
}

}  // namespace rhubarbpath

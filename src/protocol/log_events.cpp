#include "rhubarbpath/protocol/log_events.hpp"

#include <array>

namespace rhubarbpath {

std::span<const log_event> log_events() {
  static constexpr std::array events{
      log_event{"started", "the process runs", "failure_domain, peer"},
      log_event{"start_failed", "an address is in use", "reason"},
      log_event{"stopping", "SIGTERM or SIGINT arrived", "open_calls"},
      log_event{"stopped", "the process exits", "open_calls"},
      log_event{"settings_reloaded", "the settings file changed", "store"},
      log_event{"settings_rejected", "the settings file is wrong; the settings before stay", "reason"},
      log_event{"config_in_force", "a configuration takes effect", "version, revision, queues"},
      log_event{"config_rejected", "a configuration cannot be read; the one before stays", "reason"},
      log_event{"store_direct_lost", "the store refuses this VM or does not answer it", "reason"},
      log_event{"store_direct_regained", "the store answers this VM again", "reason"},
      log_event{"relay_without_time_limit", "another VM asked for a store call without a limit", ""},
      log_event{"owner_seen", "another VM owns the scheduling duty", "owner, term"},
      log_event{"term_began", "this VM owns the duty", "term, revision"},
      log_event{"term_ended", "this VM no longer owns the duty", "term, reason"},
      log_event{"lease_release_unconfirmed", "the duty was given back and the store did not answer", ""},
      log_event{"recovery_finished", "inherited jobs may start again",
                "reason, term, silent_workers, first_silent_worker, jobs, waited_ms"},
      log_event{"order_fenced", "a worker has seen a newer owner", "worker, term"},
      log_event{"write_fenced", "the store has a newer owner", "term"},
      log_event{
          "caller_answered", "an answer to a caller, but for phase queries that succeed",
          "job, method, status, reason, queue, team, config_version, config_age_ms, took_ms, caller_gone"},
      log_event{"job_added", "the owner learns of a job", "job, reason, term, queue, team, units, phase"},
      log_event{"job_ended", "a job is complete, failed or cancelled", "job, reason, term, waited_ms"},
      log_event{"unit_started", "a task or gang is placed",
                "job, reason, term, step, run, workers, waited_ms"},
      log_event{"unit_preempted", "a task or gang is stopped for urgent work", "job, reason, term, step"},
      log_event{"run_ended", "a worker lists a run as ended", "job, reason, term, worker, task, run"},
      log_event{"run_lost", "a run ended without a listed end", "job, reason, term, worker, run"},
      log_event{"run_stalled", "a run makes no progress and is stopped",
                "job, reason, term, worker, percent"},
      log_event{"run_adopted", "a run of an earlier owner goes on", "job, reason, term, worker, run"},
      log_event{"stray_run_stopped", "a run that no job wants is stopped", "job, reason, term, worker, run"},
      log_event{"start_refused", "a worker refuses a start", "job, reason, term, worker, run"},
      log_event{"start_unanswered", "a start was repeated and never answered", "job, reason, term, worker"},
      log_event{"advice_asked", "the adviser is asked on which workers a step may run",
                "job, reason, term, step, workers"},
      log_event{"advice_received", "its answer, with the number of workers that may",
                "job, reason, term, step, workers"},
      log_event{"worker_listed", "the registry lists a worker for use",
                "reason, term, worker, address, born"},
      log_event{"worker_draining", "a worker is about to leave", "reason, term, worker, address, born"},
      log_event{"worker_silent", "a renewal failed", "reason, term, worker, tasks"},
      log_event{"worker_answers", "a silent worker answers again", "reason, term, worker"},
      log_event{"worker_restarted", "a worker came back and runs nothing", "reason, term, worker, born"},
      log_event{"job_row_unreadable", "a job's row in the store cannot be read", "key, reason"},
      log_event{"progress_row_unreadable", "a progress row in the store cannot be read", "key, reason"},
      log_event{"owner_row_unreadable", "the owner row in the store cannot be read", "reason"},
      log_event{"term_row_unreadable", "the term row in the store cannot be read", "value"},
      log_event{"worker_row_unreadable", "the row of workers in the store cannot be read", "reason"},
      log_event{"expired_rows_kept", "rows of old jobs could not be removed; tried again later", ""},
      log_event{"log_lines_dropped", "the reader of standard output did not keep up", "count"},
  };
  return events;
}

}  // namespace rhubarbpath

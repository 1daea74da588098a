/* Applies the runs and ends that targets list, and collects the records of job progress. */
#include <string.h>

#include "core/core_internal.h"

/* Most bytes of the records that are collected at once, unless a single record is larger. The store
 * takes transactions of 1 MB, in which records grow by a third. */
#define COLLECTED_BYTES_MAX (512 * 1024)
/* Of a share that would fit if all were of one length, this much is kept, and so often a smaller
 * one is tried. */
#define CUT_PERCENT 90
#define CUTS_MAX 5
/* After a record that is shorter than this share of the limit, the next one tells more again. */
#define COMPLETE_PERCENT 50
/* Most bytes of a range of done tasks, a failed run, or what names a task; of the target of one;
 * and of a crash. */
#define ROW_BYTES 18
#define TARGET_ROW_BYTES 4
#define CRASH_ROW_BYTES 36
/* Weight of one run in the moving average of the run time of a queue. */
#define RUN_TIME_WEIGHT 0.05
/* Weight of one run in the moving average of the share that fails. */
#define FAILURE_WEIGHT 0.005
/* A reply of a target that arrives later than this after the limit of its heartbeat is outdated.
 * Forwarded heartbeats have a longer limit. */
#define REPLY_SLACK_MS 200
/* A target that has replied within this after the wait has not restarted since the reply. */
#define BOOT_CERTAIN_MS (FL_HEARTBEAT_LIMIT_MS + REPLY_SLACK_MS)
/* Consecutive failures, of at least two jobs, after which a target is quarantined. */
#define QUARANTINE_FAILURES_MIN 3

void
core_job_mark_for_recording (struct core_job *job)
{
  core_queue_set_member (&job->core->unrecorded_jobs, &job->recording_link, &job->needs_recording,
                         true);
}

void
core_job_finish (struct core_job *job, enum fl_job_state state)
{
  struct fl_core *core = job->core;

  job->state = state;
  core_queue_set_member (&core->waiting_jobs, &job->waiting_link, &job->in_waiting, false);
  core_queue_set_member (&core->final_jobs, &job->final_link, &job->in_final, true);
  core_job_note_final (job);
  core_job_mark_for_recording (job);
  core_job_log_end (job);
  for (struct core_step *step = job->first_step; step != NULL; step = step->next)
    {
      core_advice_abandon_query (step);
      for (int64_t i = 0; i < step->spec->count; i++)
        if (step->tasks[i].run != NULL)
          core_run_stop (step->tasks[i].run);
    }
}

/* --- ends --- */

static void
mark_done (struct core_task *task)
{
  struct core_step *step = task->step;
  struct core_job *job = step->job;

  if (task->done)
    return;
  task->done = true;
  core_crash_clear_task (task);
  if (task->run == NULL)
    core_step_add_idle_tasks (step, -1);
  core_job_mark_for_recording (job);
  core_step_count_done (step);
  if (job->unfinished_steps == 0 && !fl_job_state_is_final (job->state))
    core_job_finish (job, FL_JOB_COMPLETED);
}

static void
handle_done (struct core_task *task)
{
  struct core_step *step = task->step;

  if (!step->spec->gang)
    {
      mark_done (task);
      return;
    }
  for (int64_t i = 0; i < step->spec->count; i++)
    mark_done (&step->tasks[i]);
}

static int64_t
failed_run_count (const struct core_task *task)
{
  return task->failed_runs != NULL ? task->failed_runs->len : 0;
}

static void
add_failed_run (struct core_task *task, int64_t run)
{
  struct fl_failed_run row = { run };

  if (task->failed_runs == NULL)
    task->failed_runs = g_array_new (FALSE, FALSE, sizeof row);
  for (guint i = 0; i < task->failed_runs->len; i++)
    if (g_array_index (task->failed_runs, struct fl_failed_run, i).run == run)
      return;
  g_array_append_val (task->failed_runs, row);
}

/* Counts each failed run once, even if its end is listed to several owners, or later than the end
 * of a later run. A gang fails as a whole. */
static void
count_failure (struct core_task *task, int64_t run)
{
  struct core_step *step = task->step;
  int64_t first = step->spec->gang ? 0 : task->index;
  int64_t last = step->spec->gang ? step->spec->count - 1 : task->index;

  for (int64_t i = first; i <= last; i++)
    add_failed_run (&step->tasks[i], run);
}

static void
count_target_failure (struct core_target *target, const struct core_task *task)
{
  struct fl_core *core = task->step->job->core;

  target->consecutive_failures++;
  if (target->consecutive_failures >= QUARANTINE_FAILURES_MIN
      && !fl_name_eq (&target->last_failed_job, &task->step->job->spec.id))
    {
      target->avoided_until_ms = core->now_ms + CORE_QUARANTINE_MS;
      fl_log (core->options.log, FL_LOG_NOTICE, "target_quarantined",
              FL_N ("target", &target->entry.id), FL_I ("failures", target->consecutive_failures));
    }
  target->last_failed_job = task->step->job->spec.id;
}

static bool
knows_attempts_max (const struct core_job *job)
{
  return job->core->configuration != NULL && job->queue.attempts_max > 0;
}

static bool
has_exhausted_attempts (const struct core_task *task)
{
  return !task->done && !task->step->spec->long_running
         && failed_run_count (task) >= task->step->job->queue.attempts_max;
}

void
core_job_judge_failures (struct core_job *job)
{
  if (!job->has_unjudged_failures || !knows_attempts_max (job))
    return;
  job->has_unjudged_failures = false;
  for (const struct core_step *step = job->first_step; step != NULL; step = step->next)
    for (int64_t i = 0; i < step->spec->count; i++)
      if (has_exhausted_attempts (&step->tasks[i]) && !fl_job_state_is_final (job->state))
        core_job_finish (job, FL_JOB_FAILED);
}

static void
handle_failure (struct core_target *target, struct core_task *task, int64_t run)
{
  struct core_job *job = task->step->job;

  count_target_failure (target, task);
  task->last_failed_target = fl_job_target_hash (&target->entry.id);
  if (task->step->spec->long_running || task->done)
    return;
  core_job_mark_for_recording (job);
  count_failure (task, run);
  if (!knows_attempts_max (job))
    job->has_unjudged_failures = true;
  else if (has_exhausted_attempts (task) && !fl_job_state_is_final (job->state))
    core_job_finish (job, FL_JOB_FAILED);
}

static void
update_checkpoint (struct core_task *task, const struct fl_str *checkpoint)
{
  struct core_step *step = task->step;
  int64_t first = step->spec->gang ? 0 : task->index;
  int64_t last = step->spec->gang ? step->spec->count - 1 : task->index;

  if (checkpoint->len == 0 || task->done)
    return;
  for (int64_t i = first; i <= last; i++)
    {
      fl_str_clear (&step->tasks[i].checkpoint);
      step->tasks[i].checkpoint = fl_str_dup (checkpoint);
    }
}

static void
update_mean_run_time (struct core_queue_stats *stats, int64_t ran_ms)
{
  if (stats->mean_run_ms <= 0)
    stats->mean_run_ms = (double)ran_ms;
  stats->mean_run_ms += RUN_TIME_WEIGHT * ((double)ran_ms - stats->mean_run_ms);
}

/* Learns from a run of @task on @target that ended as done. One that resumed from a checkpoint was
 * shorter than the task. */
static void
learn_run_time (struct core_task *task,
                const struct core_target *target,
                int64_t ran_ms,
                bool is_resumed)
{
  struct core_step *step = task->step;
  const struct fl_name *kind = core_target_kind (target);

  update_mean_run_time (step->job->queue_stats, ran_ms);
  if (is_resumed || step->spec->best_effort)
    return;
  struct fl_run_time expected = fl_run_time_get (step->run_class, kind, step->spec->estimate_ms);
  fl_job_scale_add (&step->job->scale, expected.median_ms, (double)ran_ms);
  step->longest_run_ms = MAX (step->longest_run_ms, (double)ran_ms);
  if (!step->spec->gang)
    fl_run_time_add (step->run_class, kind, step->spec->estimate_ms, ran_ms);
}

static void
learn_failure (const struct core_task *task, bool has_failed)
{
  struct core_queue_stats *stats = task->step->job->queue_stats;

  if (!task->step->spec->long_running)
    stats->failure_share += FAILURE_WEIGHT * ((has_failed ? 1.0 : 0.0) - stats->failure_share);
}

static const char *
end_cause_name (enum fl_end_cause cause)
{
  static const char *const names[] = { "done", "failed", "stopped", "lapsed", "broken", "alone" };

  return names[cause];
}

static void
note_unrecorded_end (struct core_target *target, int64_t number, const struct core_job *job)
{
  struct core_unrecorded_end end = { number, fl_name_hash (&job->spec.id) };

  if (target->unrecorded_ends == NULL)
    target->unrecorded_ends = g_array_new (FALSE, FALSE, sizeof end);
  g_array_append_val (target->unrecorded_ends, end);
}

static void
apply_end (struct fl_core *core, struct core_target *target, const struct fl_end_row *end)
{
  struct core_task *task = core_require_task (core, &end->task);

  if (task == NULL)
    return;
  task->last_run_number = MAX (task->last_run_number, end->run);
  note_unrecorded_end (target, end->number, task->step->job);
  fl_log (core->options.log, FL_LOG_INFO, "end", FL_N ("task", &end->task), FL_I ("run", end->run),
          FL_N ("target", &target->entry.id), FL_S ("cause", end_cause_name (end->cause)));
  bool is_current
      = task->run != NULL && task->run->target == target && task->run->number == end->run;
  int64_t ran_ms = 0;
  bool is_resumed = false;
  if (!is_current && end->cause != FL_END_LEASE_EXPIRED)
    core_run_note_lost_run (task, end->run, target, end_cause_name (end->cause));
  if (is_current && task->run->started_at_ms > 0)
    {
      ran_ms = core->now_ms - task->run->started_at_ms;
      is_resumed = task->run->is_resumed;
    }
  if (is_current)
    {
      core_speed_note_end (task->run, end->cause);
      core_run_release_ended (task->run, CORE_RUN_END_LISTED);
    }
  if (is_current && (end->cause == FL_END_DONE || end->cause == FL_END_FAILED))
    learn_failure (task, end->cause == FL_END_FAILED);
  /* A task that crashes its targets does not end by itself. */
  if (is_current && (end->cause == FL_END_DONE || end->cause == FL_END_FAILED))
    core_crash_clear_task (task);
  if (end->cause == FL_END_DONE)
    {
      target->consecutive_failures = 0;
      if (ran_ms > 0)
        learn_run_time (task, target, ran_ms, is_resumed);
      handle_done (task);
      if (task->run != NULL)
        core_run_stop (task->run);
    }
  else
    {
      update_checkpoint (task, &end->checkpoint);
      if (end->cause == FL_END_FAILED)
        handle_failure (target, task, end->run);
      else if (task->step->spec->checkpoints && !task->done)
        core_job_mark_for_recording (task->step->job);
    }
}

static void
apply_ends (struct fl_core *core, struct core_target *target, const struct fl_target_report *report)
{
  for (size_t i = 0; i < report->end_count; i++)
    if (report->ends[i].number > target->last_applied_end)
      {
        apply_end (core, target, &report->ends[i]);
        target->last_applied_end = report->ends[i].number;
      }
  core_queue_set_member (&core->unrecorded_targets, &target->unrecorded_link,
                         &target->in_unrecorded, core_target_has_unrecorded_ends (target));
}

/* --- runs --- */

/* Stops a run that is not the current run of a task, such as a run of a job that ended under an
 * earlier owner. Its resources are unknown, so that the target gets no new tasks until it ends. */
static void
stop_stale_run (struct fl_core *core, struct core_target *target, const struct fl_run_row *row)
{
  const struct core_task *task = core_find_task (core, &row->task);
  struct fl_run_order order = {
    .target = target->entry.id,
    .address = target->entry.address,
    .task = row->task,
    .run = row->run,
    .fencing_token = target->fencing_token,
    .reply_limit_ms = core_reply_limit_ms (target, FL_STOP_LIMIT_MS),
  };

  target->stale_runs++;
  fl_stats_add (core->options.stats, "runs_unexpected_total", 1);
  if (core_run_note_lost_run (task, row->run, target, "running"))
    fl_stats_add (core->options.stats, "runs_lost_alive_total", 1);
  fl_log (core->options.log, FL_LOG_NOTICE, "stop_foreign", FL_N ("task", &row->task),
          FL_I ("run", row->run), FL_N ("target", &target->entry.id),
          FL_I ("boot", target->booted_at_ms),
          FL_I ("current_run", task != NULL && task->run != NULL ? task->run->number : 0),
          FL_I ("last_run", task != NULL ? task->last_run_number : 0));
  core->options.actions.stop (core->options.context, &order);
}

/* Whether the records of this owner already say that @task may be on @target. */
static bool
is_recorded_on (const struct core_task *task, const struct core_target *target)
{
  return task->earlier_run == CORE_EARLIER_RUN_ON_TARGET
         && task->earlier_target == fl_job_target_hash (&target->entry.id);
}

/* Whether another member of the gang of @run is in effect under another number: they would wait for
 * each other in vain. */
static bool
is_of_another_gang_run (const struct core_run *run)
{
  const struct core_step *step = run->task->step;

  for (int64_t i = 0; step->spec->gang && i < step->spec->count; i++)
    if (step->tasks[i].run != NULL && step->tasks[i].run->number != run->number)
      return true;
  return false;
}

/* How long the reply to the last heartbeat may take after the wait. */
static int64_t
get_heartbeat_limit_ms (const struct core_target *target)
{
  return MAX (target->heartbeat_limit_ms, FL_HEARTBEAT_LIMIT_MS);
}

static void
apply_run (struct fl_core *core,
           struct core_target *target,
           const struct fl_run_row *row,
           int64_t sent_ms)
{
  struct core_task *task = core_require_task (core, &row->task);
  struct core_run *run = task != NULL ? task->run : NULL;

  if (task == NULL)
    {
      stop_stale_run (core, target, row);
      return;
    }
  if (run == NULL && (row->run >= task->last_run_number || task->done))
    {
      bool is_recorded = is_recorded_on (task, target);
      run = core_run_new (task, target, row->run);
      core_run_set_state (run, CORE_RUN_ACCEPTED);
      if (!is_recorded)
        core_job_renew_task_targets (task->step->job);
      run->confirmed_at_ms = sent_ms;
      run->fencing_token = target->fencing_token;
      run->first_ordered_at_ms = core->now_ms;
      task->last_run_number = MAX (task->last_run_number, row->run);
      task->step->job->started = true;
      core_job_add_recorded_target (task->step->job, fl_job_target_hash (&target->entry.id));
      core_target_assume_longest_lease (target);
      fl_log (core->options.log, FL_LOG_INFO, "run_adopted", FL_N ("task", &row->task),
              FL_I ("run", row->run), FL_N ("target", &target->entry.id),
              FL_I ("boot", target->booted_at_ms));
      if (task->done || fl_job_state_is_final (task->step->job->state)
          || is_of_another_gang_run (run))
        core_run_stop (run);
    }
  if (run == NULL || run->target != target || run->number != row->run)
    {
      stop_stale_run (core, target, row);
      return;
    }
  run->listed = true;
  if (!run->ever_listed)
    target->next_expiry_check_ms = 0;
  run->ever_listed = true;
  /* The reply was under way for no longer than this, while the target may have waited. */
  run->last_listed_ms = MAX (sent_ms, core->now_ms - get_heartbeat_limit_ms (target));
  run->listed_at_ms = core->now_ms;
  core_crash_note_listed (run);
  if (row->progress_percent != run->progress_percent)
    run->progressed_at_ms = core->now_ms;
  run->progress_percent = row->progress_percent;
  run->gauge = row->gauge;
  if (run->state == CORE_RUN_STARTING && !run->order_in_flight)
    {
      run->confirmed_at_ms = core->now_ms;
      core_run_set_state (run, CORE_RUN_ACCEPTED);
    }
  update_checkpoint (task, &row->checkpoint);
}

/* Whether @run, which @report, the reply to a heartbeat sent at @sent_ms, does not list, cannot be
 * in effect: its target rejects its start, which was sent to an earlier boot or comes too late; or
 * it had confirmed or listed it before, and executes no start of a run that has ended. A start in
 * flight has a reply soon; a stop is repeated for as long as it has none. */
static bool
is_absent (const struct core_run *run, const struct fl_target_report *report, int64_t sent_ms)
{
  if (run->state == CORE_RUN_PLANNED)
    return false;
  if (run->fencing_token < run->target->fencing_token)
    return true;
  if (run->listed_at_ms > 0 && run->listed_at_ms < sent_ms)
    return true;
  if (run->start_deadline_ms > 0 && run->start_deadline_ms < report->clock_ms
      && (run->state != CORE_RUN_STARTING || !run->order_in_flight))
    return true;
  return !run->order_in_flight && run->confirmed_at_ms > 0 && run->confirmed_at_ms < sent_ms;
}

/* Releases runs that are not in effect any more, though the target does not list their end. */
static void
release_absent_runs (struct fl_core *core,
                     struct core_target *target,
                     const struct fl_target_report *report,
                     int64_t sent_ms)
{
  /* Their ends may be among those that the reply has no room for. */
  if (report->end_count >= FL_REPORT_ENDS_MAX)
    return;
  /* The boot may still accept the start of a run that was sent to an earlier boot. */
  if (!target->is_fenced)
    return;
  for (guint i = target->runs->len; i > 0; i--)
    {
      struct core_run *run = g_ptr_array_index (target->runs, i - 1);
      if (run->listed || !is_absent (run, report, sent_ms))
        continue;
      struct fl_name name = core_task_name (run->task);
      fl_log (core->options.log, FL_LOG_INFO, "run_absent", FL_N ("task", &name),
              FL_I ("run", run->number), FL_N ("target", &target->entry.id),
              FL_I ("boot", target->booted_at_ms),
              FL_I ("ordered_ms", core->now_ms - run->first_ordered_at_ms),
              FL_I ("listed_ms", core_run_known_age_ms (run)));
      core_run_release_ended (run, CORE_RUN_END_ABSENT);
    }
}

/* Whether orders of this owner or of an earlier one, which were meant for an earlier boot of
 * @target, may have prolonged the leases in its present boot before it received the present token.
 * Earlier owners may have sent heartbeats to targets that are not in their list. */
static bool
may_have_received_late_orders (const struct core_target *target)
{
  int64_t own_token = target->core->options.fencing_token;

  return own_token > 1 || target->fencing_token > own_token;
}

/* Notes whether the boot that replied to a heartbeat sent at @sent_ms rejects the orders that were
 * sent to earlier boots. */
static void
update_fence (struct core_target *target, int64_t sent_ms)
{
  if (target->is_fenced || sent_ms < target->token_raised_at_ms)
    return;
  target->is_fenced = true;
  if (may_have_received_late_orders (target))
    core_target_assume_longest_lease (target);
}

static void
handle_reboot (struct core_target *target, const struct fl_target_report *report)
{
  struct fl_core *core = target->core;

  core_crash_note_boot_end (target, "another_boot");
  core_target_raise_token (target);
  core_target_assume_longest_lease (target);
  fl_stats_add (core->options.stats, "target_boots_total", 1);
  fl_log (core->options.log, FL_LOG_NOTICE, "target_rebooted", FL_N ("target", &target->entry.id),
          FL_I ("boot", report->booted_at_ms), FL_I ("previous_boot", target->booted_at_ms),
          FL_I ("token", target->fencing_token), FL_I ("runs", target->runs->len),
          FL_I ("runs_listed", (int64_t)report->run_count),
          FL_I ("ends_listed", (int64_t)report->end_count));
}

/* Resets the end numbers of a target that has rebooted, since they restart with each boot. Its
 * replies no longer list the runs of the previous boot, which are released as absent once the new
 * boot rejects their starts; runs that were ordered since may be in the new boot.
 * @return whether it is the boot that reported last. */
static bool
update_boot (struct core_target *target, const struct fl_target_report *report, int64_t sent_ms)
{
  bool is_known = target->boot_known && target->booted_at_ms == report->booted_at_ms;

  if (target->boot_known && !is_known)
    handle_reboot (target, report);
  else
    update_fence (target, sent_ms);
  if (is_known)
    return true;
  target->boot_known = true;
  target->booted_at_ms = report->booted_at_ms;
  target->last_applied_end = 0;
  target->last_recording_end = 0;
  target->last_recorded_end = 0;
  g_clear_pointer (&target->unrecorded_ends, g_array_unref);
  core_queue_set_member (&target->core->unrecorded_targets, &target->unrecorded_link,
                         &target->in_unrecorded, false);
  target->consecutive_failures = 0;
  core_speed_reset (target);
  return false;
}

/* Handles a reply of another boot at the address of @target: the boot with the id of @target has
 * ended, and with it all its runs. */
static void
handle_address_takeover (struct fl_core *core, struct core_target *target)
{
  core_crash_note_boot_end (target, "address_taken_over");
  core_crash_resolve (target, false);
  core_target_lose_runs (target, CORE_RUN_END_TAKEN_OVER);
  target->inherited = false;
  target->reported = target->reported_fully = false;
  /* Until it has told its boot, orders to it carry nothing that concerns one. */
  if (target->boot_known)
    core_target_raise_token (target);
  target->boot_known = false;
  core_target_update_reconciled (target);
  fl_stats_add (core->options.stats, "targets_taken_over_total", 1);
}

/* Whether what happens at the present address of @target tells of its boot. Another writer may have
 * replaced the address in its registry entry, while its tasks go on. */
static bool
is_address_conclusive (const struct core_target *target)
{
  if (target->address_changed)
    return false;
  /* Of one that an earlier owner used, the address at that time may be unknown. */
  return target->confirmed_address.len == 0
             ? !target->inherited
             : fl_name_eq (&target->confirmed_address, &target->entry.address);
}

/* Notes that @target has reported, unless it may have done so from an earlier address. */
static void
confirm_address (struct core_target *target)
{
  if (target->address_changed || fl_name_eq (&target->confirmed_address, &target->entry.address))
    return;
  if (target->confirmed_address.len > 0)
    core_target_outdate_record (target);
  target->confirmed_address = target->entry.address;
}

static void
update_silence (struct fl_core *core,
                struct core_target *target,
                bool silent,
                enum fl_order_result result)
{
  if (silent && !target->silent)
    target->silent_since_ms = core->now_ms;
  if (silent != target->silent)
    fl_log (core->options.log, FL_LOG_INFO, silent ? "target_silent" : "target_answers",
            FL_N ("target", &target->entry.id), FL_S ("result", fl_order_result_name (result)),
            FL_I ("runs", target->runs->len));
  target->silent = silent;
  target->missed_heartbeats = silent ? target->missed_heartbeats + 1 : 0;
}

/* Whether a reply that arrives now is too old to say anything of the present boot of @target: this
 * host was suspended after the target had replied. */
static bool
is_reply_outdated (const struct core_target *target, int64_t sent_ms, int64_t now_ms)
{
  return now_ms - sent_ms
         > target->heartbeat_wait_ms + get_heartbeat_limit_ms (target) + REPLY_SLACK_MS;
}

/* For how long before a reply that arrives at @now_ms its ends may have been unknown: while no
 * heartbeat was waiting for them, and while the reply was late. */
static int64_t
end_slack_ms (const struct core_target *target, int64_t sent_ms, int64_t now_ms)
{
  return MAX (sent_ms - target->clock_at_ms, 0)
         + MAX (now_ms - sent_ms - target->heartbeat_wait_ms, 0);
}

void
fl_core_handle_heartbeat_reply (struct fl_core *core,
                                const struct fl_name *id,
                                const struct fl_order_reply *reply,
                                int64_t sent_ms,
                                int64_t now_ms)
{
  const struct fl_target_report *report = reply->report;
  struct core_target *target = core_find_target (core, id);

  core->now_ms = now_ms;
  if (target == NULL)
    return;
  bool was_silent = target->silent;
  if (is_reply_outdated (target, sent_ms, now_ms))
    report = NULL;
  target->last_heartbeat_at_ms = now_ms;
  core_queue_set_member (&core->idle_targets, &target->idle_link, &target->in_idle, true);
  if (reply->result == FL_ORDER_OTHER_BOOT && is_address_conclusive (target))
    handle_address_takeover (core, target);
  if (reply->result == FL_ORDER_NO_LISTENER && target->silent && is_address_conclusive (target))
    core_crash_suspect (target);
  if (report == NULL || target->silent)
    update_silence (core, target, report == NULL, reply->result);
  if (report == NULL)
    return;
  confirm_address (target);
  bool is_known_boot = update_boot (target, report, sent_ms);
  target->end_slack_ms = end_slack_ms (target, sent_ms, now_ms);
  target->boot_end_noted = false;
  target->silent_since_ms = 0;
  target->crash_suspected = false;
  target->suspects = 0;
  /* A report of the boot before may arrive after a reply of the next one. */
  if (!is_known_boot || sent_ms >= target->clock_went_back_at_ms)
    target->clock_went_back_at_ms = 0;
  target->report_was_slow = now_ms - sent_ms > target->heartbeat_wait_ms + BOOT_CERTAIN_MS;
  if (!core->jobs_known)
    {
      core_speed_note_clock (target, report->clock_ms, now_ms, !is_known_boot);
      return;
    }
  if (was_silent || !target->reported || !is_known_boot)
    core_crash_resolve (target, true);
  target->reported = true;
  target->reported_fully = target->reported_fully || report->end_count < FL_REPORT_ENDS_MAX;
  core_target_update_reconciled (target);
  core_speed_note_clock (target, report->clock_ms, now_ms, !is_known_boot);
  target->stale_runs = 0;
  for (guint i = 0; i < target->runs->len; i++)
    ((struct core_run *)g_ptr_array_index (target->runs, i))->listed = false;
  apply_ends (core, target, report);
  for (size_t i = 0; i < report->run_count; i++)
    apply_run (core, target, &report->runs[i], sent_ms);
  release_absent_runs (core, target, report, sent_ms);
  core_speed_note_report (target);
  core_interference_learn (target);
  core_check_progress (target);
  core_move_stragglers (target);
  core_throttle_target (target);
}

/* --- records --- */

/* Whether the checkpoint of @task has to be recorded. The target of a running task lists the newest
 * one, so that it is only needed if the owner and this target are lost together. */
static bool
needs_checkpoint (const struct core_task *task)
{
  return task->run == NULL && task->checkpoint.len > 0;
}

/* @return rows of struct fl_task_progress, whose checkpoints and failed runs are borrowed from the
 * tasks. */
static GArray *
collect_tasks (const struct core_job *job)
{
  GArray *rows = g_array_new (FALSE, TRUE, sizeof (struct fl_task_progress));

  for (const struct core_step *step = job->first_step; step != NULL; step = step->next)
    for (int64_t i = 0; i < step->spec->count; i++)
      {
        const struct core_task *task = &step->tasks[i];
        struct fl_task_progress row
            = { .occurrence = step->occurrence->number, .step = step->number, .index = i };
        if (task->done || (failed_run_count (task) == 0 && !needs_checkpoint (task)))
          continue;
        if (task->failed_runs != NULL)
          row.failed_runs = (struct fl_array){ task->failed_runs->len, task->failed_runs->data };
        if (needs_checkpoint (task))
          row.checkpoint = task->checkpoint;
        g_array_append_val (rows, row);
      }
  return rows;
}

static guint
keep_share (guint count, int64_t kept_permille)
{
  return (guint)((int64_t)count * kept_permille / 1000);
}

/* Keeps @kept_permille of the checkpoints of @tasks. */
static void
drop_checkpoints (GArray *tasks, int64_t kept_permille)
{
  guint count = 0;
  guint rows = 0;

  for (guint i = 0; i < tasks->len; i++)
    count += g_array_index (tasks, struct fl_task_progress, i).checkpoint.len > 0 ? 1 : 0;
  guint kept = keep_share (count, kept_permille);
  for (guint i = 0; i < tasks->len; i++)
    {
      struct fl_task_progress row = g_array_index (tasks, struct fl_task_progress, i);
      if (row.checkpoint.len > 0 && kept == 0)
        row.checkpoint = (struct fl_str){ 0 };
      else if (row.checkpoint.len > 0)
        kept--;
      if (row.checkpoint.len > 0 || row.failed_runs.count > 0)
        g_array_index (tasks, struct fl_task_progress, rows++) = row;
    }
  g_array_set_size (tasks, rows);
}

/* What the record of a job is made of; the progress borrows from the arrays. */
struct record_rows
{
  struct fl_job_progress progress;
  GArray *done;
  GArray *ended;
  GArray *tasks;
  GArray *targets;
  GArray *steps;
  GArray *crashes;
};

static struct fl_array
borrow_rows (const GArray *array)
{
  return (struct fl_array){ array->len, array->data };
}

/* @kept_permille of what @extent leaves out in part is kept. */
static void
collect_rows (const struct core_job *job,
              enum record_extent extent,
              int64_t kept_permille,
              struct record_rows *rows)
{
  struct fl_job_progress *progress = &rows->progress;
  bool is_final = fl_job_state_is_final (job->state);

  *rows = (struct record_rows){
    .progress = { .state = job->state },
    .done = g_array_new (FALSE, TRUE, sizeof (struct fl_done_range)),
    .ended = g_array_new (FALSE, TRUE, sizeof (struct fl_ended_range)),
    .crashes = core_crash_collect (job, extent >= RECORD_FEWER_CRASHES ? kept_permille : 1000),
  };
  progress->crashes.tasks = borrow_rows (rows->crashes);
  /* Of a job in its final state, a successor needs to know besides what may still run where: this
   * counts against the limit of the team. */
  if (is_final && !job->final_record_lists_runs)
    return;
  core_job_collect_done (job, extent >= RECORD_AS_SETS, rows->done, rows->ended);
  rows->tasks = is_final ? g_array_new (FALSE, TRUE, sizeof (struct fl_task_progress))
                         : collect_tasks (job);
  rows->targets = core_job_collect_targets (job);
  if (extent >= RECORD_FEWER_CHECKPOINTS)
    drop_checkpoints (rows->tasks, extent == RECORD_FEWER_CHECKPOINTS ? kept_permille : 0);
  rows->steps = core_job_collect_task_targets (job, rows->targets);
  if (extent >= RECORD_FEWER_TASK_TARGETS)
    core_job_drop_task_targets (rows->steps,
                                extent == RECORD_FEWER_TASK_TARGETS ? kept_permille : 0);
  if (extent >= RECORD_ANY_TARGET)
    g_array_set_size (rows->targets, 0);
  progress->done = borrow_rows (rows->done);
  progress->ended.ranges = borrow_rows (rows->ended);
  progress->tasks = borrow_rows (rows->tasks);
  progress->targets = borrow_rows (rows->targets);
  progress->any_target = core_job_may_run_on_any_target (job) || extent >= RECORD_ANY_TARGET;
  if (rows->steps->len > 0)
    progress->task_targets
        = (struct fl_task_targets){ job->core->options.fencing_token, borrow_rows (rows->steps) };
}

static void
clear_rows (struct record_rows *rows)
{
  g_array_unref (rows->done);
  g_array_unref (rows->ended);
  g_clear_pointer (&rows->tasks, g_array_unref);
  g_clear_pointer (&rows->targets, g_array_unref);
  g_clear_pointer (&rows->steps, g_array_unref);
  g_array_unref (rows->crashes);
}

/* @return an upper bound of the bytes that the rows for single tasks take without sets. */
static int64_t
count_row_bytes (const struct record_rows *rows)
{
  int64_t bytes = rows->done->len * ROW_BYTES;

  for (guint i = 0; rows->tasks != NULL && i < rows->tasks->len; i++)
    bytes
        += (1 + (int64_t)g_array_index (rows->tasks, struct fl_task_progress, i).failed_runs.count)
           * ROW_BYTES;
  for (guint i = 0; rows->steps != NULL && i < rows->steps->len; i++)
    bytes += ROW_BYTES
             + (int64_t)g_array_index (rows->steps, struct fl_step_targets, i).tasks.count
                   * TARGET_ROW_BYTES;
  for (guint i = 0; i < rows->crashes->len; i++)
    bytes += ROW_BYTES
             + (int64_t)g_array_index (rows->crashes, struct fl_task_crashes, i).runs.count
                   * CRASH_ROW_BYTES;
  return bytes;
}

/* @return the record of @job as far as its extent says; in @row_bytes what count_row_bytes says. */
static struct fl_str
encode_cut_progress (const struct core_job *job, int64_t *row_bytes)
{
  struct record_rows rows;

  collect_rows (job, job->record_extent, job->record_kept_permille, &rows);
  *row_bytes = count_row_bytes (&rows);
  struct fl_str record = job->record_extent >= RECORD_AS_SETS
                             ? fl_job_progress_encode_as_sets (&rows.progress, &job->spec)
                             : fl_job_progress_encode (&rows.progress);
  clear_rows (&rows);
  return record;
}

static bool
keeps_share (enum record_extent extent)
{
  return extent == RECORD_FEWER_CHECKPOINTS || extent == RECORD_FEWER_TASK_TARGETS
         || extent == RECORD_FEWER_CRASHES;
}

/* Leaves out more of the records of @job until one fits or nothing more can be left out; @record is
 * the last, which does not fit. */
static struct fl_str
cut_record (struct core_job *job, struct fl_str record, int64_t max)
{
  int cuts = 0;
  int64_t row_bytes;

  while ((int64_t)record.len > max
         && (job->record_extent < RECORD_FEWER_CRASHES || job->record_kept_permille > 0))
    {
      if (keeps_share (job->record_extent) && cuts++ < CUTS_MAX)
        job->record_kept_permille
            = job->record_kept_permille * max * CUT_PERCENT / ((int64_t)record.len * 100);
      else if (job->record_extent == RECORD_FEWER_CRASHES)
        job->record_kept_permille = 0;
      else
        {
          job->record_extent++;
          job->record_kept_permille = 1000;
          cuts = 0;
          if (keeps_share (job->record_extent))
            continue;
        }
      fl_str_clear (&record);
      record = encode_cut_progress (job, &row_bytes);
    }
  return record;
}

/* Lets the next record tell more if the last one, of @len bytes, was much shorter than @max.
 * Without sets, the rows for single tasks take @row_bytes. */
static void
extend_next_record (struct core_job *job, size_t len, int64_t row_bytes, int64_t max)
{
  int64_t room = max / 100 * COMPLETE_PERCENT - (int64_t)len;

  if (room <= 0)
    return;
  if (job->record_extent > RECORD_AS_SETS)
    job->record_extent = RECORD_AS_SETS;
  else if (row_bytes < room)
    job->record_extent = RECORD_COMPLETE;
  job->record_kept_permille = 1000;
}

/* Each record begins with what the one before has left out, since encoding takes time. */
static struct fl_str
encode_progress (struct core_job *job)
{
  const struct fl_core *core = job->core;
  int64_t max = core->options.record_bytes_max;
  int64_t row_bytes;
  job->final_record_lists_runs = fl_job_state_is_final (job->state) && core_job_may_have_runs (job);
  struct fl_str record = encode_cut_progress (job, &row_bytes);
  size_t len = record.len;

  if (max <= 0)
    return record;
  if ((int64_t)len <= max)
    {
      extend_next_record (job, len, row_bytes, max);
      return record;
    }
  record = cut_record (job, record, max);
  fl_log (core->options.log, FL_LOG_NOTICE,
          job->record_extent > RECORD_AS_SETS ? "record_cut" : "record_as_sets",
          FL_N ("job", &job->spec.id), FL_I ("bytes", (int64_t)len), FL_I ("max", max),
          FL_I ("extent", job->record_extent), FL_I ("kept_permille", job->record_kept_permille));
  if (job->record_extent > RECORD_AS_SETS)
    fl_stats_add (core->options.stats, "records_cut_total", 1);
  return record;
}

/* Load pattern: hundreds of jobs were cancelled, and the owner of the pool is lost while targets on
 * which they ran do not reply. Their teams would be charged for runs that ended long ago. The
 * shorter records take no transactions of their own. */
static void
shorten_final_records (struct fl_core *core)
{
  const GList *link = core_is_unreconciled (core) ? NULL : core->final_jobs.head;

  for (; link != NULL; link = link->next)
    {
      struct core_job *job = link->data;
      if (job->final_record_lists_runs && !core_job_may_have_runs (job))
        core_job_mark_for_recording (job);
    }
}

/* @return the last end of @target that the records tell of that are being collected. A target may
 * forget an end only with all before, so that those after one of a job whose record is not stored
 * are listed again. */
static int64_t
get_last_told_end (const struct core_target *target)
{
  const GArray *ends = target->unrecorded_ends;
  GHashTable *unstorable = target->core->unstorable_jobs;

  for (guint i = 0; ends != NULL && g_hash_table_size (unstorable) > 0 && i < ends->len; i++)
    {
      const struct core_unrecorded_end *end = &g_array_index (ends, struct core_unrecorded_end, i);
      if (g_hash_table_contains (unstorable, GUINT_TO_POINTER (end->job)))
        return end->number - 1;
    }
  return target->last_applied_end;
}

/* Marks the applied ends that the records tell of that are being collected. */
static void
mark_ends_recording (struct fl_core *core)
{
  for (GList *link = core->unrecorded_targets.head; link != NULL; link = link->next)
    {
      struct core_target *target = link->data;
      target->last_recording_end = get_last_told_end (target);
    }
}

static void
forget_recorded_ends (struct core_target *target)
{
  GArray *ends = target->unrecorded_ends;
  guint count = 0;

  while (ends != NULL && count < ends->len
         && g_array_index (ends, struct core_unrecorded_end, count).number
                <= target->last_recorded_end)
    count++;
  if (count > 0)
    g_array_remove_range (ends, 0, count);
}

/* Marks the ends that the last records cover as recorded, so that targets may forget them. */
static void
mark_ends_recorded (struct fl_core *core)
{
  GList *link = core->unrecorded_targets.head;

  while (link != NULL)
    {
      struct core_target *target = link->data;
      link = link->next;
      target->last_recorded_end = MAX (target->last_recorded_end, target->last_recording_end);
      forget_recorded_ends (target);
      core_queue_set_member (&core->unrecorded_targets, &target->unrecorded_link,
                             &target->in_unrecorded, core_target_has_unrecorded_ends (target));
    }
}

/* Notes whether the record of @job, of @len bytes, can be stored. One that cannot would have the
 * store reject the records of all jobs. */
static bool
note_record_length (struct core_job *job, size_t len)
{
  struct fl_core *core = job->core;
  int64_t max = core->options.record_bytes_max;
  void *key = GUINT_TO_POINTER (fl_name_hash (&job->spec.id));
  bool is_too_long = max > 0 && (int64_t)len > max;

  if (is_too_long != job->record_is_too_long)
    fl_log (core->options.log, is_too_long ? FL_LOG_ERR : FL_LOG_NOTICE,
            is_too_long ? "record_too_long" : "record_fits", FL_N ("job", &job->spec.id),
            FL_I ("bytes", (int64_t)len), FL_I ("max", max));
  job->record_is_too_long = is_too_long;
  if (is_too_long)
    g_hash_table_add (core->unstorable_jobs, key);
  else
    g_hash_table_remove (core->unstorable_jobs, key);
  return !is_too_long;
}

size_t
fl_core_collect_records (struct fl_core *core, struct fl_core_record *records, size_t max)
{
  size_t count = 0;
  size_t bytes = 0;

  g_assert (!core->records_in_flight);
  if (core->unrecorded_jobs.head != NULL)
    shorten_final_records (core);
  while (count < max && bytes < COLLECTED_BYTES_MAX && core->unrecorded_jobs.head != NULL)
    {
      struct core_job *job = core->unrecorded_jobs.head->data;
      core_queue_set_member (&core->unrecorded_jobs, &job->recording_link, &job->needs_recording,
                             false);
      struct fl_str record = encode_progress (job);
      if (!note_record_length (job, record.len))
        {
          fl_str_clear (&record);
          continue;
        }
      job->record_in_flight = true;
      g_ptr_array_add (core->recording_jobs, job);
      core_job_begin_recording_targets (job);
      records[count] = (struct fl_core_record){ job->spec.id, record };
      bytes += records[count++].progress.len;
    }
  core->records_cover_all_ends = core->unrecorded_jobs.head == NULL;
  if (core->records_cover_all_ends)
    mark_ends_recording (core);
  core->records_in_flight = count > 0;
  core->records_collected_at_ms = core->now_ms;
  if (count == 0)
    mark_ends_recorded (core);
  return count;
}

/* Removes the jobs whose final state is recorded, and of which no target has a run or may yet
 * report one. The core then keeps only their ids. */
static void
drop_finished_jobs (struct fl_core *core)
{
  GList *link = core_is_unreconciled (core) ? NULL : core->final_jobs.head;

  while (link != NULL)
    {
      struct core_job *job = link->data;
      link = link->next;
      if (job->needs_recording || job->record_in_flight || job->record_is_too_long
          || job->run_count > 0 || job->final_record_lists_runs)
        continue;
      struct fl_name id = job->spec.id;
      fl_core_add_finished_job (core, &id);
      g_hash_table_remove (core->jobs, &id);
    }
}

void
fl_core_finish_records (struct fl_core *core, bool stored, int64_t now_ms)
{
  core->records_in_flight = false;
  core->now_ms = now_ms;
  core->record_duration_ms = now_ms - core->records_collected_at_ms;
  for (guint i = 0; i < core->recording_jobs->len; i++)
    {
      struct core_job *job = g_ptr_array_index (core->recording_jobs, i);
      core_job_end_recording_targets (job, stored);
      if (!stored)
        core_job_mark_for_recording (job);
      job->record_in_flight = false;
    }
  g_ptr_array_set_size (core->recording_jobs, 0);
  if (!stored)
    return;
  if (core->records_cover_all_ends)
    mark_ends_recorded (core);
  drop_finished_jobs (core);
}

/* A draining target gets no new tasks. Once it has reported, has no runs, and the ends that it
 * listed are recorded, a successor need not wait for its report. */
static bool
belongs_in_target_list (const struct core_target *target)
{
  const struct fl_core *core = target->core;
  bool may_have_earlier_runs = target->is_unreconciled && core->now_ms < core->reconciled_at_ms;

  return !target->entry.draining || target->runs->len > 0 || may_have_earlier_runs
         || core_target_has_unrecorded_ends (target);
}

/* The address at which the tasks of @target are. Another writer may have replaced the one in its
 * registry entry, and whatever is there would tell a successor nothing of them. */
static const struct fl_name *
get_known_address (const struct core_target *target)
{
  return target->confirmed_address.len > 0 ? &target->confirmed_address : &target->entry.address;
}

bool
fl_core_target_list_is_outdated (const struct fl_core *core)
{
  GHashTableIter iter;
  void *value;

  if (core->target_list_outdated)
    return true;
  g_hash_table_iter_init (&iter, core->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct core_target *)value)->recorded != belongs_in_target_list (value))
      return true;
  return false;
}

GArray *
fl_core_collect_target_list (struct fl_core *core)
{
  GArray *names = g_array_new (FALSE, TRUE, sizeof (struct fl_name));
  GHashTableIter iter;
  void *value;

  core->target_list_outdated = false;
  g_hash_table_iter_init (&iter, core->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct core_target *target = value;
      target->record_in_flight = belongs_in_target_list (target);
      if (!target->record_in_flight)
        {
          target->recorded = false;
          continue;
        }
      g_array_append_val (names, target->entry.id);
      g_array_append_vals (names, get_known_address (target), 1);
    }
  return names;
}

void
fl_core_finish_target_list (struct fl_core *core, bool stored)
{
  GHashTableIter iter;
  void *value;

  core->target_list_outdated = core->target_list_outdated || !stored;
  g_hash_table_iter_init (&iter, core->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct core_target *target = value;
      target->recorded = target->recorded || (stored && target->record_in_flight);
      target->record_in_flight = false;
    }
}

/* Detection of stalled tasks, of gangs that wait in vain, and of targets on which tasks lag.
 *
 * Load pattern: some targets hang or become several times slower while they still report good
 * health. Tasks that are placed there are late, and stalled tasks never end. The progress of a task
 * is compared with the mean run time of its queue, and a target is avoided only if several of its
 * tasks lag, so that one slow job is not enough. */
#include "core/core_internal.h"

/* A task is stalled if its percentage has not changed for this long. Targets report at least every
 * second, and the percentage of a task that runs for a minute changes every 600 ms. */
#define STALL_TIMEOUT_MS 1500
/* A task that has run for less than this cannot be judged yet. */
#define LAG_MIN_ELAPSED_MS 500
/* A task lags if its progress is below the expected progress divided by this. Task sizes within a
 * queue vary by a factor of about two. */
#define LAG_DIVISOR 4
/* A target is quarantined when at least this many of its tasks, and more than half, lag. */
#define LAGGING_RUNS_MIN 2
/* Duration of this quarantine. Each report that shows as many lagging tasks extends the quarantine,
 * so that the target gets no new tasks until tasks progress again. */
#define LAGGING_QUARANTINE_MS 1500
/* Targets end a member of a gang that waits 3 s or more for the others. They report every second,
 * and take almost a second for a stop. */
#define GANG_WAIT_MAX_MS 1000

static bool
is_lagging (const struct core_run *run, int64_t listed_ms)
{
  double mean_ms = run->task->step->job->queue_stats->mean_run_ms;
  double elapsed_ms = (double)(listed_ms - run->started_at_ms);
  double expected = MIN (100.0 * elapsed_ms / MAX (mean_ms, 1.0), 100.0);

  return mean_ms > 0 && elapsed_ms >= LAG_MIN_ELAPSED_MS
         && (double)run->progress_percent * LAG_DIVISOR < expected;
}

static void
stop_stalled_run (struct core_run *run)
{
  struct fl_core *core = run->task->step->job->core;
  struct fl_name name = core_task_name (run->task);

  fl_log (core->options.log, FL_LOG_INFO, "run_stalled", FL_N ("task", &name),
          FL_N ("target", &run->target->entry.id), FL_I ("percent", run->progress_percent),
          FL_I ("still_ms", core->now_ms - run->progressed_at_ms));
  fl_stats_add (core->options.stats, "runs_stalled_total", 1);
  run->task->last_failed_target = fl_job_target_hash (&run->target->entry.id);
  core_run_stop (run);
}

/* Load pattern: the target of a member of a gang crashes, or its start is held up, before all
 * members are present. Whether this run is in effect is not known until its lease has expired, and
 * the others would wait longer than their targets let them. Progress shows that all were present.
 *
 * @return whether @run waits for another member that may not have started. */
static bool
waits_in_vain (const struct core_run *run, int64_t listed_ms)
{
  const struct core_step *step = run->task->step;
  bool may_be_missing = false;

  if (!step->spec->gang || run->state != CORE_RUN_ACCEPTED || !run->listed
      || listed_ms - run->first_ordered_at_ms < GANG_WAIT_MAX_MS)
    return false;
  for (int64_t i = 0; i < step->spec->count; i++)
    {
      const struct core_run *other = step->tasks[i].run;
      if (other != NULL && other->progress_percent > 0)
        return false;
      may_be_missing
          = may_be_missing || (other != NULL && (!other->listed || other->target->silent));
    }
  return may_be_missing;
}

static void
stop_waiting_gang (struct core_run *run)
{
  struct fl_core *core = run->task->step->job->core;
  struct fl_name name = core_step_name (run->task->step);

  fl_log (core->options.log, FL_LOG_INFO, "gang_incomplete", FL_N ("step", &name),
          FL_I ("run", run->number), FL_I ("waited_ms", core->now_ms - run->first_ordered_at_ms));
  core_run_stop (run);
}

void
core_check_progress (struct core_target *target)
{
  int64_t listed_ms = core_report_time_ms (target);
  int lagging = 0;
  int measured = 0;

  for (guint i = 0; i < target->runs->len; i++)
    {
      struct core_run *run = g_ptr_array_index (target->runs, i);
      if (waits_in_vain (run, listed_ms))
        stop_waiting_gang (run);
      if (!run->listed || !core_run_shows_speed (run))
        continue;
      measured += listed_ms - run->started_at_ms >= LAG_MIN_ELAPSED_MS ? 1 : 0;
      lagging += is_lagging (run, listed_ms) ? 1 : 0;
      if (listed_ms - run->progressed_at_ms >= STALL_TIMEOUT_MS)
        stop_stalled_run (run);
      if (lagging >= LAGGING_RUNS_MIN && lagging * 2 > measured)
        target->avoided_until_ms
            = MAX (target->avoided_until_ms, target->core->now_ms + LAGGING_QUARANTINE_MS);
    }
}

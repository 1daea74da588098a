#include "policy/job_time.h"

#include <math.h>

#include <glib.h>

/* From a decision to start a task until it is at work, and from its end until the next decision: an
 * order, a report and a record of the store each. */
#define STEP_OVERHEAD_MS 50
/* A report of less progress than this tells little about the speed of a run. */
#define PROGRESS_PERCENT_MIN 5
/* A run that exceeds its expected time is expected to take this share of its age longer: run times
 * are spread by a factor, so that what has run long is likely to run on for long. */
#define OVERRUN_SHARE 0.25
/* No job is assumed to differ from its class by more than this factor. */
#define SCALE_MAX 8.0

void
fl_job_scale_add (struct fl_job_scale *scale, double expected_ms, double ran_ms)
{
  if (expected_ms <= 0 || ran_ms <= 0)
    return;
  scale->log_sum += log (ran_ms / expected_ms);
  scale->count++;
}

double
fl_job_scale_get (const struct fl_job_scale *scale)
{
  /* The estimate counts as one more task. */
  double ratio = exp (scale->log_sum / (double)(scale->count + 1));

  return CLAMP (ratio, 1.0 / SCALE_MAX, SCALE_MAX);
}

double
fl_running_left_ms (double expected_ms, double elapsed_ms, double reported_ms, int64_t percent)
{
  if (percent >= PROGRESS_PERCENT_MIN && reported_ms > 0)
    return MAX (reported_ms * 100.0 / (double)MIN (percent, 100) - elapsed_ms, 0.0);
  return MAX (expected_ms - elapsed_ms, elapsed_ms * OVERRUN_SHARE);
}

/* The expected time in which @tasks tasks run, in waves if they are too many. */
static double
get_run_ms (const struct fl_step_time *step, int64_t tasks)
{
  int64_t at_once = CLAMP (tasks, 1, MAX (step->tasks_at_once_max, 1));
  int64_t waves = (tasks + at_once - 1) / at_once;

  if (tasks == 0)
    return 0;
  return step->scale
         * (fl_run_time_longest_ms (&step->run_time, tasks)
            + (double)(waves - 1) * step->run_time.median_ms);
}

/* The expected time that failures of @tasks tasks add. */
static double
get_repeat_ms (const struct fl_step_time *step, int64_t tasks)
{
  double any_fails = 1.0 - pow (1.0 - step->failure_share, (double)tasks);

  return any_fails * step->scale * step->run_time.median_ms;
}

double
fl_step_work_ms (const struct fl_step_time *step)
{
  double run_ms = MAX (get_run_ms (step, step->tasks), step->longest_run_ms);
  double repeated_ms = (double)step->failures_max * step->scale * step->run_time.median_ms;

  if (step->run_time.median_ms <= 0)
    return 0;
  return step->advice_ms + run_ms + MAX (repeated_ms, get_repeat_ms (step, step->tasks));
}

double
fl_step_left_ms (const struct fl_step_time *step)
{
  double idle_ms = 0;

  if (step->idle_tasks > 0)
    idle_ms = STEP_OVERHEAD_MS + (step->has_advice ? 0 : step->advice_ms)
              + get_run_ms (step, step->idle_tasks) + get_repeat_ms (step, step->idle_tasks);
  return MAX (idle_ms, step->running_left_ms);
}

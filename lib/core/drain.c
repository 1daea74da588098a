/* Evacuation of draining targets.
 *
 * Load pattern: targets are replaced one after another while long tasks run on them. A task that is
 * killed when its target leaves starts over; a task that is stopped in time continues elsewhere
 * from its checkpoint. Tasks that are expected to end before their target leaves keep running
 * there, and so do tasks that cannot save their work. Long-running tasks are moved immediately. */
#include "core/core_internal.h"

/* Upper estimate of the time from a stop order until the target lists the end of the run. The
 * checkpoint in this end covers the work up to the stop. */
#define STOP_TIME_MS 1000

int64_t
core_run_remaining_ms (const struct core_run *run, int64_t now_ms)
{
  int64_t elapsed_ms = now_ms - run->started_at_ms;

  if (run->progress_percent <= 0 || run->started_at_ms == 0)
    return INT64_MAX;
  return elapsed_ms * (100 - run->progress_percent) / run->progress_percent;
}

static bool
must_evacuate (const struct core_run *run, int64_t now_ms)
{
  const struct fl_step_spec *spec = run->task->step->spec;
  int64_t leaves_in_ms = run->target->leaves_at_ms - now_ms;

  if (run->state != CORE_RUN_ACCEPTED || spec->gang)
    return false;
  if (spec->long_running)
    return true;
  return spec->checkpoints && leaves_in_ms <= 2 * STOP_TIME_MS
         && core_run_remaining_ms (run, now_ms) > leaves_in_ms;
}

void
core_evacuate_target (struct core_target *target)
{
  for (guint i = 0; i < target->runs->len; i++)
    {
      struct core_run *run = g_ptr_array_index (target->runs, i);
      struct fl_core *core = run->task->step->job->core;
      if (!must_evacuate (run, core->now_ms))
        continue;
      struct fl_name name = core_task_name (run->task);
      fl_log (core->options.log, FL_LOG_INFO, "evacuate", FL_N ("task", &name),
              FL_N ("target", &target->entry.id), FL_I ("percent", run->progress_percent),
              FL_I ("leaves_in_ms", target->leaves_at_ms - core->now_ms));
      fl_stats_add (core->options.stats, "evacuations_total", 1);
      core_run_stop (run);
    }
}

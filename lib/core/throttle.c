/* Throttles best-effort tasks to keep the tail latency of serving tasks on the same target below
 * their bound.
 *
 * Load pattern: the load of serving tasks and the interference by best-effort tasks change within
 * seconds. Best-effort tasks are halved well before the bound is reached and speed up in steps only
 * below a lower threshold, so that they do not oscillate with every report. */
#include "core/core_internal.h"

#define SLOW_DOWN_PERCENT 80 /* of the bound */
#define SPEED_UP_PERCENT 55  /* of the bound */
#define SPEED_UP_STEP_PERCENT 20
#define THROTTLE_MIN_PERCENT 10 /* below this a best-effort task is paused */

/* The highest tail latency of a serving task on @target in percent of its bound; -1 without serving
 * tasks. */
static int64_t
worst_tail_percent (const struct core_target *target)
{
  int64_t worst = -1;

  for (guint i = 0; i < target->runs->len; i++)
    {
      const struct core_run *run = g_ptr_array_index (target->runs, i);
      int64_t bound = run->task->step->spec->latency_bound_ms;
      if (bound > 0 && run->listed)
        worst = MAX (worst, run->gauge * 100 / bound);
    }
  return worst;
}

static int64_t
next_share_percent (int64_t percent, int64_t tail_percent)
{
  if (tail_percent >= SLOW_DOWN_PERCENT)
    return percent / 2 >= THROTTLE_MIN_PERCENT ? percent / 2 : 0;
  if (tail_percent <= SPEED_UP_PERCENT)
    return MIN (percent + SPEED_UP_STEP_PERCENT, 100);
  return percent;
}

static void
set_throttle (struct core_run *run, int64_t percent)
{
  struct fl_core *core = run->task->step->job->core;
  struct fl_run_order order = core_run_make_order (run);

  /* The next report decides again. */
  if (run->share_percent == percent || !core_orders_permit_stop (core))
    return;
  core->orders_in_turn++;
  order.share_percent = percent;
  run->share_percent = percent;
  fl_stats_add (core->options.stats, "paces_total", 1);
  core->options.actions.throttle (core->options.context, &order);
}

void
core_throttle_target (struct core_target *target)
{
  int64_t tail = worst_tail_percent (target);

  for (guint i = 0; i < target->runs->len; i++)
    {
      struct core_run *run = g_ptr_array_index (target->runs, i);
      if (run->task->step->spec->best_effort && run->state == CORE_RUN_ACCEPTED)
        set_throttle (run, next_share_percent (run->share_percent, tail));
    }
}

/* Tasks of long-running steps that are down: since when, and what keeps them from being started. */
#include "core/core_internal.h"

#define SCAN_INTERVAL_MS 100
/* A step with a task that is down for longer is logged, and again after this time. */
#define DOWN_LOGGED_MS 3000
/* See core_step_is_overdue. */
#define OVERDUE_MS 1500

/* What holds the tasks of a step that are down. */
struct holds
{
  int64_t down;
  int64_t planned;
  int64_t starting;
  int64_t settling;
  int64_t suspended;
  int64_t backing_off;
  const struct core_task *first_down;
};

void
core_lasting_init_job (struct core_job *job)
{
  bool has_lasting_step = false;

  job->lasting_link.data = job;
  for (size_t i = 0; i < job->spec.steps.count; i++)
    has_lasting_step = has_lasting_step || fl_job_spec_get_step (&job->spec, i)->long_running;
  core_queue_set_member (&job->core->lasting_jobs, &job->lasting_link, &job->in_lasting,
                         has_lasting_step);
}

/* Whether @task is known not to be at work. A run that is being stopped may still be. */
static bool
is_down (const struct core_task *task)
{
  return !task->done
         && (task->run == NULL || task->run->state == CORE_RUN_PLANNED
             || task->run->state == CORE_RUN_STARTING);
}

/* Updates since when the tasks of @step are down. */
static void
update_step (struct core_step *step)
{
  int64_t now_ms = step->job->core->now_ms;
  int64_t first_ms = 0;

  for (int64_t i = 0; i < step->spec->count; i++)
    {
      struct core_task *task = &step->tasks[i];
      if (!is_down (task))
        task->down_since_ms = 0;
      else if (task->down_since_ms == 0)
        task->down_since_ms = now_ms;
      if (task->down_since_ms > 0 && (first_ms == 0 || task->down_since_ms < first_ms))
        first_ms = task->down_since_ms;
    }
  step->down_since_ms = first_ms;
}

static struct holds
collect_holds (const struct core_step *step)
{
  struct holds holds = { 0 };

  for (int64_t i = 0; i < step->spec->count; i++)
    {
      const struct core_task *task = &step->tasks[i];
      if (!is_down (task))
        continue;
      holds.down++;
      if (holds.first_down == NULL || task->down_since_ms < holds.first_down->down_since_ms)
        holds.first_down = task;
      if (task->run != NULL)
        {
          holds.planned += task->run->state == CORE_RUN_PLANNED;
          holds.starting += task->run->state == CORE_RUN_STARTING;
          continue;
        }
      holds.settling += core_task_is_unreconciled (task);
      holds.suspended += !core_crash_may_start (task);
      holds.backing_off += task->backoff_until_ms > step->job->core->now_ms;
    }
  return holds;
}

/* --- log --- */

static void
append_counts (GString *text,
               const guint *counts,
               guint count,
               const char *(*get_name) (guint index))
{
  for (guint i = 0; i < count; i++)
    if (counts[i] > 0)
      g_string_append_printf (text, "%s%u %s", text->len > 0 ? ", " : "", counts[i], get_name (i));
}

static const char *
get_reason_name (guint index)
{
  return core_target_reason_name ((enum core_target_reason)index);
}

static const char *
get_advice_name (guint index)
{
  return core_advice_state_name ((enum core_advice_state)index);
}

/* Appends how many targets there are by the reason against each, and by what advice tells. */
static void
count_targets (const struct core_step *step, GString *reasons, GString *advice)
{
  const GPtrArray *list = step->job->core->target_list;
  guint by_reason[CORE_TARGET_REASON_COUNT] = { 0 };
  guint by_advice[CORE_ADVICE_STATE_COUNT] = { 0 };

  for (guint i = 0; i < list->len; i++)
    {
      const struct core_target *target = g_ptr_array_index (list, i);
      int64_t task_capacity;
      by_reason[core_target_get_reason (target, step, &task_capacity)]++;
      by_advice[core_advice_get_state (step, target)]++;
    }
  append_counts (reasons, by_reason, CORE_TARGET_REASON_COUNT, get_reason_name);
  if (step->job->queue.advice.required)
    append_counts (advice, by_advice, CORE_ADVICE_STATE_COUNT, get_advice_name);
}

static void
log_step (struct core_step *step)
{
  struct fl_core *core = step->job->core;
  struct holds holds = collect_holds (step);
  struct fl_name name = core_task_name (holds.first_down);
  g_autoptr (GString) reasons = g_string_new (NULL);
  g_autoptr (GString) advice = g_string_new (NULL);

  count_targets (step, reasons, advice);
  fl_log (core->options.log, FL_LOG_NOTICE, "lasting_task_down", FL_N ("task", &name),
          FL_I ("down_ms", core->now_ms - step->down_since_ms), FL_I ("down", holds.down),
          FL_I ("record", holds.planned), FL_I ("starting", holds.starting),
          FL_I ("settling", holds.settling), FL_I ("suspended", holds.suspended),
          FL_I ("backing_off", holds.backing_off),
          FL_S ("for", core_wait_reason_name (step->wait.missing)),
          FL_I ("query_ms", step->query_in_flight ? core->now_ms - step->queried_at_ms : 0),
          FL_I ("team_limit", !core_team_has_capacity (step)),
          FL_I ("link", core_order_budget_is_exhausted (&core->order_budget)),
          FL_S ("targets", reasons->str), FL_S ("advice", advice->str));
  step->down_logged_at_ms = core->now_ms;
}

/* --- ticks --- */

static void
check_step (struct core_step *step)
{
  int64_t now_ms = step->job->core->now_ms;

  update_step (step);
  if (step->down_since_ms > 0 && now_ms - step->down_since_ms >= DOWN_LOGGED_MS
      && now_ms - step->down_logged_at_ms >= DOWN_LOGGED_MS)
    log_step (step);
}

void
core_lasting_tick (struct fl_core *core)
{
  int64_t longest_ms = 0;

  if (core->now_ms - core->lasting_checked_at_ms < SCAN_INTERVAL_MS)
    return;
  core->lasting_checked_at_ms = core->now_ms;
  for (const GList *link = core->lasting_jobs.head; link != NULL; link = link->next)
    {
      struct core_job *job = link->data;
      if (fl_job_state_is_final (job->state))
        continue;
      for (struct core_step *step = job->first_step; step != NULL; step = step->next)
        {
          if (!step->spec->long_running || !core_step_is_due (step))
            continue;
          check_step (step);
          if (step->down_since_ms > 0)
            longest_ms = MAX (longest_ms, core->now_ms - step->down_since_ms);
        }
    }
  fl_stats_set (core->options.stats, "lasting_down_ms", longest_ms);
}

bool
core_step_is_overdue (const struct core_step *step)
{
  return step->down_since_ms > 0 && step->job->core->now_ms - step->down_since_ms >= OVERDUE_MS;
}

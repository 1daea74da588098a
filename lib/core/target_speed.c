/* How fast targets are, learnt from the runs on them, and the runs that are moved off slow ones.
 *
 * Load pattern: see policy/speed.h and policy/straggler.h. Jobs of one queue differ in size by more
 * than targets do, so that a run is compared with the other tasks of its step. */
#include <math.h>
#include <stdlib.h>

#include "core/core_internal.h"

/* A run that has gone on for less than this cannot be judged yet. */
#define PROGRESS_MIN_ELAPSED_MS 200
/* A start that is confirmed later than this may have been executed late. */
#define START_CONFIRMED_MAX_MS 250
/* Least tasks with a run time from which the median of a step is taken, and most that are used. */
#define MEDIAN_TASKS_MIN 4
#define MEDIAN_TASKS_MAX 64
/* Time for which the median of a step and the outlook of a target are kept; they change with
 * reports, of which a target sends a few each second. */
#define MEDIAN_VALID_MS 100
#define OUTLOOK_VALID_MS 100
/* Most runs on a target that are compared with each other. */
#define RATIOS_MAX 32
/* The end of a run must be known to this part of its run time. */
#define END_SLACK_DIVISOR 4
/* From a stop order until the end is listed, and from the next start order to the first work. */
#define STOP_TIME_MS 1000
#define START_TIME_MS 100
/* Targets in the advice query that a moved task may need. */
#define ADVICE_TARGETS 30

/* --- run times within a step --- */

bool
core_run_shows_speed (const struct core_run *run)
{
  const struct fl_step_spec *spec = run->task->step->spec;

  return run->state == CORE_RUN_ACCEPTED && run->started_at_ms > 0 && !spec->best_effort
         && !spec->gang && !spec->long_running;
}

/* Whether the time since the start of @run was spent on all of its task, without a wait for the
 * start or for distant data. */
static bool
is_measurable (const struct core_run *run)
{
  const struct fl_name *rack = &run->task->step->spec->rack;

  return core_run_shows_speed (run) && !run->is_resumed && run->inconclusive_starts == 0
         && run->confirmed_at_ms - run->started_at_ms <= START_CONFIRMED_MAX_MS
         && (rack->len == 0 || core_target_has_label (run->target, rack));
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return x < y ? -1 : x > y;
}

/* Updates the median of the run times of @step, as far as half of them are known or projected. */
static void
update_median (struct core_step *step)
{
  double values[MEDIAN_TASKS_MAX];
  int64_t known = 0;
  int64_t now_ms = step->job->core->now_ms;

  if (step->median_at_ms > 0 && now_ms - step->median_at_ms < MEDIAN_VALID_MS)
    return;
  step->median_at_ms = now_ms;
  for (int64_t i = 0; i < step->spec->count && known < MEDIAN_TASKS_MAX; i++)
    if (step->tasks[i].log_run_ms > 0.0)
      values[known++] = step->tasks[i].log_run_ms;
  if (known < MEDIAN_TASKS_MIN || known * 2 < MIN (step->spec->count, MEDIAN_TASKS_MAX))
    return;
  qsort (values, (size_t)known, sizeof values[0], compare_doubles);
  step->log_median_ms = (values[(known - 1) / 2] + values[known / 2]) / 2.0;
}

/* What a run is compared with. */
struct reference
{
  double log_ms;
  double variance; /* of the logarithm of run times about it */
  bool is_step;    /* it is the median of the step */
};

/* Steps of few tasks are compared with the class of their runs, which tells less.
 * @return whether there is a reference for runs of @step on @target. */
static bool
get_reference (struct core_step *step,
               const struct core_target *target,
               struct reference *reference)
{
  update_median (step);
  if (step->log_median_ms > 0.0)
    {
      *reference = (struct reference){ step->log_median_ms,
                                       fl_run_time_step_variance (step->run_class), true };
      return true;
    }
  if (step->spec->count >= MEDIAN_TASKS_MIN)
    return false;
  struct fl_run_time run_time
      = fl_run_time_get (step->run_class, core_target_kind (target), step->spec->estimate_ms);
  if (!run_time.is_learnt)
    return false;
  *reference = (struct reference){ log (run_time.median_ms),
                                   run_time.log_deviation * run_time.log_deviation, false };
  return true;
}

/* What the run time of a task tells of its target. */
struct sample
{
  double log_ratio; /* logarithm of the run time by that of such a run on an average target */
  double variance;  /* of this, other than by the target */
};

/* @relative_error: of the run time of the task of @run. @return whether it can be compared. */
static bool
get_sample (const struct core_run *run, double relative_error, struct sample *sample)
{
  struct core_step *step = run->task->step;
  struct reference reference;

  if (!get_reference (step, run->target, &reference))
    return false;
  sample->log_ratio = run->task->log_run_ms - reference.log_ms;
  sample->variance = reference.variance + relative_error * relative_error;
  /* The class tells the kinds of targets apart by itself. */
  if (reference.is_step)
    sample->log_ratio
        -= log (fl_run_time_kind_factor (step->run_class, core_target_kind (run->target)));
  return true;
}

static void
learn_from_run (const struct core_run *run, double relative_error)
{
  struct core_target *target = run->target;
  struct sample sample;

  if (!get_sample (run, relative_error, &sample))
    return;
  target->ended_speed = fl_speed_at (&target->ended_speed, target->core->now_ms);
  fl_speed_add (&target->ended_speed, sample.log_ratio, sample.variance);
}

/* --- learning --- */

static void
learn_failure_rate (const struct core_run *run, bool has_failed)
{
  struct core_target *target = run->target;
  const struct core_job *job = run->task->step->job;
  struct fl_core *core = job->core;

  if (run->task->step->spec->long_running)
    return;
  fl_failure_rate_add (&core->failure_rate, has_failed, core->now_ms);
  /* A faulty job fails everywhere. */
  if (!has_failed || !fl_name_eq (&target->last_failed_job, &job->spec.id))
    fl_failure_rate_add (&target->failure_rate, has_failed, core->now_ms);
}

void
core_speed_note_end (struct core_run *run, enum fl_end_cause cause)
{
  struct core_target *target = run->target;
  struct core_step *step = run->task->step;
  int64_t now_ms = step->job->core->now_ms;
  int64_t ran_ms = now_ms - run->started_at_ms;

  if (cause != FL_END_DONE && cause != FL_END_FAILED)
    return;
  fl_move_budget_add_run (&step->job->core->move_budget);
  learn_failure_rate (run, cause == FL_END_FAILED);
  if (cause != FL_END_DONE || !is_measurable (run) || ran_ms < 1
      || target->end_slack_ms * END_SLACK_DIVISOR > ran_ms)
    return;
  run->task->log_run_ms = log ((double)ran_ms);
  learn_from_run (run, (double)target->end_slack_ms / (double)ran_ms);
  if (step->log_median_ms > 0.0)
    fl_run_time_add_ratio (step->run_class, core_target_kind (target),
                           run->task->log_run_ms - step->log_median_ms);
}

/* Projects the run time of the task of @run from its progress in the report that @target made at
 * @listed_ms. @return the relative error of the projection; negative if none is possible. */
static double
project_run_time (struct core_run *run, int64_t listed_ms)
{
  double elapsed_ms = (double)(listed_ms - run->started_at_ms);
  double percent = (double)run->progress_percent + 0.5;

  if (!run->listed || elapsed_ms < PROGRESS_MIN_ELAPSED_MS || !is_measurable (run))
    return -1.0;
  run->task->log_run_ms = log (elapsed_ms * 100.0 / percent);
  return 0.5 / percent;
}

int64_t
core_report_time_ms (const struct core_target *target)
{
  return MIN (target->core->now_ms, target->clock_ms + target->clock_offset_ms);
}

static void
update_is_slow (struct core_target *target)
{
  struct fl_core *core = target->core;
  bool is_slow = fl_speed_is_slow (&target->speed, target->is_slow);

  if (is_slow == target->is_slow)
    return;
  target->is_slow = is_slow;
  if (is_slow)
    fl_stats_add (core->options.stats, "targets_slow_total", 1);
  fl_log (core->options.log, FL_LOG_INFO, is_slow ? "target_slow" : "target_recovered",
          FL_N ("target", &target->entry.id),
          FL_I ("speed_percent", (int64_t)(100.0 / fl_speed_slowness (&target->speed))),
          FL_I ("runs", target->runs->len));
}

/* @return the lower median of @count values; 0 for less than two. */
static double
lower_median (double *values, guint count)
{
  if (count < 2)
    return 0.0;
  qsort (values, count, sizeof values[0], compare_doubles);
  return values[(count - 1) / 2];
}

void
core_speed_note_report (struct core_target *target)
{
  int64_t listed_ms = core_report_time_ms (target);
  double log_ratios[RATIOS_MAX];
  guint compared = 0;

  target->speed = fl_speed_at (&target->ended_speed, target->core->now_ms);
  for (guint i = 0; i < target->runs->len; i++)
    {
      struct core_run *run = g_ptr_array_index (target->runs, i);
      double relative_error = project_run_time (run, listed_ms);
      struct sample sample;
      if (relative_error < 0.0 || !get_sample (run, relative_error, &sample))
        continue;
      fl_speed_add (&target->speed, sample.log_ratio, sample.variance);
      if (compared < RATIOS_MAX)
        log_ratios[compared++] = sample.log_ratio;
    }
  target->log_run_slowness = lower_median (log_ratios, compared);
  target->outlook_at_ms = 0;
  update_is_slow (target);
}

void
core_speed_note_clock (struct core_target *target, int64_t clock_ms, int64_t now_ms, bool is_new)
{
  int64_t offset_ms = now_ms - clock_ms;

  /* The least offset is that of the fastest reply. The clock may run 2 % slow. */
  if (!is_new && target->clock_at_ms > 0)
    offset_ms
        = MIN (offset_ms, target->clock_offset_ms + (now_ms - target->clock_at_ms) * 2 / 100 + 1);
  target->clock_offset_ms = offset_ms;
  target->clock_ms = clock_ms;
  target->clock_at_ms = now_ms;
}

void
core_speed_reset (struct core_target *target)
{
  target->ended_speed = target->speed = (struct fl_speed){ 0 };
  target->failure_rate = (struct fl_failure_rate){ 0 };
  target->is_slow = false;
  target->outlook_at_ms = 0;
}

/* --- decisions --- */

static void
update_outlook (struct core_target *target)
{
  const struct fl_core *core = target->core;

  if (target->outlook_at_ms > 0 && core->now_ms - target->outlook_at_ms < OUTLOOK_VALID_MS)
    return;
  struct fl_speed speed = fl_speed_at (&target->speed, core->now_ms);
  double common = fl_failure_rate_get (&core->failure_rate, 0.0, core->now_ms);
  target->slowness = fl_speed_slowness (&speed);
  target->fail_share = fl_failure_rate_get (&target->failure_rate, common, core->now_ms);
  target->outlook_at_ms = core->now_ms;
}

static struct fl_target_outlook
get_outlook (struct core_target *target, const struct core_step *step, int64_t free_cpu_milli)
{
  const struct fl_core *core = target->core;
  int64_t cpu_milli = MAX (target->entry.resources.cpu_milli, 1);

  update_outlook (target);
  return (struct fl_target_outlook){
    .slowness
    = target->slowness * fl_run_time_kind_factor (step->run_class, core_target_kind (target)),
    .fail_share = target->fail_share,
    .load = 1.0 - (double)(free_cpu_milli - step->spec->cpu_milli) / (double)cpu_milli,
    .median_ms = step->job->queue_stats->mean_run_ms,
    .waited_ms = step->unplaced_since_ms > 0 ? core->now_ms - step->unplaced_since_ms : 0,
  };
}

double
core_target_score (struct core_target *target, const struct core_step *step, int64_t free_cpu_milli)
{
  /* The former never end, and the latter progress by the CPU that others leave. */
  if (step->spec->long_running || step->spec->best_effort)
    return (double)free_cpu_milli;
  struct fl_target_outlook outlook = get_outlook (target, step, free_cpu_milli);
  return -fl_target_outlook_time (&outlook);
}

bool
core_target_is_worse_than_waiting (struct core_target *target, const struct core_step *step)
{
  if (!target->is_slow || step->spec->long_running || step->spec->best_effort)
    return false;
  struct fl_target_outlook outlook = get_outlook (target, step, 0);
  return fl_target_outlook_is_worse_than_waiting (&outlook);
}

/* The time that the objective of its job leaves a task of @step, by the mean run time of the queue
 * for the steps after it. */
static int64_t
due_ms (const struct core_step *step)
{
  const struct core_job *job = step->job;
  double mean_ms = job->queue_stats->mean_run_ms;
  double steps = (double)job->spec.steps.count;
  double later_steps = MIN ((double)job->unfinished_steps, steps) - 1.0;
  int64_t begin_ms = step->due_wall_ms > 0 ? step->due_wall_ms : job->spec.accepted_ms;

  return job->queue.latency_objective_ms - (job->core->wall_ms - begin_ms)
         + (int64_t)((job->queue.stretch * steps - later_steps) * mean_ms);
}

static int64_t
restart_ms (const struct core_step *step)
{
  const struct fl_advice_policy *policy = &step->job->queue.advice;
  double advice_ms = policy->base_latency_ms + policy->per_target_latency_ms * ADVICE_TARGETS;

  return STOP_TIME_MS + START_TIME_MS + (policy->required ? (int64_t)advice_ms : 0);
}

static bool
should_move (const struct core_run *run, double least_slowness, int64_t listed_ms)
{
  struct core_step *step = run->task->step;
  struct fl_straggler straggler = {
    .elapsed_ms = listed_ms - run->started_at_ms,
    .progress_percent = run->progress_percent,
    .least_slowness = least_slowness,
    .has_checkpoint = step->spec->checkpoints,
    .restart_ms = restart_ms (step),
    .due_ms = due_ms (step),
    .step_tasks = step->spec->count,
    .step_moves = step->moved_runs,
    .was_moved = run->task->was_moved,
  };

  return run->listed && is_measurable (run) && fl_straggler_should_move (&straggler)
         && !core_capacity_is_exhausted (step, false);
}

static void
move_run (struct core_run *run)
{
  struct core_target *target = run->target;
  struct core_task *task = run->task;
  struct fl_core *core = target->core;
  struct fl_name name = core_task_name (task);

  fl_log (core->options.log, FL_LOG_INFO, "run_moved", FL_N ("task", &name),
          FL_I ("run", run->number), FL_N ("target", &target->entry.id),
          FL_I ("percent", run->progress_percent),
          FL_I ("elapsed_ms", core->now_ms - run->started_at_ms),
          FL_I ("speed_percent", (int64_t)(100.0 / fl_speed_slowness (&target->speed))));
  fl_stats_add (core->options.stats, "runs_moved_total", 1);
  /* What its progress tells of the target would be lost with it. */
  learn_from_run (run, 0.0);
  task->was_moved = true;
  task->step->moved_runs++;
  task->last_failed_target = fl_job_target_hash (&target->entry.id);
  core_run_stop (run);
}

void
core_move_stragglers (struct core_target *target)
{
  /* The estimate follows its runs in bounded steps. Once it says that the target is slow, their
   * median tells how slow it is now. */
  double least_slowness
      = MAX (fl_speed_least_slowness (&target->speed), exp (target->log_run_slowness));

  if (!target->is_slow || target->core->configuration == NULL)
    return;
  for (guint i = 0; i < target->runs->len; i++)
    {
      struct core_run *run = g_ptr_array_index (target->runs, i);
      if (should_move (run, least_slowness, core_report_time_ms (target))
          && fl_move_budget_take (&target->core->move_budget))
        move_run (run);
    }
}

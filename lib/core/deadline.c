/* What jobs can still reach of their latency objectives: fills the estimates of lib/policy. */
#include "core/core_internal.h"

/* How long an estimate is used for a job with running tasks, and for others, of which only the
 * waiting time changes. */
#define RUNNING_VALID_MS 50
#define WAITING_VALID_MS 500
/* Targets of a query for advice, as objectives count it. */
#define ADVISED_TARGETS 30
/* The part of the room that one step is expected to get. */
#define ROOM_DIVISOR 4

/* --- steps --- */

static int64_t
limit_by (int64_t limit, int64_t available, int64_t need)
{
  return available <= 0 || need <= 0 ? limit : MIN (limit, available / need);
}

/* How many tasks of @step its team and the room let run at the same time. */
static int64_t
count_at_once (const struct core_step *step)
{
  struct fl_core *core = step->job->core;
  const struct fl_step_spec *spec = step->spec;
  const struct fl_resources *room = core_get_capacity (core, &step->job->queue.service);
  const struct fl_team *team = step->job->team->configuration;
  int64_t limit = spec->count;

  limit = limit_by (limit, room->cpu_milli / ROOM_DIVISOR, spec->cpu_milli);
  limit = limit_by (limit, room->memory_mb / ROOM_DIVISOR, spec->memory_mb);
  limit = limit_by (limit, room->gpu / ROOM_DIVISOR, spec->gpu);
  if (team != NULL)
    {
      limit = limit_by (limit, team->cap.cpu_milli, spec->cpu_milli);
      limit = limit_by (limit, team->cap.memory_mb, spec->memory_mb);
      limit = limit_by (limit, team->cap.gpu, spec->gpu);
    }
  return MAX (limit, 1);
}

static double
get_running_left_ms (const struct core_run *run, double expected_ms)
{
  int64_t now_ms = run->task->step->job->core->now_ms;
  int64_t elapsed_ms = now_ms - run->first_ordered_at_ms;
  int64_t reported_ms = run->started_at_ms > 0 && run->listed && !run->is_resumed
                            ? run->progressed_at_ms - run->started_at_ms
                            : 0;

  return fl_running_left_ms (expected_ms, (double)MAX (elapsed_ms, 0), (double)reported_ms,
                             run->progress_percent);
}

/* Adds what the tasks of @step tell, of which some run or have failed. */
static void
add_tasks (const struct core_step *step, struct fl_step_time *time)
{
  double expected_ms = time->scale * fl_run_time_longest_ms (&time->run_time, time->tasks);

  for (int64_t i = 0; i < step->spec->count; i++)
    {
      const struct core_task *task = &step->tasks[i];
      if (task->failed_runs != NULL)
        time->failures_max = MAX (time->failures_max, (int64_t)task->failed_runs->len);
      if (task->done || task->run == NULL)
        continue;
      double left_ms = get_running_left_ms (task->run, expected_ms);
      time->running_left_ms = MAX (time->running_left_ms, left_ms);
    }
}

static struct fl_step_time
get_step_time (const struct core_step *step)
{
  const struct core_job *job = step->job;
  const struct fl_advice_policy *advice = &job->queue.advice;
  struct fl_step_time time = {
    .run_time = fl_run_time_get (step->run_class, NULL, step->spec->estimate_ms),
    .scale = fl_job_scale_get (&job->scale),
    .tasks = step->spec->count,
    .tasks_at_once_max = count_at_once (step),
    .idle_tasks = step->unfinished_tasks > 0 ? step->idle_tasks : 0,
    .longest_run_ms = step->longest_run_ms,
    .failure_share = job->queue_stats->failure_share,
    .has_advice = step->eligible_until_ms > job->core->now_ms,
  };

  if (advice->required)
    time.advice_ms = advice->base_latency_ms + ADVISED_TARGETS * advice->per_target_latency_ms;
  if (step->unfinished_tasks < time.tasks || time.idle_tasks < time.tasks)
    add_tasks (step, &time);
  return time;
}

/* --- jobs --- */

static double
weigh_tasks (const struct fl_step_time *time, const struct fl_step_spec *spec, int64_t tasks)
{
  return (double)tasks * (double)MAX (spec->cpu_milli, 1) * MAX (time->run_time.median_ms, 1.0);
}

/* Computes what the occurrence that begins with @first can still reach. */
static void
compute_deadline (struct core_step *first, struct core_deadline *deadline)
{
  const struct core_job *job = first->job;
  size_t count = job->spec.steps.count;
  int64_t due_wall_ms = MAX (first->due_wall_ms, job->spec.accepted_ms);
  double work_ends_ms[FL_STEPS_MAX] = { 0 };
  double left_ends_ms[FL_STEPS_MAX] = { 0 };
  double work_ms = 0;
  double left_ms = 0;
  double weight = 0;
  double unstarted = 0;
  bool is_known = true;

  for (size_t i = 0; i < count; i++)
    {
      const struct core_step *step = &first[i];
      const struct fl_step_dependency *after = step->spec->after.items;
      struct fl_step_time time = get_step_time (step);
      double step_work_ms = fl_step_work_ms (&time);
      is_known = is_known && step_work_ms > 0 && !step->spec->long_running;
      for (size_t j = 0; j < step->spec->after.count; j++)
        {
          work_ends_ms[i] = MAX (work_ends_ms[i], work_ends_ms[after[j].step]);
          left_ends_ms[i] = MAX (left_ends_ms[i], left_ends_ms[after[j].step]);
        }
      work_ends_ms[i] += step_work_ms;
      left_ends_ms[i] += fl_step_left_ms (&time);
      work_ms = MAX (work_ms, work_ends_ms[i]);
      left_ms = MAX (left_ms, left_ends_ms[i]);
      weight += weigh_tasks (&time, step->spec, time.tasks);
      unstarted += weigh_tasks (&time, step->spec, time.idle_tasks);
    }
  deadline->time
      = fl_order_get_time (job->queue.stretch, job->queue.latency_objective_ms,
                           is_known ? work_ms : 0, left_ms, job->core->wall_ms - due_wall_ms);
  deadline->unstarted_share = weight > 0 ? unstarted / weight : 1.0;
}

/* @return the deadline of the occurrence that begins with @first. */
static const struct core_deadline *
get_deadline (struct core_step *first)
{
  const struct core_job *job = first->job;
  struct core_deadline *deadline = &first->deadline;
  int64_t age_ms = job->core->now_ms - deadline->computed_at_ms;
  bool has_changed = deadline->idle_tasks != job->idle_tasks
                     || deadline->unfinished_steps != job->unfinished_steps;

  if (deadline->computed_at_ms > 0 && !has_changed && age_ms >= 0
      && age_ms < (job->run_count > 0 ? RUNNING_VALID_MS : WAITING_VALID_MS))
    return deadline;
  deadline->computed_at_ms = job->core->now_ms;
  deadline->idle_tasks = job->idle_tasks;
  deadline->unfinished_steps = job->unfinished_steps;
  compute_deadline (first, deadline);
  return deadline;
}

static struct fl_order_time
get_time (struct core_step *first)
{
  const struct core_deadline *deadline = get_deadline (first);
  struct fl_order_time time = deadline->time;
  int64_t age_ms = first->job->core->now_ms - deadline->computed_at_ms;

  /* Since the estimate was made, nothing has run that it does not take into account. */
  if (time.slack_ms != FL_ORDER_NO_OBJECTIVE)
    {
      time.slack_ms -= age_ms;
      time.use_in_time_ms -= age_ms;
    }
  return time;
}

static struct core_step *
get_first_step (const struct core_step *step)
{
  return step->occurrence->steps;
}

/* @return the first step of the first occurrence that is due and has not ended; else of one that
 * has ended, and NULL if none is set up. */
static struct core_step *
get_current_occurrence (const struct core_job *job)
{
  for (const struct core_step *step = job->first_step; step != NULL; step = step->next)
    if (step->unfinished_tasks > 0)
      return get_first_step (step);
  return job->first_step;
}

int64_t
core_job_slack_ms (const struct core_job *job)
{
  struct core_step *first = get_current_occurrence (job);

  return first != NULL ? get_time (first).slack_ms : FL_ORDER_NO_OBJECTIVE;
}

enum fl_order_class
core_job_order_class (const struct core_job *job)
{
  struct core_step *first = get_current_occurrence (job);

  if (first == NULL)
    return FL_ORDER_IN_TIME;
  struct fl_order_time time = get_time (first);
  return fl_order_get_class (&time);
}

bool
core_job_is_late (const struct core_job *job)
{
  return core_job_order_class (job) != FL_ORDER_IN_TIME;
}

void
core_step_get_order_key (const struct core_step *step, struct fl_order_key *key)
{
  const struct core_job *job = step->job;
  struct core_step *first = get_first_step (step);
  struct fl_order_time time = get_time (first);
  bool has_objective = job->queue.stretch > 0 || job->queue.latency_objective_ms > 0;

  key->priority = job->queue.priority;
  key->order_class = fl_order_get_class (&time);
  key->is_at_risk = fl_order_is_at_risk (&time);
  key->has_turn = job->has_turn;
  key->unstarted_share = get_deadline (first)->unstarted_share;
  /* Users of a long-running step are not served while it waits, and a queue is learnt from its
   * first runs: neither waits behind jobs that have time left. */
  key->left_ms = has_objective && time.slack_ms == FL_ORDER_NO_OBJECTIVE
                     ? 0
                     : fl_order_left_in_class_ms (&time);
  key->sequence = job->accepted_version;
}

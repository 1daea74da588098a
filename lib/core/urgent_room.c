/* Room for urgent work (priority 0): batch tasks start only in what urgent tasks that wait do not
 * need, and give up room that these need at once (policy/preemption.h). */
#include "core/core_internal.h"
#include "policy/preemption.h"

/* Time between two choices of tasks to be stopped: a choice looks at all runs. */
#define PREEMPTION_INTERVAL_MS 50
/* Share of the capacity of a service that may be in the course of being stopped. */
#define STOPPING_MAX_PERCENT 25

/* Longest time for which a job of which nothing runs is held back. A job must not wait for 3 s
 * where there is room, and needs a query first. */
#define HOLD_BACK_MAX_MS 1000
/* Upper estimate of the delay of a task that is stopped and resumed. */
#define PREEMPTION_DELAY_MS 4000

/* --- need --- */

static struct core_urgent_room *
get_room (struct fl_core *core, const struct fl_name *service)
{
  struct core_urgent_room room = { .service = *service };

  for (guint i = 0; i < core->urgent_rooms->len; i++)
    {
      struct core_urgent_room *known
          = &g_array_index (core->urgent_rooms, struct core_urgent_room, i);
      if (fl_name_eq (&known->service, service))
        return known;
    }
  g_array_append_val (core->urgent_rooms, room);
  return &g_array_index (core->urgent_rooms, struct core_urgent_room, core->urgent_rooms->len - 1);
}

/* Whether @step would soon start tasks if there was room. While its team is at its limit, or no
 * host is free for its query, room that is kept for it is idle. */
static bool
waits_for_room_only (const struct core_step *step)
{
  switch (step->wait.missing)
    {
    case CORE_WAIT_NONE:
    case CORE_WAIT_CAPACITY:
    case CORE_WAIT_RECORD:
      return true;
    case CORE_WAIT_ADVICE:
      return step->query_in_flight;
    default:
      return false;
    }
}

static bool
is_urgent (const struct core_step *step)
{
  const struct fl_step_spec *spec = step->spec;

  return step->job->queue.priority == 0 && !spec->long_running && !spec->best_effort && !spec->gang;
}

/* Whether room that becomes free anywhere is likely to serve @step soon. */
static bool
needs_any_room (const struct core_step *step)
{
  return step->spec->label.len == 0 && step->spec->cpu_milli > 0 && waits_for_room_only (step);
}

static bool
is_within (int64_t need, int64_t cap)
{
  return cap <= 0 || need <= cap;
}

/* Whether one task of @step fits into the limit of its team. */
static bool
fits_limit (const struct core_step *step)
{
  const struct fl_team *team = step->job->team->configuration;
  const struct fl_step_spec *spec = step->spec;

  return team == NULL
         || (is_within (spec->cpu_milli, team->cap.cpu_milli)
             && is_within (spec->memory_mb, team->cap.memory_mb)
             && is_within (spec->gpu, team->cap.gpu));
}

void
core_urgent_room_begin (struct fl_core *core)
{
  GHashTableIter iter;
  void *team;

  g_array_set_size (core->urgent_rooms, 0);
  g_ptr_array_set_size (core->urgent_steps, 0);
  g_hash_table_iter_init (&iter, core->teams);
  while (g_hash_table_iter_next (&iter, NULL, &team))
    ((struct core_team *)team)->urgent_waiting = (struct fl_resources){ 0 };
}

void
core_urgent_room_add (struct core_step *step)
{
  struct fl_resources *waiting = &step->job->team->urgent_waiting;

  enum fl_order_class order_class = core_job_order_class (step->job);

  if (!is_urgent (step) || order_class == FL_ORDER_EXPIRED)
    return;
  g_ptr_array_add (step->job->core->urgent_steps, step);
  if (order_class != FL_ORDER_IN_TIME || !fits_limit (step))
    return;
  waiting->cpu_milli += step->idle_tasks * step->spec->cpu_milli;
  waiting->memory_mb += step->idle_tasks * step->spec->memory_mb;
  waiting->gpu += step->idle_tasks * step->spec->gpu;
}

static void
add_need (struct core_urgent_room *room, const struct core_step *step)
{
  room->need.cpu_milli += step->idle_tasks * step->spec->cpu_milli;
  room->need.memory_mb += step->idle_tasks * step->spec->memory_mb;
  room->tasks += step->idle_tasks;
}

/* Adds what is free on @target in units of one urgent task: smaller rests serve none. */
static void
add_free (struct core_urgent_room *room, const struct core_target *target)
{
  struct fl_resources free = core_target_available_resources (target, false);
  int64_t cpu_milli = MAX (room->need.cpu_milli / room->tasks, 1);
  int64_t memory_mb = MAX (room->need.memory_mb / room->tasks, 1);
  int64_t tasks = MIN (free.cpu_milli / cpu_milli, free.memory_mb / memory_mb);

  if (tasks <= 0)
    return;
  room->spare.cpu_milli += tasks * cpu_milli;
  room->spare.memory_mb += tasks * memory_mb;
}

/* Computes the spare room of the service of @step, once a tick: urgent steps are placed first, and
 * need what they have not got by then. */
static struct core_urgent_room *
get_spare_room (const struct core_step *step)
{
  struct fl_core *core = step->job->core;
  struct core_urgent_room *room = get_room (core, &step->job->queue.service);
  const struct core_step *example = NULL;

  if (room->is_computed)
    return room;
  room->is_computed = true;
  for (guint i = 0; i < core->urgent_steps->len; i++)
    {
      const struct core_step *urgent = g_ptr_array_index (core->urgent_steps, i);
      if (urgent->idle_tasks == 0 || !needs_any_room (urgent)
          || !fl_name_eq (&urgent->job->queue.service, &room->service))
        continue;
      add_need (room, urgent);
      example = urgent;
    }
  if (room->tasks == 0)
    return room;
  for (guint i = 0; i < core->target_list->len; i++)
    {
      const struct core_target *target = g_ptr_array_index (core->target_list, i);
      if (core_target_accepts_step (target, example))
        add_free (room, target);
    }
  room->spare.cpu_milli -= room->need.cpu_milli;
  room->spare.memory_mb -= room->need.memory_mb;
  return room;
}

/* Load pattern: urgent steps wait since queries are slow, and not for want of room. Batch jobs that
 * wait with them beside free targets have to begin all the same. */
static bool
has_waited_enough (const struct core_step *step)
{
  return step->job->run_count == 0 && step->unplaced_since_ms > 0
         && step->job->core->now_ms - step->unplaced_since_ms >= HOLD_BACK_MAX_MS;
}

static bool
is_held_back (const struct core_step *step)
{
  return step->job->queue.priority > 0 && !step->spec->long_running && !step->spec->best_effort
         && step->job->core->urgent_steps->len > 0;
}

bool
core_urgent_room_permits (const struct core_step *step)
{
  const struct core_urgent_room *room;

  if (!is_held_back (step) || has_waited_enough (step))
    return true;
  room = get_spare_room (step);
  return room->tasks == 0
         || (room->spare.cpu_milli >= step->spec->cpu_milli
             && room->spare.memory_mb >= step->spec->memory_mb);
}

void
core_urgent_room_charge (const struct core_step *step, int64_t tasks)
{
  struct core_urgent_room *room;

  if (!is_held_back (step))
    return;
  room = get_spare_room (step);
  room->spare.cpu_milli -= tasks * step->spec->cpu_milli;
  room->spare.memory_mb -= tasks * step->spec->memory_mb;
}

/* Adds the steps of @job that are urgent and wait to those of @steps. */
static void
add_urgent_steps (struct core_job *job, GPtrArray *steps)
{
  for (struct core_step *step = job->first_step; step != NULL; step = step->next)
    if (step->idle_tasks > 0 && core_step_is_due (step) && is_urgent (step)
        && core_job_order_class (job) != FL_ORDER_EXPIRED)
      g_ptr_array_add (steps, step);
}

bool
core_urgent_room_is_left (const struct core_step *step)
{
  struct fl_core *core = step->job->core;
  GArray *rooms = core->urgent_rooms;
  GPtrArray *steps = core->urgent_steps;
  bool is_left;

  /* Since the last tick, steps of that tick may have been freed. */
  core->urgent_rooms = g_array_new (FALSE, TRUE, sizeof (struct core_urgent_room));
  core->urgent_steps = g_ptr_array_new ();
  for (const GList *link = core->waiting_jobs.head; link != NULL; link = link->next)
    add_urgent_steps (link->data, core->urgent_steps);
  is_left = core_urgent_room_permits (step);
  g_array_unref (core->urgent_rooms);
  g_ptr_array_unref (core->urgent_steps);
  core->urgent_rooms = rooms;
  core->urgent_steps = steps;
  return is_left;
}

/* --- preemption --- */

static bool
may_be_preempted (const struct core_run *run)
{
  const struct core_step *step = run->task->step;
  const struct fl_step_spec *spec = step->spec;

  return run->state == CORE_RUN_ACCEPTED && run->listed && step->job->queue.priority > 0
         && spec->checkpoints && !spec->long_running && !spec->gang && !spec->best_effort
         && run->target->watched_run != run;
}

/* By its progress, or before it has made any, by the run time of its class. */
static int64_t
remaining_ms (const struct core_run *run, int64_t now_ms)
{
  const struct core_step *step = run->task->step;
  struct fl_run_time run_time
      = fl_run_time_get (step->run_class, core_target_kind (run->target), step->spec->estimate_ms);

  if (run->progress_percent > 0 || run_time.median_ms <= 0)
    return core_run_remaining_ms (run, now_ms);
  return (int64_t)run_time.median_ms;
}

/* What the runs that matter to a shortage say about preemption. */
struct preemptible_runs
{
  struct fl_resources stopping;
  GArray *candidates; /* struct fl_preemption_candidate */
};

/* Whether @job can be in time, but not with the delay of a preemption. */
static bool
would_be_late (const struct core_job *job)
{
  int64_t slack_ms = core_job_slack_ms (job);

  return slack_ms >= 0 && slack_ms < PREEMPTION_DELAY_MS;
}

static void
add_run (struct preemptible_runs *runs, struct core_run *run)
{
  const struct fl_step_spec *spec = run->task->step->spec;

  if (run->state == CORE_RUN_STOPPING && !spec->best_effort)
    {
      runs->stopping.cpu_milli += spec->cpu_milli;
      runs->stopping.memory_mb += spec->memory_mb;
    }
  if (!may_be_preempted (run))
    return;
  struct fl_preemption_candidate candidate
      = { .cpu_milli = spec->cpu_milli,
          .memory_mb = spec->memory_mb,
          .remaining_ms = remaining_ms (run, run->target->core->now_ms),
          .preemptions = run->task->preemptions,
          .would_be_late = would_be_late (run->task->step->job),
          .run = run };
  g_array_append_val (runs->candidates, candidate);
}

static void
preempt_run (struct core_run *run)
{
  struct fl_core *core = run->task->step->job->core;
  struct fl_name name = core_task_name (run->task);

  fl_log (core->options.log, FL_LOG_INFO, "preempted", FL_N ("task", &name),
          FL_I ("run", run->number), FL_N ("target", &run->target->entry.id),
          FL_I ("percent", run->progress_percent), FL_I ("times", run->task->preemptions + 1));
  fl_stats_add (core->options.stats, "preemptions_total", 1);
  run->task->preemptions++;
  core_run_stop (run);
}

/* Stops as many of @runs as cover @need, of a service or team that has @capacity. */
static void
preempt (struct preemptible_runs *runs,
         const struct fl_resources *need,
         const struct fl_resources *capacity)
{
  struct fl_preemption_need rest
      = { .cpu_milli = need->cpu_milli - runs->stopping.cpu_milli,
          .memory_mb = need->memory_mb - runs->stopping.memory_mb,
          .cpu_max_milli
          = capacity->cpu_milli * STOPPING_MAX_PERCENT / 100 - runs->stopping.cpu_milli };
  size_t count = fl_preemption_choose ((struct fl_preemption_candidate *)runs->candidates->data,
                                       runs->candidates->len, &rest);

  for (size_t i = 0; i < count; i++)
    preempt_run (g_array_index (runs->candidates, struct fl_preemption_candidate, i).run);
}

/* Stops batch tasks for the urgent steps of the service of @example. */
static void
preempt_for_service (const struct core_step *example, const struct core_urgent_room *room)
{
  struct fl_core *core = example->job->core;
  struct preemptible_runs runs
      = { .candidates = g_array_new (FALSE, FALSE, sizeof (struct fl_preemption_candidate)) };
  struct fl_resources need = { -room->spare.cpu_milli, -room->spare.memory_mb, 0 };
  struct fl_resources capacity = { 0 };

  for (guint i = 0; i < core->target_list->len; i++)
    {
      const struct core_target *target = g_ptr_array_index (core->target_list, i);
      if (!core_target_accepts_step (target, example))
        continue;
      capacity.cpu_milli += target->entry.resources.cpu_milli;
      for (guint j = 0; j < target->runs->len; j++)
        add_run (&runs, g_ptr_array_index (target->runs, j));
    }
  preempt (&runs, &need, &capacity);
  g_array_unref (runs.candidates);
}

/* Stops batch tasks of @team for its urgent steps that wait for its limit.
 *
 * Load pattern: a team sends several times its usual, and its batch tasks exhaust its limit; room
 * is left in the service. */
static void
preempt_for_team (struct fl_core *core, struct core_team *team, const struct fl_resources *need)
{
  const struct fl_team *configuration = team->configuration;
  struct preemptible_runs runs
      = { .candidates = g_array_new (FALSE, FALSE, sizeof (struct fl_preemption_candidate)) };

  for (guint i = 0; i < core->target_list->len; i++)
    {
      const struct core_target *target = g_ptr_array_index (core->target_list, i);
      for (guint j = 0; j < target->runs->len; j++)
        {
          struct core_run *run = g_ptr_array_index (target->runs, j);
          if (run->task->step->job->team == team)
            add_run (&runs, run);
        }
    }
  if (configuration != NULL)
    preempt (&runs, need, configuration->cap.cpu_milli > 0 ? &configuration->cap : &team->used);
  g_array_unref (runs.candidates);
}

/* --- reasons --- */

/* Whether @step waits for @reason, and its job can still meet its objective. */
static bool
justifies_preemption (const struct core_step *step, enum core_wait_reason reason)
{
  return step->wait.missing == reason && step->idle_tasks > 0 && !core_job_is_late (step->job)
         && fits_limit (step);
}

static void
preempt_for_services (struct fl_core *core)
{
  /* What is needed now, after placement, by those steps alone for which tasks are stopped. */
  g_array_set_size (core->urgent_rooms, 0);
  for (guint i = 0; i < core->urgent_steps->len; i++)
    {
      const struct core_step *step = g_ptr_array_index (core->urgent_steps, i);
      struct core_urgent_room *room = get_spare_room (step);
      if (room->is_served || (room->spare.cpu_milli >= 0 && room->spare.memory_mb >= 0))
        continue;
      room->is_served = true;
      core->preempted_at_ms = core->now_ms;
      preempt_for_service (step, room);
    }
}

static void
preempt_for_teams (struct fl_core *core)
{
  g_autoptr (GHashTable) needs = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  GHashTableIter iter;
  void *team;
  void *need;

  for (guint i = 0; i < core->urgent_steps->len; i++)
    {
      const struct core_step *step = g_ptr_array_index (core->urgent_steps, i);
      if (!justifies_preemption (step, CORE_WAIT_TEAM_LIMIT))
        continue;
      struct fl_resources *sum = g_hash_table_lookup (needs, step->job->team);
      if (sum == NULL)
        {
          sum = g_new0 (struct fl_resources, 1);
          g_hash_table_insert (needs, step->job->team, sum);
        }
      sum->cpu_milli += step->idle_tasks * step->spec->cpu_milli;
      sum->memory_mb += step->idle_tasks * step->spec->memory_mb;
    }
  g_hash_table_iter_init (&iter, needs);
  while (g_hash_table_iter_next (&iter, &team, &need))
    {
      core->preempted_at_ms = core->now_ms;
      preempt_for_team (core, team, need);
    }
}

void
core_urgent_room_preempt (struct fl_core *core)
{
  if (core->urgent_steps->len == 0 || core->now_ms - core->preempted_at_ms < PREEMPTION_INTERVAL_MS)
    return;
  preempt_for_teams (core);
  for (guint i = core->urgent_steps->len; i > 0; i--)
    if (!justifies_preemption (g_ptr_array_index (core->urgent_steps, i - 1), CORE_WAIT_CAPACITY))
      g_ptr_array_remove_index_fast (core->urgent_steps, i - 1);
  preempt_for_services (core);
}

/* Placement: which waiting step comes next, and on which target each task runs. */
#include <math.h>
#include <string.h>

#include "core/core_internal.h"

/* Score of what is avoided unless nothing else fits; above any room of a target. */
#define AVOID_MILLI INT64_C (1000000000)
/* Time in which the recent peak of a team's urgent work decays to a third: some bursts long. */
#define URGENT_PEAK_MS 10000.0
/* Targets recorded at once for a step whose queue needs no advice. */
#define TARGETS_WANTED_MAX 16
/* Position of the rack among the labels of a target: its kind comes first. */
#define RACK_LABEL 1

/* --- fit --- */

bool
core_target_has_label (const struct core_target *target, const struct fl_name *label)
{
  for (size_t i = 0; i < target->entry.label_count; i++)
    if (fl_name_eq (&target->entry.labels[i], label))
      return true;
  return false;
}

static bool
takes_tasks (const struct core_target *target, const struct core_step *step)
{
  const struct fl_core *core = step->job->core;

  return target->registered && target->recorded && target->reported && !target->silent
         && !target->entry.draining && target->stale_runs == 0
         && core->now_ms >= target->quarantined_until_ms
         && fl_name_eq (&target->entry.service, &step->job->queue.service)
         && (step->spec->label.len == 0 || core_target_has_label (target, &step->spec->label));
}

/* How often @need goes into @left; a need of 0 fits always. */
static int64_t
times_in (int64_t left, int64_t need)
{
  if (need <= 0)
    return FL_STEP_TASKS_MAX;
  return left < need ? 0 : left / need;
}

static int64_t
runs_of_step (const struct core_target *target, const struct core_step *step)
{
  int64_t count = 0;

  for (guint i = 0; i < target->runs->len; i++)
    count += ((struct core_run *)g_ptr_array_index (target->runs, i))->task->step == step ? 1 : 0;
  return count;
}

int64_t
core_target_fits (const struct core_target *target, const struct core_step *step, bool claims)
{
  const struct fl_step_spec *spec = step->spec;
  const struct fl_room *room = &target->entry.room;
  int64_t cpu_left = room->cpu_milli - target->used.cpu_milli;
  int64_t fits;

  if (!takes_tasks (target, step))
    return 0;
  if (spec->fills)
    cpu_left -= target->best_effort_cpu_milli;
  if (claims)
    cpu_left -= target->tentative_cpu_milli;
  fits = times_in (cpu_left, spec->cpu_milli);
  fits = MIN (fits, times_in (room->memory_mb - target->used.memory_mb, spec->memory_mb));
  fits = MIN (fits, times_in (room->gpu - target->used.gpu, spec->gpu));
  if (spec->per_target_max > 0)
    fits = MIN (fits, spec->per_target_max - runs_of_step (target, step));
  return MAX (fits, 0);
}

/* What a team keeps free of its limit for its urgent work: as much as that took recently.
 *
 * Load pattern: a team whose long jobs of lower priority fill its limit; its urgent jobs, which
 * come all the time and last a second, then wait for the end of tasks that last many. */
static int64_t
kept_free (const struct core_step *step, int64_t urgent, int64_t peak)
{
  return step->job->queue.priority == 0 ? 0 : MAX (peak - urgent, 0);
}

static bool
under_cap (int64_t used, int64_t need, int64_t kept, int64_t cap)
{
  return cap <= 0 || used + need + kept <= cap;
}

static bool
team_has_room (const struct core_step *step)
{
  const struct core_job *job = step->job;
  const struct core_team *team = job->team;
  const struct fl_team_terms *terms = fl_configuration_team (job->core->configuration, &team->name);
  const struct fl_step_spec *spec = step->spec;

  if (terms == NULL)
    return true;
  return under_cap (team->used.cpu_milli + team->unreconciled.cpu_milli, spec->cpu_milli,
                    kept_free (step, team->urgent_used.cpu_milli, team->urgent_peak.cpu_milli),
                    terms->cap.cpu_milli)
         && under_cap (team->used.memory_mb + team->unreconciled.memory_mb, spec->memory_mb,
                       kept_free (step, team->urgent_used.memory_mb, team->urgent_peak.memory_mb),
                       terms->cap.memory_mb)
         && under_cap (team->used.gpu + team->unreconciled.gpu, spec->gpu,
                       kept_free (step, team->urgent_used.gpu, team->urgent_peak.gpu),
                       terms->cap.gpu);
}

/* Raises the peaks to the present use and lets them decay. */
static void
update_peaks (struct fl_core *core)
{
  double left = exp (-(double)(core->now_ms - core->peaks_decayed_at_ms) / URGENT_PEAK_MS);
  GHashTableIter iter;
  void *value;

  core->peaks_decayed_at_ms = core->now_ms;
  g_hash_table_iter_init (&iter, core->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct core_team *team = value;
      struct fl_room *peak = &team->urgent_peak;
      peak->cpu_milli
          = MAX (team->urgent_used.cpu_milli, (int64_t)((double)peak->cpu_milli * left));
      peak->memory_mb
          = MAX (team->urgent_used.memory_mb, (int64_t)((double)peak->memory_mb * left));
      peak->gpu = MAX (team->urgent_used.gpu, (int64_t)((double)peak->gpu * left));
    }
}

/* --- choice --- */

static bool
serves (const struct core_target *target)
{
  for (guint i = 0; i < target->runs->len; i++)
    if (((struct core_run *)g_ptr_array_index (target->runs, i))->task->step->spec->latency_bound_ms
        > 0)
      return true;
  return false;
}

/* Higher is better: the most room left, since tasks on one target slow each other down. */
static int64_t
score (const struct core_target *target, const struct core_task *task)
{
  const struct fl_step_spec *spec = task->step->spec;
  int64_t value
      = target->entry.room.cpu_milli - target->used.cpu_milli - target->best_effort_cpu_milli;

  if (spec->fills && serves (target))
    value -= AVOID_MILLI;
  if (spec->rack.len > 0 && !core_target_has_label (target, &spec->rack))
    value -= AVOID_MILLI;
  if (fl_name_eq (&task->last_failed_target, &target->entry.id))
    value -= AVOID_MILLI;
  return value;
}

/* Walks the targets that advice may permit for a step, or all where none is required: a step has
 * advice about a few of hundreds. */
struct target_walk
{
  struct core_step *step;
  GHashTableIter iter;
};

static void
walk_targets (struct target_walk *walk, struct core_step *step)
{
  bool advised = step->job->queue.advice.required;

  walk->step = step;
  g_hash_table_iter_init (&walk->iter, advised ? step->advice : step->job->core->targets);
}

/* @return the next target, or NULL after the last. */
static struct core_target *
next_target (struct target_walk *walk)
{
  void *value;

  while (g_hash_table_iter_next (&walk->iter, NULL, &value))
    {
      const struct core_advice *advice = value;
      struct core_target *target = value;
      if (walk->step->job->queue.advice.required)
        target
            = advice->eligible ? core_find_target (walk->step->job->core, &advice->target) : NULL;
      if (target != NULL)
        return target;
    }
  return NULL;
}

/* Asks for the targets that @step may use now to be recorded; what advice permits is asked for with
 * the answer. */
static void
want_targets (struct core_step *step)
{
  int64_t left = TARGETS_WANTED_MAX;
  struct target_walk walk;
  const struct core_target *target;

  walk_targets (&walk, step);
  while (left > 0 && (target = next_target (&walk)) != NULL)
    {
      if (core_target_fits (target, step, false) == 0 || core_advice_ticket (step, target) == NULL)
        continue;
      core_job_request_target (step->job, &target->entry.id);
      left--;
    }
}

/* The best target that the job's tasks may be started on; when there is none, the best of all is
 * asked to be recorded. @rack limits the choice to one rack unless it is NULL. */
static struct core_target *
choose_target (const struct core_task *task, const struct fl_name *rack)
{
  struct core_step *step = task->step;
  struct core_target *best = NULL;
  bool best_is_permitted = false;
  int64_t best_score = 0;
  struct target_walk walk;
  struct core_target *target;

  walk_targets (&walk, step);
  while ((target = next_target (&walk)) != NULL)
    {
      if ((rack != NULL && !core_target_has_label (target, rack))
          || core_target_fits (target, step, false) == 0
          || core_advice_ticket (step, target) == NULL)
        continue;
      int64_t target_score = score (target, task);
      bool is_permitted = core_job_may_start_on (step->job, &target->entry.id);
      if (best == NULL || is_permitted > best_is_permitted
          || (is_permitted == best_is_permitted && target_score > best_score))
        {
          best = target;
          best_is_permitted = is_permitted;
          best_score = target_score;
        }
    }
  if (best != NULL && !best_is_permitted)
    want_targets (step);
  return best_is_permitted ? best : NULL;
}

static int64_t
next_run (const struct core_task *task)
{
  return MAX (task->last_run_number + 1, task->step->job->core->first_run_number);
}

static bool
may_start (const struct core_task *task)
{
  return !task->done && task->run == NULL
         && task->backoff_until_ms <= task->step->job->core->now_ms;
}

/* Places what can be placed. @return how many tasks still wait. */
static int64_t
place_tasks (struct core_step *step)
{
  int64_t waiting = 0;

  for (int64_t i = 0; i < step->spec->count; i++)
    {
      struct core_task *task = &step->tasks[i];
      struct core_target *target;
      if (!may_start (task))
        continue;
      target = waiting == 0 && team_has_room (step) ? choose_target (task, NULL) : NULL;
      if (target == NULL)
        {
          waiting++;
          continue;
        }
      core_run_order_start (core_run_new (task, target, next_run (task)),
                            core_advice_ticket (step, target));
    }
  return waiting;
}

/* --- gangs --- */

/* Charges room for all tasks of a gang on targets of @rack, or anywhere when it is NULL.
 * @return false with nothing charged when not all of them fit. */
static bool
reserve_gang (struct core_step *step, const struct fl_name *rack)
{
  int64_t number = step->job->core->first_run_number;
  int64_t placed = 0;

  for (int64_t i = 0; i < step->spec->count; i++)
    number = MAX (number, next_run (&step->tasks[i]));
  for (; placed < step->spec->count; placed++)
    {
      struct core_task *task = &step->tasks[placed];
      struct core_target *target = team_has_room (step) ? choose_target (task, rack) : NULL;
      if (target == NULL)
        break;
      core_run_new (task, target, number);
    }
  if (placed == step->spec->count)
    return true;
  while (placed > 0)
    core_run_release (step->tasks[--placed].run);
  return false;
}

static bool
reserve_on_one_rack (struct core_step *step)
{
  g_autoptr (GHashTable) tried = g_hash_table_new (fl_name_hash, fl_name_equal);
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, step->job->core->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct core_target *target = value;
      const struct fl_name *rack = &target->entry.labels[RACK_LABEL];
      if (target->entry.label_count <= RACK_LABEL || !g_hash_table_add (tried, (void *)rack))
        continue;
      if (reserve_gang (step, rack))
        return true;
    }
  return false;
}

/* Starts all tasks of a gang or none. @return how many wait. */
static int64_t
place_gang (struct core_step *step)
{
  for (int64_t i = 0; i < step->spec->count; i++)
    if (!may_start (&step->tasks[i]))
      return 0;
  if (!(step->spec->rack_bound && reserve_on_one_rack (step)) && !reserve_gang (step, NULL))
    return step->spec->count;
  for (int64_t i = 0; i < step->spec->count; i++)
    core_run_order_start (step->tasks[i].run,
                          core_advice_ticket (step, step->tasks[i].run->target));
  return 0;
}

/* --- order of waiting work --- */

static double
team_ratio (const struct core_job *job)
{
  const struct fl_team_terms *terms
      = fl_configuration_team (job->core->configuration, &job->team->name);

  return (double)job->team->used.cpu_milli / (double)(terms != NULL ? MAX (terms->weight, 1) : 1);
}

struct waiting_step
{
  struct core_step *step;
  bool late;
  double ratio;
};

/* Priority, then what can still meet its objective, then the team that has least against its
 * weight, then age.
 *
 * Load pattern: a team or a kind sends several times what there is room for. In order of age all
 * jobs of a long queue come too late; with late ones behind, those that can be in time are. A team
 * that sends many times its usual waits behind its own work, not in front of the others'. */
static gint
compare_waiting (const void *a, const void *b)
{
  const struct waiting_step *x = a;
  const struct waiting_step *y = b;
  const struct core_job *job_x = x->step->job;
  const struct core_job *job_y = y->step->job;

  if (job_x->queue.priority != job_y->queue.priority)
    return job_x->queue.priority < job_y->queue.priority ? -1 : 1;
  if (x->late != y->late)
    return x->late ? 1 : -1;
  if (x->ratio < y->ratio || x->ratio > y->ratio)
    return x->ratio < y->ratio ? -1 : 1;
  return job_x->version < job_y->version ? -1 : job_x->version > job_y->version;
}

static bool
has_waiting_task (const struct core_step *step)
{
  for (int64_t i = 0; i < step->spec->count; i++)
    if (may_start (&step->tasks[i]))
      return true;
  return false;
}

/* How many tasks of @step fit on targets that only wait to be recorded for its job. */
static int64_t
awaiting_record (struct core_step *step)
{
  int64_t count = 0;
  struct target_walk walk;
  const struct core_target *target;

  walk_targets (&walk, step);
  while ((target = next_target (&walk)) != NULL)
    {
      if (core_job_target_is_pending (step->job, &target->entry.id)
          && core_advice_ticket (step, target) != NULL)
        count += core_target_fits (target, step, false);
    }
  return count;
}

/* Sees to what @left tasks of @step that could not be placed need next.
 * @return what the step waits for. */
static enum core_wait_reason
wait_of (struct core_step *step, int64_t left)
{
  enum core_wait_reason wait = CORE_WAIT_CAPACITY;

  if (left == 0)
    return CORE_WAIT_NONE;
  if (!team_has_room (step))
    return CORE_WAIT_TEAM_LIMIT;
  int64_t awaiting = awaiting_record (step);
  /* Targets that a record makes usable within moments are not asked about again, nor others in
   * their place: advice is what the long kinds wait for most. */
  if (awaiting < left && step->job->queue.advice.required)
    wait = core_advice_send_query (step, left - awaiting);
  return wait == CORE_WAIT_CAPACITY && awaiting > 0 ? CORE_WAIT_RECORD : wait;
}

/* Tells what a step waited for when that changes. */
static void
note_wait (struct core_step *step, enum core_wait_reason wait)
{
  static const char *const names[CORE_WAIT_REASONS]
      = { "none", "team_limit", "room", "advice", "record", "settling" };
  struct fl_core *core = step->job->core;
  int64_t waited_ms = core->now_ms - step->wait_started_at_ms;

  if (step->wait_reason == wait)
    return;
  if (step->wait_reason != CORE_WAIT_NONE && waited_ms > 0)
    {
      struct fl_name name = core_step_name (step);
      g_autofree char *stat
          = g_strdup_printf ("step_wait_ms{for=\"%s\"}", names[step->wait_reason]);
      fl_stats_record (core->options.stats, stat, waited_ms);
      fl_log (core->options.log, FL_LOG_INFO, "step_waited", FL_N ("step", &name),
              FL_S ("for", names[step->wait_reason]), FL_I ("ms", waited_ms),
              FL_S ("then", names[wait]));
    }
  step->wait_reason = wait;
  step->wait_started_at_ms = core->now_ms;
}

static void
clear_unsettled (struct fl_core *core)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, core->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct core_team *)value)->unreconciled = (struct fl_room){ 0 };
}

/* Counts the tasks of @step that may be running unseen against its team. */
static void
count_unsettled (struct core_step *step)
{
  struct fl_room *room = &step->job->team->unreconciled;

  for (int64_t i = 0; i < step->spec->count; i++)
    if (!step->tasks[i].done && step->tasks[i].run == NULL)
      {
        room->cpu_milli += step->spec->cpu_milli;
        room->memory_mb += step->spec->memory_mb;
        room->gpu += step->spec->gpu;
      }
}

static GArray *
collect_waiting (struct fl_core *core)
{
  GArray *waiting = g_array_new (FALSE, FALSE, sizeof (struct waiting_step));
  bool unreconciled = core_is_unreconciled (core);
  GHashTableIter iter;
  void *value;

  clear_unsettled (core);
  g_hash_table_iter_init (&iter, core->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct core_job *job = value;
      bool blocked = unreconciled && core_job_is_unreconciled (job);
      if (fl_job_state_is_final (job->state))
        continue;
      bool late = core_job_is_late (job);
      for (size_t i = 0; i < job->step_count; i++)
        {
          struct waiting_step entry = { &job->steps[i], late, team_ratio (job) };
          if (entry.step->unfinished_tasks == 0 || !core_step_is_due (entry.step)
              || !has_waiting_task (entry.step))
            continue;
          if (blocked)
            {
              count_unsettled (entry.step);
              note_wait (entry.step, CORE_WAIT_RECONCILING);
            }
          else
            g_array_append_val (waiting, entry);
        }
    }
  g_array_sort (waiting, compare_waiting);
  return waiting;
}

void
core_place_tasks (struct fl_core *core)
{
  GArray *waiting;

  update_peaks (core);
  waiting = collect_waiting (core);
  for (guint i = 0; i < waiting->len; i++)
    {
      struct core_step *step = g_array_index (waiting, struct waiting_step, i).step;
      int64_t left = step->spec->gang ? place_gang (step) : place_tasks (step);
      note_wait (step, wait_of (step, left));
    }
  fl_stats_set (core->options.stats, "steps_waiting", waiting->len);
  g_array_unref (waiting);
}

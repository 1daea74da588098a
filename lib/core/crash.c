/* Which task crashes its targets, and what follows for it.
 *
 * Load pattern: a task ends the boot of each target that starts it, mostly within milliseconds, and
 * the target is back some seconds later. Unless this is noticed, the task takes down one target
 * after the other, with all that runs there. All runs on a target that crashes may be the cause,
 * but mostly none is: racks lose power, and targets crash by themselves.
 *
 * Evidence: such a task mostly crashes its target soon after the start, so that the runs that were
 * started last are suspected. The next run of a suspected task is watched: it starts on a target of
 * which all other runs are older than CRASH_FRESH_MS, and which gets no other task for
 * CRASH_WATCH_MS. If this target crashes within this time, too, the task is the cause, else it is
 * cleared. A task that crashes its targets later is found by the number of crashes alone.
 *
 * Each run that counts is recorded before the next start of its task, so that a successor goes on
 * counting. Where it is not known whether the boot of the target has ended, the case stays open
 * until the target reports: a target that was only silent counts for nothing.
 *
 * A crash is known when another boot replies, seconds later. Its time is that at which the target
 * fell silent, and the runs that count are those that were on it then, though their leases may have
 * lapsed meanwhile. */
#include "core/core_internal.h"

/* A run is fresh until it is known to have run for this long: some heartbeats. */
#define CRASH_FRESH_MS 300
/* A run of a suspected task is watched until it is known to have run for this long; */
#define CRASH_WATCH_MS 600
/* and one of a task under which CRASHES_LIKELY targets have crashed, which may do so late. */
#define CRASH_LATE_MS 1500
/* A run that is known to have run for this long clears its task of all earlier crashes. */
#define CRASH_FORGOTTEN_MS 30000
/* With more fresh runs than this on a target that crashes, none is suspected for this alone: most
 * would be so in vain, and each would take a target for its next start. */
#define CRASH_SUSPECTS_MAX 8
/* One of so many targets may be taken for watched runs; the others go on with other work. */
#define TARGETS_PER_WATCHED_RUN 4
/* The same for tasks of overdue steps. */
#define TARGETS_PER_OVERDUE_RUN 2
/* Without a crash or a start of a suspected task of its job for this long, an overdue task does not
 * wait for these any more: a task that crashes its targets is given up earlier. */
#define CRASH_QUIET_MS 3000
/* A watch that lasts longer than usual does not hold the target for overdue steps. */
#define CRASH_WATCH_OVERDUE_MS 2000
/* A task is given up when its crashes weigh this much: after two with it as a suspect, or at the
 * latest after four, since it must not be started three times more after three. */
#define CRASH_WEIGHT_MAX 4
#define CRASH_WEIGHT_SUSPECTED 2 /* of all others: 1 */
/* From this number of crashes on, a task is more likely to be the cause of a further one than
 * others that happen to be on the target; */
#define CRASHES_LIKELY 2
/* and from this number on, its runs are watched, since a further one decides. */
#define CRASHES_WATCHED 3
/* Targets that crash within this time may have done so for one reason. A heartbeat is in flight to
 * each target, so that one that crashes falls silent within tens of milliseconds. */
#define CRASH_SIMULTANEOUS_MS 300
/* With CRASHES_AT_ONCE crashes within this time, they may have one cause: a rack, a network. */
#define CRASH_AT_ONCE_MS 1000
#define CRASHES_AT_ONCE 5
/* A target that has not been heard of for this long since its leases lapsed counts as crashed, but
 * as no suspicion: it may still be silent only. */
#define CRASH_OPEN_MAX_MS 30000
/* A task under which CRASHES_LIKELY targets have crashed, or that would be given up if the targets
 * of its open cases had, waits for so long after the last of these: a target that crashes is mostly
 * back within seconds. */
#define CRASH_OPEN_WAIT_MS 10000
/* Part of the score of a target for a suspected task: for each run that was started last. */
#define FRESH_RUN_PENALTY INT64_C (1000000000)

/* A run that counts against its task. */
struct crash_case
{
  struct fl_crashed_run row;
  int64_t noted_at_ms;   /* 0 for one from the record until the first verdict on its task */
  int64_t crashed_at_ms; /* when its target fell silent; 0 for one from the record */
  /* Of an open case: its state if the boot turns out to have ended; OPEN if that is to be judged.
   */
  enum fl_crash_state if_crashed;
  /* The target of the run only may have crashed, and the run is in effect, as far as is known, or
   * is no suspect even if it has. */
  bool is_provisional;
};

static struct crash_case *
get_case (const struct core_task *task, guint index)
{
  return &g_array_index (task->crashes, struct crash_case, index);
}

static struct crash_case *
find_case (const struct core_task *task, int64_t run)
{
  for (guint i = 0; task->crashes != NULL && i < task->crashes->len; i++)
    if (get_case (task, i)->row.run == run)
      return get_case (task, i);
  return NULL;
}

static guint
count_cases (const struct core_task *task, enum fl_crash_state state)
{
  guint count = 0;

  for (guint i = 0; task->crashes != NULL && i < task->crashes->len; i++)
    count += get_case (task, i)->row.state == (int)state ? 1 : 0;
  return count;
}

static guint
count_provisional_cases (const struct core_task *task)
{
  guint count = 0;

  for (guint i = 0; task->crashes != NULL && i < task->crashes->len; i++)
    count += get_case (task, i)->is_provisional ? 1 : 0;
  return count;
}

static guint
count_all_cases (const struct core_task *task)
{
  return task->crashes != NULL ? task->crashes->len : 0;
}

static guint
count_crashes (const struct core_task *task)
{
  return count_all_cases (task) - count_cases (task, FL_CRASH_OPEN);
}

/* Whether the run of @crash_case may be in effect. */
static bool
is_in_effect (const struct core_task *task, const struct crash_case *crash_case)
{
  return task->run != NULL && task->run->number == crash_case->row.run;
}

static guint
get_weight (enum fl_crash_state state)
{
  if (state == FL_CRASH_OPEN)
    return 0;
  return state == FL_CRASH_SUSPECTED ? CRASH_WEIGHT_SUSPECTED : 1;
}

static guint
sum_weights (const struct core_task *task)
{
  guint weight = 0;

  for (guint i = 0; task->crashes != NULL && i < task->crashes->len; i++)
    weight += get_weight ((enum fl_crash_state)get_case (task, i)->row.state);
  return weight;
}

static bool
must_be_given_up (const struct core_task *task)
{
  return sum_weights (task) >= CRASH_WEIGHT_MAX;
}

/* Whether @task has to be given up if the targets of its open cases, that of @open_case among them,
 * turn out to have crashed. */
static bool
may_decide (const struct core_task *task, const struct crash_case *open_case)
{
  guint weight = sum_weights (task);

  for (guint i = 0; i < task->crashes->len; i++)
    if (get_case (task, i)->row.state == FL_CRASH_OPEN)
      weight += get_weight (get_case (task, i)->if_crashed);
  return get_weight (open_case->if_crashed) > 0 && weight >= CRASH_WEIGHT_MAX;
}

/* When the boot of @target ended, if it did: since then it has not replied. */
static int64_t
get_crash_time (const struct core_target *target)
{
  return target->silent_since_ms > 0 ? target->silent_since_ms : target->core->now_ms;
}

/* --- changes of cases --- */

static void
set_suspected (struct core_task *task, bool is_suspected)
{
  if (task->is_suspected == is_suspected)
    return;
  task->is_suspected = is_suspected;
  task->step->job->suspected_tasks += is_suspected ? 1 : -1;
}

static void
set_convicted (struct core_task *task, bool is_convicted)
{
  if (task->is_convicted == is_convicted)
    return;
  task->is_convicted = is_convicted;
  task->step->job->convicted_tasks += is_convicted ? 1 : -1;
}

/* To be called after each change of the cases of @task. */
static void
update_task (struct core_task *task)
{
  struct core_job *job = task->step->job;
  struct fl_core *core = job->core;

  set_suspected (task, count_all_cases (task)
                           > count_cases (task, FL_CRASH_PRESENT) + count_provisional_cases (task));
  task->is_watched = task->is_suspected || count_crashes (task) >= CRASHES_WATCHED;
  set_convicted (task, must_be_given_up (task));
  core_queue_set_member (&core->crash_tasks, &task->crash_link, &task->has_crashes,
                         count_all_cases (task) > 0);
  core->crash_verdicts_due_ms = 0;
  task->crash_change = ++job->crash_changes;
  job->crash_changed_at_ms = core->now_ms;
  if (!fl_job_state_is_final (job->state))
    core_job_mark_for_recording (job);
}

/* @return the case, valid until the cases of @task change. */
static struct crash_case *
add_case (struct core_task *task,
          const struct core_target *target,
          int64_t run,
          enum fl_crash_state state,
          bool is_provisional)
{
  struct crash_case crash_case
      = { .row = { .run = run,
                   .state = state,
                   .target = fl_job_target_hash (&target->entry.id),
                   .address = fl_job_target_hash (&target->entry.address),
                   .booted_at_ms = target->boot_known ? target->booted_at_ms : 0 },
          .noted_at_ms = target->core->now_ms,
          .crashed_at_ms = get_crash_time (target),
          .is_provisional = is_provisional };
  struct crash_case *known = find_case (task, run);

  if (state == FL_CRASH_SUSPECTED || state == FL_CRASH_AT_ONCE)
    task->step->job->is_cleared = false;
  if (task->crashes == NULL)
    task->crashes = g_array_new (FALSE, FALSE, sizeof (struct crash_case));
  if (known != NULL)
    *known = crash_case;
  else
    g_array_append_val (task->crashes, crash_case);
  update_task (task);
  return find_case (task, run);
}

static void
log_case (const struct core_task *task,
          const struct crash_case *crash_case,
          const struct core_target *target,
          const char *event)
{
  struct fl_core *core = task->step->job->core;
  struct fl_name name = core_task_name (task);

  fl_log (core->options.log, FL_LOG_NOTICE, event, FL_N ("task", &name),
          FL_I ("run", crash_case->row.run),
          FL_S ("target", target != NULL ? target->entry.id.data : ""),
          FL_I ("boot", crash_case->row.booted_at_ms),
          FL_S ("state", fl_crash_state_name ((enum fl_crash_state)crash_case->row.state)),
          FL_I ("suspected", count_cases (task, FL_CRASH_SUSPECTED)),
          FL_I ("crashes", count_crashes (task)));
}

/* @target and @event are for the log. */
static void
change_case (struct core_task *task,
             struct crash_case *crash_case,
             enum fl_crash_state state,
             const struct core_target *target,
             const char *event)
{
  crash_case->row.state = state;
  crash_case->is_provisional = false;
  log_case (task, crash_case, target, event);
  update_task (task);
}

static void
remove_case (struct core_task *task, const struct crash_case *crash_case)
{
  g_array_remove_index (task->crashes, (guint)(crash_case - get_case (task, 0)));
  update_task (task);
}

void
core_crash_clear_task (struct core_task *task)
{
  if (count_all_cases (task) == 0)
    return;
  g_array_set_size (task->crashes, 0);
  update_task (task);
}

void
core_crash_free_task (struct core_task *task)
{
  core_queue_set_member (&task->step->job->core->crash_tasks, &task->crash_link, &task->has_crashes,
                         false);
  g_clear_pointer (&task->crashes, g_array_unref);
}

/* The tasks with crashes, of which changes may add and remove some. */
static GPtrArray *
copy_crash_tasks (const struct fl_core *core)
{
  GPtrArray *tasks = g_ptr_array_sized_new (core->crash_tasks.length);

  for (const GList *link = core->crash_tasks.head; link != NULL; link = link->next)
    g_ptr_array_add (tasks, link->data);
  return tasks;
}

/* --- crashes --- */

/* What the runs on a target that has crashed tell of the cause. */
struct crash_scene
{
  int runs;
  int fresh;
  int unwatched; /* of these, those that are confirmed and not watched */
  guint most;    /* crashes of the task of any young run that is not fresh */
};

static bool
counts_at_crash (const struct core_run *run)
{
  return run->state != CORE_RUN_PLANNED && !run->is_crash_noted && !run->task->done;
}

static bool
is_confirmed (const struct core_run *run)
{
  return run->ever_listed || run->state == CORE_RUN_ACCEPTED;
}

/* Whether the start of @run, which is not confirmed, was certainly not the end of its target: the
 * target has reported since it was sent, without the run. */
static bool
is_outlived (const struct core_run *run)
{
  return !is_confirmed (run) && run->target->clock_at_ms >= run->sent_by_ms + FL_START_LIMIT_MS;
}

/* For how long a run of @task has to be known until it is no longer watched. */
static int64_t
watch_ms (const struct core_task *task)
{
  return count_crashes (task) >= CRASHES_LIKELY ? CRASH_LATE_MS : CRASH_WATCH_MS;
}

/* An adopted run was listed, and started by an earlier owner. */
static bool
is_fresh (const struct core_run *run)
{
  int64_t fresh_ms = run == run->target->watched_run ? watch_ms (run->task) : CRASH_FRESH_MS;

  return run->started_at_ms > 0 && core_run_known_age_ms (run) < fresh_ms && !is_outlived (run);
}

/* Whether @run is watched, by itself or as another member of the gang of a watched run. */
static bool
is_watched_run (const struct core_run *run)
{
  const struct core_run *watched = run->target->watched_run;

  return run == watched
         || (watched != NULL && watched->task->step == run->task->step
             && run->task->step->spec->gang);
}

/* Whether a task like that of @run may be the cause of a crash late after its start. The age of an
 * adopted run is counted from its adoption. */
static bool
is_young (const struct core_run *run)
{
  return core_run_known_age_ms (run) < CRASH_LATE_MS && is_confirmed (run);
}

static struct crash_scene
examine_target (const struct core_target *target)
{
  struct crash_scene scene = { 0 };

  for (guint i = 0; i < target->runs->len; i++)
    {
      const struct core_run *run = g_ptr_array_index (target->runs, i);
      if (!counts_at_crash (run))
        continue;
      scene.runs++;
      if (is_fresh (run))
        {
          scene.fresh++;
          scene.unwatched += is_confirmed (run) && !is_watched_run (run) ? 1 : 0;
        }
      else if (is_young (run))
        scene.most = MAX (scene.most, count_crashes (run->task));
    }
  return scene;
}

/* @return FL_CRASH_OPEN if the crash does not count against the task of @run. Of the young runs
 * that are not fresh, those of the tasks with most crashes count: a task that crashes its targets
 * late is among them each time, another one hardly. */
static enum fl_crash_state
judge_run (const struct core_run *run, const struct crash_scene *scene)
{
  if (!is_fresh (run))
    return is_young (run)
                   && (scene->most < CRASHES_LIKELY || count_crashes (run->task) == scene->most)
               ? FL_CRASH_PRESENT
               : FL_CRASH_OPEN;
  /* A start without a reply may not have been executed. */
  if (!is_confirmed (run) && !is_watched_run (run))
    return FL_CRASH_PRESENT;
  /* It is not clear which of several that could be the cause is. */
  if (is_watched_run (run) ? scene->unwatched > 0
                           : scene->most >= CRASHES_LIKELY || scene->fresh > CRASH_SUSPECTS_MAX)
    return FL_CRASH_PRESENT;
  return FL_CRASH_SUSPECTED;
}

static bool
is_within (int64_t a_ms, int64_t b_ms, int64_t within_ms)
{
  return ABS (a_ms - b_ms) <= within_ms;
}

/* Turns the cases of targets that crashed within @within_ms of @crash into @to, except those of its
 * own target. */
static void
reduce_cases (struct fl_core *core,
              const struct core_target_crash *crash,
              int64_t within_ms,
              enum fl_crash_state to)
{
  g_autoptr (GPtrArray) tasks = copy_crash_tasks (core);

  for (guint n = 0; n < tasks->len; n++)
    {
      struct core_task *task = g_ptr_array_index (tasks, n);
      for (guint i = 0; i < task->crashes->len; i++)
        {
          struct crash_case *crash_case = get_case (task, i);
          if ((crash_case->row.state != FL_CRASH_SUSPECTED
               && crash_case->row.state != FL_CRASH_AT_ONCE)
              || crash_case->row.state == (int)to || crash_case->row.target == crash->target
              || !is_within (crash_case->crashed_at_ms, crash->at_ms, within_ms))
            continue;
          change_case (task, crash_case, to, NULL, "crash_excused");
        }
    }
}

/* The crash that was noticed @age crashes ago, one that is kept. */
static const struct core_target_crash *
get_noted_crash (const struct fl_core *core, guint age)
{
  return &core->crashes[(core->crash_count - 1 - age) % CORE_CRASHES_KEPT];
}

/* @return how many of the crashes that are kept began within CRASH_AT_ONCE_MS from @from_ms on. */
static int
count_crashes_from (const struct fl_core *core, int64_t from_ms)
{
  int count = 0;

  for (guint i = 0; i < MIN (core->crash_count, CORE_CRASHES_KEPT); i++)
    {
      int64_t at_ms = get_noted_crash (core, i)->at_ms;
      count += at_ms >= from_ms && at_ms - from_ms <= CRASH_AT_ONCE_MS ? 1 : 0;
    }
  return count;
}

/* @return whether @crash, the one that was noticed last, is one of many within CRASH_AT_ONCE_MS. */
static bool
is_one_of_many (const struct fl_core *core, const struct core_target_crash *crash)
{
  for (guint i = 0; i < MIN (core->crash_count, CORE_CRASHES_KEPT); i++)
    {
      int64_t from_ms = get_noted_crash (core, i)->at_ms;
      if (from_ms <= crash->at_ms && crash->at_ms - from_ms <= CRASH_AT_ONCE_MS
          && count_crashes_from (core, from_ms) >= CRASHES_AT_ONCE)
        return true;
    }
  return false;
}

/* Whether another target crashed at the time of @crash for a reason that is none of its runs. */
static bool
is_excused (const struct fl_core *core, const struct core_target_crash *crash)
{
  for (guint i = 0; i < MIN (core->crash_count, CORE_CRASHES_KEPT); i++)
    {
      const struct core_target_crash *other = get_noted_crash (core, i);
      if (other->is_unexplained && other->target != crash->target
          && is_within (other->at_ms, crash->at_ms, CRASH_SIMULTANEOUS_MS))
        return true;
    }
  return false;
}

/* @return what remains of @state for a crash that is excused, or one of many; FL_CRASH_OPEN if it
 * does not count. */
static enum fl_crash_state
reduce_state (enum fl_crash_state state, bool excused, bool at_once)
{
  if (excused)
    return state == FL_CRASH_SUSPECTED ? FL_CRASH_PRESENT : FL_CRASH_OPEN;
  return state == FL_CRASH_SUSPECTED && at_once ? FL_CRASH_AT_ONCE : state;
}

static void
count_run (struct core_run *run, const struct crash_scene *scene, bool excused, bool at_once)
{
  enum fl_crash_state state = reduce_state (judge_run (run, scene), excused, at_once);

  /* What is known of an attempt is removed with the run. */
  if (state == FL_CRASH_OPEN)
    return;
  run->is_crash_noted = true;
  log_case (run->task, add_case (run->task, run->target, run->number, state, false), run->target,
            "crash_counted");
}

/* Decides the open cases of runs on @target, whose boot has ended, that were judged before this was
 * known. */
static void
decide_judged_cases (struct core_target *target, bool excused, bool at_once)
{
  g_autoptr (GPtrArray) tasks = copy_crash_tasks (target->core);
  uint32_t hash = fl_job_target_hash (&target->entry.id);

  for (guint n = 0; n < tasks->len; n++)
    {
      struct core_task *task = g_ptr_array_index (tasks, n);
      for (guint i = task->crashes->len; i > 0; i--)
        {
          struct crash_case *crash_case = get_case (task, i - 1);
          if (crash_case->row.state != FL_CRASH_OPEN || crash_case->if_crashed == FL_CRASH_OPEN
              || crash_case->row.target != hash
              || crash_case->row.booted_at_ms != target->booted_at_ms)
            continue;
          enum fl_crash_state state = reduce_state (crash_case->if_crashed, excused, at_once);
          if (is_in_effect (task, crash_case))
            task->run->is_crash_noted = state != FL_CRASH_OPEN;
          crash_case->noted_at_ms = target->core->now_ms;
          if (state != FL_CRASH_OPEN)
            change_case (task, crash_case, state, target, "crash_counted");
          else
            {
              log_case (task, crash_case, target, "crash_excused");
              remove_case (task, crash_case);
            }
        }
    }
}

void
core_crash_note_boot_end (struct core_target *target, const char *evidence)
{
  struct fl_core *core = target->core;
  struct crash_scene scene = examine_target (target);

  /* A target that drains ends as planned. Of one that has not reported to this owner, nothing is
   * known: its boot may have ended long ago. */
  if (target->entry.draining || target->boot_end_noted || !target->reported)
    return;
  target->boot_end_noted = true;
  int suspects = target->suspects + (target->crash_suspected ? 0 : scene.fresh);
  struct core_target_crash *crash = &core->crashes[core->crash_count++ % CORE_CRASHES_KEPT];
  *crash = (struct core_target_crash){ .at_ms = get_crash_time (target),
                                       .target = fl_job_target_hash (&target->entry.id),
                                       .is_unexplained = suspects == 0 };
  bool excused = is_excused (core, crash);
  bool at_once = is_one_of_many (core, crash);
  fl_log (core->options.log, FL_LOG_NOTICE, "target_crashed", FL_N ("target", &target->entry.id),
          FL_I ("boot", target->booted_at_ms), FL_S ("evidence", evidence),
          FL_I ("silent_ms", core->now_ms - crash->at_ms), FL_I ("runs", scene.runs),
          FL_I ("fresh", suspects), FL_I ("most", (int64_t)scene.most), FL_I ("excused", excused),
          FL_I ("at_once", at_once));
  fl_stats_add (core->options.stats, "target_crashes_total", 1);
  if (at_once)
    reduce_cases (core, crash, CRASH_AT_ONCE_MS, FL_CRASH_AT_ONCE);
  /* A target on which no run can be the cause crashed for another reason, and so may all targets
   * have that crashed at the same time. */
  if (crash->is_unexplained)
    reduce_cases (core, crash, CRASH_SIMULTANEOUS_MS, FL_CRASH_PRESENT);
  decide_judged_cases (target, excused, at_once);
  for (guint i = 0; !target->crash_suspected && i < target->runs->len; i++)
    if (counts_at_crash (g_ptr_array_index (target->runs, i)))
      count_run (g_ptr_array_index (target->runs, i), &scene, excused, at_once);
}

void
core_crash_suspect (struct core_target *target)
{
  if (target->entry.draining || target->boot_end_noted || target->crash_suspected
      || !target->reported)
    return;
  struct crash_scene scene = examine_target (target);
  target->crash_suspected = true;
  target->suspects += scene.fresh;
  for (guint i = 0; i < target->runs->len; i++)
    {
      struct core_run *run = g_ptr_array_index (target->runs, i);
      enum fl_crash_state state = counts_at_crash (run) ? judge_run (run, &scene) : FL_CRASH_OPEN;
      if (state == FL_CRASH_OPEN)
        continue;
      struct crash_case *crash_case = find_case (run->task, run->number);
      /* A watched run has a case since its start. */
      if (crash_case == NULL)
        crash_case = add_case (run->task, target, run->number, FL_CRASH_OPEN, true);
      crash_case->if_crashed = state;
      crash_case->crashed_at_ms = get_crash_time (target);
      log_case (run->task, crash_case, target, "crash_suspended");
    }
}

void
core_crash_note_lapses (struct core_target *target, const GPtrArray *runs)
{
  for (guint i = 0; i < runs->len; i++)
    {
      struct core_run *run = g_ptr_array_index (runs, i);
      struct crash_case *crash_case = find_case (run->task, run->number);
      bool is_judged = crash_case != NULL && crash_case->if_crashed != FL_CRASH_OPEN;
      if (target->entry.draining || run->is_crash_noted || run->task->done
          || (!is_judged && (target->crash_suspected || !is_fresh (run))))
        continue;
      run->is_crash_noted = true;
      if (is_judged)
        {
          crash_case->is_provisional
              = crash_case->is_provisional && crash_case->if_crashed == FL_CRASH_PRESENT;
          update_task (run->task);
          continue;
        }
      /* Without a sign of a crash, the target may have been out of reach until long after the run
       * had ended. */
      target->suspects++;
      crash_case = add_case (run->task, target, run->number, FL_CRASH_OPEN, false);
      crash_case->if_crashed = FL_CRASH_PRESENT;
      log_case (run->task, crash_case, target, "crash_suspended");
    }
}

/* --- what targets and runs tell later --- */

/* Counts the open @crash_case, since another boot than its own replies. The target that had crashed
 * may have been forgotten meanwhile. */
static void
count_open_case (struct core_task *task,
                 struct crash_case *crash_case,
                 const struct core_target *reporter)
{
  const struct fl_core *core = task->step->job->core;
  struct core_target_crash crash
      = { .at_ms = crash_case->crashed_at_ms, .target = crash_case->row.target };
  /* Without a sign of a crash, the run may have ended long before the boot did. */
  enum fl_crash_state state = FL_CRASH_PRESENT;

  if (crash_case->if_crashed == FL_CRASH_SUSPECTED && !reporter->entry.draining)
    state = reduce_state (FL_CRASH_SUSPECTED, is_excused (core, &crash),
                          is_one_of_many (core, &crash));
  crash_case->noted_at_ms = core->now_ms;
  change_case (task, crash_case, state, reporter, "crash_counted");
}

/* Decides the cases of @task that concern the target or the address of @reporter. */
static void
resolve_task (struct core_task *task, const struct core_target *reporter, bool is_alive)
{
  uint32_t target = fl_job_target_hash (&reporter->entry.id);
  uint32_t address = fl_job_target_hash (&reporter->entry.address);

  for (guint i = task->crashes->len; i > 0; i--)
    {
      struct crash_case *crash_case = get_case (task, i - 1);
      bool is_same = crash_case->row.target == target;
      if (!is_same && (!is_alive || crash_case->row.address != address))
        continue;
      if (is_same && is_alive && crash_case->row.booted_at_ms == reporter->booted_at_ms)
        {
          /* The case of a run that is in effect is decided by its end. */
          if (is_in_effect (task, crash_case) && task->run->state != CORE_RUN_PLANNED
              && crash_case->row.state == FL_CRASH_OPEN && !crash_case->is_provisional)
            {
              crash_case->if_crashed = FL_CRASH_OPEN;
              continue;
            }
          log_case (task, crash_case, reporter, "crash_withdrawn");
          remove_case (task, crash_case);
          continue;
        }
      if (crash_case->row.state != FL_CRASH_OPEN || crash_case->row.booted_at_ms == 0
          || is_in_effect (task, crash_case))
        continue;
      count_open_case (task, crash_case, reporter);
    }
}

void
core_crash_resolve (struct core_target *target, bool is_alive)
{
  struct fl_core *core = target->core;
  g_autoptr (GPtrArray) tasks = NULL;

  if (core->crash_tasks.length == 0)
    return;
  tasks = copy_crash_tasks (core);
  for (guint i = 0; i < tasks->len; i++)
    resolve_task (g_ptr_array_index (tasks, i), target, is_alive);
}

void
core_crash_note_listed (struct core_run *run)
{
  struct core_task *task = run->task;
  struct core_job *job = task->step->job;
  int64_t age_ms = core_run_known_age_ms (run);

  if (run->target->watched_run == run && age_ms >= watch_ms (task))
    core_crash_stop_watching (run);
  if (count_all_cases (task) == 0 || age_ms < watch_ms (task))
    return;
  if (age_ms >= CRASH_FORGOTTEN_MS)
    {
      core_crash_clear_task (task);
      return;
    }
  if (!task->is_suspected)
    return;
  for (guint i = task->crashes->len; i > 0; i--)
    {
      struct crash_case *crash_case = get_case (task, i - 1);
      if (crash_case->row.state == FL_CRASH_OPEN)
        g_array_remove_index (task->crashes, i - 1);
      else
        crash_case->row.state = FL_CRASH_PRESENT;
    }
  job->is_cleared = true;
  struct fl_name name = core_task_name (task);
  fl_log (job->core->options.log, FL_LOG_INFO, "crash_acquitted", FL_N ("task", &name),
          FL_I ("run", run->number), FL_N ("target", &run->target->entry.id),
          FL_I ("listed_ms", age_ms));
  update_task (task);
}

void
core_crash_note_release (struct core_run *run)
{
  const struct crash_case *attempt = find_case (run->task, run->number);

  core_crash_stop_watching (run);
  if (attempt != NULL && !run->is_crash_noted)
    remove_case (run->task, attempt);
}

/* --- starts --- */

/* Whether it may turn out soon that a further target has crashed under @task. */
static bool
awaits_verdict (const struct core_task *task)
{
  int64_t now_ms = task->step->job->core->now_ms;

  for (guint i = 0; i < task->crashes->len; i++)
    if (get_case (task, i)->row.state == FL_CRASH_OPEN
        && now_ms - get_case (task, i)->noted_at_ms < CRASH_OPEN_WAIT_MS
        && (count_crashes (task) >= CRASHES_LIKELY || may_decide (task, get_case (task, i))))
      return true;
  return false;
}

/* Whether a watched run of a task of @job is on a target that will tell soon whether the task is
 * the cause. */
static bool
has_watched_run_in_touch (const struct core_job *job)
{
  const GPtrArray *list = job->core->target_list;

  for (guint i = 0; job->watched_runs > 0 && i < list->len; i++)
    {
      const struct core_target *target = g_ptr_array_index (list, i);
      if (target->watched_run != NULL && target->watched_run->task->step->job == job
          && !target->silent)
        return true;
    }
  return false;
}

/* Whether @task has to wait for what the runs of others of its job tell. A task that has been down
 * for long does not wait for a verdict or the end of a lease. */
static bool
waits_for_others (const struct core_task *task)
{
  const struct core_job *job = task->step->job;

  if (job->convicted_tasks > 0)
    return true;
  if (job->is_cleared || task->step->spec->gang
      || (task->is_watched ? job->watched_runs : job->suspected_tasks) == 0)
    return false;
  return !core_step_is_overdue (task->step)
         || job->core->now_ms - job->crash_changed_at_ms < CRASH_QUIET_MS
         || has_watched_run_in_touch (job);
}

bool
core_crash_may_start (const struct core_task *task)
{
  const struct core_job *job = task->step->job;

  if (!task->is_watched)
    return !waits_for_others (task);
  if (must_be_given_up (task) || awaits_verdict (task)
      || job->crash_changes_recorded < task->crash_change)
    return false;
  guint divisor
      = core_step_is_overdue (task->step) ? TARGETS_PER_OVERDUE_RUN : TARGETS_PER_WATCHED_RUN;
  if (job->core->watched_runs * divisor >= MAX (job->core->target_list->len, 1))
    return false;
  return !waits_for_others (task);
}

void
core_crash_watch (struct core_run *run)
{
  if (!run->task->is_watched || run->target->watched_run != NULL)
    return;
  run->target->watched_run = run;
  run->target->watched_since_ms = run->target->core->now_ms;
  run->task->step->job->watched_runs++;
  run->target->core->watched_runs++;
}

void
core_crash_stop_watching (struct core_run *run)
{
  if (run->target->watched_run != run)
    return;
  run->target->watched_run = NULL;
  run->task->step->job->watched_runs--;
  run->target->core->watched_runs--;
}

void
core_crash_note_attempt (struct core_run *run)
{
  if (run->task->is_watched)
    add_case (run->task, run->target, run->number, FL_CRASH_OPEN, false);
}

bool
core_crash_watch_is_overdue (const struct core_target *target)
{
  return target->core->now_ms - target->watched_since_ms >= CRASH_WATCH_OVERDUE_MS;
}

bool
core_crash_needs_recording (const struct core_run *run)
{
  const struct core_step *step = run->task->step;

  for (int64_t i = 0; step->spec->gang && i < step->spec->count; i++)
    if (step->tasks[i].is_watched)
      return true;
  return run->task->is_watched;
}

int64_t
core_crash_score_target (const struct core_target *target)
{
  int64_t now_ms = target->core->now_ms;
  int64_t score = 0;

  for (guint i = 0; i < target->runs->len; i++)
    {
      const struct core_run *run = g_ptr_array_index (target->runs, i);
      int64_t cpu_milli = MAX (run->task->step->spec->cpu_milli, 1);
      /* The work that a crash would undo, in core-milliseconds. */
      score -= run->first_ordered_at_ms > 0 ? cpu_milli * (now_ms - run->first_ordered_at_ms) / 1000
                                            : 0;
      if (is_fresh (run))
        score -= FRESH_RUN_PENALTY;
    }
  return score;
}

bool
core_crash_has_fresh_company (const struct core_run *run)
{
  const struct core_target *target = run->target;

  for (guint i = 0; target->watched_run == run && i < target->runs->len; i++)
    {
      const struct core_run *other = g_ptr_array_index (target->runs, i);
      if (other != run && other->state != CORE_RUN_PLANNED && is_fresh (other))
        return true;
    }
  return false;
}

/* --- verdicts --- */

static void
give_up_job (struct core_task *task)
{
  struct core_job *job = task->step->job;
  struct fl_core *core = job->core;
  struct fl_name name = core_task_name (task);

  fl_stats_add (core->options.stats, "tasks_crashing_targets_total", 1);
  fl_log (core->options.log, FL_LOG_WARNING, "task_crashes_targets", FL_N ("task", &name),
          FL_I ("suspected", count_cases (task, FL_CRASH_SUSPECTED)),
          FL_I ("crashes", count_crashes (task)));
  core_job_finish (job, FL_JOB_FAILED);
}

/* Load pattern: an owner is lost just after it has counted crashes that were none. Its successor
 * gave the job up before the targets had told that they are alive.
 *
 * @return whether the target of a case that counts against @task may still report to this owner
 * that it has not crashed. */
static bool
may_be_withdrawn (const struct core_task *task)
{
  const struct fl_core *core = task->step->job->core;

  for (guint i = 0; core_is_unreconciled (core) && i < task->crashes->len; i++)
    if (g_hash_table_contains (core->unreconciled_hashes,
                               GUINT_TO_POINTER ((uint32_t)get_case (task, i)->row.target)))
      return true;
  return false;
}

/* Whether a target that fell silent at the time of a crash that counts against @task may turn out
 * to have crashed, too, which would excuse the task. */
static bool
may_be_excused (const struct core_task *task)
{
  const struct fl_core *core = task->step->job->core;

  for (guint i = 0; i < core->target_list->len; i++)
    {
      const struct core_target *target = g_ptr_array_index (core->target_list, i);
      /* The crash of a target that has been noted has excused what it can. */
      if (!target->silent || target->boot_end_noted || !target->reported
          || core->now_ms - target->silent_since_ms >= CRASH_OPEN_WAIT_MS)
        continue;
      for (guint j = 0; j < task->crashes->len; j++)
        if (get_case (task, j)->row.state != FL_CRASH_OPEN
            && is_within (get_case (task, j)->crashed_at_ms, target->silent_since_ms,
                          CRASH_SIMULTANEOUS_MS))
          return true;
    }
  return false;
}

/* Decides what can be decided for @task. @return when to look at it again. */
static int64_t
judge_task (struct core_task *task)
{
  struct core_job *job = task->step->job;
  int64_t now_ms = job->core->now_ms;
  int64_t due_ms = INT64_MAX;
  int64_t last_ms = INT64_MIN;

  if (fl_job_state_is_final (job->state) || task->done)
    return INT64_MAX;
  for (guint i = 0; i < task->crashes->len; i++)
    {
      struct crash_case *crash_case = get_case (task, i);
      /* The record may be read before the first tick, when the time is not known. */
      if (crash_case->noted_at_ms == 0)
        crash_case->noted_at_ms = now_ms;
      if (crash_case->row.state == FL_CRASH_OPEN && !is_in_effect (task, crash_case))
        {
          due_ms = MIN (due_ms, crash_case->noted_at_ms + CRASH_OPEN_MAX_MS);
          if (now_ms < crash_case->noted_at_ms + CRASH_OPEN_MAX_MS)
            continue;
          change_case (task, crash_case, FL_CRASH_PRESENT, NULL, "crash_counted");
        }
      if (crash_case->row.state != FL_CRASH_OPEN)
        last_ms = MAX (last_ms, crash_case->noted_at_ms);
    }
  if (!must_be_given_up (task))
    return due_ms;
  /* Other targets may turn out to have crashed at the same time. */
  if (now_ms < last_ms + CRASH_SIMULTANEOUS_MS)
    return last_ms + CRASH_SIMULTANEOUS_MS;
  if (may_be_withdrawn (task) || may_be_excused (task))
    return now_ms + CRASH_SIMULTANEOUS_MS;
  give_up_job (task);
  return INT64_MAX;
}

void
core_crash_decide (struct fl_core *core)
{
  g_autoptr (GPtrArray) tasks = NULL;
  int64_t due_ms = INT64_MAX;

  if (core->crash_tasks.length == 0 || core->now_ms < core->crash_verdicts_due_ms)
    return;
  tasks = copy_crash_tasks (core);
  for (guint i = 0; i < tasks->len; i++)
    {
      int64_t task_due_ms = judge_task (g_ptr_array_index (tasks, i));
      due_ms = MIN (due_ms, task_due_ms);
    }
  core->crash_verdicts_due_ms = due_ms;
}

/* --- records --- */

static void
free_rows (void *data)
{
  g_free (((struct fl_task_crashes *)data)->runs.items);
}

/* A row of a record, and how much it tells. */
struct ranked_row
{
  struct fl_task_crashes row;
  /* 0 for a task that is watched: its next start relies on the record. Else the tasks of its job
   * that were on the target with it: the more they are, the less likely each of them is the cause.
   */
  guint rank;
};

static gint
compare_ranked_rows (gconstpointer a, gconstpointer b)
{
  const struct ranked_row *x = a;
  const struct ranked_row *y = b;

  if (x->rank != y->rank)
    return x->rank < y->rank ? -1 : 1;
  if (x->row.step != y->row.step)
    return x->row.step < y->row.step ? -1 : 1;
  return x->row.index < y->row.index ? -1 : 1;
}

static struct fl_task_crashes
make_row (const struct core_task *task)
{
  struct fl_crashed_run *runs = g_new (struct fl_crashed_run, task->crashes->len);

  for (guint i = 0; i < task->crashes->len; i++)
    runs[i] = get_case (task, i)->row;
  return (struct fl_task_crashes){
    task->step->occurrence->number, task->step->number, task->index, { task->crashes->len, runs }
  };
}

static gpointer
get_scene_key (const struct core_task *task)
{
  return GUINT_TO_POINTER ((guint)get_case (task, task->crashes->len - 1)->row.target);
}

/* Appends the tasks of @job that have crashes to @tasks. @return how many of them were on each
 * target (hash of its id), by their last case. */
static GHashTable *
find_tasks_with_crashes (const struct core_job *job, GPtrArray *tasks)
{
  GHashTable *scenes = g_hash_table_new (NULL, NULL);
  const struct core_step *step = job->crash_changes > 0 ? job->first_step : NULL;

  for (; step != NULL; step = step->next)
    for (int64_t i = 0; i < step->spec->count; i++)
      {
        struct core_task *task = &step->tasks[i];
        if (count_all_cases (task) == 0 || task->done)
          continue;
        gpointer key = get_scene_key (task);
        guint count = GPOINTER_TO_UINT (g_hash_table_lookup (scenes, key));
        g_hash_table_insert (scenes, key, GUINT_TO_POINTER (count + 1));
        g_ptr_array_add (tasks, task);
      }
  return scenes;
}

GArray *
core_crash_collect (const struct core_job *job, int64_t kept_permille)
{
  GArray *rows = g_array_new (FALSE, TRUE, sizeof (struct fl_task_crashes));
  g_autoptr (GPtrArray) tasks = g_ptr_array_new ();
  g_autoptr (GHashTable) scenes = find_tasks_with_crashes (job, tasks);
  g_autoptr (GArray) ranked = g_array_new (FALSE, FALSE, sizeof (struct ranked_row));
  guint watched = 0;

  g_array_set_clear_func (rows, free_rows);
  for (guint i = 0; i < tasks->len; i++)
    {
      const struct core_task *task = g_ptr_array_index (tasks, i);
      guint scene = GPOINTER_TO_UINT (g_hash_table_lookup (scenes, get_scene_key (task)));
      struct ranked_row row = { make_row (task), task->is_watched ? 0 : scene };
      watched += task->is_watched ? 1 : 0;
      g_array_append_val (ranked, row);
    }
  if (kept_permille < 1000)
    g_array_sort (ranked, compare_ranked_rows);
  guint kept = watched + (guint)((int64_t)(ranked->len - watched) * kept_permille / 1000);
  for (guint i = 0; i < ranked->len; i++)
    if (i < kept)
      g_array_append_vals (rows, &g_array_index (ranked, struct ranked_row, i).row, 1);
    else
      free_rows (&g_array_index (ranked, struct ranked_row, i).row);
  return rows;
}

static void
load_task (struct core_task *task, const struct fl_array *rows)
{
  const struct fl_crashed_run *runs = rows->items;

  if (task->done || rows->count == 0)
    return;
  if (task->crashes == NULL)
    task->crashes = g_array_new (FALSE, FALSE, sizeof (struct crash_case));
  for (size_t i = 0; i < rows->count; i++)
    {
      struct crash_case crash_case = { .row = runs[i] };
      if (find_case (task, runs[i].run) != NULL)
        continue;
      g_array_append_val (task->crashes, crash_case);
      task->last_run_number = MAX (task->last_run_number, runs[i].run);
    }
  update_task (task);
}

void
core_crash_apply_record (struct core_job *job, const struct fl_job_progress *progress)
{
  const struct fl_task_crashes *rows = progress->crashes.tasks.items;

  for (size_t i = 0; i < progress->crashes.tasks.count; i++)
    {
      struct core_step *step = core_job_require_step (job, rows[i].occurrence, rows[i].step);
      if (step != NULL && rows[i].index < step->spec->count)
        load_task (&step->tasks[rows[i].index], &rows[i].runs);
    }
  job->crash_changes_recorded = job->crash_changes;
}

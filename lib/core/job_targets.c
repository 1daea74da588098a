/* Tracks the targets that the store records for each job, on which its tasks may be started.
 *
 * A task is started only after the store has recorded that its job may have tasks on the target. If
 * a target does not report to a successor, the successor then delays only the jobs that may have
 * tasks on this target. While the store is slow, jobs of which it has no record are started without
 * waiting for it. A successor then assumes that such a job may have tasks on any target, because a
 * later record says so or because there is no record of the job. */
#include "core/core_internal.h"

/* The store counts as slow when a transaction takes longer than this. Urgent tasks have some
 * hundred milliseconds to spare, and a transaction usually takes about ten. */
#define RECORD_SLOW_MS 100

static enum core_job_target_state
get_target_state (const struct core_job *job, const struct fl_name *target)
{
  const void *key = GUINT_TO_POINTER (fl_job_target_hash (target));

  return (enum core_job_target_state) (uintptr_t)g_hash_table_lookup (job->target_states, key);
}

static void
set_target_state (struct core_job *job, uint32_t hash, enum core_job_target_state state)
{
  g_hash_table_replace (job->target_states, GUINT_TO_POINTER (hash), (void *)(uintptr_t)state);
}

static bool
recording_is_slow (const struct fl_core *core)
{
  return core->record_duration_ms > RECORD_SLOW_MS
         || (core->records_in_flight
             && core->now_ms - core->records_collected_at_ms > RECORD_SLOW_MS);
}

/* Whether tasks of @job may be started before a record says where: the store is too slow to wait
 * for it, and cannot have an older record, which would tell a successor too little. */
static bool
may_start_unrecorded (const struct core_job *job)
{
  return !job->may_have_record && recording_is_slow (job->core);
}

bool
core_job_may_start_on (const struct core_job *job, const struct fl_name *target)
{
  return job->any_target_recorded || get_target_state (job, target) == CORE_JOB_TARGET_RECORDED
         || may_start_unrecorded (job);
}

bool
core_job_target_is_pending (const struct core_job *job, const struct fl_name *target)
{
  return !core_job_may_start_on (job, target)
         && get_target_state (job, target) != CORE_JOB_TARGET_NONE;
}

void
core_job_mark_started_on (struct core_job *job, const struct fl_name *target)
{
  if (job->may_run_on_any_target || get_target_state (job, target) == CORE_JOB_TARGET_RECORDED)
    return;
  job->may_run_on_any_target = true;
  core_job_mark_for_recording (job);
}

static void
add_target (struct core_job *job, const struct fl_name *target)
{
  if (get_target_state (job, target) != CORE_JOB_TARGET_NONE)
    return;
  set_target_state (job, fl_job_target_hash (target), CORE_JOB_TARGET_REQUESTED);
  core_job_mark_for_recording (job);
}

void
core_job_request_target (struct core_job *job, const struct fl_name *target)
{
  if (recording_is_slow (job->core) && !job->may_run_on_any_target)
    {
      job->may_run_on_any_target = true;
      core_job_mark_for_recording (job);
    }
  add_target (job, target);
}

void
core_job_add_recorded_target (struct core_job *job, uint32_t hash)
{
  set_target_state (job, hash, CORE_JOB_TARGET_RECORDED);
}

static void
change_target_states (struct core_job *job,
                      enum core_job_target_state from,
                      enum core_job_target_state to)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, job->target_states);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if ((enum core_job_target_state) (uintptr_t)value == from)
      g_hash_table_iter_replace (&iter, (void *)(uintptr_t)to);
}

/* Runs whose targets a record tells. */
static void
begin_recording_runs (const struct core_step *step)
{
  bool tells_all = core_step_records_targets (step);

  for (int64_t i = 0; i < step->spec->count; i++)
    {
      struct core_run *run = step->tasks[i].run;
      if (run != NULL && (tells_all || run->state == CORE_RUN_PLANNED))
        run->is_recording = true;
    }
}

/* Whether the starts of runs of @step may wait for records. */
static bool
may_have_planned_runs (const struct core_step *step)
{
  return core_step_records_targets (step) || step->job->crash_changes > 0;
}

static void
end_recording_runs (const struct core_step *step, bool stored)
{
  for (int64_t i = 0; i < step->spec->count; i++)
    {
      struct core_run *run = step->tasks[i].run;
      if (run == NULL || !run->is_recording)
        continue;
      run->is_recording = false;
      run->is_recorded = run->is_recorded || stored;
    }
  /* Planned runs are started by the next check. */
  if (stored)
    step->job->core->runs_checked_at_ms = 0;
}

void
core_job_begin_recording_targets (struct core_job *job)
{
  for (const struct core_step *step = job->first_step; step != NULL; step = step->next)
    if (may_have_planned_runs (step))
      begin_recording_runs (step);

  job->crash_changes_recording = job->crash_changes;
  job->may_have_record = true;
  job->any_target_recording = job->may_run_on_any_target;
  change_target_states (job, CORE_JOB_TARGET_REQUESTED, CORE_JOB_TARGET_RECORDING);
}

void
core_job_end_recording_targets (struct core_job *job, bool stored)
{
  for (const struct core_step *step = job->first_step; step != NULL; step = step->next)
    if (may_have_planned_runs (step))
      end_recording_runs (step, stored);
  if (stored)
    job->crash_changes_recorded = job->crash_changes_recording;
  job->any_target_recorded = job->any_target_recorded || (stored && job->any_target_recording);
  change_target_states (job, CORE_JOB_TARGET_RECORDING,
                        stored ? CORE_JOB_TARGET_RECORDED : CORE_JOB_TARGET_REQUESTED);
}

GArray *
core_job_collect_targets (const struct core_job *job)
{
  GArray *rows = g_array_new (FALSE, TRUE, sizeof (struct fl_job_target));
  GHashTableIter iter;
  void *key;

  g_hash_table_iter_init (&iter, job->target_states);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct fl_job_target row = { GPOINTER_TO_UINT (key) };
      g_array_append_val (rows, row);
    }
  return rows;
}

/* Whether an earlier owner may have started tasks of @job that are still in effect. */
static bool
earlier_owner_may_have_started (const struct core_job *job)
{
  const struct fl_core *core = job->core;

  return core->now_ms < core->reconciled_at_ms
         && job->accepted_version <= core->options.acquired_version;
}

bool
core_job_may_run_on_any_target (const struct core_job *job)
{
  return job->may_run_on_any_target
         || (job->added_without_record && earlier_owner_may_have_started (job)
             && core_is_unreconciled (job->core));
}

static bool
may_have_unknown_runs (const struct core_job *job)
{
  const struct fl_core *core = job->core;

  if (!earlier_owner_may_have_started (job) || !core_is_unreconciled (core))
    return false;
  if (job->may_run_on_any_target || job->added_without_record)
    return true;
  for (const GList *link = core->unreconciled_targets.head; link != NULL; link = link->next)
    if (get_target_state (job, &((const struct core_target *)link->data)->entry.id)
        != CORE_JOB_TARGET_NONE)
      return true;
  return false;
}

/* What this owner starts later, on any target while the store is slow, is known to it. */
bool
core_job_is_unreconciled (struct core_job *job)
{
  job->is_reconciled = job->is_reconciled || !may_have_unknown_runs (job);
  return !job->is_reconciled;
}

void
core_job_note_final (struct core_job *job)
{
  bool may_have_runs
      = job->record_tells_end ? job->first_step != NULL : job->state != FL_JOB_COMPLETED;

  core_queue_set_member (&job->core->unreconciled_jobs, &job->unreconciled_link,
                         &job->in_unreconciled,
                         may_have_runs && earlier_owner_may_have_started (job));
}

/* --- targets of single tasks --- */

/* Such tasks are few, and start rarely enough for a record before each start. */
static bool
spec_records_targets (const struct fl_step_spec *spec)
{
  return spec->long_running;
}

bool
core_step_records_targets (const struct core_step *step)
{
  return spec_records_targets (step->spec);
}

void
core_run_request_recording (struct core_run *run)
{
  struct core_job *job = run->task->step->job;

  add_target (job, &run->target->entry.id);
  core_job_mark_for_recording (job);
}

bool
core_run_may_start (const struct core_run *run)
{
  if (core_crash_has_fresh_company (run))
    return false;
  return run->is_recorded
         || (!core_crash_needs_recording (run) && may_start_unrecorded (run->task->step->job));
}

bool
core_task_is_unreconciled (const struct core_task *task)
{
  struct core_job *job = task->step->job;
  const struct fl_core *core = job->core;

  if (task->earlier_run == CORE_EARLIER_RUN_NONE || !earlier_owner_may_have_started (job)
      || !core_is_unreconciled (core))
    return false;
  if (task->earlier_run == CORE_EARLIER_RUN_UNKNOWN)
    return core_job_is_unreconciled (job);
  return g_hash_table_contains (core->unreconciled_hashes, GUINT_TO_POINTER (task->earlier_target));
}

/* Whether @task, which is of a job whose state is final, may still run. */
static bool
may_run (const struct core_task *task)
{
  return task->run != NULL || (!task->done && core_task_is_unreconciled (task));
}

bool
core_job_may_have_runs (const struct core_job *job)
{
  bool may_have_runs = job->run_count > 0;

  if (job->state == FL_JOB_COMPLETED)
    return false;
  for (const struct core_step *step = job->first_step; step != NULL && !may_have_runs;
       step = step->next)
    for (int64_t i = 0; i < step->spec->count && !may_have_runs; i++)
      may_have_runs = may_run (&step->tasks[i]);
  return may_have_runs;
}

static void
apply_task_target (struct core_task *task, int64_t position, const struct fl_array *targets)
{
  const struct fl_job_target *rows = targets->items;

  task->earlier_run = CORE_EARLIER_RUN_UNKNOWN;
  if (position == FL_TASK_TARGET_NONE)
    task->earlier_run = CORE_EARLIER_RUN_NONE;
  else if (position > 0 && position <= (int64_t)targets->count)
    {
      task->earlier_run = CORE_EARLIER_RUN_ON_TARGET;
      task->earlier_target = (uint32_t)rows[position - 1].hash;
    }
}

void
core_job_note_task_targets (struct core_job *job, const struct fl_job_progress *progress)
{
  bool is_by_previous_owner = progress->task_targets.fencing_token + FL_FENCING_TOKENS_PER_OWNER
                              == job->core->options.fencing_token;

  /* Nothing of a job in its final state is started any more, by whatever owner. */
  job->record_tells_runs = fl_job_state_is_final (job->state)
                               ? progress->task_targets.steps.count > 0
                               : is_by_previous_owner;
}

void
core_job_apply_task_targets (struct core_job *job, const struct fl_job_progress *progress)
{
  const struct fl_step_targets *rows = progress->task_targets.steps.items;

  if (!job->record_tells_runs)
    return;
  for (size_t i = 0; i < progress->task_targets.steps.count; i++)
    {
      const struct fl_task_target *tasks = rows[i].tasks.items;
      struct core_step *step = rows[i].tasks.count > 0
                                   ? core_job_require_step (job, rows[i].occurrence, rows[i].step)
                                   : NULL;
      if (step == NULL || !(core_step_records_targets (step) || fl_job_state_is_final (job->state)))
        continue;
      bool is_complete = (int64_t)rows[i].tasks.count == step->spec->count;
      for (int64_t j = 0; j < step->spec->count; j++)
        apply_task_target (&step->tasks[j], is_complete ? tasks[j].target : FL_TASK_TARGET_UNKNOWN,
                           &progress->targets);
    }
}

static bool
has_step_that_records_targets (const struct core_job *job)
{
  for (size_t i = 0; i < job->spec.steps.count; i++)
    if (spec_records_targets (fl_job_spec_get_step (&job->spec, i)))
      return true;
  return false;
}

void
core_job_renew_task_targets (struct core_job *job)
{
  if (!fl_job_state_is_final (job->state) && has_step_that_records_targets (job))
    core_job_mark_for_recording (job);
}

/* @positions: hash of a target's id -> its position in the record */
static int64_t
get_task_target (const struct core_task *task, GHashTable *positions)
{
  uint32_t hash = task->earlier_target;

  if (task->run != NULL)
    hash = fl_job_target_hash (&task->run->target->entry.id);
  else if (task->done || !core_task_is_unreconciled (task))
    return FL_TASK_TARGET_NONE;
  else if (task->earlier_run == CORE_EARLIER_RUN_UNKNOWN)
    return FL_TASK_TARGET_UNKNOWN;
  gsize position = GPOINTER_TO_SIZE (g_hash_table_lookup (positions, GUINT_TO_POINTER (hash)));
  return position > 0 ? (int64_t)position : FL_TASK_TARGET_UNKNOWN;
}

/* A step without tasks that may run needs no row for each of them. */
static struct fl_step_targets
collect_step_targets (const struct core_step *step, GHashTable *positions)
{
  struct fl_step_targets row = { .occurrence = step->occurrence->number, .step = step->number };
  struct fl_task_target *tasks = g_new0 (struct fl_task_target, (gsize)step->spec->count);
  bool is_empty = true;

  for (int64_t i = 0; i < step->spec->count; i++)
    {
      tasks[i].target = get_task_target (&step->tasks[i], positions);
      is_empty = is_empty && tasks[i].target == FL_TASK_TARGET_NONE;
    }
  if (is_empty)
    g_free (tasks);
  else
    row.tasks = (struct fl_array){ (size_t)step->spec->count, tasks };
  return row;
}

static void
free_step_targets (void *data)
{
  g_free (((struct fl_step_targets *)data)->tasks.items);
}

void
core_job_drop_task_targets (GArray *steps, int64_t kept_permille)
{
  guint kept = (guint)((int64_t)steps->len * kept_permille / 1000);

  for (guint i = kept; i < steps->len; i++)
    {
      struct fl_step_targets *row = &g_array_index (steps, struct fl_step_targets, i);
      struct fl_task_target *tasks = row->tasks.items;
      for (size_t j = 0; j < row->tasks.count; j++)
        if (tasks[j].target != FL_TASK_TARGET_NONE)
          tasks[j].target = FL_TASK_TARGET_UNKNOWN;
    }
}

GArray *
core_job_collect_task_targets (const struct core_job *job, const GArray *targets)
{
  GArray *rows = g_array_new (FALSE, TRUE, sizeof (struct fl_step_targets));
  bool is_final = fl_job_state_is_final (job->state);

  g_array_set_clear_func (rows, free_step_targets);
  if (!is_final && !has_step_that_records_targets (job))
    return rows;
  g_autoptr (GHashTable) positions = g_hash_table_new (NULL, NULL);
  for (guint i = 0; i < targets->len; i++)
    g_hash_table_insert (positions,
                         GUINT_TO_POINTER (g_array_index (targets, struct fl_job_target, i).hash),
                         GSIZE_TO_POINTER (i + 1));
  for (const struct core_step *step = job->first_step; step != NULL; step = step->next)
    if (core_step_records_targets (step) || is_final)
      {
        struct fl_step_targets row = collect_step_targets (step, positions);
        if (row.tasks.count > 0 || !is_final)
          g_array_append_val (rows, row);
      }
  return rows;
}

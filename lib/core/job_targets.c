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

bool
core_job_may_start_on (const struct core_job *job, const struct fl_name *target)
{
  return job->any_target_recorded || get_target_state (job, target) == CORE_JOB_TARGET_RECORDED
         || (!job->may_have_record && recording_is_slow (job->core));
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

void
core_job_request_target (struct core_job *job, const struct fl_name *target)
{
  if (recording_is_slow (job->core) && !job->may_run_on_any_target)
    {
      job->may_run_on_any_target = true;
      core_job_mark_for_recording (job);
    }
  if (get_target_state (job, target) != CORE_JOB_TARGET_NONE)
    return;
  set_target_state (job, fl_job_target_hash (target), CORE_JOB_TARGET_REQUESTED);
  core_job_mark_for_recording (job);
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

void
core_job_begin_recording_targets (struct core_job *job)
{
  job->may_have_record = true;
  job->any_target_recording = job->may_run_on_any_target;
  change_target_states (job, CORE_JOB_TARGET_REQUESTED, CORE_JOB_TARGET_RECORDING);
}

void
core_job_end_recording_targets (struct core_job *job, bool stored)
{
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

  return core->now_ms < core->options.reconciled_at_ms
         && job->accepted_version <= core->options.acquired_version;
}

bool
core_job_may_run_on_any_target (const struct core_job *job)
{
  return job->may_run_on_any_target
         || (job->added_without_record && earlier_owner_may_have_started (job)
             && core_is_unreconciled (job->core));
}

bool
core_job_is_unreconciled (const struct core_job *job)
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

#include "core/core.h"

#include <stdlib.h>
#include <string.h>

#include "core/core_internal.h"

/* Share of eligible targets that is assumed before the first reply. */
#define INITIAL_ELIGIBLE_SHARE 0.5
/* Run numbers reserved for each owner: enough for a task that restarts every second for a day. */
#define RUN_NUMBERS_PER_OWNER 100000
/* Index of the kind in the labels of a target. */
#define KIND_LABEL_INDEX 0
/* A target that has unacknowledged ends replies to heartbeats immediately instead of waiting for
 * the next end. After it has listed ends, the next heartbeat is therefore delayed until they are
 * recorded, but no longer than this. */
#define RECORD_WAIT_MAX_MS 300
/* The clock and the end numbers of a target are valid for one boot. A heartbeat that is sent later
 * than this after the previous reply does not use them: the target may have restarted since, which
 * takes longer than this. */
#define BOOT_VALID_MS 400
/* Of the margins of the longest lease, 6 s, 170 ms are left if the clock of the target runs 2 %
 * slow: they cover this part of the time until a heartbeat leaves. */
#define CONNECT_COVERED_MS 150
/* Replies may overtake each other by less than this. */
#define CLOCK_TOLERANCE_MS 2000
/* With a longer gap between ticks than this, the host was suspended or is overloaded, so that
 * replies were read late. */
#define READ_LATE_GAP_MS 120
/* Time between heartbeats to a target that does not reply. */
#define SILENT_RETRY_MS 300
/* Time between checks of all targets for expired leases and orders to resend. These timeouts are
 * some hundred milliseconds or longer. */
#define RUNS_CHECK_INTERVAL_MS 10
#define RECONCILING_LOG_INTERVAL_MS 1000
/* Longest time that a target may wait before it replies to a heartbeat. The next heartbeat, which
 * renews the lease, is sent only after this reply; the wait must be well below the lease
 * duration. */
#define HEARTBEAT_WAIT_MS 1000
/* Time between the heartbeats to a target while the jobs are not known yet: a quarter of the usual
 * lease. The target replies at once while it has ends that are not acknowledged. */
#define UNKNOWN_JOBS_HEARTBEAT_MS 1000
/* The same for a target with both serving and best-effort tasks: its latency figures, by which
 * tasks are throttled, change every 500 ms. */
#define HEARTBEAT_WAIT_THROTTLED_MS 500
/* The same for a target with urgent tasks. While a heartbeat is lost in transit, ends on its target
 * go unnoticed, and the objective of urgent tasks leaves only some hundred milliseconds. */
#define HEARTBEAT_WAIT_URGENT_MS 300
/* The same for a target with a watched run, which gets no other task until it is listed. */
#define HEARTBEAT_WAIT_WATCHED_MS 100
/* Tokens of a target that are left when a new term is due. The call that begins it may fail twice,
 * each time 5 s before the next one, until a target that restarts each second has none left. */
#define TOKENS_SPARE 10

/* --- creation --- */

void
core_queue_set_member (GQueue *queue, GList *link, bool *is_member, bool should_be_member)
{
  if (*is_member == should_be_member)
    return;
  *is_member = should_be_member;
  if (should_be_member)
    g_queue_push_tail_link (queue, link);
  else
    g_queue_unlink (queue, link);
}

static void
job_free (void *data)
{
  struct core_job *job = data;
  struct fl_core *core = job->core;

  g_hash_table_remove (core->unstorable_jobs, GUINT_TO_POINTER (fl_name_hash (&job->spec.id)));
  core_queue_set_member (&core->waiting_jobs, &job->waiting_link, &job->in_waiting, false);
  core_queue_set_member (&core->unrecorded_jobs, &job->recording_link, &job->needs_recording,
                         false);
  core_queue_set_member (&core->final_jobs, &job->final_link, &job->in_final, false);
  core_queue_set_member (&core->unreconciled_jobs, &job->unreconciled_link, &job->in_unreconciled,
                         false);
  core_queue_set_member (&core->lasting_jobs, &job->lasting_link, &job->in_lasting, false);

  job->queue_stats->job_bytes -= job->bytes;
  core_occurrences_clear_job (job);
  g_hash_table_destroy (job->target_states);
  fl_schema_clear (&fl_job_spec_schema, &job->spec);
  g_free (job);
}

static void
set_unreconciled (struct core_target *target, bool is_unreconciled)
{
  struct fl_core *core = target->core;
  void *hash = GUINT_TO_POINTER (fl_job_target_hash (&target->entry.id));
  gsize count = GPOINTER_TO_SIZE (g_hash_table_lookup (core->unreconciled_hashes, hash));

  if (target->is_unreconciled == is_unreconciled)
    return;
  core_queue_set_member (&core->unreconciled_targets, &target->unreconciled_link,
                         &target->is_unreconciled, is_unreconciled);
  count = is_unreconciled ? count + 1 : count - 1;
  if (count > 0)
    g_hash_table_insert (core->unreconciled_hashes, hash, GSIZE_TO_POINTER (count));
  else
    g_hash_table_remove (core->unreconciled_hashes, hash);
}

static void
free_max_clear (void *data)
{
  struct core_free_max *max = data;

  g_array_unref (max->open_targets);
  g_array_unref (max->free_cpu_milli);
}

static void
target_free (void *data)
{
  struct core_target *target = data;
  struct fl_core *core = target->core;
  struct core_target *last = g_ptr_array_index (core->target_list, core->target_list->len - 1);

  set_unreconciled (target, false);
  core_queue_set_member (&core->unrecorded_targets, &target->unrecorded_link,
                         &target->in_unrecorded, false);
  core_queue_set_member (&core->idle_targets, &target->idle_link, &target->in_idle, false);
  last->position = target->position;
  g_ptr_array_remove_index_fast (core->target_list, target->position);
  core->target_changes++;
  g_ptr_array_unref (target->runs);
  g_clear_pointer (&target->unrecorded_ends, g_array_unref);
  g_free (target);
}

struct fl_core *
fl_core_new (const struct fl_core_options *options)
{
  struct fl_core *core = g_new0 (struct fl_core, 1);

  core->options = *options;
  core->inherited_until_ms = core_earlier_leases_end_ms (options);
  core->reconciled_at_ms = core->inherited_until_ms;
  core->settles_from_ms = core->inherited_until_ms;
  core->order_budget.bytes_per_s = options->order_bytes_per_s;
  core->first_run_number = (options->fencing_token - 1) * RUN_NUMBERS_PER_OWNER + 1;
  core->targets = g_hash_table_new_full (fl_name_hash, fl_name_equal, NULL, target_free);
  core->unreadable_entries = g_hash_table_new_full (fl_name_hash, fl_name_equal, g_free, NULL);
  core->next_tokens = g_hash_table_new_full (fl_name_hash, fl_name_equal, g_free, g_free);
  core->unheard = g_hash_table_new_full (fl_name_hash, fl_name_equal, g_free, NULL);
  core->jobs = g_hash_table_new_full (fl_name_hash, fl_name_equal, NULL, job_free);
  core->unstorable_jobs = g_hash_table_new (NULL, NULL);
  core->finished_jobs = g_hash_table_new_full (fl_name_hash, fl_name_equal, g_free, NULL);
  core->unreconciled_hashes = g_hash_table_new (NULL, NULL);
  core->target_list = g_ptr_array_new ();
  core->recording_jobs = g_ptr_array_new ();
  core->urgent_rooms = g_array_new (FALSE, TRUE, sizeof (struct core_urgent_room));
  core->urgent_steps = g_ptr_array_new ();
  core->free_max = g_array_new (FALSE, TRUE, sizeof (struct core_free_max));
  g_array_set_clear_func (core->free_max, free_max_clear);
  core->placements = core_placements_new ();
  core->admission_queues = g_array_new (FALSE, FALSE, sizeof (struct fl_admission_queue));
  core->teams = g_hash_table_new_full (fl_name_hash, fl_name_equal, NULL, g_free);
  core->run_times = fl_run_times_new ();
  core_domains_init (core);
  core->interference = fl_interference_new ();
  core->queue_stats = g_hash_table_new_full (fl_name_hash, fl_name_equal, NULL, g_free);
  return core;
}

void
fl_core_free (struct fl_core *core)
{
  if (core == NULL)
    return;
  g_hash_table_destroy (core->jobs);
  g_hash_table_destroy (core->targets);
  g_hash_table_destroy (core->unreadable_entries);
  g_hash_table_destroy (core->next_tokens);
  g_hash_table_destroy (core->unheard);
  g_hash_table_destroy (core->finished_jobs);
  g_hash_table_destroy (core->unstorable_jobs);
  g_hash_table_destroy (core->teams);
  g_hash_table_destroy (core->queue_stats);
  fl_run_times_free (core->run_times);
  core_domains_clear (core);
  fl_interference_free (core->interference);
  g_hash_table_destroy (core->unreconciled_hashes);
  g_ptr_array_unref (core->target_list);
  g_ptr_array_unref (core->recording_jobs);
  g_array_unref (core->free_max);
  g_array_unref (core->urgent_rooms);
  g_ptr_array_unref (core->urgent_steps);
  g_array_unref (core->placements);
  g_array_unref (core->admission_queues);
  fl_configuration_unref (core->configuration);
  g_free (core);
}

/* --- names --- */

struct fl_name
core_step_name (const struct core_step *step)
{
  return fl_name_format ("%s.%" G_GINT64_FORMAT ".%" G_GINT64_FORMAT, step->job->spec.id.data,
                         step->occurrence->number, step->number);
}

struct fl_name
core_task_name (const struct core_task *task)
{
  return fl_name_format ("%s.%" G_GINT64_FORMAT ".%" G_GINT64_FORMAT ".%" G_GINT64_FORMAT,
                         task->step->job->spec.id.data, task->step->occurrence->number,
                         task->step->number, task->index);
}

/* Parses a name ID.OCCURRENCE.STEP[.INDEX] into @count numbers.
 * @return the job, or NULL if the name is malformed or the job unknown. */
static struct core_job *
parse_name (struct fl_core *core, const struct fl_name *name, int64_t *numbers, int count)
{
  const char *rest = memchr (name->data, '.', name->len);
  struct fl_name id;

  if (rest == NULL)
    return NULL;
  id = fl_name_make (name->data, (size_t)(rest - name->data));
  for (int i = 0; i < count; i++)
    {
      char *end;
      if (*rest != '.' || !g_ascii_isdigit (rest[1]))
        return NULL;
      numbers[i] = strtoll (rest + 1, &end, 10);
      rest = end;
    }
  return *rest == '\0' ? g_hash_table_lookup (core->jobs, &id) : NULL;
}

struct core_step *
core_find_step (struct fl_core *core, const struct fl_name *name)
{
  int64_t numbers[2];
  struct core_job *job = parse_name (core, name, numbers, 2);

  return job != NULL ? core_job_find_step (job, numbers[0], numbers[1]) : NULL;
}

static struct core_task *
get_task (struct core_step *step, int64_t index)
{
  return step != NULL && index < step->spec->count ? &step->tasks[index] : NULL;
}

struct core_task *
core_find_task (struct fl_core *core, const struct fl_name *name)
{
  int64_t numbers[3];
  struct core_job *job = parse_name (core, name, numbers, 3);

  return job != NULL ? get_task (core_job_find_step (job, numbers[0], numbers[1]), numbers[2])
                     : NULL;
}

struct core_task *
core_require_task (struct fl_core *core, const struct fl_name *name)
{
  int64_t numbers[3];
  struct core_job *job = parse_name (core, name, numbers, 3);

  return job != NULL ? get_task (core_job_require_step (job, numbers[0], numbers[1]), numbers[2])
                     : NULL;
}

struct core_target *
core_find_target (const struct fl_core *core, const struct fl_name *id)
{
  return g_hash_table_lookup (core->targets, id);
}

/* --- configuration --- */

/* Sets the queue of @job: as in the configuration in force; else as it was last, which is as of the
 * configuration that admitted the job if this owner has known none with the queue. */
static void
refresh_queue (struct core_job *job)
{
  const struct fl_configuration *configuration = job->core->configuration;
  const struct fl_queue *queue = configuration != NULL
                                     ? fl_configuration_find_queue (configuration, &job->spec.queue)
                                     : NULL;

  if (queue != NULL)
    job->queue = *queue;
  else if (job->queue.service.len == 0)
    fl_job_spec_get_queue (&job->spec, &job->queue);
}

static void
refresh_team (const struct fl_core *core, struct core_team *team)
{
  team->configuration = core->configuration != NULL
                            ? fl_configuration_find_team (core->configuration, &team->name)
                            : NULL;
}

void
fl_core_configure (struct fl_core *core, struct fl_configuration *configuration)
{
  GHashTableIter iter;
  void *job;
  void *team;

  fl_configuration_unref (core->configuration);
  core->configuration = fl_configuration_ref (configuration);
  g_hash_table_iter_init (&iter, core->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &job))
    {
      refresh_queue (job);
      core_job_judge_failures (job);
    }
  g_hash_table_iter_init (&iter, core->teams);
  while (g_hash_table_iter_next (&iter, NULL, &team))
    refresh_team (core, team);
}

/* --- targets --- */

/* The highest fencing token of this owner. */
static int64_t
last_token (const struct fl_core *core)
{
  return core->options.fencing_token + FL_FENCING_TOKENS_PER_OWNER - 1;
}

/* Notes that @target has the fencing token that it has now. */
static void
note_token (const struct core_target *target)
{
  struct fl_core *core = target->core;

  if (target->fencing_token > last_token (core) - TOKENS_SPARE)
    core->is_short_of_tokens = true;
}

/* Sets the fencing token of @target, a new one. A target may come back under the id of one that was
 * removed. Its boot is another one then, and the reply to a heartbeat that was sent before may be
 * taken for that of the next one. */
static void
init_token (struct core_target *target)
{
  struct fl_core *core = target->core;
  const int64_t *next = g_hash_table_lookup (core->next_tokens, &target->entry.id);

  target->fencing_token = next != NULL ? *next : core->options.fencing_token;
  target->token_raised_at_ms = next != NULL ? core->now_ms + 1 : INT64_MIN;
  target->shares_token = next != NULL && *next == last_token (core);
  note_token (target);
}

static int64_t
next_token (const struct core_target *target)
{
  return MIN (target->fencing_token + 1, last_token (target->core));
}

void
core_target_raise_token (struct core_target *target)
{
  struct fl_core *core = target->core;
  int64_t token = next_token (target);

  /* Until the next term, the target then gets no tasks any more. */
  target->shares_token = token == target->fencing_token;
  if (target->shares_token)
    fl_log (core->options.log, FL_LOG_WARNING, "fencing_tokens_used_up",
            FL_N ("target", &target->entry.id), FL_I ("token", token));
  target->is_fenced = false;
  target->fencing_token = token;
  target->token_raised_at_ms = core->now_ms;
  note_token (target);
}

bool
fl_core_is_short_of_tokens (const struct fl_core *core)
{
  return core->is_short_of_tokens;
}

bool
fl_core_token_is_current (const struct fl_core *core,
                          const struct fl_name *id,
                          int64_t fencing_token)
{
  const struct core_target *target = core_find_target (core, id);

  if (target != NULL)
    return fencing_token == target->fencing_token;
  return !g_hash_table_contains (core->next_tokens, id);
}

const struct fl_name *
core_target_kind (const struct core_target *target)
{
  return &target->entry.labels[KIND_LABEL_INDEX];
}

static struct core_target *
get_or_add_target (struct fl_core *core, const struct fl_name *id)
{
  struct core_target *target = core_find_target (core, id);

  if (target == NULL)
    {
      target = g_new0 (struct core_target, 1);
      target->core = core;
      target->entry.id = *id;
      target->runs = g_ptr_array_new_with_free_func (g_free);
      init_token (target);
      target->unreconciled_link.data = target;
      target->unrecorded_link.data = target;
      target->idle_link.data = target;
      target->position = core->target_list->len;
      g_ptr_array_add (core->target_list, target);
      core->target_changes++;
      core_queue_set_member (&core->idle_targets, &target->idle_link, &target->in_idle, true);
      g_hash_table_insert (core->targets, &target->entry.id, target);
    }
  return target;
}

static void
set_entry_unreadable (struct core_target *target, bool is_unreadable)
{
  if (target->entry_unreadable == is_unreadable)
    return;
  target->entry_unreadable = is_unreadable;
  fl_log (target->core->options.log, FL_LOG_NOTICE,
          is_unreadable ? "registry_entry_unreadable" : "registry_entry_readable",
          FL_N ("target", &target->entry.id), FL_I ("runs", target->runs->len));
}

/* Notes that the entry of the target @id can be read, or that there is none. */
static void
forget_unreadable_entry (struct fl_core *core, const struct fl_name *id)
{
  if (g_hash_table_remove (core->unreadable_entries, id))
    fl_stats_set (core->options.stats, "registry_entries_unreadable",
                  g_hash_table_size (core->unreadable_entries));
}

void
core_target_outdate_record (struct core_target *target)
{
  target->core->target_list_outdated = true;
  target->recorded = target->record_in_flight = false;
}

static void
note_new_address (struct core_target *target)
{
  target->address_changed = true;
  if (target->confirmed_address.len == 0)
    core_target_outdate_record (target);
}

void
fl_core_update_target (struct fl_core *core, const struct fl_target_entry *entry)
{
  struct core_target *target = get_or_add_target (core, &entry->id);

  forget_unreadable_entry (core, &entry->id);
  set_entry_unreadable (target, false);

  if (entry->draining && !target->entry.draining)
    target->leaves_at_ms = core->now_ms + entry->drain_remaining_ms;
  if (target->entry.address.len > 0 && !fl_name_eq (&target->entry.address, &entry->address))
    note_new_address (target);
  target->entry = *entry;
  target->registered = true;
  fl_warm_up_update (&target->warm_up, entry->cold_left_ms, core->now_ms);
  core_target_update_evacuated (target);
}

void
fl_core_note_unreadable_entry (struct fl_core *core, const struct fl_name *id)
{
  struct core_target *target = core_find_target (core, id);

  if (g_hash_table_add (core->unreadable_entries, g_memdup2 (id, sizeof *id)))
    fl_stats_set (core->options.stats, "registry_entries_unreadable",
                  g_hash_table_size (core->unreadable_entries));
  if (target == NULL)
    return;
  target->registered = true;
  set_entry_unreadable (target, true);
}

bool
core_target_has_unrecorded_ends (const struct core_target *target)
{
  return target->last_applied_end > target->last_recorded_end;
}

void
core_target_remove_if_unused (struct fl_core *core, struct core_target *target)
{
  bool reconciled = !target->inherited || target->reported_fully || target->is_settled
                    || core->now_ms >= core->reconciled_at_ms;

  if (target->registered || target->runs->len > 0 || !reconciled
      || core_target_has_unrecorded_ends (target))
    return;
  core->target_list_outdated = core->target_list_outdated || target->recorded;
  /* Orders to a target that has never told its boot carry nothing that concerns one. */
  if (target->boot_known || target->fencing_token > core->options.fencing_token)
    {
      int64_t token = next_token (target);
      g_hash_table_insert (core->next_tokens,
                           g_memdup2 (&target->entry.id, sizeof target->entry.id),
                           g_memdup2 (&token, sizeof token));
    }
  g_hash_table_remove (core->targets, &target->entry.id);
}

void
fl_core_remove_target (struct fl_core *core, const struct fl_name *id)
{
  struct core_target *target = core_find_target (core, id);

  forget_unreadable_entry (core, id);
  if (target == NULL)
    return;
  target->registered = false;
  target->entry_unreadable = false;
  core_target_remove_if_unused (core, target);
}

void
fl_core_inherit_target (struct fl_core *core,
                        const struct fl_name *id,
                        const struct fl_name *address)
{
  struct core_target *target = get_or_add_target (core, id);

  target->inherited = true;
  target->recorded = true;
  core_target_update_reconciled (target);
  if (target->entry.address.len == 0)
    target->entry.address = *address;
  if (target->confirmed_address.len == 0)
    target->confirmed_address = *address;
  if (g_hash_table_contains (core->unreadable_entries, id))
    fl_core_note_unreadable_entry (core, id);
}

size_t
fl_core_target_count (const struct fl_core *core)
{
  return g_hash_table_size (core->targets);
}

GPtrArray *
fl_core_target_ids (const struct fl_core *core)
{
  GPtrArray *ids = g_ptr_array_sized_new (g_hash_table_size (core->targets));
  GHashTableIter iter;
  void *key;

  g_hash_table_iter_init (&iter, core->targets);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    g_ptr_array_add (ids, key);
  g_hash_table_iter_init (&iter, core->unreadable_entries);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (core_find_target (core, key) == NULL)
      g_ptr_array_add (ids, key);
  return ids;
}

void
core_target_update_reconciled (struct core_target *target)
{
  set_unreconciled (target, target->inherited && !target->reported_fully && !target->is_settled);
}

bool
core_is_unreconciled (const struct fl_core *core)
{
  return core->now_ms < core->reconciled_at_ms && core->unreconciled_targets.length > 0;
}

int64_t
fl_core_reconciled_at (const struct fl_core *core)
{
  return core->reconciled_at_ms;
}

int64_t
core_target_clock_ms (const struct core_target *target, int64_t now_ms)
{
  return target->clock_ms + (now_ms - target->clock_at_ms);
}

void
fl_core_handle_clock (struct fl_core *core,
                      const struct fl_name *id,
                      int64_t clock_ms,
                      int64_t now_ms)
{
  struct core_target *target = core_find_target (core, id);

  if (target == NULL || clock_ms <= 0 || clock_ms >= target->clock_ms - CLOCK_TOLERANCE_MS)
    return;
  if (target->clock_went_back_at_ms == 0)
    fl_log (core->options.log, FL_LOG_NOTICE, "target_clock_went_back",
            FL_N ("target", &target->entry.id), FL_I ("boot", target->booted_at_ms),
            FL_I ("clock_ms", clock_ms), FL_I ("known_clock_ms", target->clock_ms),
            FL_I ("lists_age_ms", now_ms - target->last_heartbeat_at_ms),
            FL_I ("runs", target->runs->len));
  target->clock_went_back_at_ms = now_ms;
}

/* Whether the time from @sent_ms to @now_ms includes one in which this host read no replies. */
static bool
was_read_late (const struct fl_core *core, int64_t sent_ms, int64_t now_ms)
{
  return core->last_tick_ms > 0
         && (now_ms - core->last_tick_ms >= READ_LATE_GAP_MS
             || (core->tick_gap_ms >= READ_LATE_GAP_MS && sent_ms < core->last_tick_ms));
}

void
fl_core_handle_reply_time (struct fl_core *core,
                           const struct fl_name *id,
                           const struct fl_order_reply *reply,
                           int64_t sent_ms,
                           int64_t wait_ms,
                           int64_t now_ms)
{
  struct core_target *target = core_find_target (core, id);
  /* With an end, the target may have replied before the end of the wait. */
  bool has_waited = reply->report != NULL && reply->report->end_count == 0;

  if (target == NULL || reply->result == FL_ORDER_NO_REPLY || reply->result == FL_ORDER_NOT_SENT
      || reply->result == FL_ORDER_NO_LISTENER || (wait_ms > 0 && !has_waited)
      || was_read_late (core, sent_ms, now_ms))
    return;
  core_reply_time_add (target, now_ms - sent_ms - wait_ms);
  /* It is alive: a heartbeat that has no reply in time is followed by the next one at once. */
  target->missed_heartbeats = 0;
}

static bool
has_urgent_run (const struct core_target *target)
{
  for (guint i = 0; i < target->runs->len; i++)
    if (((const struct core_run *)g_ptr_array_index (target->runs, i))->is_urgent)
      return true;
  return false;
}

static bool
mixes_serving_and_best_effort (const struct core_target *target)
{
  bool has_serving = false;
  bool has_best_effort = false;

  for (guint i = 0; i < target->runs->len; i++)
    {
      const struct core_run *run = g_ptr_array_index (target->runs, i);
      has_serving = has_serving || run->task->step->spec->latency_bound_ms > 0;
      has_best_effort = has_best_effort || run->task->step->spec->best_effort;
    }
  return has_serving && has_best_effort;
}

static int64_t
heartbeat_wait_ms (const struct core_target *target)
{
  int64_t wait_ms = HEARTBEAT_WAIT_MS;

  if (target->watched_run != NULL)
    wait_ms = HEARTBEAT_WAIT_WATCHED_MS;
  else if (has_urgent_run (target))
    wait_ms = HEARTBEAT_WAIT_URGENT_MS;
  else if (mixes_serving_and_best_effort (target))
    wait_ms = HEARTBEAT_WAIT_THROTTLED_MS;
  /* The lease is by a clock that was read one reply ago, and has to outlast two heartbeats without
   * a reply and a slow one. */
  if (target->heartbeat_limit_ms > FL_HEARTBEAT_LIMIT_MS)
    wait_ms = CLAMP (target->core->options.target_lease_ms - 3 * target->heartbeat_limit_ms
                         - FL_REPLY_MAX_MS,
                     0, wait_ms);
  return wait_ms;
}

static bool
heartbeat_is_due (const struct core_target *target, int64_t now_ms)
{
  if (!target->core->jobs_known && target->clock_at_ms > 0 && !target->silent)
    return now_ms - target->last_heartbeat_at_ms >= UNKNOWN_JOBS_HEARTBEAT_MS;
  /* A single missed heartbeat may have been lost in transit: the next one is sent immediately. */
  if (target->silent)
    return target->missed_heartbeats <= 1
           || now_ms - target->last_heartbeat_at_ms >= SILENT_RETRY_MS;
  /* Until a record without it is stored, its lease is not renewed. */
  if (target->is_fenced && core_target_is_recorded_unheard (target))
    return now_ms - target->last_heartbeat_at_ms >= SILENT_RETRY_MS;
  return !target->is_fenced || target->clock_went_back_at_ms > 0
         || target->last_applied_end == target->last_recorded_end
         || now_ms - target->last_heartbeat_at_ms >= RECORD_WAIT_MAX_MS;
}

/* How long the last heartbeat may wait for a connection, beyond what the margins of the longest
 * lease cover. */
static int64_t
heartbeat_delay_ms (const struct core_target *target)
{
  int64_t connect_ms = target->heartbeat_limit_ms * FL_HEARTBEAT_CONNECT_PERCENT / 100;

  return MAX (connect_ms - CONNECT_COVERED_MS, 0);
}

void
fl_core_ask_longest_leases (struct fl_core *core, bool asks_longest)
{
  core->asks_longest_leases = asks_longest;
}

static bool
prepare_heartbeat (struct core_target *target, int64_t now_ms, struct fl_heartbeat_order *order)
{
  struct fl_core *core = target->core;

  if (target->entry.address.len == 0 || !heartbeat_is_due (target, now_ms))
    return false;
  /* Registry entries that arrive before the next tick are newer than this heartbeat. */
  core->now_ms = MAX (core->now_ms, now_ms);
  target->heartbeat_wait_ms = 0;
  target->heartbeat_limit_ms = core_reply_limit_ms (target, FL_HEARTBEAT_LIMIT_MS);
  target->address_changed = false;
  *order = (struct fl_heartbeat_order){
    .target = target->entry.id,
    .address = target->entry.address,
    .fencing_token = target->fencing_token,
    .reply_limit_ms = target->heartbeat_limit_ms,
  };
  /* While the jobs are not known, leases are renewed all the same. A target that has restarted may
   * then grant the longest one. */
  bool boot_is_valid = now_ms - target->last_heartbeat_at_ms <= BOOT_VALID_MS;
  if (target->clock_at_ms == 0 || target->silent || target->clock_went_back_at_ms > 0
      || core_target_is_recorded_unheard (target) || (core->jobs_known && !boot_is_valid))
    return true;
  /* An end number is valid for one boot: it may restart in the time that a slow reply takes. */
  order->last_recorded_end = target->report_was_slow ? 0 : target->last_recorded_end;
  int64_t lease_ms = core->asks_longest_leases ? core->options.target_lease_max_ms
                                               : core->options.target_lease_ms;
  order->deadline_ms = core_target_clock_ms (target, now_ms) + lease_ms;
  /* Reports are needed as soon as the jobs are known: no heartbeat then waits for an end. */
  order->wait_ms = core->jobs_known && target->is_fenced ? heartbeat_wait_ms (target) : 0;
  target->heartbeat_wait_ms = order->wait_ms;
  target->renewed_by_ms = MAX (target->renewed_by_ms, now_ms + heartbeat_delay_ms (target));
  core_target_extend_lease (target, now_ms, lease_ms);
  /* By the clock of another boot, this deadline gives the longest lease. */
  if (!boot_is_valid || target->report_was_slow || target->is_unreconciled)
    core_target_extend_lease (target, target->renewed_by_ms, core->options.target_lease_max_ms);
  return true;
}

bool
fl_core_prepare_heartbeat (struct fl_core *core,
                           const struct fl_name *id,
                           int64_t now_ms,
                           struct fl_heartbeat_order *order)
{
  struct core_target *target = core_find_target (core, id);

  return target != NULL && prepare_heartbeat (target, now_ms, order);
}

size_t
fl_core_prepare_heartbeats (struct fl_core *core,
                            int64_t now_ms,
                            struct fl_heartbeat_order *orders,
                            size_t max)
{
  GList *link = core->idle_targets.head;
  size_t count = 0;

  while (link != NULL && count < max)
    {
      struct core_target *target = link->data;
      link = link->next;
      if (!prepare_heartbeat (target, now_ms, &orders[count]))
        continue;
      count++;
      core_queue_set_member (&core->idle_targets, &target->idle_link, &target->in_idle, false);
    }
  return count;
}

/* --- jobs --- */

static struct core_team *
get_or_add_team (struct fl_core *core, const struct fl_name *name)
{
  struct core_team *team = g_hash_table_lookup (core->teams, name);

  if (team == NULL)
    {
      team = g_new0 (struct core_team, 1);
      team->name = *name;
      refresh_team (core, team);
      g_hash_table_insert (core->teams, &team->name, team);
    }
  return team;
}

static struct core_queue_stats *
get_or_add_queue_stats (struct fl_core *core, const struct fl_name *name)
{
  struct core_queue_stats *stats = g_hash_table_lookup (core->queue_stats, name);

  if (stats == NULL)
    {
      stats = g_new0 (struct core_queue_stats, 1);
      stats->name = *name;
      stats->eligible_share = INITIAL_ELIGIBLE_SHARE;
      g_hash_table_insert (core->queue_stats, &stats->name, stats);
    }
  return stats;
}

static void
load_failed_runs (struct core_task *task, const struct fl_array *rows)
{
  const struct fl_failed_run *runs = rows->items;

  if (rows->count == 0)
    return;
  task->step->job->has_unjudged_failures = true;
  if (task->failed_runs == NULL)
    task->failed_runs = g_array_new (FALSE, FALSE, sizeof (struct fl_failed_run));
  g_array_append_vals (task->failed_runs, runs, (guint)rows->count);
  for (size_t i = 0; i < rows->count; i++)
    task->last_run_number = MAX (task->last_run_number, runs[i].run);
}

static void
apply_tasks (struct core_job *job, const struct fl_array *tasks)
{
  const struct fl_task_progress *rows = tasks->items;

  for (size_t i = 0; i < tasks->count; i++)
    {
      struct core_task *task
          = get_task (core_job_require_step (job, rows[i].occurrence, rows[i].step), rows[i].index);
      if (task == NULL)
        continue;
      if (rows[i].done)
        core_task_apply_done (task);
      load_failed_runs (task, &rows[i].failed_runs);
      if (rows[i].checkpoint.len == 0)
        continue;
      fl_str_clear (&task->checkpoint);
      task->checkpoint = fl_str_dup (&rows[i].checkpoint);
    }
}

static void
apply_progress (struct core_job *job, const struct fl_job_progress *progress)
{
  struct fl_job_progress full = *progress;
  struct fl_job_progress rows = { 0 };
  const struct fl_job_target *targets = progress->targets.items;

  if (progress->sets.is_present)
    {
      fl_job_progress_expand_sets (progress, &job->spec, &rows);
      full.done = rows.done;
      full.crashes = rows.crashes;
      full.task_targets = rows.task_targets;
    }
  job->state = (enum fl_job_state)full.state;
  job->started = job->state != FL_JOB_QUEUED;
  job->final_record_lists_runs
      = fl_job_state_is_final (job->state) && (full.targets.count > 0 || full.any_target);
  job->record_tells_end = fl_job_state_is_final (job->state)
                          && (full.task_targets.steps.count > 0 || !job->final_record_lists_runs);
  job->may_run_on_any_target = full.any_target;
  job->any_target_recorded = full.any_target;
  job->may_have_record = true;
  for (size_t i = 0; i < full.targets.count; i++)
    core_job_add_recorded_target (job, (uint32_t)targets[i].hash);
  core_job_note_task_targets (job, &full);
  core_job_apply_ended (job, &full);
  core_job_apply_task_targets (job, &full);
  core_job_apply_done (job, &full);
  apply_tasks (job, &rows.tasks);
  apply_tasks (job, &full.tasks);
  core_crash_apply_record (job, &full);
  fl_job_progress_clear (&rows);
}

void
core_step_add_idle_tasks (struct core_step *step, int64_t delta)
{
  struct core_job *job = step->job;

  step->idle_tasks += delta;
  job->idle_tasks += delta;
  core_queue_set_member (&job->core->waiting_jobs, &job->waiting_link, &job->in_waiting,
                         job->idle_tasks > 0 && !fl_job_state_is_final (job->state));
}

/* Adds a new job to the queues that contain it. Its tasks have no runs yet. */
static void
enqueue_job (struct core_job *job)
{
  core_occurrences_init_job (job);
  core_lasting_init_job (job);
  core_queue_set_member (&job->core->final_jobs, &job->final_link, &job->in_final,
                         fl_job_state_is_final (job->state));
  if (job->in_final)
    core_job_note_final (job);
}

void
fl_core_add_finished_job (struct fl_core *core, const struct fl_name *id)
{
  g_hash_table_add (core->finished_jobs, g_memdup2 (id, sizeof *id));
}

void
fl_core_add_job (struct fl_core *core,
                 struct fl_job_spec *spec,
                 int64_t version,
                 const struct fl_job_progress *progress)
{
  struct core_job *job;

  if (g_hash_table_contains (core->jobs, &spec->id)
      || g_hash_table_contains (core->finished_jobs, &spec->id))
    {
      fl_schema_clear (&fl_job_spec_schema, spec);
      return;
    }
  /* Cancelled and failed jobs are kept, since targets may still list runs of them to be stopped. */
  if (progress != NULL && progress->state == FL_JOB_COMPLETED)
    {
      fl_core_add_finished_job (core, &spec->id);
      fl_schema_clear (&fl_job_spec_schema, spec);
      return;
    }
  job = g_new0 (struct core_job, 1);
  job->core = core;
  job->spec = *spec;
  job->accepted_version = version;
  job->queue.name = spec->queue;
  job->team = get_or_add_team (core, &spec->team);
  job->queue_stats = get_or_add_queue_stats (core, &spec->queue);
  job->target_states = g_hash_table_new (NULL, NULL);
  job->occurrences = core_occurrences_new ();
  job->unfinished_steps = (int64_t)spec->steps.count * fl_job_spec_count_occurrences (spec);
  job->waiting_link.data = job;
  job->recording_link.data = job;
  job->final_link.data = job;
  job->unreconciled_link.data = job;
  job->scheduled_link.data = job;
  job->ended_link.data = job;
  job->bytes = core_job_count_bytes (job);
  job->queue_stats->job_bytes += job->bytes;
  job->record_kept_permille = 1000;
  job->added_without_record = progress == NULL;
  if (progress != NULL)
    apply_progress (job, progress);
  enqueue_job (job);
  refresh_queue (job);
  g_hash_table_insert (core->jobs, &job->spec.id, job);
  memset (spec, 0, sizeof *spec);
  fl_log (
      core->options.log, FL_LOG_INFO, "job_known", FL_N ("job", &job->spec.id),
      FL_N ("queue", &job->spec.queue), FL_N ("team", &job->spec.team), FL_I ("version", version),
      FL_I ("steps", (int64_t)job->spec.steps.count * fl_job_spec_count_occurrences (&job->spec)));
  if (job->unfinished_steps == 0 && !fl_job_state_is_final (job->state))
    core_job_finish (job, FL_JOB_COMPLETED);
  core_job_judge_failures (job);
  if (progress != NULL)
    core_job_renew_task_targets (job);
}

void
fl_core_set_registry_known (struct fl_core *core)
{
  core->registry_known = true;
}

void
fl_core_confirm_registry (struct fl_core *core, int64_t sent_ms)
{
  core->registry_confirmed_ms = MAX (core->registry_confirmed_ms, sent_ms);
}

void
fl_core_set_jobs_known (struct fl_core *core)
{
  core->jobs_known = true;
}

void
fl_core_cancel_job (struct fl_core *core, const struct fl_name *id)
{
  struct core_job *job = g_hash_table_lookup (core->jobs, id);

  if (job != NULL && !fl_job_state_is_final (job->state))
    core_job_finish (job, FL_JOB_CANCELLED);
}

bool
core_step_is_due (const struct core_step *step)
{
  const struct fl_step_dependency *dependencies = step->spec->after.items;
  const struct core_step *steps = step->occurrence->steps;

  if (step->due_wall_ms > step->job->core->wall_ms)
    return false;
  for (size_t i = 0; i < step->spec->after.count; i++)
    if (steps[dependencies[i].step].unfinished_tasks > 0)
      return false;
  return true;
}

GHashTable *
fl_core_count_pending_jobs (const struct fl_core *core)
{
  GHashTable *counts = g_hash_table_new_full (fl_name_hash, fl_name_equal, NULL, NULL);
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, core->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct core_job *job = value;
      if (job->started || fl_job_state_is_final (job->state))
        continue;
      intptr_t count = (intptr_t)g_hash_table_lookup (counts, &job->spec.queue);
      g_hash_table_insert (counts, &job->spec.queue, (void *)(count + 1));
    }
  return counts;
}

/* --- time --- */

/* Treats runs with an expired lease as lost, evacuates draining targets, removes unused ones and
 * resends orders. */
static void
check_targets (struct fl_core *core)
{
  /* Backwards, since removing a target moves the last one to its position. */
  for (guint i = core->target_list->len; i > 0; i--)
    {
      struct core_target *target = g_ptr_array_index (core->target_list, i - 1);
      core_target_expire_runs (target, core->now_ms);
      if (target->entry.draining && target->reported && !target->silent)
        core_evacuate_target (target);
      if (target->unsettled_runs > 0)
        core_target_resend_orders (target);
      core_target_remove_if_unused (core, target);
    }
  core_log_held_runs (core);
}

/* Load pattern: targets leave, and the pool passes to an owner that reads the jobs for seconds, in
 * which it renews the leases of the targets that reply. Tasks that may be on those that left do not
 * wait for these leases. */
static void
settle_targets (struct fl_core *core)
{
  GList *link = core->unreconciled_targets.head;

  if (core->now_ms < core->settles_from_ms)
    return;
  while (link != NULL)
    {
      struct core_target *target = link->data;
      link = link->next;
      if (core->now_ms < core_target_inherited_until_ms (target)
          || core->now_ms < target->lease_expires_at_ms)
        continue;
      target->is_settled = true;
      fl_log (core->options.log, FL_LOG_NOTICE, "target_presumed_empty",
              FL_N ("target", &target->entry.id), FL_I ("boot", target->booted_at_ms),
              FL_I ("registered", target->registered), FL_I ("silent", target->silent),
              FL_I ("renewed", target->lease_expires_at_ms > 0));
      core_target_update_reconciled (target);
    }
}

/* Logs which inherited targets have not reported, at most once a second, and when all have. */
static void
log_reconciliation (struct fl_core *core)
{
  const struct core_target *first = g_queue_peek_head (&core->unreconciled_targets);
  bool was_reconciling = core->is_reconciling;

  core->is_reconciling = core_is_unreconciled (core);
  if (was_reconciling && !core->is_reconciling)
    fl_log (core->options.log, FL_LOG_NOTICE, "reconciled",
            FL_I ("unreported", core->unreconciled_targets.length),
            FL_I ("left_ms", core->reconciled_at_ms - core->now_ms));
  if (!core->is_reconciling
      || core->now_ms - core->reconciling_logged_at_ms < RECONCILING_LOG_INTERVAL_MS)
    return;
  core->reconciling_logged_at_ms = core->now_ms;
  fl_log (core->options.log, FL_LOG_NOTICE, "reconciling",
          FL_I ("unreported", core->unreconciled_targets.length), FL_N ("target", &first->entry.id),
          FL_I ("waiting_jobs", core->waiting_jobs.length),
          FL_I ("left_ms", core->reconciled_at_ms - core->now_ms));
}

void
fl_core_tick (struct fl_core *core, int64_t now_ms, int64_t wall_ms)
{
  core->tick_gap_ms = core->last_tick_ms > 0 ? now_ms - core->last_tick_ms : 0;
  core->last_tick_ms = now_ms;
  core->tick_number++;
  core->now_ms = now_ms;
  core->wall_ms = wall_ms;
  core->orders_in_turn = 0;
  core_order_budget_update (&core->order_budget, now_ms);
  settle_targets (core);
  log_reconciliation (core);
  if (now_ms - core->runs_checked_at_ms >= RUNS_CHECK_INTERVAL_MS
      || now_ms < core->runs_checked_at_ms)
    {
      core->runs_checked_at_ms = now_ms;
      check_targets (core);
    }
  core_occurrences_tick (core);
  core_crash_decide (core);
  core_domains_tick (core);
  core_interference_update (core);
  core_lasting_tick (core);
  if (core->configuration != NULL)
    core_place_tasks (core);
}

/* --- dump --- */

void
fl_core_dump (const struct fl_core *core, GString *out)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, core->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct core_target *target = value;
      struct fl_speed speed = fl_speed_at (&target->speed, core->now_ms);
      g_string_append_printf (
          out,
          "{\"target\":\"%s\",\"registered\":%s,\"draining\":%s,\"silent\":%s,\"runs\":%u,"
          "\"cpu_used\":%" G_GINT64_FORMAT ",\"cpu\":%" G_GINT64_FORMAT
          ",\"speed_percent\":%.0f,\"fail_percent\":%.0f}\n",
          target->entry.id.data, target->registered ? "true" : "false",
          target->entry.draining ? "true" : "false", target->silent ? "true" : "false",
          target->runs->len, target->used.cpu_milli, target->entry.resources.cpu_milli,
          100.0 / fl_speed_slowness (&speed),
          100.0 * fl_failure_rate_get (&target->failure_rate, 0.0, core->now_ms));
    }
  core_domains_dump (core, out);
  g_hash_table_iter_init (&iter, core->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct core_job *job = value;
      g_string_append_printf (out,
                              "{\"job\":\"%s\",\"queue\":\"%s\",\"state\":\"%s\",\"open_steps\":"
                              "%" G_GINT64_FORMAT ",\"runs\":%" G_GINT64_FORMAT "}\n",
                              job->spec.id.data, job->spec.queue.data,
                              fl_job_state_name (job->state), job->unfinished_steps,
                              job->run_count);
    }
  core_interference_dump (core, out);
}

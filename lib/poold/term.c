/* One term of owning the pool: what is read at its start and followed while it lasts. */
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "common/clock.h"
#include "common/schema.h"
#include "poold/poold_internal.h"

#define READ_TIMEOUT_MS 1500
#define READ_PAUSE_MS 100 /* between attempts */
/* A lease that is given with each hold: it spans the change of owner (the lease of the pool, two
 * looks at it, and reading the jobs) and is else short, since tasks of a silent target wait for its
 * end. */
#define TASK_LEASE_MS 4500

/* Targets write their rows at each heartbeat, so that the registry changes all the time; one that
 * drains is to get no more tasks within 2 s. */
#define REGISTRY_PAUSE_MS 150

/* --- jobs --- */

static void
progress_free (void *data)
{
  fl_schema_clear (&fl_job_progress_schema, data);
  g_free (data);
}

static void
on_progress_row (void *context, const struct fl_store_row *row)
{
  struct fl_term *term = context;
  struct fl_job_progress *progress = g_new0 (struct fl_job_progress, 1);
  struct fl_error error = { 0 };

  if (row->removed || term->progress_read
      || !fl_record_decode (&fl_job_progress_schema, row->value.data, row->value.len, progress,
                            &error))
    {
      if (error.code != FL_OK)
        fl_log_error (&term->poold->host->log, FL_LOG_ERR, "progress_unreadable", &error);
      g_free (progress);
      return;
    }
  g_hash_table_replace (term->recorded, g_memdup2 (&row->key, sizeof row->key), progress);
}

static bool
is_cancel_key (const struct fl_name *key, struct fl_name *job)
{
  if (!g_str_has_suffix (key->data, FL_CANCEL_SUFFIX))
    return false;
  *job = fl_name_make (key->data, key->len - strlen (FL_CANCEL_SUFFIX));
  return true;
}

static void
on_job_row (void *context, const struct fl_store_row *row)
{
  struct fl_term *term = context;
  const struct fl_job_progress *progress;
  struct fl_job_spec spec;
  struct fl_error error = { 0 };
  struct fl_name job;

  term->poold->changed = true;
  if (row->removed)
    return;
  progress = g_hash_table_lookup (term->recorded, &row->key);
  if (is_cancel_key (&row->key, &job))
    fl_core_job_cancelled (term->core, &job);
  else if (progress != NULL && progress->state == FL_JOB_COMPLETED)
    fl_core_job_completed (term->core, &row->key);
  else if (fl_record_decode (&fl_job_row_schema, row->value.data, row->value.len, &spec, &error))
    fl_core_job_added (term->core, &spec, row->version, progress);
  else if (row->value.len > 2) /* an empty object marks an id whose job was refused */
    fl_log_error (&term->poold->host->log, FL_LOG_ERR, "job_unreadable", &error);
}

static void
on_jobs_read (void *context)
{
  struct fl_term *term = context;

  if (!term->jobs_read)
    fl_log (&term->poold->host->log, FL_LOG_NOTICE, "jobs_read",
            FL_I ("recorded", g_hash_table_size (term->recorded)));
  term->jobs_read = true;
  term->poold->changed = true;
  g_hash_table_remove_all (term->recorded);
}

/* --- targets --- */

static void
on_registry_row (void *context, const struct fl_store_row *row)
{
  struct fl_term *term = context;
  struct fl_target_entry entry;
  struct fl_error error = { 0 };

  term->poold->changed = true;
  if (row->removed)
    {
      fl_core_target_removed (term->core, &row->key);
      return;
    }
  if (term->read_targets != NULL)
    g_hash_table_add (term->read_targets, g_memdup2 (&row->key, sizeof row->key));
  if (fl_platform_decode_target (&row->key, &row->value, &entry, &error))
    fl_core_target_seen (term->core, &entry);
  else
    {
      fl_stats_add (term->poold->host->stats, "registry_rows_malformed_total", 1);
      fl_log_error (&term->poold->host->log, FL_LOG_INFO, "registry_row_malformed", &error);
    }
}

static void
on_registry_read_begin (void *context)
{
  struct fl_term *term = context;

  if (term->read_targets != NULL)
    g_hash_table_unref (term->read_targets);
  term->read_targets = g_hash_table_new_full (fl_name_hash, fl_name_equal, g_free, NULL);
}

static void
on_registry_read_end (void *context)
{
  struct fl_term *term = context;
  g_autoptr (GPtrArray) ids = fl_core_target_ids (term->core);

  for (guint i = 0; i < ids->len; i++)
    if (!g_hash_table_contains (term->read_targets, g_ptr_array_index (ids, i)))
      fl_core_target_removed (term->core, g_ptr_array_index (ids, i));
  g_hash_table_unref (term->read_targets);
  term->read_targets = NULL;
  term->poold->changed = true;
}

/* --- other hosts --- */

static void
on_host_row (void *context, const struct fl_store_row *row)
{
  struct fl_term *term = context;
  struct fl_name address = fl_name_make (row->value.data, MIN (row->value.len, FL_NAME_MAX));

  if (!row->removed)
    fl_peers_set (term->poold, &row->key, &address);
}

/* --- followers --- */

static struct fl_follower *
follow (struct fl_term *term,
        const char *table,
        const char *const *parts,
        void (*on_row) (void *context, const struct fl_store_row *row),
        void (*on_read_begin) (void *context),
        void (*on_read_end) (void *context),
        int64_t pause_ms)
{
  struct fl_follower_options options = {
    .pause_ms = pause_ms,
    .loop = term->poold->host->loop,
    .store = term->poold->host->store,
    .table = table,
    .parts = parts,
    .on_row = on_row,
    .on_read_begin = on_read_begin,
    .on_read_end = on_read_end,
    .context = term,
  };

  return fl_follower_new (&options);
}

static void
on_progress_read (void *context)
{
  struct fl_term *term = context;

  term->progress_read = true;
}

/* --- targets of the previous owner --- */

static void
inherit (struct fl_term *term, const struct fl_store_row *row)
{
  struct fl_error error = { 0 };
  json_t *json = fl_json_parse (row->value.data, row->value.len, &error);

  for (size_t i = 0; i + 1 < json_array_size (json); i += 2)
    {
      struct fl_name id = fl_name_of (json_string_value (json_array_get (json, i)));
      struct fl_name address = fl_name_of (json_string_value (json_array_get (json, i + 1)));
      fl_core_target_inherited (term->core, &id, &address);
    }
  json_decref (json);
}

static void
on_inherited (void *context, const struct fl_store_reply *reply)
{
  struct fl_term *term = context;

  term->targets_reading = false;
  if (!term->ended && reply->status == FL_STORE_OK)
    {
      for (size_t i = 0; i < reply->count; i++)
        if (strcmp (reply->rows[i].key.data, FL_SUMMARY_TARGETS) == 0)
          inherit (term, &reply->rows[i]);
      term->targets_read = true;
      term->poold->changed = true;
    }
  fl_term_unref (term);
}

static void
read_inherited (struct fl_term *term)
{
  const struct fl_store *store = term->poold->host->store;

  term->references++;
  term->targets_reading = true;
  term->targets_read_at_ms = fl_clock_boot_ms ();
  store->read (store->context, FL_TABLE_SUMMARY, FL_PART_OWNER, "", "", READ_TIMEOUT_MS,
               on_inherited, term);
}

/* --- public functions --- */

struct fl_term *
fl_term_new (struct fl_poold *poold, int64_t token, int64_t version, bool held_on)
{
  struct fl_term *term = g_new0 (struct fl_term, 1);
  int64_t hold_ms = MIN (TASK_LEASE_MS, poold->host->settings.lease_max_ms);
  struct fl_core_options options = {
    .log = &poold->host->log,
    .stats = poold->host->stats,
    .actions = fl_term_actions,
    .context = term,
    .fencing_token = token,
    .taken_version = version,
    .settled_at_ms = fl_clock_boot_ms () + fl_ownership_settle_ms (hold_ms, held_on),
    .hold_ms = hold_ms,
    .hold_max_ms = poold->host->settings.lease_max_ms,
  };

  term->references = 1;
  term->started_ms = fl_clock_boot_ms ();
  term->poold = poold;
  term->core = fl_core_new (&options);
  term->recorded = g_hash_table_new_full (fl_name_hash, fl_name_equal, g_free, progress_free);
  term->held = g_hash_table_new_full (fl_name_hash, fl_name_equal, g_free, NULL);
  term->progress_lane
      = fl_store_lane_new (poold->host->store, FL_OWNER_TABLE, FL_PART_OWNER, "progress");
  term->targets_lane
      = fl_store_lane_new (poold->host->store, FL_OWNER_TABLE, FL_PART_OWNER, "targets");
  term->pending_lane
      = fl_store_lane_new (poold->host->store, FL_OWNER_TABLE, FL_PART_OWNER, "pending");
  term->progress = follow (term, FL_TABLE_PROGRESS, fl_owner_parts, on_progress_row, NULL,
                           on_progress_read, 0);
  term->registry = follow (term, FL_PLATFORM_REGISTRY_TABLE, fl_common_parts, on_registry_row,
                           on_registry_read_begin, on_registry_read_end, REGISTRY_PAUSE_MS);
  term->hosts = follow (term, FL_TABLE_HOSTS, fl_common_parts, on_host_row, NULL, NULL, 0);
  return term;
}

void
fl_term_end (struct fl_term *term)
{
  term->ended = true;
  fl_follower_free (term->progress);
  fl_follower_free (term->jobs);
  fl_follower_free (term->registry);
  fl_follower_free (term->hosts);
  term->progress = term->jobs = term->registry = term->hosts = NULL;
  fl_term_unref (term);
}

void
fl_term_unref (struct fl_term *term)
{
  if (--term->references > 0)
    return;
  fl_store_lane_free (term->progress_lane);
  fl_store_lane_free (term->targets_lane);
  fl_store_lane_free (term->pending_lane);
  fl_core_free (term->core);
  g_hash_table_destroy (term->recorded);
  g_hash_table_destroy (term->held);
  if (term->read_targets != NULL)
    g_hash_table_unref (term->read_targets);
  fl_str_clear (&term->pending);
  g_free (term);
}

void
fl_term_tick (struct fl_term *term)
{
  if (term->progress_read && term->progress != NULL)
    {
      fl_follower_free (term->progress);
      term->progress = NULL;
      term->jobs = follow (term, FL_TABLE_JOBS, fl_job_parts, on_job_row, NULL, on_jobs_read, 0);
    }
  if (!term->targets_read && !term->targets_reading
      && fl_clock_boot_ms () - term->targets_read_at_ms >= READ_PAUSE_MS)
    read_inherited (term);
  /* Nothing is decided by a configuration of an earlier term. */
  if (!term->jobs_read || !term->targets_read || term->poold->watch.confirmed_ms < term->started_ms)
    return;
  if (fl_ownership_has_authority (term->poold->ownership))
    {
      fl_core_tick (term->core, fl_clock_boot_ms (), fl_clock_wall_ms ());
      fl_term_store_records (term);
      fl_term_store_pending (term);
    }
  fl_peers_set_load (term->poold, fl_core_target_count (term->core));
  fl_term_hold_targets (term);
}

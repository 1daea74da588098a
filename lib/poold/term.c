/* One term of an owner: reads the recorded state at the start of the term and follows the tables of
 * jobs, targets and hosts until its end. */
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "common/clock.h"
#include "common/endpoint.h"
#include "common/schema.h"
#include "poold/poold_internal.h"
#include "poold/target_rows.h"

#define READ_RETRY_MS 100
/* Limits of reads of the list of targets, which is small; as those of the followers. */
#define READ_LIMIT_MIN_MS 500
#define READ_LIMIT_MAX_MS 1500
#define INHERITED_READS_MAX 4
/* A page of the store, 1 MB, takes longer than half a second on a slower link, so that a reply is
 * not lost when it is late. */
#define SLOW_LINK_BYTES_PER_S 2000000
/* Lease that each heartbeat gives a target. It must outlast a change of owner: the expiry of the
 * pool's lease, two polls of a standby and reading the jobs. It is not longer, since the tasks of a
 * silent target are restarted only after its lease has expired. */
#define TARGET_LEASE_MS 4500

/* Targets rewrite their rows periodically, so that the registry changes all the time; its changes
 * are read in batches at this interval. A target must get no new tasks 2 s after it starts to
 * drain. */
#define REGISTRY_PAUSE_MS 150

/* Share of the host's link, in percent, that start orders may take. */
#define ORDERS_LINK_PERCENT 40
/* Share of the memory of the process that the steps and tasks of jobs may take: the records,
 * replies and runs of an owner take several times as much in a burst. */
#define SET_UP_MEMORY_PERCENT 25
/* Share of it that accepted jobs may hold otherwise: their rows, and the tasks of small ones. */
#define JOBS_MEMORY_PERCENT 25
/* Share of it that orders under way may take. */
#define ORDERS_MEMORY_PERCENT 10

/* Logs that a part of the recorded state has been read. */
static void
log_stage (const struct fl_term *term, const char *part, int64_t rows)
{
  fl_log (&term->poold->host->log, FL_LOG_NOTICE, "term_read", FL_S ("part", part),
          FL_I ("rows", rows), FL_I ("after_ms", fl_clock_boot_ms () - term->started_ms));
}

/* --- jobs --- */

static void
progress_free (void *data)
{
  fl_job_progress_clear (data);
  g_free (data);
}

static void
on_progress_row (void *context, const struct fl_store_row *row)
{
  struct fl_term *term = context;
  struct fl_job_progress *progress = g_new0 (struct fl_job_progress, 1);
  struct fl_error error = { 0 };

  if (row->removed || term->progress_read
      || !fl_job_progress_decode (row->value.data, row->value.len, progress, &error))
    {
      if (error.code != FL_OK)
        fl_log_error (&term->poold->host->log, FL_LOG_ERR, "progress_unreadable", &error);
      g_free (progress);
      return;
    }
  g_hash_table_replace (term->recorded_progress, g_memdup2 (&row->key, sizeof row->key), progress);
}

static bool
parse_cancel_key (const struct fl_name *key, struct fl_name *job)
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

  term->poold->tick_requested = true;
  if (row->removed)
    return;
  progress = g_hash_table_lookup (term->recorded_progress, &row->key);
  if (parse_cancel_key (&row->key, &job))
    fl_core_cancel_job (term->core, &job);
  else if (progress != NULL && progress->state == FL_JOB_COMPLETED)
    fl_core_add_finished_job (term->core, &row->key);
  else if (fl_job_spec_decode_row (&row->key, row->value.data, row->value.len, &spec, &error))
    fl_core_add_job (term->core, &spec, row->version, progress);
  else if (row->value.len > strlen (FL_MARKER_VALUE)) /* markers have no content */
    fl_log_error (&term->poold->host->log, FL_LOG_ERR, "job_unreadable", &error);
}

static void
on_jobs_read (void *context)
{
  struct fl_term *term = context;

  if (!term->jobs_read)
    fl_log (&term->poold->host->log, FL_LOG_NOTICE, "jobs_read",
            FL_I ("recorded", g_hash_table_size (term->recorded_progress)),
            FL_I ("after_ms", fl_clock_boot_ms () - term->started_ms));
  term->jobs_read = true;
  fl_core_set_jobs_known (term->core);
  term->poold->tick_requested = true;
  g_hash_table_remove_all (term->recorded_progress);
}

/* --- targets --- */

static void
on_registry_row (void *context, const struct fl_store_row *row)
{
  struct fl_term *term = context;
  struct fl_target_entry entry;
  struct fl_error error = { 0 };

  term->poold->tick_requested = true;
  if (row->removed)
    {
      fl_core_remove_target (term->core, &row->key);
      return;
    }
  if (term->listed_targets != NULL)
    g_hash_table_add (term->listed_targets, g_memdup2 (&row->key, sizeof row->key));
  if (fl_platform_decode_target (&row->key, &row->value, &entry, &error))
    fl_core_update_target (term->core, &entry);
  else
    {
      fl_core_note_unreadable_entry (term->core, &row->key);
      fl_stats_add (term->poold->host->stats, "registry_rows_malformed_total", 1);
      fl_log_error (&term->poold->host->log, FL_LOG_INFO, "registry_row_malformed", &error);
    }
}

static void
on_registry_confirmed (void *context, int64_t sent_ms)
{
  fl_core_confirm_registry (((struct fl_term *)context)->core, sent_ms);
}

static void
on_registry_read_begin (void *context)
{
  struct fl_term *term = context;

  if (term->listed_targets != NULL)
    g_hash_table_unref (term->listed_targets);
  term->listed_targets = g_hash_table_new_full (fl_name_hash, fl_name_equal, g_free, NULL);
}

static void
on_registry_read_end (void *context)
{
  struct fl_term *term = context;
  g_autoptr (GPtrArray) ids = fl_core_target_ids (term->core);

  for (guint i = 0; i < ids->len; i++)
    if (!g_hash_table_contains (term->listed_targets, g_ptr_array_index (ids, i)))
      fl_core_remove_target (term->core, g_ptr_array_index (ids, i));
  log_stage (term, "registry", g_hash_table_size (term->listed_targets));
  g_hash_table_unref (term->listed_targets);
  term->listed_targets = NULL;
  fl_core_set_registry_known (term->core);
  term->poold->tick_requested = true;
}

/* --- other hosts --- */

static void
on_host_row (void *context, const struct fl_store_row *row)
{
  struct fl_term *term = context;
  struct fl_name address = fl_name_make (row->value.data, row->value.len);

  if (row->removed)
    return;
  if (row->value.len == address.len && fl_endpoint_is_link (&address))
    fl_peers_set_address (term->poold, &row->key, &address);
  else
    fl_log (&term->poold->host->log, FL_LOG_WARNING, "host_row_malformed",
            FL_N ("host", &row->key));
}

/* --- followers --- */

static bool
is_link_slow (const struct fl_host *host)
{
  int64_t rate = fl_host_settings_link_bytes_per_s (&host->settings);

  return rate > 0 && rate < SLOW_LINK_BYTES_PER_S;
}

static struct fl_follower *
follow_table (struct fl_term *term,
              const char *table,
              const char *const *partitions,
              void (*on_row) (void *context, const struct fl_store_row *row),
              void (*on_read_begin) (void *context),
              void (*on_read_end) (void *context),
              void (*on_confirmed) (void *context, int64_t sent_ms),
              int64_t pause_ms)
{
  struct fl_follower_options options = {
    .feed_pause_ms = pause_ms,
    .is_link_slow = is_link_slow (term->poold->host),
    .loop = term->poold->host->loop,
    .store = term->poold->host->store,
    .table = table,
    .partitions = partitions,
    .on_row = on_row,
    .on_read_begin = on_read_begin,
    .on_read_end = on_read_end,
    .on_confirmed = on_confirmed,
    .context = term,
  };

  return fl_follower_new (&options);
}

static void
on_progress_read (void *context)
{
  struct fl_term *term = context;

  if (!term->progress_read)
    log_stage (term, "progress", g_hash_table_size (term->recorded_progress));
  term->progress_read = true;
}

/* --- targets of the previous owner --- */

/* Bounds the wait for the targets that the previous owner had not heard: it gave no lease there.
 * An owner in between that stored no such row may have; its token was the next one then. */
static void
bound_unheard_targets (struct fl_term *term, const struct fl_store_row *row)
{
  g_autoptr (GArray) targets = g_array_new (FALSE, FALSE, sizeof (struct fl_unheard_target));
  struct fl_error error = { 0 };
  int64_t token;

  term->unheard_version = row->version;
  if (!fl_unheard_row_decode (row->value.data, row->value.len, &token, targets, &error))
    {
      fl_log_error (&term->poold->host->log, FL_LOG_ERR, "unheard_unreadable", &error);
      return;
    }
  if (token + FL_FENCING_TOKENS_PER_OWNER != term->fencing_token)
    return;
  for (guint i = 0; i < targets->len; i++)
    {
      const struct fl_unheard_target *target
          = &g_array_index (targets, struct fl_unheard_target, i);
      fl_core_bound_inherited_target (
          term->core, &target->id,
          fl_ownership_count_from_version (term->poold->ownership, row->version, target->left_ms));
    }
  fl_log (&term->poold->host->log, FL_LOG_NOTICE, "unheard_inherited",
          FL_I ("targets", targets->len));
}

/* Adds the targets in the rows of @reply. @return false when a row is unreadable: an earlier owner
 * may have used targets that this one would not know. */
static bool
add_inherited_targets (struct fl_term *term, const struct fl_store_reply *reply)
{
  g_autoptr (GArray) names = g_array_new (FALSE, FALSE, sizeof (struct fl_name));
  struct fl_error error = { 0 };

  for (size_t i = 0; i < reply->count; i++)
    {
      const struct fl_store_row *row = &reply->rows[i];
      int index = fl_target_rows_index (&row->key);
      if (index < 0)
        continue;
      term->target_row_count = MAX (term->target_row_count, (size_t)index + 1);
      if (!fl_target_rows_decode (row->value.data, row->value.len, names, &error))
        {
          fl_log_error (&term->poold->host->log, FL_LOG_ERR, "targets_unreadable", &error);
          return false;
        }
    }
  for (guint i = 0; i + 1 < names->len; i += 2)
    {
      static const struct fl_name unknown = { 0 };
      const struct fl_name *address = &g_array_index (names, struct fl_name, i + 1);
      /* Earlier versions accepted other addresses. Nothing is sent there, and what may run there
       * is waited for. */
      fl_core_inherit_target (term->core, &g_array_index (names, struct fl_name, i),
                              fl_endpoint_is_valid (address) ? address : &unknown);
    }
  for (size_t i = 0; i < reply->count; i++)
    if (strcmp (reply->rows[i].key.data, FL_SUMMARY_UNHEARD) == 0)
      bound_unheard_targets (term, &reply->rows[i]);
  fl_core_set_inherited_known (term->core, fl_clock_boot_ms ());
  return true;
}

/* Without the list of targets, nothing starts before all leases that an earlier owner gave have
 * expired. */
static void
on_inherited_read (void *context, const struct fl_store_reply *reply)
{
  struct fl_term *term = context;

  term->inherited_reads_in_flight--;
  if (!term->ended && !term->inherited_read && reply->status == FL_STORE_OK
      && (add_inherited_targets (term, reply)
          || fl_clock_boot_ms () >= fl_core_reconciled_at (term->core)))
    {
      term->inherited_read = true;
      term->poold->tick_requested = true;
      log_stage (term, "inherited_targets", (int64_t)reply->count);
    }
  fl_term_unref (term);
}

static void
read_inherited_targets (struct fl_term *term)
{
  const struct fl_store *store = term->poold->host->store;

  if (term->inherited_reads_in_flight > 0)
    fl_reply_limit_widen (&term->inherited_limit);
  term->ref_count++;
  term->inherited_reads_in_flight++;
  term->inherited_read_at_ms = fl_clock_boot_ms ();
  store->read (store->context, FL_TABLE_SUMMARY, FL_PARTITION_OWNER, "", "",
               fl_reply_limit_timeout_ms (&term->inherited_limit), on_inherited_read, term);
}

static bool
is_inherited_read_due (const struct fl_term *term)
{
  int64_t delay_ms
      = term->inherited_reads_in_flight > 0 ? term->inherited_limit.limit_ms : READ_RETRY_MS;

  return !term->inherited_read && term->inherited_reads_in_flight < INHERITED_READS_MAX
         && fl_clock_boot_ms () - term->inherited_read_at_ms >= delay_ms;
}

/* --- public functions --- */

struct fl_term *
fl_term_new (struct fl_poold *poold,
             int64_t token,
             int64_t version,
             bool previous_owner_may_be_active)
{
  struct fl_term *term = g_new0 (struct fl_term, 1);
  int64_t memory_bytes = fl_host_settings_memory_bytes (&poold->host->settings);
  struct fl_core_options options = {
    .log = &poold->host->log,
    .stats = poold->host->stats,
    .actions = fl_term_actions,
    .context = term,
    .fencing_token = token,
    .acquired_version = version,
    .earlier_orders_end_ms = fl_ownership_get_earlier_orders_end (poold->ownership),
    .target_lease_ms = MIN (TARGET_LEASE_MS, poold->host->settings.lease_max_ms),
    .target_lease_max_ms = poold->host->settings.lease_max_ms,
    .evacuation_ms = poold->host->settings.evacuation_ms,
    .set_up_bytes_max = memory_bytes * SET_UP_MEMORY_PERCENT / 100,
    .record_bytes_max = poold->host->settings.row_bytes_max,
    .job_bytes_max = memory_bytes * JOBS_MEMORY_PERCENT / 100,
    .order_bytes_per_s
    = fl_host_settings_link_bytes_per_s (&poold->host->settings) * ORDERS_LINK_PERCENT / 100,
  };

  term->ref_count = 1;
  term->fencing_token = token;
  term->order_bytes_max = memory_bytes * ORDERS_MEMORY_PERCENT / 100;
  term->inherited_limit
      = fl_reply_limit_make (READ_LIMIT_MIN_MS, READ_LIMIT_MAX_MS, READ_LIMIT_MAX_MS);
  term->started_ms = fl_clock_boot_ms ();
  term->earlier_confirmed_ms = poold->watch.confirmed_ms;
  term->poold = poold;
  term->core = fl_core_new (&options);
  fl_log (&poold->host->log, FL_LOG_NOTICE, "term_started", FL_I ("token", token),
          FL_I ("previous_may_be_active", previous_owner_may_be_active),
          FL_I ("reconciled_in_ms", fl_core_reconciled_at (term->core) - term->started_ms));
  term->recorded_progress
      = g_hash_table_new_full (fl_name_hash, fl_name_equal, g_free, progress_free);
  term->heartbeats_in_flight = g_hash_table_new_full (fl_name_hash, fl_name_equal, g_free, NULL);
  term->progress_writer
      = fl_store_writer_new (poold->host->store, FL_OWNER_TABLE, FL_PARTITION_OWNER, "progress");
  term->targets_writer
      = fl_store_writer_new (poold->host->store, FL_OWNER_TABLE, FL_PARTITION_OWNER, "targets");
  term->pending_writer
      = fl_store_writer_new (poold->host->store, FL_OWNER_TABLE, FL_PARTITION_OWNER, "pending");
  term->admission_writer
      = fl_store_writer_new (poold->host->store, FL_OWNER_TABLE, FL_PARTITION_OWNER, "admission");
  term->progress_follower = follow_table (term, FL_TABLE_PROGRESS, fl_owner_partitions,
                                          on_progress_row, NULL, on_progress_read, NULL, 0);
  term->registry_follower = follow_table (
      term, FL_PLATFORM_REGISTRY_TABLE, fl_common_partitions, on_registry_row,
      on_registry_read_begin, on_registry_read_end, on_registry_confirmed, REGISTRY_PAUSE_MS);
  term->hosts_follower
      = follow_table (term, FL_TABLE_HOSTS, fl_common_partitions, on_host_row, NULL, NULL, NULL, 0);
  return term;
}

void
fl_term_end (struct fl_term *term)
{
  term->ended = true;
  fl_follower_free (term->progress_follower);
  fl_follower_free (term->jobs_follower);
  fl_follower_free (term->registry_follower);
  fl_follower_free (term->hosts_follower);
  term->progress_follower = term->jobs_follower = term->registry_follower = term->hosts_follower
      = NULL;
  fl_term_unref (term);
}

void
fl_term_unref (struct fl_term *term)
{
  if (--term->ref_count > 0)
    return;
  fl_store_writer_free (term->progress_writer);
  fl_store_writer_free (term->targets_writer);
  fl_store_writer_free (term->pending_writer);
  fl_store_writer_free (term->admission_writer);
  fl_core_free (term->core);
  g_hash_table_destroy (term->recorded_progress);
  g_hash_table_destroy (term->heartbeats_in_flight);
  if (term->listed_targets != NULL)
    g_hash_table_unref (term->listed_targets);
  fl_str_clear (&term->stored_pending);
  fl_str_clear (&term->stored_admission);
  g_free (term);
}

void
fl_term_tick (struct fl_term *term)
{
  if (term->progress_read && term->progress_follower != NULL)
    {
      fl_follower_free (term->progress_follower);
      term->progress_follower = NULL;
      term->jobs_follower = follow_table (term, FL_TABLE_JOBS, fl_job_partitions, on_job_row, NULL,
                                          on_jobs_read, NULL, 0);
    }
  if (is_inherited_read_due (term))
    read_inherited_targets (term);
  /* The tasks on targets outlive the time that a small host needs to read the jobs. */
  fl_peers_update_forwarding (term->poold, fl_core_target_count (term->core));
  fl_term_send_heartbeats (term);
  if (term->inherited_read && fl_ownership_has_authority (term->poold->ownership))
    fl_term_store_unheard (term);
  /* A configuration or a list of evacuated domains that was last confirmed in an earlier term may
   * be outdated: wait until it is confirmed in this term. */
  if (!term->jobs_read || !term->inherited_read
      || term->poold->watch.confirmed_ms == term->earlier_confirmed_ms)
    return;
  if (fl_ownership_has_authority (term->poold->ownership))
    {
      fl_core_confirm_domains (term->core, term->poold->watch.confirmed_ms);
      fl_core_tick (term->core, fl_clock_boot_ms (), fl_clock_wall_ms ());
      fl_forwarder_flush (term->poold->forwarder);
      fl_term_store_records (term);
      fl_term_store_pending_counts (term);
      fl_term_store_admission (term);
    }
  fl_term_send_heartbeats (term);
}

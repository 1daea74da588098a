/* The queues that accept no further jobs: follows the row that the owner of the pool writes. */
#include <string.h>

#include "common/clock.h"
#include "common/schema.h"
#include "frontd/frontd_internal.h"

/* Clients that were turned away return spread over this time. */
#define RETRY_AFTER_MIN_MS 2000
#define RETRY_AFTER_SPREAD_MS 6000
/* The row changes rarely, and each call has a price. */
#define FEED_WAIT_MS 4000

static void
on_row (void *context, const struct fl_store_row *row)
{
  struct fl_frontd *frontd = context;
  struct front_admission *admission = &frontd->admission;
  json_t *json;
  const char *name;
  json_t *value;

  /* What a read finds may be what an owner left that ended long ago. A row that holds is renewed
   * within a second. */
  if (admission->is_reading || strcmp (row->key.data, FL_ADMISSION_CLOSED) != 0)
    return;
  json = row->removed ? NULL : fl_json_parse (row->value.data, row->value.len, NULL);
  g_hash_table_remove_all (admission->closed);
  json_object_foreach (json, name, value)
  {
    struct fl_name queue = fl_name_of (name);
    g_hash_table_add (admission->closed, g_memdup2 (&queue, sizeof queue));
  }
  json_decref (json);
  admission->received_ms = fl_clock_boot_ms ();
  fl_stats_set (frontd->host->stats, "queues_closed", g_hash_table_size (admission->closed));
}

static void
on_read_begin (void *context)
{
  struct fl_frontd *frontd = context;

  frontd->admission.is_reading = true;
  g_hash_table_remove_all (frontd->admission.closed);
  fl_stats_set (frontd->host->stats, "queues_closed", 0);
}

static void
on_read_end (void *context)
{
  struct fl_frontd *frontd = context;

  frontd->admission.is_reading = false;
}

void
front_admission_start (struct fl_frontd *frontd)
{
  struct fl_follower_options options = {
    .loop = frontd->host->loop,
    .store = frontd->host->store,
    .table = FL_TABLE_ADMISSION,
    .feed_wait_ms = FEED_WAIT_MS,
    .partitions = fl_owner_partitions,
    .on_row = on_row,
    .on_read_begin = on_read_begin,
    .on_read_end = on_read_end,
    .context = frontd,
  };

  frontd->admission.closed = g_hash_table_new_full (fl_name_hash, fl_name_equal, g_free, NULL);
  frontd->admission.follower = fl_follower_new (&options);
}

void
front_admission_stop (struct fl_frontd *frontd)
{
  fl_follower_free (frontd->admission.follower);
  frontd->admission.follower = NULL;
  g_clear_pointer (&frontd->admission.closed, g_hash_table_destroy);
}

bool
front_admission_is_closed (const struct fl_frontd *frontd, const struct fl_name *queue)
{
  const struct front_admission *admission = &frontd->admission;

  return admission->closed != NULL && g_hash_table_contains (admission->closed, queue)
         && fl_clock_boot_ms () - admission->received_ms < FL_ADMISSION_VALID_MS;
}

int64_t
front_admission_retry_after_ms (const struct fl_name *job_id)
{
  return RETRY_AFTER_MIN_MS + fl_name_hash (job_id) % RETRY_AFTER_SPREAD_MS;
}

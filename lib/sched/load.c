/* Reading what an earlier owner left in the table. */
#include "sched/sched_internal.h"

#include <string.h>

#define PAGE 500
/* After a load that failed. */
#define LOAD_RETRY_MS 250

/* One load: valid while the domain stands at the epoch it was started for. */
struct load
{
  struct fl_sched *sched;
  struct fl_name domain;
  int64_t epoch;
};

static void read_jobs (struct load *load, const char *after);

/* @return the domain that the load is for, or NULL when it was lost meanwhile. */
static struct fl_owned *
owned_of (const struct load *load)
{
  struct fl_owned *owned = fl_sched_find (load->sched, &load->domain);

  return owned != NULL && owned->loading_epoch == load->epoch
                 && owned->lease.row.epoch == load->epoch
             ? owned
             : NULL;
}

/* A failed read is given up; the domain is loaded again at the next tick. */
static void
give_up (struct load *load, const struct fl_table_result *result)
{
  struct fl_owned *owned = owned_of (load);

  struct fl_error error = result->error;
  if (error.code == FL_OK)
    fl_fail (&error, FL_CONFLICT, "domain_load", load->domain.data,
             "epoch %" G_GINT64_FORMAT " has ended", load->epoch);
  fl_log_error (fl_node_log (load->sched->node), FL_LOG_WARNING, "domain_load_failed", &error);
  if (owned != NULL)
    {
      owned->loading_epoch = 0;
      owned->load_after_ms = fl_node_now (load->sched->node) + LOAD_RETRY_MS;
      fl_domain_free (owned->domain);
      owned->domain = NULL;
    }
  g_free (load);
}

static int64_t
service_rank (const struct fl_owned *owned, int64_t *count)
{
  g_autoptr (GArray) domains = fl_host_list_domains (fl_host_reader_list (owned->sched->hosts));
  int64_t rank = 0;

  for (guint i = 0; i < domains->len; i++)
    rank += fl_name_compare (&g_array_index (domains, struct fl_name, i), &owned->name) < 0;
  *count = domains->len;
  return rank;
}

void
fl_owned_apply_config (struct fl_owned *owned)
{
  int64_t count;
  int64_t rank = service_rank (owned, &count);

  if (owned->domain != NULL)
    fl_domain_set_config (owned->domain, fl_node_config (owned->sched->node), count, rank,
                          fl_node_now (owned->sched->node));
}

static void
finish (struct load *load)
{
  struct fl_owned *owned = owned_of (load);

  if (owned == NULL)
    {
      g_free (load);
      return;
    }
  owned->loading_epoch = 0;
  owned->loaded = true;
  fl_owned_apply_config (owned);
  fl_owned_sync_targets (owned);
  fl_domain_loaded (owned->domain, fl_node_now (owned->sched->node));
  fl_log (fl_node_log (owned->sched->node), FL_LOG_NOTICE, "domain_loaded",
          FL_N ("domain", &owned->name), FL_I ("epoch", load->epoch),
          FL_I ("took_ms", fl_node_now (owned->sched->node) - owned->held_ms));
  g_free (load);
}

static void
on_allotments (void *context, const struct fl_table_result *result)
{
  struct load *load = context;
  struct fl_owned *owned = owned_of (load);

  if (result->code != FL_TABLE_OK)
    {
      give_up (load, result);
      return;
    }
  for (size_t i = 0; owned != NULL && i < result->row_count; i++)
    fl_allots_take_row (owned->allots, &result->rows[i]);
  finish (load);
}

static void
on_jobs (void *context, const struct fl_table_result *result)
{
  struct load *load = context;
  struct fl_owned *owned = owned_of (load);
  struct fl_table *table = fl_node_table (load->sched->node);

  if (result->code != FL_TABLE_OK || owned == NULL)
    {
      give_up (load, result);
      return;
    }
  for (size_t i = 0; i < result->row_count; i++)
    {
      const struct fl_row *row = &result->rows[i];
      const char *domain = json_string_value (json_object_get (row->value, "domain"));
      if (domain == NULL || strcmp (domain, load->domain.data) != 0)
        continue;
      if (!fl_domain_load_job (owned->domain, row->value, row->version,
                               fl_node_now (load->sched->node)))
        fl_log (fl_node_log (load->sched->node), FL_LOG_ERR, "job_row_unreadable",
                FL_S ("key", row->key.data));
    }
  if (result->more)
    read_jobs (load, result->rows[result->row_count - 1].key.data);
  else
    table->scan (table->self, "allot/", "", PAGE, on_allotments, load);
}

static void
read_jobs (struct load *load, const char *after)
{
  struct fl_table *table = fl_node_table (load->sched->node);

  table->scan (table->self, "job/", after, PAGE, on_jobs, load);
}

/* --- the domain object --- */

static bool
may_act (void *context)
{
  return fl_owned_may_act (context);
}

static void
commit (void *context, const struct fl_record *record)
{
  struct fl_owned *owned = context;

  fl_journal_add (owned->sched->journal, record);
}

static struct fl_domain *
make_domain (struct fl_owned *owned, int64_t epoch)
{
  const struct fl_settings *settings = fl_node_settings (owned->sched->node);
  int64_t now_ms = fl_node_now (owned->sched->node);
  struct fl_domain_options options = { .name = owned->name,
                                       .epoch = epoch,
                                       .now_ms = now_ms,
                                       .limits = fl_domain_limits_default,
                                       .ops = { .context = owned,
                                                .may_act = may_act,
                                                .run = fl_sched_run,
                                                .start = fl_sched_start,
                                                .stop = fl_sched_stop,
                                                .inspect = fl_sched_inspect,
                                                .commit = commit,
                                                .answer = fl_sched_answer } };

  options.limits.task_lease_ms = settings->task_lease_ms;
  options.limits.delivery_ms = settings->delivery_ms;
  options.limits.drift_ppm = settings->drift_ppm;
  options.limits.quarantine_ms = settings->quarantine_ms;
  options.limits.finished_keep_ms = settings->finished_keep_ms;
  options.patient = now_ms < owned->sched->started_ms + settings->task_lease_ms;
  return fl_domain_new (&options);
}

static void
on_epoch (void *context, const struct fl_table_result *result)
{
  struct load *load = context;
  struct fl_owned *owned = owned_of (load);
  const json_t *epoch
      = result->row_count > 0 ? json_object_get (result->rows[0].value, "epoch") : NULL;

  if (result->code != FL_TABLE_OK || owned == NULL || json_integer_value (epoch) != load->epoch)
    {
      give_up (load, result);
      return;
    }
  fl_journal_open_domain (load->sched->journal, &load->domain, result->rows[0].version);
  owned->domain = make_domain (owned, load->epoch);
  fl_owned_open_allots (owned);
  read_jobs (load, "");
}

void
fl_owned_load (struct fl_owned *owned)
{
  struct fl_table *table = fl_node_table (owned->sched->node);
  struct load *load = g_new0 (struct load, 1);
  g_autofree char *key = g_strdup_printf ("epoch/%s", owned->name.data);

  load->sched = owned->sched;
  load->domain = owned->name;
  load->epoch = owned->lease.row.epoch;
  owned->loading_epoch = load->epoch;
  owned->loaded = false;
  table->get (table->self, key, on_epoch, load);
}

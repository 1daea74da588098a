#include "sched/sched_internal.h"

#include <string.h>

/* Domains are ticked this often. */
#define DOMAIN_TICK_MS 50
#define JOURNAL_BATCH_MAX 200
#define USAGE_INTERVAL_MS 1000
/* After the domains are given up, the last writes and answers get this long. */
#define LINGER_MS 300

/* --- callbacks --- */

static void
on_settled (void *context,
            const struct fl_name *domain,
            uint64_t id,
            enum fl_commit_result result,
            int64_t version,
            const json_t *existing)
{
  struct fl_sched *sched = context;
  struct fl_owned *owned = fl_sched_find (sched, domain);

  if (owned != NULL && owned->domain != NULL)
    fl_domain_on_committed (owned->domain, id, result, version, existing,
                            fl_node_now (sched->node));
}

static void
on_fenced (void *context, const struct fl_name *domain)
{
  struct fl_sched *sched = context;
  struct fl_owned *owned = fl_sched_find (sched, domain);

  if (owned != NULL)
    fl_owned_drop_domain (owned, "fenced by a higher epoch");
  else
    fl_journal_close_domain (sched->journal, domain);
}

static void
on_hosts (void *context, const struct fl_host_list *list)
{
  struct fl_sched *sched = context;
  GHashTableIter iter;
  struct fl_owned *owned;

  (void)list;
  fl_sched_add_listed_domains (sched);
  g_hash_table_iter_init (&iter, sched->owned);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&owned))
    if (owned->domain != NULL && owned->loaded)
      {
        fl_owned_sync_targets (owned);
        fl_owned_apply_config (owned);
      }
}

static void
on_config (void *context)
{
  struct fl_sched *sched = context;
  GHashTableIter iter;
  struct fl_owned *owned;

  sched->allot_asked_ms = 0; /* a ticket may have changed a limit */
  g_hash_table_iter_init (&iter, sched->owned);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&owned))
    if (owned->loaded)
      fl_owned_apply_config (owned);
}

static void
on_member (void *context, const struct fl_member *member, const struct fl_status *status)
{
  (void)member;
  fl_sched_take_usage (context, status);
}

static void
on_metrics (void *context)
{
  struct fl_sched *sched = context;
  struct fl_stats *stats = fl_node_stats (sched->node);
  GHashTableIter iter;
  struct fl_owned *owned;
  int64_t count = 0;

  g_hash_table_iter_init (&iter, sched->owned);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&owned))
    {
      struct fl_domain_load load = { 0 };
      g_autofree char *free_slots = g_strdup_printf ("free_slots{domain=\"%s\"}", owned->name.data);
      g_autofree char *running = g_strdup_printf ("running_tasks{domain=\"%s\"}", owned->name.data);
      g_autofree char *waiting = g_strdup_printf ("waiting_tasks{domain=\"%s\"}", owned->name.data);
      if (owned->domain != NULL)
        fl_domain_load (owned->domain, &load);
      count += owned->domain != NULL;
      fl_stats_set (stats, free_slots, load.free_slots);
      fl_stats_set (stats, running, load.running_tasks);
      fl_stats_set (stats, waiting, load.waiting_tasks);
    }
  fl_stats_set (stats, "domains_owned", count);
  fl_stats_set (stats, "journal_open_records", (int64_t)fl_journal_open_records (sched->journal));
}

static void
tick_domains (struct fl_sched *sched, int64_t now_ms)
{
  GHashTableIter iter;
  struct fl_owned *owned;

  g_hash_table_iter_init (&iter, sched->owned);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&owned))
    if (owned->domain != NULL && owned->loaded)
      {
        fl_domain_tick (owned->domain, now_ms);
        fl_owned_tick_polls (owned, now_ms);
      }
}

/* Usage of the domains that this process owns itself. */
static void
take_own_usage (struct fl_sched *sched, int64_t now_ms)
{
  struct fl_status status = { 0 };

  if (now_ms < sched->usage_ms + USAGE_INTERVAL_MS)
    return;
  sched->usage_ms = now_ms;
  fl_sched_count_usage (sched);
  fl_sched_on_status (sched, 0, &status);
  fl_sched_take_usage (sched, &status);
  g_free (status.domains.items);
  g_free (status.usage.items);
}

static void
stop_when_done (struct fl_sched *sched, int64_t now_ms)
{
  if (sched->drain_until_ms == 0)
    return;
  if (!fl_sched_release_all (sched, now_ms))
    return;
  sched->drain_until_ms = MIN (sched->drain_until_ms, now_ms + LINGER_MS);
  if (now_ms >= sched->drain_until_ms)
    fl_node_stop (sched->node);
}

static void
on_tick (void *context, int64_t now_ms)
{
  struct fl_sched *sched = context;

  fl_host_reader_tick (sched->hosts, now_ms);
  fl_sched_tick_owners (sched, now_ms);
  if (now_ms >= sched->tick_ms + DOMAIN_TICK_MS)
    {
      sched->tick_ms = now_ms;
      tick_domains (sched, now_ms);
      fl_sched_tick_allotments (sched, now_ms);
      take_own_usage (sched, now_ms);
      fl_sched_give (sched, now_ms);
      fl_sched_balance (sched, now_ms);
    }
  stop_when_done (sched, now_ms);
}

/* --- construction --- */

static void
make_parts (struct fl_sched *sched, const struct fl_settings *settings)
{
  struct fl_journal_options journal = { .loop = fl_node_loop (sched->node),
                                        .table = fl_node_table (sched->node),
                                        .stats = fl_node_stats (sched->node),
                                        .interval_ms = settings->commit_interval_ms,
                                        .batch_max = JOURNAL_BATCH_MAX,
                                        .on_settled = on_settled,
                                        .on_fenced = on_fenced,
                                        .context = sched };

  sched->rules = fl_settings_lease_rules (settings);
  sched->started_ms = fl_node_now (sched->node);
  sched->journal = fl_journal_new (&journal);
  sched->hosts
      = fl_host_reader_new (fl_node_client (sched->node), fl_str_text (&settings->platform_url),
                            settings->host_list_ms, settings->platform_timeout_ms, on_hosts, sched);
  sched->owned = g_hash_table_new_full (fl_name_hash, fl_name_equal, NULL, fl_owned_free);
  sched->voters = g_hash_table_new_full (fl_name_hash, fl_name_equal, g_free, g_free);
  sched->waiters = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  sched->told = g_hash_table_new_full (fl_name_hash, fl_name_equal, NULL, g_free);
  sched->remote = g_hash_table_new_full (fl_name_hash, fl_name_equal, NULL, fl_remote_usage_free);
}

struct fl_sched *
fl_sched_new (const struct fl_settings *settings, struct fl_error *error)
{
  struct fl_sched *sched = g_new0 (struct fl_sched, 1);
  struct fl_node_options options = { .settings = settings,
                                     .role = FL_PROCESS_SCHED,
                                     .program = "flamingo-schedd",
                                     .on_message = fl_sched_on_message,
                                     .on_status = fl_sched_on_status,
                                     .on_member = on_member,
                                     .on_config = on_config,
                                     .on_http = fl_sched_on_http,
                                     .on_metrics = on_metrics,
                                     .on_tick = on_tick,
                                     .context = sched };

  sched->node = fl_node_new (&options, error);
  if (sched->node == NULL)
    {
      g_free (sched);
      return NULL;
    }
  make_parts (sched, settings);
  return sched;
}

void
fl_sched_serve (struct fl_sched *sched)
{
  fl_node_run (sched->node);
}

struct ev_loop *
fl_sched_loop (const struct fl_sched *sched)
{
  return fl_node_loop (sched->node);
}

void
fl_sched_shut_down (struct fl_sched *sched)
{
  if (sched->drain_until_ms != 0)
    return;
  fl_log (fl_node_log (sched->node), FL_LOG_NOTICE, "stopping", FL_S ("reason", "signal"));
  sched->drain_until_ms = fl_node_now (sched->node) + fl_node_settings (sched->node)->drain_ms;
  fl_node_set_leaving (sched->node);
}

void
fl_sched_free (struct fl_sched *sched)
{
  if (sched == NULL)
    return;
  fl_log (fl_node_log (sched->node), FL_LOG_NOTICE, "stopped", FL_I ("domains", 0));
  g_hash_table_destroy (sched->owned);
  g_hash_table_destroy (sched->voters);
  g_hash_table_destroy (sched->waiters);
  g_hash_table_destroy (sched->remote);
  g_hash_table_destroy (sched->told);
  fl_journal_free (sched->journal);
  struct fl_node *node = sched->node;
  struct fl_host_reader *hosts = sched->hosts;
  g_free (sched);
  fl_node_free (node);
  fl_host_reader_free (hosts);
}

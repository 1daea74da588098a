#include "entry/entry_internal.h"

/* After the last open request, the balancer gets this long to see the health check. */
#define LINGER_MS 500

static void
on_hosts (void *context, const struct fl_host_list *list)
{
  (void)context;
  (void)list;
}

static void
on_config (void *context)
{
  struct fl_entry *entry = context;

  /* Others learn the new head at once instead of at the next hello. */
  fl_node_say_hello (entry->node);
}

static void
on_metrics (void *context)
{
  struct fl_entry *entry = context;

  fl_stats_set (fl_node_stats (entry->node), "pending", g_hash_table_size (entry->pending));
}

static void
stop_when_done (struct fl_entry *entry, int64_t now_ms)
{
  if (entry->drain_until_ms == 0)
    return;
  if (fl_http_server_open_requests (fl_node_server (entry->node)) == 0)
    {
      fl_http_server_quiesce (fl_node_server (entry->node));
      entry->drain_until_ms = MIN (entry->drain_until_ms, now_ms + LINGER_MS);
    }
  if (now_ms >= entry->drain_until_ms)
    fl_node_stop (entry->node);
}

static void
on_tick (void *context, int64_t now_ms)
{
  struct fl_entry *entry = context;

  fl_host_reader_tick (entry->hosts, now_ms);
  fl_entry_tick_pending (entry, now_ms);
  fl_entry_tick_tickets (entry, now_ms);
  stop_when_done (entry, now_ms);
}

struct fl_entry *
fl_entry_new (const struct fl_settings *settings, struct fl_error *error)
{
  struct fl_entry *entry = g_new0 (struct fl_entry, 1);
  struct fl_node_options options = { .settings = settings,
                                     .role = FL_PROCESS_ENTRY,
                                     .program = "flamingo-entryd",
                                     .on_message = fl_entry_on_message,
                                     .on_member = fl_entry_on_member,
                                     .on_config = on_config,
                                     .on_http = fl_entry_on_http,
                                     .on_metrics = on_metrics,
                                     .on_tick = on_tick,
                                     .context = entry };

  entry->pending = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, fl_pending_free);
  entry->sent = g_hash_table_new_full (fl_name_hash, fl_name_equal, NULL, g_free);
  entry->recorded = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  entry->waits = g_ptr_array_new ();
  entry->node = fl_node_new (&options, error);
  if (entry->node == NULL)
    {
      fl_entry_free (entry);
      return NULL;
    }
  entry->hosts
      = fl_host_reader_new (fl_node_client (entry->node), fl_str_text (&settings->platform_url),
                            settings->host_list_ms, settings->platform_timeout_ms, on_hosts, entry);
  return entry;
}

struct ev_loop *
fl_entry_loop (const struct fl_entry *entry)
{
  return fl_node_loop (entry->node);
}

void
fl_entry_serve (struct fl_entry *entry)
{
  fl_node_run (entry->node);
}

void
fl_entry_shut_down (struct fl_entry *entry)
{
  if (entry->drain_until_ms != 0)
    return;
  fl_log (fl_node_log (entry->node), FL_LOG_NOTICE, "stopping", FL_S ("reason", "signal"));
  entry->drain_until_ms = fl_node_now (entry->node) + fl_node_settings (entry->node)->drain_ms;
  fl_node_set_leaving (entry->node);
}

void
fl_entry_free (struct fl_entry *entry)
{
  if (entry == NULL)
    return;
  fl_node_free (entry->node);
  fl_host_reader_free (entry->hosts);
  g_hash_table_destroy (entry->pending);
  g_hash_table_destroy (entry->sent);
  g_hash_table_destroy (entry->recorded);
  g_ptr_array_set_free_func (entry->waits, g_free);
  g_ptr_array_free (entry->waits, TRUE);
  g_free (entry);
}

#include "host/configuration_watch.h"

#include <string.h>

#include "common/clock.h"
#include "store/tables.h"

static void
apply_configuration (struct fl_configuration_watch *watch, const struct fl_str *value)
{
  const struct fl_configuration *current = watch->configuration;
  struct fl_configuration *next;
  struct fl_error error = { 0 };

  next = fl_platform_decode_configuration (value, &error);
  if (next == NULL)
    {
      fl_log_error (&watch->host->log, FL_LOG_ERR, "configuration_unreadable", &error);
      return;
    }
  if (current != NULL
      && fl_configuration_get_version (next) < fl_configuration_get_version (current))
    {
      fl_configuration_unref (next);
      return;
    }
  fl_configuration_unref (watch->configuration);
  watch->configuration = next;
  fl_log (&watch->host->log, FL_LOG_NOTICE, "configuration_in_force",
          FL_I ("version", fl_configuration_get_version (next)));
  if (watch->callbacks.on_configuration != NULL)
    watch->callbacks.on_configuration (watch->callbacks.context);
}

/* --- evacuated domains --- */

static void
notify_evacuated (struct fl_configuration_watch *watch)
{
  if (watch->callbacks.on_evacuated != NULL)
    watch->callbacks.on_evacuated (watch->callbacks.context);
}

/* Adds @domain to @domains, or removes it. */
static void
set_member (GArray *domains, const struct fl_name *domain, bool is_member)
{
  for (guint i = 0; i < domains->len; i++)
    if (fl_name_eq (&g_array_index (domains, struct fl_name, i), domain))
      {
        if (!is_member)
          g_array_remove_index_fast (domains, i);
        return;
      }
  if (is_member)
    g_array_append_vals (domains, domain, 1);
}

static void
apply_evacuation (struct fl_configuration_watch *watch, const struct fl_name *domain, bool removed)
{
  set_member (watch->evacuated, domain, !removed);
  if (watch->listed != NULL)
    set_member (watch->listed, domain, !removed);
  notify_evacuated (watch);
}

static void
drop_listed (struct fl_configuration_watch *watch)
{
  if (watch->listed != NULL)
    g_array_unref (watch->listed);
  watch->listed = NULL;
}

static void
on_read_begin (void *context)
{
  struct fl_configuration_watch *watch = context;

  drop_listed (watch);
  watch->listed = g_array_new (FALSE, FALSE, sizeof (struct fl_name));
}

/* Evacuations that the read has not returned are over. */
static void
on_read_end (void *context)
{
  struct fl_configuration_watch *watch = context;

  g_array_unref (watch->evacuated);
  watch->evacuated = watch->listed;
  watch->listed = NULL;
  notify_evacuated (watch);
}

/* --- rows --- */

static void
on_row (void *context, const struct fl_store_row *row)
{
  struct fl_configuration_watch *watch = context;
  struct fl_name domain;

  if (fl_platform_decode_evacuation (&row->key, &domain))
    apply_evacuation (watch, &domain, row->removed);
  else if (!row->removed && strcmp (row->key.data, FL_PLATFORM_CONFIGURATION_KEY) == 0)
    apply_configuration (watch, &row->value);
}

static void
on_confirmed (void *context, int64_t sent_ms)
{
  struct fl_configuration_watch *watch = context;

  watch->confirmed_ms = sent_ms;
  if (watch->follower == NULL)
    return; /* the first read ended before fl_follower_new has returned */
  watch->last_known = (watch->last_known + 1) % FL_KNOWN_VERSIONS;
  watch->known_versions[watch->last_known]
      = (struct fl_known_version){ fl_clock_boot_ms (), fl_follower_get_version (watch->follower) };
}

void
fl_configuration_watch_start (struct fl_configuration_watch *watch,
                              struct fl_host *host,
                              const struct fl_configuration_watch_callbacks *callbacks)
{
  struct fl_follower_options options = {
    .loop = host->loop,
    .store = host->store,
    .table = FL_PLATFORM_OPERATOR_TABLE,
    .partitions = fl_common_partitions,
    .on_row = on_row,
    .on_read_begin = on_read_begin,
    .on_read_end = on_read_end,
    .on_confirmed = on_confirmed,
    .context = watch,
  };

  watch->host = host;
  watch->callbacks = *callbacks;
  if (watch->evacuated == NULL)
    watch->evacuated = g_array_new (FALSE, FALSE, sizeof (struct fl_name));
  watch->follower = fl_follower_new (&options);
}

void
fl_configuration_watch_pause (struct fl_configuration_watch *watch)
{
  fl_follower_free (watch->follower);
  watch->follower = NULL;
  drop_listed (watch);
}

void
fl_configuration_watch_stop (struct fl_configuration_watch *watch)
{
  fl_configuration_watch_pause (watch);
  fl_configuration_unref (watch->configuration);
  watch->configuration = NULL;
  if (watch->evacuated != NULL)
    g_array_unref (watch->evacuated);
  watch->evacuated = NULL;
}

int64_t
fl_configuration_watch_get_version_at (const struct fl_configuration_watch *watch, int64_t boot_ms)
{
  int64_t version = 0;

  for (size_t i = 0; i < FL_KNOWN_VERSIONS; i++)
    if (watch->known_versions[i].since_ms <= boot_ms)
      version = MAX (version, watch->known_versions[i].version);
  return version;
}

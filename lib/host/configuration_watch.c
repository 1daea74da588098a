#include "host/configuration_watch.h"

#include <string.h>

#include "store/tables.h"

static void
on_row (void *context, const struct fl_store_row *row)
{
  struct fl_configuration_watch *watch = context;
  const struct fl_configuration *current = watch->configuration;
  struct fl_configuration *next;
  struct fl_error error = { 0 };

  if (row->removed || strcmp (row->key.data, FL_PLATFORM_CONFIGURATION_KEY) != 0)
    return;
  next = fl_platform_decode_configuration (&row->value, &error);
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
  if (watch->on_change != NULL)
    watch->on_change (watch->context);
}

static void
on_confirmed (void *context, int64_t sent_ms)
{
  ((struct fl_configuration_watch *)context)->confirmed_ms = sent_ms;
}

void
fl_configuration_watch_start (struct fl_configuration_watch *watch,
                              struct fl_host *host,
                              void (*on_change) (void *context),
                              void *context)
{
  struct fl_follower_options options = {
    .loop = host->loop,
    .store = host->store,
    .table = FL_PLATFORM_OPERATOR_TABLE,
    .partitions = fl_common_partitions,
    .on_row = on_row,
    .on_confirmed = on_confirmed,
    .context = watch,
  };

  watch->host = host;
  watch->on_change = on_change;
  watch->context = context;
  watch->follower = fl_follower_new (&options);
}

void
fl_configuration_watch_pause (struct fl_configuration_watch *watch)
{
  fl_follower_free (watch->follower);
  watch->follower = NULL;
}

void
fl_configuration_watch_stop (struct fl_configuration_watch *watch)
{
  fl_configuration_watch_pause (watch);
  fl_configuration_unref (watch->configuration);
  watch->configuration = NULL;
}

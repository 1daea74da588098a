/* Follows the operator's configuration. Never applies a version older than the current one. */
#pragma once

#include "host/host.h"
#include "store/follower.h"

struct fl_configuration_watch
{
  struct fl_host *host;
  struct fl_configuration *configuration; /* NULL until the first one is read */
  int64_t confirmed_ms; /* when the configuration was last known to be the newest (boot clock) */
  struct fl_follower *follower;
  /* Called when a configuration has been applied; may be NULL. */
  void (*on_change) (void *context);
  void *context;
};

/* Starts following. @watch must be zeroed before the first start. */
void fl_configuration_watch_start (struct fl_configuration_watch *watch,
                                   struct fl_host *host,
                                   void (*on_change) (void *context),
                                   void *context);

/* Stops following until the next start; keeps the last configuration. */
void fl_configuration_watch_pause (struct fl_configuration_watch *watch);

/* Stops following and releases the configuration. */
void fl_configuration_watch_stop (struct fl_configuration_watch *watch);

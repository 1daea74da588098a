/* Follows the operator's configuration. A version older than one used before is never taken. */
#pragma once

#include "host/host.h"
#include "store/follower.h"

struct fl_configuration_watch
{
  struct fl_host *host;
  struct fl_configuration *configuration; /* NULL until the first */
  int64_t confirmed_ms; /* the configuration is the newest as of then, by the boot clock */
  struct fl_follower *follower;
  /* A newer configuration is in force; NULL to be told nothing. */
  void (*on_change) (void *context);
  void *context;
};

/* Starts following. @watch is zeroed before. */
void fl_configuration_watch_start (struct fl_configuration_watch *watch,
                                   struct fl_host *host,
                                   void (*on_change) (void *context),
                                   void *context);

/* Stops following until the next start; the last configuration stays known. */
void fl_configuration_watch_pause (struct fl_configuration_watch *watch);

/* Stops following and forgets. */
void fl_configuration_watch_stop (struct fl_configuration_watch *watch);

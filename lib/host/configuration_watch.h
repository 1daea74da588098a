/* Follows the operator's configuration and the failure domains that the operator evacuates. Never
 * applies a version of the configuration older than the current one. */
#pragma once

#include "host/host.h"
#include "store/follower.h"

/* What follows from changes; the functions may be NULL. */
struct fl_configuration_watch_callbacks
{
  void (*on_configuration) (void *context); /* a configuration has been applied */
  void (*on_evacuated) (void *context);     /* the evacuated domains may have changed */
  void *context;
};

struct fl_configuration_watch
{
  struct fl_host *host;
  struct fl_configuration *configuration; /* NULL until the first one is read */
  GArray *evacuated;                      /* struct fl_name: domains; NULL until the first start */
  GArray *listed;       /* those that the read in progress has returned so far, or NULL */
  int64_t confirmed_ms; /* when these were last known to be the newest (boot clock) */
  struct fl_follower *follower;
  struct fl_configuration_watch_callbacks callbacks;
};

/* Starts following. @watch must be zeroed before the first start. */
void fl_configuration_watch_start (struct fl_configuration_watch *watch,
                                   struct fl_host *host,
                                   const struct fl_configuration_watch_callbacks *callbacks);

/* Stops following until the next start; keeps what is known. */
void fl_configuration_watch_pause (struct fl_configuration_watch *watch);

/* Stops following and releases what is known. */
void fl_configuration_watch_stop (struct fl_configuration_watch *watch);
